"""Tests of the limits on connections, with real sockets."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import cast
from unittest import mock

import anyio
import uvicorn
from uvicorn.server import ServerState

from peridotbend.adapters.boundedconnections import BoundedConnection
from peridotbend.adapters.connectionlimits import ConnectionLimits
from peridotbend.adapters.exchanges import Receive, Scope, Send
from peridotbend.adapters.serving import HttpServer, ListenError, listen
from peridotbend.adapters.waitingconnections import (
    MIN_WAIT_MS,
    WaitingConnections,
)
from peridotbend.daemon import BACKEND_OPTIONS
from peridotbend.domain.clock import SystemClock
from tests.edgenode import EntryNode, encode_request, read_reply, run_with_entry
from tests.test_callers import check_error_reply

App = Callable[[Scope, Receive, Send], Awaitable[None]]
ORDERS = "/v1/orders"
LARGE_BODY = b"x" * (8 << 20)


async def serve_large(scope: Scope, receive: Receive, send: Send) -> None:
    """Sends a body larger than the buffers of a connection."""
    del scope, receive
    length = (b"content-length", str(len(LARGE_BODY)).encode())
    await send(
        {"type": "http.response.start", "status": 200, "headers": [length]}
    )
    await send({"type": "http.response.body", "body": LARGE_BODY})


async def serve_nothing(scope: Scope, receive: Receive, send: Send) -> None:
    """Answers nothing until the caller has left."""
    del scope, send
    while (await receive())["type"] != "http.disconnect":
        pass


@contextlib.asynccontextmanager
async def start_server(
    limits: ConnectionLimits, app: App
) -> AsyncIterator[tuple[HttpServer, int]]:
    """Serves an application; yields the server and its port."""
    listener = listen("127.0.0.1", 0)
    port = listener.getsockname()[1]
    server = HttpServer(app, listener, limits)
    with anyio.fail_after(20):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            yield server, port
            while server.count_connections():
                await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()


def run_with_server(
    test: Callable[[HttpServer, int], Awaitable[None]],
    limits: ConnectionLimits,
    app: App = serve_large,
) -> None:
    """Runs a test and waits until the server has closed all connections."""

    async def run_served() -> None:
        async with start_server(limits, app) as (server, port):
            await test(server, port)

    anyio.run(run_served, backend_options=BACKEND_OPTIONS)


class HeadersTest(unittest.TestCase):
    """Headers that are malformed, too long or too slow."""

    def test_unparsable_input(self) -> None:
        """Guards against parse errors without a verdict or with a false one."""

        async def test(entry: EntryNode) -> None:
            key = b"Idempotency-Key: abc\r\n"
            for data, verdict in (
                (b"nonsense\r\n\r\n", "not-run"),
                (b"\x16\x03\x01\x00\xa5", "may-have-run"),
                (b"POST /v1/orders HTTP/1.1\r\nno colon\r\n\r\n", "not-run"),
                (b"POST / HTTP/1.1\r\n" + key + b"a\r\n\r\n", "may-have-run"),
                (b"POST / HTTP/1.1\r\nno colon\r\n", "may-have-run"),
                (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "not-run"),
            ):
                reply = await entry.send(data)
                check_error_reply(reply, 400, "bad-input", verdict)
                assert reply.headers["connection"] == "close"
            call = encode_request(
                "POST", ORDERS, b"", "Transfer-Encoding: chunked"
            )
            reply = await entry.send(call + b"not hexadecimal\r\n")
            check_error_reply(reply, 400, "bad-input")

        run_with_entry(test)

    def test_headers_without_end(self) -> None:
        """Guards against memory that grows with endless headers."""

        async def test(entry: EntryNode) -> None:
            reader, writer = await entry.connect()
            writer.write(b"GET /v1/orders/1 HTTP/1.1\r\nX: ")
            for _ in range(20):
                writer.write(b"a" * 1000)
                await anyio.sleep(0.001)
            reply = await read_reply(reader)
            check_error_reply(reply, 431, "too-large", "may-have-run")
            writer.close()

        run_with_entry(test)

    def test_slow_headers(self) -> None:
        """Guards against connections held without a complete request."""

        async def test(server: HttpServer, port: int) -> None:
            for data in (b"", b"\r\n", b"GET / HT"):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                writer.write(data)
                if data.startswith(b"GET"):
                    reply = await read_reply(reader)
                    check_error_reply(reply, 408, "bad-input", "may-have-run")
                assert await reader.read() == b""
                writer.close()

        run_with_server(test, ConnectionLimits(header_timeout_s=0.1))


class ReaderTest(unittest.TestCase):
    """Callers that do not read their responses."""

    def test_caller_that_reads_nothing(self) -> None:
        """Guards against responses buffered forever for a stalled reader."""

        async def test(server: HttpServer, port: int) -> None:
            for headers in ([], ["Connection: close"]):
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", port, limit=1
                )
                writer.write(encode_request("GET", "/", b"", *headers))
                while not server.count_connections():
                    await anyio.sleep(0.005)
                while server.count_connections():
                    await anyio.sleep(0.005)
                assert not server.count_tasks()
                writer.transport.abort()

        run_with_server(test, ConnectionLimits(write_stall_timeout_s=0.1))


class _ManualLoop:
    """Collects timers, which a test fires."""

    def __init__(self) -> None:
        self._timers: list[asyncio.TimerHandle] = []

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *args: object
    ) -> asyncio.TimerHandle:
        """Adds a timer."""
        loop = cast(asyncio.AbstractEventLoop, mock.Mock())
        timer = asyncio.TimerHandle(delay_s, callback, args, loop)
        self._timers.append(timer)
        return timer

    def drop_all(self) -> None:
        """Forgets all timers."""
        self._timers.clear()

    def fire_all(self) -> None:
        """Lets the time of all timers pass."""
        timers, self._timers = self._timers, []
        for timer in timers:
            if not timer.cancelled():
                timer._run()


class _FakeTransport(asyncio.Transport):
    """A connection whose caller has not read some bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.unread_bytes = 1_000
        self.is_aborted = False
        self.is_closed = False

    def get_write_buffer_size(self) -> int:
        return self.unread_bytes

    def is_closing(self) -> bool:
        return self.is_aborted or self.is_closed

    def abort(self) -> None:
        self.is_aborted = True

    def close(self) -> None:
        self.is_closed = True


class SlowReaderTest(unittest.TestCase):
    """Callers that read their responses slowly."""

    def setUp(self) -> None:
        """Creates a connection."""
        self.loop = _ManualLoop()
        self.transport = _FakeTransport()
        config = uvicorn.Config(serve_large, log_config=None)
        config.load()
        self.connection = BoundedConnection(
            ConnectionLimits(),
            WaitingConnections(SystemClock()),
            config,
            ServerState(),
            {},
            cast(asyncio.AbstractEventLoop, self.loop),
        )
        self.connection.connection_made(self.transport)
        # Its request has arrived.
        self.loop.drop_all()

    def _check(self) -> None:
        for _ in range(3):
            self.transport.unread_bytes -= 100
            self.loop.fire_all()
            assert not self.transport.is_closing()
        self.loop.fire_all()
        assert self.transport.is_aborted

    def test_caller_that_reads_on_is_not_dropped(self) -> None:
        """Guards against cutting an answer that is read slowly."""
        self.connection.pause_writing()
        self._check()

    def test_caller_that_reads_the_end_is_not_idle(self) -> None:
        """Guards against cutting an answer that was written but not read."""
        self.connection.on_response_complete()
        self._check()

    def test_caller_that_has_read_all_may_stay_idle(self) -> None:
        """Guards against closing a channel right after its last answer."""
        self.connection.on_response_complete()
        self.transport.unread_bytes = 0
        self.loop.fire_all()
        assert not self.transport.is_closing()
        self.loop.fire_all()
        assert self.transport.is_closed


class ConnectionLimitTest(unittest.TestCase):
    """The limit on the number of connections."""

    def test_connections_above_the_limit(self) -> None:
        """Guards against memory that grows with the number of connections."""

        async def test(entry: EntryNode) -> None:
            entry.target.unblocked.clear()
            key = f"Idempotency-Key: {await entry.reserve()}"
            order = encode_request("POST", ORDERS, b"1", key)
            server = entry.node.caller_server
            await entry.wait_for(lambda: not server.count_connections())
            busy = [await entry.connect() for _ in range(2)]
            busy[0][1].write(order)
            await entry.wait_for(lambda: ORDERS in entry.target.ran)
            busy[1][1].write(encode_request("GET", ORDERS + "/1"))
            await entry.wait_for(lambda: server.count_tasks() == 2)
            reply = await entry.call("GET", ORDERS + "/1")
            check_error_reply(reply, 503, "at-capacity")
            assert reply.headers["connection"] == "close"
            reply = await entry.send(order)
            check_error_reply(reply, 503, "at-capacity", "may-have-run")
            entry.target.unblocked.set()
            for reader, writer in busy:
                assert (await read_reply(reader)).status == 200
                writer.close()

        run_with_entry(test, max_connections=2)

    def test_connections_far_above_the_limit(self) -> None:
        """Guards against unbounded memory for refusing connections."""

        async def test(server: HttpServer, port: int) -> None:
            connections = []
            for _ in range(300):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                writer.write(encode_request("GET", "/"))
                connections.append((reader, writer))
                while server.count_tasks() < min(257, len(connections)):
                    await anyio.sleep(0)
            while server.count_connections() > 257:
                await anyio.sleep(0.005)
            closed = await asyncio.gather(
                *(reader.read() for reader, _ in connections[258:]),
                return_exceptions=True,
            )
            assert len(closed) == 42
            for _, writer in connections:
                writer.close()

        limits = ConnectionLimits(max_connections=1, header_timeout_s=1e3)
        run_with_server(test, limits, serve_nothing)

    def test_idle_connections_make_room(self) -> None:
        """Guards against idle callers that keep all others out.

        The one that waits longest is closed, whether it has sent nothing, a
        part of a head or a part of a body; those whose requests run stay.
        """

        async def test(server: HttpServer, port: int) -> None:
            body = encode_request("GET", "/", b"", "Content-Length: 5")
            starts = (b"GET / HT", b"", body + b"x", b"GET /2", body)
            connections = []
            for start in (encode_request("GET", "/"), *starts):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                connections.append((reader, writer))
                writer.write(start)
                while server.count_connections() < len(connections):
                    await anyio.sleep(0.005)
            while server.count_tasks() < 3:
                await anyio.sleep(0.005)
            # Bodies last, since their callers have sent a request.
            for index in (1, 2, 4, 3, 5):
                await anyio.sleep(2 * MIN_WAIT_MS / 1_000)
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                writer.write(encode_request("GET", "/"))
                answer = await connections[index][0].read()
                expected = b"" if index == 2 else b"HTTP/1.1 408 "
                assert answer[:13] == expected, (index, answer)
                connections.append((reader, writer))
            assert server.count_closed() == 5
            assert server.count_connections() == 6
            for _, writer in connections:
                writer.close()

        limits = ConnectionLimits(max_connections=6, header_timeout_s=1e3)
        run_with_server(test, limits, serve_nothing)

    def test_answers_that_are_still_sent_are_not_cut(self) -> None:
        """Guards against a slow reader whose answer is cut for another."""

        async def test(server: HttpServer, port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(encode_request("GET", "/"))
            await reader.readuntil(b"\r\n\r\n")
            await anyio.sleep(2 * MIN_WAIT_MS / 1_000)
            _, other = await asyncio.open_connection("127.0.0.1", port)
            while server.count_connections() < 2:
                await anyio.sleep(0.005)
            assert await reader.readexactly(len(LARGE_BODY)) == LARGE_BODY
            writer.close()
            other.close()

        run_with_server(test, ConnectionLimits(max_connections=1))

    def test_limit_fits_the_open_files(self) -> None:
        """Guards against callers that use up the descriptors peers need."""
        limits = ConnectionLimits(max_connections=10**9).cap_to_open_files()
        assert 0 < limits.max_connections < 10**9


class ListenTest(unittest.TestCase):
    """Addresses to listen on."""

    def test_port_in_use(self) -> None:
        """Guards against a traceback instead of an actionable error message."""
        with listen("127.0.0.1", 0) as taken:
            port = taken.getsockname()[1]
            try:
                listen("127.0.0.1", port)
            except ListenError as error:
                assert str(port) in str(error) and "settings" in str(error)
            else:
                raise AssertionError("listened twice")
