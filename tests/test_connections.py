"""Tests of the pool of connections to targets."""

import contextlib
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

from peridotbend.adapters import connections
from peridotbend.adapters.connections import Connection, ConnectionPool
from peridotbend.domain.clock import Clock, ManualClock
from peridotbend.domain.text import Target

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
WAIT_TIMEOUT_S = 10.0


def _run_check(
    check: Callable[
        [ConnectionPool, httpcore.URL, list[SocketStream]], Awaitable[None]
    ],
    clock: Clock | None = None,
    answer: bytes = ANSWER,
) -> None:
    """Runs a check against a server that records accepted connections."""
    accepted: list[SocketStream] = []

    async def serve(stream: SocketStream) -> None:
        accepted.append(stream)
        try:
            while await stream.receive():
                await stream.send(answer)
        except (
            anyio.EndOfStream,
            anyio.ClosedResourceError,
            anyio.BrokenResourceError,
        ):
            await stream.aclose()

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        pool = ConnectionPool(clock=clock)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            url = httpcore.URL(
                scheme=b"http", host=b"127.0.0.1", port=port, target=b"/"
            )
            await check(pool, url, accepted)
            await pool.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def _make_target(url: httpcore.URL) -> Target:
    assert url.port is not None
    return Target("t-1", "service", "zone", url.host.decode(), url.port)


async def _call(
    pool: ConnectionPool, url: httpcore.URL, reuse: bool = True
) -> Connection:
    connection = await pool.acquire(url.origin, reuse, 5.0, _make_target(url))
    request = httpcore.Request("GET", url, headers=[("Host", "test")])
    response = await connection.handle_async_request(request)
    await response.aread()
    await response.aclose()
    await pool.release(connection, url.origin, reuse)
    return connection


class ConnectionPoolTest(unittest.TestCase):
    """Reuse, expiry and limits of pooled connections."""

    def test_only_reusable_calls_share_a_connection(self) -> None:
        """Guards against an order sent on a connection that may be dead.

        Only calls that may be sent again reuse a connection.
        """

        async def check(
            pool: ConnectionPool,
            url: httpcore.URL,
            accepted: list[SocketStream],
        ) -> None:
            await _call(pool, url)
            await _call(pool, url)
            assert len(accepted) == 1
            await _call(pool, url, reuse=False)
            assert len(accepted) == 2
            await _call(pool, url)
            assert len(accepted) == 2

        _run_check(check)

    def test_connection_that_the_target_closed_is_not_used(self) -> None:
        """Guards against "may have run" for a call to a restarted target."""

        async def check(
            pool: ConnectionPool,
            url: httpcore.URL,
            accepted: list[SocketStream],
        ) -> None:
            await _call(pool, url)
            await accepted[0].aclose()
            await anyio.sleep(0.01)
            await _call(pool, url)
            assert len(accepted) == 2

        _run_check(check)

    def test_connection_that_closes_before_its_time_is_reported(self) -> None:
        """Guards against the end of a process that nobody notices."""
        for stated, idle_ms, expected in (
            (b"Keep-Alive: timeout=5\r\n", 4_000, ["t-1"]),
            (b"keep-alive: max=9, timeout=5\r\n", 4_000, ["t-1"]),
            (b"Keep-Alive: timeout=5\r\n", 5_000, []),
            (b"Keep-Alive: soon\r\n", 0, []),
            (b"", 0, []),
        ):
            with self.subTest(stated=stated, idle_ms=idle_ms):
                self._check_reports(stated, idle_ms, expected)

    def _check_reports(
        self, stated: bytes, idle_ms: int, expected: list[str]
    ) -> None:
        clock = ManualClock()
        reported: list[str] = []

        async def check(
            pool: ConnectionPool,
            url: httpcore.URL,
            accepted: list[SocketStream],
        ) -> None:
            pool.on_early_close = lambda target: reported.append(target.name)
            connection = await _call(pool, url)
            clock.advance(idle_ms)
            await accepted[0].aclose()
            while not connection.has_expired():
                await anyio.sleep(0.01)

        _run_check(check, clock, ANSWER[:-2] + stated + b"\r\n")
        assert reported == expected, reported

    def test_bounds_count_each_connection_once(self) -> None:
        """Guards against leaked slots, which would block all further calls."""

        async def check(
            pool: ConnectionPool,
            url: httpcore.URL,
            accepted: list[SocketStream],
        ) -> None:
            for _ in range(3):
                async with anyio.create_task_group() as tasks:
                    for _ in range(2):
                        tasks.start_soon(_call, pool, url)
                await _call(pool, url, reuse=False)
            first = await pool.acquire(
                url.origin, False, 5.0, _make_target(url)
            )
            second = await pool.acquire(
                url.origin, True, 5.0, _make_target(url)
            )
            try:
                await pool.acquire(url.origin, False, 0.01, _make_target(url))
                raise AssertionError("more connections than the bound")
            except httpcore.PoolTimeout:
                pass
            for connection in (first, second):
                await pool.release(connection, url.origin, False)

        with (
            mock.patch.object(connections, "MAX_CONNECTIONS", 2),
            mock.patch.object(connections, "MAX_IDLE_CONNECTIONS", 1),
        ):
            _run_check(check)

    def test_bytes_on_an_idle_connection_close_it(self) -> None:
        """Guards against a target that sends on while nothing reads.

        An endless answer may go on only after its call has ended. Each kept
        connection held up to MAX_BUFFERED_BYTES of it until the next call.
        """

        async def check(
            pool: ConnectionPool,
            url: httpcore.URL,
            accepted: list[SocketStream],
        ) -> None:
            await _call(pool, url)
            with anyio.fail_after(WAIT_TIMEOUT_S):
                with contextlib.suppress(anyio.BrokenResourceError):
                    while True:
                        await accepted[0].send(b"x" * 65_536)
            assert pool.count_idle() == 0
            await _call(pool, url)
            assert len(accepted) == 2

        _run_check(check)

    def test_idle_connection_that_its_target_closes_is_closed(self) -> None:
        """Guards against sockets that stay half open until the next call."""

        async def check(
            pool: ConnectionPool,
            url: httpcore.URL,
            accepted: list[SocketStream],
        ) -> None:
            await _call(pool, url)
            assert pool.count_idle() == 1
            await accepted[0].send_eof()
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while pool.count_idle():
                    await anyio.sleep(0.01)
            await _call(pool, url)
            assert len(accepted) == 2

        _run_check(check)
