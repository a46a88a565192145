"""A copy of the keys that the platform publishes, merged by revision.

Instances forward changes to each other, so an instance that cannot reach the
platform stays up to date as long as it can reach a peer that does.
"""

import dataclasses
from collections.abc import Iterable

# Maximum number of tombstones, which are sent to peers that lack the removal. A
# peer that is further behind gets a full copy.
MAX_TOMBSTONES = 2_048


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key as of its last change; a value of None marks its removal."""

    key: str
    revision: int
    value: bytes | None = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """All changes after a given revision, up to `revision`."""

    items: tuple[Item, ...]
    revision: int
    # Whether this is a full copy: keys that are not included do not exist.
    is_whole: bool
    # How many times the store was restored from an older copy; 0 if unknown.
    era: int = 0


class PublishedItems:
    """The latest known state of the keys below one prefix."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._tombstones: dict[str, Item] = {}
        self._compacted_revision = 0
        # All changes up to this revision are known; 0 before the first copy.
        self.revision = 0

    def __len__(self) -> int:
        return len(self._items)

    def merge(self, changes: Changes) -> list[Item]:
        """Merges newer items, and returns the items that changed."""
        changed = [item for item in changes.items if self._merge_item(item)]
        if changes.is_whole:
            listed = {item.key for item in changes.items}
            for key, known in list(self._items.items()):
                if key in listed or known.revision > changes.revision:
                    continue
                removal = Item(key, changes.revision, None)
                if self._merge_item(removal):
                    changed.append(removal)
        self.revision = max(self.revision, changes.revision)
        return changed

    def find_outdated(self, changes: Changes) -> list[tuple[Item, Item]]:
        """Returns items that are older than the known ones, with those."""
        pairs = []
        for item in changes.items:
            known = self._find(item.key)
            if known is not None and known.revision > item.revision:
                pairs.append((item, known))
        return pairs

    def list_changes(self, after: int) -> Changes:
        """Returns the changes for a peer that is at revision `after`."""
        if after < self._compacted_revision or after == 0:
            items = tuple(self._items.values())
            return Changes(items, self.revision, is_whole=True)
        newer = [
            item
            for table in (self._items, self._tombstones)
            for item in table.values()
            if item.revision > after
        ]
        return Changes(tuple(newer), self.revision, is_whole=False)

    def list_items(self) -> Iterable[Item]:
        """Returns the existing items, without tombstones."""
        return self._items.values()

    def _find(self, key: str) -> Item | None:
        return self._items.get(key) or self._tombstones.get(key)

    def _merge_item(self, item: Item) -> bool:
        known = self._find(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self._items.pop(item.key, None)
        self._tombstones.pop(item.key, None)
        if item.value is not None:
            self._items[item.key] = item
            return True
        self._tombstones[item.key] = item
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = self._tombstones.pop(next(iter(self._tombstones)))
            self._compacted_revision = max(
                self._compacted_revision, oldest.revision
            )
        return known is not None and known.value is not None
