"""The waiting requests of one service and which of them to shed."""

import heapq
from collections import defaultdict
from collections.abc import Callable
from typing import Generic, TypeVar

from peridotbend.domain.ordering import (
    FAIR_QUANTUM_WORK,
    HEAP_SLACK,
    Band,
    QueueEntry,
    QueueOrder,
)

E = TypeVar("E", bound=QueueEntry)


class AdmissionQueue(Generic[E]):
    """Waiting requests of one service.

    A dispatch pops an entry and either commits it or restores it, so that a
    caller can look past entries that fit no target yet. Each operation costs
    O(log n) in the number of waiting requests; finding a victim also costs
    O(accounts).
    """

    def __init__(
        self,
        order: QueueOrder,
        find_weight: Callable[[str], int] = lambda account: 1,
        fair_quantum: float = FAIR_QUANTUM_WORK,
    ):
        self._order = order
        self._find_weight = find_weight
        self._fair_quantum = fair_quantum
        self._bands: dict[int, Band[E]] = {}
        self._count_by_band: dict[int, int] = defaultdict(int)
        self._deadlines: list[tuple[int, int, E]] = []
        self._count = 0
        self._work_by_tier: dict[int, float] = defaultdict(float)

    def __len__(self) -> int:
        return self._count

    def bands(self) -> list[int]:
        """Returns the bands with waiting requests, in order of priority."""
        return sorted(b for b, count in self._count_by_band.items() if count)

    @property
    def work(self) -> float:
        """Total waiting work, in work units."""
        return sum(self._work_by_tier.values())

    def find_work(self, tier: int) -> float:
        """Returns the waiting work of a tier, in work units."""
        return self._work_by_tier[tier]

    def push(self, entry: E) -> None:
        """Adds an entry; the caller has to shed if a bound is exceeded."""
        entry.band = self._order.find_band(entry.item)
        entry.lane = self._order.find_lane(entry.item)
        entry.rank = self._order.find_rank(entry.item, entry.seq)
        entry.waiting = True
        self._count += 1
        self._count_by_band[entry.band] += 1
        self._work_by_tier[entry.item.kind.tier] += entry.item.work.units
        if entry.band not in self._bands:
            self._bands[entry.band] = Band(
                self._find_weight, self._fair_quantum
            )
        self._bands[entry.band].push(entry)
        deadline = (entry.item.deadline_at_ms, entry.seq, entry)
        heapq.heappush(self._deadlines, deadline)

    def peek(self, band: int) -> E | None:
        """Returns the entry of the band that is next in order."""
        return self._bands[band].peek() if band in self._bands else None

    def pop(self, band: int) -> E | None:
        """Removes the next entry; `commit` or `restore` has to follow."""
        return self._bands[band].pop() if band in self._bands else None

    def restore(self, entry: E) -> None:
        """Puts a popped entry back in its place."""
        self._bands[entry.band].restore(entry)

    def commit(self, entry: E) -> None:
        """Removes a popped entry that was dispatched."""
        self._bands[entry.band].commit(entry)
        self.remove(entry)

    def remove(self, entry: E) -> None:
        """Removes an entry, popped or not; a second call has no effect."""
        if not entry.waiting:
            return
        entry.waiting = False
        self._count -= 1
        self._count_by_band[entry.band] -= 1
        tier = entry.item.kind.tier
        self._work_by_tier[tier] -= entry.item.work.units
        if self._count == 0:
            # Discards accumulated rounding errors.
            self._work_by_tier.clear()
        self._bands[entry.band].remove(entry)
        self._compact_deadlines()

    def find_victim(self) -> E | None:
        """Returns the entry to shed first.

        It belongs to the last band present, i.e. the lowest tier, and has the
        latest deadline among the accounts that hold at least their weighted
        share of that band.
        """
        bands = self.bands()
        return self._bands[bands[-1]].find_victim() if bands else None

    def remove_expired(self, now_ms: int) -> list[E]:
        """Removes and returns the entries whose deadline has passed."""
        expired = []
        while self._deadlines and (
            self._deadlines[0][0] <= now_ms or not self._deadlines[0][2].waiting
        ):
            entry = heapq.heappop(self._deadlines)[2]
            if entry.waiting:
                self.remove(entry)
                expired.append(entry)
        return expired

    def remove_matching(self, is_obsolete: Callable[[E], bool]) -> list[E]:
        """Removes and returns the entries for which `is_obsolete` is true."""
        waiting = [e for _, _, e in self._deadlines if e.waiting]
        obsolete = [entry for entry in waiting if is_obsolete(entry)]
        for entry in obsolete:
            self.remove(entry)
        return obsolete

    def _compact_deadlines(self) -> None:
        if len(self._deadlines) > 2 * self._count + HEAP_SLACK:
            self._deadlines = [d for d in self._deadlines if d[2].waiting]
            heapq.heapify(self._deadlines)
