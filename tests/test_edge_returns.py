"""Tests of how soon a change is in force after the store comes back.

The bound is that of a change while nothing is wrong, counted from the return of
the store: it covers the rest of a call that was lost, the delay before the next
one, the call itself, and the way from instances that read to the others.
"""

import unittest

from tests.storefleet import (
    SETTLED_MS,
    STORE_ADDRESS,
    Outage,
    OutageKind,
    StoreFleet,
    StoreInstance,
)

# A confirmed change has to be in force everywhere within this time.
IN_FORCE_MS = 2_000
# Times of a store that answers slowly.
SLOW_MS = 200
# The calls a second that the platform allows to all instances together.
MAX_CALLS_PER_S = 2_000
NEW_ADDRESS = ("10.200.1.8", 8_225)


def measure_return(
    fleet: StoreFleet, outage_ms: int, kind: OutageKind = OutageKind.SILENT
) -> int:
    """Returns the delay of a change that is confirmed as an outage ends."""
    end_ms = SETTLED_MS + outage_ms
    fleet.failing.outages.append(Outage(SETTLED_MS, end_ms, kind))
    return fleet.measure_delay(end_ms)


class StoreReturnTest(unittest.TestCase):
    """A change that is confirmed at the moment when the store comes back."""

    def _check_phases(
        self,
        zones: int,
        per_zone: int,
        outages_ms: range,
        kind: OutageKind = OutageKind.SILENT,
        latency_ms: int = 4,
    ) -> None:
        delays = {
            outage_ms: measure_return(
                StoreFleet(zones, per_zone, latency_ms), outage_ms, kind
            )
            for outage_ms in outages_ms
        }
        late = {n: ms for n, ms in delays.items() if ms > IN_FORCE_MS}
        assert not late, f"delay by length of the outage: {late}"

    def test_instance_alone_does_not_wait_for_a_lost_watch(self) -> None:
        """Guards against a sum of waits that no peer can shorten."""
        self._check_phases(1, 1, range(50, 7_000, 50))

    def test_instances_in_step_do_not_all_wait_for_lost_watches(self) -> None:
        """Guards against calls of a fleet that are all lost together."""
        self._check_phases(4, 2, range(100, 7_000, 300))

    def test_members_of_groups_do_not_wait_for_their_reader(self) -> None:
        """Guards against adding the way to members to a full wait."""
        self._check_phases(3, 21, range(400, 4_400, 800))

    def test_large_fleet_has_the_change_in_time(self) -> None:
        """Guards against a delay that grows with the fleet."""
        self._check_phases(9, 80, range(3_100, 3_200, 100))

    def test_store_that_refuses_calls_is_asked_again_soon(self) -> None:
        """Guards against long delays between calls that fail at once."""
        for kind in (OutageKind.BUSY, OutageKind.RESET):
            with self.subTest(kind=kind):
                self._check_phases(1, 1, range(50, 4_000, 150), kind)

    def test_slow_store_is_read_in_time_after_an_outage(self) -> None:
        """Guards against limits that a slow store does not meet."""
        self._check_phases(1, 1, range(50, 7_000, 150), latency_ms=SLOW_MS)

    def test_first_listing_that_is_lost_does_not_delay_the_start(self) -> None:
        """Guards against an outage that begins before the first answer."""
        delays = {}
        for end_ms in range(200, 4_000, 100):
            fleet = StoreFleet(1, 1)
            fleet.failing.outages.append(Outage(0, end_ms))
            delays[end_ms] = fleet.measure_delay(end_ms)
        late = {n: ms for n, ms in delays.items() if ms > IN_FORCE_MS}
        assert not late, f"delay by the end of the outage: {late}"


class SilentForReadersTest(unittest.TestCase):
    """A store that goes silent for the instances that read it, for no other."""

    def _measure(self, zones: int, per_zone: int, silence_ms: int) -> int:
        def silence(fleet: StoreFleet) -> None:
            readers = fleet.list_readers()
            assert 0 < len(readers) < len(fleet.instances)
            fleet.failing.outages.append(
                Outage(SETTLED_MS, 60_000, hosts=readers)
            )

        fleet = StoreFleet(zones, per_zone)
        return fleet.measure_delay(SETTLED_MS + silence_ms, silence, SETTLED_MS)

    def test_members_read_for_themselves_in_time(self) -> None:
        """Guards against members that wait for the timeouts of their reader."""
        delays = {ms: self._measure(3, 21, ms) for ms in range(20, 1_500, 370)}
        late = {n: ms for n, ms in delays.items() if ms > IN_FORCE_MS}
        assert not late, f"delay by the time since the cut: {late}"


class StoreAddressTest(unittest.TestCase):
    """Settings that name another address of the store."""

    def test_changes_at_a_new_address_do_not_wait_for_the_old_watch(
        self,
    ) -> None:
        """Guards against a watch at an address that has been replaced."""

        def move(fleet: StoreFleet) -> None:
            fleet.failing.versions[NEW_ADDRESS] = 2
            for instance in fleet.instances.values():
                assert isinstance(instance, StoreInstance)
                instance.set_store_address(NEW_ADDRESS)

        delays = {}
        for late_ms in range(0, 3_000, 150):
            fleet = StoreFleet(1, 1)
            # Nothing answers at the old address any more.
            fleet.failing.outages.append(
                Outage(SETTLED_MS - 1_000, SETTLED_MS + late_ms)
            )
            moved_ms = SETTLED_MS + late_ms
            delays[late_ms] = fleet.measure_delay(moved_ms + 1, move, moved_ms)
        late = {n: ms for n, ms in delays.items() if ms > IN_FORCE_MS}
        assert not late, f"delay by the time of the change: {late}"
        assert fleet.failing.versions[STORE_ADDRESS] == 2


class StoreLoadTest(unittest.TestCase):
    """Calls to the store by a large fleet."""

    def _count_calls_per_s(
        self, outages: list[Outage], from_ms: int, until_ms: int
    ) -> float:
        fleet = StoreFleet(9, 40)
        fleet.failing.outages += outages
        fleet.measure_delay(until_ms)
        calls = [
            at_ms
            for at_ms in fleet.failing.calls_ms
            if from_ms <= at_ms < until_ms
        ]
        worst = max(
            sum(start <= at_ms < start + 1_000 for at_ms in calls)
            for start in range(from_ms, until_ms - 999, 100)
        )
        # Each prefix is read by a feed of its own.
        return 2 * worst

    def test_fleet_stays_below_the_rate_while_the_store_is_away(self) -> None:
        """Guards against members that all call a store that is away."""
        for kind in OutageKind:
            with self.subTest(kind=kind):
                outage = Outage(SETTLED_MS, SETTLED_MS + 6_000, kind)
                calls = self._count_calls_per_s(
                    [outage], SETTLED_MS, SETTLED_MS + 6_000
                )
                # Half of the design's instances, so half of its calls.
                assert calls <= MAX_CALLS_PER_S / 2, calls
