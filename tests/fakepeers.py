"""Peer connections inside a simulated fleet: cut, late, lost, reset."""

import asyncio
import types
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from tests.simloop import SimProcess

if TYPE_CHECKING:
    from tests.fakes import World

LATENCY_MS = 1


class Half:
    """One side of a stream, with the calls that grpclib streams offer."""

    def __init__(self, world: "World", process: SimProcess):
        self.world = world
        self.process = process
        self.other: Half | None = None
        self.metadata: dict[str, str] = {}
        self.method = ""
        # What `limit_message_size` wraps; messages here are not split in bytes.
        self._stream = types.SimpleNamespace(recv_data=None)
        self._inbox: deque[Any] = deque()
        self._error: Exception | None = None
        self._ended = False
        self._changed = asyncio.Event()

    async def recv_message(self) -> Any:
        """Returns the next message, or None at the end."""
        while not self._inbox:
            if self._error is not None:
                raise self._error
            if self._ended:
                return None
            self._changed.clear()
            await self._changed.wait()
        return self._inbox.popleft()

    async def send_message(self, message: Any, *, end: bool = False) -> None:
        """Sends a message; it arrives late when the link is cut."""
        if self._error is not None:
            raise self._error
        other = self.other
        assert other is not None
        self.world.deliver(self, lambda: other.receive(message, end))

    def receive(self, message: Any, end: bool) -> None:
        """Takes a message off the wire."""
        self._inbox.append(message)
        self._ended = self._ended or end
        self._changed.set()

    def end(self, error: Exception | None) -> None:
        """Takes the end of the stream, or what broke it."""
        self._error = self._error or error
        self._ended = True
        self._changed.set()

    def reset(self, error: Exception) -> None:
        """Breaks both sides; the other side learns it over the link."""
        other = self.other
        self.end(error)
        if other is not None:
            self.world.deliver(self, lambda: other.end(error))


class ServerHalf(Half):
    """The side of the called process; runs the handler."""

    task: "asyncio.Task[None] | None" = None

    async def run(self, handler: Callable[["ServerHalf"], Any]) -> None:
        """Serves one call and sends how it ended."""
        other = self.other
        assert other is not None
        error: Exception | None = None
        try:
            await handler(self)
        except GRPCError as problem:
            error = problem
        except ConnectionError as problem:
            error = problem
        except Exception as problem:
            self.world.faults.append(f"{self.method}: {problem!r}")
            error = GRPCError(Status.UNKNOWN, "fault")
        self.world.deliver(self, lambda: other.end(error))

    async def send_message(self, message: Any, *, end: bool = False) -> None:
        """Sends a reply, unless the test wants it lost."""
        if self.method in self.world.lost_replies:
            self.world.lost_replies.discard(self.method)
            self.reset(ConnectionResetError("reply lost"))
            raise ConnectionResetError("reply lost")
        await super().send_message(message, end=end)

    def cancel(self) -> None:
        """Stops the handler when the caller gave the call up."""
        if self.task is not None:
            self.task.cancel()


class ClientHalf(Half):
    """The side of the calling process."""

    def __init__(
        self,
        world: "World",
        process: SimProcess,
        port: int,
        method: str,
        metadata: dict[str, str],
    ):
        super().__init__(world, process)
        self._port = port
        # Orders streams the same way in every run.
        self.number = world.count_stream()
        self.method = method
        self.metadata = metadata
        self.server: ServerHalf | None = None

    async def __aenter__(self) -> "ClientHalf":
        return self

    async def __aexit__(self, *details: object) -> None:
        server = self.server
        if server is not None:
            self.world.streams.discard(self)
            self.world.deliver(self, server.cancel)

    async def send_request(self) -> None:
        """Connects; waits as long as the link is cut."""
        while True:
            node = self.world.find_listener(self._port)
            if node is not None and self.world.is_linked(
                self.process, node.process
            ):
                break
            if node is None:
                raise ConnectionRefusedError(f"port {self._port}")
            await asyncio.sleep(0.05)
        server = ServerHalf(self.world, node.process)
        server.method, server.metadata = self.method, self.metadata
        server.other, self.other, self.server = self, server, server
        self.world.streams.add(self)
        handler = getattr(node.server, self.method)
        server.task = self.world.loop.spawn(node.process, server.run(handler))

    async def send_message(self, message: Any, *, end: bool = False) -> None:
        """Sends a message, after the request if that was not sent."""
        if self.other is None:
            await self.send_request()
        await super().send_message(message, end=end)


class _Channel:
    """Stands in for a grpclib channel."""

    def __init__(self, world: "World", process: SimProcess, port: int):
        self._world = world
        self._process = process
        self._port = port

    def request(
        self,
        name: str,
        *types_: object,
        timeout: float | None = None,
        metadata: Any = None,
    ) -> ClientHalf:
        """Returns the stream of a call."""
        method = name.rpartition("/")[2]
        return ClientHalf(
            self._world,
            self._process,
            self._port,
            method,
            dict(metadata or {}),
        )


class FakeChannels:
    """Stands in for the ChannelPool of one process."""

    def __init__(self, world: "World", process: SimProcess):
        self._world = world
        self._process = process

    def open(self, host: str, port: int) -> _Channel:
        """Returns the channel to a port of the fleet."""
        del host
        return _Channel(self._world, self._process, port)

    def drop(self, host: str, port: int) -> None:
        """Keeps nothing, so drops nothing."""

    def close(self) -> None:
        """Keeps nothing, so closes nothing."""
