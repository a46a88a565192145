"""The queues of all configured services, and which requests to shed."""

from collections.abc import Callable, Iterable, Iterator

from peridotbend.domain.admission import AdmissionQueue
from peridotbend.domain.grants import Waiter
from peridotbend.domain.ordering import QueueOrder
from peridotbend.domain.placement import ServiceGroup, ServiceQueue
from peridotbend.domain.text import FleetConfig, Service
from peridotbend.domain.work import WorkItem

Queue = ServiceQueue[Waiter]
QueueGroup = ServiceGroup[Waiter]


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
        """Returns the queue of a service, if it is configured."""
        return self._by_name.get(service)

    def find_for_item(self, item: WorkItem) -> Queue | None:
        """Returns the queue of an item, if its kind is configured."""
        service_queue = self._by_name.get(item.kind.service)
        if service_queue is None:
            return None
        kinds = service_queue.service.kinds
        return (
            service_queue
            if any(k.name == item.kind.name for k in kinds)
            else None
        )

    def find_group(self, service: str) -> QueueGroup:
        """Returns the group of services that share targets with this one."""
        return self._group_by_service[service]

    def find_group_of_target(self, target: str) -> QueueGroup | None:
        """Returns the group that uses a target, if the target is configured."""
        return self._group_by_target.get(target)

    def find_dependencies(self, service: Service) -> list[Service | None]:
        """Returns all direct and indirect dependencies; None for unknown."""
        found: dict[str, Service | None] = {}
        names = list(service.depends_on)
        while names:
            name = names.pop()
            if name in found:
                continue
            dependency = self.find(name)
            found[name] = dependency.service if dependency else None
            names.extend(dependency.service.depends_on if dependency else ())
        return list(found.values())

    def count(self) -> int:
        """Counts the waiting requests of all services."""
        return sum(len(service_queue.queue) for service_queue in self)

    def find_work(self) -> float:
        """Returns the waiting work of all services."""
        return sum(service_queue.queue.work for service_queue in self)

    def apply_config(self, config: FleetConfig) -> list[Waiter]:
        """Applies a new configuration; returns the requests made obsolete."""
        old = self._by_name
        self._by_name = {
            s.name: self._rebuild_queue(s) for s in config.services
        }
        # Epochs continue from the highest one, so that an epoch stored in an
        # entry is never used again.
        epoch = max((group.epoch for group in self.groups), default=0) + 1
        self.groups = _group_by_targets(self, epoch)
        self._group_by_service = {
            service_queue.service.name: group
            for group in self.groups
            for service_queue in group.queues
        }
        self._group_by_target = {
            target.name: group
            for group in self.groups
            for service_queue in group.queues
            for target in service_queue.service.targets
        }
        return [
            waiter
            for name, service_queue in old.items()
            for waiter in _remove_obsolete(
                service_queue, config.find_service(name)
            )
        ]

    def find_global_victim(self) -> Waiter | None:
        """Returns the request to shed first in the whole process."""
        victims = (service_queue.queue.find_victim() for service_queue in self)
        found = [victim for victim in victims if victim is not None]
        return max(found, key=lambda e: (e.band, e.rank), default=None)

    def may_shed(
        self, service_queue: Queue, victim: Waiter, lowest_served: int | None
    ) -> bool:
        """Tells whether a victim may be shed now.

        `lowest_served` is the lowest tier that the last shares served at the
        service's targets. While a tier below the victim's is served, the
        victim keeps waiting, because room there goes to the higher tier first.
        """
        if not self._order.follows_tiers:
            return True
        tier = victim.item.kind.tier
        group = self.find_group(service_queue.service.name).queues
        if any(max(other.queue.bands(), default=0) > tier for other in group):
            # Lower tiers wait at a service that shares the targets.
            return False
        has_lower = any(
            kind.tier > tier for other in group for kind in other.service.kinds
        )
        return not has_lower or lowest_served is None or lowest_served <= tier

    def _rebuild_queue(self, service: Service) -> Queue:
        old = self._by_name.get(service.name)
        if old is not None:
            return Queue(service, old.queue)
        queue = AdmissionQueue[Waiter](
            self._order, self._find_weight, self._fair_quantum
        )
        return Queue(service, queue)


def _remove_obsolete(
    service_queue: Queue, service: Service | None
) -> list[Waiter]:
    kinds = {kind.name for kind in service.kinds} if service else set()
    targets = {target.name for target in service.targets} if service else set()

    def is_obsolete(waiter: Waiter) -> bool:
        return waiter.item.kind.name not in kinds or targets <= waiter.exclude

    return service_queue.queue.remove_matching(is_obsolete)


def _group_by_targets(
    service_queues: Iterable[Queue], epoch: int
) -> list[QueueGroup]:
    """Groups services that share targets, directly or through others."""
    groups: list[tuple[set[str], list[Queue]]] = []
    for service_queue in service_queues:
        names = {target.name for target in service_queue.service.targets}
        members = [service_queue]
        disjoint = []
        for group_names, group in groups:
            if group_names & names:
                names |= group_names
                members = group + members
            else:
                disjoint.append((group_names, group))
        groups = [*disjoint, (names, members)]
    return [QueueGroup(group, epoch=epoch) for _, group in groups]
