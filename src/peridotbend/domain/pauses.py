"""Notices that this process was stopped for a while."""

from peridotbend.domain.clock import Clock

# Longer than any step of the event loop that is not a fault.
PAUSE_MS = 500


class PauseDetector:
    """Tells which time spans include a pause of this process.

    A process that was stopped measures its own pause as slowness of its
    targets, and would refuse work that they can do.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last_tick_ms: int | None = None
        self._resumed_at_ms: int | None = None

    def tick(self) -> None:
        """Notes that the process runs; called many times a second."""
        now_ms = self._clock.now_ms()
        if self._is_overdue(now_ms):
            self._resumed_at_ms = now_ms
        self._last_tick_ms = now_ms

    def covers(self, since_ms: int) -> bool:
        """Tells whether the process was stopped since then."""
        # After a pause, other tasks may run before the next tick.
        if self._is_overdue(self._clock.now_ms()):
            return True
        return self._resumed_at_ms is not None and (
            since_ms < self._resumed_at_ms
        )

    def _is_overdue(self, now_ms: int) -> bool:
        last_ms = self._last_tick_ms
        return last_ms is not None and now_ms - last_ms > PAUSE_MS
