"""A caller's connection that is fed packet by packet, without sockets."""

import asyncio
import dataclasses
import re
from collections.abc import Iterable
from typing import Any, cast

from uvicorn.config import Config
from uvicorn.server import ServerState

from peridotbend.adapters.boundedconnections import BoundedConnection
from peridotbend.adapters.connectionlimits import ConnectionLimits
from peridotbend.adapters.waitingconnections import WaitingConnections
from peridotbend.domain.clock import SystemClock
from peridotbend.domain.ports import AnswerHead
from peridotbend.edge.ports import EdgeCall, Responder
from peridotbend.edge.relay import Relay
from peridotbend.platform.ingress import EdgeApp

# More rounds of the event loop than the application takes to answer.
ROUNDS = 40
MAX_BODY_BYTES = 1 << 20


class RecordingRelay:
    """Answers all calls and records them."""

    def __init__(self) -> None:
        self.calls: list[EdgeCall] = []

    def find_time_limit_ms(self, host: str, path: str) -> int | None:
        """Returns None, since there are no routes."""
        del host, path
        return None

    async def serve(self, call: EdgeCall, responder: Responder) -> None:
        """Answers one call."""
        self.calls.append(call)
        await responder.start(AnswerHead(200, (("Content-Length", "4"),)))
        await responder.send(b"done")
        await responder.finish()


class RecordingTransport(asyncio.Transport):
    """Records what is written and whether the connection is closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_paused = False
        self.is_aborted = False
        # What the caller has not read.
        self.unread_bytes = 0
        self._is_closed = False

    def write(self, data: Any) -> None:
        if not self._is_closed:
            self.written += bytes(data)

    def close(self) -> None:
        self._is_closed = True

    def abort(self) -> None:
        self._is_closed = self.is_aborted = True

    def is_closing(self) -> bool:
        return self._is_closed

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def get_write_buffer_size(self) -> int:
        return self.unread_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of the bytes on one connection."""

    calls: tuple[EdgeCall, ...]
    written: bytes
    # Whether nothing that follows on the connection would be read.
    is_closed: bool

    @property
    def statuses(self) -> list[int]:
        """The statuses of the final answers."""
        found = re.findall(rb"HTTP/1\.1 ([2-5][0-9]{2}) ", self.written)
        return [int(status) for status in found]


class Feeder:
    """Feeds connections of one listener, one after another."""

    def __init__(self) -> None:
        self._relay = RecordingRelay()
        app = EdgeApp(cast(Relay, self._relay), lambda: MAX_BODY_BYTES)
        self._config = Config(app, lifespan="off", log_config=None, ws="none")
        self._config.load()

    async def feed(self, packets: Iterable[bytes]) -> Outcome:
        """Feeds packets to a new connection until it is closed."""
        self._relay.calls = []
        transport = RecordingTransport()
        connection = BoundedConnection(
            ConnectionLimits(),
            WaitingConnections(SystemClock()),
            self._config,
            ServerState(),
            {},
        )
        connection.connection_made(transport)
        for packet in packets:
            if transport.is_closing():
                break
            assert not transport.is_paused, "reading stops for good"
            connection.data_received(packet)
            await _settle(connection)
        outcome = Outcome(
            tuple(self._relay.calls),
            transport.written,
            transport.is_closing() or b"connection: close" in transport.written,
        )
        connection.connection_lost(None)
        await _settle(connection)
        assert not connection.tasks, "a request outlives its connection"
        return outcome


async def feed(packets: Iterable[bytes]) -> Outcome:
    """Feeds packets to one connection."""
    return await Feeder().feed(packets)


async def _settle(connection: BoundedConnection) -> None:
    """Lets the application do all that it can without further bytes."""
    for _ in range(ROUNDS):
        if not connection.tasks:
            return
        await asyncio.sleep(0)
