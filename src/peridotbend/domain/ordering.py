"""Order of waiting requests: by tier, with fair queueing between accounts."""

import dataclasses
import heapq
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from peridotbend.domain.work import WorkItem

# Accounts whose weighted service differs by less than this many work units are
# served by earliest deadline. Larger values follow deadlines more closely,
# smaller ones share more evenly.
FAIR_QUANTUM_WORK = 8_192.0
# Resolution of virtual time. Counting whole ticks makes a refund exact, whereas
# rounding errors would change the order.
VIRTUAL_TICKS_PER_UNIT = 1_024
# Records that a heap may hold beyond a multiple of its live entries before the
# stale ones are removed.
HEAP_SLACK = 64
# Number of lanes from which on lanes without waiting entries are dropped.
LANE_CLEANUP_THRESHOLD = 1_024

Rank = tuple[int, ...]


@dataclasses.dataclass(slots=True, eq=False)
class QueueEntry:
    """A waiting request; `band`, `lane` and `rank` are set by the queue."""

    item: WorkItem
    # Order of arrival within the process.
    seq: int
    exclude: frozenset[str]
    enqueued_at_ms: int
    band: int = 0
    lane: str = ""
    rank: Rank = ()
    waiting: bool = False
    # Number of later requests of the same band that were sent to the target
    # that this one waits for.
    bypass_count: int = 0
    # Epoch of the group in which no target could take the entry, and the name
    # of the target that it held then.
    blocked_epoch: int = -1
    held_target: str = ""
    # Virtual time of the lane when this entry was popped.
    virtual_start: int = 0


E = TypeVar("E", bound=QueueEntry)


class QueueOrder(Protocol):
    """Orders waiting requests by band, fairly between lanes, then by rank."""

    # True when bands are tiers, so that shedding must respect their order.
    follows_tiers: bool

    def find_band(self, item: WorkItem) -> int:
        """Returns the priority class; the lowest number goes first."""
        ...

    def find_lane(self, item: WorkItem) -> str:
        """Returns the key of the flow for fair queueing within the band."""
        ...

    def find_rank(self, item: WorkItem, seq: int) -> Rank:
        """Returns the order within a lane; unique because it ends in `seq`."""
        ...


class DeadlineOrder:
    """Tier first, fair between accounts, earliest deadline first."""

    follows_tiers = True

    def find_band(self, item: WorkItem) -> int:
        """Returns the tier."""
        return item.kind.tier

    def find_lane(self, item: WorkItem) -> str:
        """Returns the client account."""
        return item.account

    def find_rank(self, item: WorkItem, seq: int) -> Rank:
        """Returns the deadline."""
        return (item.deadline_at_ms, seq)


class ArrivalOrder:
    """First come, first served; a full queue drops the latest arrival."""

    follows_tiers = False

    def find_band(self, item: WorkItem) -> int:
        """Puts every request into one band."""
        return 0

    def find_lane(self, item: WorkItem) -> str:
        """Puts every request into one lane."""
        return ""

    def find_rank(self, item: WorkItem, seq: int) -> Rank:
        """Returns the order of arrival."""
        return (seq,)


class _Lane(Generic[E]):
    """The entries of one account in one band."""

    def __init__(self, virtual_time: int):
        self.virtual_time = virtual_time
        self.count = 0
        self._min_heap: list[tuple[Rank, E]] = []
        self._max_heap: list[tuple[Rank, E]] = []

    def push(self, entry: E) -> None:
        self.count += 1
        heapq.heappush(self._min_heap, (entry.rank, entry))
        negated = tuple(-part for part in entry.rank)
        heapq.heappush(self._max_heap, (negated, entry))

    def restore(self, entry: E) -> None:
        heapq.heappush(self._min_heap, (entry.rank, entry))

    def remove(self) -> None:
        """Updates the lane for an entry whose `waiting` is already False."""
        self.count -= 1
        self._min_heap = _compact(self._min_heap, self.count)
        self._max_heap = _compact(self._max_heap, self.count)

    def first(self) -> E | None:
        return _peek(self._min_heap)

    def last(self) -> E | None:
        return _peek(self._max_heap)

    def pop(self) -> E:
        return heapq.heappop(self._min_heap)[1]


def _peek(heap: list[tuple[Rank, E]]) -> E | None:
    while heap and not heap[0][1].waiting:
        heapq.heappop(heap)
    return heap[0][1] if heap else None


def _compact(heap: list[tuple[Rank, E]], live: int) -> list[tuple[Rank, E]]:
    if len(heap) <= 2 * live + HEAP_SLACK:
        return heap
    kept = [record for record in heap if record[1].waiting]
    heapq.heapify(kept)
    return kept


class Band(Generic[E]):
    """Start-time fair queueing between the lanes of one band."""

    def __init__(self, find_weight: Callable[[str], int], quantum: float):
        self._find_weight = find_weight
        self._quantum = max(1, int(quantum * VIRTUAL_TICKS_PER_UNIT))
        self._lanes: dict[str, _Lane[E]] = {}
        # Heap of the lanes' first entries. A record that no longer matches its
        # lane is stale.
        self._heads: list[tuple[int, Rank, str]] = []
        self._virtual_now = 0

    def push(self, entry: E) -> None:
        """Adds an entry to the lane that it names."""
        lane = self._lanes.get(entry.lane)
        if lane is None:
            self._drop_idle_lanes()
            lane = self._lanes[entry.lane] = _Lane(self._virtual_now)
        if lane.count == 0:
            # A lane earns no credit for the time in which it was empty.
            lane.virtual_time = max(lane.virtual_time, self._virtual_now)
        lane.push(entry)
        self._record_head(entry.lane)

    def peek(self) -> E | None:
        """Returns the earliest entry in rank among the least served lanes."""
        while self._heads:
            record = self._heads[0]
            if record == self._find_head(record[2]):
                return self._lanes[record[2]].first()
            heapq.heappop(self._heads)
        return None

    def pop(self) -> E | None:
        """Removes the next entry and charges its lane."""
        entry = self.peek()
        if entry is None:
            return None
        lane = self._lanes[entry.lane]
        lane.pop()
        entry.virtual_start = lane.virtual_time
        lane.virtual_time += self._find_charge(entry)
        self._record_head(entry.lane)
        return entry

    def restore(self, entry: E) -> None:
        """Puts a popped entry back and refunds the charge."""
        lane = self._lanes[entry.lane]
        lane.virtual_time -= self._find_charge(entry)
        lane.restore(entry)
        self._record_head(entry.lane)

    def commit(self, entry: E) -> None:
        """Advances the virtual time for a popped entry that was dispatched."""
        self._virtual_now = max(self._virtual_now, entry.virtual_start)

    def remove(self, entry: E) -> None:
        """Updates the band for an entry whose `waiting` is already False."""
        self._lanes[entry.lane].remove()
        self._record_head(entry.lane)

    def find_victim(self) -> E | None:
        """Returns the last entry of the lanes at or above their fair share.

        If the shares were ignored, an account that floods the queue would
        cause each new request of the others to be shed as the last in order.
        """
        weighted_counts = {
            name: lane.count / self._find_weight(name)
            for name, lane in self._lanes.items()
            if lane.count
        }
        if not weighted_counts:
            return None
        total = sum(self._lanes[name].count for name in weighted_counts)
        weights = sum(self._find_weight(name) for name in weighted_counts)
        # The lane with the largest weighted count always qualifies, even if
        # rounding puts it below the share.
        fair_share = min(total / weights, max(weighted_counts.values()))
        latest = [
            self._lanes[name].last()
            for name in weighted_counts
            if weighted_counts[name] >= fair_share
        ]
        return max((e for e in latest if e is not None), key=lambda e: e.rank)

    def _find_charge(self, entry: E) -> int:
        ticks = entry.item.work.units * VIRTUAL_TICKS_PER_UNIT
        # An entry without work still advances the lane.
        return max(1, int(ticks / self._find_weight(entry.lane)))

    def _find_head(self, name: str) -> tuple[int, Rank, str] | None:
        lane = self._lanes.get(name)
        entry = lane.first() if lane else None
        if lane is None or entry is None:
            return None
        return (lane.virtual_time // self._quantum, entry.rank, name)

    def _record_head(self, name: str) -> None:
        record = self._find_head(name)
        if record is not None:
            heapq.heappush(self._heads, record)
        if len(self._heads) > 4 * len(self._lanes) + HEAP_SLACK:
            heads = [self._find_head(lane) for lane in self._lanes]
            self._heads = [head for head in heads if head is not None]
            heapq.heapify(self._heads)

    def _drop_idle_lanes(self) -> None:
        if len(self._lanes) < LANE_CLEANUP_THRESHOLD:
            return
        self._lanes = {n: lane for n, lane in self._lanes.items() if lane.count}
