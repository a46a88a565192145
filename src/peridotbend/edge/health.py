"""What own requests tell about targets: which to avoid, and for how long."""

import dataclasses

from peridotbend.domain.clock import Clock

# A target that refused a connection is tried again after this time, twice as
# long after each further failure.
FIRST_AVOID_MS = 250
MAX_AVOID_MS = 2_000
# Weight of the newest outcome in the share of failures.
FAILURE_SMOOTHING = 0.15
# A target may fail this much more of its requests than the best of its
# service before it gets fewer.
FAILURE_SLACK = 0.2
# Weight of the newest pause between two events of a stream.
PACE_SMOOTHING = 0.05
# A longer pause tells of one long prompt and counts as this.
MAX_PAUSE_MS = 300


@dataclasses.dataclass(slots=True)
class _Record:
    failures_in_row: int = 0
    avoid_until_ms: int = 0
    failure_share: float = 0.0
    # When anything last arrived from the target.
    heard_at_ms: int = 0
    # Smoothed time between two events of a stream; 0 before the first.
    pace_ms: float = 0.0


class TargetHealth:
    """Outcomes of own requests by target."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def note_answer(self, target: str, failed: bool) -> None:
        """Notes a whole answer; an error status counts as failed."""
        record = self._find(target)
        record.failures_in_row = 0
        record.avoid_until_ms = 0
        record.heard_at_ms = self._clock.now_ms()
        self._smooth(record, float(failed))

    def note_heard(self, target: str) -> None:
        """Notes that something arrived from the target."""
        self._find(target).heard_at_ms = self._clock.now_ms()

    def note_pause(self, target: str, pause_ms: int) -> None:
        """Notes the time between two events of one stream."""
        record = self._find(target)
        pause_ms = min(pause_ms, MAX_PAUSE_MS)
        if not record.pace_ms:
            record.pace_ms = float(pause_ms)
        record.pace_ms += PACE_SMOOTHING * (pause_ms - record.pace_ms)

    def find_pace_ms(self, target: str) -> float:
        """Returns the time between two events of a stream; 0 if unknown."""
        record = self._records.get(target)
        return record.pace_ms if record else 0.0

    def note_failure(self, target: str) -> None:
        """Notes a connection that failed or broke, or a silent target."""
        record = self._find(target)
        record.failures_in_row += 1
        avoid_ms = FIRST_AVOID_MS * 2 ** min(record.failures_in_row - 1, 8)
        record.avoid_until_ms = self._clock.now_ms() + min(
            avoid_ms, MAX_AVOID_MS
        )
        self._smooth(record, 1.0)

    def should_avoid(self, target: str) -> bool:
        """Tells whether other targets should be tried first."""
        record = self._records.get(target)
        return (
            record is not None and record.avoid_until_ms > self._clock.now_ms()
        )

    def find_failure_share(self, target: str) -> float:
        """Returns the recent share of failed requests."""
        record = self._records.get(target)
        return record.failure_share if record else 0.0

    def find_silence_ms(self, target: str, since_ms: int) -> int:
        """Returns how long nothing arrived, at most since `since_ms`."""
        record = self._records.get(target)
        heard_at_ms = record.heard_at_ms if record else 0
        return self._clock.now_ms() - max(heard_at_ms, since_ms)

    def dump(self) -> dict[str, object]:
        """Returns what operators may want to see."""
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
        """Drops what was learnt of a target that restarted or is gone."""
        self._records.pop(target, None)

    def _find(self, target: str) -> _Record:
        return self._records.setdefault(target, _Record())

    def _smooth(self, record: _Record, outcome: float) -> None:
        gap = outcome - record.failure_share
        record.failure_share += FAILURE_SMOOTHING * gap
