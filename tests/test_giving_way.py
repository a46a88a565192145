"""Tests of connections that are closed to make room for others."""

import asyncio
import unittest

import anyio

from peridotbend.adapters.connectionlimits import ConnectionLimits
from peridotbend.adapters.exchanges import Receive, Scope, Send
from peridotbend.adapters.serving import HttpServer
from peridotbend.adapters.waitingconnections import MIN_WAIT_MS
from tests.edgenode import encode_request
from tests.test_serving import run_with_server, serve_nothing


class GiveWayTest(unittest.TestCase):
    """Connections that are closed for a new one."""

    def test_refused_caller_gets_one_answer(self) -> None:
        """Guards against a second answer after the one that refuses."""

        async def test(server: HttpServer, port: int) -> None:
            del server
            for start in (
                b"GET / HT",
                b"G@T / HTTP/1.1\r\n",
                encode_request("GET", "/", b"", "Transfer-Encoding: chunked")
                + b"z\r\n",
            ):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                writer.write(start)
                answer = await reader.readuntil(b"}}")
                await anyio.sleep(2 * MIN_WAIT_MS / 1_000)
                _, other = await asyncio.open_connection("127.0.0.1", port)
                answer += await reader.read()
                writer.close()
                other.close()
                assert answer.count(b"HTTP/1.1 4") == 1, (start, answer)

        limits = ConnectionLimits(max_connections=1, header_timeout_s=0.3)
        run_with_server(test, limits, serve_nothing)

    def test_request_that_runs_before_an_incomplete_one(self) -> None:
        """Guards against cutting a request because the next one is slow."""
        second_runs, may_end = anyio.Event(), anyio.Event()

        async def serve(scope: Scope, receive: Receive, send: Send) -> None:
            del receive
            if scope["path"] == "/second":
                second_runs.set()
                await may_end.wait()
            head = [(b"content-length", b"0")]
            await send(
                {"type": "http.response.start", "status": 200, "headers": head}
            )
            await send({"type": "http.response.body", "body": b""})

        async def test(server: HttpServer, port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            incomplete = encode_request("GET", "/", b"", "Content-Length: 5")
            writer.write(
                encode_request("GET", "/")
                + encode_request("GET", "/second")
                + incomplete
            )
            await second_runs.wait()
            await anyio.sleep(2 * MIN_WAIT_MS / 1_000)
            _, other = await asyncio.open_connection("127.0.0.1", port)
            while server.count_connections() < 2 and not server.count_closed():
                await anyio.sleep(0.005)
            may_end.set()
            for _ in range(2):
                answer = await reader.readuntil(b"\r\n\r\n")
                assert answer.startswith(b"HTTP/1.1 200 "), answer
            writer.close()
            other.close()

        run_with_server(test, ConnectionLimits(max_connections=1), serve)
