"""Tests of the replay: each scheduling decision on the load it is made for."""

import unittest

import anyio

from peridotbend.domain.clock import ManualClock
from peridotbend_emulator.replay import Outcome, Replay
from peridotbend_emulator.replayengine import ReplayEngine
from peridotbend_emulator.replayload import PATTERNS, POLICIES
from peridotbend_emulator.replaytargets import SCENARIOS, TargetReplay
from peridotbend_emulator.virtualtime import run_virtual

SEED = 3


def _replay(pattern: str, policy: str) -> Outcome:
    found = next(p for p in PATTERNS if p.name == pattern)
    chosen = next(p for p in POLICIES if p.name == policy)
    return Replay(found, chosen, SEED).run()


class DecisionTest(unittest.TestCase):
    """Compares all decisions enabled with one of them disabled."""

    baseline: Outcome

    @classmethod
    def setUpClass(cls) -> None:
        """Replays the bursts once with all decisions enabled."""
        cls.baseline = _replay("bursts", "as-is")

    def test_usage_shared_across_instances_serves_more(self) -> None:
        """Guards against instances that ignore the engine use of others."""
        assert (
            self.baseline.earned_share
            > _replay("bursts", "own-use-only").earned_share
        )

    def test_early_refusal_serves_more_than_waiting(self) -> None:
        """Guards against queues in which every waiting request is late."""
        assert (
            self.baseline.earned_share
            > _replay("bursts", "wait-3-objectives").earned_share
        )

    def test_engines_below_full_load_serve_more(self) -> None:
        """Guards against overfull engines, whose queues ignore the rank."""
        assert (
            self.baseline.earned_share
            > _replay("bursts", "fill-1.3").earned_share
        )

    def test_highest_rank_is_served_through_the_bursts(self) -> None:
        """Guards against many small requests that crowd out long prompts."""
        counts = self.baseline.by_kind
        shares = [
            (c.on_time + c.late) / c.offered
            for c in (counts["layout-quote"], counts["chat-tag"])
        ]
        assert shares[0] >= shares[1]

    def test_same_seed_gives_the_same_figures(self) -> None:
        """Guards against comparing policies on different loads."""
        again = _replay("bursts", "as-is")
        assert again.earned_share == self.baseline.earned_share
        assert again.refusals == self.baseline.refusals

    def test_runs_with_failovers_are_reproducible(self) -> None:
        """Guards against figures that depend on the order of a set.

        Stalled sends were checked in the order of their memory addresses.
        """
        first = _replay("bursts", "own-use-only")
        assert (
            _replay("bursts", "own-use-only").earned_share == first.earned_share
        )


class PredictionTest(unittest.TestCase):
    """Engines of which four are at a quarter of their speed for a while."""

    def test_predicted_first_events_serve_more_than_counts(self) -> None:
        """Guards against long prompts, and slow engines, that look free."""
        predicted = _replay("slow", "as-is")
        counted = _replay("slow", "counts-only")
        assert predicted.earned_share > counted.earned_share + 0.02
        for result in predicted.by_kind.values():
            # The longest prompts are served as often as the others.
            served = result.on_time + result.late
            assert result.large_served / result.large > 0.98 * (
                served / result.offered
            )


class TargetReplayTest(unittest.TestCase):
    """Replays of targets that return."""

    def test_returned_target_gets_its_share(self) -> None:
        """Guards against a comparison of ramps that ends without figures."""
        scenario = next(s for s in SCENARIOS if s.name == "started-warm")
        replay = TargetReplay(scenario, 2, SEED)
        assert replay.run().earned_share > 0.8
        assert replay.find_share_ms() is not None


class ReplayEngineTest(unittest.TestCase):
    """The emulated engine in virtual time."""

    def test_idle_engine_waits_for_work(self) -> None:
        """Guards against an idle loop that never lets virtual time advance."""
        clock = ManualClock()

        async def run() -> int:
            started_ms = clock.now_ms()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ReplayEngine(4, 1.0).run)
                await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()
            return clock.now_ms() - started_ms

        assert run_virtual(clock, run()) == 1_000
