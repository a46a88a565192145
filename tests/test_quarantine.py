"""Tests of suspects, trial runs and quarantine."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import FingerprintEntry, SuspectState
from peridotbend.domain.quarantine import QuarantineSettings, SuspectTable

CLEAN, SUSPECT, QUARANTINED = SuspectState
A, B, C = b"a", b"b", b"c"
DEFAULT_SETTINGS = QuarantineSettings()

entries = st.lists(
    st.builds(
        FingerprintEntry,
        st.sampled_from([A, B, C]),
        st.sampled_from(SuspectState),
        st.integers(-5, 900_000),
    ),
    max_size=20,
)


def gossip(*tables: SuspectTable) -> None:
    """Merges the entries of each table into all others."""
    for table in tables:
        for other in tables:
            other.merge(table.export(256))


class CrashTest(unittest.TestCase):
    """State of the requests in flight after a crash."""

    def setUp(self) -> None:
        """Starts with a manual clock."""
        self.clock = ManualClock()
        self.table = SuspectTable(self.clock)

    def check(self, *fingerprints: bytes) -> list[SuspectState]:
        """Returns the states of some fingerprints."""
        return list(map(self.table.check, fingerprints))

    def test_suspects(self) -> None:
        """Guards against a crashing request that is never identified."""
        for _ in range(2):
            self.table.record_crash([A, B], None)
            assert self.check(A, B, C) == [SUSPECT, SUSPECT, CLEAN]
        for state in (SUSPECT, QUARANTINED):
            self.clock.advance(1)
            self.table.record_crash([C], None)
            assert self.check(C) == [state]
        self.clock.advance(DEFAULT_SETTINGS.lifetime_ms)
        assert self.check(A, B, C) == [CLEAN, CLEAN, CLEAN]

    def test_trial_is_the_culprit(self) -> None:
        """Guards against quarantining requests that ran beside a trial."""
        self.table.record_crash([A, B, C], A)
        assert self.check(A, B, C) == [QUARANTINED, SUSPECT, SUSPECT]
        self.table.record_success(B)
        self.table.record_success(A)
        assert self.check(A, B, C) == [QUARANTINED, CLEAN, SUSPECT]


class TrialTest(unittest.TestCase):
    """Trial permits that the owner of a fingerprint grants."""

    def setUp(self) -> None:
        """Starts with a manual clock."""
        self.clock = ManualClock()
        self.table = SuspectTable(self.clock)
        self.table.record_crash([A, B], None)

    def test_one_at_a_time(self) -> None:
        """Guards against two concurrent trials of one request."""
        assert self.table.grant_trial(A, "n1").granted
        second = self.table.grant_trial(A, "n2")
        assert not second.granted and second.retry_after_ms > 0
        assert self.table.grant_trial(B, "n2").granted
        self.table.finish_trial(B, crashed=False)
        assert self.table.check(B) is CLEAN
        self.table.cancel_trial(A, "n2")
        assert not self.table.grant_trial(A, "n2").granted
        self.table.cancel_trial(A, "n1")
        assert self.table.grant_trial(A, "n2").granted

    def test_unreported_trials_expire(self) -> None:
        """Guards against unreported trials that block or clear a suspect.

        If the holder of a permit crashes, the request is quarantined. If it
        stays silent, the permit expires.
        """
        self.table.grant_trial(A, "dies")
        self.table.grant_trial(B, "silent")
        self.table.record_holder_crash("dies")
        self.clock.advance(DEFAULT_SETTINGS.permit_ms - 1)
        assert not self.table.grant_trial(B, "n2").granted
        self.clock.advance(1)
        assert self.table.check(A) is QUARANTINED
        assert self.table.check(B) is SUSPECT
        assert self.table.grant_trial(B, "n2").granted


class BoundTest(unittest.TestCase):
    """Size of the table."""

    def test_quarantined_are_evicted_last(self) -> None:
        """Guards against new suspects that evict a quarantined request."""
        table = SuspectTable(ManualClock(), QuarantineSettings(max_entries=3))
        table.record_crash([A], A)
        for number in range(100):
            latest = number.to_bytes(8, "big")
            table.record_crash([latest, b"other"], None)
            assert table.check(latest) is SUSPECT
        assert len(table) == 3
        assert table.check(A) is QUARANTINED
        assert table.export(1)[0].value == A


class GossipTest(unittest.TestCase):
    """Exchange of entries between peers."""

    @given(st.lists(entries, max_size=6), st.randoms(use_true_random=False))
    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    def test_merge_converges(
        self, batches: list[list[FingerprintEntry]], random: Random
    ) -> None:
        """Guards against peers that do not converge to the same states."""
        clock = ManualClock()
        first, second = SuspectTable(clock), SuspectTable(clock)
        for batch in batches:
            first.merge(batch)
        repeated = [e for batch in batches for e in [*batch, *batch]]
        random.shuffle(repeated)
        second.merge(repeated)
        # Merging the same entries again must not change anything.
        second.merge(first.export(256))
        assert set(first.export(256)) == set(second.export(256))

    def test_two_crashes_fleet_wide(self) -> None:
        """Guards against a request that crashes one target after another."""
        clock = ManualClock()
        peers = [SuspectTable(clock) for _ in range(8)]
        crashes: list[bool] = []
        for attempt in range(100):
            peer, owner = peers[attempt % 8], peers[3]
            state = peer.check(A)
            on_trial = state is SUSPECT
            if state is QUARANTINED or (
                on_trial and not owner.grant_trial(A, "holder").granted
            ):
                continue
            crashes.append(on_trial)
            peer.record_crash([A, b"%d" % attempt], A if on_trial else None)
            clock.advance(5)
            gossip(*peers)
        assert crashes == [False, True]

    def test_later_change_wins(self) -> None:
        """Guards against a cleared suspect that hides a later crash."""
        clock = ManualClock()
        near, far = SuspectTable(clock), SuspectTable(clock)
        near.record_crash([A, B], None)
        gossip(near, far)
        stale = far.export(256)
        near.record_success(A)
        gossip(near, far)
        far.merge(stale)
        assert far.check(A) is CLEAN
        far.record_crash([A, C], None)
        gossip(near, far)
        assert near.check(A) is SUSPECT
