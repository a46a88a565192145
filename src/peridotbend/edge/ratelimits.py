"""Limits on the rate of requests that targets name in their answers."""

import collections
import dataclasses

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.targets import EdgeTarget

# An answer without a limit lifts the last one only after this time: answers may
# overtake each other.
HOLD_MS = 1_000
# Bounds memory: targets that ended are not removed otherwise.
MAX_LIMITS = 1_024


@dataclasses.dataclass(slots=True)
class _Limit:
    per_s: float
    # When a target last named the limit.
    named_at_ms: int


class RateLimits:
    """The limits of targets that take fewer requests than they have slots for.

    A limit is the number of requests a second that a target takes from all
    instances together.
    """

    def __init__(self, clock: Clock, log: EventLog):
        self._clock = clock
        self._log = log
        # By the hash of the target's run, the one named last at the end. A
        # target whose entry lapses for a while keeps its limit.
        self._limits: collections.OrderedDict[int, _Limit] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._limits)

    def note_answer(self, target: EdgeTarget, per_s: float | None) -> None:
        """Records the limit that an answer named; None if it named none."""
        now_ms = self._clock.now_ms()
        limit = self._limits.get(target.run_hash)
        if per_s is None:
            if limit is not None and now_ms - limit.named_at_ms > HOLD_MS:
                del self._limits[target.run_hash]
                self._log.emit(Event.TARGET_LIMIT_LIFTED, target=target.name)
            return
        if limit is None or limit.per_s != per_s:
            self._log.emit(
                Event.TARGET_LIMIT_NAMED, target=target.name, per_s=per_s
            )
        self._limits[target.run_hash] = _Limit(per_s, now_ms)
        self._limits.move_to_end(target.run_hash)
        if len(self._limits) > MAX_LIMITS:
            self._limits.popitem(last=False)
