"""Tests of what proves which process of a name sent the events of a stream."""

from tests.test_edge_runs import GONE, LEASE_MS, _RunsTest


class BeginProofTest(_RunsTest):
    """What an instance may conclude of the process that began a stream."""

    def test_end_that_a_listing_refuted_does_not_count(self) -> None:
        """Guards against streams that are cut after an old, harmless break."""
        self.runs.find_listing_ms = self.clock.now_ms
        self.runs.note_end(self.target)
        self.clock.advance(60_000)
        assert not self.runs.is_doubtful(self.target)
        connected_at_ms = self.clock.now_ms()
        self.clock.advance(100)
        self.runs.note_end(self.target)
        self.client.starts["i-1"] = GONE
        assert self.confirm_begin(self.target, connected_at_ms)

    def test_deferred_removal_proves_nothing(self) -> None:
        """Guards against a proof by an entry that is no longer there."""
        listing_ms = [self.clock.now_ms()]
        self.runs.find_listing_ms = lambda: listing_ms[0]
        self.targets.note_store_unreachable()
        self.clock.advance(10_000)
        connected_at_ms = self.clock.now_ms()
        self.clock.advance(LEASE_MS)
        self.targets.note_store_reachable()
        self.runs.note_unlisted(self.target)
        self.targets.remove(self.target.name)
        listing_ms[0] = self.clock.now_ms()
        assert self.targets.find(self.target.name) is not None
        assert not self.runs.is_proven(self.target, connected_at_ms)
