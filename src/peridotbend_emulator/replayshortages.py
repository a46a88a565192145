"""Loads, policies and the configuration of replays with accounts."""

import contextlib
import dataclasses
import importlib
from collections.abc import Iterator, Mapping

from peridotbend.edge import config as edge_config
from peridotbend.load.queueing import CallerTerms
from peridotbend_emulator.replayload import Kind

HOST = "replay.example"
SERVICE = "engine"
# Two fifths of the users' first deployment under load, with as many requests
# for each instance and engine.
INSTANCES = 10
SPEEDS = (0.55, 0.7, 0.8, 0.9, 1.0, 1.0, 1.0, 1.1, 1.2, 1.4, 1.8, 2.4)
SLOTS = 9
RATE_SHARE = 0.26
KINDS = (
    Kind("digest", 70.8, 6_670, 55, 819, 15_354, 6.3, 1.9, 0),
    Kind("chat", 49.1, 688, 42, 408, 12_232, 2.0, 0.61, 1),
    Kind("tag", 107.0, 1_860, 3, 509, 3_056, 0.28, 0.08, 2),
)
# The longest pause that the callers of that deployment allow.
GAP_OBJECTIVE_MS = 500
ACCOUNTS = tuple(f"account-{number}" for number in range(10))


def _make_route(kind: Kind) -> edge_config.Route:
    return edge_config.Route(
        name=kind.name,
        host=HOST,
        prefix=f"/{kind.name}/",
        kind=edge_config.RouteKind.STREAM,
        services=(edge_config.WeightedService(SERVICE, 1.0),),
        max_attempts=2,
        timeout_ms=kind.timeout_ms,
        objective_ms=kind.objective_ms,
        gap_objective_ms=GAP_OBJECTIVE_MS,
        rank=kind.rank,
        is_public=False,
        is_generation=True,
        can_resume=True,
    )


ROUTES = {kind.name: _make_route(kind) for kind in KINDS}
CONFIG = edge_config.EdgeConfig(
    version=1,
    routes=tuple(ROUTES.values()),
    accounts=tuple(
        edge_config.Account(name, frozenset([name]), None, 0.0, 0.0, 0.0)
        for name in ACCOUNTS
    ),
    limits=edge_config.CallerLimits(16_384, 4_194_304, 3_000, 15_000),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """A load over time."""

    name: str
    # Start in ms, end in ms, and the factor on the rates in between.
    bursts: tuple[tuple[int, int, float], ...] = ()
    # Start in ms, end in ms, and the factor of the first account only.
    surge: tuple[int, int, float] = (0, 0, 1.0)
    duration_ms: int = 20_000

    def find_factor(self, at_ms: int, account: str) -> float:
        """Returns the factor on the rate of an account."""
        factor = 1.0
        for start_ms, end_ms, burst_factor in self.bursts:
            if start_ms <= at_ms < end_ms:
                factor = burst_factor
        start_ms, end_ms, surge_factor = self.surge
        if account == ACCOUNTS[0] and start_ms <= at_ms < end_ms:
            factor *= surge_factor
        return factor


SHORTAGES = (
    Shortage("calm", duration_ms=10_000),
    Shortage("burst-2.4", ((3_000, 8_000, 2.4),)),
    Shortage("burst-3.5", ((3_000, 7_000, 3.5),)),
    Shortage("sustained", ((0, 20_000, 1.7),)),
    Shortage("surge", surge=(3_000, 13_000, 8.0)),
    Shortage("busy-surge", ((0, 13_000, 1.3),), surge=(3_000, 13_000, 8.0)),
    Shortage("calm-surge", surge=(3_000, 8_000, 3.0), duration_ms=10_000),
)


@dataclasses.dataclass(frozen=True, slots=True)
class ShortagePolicy:
    """Values that replace those of the decision code, by module and name."""

    name: str
    values: Mapping[tuple[str, str], object] = dataclasses.field(
        default_factory=dict
    )


def _hide_terms(request: object) -> CallerTerms:
    """Makes the queue serve requests as those without a token count."""
    return CallerTerms()


_PLAIN = {("edge.relay", "make_terms"): _hide_terms}
SHORTAGE_POLICIES = (
    ShortagePolicy("as-is"),
    ShortagePolicy("plain", _PLAIN),
    ShortagePolicy(
        "plain-wait-0.4",
        {**_PLAIN, ("load.queueing", "WAIT_TIMEOUT_SHARE"): 0.4},
    ),
)


@contextlib.contextmanager
def apply_shortage_policy(policy: ShortagePolicy) -> Iterator[None]:
    """Sets the values of a policy and restores them on exit."""
    with contextlib.ExitStack() as stack:
        for (module_name, name), value in policy.values.items():
            module = importlib.import_module(f"peridotbend.{module_name}")
            stack.callback(setattr, module, name, getattr(module, name))
            setattr(module, name, value)
        yield
