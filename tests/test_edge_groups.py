"""Tests of the groups of a large fleet and of their relays."""

import dataclasses
import statistics
import unittest

from peridotbend.adapters.digests import decode_digest, encode_digest
from peridotbend.edge.config import Account
from peridotbend.edge.evidence import MAX_CRASHES
from peridotbend.edge.groups import MAX_GROUP_SIZE, RELAYS_PER_GROUP
from peridotbend.edge.occupancy import Occupancy
from tests.edgefakes import SETTINGS, note_death
from tests.edgegroups import GroupFleet, GroupInstance

ZONES = 3
PER_ZONE = 7
# The seeds, the relays and the list of instances become known within this time.
START_MS = 8_000
# An instance learns what another one did through two relays.
SPREAD_MS = 1_000
ACCOUNT = Account("acme", frozenset(("k",)), None, 36_000.0, 70_000.0, 200.0)
# The users' limit on the traffic for control of one instance.
MAX_BYTES_PER_S = 14_000


def _start_fleet(
    zones: int = ZONES, per_zone: int = PER_ZONE, seed: int = 1
) -> GroupFleet:
    fleet = GroupFleet(zones, per_zone, seed)
    for instance in fleet.instances.values():
        instance.allowances.apply([ACCOUNT])
    fleet.run(START_MS)
    return fleet


def _count_at(fleet: GroupFleet, target: str) -> set[int]:
    return {i.occupancy.count(target) for i in fleet.instances.values()}


class GroupTest(unittest.TestCase):
    """Formation of groups."""

    def test_all_instances_form_the_same_groups(self) -> None:
        """Guards against members that report to different relays."""
        fleet = _start_fleet()
        for zone in range(ZONES):
            members = [
                i for i in fleet.instances.values() if i.zone == f"zone-{zone}"
            ]
            relays = {
                tuple(i.directory.choose_relays(i.directory.own_key))
                for i in members
            }
            assert len(relays) == 1, relays
            assert sum(i.exchange.is_relay for i in members) == RELAYS_PER_GROUP

    def test_large_zone_is_divided(self) -> None:
        """Guards against a relay whose load grows with its zone."""
        fleet = _start_fleet(zones=1, per_zone=2 * MAX_GROUP_SIZE)
        sizes: dict[object, int] = {}
        for instance in fleet.instances.values():
            key = instance.directory.own_key
            sizes[key] = sizes.get(key, 0) + 1
        assert len(sizes) == 2
        assert max(sizes.values()) < 1.5 * MAX_GROUP_SIZE

    def test_cost_of_an_instance_does_not_grow_with_the_fleet(self) -> None:
        """Guards against control traffic above the users' limit."""
        medians = []
        for per_zone in (7, 21):
            fleet = _start_fleet(per_zone=per_zone)
            fleet.reset_traffic()
            for step in range(40):
                for host, instance in fleet.instances.items():
                    # A request starts or ends in every tick.
                    if step % 2:
                        instance.occupancy.remove(f"i-{hash(host) % 59}")
                    else:
                        instance.occupancy.add(f"i-{hash(host) % 59}")
                fleet.step()
            bytes_per_s = [
                (t.sent_bytes + t.received_bytes) / 2
                for t in fleet.traffic.values()
            ]
            medians.append(statistics.median(bytes_per_s))
        assert max(medians) < MAX_BYTES_PER_S, medians
        assert medians[1] < 1.5 * medians[0], medians


class GroupCountTest(unittest.TestCase):
    """Counts of requests in flight over all groups."""

    def test_each_request_is_counted_once_everywhere(self) -> None:
        """Guards against counts that miss a group or include one twice."""
        fleet = _start_fleet()
        for instance in fleet.instances.values():
            instance.occupancy.add("i-1")
        fleet.run(SPREAD_MS)
        assert _count_at(fleet, "i-1") == {ZONES * PER_ZONE}
        for instance in fleet.instances.values():
            instance.occupancy.remove("i-1")
        fleet.run(SPREAD_MS)
        assert _count_at(fleet, "i-1") == {0}

    def test_own_requests_count_at_once(self) -> None:
        """Guards against an instance that overfills a target by itself.

        The totals of the relay include older counts of the instance.
        """
        fleet = _start_fleet()
        instance = next(
            i for i in fleet.instances.values() if not i.exchange.is_relay
        )
        for expected in range(1, 10):
            instance.occupancy.add("i-1")
            assert instance.occupancy.count("i-1") == expected
            fleet.run(100)
            assert instance.occupancy.count("i-1") == expected

    def test_more_targets_than_fit_into_a_digest(self) -> None:
        """Guards against targets beyond the first packet that look free."""
        fleet = _start_fleet(zones=2)
        hosts = list(fleet.instances)
        names = [f"i-{number}" for number in range(400)]
        for number, name in enumerate(names):
            host = hosts[number % len(hosts)]
            fleet.instances[host].occupancy.add(name)
        fleet.run(5 * SPREAD_MS)
        for name in names:
            assert _count_at(fleet, name) == {1}, name
        for number, name in enumerate(names):
            host = hosts[number % len(hosts)]
            fleet.instances[host].occupancy.remove(name)
        fleet.run(5 * SPREAD_MS)
        for name in names:
            assert _count_at(fleet, name) == {0}, name

    def test_counts_survive_the_loss_of_both_relays(self) -> None:
        """Guards against a group that is blind after its relays died."""
        fleet = _start_fleet()
        members = [i for i in fleet.instances.values() if i.zone == "zone-0"]
        for relay in [i for i in members if i.exchange.is_relay]:
            del fleet.instances[relay.host]
        for instance in fleet.instances.values():
            instance.occupancy.add("i-1")
        fleet.run(4_000)
        assert _count_at(fleet, "i-1") == {len(fleet.instances)}

    def test_zones_that_are_cut_off_count_their_own(self) -> None:
        """Guards against a side of a partition that stops working."""
        fleet = _start_fleet()
        fleet.side_by_zone = {"zone-0": 1}
        for instance in fleet.instances.values():
            instance.occupancy.add("i-1")
        fleet.run(4_000)
        for instance in fleet.instances.values():
            is_cut = instance.zone == "zone-0"
            expected = PER_ZONE if is_cut else (ZONES - 1) * PER_ZONE
            assert instance.occupancy.count("i-1") == expected
        fleet.side_by_zone = {}
        fleet.run(8_000)
        assert _count_at(fleet, "i-1") == {ZONES * PER_ZONE}

    def test_instances_that_were_cut_off_return_at_once(self) -> None:
        """Guards against an instance that is blind after its link is back.

        It had given up its relays one after the other, took itself for the only
        relay and asked nobody until the first of them was due again.
        """
        fleet = _start_fleet()
        fleet.cut_hosts = {f"10.1.0.{number}" for number in (2, 3, 4)}
        fleet.run(9_000)
        for instance in fleet.instances.values():
            instance.occupancy.add("i-1")
        fleet.cut_hosts = set()
        fleet.run(2_000)
        assert _count_at(fleet, "i-1") == {ZONES * PER_ZONE}


class GroupReaderTest(unittest.TestCase):
    """Instances that read the store for their group."""

    def _list_readers(self, fleet: GroupFleet) -> list[GroupInstance]:
        return [i for i in fleet.instances.values() if i.is_reader]

    def test_one_instance_of_a_group_reads(self) -> None:
        """Guards against calls to the store that grow with the fleet."""
        assert len(self._list_readers(_start_fleet())) == ZONES
        assert len(self._list_readers(_start_fleet(per_zone=20))) == ZONES

    def test_others_read_when_the_reader_is_cut_from_the_store(self) -> None:
        """Guards against a group without changes when one link is down."""
        fleet = _start_fleet()
        for reader in self._list_readers(fleet):
            reader.can_reach_store = False
        fleet.store.revision = 7
        fleet.run(3_000)
        assert {i.revision for i in fleet.instances.values()} == {7}

    def test_others_read_when_the_readers_die(self) -> None:
        """Guards against changes that wait for a dead reader."""
        fleet = _start_fleet()
        for reader in self._list_readers(fleet):
            del fleet.instances[reader.host]
        fleet.store.revision = 7
        fleet.run(3_000)
        assert {i.revision for i in fleet.instances.values()} == {7}


class GroupRestoreTest(unittest.TestCase):
    """Groups whose store is restored from an older copy."""

    def _start_with_version(self, version: int) -> GroupFleet:
        fleet = _start_fleet()
        fleet.store.write(version)
        fleet.store.revision = 50
        fleet.run(SPREAD_MS)
        assert self._list_versions(fleet) == {version}
        return fleet

    def _list_versions(self, fleet: GroupFleet) -> set[int]:
        return {i.version for i in fleet.instances.values()}

    def _cut_off_zone(self, fleet: GroupFleet) -> list[GroupInstance]:
        fleet.side_by_zone["zone-0"] = 1
        members = [i for i in fleet.instances.values() if i.zone == "zone-0"]
        for instance in members:
            instance.can_reach_store = False
        return members

    def test_change_after_a_restore_reaches_all(self) -> None:
        """Guards against members that follow the revision alone."""
        fleet = self._start_with_version(16)
        fleet.store.restore(revision=20, version=12)
        fleet.run(SPREAD_MS)
        # The version that was confirmed stays in force.
        assert self._list_versions(fleet) == {16}
        fleet.store.write(17)
        fleet.run(SPREAD_MS)
        assert self._list_versions(fleet) == {17}
        assert {i.revision for i in fleet.instances.values()} == {21}

    def test_zone_that_missed_the_restore_follows(self) -> None:
        """Guards against a zone that brings the earlier era back."""
        fleet = self._start_with_version(16)
        members = self._cut_off_zone(fleet)
        fleet.store.restore(revision=20, version=12)
        fleet.store.write(17)
        fleet.run(6_000)
        assert {i.version for i in members} == {16}
        fleet.side_by_zone.clear()
        fleet.run(3_000)
        assert self._list_versions(fleet) == {17}
        assert {i.revision for i in fleet.instances.values()} == {21}

    def test_version_that_one_zone_alone_knows_is_passed_on(self) -> None:
        """Guards against losing a confirmed version with the store."""
        fleet = self._start_with_version(16)
        members = self._cut_off_zone(fleet)
        for instance in members:
            instance.can_reach_store = True
        others = [i for i in fleet.instances.values() if i not in members]
        for instance in others:
            instance.can_reach_store = False
        fleet.store.write(17)
        fleet.run(SPREAD_MS)
        for instance in members:
            instance.can_reach_store = False
        fleet.store.restore(revision=20, version=12)
        for instance in others:
            instance.can_reach_store = True
        fleet.run(SPREAD_MS)
        assert {i.version for i in others} == {16}
        fleet.side_by_zone.clear()
        fleet.run(3_000)
        assert self._list_versions(fleet) == {17}

    def test_processes_that_start_after_a_restore_ask_the_others(self) -> None:
        """Guards against new processes that trust the restored store."""
        fleet = self._start_with_version(16)
        fleet.store.restore(revision=20, version=12)
        fleet.run(SPREAD_MS)
        # One of them becomes the reader of its group.
        hosts = [host for host in fleet.instances if host.startswith("10.1.")]
        for host in hosts[: len(hosts) // 2]:
            fleet.start(host, "zone-0")
        fleet.run(SPREAD_MS)
        assert self._list_versions(fleet) == {16}


class GroupSumTest(unittest.TestCase):
    """Limits on the sums over all instances."""

    def _spend(self, fleet: GroupFleet, duration_ms: int, hosts: int) -> float:
        """Offers three times the allowance to some hosts; returns the sum."""
        spent = 0.0
        chosen = sorted(fleet.instances)[:hosts]
        for step in range(duration_ms // 50):
            fleet.step()
            if step % 2 == 0:
                for number in range(6):
                    host = chosen[(6 * step + number) % len(chosen)]
                    allowances = fleet.instances[host].allowances
                    if allowances.try_take(ACCOUNT.name, 1_800.0) is None:
                        spent += 1_800.0
        return spent

    def _find_bound(self, duration_ms: int) -> float:
        refilled = ACCOUNT.tokens_per_s * duration_ms / 1_000
        full = refilled + ACCOUNT.burst_tokens
        return full * (1 + SETTINGS.allowance_overage) + (
            SETTINGS.allowance_slack
        )

    def test_sum_stays_within_the_bound(self) -> None:
        """Guards against instances that each grant the whole allowance."""
        window_ms = SETTINGS.allowance_window_ms
        for hosts in (1, 5, ZONES * PER_ZONE):
            with self.subTest(hosts=hosts):
                spent = self._spend(_start_fleet(), window_ms, hosts)
                assert spent <= self._find_bound(window_ms)

    def test_few_instances_may_use_the_whole_allowance(self) -> None:
        """Guards against refusing an account that uses a few instances.

        Divided into equal parts, the allowance of an account whose callers are
        on few of many instances was mostly out of its reach.
        """
        for hosts in (1, 5, ZONES * PER_ZONE):
            with self.subTest(hosts=hosts):
                spent = self._spend(_start_fleet(), 20_000, hosts)
                assert spent >= 0.95 * ACCOUNT.tokens_per_s * 20

    def test_sum_holds_when_zones_are_cut_off(self) -> None:
        """Guards against a whole allowance on each side of a partition."""
        fleet = _start_fleet()
        fleet.side_by_zone = {
            f"zone-{number}": number for number in range(ZONES)
        }
        fleet.run(4_000)
        window_ms = SETTINGS.allowance_window_ms
        spent = self._spend(fleet, window_ms, ZONES * PER_ZONE)
        assert spent <= self._find_bound(window_ms)

    def test_sum_holds_when_all_restart(self) -> None:
        """Guards against a full bucket for every process that starts."""
        fleet = _start_fleet()
        self._spend(fleet, 4_000, ZONES * PER_ZONE)
        for instance in list(fleet.instances.values()):
            started = fleet.start(instance.host, instance.zone)
            started.allowances.apply([ACCOUNT])
        window_ms = SETTINGS.allowance_window_ms
        spent = self._spend(fleet, window_ms, ZONES * PER_ZONE)
        assert spent <= self._find_bound(window_ms)

    def test_crashes_in_different_groups_add_up(self) -> None:
        """Guards against a request that crashes targets once per group."""
        fleet = _start_fleet()
        for zone in range(MAX_CRASHES):
            crashes = fleet.instances[f"10.{zone + 1}.0.3"].crashes
            note_death(crashes, f"i-{zone}", {7: "request"})
        fleet.run(SPREAD_MS)
        for instance in fleet.instances.values():
            assert instance.crashes.find_cause({7}), instance.host

    def test_draining_instances_do_not_replace_silent_ones(self) -> None:
        """Guards against a part of an allowance that two sides spend.

        Instances that drain are live but not expected, so they must not make up
        for others that may be cut off.
        """
        fleet = _start_fleet()
        hosts = sorted(fleet.instances)
        for host in hosts[:3]:
            fleet.instances[host].is_draining = True
        fleet.run(SPREAD_MS)
        for host in hosts[-3:]:
            del fleet.instances[host]
        fleet.run(4_000)
        for instance in fleet.instances.values():
            share = instance.status.find_live_share()
            assert share <= 1 - 2 / len(hosts), (instance.host, share)

    def test_lost_datagrams_do_not_lose_what_was_spent(self) -> None:
        """Guards against an allowance that leaks with each lost packet."""
        fleet = _start_fleet()
        fleet.loss = 0.2
        window_ms = SETTINGS.allowance_window_ms
        spent = self._spend(fleet, window_ms, ZONES * PER_ZONE)
        assert spent <= self._find_bound(window_ms)


class RunningTotalTest(unittest.TestCase):
    """Running totals of the reports of other instances."""

    def test_totals_equal_the_sum_of_the_reports(self) -> None:
        """Guards against totals that drift when reports are replaced."""
        fleet = GroupFleet(1, 1)
        occupancy = Occupancy(fleet.clock)
        reports: dict[str, dict[str, int]] = {}
        for _ in range(2_000):
            peer = f"peer-{fleet.rng.randrange(8)}"
            if fleet.rng.random() < 0.1:
                occupancy.forget_peer(peer)
                reports.pop(peer, None)
            else:
                reports[peer] = {
                    f"i-{fleet.rng.randrange(5)}": fleet.rng.randrange(1, 9)
                    for _ in range(3)
                }
                occupancy.record_peer(peer, reports[peer])
            for number in range(5):
                name = f"i-{number}"
                total = sum(report.get(name, 0) for report in reports.values())
                assert occupancy.count(name) == total

    def test_removed_targets_leave_nothing(self) -> None:
        """Guards against a table that grows with each restart of a target."""
        fleet = GroupFleet(1, 1)
        occupancy = Occupancy(fleet.clock)
        for number in range(100):
            name = f"i-{number}"
            occupancy.add(name)
            assert occupancy.count(name) == 1
            occupancy.find_hash(name)
            occupancy.remove(name)
            occupancy.forget_target(name)
        assert not occupancy.own
        assert not occupancy._hashes


class PartialDigestTest(unittest.TestCase):
    """Digests that are restored from datagrams."""

    def test_account_levels_reach_the_members(self) -> None:
        """Guards against members that keep their own view of an allowance."""
        fleet = _start_fleet()
        members = [
            i for i in fleet.instances.values() if not i.exchange.is_relay
        ]
        spender = members[0].allowances
        assert spender.try_take(ACCOUNT.name, 60_000.0) is None
        lowered = dataclasses.replace(ACCOUNT, tokens_per_s=1.0)
        for instance in fleet.instances.values():
            instance.allowances.apply([lowered])
        fleet.run(SPREAD_MS)
        for instance in members:
            level = instance.allowances.list_uses()[ACCOUNT.name].level
            assert level < 15_000.0, (instance.host, level)

    def test_damaged_digests_end_no_process(self) -> None:
        """Guards against one malformed message that ends a process."""
        fleet = _start_fleet()
        relay = next(i for i in fleet.instances.values() if i.exchange.is_relay)
        receiver = next(
            i
            for i in fleet.instances.values()
            if i.zone == relay.zone and not i.exchange.is_relay
        )
        for _ in range(300):
            fleet.step()
            for outgoing in relay.exchange.collect():
                data = bytearray(encode_digest(outgoing.digest))
                for _ in range(fleet.rng.randrange(1, 4)):
                    data[fleet.rng.randrange(len(data))] = fleet.rng.randrange(
                        256
                    )
                digest = decode_digest(bytes(data))
                if digest is not None:
                    receiver.exchange.receive(digest)
            receiver.exchange.collect()
        receiver.allowances.try_take(ACCOUNT.name, 1.0)
