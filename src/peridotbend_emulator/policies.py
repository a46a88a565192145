"""The policies that are compared, by name."""

import random
from collections.abc import Callable

from peridotbend_emulator.entries import ENTRY_COUNT, PolicyEntry, World
from peridotbend_emulator.instances import SchedulerEntry, Switches
from peridotbend_emulator.proxies import ProxyEntry


def make_proxies(world: World, least_loaded: bool) -> list[PolicyEntry]:
    """Returns the proxies of a baseline."""
    return [ProxyEntry(world, least_loaded, n) for n in range(ENTRY_COUNT)]


def make_schedulers(world: World, switches: Switches) -> list[PolicyEntry]:
    """Returns entry instances that know one another."""
    entries = [SchedulerEntry(world, switches, n) for n in range(ENTRY_COUNT)]
    for entry in entries:
        entry.peers = entries
    return list(entries)


POLICIES: dict[str, Callable[[World], list[PolicyEntry]]] = {
    "round-robin": lambda w: make_proxies(w, least_loaded=False),
    "least-load": lambda w: make_proxies(w, least_loaded=True),
    "peridotbend": lambda w: make_schedulers(w, Switches()),
    "no-affinity": lambda w: make_schedulers(
        w, Switches(prefix_affinity=False)
    ),
    "no-stragglers": lambda w: make_schedulers(
        w, Switches(straggler_handling=False)
    ),
    "local-shares": lambda w: make_schedulers(
        w, Switches(shared_windows=False)
    ),
    "learned-output": lambda w: make_schedulers(w, Switches(learn_output=True)),
}


def pick_entry(rng: random.Random) -> int:
    """Returns the entry that the load balancer sends a request to."""
    return rng.randrange(ENTRY_COUNT)
