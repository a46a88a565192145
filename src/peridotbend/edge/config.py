"""The configuration that the operators publish, decoded and frozen.

Times are in milliseconds, amounts of work in tokens.
"""

import dataclasses
import enum
import functools

# Callers abandon a stream after the longest of these without an event, also
# before the first: a fixed time, and multiples of the two objectives.
CALLER_TIMEOUT_MS = 2_000
CALLER_TIMEOUT_OBJECTIVES = 4
CALLER_TIMEOUT_GAPS = 8


class RouteKind(enum.Enum):
    """What may be repeated about the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path, and how they are served."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    # Targets that one request may be sent to.
    max_attempts: int
    # How long a request may take; it is ended then.
    timeout_ms: int
    # Response-time objective; for streams up to the first event.
    objective_ms: int
    # Longest pause between events of a stream that is still on time; 0: none.
    gap_objective_ms: int
    # 0 is served first.
    rank: int
    # Whether callers need no key.
    is_public: bool
    # Whether the requests are generations of a model engine.
    is_generation: bool
    # Whether a broken stream may go on at another target.
    can_resume: bool

    @property
    def caller_timeout_ms(self) -> int:
        """How long callers wait for the next event, or a whole answer."""
        if self.kind is not RouteKind.STREAM:
            return self.timeout_ms
        return max(
            CALLER_TIMEOUT_MS,
            CALLER_TIMEOUT_OBJECTIVES * self.objective_ms,
            CALLER_TIMEOUT_GAPS * self.gap_objective_ms,
        )

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.kind is RouteKind.STREAM:
            return self.can_resume
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account with its keys and its allowance."""

    name: str
    keys: frozenset[str] = dataclasses.field(repr=False)
    # Goes before the rank of the route; None leaves the route's.
    rank: int | None
    # 0 means no limit.
    tokens_per_s: float
    burst_tokens: float
    # What a request counts that does not tell its tokens.
    default_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True)
class EdgeConfig:
    """One published version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    accounts: tuple[Account, ...]
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix of the path."""
        by_prefix = self._routes_by_host.get(host.lower())
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_account(self, key: str) -> Account | None:
        """Returns the account that holds a key."""
        return self._accounts_by_key.get(key)

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, dict[str, Route]]:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            prefixes = by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
        return by_host

    @functools.cached_property
    def _accounts_by_key(self) -> dict[str, Account]:
        return {
            key: account for account in self.accounts for key in account.keys
        }
