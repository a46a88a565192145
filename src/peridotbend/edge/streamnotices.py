"""Which own streams the other instances are told of, and when."""

import collections
import dataclasses
from collections.abc import Callable, Iterable

from peridotbend.domain.clock import Clock
from peridotbend.edge.callerlimits import CallerLimits
from peridotbend.edge.streamrecords import MAX_RECORDS, BegunStream
from peridotbend.edge.versions import VersionTimeline

# A stream that has lasted this long is told to others, so that few streams are
# lost with their instance, and most short ones cost nothing.
MIN_AGE_MS = 1_000
# Interval in which those are looked for.
INTERVAL_MS = 500
# Those that were told may be killed in turn, so that others are told again.
REPEAT_MS = 10_000


@dataclasses.dataclass(slots=True)
class _Running:
    """An own stream that has not ended in order."""

    stream: BegunStream
    told_at_ms: int | None = None


class StreamNotices:
    """The own streams that callers may take up elsewhere."""

    def __init__(
        self, clock: Clock, timeline: VersionTimeline, limits: CallerLimits
    ):
        self._clock = clock
        self._limits = limits
        self._timeline = timeline
        # By attempt, the oldest first.
        self._running: collections.OrderedDict[str, _Running] = (
            collections.OrderedDict()
        )
        # Tells others of a stream if its version is certain, and whether it is.
        # Its target is not asked for that: a stream that runs is mostly proven
        # soon, and one that is not must not be given up before it breaks.
        self.tell: Callable[[BegunStream], bool] = lambda stream: False

    def note_begun(self, stream: BegunStream) -> None:
        """Records a stream that begins."""
        self._running[stream.attempt] = _Running(stream)
        self._running.move_to_end(stream.attempt)
        oldest_ms = self._clock.now_ms() - self._limits.kept_ms
        while (
            len(self._running) > MAX_RECORDS
            or next(iter(self._running.values())).stream.begun_at_ms < oldest_ms
        ):
            self._running.popitem(last=False)

    def note_complete(self, attempt: str) -> None:
        """Records that a caller has got a whole stream."""
        self._running.pop(attempt, None)

    def tell_lasting(self) -> None:
        """Tells of the streams that last, where there are several versions."""
        now_ms = self._clock.now_ms()
        services = {r.stream.service for r in self._running.values()}
        due = {s for s in services if self._timeline.has_versions(s)}
        if due:
            self._tell(
                running
                for running in self._running.values()
                if running.stream.service in due
                and running.stream.begun_at_ms <= now_ms - MIN_AGE_MS
                and (
                    running.told_at_ms is None
                    or running.told_at_ms <= now_ms - REPEAT_MS
                )
            )

    def tell_all(self) -> None:
        """Tells of all streams, since this process is about to end."""
        self._tell(self._running.values())

    def _tell(self, due: Iterable[_Running]) -> None:
        for running in due:
            if self.tell(running.stream):
                running.told_at_ms = self._clock.now_ms()
