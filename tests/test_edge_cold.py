"""Tests of cold targets, which all instances together send little."""

import dataclasses
import random
import unittest

import anyio

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.events import Event
from peridotbend.domain.rendezvous import find_place, rank
from peridotbend.edge.coldtargets import (
    MIN_DIVISOR,
    PERMIT_MS,
    WINDOW_MS,
    ColdTargets,
    FleetView,
)
from peridotbend.edge.config import Service
from peridotbend.edge.contact import CATCH_UP_MS, SETTLE_MS, SILENCE_MS
from tests.edgefakes import CONFIG, SETTINGS, TARGET, RecordingLog
from tests.edgerunners import Runner, RunnerFleet

COLD_PER_S = 12.0
COLD_SETTINGS = dataclasses.replace(SETTINGS, cold_overage=1.5, cold_slack=5.0)
COLD_CONFIG = dataclasses.replace(
    CONFIG, services=(Service("engine", COLD_PER_S),)
)
# The users' bound on what a cold target gets in any second.
MOST = 23
STEP_MS = 10
# Enough that only the bound keeps a target from getting more than it.
SLOTS = 40
# Zones and instances in each, for the sizes of the users' fleets.
SIZES = ((4, 2), (3, 21), (3, 65))


def make_fleet(zones: int, per_zone: int, seed: int = 1) -> RunnerFleet:
    """Returns a fleet in front of six runners that may be cold."""
    fleet = RunnerFleet(
        zones=zones,
        per_zone=per_zone,
        runners=6,
        config=COLD_CONFIG,
        seed=seed,
        settings=COLD_SETTINGS,
    )
    fleet.listed_slots = SLOTS
    return fleet


async def send_for(
    fleet: RunnerFleet, rng: random.Random, duration_ms: int, per_s: float
) -> list[str]:
    """Sends requests through random instances that are not suspended."""
    attempts = []
    end_ms = fleet.now_ms + duration_ms
    due = 0.0
    while fleet.now_ms < end_ms:
        await anyio.sleep(STEP_MS / 1_000)
        due += per_s * STEP_MS / 1_000
        hosts = [h for h in fleet.hosts if h not in fleet.frozen_hosts]
        while due >= 1:
            due -= 1
            attempts.append(fleet.send(rng.choice(hosts)))
    return attempts


def count_most(fleet: RunnerFleet, runner: Runner) -> int:
    """Returns the most arrivals in any second in which a runner was cold."""
    times = [
        arrival.at_ms
        for arrival in fleet.arrivals
        if arrival.runner == runner.name
        and runner.cold_from_ms <= arrival.at_ms < runner.cold_until_ms
    ]
    return max(
        (sum(first <= t < first + 1_000 for t in times) for first in times),
        default=0,
    )


class ColdFleetTest(unittest.TestCase):
    """The bound over fleets of the users' sizes, in virtual time."""

    def _check(self, fleet: RunnerFleet) -> None:
        for runner in fleet.runners.values():
            most = count_most(fleet, runner)
            assert most <= MOST, (runner.name, most)

    def test_bound_holds_for_targets_that_become_cold(self) -> None:
        """Guards against each instance sending a cold target its usual."""
        for zones, per_zone in SIZES:
            with self.subTest(instances=zones * per_zone):
                fleet = make_fleet(zones, per_zone)
                rng = random.Random(1)
                attempts: list[str] = []

                async def script(
                    fleet: RunnerFleet = fleet,
                    rng: random.Random = rng,
                    attempts: list[str] = attempts,
                ) -> None:
                    await anyio.sleep(SETTLE_MS / 1_000 + 3)
                    runners = list(fleet.runners.values())
                    for runner in runners[:3]:
                        fleet.make_cold(runner, 4_000)
                    attempts += await send_for(fleet, rng, 4_000, 150.0)
                    await anyio.sleep(1)

                fleet.run(script)
                self._check(fleet)
                cold = sum(
                    a.runner in list(fleet.runners)[:3] for a in fleet.arrivals
                )
                # Some of the work goes there, and warm ones take the rest.
                assert cold >= 12, cold
                begun = sum(attempt in fleet.begun for attempt in attempts)
                assert begun > 0.95 * len(attempts), (begun, len(attempts))

    def test_bound_holds_right_after_the_start_of_all(self) -> None:
        """Guards against instances that each take the whole bound."""
        for zones, per_zone in SIZES:
            with self.subTest(instances=zones * per_zone):
                fleet = make_fleet(zones, per_zone)
                rng = random.Random(2)

                def prepare(runner: Runner) -> None:
                    runner.cold_until_ms = 9_500

                fleet.prepare_runner = prepare

                async def script(
                    fleet: RunnerFleet = fleet, rng: random.Random = rng
                ) -> None:
                    await send_for(fleet, rng, 8_000, 400.0)

                fleet.run(script)
                self._check(fleet)
                # Instances that know the others by then do send.
                assert fleet.arrivals

    def test_bound_holds_while_instances_are_in_trouble(self) -> None:
        """Guards against instances that miss who else sends, or the news."""
        for zones, per_zone in SIZES:
            with self.subTest(instances=zones * per_zone):
                fleet = make_fleet(zones, per_zone, seed=3)
                rng = random.Random(3)

                async def script(
                    fleet: RunnerFleet = fleet, rng: random.Random = rng
                ) -> None:
                    await self._trouble(fleet, rng)

                fleet.run(script)
                self._check(fleet)

    async def _trouble(self, fleet: RunnerFleet, rng: random.Random) -> None:
        await anyio.sleep(SETTLE_MS / 1_000 + 3)
        hosts = list(fleet.hosts)
        rng.shuffle(hosts)
        part = len(hosts) // 4
        cut, frozen, restarted = (
            hosts[:part],
            hosts[part : 2 * part],
            hosts[-part:],
        )
        fleet.cut_hosts.update(cut)
        fleet.frozen_hosts.update(frozen)
        await send_for(fleet, rng, 2_500, 100.0)
        # The entries do not reach those that are cut off or suspended.
        for runner in fleet.runners.values():
            fleet.make_cold(runner, 9_000)
        for host in restarted:
            fleet.start(host)
        await send_for(fleet, rng, 3_000, 300.0)
        for host in frozen:
            fleet.thaw(host)
        await send_for(fleet, rng, 2_000, 300.0)
        for host in cut:
            fleet.rejoin(host)
        await send_for(fleet, rng, 2_000, 300.0)

    def test_nothing_is_bounded_without_bounds(self) -> None:
        """Guards against a bound that the settings do not name."""
        fleet = make_fleet(4, 2)
        fleet.settings = SETTINGS
        rng = random.Random(4)

        async def script() -> None:
            await anyio.sleep(SETTLE_MS / 1_000)
            for runner in fleet.runners.values():
                fleet.make_cold(runner, 3_000)
            await send_for(fleet, rng, 2_000, 300.0)

        fleet.run(script)
        most = [count_most(fleet, r) for r in fleet.runners.values()]
        assert min(most) > MOST, most


class ColdTargetsTest(unittest.TestCase):
    """The part of one instance."""

    def setUp(self) -> None:
        """Creates the cold targets of one of several instances."""
        self.clock = ManualClock()
        self.log = RecordingLog()
        self.others = [f"10.0.0.{n}" for n in range(2, MIN_DIVISOR + 1)]
        self.is_known = True
        self.is_informed = True
        self.cold = ColdTargets(
            self.clock,
            self.log,
            COLD_SETTINGS,
            FleetView(
                lambda: self.others,
                lambda: self.is_known,
                lambda: self.is_informed,
            ),
        )
        self.cold.apply_services(COLD_CONFIG.services)
        self.target = dataclasses.replace(TARGET, cold_left_ms=3_000)

    def _count_sends(self, duration_ms: int) -> int:
        """Sends as often as allowed; returns how often that is."""
        sends = 0
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            while self.cold.has_room(self.target) and sends < 1_000:
                permit = self.cold.take(self.target)
                assert self.cold.may_write(self.target, permit)
                sends += 1
        return sends

    def test_time_runs_from_when_the_entry_is_known(self) -> None:
        """Guards against a target that stays cold, or is not."""
        self.cold.note_entry(self.target, None)
        assert self.cold.count() == 1
        assert 2 <= self._count_sends(2_990) <= 6
        self.clock.advance(10)
        assert self.cold.count() == 0
        assert self._count_sends(STEP_MS) == 1_000
        assert self.log.count(Event.TARGET_WARM) == 1

    def test_entry_may_end_the_time(self) -> None:
        """Guards against a target that is spared although it is warm."""
        self.cold.note_entry(self.target, None)
        warm = dataclasses.replace(self.target, cold_left_ms=0)
        self.cold.note_entry(warm, self.target)
        assert self.cold.count() == 0

    def test_odd_field_leaves_what_holds(self) -> None:
        """Guards against an entry that ends a cold time by an odd value."""
        self.cold.note_entry(self.target, None)
        odd = dataclasses.replace(
            TARGET, cold_left_ms=None, cold_problem="cold_left_ms: odd"
        )
        self.cold.note_entry(odd, self.target)
        self.cold.note_entry(odd, self.target)
        assert self.cold.count() == 1
        assert self.log.count(Event.ENTRY_FIELD_IGNORED) == 1

    def test_cold_time_goes_on_without_an_entry(self) -> None:
        """Guards against an entry that expired while the store was away."""
        self.cold.note_entry(self.target, None)
        self.cold.note_removed(self.target.name)
        assert self._count_sends(1_000) <= 2

    def test_nothing_is_sent_for_a_window_after_a_warm_time(self) -> None:
        """Guards against counting only what is sent after the news."""
        self.cold.note_entry(self.target, TARGET)
        assert not self._count_sends(WINDOW_MS - STEP_MS)
        assert self._count_sends(1_500)

    def test_nothing_is_sent_before_the_others_are_known(self) -> None:
        """Guards against an instance that takes the parts of all."""
        self.is_known = False
        self.cold.note_entry(self.target, None)
        assert not self._count_sends(2_000)

    def test_all_are_spared_without_news(self) -> None:
        """Guards against a target that became cold while nobody could tell."""
        self.is_informed = False
        assert self._count_sends(WINDOW_MS) <= 3
        self.is_informed = True
        assert self._count_sends(STEP_MS) == 1_000

    def test_permit_is_good_once_and_for_a_short_time(self) -> None:
        """Guards against sends that crowd after slow connects."""
        self.cold.note_entry(self.target, None)
        while not self.cold.has_room(self.target):
            self.clock.advance(STEP_MS)
        permit = self.cold.take(self.target)
        self.clock.advance(PERMIT_MS)
        assert self.cold.may_write(self.target, permit)
        assert not self.cold.may_write(self.target, permit)
        while not self.cold.has_room(self.target):
            self.clock.advance(STEP_MS)
        permit = self.cold.take(self.target)
        self.clock.advance(PERMIT_MS + 1)
        assert not self.cold.may_write(self.target, permit)

    def test_target_that_became_cold_after_its_choice_is_asked_for(
        self,
    ) -> None:
        """Guards against requests that were placed while it was warm."""
        permit = self.cold.take(self.target)
        assert permit is None
        self.cold.note_entry(self.target, self.target)
        assert not self.cold.may_write(self.target, permit)

    def test_services_without_a_rate_are_not_bounded(self) -> None:
        """Guards against a bound that the configuration does not name."""
        self.cold.apply_services((Service("engine"),))
        self.cold.note_entry(self.target, None)
        assert self._count_sends(STEP_MS) == 1_000

    def test_target_that_ended_is_cold_before_its_entry_says_so(self) -> None:
        """Guards against the load of all on a target that is back."""
        self.cold.apply_services((Service("engine", COLD_PER_S, 3_000),))
        self.cold.note_ended(TARGET)
        assert self._count_sends(1_000) <= 2
        self.cold.note_ended(TARGET)
        assert self._count_sends(2_900) <= 5
        self.clock.advance(100)
        assert self._count_sends(STEP_MS) == 1_000
        assert self.log.count(Event.TARGET_COLD) == 1

    def test_changed_settings_apply(self) -> None:
        """Guards against bounds of the settings as of the start."""
        self.cold.note_entry(self.target, None)
        self.cold.apply_settings(SETTINGS)
        assert self._count_sends(STEP_MS) == 1_000


class FleetContactTest(unittest.TestCase):
    """What an instance of a fleet knows of the others."""

    def setUp(self) -> None:
        """Creates an instance that has just started, with its fleet."""
        self.fleet = make_fleet(4, 2)

    def test_instance_without_answers_does_not_know_its_fleet(self) -> None:
        """Guards against an instance that starts in a partition."""
        fleet = self.fleet
        host = fleet.hosts[-1]

        async def script() -> None:
            fleet.cut_hosts.add(host)
            fleet.start(host)
            await anyio.sleep(3 * SETTLE_MS / 1_000)
            assert not fleet.instances[host].status.knows_fleet()
            fleet.rejoin(host)
            await anyio.sleep(2 * SETTLE_MS / 1_000)
            assert fleet.instances[host].status.knows_fleet()

        fleet.run(script)

    def test_suspended_instance_has_no_news_for_a_while(self) -> None:
        """Guards against requests that a thawed process sends at once."""
        fleet = self.fleet
        host = fleet.hosts[-1]

        async def script() -> None:
            status = fleet.instances[host].status
            assert status.is_informed()
            fleet.frozen_hosts.add(host)
            await anyio.sleep((SILENCE_MS + 200) / 1_000)
            fleet.thaw(host)
            assert not status.is_informed()
            await anyio.sleep(0.5)
            assert not status.is_informed()
            await anyio.sleep(CATCH_UP_MS / 1_000)
            assert status.is_informed()

        fleet.run(script)

    def test_hosts_that_expired_keep_their_part(self) -> None:
        """Guards against two halves of a fleet that each send all."""
        fleet = self.fleet

        async def script() -> None:
            await anyio.sleep(1)
            fleet.cut_hosts.update(fleet.hosts[:4])
            await anyio.sleep(65)
            for host in fleet.hosts:
                status = fleet.instances[host].status
                assert len(set(status.list_possible_hosts())) == 7

        fleet.run(script)


class PlaceTest(unittest.TestCase):
    """The place of a host among others."""

    def test_place_is_that_in_the_ranking(self) -> None:
        """Guards against two hosts that take the same place."""
        hosts = [f"10.0.{n // 250}.{n % 250}" for n in range(195)]
        for number in range(50):
            key = number.to_bytes(8, "big")
            ranked = rank(key, hosts, lambda host: host)
            for place, host in enumerate(ranked):
                others = [h.encode() for h in hosts if h != host]
                found = find_place(key, host.encode(), others, 20)
                # Far behind the last sender, the place is not needed.
                assert found == place or (found == 194 and place > 40)
