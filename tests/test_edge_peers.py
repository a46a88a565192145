"""Tests of the digests between instances and of the merging of changes."""

import dataclasses
import random
import unittest

import anyio
from result import Err, Ok, Result

from peridotbend.adapters.digests import (
    MAX_DATAGRAM_BYTES,
    decode_digest,
    encode_digest,
    encode_echo,
)
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.events import Event
from peridotbend.edge.allowances import AllowanceUse
from peridotbend.edge.brittle import MAX_REPORTED
from peridotbend.edge.configholder import ConfigHolder
from peridotbend.edge.evidence import (
    EVIDENCE_TTL_MS,
    MAX_DEATHS,
    MAX_DIGEST_TRAITS,
    Death,
    Suspicion,
)
from peridotbend.edge.exchange import MAX_MEMBERS
from peridotbend.edge.feeds import (
    CATCH_UP_DELAY_MS,
    Feed,
    RestoreRules,
)
from peridotbend.edge.peers import (
    PEER_EXPIRY_MS,
    PEER_TIMEOUT_MS,
    Digest,
    Member,
    PeerRegistry,
    Scope,
)
from peridotbend.edge.ports import StoreError, StoreFailure
from peridotbend.edge.published import (
    Changes,
    FeedState,
    Item,
    Position,
    PublishedItems,
)
from peridotbend.edge.ratelimits import MAX_DIGEST_LIMITS, NamedLimit
from peridotbend.edge.readerrole import ReaderRole
from peridotbend.edge.sharedstate import MAX_ACCOUNTS, MAX_COUNTS
from peridotbend.wire import edge_pb2 as pb
from tests.edgefakes import CONFIG, RecordingLog, ScriptedReader

RESTORE_RULES = RestoreRules(True, 4_800, lambda: None)
DIGEST = Digest(
    name="edge-2",
    incarnation=2**63 + 1,
    sequence=1,
    host="10.0.0.2",
    is_draining=False,
    known_hosts=("10.0.0.3",),
    feeds={"op/": FeedState(Position(3, 12), 7)},
    in_flight={"i-1": 4},
    allowances={"acme": AllowanceUse(10.5, -3.0)},
    crashes=(
        Suspicion(
            2**64 - 1,
            (Death(2**32 - 1, 200, True), Death(5, 900, False)),
            True,
        ),
    ),
    limits=(NamedLimit(2**32 - 1, 3.1, 300), NamedLimit(5, None, 900)),
    brittle=(NamedLimit(7, 6.0, 300),),
)


def _make_changes(
    revision: int, *items: Item, is_whole: bool = False
) -> Changes:
    return Changes(items, Position(1, revision), is_whole)


class DigestTest(unittest.TestCase):
    """Encoding of digests as datagrams."""

    def test_digest_survives_the_wire(self) -> None:
        """Guards against digest fields that are not encoded or decoded."""
        assert decode_digest(encode_digest(DIGEST)) == DIGEST

    def test_datagram_stays_in_one_packet(self) -> None:
        """Guards against fragmented digests, lost with any of their packets."""
        in_flight = {f"i-{number:010}": 3 for number in range(2_000)}
        large = dataclasses.replace(DIGEST, in_flight=in_flight)
        data = encode_digest(large)
        assert len(data) <= MAX_DATAGRAM_BYTES
        decoded = decode_digest(data)
        assert decoded is not None
        assert decoded.feeds == DIGEST.feeds

    def test_digests_of_relays_survive_the_wire(self) -> None:
        """Guards against fields of sums that are not encoded or decoded."""
        base = dataclasses.replace(
            DIGEST,
            in_flight={},
            allowances={},
            zone="zone-a",
            is_store_reachable=True,
            live_instances=31,
            expected_instances=33,
            target_counts={2**32 - 1: 4, 7: 0},
            is_partial=True,
            members=(Member("10.0.0.9", "zone-b", 300, True),),
        )
        group = dataclasses.replace(
            base, scope=Scope.GROUP, account_spent={9: 1e12 + 0.5}
        )
        assert decode_digest(encode_digest(group)) == group
        fleet = dataclasses.replace(
            base, scope=Scope.FLEET, account_levels={9: -2.5}
        )
        echoed = decode_digest(encode_digest(fleet) + encode_echo((2**63, 5)))
        assert echoed == dataclasses.replace(fleet, echo=(2**63, 5))

    def test_full_digest_of_a_relay_stays_in_one_packet(self) -> None:
        """Guards against sums that are fragmented in a large fleet."""
        hashes = range(2**32 - MAX_COUNTS, 2**32)
        full = dataclasses.replace(
            DIGEST,
            scope=Scope.GROUP,
            in_flight={},
            allowances={},
            zone="a-zone-with-a-long-name",
            target_counts=dict.fromkeys(hashes, 200),
            account_spent=dict.fromkeys(hashes[:MAX_ACCOUNTS], 1e9),
            members=tuple(
                Member(
                    f"10.9.9.{n}", f"a-zone-with-a-long-name-{n % 9}", 9, False
                )
                for n in range(MAX_MEMBERS)
            ),
        )
        data = encode_digest(full) + encode_echo((2**64 - 1, 2**40))
        assert len(data) <= MAX_DATAGRAM_BYTES
        decoded = decode_digest(data)
        assert decoded is not None
        assert decoded.target_counts == full.target_counts
        assert decoded.account_spent == full.account_spent

    def test_news_keeps_causes_and_limits_in_one_packet(self) -> None:
        """Guards against evidence that is fragmented, or left out for good."""
        deaths = tuple(
            Death(2**32 - n, EVIDENCE_TTL_MS, False)
            for n in range(1, MAX_DEATHS + 1)
        )
        news = dataclasses.replace(
            DIGEST,
            scope=Scope.NEWS,
            in_flight={},
            allowances={},
            crashes=tuple(
                Suspicion(2**64 - n, deaths, True)
                for n in range(1, MAX_DIGEST_TRAITS + 1)
            ),
            limits=tuple(
                NamedLimit(2**32 - n, 3.1, 900)
                for n in range(1, MAX_DIGEST_LIMITS + 1)
            ),
            brittle=tuple(
                NamedLimit(2**32 - n, 6.0, 900)
                for n in range(1, MAX_REPORTED + 1)
            ),
        )
        data = encode_digest(news)
        assert len(data) <= MAX_DATAGRAM_BYTES
        decoded = decode_digest(data)
        assert decoded is not None
        assert decoded.limits == news.limits
        assert decoded.brittle == news.brittle
        # Causes come first, the rest follows in turn.
        assert len(decoded.crashes) >= 5
        assert decoded.crashes == news.crashes[: len(decoded.crashes)]

    def test_values_at_the_end_of_a_range_can_be_passed_on(self) -> None:
        """Guards against a process that ends when it packs what it received.

        Ages go on growing, and counts and amounts of several peers are added.
        """
        largest = 2**32 - 1
        message = pb.UseDigest(
            name="edge-2",
            host="10.0.0.2",
            known_hosts=["10.0.0.3", "engine", "10.0.0.4\0", "::1", ""],
            uses=[pb.TargetUse(target="i-1", in_flight=largest)],
            target_hashes=[1],
            target_counts=[largest],
            live_instances=largest,
            expected_instances=largest,
            members=[pb.ZoneMembers(hosts=[1], ages=[largest], draining=[0])],
            crashes=[
                pb.Suspicion(targets=[1], ages=[largest], withdrawn=[False])
            ],
            limits=[pb.TargetLimit(target=1, per_s=1.0, age=largest)],
        )
        digest = decode_digest(message.SerializeToString())
        assert digest is not None
        assert digest.known_hosts == ("10.0.0.3", "::1")
        later_ms = 86_400_000
        (death,) = digest.crashes[0].deaths
        death = dataclasses.replace(death, age_ms=death.age_ms + later_ms)
        encode_digest(
            dataclasses.replace(
                digest,
                in_flight={"i-1": 16 * digest.in_flight["i-1"]},
                target_counts={1: 16 * digest.target_counts[1]},
                live_instances=16 * digest.live_instances,
                expected_instances=16 * digest.expected_instances,
                members=tuple(
                    dataclasses.replace(m, age_ms=m.age_ms + later_ms)
                    for m in digest.members
                ),
                crashes=(
                    dataclasses.replace(digest.crashes[0], deaths=(death,)),
                ),
                limits=tuple(
                    dataclasses.replace(n, age_ms=n.age_ms + later_ms)
                    for n in digest.limits
                ),
            )
        )
        # Sums of such an amount would become infinite.
        message.accounts.add(account="acme", spent_tokens=1e308)
        assert decode_digest(message.SerializeToString()) is None

    def test_other_datagrams_are_ignored(self) -> None:
        """Guards against a crash on datagrams from other senders."""
        rng = random.Random(5)
        for _ in range(500):
            decode_digest(rng.randbytes(rng.randrange(60)))
        assert decode_digest(b"") is None


class PeerBookTest(unittest.TestCase):
    """Membership and liveness of instances."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.log = RecordingLog()
        self.registry = PeerRegistry(
            "10.0.0.1", self.clock, self.log, random.Random(1)
        )

    def test_late_digest_does_not_replace_a_newer_one(self) -> None:
        """Guards against reordered digests that restore outdated counts."""
        assert self.registry.accept(dataclasses.replace(DIGEST, sequence=5))
        assert not self.registry.accept(dataclasses.replace(DIGEST, sequence=4))
        # The sequence of a restarted process starts from 0 again.
        assert self.registry.accept(
            dataclasses.replace(DIGEST, incarnation=7, sequence=0)
        )

    def test_peers_of_peers_become_known(self) -> None:
        """Guards against instances that know only the seeds."""
        self.registry.accept(DIGEST)
        assert set(self.registry.list_hosts()) == {"10.0.0.2", "10.0.0.3"}

    def test_silent_peer_is_lost_and_lowers_the_live_share(self) -> None:
        """Guards against a full allowance on each side of a partition."""
        lost_hosts: list[str] = []
        self.registry.accept(dataclasses.replace(DIGEST, known_hosts=()))
        self.registry.check(lost_hosts.append)
        assert self.registry.find_live_share() == 1.0
        self.clock.advance(PEER_TIMEOUT_MS)
        self.registry.check(lost_hosts.append)
        assert lost_hosts == ["10.0.0.2"]
        assert self.registry.find_live_share() == 0.5
        assert self.log.count(Event.PEER_LOST) == 1
        # It may still serve callers on its side of a partition.
        assert self.registry.count_instances() == 2

    def test_unheard_seeds_count_as_instances(self) -> None:
        """Guards against a restart of all that multiplies the shared limits."""
        for host in ("10.0.0.2", "10.0.0.3"):
            self.registry.add_candidate(host)
        assert self.registry.count_instances() == 3
        assert self.registry.find_live_share() == 1 / 3

    def test_seed_that_never_answers_is_forgotten(self) -> None:
        """Guards against reserving a part for an instance that is gone."""
        self.registry.add_candidate("10.0.0.2")
        self.clock.advance(PEER_EXPIRY_MS + 1)
        self.registry.check(lambda host: None)
        assert self.registry.find_live_share() == 1.0

    def test_drained_peer_does_not_lower_the_live_share(self) -> None:
        """Guards against refusals for an allowance that nobody spends."""
        self.registry.accept(
            dataclasses.replace(DIGEST, is_draining=True, known_hosts=())
        )
        self.clock.advance(PEER_TIMEOUT_MS)
        assert self.registry.find_live_share() == 1.0


class PublishedItemsTest(unittest.TestCase):
    """Merging of changes by revision."""

    def test_older_changes_do_not_win(self) -> None:
        """Guards against a stale copy that restores an old value."""
        items = PublishedItems()
        new = Item("a", Position(1, 5), b"new")
        old = Item("a", Position(1, 4), b"old")
        items.merge(_make_changes(5, new, is_whole=True))
        assert not items.merge(_make_changes(4, old)).changed
        items.merge(_make_changes(6, Item("a", Position(1, 6), None)))
        assert not items.merge(_make_changes(5, new)).changed
        assert len(items) == 0
        assert items.position == Position(1, 6)

    def test_whole_copy_removes_what_it_lacks(self) -> None:
        """Guards against keeping removed targets after a compaction.

        Items written after the copy was made are kept.
        """
        items = PublishedItems()
        items.merge(
            _make_changes(
                5,
                Item("a", Position(1, 3), b"x"),
                Item("b", Position(1, 9), b"y"),
            )
        )
        changed = items.merge(_make_changes(6, is_whole=True)).changed
        assert [(item.key, item.value) for item in changed] == [("a", None)]
        assert [item.key for item in items.list_items()] == ["b"]

    def test_peer_that_is_behind_brings_no_removed_key_back(self) -> None:
        """Guards against a target that had left, after a restart.

        A new process asks a peer for all that it knows, and has no tombstones
        of what was removed before its own first copy.
        """
        items = PublishedItems()
        kept = Item("a", Position(1, 3), b"x")
        items.merge(_make_changes(6, kept, is_whole=True))
        left = Item("b", Position(1, 5), b"y")
        behind = _make_changes(5, kept, left, is_whole=True)
        assert not items.merge(behind).changed
        assert list(items.list_items()) == [kept]
        # A target that is listed again has a later revision.
        back = Item("b", Position(1, 7), b"y")
        assert items.merge(_make_changes(7, back)).changed == (back,)

    def test_peer_gets_what_it_lacks(self) -> None:
        """Guards against removals that do not reach a peer."""
        items = PublishedItems()
        items.merge(
            _make_changes(
                2,
                Item("a", Position(1, 1), b"x"),
                Item("b", Position(1, 2), b"y"),
            )
        )
        items.merge(_make_changes(4, Item("a", Position(1, 4), None)))
        peer = PublishedItems()
        peer.merge(
            _make_changes(
                2,
                Item("a", Position(1, 1), b"x"),
                Item("b", Position(1, 2), b"y"),
            )
        )
        peer.merge(items.list_changes(peer.state))
        assert [item.key for item in peer.list_items()] == ["b"]
        new_peer = PublishedItems()
        new_peer.merge(items.list_changes(FeedState()))
        assert [item.key for item in new_peer.list_items()] == ["b"]
        assert new_peer.position == Position(1, 4)

    def test_removal_before_the_first_copy_of_a_peer_is_passed_on(
        self,
    ) -> None:
        """Guards against a target in use that left before a peer started.

        The peer has no tombstone for it.
        """
        behind = PublishedItems()
        gone = Item("a", Position(1, 1), b"x")
        kept = Item("b", Position(1, 2), b"y")
        behind.merge(_make_changes(2, gone, kept, is_whole=True))
        new_peer = PublishedItems()
        new_peer.merge(_make_changes(9, kept, is_whole=True))
        behind.merge(new_peer.list_changes(behind.state))
        assert [item.key for item in behind.list_items()] == ["b"]


class ConfigHolderTest(unittest.TestCase):
    """The active configuration."""

    def test_versions_only_grow(self) -> None:
        """Guards against reverting to an older configuration."""
        holder = ConfigHolder()
        assert holder.offer(CONFIG)
        assert not holder.offer(CONFIG)
        assert not holder.offer(dataclasses.replace(CONFIG, version=2))
        assert holder.config is CONFIG


class FeedTest(unittest.TestCase):
    """Updates of a feed from the store and from peers."""

    def _make_feed(
        self, *results: Result[Changes, StoreError]
    ) -> tuple[Feed, ScriptedReader, list[bool], ManualClock]:
        reader = ScriptedReader(*results)
        reachable_states: list[bool] = []
        clock = ManualClock()
        feed = Feed(
            "op/",
            reader,
            lambda items: None,
            clock,
            RecordingLog(),
            lambda: reachable_states.append(feed.is_store_reachable),
            ReaderRole(random.Random(1)),
            RESTORE_RULES,
        )
        return feed, reader, reachable_states, clock

    def test_lost_history_is_followed_by_a_list(self) -> None:
        """Guards against changes missed when the store compacts its history."""
        self._check_list_after(StoreFailure.COMPACTED)

    def test_history_that_is_too_large_is_followed_by_a_list(self) -> None:
        """Guards against reading the same history again and again."""
        self._check_list_after(StoreFailure.TOO_LARGE)

    def _check_list_after(self, failure: StoreFailure) -> None:
        feed, reader, _, _ = self._make_feed(
            Ok(
                _make_changes(
                    3, Item("op/a", Position(1, 3), b"x"), is_whole=True
                )
            ),
            Err(StoreError(failure)),
            Ok(
                _make_changes(
                    9, Item("op/b", Position(1, 8), b"y"), is_whole=True
                )
            ),
        )

        async def run() -> None:
            with anyio.move_on_after(0.5):
                await feed.run()

        anyio.run(run)
        assert reader.calls == ["list", "watch 3", "list", "watch 9"]
        assert [item.key for item in feed.items.list_items()] == ["op/b"]

    def test_feed_reports_and_survives_an_outage(self) -> None:
        """Guards against a feed that ends at the first failed call."""
        feed, reader, reachable_states, _ = self._make_feed(
            Err(StoreError(StoreFailure.UNREACHABLE)),
            Ok(_make_changes(3, is_whole=True)),
        )

        async def run() -> None:
            with anyio.move_on_after(0.5):
                await feed.run()

        anyio.run(run)
        assert reachable_states == [False, True]
        assert reader.calls == ["list", "list", "watch 3"][: len(reader.calls)]

    def test_peer_is_asked_only_when_the_own_watch_lags(self) -> None:
        """Guards against a call to a peer for each change."""

        async def fetch(host: str, prefix: str, after: FeedState) -> Changes:
            return _make_changes(3)

        feed, _, _, clock = self._make_feed()
        item = Item("op/a", Position(1, 3), b"x")
        feed.merge(_make_changes(3, item, is_whole=True))

        async def ask_at_the_start() -> None:
            feed.note_peer("10.0.0.2", FeedState(Position(1, 3)))
            clock.advance(CATCH_UP_DELAY_MS)
            with anyio.move_on_after(0.1):
                await feed.catch_up(fetch)

        anyio.run(ask_at_the_start)
        feed.note_peer("10.0.0.2", FeedState(Position(1, 4)))
        assert not feed.take_peer_ahead()
        clock.advance(CATCH_UP_DELAY_MS)
        assert feed.take_peer_ahead() == "10.0.0.2"
        feed.note_peer("10.0.0.2", FeedState(Position(1, 5)))
        feed.merge(_make_changes(5, Item("op/a", Position(1, 5), b"y")))
        feed.note_peer("10.0.0.2", FeedState(Position(1, 5)))
        clock.advance(CATCH_UP_DELAY_MS)
        assert not feed.take_peer_ahead()

    def test_feed_without_data_asks_a_peer_at_once(self) -> None:
        """Guards against a slow start while the store is unreachable."""
        feed, _, _, _ = self._make_feed()
        feed.note_peer("10.0.0.2", FeedState(Position(1, 4)))
        assert feed.take_peer_ahead() == "10.0.0.2"
