"""One run of a workload under one policy, and its figures."""

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
    Offer,
    find_service,
    load_text,
    make_offers,
)

# Shares are this old at most before the next division.
SHARE_PERIOD_MS = 200
KILL_AT, RESTART_AT = 0.25, 0.35
SLOW_FROM, SLOW_UNTIL = 0.5, 0.8
SLOWDOWN = 5.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Case:
    """What identifies a run."""

    user: str
    load: float
    policy: str
    seed: int


class Trial:
    """The fleet and the traces of one run."""

    def __init__(self, case: Case, duration_ms: int = DURATION_MS):
        self.case = case
        self._duration_ms = duration_ms
        self._clock = ManualClock(0)
        self._user = USERS[case.user]
        self._rng = random.Random(f"balancer:{case.seed}")
        self._tasks: set[asyncio.Task[Any]] = set()
        self._failed: list[asyncio.Task[Any]] = []
        self.traces: list[Trace] = []
        self.runners: dict[str, Runner] = {}
        self._prefixes_seen: set[int] = set()

    def run(self) -> dict[str, Any]:
        """Returns the figures of the run."""
        run_virtual(self._clock, self._run())
        return measure(self)

    async def _run(self) -> None:
        targets = sorted(find_service(self._user).targets, key=lambda t: t.name)
        for target, speed in zip(targets, self._user.speeds, strict=True):
            runner = Runner(target, speed, self._clock)
            self.runners[target.name] = runner
            self._start(runner.run())
        world = World(self._clock, self._user, self.runners, self.case.seed)
        entries = POLICIES[self.case.policy](world)
        for entry in entries:
            entry.start(self._start)
        self._schedule_faults()
        await self._send_all(entries)
        await asyncio.sleep(
            (self._duration_ms + DRAIN_MS - self._clock.now_ms()) / 1_000
        )
        for task in self._failed:
            # A figure from a run that lost a task would be wrong.
            task.result()
        self._end_unfinished()

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failed.append(task)

    def _schedule_faults(self) -> None:
        names = list(self.runners)
        slow = self.runners[names[self._user.straggler]]
        killed = self.runners[names[self._user.killed]]
        loop = asyncio.get_running_loop()
        total_s = self._duration_ms / 1_000
        loop.call_later(total_s * KILL_AT, killed.kill)
        loop.call_later(total_s * RESTART_AT, killed.restart)
        loop.call_later(total_s * SLOW_FROM, slow.set_slowdown, SLOWDOWN)
        loop.call_later(total_s * SLOW_UNTIL, slow.set_slowdown, 1.0)

    async def _send_all(self, entries: Sequence[PolicyEntry]) -> None:
        for offer in make_offers(self._user, self.case.load, self.case.seed):
            if offer.arrives_at_ms >= self._duration_ms:
                break
            wait_ms = offer.arrives_at_ms - self._clock.now_ms()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1_000)
            self._start(self._serve(offer, entries))

    async def _serve(
        self, offer: Offer, entries: Sequence[PolicyEntry]
    ) -> None:
        """Calls as a caller does: a broken answer is asked for once more."""
        number = pick_entry(self._rng)
        trace = Trace(offer, number, self._clock.now_ms(), offer.deadline_at_ms)
        self.traces.append(trace)
        await entries[number].serve(trace, offer.key)
        if trace.outcome == BROKEN:
            again = (number + 1) % len(entries)
            await entries[again].serve(trace, f"{offer.key}-again")
        tier = offer.kind.tier
        trace.lower_waited = any(
            e.has_lower_tier_waiting(tier) for e in entries
        )
        if trace.ended_at_ms is None:
            trace.ended_at_ms = self._clock.now_ms()
        self._count_repeated(trace)

    def _count_repeated(self, trace: Trace) -> None:
        """Counts shared prefix that an engine had computed before."""
        offer = trace.offer
        if trace.outcome not in (ON_TIME, LATE) or not offer.shared_tokens:
            return
        first = offer.work.prefix_hashes[0]
        computed = trace.computed_tokens - trace.broken_tokens
        reused = offer.prompt_tokens - computed
        if first in self._prefixes_seen:
            trace.repeated_tokens = max(0, offer.shared_tokens - reused)
        self._prefixes_seen.add(first)

    def _end_unfinished(self) -> None:
        """Ends what still runs; its deadline counts as missed."""
        for trace in self.traces:
            if not trace.outcome or trace.outcome == BROKEN:
                trace.outcome = EXPIRED if not trace.target else LATE
                trace.ended_at_ms = self._clock.now_ms()
                runner = self.runners.get(trace.target)
                if runner is not None:
                    for key in (trace.offer.key, f"{trace.offer.key}-again"):
                        trace.computed_tokens += runner.drop(key)


def run_case(case: Case) -> dict[str, Any]:
    """Runs one case; a function of its own for worker processes."""
    return Trial(case).run()


def measure(trial: Trial) -> dict[str, Any]:
    """Returns the figures of a finished trial."""
    user = USERS[trial.case.user]
    kinds = sorted(find_service(user).kinds, key=lambda k: k.tier)
    names = load_text(user).tiers
    tiers = {}
    for tier in sorted({kind.tier for kind in kinds}):
        own = [t for t in trial.traces if t.offer.kind.tier == tier]
        tiers[names[tier]] = _measure_tier(own)
    capacity_ms = sum(user.speeds) * (DURATION_MS + DRAIN_MS)
    busy_ms = sum(r.busy_ms * r.speed for r in trial.runners.values())
    shed, missed = _count_inversions(trial.traces)
    return {
        **dataclasses.asdict(trial.case),
        "tiers": tiers,
        "total": _measure_tier(trial.traces),
        "wasted_prefill": _find_waste(trial.traces),
        "repeated_prefill": _divide(
            sum(t.repeated_tokens for t in trial.traces),
            sum(t.computed_tokens for t in trial.traces),
        ),
        "inversions_shed": shed,
        "inversions_missed": missed,
        "busy": round(busy_ms / capacity_ms, 4),
    }


def _measure_tier(traces: Sequence[Trace]) -> dict[str, Any]:
    on_time = [t for t in traces if t.outcome == ON_TIME]
    firsts = sorted(
        t.first_at_ms - t.arrived_at_ms
        for t in traces
        if t.first_at_ms is not None
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
            sum(t.offer.cost_ms for t in on_time),
            sum(t.offer.cost_ms for t in traces),
        ),
        **{f"first_p{p}_ms": _find_percentile(firsts, p) for p in (50, 95, 99)},
        **counts,
    }


def _divide(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 0.0


def _find_percentile(ordered: Sequence[int], percent: int) -> int | None:
    if not ordered:
        return None
    return ordered[math.ceil(len(ordered) * percent / 100) - 1]


def _find_waste(traces: Iterable[Trace]) -> float:
    """Returns the part of all computed prefill that helped nobody in time."""
    computed = wasted = 0
    for trace in traces:
        computed += trace.computed_tokens
        if trace.outcome == ON_TIME:
            wasted += trace.broken_tokens + trace.repeated_tokens
        else:
            wasted += trace.computed_tokens
    return _divide(wasted, computed)


def _count_inversions(traces: Sequence[Trace]) -> tuple[int, int]:
    """Counts requests passed over for lower tiers: shed, and too late.

    A shed one counts when a lower tier was started on any target since the
    shares before, or waited at any entry. A late one counts when a lower tier
    was started while it waited.
    """
    starts: dict[int, list[int]] = {}
    for trace in traces:
        if trace.started_at_ms is not None:
            tier = trace.offer.kind.tier
            starts.setdefault(tier, []).append(trace.started_at_ms)
    shed = missed = 0
    for trace in traces:
        until = trace.started_at_ms or trace.ended_at_ms or 0
        if trace.outcome == SHED:
            since = min(trace.arrived_at_ms, until - SHARE_PERIOD_MS)
            passed = _has_lower_start(trace, starts, since, until)
            shed += trace.lower_waited or passed
        elif trace.outcome in (EXPIRED, LATE):
            missed += _has_lower_start(
                trace, starts, trace.arrived_at_ms, until
            )
    return shed, missed


def _has_lower_start(
    trace: Trace, starts: dict[int, list[int]], since: int, until: int
) -> bool:
    return any(
        since < at_ms < until
        for tier, times in starts.items()
        if tier > trace.offer.kind.tier
        for at_ms in times
    )
