"""The queues of all services of the text, and which requests to shed."""

from collections.abc import Callable, Iterable, Iterator

from peridotbend.domain.admission import AdmissionQueue
from peridotbend.domain.grants import Waiter
from peridotbend.domain.ordering import QueueOrder
from peridotbend.domain.placement import Group, ServiceQueue
from peridotbend.domain.text import FleetConfig, Service
from peridotbend.domain.work import WorkItem

Queue = ServiceQueue[Waiter]
QueueGroup = Group[Waiter]


class ServiceQueues:
    """One queue for each service, grouped by the targets they share."""

    def __init__(
        self,
        order: QueueOrder,
        find_weight: Callable[[str], int],
        fair_quantum: float,
    ):
        self._order = order
        self._find_weight = find_weight
        self._fair_quantum = fair_quantum
        self._by_name: dict[str, Queue] = {}
        self.groups: list[QueueGroup] = []
        self._group_by_service: dict[str, QueueGroup] = {}
        self._group_by_target: dict[str, QueueGroup] = {}

    def __iter__(self) -> Iterator[Queue]:
        return iter(self._by_name.values())

    def find(self, service: str) -> Queue | None:
        """Returns the queue of a service, if the text has it."""
        return self._by_name.get(service)

    def find_for(self, item: WorkItem) -> Queue | None:
        """Returns the queue for an item whose kind the text has."""
        source = self._by_name.get(item.kind.service)
        if source is None:
            return None
        kinds = source.service.kinds
        return source if any(k.name == item.kind.name for k in kinds) else None

    def find_group(self, service: str) -> QueueGroup:
        """Returns the services that share targets with this one."""
        return self._group_by_service[service]

    def find_users(self, target: str) -> QueueGroup | None:
        """Returns the services that use a target, if the text lists it."""
        return self._group_by_target.get(target)

    def find_dependencies(self, service: Service) -> list[Service | None]:
        """Returns all it depends on, directly or not; None for unknown."""
        found: dict[str, Service | None] = {}
        names = list(service.depends_on)
        while names:
            name = names.pop()
            if name in found:
                continue
            needed = self.find(name)
            found[name] = needed.service if needed else None
            names.extend(needed.service.depends_on if needed else ())
        return list(found.values())

    def count(self) -> int:
        """Counts the waiting requests of all services."""
        return sum(len(source.queue) for source in self)

    def find_work(self) -> float:
        """Returns the waiting work of all services."""
        return sum(source.queue.work for source in self)

    def apply_text(self, text: FleetConfig) -> list[Waiter]:
        """Follows a text; returns the requests that it leaves no place for."""
        old = self._by_name
        self._by_name = {s.name: self._renew(s) for s in text.services}
        # Epochs go on, so that none that an entry noted comes again.
        epoch = max((group.epoch for group in self.groups), default=0) + 1
        self.groups = _group_by_targets(self, epoch)
        self._group_by_service = {
            source.service.name: group
            for group in self.groups
            for source in group.queues
        }
        self._group_by_target = {
            target.name: group
            for group in self.groups
            for source in group.queues
            for target in source.service.targets
        }
        return [
            waiter
            for name, source in old.items()
            for waiter in _remove_obsolete(source, text.find_service(name))
        ]

    def find_last_victim(self) -> Waiter | None:
        """Returns the request to shed first in the whole process."""
        victims = (source.queue.find_victim() for source in self)
        found = [victim for victim in victims if victim is not None]
        return max(found, key=lambda e: (e.band, e.rank), default=None)

    def may_shed(
        self, source: Queue, victim: Waiter, lowest_served: int | None
    ) -> bool:
        """Tells whether a tier may be shed now.

        `lowest_served` is the lowest tier that the last shares served at the
        service's targets. While a lower tier than the victim's is served,
        the victim waits on; room there goes to the higher tier first.
        """
        if not self._order.follows_tiers:
            return True
        tier = victim.item.kind.tier
        group = self.find_group(source.service.name).queues
        if any(max(other.queue.bands(), default=0) > tier for other in group):
            # A service that shares the targets has lower tiers waiting.
            return False
        has_lower = any(
            kind.tier > tier for other in group for kind in other.service.kinds
        )
        return not has_lower or lowest_served is None or lowest_served <= tier

    def _renew(self, service: Service) -> Queue:
        old = self._by_name.get(service.name)
        if old is not None:
            return Queue(service, old.queue)
        queue = AdmissionQueue[Waiter](
            self._order, self._find_weight, self._fair_quantum
        )
        return Queue(service, queue)


def _remove_obsolete(source: Queue, service: Service | None) -> list[Waiter]:
    kinds = {kind.name for kind in service.kinds} if service else set()
    targets = {target.name for target in service.targets} if service else set()

    def is_obsolete(waiter: Waiter) -> bool:
        return waiter.item.kind.name not in kinds or targets <= waiter.exclude

    return source.queue.remove_matching(is_obsolete)


def _group_by_targets(sources: Iterable[Queue], epoch: int) -> list[QueueGroup]:
    """Puts services together that share targets, also through others."""
    groups: list[tuple[set[str], list[Queue]]] = []
    for source in sources:
        names = {target.name for target in source.service.targets}
        members = [source]
        apart = []
        for group_names, group in groups:
            if group_names & names:
                names |= group_names
                members = group + members
            else:
                apart.append((group_names, group))
        groups = [*apart, (names, members)]
    return [QueueGroup(group, epoch=epoch) for _, group in groups]
