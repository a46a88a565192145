"""The instances of a replay: the edge's decision code without a network."""

import dataclasses
import random

from peridotbend.domain.clock import ManualClock
from peridotbend.edge import config as edge_config
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.parts import make_dependencies
from peridotbend.edge.relay import Relay
from peridotbend.edge.settings import EdgeSettings
from peridotbend_emulator.replayengine import ReplayClient
from peridotbend_emulator.replayload import Deployment, Kind, Policy

HOST = "replay.example"
SERVICE = "engine"


class NullTelemetry:
    """Event log and meter that discard everything."""

    def emit(self, event: object, **fields: object) -> None:
        """Discards a log line."""

    def observe_end(self, kind: str, outcome: str, took_ms: int) -> None:
        """Discards the end of a request."""

    def count_send(self, outcome: str) -> None:
        """Discards a send."""

    def count_broken(self, phase: str, is_draining: bool) -> None:
        """Discards an answer that broke off."""


def _make_route(kind: Kind, gap_objective_ms: int) -> edge_config.Route:
    return edge_config.Route(
        name=kind.name,
        host=HOST,
        prefix=f"/{kind.name}/",
        kind=edge_config.RouteKind.STREAM,
        services=(edge_config.WeightedService(SERVICE, 1.0),),
        max_attempts=2,
        timeout_ms=kind.timeout_ms,
        objective_ms=kind.objective_ms,
        gap_objective_ms=gap_objective_ms,
        rank=kind.rank,
        is_public=True,
        is_generation=True,
        can_resume=True,
    )


def make_config(
    deployment: Deployment, policy: Policy
) -> edge_config.EdgeConfig:
    """Returns the configuration of a deployment under a policy."""
    return edge_config.EdgeConfig(
        version=1,
        routes=tuple(
            _make_route(kind, deployment.gap_objective_ms)
            for kind in deployment.kinds
        ),
        accounts=(),
        limits=edge_config.CallerLimits(16_384, 4_194_304, 3_000, 15_000),
        services=(edge_config.Service(SERVICE, has_engine=policy.predicts),),
    )


_UNUSED_ADDRESS = ("127.0.0.1", 1)
SETTINGS = EdgeSettings(
    name="replay",
    zone="zone-a",
    callers=_UNUSED_ADDRESS,
    health=_UNUSED_ADDRESS,
    peers=_UNUSED_ADDRESS,
    digests=_UNUSED_ADDRESS,
    origins=_UNUSED_ADDRESS,
    seeds=(),
    store=_UNUSED_ADDRESS,
    heartbeat_ms=1_200,
    grace_ms=8_000,
    resend_share=0.2,
    resend_slack=56.0,
    resend_window_ms=10_000,
    allowance_window_ms=8_000,
    allowance_overage=0.25,
    allowance_slack=140_000.0,
)


class ConnectedFleet:
    """A fleet of which every instance hears from all others."""

    def __init__(self, instances: int):
        self._instances = instances

    def count_instances(self) -> int:
        """Returns how many instances there are."""
        return self._instances

    def find_live_share(self) -> float:
        """Returns 1, as no instance is cut off."""
        return 1.0

    def list_recent_hosts(self) -> list[str]:
        """Returns no hosts; the engines name no limits."""
        return []

    def list_possible_hosts(self) -> list[str]:
        """Returns no hosts; the engines are not cold."""
        return []

    def knows_fleet(self) -> bool:
        """Returns true."""
        return True

    def is_informed(self) -> bool:
        """Returns true."""
        return True


class ReplayInstance:
    """The decision code of one instance."""

    def __init__(
        self,
        clock: ManualClock,
        client: ReplayClient,
        number: int,
        config: edge_config.EdgeConfig,
        instances: int,
    ):
        telemetry = NullTelemetry()
        self.dependencies = make_dependencies(
            dataclasses.replace(SETTINGS, peers=(f"replay-{number}", 1)),
            clock,
            client,
            ConnectedFleet(instances),
            telemetry,
            telemetry,
            # A generator of its own, so that a policy does not change the load.
            random.Random(number),
        )
        self.dependencies.holder.offer(config)
        self.relay = Relay(self.dependencies)


def sum_others(table: list[Occupancy]) -> list[dict[int, int]]:
    """Returns what the other instances have, for each one."""
    totals: dict[int, int] = {}
    for occupancy in table:
        for name, amount in occupancy.own.items():
            target = occupancy.find_hash(name)
            totals[target] = totals.get(target, 0) + amount
    views = []
    for occupancy in table:
        view = dict(totals)
        for name, amount in occupancy.own.items():
            view[occupancy.find_hash(name)] -= amount
        views.append(view)
    return views
