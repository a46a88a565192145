"""Stand-ins for runners, which die and start again at their addresses."""

import asyncio
import contextlib
import dataclasses
import errno
import socket
import struct
from collections.abc import Sequence
from typing import Protocol

from peridotbend.domain.clock import Clock
from peridotbend.platform import wire
from peridotbend_emulator.soak.cuts import HangingListener, intercept
from peridotbend_emulator.soak.links import REFUSING_STATES, Link, LinkState
from peridotbend_emulator.soak.messages import (
    Request,
    make_answer,
    read_request,
)
from peridotbend_emulator.soak.platform.documents import (
    Entry,
)

# Requests that a runner holds beyond its slots before it turns more away.
QUEUE_LENGTH = 20
# A port may be in use for a moment after the process before has gone.
BIND_ATTEMPTS = 50
BIND_INTERVAL_S = 0.1
GATE_INTERVAL_S = 0.05
READ_LIMIT_BYTES = 16 * 1_048_576
# Links whose open connections end.
RESETTING_STATES = frozenset(LinkState) - {
    LinkState.OPEN,
    LinkState.CLOSED_TO_NEW,
    LinkState.SILENT,
}
# Links whose accepted connections reach the runner.
SERVED_STATES = frozenset(
    (LinkState.OPEN, LinkState.CLOSED_TO_NEW, LinkState.SILENT)
)


# Status and body of what a runner tells of itself.
Told = tuple[int, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """One start of a runner."""

    name: str
    software: str
    started_at_ms: int


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Resets a connection; an orderly end would complete some answers."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Connection:
    """A connection of an instance to one start of a runner."""

    def __init__(
        self,
        process: "RunnerProcess",
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self.process = process
        self.link = link
        self._reader = reader
        self._writer = writer

    async def send(self, data: bytes) -> None:
        """Sends data, once neither the runner nor the link is silent.

        Raises:
            ConnectionError: the connection has ended.
        """
        self.check_open()
        while self.process.is_silent or self._state is LinkState.SILENT:
            await asyncio.sleep(GATE_INTERVAL_S)
            self.check_open()
        self._writer.write(data)
        await self._writer.drain()

    def check_open(self) -> None:
        """Raises a ConnectionError if the other side has closed."""
        if self._reader.at_eof():
            raise ConnectionResetError("the other side has closed")

    def reset(self) -> None:
        """Resets the connection."""
        reset_connection(self._writer)

    @property
    def _state(self) -> LinkState:
        return self.link.find_state(self.process.host)

    def drop(self) -> None:
        """Closes the connection as the kernel does for a dead process."""
        self._writer.transport.abort()

    def close(self) -> None:
        """Closes the connection after all data."""
        self._writer.close()


class Behaviour(Protocol):
    """How a runner answers the requests that it accepts."""

    async def answer(self, connection: Connection, request: Request) -> bool:
        """Answers; tells whether the connection may be used again."""
        ...

    def describe(self, start: Start, active: int, call: str) -> Told:
        """Returns the status and body with which a start tells of itself."""
        ...


class RunnerProcess:
    """One start of a runner, with its listeners and connections."""

    def __init__(self, runner: "Runner"):
        self.start = runner.start
        self.service = runner.service
        self.host = runner.host
        self.is_silent = False
        self._slots = runner.slots
        self._behaviour = runner.behaviour
        self._active = 0
        self._places = asyncio.Semaphore(runner.slots)
        self._has_queue = runner.has_queue
        self._connections: dict[Connection, asyncio.Task[None]] = {}
        self._servers: dict[int, asyncio.Server | HangingListener] = {}

    async def listen(self, link: Link, port: int) -> int:
        """Listens for an instance; returns the port."""
        if link.find_state(self.host) is LinkState.HANGING:
            hanging = HangingListener(self.host, port)
            self._servers[link.index] = hanging
            return hanging.port
        for _ in range(BIND_ATTEMPTS):
            try:
                server = await asyncio.start_server(
                    lambda reader, writer: self._serve(link, reader, writer),
                    self.host,
                    port,
                    limit=READ_LIMIT_BYTES,
                )
                break
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
            await asyncio.sleep(BIND_INTERVAL_S)
        else:
            raise OSError(errno.EADDRINUSE, f"{self.host}:{port} stays in use")
        self._servers[link.index] = server
        return int(server.sockets[0].getsockname()[1])

    def is_listening(self, link: Link) -> bool:
        """Tells whether an instance can connect."""
        return link.index in self._servers

    def stop_listening(self, link: Link) -> None:
        """Refuses new connections of an instance."""
        if server := self._servers.pop(link.index, None):
            server.close()

    def reset_connections(self, link: Link) -> None:
        """Resets the connections of an instance."""
        for connection in tuple(self._connections):
            if connection.link is link:
                connection.reset()

    def die(self, in_order: bool) -> None:
        """Ends at once.

        Args:
            in_order: whether the kernel closes the connections in order, and
                does not reset them.
        """
        for server in self._servers.values():
            server.close()
        self._servers.clear()
        for connection, task in tuple(self._connections.items()):
            if in_order:
                connection.drop()
            else:
                connection.reset()
            task.cancel()
        self._connections.clear()

    async def _serve(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = Connection(self, link, reader, writer)
        state = link.find_state(self.host)
        if state is LinkState.RESET:
            connection.reset()
            return
        if state not in SERVED_STATES:
            await intercept(state, reader, writer)
            return
        task = asyncio.current_task()
        assert task is not None
        self._connections[connection] = task
        try:
            while (request := await read_request(reader)) is not None:
                while link.state is LinkState.DEAF:
                    await asyncio.sleep(GATE_INTERVAL_S)
                if not await self._answer(connection, request):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.pop(connection, None)
            connection.close()

    async def _answer(self, connection: Connection, request: Request) -> bool:
        if request.method == "GET":
            status, body = self._describe(request.target)
            headers = (
                ("X-Instance-Id", self.start.name),
                ("Content-Type", "application/json"),
            )
            await connection.send(make_answer(status, body, headers))
            return True
        # Without the header, any runner runs the request.
        expected = request.get(wire.EXPECT_INSTANCE)
        if expected and expected != self.start.name:
            await connection.send(make_answer(421, b"", _echo(request)))
            return True
        # A lease lets its request in ahead of all that wait.
        has_lease = bool(request.get(wire.KV_HOLD))
        if self._active >= self._slots + QUEUE_LENGTH and not has_lease:
            await connection.send(make_rejection(request))
            return True
        self._active += 1
        try:
            if not self._has_queue:
                return await self._behaviour.answer(connection, request)
            async with self._places:
                # A request whose sender has left the queue does not run.
                connection.check_open()
                return await self._behaviour.answer(connection, request)
        finally:
            self._active -= 1

    def _describe(self, path: str) -> tuple[int, bytes]:
        for call in (wire.REPORT_CALL, wire.PARTS_CALL):
            if path.startswith(call):
                return self._behaviour.describe(self.start, self._active, call)
        return (200 if path == "/healthz" else 404), b"{}"


def _echo(request: Request) -> Sequence[tuple[str, str]]:
    return ((wire.ATTEMPT_ID, request.get(wire.ATTEMPT_ID)),)


def make_rejection(request: Request) -> bytes:
    """Returns the answer to a request that is turned away."""
    headers = (*_echo(request), (wire.NOT_EXECUTED, "1"))
    return make_answer(503, b"", headers)


@dataclasses.dataclass(eq=False)
class Runner:
    """A runner at addresses that outlive its processes."""

    start: Start
    service: str
    host: str
    zone: str
    slots: int
    behaviour: Behaviour
    links: Sequence[Link]
    # Whether requests beyond the slots wait, and do not run at once.
    has_queue: bool = False

    def __post_init__(self) -> None:
        """Begins without a process."""
        # By instance; chosen at the first start.
        self._ports = [0] * len(self.links)
        self.process: RunnerProcess | None = None
        self._sequence = 0

    async def launch(self, start: Start) -> None:
        """Starts a process."""
        self.start = start
        self.process = RunnerProcess(self)
        self._sequence = 0
        for link in self.links:
            port = self._ports[link.index]
            if link.find_state(self.host) not in REFUSING_STATES or not port:
                port = await self.process.listen(link, port)
                self._ports[link.index] = port
        for link in self.links:
            await self.apply_link(link)

    def die(self, in_order: bool) -> None:
        """Ends the process at once; see `RunnerProcess.die`."""
        if self.process is not None:
            self.process.die(in_order)
            self.process = None

    async def apply_link(self, link: Link) -> None:
        """Makes the connections of an instance behave as its link says."""
        process = self.process
        if process is None:
            return
        state = link.find_state(self.host)
        if state in RESETTING_STATES:
            process.reset_connections(link)
        if state is LinkState.HANGING or state in REFUSING_STATES:
            process.stop_listening(link)
        if state not in REFUSING_STATES and not process.is_listening(link):
            port = self._ports[link.index]
            await process.listen(link, port)

    def make_entry(
        self, start: Start | None = None, is_leaving: bool = False
    ) -> Entry:
        """Returns the next entry of this runner, or of another start."""
        start = start or self.start
        self._sequence += 1
        return Entry(
            service=self.service,
            zone=self.zone,
            software=start.software,
            slots=self.slots,
            started_at_ms=start.started_at_ms,
            sequence=self._sequence,
            is_leaving=is_leaving,
        )

    def exchange_addresses(self, other: "Runner") -> None:
        """Takes the addresses of another runner, and leaves it its own."""
        self.host, other.host = other.host, self.host
        self.zone, other.zone = other.zone, self.zone
        self._ports, other._ports = other._ports, self._ports

    def find_address(self, index: int) -> str:
        """Returns the address for an instance."""
        return f"{self.host}:{self._ports[index]}"


class StartCounter:
    """Gives out the starts of runners."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._count = 0

    def make_name(self) -> str:
        """Returns an ID that no runner had."""
        self._count += 1
        return f"i-{self._count}"

    def make_start(self, name: str, software: str) -> Start:
        """Returns a start at this moment."""
        return Start(name, software, self._clock.wall_ms())
