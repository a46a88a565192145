"""Sums and maxima over a sliding window, for load that changes fast."""

from collections import deque
from collections.abc import Iterable

from peridotbend.domain.clock import Clock

# Parts of a window that expire one after the other; bounds its memory.
PARTS = 16


class _SlidingWindow:
    """What was added within the last `window_ms`, combined by parts."""

    def __init__(self, clock: Clock, window_ms: int):
        self._clock = clock
        self._part_ms = max(1, window_ms // PARTS)
        # Number of the part and its amount, the oldest first.
        self._parts: deque[tuple[int, float]] = deque()

    def add(self, amount: float) -> None:
        """Adds an amount now."""
        number = self._clock.now_ms() // self._part_ms
        if self._parts and self._parts[-1][0] == number:
            amount = self._combine((self._parts.pop()[1], amount))
        self._parts.append((number, amount))

    def find(self) -> float:
        """Returns what the amounts of the window come to; 0 without any."""
        oldest = self._clock.now_ms() // self._part_ms - PARTS
        while self._parts and self._parts[0][0] <= oldest:
            self._parts.popleft()
        return self._combine(amount for _, amount in self._parts)

    @staticmethod
    def _combine(amounts: Iterable[float]) -> float:
        raise NotImplementedError


class SlidingSum(_SlidingWindow):
    """Sum of what was added within the last `window_ms`."""

    @staticmethod
    def _combine(amounts: Iterable[float]) -> float:
        return sum(amounts)


class SlidingMaximum(_SlidingWindow):
    """The largest amount that was added within the last `window_ms`."""

    @staticmethod
    def _combine(amounts: Iterable[float]) -> float:
        return max(amounts, default=0.0)
