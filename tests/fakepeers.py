"""Connections between peers in a simulated fleet.

Messages can be delayed by a cut link, lost or replaced by a reset.
"""

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


class FakeStream:
    """One side of a stream, with the interface of a grpclib stream."""

    def __init__(self, world: "World", process: SimProcess):
        self.world = world
        self.process = process
        self.remote: FakeStream | None = None
        self.metadata: dict[str, str] = {}
        self.method = ""
        # Wrapped by `limit_message_size`. It is never called, since messages
        # are passed as objects and not as bytes.
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
        """Sends a message; a cut link delays its arrival."""
        if self._error is not None:
            raise self._error
        remote = self.remote
        assert remote is not None
        self.world.deliver(self, lambda: remote.receive(message, end))

    def receive(self, message: Any, end: bool) -> None:
        """Adds a message from the other side to the inbox."""
        self._inbox.append(message)
        self._ended = self._ended or end
        self._changed.set()

    def receive_end(self, error: Exception | None) -> None:
        """Ends the stream, with the error that broke it, if any."""
        self._error = self._error or error
        self._ended = True
        self._changed.set()

    def reset(self, error: Exception) -> None:
        """Resets this side, and the other one when the link delivers it."""
        remote = self.remote
        self.receive_end(error)
        if remote is not None:
            self.world.deliver(self, lambda: remote.receive_end(error))


class FakeServerStream(FakeStream):
    """The server side of a call, which runs the handler."""

    task: "asyncio.Task[None] | None" = None

    async def run(self, handler: Callable[["FakeServerStream"], Any]) -> None:
        """Runs the handler and sends its status to the client."""
        remote = self.remote
        assert remote is not None
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
        self.world.deliver(self, lambda: remote.receive_end(error))

    async def send_message(self, message: Any, *, end: bool = False) -> None:
        """Sends a reply, or resets the stream if the test drops this reply."""
        if self.method in self.world.lost_replies:
            self.world.lost_replies.discard(self.method)
            self.reset(ConnectionResetError("reply lost"))
            raise ConnectionResetError("reply lost")
        await super().send_message(message, end=end)

    def cancel(self) -> None:
        """Cancels the handler when the client gives up the call."""
        if self.task is not None:
            self.task.cancel()


class FakeClientStream(FakeStream):
    """The client side of a call."""

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
        # Makes the order of streams the same in every run.
        self.number = world.next_stream_number()
        self.method = method
        self.metadata = metadata
        self.server: FakeServerStream | None = None

    async def __aenter__(self) -> "FakeClientStream":
        return self

    async def __aexit__(self, *details: object) -> None:
        server = self.server
        if server is not None:
            self.world.streams.discard(self)
            self.world.deliver(self, server.cancel)

    async def send_request(self) -> None:
        """Connects to the peer; waits while the link is cut."""
        while True:
            node = self.world.find_listener(self._port)
            if node is not None and self.world.is_linked(
                self.process, node.process
            ):
                break
            if node is None:
                raise ConnectionRefusedError(f"port {self._port}")
            await asyncio.sleep(0.05)
        server = FakeServerStream(self.world, node.process)
        server.method, server.metadata = self.method, self.metadata
        server.remote, self.remote, self.server = self, server, server
        self.world.streams.add(self)
        handler = getattr(node.server, self.method)
        server.task = self.world.loop.spawn(node.process, server.run(handler))

    async def send_message(self, message: Any, *, end: bool = False) -> None:
        """Sends a message, preceded by the request if that was not sent yet."""
        if self.remote is None:
            await self.send_request()
        await super().send_message(message, end=end)


class _FakeChannel:
    """Fake of a grpclib channel."""

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
    ) -> FakeClientStream:
        """Returns the client side of a new call."""
        method = name.rpartition("/")[2]
        return FakeClientStream(
            self._world,
            self._process,
            self._port,
            method,
            dict(metadata or {}),
        )


class FakeChannelPool:
    """Fake of the ChannelPool of one process."""

    def __init__(self, world: "World", process: SimProcess):
        self._world = world
        self._process = process

    def open(self, host: str, port: int) -> _FakeChannel:
        """Returns a channel to the instance that listens on the port."""
        del host
        return _FakeChannel(self._world, self._process, port)

    def drop(self, host: str, port: int) -> None:
        """Does nothing, since no channel is kept."""

    def close(self) -> None:
        """Does nothing, since no channel is kept."""
