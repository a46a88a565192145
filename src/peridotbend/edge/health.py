"""Health of targets, derived from the requests that this instance sends."""

import dataclasses

from peridotbend.domain.clock import Clock

# A target is avoided for this long after a failure; the time doubles with each
# consecutive failure, up to the maximum.
FIRST_AVOID_MS = 250
MAX_AVOID_MS = 2_000
# Weight of the latest outcome in the moving average of failures.
FAILURE_SMOOTHING = 0.15
# Amount by which the failure share of a target may exceed that of the best
# target of its service before it ranks behind the others.
FAILURE_SLACK = 0.2
# Weight of the latest interval in the moving average of the pace.
PACE_SMOOTHING = 0.05
# Upper bound of an interval in that average: a longer one is caused by a single
# long prompt.
MAX_EVENT_INTERVAL_MS = 300


@dataclasses.dataclass(slots=True)
class _TargetRecord:
    consecutive_failures: int = 0
    avoid_until_ms: int = 0
    failure_share: float = 0.0
    # When data last arrived from the target.
    last_activity_ms: int = 0
    # Moving average of the time between stream events; 0 if unknown.
    pace_ms: float = 0.0
    # Number of intervals in that average.
    intervals: int = 0


class TargetHealth:
    """Failures, pace and last activity of each target."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._records: dict[str, _TargetRecord] = {}

    @property
    def now_ms(self) -> int:
        """The current time."""
        return self._clock.now_ms()

    def note_answer(self, target: str, failed: bool) -> None:
        """Records a complete answer; `failed` means an error status."""
        record = self._get_record(target)
        record.consecutive_failures = 0
        record.avoid_until_ms = 0
        record.last_activity_ms = self._clock.now_ms()
        self._update_failure_share(record, float(failed))

    def note_activity(self, target: str) -> None:
        """Records that data arrived from the target."""
        self._get_record(target).last_activity_ms = self._clock.now_ms()

    def note_event_interval(self, target: str, interval_ms: int) -> None:
        """Records the time between two events of one stream."""
        record = self._get_record(target)
        interval_ms = min(interval_ms, MAX_EVENT_INTERVAL_MS)
        record.intervals += 1
        # A plain mean at first: with the fixed weight, one long first interval
        # would make a target look slow for dozens of events.
        weight = max(PACE_SMOOTHING, 1 / record.intervals)
        record.pace_ms += weight * (interval_ms - record.pace_ms)

    def find_pace_ms(self, target: str) -> float:
        """Returns the mean time between stream events; 0 if unknown."""
        record = self._records.get(target)
        return record.pace_ms if record else 0.0

    def note_failure(self, target: str) -> None:
        """Records a failed or broken connection, or a silent target."""
        record = self._get_record(target)
        record.consecutive_failures += 1
        avoid_ms = FIRST_AVOID_MS * 2 ** min(record.consecutive_failures - 1, 8)
        record.avoid_until_ms = self._clock.now_ms() + min(
            avoid_ms, MAX_AVOID_MS
        )
        self._update_failure_share(record, 1.0)

    def should_avoid(self, target: str) -> bool:
        """Tells whether other targets should be tried first."""
        record = self._records.get(target)
        return (
            record is not None and record.avoid_until_ms > self._clock.now_ms()
        )

    def find_failure_share(self, target: str) -> float:
        """Returns the moving average of failures, from 0 to 1."""
        record = self._records.get(target)
        return record.failure_share if record else 0.0

    def find_silence_ms(self, target: str, since_ms: int) -> int:
        """Returns the time since the last data or, if later, `since_ms`."""
        record = self._records.get(target)
        last_activity_ms = record.last_activity_ms if record else 0
        return self._clock.now_ms() - max(last_activity_ms, since_ms)

    def dump(self) -> dict[str, object]:
        """Returns the state for the operator API."""
        now_ms = self._clock.now_ms()
        return {
            name: {
                "avoided_ms": max(0, record.avoid_until_ms - now_ms),
                "failure_share": round(record.failure_share, 3),
                "pace_ms": round(record.pace_ms, 1),
            }
            for name, record in self._records.items()
        }

    def forget(self, target: str) -> None:
        """Drops the record of a target that restarted or was removed."""
        self._records.pop(target, None)

    def _get_record(self, target: str) -> _TargetRecord:
        return self._records.setdefault(target, _TargetRecord())

    def _update_failure_share(
        self, record: _TargetRecord, outcome: float
    ) -> None:
        difference = outcome - record.failure_share
        record.failure_share += FAILURE_SMOOTHING * difference
