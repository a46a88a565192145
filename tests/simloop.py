"""An asyncio loop in simulated time whose processes can be paused.

Timers fire when a ManualClock reaches them, so `anyio.sleep` in the code
under test needs no change and the same run gives the same order.
"""

import asyncio
import contextvars
import math
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

from peridotbend.domain.clock import ManualClock

Callback = Callable[..., object]
_Late = tuple[
    asyncio.Handle, Callback, tuple[Any, ...], contextvars.Context | None
]


class SimProcess:
    """A group of tasks that stops and goes on together, as by signals."""

    def __init__(self, name: str):
        self.name = name
        # True while paused, and for ever after a kill.
        self.stopped = False
        self.dead = False
        self.late: list[_Late] = []


_PROCESS: contextvars.ContextVar[SimProcess | None] = contextvars.ContextVar(
    "process", default=None
)


def _find_owner(context: contextvars.Context | None) -> SimProcess | None:
    return _PROCESS.get() if context is None else context.get(_PROCESS)


class _ClockSelector(selectors.SelectSelector):
    """Moves the clock where other selectors wait."""

    def __init__(self, clock: ManualClock):
        super().__init__()
        self._clock = clock
        self.limit_ms = clock.now_ms()
        self.stop: Callable[[], None] = lambda: None

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is not None and timeout <= 0:
            return []
        left_ms = self.limit_ms - self._clock.now_ms()
        wait_ms = left_ms + 1
        if timeout is not None:
            wait_ms = max(1, math.ceil(timeout * 1_000 - 1e-3))
        self._clock.advance(min(wait_ms, left_ms))
        if wait_ms > left_ms:
            self.stop()
        return []


class SimLoop(asyncio.SelectorEventLoop):
    """The loop of a whole simulated fleet."""

    def __init__(self, clock: ManualClock):
        self._clock = clock
        self._sim = _ClockSelector(clock)
        # The tasks of a killed process must not be collected at a moment
        # that differs between runs.
        self._kept: list[asyncio.Task[Any]] = []
        super().__init__(self._sim)
        self._sim.stop = self.stop

    def time(self) -> float:
        """Returns simulated seconds."""
        return self._clock.now_ms() / 1_000

    def create_task(self, *args: Any, **options: Any) -> "asyncio.Task[Any]":
        """Starts a task and keeps it."""
        task = super().create_task(*args, **options)
        self._kept.append(task)
        if len(self._kept) > 5_000:
            self._kept = [task for task in self._kept if not task.done()]
        return task

    def run_for(self, ms: int) -> None:
        """Runs all processes until the clock has moved by `ms`."""
        self._sim.limit_ms = self._clock.now_ms() + ms
        self.run_forever()

    def spawn(
        self, process: SimProcess | None, work: Coroutine[Any, Any, Any]
    ) -> "asyncio.Task[Any]":
        """Starts a task that belongs to a process."""
        context = contextvars.Context()
        context.run(_PROCESS.set, process)
        return self.create_task(work, context=context)

    def call_outside(self, delay_ms: int, callback: Callback) -> None:
        """Calls back later whether or not any process is paused."""
        self.call_later(
            delay_ms / 1_000, callback, context=contextvars.Context()
        )

    def wake(self, process: SimProcess) -> None:
        """Lets a process go on; all that it missed happens now."""
        process.stopped = False
        late, process.late = process.late, []
        for handle, callback, args, context in late:
            if not handle.cancelled():
                super().call_soon(callback, *args, context=context)

    def call_soon(  # type: ignore[override]
        self,
        callback: Callback,
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedules a callback, after the pause if its process is paused."""
        owner = _find_owner(context)
        if owner is None or not owner.stopped:
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        owner.late.append((handle, callback, args, context))
        return handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callback,
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a timer; one that fires in a pause runs after it."""
        if context is None:
            context = contextvars.copy_context()
        owner = _find_owner(context)

        def fire() -> None:
            if owner is not None and owner.stopped:
                owner.late.append((timer, callback, args, context))
            else:
                callback(*args)

        timer = super().call_at(when, fire, context=context)
        return timer


def current_process() -> SimProcess | None:
    """Returns the process whose code runs now."""
    return _PROCESS.get()
