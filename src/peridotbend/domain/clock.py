"""The only source of time: milliseconds from a monotonic clock."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time in milliseconds."""

    def now_ms(self) -> int:
        """Returns milliseconds since an arbitrary fixed point."""
        ...


class SystemClock:
    """Clock of the operating system.

    It keeps counting while the process is stopped, so a process that was
    paused sees that its deadlines have passed.
    """

    def now_ms(self) -> int:
        """Returns the monotonic time of the machine."""
        return time.monotonic_ns() // 1_000_000


class ManualClock:
    """Clock that moves only when it is told to."""

    def __init__(self, start_ms: int = 1_000_000):
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Returns the time that was set last."""
        return self._now_ms

    def advance(self, ms: int) -> None:
        """Moves the time forward by `ms` milliseconds."""
        assert ms >= 0, "a monotonic clock cannot go back"
        self._now_ms += ms
