"""Targets that a request may be sent to, and what decides among them."""

import dataclasses
from collections.abc import Callable

from peridotbend.domain.text import Target
from peridotbend.domain.work import WorkItem


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """What an experiment may change."""

    prefix_affinity: bool = True
    straggler_handling: bool = True
    # Above the 2 ms of a round trip between zones, so that equal targets
    # are used in the own zone first.
    zone_penalty_ms: float = 5.0
    # A request this many times larger blocks a shorter one.
    long_ratio: float = 10.0
    # A busy target must be expected to end this many times earlier than
    # the best free one before a request waits for it, and only so long.
    wait_gain: float = 2.0
    max_wait_ms: int = 1_000


DEFAULT_SETTINGS = RoutingSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A live target and what this process may still send to it."""

    target: Target
    # Work units left in this process's share of the window.
    room: float
    # Work units that this process has in flight there.
    in_flight_work: float
    # True while a suspected request runs there.
    has_suspect: bool


def is_idle(candidate: Candidate) -> bool:
    """True when this process has nothing in flight there."""
    return candidate.in_flight_work <= 0


def fits(item: WorkItem, candidate: Candidate) -> bool:
    """True when the window admits the request, or any if it is idle."""
    if candidate.room <= 0:
        return False
    return candidate.room >= item.work.units or is_idle(candidate)


def prefer(
    candidates: list[Candidate], condition: Callable[[Candidate], bool]
) -> list[Candidate]:
    """Returns the candidates that meet the condition, or else all."""
    return [c for c in candidates if condition(c)] or candidates
