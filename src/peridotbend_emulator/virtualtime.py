"""Event loop in virtual time, which skips to the next timer at once."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from peridotbend.domain.clock import ManualClock

T = TypeVar("T")


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances the time instead of waiting."""

    def __init__(self, clock: ManualClock):
        super().__init__()
        self._clock = clock
        self._start_ms = clock.now_ms()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances the clock by `timeout`; no file ever becomes ready."""
        if timeout is None:
            raise RuntimeError(
                "deadlock: all tasks are waiting and no timer is set"
            )
        if timeout > 0:
            self.now_s += timeout
            # Rounds to the nearest microsecond first: a sum of floats just
            # below a whole millisecond must not be cut to the previous one.
            elapsed_ms = int(round(self.now_s * 1e6) // 1_000)
            now_ms = self._start_ms + elapsed_ms
            self._clock.advance(now_ms - self._clock.now_ms())
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers follow a `ManualClock` that it drives."""

    def __init__(self, clock: ManualClock):
        self._virtual_selector = _VirtualSelector(clock)
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns virtual seconds since the loop was created."""
        return self._virtual_selector.now_s


def run_virtual(clock: ManualClock, main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to completion without waiting in real time."""
    with asyncio.Runner(loop_factory=lambda: VirtualLoop(clock)) as runner:
        return runner.run(main)
