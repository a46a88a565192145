"""Tests of limits that runners name, over all instances."""

import dataclasses
import random
import unittest

import anyio

from peridotbend.domain.clock import ManualClock
from peridotbend.edge.ratelimits import (
    AGE_MARGIN_MS,
    HOLD_MS,
    MAX_DIGEST_LIMITS,
    RateLimits,
)
from tests.edgefakes import TARGET, RecordingLog, make_target
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

    def test_low_limits_hold_in_a_large_fleet(self) -> None:
        """Guards against one request from each of many instances at once."""
        fleet = RunnerFleet(zones=4, per_zone=10, runners=12, seed=4)
        self._check_limits(fleet, (0.4, 1.2, 5.0), 100.0)

    def test_limit_holds_while_instances_restart_and_are_cut_off(self) -> None:
        """Guards against the part of a limit that two instances spend."""
        fleet = RunnerFleet(seed=5)
        rng = random.Random(5)
        excused: set[str] = set(fleet.hosts[:3])
        named_ms = 0

        async def script() -> None:
            nonlocal named_ms
            await _send_for(fleet, rng, 5_000, 40.0)
            next(iter(fleet.runners.values())).limit_per_s = 3.1
            named_ms = fleet.now_ms
            await _send_for(fleet, rng, 4_000, 40.0)
            fleet.start(fleet.hosts[0])
            fleet.cut_hosts.update(fleet.hosts[1:3])
            await _send_for(fleet, rng, 8_000, 40.0)
            fleet.start(fleet.hosts[0])
            fleet.cut_hosts.clear()
            await _send_for(fleet, rng, 8_000, 40.0)

        fleet.run(script)
        runner = next(iter(fleet.runners.values()))
        for host in excused:
            runner.told_at_ms.pop(host, None)
        most = _count_most(fleet, runner, named_ms + CONTACT_MS, fleet.now_ms)
        assert most <= _find_bound(3.1), most

    def test_limit_ends_when_it_is_no_longer_named(self) -> None:
        """Guards against a target that stays limited for good."""
        for per_zone in (2, 10):
            with self.subTest(per_zone=per_zone):
                fleet = RunnerFleet(per_zone=per_zone, runners=2, seed=6)
                self._check_end(fleet)

    def _check_end(self, fleet: RunnerFleet) -> None:
        rng = random.Random(6)

        async def script() -> None:
            await _send_for(fleet, rng, 5_000, 20.0)
            for runner in fleet.runners.values():
                runner.limit_per_s = 2.0
            await _send_for(fleet, rng, 8_000, 20.0)
            for runner in fleet.runners.values():
                runner.limit_per_s = None
            await _send_for(fleet, rng, 8_000, 20.0)
            attempts = await _send_for(fleet, rng, 4_000, 20.0)
            await anyio.sleep(1)
            begun = sum(attempt in fleet.begun for attempt in attempts)
            assert begun > 0.95 * len(attempts), (begun, len(attempts))

        fleet.run(script)


class RateLimitTest(unittest.TestCase):
    """The part of a limit that one instance has."""

    def setUp(self) -> None:
        """Creates the limits of one of two instances."""
        self.clock = ManualClock()
        self.others = ["10.0.0.2"]
        self.limits = RateLimits(
            self.clock, RecordingLog(), "10.0.0.1", lambda: self.others
        )

    def _count_sends(self, duration_ms: int) -> int:
        """Sends as often as allowed; returns how often that is."""
        sends = 0
        for _ in range(duration_ms // 10):
            self.clock.advance(10)
            while self.limits.has_room(TARGET):
                self.limits.take(TARGET)
                sends += 1
        return sends

    def test_instances_divide_the_limit(self) -> None:
        """Guards against each instance sending as much as all may."""
        self.limits.note_answer(TARGET, 4.0)
        self.limits.has_room(TARGET)
        assert 16 <= self._count_sends(10_000) <= 21
        self.others.clear()
        assert 34 <= self._count_sends(10_000) <= 41

    def test_target_that_takes_nothing_is_tried_now_and_then(self) -> None:
        """Guards against a limit of zero that no answer can ever lift."""
        self.others.clear()
        self.limits.note_answer(TARGET, 0.0)
        assert 1 <= self._count_sends(40_000) <= 5

    def test_restarted_target_has_no_limit(self) -> None:
        """Guards against the limit of a process that has ended."""
        self.limits.note_answer(TARGET, 0.5)
        restarted = dataclasses.replace(TARGET, started_at_ms=5)
        assert self.limits.has_room(restarted)

    def test_answer_that_was_overtaken_lifts_nothing(self) -> None:
        """Guards against answers from before the limit was named."""
        self.limits.note_answer(TARGET, 0.5)
        self.clock.advance(HOLD_MS)
        self.limits.note_answer(TARGET, None)
        assert self.limits.count_limited() == 1
        self.clock.advance(1)
        self.limits.note_answer(TARGET, None)
        assert not self.limits.count_limited()

    def test_reports_that_circulate_do_not_bring_a_limit_back(self) -> None:
        """Guards against instances that confirm each other's old news."""
        peer = RateLimits(
            self.clock, RecordingLog(), "10.0.0.2", lambda: ["10.0.0.1"]
        )
        self.limits.note_answer(TARGET, 0.5)
        for _ in range(100):
            reports = self.limits.list_for_digest()
            self.clock.advance(AGE_MARGIN_MS)
            peer.merge(reports)
            reports = peer.list_for_digest()
            self.clock.advance(AGE_MARGIN_MS)
            self.limits.merge(reports)
        self.limits.note_answer(TARGET, None)
        reports = peer.list_for_digest()
        self.clock.advance(20)
        self.limits.merge(reports)
        assert not self.limits.count_limited()
        self.clock.advance(AGE_MARGIN_MS)
        peer.merge(self.limits.list_for_digest())
        assert not peer.count_limited()

    def test_all_limits_reach_a_peer_in_turn(self) -> None:
        """Guards against limits that never fit into a digest."""
        peer = RateLimits(self.clock, RecordingLog(), "10.0.0.2", list)
        count = 3 * MAX_DIGEST_LIMITS + 1
        for number in range(count):
            self.limits.note_answer(make_target(f"i-{number}"), 1.0)
        for _ in range(4):
            peer.merge(self.limits.list_for_digest())
        assert peer.count_limited() == count
