"""Tests of prompt parts that crash runners, over all instances."""

import random
import unittest

import anyio

from tests.edgerunners import RESTART_MS, RunnerFleet

BAD_PART = "bad"
# The users' bounds on prompts with a part that crashes runners: how many may
# reach runners later than this time after the fifth crash.
CONTACT_MS = 3_000
MAX_LATER_SENDS = 3
FIRST_PARTS = tuple(f"system-{number}" for number in range(8))
SUBJECTS = tuple(f"subject-{number}" for number in range(12))
STEP_MS = 25
SOUND_PER_S = 12.0
BAD_PER_S = 1.5


class _Traffic:
    """Sound requests, and bad ones that share all their other parts."""

    def __init__(self, fleet: RunnerFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.bad_per_s = 0.0
        # Time and attempt of each sound request.
        self.sound: list[tuple[int, str]] = []

    async def run_for(self, duration_ms: int) -> None:
        """Sends requests through random instances for some time."""
        end_ms = self._fleet.now_ms + duration_ms
        while self._fleet.now_ms < end_ms:
            await anyio.sleep(STEP_MS / 1_000)
            if self._rng.random() < SOUND_PER_S * STEP_MS / 1_000:
                attempt = self._send()
                self.sound.append((self._fleet.now_ms, attempt))
            if self._rng.random() < self.bad_per_s * STEP_MS / 1_000:
                self._send(BAD_PART)

    def find_begun_share(self, start_ms: int, end_ms: int) -> float:
        """Returns the part of the sound requests that a runner began."""
        sent = [a for at_ms, a in self.sound if start_ms <= at_ms < end_ms]
        return sum(a in self._fleet.begun for a in sent) / len(sent)

    def _send(self, *more_parts: str) -> str:
        parts = (
            self._rng.choice(FIRST_PARTS),
            self._rng.choice(SUBJECTS),
            *more_parts,
        )
        return self._fleet.send(self._rng.choice(self._fleet.hosts), *parts)


def _make_fleet(zones: int = 4, per_zone: int = 2) -> RunnerFleet:
    fleet = RunnerFleet(zones, per_zone)
    fleet.bad_part = BAD_PART
    return fleet


class PromptPartTest(unittest.TestCase):
    """Requests that share one prompt part, under which runners crash."""

    def _check(self, fleet: RunnerFleet, traffic: _Traffic) -> None:
        assert len(fleet.crashes) >= MAX_LATER_SENDS
        end_ms = fleet.now_ms
        fifth_ms = fleet.crashes[:5][-1]
        later = fleet.list_bad_arrivals(fifth_ms + CONTACT_MS)
        assert len(later) <= MAX_LATER_SENDS, (len(later), fleet.crashes)
        before = traffic.find_begun_share(0, fleet.crashes[0])
        during = traffic.find_begun_share(fifth_ms + 2 * CONTACT_MS, end_ms)
        assert during >= before / 2, (before, during)

    def test_requests_that_share_one_bad_part_stop(self) -> None:
        """Guards against a part that crashes runner after runner."""
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = _make_fleet()
                traffic = _Traffic(fleet, seed)

                async def script(traffic: _Traffic = traffic) -> None:
                    await traffic.run_for(10_000)
                    traffic.bad_per_s = BAD_PER_S
                    await traffic.run_for(30_000)

                fleet.run(script)
                self._check(fleet, traffic)

    def test_evidence_passes_through_relays_of_a_large_fleet(self) -> None:
        """Guards against a part that crashes one runner for each group."""
        fleet = _make_fleet(zones=4, per_zone=10)
        traffic = _Traffic(fleet, seed=4)

        async def script() -> None:
            await traffic.run_for(10_000)
            traffic.bad_per_s = BAD_PER_S
            await traffic.run_for(20_000)

        fleet.run(script)
        self._check(fleet, traffic)

    def test_evidence_outlives_the_instances_that_saw_it(self) -> None:
        """Guards against counts that end with the process that counted."""
        fleet = _make_fleet()
        traffic = _Traffic(fleet, seed=5)

        async def script() -> None:
            await traffic.run_for(10_000)
            traffic.bad_per_s = BAD_PER_S
            await traffic.run_for(8_000)
            # In series, so that each process learns from the ones before it.
            for host in fleet.hosts:
                fleet.start(host)
                await traffic.run_for(2_000)
            await traffic.run_for(5_000)

        fleet.run(script)
        self._check(fleet, traffic)

    def test_instances_that_were_cut_off_learn_the_cause(self) -> None:
        """Guards against an instance that sends bad requests after a cut."""
        fleet = _make_fleet()
        traffic = _Traffic(fleet, seed=6)
        cut = fleet.hosts[:2]
        healed_ms = 0

        async def script() -> None:
            nonlocal healed_ms
            await traffic.run_for(10_000)
            fleet.cut_hosts.update(cut)
            traffic.bad_per_s = BAD_PER_S
            await traffic.run_for(10_000)
            fleet.cut_hosts.clear()
            healed_ms = fleet.now_ms
            await traffic.run_for(10_000)

        fleet.run(script)
        after_ms = fleet.crashes[4] + CONTACT_MS
        later = [
            arrival
            for arrival in fleet.list_bad_arrivals(after_ms)
            if arrival.host not in cut or arrival.at_ms > healed_ms + CONTACT_MS
        ]
        assert len(later) <= MAX_LATER_SENDS, later

    def test_all_processes_restarted_learn_the_cause_again(self) -> None:
        """Guards against a crash loop after all instances lost their state."""
        fleet = _make_fleet()
        traffic = _Traffic(fleet, seed=7)
        restarted_ms = 0

        async def script() -> None:
            nonlocal restarted_ms
            await traffic.run_for(10_000)
            traffic.bad_per_s = BAD_PER_S
            await traffic.run_for(10_000)
            restarted_ms = fleet.now_ms
            for host in fleet.hosts:
                fleet.start(host)
            await traffic.run_for(15_000)

        fleet.run(script)
        later = [
            arrival
            for arrival in fleet.list_bad_arrivals(
                fleet.crashes[4] + CONTACT_MS
            )
            if not restarted_ms < arrival.at_ms < restarted_ms + CONTACT_MS
        ]
        assert len(later) <= MAX_LATER_SENDS, later


class OtherCrashesTest(unittest.TestCase):
    """Runners that crash whatever they run."""

    def test_loss_of_all_runners_quarantines_no_common_part(self) -> None:
        """Guards against parts refused because a rack failed under them."""
        fleet = _make_fleet()
        traffic = _Traffic(fleet, seed=8)

        async def script() -> None:
            await traffic.run_for(10_000)
            for _ in range(3):
                for runner in list(fleet.runners.values()):
                    if not runner.is_down:
                        fleet.crash(runner)
                await traffic.run_for(6_000)

        fleet.run(script)
        back_ms = fleet.crashes[-1] + RESTART_MS + 500
        assert traffic.find_begun_share(back_ms, fleet.now_ms - 500) > 0.95
        for instance in fleet.instances.values():
            assert not instance.dependencies.crashes.count_causes()

    def test_random_crashes_quarantine_nothing(self) -> None:
        """Guards against parts refused because runners are unreliable."""
        fleet = _make_fleet()
        traffic = _Traffic(fleet, seed=9)

        async def script() -> None:
            for _ in range(15):
                await traffic.run_for(2_000)
                live = [r for r in fleet.runners.values() if not r.is_down]
                if live:
                    fleet.crash(fleet.rng.choice(live))

        fleet.run(script)
        for instance in fleet.instances.values():
            assert not instance.dependencies.crashes.count_causes()
