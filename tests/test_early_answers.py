"""Tests of answers that are complete before the body of their request."""

import asyncio
import unittest

import anyio

from peridotbend.adapters.connectionlimits import ConnectionLimits
from peridotbend.adapters.exchanges import Receive, Scope, Send
from peridotbend.adapters.serving import HttpServer
from tests.edgenode import encode_request
from tests.test_serving import run_with_server

HEADER_TIMEOUT_S = 0.2
IDLE_TIMEOUT_S = 1.0


async def serve_at_once(scope: Scope, receive: Receive, send: Send) -> None:
    """Answers without reading the body."""
    del scope, receive
    head = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 503, "headers": head})
    await send({"type": "http.response.body", "body": b""})


class EarlyAnswerTest(unittest.TestCase):
    """Callers that send the rest of a body after the answer."""

    def test_connection_stays_for_the_idle_timeout(self) -> None:
        """Guards against closing an idle connection after a header timeout.

        One that is idle for longer than the idle timeout is closed.
        """

        async def test(server: HttpServer, port: int) -> None:
            server.apply_limits(16_384, HEADER_TIMEOUT_S, IDLE_TIMEOUT_S)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            start = encode_request("POST", "/", b"", "Content-Length: 5")
            for rest in (b"ab", b"cde"), (b"abcde",):
                writer.write(start)
                await reader.readuntil(b"\r\n\r\n")
                for part in rest:
                    writer.write(part)
                    await anyio.sleep(HEADER_TIMEOUT_S / 4)
                await anyio.sleep(2 * HEADER_TIMEOUT_S)
            writer.write(encode_request("GET", "/"))
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 503 "), answer
            writer.write(start)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"abcde")
            with anyio.fail_after(3 * IDLE_TIMEOUT_S):
                assert await reader.read() == b""
            writer.close()

        run_with_server(test, ConnectionLimits(), serve_at_once)

    def test_request_right_behind_the_body_is_not_idle(self) -> None:
        """Guards against closing a connection whose request runs."""

        async def serve(scope: Scope, receive: Receive, send: Send) -> None:
            if scope["path"] == "/slow":
                await anyio.sleep(2 * IDLE_TIMEOUT_S)
            await serve_at_once(scope, receive, send)

        async def test(server: HttpServer, port: int) -> None:
            server.apply_limits(16_384, HEADER_TIMEOUT_S, IDLE_TIMEOUT_S)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(encode_request("POST", "/", b"", "Content-Length: 5"))
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"abcde" + encode_request("GET", "/slow"))
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 503 "), answer
            writer.close()

        run_with_server(test, ConnectionLimits(), serve)
