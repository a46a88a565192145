"""Tests of the HTTP client for targets."""

import asyncio
import contextlib
import socket
import struct
import unittest
from collections.abc import Callable, Sequence

import anyio
from anyio.abc import SocketStream
from result import Err, Ok

from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
    TargetCall,
)
from peridotbend.domain.text import Target

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


class _RecordingServer:
    """A loopback server that records received bytes and sends one reply."""

    def __init__(self, reply: bytes):
        self.reply = reply
        self.received = b""

    async def handle(self, stream: SocketStream) -> None:
        async with stream:
            while not self.received.endswith(b"body"):
                try:
                    self.received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
            if self.reply:
                await stream.send(self.reply)


async def _call_in_turn(
    answers: Sequence[bytes], method: str = "GET"
) -> list[tuple[int, bytes]]:
    """Sends one call after the other, each answered with the next bytes.

    Returns the status and the body of each answer; the status is 0 if there
    was none.
    """
    pending = list(answers)

    async def handle(stream: SocketStream) -> None:
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                while await stream.receive():
                    await stream.send(pending.pop(0))

    results: list[tuple[int, bytes]] = []
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    target = Target("t", "s", "z", "127.0.0.1", port)
    call = TargetCall(method, "/x", (), b"", 5_000)
    client = HttpTargetClient()
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        for _ in answers:
            async with client.open(target, call, lambda: True) as opened:
                if isinstance(opened, Err):
                    results.append((0, b""))
                    continue
                answer = opened.ok_value
                chunks = [chunk.unwrap() async for chunk in answer.chunks()]
                results.append((answer.head.status, b"".join(chunks)))
        await client.aclose()
        tasks.cancel_scope.cancel()
    return results


async def _call(
    reply: bytes, gate: Callable[[], bool], reuse: bool = True
) -> tuple[list[bytes], CallError | None, bytes]:
    """Sends a call; returns body chunks, the error and the received bytes."""
    server = _RecordingServer(reply)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    target = Target("t", "s", "z", "127.0.0.1", port)
    call = TargetCall("POST", "/x", (), b"body", 5_000, reuse)
    client = HttpTargetClient()
    chunks: list[bytes] = []
    error: CallError | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.handle)
        async with client.open(target, call, gate) as opened:
            if isinstance(opened, Err):
                error = opened.err_value
            else:
                async for chunk in opened.ok_value.chunks():
                    if isinstance(chunk, Ok):
                        chunks.append(chunk.ok_value)
                    else:
                        error = chunk.err_value
        await client.aclose()
        tasks.cancel_scope.cancel()
    await listener.aclose()
    return chunks, error, server.received


class DispatchBoundaryTest(unittest.TestCase):
    """Whether any byte of a call may have reached the target."""

    def test_closed_gate_writes_nothing(self) -> None:
        """Guards against a dispatch after the deadline has closed the gate."""
        for reuse in (True, False):
            _, error, received = anyio.run(_call, ANSWER, lambda: False, reuse)
            assert error and error.failure is CallFailure.GATE
            assert not error.written and received == b""

    def test_open_gate_is_asked_once(self) -> None:
        """Guards against a call that is written twice."""
        gate_calls: list[bool] = []

        def gate() -> bool:
            gate_calls.append(True)
            return True

        chunks, error, received = anyio.run(_call, ANSWER, gate)
        assert b"".join(chunks) == b"hello" and error is None
        assert gate_calls == [True] and received.endswith(b"body")

    def test_break_after_the_write_counts_as_written(self) -> None:
        """Guards against "not run" for a request that a target has read."""
        for reply in (b"", ANSWER[:-2], b"HTTP/1.1 2"):
            _, error, _ = anyio.run(_call, reply, lambda: True)
            assert error and error.written, reply
            assert error.failure is CallFailure.BROKEN, reply

    def test_refused_connection_counts_as_not_written(self) -> None:
        """Guards against "may have run" when the connection was refused."""

        async def run() -> CallError:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            await listener.aclose()
            target = Target("t", "s", "z", "127.0.0.1", port)
            call = TargetCall("GET", "/", (), b"", 5_000)
            client = HttpTargetClient()
            async with client.open(target, call, lambda: True) as opened:
                assert isinstance(opened, Err)
                return opened.err_value

        error = anyio.run(run)
        assert error.failure is CallFailure.REFUSED and not error.written


class DelimitedAnswerTest(unittest.TestCase):
    """Whether the end of an answer is that of its connection."""

    def test_answer_without_a_body_does_not_end_its_connection(self) -> None:
        """Guards against the check of answers that have no body."""
        typed = b"\r\nContent-Type: application/json\r\n\r\n"
        for method, status, is_delimited in (
            ("GET", b"200 OK", False),
            ("HEAD", b"200 OK", True),
            ("GET", b"204 No Content", True),
            ("GET", b"304 Not Modified", True),
        ):
            with self.subTest(method=method, status=status):
                answer = b"HTTP/1.1 " + status + typed
                head = anyio.run(_read_head, answer, method)
                assert head.is_delimited == is_delimited


async def _read_head(reply: bytes, method: str) -> AnswerHead:
    async def handle(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(reply)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    target = Target("t", "s", "z", "127.0.0.1", port)
    call = TargetCall(method, "/x", (), b"", 5_000)
    client = HttpTargetClient()
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        async with client.open(target, call, lambda: True) as opened:
            head = opened.unwrap().head
            async for chunk in opened.unwrap().chunks():
                assert chunk.is_ok()
        await client.aclose()
        tasks.cancel_scope.cancel()
    return head


class ListeningTest(unittest.TestCase):
    """Whether a process listens at the address of a target."""

    def check(
        self, after_connect: Callable[[socket.socket], None]
    ) -> CallError | None:
        """Checks a target that does something after the connection."""

        async def run() -> CallError | None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                port = listener.getsockname()[1]
                target = Target("t", "s", "z", "127.0.0.1", port)
                loop = asyncio.get_running_loop()
                loop.call_later(0.01, after_connect, listener)
                return await HttpTargetClient().check_listening(target)

        return anyio.run(run)

    def test_process_that_listens_is_alive(self) -> None:
        """Guards against the loss of whole answers of sound targets."""
        assert self.check(lambda _: None) is None
        held: list[object] = []
        assert self.check(lambda s: held.append(s.accept())) is None

    def test_refused_or_reset_connection_shows_that_it_ended(self) -> None:
        """Guards against a process that seems to live while it is ended.

        The kernel may close its connections before it stops listening.
        """
        for action in (socket.socket.close, _reset_accepted):
            error = self.check(action)
            assert error and error.failure is CallFailure.REFUSED
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        target = Target("t", "s", "z", "127.0.0.1", port)
        error = anyio.run(HttpTargetClient().check_listening, target)
        assert error and error.failure is CallFailure.REFUSED

    def test_connection_that_is_closed_shows_nothing(self) -> None:
        """Guards against a living target that counts as dead."""
        error = self.check(lambda s: s.accept()[0].close())
        assert error and error.failure is CallFailure.CONNECT


def _reset_accepted(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


class ForeignAnswerTest(unittest.TestCase):
    """Bytes of a target in trouble that are no answer to the call."""

    def test_bytes_after_an_answer_do_not_answer_the_next_call(self) -> None:
        """Guards against a caller that gets the answer to another call."""
        sound = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
        chunked = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nhello\r\n0\r\n\r\n"
        )
        for first in (ANSWER, chunked):
            for extra in (ANSWER, b"\xff\xfe\x00", b"HTTP/1.1 200"):
                with self.subTest(first=first, extra=extra):
                    results = anyio.run(_call_in_turn, [first + extra, sound])
                    assert results == [(200, b"hello"), (200, b"sound")]

    def test_header_with_a_control_character_is_no_answer(self) -> None:
        """Guards against a head that no server can send to its caller."""
        for byte in (*range(1, 9), *range(14, 32), 127):
            head = b"HTTP/1.1 200 OK\r\nX-Any: a%cb\r\n" % byte
            reply = head + b"Content-Length: 0\r\n\r\n"
            _, error, _ = anyio.run(_call, reply, lambda: True)
            assert error and error.written, byte
            assert error.failure is CallFailure.FOREIGN, byte

    def test_header_with_other_characters_is_passed_on(self) -> None:
        """Guards against the loss of the answer of a sound target."""
        reply = b"HTTP/1.1 200 OK\r\nX-Any: a\tb \xe9\xff~\r\n" + ANSWER[17:]
        chunks, error, _ = anyio.run(_call, reply, lambda: True)
        assert chunks == [b"hello"] and error is None

    def test_bytes_that_are_no_answer_are_no_broken_connection(self) -> None:
        """Guards against requests blamed for a target that lives."""
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for reply in (
            b"\xff\xfe\x00\x9c\r\n\r\n",
            b"noise\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nno header\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            chunked + b"noise\r\n",
            chunked + b"5\r\nhello\r\nnoise\r\n",
        ):
            _, error, _ = anyio.run(_call, reply, lambda: True)
            assert error and error.written, reply
            assert error.failure is CallFailure.BROKEN, reply
            assert error.is_garbled, reply

    def test_answer_that_is_cut_is_a_broken_connection(self) -> None:
        """Guards against crashes of targets that count as foreign bytes."""
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for reply in (
            b"",
            b"HTT",
            b"HTTP/1.1 200 OK\r\nContent-",
            ANSWER[:-1],
            chunked,
            chunked + b"5\r\nhel",
            chunked + b"5\r\nhello\r\n",
        ):
            _, error, _ = anyio.run(_call, reply, lambda: True)
            assert error and error.written, reply
            assert error.failure is CallFailure.BROKEN, reply
            assert not error.is_garbled, reply
