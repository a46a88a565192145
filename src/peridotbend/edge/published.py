"""A copy of the keys that the platform publishes, merged by position.

Instances forward changes to each other, so an instance that cannot reach the
platform stays up to date as long as it can reach a peer that does.

A store that is restored from an older copy loses its last changes and begins a
new era, in which it gives revisions out again. Writers notice and write again,
but until then the copy offers entries that were replaced or removed. Between
eras, the order of a key is therefore the one that its writer gives the values.
"""

import dataclasses
from collections.abc import Iterable

# Maximum number of tombstones, which are sent to peers that lack the removal. A
# peer that is further behind gets a full copy.
MAX_TOMBSTONES = 2_048

# What the writer of a key counts itself, which no restore sets back: the
# version of a configuration, or start and sequence of a target.
WriteOrder = tuple[int, int]
UNORDERED: WriteOrder = (0, 0)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A point in the history of the store; the default is before the start."""

    # How many times the store was restored; 0 if it does not say so.
    era: int = 0
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key as of its last change; a value of None marks its removal."""

    key: str
    position: Position
    value: bytes | None = dataclasses.field(repr=False)
    # For a removal, that of the removed value.
    order: WriteOrder = UNORDERED
    # Revision at which the key was created; 0 if not told. Peers don't tell it.
    created: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """All changes after a given position, up to `position`."""

    items: tuple[Item, ...]
    position: Position
    # Whether this is a full copy: keys that are not included do not exist.
    is_whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FeedState:
    """How far an instance knows the keys below one prefix."""

    position: Position = Position()
    # The highest version among the values, if they have versions.
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MergeOutcome:
    """What a merge did."""

    # Items that replaced another one, or that are new.
    changed: tuple[Item, ...]
    # Items that were ignored as older, each with the known one.
    outdated: tuple[tuple[Item, Item], ...]


class PublishedItems:
    """The latest known state of the keys below one prefix."""

    def __init__(self, is_versioned: bool = False) -> None:
        """Creates an empty copy.

        Args:
            is_versioned: whether the values have versions that must never go
                back, whatever a restored store offers.
        """
        self._is_versioned = is_versioned
        self._items: dict[str, Item] = {}
        self._tombstones: dict[str, Item] = {}
        # What a restored store offers although its writer has replaced or
        # removed it.
        self._withheld: dict[str, Item] = {}
        # Removals after this position are known as tombstones.
        self._compacted = Position()
        # All changes up to this position are known.
        self.position = Position()

    def __len__(self) -> int:
        return len(self._items)

    @property
    def is_known(self) -> bool:
        """Whether a first copy has arrived."""
        return self.position.revision > 0

    @property
    def has_withheld(self) -> bool:
        """Whether entries of a restored store are withheld."""
        return bool(self._withheld)

    @property
    def state(self) -> FeedState:
        """How far the keys are known, for peers."""
        version = 0
        if self._is_versioned:
            orders = (item.order[0] for item in self._items.values())
            version = max(orders, default=0)
        return FeedState(self.position, version)

    def merge(self, changes: Changes) -> MergeOutcome:
        """Merges changes."""
        changed = []
        outdated = []
        for item in changes.items:
            known = self._find(item.key)
            if self._is_forgotten(item, known):
                continue
            if known is None and self._is_removed(item):
                continue
            if known is None or self._supersedes(item, known):
                if self._take(item, known):
                    changed.append(item)
            elif item != known:
                self._withhold(item, known)
                outdated.append((item, known))
        # A copy of an earlier era knows nothing of what a restore has removed.
        if changes.is_whole and changes.position.era >= self.position.era:
            changed += self._remove_unlisted(changes)
            # A copy does not show which other keys were removed before it.
            self._compacted = max(self._compacted, changes.position)
        self.position = max(self.position, changes.position)
        return MergeOutcome(tuple(changed), tuple(outdated))

    def release_withheld(self) -> tuple[Item, ...]:
        """Takes over what a restored store still offers; returns the changes.

        An entry whose writer is gone does not last. One that the store still
        has after some time is kept up by its writer.
        """
        released = tuple(self._withheld.values())
        for item in released:
            self._store(item)
        return released

    def list_changes(self, after: FeedState) -> Changes:
        """Returns the changes for a peer that is at the state `after`."""
        position = after.position
        if (
            not position.revision
            or position.era != self.position.era
            or position < self._compacted
        ):
            # What a restored store has forgotten comes first, so that it is
            # known when the entries that it offers are merged.
            kept = [
                t
                for t in self._tombstones.values()
                if self._is_of_earlier_era(t)
            ]
            items = (
                *kept,
                *self._items.values(),
                *self._withheld.values(),
            )
            return Changes(items, self.position, is_whole=True)
        newer = [
            item
            for table in (self._items, self._tombstones)
            for item in table.values()
            if item.position > position
            or (self._is_versioned and item.order[0] > after.version)
        ]
        return Changes(tuple(newer), self.position, is_whole=False)

    def list_items(self) -> Iterable[Item]:
        """Returns the existing items, without tombstones."""
        return self._items.values()

    def _find(self, key: str) -> Item | None:
        return self._items.get(key) or self._tombstones.get(key)

    def _is_of_earlier_era(self, item: Item) -> bool:
        """Tells whether an item is of an era before the current one."""
        return item.position.era < self.position.era

    def _has_version(self, *items: Item) -> bool:
        """Tells whether the value of a key has a version.

        Beside versioned values, a prefix may have some without.
        """
        return self._is_versioned and any(item.order[0] for item in items)

    def _is_forgotten(self, item: Item, known: Item | None) -> bool:
        """Tells whether a peer offers what the restored store did not have."""
        is_missing = known is None or known.value is None
        return (
            is_missing
            and item.value is not None
            and self._is_of_earlier_era(item)
            and not self._has_version(item)
        )

    def _is_removed(self, item: Item) -> bool:
        """Tells whether a peer offers what a full copy no longer had."""
        return (
            item.value is not None
            and item.position.era == self._compacted.era
            and item.position <= self._compacted
            and not self._has_version(item)
        )

    def _take(self, item: Item, known: Item | None) -> bool:
        """Takes over an item; tells whether the value of its key changes."""
        if known is None:
            self._store(item)
            return item.value is not None
        if item.value is None:
            order = max(item.order, known.order)
            item = dataclasses.replace(item, order=order)
        self._store(item)
        # A removal that a peer remembers, of what the store offers.
        self._withhold(known, item)
        return item.value != known.value

    def _withhold(self, item: Item, known: Item) -> None:
        """Keeps an entry that a restored store offers, without using it."""
        is_offered = item.position.era > known.position.era
        is_versioned = self._has_version(item, known)
        if is_offered and item.value is not None and not is_versioned:
            self._withheld[item.key] = item

    def _supersedes(self, item: Item, known: Item) -> bool:
        """Tells whether an item is newer than what is known of its key."""
        if item.position.era == known.position.era:
            return item.position > known.position
        later = max(item, known, key=lambda one: one.position)
        is_versioned = self._has_version(item, known)
        if later.value is None and not is_versioned:
            # A removal in a later era is not a memory of the copy.
            return later is item
        if item.value is None and is_versioned:
            return False
        rank = (item.order, item.value is None)
        known_rank = (known.order, known.value is None)
        if rank != known_rank:
            return rank > known_rank
        return item.position > known.position

    def _store(self, item: Item) -> None:
        self._items.pop(item.key, None)
        self._tombstones.pop(item.key, None)
        self._withheld.pop(item.key, None)
        if item.value is not None:
            self._items[item.key] = item
            return
        self._tombstones[item.key] = item
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = self._tombstones.pop(next(iter(self._tombstones)))
            self._compacted = max(self._compacted, oldest.position)

    def _remove_unlisted(self, changes: Changes) -> list[Item]:
        """Removes the keys that a full copy lacks; returns the removals."""
        listed = {item.key for item in changes.items if item.value is not None}
        removals = []
        for key in [key for key in self._withheld if key not in listed]:
            if self._withheld[key].position <= changes.position:
                del self._withheld[key]
        for known in list(self._items.values()):
            if known.key in listed or known.position > changes.position:
                continue
            removal = Item(known.key, changes.position, None)
            if self._supersedes(removal, known):
                self._take(removal, known)
                removals.append(removal)
        return removals
