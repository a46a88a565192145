"""Tests of the benchmark: virtual time, trials, figures and the report."""

import asyncio
import json
import unittest
from typing import Any

from peridotbend.domain.clock import ManualClock
from peridotbend_emulator import report
from peridotbend_emulator.runners import (
    EXPIRED,
    LATE,
    ON_TIME,
    SHED,
    Runner,
    Trace,
)
from peridotbend_emulator.trial import Case, Trial, measure
from peridotbend_emulator.virtualtime import run_virtual
from peridotbend_emulator.workload import (
    USERS,
    find_service,
    make_requests,
)

SHORT_MS = 2_000


class TestVirtualTime(unittest.TestCase):
    """The event loop in virtual time."""

    def test_sleep_moves_clock(self) -> None:
        """Guards against timers that drift from the simulated clock."""
        clock = ManualClock(500)

        async def sleep() -> list[int]:
            times = []
            for _ in range(3):
                await asyncio.sleep(0.1)
                times.append(clock.now_ms())
            return times

        assert run_virtual(clock, sleep()) == [600, 700, 800]

    def test_deadlock_is_an_error(self) -> None:
        """Guards against a run that hangs when no timer is left."""

        async def wait() -> None:
            await asyncio.Event().wait()

        with self.assertRaisesRegex(RuntimeError, "no timer"):
            run_virtual(ManualClock(), wait())


class TestWorkload(unittest.TestCase):
    """The offered load."""

    def test_load_is_offered_engine_time(self) -> None:
        """Guards against a load that is not the given multiple of capacity."""
        for user in USERS.values():
            requests = make_requests(user, 1.5, 7)
            capacity_ms = sum(user.runner_speeds) * 30_000
            offered = sum(r.cost_ms for r in requests) / capacity_ms
            self.assertAlmostEqual(offered, 1.5, delta=0.05)
            sizes = [r.prompt_tokens for r in requests]
            assert max(sizes) > 80 * min(sizes), user.name


class TestRunner(unittest.TestCase):
    """The emulated runner."""

    def test_kill_counts_prefill_and_refuses(self) -> None:
        """Guards against uncounted work of a killed runner, and calls to it."""
        clock = ManualClock(0)
        user = USERS["binh-minh"]
        request = make_requests(user, 0.5, 1)[0]
        target = find_service(user).targets[0]

        async def run() -> None:
            runner = Runner(target, 1.0, clock)
            task = asyncio.create_task(runner.run())
            call = await runner.open("a", request)
            assert call is not None
            await call.first_token
            runner.kill()
            end = await call.end
            assert not end.is_complete
            assert end.prefill_tokens == request.prompt_tokens
            assert await runner.open("b", request) is None
            runner.restart()
            assert await runner.open("c", request) is not None
            task.cancel()

        run_virtual(clock, run())


class TestTrial(unittest.TestCase):
    """A complete trial."""

    def test_same_seed_same_figures(self) -> None:
        """Guards against figures that depend on anything but the seed."""
        for policy in ("least-load", "peridotbend"):
            runs = [
                json.dumps(self.run_short(Case("binh-minh", 1.0, policy, seed)))
                for seed in (3, 3, 4)
            ]
            assert runs[0] == runs[1]
            assert runs[0].replace('"seed": 3', '"seed": 4') != runs[2]

    def test_every_request_has_an_outcome(self) -> None:
        """Guards against requests that are missing from the figures."""
        for policy in ("round-robin", "peridotbend", "local-shares"):
            figures = self.run_short(Case("kilifi", 2.0, policy, 1))
            for tier in figures["tiers"].values():
                ended = sum(
                    tier[name]
                    for name in (
                        "on_time",
                        "shed",
                        "expired",
                        "late",
                        "refused",
                    )
                )
                assert ended == tier["offered"], tier

    def run_short(self, case: Case) -> dict[str, Any]:
        """Runs the first SHORT_MS of a case."""
        return Trial(case, SHORT_MS).run()


class TestFigures(unittest.TestCase):
    """Figures computed from request traces."""

    def setUp(self) -> None:
        self.trial = Trial(Case("binh-minh", 1.0, "round-robin", 1))
        requests = make_requests(USERS["binh-minh"], 1.0, 1)
        self.quote = next(r for r in requests if r.kind.tier == 0)
        self.tag = next(r for r in requests if r.kind.tier == 3)

    def add_trace(
        self, request: Any, outcome: str, started: int | None, computed: int = 0
    ) -> Trace:
        """Adds a trace that arrived at 1,000 ms and ended at 3,000 ms."""
        trace = Trace(request, 0, 1_000, 9_000, outcome)
        trace.started_at_ms, trace.ended_at_ms = started, 3_000
        trace.computed_tokens = computed
        self.trial.traces.append(trace)
        return trace

    def test_inversion_needs_a_lower_start(self) -> None:
        """Guards against priority inversions that are missed or miscounted.

        A request is passed over if one of a lower tier starts before it.
        """
        self.add_trace(self.quote, EXPIRED, None)
        self.add_trace(self.tag, ON_TIME, 3_500)
        assert measure(self.trial)["inversions_missed"] == 0
        self.add_trace(self.tag, ON_TIME, 2_000)
        assert measure(self.trial)["inversions_missed"] == 1
        self.add_trace(self.quote, SHED, None)
        assert measure(self.trial)["inversions_shed"] == 1
        self.add_trace(self.tag, SHED, None)
        assert measure(self.trial)["inversions_shed"] == 1

    def test_waste_counts_late_broken_and_repeated(self) -> None:
        """Guards against a source of wasted prefill that is not counted."""
        self.add_trace(self.quote, LATE, 1_500, computed=100)
        good = self.add_trace(self.quote, ON_TIME, 1_500, computed=300)
        assert measure(self.trial)["wasted_prefill"] == 0.25
        good.failed_attempt_tokens, good.recomputed_tokens = 60, 40
        assert measure(self.trial)["wasted_prefill"] == 0.5


class TestReport(unittest.TestCase):
    """The report table and the check of the performance targets."""

    def test_targets_are_judged_by_the_worst_and_the_median(self) -> None:
        """Guards against reporting a missed target as met."""
        runs = [
            make_result("round-robin", 0.50, 0.10),
            make_result("least-load", 0.60, 0.08),
            make_result("peridotbend", 0.99, 0.04),
        ]
        assert all(t["met"] for t in report.check_requirements(runs))
        runs.append(make_result("peridotbend", 0.97, 0.05))
        met = {t["target"]: t["met"] for t in report.check_requirements(runs)}
        assert not met["u: quotes on time at load 2 >= 0.98"]
        waste = "u: wasted prefill at load 2 <= half the better baseline"
        assert not met[waste]
        assert "NOT MET" in report.format_report(runs)


def make_result(policy: str, goodput: float, waste: float) -> dict[str, Any]:
    """Returns figures of a run with the given goodput and waste."""
    tier = {
        "goodput": goodput,
        "work_goodput": goodput,
        **{f"first_p{p}_ms": 10 for p in (50, 95, 99)},
        **dict.fromkeys(("shed", "expired", "late", "refused"), 0),
    }
    return {
        "user": "u",
        "load": 2.0,
        "policy": policy,
        "seed": 1,
        "tiers": {"quotes": tier},
        "total": tier,
        "wasted_prefill": waste,
        "repeated_prefill": 0.0,
        "inversions_shed": 0,
        "inversions_missed": 0,
        "busy": 0.5,
    }
