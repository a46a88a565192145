"""Tests of the bounds on connections, with real sockets."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

from peridotbend.adapters.boundedconnections import ConnectionLimits
from peridotbend.adapters.exchanges import Receive, Scope, Send
from peridotbend.adapters.serving import HttpServer, ListenError, listen
from peridotbend.daemon import BACKEND_OPTIONS
from tests.edgenode import EdgeNode, read_reply, run_edge, write_call
from tests.test_callers import check_refusal

ORDERS = "/v1/orders"
LARGE = b"x" * (8 << 20)


async def serve_large(scope: Scope, receive: Receive, send: Send) -> None:
    """Answers with more than the buffers of a connection hold."""
    del scope, receive
    length = (b"content-length", str(len(LARGE)).encode())
    await send(
        {"type": "http.response.start", "status": 200, "headers": [length]}
    )
    await send({"type": "http.response.body", "body": LARGE})


@contextlib.asynccontextmanager
async def serve(
    limits: ConnectionLimits,
) -> AsyncIterator[tuple[HttpServer, int]]:
    """Serves large answers and yields the port."""
    listener = listen("127.0.0.1", 0)
    port = listener.getsockname()[1]
    server = HttpServer(serve_large, listener, limits)
    with anyio.fail_after(20):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            yield server, port
            while server.count_connections():
                await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()


def run(
    test: Callable[[HttpServer, int], Awaitable[None]],
    limits: ConnectionLimits,
) -> None:
    """Runs a test; all connections have to end by themselves."""

    async def run_served() -> None:
        async with serve(limits) as (server, port):
            await test(server, port)

    anyio.run(run_served, backend_options=BACKEND_OPTIONS)


class HeadersTest(unittest.TestCase):
    """Headers that are no HTTP, too long or too slow."""

    def test_unparsable_input(self) -> None:
        """Guards against refusals without a verdict, or with a false one."""

        async def test(edge: EdgeNode) -> None:
            key = b"Idempotency-Key: abc\r\n"
            for data, verdict in (
                (b"nonsense\r\n\r\n", "not-run"),
                (b"\x16\x03\x01\x00\xa5", "may-have-run"),
                (b"POST /v1/orders HTTP/1.1\r\nno colon\r\n\r\n", "not-run"),
                (b"POST / HTTP/1.1\r\n" + key + b"a\r\n\r\n", "may-have-run"),
                (b"POST / HTTP/1.1\r\nno colon\r\n", "may-have-run"),
                (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "not-run"),
            ):
                reply = await edge.send(data)
                check_refusal(reply, 400, "bad-input", verdict)
                assert reply.headers["connection"] == "close"
            call = write_call("POST", ORDERS, b"", "Transfer-Encoding: chunked")
            reply = await edge.send(call + b"not hexadecimal\r\n")
            check_refusal(reply, 400, "bad-input")

        run_edge(test)

    def test_headers_without_end(self) -> None:
        """Guards against headers that grow in memory without a bound."""

        async def test(edge: EdgeNode) -> None:
            reader, writer = await edge.connect()
            writer.write(b"GET /v1/orders/1 HTTP/1.1\r\nX: ")
            for _ in range(20):
                writer.write(b"a" * 1000)
                await anyio.sleep(0.001)
            reply = await read_reply(reader)
            check_refusal(reply, 431, "too-large", "may-have-run")
            writer.close()

        run_edge(test)

    def test_slow_headers(self) -> None:
        """Guards against connections that are held without a call."""

        async def test(server: HttpServer, port: int) -> None:
            for data in (b"", b"\r\n", b"GET / HT"):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                writer.write(data)
                if data.startswith(b"GET"):
                    reply = await read_reply(reader)
                    check_refusal(reply, 408, "bad-input", "may-have-run")
                assert await reader.read() == b""
                writer.close()

        run(test, ConnectionLimits(header_timeout_s=0.1))


class ReaderTest(unittest.TestCase):
    """Callers that do not read their answers."""

    def test_caller_that_reads_nothing(self) -> None:
        """Guards against answers that are kept for a caller for ever."""

        async def test(server: HttpServer, port: int) -> None:
            for headers in ([], ["Connection: close"]):
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", port, limit=1
                )
                writer.write(write_call("GET", "/", b"", *headers))
                while not server.count_connections():
                    await anyio.sleep(0.005)
                while server.count_connections():
                    await anyio.sleep(0.005)
                assert not server.count_tasks()
                writer.transport.abort()

        run(test, ConnectionLimits(write_stall_timeout_s=0.1))


class ConnectionLimitTest(unittest.TestCase):
    """More connections than the process serves."""

    def test_connections_above_the_limit(self) -> None:
        """Guards against memory that callers fill with connections."""

        async def test(edge: EdgeNode) -> None:
            edge.target.go_on.clear()
            key = f"Idempotency-Key: {await edge.reserve()}"
            order = write_call("POST", ORDERS, b"1", key)
            server = edge.node.caller_server
            await edge.wait_for(lambda: not server.count_connections())
            idle = [await edge.connect() for _ in range(2)]
            idle[0][1].write(order)
            await edge.wait_for(lambda: ORDERS in edge.target.ran)
            reply = await edge.call("GET", ORDERS + "/1")
            check_refusal(reply, 503, "at-capacity")
            assert reply.headers["connection"] == "close"
            reply = await edge.send(order)
            check_refusal(reply, 503, "at-capacity", "may-have-run")
            edge.target.go_on.set()
            assert (await read_reply(idle[0][0])).status == 200
            for _, writer in idle:
                writer.close()

        run_edge(test, max_connections=2)

    def test_connections_far_above_the_limit(self) -> None:
        """Guards against refusals that themselves take all the memory."""

        async def test(server: HttpServer, port: int) -> None:
            held = [
                await asyncio.open_connection("127.0.0.1", port)
                for _ in range(300)
            ]
            while server.count_connections() > 257:
                await anyio.sleep(0.005)
            closed = await asyncio.gather(
                *(reader.read() for reader, _ in held[258:]),
                return_exceptions=True,
            )
            assert len(closed) == 42
            for _, writer in held:
                writer.close()

        limits = ConnectionLimits(max_connections=1, header_timeout_s=1e3)
        run(test, limits)

    def test_limit_fits_the_open_files(self) -> None:
        """Guards against callers that take the files that peers need."""
        limits = ConnectionLimits(max_connections=10**9).cap_to_open_files()
        assert 0 < limits.max_connections < 10**9


class ListenTest(unittest.TestCase):
    """Addresses to listen on."""

    def test_port_in_use(self) -> None:
        """Guards against a traceback in the place of a remedy."""
        with listen("127.0.0.1", 0) as taken:
            port = taken.getsockname()[1]
            try:
                listen("127.0.0.1", port)
            except ListenError as error:
                assert str(port) in str(error) and "settings" in str(error)
            else:
                raise AssertionError("listened twice")
