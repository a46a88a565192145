"""Tests of the TCP streams towards targets."""

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

LONG_S = 60.0

Check = Callable[[TargetStream, SocketStream], Awaitable[None]]


def _run(check: Check) -> None:
    """Runs a check with both ends of a connection."""

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)

        async def serve(far: SocketStream) -> None:
            async with far:
                await check(near, far)
            tasks.cancel_scope.cancel()

        async with listener, anyio.create_task_group() as tasks:
            near = await connect("127.0.0.1", port, 5.0)
            tasks.start_soon(listener.serve, serve)
        await near.aclose()

    anyio.run(run)


class TargetStreamTest(unittest.TestCase):
    """Reads and writes as httpcore makes them."""

    def test_read_returns_what_arrived_and_then_the_end(self) -> None:
        """Guards against bytes lost before the end of a connection."""

        async def check(near: TargetStream, far: SocketStream) -> None:
            await far.send(b"a" * 100_000)
            await far.aclose()
            received = b""
            while data := await near.read(10, LONG_S):
                received += data
            assert received == b"a" * 100_000
            assert near.get_extra_info("is_readable")

        _run(check)

    def test_a_later_read_with_less_time_ends_in_time(self) -> None:
        """Guards against a timer that serves only the first, longer read."""

        async def check(near: TargetStream, far: SocketStream) -> None:
            await far.send(b"x")
            assert await near.read(10, LONG_S) == b"x"
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(near.read, 10, LONG_S)
                await anyio.lowlevel.checkpoint()
                tasks.cancel_scope.cancel()
            with anyio.fail_after(LONG_S / 2):
                try:
                    await near.read(10, 0.01)
                    raise AssertionError("the read did not end")
                except httpcore.ReadTimeout:
                    pass

        _run(check)

    def test_a_slow_reader_pauses_the_socket(self) -> None:
        """Guards against memory that grows with what a target sends."""

        async def check(near: TargetStream, far: SocketStream) -> None:
            total = 16 << 20

            async def send() -> None:
                await far.send(bytes(total))

            with mock.patch.object(sockets, "MAX_BUFFERED_BYTES", 1_000):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.sleep(0.05)
                    received = len(first := await near.read(10, LONG_S))
                    assert len(first) < total / 2
                    while received < total:
                        received += len(await near.read(10, LONG_S))

        _run(check)

    def test_a_write_to_a_full_connection_waits(self) -> None:
        """Guards against bodies that pile up for a target that hangs."""

        async def check(near: TargetStream, far: SocketStream) -> None:
            try:
                await near.write(bytes(32 << 20), 0.01)
                raise AssertionError("the write did not wait")
            except httpcore.WriteTimeout:
                pass

        _run(check)

    def test_errors_are_those_of_httpcore(self) -> None:
        """Guards against a connection error that ends the whole request."""

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


class ResetTest(unittest.TestCase):
    """Connections that a target resets."""

    def test_reset_after_data_is_no_proper_end(self) -> None:
        """Guards against a cut answer without length that looks whole.

        libuv reports a reset that follows data as an end of file, so half an
        answer was passed on as complete when its target crashed.
        """

        async def check_once() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                port = listener.getsockname()[1]
                near = await connect("127.0.0.1", port, 5.0)
                far, _ = listener.accept()
                far.sendall(b"half")
                # Closing with a linger time of 0 resets the connection.
                linger = struct.pack("ii", 1, 0)
                far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                far.close()
                received = b""
                with self.assertRaises(httpcore.ReadError):
                    while data := await near.read(10, LONG_S):
                        received += data
                await near.aclose()

        async def check() -> None:
            for _ in range(20):
                await check_once()

        anyio.run(check)
        anyio.run(check, backend_options={"use_uvloop": True})
