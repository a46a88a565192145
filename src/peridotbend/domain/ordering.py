"""The order of waiting requests: by tier, fair between accounts."""

import dataclasses
import heapq
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from peridotbend.domain.work import WorkItem

# Between accounts whose weighted service differs by less than this many work
# units, the earliest deadline goes first. Larger values follow deadlines more
# closely, smaller ones share more evenly.
FAIR_QUANTUM_WORK = 8_192.0
# Virtual time is counted in whole parts of a work unit: a charge that is
# returned leaves no rounding behind, which would change the order.
PARTS_PER_UNIT = 1_024
# Spare records in a heap before entries that left are removed from it.
SPARE_RECORDS = 64
# Lanes kept for accounts that have nothing waiting.
MAX_IDLE_LANES = 1_024

Rank = tuple[int, ...]


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
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
    # How often a later request of the same band was sent to the target that
    # this one waits for.
    passes: int = 0
    # Epoch of the group in which no target took it, and the target it held.
    blocked_epoch: int = -1
    held_target: str = ""
    # Virtual time of the lane when this entry was popped.
    virtual_start: int = 0


E = TypeVar("E", bound=Entry)


class QueueOrder(Protocol):
    """Orders waiting requests: by band, fairly by lane, then by rank."""

    # True when bands are tiers, so that shedding has to keep their order.
    follows_tiers: bool

    def find_band(self, item: WorkItem) -> int:
        """Returns the precedence class; the lowest number goes first."""
        ...

    def find_lane(self, item: WorkItem) -> str:
        """Returns the name of the party that shares the band with others."""
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
        self._first: list[tuple[Rank, E]] = []
        self._last: list[tuple[Rank, E]] = []

    def push(self, entry: E) -> None:
        self.count += 1
        heapq.heappush(self._first, (entry.rank, entry))
        negated = tuple(-part for part in entry.rank)
        heapq.heappush(self._last, (negated, entry))

    def restore(self, entry: E) -> None:
        heapq.heappush(self._first, (entry.rank, entry))

    def remove(self) -> None:
        """Counts an entry out whose `waiting` is False already."""
        self.count -= 1
        self._first = _compact(self._first, self.count)
        self._last = _compact(self._last, self.count)

    def first(self) -> E | None:
        return _peek(self._first)

    def last(self) -> E | None:
        return _peek(self._last)

    def pop(self) -> E:
        return heapq.heappop(self._first)[1]


def _peek(heap: list[tuple[Rank, E]]) -> E | None:
    while heap and not heap[0][1].waiting:
        heapq.heappop(heap)
    return heap[0][1] if heap else None


def _compact(heap: list[tuple[Rank, E]], live: int) -> list[tuple[Rank, E]]:
    if len(heap) <= 2 * live + SPARE_RECORDS:
        return heap
    kept = [record for record in heap if record[1].waiting]
    heapq.heapify(kept)
    return kept


class Band(Generic[E]):
    """Start-time fair queueing between the lanes of one band."""

    def __init__(self, find_weight: Callable[[str], int], quantum: float):
        self._find_weight = find_weight
        self._quantum = max(1, int(quantum * PARTS_PER_UNIT))
        self._lanes: dict[str, _Lane[E]] = {}
        # Candidate heads; a record that no longer matches its lane is stale.
        self._heads: list[tuple[int, Rank, str]] = []
        self._virtual_now = 0

    def push(self, entry: E) -> None:
        """Adds an entry to the lane that it names."""
        lane = self._lanes.get(entry.lane)
        if lane is None:
            self._drop_idle_lanes()
            lane = self._lanes[entry.lane] = _Lane(self._virtual_now)
        if lane.count == 0:
            # Time without demand earns no claim on later service.
            lane.virtual_time = max(lane.virtual_time, self._virtual_now)
        lane.push(entry)
        self._record_head(entry.lane)

    def peek(self) -> E | None:
        """Returns the next entry: least served lane, earliest rank."""
        while self._heads:
            record = self._heads[0]
            if record == self._find_head(record[2]):
                return self._lanes[record[2]].first()
            heapq.heappop(self._heads)
        return None

    def pop(self) -> E | None:
        """Takes the first entry out and charges its lane."""
        entry = self.peek()
        if entry is None:
            return None
        lane = self._lanes[entry.lane]
        lane.pop()
        entry.virtual_start = lane.virtual_time
        lane.virtual_time += self._cost(entry)
        self._record_head(entry.lane)
        return entry

    def restore(self, entry: E) -> None:
        """Puts a popped entry back and returns the charge."""
        lane = self._lanes[entry.lane]
        lane.virtual_time -= self._cost(entry)
        lane.restore(entry)
        self._record_head(entry.lane)

    def commit(self, entry: E) -> None:
        """Counts a popped entry as served."""
        self._virtual_now = max(self._virtual_now, entry.virtual_start)

    def remove(self, entry: E) -> None:
        """Counts an entry out whose `waiting` is False already."""
        self._lanes[entry.lane].remove()
        self._record_head(entry.lane)

    def find_victim(self) -> E | None:
        """Returns the latest entry of the lanes that hold their part or more.

        Without regard to parts, an account that floods the queue would have
        every new request of the others shed as the latest one.
        """
        held = {
            name: lane.count / self._find_weight(name)
            for name, lane in self._lanes.items()
            if lane.count
        }
        if not held:
            return None
        total = sum(self._lanes[name].count for name in held)
        weights = sum(self._find_weight(name) for name in held)
        # The lane with the most counts even if rounding puts it below.
        part = min(total / weights, max(held.values()))
        latest = [
            self._lanes[name].last() for name in held if held[name] >= part
        ]
        return max((e for e in latest if e is not None), key=lambda e: e.rank)

    def _cost(self, entry: E) -> int:
        parts = entry.item.work.units * PARTS_PER_UNIT
        # An entry without work still advances the lane.
        return max(1, int(parts / self._find_weight(entry.lane)))

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
        if len(self._heads) > 4 * len(self._lanes) + SPARE_RECORDS:
            heads = [self._find_head(lane) for lane in self._lanes]
            self._heads = [head for head in heads if head is not None]
            heapq.heapify(self._heads)

    def _drop_idle_lanes(self) -> None:
        if len(self._lanes) < MAX_IDLE_LANES:
            return
        self._lanes = {n: lane for n, lane in self._lanes.items() if lane.count}
