"""Baseline policies: reverse proxies with a first-in, first-out queue."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from peridotbend.domain.targetstates import TargetStates
from peridotbend_emulator.entries import (
    LOAD_POLL_INTERVAL_S,
    NullTelemetry,
    World,
    record_call_end,
    wait_first_token,
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

MAX_ATTEMPTS = 3


class ProxyEntry:
    """A reverse proxy with a bounded FIFO queue and a fixed limit per target.

    A request that is still queued at its deadline is dropped. For a call that
    is still running then, the proxy closes the connection, which cancels the
    request at the engine.
    """

    def __init__(self, world: World, least_loaded: bool, first_index: int):
        self._world = world
        self._least_loaded = least_loaded
        self._queue: deque[tuple[Trace, asyncio.Future[Runner]]] = deque()
        self._in_use: Counter[str] = Counter()
        self._loads: dict[str, float] = {}
        self._states = TargetStates(world.clock, NullTelemetry())
        # Each proxy starts its round robin at another target; otherwise all of
        # them would send to the same target at the same time.
        self._next_index = first_index
        self._runners = list(world.runners.values())

    def start(self, start_task: Callable[..., None]) -> None:
        """Starts polling load reports if targets are chosen by load."""
        if self._least_loaded:
            start_task(self._poll_loads())

    def has_lower_tier_waiting(self, tier: int) -> bool:
        """Returns whether a request of a lower tier is queued here."""
        return any(t.request.kind.tier > tier for t, _ in self._queue)

    async def serve(self, trace: Trace, key: str) -> None:
        """Queues a request, then tries up to MAX_ATTEMPTS targets."""
        for _ in range(MAX_ATTEMPTS):
            runner = await self._acquire_slot(trace)
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
                self._dispatch_waiting()
        trace.outcome = REFUSED

    async def _call(self, runner: Runner, trace: Trace, key: str) -> bool:
        call = await runner.open(key, trace.request)
        if call is None:
            self._states.record_failure(runner.target.name)
            return False
        remaining_ms = trace.deadline_at_ms - self._world.clock.now_ms()
        timer = asyncio.get_running_loop().call_later(
            max(0, remaining_ms) / 1_000, runner.cancel, key
        )
        await wait_first_token(self._world, trace, call)
        record_call_end(self._world, trace, await call.end)
        timer.cancel()
        if trace.outcome == BROKEN and not self._is_past_deadline(trace):
            self._states.record_failure(runner.target.name)
        elif trace.outcome == BROKEN:
            trace.outcome = LATE
        return True

    def _is_past_deadline(self, trace: Trace) -> bool:
        return self._world.clock.now_ms() >= trace.deadline_at_ms

    async def _acquire_slot(self, trace: Trace) -> Runner | None:
        if len(self._queue) >= self._world.user.max_proxy_queue:
            trace.outcome = SHED
            return None
        future: asyncio.Future[Runner] = asyncio.Future()
        self._queue.append((trace, future))
        self._dispatch_waiting()
        remaining_ms = trace.deadline_at_ms - self._world.clock.now_ms()
        await asyncio.wait([future], timeout=max(0, remaining_ms) / 1_000)
        if future.done():
            return future.result()
        self._queue.remove((trace, future))
        trace.outcome = EXPIRED
        return None

    def _dispatch_waiting(self) -> None:
        assigned: Counter[str] = Counter()
        while self._queue:
            runner = self._choose_runner(assigned)
            if runner is None:
                return
            assigned[runner.target.name] += 1
            self._queue.popleft()[1].set_result(runner)

    def _choose_runner(self, assigned: Counter[str]) -> Runner | None:
        count = len(self._runners)
        candidates = [
            self._runners[(self._next_index + i) % count] for i in range(count)
        ]
        free = [
            r for r in candidates if self._has_slot(r.target.name, assigned)
        ]
        if not free:
            return None
        chosen = (
            min(free, key=self._find_load) if self._least_loaded else free[0]
        )
        self._next_index = (self._runners.index(chosen) + 1) % count
        return chosen

    def _has_slot(self, name: str, assigned: Counter[str]) -> bool:
        used = self._in_use[name] + assigned[name]
        return (
            used < self._world.user.proxy_slots
            and self._states.is_available(name)
        )

    def _find_load(self, runner: Runner) -> float:
        return self._loads.get(runner.target.name, 0.0)

    async def _poll_loads(self) -> None:
        while True:
            for name, runner in self._world.runners.items():
                report = runner.report_load()
                if report is not None:
                    # Running sequences weigh most; waiting prompt tokens
                    # count as batches of 1,000.
                    waiting = report.waiting_tokens / 1_000
                    self._loads[name] = report.running + waiting
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)
