"""TCP proxy on loopback that can cut and stall traffic, for tests."""

import asyncio
import contextlib
import socket
from typing import Self

HOST = "127.0.0.1"
CHUNK_BYTES = 64 * 1024
BACKLOG = 128


class DropProxy:
    """Forwards connections to one address until it is told otherwise.

    Use it as an async context manager, in the event loop of the test.
    """

    def __init__(self, port: int, host: str = HOST):
        self._upstream = (host, port)
        # Bound for the whole life and never listening: it keeps the port
        # while connections are refused.
        self._holder = _bind(0)
        self._server: asyncio.Server | None = None
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._handlers: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        return int(self._holder.getsockname()[1])

    @property
    def address(self) -> str:
        """The address as `ip:port`."""
        return f"{HOST}:{self.port}"

    async def __aenter__(self) -> Self:
        await self._listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.cut()
        self._holder.close()

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
        """Accepts connections and keeps all data back."""
        self._flowing.clear()
        await self._listen()

    async def heal(self) -> None:
        """Forwards again, first what a stall kept back."""
        self._flowing.set()
        await self._listen()

    async def _listen(self) -> None:
        if self._server is None:
            self._server = await asyncio.start_server(
                self._serve, sock=_bind(self.port), backlog=BACKLOG
            )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        if self._server is None:
            # Accepted just before the cut and only now started.
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
        await self._flowing.wait()
        up_reader, up_writer = await asyncio.open_connection(*self._upstream)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pump(reader, up_writer))
                tasks.create_task(self._pump(up_reader, writer))
            # Both ends are done: closing sends what is still buffered.
            writer.close()
            await writer.wait_closed()
        except* OSError:
            pass
        finally:
            up_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._flowing.wait()
            writer.write(data)
            await writer.drain()
        await self._flowing.wait()
        writer.write_eof()


def _bind(port: int) -> socket.socket:
    opened = socket.socket()
    # Two sockets may share a port while neither of them listens yet.
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    opened.bind((HOST, port))
    return opened
