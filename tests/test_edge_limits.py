"""Tests of limits that runners name, over all instances."""

import random
import unittest

import anyio

from tests.edgerunners import Runner, RunnerFleet

# The users' bound: from this time after a runner first named its limit, it gets
# in this window at most this many times what the limit allows, and some more.
CONTACT_MS = 3_000
WINDOW_MS = 4_000
OVERAGE = 1.5
SLACK = 5
# An instance is bound from this time after it passed on such an answer.
TOLD_MS = 500
STEP_MS = 10


async def _send_for(
    fleet: RunnerFleet, rng: random.Random, duration_ms: int, per_s: float
) -> list[str]:
    """Sends requests through random instances, some of which get more."""
    weights = [1 + number % 3 for number, _ in enumerate(fleet.hosts)]
    attempts = []
    end_ms = fleet.now_ms + duration_ms
    while fleet.now_ms < end_ms:
        await anyio.sleep(STEP_MS / 1_000)
        if rng.random() < per_s * STEP_MS / 1_000:
            host = rng.choices(fleet.hosts, weights)[0]
            attempts.append(fleet.send(host))
    return attempts


def _count_most(
    fleet: RunnerFleet, runner: Runner, start_ms: int, end_ms: int
) -> int:
    """Returns the most arrivals in a window that ends in some period."""
    times = [
        arrival.at_ms
        for arrival in fleet.arrivals
        if arrival.runner == runner.name
        and arrival.at_ms
        >= runner.told_at_ms.get(arrival.host, end_ms) + TOLD_MS
    ]
    return max(
        sum(last_ms - WINDOW_MS < at_ms <= last_ms for at_ms in times)
        for last_ms in [end_ms, *(t for t in times if start_ms <= t < end_ms)]
    )


def _find_bound(limit_per_s: float) -> float:
    return OVERAGE * limit_per_s * WINDOW_MS / 1_000 + SLACK


class NamedLimitTest(unittest.TestCase):
    """Runners that take fewer requests a second than they have slots for."""

    def _check_limits(
        self, fleet: RunnerFleet, limits: tuple[float, ...], per_s: float
    ) -> None:
        rng = random.Random(1)
        limited: list[Runner] = []
        attempts: list[str] = []
        named_ms = 0

        async def script() -> None:
            nonlocal named_ms
            await _send_for(fleet, rng, 5_000, per_s)
            limited.extend(list(fleet.runners.values())[: len(limits)])
            for runner, limit_per_s in zip(limited, limits, strict=True):
                runner.limit_per_s = limit_per_s
            named_ms = fleet.now_ms
            attempts.extend(await _send_for(fleet, rng, 20_000, per_s))

        fleet.run(script)
        for runner, limit_per_s in zip(limited, limits, strict=True):
            most = _count_most(
                fleet, runner, named_ms + CONTACT_MS, fleet.now_ms
            )
            assert most <= _find_bound(limit_per_s), (limit_per_s, most)
        begun = sum(attempt in fleet.begun for attempt in attempts)
        assert begun > 0.95 * len(attempts), (begun, len(attempts))

    def test_instances_keep_to_a_limit_together(self) -> None:
        """Guards against a runner in need that gets requests as before."""
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = RunnerFleet(seed=seed)
                self._check_limits(fleet, (3.1, 3.9), 40.0)
