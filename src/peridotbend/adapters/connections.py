"""Pool of HTTP connections to targets."""

import re
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

import anyio
import h11
import httpcore

from peridotbend.adapters.answerlimits import (
    AnswerLimit,
    AnswerMeter,
    OversizedAnswers,
)
from peridotbend.adapters.pacing import ConnectionPace, SharedPace
from peridotbend.adapters.sockets import TargetStream, connect
from peridotbend.domain.clock import Clock, SystemClock
from peridotbend.domain.paths import Endpoint

MAX_CONNECTIONS = 4_096
MAX_IDLE_CONNECTIONS = 256
KEEPALIVE_EXPIRY_S = 20.0
# A target counts the idle time from when it has written the end of its answer,
# which is before this process has read it.
EARLY_CLOSE_MARGIN_MS = 500
_STATED_TIMEOUT = re.compile(rb"\btimeout\s*=\s*(\d{1,6})", re.IGNORECASE)


class PeerLostError(httpcore.ReadError):
    """A peer between here and the target broke off.

    That tells nothing of the target.
    """


class ForeignBytesError(httpcore.RemoteProtocolError):
    """The other side sent what is no HTTP, without having closed."""


class AnswerTooLargeError(ForeignBytesError):
    """Lines of an answer exceed a limit."""

    def __init__(self, limit: AnswerLimit):
        super().__init__(f"the answer exceeds the limit on {limit.value}")
        self.limit = limit


class Dialer(Protocol):
    """Opens connections to targets."""

    def allows_reuse(self, target: Endpoint) -> bool:
        """Tells whether connections to a target may be kept."""
        ...

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        """Connects to a target.

        Raises:
            httpcore.ConnectTimeout: no connection was established in time.
            httpcore.ConnectError: the connection failed or was refused.
        """
        ...


class DirectDialer:
    """Connects to the address of the target."""

    def allows_reuse(self, target: Endpoint) -> bool:
        """Tells that all connections may be kept."""
        return True

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        """Connects to a target."""
        return await connect(target.host, target.port, timeout_s)


class _MeasuredStream(httpcore.AsyncNetworkStream):
    """A connection whose answers are measured before they are parsed."""

    def __init__(self, stream: httpcore.AsyncNetworkStream):
        self._stream = stream
        self.meter = AnswerMeter()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        data = await self._stream.read(max_bytes, timeout)
        check_limit(self.meter.feed(data))
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)


def check_limit(exceeded: AnswerLimit | None) -> None:
    """Raises an AnswerTooLargeError if a limit is exceeded."""
    if exceeded is not None:
        raise AnswerTooLargeError(exceeded)


class Connection(httpcore.AsyncHTTP11Connection):
    """An HTTP connection that limits what answers hold, and their pace.

    httpcore skips interim answers in a loop, and has no setting to end it. It
    parses any number of lines.
    """

    pace: ConnectionPace
    link: httpcore.AsyncNetworkStream
    target: Endpoint
    connected_at_ms = 0
    # Whether a call was sent here before the current one.
    is_reused = False
    # Whether the connection may serve another call.
    may_keep = True
    # For how long the target keeps it while it is idle, as its answers state;
    # 0 if they don't.
    keep_alive_ms = 0
    idle_since_ms = 0

    def __init__(
        self,
        origin: httpcore.Origin,
        stream: httpcore.AsyncNetworkStream,
        keepalive_expiry: float | None = None,
        oversized: OversizedAnswers | None = None,
    ):
        measured = _MeasuredStream(stream)
        super().__init__(origin, measured, keepalive_expiry)
        self._meter = measured.meter
        self._oversized = oversized or OversizedAnswers()

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Sends a request, and reads the head of the answer."""
        self._meter.start()
        response = await super().handle_async_request(request)
        for name, value in response.headers:
            if name.lower() == b"keep-alive":
                stated = _STATED_TIMEOUT.search(value)
                self.keep_alive_ms = int(stated[1]) * 1_000 if stated else 0
        return response

    def is_kept_by_target(self, now_ms: int) -> bool:
        """Tells whether the target has said that it keeps it until later."""
        until_ms = self.idle_since_ms + self.keep_alive_ms
        return now_ms < until_ms - EARLY_CLOSE_MARGIN_MS

    @property
    def has_extra_bytes(self) -> bool:
        """Whether bytes arrived that belong to no answer.

        httpcore would take them for the beginning of the next answer.
        """
        return bool(self._h11_state.trailing_data[0])

    async def _receive_event(self, timeout: float | None = None) -> Any:
        await self.pace.wait_turn()
        try:
            event = await super()._receive_event(timeout)
            self._measure(event)
        except AnswerTooLargeError as error:
            self._oversized.note(error.limit, self.target.name)
            raise
        except httpcore.RemoteProtocolError as error:
            # Without such a cause, or behind the end of the connection, what
            # is missing is an answer or the rest of one.
            is_parsed = isinstance(error.__cause__, h11.RemoteProtocolError)
            if is_parsed and not self._h11_state.trailing_data[1]:
                raise ForeignBytesError(str(error)) from error
            raise
        if isinstance(event, h11.Data):
            self.pace.note_size(len(event.data))
        return event

    def _measure(self, event: Any) -> None:
        """Tells the meter what follows an event of the parser.

        Raises:
            AnswerTooLargeError: what has arrived already exceeds a limit.
        """
        if isinstance(event, h11.InformationalResponse):
            rest, _ = self._h11_state.trailing_data
            check_limit(self._meter.start_next_head(rest))
        elif isinstance(event, h11.Response):
            names = [name.lower() for name, _ in event.headers.raw_items()]
            if b"transfer-encoding" in names:
                rest, _ = self._h11_state.trailing_data
                check_limit(self._meter.start_chunks(rest))
            else:
                self._meter.stop()


class ConnectionPool:
    """Connections by target, each used by one call at a time.

    httpcore's own pool compares every pair of its connections, with a system
    call for each, whenever a call starts or ends. This pool examines only the
    connections that it hands out or closes.
    """

    def __init__(
        self,
        dialer: Dialer | None = None,
        clock: Clock | None = None,
        oversized: OversizedAnswers | None = None,
    ) -> None:
        self._dialer = dialer or DirectDialer()
        self._oversized = oversized
        self._clock = clock or SystemClock()
        self._shared_pace = SharedPace()
        self._connection_slots = anyio.Semaphore(
            MAX_CONNECTIONS, fast_acquire=True
        )
        # Idle connections of all targets, the longest idle first.
        self._idle: OrderedDict[Connection, httpcore.Origin] = OrderedDict()
        self._idle_by_target: dict[tuple[bytes, int], list[Connection]] = {}
        # Called when a target closes an idle connection before the time that
        # it has stated.
        self.on_early_close: Callable[[Endpoint], None] = lambda target: None

    async def acquire(
        self,
        origin: httpcore.Origin,
        reuse: bool,
        timeout_s: float,
        target: Endpoint,
    ) -> Connection:
        """Returns a connection for the exclusive use of one call.

        Raises:
            httpcore.TimeoutException: no connection became available in time.
            httpcore.NetworkError: the target refused the connection.
        """
        if reuse and not self._dialer.allows_reuse(target):
            await self.close_idle(origin)
        idle = self._idle_by_target.get((origin.host, origin.port), ())
        while reuse and idle:
            connection = idle[-1]
            self._remove_idle(connection)
            # Also True for a connection that the target has closed.
            if not connection.has_expired():
                connection.is_reused = True
                return connection
            await self._close(connection)
        return await self._connect(origin, timeout_s, target)

    async def release(
        self, connection: Connection, origin: httpcore.Origin, reuse: bool
    ) -> None:
        """Returns a connection to the pool, or closes it."""
        may_keep = reuse and connection.may_keep and connection.is_idle()
        is_unusable = connection.has_extra_bytes or connection.has_expired()
        if not may_keep or is_unusable:
            await self._close(connection)
            return
        self._idle[connection] = origin
        connection.idle_since_ms = self._clock.now_ms()
        key = (origin.host, origin.port)
        self._idle_by_target.setdefault(key, []).append(connection)
        self._watch_idle(connection)
        while self._idle:
            oldest = next(iter(self._idle))
            is_over_limit = len(self._idle) > MAX_IDLE_CONNECTIONS
            if not is_over_limit and not oldest.has_expired():
                return
            self._remove_idle(oldest)
            await self._close(oldest)

    async def close_idle(self, origin: httpcore.Origin) -> None:
        """Closes the idle connections to one target."""
        key = (origin.host, origin.port)
        for connection in list(self._idle_by_target.get(key, ())):
            self._remove_idle(connection)
            await self._close(connection)

    async def aclose(self) -> None:
        """Closes the idle connections."""
        for connection in list(self._idle):
            self._remove_idle(connection)
            await self._close(connection)

    def count_idle(self) -> int:
        """Returns how many connections are kept for later calls."""
        return len(self._idle)

    def _remove_idle(self, connection: Connection) -> None:
        origin = self._idle.pop(connection)
        if isinstance(connection.link, TargetStream):
            connection.link.on_input = None
        key = (origin.host, origin.port)
        idle = self._idle_by_target[key]
        idle.remove(connection)
        if not idle:
            del self._idle_by_target[key]

    async def _connect(
        self, origin: httpcore.Origin, timeout_s: float, target: Endpoint
    ) -> Connection:
        try:
            with anyio.fail_after(timeout_s):
                await self._connection_slots.acquire()
        except TimeoutError as error:
            raise httpcore.PoolTimeout("all connections are in use") from error
        try:
            stream = await self._dialer.connect(target, timeout_s)
        except BaseException:
            self._connection_slots.release()
            raise
        connection = Connection(
            origin, stream, KEEPALIVE_EXPIRY_S, self._oversized
        )
        connection.pace = ConnectionPace(self._shared_pace)
        connection.link = stream
        connection.connected_at_ms = self._clock.now_ms()
        # The end of a connection that a peer holds does not show while idle.
        is_direct = isinstance(stream, TargetStream)
        connection.may_keep = is_direct and self._dialer.allows_reuse(target)
        connection.target = target
        return connection

    def _watch_idle(self, connection: Connection) -> None:
        """Closes an idle connection once something arrives on it.

        A sound target sends nothing there. One that sends an answer without
        end may go on with it after the call.
        """
        stream = connection.link
        if not isinstance(stream, TargetStream):
            return

        def close() -> None:
            self._remove_idle(connection)
            self._connection_slots.release()
            stream.abort()
            is_early = connection.is_kept_by_target(self._clock.now_ms())
            if stream.has_ended and is_early:
                self.on_early_close(connection.target)

        stream.on_input = close

    async def _close(self, connection: Connection) -> None:
        self._connection_slots.release()
        await connection.aclose()


def is_connection_refused(error: BaseException | None) -> bool:
    """Returns whether any cause of the error is a refused connection."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__ or error.__context__
    return False
