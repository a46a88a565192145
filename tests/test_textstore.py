"""Tests of the configuration store."""

import unittest

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.events import Event
from peridotbend.domain.textstore import ConfigStore, OfferOutcome
from tests.peernodes import RecordingLog, make_config


class TextStoreTest(unittest.TestCase):
    """Which configurations are accepted."""

    def setUp(self) -> None:
        """Makes an empty store."""
        self.clock = ManualClock()
        self.log = RecordingLog()
        self.store = ConfigStore(self.clock, self.log)

    def test_version_never_falls(self) -> None:
        """Guards against a stale copy that reverts the configuration."""
        versions = [3, 1, 5, 4, 5, 2, 9, 8]
        current_versions = []
        for version in versions:
            self.store.offer(make_config(version))
            current_versions.append(self.store.version)
        assert current_versions == [3, 3, 5, 5, 5, 5, 9, 9]

    def test_outcomes(self) -> None:
        """Guards against reporting an older or equal version as accepted."""
        offer = self.store.offer
        assert self.store.version == -1
        assert offer(make_config(2)) is OfferOutcome.ACCEPTED
        assert offer(make_config(1)) is OfferOutcome.OLDER
        assert offer(make_config(2)) is OfferOutcome.SAME

    def test_conflict_keeps_first_text(self) -> None:
        """Guards against alternating between two configurations.

        Both have the same version; the first one stays.
        """
        first = make_config(2, "a")
        self.store.offer(first)
        other = make_config(2, "b")
        assert self.store.offer(other) is OfferOutcome.CONFLICT
        self.store.check_peer_digest(2, other.digest)
        assert self.store.current is first
        assert self.log.count(Event.TEXT_CONFLICT) == 1
        conflict = self.store.conflict
        assert conflict is not None
        assert conflict.refused_digest == other.digest

    def test_subscribers_and_time(self) -> None:
        """Guards against a new configuration that subscribers never receive."""
        notified: list[int] = []
        self.store.subscribe(lambda config: notified.append(config.version))
        self.store.offer(make_config(1))
        self.clock.advance(500)
        self.store.offer(make_config(1))
        self.store.offer(make_config(4))
        assert notified == [1, 4]
        assert self.store.accepted_at_ms == self.clock.now_ms()
