"""Tests of the choice among targets."""

import dataclasses
import unittest
from typing import Any

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.estimates import MAX_SAMPLE_AGE_MS
from peridotbend.domain.ports import LoadReport
from peridotbend.domain.routing import Candidate, Router, RoutingSettings
from peridotbend.domain.text import Kind, Target
from peridotbend.domain.work import WorkEstimate, WorkItem


class RouterCase(unittest.TestCase):
    """Base of the tests: a router in zone z1 and helpers that train it."""

    def setUp(self) -> None:
        """Builds a router without any observations."""
        self.item_count = 0
        self.clock = ManualClock()
        self.router = Router(self.clock, "z1")

    def item(
        self, prompt: int = 1_000, output: int = 50, **changes: Any
    ) -> WorkItem:
        """Returns a new request whose deadline is 60 s away."""
        self.item_count += 1
        tier, idempotent = changes.pop("tier", 0), changes.pop("safe", True)
        kind = Kind("k", "s", "POST", "/", "", tier, idempotent, 1, 1, 1, 1)
        work = WorkEstimate(prompt, output, changes.pop("prefix", ()))
        deadline_at_ms = self.clock.now_ms() + 60_000
        key = f"k{self.item_count}"
        return WorkItem(key, kind, "a", work, deadline_at_ms, **changes)

    def candidate(
        self, name: str, in_flight: float = 0.0, **changes: Any
    ) -> Candidate:
        """Returns a candidate in zone z1 with room for any request."""
        zone, room = changes.pop("zone", "z1"), changes.pop("room", 1e6)
        target = Target(name, "s", zone, "127.0.0.1", 1)
        return Candidate(
            target, room, in_flight, **{"has_suspect": False} | changes
        )

    def record_completed(
        self, name: str, prefill_ms: float, cached: int = 0, **changes: Any
    ) -> None:
        """Records a request that ran with this prefill time per token."""
        item = self.item(**changes)
        self.router.record_dispatch(name, item)
        first_ms = round((item.work.prompt_tokens - cached) * prefill_ms)
        tokens = item.work.output_tokens
        total_ms = first_ms + round((tokens - 1) * prefill_ms * 20)
        self.clock.advance(total_ms)
        self.router.record_first_output(name, item, first_ms)
        self.router.record_finish(name, item, tokens, total_ms)

    def train(self, **prefill_ms: float) -> None:
        """Records requests until the router knows the speeds of targets."""
        for _ in range(20):
            for name, speed in prefill_ms.items():
                self.record_completed(name, speed)
                self.record_completed(name, speed, prompt=40)

    def choose(self, item: WorkItem, *candidates: Candidate) -> str | None:
        """Returns the name of the chosen target."""
        chosen = self.router.choose(item, candidates)
        return chosen.target.name if chosen else None

    def get_weight(self, name: str) -> float:
        """Returns the weight of a target."""
        return self.router.dump()[name]["weight"]


class SpeedTest(RouterCase):
    """Choice by expected completion time."""

    def test_engines_that_differ_fourfold(self) -> None:
        """Guards against work spread evenly over engines of unequal speed."""
        self.train(fast=0.25, slow=1.0)
        in_flight = {"fast": 0.0, "slow": 0.0}
        for _ in range(50):
            item = self.item(output=1)
            pool = [self.candidate(n, w) for n, w in in_flight.items()]
            in_flight[self.choose(item, *pool)] += item.work.units
        assert 3.0 < in_flight["fast"] / in_flight["slow"] < 5.0

    def test_expected_time(self) -> None:
        """Guards against a wrong estimate of the completion time."""
        self.train(a=0.5)
        expected = self.router.estimate_completion_ms(
            self.item(prompt=2_000, output=100),
            self.candidate("a", in_flight=4_000, zone="z2"),
        )
        assert abs(expected - (6_000 * 0.5 + 100 * 10 + 5)) < 10
        near, far = self.candidate("y"), self.candidate("x", zone="z2")
        assert self.choose(self.item(), far, near) == "y"

    def test_old_estimates_return_to_the_median(self) -> None:
        """Guards against a target that is avoided for ever.

        Old estimates return to the median of all targets.
        """
        self.train(a=0.5, b=0.5, c=4.0)
        item, c = self.item(), self.candidate("c")
        before_ms = self.router.estimate_completion_ms(item, c)
        self.clock.advance(3_600_000)
        median_ms = self.router.estimate_completion_ms(
            item, self.candidate("a")
        )
        assert before_ms > 4 * median_ms
        assert self.router.estimate_completion_ms(item, c) < 1.01 * median_ms

    def test_reported_load_and_own_work(self) -> None:
        """Guards against load reports that hide this process's own work."""
        self.train(a=0.5, b=0.5)
        self.router.record_load("a", LoadReport(0, 0, 8_000, "i"))
        a, b = self.candidate("a"), self.candidate("b", in_flight=3_000)
        assert self.choose(self.item(), a, b) == "b"
        self.clock.advance(2_000)
        assert self.choose(self.item(), a, b) == "a"


class LengthTest(RouterCase):
    """Requests whose lengths differ a hundredfold."""

    def test_short_does_not_go_behind_long(self) -> None:
        """Guards against short requests that are placed behind a long one."""
        self.train(fast=0.25, slow=1.0)
        long = self.item(prompt=20_000, output=500)
        self.router.record_dispatch("fast", long)
        # Its expected completion time alone would still favour `fast`.
        busy, free = self.candidate("fast", 100), self.candidate("slow")
        assert self.choose(self.item(150), busy, free) == "slow"
        assert self.choose(self.item(15_000), busy, free) == "fast"
        assert self.choose(self.item(150), busy) == "fast"

    def test_bounded_wait_for_a_faster_target(self) -> None:
        """Guards against choosing a slow target and against endless waiting."""
        self.train(fast=0.25, slow=2.0)
        fast = self.candidate("fast", in_flight=1_000, room=500)
        item = self.item()
        assert self.choose(item, fast, self.candidate("slow")) is None
        self.clock.advance(999)
        assert self.choose(item, fast, self.candidate("slow")) is None
        self.clock.advance(1)
        assert self.choose(item, fast, self.candidate("slow")) == "slow"

    def test_no_wait_without_clear_gain(self) -> None:
        """Guards against idle targets while requests wait for a small gain."""
        self.train(fast=0.5, slow=0.8, slower=2.0)
        fast = self.candidate("fast", in_flight=1_000, room=500)
        assert self.choose(self.item(), fast, self.candidate("slow")) == "slow"
        slower = self.candidate("slower")
        stuck = self.candidate("fast", in_flight=900_000, room=0)
        assert self.choose(self.item(), stuck, slower) == "slower"
        no_share = self.candidate("fast", in_flight=0, room=0)
        assert self.choose(self.item(), no_share, slower) == "slower"
        large = self.item(prompt=9_000)
        assert self.choose(large, self.candidate("a", 10, room=5_000)) is None
        assert self.choose(large, self.candidate("a", 0, room=5_000)) == "a"


class AffinityTest(RouterCase):
    """Choice by the prefixes that targets have cached."""

    prefix = tuple(range(30))

    def repeat_prompt(self, cached: int) -> float:
        """Repeats a prompt on `a` and returns the estimated hit rate."""
        for turn in range(20):
            hit = cached if turn else 0
            self.record_completed(
                "a", 0.5, hit, prompt=2_000, prefix=self.prefix
            )
        return self.router.dump()["a"]["prefix_belief"]

    def test_cache_that_pays(self) -> None:
        """Guards against a cached prefix that is computed again elsewhere."""
        self.train(a=0.5, b=0.5)
        assert self.repeat_prompt(cached=1_900) > 0.9
        # Cached tokens must not count towards the prefill speed.
        assert 1_900 < self.router.dump()["a"]["prefill_tokens_per_s"] < 2_100
        a, b = self.candidate("a", in_flight=1_000), self.candidate("b")
        item = self.item(prompt=2_000, prefix=self.prefix)
        assert self.choose(item, a, b) == "a"
        assert self.choose(self.item(prompt=2_000), a, b) == "b"

    def test_engine_that_evicts_early(self) -> None:
        """Guards against affinity to a target whose cache is never hit."""
        self.train(a=0.5, b=0.5)
        assert self.repeat_prompt(cached=0) < 0.1
        a, b = self.candidate("a", in_flight=1_000), self.candidate("b")
        item = self.item(prompt=2_000, prefix=self.prefix)
        assert self.choose(item, a, b) == "b"

    def test_switch(self) -> None:
        """Guards against a setting that does not disable prefix affinity."""
        settings = RoutingSettings(prefix_affinity=False)
        self.router = Router(self.clock, "z1", settings)
        self.train(b=0.25)
        assert self.repeat_prompt(cached=0) == 0.5
        again = self.item(prompt=2_000, prefix=self.prefix)
        pool = self.candidate("a"), self.candidate("b")
        assert self.choose(again, *pool) == "b"


class StragglerTest(RouterCase):
    """Targets that become slow."""

    def slow_down(self) -> None:
        """Records one request on `a` at a fifth of its usual speed."""
        self.train(a=0.5, b=0.5, c=0.5)
        self.record_completed("a", 2.5, output=1)

    def test_loses_weight_at_once(self) -> None:
        """Guards against a straggler that keeps its weight.

        The weight falls at once, before a moving average shows the slowdown.
        """
        self.slow_down()
        assert self.get_weight("a") == 0.5
        busy = self.candidate("b", in_flight=2_000)
        assert self.choose(self.item(), self.candidate("a"), busy) == "b"
        self.router.record_failure("a")
        assert self.get_weight("a") == 0.25
        # Only the time between output tokens is slow here.
        self.record_completed("b", 2.5, cached=900)
        assert self.get_weight("b") == 0.5

    def test_overdue_first_output(self) -> None:
        """Guards against work sent to a target with an overdue first output."""
        self.train(a=0.5, b=0.5)
        self.router.record_dispatch("a", self.item())
        a, b = self.candidate("a", 1_050), self.candidate("b", 5_000)
        assert self.choose(self.item(), a, b) == "a"
        self.clock.advance(2_100)
        assert self.choose(self.item(), a, b) == "b"

    def test_one_probe_brings_weight_back(self) -> None:
        """Guards against several concurrent probes of a straggler, or none."""
        self.slow_down()
        pool = [self.candidate(n) for n in "abc"]
        assert self.choose(self.item(100), *pool) != "a"
        self.clock.advance(1_000)
        probe = self.item(100)
        assert self.choose(probe, *pool) == "a"
        self.router.record_dispatch("a", probe)
        assert self.choose(self.item(100), *pool) != "a"
        self.router.record_finish("a", probe, 50, 500)
        assert self.get_weight("a") == 1.0

    def test_probes_are_of_low_risk(self) -> None:
        """Guards against probes with requests that must not be lost.

        These are large, of a higher tier, non-idempotent or on trial.
        """
        self.slow_down()
        self.clock.advance(1_000)
        pool = [self.candidate(n) for n in "abc"]
        assert self.choose(self.item(tier=2), self.candidate("b")) == "b"
        risks = {"tier": 1}, {"safe": False}, {"prompt": 50_000}
        for risk in (*risks, {"on_trial": True}):
            item = self.item(**{"prompt": 100, "tier": 2} | risk)
            assert self.choose(item, *pool) != "a"
        assert self.choose(self.item(100, tier=2), *pool) == "a"

    def test_non_idempotent_without_another_target(self) -> None:
        """Guards against refusing a request that only a straggler can take."""
        self.slow_down()
        item = self.item(safe=False)
        full = self.candidate("b", in_flight=3_000, room=100)
        assert self.choose(item, self.candidate("a"), full) is None
        assert self.choose(item, self.candidate("a")) == "a"

    def test_switch(self) -> None:
        """Guards against a setting that does not disable straggler handling."""
        settings = RoutingSettings(straggler_handling=False)
        self.router = Router(self.clock, "z1", settings)
        self.slow_down()
        busy = self.candidate("b", in_flight=50_000)
        assert self.choose(self.item(), self.candidate("a"), busy) == "a"


class DeadlineTest(RouterCase):
    """Targets on which a request cannot complete by its deadline."""

    def item_due_in(self, in_ms: int) -> WorkItem:
        """Returns a request of 110 tokens whose deadline is `in_ms` away."""
        deadline_at_ms = self.clock.now_ms() + in_ms
        item = self.item(prompt=100, output=10)
        return dataclasses.replace(item, deadline_at_ms=deadline_at_ms)

    def train_briefly(self, **prefill_ms: float) -> None:
        """Records one short request per target, so the estimates are fresh."""
        for name, speed in prefill_ms.items():
            self.record_completed(name, speed, prompt=100, output=10)

    def test_slow_target_cannot_finish(self) -> None:
        """Guards against prefill for a request that would complete too late."""
        # The request needs 150 ms on a and 1,500 ms on b.
        self.train_briefly(a=0.5, b=5)
        assert self.router.can_finish(self.item_due_in(500), "a")
        assert not self.router.can_finish(self.item_due_in(100), "a")
        assert not self.router.can_finish(self.item_due_in(500), "b")
        assert self.router.can_finish(self.item_due_in(500), "never-used")

    def test_old_estimate_refuses_nothing(self) -> None:
        """Guards against a wrong estimate that is never corrected.

        If it refused all requests, no new sample could arrive.
        """
        self.train_briefly(b=5)
        assert not self.router.can_finish(self.item_due_in(500), "b")
        self.clock.advance(MAX_SAMPLE_AGE_MS + 1)
        assert self.router.can_finish(self.item_due_in(500), "b")

    def test_short_answers_are_expected_short(self) -> None:
        """Guards against refusals because of a high `max_tokens`.

        Estimates use the observed output lengths, not the limit of the caller.
        """
        for _ in range(60):
            item = self.item(prompt=100, output=1_000)
            self.router.record_dispatch("a", item)
            self.clock.advance(600)
            self.router.record_first_output("a", item, 500)
            self.router.record_finish("a", item, 11, 600)
        item = dataclasses.replace(
            item, deadline_at_ms=self.clock.now_ms() + 2_000
        )
        assert self.router.can_finish(item, "a")


class SuspectTest(RouterCase):
    """Requests on trial and targets that run them."""

    def test_others_avoid_the_target_of_a_trial(self) -> None:
        """Guards against other requests placed on the target of a trial.

        They may share it only if there is no other target.
        """
        taken = self.candidate("a", has_suspect=True)
        used = self.candidate("b", in_flight=50_000)
        assert self.choose(self.item(), taken, used) == "b"
        assert self.choose(self.item(), taken) == "a"
        trial = self.item(on_trial=True)
        assert self.choose(trial, taken) is None
        idle = self.candidate("c", zone="z2")
        used = self.candidate("b", in_flight=1)
        assert self.choose(trial, used, idle) == "c"
