"""An asyncio event loop in simulated time whose processes can be paused.

Timers fire when a ManualClock reaches their time. The code under test needs no
change, and the same run always gives the same order of events.
"""

import asyncio
import contextvars
import math
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

from peridotbend.domain.clock import ManualClock

Callback = Callable[..., object]
_DeferredCall = tuple[
    asyncio.Handle, Callback, tuple[Any, ...], contextvars.Context | None
]


class SimProcess:
    """A simulated process: tasks that are paused and resumed together."""

    def __init__(self, name: str):
        self.name = name
        # True while paused, and permanently after a kill.
        self.paused = False
        self.dead = False
        self.deferred: list[_DeferredCall] = []


_PROCESS: contextvars.ContextVar[SimProcess | None] = contextvars.ContextVar(
    "process", default=None
)


def _find_process(context: contextvars.Context | None) -> SimProcess | None:
    return _PROCESS.get() if context is None else context.get(_PROCESS)


class _ClockSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting for I/O."""

    def __init__(self, clock: ManualClock):
        super().__init__()
        self._clock = clock
        self.end_ms = clock.now_ms()
        self.stop: Callable[[], None] = lambda: None

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is not None and timeout <= 0:
            return []
        remaining_ms = self.end_ms - self._clock.now_ms()
        wait_ms = remaining_ms + 1
        if timeout is not None:
            wait_ms = max(1, math.ceil(timeout * 1_000 - 1e-3))
        self._clock.advance(min(wait_ms, remaining_ms))
        if wait_ms > remaining_ms:
            self.stop()
        return []


class SimLoop(asyncio.SelectorEventLoop):
    """The event loop that runs all processes of a simulated fleet."""

    def __init__(self, clock: ManualClock):
        self._clock = clock
        self._clock_selector = _ClockSelector(clock)
        # Keeps the tasks of a killed process alive. Otherwise the time of their
        # garbage collection would differ between runs.
        self._task_references: list[asyncio.Task[Any]] = []
        super().__init__(self._clock_selector)
        self._clock_selector.stop = self.stop

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._clock.now_ms() / 1_000

    def create_task(self, *args: Any, **options: Any) -> "asyncio.Task[Any]":
        """Starts a task and keeps a reference to it until it is done."""
        task = super().create_task(*args, **options)
        self._task_references.append(task)
        if len(self._task_references) > 5_000:
            self._task_references = [
                task for task in self._task_references if not task.done()
            ]
        return task

    def run_for(self, ms: int) -> None:
        """Runs all processes until the clock has advanced by `ms`."""
        self._clock_selector.end_ms = self._clock.now_ms() + ms
        self.run_forever()

    def spawn(
        self, process: SimProcess | None, work: Coroutine[Any, Any, Any]
    ) -> "asyncio.Task[Any]":
        """Starts a task in a process, or outside all processes for None."""
        context = contextvars.Context()
        context.run(_PROCESS.set, process)
        return self.create_task(work, context=context)

    def call_later_detached(self, delay_ms: int, callback: Callback) -> None:
        """Schedules a callback outside all processes, which no pause defers."""
        self.call_later(
            delay_ms / 1_000, callback, context=contextvars.Context()
        )

    def resume(self, process: SimProcess) -> None:
        """Resumes a process; schedules the callbacks deferred by its pause."""
        process.paused = False
        deferred, process.deferred = process.deferred, []
        for handle, callback, args, context in deferred:
            if not handle.cancelled():
                super().call_soon(callback, *args, context=context)

    def call_soon(  # type: ignore[override]
        self,
        callback: Callback,
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedules a callback, or defers it while its process is paused."""
        process = _find_process(context)
        if process is None or not process.paused:
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        process.deferred.append((handle, callback, args, context))
        return handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callback,
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a timer; one that fires during a pause is deferred."""
        if context is None:
            context = contextvars.copy_context()
        process = _find_process(context)

        def fire() -> None:
            if process is not None and process.paused:
                process.deferred.append((timer, callback, args, context))
            else:
                callback(*args)

        timer = super().call_at(when, fire, context=context)
        return timer


def current_process() -> SimProcess | None:
    """Returns the process whose code is running, or None."""
    return _PROCESS.get()
