"""TCP proxy on loopback that drops or stalls connections, for tests."""

import asyncio
import contextlib
import socket
from typing import Self

HOST = "127.0.0.1"
CHUNK_BYTES = 64 * 1024
BACKLOG = 128


class DropProxy:
    """Forwards connections to one address until it is cut or stalled.

    Use it as an async context manager, in the event loop of the test.
    """

    def __init__(self, port: int, host: str = HOST):
        self._upstream = (host, port)
        # Bound but never listening, so that the port stays reserved while
        # connections are refused.
        self._port_socket = _bind(0)
        self._server: asyncio.Server | None = None
        self._forwarding_enabled = asyncio.Event()
        self._forwarding_enabled.set()
        self._handlers: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        return int(self._port_socket.getsockname()[1])

    @property
    def address(self) -> str:
        """The address as `ip:port`."""
        return f"{HOST}:{self.port}"

    async def __aenter__(self) -> Self:
        await self._listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.cut()
        self._port_socket.close()

    async def cut(self) -> None:
        """Drops all connections and refuses new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for handler in self._handlers:
            handler.cancel()
        # Each handler aborts its two connections when it is cancelled.
        await asyncio.gather(*self._handlers, return_exceptions=True)

    async def stall(self) -> None:
        """Accepts connections but holds back all data."""
        self._forwarding_enabled.clear()
        await self._listen()

    async def heal(self) -> None:
        """Resumes forwarding, first of the data held back by a stall."""
        self._forwarding_enabled.set()
        await self._listen()

    async def _listen(self) -> None:
        if self._server is None:
            self._server = await asyncio.start_server(
                self._handle_connection, sock=_bind(self.port), backlog=BACKLOG
            )

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        if self._server is None:
            # Accepted before the cut, but this handler starts only after it.
            writer.transport.abort()
            return
        self._handlers.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._forward(reader, writer)
        finally:
            writer.transport.abort()
            self._handlers.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._forwarding_enabled.wait()
        upstream_reader, upstream_writer = await asyncio.open_connection(
            *self._upstream
        )
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._copy_stream(reader, upstream_writer))
                tasks.create_task(self._copy_stream(upstream_reader, writer))
            # Both directions have ended; closing flushes the buffered data.
            writer.close()
            await writer.wait_closed()
        except* OSError:
            pass
        finally:
            upstream_writer.transport.abort()

    async def _copy_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._forwarding_enabled.wait()
            writer.write(data)
            await writer.drain()
        await self._forwarding_enabled.wait()
        writer.write_eof()


def _bind(port: int) -> socket.socket:
    bound = socket.socket()
    # Allows a second socket on the port while none is listening.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((HOST, port))
    return bound
