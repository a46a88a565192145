"""Matches waiting requests with targets that have room for them."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

from peridotbend.domain.admission import AdmissionQueue
from peridotbend.domain.candidates import Candidate
from peridotbend.domain.ordering import Entry
from peridotbend.domain.targetuse import Allowance, TargetUses
from peridotbend.domain.text import Service, Target
from peridotbend.domain.work import WorkItem

E = TypeVar("E", bound=Entry)


class RoutingPolicy(Protocol):
    """Chooses targets and learns from what became of the requests there."""

    def choose(
        self, item: WorkItem, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Returns a candidate with room, or None to wait for a better one.

        Candidates without room are listed too; `Candidate.room` is below the
        work of the item and something is in flight there.
        """
        ...

    def can_finish(self, item: WorkItem, target_name: str) -> bool:
        """Tells whether a request can end on a target by its deadline."""
        ...

    def record_dispatch(self, target_name: str, item: WorkItem) -> None:
        """Notes that a request was granted the target."""
        ...

    def record_first_output(
        self, target_name: str, item: WorkItem, elapsed_ms: int
    ) -> None:
        """Notes the time from grant to first output."""
        ...

    def record_finish(
        self,
        target_name: str,
        item: WorkItem,
        output_tokens: int,
        elapsed_ms: int,
    ) -> None:
        """Notes the time from grant to the end of the answer."""
        ...

    def record_failure(
        self, target_name: str, item: WorkItem | None = None
    ) -> None:
        """Notes that the target failed a request."""
        ...

    def record_unsent(self, target_name: str, item: WorkItem) -> None:
        """Notes that a granted request was not written to the target."""
        ...

    def forget(self, target_name: str) -> None:
        """Drops what is known of a target that left the text."""
        ...

    def dump(self) -> object:
        """Returns what the policy knows, for operators."""
        ...


@dataclasses.dataclass(slots=True, eq=False)
class ServiceQueue(Generic[E]):
    """A service and its waiting requests."""

    service: Service
    queue: AdmissionQueue[E]


@dataclasses.dataclass(slots=True, eq=False)
class Group(Generic[E]):
    """Services that share targets, directly or through one another."""

    queues: list[ServiceQueue[E]]
    # Kept between placements: to look them all up for each request would
    # cost more than the placement itself.
    allowances: dict[str, Allowance] = dataclasses.field(default_factory=dict)
    # Whether they must be looked up before the next placement. Without
    # waiting requests nobody needs them.
    is_stale: bool = True
    # Raised when room may have been gained. An entry that no target took in
    # this epoch is not tried again in it.
    epoch: int = 0

    def renew_allowances(self, uses: TargetUses) -> None:
        """Looks up the allowances of all targets of the group."""
        names = {t.name for s in self.queues for t in s.service.targets}
        self.allowances = {name: uses.find_allowance(name) for name in names}
        self.is_stale = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementLimits:
    """How far a placement looks past requests that fit no target yet."""

    max_lookahead: int
    max_passes: int


class Placement(Generic[E]):
    """One pass over the queues of services that share targets.

    A request that fits no window yet holds the target that has the most room
    for it. Lower bands may not use that target. Requests of the same band may
    use it up to `max_passes` times; after that it only drains, so the wait of
    a large request is bounded.
    """

    def __init__(
        self,
        group: Group[E],
        uses: TargetUses,
        router: RoutingPolicy,
        limits: PlacementLimits,
        grant: Callable[[E, Candidate], None],
        give_up: Callable[[E], None],
    ):
        self._group = group
        self._allowances = group.allowances
        self._is_available = uses.is_available
        self._uses = uses.by_name
        self._router = router
        self._limits = limits
        self._grant = grant
        self._give_up = give_up
        # Targets held by an entry that waits for room there.
        self._holders: dict[str, E] = {}
        # Targets that a higher band with unexamined entries may still use.
        self._closed: set[str] = set()

    def run(self) -> None:
        """Grants targets until no waiting request that was examined fits."""
        bands = {band for s in self._group.queues for band in s.queue.bands()}
        for band in sorted(bands):
            if not self._has_room():
                return
            self._place_band(band)

    def _has_room(self) -> bool:
        return any(
            not self._uses[name].grants or self._find_room(name) > 0
            for name in self._allowances
            if name not in self._closed
        )

    def _find_room(self, name: str) -> float:
        return self._allowances[name].work - self._uses[name].in_flight_work

    def _place_band(self, band: int) -> None:
        set_aside: list[tuple[ServiceQueue[E], E]] = []
        while len(set_aside) < self._limits.max_lookahead:
            source = self._find_next(band)
            entry = source.queue.pop(band) if source else None
            if source is None or entry is None:
                break
            if not self._place(source, entry):
                set_aside.append((source, entry))
        self._close_targets(band)
        for source, entry in reversed(set_aside):
            source.queue.restore(entry)

    def _find_next(self, band: int) -> ServiceQueue[E] | None:
        heads = []
        for source in self._group.queues:
            entry = source.queue.peek(band)
            if entry is not None:
                heads.append((entry.rank, source))
        return min(heads, key=lambda head: head[0])[1] if heads else None

    def _place(self, source: ServiceQueue[E], entry: E) -> bool:
        if entry.blocked_epoch == self._group.epoch:
            self._hold_again(source.service, entry)
            return False
        open_names = self._find_open(source.service, entry)
        chosen = None
        if open_names:
            candidates = self._list_candidates(
                source.service, entry, open_names
            )
            chosen = self._router.choose(entry.item, candidates)
        if chosen is not None and not self._router.can_finish(
            entry.item, chosen.target.name
        ):
            if self._is_hopeless(source.service, entry):
                source.queue.restore(entry)
                self._give_up(entry)
                return True
            chosen = None
        if chosen is None or chosen.target.name not in open_names:
            entry.blocked_epoch = self._group.epoch
            entry.held_target = ""
            if not open_names:
                self._hold_target(source.service, entry)
            return False
        holder = self._holders.get(chosen.target.name)
        if holder is not None:
            holder.passes += 1
        source.queue.commit(entry)
        self._grant(entry, chosen)
        return True

    def _is_hopeless(self, service: Service, entry: E) -> bool:
        """True when the entry would end too late on any target."""
        can_finish = self._router.can_finish
        return not any(can_finish(entry.item, t.name) for t in service.targets)

    def _find_open(self, service: Service, entry: E) -> set[str]:
        """Returns the names of the targets that can take the entry."""
        names = {
            target.name
            for target in service.targets
            if self._fits(target.name, entry)
            and self._is_open(target.name, entry)
            and self._is_eligible(target, entry)
        }
        if entry.item.on_trial:
            # A crash on an idle target interrupts no other request.
            idle = {name for name in names if not self._uses[name].grants}
            return idle or names
        return names

    def _list_candidates(
        self, service: Service, entry: E, open_names: set[str]
    ) -> list[Candidate]:
        """Returns the open targets, and the full ones.

        The router weighs waiting for a full target against using an open one.
        A trial takes what it gets.
        """
        found = []
        for target in service.targets:
            use, room = self._uses[target.name], self._find_room(target.name)
            if target.name not in open_names and (
                entry.item.on_trial
                or not use.grants
                or entry.item.work.units <= room
                or not self._is_eligible(target, entry)
            ):
                continue
            if target.name in open_names:
                # An idle target takes more than the share says.
                room = max(room, entry.item.work.units)
            in_flight = use.in_flight_work
            found.append(Candidate(target, room, in_flight, use.trials > 0))
        return found

    def _is_eligible(self, target: Target, entry: E) -> bool:
        """Tells whether the entry may use the target once it has room."""
        if target.name in entry.exclude or not self._is_available(target):
            return False
        return not (entry.item.on_trial and self._uses[target.name].trials)

    def _fits(self, name: str, entry: E) -> bool:
        use, allowance = self._uses[name], self._allowances[name]
        if entry.item.work.units <= allowance.work - use.in_flight_work:
            return True
        if use.grants:
            return False
        # An idle target takes any size, or large requests would never run.
        # A share of nothing because higher tiers use it all is respected.
        lowest = allowance.lowest_tier_served
        tier = entry.item.kind.tier
        return allowance.work > 0 or lowest is None or tier <= lowest

    def _is_open(self, name: str, entry: E) -> bool:
        if name in self._closed:
            return False
        holder = self._holders.get(name)
        if holder is None:
            return True
        within_passes = holder.passes < self._limits.max_passes
        return holder.band == entry.band and within_passes

    def _hold_again(self, service: Service, entry: E) -> None:
        name = entry.held_target
        if name and (name in self._holders or name in self._closed):
            self._hold_target(service, entry)
        elif name:
            self._holders[name] = entry

    def _hold_target(self, service: Service, entry: E) -> None:
        names = [
            target.name
            for target in service.targets
            if target.name not in self._holders
            and target.name not in self._closed
            and self._is_eligible(target, entry)
        ]
        if names:
            entry.held_target = max(names, key=self._find_room)
            self._holders[entry.held_target] = entry

    def _close_targets(self, band: int) -> None:
        """Keeps targets from lower bands while this one has more entries."""
        for source in self._group.queues:
            if source.queue.peek(band) is not None:
                self._closed.update(t.name for t in source.service.targets)
