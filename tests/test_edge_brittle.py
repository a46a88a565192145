"""Tests of runners that fall over when they have to reject too much."""

import random
import unittest

import anyio

from tests.edgefakes import TARGET
from tests.edgerunners import Runner, RunnerFleet

# The users' bound on the runners that fall over while they are brittle.
MAX_FALLS = 2
MAX_FALLS_SHARE = 0.1
# Instances are bound from this time after the runners said so.
CONTACT_MS = 3_000
BRITTLE_MS = 15_000
STEP_MS = 5
# Requests that one runner completes in a second.
RUNNER_PER_S = 14.0


class BrittleRunnerTest(unittest.TestCase):
    """Runners that say how many rejections in a second they survive."""

    def _check_falls(
        self,
        fleet: RunnerFleet,
        max_rejections: int,
        overload: float,
        queue: int = 2,
    ) -> tuple[int, int]:
        """Plays a brittle time under load.

        Returns:
            how many requests were sent, and how many of them ran.
        """
        rng = random.Random(3)
        runners = 0
        falls = 0
        attempts: list[str] = []

        def prepare(runner: Runner) -> None:
            runner.slots = TARGET.slots
            runner.queue = 60

        def make_brittle(runner: Runner) -> None:
            runner.slots = TARGET.slots
            runner.queue = queue
            runner.max_rejections = max_rejections

        fleet.prepare_runner = prepare

        async def send_for(duration_ms: int) -> None:
            weights = [1 + number % 3 for number, _ in enumerate(fleet.hosts)]
            per_step = overload * runners * RUNNER_PER_S * STEP_MS / 1_000
            end_ms = fleet.now_ms + duration_ms
            while fleet.now_ms < end_ms:
                await anyio.sleep(STEP_MS / 1_000)
                whole, part = divmod(per_step, 1)
                for _ in range(int(whole) + (rng.random() < part)):
                    host = rng.choices(fleet.hosts, weights)[0]
                    attempts.append(fleet.send(host))

        async def script() -> None:
            nonlocal falls, runners
            runners = len(fleet.runners)
            await send_for(3_000)
            for runner in fleet.runners.values():
                runner.max_rejections = max_rejections
            await send_for(CONTACT_MS)
            fleet.prepare_runner = make_brittle
            for runner in fleet.runners.values():
                make_brittle(runner)
                runner.rejected_at_ms.clear()
            before = len(fleet.crashes)
            attempts.clear()
            await send_for(BRITTLE_MS)
            falls = len(fleet.crashes) - before
            # The last requests begin as well.
            await anyio.sleep(1)

        fleet.run(script)
        assert falls <= MAX_FALLS + MAX_FALLS_SHARE * runners, falls
        ran = sum(attempt in fleet.begun for attempt in attempts)
        return len(attempts), ran

    def test_brittle_runners_stand_an_overload(self) -> None:
        """Guards against instances that together reject a runner to death."""
        for max_rejections in (2, 6):
            for seed in range(2):
                with self.subTest(max_rejections=max_rejections, seed=seed):
                    fleet = RunnerFleet(seed=seed)
                    _, ran = self._check_falls(fleet, max_rejections, 2.0)
                    capacity = 5 * RUNNER_PER_S * BRITTLE_MS / 1_000
                    assert ran > 0.6 * capacity, (ran, capacity)

    def test_brittle_runners_stand_a_large_fleet(self) -> None:
        """Guards against one request too many from each of many instances."""
        fleet = RunnerFleet(zones=4, per_zone=10, runners=8, seed=4)
        self._check_falls(fleet, 3, 1.6)

    def test_brittle_time_without_overload_costs_nothing(self) -> None:
        """Guards against requests that are refused while there is room."""
        fleet = RunnerFleet(seed=5)
        sent, ran = self._check_falls(fleet, 4, 0.5)
        assert ran > 0.95 * sent, (ran, sent)
