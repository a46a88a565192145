"""Candidate targets of a request and the parameters of the choice."""

import dataclasses
from collections.abc import Callable

from peridotbend.domain.text import Target
from peridotbend.domain.work import WorkItem


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Parameters of target selection that evaluation runs may vary."""

    prefix_affinity: bool = True
    straggler_handling: bool = True
    # Exceeds the 2 ms of a round trip between zones, so that among equal
    # targets those in the local zone are used first.
    zone_penalty_ms: float = 5.0
    # A request in flight that is this many times larger than a new one
    # counts as blocking it.
    blocking_size_ratio: float = 10.0
    # A request waits for a busy target only if it is expected to complete
    # there this many times sooner than on the best target with room.
    min_wait_speedup: float = 2.0
    # Longest wait of a request for a busy target.
    max_wait_ms: int = 1_000


DEFAULT_SETTINGS = RoutingSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An available target and the work that this process may still send it."""

    target: Target
    # Unused work units of this process's share of the window.
    room: float
    # Work units that this process has in flight there.
    in_flight_work: float
    # True while a request suspected of causing crashes runs there.
    has_suspect: bool


def is_idle(candidate: Candidate) -> bool:
    """True when this process has nothing in flight there."""
    return candidate.in_flight_work <= 0


def fits(item: WorkItem, candidate: Candidate) -> bool:
    """True when the request fits the room, or when the target is idle."""
    if candidate.room <= 0:
        return False
    return candidate.room >= item.work.units or is_idle(candidate)


def filter_or_all(
    candidates: list[Candidate], condition: Callable[[Candidate], bool]
) -> list[Candidate]:
    """Returns the candidates that meet the condition, or all if none does."""
    return [c for c in candidates if condition(c)] or candidates
