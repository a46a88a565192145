"""The scheduling policies that are compared, by name."""

import random
from collections.abc import Callable

from peridotbend_emulator.entries import ENTRY_COUNT, PolicyEntry, World
from peridotbend_emulator.instances import FeatureFlags, SchedulerEntry
from peridotbend_emulator.proxies import ProxyEntry


def make_proxies(world: World, least_loaded: bool) -> list[PolicyEntry]:
    """Returns the proxies of a baseline.

    Args:
        world: what every proxy is given.
        least_loaded: whether the proxies choose the least loaded target rather
            than the next one in turn.
    """
    return [ProxyEntry(world, least_loaded, n) for n in range(ENTRY_COUNT)]


def make_schedulers(world: World, features: FeatureFlags) -> list[PolicyEntry]:
    """Returns entry instances that are peers of each other."""
    entries = [SchedulerEntry(world, features, n) for n in range(ENTRY_COUNT)]
    for entry in entries:
        entry.peers = entries
    return list(entries)


POLICIES: dict[str, Callable[[World], list[PolicyEntry]]] = {
    "round-robin": lambda w: make_proxies(w, least_loaded=False),
    "least-load": lambda w: make_proxies(w, least_loaded=True),
    "peridotbend": lambda w: make_schedulers(w, FeatureFlags()),
    "no-affinity": lambda w: make_schedulers(
        w, FeatureFlags(prefix_affinity=False)
    ),
    "no-stragglers": lambda w: make_schedulers(
        w, FeatureFlags(straggler_handling=False)
    ),
    "local-shares": lambda w: make_schedulers(
        w, FeatureFlags(shared_windows=False)
    ),
    "learned-output": lambda w: make_schedulers(
        w, FeatureFlags(learn_output=True)
    ),
}


def pick_entry(rng: random.Random) -> int:
    """Returns the number of the entry that the load balancer chooses."""
    return rng.randrange(ENTRY_COUNT)
