"""Parts of answers and invalid statuses at the product's own interface."""

import asyncio
import contextlib
import itertools
import socket
import struct
import unittest
from unittest import mock

import anyio

from peridotbend.adapters import sockets
from peridotbend.daemon import BACKEND_OPTIONS
from tests.edgenode import (
    EntryNode,
    Reply,
    encode_chat_body,
    encode_request,
    read_reply,
    start_entry,
)

CHAT = "/v1/chat/completions"
PART = b'{"part": '
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
FRAMINGS = {
    "neither": (b"", PART),
    "one byte too few": (b"Content-Length: %d\r\n" % (len(PART) + 1), PART),
    "no last chunk": (
        b"Transfer-Encoding: chunked\r\n",
        b"%x\r\n%s\r\n" % (len(PART), PART),
    ),
}
# Longer than any answer or further send takes.
WAIT_S = 20.0
ENDINGS = ("reset", "FIN, reset", "FIN")
# JSON shows that a part is missing; of plain text only its end can tell.
KINDS = (b"application/json", b"text/plain")
# Statuses that no response has, of two digits, and signed ones.
INVALID_STATUSES = ("000", "099", "600", "999", "20", "+20", "-20", "+200")


class _CutTarget:
    """Takes the place of the scripted target for the requests it runs."""

    def __init__(self, entry: EntryNode, data: bytes, ending: str) -> None:
        self._target = entry.target
        self._data = data
        self._ending = ending

    async def answer(
        self, path: str, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a request with a part, or a call of the instance soundly."""
        if path == "/v1/load":
            report = {"at_ms": 1, "running": 0, "waiting_tokens": 0}
            self._target._write(
                writer, {**report, "incarnation": self._target.incarnation}
            )
            return
        self._target.ran.append(path)
        writer.write(self._data)
        await writer.drain()
        await asyncio.sleep(0.02)
        connection = writer.get_extra_info("socket")
        if self._ending != "FIN":
            if self._ending == "FIN, reset":
                writer.write_eof()
                await asyncio.sleep(0.002)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            writer.transport.abort()
        raise ConnectionError


async def _call(entry: EntryNode, data: bytes) -> Reply | None:
    """Returns the answer, or None if it looks broken."""
    reader, writer = await entry.connect()
    try:
        writer.write(data)
        return await read_reply(reader)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    finally:
        writer.close()


@contextlib.contextmanager
def _cut(entry: EntryNode, data: bytes, ending: str):  # type: ignore[no-untyped-def]
    sound = entry.target._answer
    cut = _CutTarget(entry, data, ending)
    entry.target._answer = cut.answer  # type: ignore[method-assign]
    try:
        yield
    finally:
        entry.target._answer = sound  # type: ignore[method-assign]


class PartialAnswerTest(unittest.TestCase):
    """What callers get instead of parts, at first and when they ask again."""

    def test_no_part_is_delivered_or_stored_as_whole(self) -> None:
        """Guards against a part that looks whole, also from the records."""

        async def check(data: bytes, ending: str) -> None:
            # A target that failed is passed over for a while, so that each
            # part needs an instance of its own.
            async with start_entry() as entry:
                token = await entry.reserve()
                order = encode_request(
                    "POST", "/v1/orders", b"order", f"Idempotency-Key: {token}"
                )
                with _cut(entry, data, ending):
                    reply = await _call(entry, order)
                assert entry.target.ran
                assert reply is None or reply.status >= 500, reply
                # The answer that is stored under the request's ID.
                stored = encode_request("GET", f"/v1/requests/{token}")
                again = await _call(entry, stored)
                assert again is None or PART not in again.body, again

        for framing, kind, ending in itertools.product(
            FRAMINGS, KINDS, ENDINGS
        ):
            if (framing, ending) == ("neither", "FIN"):
                # It is whole, as far as anyone can tell.
                continue
            header, body = FRAMINGS[framing]
            head = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n" % kind
            with (
                self.subTest(framing=framing, kind=kind, ending=ending),
                # The reset may come late on a busy machine.
                mock.patch.object(sockets, "RESET_WAIT_S", WAIT_S),
            ):
                anyio.run(
                    check,
                    head + header + b"\r\n" + body,
                    ending,
                    backend_options=BACKEND_OPTIONS,
                )

    def test_no_part_of_a_stream_counts_as_completed(self) -> None:
        """Guards against the verdict of a whole stream behind a part."""

        async def check(head: bytes, body: bytes, ending: str) -> None:
            async with start_entry() as entry:
                call = encode_request("POST", CHAT, encode_chat_body(True))
                reply = None
                with _cut(entry, head + b"\r\n" + body, ending):
                    calling = asyncio.create_task(_call(entry, call))
                    # It is sent again and again until its deadline, unless the
                    # part counts as whole.
                    with anyio.fail_after(WAIT_S):
                        while len(entry.target.ran) < 2 and not calling.done():
                            await anyio.sleep(0.01)
                    if calling.done():
                        reply = calling.result()
                    calling.cancel()
                    await asyncio.wait([calling])
                assert entry.target.ran
            name = (head, ending, reply)
            assert reply is None or b'"completed"' not in reply.body, name

        event = b"id: 0\ndata: x\n\n"
        for framing, ending in itertools.product(FRAMINGS, ENDINGS):
            header, _ = FRAMINGS[framing]
            head = (
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                + header.replace(b"%d" % (len(PART) + 1), b"100")
            )
            content = event
            if framing == "no last chunk":
                content = b"%x\r\n%s\r\n" % (len(event), event)
            with self.subTest(framing=framing, ending=ending):
                anyio.run(
                    check,
                    head,
                    content,
                    ending,
                    backend_options=BACKEND_OPTIONS,
                )


class InvalidStatusTest(unittest.TestCase):
    """Answers whose status is none."""

    def test_no_caller_gets_them(self) -> None:
        """Guards against a status that callers cannot interpret."""

        async def check(status: str, stream: bool) -> None:
            kind = "text/event-stream" if stream else "application/json"
            content = b"id: 0\ndata: foreign\n\n" if stream else b"{}"
            head = (
                f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                f"Content-Length: {len(content)}\r\n\r\n"
            )
            # A target that failed is passed over for a while, so that each
            # status needs an instance of its own.
            async with start_entry() as entry:
                entry.target.next_replies = [head.encode() + content]
                body = encode_chat_body(stream)
                reply = await _call(entry, encode_request("POST", CHAT, body))
                assert not entry.target.next_replies, status
            name = (status, stream, reply)
            assert reply is None or reply.status in (200, 502, 503), name
            if reply is not None and reply.status == 200:
                # Of a further run, or the head of a stream with a verdict.
                assert b"foreign" not in reply.body, name
                assert reply.body != content, name

        for status in INVALID_STATUSES:
            for stream in (False, True):
                with self.subTest(status=status, stream=stream):
                    anyio.run(
                        check, status, stream, backend_options=BACKEND_OPTIONS
                    )
