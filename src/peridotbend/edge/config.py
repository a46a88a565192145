"""The configuration published by the operators, as immutable objects.

Times are in milliseconds, amounts of work in tokens.
"""

import dataclasses
import enum
import functools

# Callers abandon a stream after a time without an event, also before the first
# one. The timeout is the longest of a fixed time and these multiples of the
# response-time objective and of the gap objective.
CALLER_TIMEOUT_MS = 2_000
CALLER_TIMEOUT_OBJECTIVES = 4
CALLER_TIMEOUT_GAPS = 8


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated or resumed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that serves a weighted share of the requests of a route."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host below one path prefix are served."""

    name: str
    host: str
    # Path prefix; starts and ends with a slash.
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    # Maximum number of sends of one request.
    max_attempts: int
    # Time limit of a request.
    timeout_ms: int
    # Response-time objective; for streams, of the first event.
    objective_ms: int
    # Objective for the longest gap between events of a stream; 0 for none.
    gap_objective_ms: int
    # Requests with the lowest rank number are served first.
    rank: int
    # Whether callers may omit the key.
    is_public: bool
    # Whether the requests are generations, which are sent to runners.
    is_generation: bool
    # Whether a broken stream may be resumed at another target.
    can_resume: bool

    @property
    def caller_timeout_ms(self) -> int:
        """How long callers wait for the next event or a complete answer."""
        if self.kind is not RouteKind.STREAM:
            return self.timeout_ms
        return max(
            CALLER_TIMEOUT_MS,
            CALLER_TIMEOUT_OBJECTIVES * self.objective_ms,
            CALLER_TIMEOUT_GAPS * self.gap_objective_ms,
        )

    @property
    def is_resumable_stream(self) -> bool:
        """Whether the answers are streams that another target may go on."""
        return self.kind is RouteKind.STREAM and self.can_resume

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.can_resume
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """The properties of a service that all its targets share."""

    name: str
    # Requests a second that a cold target takes; None if not bounded.
    cold_per_s: float | None = None
    # How long a target stays cold after its start.
    cold_start_ms: int = 0
    # Whether its targets read prompts, for a time that depends on their length.
    has_engine: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account with its keys and allowance."""

    name: str
    keys: frozenset[str] = dataclasses.field(repr=False)
    # Compared before the rank of the route; None counts as 0.
    rank: int | None
    # Refill rate of the allowance; 0 for no limit.
    tokens_per_s: float
    burst_tokens: float
    # Cost of a request that does not state its token count.
    default_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and the time to send them."""

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
    services: tuple[Service, ...] = ()

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
        """Returns the account to which a key belongs."""
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
