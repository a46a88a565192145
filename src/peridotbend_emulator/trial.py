"""Runs a workload under one policy and computes the figures of the run."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Coroutine, Iterable, Sequence
from typing import Any

from peridotbend.domain.clock import ManualClock
from peridotbend_emulator.entries import PolicyEntry, World
from peridotbend_emulator.policies import POLICIES, pick_entry
from peridotbend_emulator.runners import (
    BROKEN,
    EXPIRED,
    LATE,
    ON_TIME,
    REFUSED,
    SHED,
    Runner,
    Trace,
)
from peridotbend_emulator.virtualtime import run_virtual
from peridotbend_emulator.workload import (
    DRAIN_MS,
    DURATION_MS,
    USERS,
    Request,
    find_service,
    load_fleet_text,
    make_requests,
)

# Longest time between two divisions of the shares of a target.
MAX_SHARE_AGE_MS = 200
# Times of the faults, as parts of the run.
KILL_AT, RESTART_AT = 0.25, 0.35
SLOW_FROM, SLOW_UNTIL = 0.5, 0.8
SLOWDOWN = 5.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Case:
    """The parameters that identify a run."""

    user: str
    load: float
    policy: str
    seed: int


class Trial:
    """One run: its runners, its entries and the traces of its requests."""

    def __init__(self, case: Case, duration_ms: int = DURATION_MS):
        self.case = case
        self._duration_ms = duration_ms
        self._clock = ManualClock(0)
        self._user = USERS[case.user]
        self._rng = random.Random(f"balancer:{case.seed}")
        self._tasks: set[asyncio.Task[Any]] = set()
        self._failed_tasks: list[asyncio.Task[Any]] = []
        self.traces: list[Trace] = []
        self.runners: dict[str, Runner] = {}
        self._prefixes_seen: set[int] = set()

    def run(self) -> dict[str, Any]:
        """Runs the workload to its end and returns the figures."""
        run_virtual(self._clock, self._run())
        return measure(self)

    async def _run(self) -> None:
        targets = sorted(find_service(self._user).targets, key=lambda t: t.name)
        for target, speed in zip(
            targets, self._user.runner_speeds, strict=True
        ):
            runner = Runner(target, speed, self._clock)
            self.runners[target.name] = runner
            self._start_task(runner.run())
        world = World(self._clock, self._user, self.runners, self.case.seed)
        entries = POLICIES[self.case.policy](world)
        for entry in entries:
            entry.start(self._start_task)
        self._schedule_faults()
        await self._send_requests(entries)
        await asyncio.sleep(
            (self._duration_ms + DRAIN_MS - self._clock.now_ms()) / 1_000
        )
        for task in self._failed_tasks:
            # Raises the error of the task: without it, the figures are wrong.
            task.result()
        self._end_unfinished()

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failed_tasks.append(task)

    def _schedule_faults(self) -> None:
        runner_names = list(self.runners)
        slow = self.runners[runner_names[self._user.straggler_index]]
        killed = self.runners[runner_names[self._user.killed_index]]
        loop = asyncio.get_running_loop()
        total_s = self._duration_ms / 1_000
        loop.call_later(total_s * KILL_AT, killed.kill)
        loop.call_later(total_s * RESTART_AT, killed.restart)
        loop.call_later(total_s * SLOW_FROM, slow.set_slowdown, SLOWDOWN)
        loop.call_later(total_s * SLOW_UNTIL, slow.set_slowdown, 1.0)

    async def _send_requests(self, entries: Sequence[PolicyEntry]) -> None:
        for request in make_requests(
            self._user, self.case.load, self.case.seed
        ):
            if request.arrives_at_ms >= self._duration_ms:
                break
            wait_ms = request.arrives_at_ms - self._clock.now_ms()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1_000)
            self._start_task(self._serve_with_retry(request, entries))

    async def _serve_with_retry(
        self, request: Request, entries: Sequence[PolicyEntry]
    ) -> None:
        """Sends a request like a caller, which retries a broken answer once."""
        number = pick_entry(self._rng)
        trace = Trace(
            request, number, self._clock.now_ms(), request.deadline_at_ms
        )
        self.traces.append(trace)
        await entries[number].serve(trace, request.key)
        if trace.outcome == BROKEN:
            retry_entry = (number + 1) % len(entries)
            await entries[retry_entry].serve(trace, f"{request.key}-again")
        tier = request.kind.tier
        trace.lower_tier_waited = any(
            e.has_lower_tier_waiting(tier) for e in entries
        )
        if trace.ended_at_ms is None:
            trace.ended_at_ms = self._clock.now_ms()
        self._count_recomputed(trace)

    def _count_recomputed(self, trace: Trace) -> None:
        """Counts the tokens of a shared prefix that were computed again."""
        request = trace.request
        if trace.outcome not in (ON_TIME, LATE) or not request.shared_tokens:
            return
        first_hash = request.work_estimate.prefix_hashes[0]
        computed = trace.computed_tokens - trace.failed_attempt_tokens
        reused = request.prompt_tokens - computed
        if first_hash in self._prefixes_seen:
            trace.recomputed_tokens = max(0, request.shared_tokens - reused)
        self._prefixes_seen.add(first_hash)

    def _end_unfinished(self) -> None:
        """Ends unfinished requests, which count as past their deadline."""
        for trace in self.traces:
            if not trace.outcome or trace.outcome == BROKEN:
                trace.outcome = EXPIRED if not trace.target_name else LATE
                trace.ended_at_ms = self._clock.now_ms()
                runner = self.runners.get(trace.target_name)
                if runner is not None:
                    for key in (
                        trace.request.key,
                        f"{trace.request.key}-again",
                    ):
                        trace.computed_tokens += runner.drop(key)


def run_case(case: Case) -> dict[str, Any]:
    """Runs one case; at module level, so that workers can import it."""
    return Trial(case).run()


def measure(trial: Trial) -> dict[str, Any]:
    """Returns the figures of a finished trial."""
    user = USERS[trial.case.user]
    kinds = sorted(find_service(user).kinds, key=lambda k: k.tier)
    tier_names = load_fleet_text(user).tiers
    tiers = {}
    for tier in sorted({kind.tier for kind in kinds}):
        tier_traces = [t for t in trial.traces if t.request.kind.tier == tier]
        tiers[tier_names[tier]] = _measure_tier(tier_traces)
    capacity_ms = sum(user.runner_speeds) * (DURATION_MS + DRAIN_MS)
    busy_ms = sum(r.busy_ms * r.speed for r in trial.runners.values())
    shed, missed = _count_inversions(trial.traces)
    return {
        **dataclasses.asdict(trial.case),
        "tiers": tiers,
        "total": _measure_tier(trial.traces),
        "wasted_prefill": _find_waste(trial.traces),
        "repeated_prefill": _divide(
            sum(t.recomputed_tokens for t in trial.traces),
            sum(t.computed_tokens for t in trial.traces),
        ),
        "inversions_shed": shed,
        "inversions_missed": missed,
        "busy": round(busy_ms / capacity_ms, 4),
    }


def _measure_tier(traces: Sequence[Trace]) -> dict[str, Any]:
    on_time = [t for t in traces if t.outcome == ON_TIME]
    first_token_latencies_ms = sorted(
        t.first_token_at_ms - t.arrived_at_ms
        for t in traces
        if t.first_token_at_ms is not None
    )
    counts = {
        name: sum(t.outcome == name for t in traces)
        for name in (SHED, EXPIRED, LATE, REFUSED)
    }
    return {
        "offered": len(traces),
        "on_time": len(on_time),
        "goodput": _divide(len(on_time), len(traces)),
        "work_goodput": _divide(
            sum(t.request.cost_ms for t in on_time),
            sum(t.request.cost_ms for t in traces),
        ),
        **{
            f"first_p{p}_ms": _find_percentile(first_token_latencies_ms, p)
            for p in (50, 95, 99)
        },
        **counts,
    }


def _divide(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 0.0


def _find_percentile(ordered: Sequence[int], percent: int) -> int | None:
    if not ordered:
        return None
    return ordered[math.ceil(len(ordered) * percent / 100) - 1]


def _find_waste(traces: Iterable[Trace]) -> float:
    """Returns the part of the computed prefill that no timely answer used."""
    computed = wasted = 0
    for trace in traces:
        computed += trace.computed_tokens
        if trace.outcome == ON_TIME:
            wasted += trace.failed_attempt_tokens + trace.recomputed_tokens
        else:
            wasted += trace.computed_tokens
    return _divide(wasted, computed)


def _count_inversions(traces: Sequence[Trace]) -> tuple[int, int]:
    """Counts priority inversions: requests shed, and requests too late.

    A shed request counts when one of a lower tier was started on any target
    since the previous division of shares, or waited at any entry. A late or
    expired request counts when one of a lower tier was started while it waited.
    """
    starts: dict[int, list[int]] = {}
    for trace in traces:
        if trace.started_at_ms is not None:
            tier = trace.request.kind.tier
            starts.setdefault(tier, []).append(trace.started_at_ms)
    shed = missed = 0
    for trace in traces:
        until_ms = trace.started_at_ms or trace.ended_at_ms or 0
        if trace.outcome == SHED:
            since_ms = min(trace.arrived_at_ms, until_ms - MAX_SHARE_AGE_MS)
            lower_tier_started = _has_lower_tier_start(
                trace, starts, since_ms, until_ms
            )
            shed += trace.lower_tier_waited or lower_tier_started
        elif trace.outcome in (EXPIRED, LATE):
            missed += _has_lower_tier_start(
                trace, starts, trace.arrived_at_ms, until_ms
            )
    return shed, missed


def _has_lower_tier_start(
    trace: Trace, starts: dict[int, list[int]], since_ms: int, until_ms: int
) -> bool:
    return any(
        since_ms < at_ms < until_ms
        for tier, times in starts.items()
        if tier > trace.request.kind.tier
        for at_ms in times
    )
