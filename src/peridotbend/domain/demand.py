"""What a process wants of each target, as it tells the dividers."""

import itertools
from collections.abc import Iterable

from peridotbend.domain.servicequeues import ServiceQueues
from peridotbend.domain.targetuse import TargetUses


def find_active_targets(uses: TargetUses, queues: ServiceQueues) -> set[str]:
    """Returns the targets with work in flight or waiting.

    Most targets of a large fleet have none from one process.
    """
    active = {name for name, use in uses.by_name.items() if use.work_by_tier}
    for source in queues:
        if len(source.queue):
            available = uses.find_available(source.service)
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
    for source in queues:
        if not len(source.queue):
            continue
        available = uses.find_available(source.service)
        for target, tier in itertools.product(available, range(tiers)):
            part = source.queue.find_work(tier) / len(available)
            demand[target.name][tier] += part
    return {name: tuple(work) for name, work in demand.items()}
