"""Detection of stalled sends, which another target may take over."""

import contextlib
import dataclasses
from collections.abc import Callable, Iterator
from typing import Protocol

import anyio
import anyio.lowlevel

from peridotbend.domain.clock import Clock
from peridotbend.domain.pauses import PauseDetector
from peridotbend.edge.config import Route, RouteKind
from peridotbend.edge.health import TargetHealth

# Short compared with the timeouts below.
CHECK_INTERVAL_MS = 50
# The other streams of a live target deliver about 30 events a second, so a
# target that is silent on all of them for this long is dead or unreachable.
STREAM_SILENCE_TIMEOUT_MS = 800
# Timeout of a single stream whose target still serves others, as a fraction of
# the caller's timeout. The rest is left for the target that takes over.
STALL_TIMEOUT_SHARE = 0.5
# Timeout for the first event on a silent target, in response-time objectives.
# The request waits for a slot in the batch and for its prompt to be processed,
# which takes longest when no other stream shows that the target is alive.
FIRST_EVENT_TIMEOUT_OBJECTIVES = 2.5
# Timeout for an answer that is not streamed, or for its next part, in
# response-time objectives.
UNSTREAMED_TIMEOUT_OBJECTIVES = 2.0
# Upper bound of that timeout, as a fraction of the time limit of the route, so
# that the other target has time to answer.
UNSTREAMED_TIMEOUT_SHARE = 0.4
# Size of such a part. Fewer bytes are no progress: a stalled target may send a
# few now and then.
UNSTREAMED_PART_BYTES = 16_384


class FailoverStarter(Protocol):
    """Asks another target while one is silent."""

    def begin(self, send: "TrackedSend") -> None:
        """Asks another target, unless one is being asked.

        The send is cancelled once the other target answers.
        """
        ...

    def abandon(self) -> None:
        """Ends that, as the first target goes on."""
        ...


@dataclasses.dataclass(eq=False, slots=True)
class TrackedSend:
    """A send of a request to a target that is watched for stalls."""

    target: str
    route: Route
    sent_at_ms: int
    scope: anyio.CancelScope
    health: TargetHealth
    failover: FailoverStarter
    # When the first and the last data arrived; None before the first.
    first_data_ms: int | None = None
    last_data_ms: int | None = None
    # Since when data of the target is awaited; None before the first.
    awaited_since_ms: int | None = None
    # Set while data is being written to the caller. A slow caller blocks
    # reading from the target, so the silence is not the fault of the target.
    is_blocked: bool = False
    # Whether a pause between events exceeded the objective.
    has_paused: bool = False
    # Bytes of an answer that is not streamed, since its last part.
    partial_bytes: int = 0
    # Called when the first data arrives.
    on_first_data: Callable[[], None] = lambda: None

    def note_data(self, arrived_at_ms: int) -> None:
        """Records that a part of the answer arrived."""
        self.failover.abandon()
        if self.last_data_ms is not None:
            interval_ms = arrived_at_ms - self.last_data_ms
            self.health.note_event_interval(self.target, interval_ms)
        else:
            self.first_data_ms = arrived_at_ms
            self.on_first_data()
        self.last_data_ms = self.awaited_since_ms = arrived_at_ms
        self.health.note_activity(self.target)

    def note_body(self, size: int, arrived_at_ms: int) -> None:
        """Records bytes of an answer that is not streamed."""
        self.partial_bytes += size
        if self.partial_bytes >= UNSTREAMED_PART_BYTES:
            self.failover.abandon()
            self.partial_bytes = 0
            self.awaited_since_ms = arrived_at_ms
            self.health.note_activity(self.target)

    def note_end(self) -> None:
        """Records that all has arrived, so that only the caller is awaited."""
        self.failover.abandon()
        self.is_blocked = True

    def note_unblocked(self, now_ms: int) -> None:
        """Records that the caller has taken the data."""
        self.is_blocked = False
        self.awaited_since_ms = now_ms
        self.health.note_activity(self.target)

    async def end_if_left(self) -> None:
        """Ends the delivery if the send was cancelled.

        The cancellation reaches a task only where it waits, so that data which
        has just arrived could still be passed on.
        """
        if self.scope.cancel_called:
            await anyio.lowlevel.checkpoint()

    @property
    def flowed_ms(self) -> int:
        """Time between the first and the last data."""
        if self.first_data_ms is None or self.last_data_ms is None:
            return 0
        return self.last_data_ms - self.first_data_ms


class StallDetector:
    """Watches all sends of this process."""

    def __init__(self, clock: Clock, health: TargetHealth):
        self._clock = clock
        self._health = health
        self._pauses = PauseDetector(clock)
        # A dictionary serves as an ordered set: the oldest send is checked
        # first, and replays are deterministic.
        self._sends: dict[TrackedSend, None] = {}
        self._has_sends = anyio.Event()

    @contextlib.contextmanager
    def track(
        self,
        target: str,
        route: Route,
        failover: FailoverStarter,
        sent_at_ms: int,
    ) -> Iterator[TrackedSend]:
        """Watches a send.

        The block is cancelled when the send stalls and another target answers.
        """
        with anyio.CancelScope() as scope:
            send = TrackedSend(
                target, route, sent_at_ms, scope, self._health, failover
            )
            self._sends[send] = None
            self._has_sends.set()
            try:
                yield send
            finally:
                del self._sends[send]

    def check(self) -> None:
        """Asks other targets to take over the sends that stall.

        Each one reserves its place at once, so that those of the same pass do
        not count on the same free place.
        """
        for send in list(self._sends):
            if send.is_blocked or not send.route.may_repeat:
                continue
            if self._pauses.paused_since(send.sent_at_ms):
                continue
            if self._is_stalled(send):
                send.failover.begin(send)

    async def run(self) -> None:
        """Checks for stalled sends periodically, while there are any."""
        while True:
            await self._has_sends.wait()
            self._has_sends = anyio.Event()
            while self._sends:
                self._pauses.tick()
                await anyio.sleep(CHECK_INTERVAL_MS / 1_000)
                self.check()
            self._pauses.reset()

    def _is_stalled(self, send: TrackedSend) -> bool:
        route = send.route
        silence_ms = self._health.find_silence_ms(send.target, send.sent_at_ms)
        now_ms = self._clock.now_ms()
        since_ms = send.awaited_since_ms
        waited_ms = now_ms - (send.sent_at_ms if since_ms is None else since_ms)
        if route.kind is RouteKind.STREAM:
            stall_timeout_ms = STALL_TIMEOUT_SHARE * route.caller_timeout_ms
            if since_ms is None:
                silent = (
                    silence_ms
                    > FIRST_EVENT_TIMEOUT_OBJECTIVES * route.objective_ms
                )
                return silent or waited_ms > stall_timeout_ms
            return (
                silence_ms > STREAM_SILENCE_TIMEOUT_MS
                or waited_ms > stall_timeout_ms
            )
        return waited_ms > min(
            UNSTREAMED_TIMEOUT_OBJECTIVES * route.objective_ms,
            UNSTREAMED_TIMEOUT_SHARE * route.timeout_ms,
        )
