"""Tests of the TCP streams to targets."""

import errno
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

from peridotbend.adapters import sockets
from peridotbend.adapters.sockets import TargetStream, connect

LONG_TIMEOUT_S = 60.0

Check = Callable[[TargetStream, SocketStream], Awaitable[None]]


def _run_check(check: Check) -> None:
    """Runs a check with the client and server ends of a connection."""

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)

        async def serve(server: SocketStream) -> None:
            async with server:
                await check(client, server)
            tasks.cancel_scope.cancel()

        async with listener, anyio.create_task_group() as tasks:
            client = await connect("127.0.0.1", port, 5.0)
            tasks.start_soon(listener.serve, serve)
        await client.aclose()

    anyio.run(run)


class TargetStreamTest(unittest.TestCase):
    """Reads and writes as httpcore issues them."""

    def test_read_returns_what_arrived_and_then_the_end(self) -> None:
        """Guards against losing bytes received before the end of the stream."""

        async def check(client: TargetStream, server: SocketStream) -> None:
            await server.send(b"a" * 100_000)
            await server.aclose()
            received = b""
            while data := await client.read(10, LONG_TIMEOUT_S):
                received += data
            assert received == b"a" * 100_000
            assert client.get_extra_info("is_readable")

        _run_check(check)

    def test_a_later_read_with_less_time_ends_in_time(self) -> None:
        """Guards against a timer that is not shortened for a later read."""

        async def check(client: TargetStream, server: SocketStream) -> None:
            await server.send(b"x")
            assert await client.read(10, LONG_TIMEOUT_S) == b"x"
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.read, 10, LONG_TIMEOUT_S)
                await anyio.lowlevel.checkpoint()
                tasks.cancel_scope.cancel()
            with anyio.fail_after(LONG_TIMEOUT_S / 2):
                try:
                    await client.read(10, 0.01)
                    raise AssertionError("the read did not end")
                except httpcore.ReadTimeout:
                    pass

        _run_check(check)

    def test_a_slow_reader_pauses_the_socket(self) -> None:
        """Guards against unbounded buffering of data from a fast target."""

        async def check(client: TargetStream, server: SocketStream) -> None:
            total = 16 << 20

            async def send() -> None:
                await server.send(bytes(total))

            with mock.patch.object(sockets, "MAX_BUFFERED_BYTES", 1_000):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.sleep(0.05)
                    received = len(
                        first := await client.read(10, LONG_TIMEOUT_S)
                    )
                    assert len(first) < total / 2
                    while received < total:
                        received += len(await client.read(10, LONG_TIMEOUT_S))

        _run_check(check)

    def test_a_write_to_a_full_connection_waits(self) -> None:
        """Guards against unbounded buffering of bodies for a stalled target."""

        async def check(client: TargetStream, server: SocketStream) -> None:
            try:
                await client.write(bytes(32 << 20), 0.01)
                raise AssertionError("the write did not wait")
            except httpcore.WriteTimeout:
                pass

        _run_check(check)

    def test_errors_are_those_of_httpcore(self) -> None:
        """Guards against a connection error that ends the whole request.

        Callers handle the exceptions of httpcore only.
        """

        async def run() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            await listener.aclose()
            try:
                await connect("127.0.0.1", port, 5.0)
                raise AssertionError("connected to a closed port")
            except httpcore.ConnectError:
                pass

        anyio.run(run)


class LostHostTest(unittest.TestCase):
    """Connections to a host that is gone, which ends none of them."""

    def test_host_that_answers_no_probe_ends_its_connections(self) -> None:
        """Guards against answers that wait for a dead host to their deadline.

        The kernel sends the probes, and ends the connection without answers.
        """

        async def check() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                client = await connect(*listener.getsockname(), 5.0)
                used = client.get_extra_info("socket")
                assert used.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                limit_s = [
                    used.getsockopt(socket.IPPROTO_TCP, option)
                    for option in (
                        socket.TCP_KEEPIDLE,
                        socket.TCP_KEEPINTVL,
                        socket.TCP_KEEPCNT,
                    )
                ]
                assert limit_s[0] + limit_s[1] * limit_s[2] <= 10, limit_s
                error = TimeoutError(errno.ETIMEDOUT, "no answer to probes")
                client.connection_lost(error)
                with self.assertRaises(httpcore.ReadError):
                    await client.read(10, LONG_TIMEOUT_S)
                await client.aclose()

        anyio.run(check)
        anyio.run(check, backend_options={"use_uvloop": True})


class ResetTest(unittest.TestCase):
    """Connections that a target resets."""

    def test_reset_after_data_is_no_proper_end(self) -> None:
        """Guards against a truncated answer without a length taken as complete.

        libuv reports a reset that follows data as an end of file, so half an
        answer was forwarded as complete when its target crashed.
        """

        async def check_once() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                port = listener.getsockname()[1]
                client = await connect("127.0.0.1", port, 5.0)
                server, _ = listener.accept()
                server.sendall(b"half")
                # Closing with a linger time of 0 resets the connection.
                linger = struct.pack("ii", 1, 0)
                server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                server.close()
                received = b""
                with self.assertRaises(httpcore.ReadError):
                    while data := await client.read(10, LONG_TIMEOUT_S):
                        received += data
                await client.aclose()

        async def check() -> None:
            for _ in range(20):
                await check_once()

        anyio.run(check)
        anyio.run(check, backend_options={"use_uvloop": True})

    def test_reset_behind_the_end_is_told(self) -> None:
        """Guards against a part of an answer whose reset follows its end."""

        async def check() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                port = listener.getsockname()[1]
                client = await connect("127.0.0.1", port, 5.0)
                server, _ = listener.accept()
                server.shutdown(socket.SHUT_WR)
                assert await client.read(10, LONG_TIMEOUT_S) == b""
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_expect_reset, client)
                    await anyio.lowlevel.checkpoint()
                    linger = struct.pack("ii", 1, 0)
                    server.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                    server.close()
                await client.aclose()

        with mock.patch.object(sockets, "RESET_WAIT_S", LONG_TIMEOUT_S):
            anyio.run(check)
            anyio.run(check, backend_options={"use_uvloop": True})

    def test_connection_that_is_lost_behind_its_end_was_reset(self) -> None:
        """Guards against a reset that the event loop takes before a check."""

        async def check(is_closed_here: bool) -> None:
            stream = TargetStream()
            transport = mock.Mock()
            transport.get_extra_info.return_value = None
            stream.connection_made(transport)
            stream.eof_received()
            if is_closed_here:
                stream.abort()
            stream.connection_lost(None)
            if is_closed_here:
                assert await stream.read(10) == b""
            else:
                await _expect_reset(stream)

        for is_closed_here in (False, True):
            anyio.run(check, is_closed_here)

    def test_end_without_a_reset_is_confirmed(self) -> None:
        """Guards against whole answers that are taken for broken."""

        async def check(client: TargetStream, server: SocketStream) -> None:
            await server.send_eof()
            assert await client.read(10, LONG_TIMEOUT_S) == b""
            await client.confirm_end()

        _run_check(check)


async def _expect_reset(stream: TargetStream) -> None:
    try:
        await stream.confirm_end()
    except httpcore.ReadError:
        return
    raise AssertionError("a reset was taken for an end")
