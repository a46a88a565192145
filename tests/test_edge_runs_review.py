"""Tests of what proves which process of a name sent the events of a stream."""

from tests.test_edge_runs import GONE, _RunsTest


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
