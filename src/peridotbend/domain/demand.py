"""Demand of this process for each target, as reported to the dividers."""

import itertools
from collections.abc import Iterable

from peridotbend.domain.servicequeues import ServiceQueues
from peridotbend.domain.targetuse import TargetUses


def find_active_targets(uses: TargetUses, queues: ServiceQueues) -> set[str]:
    """Returns the targets with work in flight or waiting.

    In a large fleet, one process has none for most targets.
    """
    active = {name for name, use in uses.by_name.items() if use.work_by_tier}
    for service_queue in queues:
        if len(service_queue.queue):
            available = uses.find_available(service_queue.service)
            active.update(target.name for target in available)
    return active


def sum_demand(
    uses: TargetUses, queues: ServiceQueues, tiers: int, names: Iterable[str]
) -> dict[str, tuple[float, ...]]:
    """Returns the work by tier for the named targets.

    Waiting work is spread evenly over the available targets of its service.
    """
    demand = {
        name: [
            uses.by_name[name].work_by_tier.get(t, 0.0) for t in range(tiers)
        ]
        for name in names
    }
    for service_queue in queues:
        if not len(service_queue.queue):
            continue
        available = uses.find_available(service_queue.service)
        for target, tier in itertools.product(available, range(tiers)):
            work_per_target = service_queue.queue.find_work(tier) / len(
                available
            )
            demand[target.name][tier] += work_per_target
    return {name: tuple(work) for name, work in demand.items()}
