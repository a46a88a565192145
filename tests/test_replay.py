"""Tests of the replay: each decision against the load that it answers."""

import unittest

import anyio

from peridotbend.domain.clock import ManualClock
from peridotbend_emulator.replay import Outcome, Replay
from peridotbend_emulator.replayengine import ReplayEngine
from peridotbend_emulator.replayload import PATTERNS, POLICIES
from peridotbend_emulator.virtualtime import run_virtual

SEED = 3


def _replay(pattern: str, policy: str) -> Outcome:
    found = next(p for p in PATTERNS if p.name == pattern)
    chosen = next(p for p in POLICIES if p.name == policy)
    return Replay(found, chosen, SEED).run()


class DecisionTest(unittest.TestCase):
    """The decisions as they are, and with one of them switched off."""

    as_is: Outcome

    @classmethod
    def setUpClass(cls) -> None:
        """Replays the bursts once with all decisions."""
        cls.as_is = _replay("bursts", "as-is")

    def test_use_known_across_instances_serves_more(self) -> None:
        """Guards against instances that each fill the engines."""
        assert (
            self.as_is.earned_share
            > _replay("bursts", "own-use-only").earned_share
        )

    def test_early_refusal_serves_more_than_waiting(self) -> None:
        """Guards against queues in which all that wait come late."""
        assert (
            self.as_is.earned_share
            > _replay("bursts", "wait-3-objectives").earned_share
        )

    def test_engines_short_of_full_serve_more(self) -> None:
        """Guards against requests that wait where no order by rank holds."""
        assert (
            self.as_is.earned_share > _replay("bursts", "fill-1.3").earned_share
        )

    def test_highest_rank_is_served_through_the_bursts(self) -> None:
        """Guards against long prompts lost to many small requests."""
        counts = self.as_is.by_kind
        shares = [
            (c.on_time + c.late) / c.offered
            for c in (counts["layout-quote"], counts["chat-tag"])
        ]
        assert shares[0] >= shares[1]

    def test_same_seed_gives_the_same_figures(self) -> None:
        """Guards against a comparison of different loads."""
        again = _replay("bursts", "as-is")
        assert again.earned_share == self.as_is.earned_share
        assert again.refusals == self.as_is.refusals

    def test_runs_that_move_repeat_too(self) -> None:
        """Guards against figures that hang on the order of a set.

        Stalled runs were checked in the order of their memory addresses.
        """
        first = _replay("bursts", "own-use-only")
        assert (
            _replay("bursts", "own-use-only").earned_share == first.earned_share
        )


class ReplayEngineTest(unittest.TestCase):
    """The stand-in engine in virtual time."""

    def test_idle_engine_waits_for_work(self) -> None:
        """Guards against a loop that never lets the time pass."""
        clock = ManualClock()

        async def run() -> int:
            started_ms = clock.now_ms()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ReplayEngine(4, 1.0).run)
                await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()
            return clock.now_ms() - started_ms

        assert run_virtual(clock, run()) == 1_000
