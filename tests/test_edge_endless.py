"""Tests of targets that send bytes without end which are no answer."""

import asyncio
import contextlib
import itertools
import unittest
from collections.abc import AsyncIterator, Iterator

import anyio
from result import Err

from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.ports import CallError, CallFailure
from peridotbend.edge.ports import TargetSend
from peridotbend.platform import wire
from peridotbend.platform.runners import PlatformTargetClient
from tests.edgefakes import CALL, make_target

TIMEOUT_S = 20.0
# Far more than a sound head; a reader without a limit would go on for good.
MAX_READ_BYTES = 4 * 1_048_576
PIECE = b"x" * 1_024
HEAD = (
    f"HTTP/1.1 200 OK\r\n{wire.ATTEMPT_ID}: {CALL.attempt}\r\n"
    f"{wire.SERVER_STAMP}: s\r\n"
).encode()
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def _endless(start: bytes, piece: bytes = PIECE) -> Iterator[bytes]:
    return itertools.chain((start,), itertools.repeat(piece))


class _EndlessTarget:
    """Answers each request with bytes until its caller closes."""

    def __init__(self, pieces: Iterator[bytes]) -> None:
        self._pieces = pieces
        self.sent_bytes = 0
        self.connections = 0
        self.was_closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            for piece in self._pieces:
                writer.write(piece)
                await writer.drain()
                self.sent_bytes += len(piece)
                if self.sent_bytes > 2 * MAX_READ_BYTES:
                    break
        self.was_closed.set()
        writer.close()


@contextlib.asynccontextmanager
async def _open_target(
    pieces: Iterator[bytes],
) -> AsyncIterator[tuple[_EndlessTarget, TargetSend]]:
    target = _EndlessTarget(pieces)
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    listed = make_target("i-1")
    send = TargetSend(
        CALL,
        type(listed)("i-1", "engine", "127.0.0.1", port, "zone-a", 1, False, 0),
        "",
        60_000,
        "",
        reuse_connection=True,
    )
    async with server:
        yield target, send


def _send_until_error(pieces: Iterator[bytes]) -> CallError:
    """Sends a request and reads until it fails; checks what it cost."""

    async def run() -> CallError:
        client = PlatformTargetClient(HttpTargetClient())
        async with _open_target(pieces) as (target, send):
            with anyio.fail_after(TIMEOUT_S):
                error = await _read(client, send)
                # The connection is closed and not used again.
                await target.was_closed.wait()
                assert target.sent_bytes < MAX_READ_BYTES, target.sent_bytes
                await _read(client, send)
                assert target.connections == 2
        return error

    return anyio.run(run)


async def _read(client: PlatformTargetClient, send: TargetSend) -> CallError:
    async with client.open(send, lambda: True) as reply:
        if isinstance(reply, CallError):
            return reply
        assert hasattr(reply, "chunks"), reply
        async for chunk in reply.chunks():
            if isinstance(chunk, Err):
                return chunk.err_value
    raise AssertionError("the answer looked complete")


class EndlessHeadTest(unittest.TestCase):
    """Bytes without end in place of a head."""

    def test_bytes_that_are_no_head(self) -> None:
        """Guards against a head that fills the memory."""
        error = _send_until_error(_endless(b""))
        assert error.failure is CallFailure.BROKEN
        assert error.written

    def test_header_line_without_end(self) -> None:
        """Guards against a header line that fills the memory."""
        error = _send_until_error(_endless(HEAD + b"a: "))
        assert error.failure is CallFailure.BROKEN

    def test_header_lines_without_end(self) -> None:
        """Guards against a number of headers that fills the memory."""
        error = _send_until_error(_endless(HEAD, b"a: b\r\n" * 100))
        assert error.failure is CallFailure.BROKEN

    def test_interim_answers_without_end(self) -> None:
        """Guards against interim answers that are read until the deadline."""
        interim = b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" * 20
        error = _send_until_error(_endless(b"", interim))
        assert error.failure is CallFailure.BROKEN


class EndlessBodyTest(unittest.TestCase):
    """Bytes without end inside of a body."""

    def test_chunk_size_without_end(self) -> None:
        """Guards against a chunk size line that fills the memory."""
        error = _send_until_error(_endless(CHUNKED_HEAD, b"1" * 1_024))
        assert error.failure is CallFailure.BROKEN

    def test_chunk_extension_without_end(self) -> None:
        """Guards against a chunk extension that fills the memory."""
        error = _send_until_error(_endless(CHUNKED_HEAD + b"5;a="))
        assert error.failure is CallFailure.BROKEN

    def test_trailers_without_end(self) -> None:
        """Guards against trailers that fill the memory."""
        pieces = _endless(CHUNKED_HEAD + b"0\r\n", b"a: b\r\n" * 100)
        error = _send_until_error(pieces)
        assert error.failure is CallFailure.BROKEN
