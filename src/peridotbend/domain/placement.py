"""Matches waiting requests with targets that have room for them."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

from peridotbend.domain.admission import AdmissionQueue
from peridotbend.domain.candidates import Candidate
from peridotbend.domain.ordering import QueueEntry
from peridotbend.domain.targetuse import Allowance, TargetUses
from peridotbend.domain.text import Service, Target
from peridotbend.domain.work import WorkItem

E = TypeVar("E", bound=QueueEntry)


class RoutingPolicy(Protocol):
    """Chooses targets and learns from the outcomes of requests."""

    def choose(
        self, item: WorkItem, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Returns a candidate with room, or None to wait for a better one.

        `candidates` includes full targets: they have work in flight, and their
        `Candidate.room` is less than the work of the item.
        """
        ...

    def can_finish(self, item: WorkItem, target_name: str) -> bool:
        """Tells whether a target can complete a request by its deadline."""
        ...

    def record_dispatch(self, target_name: str, item: WorkItem) -> None:
        """Records that a request was granted the target."""
        ...

    def record_first_output(
        self, target_name: str, item: WorkItem, elapsed_ms: int
    ) -> None:
        """Records the time from grant to first output."""
        ...

    def record_finish(
        self,
        target_name: str,
        item: WorkItem,
        output_tokens: int,
        elapsed_ms: int,
    ) -> None:
        """Records the time from grant to the end of the answer."""
        ...

    def record_failure(
        self, target_name: str, item: WorkItem | None = None
    ) -> None:
        """Records that the target failed a request."""
        ...

    def record_unsent(self, target_name: str, item: WorkItem) -> None:
        """Records that a granted request was not written to the target."""
        ...

    def forget(self, target_name: str) -> None:
        """Drops the state of a target removed from the configuration."""
        ...

    def dump(self) -> object:
        """Returns the state of the policy for operators."""
        ...


@dataclasses.dataclass(slots=True, eq=False)
class ServiceQueue(Generic[E]):
    """A service and its waiting requests."""

    service: Service
    queue: AdmissionQueue[E]


@dataclasses.dataclass(slots=True, eq=False)
class ServiceGroup(Generic[E]):
    """Services that share targets, directly or through one another."""

    queues: list[ServiceQueue[E]]
    # Cached between placements, because looking them all up for each request
    # would cost more than the placement itself.
    allowances: dict[str, Allowance] = dataclasses.field(default_factory=dict)
    # True when the allowances have to be looked up again. This is put off
    # until requests wait, because nothing else uses them.
    needs_refresh: bool = True
    # Incremented whenever targets may have gained room. An entry that no
    # target could take is not tried again in the same epoch.
    epoch: int = 0

    def refresh_allowances(self, uses: TargetUses) -> None:
        """Looks up the allowances of all targets of the group."""
        names = {t.name for s in self.queues for t in s.service.targets}
        self.allowances = {name: uses.find_allowance(name) for name in names}
        self.needs_refresh = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementLimits:
    """Bounds on skipping requests that fit no target yet."""

    max_lookahead: int
    max_bypasses: int


class Placement(Generic[E]):
    """One pass over the queues of services that share targets.

    A request that fits no window yet holds the eligible target with the most
    room. Lower bands may not use that target. Later requests of the same band
    may use it up to `max_bypasses` times. After that the target only drains,
    which bounds the wait of a large request.
    """

    def __init__(
        self,
        group: ServiceGroup[E],
        uses: TargetUses,
        router: RoutingPolicy,
        limits: PlacementLimits,
        grant: Callable[[E, Candidate], None],
        reject: Callable[[E], None],
    ):
        self._group = group
        self._allowances = group.allowances
        self._is_available = uses.is_available
        self._uses = uses.by_name
        self._router = router
        self._limits = limits
        self._grant = grant
        self._reject = reject
        # The entry that waits for room on each held target.
        self._holders: dict[str, E] = {}
        # Targets that lower bands may not use because a higher band still has
        # unexamined entries for them.
        self._closed: set[str] = set()

    def run(self) -> None:
        """Grants targets until none of the examined requests fits."""
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
            service_queue = self._find_next(band)
            entry = service_queue.queue.pop(band) if service_queue else None
            if service_queue is None or entry is None:
                break
            if not self._place_entry(service_queue, entry):
                set_aside.append((service_queue, entry))
        self._close_targets(band)
        for service_queue, entry in reversed(set_aside):
            service_queue.queue.restore(entry)

    def _find_next(self, band: int) -> ServiceQueue[E] | None:
        heads = []
        for service_queue in self._group.queues:
            entry = service_queue.queue.peek(band)
            if entry is not None:
                heads.append((entry.rank, service_queue))
        return min(heads, key=lambda head: head[0])[1] if heads else None

    def _place_entry(self, service_queue: ServiceQueue[E], entry: E) -> bool:
        if entry.blocked_epoch == self._group.epoch:
            self._renew_hold(service_queue.service, entry)
            return False
        open_names = self._find_open_targets(service_queue.service, entry)
        chosen = None
        if open_names:
            candidates = self._list_candidates(
                service_queue.service, entry, open_names
            )
            chosen = self._router.choose(entry.item, candidates)
        if chosen is not None and not self._router.can_finish(
            entry.item, chosen.target.name
        ):
            if self._misses_deadline_everywhere(service_queue.service, entry):
                service_queue.queue.restore(entry)
                self._reject(entry)
                return True
            chosen = None
        if chosen is None or chosen.target.name not in open_names:
            entry.blocked_epoch = self._group.epoch
            entry.held_target = ""
            if not open_names:
                self._hold_target(service_queue.service, entry)
            return False
        holder = self._holders.get(chosen.target.name)
        if holder is not None:
            holder.bypass_count += 1
        service_queue.queue.commit(entry)
        self._grant(entry, chosen)
        return True

    def _misses_deadline_everywhere(self, service: Service, entry: E) -> bool:
        """True when no target can complete the entry by its deadline."""
        can_finish = self._router.can_finish
        return not any(can_finish(entry.item, t.name) for t in service.targets)

    def _find_open_targets(self, service: Service, entry: E) -> set[str]:
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
        """Returns the open targets, and the eligible ones that are full.

        The router compares waiting for a full target with using an open one.
        A request on trial is offered open targets only.
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
                # An idle target accepts requests larger than its share.
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
        # An idle target accepts any size, because large requests would never
        # run otherwise. A share of zero that is due to the demand of higher
        # tiers is respected.
        lowest = allowance.lowest_tier_served
        tier = entry.item.kind.tier
        return allowance.work > 0 or lowest is None or tier <= lowest

    def _is_open(self, name: str, entry: E) -> bool:
        if name in self._closed:
            return False
        holder = self._holders.get(name)
        if holder is None:
            return True
        may_bypass = holder.bypass_count < self._limits.max_bypasses
        return holder.band == entry.band and may_bypass

    def _renew_hold(self, service: Service, entry: E) -> None:
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
        """Closes targets to lower bands while this one has more entries."""
        for service_queue in self._group.queues:
            if service_queue.queue.peek(band) is not None:
                self._closed.update(
                    t.name for t in service_queue.service.targets
                )
