"""Detects that this process was suspended."""

from peridotbend.domain.clock import Clock

# Longer than any step of the event loop of a healthy process.
MIN_PAUSE_MS = 500


class PauseDetector:
    """Tells which time spans include a pause of this process.

    A process that was suspended would measure its own pause as slowness of its
    targets and refuse work that they can do.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last_tick_ms: int | None = None
        self._resumed_at_ms: int | None = None

    def tick(self) -> None:
        """Records that the process runs; called many times a second."""
        now_ms = self._clock.now_ms()
        if self._is_overdue(now_ms):
            self._resumed_at_ms = now_ms
        self._last_tick_ms = now_ms

    def reset(self) -> None:
        """Records that the ticks stop; the time until the next is no pause."""
        self._last_tick_ms = None

    def paused_since(self, since_ms: int) -> bool:
        """Tells whether the process has been suspended since `since_ms`."""
        # After a pause, other tasks may run before the task that ticks.
        if self._is_overdue(self._clock.now_ms()):
            return True
        return self._resumed_at_ms is not None and (
            since_ms < self._resumed_at_ms
        )

    def _is_overdue(self, now_ms: int) -> bool:
        last_ms = self._last_tick_ms
        return last_ms is not None and now_ms - last_ms > MIN_PAUSE_MS
