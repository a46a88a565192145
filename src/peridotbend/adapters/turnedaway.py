"""Counts and logs the clients that are turned away for what they send."""

import enum

from peridotbend.domain.clock import Clock, SystemClock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog

# A client that is turned away again and again would otherwise fill the log.
MIN_LOG_INTERVAL_MS = 1_000


class Way(enum.Enum):
    """A reason for which a client is turned away; the value labels metrics."""

    LARGE_HEAD = "large-head"
    LARGE_FRAMING = "large-framing"
    EMPTY_LINES = "empty-lines"
    NO_MEMORY = "no-memory"
    HEAD_GAVE_WAY = "head-gave-way"
    UNREAD_ANSWER = "unread-answer"
    SLOW = "slow"


_EVENTS = {
    Way.LARGE_HEAD: Event.HEAD_TOO_LARGE,
    Way.LARGE_FRAMING: Event.FRAMING_TOO_LARGE,
    Way.EMPTY_LINES: Event.EMPTY_LINES_REFUSED,
    Way.NO_MEMORY: Event.MEMORY_REFUSED,
    Way.HEAD_GAVE_WAY: Event.HEAD_GAVE_WAY,
    Way.UNREAD_ANSWER: Event.UNREAD_ANSWER_CLOSED,
    Way.SLOW: Event.CLIENT_TOO_SLOW,
}


class TurnedAway:
    """Counters of one process; each way is logged once a second at most."""

    def __init__(self, log: EventLog | None = None, clock: Clock | None = None):
        self._log = log
        self._clock = clock or SystemClock()
        self._counts = dict.fromkeys(Way, 0)
        self._logged_counts = dict.fromkeys(Way, 0)
        self._logged_ms: dict[Way, int] = {}

    def note(self, way: Way) -> None:
        """Counts a client that is turned away."""
        self._counts[way] += 1
        now_ms = self._clock.now_ms()
        last_ms = self._logged_ms.get(way)
        if self._log is None or (
            last_ms is not None and now_ms - last_ms < MIN_LOG_INTERVAL_MS
        ):
            return
        self._logged_ms[way] = now_ms
        count = self._counts[way] - self._logged_counts[way]
        self._logged_counts[way] = self._counts[way]
        self._log.emit(_EVENTS[way], count=count)

    def count(self, label: str) -> int:
        """Returns how many were turned away so far, by the value of a way."""
        return self._counts[Way(label)]
