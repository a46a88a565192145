"""State of targets: incarnations, leaving marks and failures."""

import dataclasses
from collections import deque

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog

FIRST_BACKOFF_MS = 1_000
MAX_BACKOFF_MS = 10_000
# More than twice the restarts that the largest fleet sees in a day.
MAX_LEAVING_MARKS = 8_192
MAX_TARGETS = 16_384
# Incarnations of one name that are known to have been replaced.
MAX_REPLACED_INCARNATIONS = 8

LeavingMark = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Failure:
    until_ms: int
    backoff_ms: int


class TargetStates:
    """Leaving marks, which never expire, and failures seen by this process."""

    def __init__(self, clock: Clock, log: EventLog):
        self._clock = clock
        self._log = log
        self._incarnations: dict[str, str] = {}
        self._replaced: dict[str, deque[str]] = {}
        # What targets said of themselves last: the incarnation, and the number
        # of the next leaving mark at that time.
        self._reported: dict[str, tuple[str, int]] = {}
        # Sequence number of each mark, in the order in which the marks became
        # known; the links to peers depend on this order.
        self._leaving: dict[LeavingMark, int] = {}
        self._leaving_by_name: dict[str, int] = {}
        self._next_mark_number = 0
        self._failures: dict[str, _Failure] = {}
        # When each target last answered, or was seen to be replaced.
        self._alive_at_ms: dict[str, int] = {}

    def record_incarnation(self, name: str, incarnation: str) -> None:
        """Records the incarnation of a target, unless it was replaced before.

        The platform's list can lag, so an incarnation that another one has
        replaced is ignored.
        """
        known = self._incarnations.get(name)
        replaced = self._replaced.get(name, ())
        if known == incarnation or incarnation in replaced:
            return
        if known is None and len(self._incarnations) >= MAX_TARGETS:
            return
        self._incarnations[name] = incarnation
        if known is not None:
            old = self._replaced.setdefault(
                name, deque(maxlen=MAX_REPLACED_INCARNATIONS)
            )
            old.append(known)
            # The failures belong to the replaced incarnation.
            self.record_success(name)

    def record_report(self, name: str, incarnation: str) -> None:
        """Records the incarnation that a target itself reported.

        Unlike lists and marks, it is never out of date.
        """
        if name not in self._reported and len(self._reported) >= MAX_TARGETS:
            return
        self._reported[name] = incarnation, self._next_mark_number
        replaced = self._replaced.get(name)
        if replaced is not None and incarnation in replaced:
            replaced.remove(incarnation)
        self.record_incarnation(name, incarnation)

    def find_incarnation(self, name: str) -> str:
        """Returns the last known incarnation of a target, or ""."""
        return self._incarnations.get(name, "")

    def mark_leaving(self, name: str, incarnation: str) -> bool:
        """Marks an incarnation as leaving; returns True if the mark is new."""
        mark = (name, incarnation)
        if mark in self._leaving:
            return False
        if len(self._leaving) >= MAX_LEAVING_MARKS:
            self._forget_oldest_mark()
        self._leaving[mark] = self._next_mark_number
        self._next_mark_number += 1
        count = self._leaving_by_name.get(name, 0)
        self._leaving_by_name[name] = count + 1
        self.record_incarnation(name, incarnation)
        self._log.emit(
            Event.TARGET_LEAVING, target=name, incarnation=incarnation
        )
        return True

    def is_leaving(self, name: str, incarnation: str) -> bool:
        """Tells whether that incarnation was ever marked as leaving."""
        return (name, incarnation) in self._leaving

    def list_marks_from(
        self, cursor: int, limit: int
    ) -> tuple[list[LeavingMark], int]:
        """Returns up to `limit` marks from `cursor` on, and the next cursor.

        Omits marks of processes that have ended: an instance that started
        since then would take such a mark for the newest incarnation.
        """
        if cursor >= self._next_mark_number:
            return [], cursor
        marks = [
            mark
            for mark, number in self._leaving.items()
            if number >= cursor and not self._has_ended(mark, number)
        ][:limit]
        if not marks:
            return [], self._next_mark_number
        return marks, self._leaving[marks[-1]] + 1

    def record_failure(self, name: str, seen_at_ms: int | None = None) -> None:
        """Excludes a target for a backoff that doubles with each failure.

        A failure seen before the target last answered is ignored.
        """
        now = self._clock.now_ms()
        if (
            seen_at_ms is not None
            and self._alive_at_ms.get(name, seen_at_ms) > seen_at_ms
        ):
            return
        failure = self._failures.get(name)
        # Requests in flight fail together and count as one failure.
        if failure is not None and now < failure.until_ms:
            return
        backoff = FIRST_BACKOFF_MS
        if failure is not None:
            backoff = min(2 * failure.backoff_ms, MAX_BACKOFF_MS)
        elif len(self._failures) >= MAX_TARGETS:
            self._failures.pop(next(iter(self._failures)))
        self._failures[name] = _Failure(now + backoff, backoff)

    def record_success(self, name: str) -> None:
        """Clears the failures of a target that works."""
        self._failures.pop(name, None)
        if len(self._alive_at_ms) >= MAX_TARGETS:
            self._alive_at_ms.pop(next(iter(self._alive_at_ms)))
        self._alive_at_ms[name] = self._clock.now_ms()

    def is_available(self, name: str) -> bool:
        """Tells whether a target may get new work."""
        failure = self._failures.get(name)
        if failure is not None and self._clock.now_ms() < failure.until_ms:
            return False
        if not self._leaving_by_name.get(name):
            return True
        incarnation = self._incarnations.get(name)
        return incarnation is not None and not self.is_leaving(
            name, incarnation
        )

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        now = self._clock.now_ms()
        return {
            "leaving": [list(mark) for mark in list(self._leaving)[-64:]],
            "failing": {
                name: failure.until_ms - now
                for name, failure in self._failures.items()
                if failure.until_ms > now
            },
        }

    def _has_ended(self, mark: LeavingMark, number: int) -> bool:
        """Tells whether a later report of the target names another process."""
        name, incarnation = mark
        reported = self._reported.get(name)
        if reported is None:
            return False
        return reported[0] != incarnation and number < reported[1]

    def _forget_oldest_mark(self) -> None:
        oldest = next(iter(self._leaving))
        del self._leaving[oldest]
        self._leaving_by_name[oldest[0]] -= 1
        if not self._leaving_by_name[oldest[0]]:
            del self._leaving_by_name[oldest[0]]
