"""Watches requests in flight and ends those whose target is silent."""

import contextlib
import dataclasses
from collections.abc import Callable, Iterator

import anyio

from peridotbend.domain.clock import Clock
from peridotbend.domain.pauses import PauseDetector
from peridotbend.edge.config import Route, RouteKind
from peridotbend.edge.health import TargetHealth

# Short against the silences below.
CHECK_MS = 50
# Other streams of a live target have some 30 events a second, so a target
# that is silent on all of them for this long is dead or cut off.
STREAM_SILENCE_MS = 800
# A stream whose target serves others meanwhile is stuck by itself after this
# share of the time that its caller waits for an event; the rest is for the
# target that takes over.
STALL_PATIENCE_SHARE = 0.5
# The first event waits for a place in the batch and for the prompt, which
# takes longest when no other stream tells that the target lives.
FIRST_EVENT_OBJECTIVES = 2.5
# A plain answer is small: after this many objectives another target is asked.
PLAIN_OBJECTIVES = 2.0
# At most this share of the time limit, so that the other one can answer.
PLAIN_TIMEOUT_SHARE = 0.4


@dataclasses.dataclass(eq=False, slots=True)
class Send:
    """A request at a target."""

    target: str
    route: Route
    sent_at_ms: int
    scope: anyio.CancelScope
    health: TargetHealth
    # Whether another target can take over at once.
    can_move: Callable[[], bool]
    # When the last part arrived, None before the first.
    last_data_ms: int | None = None
    # Set while the caller does not read: nothing is read from the target
    # then, which says nothing about it.
    is_blocked: bool = False

    def note_data(self, arrived_at_ms: int) -> None:
        """Notes that a part of the answer arrived."""
        if self.last_data_ms is not None:
            pause_ms = arrived_at_ms - self.last_data_ms
            self.health.note_pause(self.target, pause_ms)
        self.last_data_ms = arrived_at_ms
        self.health.note_heard(self.target)


class InFlight:
    """All sends of this process."""

    def __init__(self, clock: Clock, health: TargetHealth):
        self._clock = clock
        self._health = health
        self._pauses = PauseDetector(clock)
        # Keys only, in order: the oldest is checked first, and a replay
        # repeats.
        self._sends: dict[Send, None] = {}

    @contextlib.contextmanager
    def track(
        self, target: str, route: Route, can_move: Callable[[], bool]
    ) -> Iterator[Send]:
        """Watches a send; the block is left when its target is silent."""
        with anyio.CancelScope() as scope:
            now_ms = self._clock.now_ms()
            send = Send(target, route, now_ms, scope, self._health, can_move)
            self._sends[send] = None
            try:
                yield send
            finally:
                del self._sends[send]

    def check(self) -> None:
        """Ends the sends that stall, where another target can take over."""
        for send in list(self._sends):
            if send.is_blocked or not send.route.may_repeat:
                continue
            if self._pauses.paused_since(send.sent_at_ms):
                continue
            if self._is_stalled(send) and send.can_move():
                send.scope.cancel()

    async def run(self) -> None:
        """Checks again and again."""
        while True:
            self._pauses.tick()
            await anyio.sleep(CHECK_MS / 1_000)
            self.check()

    def _is_stalled(self, send: Send) -> bool:
        route = send.route
        silence_ms = self._health.find_silence_ms(send.target, send.sent_at_ms)
        waited_ms = self._clock.now_ms() - send.sent_at_ms
        if route.kind is RouteKind.STREAM:
            stall_ms = STALL_PATIENCE_SHARE * route.patience_ms
            if send.last_data_ms is None:
                silent = (
                    silence_ms > FIRST_EVENT_OBJECTIVES * route.objective_ms
                )
                return silent or waited_ms > stall_ms
            stalled_ms = self._clock.now_ms() - send.last_data_ms
            return silence_ms > STREAM_SILENCE_MS or stalled_ms > stall_ms
        return waited_ms > min(
            PLAIN_OBJECTIVES * route.objective_ms,
            PLAIN_TIMEOUT_SHARE * route.timeout_ms,
        )
