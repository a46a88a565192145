"""Builders and fakes for the tests of admission and scheduling."""

from collections.abc import Sequence
from typing import Any
from unittest import mock

from peridotbend.domain.candidates import Candidate
from peridotbend.domain.scheduler import RoutingPolicy
from peridotbend.domain.text import (
    ClientAccount,
    EngineType,
    FleetConfig,
    Kind,
    Service,
    Target,
)
from peridotbend.domain.work import WorkEstimate, WorkItem

TIERS = ("quotes", "answers", "tags")


def make_kind(tier: int, service: str = "model") -> Kind:
    """Returns a request kind that is named after its tier."""
    path = "/v1/chat/completions"
    sizes = (10_000, 1_000, 1_000, 60_000)
    return Kind(TIERS[tier], service, "POST", path, "", tier, True, *sizes)


def make_item(
    key: str,
    tier: int = 0,
    units: int = 100,
    account: str = "acme",
    deadline_at_ms: int = 1_010_000,
    on_trial: bool = False,
    service: str = "model",
) -> WorkItem:
    """Returns a request with a deadline 10 s after the start of ManualClock."""
    work = WorkEstimate(units, 0)
    kind = make_kind(tier, service)
    return WorkItem(key, kind, account, work, deadline_at_ms, on_trial)


def make_service(
    name: str = "model",
    targets: Sequence[str] = ("t1",),
    window: int = 1_000,
    max_queue: int = 100,
    tiers: Sequence[int] = (0, 1, 2),
    depends_on: tuple[str, ...] = (),
) -> Service:
    """Returns a service whose targets have a fixed window."""
    return Service(
        name=name,
        engine=EngineType.MODEL,
        depends_on=depends_on,
        kinds=tuple(make_kind(tier, name) for tier in tiers),
        targets=tuple(Target(t, name, "z1", "127.0.0.1", 1) for t in targets),
        initial_window=window,
        min_window=window,
        max_window=window,
        max_queue=max_queue,
    )


def make_config(
    *services: Service, clients: Sequence[ClientAccount] = ()
) -> FleetConfig:
    """Returns a configuration with these services."""
    return FleetConfig(1, TIERS, tuple(clients), services)


class FakeView:
    """View of the fleet in which only the targets in `down` are unavailable."""

    def __init__(self) -> None:
        self.down: set[str] = set()
        self.peers = 1

    def is_available(self, target: Target) -> bool:
        """Tells whether the target is not down."""
        return target.name not in self.down

    def count_live_peers(self) -> int:
        """Returns the number of live processes, which is `peers`."""
        return self.peers

    @property
    def zone(self) -> str:
        """Returns the zone of this process."""
        return "z1"


def make_router(declined: set[str]) -> Any:
    """Returns a router that chooses the target with the most room.

    It returns None for a request whose key is in `declined`.
    """

    def choose(
        item: WorkItem, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        if item.key in declined:
            return None
        return max(candidates, key=lambda c: (c.room, c.target.name))

    router = mock.create_autospec(RoutingPolicy, instance=True)
    router.choose.side_effect = choose
    return router
