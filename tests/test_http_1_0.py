"""Tests of answers to callers of HTTP/1.0, with real sockets."""

import contextlib
import dataclasses
import socket
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.to_thread

from peridotbend.adapters.exchanges import Receive, Scope, Send
from peridotbend.adapters.serving import HttpServer, listen
from peridotbend.daemon import BACKEND_OPTIONS
from tests.edgenode import EntryNode, encode_chat_body, run_with_entry

TEST_TIMEOUT_S = 30.0
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What an application answers."""

    status: int = 200
    parts: tuple[bytes, ...] = ()
    # Without a length, the server has to tell the end.
    has_length: bool = False
    is_whole: bool = True

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Reads the body of the request and answers."""
        while (await receive()).get("more_body"):
            pass
        headers = []
        if self.has_length:
            size = sum(len(part) for part in self.parts)
            headers.append((b"content-length", str(size).encode()))
        start = {"status": self.status, "headers": headers}
        await send({"type": "http.response.start", **start})
        for part in self.parts:
            message = {"body": part, "more_body": True}
            await send({"type": "http.response.body", **message})
        if self.is_whole:
            await send({"type": "http.response.body", "body": b""})


@contextlib.asynccontextmanager
async def serve(app: Answer) -> AsyncIterator[int]:
    """Serves an application; yields its port."""
    listener = listen("127.0.0.1", 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(HttpServer(app, listener).run)
        yield listener.getsockname()[1]
        tasks.cancel_scope.cancel()


async def exchange(port: int, request: bytes) -> bytes:
    """Returns all that is answered to a request.

    Raises:
        ConnectionResetError: the answer was cut.
    """

    def receive_all() -> bytes:
        # Event loops may report a reset behind data as an ordinary end.
        with socket.create_connection(("127.0.0.1", port)) as connection:
            connection.sendall(request)
            received = b""
            while data := connection.recv(65_536):
                received += data
            return received

    return await anyio.to_thread.run_sync(receive_all)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Runs a test on the event loop of the daemons."""

    async def run_with_timeout() -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            await test()

    anyio.run(run_with_timeout, backend_options=BACKEND_OPTIONS)


class UnframedAnswerTest(unittest.TestCase):
    """Answers without a length."""

    def _ask(self, answer: Answer, method: str = "GET") -> tuple[bytes, bytes]:
        """Returns head and body of an answer."""
        received = b""

        async def test() -> None:
            nonlocal received
            async with serve(answer) as port:
                request = f"{method} /a HTTP/1.0\r\nHost: x\r\n\r\n"
                received = await exchange(port, request.encode())

        run(test)
        head, _, body = received.partition(b"\r\n\r\n")
        assert b"transfer-encoding" not in head.lower(), head
        assert b"\r\nconnection: close" in head.lower(), head
        return head, body

    def test_streams_end_with_the_connection(self) -> None:
        """Guards against chunks, which HTTP/1.0 doesn't have."""
        head, body = self._ask(Answer(parts=EVENTS))
        assert b"content-length" not in head.lower()
        assert body == b"".join(EVENTS)

    def test_answers_with_a_length_keep_it(self) -> None:
        """Guards against a length that is dropped or wrong."""
        head, body = self._ask(Answer(parts=EVENTS, has_length=True))
        assert b"content-length: 30" in head.lower()
        assert body == b"".join(EVENTS)

    def test_answers_without_a_body_have_none(self) -> None:
        """Guards against a body after a head that has none."""
        assert self._ask(Answer(status=204))[1] == b""
        assert self._ask(Answer(parts=EVENTS), "HEAD")[1] == b""

    def test_cut_stream_is_reset(self) -> None:
        """Guards against a part of an answer that looks whole."""

        async def test() -> None:
            async with serve(Answer(parts=EVENTS, is_whole=False)) as port:
                with self.assertRaises(ConnectionResetError):
                    await exchange(port, b"GET /a HTTP/1.0\r\n\r\n")

        run(test)

    def test_no_interim_answer_is_sent(self) -> None:
        """Guards against 100 Continue, which HTTP/1.0 doesn't have."""
        lines = (
            b"POST /a HTTP/1.0",
            b"Expect: 100-continue",
            b"Content-Length: 1",
        )

        async def test() -> None:
            async with serve(Answer(parts=EVENTS)) as port:
                request = b"\r\n".join((*lines, b"", b"1"))
                answer = await exchange(port, request)
                assert answer.startswith(b"HTTP/1.1 200 "), answer

        run(test)


class EntryTest(unittest.TestCase):
    """The product's own interface."""

    def test_answers_and_refusals_have_no_chunks(self) -> None:
        """Guards against chunks in any kind of answer."""

        async def ask(entry: EntryNode, path: str, body: bytes) -> bytes:
            request = (
                f"POST {path} HTTP/1.0\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode() + body
            reader, writer = await entry.connect()
            writer.write(request)
            try:
                return await reader.read()
            finally:
                writer.close()

        async def test(entry: EntryNode) -> None:
            path = "/v1/chat/completions"
            stream = await ask(entry, path, encode_chat_body(True))
            whole = await ask(entry, path, encode_chat_body(False))
            refusal = await ask(entry, "/unknown", b"x")
            for answer in (stream, whole, refusal):
                assert b"transfer-encoding" not in answer.lower(), answer
            assert b"\r\n\r\nid: 0\ndata:" in stream, stream
            assert stream.endswith(b"\n\n"), stream
            assert refusal.startswith(b"HTTP/1.1 404 "), refusal

        run_with_entry(test)
