"""Baselines: common proxies that serve first come, first served."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from peridotbend.domain.targetstates import TargetStates
from peridotbend_emulator.entries import (
    POLL_S,
    NoLog,
    World,
    finish_call,
    wait_first,
)
from peridotbend_emulator.runners import (
    BROKEN,
    EXPIRED,
    LATE,
    REFUSED,
    SHED,
    Runner,
    Trace,
)

MAX_TRIES = 3


class ProxyEntry:
    """A common proxy: first come, bounded queue, slots for each target.

    It drops what waited past its deadline and closes the connection of a
    call that is not answered by then, which cancels it at the engine.
    """

    def __init__(self, world: World, by_load: bool, number: int):
        self._world = world
        self._by_load = by_load
        self._queue: deque[tuple[Trace, asyncio.Future[Runner]]] = deque()
        self._in_use: Counter[str] = Counter()
        self._loads: dict[str, float] = {}
        self._states = TargetStates(world.clock, NoLog())
        # Proxies that all began with the same target would move in step.
        self._next = number
        self._runners = list(world.runners.values())

    def start(self, start: Callable[..., None]) -> None:
        """Starts reading load reports."""
        if self._by_load:
            start(self._poll())

    def has_lower_waiting(self, tier: int) -> bool:
        """Tells whether a request of a lower tier waits here."""
        return any(t.request.kind.tier > tier for t, _ in self._queue)

    async def serve(self, trace: Trace, key: str) -> None:
        """Queues, calls a target and tries others if none accepts."""
        for _ in range(MAX_TRIES):
            runner = await self._acquire(trace)
            if runner is None:
                return
            self._in_use[runner.target.name] += 1
            trace.started_at_ms = self._world.clock.now_ms()
            trace.target_name = runner.target.name
            try:
                if await self._call(runner, trace, key):
                    return
            finally:
                self._in_use[runner.target.name] -= 1
                self._pump()
        trace.outcome = REFUSED

    async def _call(self, runner: Runner, trace: Trace, key: str) -> bool:
        call = await runner.open(key, trace.request)
        if call is None:
            self._states.record_failure(runner.target.name)
            return False
        left_ms = trace.deadline_at_ms - self._world.clock.now_ms()
        timer = asyncio.get_running_loop().call_later(
            max(0, left_ms) / 1_000, runner.cancel, key
        )
        await wait_first(self._world, trace, call)
        finish_call(self._world, trace, await call.end)
        timer.cancel()
        if trace.outcome == BROKEN and not self._is_past(trace):
            self._states.record_failure(runner.target.name)
        elif trace.outcome == BROKEN:
            trace.outcome = LATE
        return True

    def _is_past(self, trace: Trace) -> bool:
        return self._world.clock.now_ms() >= trace.deadline_at_ms

    async def _acquire(self, trace: Trace) -> Runner | None:
        if len(self._queue) >= self._world.user.max_proxy_queue:
            trace.outcome = SHED
            return None
        future: asyncio.Future[Runner] = asyncio.Future()
        self._queue.append((trace, future))
        self._pump()
        left_ms = trace.deadline_at_ms - self._world.clock.now_ms()
        await asyncio.wait([future], timeout=max(0, left_ms) / 1_000)
        if future.done():
            return future.result()
        self._queue.remove((trace, future))
        trace.outcome = EXPIRED
        return None

    def _pump(self) -> None:
        taken: Counter[str] = Counter()
        while self._queue:
            runner = self._choose(taken)
            if runner is None:
                return
            taken[runner.target.name] += 1
            self._queue.popleft()[1].set_result(runner)

    def _choose(self, taken: Counter[str]) -> Runner | None:
        count = len(self._runners)
        order = [self._runners[(self._next + i) % count] for i in range(count)]
        free = [r for r in order if self._has_slot(r.target.name, taken)]
        if not free:
            return None
        chosen = min(free, key=self._find_load) if self._by_load else free[0]
        self._next = (self._runners.index(chosen) + 1) % count
        return chosen

    def _has_slot(self, name: str, taken: Counter[str]) -> bool:
        used = self._in_use[name] + taken[name]
        return (
            used < self._world.user.proxy_slots
            and self._states.is_available(name)
        )

    def _find_load(self, runner: Runner) -> float:
        return self._loads.get(runner.target.name, 0.0)

    async def _poll(self) -> None:
        while True:
            for name, runner in self._world.runners.items():
                report = runner.report_load()
                if report is not None:
                    # Running sequences first; waiting prompts by a batch's.
                    waiting = report.waiting_tokens / 1_000
                    self._loads[name] = report.running + waiting
            await asyncio.sleep(POLL_S)
