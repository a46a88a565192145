"""Tests of the fleet membership."""

import dataclasses
import random
import unittest

from peridotbend.domain import rendezvous
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.events import Event
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import (
    MAX_PEERS,
    PEER_TIMEOUT_MS,
    RESAMPLE_INTERVAL_MS,
    Peer,
)
from peridotbend.domain.ports import InstanceInfo, InstanceRole
from peridotbend.domain.text import Target
from tests.peernodes import RecordingLog, make_entry_info


def make_peer(name: str, incarnation: int = 1, sequence: int = 1) -> Peer:
    """Makes a peer in zone a."""
    return Peer(name, incarnation, "a", "127.0.0.1", 9, sequence=sequence)


def make_target(name: str, zone: str = "a") -> Target:
    """Makes a target of the configuration."""
    return Target(name, "s", zone, "127.0.0.1", 80)


def make_target_entry(
    name: str, incarnation: str, leaving: bool
) -> InstanceInfo:
    """Makes an entry for a target in the platform's instance list."""
    role = InstanceRole.TARGET
    return InstanceInfo(name, role, "a", "h", 80, 0, incarnation, leaving)


class RosterCase(unittest.TestCase):
    """Base of the tests: a roster with a manual clock."""

    def setUp(self) -> None:
        """Makes a roster without peers."""
        self.clock = ManualClock()
        self.log = RecordingLog()
        self.roster = self.make_roster("e0")

    def make_roster(self, name: str) -> Roster:
        """Makes the roster of the instance with this name."""
        rng = random.Random(1)
        return Roster(make_peer(name, 99), self.clock, self.log, rng)

    def receive_heartbeats(self, *names: str, sequence: int = 1) -> None:
        """Records a heartbeat from each of the named peers."""
        for name in names:
            self.roster.record_heartbeat(make_peer(name, sequence=sequence))


class LivenessTest(RosterCase):
    """Heartbeats, timeouts and incarnations."""

    def test_list_alone_is_no_life_sign(self) -> None:
        """Guards against a stale instance list that makes dead peers count."""
        self.roster.apply_list([make_entry_info("e1", 10)])
        assert self.roster.count_live_peers() == 1
        assert [p.name for p in self.roster.list_known_peers()] == ["e1"]

    def test_empty_list_removes_nobody(self) -> None:
        """Guards against an empty list from a failing platform."""
        self.receive_heartbeats("e1")
        self.roster.apply_list([])
        assert self.roster.is_live("e1")

    def test_silent_peer_is_lost_once(self) -> None:
        """Guards against a dead peer that stays in use or is logged twice."""
        self.receive_heartbeats("e1")
        self.clock.advance(PEER_TIMEOUT_MS - 1)
        assert self.roster.is_live("e1")
        self.clock.advance(1)
        assert not self.roster.is_live("e1")
        assert not self.roster.list_live_peers()
        assert self.log.count(Event.PEER_LOST) == 1

    def test_old_sequence_is_no_life_sign(self) -> None:
        """Guards against old membership samples that keep a dead peer alive."""
        self.receive_heartbeats("e1", sequence=5)
        self.clock.advance(PEER_TIMEOUT_MS)
        self.roster.record_member(make_peer("e1", sequence=5), 0)
        assert not self.roster.is_live("e1")
        self.roster.record_member(make_peer("e1", sequence=6), 10)
        assert self.roster.is_live("e1")

    def test_new_incarnation_replaces_at_once(self) -> None:
        """Guards against a restarted peer taken for its previous process."""
        self.receive_heartbeats("e1")
        self.roster.record_heartbeat(make_peer("e1", 2))
        found = self.roster.find_peer("e1")
        assert found is not None
        assert found.incarnation == 2

    def test_replaced_incarnation_never_returns(self) -> None:
        """Guards against a resumed process that replaces its successor."""
        self.roster.record_heartbeat(make_peer("e1", 1))
        self.roster.record_heartbeat(make_peer("e1", 2))
        self.clock.advance(60_000)
        assert not self.roster.record_heartbeat(make_peer("e1", 1, 900))
        self.roster.record_member(make_peer("e1", 1, 901), 0)
        found = self.roster.find_peer("e1")
        assert found is not None
        assert found.incarnation == 2
        assert not self.roster.is_live("e1")

    def test_resumed_process_does_not_replace_its_successor(self) -> None:
        """Guards against a live peer that a new instance never asks.

        The new instance has not seen that the successor replaced it.
        """
        self.roster.record_heartbeat(make_peer("e1", 2))
        assert not self.roster.record_heartbeat(make_peer("e1", 1, 900))
        self.roster.record_member(make_peer("e1", 1, 901), 0)
        assert self.roster.record_heartbeat(make_peer("e1", 2, 2))
        found = self.roster.find_peer("e1")
        assert found is not None
        assert found.incarnation == 2
        assert self.log.count(Event.PEER_LOST) == 0

    def test_start_of_a_clock_set_back_counts_after_silence(self) -> None:
        """Guards against a restarted peer that is never seen again."""
        self.roster.record_heartbeat(make_peer("e1", 2))
        self.clock.advance(PEER_TIMEOUT_MS)
        assert self.roster.record_heartbeat(make_peer("e1", 1))
        assert self.roster.is_live("e1")
        # The later one had only been silent.
        assert self.roster.record_heartbeat(make_peer("e1", 2, 2))
        assert not self.roster.record_heartbeat(make_peer("e1", 1, 3))

    def test_older_news_of_unknown_incarnation_is_ignored(self) -> None:
        """Guards against a delayed membership sample of an ended process."""
        self.receive_heartbeats("e1")
        self.roster.record_member(make_peer("e1", 5, 500), 900)
        found = self.roster.find_peer("e1")
        assert found is not None
        assert found.incarnation == 1

    def test_number_of_peers_is_bounded(self) -> None:
        """Guards against memory that grows with made-up peer names."""
        for number in range(MAX_PEERS + 50):
            self.roster.apply_list([make_entry_info(f"x{number}", 10)])
        self.receive_heartbeats("e1")
        assert len(self.roster.list_known_peers()) == MAX_PEERS
        assert self.roster.is_live("e1")


class TargetsTest(RosterCase):
    """Leaving marks and connect failures of targets."""

    def test_leaving_is_sticky_against_a_stale_list(self) -> None:
        """Guards against a stale list that makes a leaving target available."""
        target = make_target("t1")
        self.roster.apply_list([make_target_entry("t1", "i1", True)])
        assert not self.roster.is_available(target)
        self.roster.apply_list([make_target_entry("t1", "i1", False)])
        assert not self.roster.is_available(target)
        assert self.roster.is_leaving("t1", "i1")

    def test_next_incarnation_is_available(self) -> None:
        """Guards against a restarted target that is never used again."""
        self.roster.mark_leaving([("t1", "i1")])
        assert not self.roster.is_available(make_target("t1"))
        self.roster.record_target_incarnation("t1", "i2")
        assert self.roster.is_available(make_target("t1"))
        self.roster.apply_list([make_target_entry("t1", "i1", False)])
        assert self.roster.is_available(make_target("t1"))

    def test_mark_of_an_unknown_incarnation_counts(self) -> None:
        """Guards against an outdated list that overrides a mark from a peer.

        The mark may name an incarnation that the list does not show yet.
        """
        self.roster.apply_list([make_target_entry("t1", "i1", False)])
        self.roster.mark_leaving([("t1", "i2")])
        self.roster.apply_list([make_target_entry("t1", "i1", False)])
        assert not self.roster.is_available(make_target("t1"))

    def test_mark_of_an_earlier_process_does_not_last(self) -> None:
        """Guards against a target that a new instance never uses.

        A mark may be older than the process that the target itself names.
        """
        target = make_target("t1")
        self.roster.apply_list([make_target_entry("t1", "i2", False)])
        self.roster.record_target_incarnation("t1", "i2")
        self.roster.mark_leaving([("t1", "i1")])
        self.roster.record_target_incarnation("t1", "i2")
        assert self.roster.is_available(target)
        self.roster.mark_leaving([("t1", "i2")])
        assert not self.roster.is_available(target)

    def test_mark_of_an_earlier_process_is_not_passed_on(self) -> None:
        """Guards against old marks that new instances take for news."""
        targets = self.roster.targets
        self.roster.mark_leaving([("t1", "i1"), ("t2", "i1")])
        self.roster.record_target_incarnation("t1", "i2")
        assert targets.list_marks_from(0, 9)[0] == [("t2", "i1")]
        self.roster.mark_leaving([("t1", "i2")])
        marks = targets.list_marks_from(0, 9)[0]
        assert marks == [("t2", "i1"), ("t1", "i2")]
        assert self.roster.is_leaving("t1", "i1")

    def test_mark_that_follows_a_report_is_passed_on(self) -> None:
        """Guards against the loss of a mark that may be the newest.

        The target has not named the marked process yet.
        """
        self.roster.record_target_incarnation("t1", "i1")
        self.roster.mark_leaving([("t1", "i2")])
        assert not self.roster.is_available(make_target("t1"))
        assert self.roster.targets.list_marks_from(0, 9)[0] == [("t1", "i2")]

    def test_news_is_urgent_and_given_once(self) -> None:
        """Guards against marks that are delayed or repeated in every digest."""
        calls: list[int] = []
        self.roster.subscribe_urgent(lambda: calls.append(1))
        self.roster.mark_leaving([("t1", "i1"), ("t2", "i1")])
        self.roster.mark_leaving([("t1", "i1")])
        assert len(calls) == 1
        marks, cursor = self.roster.targets.list_marks_from(0, 1)
        assert marks == [("t1", "i1")]
        marks, cursor = self.roster.targets.list_marks_from(cursor, 256)
        assert marks == [("t2", "i1")]
        assert self.roster.targets.list_marks_from(cursor, 256)[0] == []

    def test_failures_back_off_and_recover(self) -> None:
        """Guards against constant retries of a dead target, or none."""
        target = make_target("t1")
        backoffs_ms = []
        for _ in range(6):
            self.roster.record_target_failure("t1")
            self.roster.record_target_failure("t1")
            elapsed_ms = 0
            while not self.roster.is_available(target):
                self.clock.advance(500)
                elapsed_ms += 500
            backoffs_ms.append(elapsed_ms)
        assert backoffs_ms == [1_000, 2_000, 4_000, 8_000, 10_000, 10_000]
        self.roster.record_target_failure("t1")
        self.roster.record_target_success("t1")
        assert self.roster.is_available(target)


class ResponsibilityTest(RosterCase):
    """Window dividers, trial owners, successors and platform readers."""

    def test_all_instances_agree(self) -> None:
        """Guards against instances with equal views that choose differently."""
        names = [f"e{n}" for n in range(5)]
        choices = set()
        for name in names:
            roster = self.make_roster(name)
            for other in names:
                roster.record_heartbeat(make_peer(other))
            successors = roster.rank_successors("gone", 4)
            choices.add(
                (
                    roster.find_window_divider(make_target("t1")),
                    roster.find_trial_owner(b"print"),
                    tuple(p.name for p in successors),
                )
            )
        assert len(choices) == 1

    def test_readers_are_two_in_each_zone(self) -> None:
        """Guards against a zone with no platform reader, or with too many."""
        names = [f"e{n}" for n in range(6)]
        readers = []
        for name in names:
            roster = self.make_roster(name)
            for other in names:
                roster.record_heartbeat(make_peer(other))
            readers.append(roster.is_reader())
        assert sum(readers) == 2
        assert self.roster.is_reader()
        assert not self.roster.is_reader("b")

    def test_divider_moves_when_it_dies(self) -> None:
        """Guards against shares that depend on a dead divider."""
        self.receive_heartbeats("e1", "e2", "e3")
        targets = [make_target(f"t{n}") for n in range(40)]
        before = {self.roster.find_window_divider(t) for t in targets}
        assert before == {"e0", "e1", "e2", "e3"}
        self.clock.advance(PEER_TIMEOUT_MS)
        assert {self.roster.find_window_divider(t) for t in targets} == {"e0"}

    def test_divider_is_of_the_zone_if_it_has_one(self) -> None:
        """Guards against a divider beyond a partition between zones."""
        far_peer = dataclasses.replace(make_peer("far"), zone="b")
        self.roster.record_heartbeat(far_peer)
        self.receive_heartbeats("e1")
        target = make_target("t1", "b")
        assert self.roster.find_window_divider(target) == "far"
        assert self.roster.find_window_divider(make_target("t1", "c"))

    def test_draining_peer_takes_over_nothing(self) -> None:
        """Guards against a hand-over to a process that is also draining."""
        draining_peer = dataclasses.replace(make_peer("e1"), draining=True)
        self.roster.record_heartbeat(draining_peer)
        self.receive_heartbeats("e2")
        successors = [p.name for p in self.roster.rank_successors("e0", 99)]
        assert successors == ["e2"]
        with_draining = self.roster.rank_successors(
            "e0", 99, include_draining=True
        )
        assert {p.name for p in with_draining} == {"e1", "e2"}
        targets = [make_target(f"t{n}") for n in range(40)]
        found = {self.roster.find_window_divider(t) for t in targets}
        assert found == {"e0", "e2"}

    def test_rank_is_stable_when_names_come_and_go(self) -> None:
        """Guards against a change of members that moves everything.

        A responsibility moves only if its instance joins or leaves.
        """
        names = [f"e{n}" for n in range(20)]
        whole = rendezvous.rank(b"k", names, str)
        part = rendezvous.rank(b"k", names[:-5], str)
        assert [n for n in whole if n in part] == part


class NeighbourTest(RosterCase):
    """Choice of neighbours for gossip."""

    def test_small_fleet_is_a_full_mesh(self) -> None:
        """Guards against indirect gossip in a small fleet."""
        self.receive_heartbeats(*[f"e{n}" for n in range(1, 17)])
        assert len(self.roster.choose_neighbours()) == 16

    def test_large_fleet_draws_few_and_redraws(self) -> None:
        """Guards against links that grow with the fleet, and a static graph."""
        for number in range(60):
            peer = make_peer(f"p{number}")
            zone = "a" if number < 30 else "b"
            self.roster.record_heartbeat(dataclasses.replace(peer, zone=zone))
        first = self.roster.choose_neighbours(["p59", "unknown"])
        assert 10 <= len(first) <= 11
        assert "p59" in {p.name for p in first}
        assert sum(p.zone == "a" for p in first) == 8
        assert self.roster.choose_neighbours(["p59"]) == first
        self.clock.advance(RESAMPLE_INTERVAL_MS)
        assert self.roster.choose_neighbours(["p59"]) != first
