"""A loopback proxy that holds or delays bytes in one direction."""

import asyncio
import contextlib
import enum

from peridotbend_emulator.soak.runners import reset_connection

PIECE_BYTES = 65_536
GATE_INTERVAL_S = 0.05

Address = tuple[str, int]


class Direction(enum.Enum):
    """Where bytes go, as the process that connects sees it."""

    OUT = "out"
    BACK = "back"


class Gate:
    """How bytes of one direction pass."""

    def __init__(self) -> None:
        self.is_held = False
        self.delay_s = 0.0

    async def wait(self) -> None:
        """Returns when bytes that have arrived may go on."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while self.is_held:
            await asyncio.sleep(GATE_INTERVAL_S)


class LoopbackProxy:
    """Forwards connections to one address; ends and resets pass as well."""

    def __init__(self, host: str, upstream: Address):
        self.gates = {direction: Gate() for direction in Direction}
        self.address = host, 0
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens at a free port."""
        host, _ = self.address
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = host, self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._forward(reader, writer)
        finally:
            # Nothing is left to send after an orderly end.
            reset_connection(writer)
            self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(*self._upstream)
        out = asyncio.create_task(self._copy(reader, far_writer, Direction.OUT))
        back = asyncio.create_task(
            self._copy(far_reader, writer, Direction.BACK)
        )
        try:
            await asyncio.wait((out, back), return_when="FIRST_COMPLETED")
            if back.done() and back.exception() is None:
                writer.close()
                await writer.wait_closed()
            elif out.done() and out.exception() is None:
                far_writer.write_eof()
                await back
        finally:
            out.cancel()
            back.cancel()
            reset_connection(far_writer)
            await asyncio.gather(out, back, return_exceptions=True)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        gate = self.gates[direction]
        while data := await reader.read(PIECE_BYTES):
            await gate.wait()
            writer.write(data)
            await writer.drain()
        await gate.wait()
