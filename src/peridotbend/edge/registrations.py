"""When targets registered, as far as their entries in the store tell."""

import bisect
import itertools
from collections.abc import Callable, Iterable

from result import Result

from peridotbend.edge.published import Item
from peridotbend.edge.targets import EdgeTarget

# A target registers this long after its start at the latest, while the store
# responds.
REGISTER_MS = 500
# Before any time that a clock gives.
_ALWAYS_MS = -(2**62)


class Registrations:
    """The changes of the store that the starts of targets date.

    The creation of an entry is dated by the start of its target. An entry that
    expired while its target lived is created once more, long after that start,
    and then dates nothing.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], Result[EdgeTarget, str]],
        find_start: Callable[[EdgeTarget], int | None],
        items: Iterable[Item],
    ):
        """Dates the creations of entries.

        Args:
            decode: decodes the entry of a key.
            find_start: returns when a target started, in the time of this
                process; None if it doesn't say so.
            items: entries, as of any of their changes.
        """
        # The latest time of the creation of each entry, by its revision.
        self._latest_ms: dict[int, int] = {}
        starts: list[tuple[int, int]] = []
        created: list[tuple[int, int]] = []
        for item in items:
            target = item.value and decode(item.key, item.value).ok()
            start_ms = find_start(target) if target else None
            if not target or start_ms is None:
                continue
            starts.append((item.position.revision, start_ms))
            if item.created and not target.is_leaving:
                created.append((item.created, start_ms))
        starts.sort()
        revisions = [revision for revision, _ in starts]
        # The latest start that an entry up to each revision names. The change
        # with that revision came after it.
        latest_starts_ms = list(
            itertools.accumulate((start_ms for _, start_ms in starts), max)
        )
        for revision, start_ms in created:
            latest_ms = start_ms + REGISTER_MS
            count = bisect.bisect_right(revisions, revision)
            if not count or latest_starts_ms[count - 1] <= latest_ms:
                known_ms = self._latest_ms.get(revision, latest_ms)
                self._latest_ms[revision] = min(known_ms, latest_ms)

    def find_latest(self, item: Item) -> int | None:
        """Returns when a change happened at the latest; None if not dated."""
        if item.created != item.position.revision:
            return None
        return self._latest_ms.get(item.created)

    def find_covered_since(self, after: int) -> int | None:
        """Returns since when all changes are known; None if nothing tells.

        Args:
            after: the revision after which they are known.
        """
        if not after:
            return _ALWAYS_MS
        return min(
            (
                latest_ms
                for revision, latest_ms in self._latest_ms.items()
                if revision >= after
            ),
            default=None,
        )
