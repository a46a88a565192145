"""Clocks: the only sources of time, in milliseconds."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time in milliseconds."""

    def now_ms(self) -> int:
        """Returns milliseconds since an arbitrary fixed point."""
        ...

    def boot_ms(self) -> int:
        """Returns a monotonic time that also counts while suspended."""
        ...

    def wall_ms(self) -> int:
        """Returns the Unix time, which may jump."""
        ...


# Systems without it do not count the time while they are suspended.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock:
    """The monotonic clock of the operating system.

    It advances while the process is stopped, so a process that was stopped sees
    that its deadlines have passed. While the machine is suspended, only the
    time since its boot goes on.
    """

    def now_ms(self) -> int:
        """Returns the monotonic time of the operating system."""
        return time.monotonic_ns() // 1_000_000

    def boot_ms(self) -> int:
        """Returns the time since the boot of the machine."""
        return time.clock_gettime_ns(_BOOT_CLOCK) // 1_000_000

    def wall_ms(self) -> int:
        """Returns the time of day of the operating system."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock that only moves when `advance` is called."""

    # Unix time at the start of the clock.
    WALL_START_MS = 1_782_800_000_000

    def __init__(self, start_ms: int = 1_000_000):
        self._now_ms = start_ms
        self._wall_offset_ms = self.WALL_START_MS - start_ms
        self._suspended_ms = 0

    def now_ms(self) -> int:
        """Returns the current time of this clock."""
        return self._now_ms

    def boot_ms(self) -> int:
        """Returns the time of this clock and of its suspensions."""
        return self._now_ms + self._suspended_ms

    def wall_ms(self) -> int:
        """Returns the Unix time of this clock."""
        return self.boot_ms() + self._wall_offset_ms

    def advance(self, ms: int) -> None:
        """Moves the time forward by `ms` milliseconds."""
        assert ms >= 0, "a monotonic clock cannot go backwards"
        self._now_ms += ms

    def suspend(self, ms: int) -> None:
        """Lets time pass that only `now_ms` does not count."""
        assert ms >= 0, "a suspension cannot end before it began"
        self._suspended_ms += ms
