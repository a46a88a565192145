"""Tests of the copies of a store that was restored from an older copy."""

import dataclasses
import random
import unittest
from collections.abc import Callable

import anyio
from result import Err, Ok, Result

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.events import Event
from peridotbend.edge.feeds import Feed, RestoreRules
from peridotbend.edge.ports import StoreError, StoreFailure
from peridotbend.edge.published import (
    Changes,
    FeedState,
    Item,
    Position,
    PublishedItems,
    WriteOrder,
)
from peridotbend.edge.readerrole import ReaderRole
from peridotbend.edge.targets import REMOVAL_GRACE_MS, TargetList
from tests.edgefakes import TARGET, RecordingLog, ScriptedReader

WITHHOLD_MS = 4_800
TARGET_KEY = "servers/i-1"


def make_item(
    key: str,
    era: int,
    revision: int,
    value: bytes | None = b"value",
    order: WriteOrder = (0, 0),
) -> Item:
    """Returns an item."""
    return Item(key, Position(era, revision), value, order)


REMOVAL = make_item(TARGET_KEY, 1, 45, None)


def make_config(era: int, revision: int, version: int) -> Item:
    """Returns a configuration."""
    value = b"version %d" % version
    return make_item("op/config", era, revision, value, (version, 0))


def make_copy(era: int, revision: int, *items: Item) -> Changes:
    """Returns a full copy."""
    return Changes(items, Position(era, revision), is_whole=True)


def make_watched(era: int, revision: int, *items: Item) -> Changes:
    """Returns the result of a watch."""
    return Changes(items, Position(era, revision), is_whole=False)


def list_values(items: PublishedItems) -> dict[str, bytes | None]:
    """Returns the existing values by key."""
    return {item.key: item.value for item in items.list_items()}


class ConfigurationEraTest(unittest.TestCase):
    """Values with versions, which never go back."""

    def setUp(self) -> None:
        """Creates a copy of era 1."""
        self.items = PublishedItems(is_versioned=True)
        self.items.merge(make_copy(1, 50, make_config(1, 50, 16)))

    def test_higher_version_with_a_lower_revision_is_taken(self) -> None:
        """Guards against changes that are dropped after a restore."""
        self.items.merge(make_copy(2, 30, make_config(2, 30, 17)))
        assert list_values(self.items) == {"op/config": b"version 17"}
        assert self.items.state == FeedState(Position(2, 30), 17)

    def test_older_version_of_a_copy_is_not_taken(self) -> None:
        """Guards against a confirmed change that is undone by a restore."""
        outcome = self.items.merge(make_copy(2, 30, make_config(2, 30, 12)))
        assert not outcome.changed
        assert len(outcome.outdated) == 1
        assert not self.items.merge(make_copy(2, 31)).changed
        assert list_values(self.items) == {"op/config": b"version 16"}
        # Time does not make it valid.
        assert not self.items.release_withheld()
        assert self.items.state == FeedState(Position(2, 31), 16)

    def test_version_that_is_written_again_changes_nothing(self) -> None:
        """Guards against applying a configuration twice."""
        self.items.merge(make_copy(2, 30, make_config(2, 30, 12)))
        again = make_watched(2, 31, make_config(2, 31, 16))
        assert not self.items.merge(again).changed
        newer = make_watched(2, 32, make_config(2, 32, 18))
        assert self.items.merge(newer).changed

    def test_new_process_gets_the_version_that_the_store_lost(self) -> None:
        """Guards against a process that starts with an older version."""
        self.items.merge(make_copy(2, 30, make_config(2, 30, 12)))
        process = PublishedItems(is_versioned=True)
        process.merge(make_copy(2, 30, make_config(2, 30, 12)))
        assert process.state.version < self.items.state.version
        process.merge(self.items.list_changes(process.state))
        assert list_values(process) == {"op/config": b"version 16"}

    def test_version_of_an_instance_that_was_cut_off_is_taken(self) -> None:
        """Guards against losing a version that one instance alone has read."""
        cut_off = PublishedItems(is_versioned=True)
        cut_off.merge(make_copy(1, 70, make_config(1, 70, 17)))
        self.items.merge(make_copy(2, 30, make_config(2, 30, 12)))
        assert cut_off.state.position < self.items.state.position
        self.items.merge(cut_off.list_changes(self.items.state))
        assert list_values(self.items) == {"op/config": b"version 17"}
        assert self.items.position == Position(2, 30)


class TargetEraTest(unittest.TestCase):
    """Entries of targets, which their writers keep up."""

    def _make_target(
        self, era: int, revision: int, sequence: int, start: int = 1
    ) -> Item:
        value = b"start %d, %d" % (start, sequence)
        return make_item(TARGET_KEY, era, revision, value, (start, sequence))

    def setUp(self) -> None:
        """Creates a copy with a target that has begun to leave."""
        self.items = PublishedItems()
        self.ready = self._make_target(1, 10, 1)
        self.leaving = self._make_target(1, 40, 32)
        self.items.merge(make_copy(1, 10, self.ready))
        self.items.merge(make_watched(1, 40, self.leaving))

    def test_leaving_target_is_not_ready_again(self) -> None:
        """Guards against sends to a target that leaves, after a restore."""
        copy = make_copy(2, 20, self._make_target(2, 10, 1))
        assert not self.items.merge(copy).changed
        assert list_values(self.items) == {TARGET_KEY: self.leaving.value}
        # The target writes its entry again.
        again = self._make_target(2, 21, 33)
        assert self.items.merge(make_watched(2, 21, again)).changed
        assert not self.items.release_withheld()

    def test_removed_target_does_not_return_with_the_copy(self) -> None:
        """Guards against sends to a target that has left."""
        self.items.merge(
            make_watched(1, 45, make_item(TARGET_KEY, 1, 45, None))
        )
        copy = make_copy(2, 20, self._make_target(2, 10, 1))
        assert not self.items.merge(copy).changed
        assert not len(self.items)
        # Its entry expires in the restored store as well.
        removal = make_item(TARGET_KEY, 2, 25, None)
        assert not self.items.merge(make_watched(2, 25, removal)).changed
        assert not self.items.release_withheld()

    def test_entry_that_a_restored_store_keeps_is_used(self) -> None:
        """Guards against losing a live target whose entry had expired."""
        self.items.merge(
            make_watched(1, 45, make_item(TARGET_KEY, 1, 45, None))
        )
        offered = self._make_target(2, 10, 1)
        self.items.merge(make_copy(2, 20, offered))
        assert self.items.release_withheld() == (offered,)
        assert list_values(self.items) == {TARGET_KEY: offered.value}
        assert not self.items.release_withheld()

    def test_restarted_target_is_used_at_once(self) -> None:
        """Guards against withholding a target that starts under its name."""
        self.items.merge(
            make_watched(1, 45, make_item(TARGET_KEY, 1, 45, None))
        )
        copy = make_copy(2, 20, self._make_target(2, 19, 1, start=2))
        assert self.items.merge(copy).changed

    def test_target_that_the_copy_lacks_returns_when_it_writes(self) -> None:
        """Guards against losing a target that registered in the lost time."""
        changed = self.items.merge(make_copy(2, 20)).changed
        assert [item.value for item in changed] == [None]
        # The same entry as before.
        again = self._make_target(2, 21, 32)
        assert self.items.merge(make_watched(2, 21, again)).changed

    def test_unchanged_targets_are_not_applied_again(self) -> None:
        """Guards against work and log lines for each target of a copy."""
        copy = make_copy(2, 20, self._make_target(2, 15, 32))
        assert not self.items.merge(copy).changed
        assert self.items.position == Position(2, 20)

    def test_peer_of_an_earlier_era_brings_nothing_back(self) -> None:
        """Guards against entries of a peer that missed the restore.

        It has the highest revision of all.
        """
        self.items.merge(make_copy(2, 20))
        peer = PublishedItems()
        peer.merge(make_copy(1, 90, self.leaving, make_item("b", 1, 80)))
        for changes in (
            peer.list_changes(self.items.state),
            peer.list_changes(FeedState()),
        ):
            self.items.merge(changes)
            assert not len(self.items)
            assert self.items.position == Position(2, 20)
        peer.merge(self.items.list_changes(peer.state))
        assert not len(peer)
        assert peer.position == Position(2, 20)

    def test_new_process_learns_what_the_store_has_forgotten(self) -> None:
        """Guards against a process that uses a target which has left."""
        self.items.merge(
            make_watched(1, 45, make_item(TARGET_KEY, 1, 45, None))
        )
        copy = make_copy(2, 20, self._make_target(2, 10, 1))
        self.items.merge(copy)
        for has_listed in (False, True):
            with self.subTest(has_listed=has_listed):
                process = PublishedItems()
                if has_listed:
                    process.merge(copy)
                process.merge(self.items.list_changes(FeedState()))
                assert not len(process)
                assert process.release_withheld()


class MissingTargetTest(unittest.TestCase):
    """Targets whose entries a restored store lacks."""

    def test_target_that_the_copy_lacks_is_used_for_a_while(self) -> None:
        """Guards against a service without targets right after a restore."""
        clock = ManualClock()
        targets = TargetList(clock)
        targets.put(TARGET)
        targets.note_store_restored()
        targets.remove(TARGET.name)
        assert targets.list_for(TARGET.service) == [TARGET]
        clock.advance(REMOVAL_GRACE_MS)
        assert not targets.list_for(TARGET.service)


class FeedEraTest(unittest.TestCase):
    """What a feed reads, and from whom, around a restore."""

    def _make_feed(
        self,
        *results: Result[Changes, StoreError],
        is_versioned: bool = True,
        on_restored: Callable[[], None] = lambda: None,
    ) -> Feed:
        self.reader = ScriptedReader(*results)
        self.log = RecordingLog()
        self.clock = ManualClock()
        self.applied: list[Item] = []
        self.role = ReaderRole(random.Random(1))
        return Feed(
            "op/",
            self.reader,
            self.applied.extend,
            self.clock,
            self.log,
            lambda: None,
            self.role,
            RestoreRules(is_versioned, WITHHOLD_MS, on_restored),
        )

    def _run(self, feed: Feed, duration_s: float = 0.5) -> None:
        async def run() -> None:
            with anyio.move_on_after(duration_s):
                await feed.run()

        anyio.run(run)

    def test_watch_over_a_restore_is_followed_by_a_list(self) -> None:
        """Guards against changes that a watch in a new era passes over.

        The revisions of the new era have passed the one that was watched.
        """
        restores: list[Position] = []
        feed = self._make_feed(
            Ok(make_copy(1, 50, make_config(1, 50, 16))),
            Ok(make_watched(2, 52, make_config(2, 52, 18))),
            Ok(make_copy(2, 52, make_config(2, 52, 18))),
            on_restored=lambda: restores.append(feed.items.position),
        )
        self._run(feed)
        assert self.reader.calls == ["list", "watch 50", "list", "watch 52"]
        assert feed.items.state == FeedState(Position(2, 52), 18)
        # Called before the new era is applied.
        assert restores == [Position(1, 50)]
        assert self.log.count(Event.STORE_RESTORED) == 1

    def test_late_answer_of_an_earlier_era_is_ignored(self) -> None:
        """Guards against an answer that was sent before the restore."""
        feed = self._make_feed(
            Ok(make_copy(2, 30, make_config(2, 30, 17))),
            Ok(make_watched(1, 90, make_config(1, 90, 18))),
        )
        self._run(feed)
        assert feed.items.state == FeedState(Position(2, 30), 17)
        fields = dict(self.log.events)[Event.PLATFORM_UNREACHABLE]
        assert fields["failure"] == StoreFailure.OUTDATED.value

    def test_lost_history_after_each_list_does_not_spin(self) -> None:
        """Guards against lists and watches without any pause."""
        lost: Result[Changes, StoreError] = Err(
            StoreError(StoreFailure.COMPACTED)
        )
        listed: Result[Changes, StoreError] = Ok(
            make_copy(1, 50, make_config(1, 50, 16))
        )
        feed = self._make_feed(*(listed, lost) * 100)
        self._run(feed)
        # Two calls after 0, 100, 300 and 700 ms.
        assert len(self.reader.calls) <= 6

    def test_peer_is_ahead_by_era_or_version(self) -> None:
        """Guards against following a peer that missed the restore."""

        async def fetch(host: str, prefix: str, after: FeedState) -> Changes:
            return make_watched(2, 30)

        feed = self._make_feed()
        feed.merge(make_copy(2, 30, make_config(2, 30, 12)))
        feed.note_peer("10.0.0.2", FeedState(Position(2, 30), 12))

        async def catch_up() -> None:
            with anyio.move_on_after(0.1):
                self.clock.advance(1_000)
                await feed.catch_up(fetch)

        anyio.run(catch_up)
        for state, is_ahead in (
            (FeedState(Position(1, 90), 12), False),
            (FeedState(Position(2, 31), 12), True),
            (FeedState(Position(3, 1), 12), True),
            (FeedState(Position(1, 90), 13), True),
            # Of a version of the program that does not tell eras apart.
            (FeedState(Position(0, 30)), False),
            (FeedState(Position(0, 31)), True),
        ):
            with self.subTest(state=state):
                feed.note_peer("10.0.0.2", state)
                self.clock.advance(1_000)
                assert bool(feed.take_peer_ahead()) is is_ahead

    def test_new_process_asks_a_peer_for_all(self) -> None:
        """Guards against a process that trusts a restored store alone."""
        asked: list[FeedState] = []

        async def fetch(host: str, prefix: str, after: FeedState) -> Changes:
            asked.append(after)
            return make_copy(2, 30, make_config(1, 50, 16))

        feed = self._make_feed()
        feed.merge(make_copy(2, 30, make_config(2, 30, 12)))
        feed.note_peer("10.0.0.2", FeedState(Position(2, 30), 0))

        async def catch_up() -> None:
            with anyio.move_on_after(0.1):
                self.clock.advance(1_000)
                await feed.catch_up(fetch)

        anyio.run(catch_up)
        assert asked == [FeedState()]
        assert feed.items.state.version == 16

    def test_changes_of_a_peer_without_eras_are_placed(self) -> None:
        """Guards against a rolling update that stops the flow of changes."""

        async def fetch(host: str, prefix: str, after: FeedState) -> Changes:
            return make_watched(0, 31, make_config(0, 31, 17))

        feed = self._make_feed()
        feed.merge(make_copy(2, 30, make_config(2, 30, 12)))
        feed.note_peer("10.0.0.2", FeedState(Position(0, 31)))

        async def catch_up() -> None:
            with anyio.move_on_after(0.1):
                self.clock.advance(1_000)
                await feed.catch_up(fetch)

        anyio.run(catch_up)
        assert feed.items.state == FeedState(Position(2, 31), 17)

    def test_withheld_entries_are_released_after_some_time(self) -> None:
        """Guards against entries that are withheld for ever."""
        unchanged: Result[Changes, StoreError] = Ok(
            make_copy(2, 10, make_item("a", 2, 10, order=(1, 1)))
        )
        feed = self._make_feed(unchanged, is_versioned=False)
        feed.merge(make_copy(1, 10, make_item("a", 1, 10, order=(1, 1))))
        feed.merge(make_watched(1, 11, make_item("a", 1, 11, None)))
        feed.merge(make_copy(2, 10, make_item("a", 2, 10, order=(1, 1))))
        feed.release_withheld()
        assert not len(feed.items)
        self.clock.advance(WITHHOLD_MS)
        # Cut off from the store, the feed would not see the entry expire.
        feed.note_peer("10.0.0.2", FeedState(Position(2, 10)))
        feed.release_withheld()
        assert not len(feed.items)
        self._run(feed)
        feed.release_withheld()
        assert list_values(feed.items) == {"a": b"value"}
        assert self.applied[-1].value == b"value"
        assert self.log.count(Event.ENTRY_RELEASED) == 1

    def test_member_of_a_group_releases_withheld_entries(self) -> None:
        """Guards against entries that only instances that read release."""
        feed = self._make_feed(is_versioned=False)
        self.role.assign(False)
        feed.merge(make_copy(1, 10, make_item("a", 1, 10, order=(1, 1))))
        feed.merge(make_watched(1, 11, make_item("a", 1, 11, None)))
        feed.merge(make_copy(2, 10, make_item("a", 2, 10, order=(1, 1))))
        self.clock.advance(WITHHOLD_MS)
        # A relay that is behind says nothing about the entry.
        feed.note_peer("10.0.0.2", FeedState(Position(1, 90)))
        feed.release_withheld()
        assert not len(feed.items)
        feed.merge_fetched("10.0.0.2", make_watched(2, 10))
        feed.note_peer("10.0.0.2", FeedState(Position(2, 10)))
        feed.release_withheld()
        assert list_values(feed.items) == {"a": b"value"}


@dataclasses.dataclass(frozen=True, slots=True)
class _StoreState:
    revision: int
    items: dict[str, Item]


class _RestorableStore:
    """A store with its writers, which notice what a restore has lost."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.era = 1
        self._state = _StoreState(1, {})
        self._copies = [self._state]
        # What the writers want the store to have, with orders that only rise.
        self.wanted: dict[str, tuple[WriteOrder, bytes]] = {}
        self.version = 0
        self._start = 0

    def write_config(self) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        value = b"version %d" % self.version
        self.wanted["op/config"] = (self.version, 0), value
        self.write_again()

    def change_target(self) -> None:
        """Starts a target, lets it write a change, or ends it."""
        key = f"servers/{self._rng.randrange(4)}"
        if key not in self.wanted:
            self._start += 1
            self.wanted[key] = (self._start, 1), b"start %d" % self._start
        elif self._rng.random() < 0.5:
            (start, sequence), _ = self.wanted[key]
            order = (start, sequence + self._rng.randrange(1, 5))
            self.wanted[key] = order, b"%d, %d" % order
        else:
            del self.wanted[key]
        self.write_again()

    def write_again(self) -> None:
        """Lets all writers write what the store does not have."""
        for key in {*self.wanted, *self._state.items}:
            order, value = self.wanted.get(key, ((0, 0), None))
            known = self._state.items.get(key)
            if (known.value if known else None) == value:
                continue
            revision = self._state.revision + 1
            item = Item(key, Position(self.era, revision), value, order)
            self._state = _StoreState(
                revision, {**self._state.items, key: item}
            )
        self._copies.append(self._state)

    def restore(self) -> None:
        """Goes back to one of the last copies."""
        self.era += 1
        self._state = self._rng.choice(self._copies[-6:])
        items = {
            key: dataclasses.replace(
                item, position=Position(self.era, item.position.revision)
            )
            for key, item in self._state.items.items()
        }
        self._state = _StoreState(self._state.revision, items)
        self._copies = [self._state]

    def read(self, prefix: str, items: PublishedItems) -> None:
        """Reads as a feed does: a listing if the era is another one."""
        known = items.position
        position = Position(self.era, self._state.revision)
        stored = [
            item
            for key, item in self._state.items.items()
            if key.startswith(prefix)
        ]
        if not items.is_known or known.era != self.era:
            listed = tuple(item for item in stored if item.value is not None)
            items.merge(Changes(listed, position, is_whole=True))
            return
        newer = tuple(item for item in stored if item.position > known)
        items.merge(Changes(newer, position, is_whole=False))


class RandomRestoreTest(unittest.TestCase):
    """Instances that read, talk, restart and are cut off, in random order."""

    def _check_run(self, seed: int) -> None:
        rng = random.Random(seed)
        store = _RestorableStore(rng)
        store.write_config()
        configs = [PublishedItems(is_versioned=True) for _ in range(4)]
        targets = [PublishedItems() for _ in range(4)]
        # The highest version that each instance had.
        versions = [0] * 4

        def exchange(tables: list[PublishedItems], to: int, of: int) -> None:
            tables[to].merge(tables[of].list_changes(tables[to].state))

        for _ in range(60):
            index, other = rng.sample(range(4), 2)
            step = rng.random()
            if step < 0.15:
                store.write_config()
            elif step < 0.4:
                store.change_target()
            elif step < 0.5:
                store.restore()
            elif step < 0.55:
                store.write_again()
            elif step < 0.6:
                configs[index] = PublishedItems(is_versioned=True)
                targets[index] = PublishedItems()
                versions[index] = 0
            elif step < 0.8:
                store.read("op/", configs[index])
                store.read("servers/", targets[index])
            else:
                exchange(configs, index, other)
                exchange(targets, index, other)
            for number, items in enumerate(configs):
                assert items.state.version >= versions[number], seed
                versions[number] = items.state.version
        # All writers have noticed, all instances read and talk.
        store.write_again()
        for index in range(4):
            store.read("op/", configs[index])
            store.read("servers/", targets[index])
        for index in range(4):
            targets[index].release_withheld()
        for items in configs:
            assert items.state.version == store.version, seed
        wanted = {
            key: value
            for key, (_, value) in store.wanted.items()
            if key.startswith("servers/")
        }
        for items in targets:
            assert list_values(items) == wanted, seed

    def test_versions_never_go_back_and_all_agree_in_the_end(self) -> None:
        """Guards against an order of steps that loses or revives a value."""
        for seed in range(1_000):
            self._check_run(seed)
