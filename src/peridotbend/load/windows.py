"""Sums over a sliding window, for load that changes within seconds."""

from collections import deque

from peridotbend.domain.clock import Clock

# Parts of a window that expire one after the other; bounds its memory.
PARTS = 16


class SlidingSum:
    """Sum of what was added within the last `window_ms`."""

    def __init__(self, clock: Clock, window_ms: int):
        self._clock = clock
        self._part_ms = max(1, window_ms // PARTS)
        # Number of the part and its sum, the oldest first.
        self._parts: deque[tuple[int, float]] = deque()

    def add(self, amount: float) -> None:
        """Adds an amount now."""
        number = self._clock.now_ms() // self._part_ms
        if self._parts and self._parts[-1][0] == number:
            amount += self._parts.pop()[1]
        self._parts.append((number, amount))

    def find(self) -> float:
        """Returns the sum."""
        oldest = self._clock.now_ms() // self._part_ms - PARTS
        while self._parts and self._parts[0][0] <= oldest:
            self._parts.popleft()
        return sum(amount for _, amount in self._parts)
