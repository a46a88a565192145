"""Tests of the limits of targets that return or are slow, without a network."""

import math
import unittest

import anyio

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.events import Event
from peridotbend.edge.occupancy import PEER_TIMEOUT_MS, Occupancy
from peridotbend.load.pace import (
    MIN_SIGNS,
    NEW_MS,
    REPORT_LAG_MS,
    RETURN_SHARE,
    START_SHARE,
    STEP_INTERVAL_MS,
    WINDOW_MS,
    TargetPaces,
)
from peridotbend.load.ramp import QUIET_MS, Ramp
from tests.edgefakes import RecordingLog
from tests.edgerunners import RunnerFleet

SLOTS = 10
NAMES = [f"i-{number}" for number in range(10)]
OBJECTIVE_MS = 400


class _Instance:
    """The paces of one instance, and what it knows of the others."""

    def __init__(self, clock: ManualClock, size: int, number: int):
        self.log = RecordingLog()
        self.occupancy = Occupancy(clock)
        self.paces = TargetPaces(
            clock,
            self.log,
            self.occupancy,
            f"edge-{number}",
            lambda: size,
            lambda service: service == "engine",
        )
        for name in NAMES:
            self.paces.note_listed(name, "engine", 1, fresh=False)

    def answer(self, name: str, took_ms: int, times: int = 1) -> None:
        """Records first events of a target."""
        for _ in range(times):
            self.paces.note_first_event(name, took_ms, OBJECTIVE_MS)

    def find(self, name: str = "i-0") -> float:
        """Returns the limit of a target, without rounding errors."""
        return round(self.paces.find_limit(name, SLOTS), 6)


class _Fleet:
    """Instances that tell each other their counts."""

    def __init__(self, size: int):
        self.clock = ManualClock()
        self.instances = [
            _Instance(self.clock, size, number) for number in range(size)
        ]

    def exchange(self) -> None:
        """Delivers the counts of all instances."""
        own = [dict(instance.occupancy.own) for instance in self.instances]
        for receiver in self.instances:
            for number, counts in enumerate(own):
                if self.instances[number] is not receiver:
                    receiver.occupancy.record_peer(str(number), counts)
            receiver.paces.check()

    def restart(self, *names: str) -> None:
        """Lists targets that have started again."""
        for instance in self.instances:
            for name in names:
                instance.paces.note_listed(
                    name, "engine", self.clock.wall_ms(), fresh=True
                )


class TargetPacesTest(unittest.TestCase):
    """Limits at a single instance."""

    def setUp(self) -> None:
        self.fleet = _Fleet(1)
        self.one = self.fleet.instances[0]

    def test_started_target_grows_with_answers_in_time(self) -> None:
        """Guards against a full load at once on a target that just started."""
        self.fleet.restart("i-0")
        assert self.one.find() == START_SHARE * SLOTS
        self.one.answer("i-0", 100, times=2)
        assert self.one.find() == START_SHARE * SLOTS + 2
        self.one.answer("i-0", 100, times=8)
        assert self.one.find() == math.inf
        assert self.one.log.count(Event.TARGET_RAMP_BEGUN) == 1
        assert self.one.log.count(Event.TARGET_RAMP_ENDED) == 1

    def test_late_answers_lower_the_limit_once_for_each_send(self) -> None:
        """Guards against a cold target that is filled while it is late."""
        self.fleet.restart("i-0")
        self.one.answer("i-0", 100, times=4)
        assert self.one.find() == 6
        self.fleet.clock.advance(1_000)
        self.one.answer("i-0", 900, times=3)
        assert self.one.find() == 3
        # Requests that were sent under the limit before tell nothing new.
        self.one.answer("i-0", 900, times=3)
        assert self.one.find() == 3

    def test_targets_that_were_in_service_are_not_limited(self) -> None:
        """Guards against a restarted instance that halves the capacity."""
        assert all(math.isinf(self.one.find(name)) for name in NAMES)

    def test_lost_answer_does_not_limit_a_target(self) -> None:
        """Guards against targets that lose their share by one lost answer."""
        for _ in range(10):
            self.one.paces.note_failure("i-0", False)
            self.fleet.clock.advance(WINDOW_MS)
        assert self.one.find() == math.inf

    def test_broken_answers_only_lower_a_limit(self) -> None:
        """Guards against requests whose own faults limit their targets."""
        for _ in range(3 * MIN_SIGNS):
            self.one.paces.note_failure("i-0", True)
        assert self.one.find() == math.inf
        self.fleet.restart("i-0")
        self.one.paces.note_failure("i-0", True)
        assert self.one.find() == START_SHARE * SLOTS / 2

    def test_target_that_alone_is_late_is_limited_and_regains(self) -> None:
        """Guards against a slow phase that the target's callers sit through."""
        self.one.answer("i-0", 900, times=MIN_SIGNS)
        assert self.one.find() < 0.6 * SLOTS
        self.one.answer("i-0", 100, times=6)
        assert self.one.find() == math.inf

    def test_long_pauses_count(self) -> None:
        """Guards against a target whose streams stall and that stays full."""
        for _ in range(MIN_SIGNS):
            self.one.paces.note_pause("i-0", 500, 400)
            self.one.paces.note_pause("i-1", 500, 0)
            self.one.paces.note_pause("i-2", 300, 400)
        limited = [name for name in NAMES if self.one.find(name) < math.inf]
        assert limited == ["i-0"]

    def test_burst_that_delays_all_targets_limits_none(self) -> None:
        """Guards against limits that collapse when the load is the cause."""
        for _ in range(3 * MIN_SIGNS):
            for name in NAMES:
                self.one.answer(name, 900)
        assert self.one.paces.count() <= 1

    def test_all_targets_together_keep_their_slots(self) -> None:
        """Guards against refusals when a whole service has just started."""
        self.fleet.restart(*NAMES)
        assert sum(map(self.one.find, NAMES)) == len(NAMES) * SLOTS

    def test_half_of_the_targets_keep_half_of_their_slots(self) -> None:
        """Guards against survivors that get all of a zone's load."""
        self.fleet.restart(*NAMES[:5])
        assert self.one.find() == 0.5 * SLOTS

    def test_target_that_returns_with_its_start_keeps_more(self) -> None:
        """Guards against treating a target that only seemed gone as new."""
        self.one.paces.forget("i-0")
        self.one.paces.note_listed("i-0", "engine", 1, fresh=True)
        assert self.one.find() == RETURN_SHARE * SLOTS

    def test_old_target_that_appears_is_not_taken_for_new(self) -> None:
        """Guards against an instance that was cut off and starves targets."""
        started_ms = self.fleet.clock.wall_ms() - NEW_MS
        self.one.paces.note_listed("i-11", "engine", started_ms, fresh=True)
        assert self.one.find("i-11") == RETURN_SHARE * SLOTS

    def test_new_target_is_limited_in_a_first_listing(self) -> None:
        """Guards against a restarted instance that fills a new target."""
        started_ms = self.fleet.clock.wall_ms() - 1_000
        self.one.paces.note_listed("i-11", "engine", started_ms, fresh=False)
        assert self.one.find("i-11") == START_SHARE * SLOTS

    def test_application_is_not_limited(self) -> None:
        """Guards against limits where answers in time are not counted."""
        started_ms = self.fleet.clock.wall_ms()
        self.one.paces.note_listed("s-1", "shop", started_ms, fresh=True)
        assert self.one.find("s-1") == math.inf
        assert self.one.log.count(Event.TARGET_RAMP_BEGUN) == 0

    def test_idle_target_is_no_longer_limited_after_a_while(self) -> None:
        """Guards against a limit that lasts as nobody sends there."""
        self.fleet.restart("i-0")
        self.fleet.clock.advance(QUIET_MS)
        assert self.one.find() == math.inf

    def test_removed_target_leaves_nothing(self) -> None:
        """Guards against counts that are told of targets that are gone."""
        self.fleet.restart("i-0")
        self.one.answer("i-0", 100)
        self.one.paces.forget("i-0")
        assert not self.one.occupancy.own
        assert self.one.paces.count() == 0

    def test_removed_names_take_no_memory(self) -> None:
        """Guards against memory that grows with each replaced runner."""
        occupancy = self.one.occupancy
        for number in range(50):
            name = f"replaced-{number}"
            occupancy.record_peer("10.0.0.9", {"i-1": 1})
            self.one.paces.note_listed(name, "engine", 1, fresh=True)
            self.one.answer(name, 100)
            self.one.find(name)
            self.one.paces.check()
            self.one.paces.forget(name)
            occupancy.forget_target(name)
            # Another instance learns a little later that it is gone.
            occupancy.record_peer("10.0.0.9", {name: 1})
        known = [n for n in occupancy._hashes if n.startswith("replaced")]
        assert not known, len(known)

    def test_removed_targets_take_up_no_memory(self) -> None:
        """Guards against names that are kept of every target there ever was."""
        occupancy = self.one.occupancy
        occupancy.record_peer("other", {"i-1": 1})
        known = set(occupancy._hashes)
        started_ms = self.fleet.clock.wall_ms()
        for fresh in (False, True):
            self.one.paces.note_listed("i-11", "engine", started_ms, fresh)
            self.one.paces.check()
            self.one.find("i-11")
            self.one.paces.forget("i-11")
            occupancy.forget_target("i-11")
        names = set(occupancy._hashes) - known
        assert not [name for name in names if name.startswith("i-11")], names


class RampTest(unittest.TestCase):
    """The limit of one target, from the sums of all instances."""

    def setUp(self) -> None:
        self.ramp = Ramp(0.5, 0, seen_on_time=20, seen_signs=0)

    def step(self, on_time: int, signs: int) -> float:
        """Returns the share after new sums."""
        self.ramp.step(on_time, signs, 0.0, SLOTS, 100)
        return self.ramp.share

    def test_sums_without_an_instance_change_nothing(self) -> None:
        """Guards against limits that fall since an instance is not heard of."""
        assert self.step(5, 0) == 0.5
        # What is new counts from there.
        assert self.step(6, 0) == 0.6

    def test_limit_stays_at_one_request(self) -> None:
        """Guards against limits that take many answers to grow again."""
        for signs in range(1, 10):
            self.step(20, signs)
        assert self.ramp.share == 1 / SLOTS


class RelayTest(unittest.TestCase):
    """Requests through the relay, at runners of ten slots each."""

    def test_started_runner_gets_few_requests_until_it_answers(self) -> None:
        """Guards against selection and answers that pass the limits by."""
        fleet = RunnerFleet(zones=1, per_zone=1)

        async def script() -> None:
            [instance] = fleet.instances.values()
            for name in fleet.runners:
                started_ms = fleet.clock.wall_ms() if name == "i-1" else 1
                instance.dependencies.paces.note_listed(
                    name, "engine", started_ms, False
                )
            arrivals = []
            for _ in range(2):
                for _ in range(30):
                    fleet.send(instance.host)
                await anyio.sleep(0.02)
                arrivals.append(sum(a.runner == "i-1" for a in fleet.arrivals))
                await anyio.sleep(2)
            assert arrivals[0] == START_SHARE * SLOTS
            assert arrivals[1] > 2 * arrivals[0]

        fleet.run(script)

    def test_failing_runner_is_limited(self) -> None:
        """Guards against failures of sends that are not counted."""
        fleet = RunnerFleet(zones=1, per_zone=1)

        async def script() -> None:
            [instance] = fleet.instances.values()
            for name in fleet.runners:
                instance.dependencies.paces.note_listed(
                    name, "engine", 1, False
                )
            fleet.runners["i-1"].is_down = True
            for _ in range(50):
                fleet.send(instance.host)
            await anyio.sleep(0.5)
            assert list(instance.dependencies.paces.dump()) == ["i-1"]

        fleet.run(script)


class PacesFleetTest(unittest.TestCase):
    """Limits of many instances, each of which sees few answers."""

    def test_instances_agree_on_a_limit(self) -> None:
        """Guards against a target that each of 63 instances has to learn."""
        fleet = _Fleet(63)
        fleet.restart("i-0")
        for instance in fleet.instances[:5]:
            instance.answer("i-0", 100)
        fleet.exchange()
        for instance in fleet.instances:
            instance.find()
        shares = {
            instance.paces.dump()["i-0"]["share"]
            for instance in fleet.instances
        }
        assert shares == {round(START_SHARE + 0.5, 2)}

    def test_relays_pass_the_evidence_on(self) -> None:
        """Guards against evidence that stays in the group of an instance."""
        fleet = RunnerFleet(zones=4, per_zone=6)

        async def script() -> None:
            paces = [i.dependencies.paces for i in fleet.instances.values()]
            for each in paces:
                for name in NAMES:
                    started_ms = fleet.clock.wall_ms() if name == "i-1" else 1
                    each.note_listed(name, "engine", started_ms, False)
            for each in paces[::8]:
                each.note_first_event("i-1", 100, OBJECTIVE_MS)
            await anyio.sleep(1)
            for each in paces:
                each.find_limit("i-1", SLOTS)
            shares = {each.dump()["i-1"]["share"] for each in paces}
            assert shares == {START_SHARE + 0.3}

        fleet.run(script)

    def test_only_some_instances_send_at_once(self) -> None:
        """Guards against 63 instances that all take the same two places."""
        fleet = _Fleet(63)
        fleet.restart("i-0")
        fleet.exchange()
        turns = []
        for _ in range(30):
            fleet.clock.advance(150)
            fleet.exchange()
            turns.append(sum(i.find() > 0 for i in fleet.instances))
        assert 1 <= sum(turns) / len(turns) <= 4

    def test_all_instances_have_a_turn_when_all_targets_start(self) -> None:
        """Guards against refusals while all targets could take requests."""
        fleet = _Fleet(63)
        fleet.restart(*NAMES)
        fleet.exchange()
        for instance in fleet.instances:
            assert any(instance.find(name) > 0 for name in NAMES)

    def test_idle_instances_do_not_wait_for_turns(self) -> None:
        """Guards against refusals at the only runner while it is idle."""
        for size, least in ((25, 30), (300, 5)):
            clock = ManualClock()
            one = _Instance(clock, size, 0)
            for name in NAMES[1:]:
                one.paces.forget(name)
            one.paces.note_listed("i-0", "engine", clock.wall_ms(), True)
            turns = 0
            for _ in range(30):
                one.occupancy.record_peer("1", {})
                turns += one.find() > 0
                clock.advance(REPORT_LAG_MS)
            assert turns >= least, (size, turns)

    def test_one_instance_does_not_convince_the_others(self) -> None:
        """Guards against one broken link that limits targets everywhere."""
        fleet = _Fleet(8)
        for _ in range(3 * MIN_SIGNS):
            fleet.instances[0].paces.note_failure("i-0", False)
            fleet.instances[0].answer("i-1", 100, times=4)
        fleet.exchange()
        assert fleet.instances[0].find() < math.inf
        assert fleet.instances[1].find() == math.inf

    def test_signs_of_several_instances_add_up(self) -> None:
        """Guards against a slow target of which each instance sees little."""
        fleet = _Fleet(63)
        for instance in fleet.instances[:MIN_SIGNS]:
            instance.answer("i-0", 900)
        fleet.exchange()
        assert all(i.paces.count() == 1 for i in fleet.instances)

    def test_reports_that_return_tell_nothing_new(self) -> None:
        """Guards against old answers and signs that count once more."""
        fleet = _Fleet(8)
        fleet.restart("i-0")
        fleet.exchange()
        for instance in fleet.instances[1:5]:
            instance.answer("i-0", 100)
        fleet.exchange()
        one = fleet.instances[0]
        one.find()
        fleet.clock.advance(1_000)
        for instance in fleet.instances[1:4]:
            instance.answer("i-0", 500)
        fleet.exchange()
        one.find()
        share = one.paces.dump()["i-0"]["share"]
        assert share == round((START_SHARE + 0.4) / 2, 2)
        # This instance is cut off, and hears of the others again.
        fleet.clock.advance(PEER_TIMEOUT_MS + 1)
        one.find()
        assert not one.occupancy.has_reports
        for number, other in enumerate(fleet.instances[1:], 1):
            one.occupancy.record_peer(str(number), other.occupancy.own)
            fleet.clock.advance(STEP_INTERVAL_MS)
            one.find()
        assert one.paces.dump()["i-0"]["share"] == share

    def test_answers_to_the_next_process_count(self) -> None:
        """Guards against evidence that is set off against older answers."""
        fleet = _Fleet(8)
        fleet.restart("i-0")
        fleet.exchange()
        for instance in fleet.instances[1:5]:
            instance.answer("i-0", 100)
        fleet.exchange()
        one = fleet.instances[0]
        fleet.clock.advance(STEP_INTERVAL_MS)
        # The others list the next process a moment later.
        fleet.restart("i-0")
        fleet.exchange()
        one.find()
        fleet.instances[1].answer("i-0", 100)
        fleet.exchange()
        fleet.clock.advance(STEP_INTERVAL_MS)
        one.find()
        share = round(START_SHARE + 0.1, 2)
        assert one.paces.dump()["i-0"]["share"] == share

    def test_own_answers_count_without_reports(self) -> None:
        """Guards against a limit that ignores signs while reports are lost."""
        fleet = _Fleet(8)
        fleet.restart("i-0")
        fleet.exchange()
        one = fleet.instances[0]
        for instance in fleet.instances[1:5]:
            instance.answer("i-0", 100)
        fleet.exchange()
        one.find()
        fleet.clock.advance(PEER_TIMEOUT_MS + 1)
        one.find()
        one.answer("i-0", 500, times=3)
        one.find()
        lowered = round((START_SHARE + 0.4) / 2, 2)
        assert one.paces.dump()["i-0"]["share"] == lowered
        one.answer("i-0", 100)
        one.find()
        assert one.paces.dump()["i-0"]["share"] == round(lowered + 0.1, 2)

    def test_instance_without_reports_uses_its_part(self) -> None:
        """Guards against instances that each fill a limit without reports."""
        fleet = _Fleet(8)
        fleet.restart("i-0")
        assert fleet.instances[0].find() == START_SHARE * SLOTS / 8
