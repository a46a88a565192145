"""Waits and retries in bursts, in which not all requests can be served."""

import bisect
import dataclasses
import random
from collections.abc import Collection

from peridotbend.domain.clock import Clock
from peridotbend.load.config import Route
from peridotbend.load.windows import SlidingSum

# Maximum wait of a new request for a slot, as a fraction of the response-time
# objective. After that the request is refused, early enough for its caller to
# react.
WAIT_TIMEOUT_SHARE = 0.12
# Lower bound of that wait, for routes with an objective of a few ms: two check
# intervals of the queue.
MIN_WAIT_TIMEOUT_MS = 20
# Maximum wait of a stream that broke midway, as a fraction of the time after
# which its caller abandons it.
RESUME_WAIT_TIMEOUT_SHARE = 0.5
# Maximum wait of a returned request, as a fraction of the objective. Each
# waiting request is compared with all targets at each release, so that waits of
# seconds doubled the processor time of a burst. A quarter of the objective
# refused more requests a second time, and saved 5% of that time.
RETURN_WAIT_SHARE = 1.0
# The same as a fraction of its remaining time; the rest is for its answer.
RETURN_LEFT_SHARE = 0.5
# Retry-After of an instance without observations. 1 s and 3 s made no
# difference in trials; the shorter time leaves more of the caller's deadline.
UNKNOWN_RETRY_MS = 1_000
# Keeps callers that were refused together from retrying simultaneously.
UNKNOWN_RETRY_JITTER = (0.7, 1.3)
# Callers that return sooner meet the same shortage.
MIN_RETRY_MS = 300
# A caller without any time left is told this, as 0 stands for no Retry-After.
LEAST_RETRY_MS = 1
# Upper bound of Retry-After, as a fraction of the time limit of the route and
# of the time that the caller has left, of which it accepts a third.
MAX_RETRY_SHARE = 0.25
MAX_RETRY_LEFT_SHARE = 1 / 3
# While room is short for longer than callers can be sent away, they return in
# the last part of that time, evenly spread.
SPREAD_SHARE = 0.5
# Fraction of the granted slots that returned requests get at least. The load
# outside bursts leaves about this much of the capacity.
RETURN_SHARE = 0.25
# Long enough for a rate of a few grants a second, shorter than a burst.
RATE_WINDOW_MS = 2_000
# For this long, the longest deadlines seen tell how long callers wait at first.
DEADLINE_WINDOW_MS = 10_000
# Longer deadlines than those of this share of the callers tell nothing: a few
# callers that wait for longer would make all others look old. At least half of
# the requests are first attempts, as a caller returns once.
LONGEST_SHARE = 0.1
# Callers may wait longer than the time limit of their route. One that states
# much more would make all others look old.
MAX_DEADLINE_FACTOR = 1.1
# Callers set out with deadlines that differ by some transit time.
MIN_AGE_MS = 100
# A refused request is back after Retry-After and its first wait. One that is
# older states a deadline of its own, and counts as new.
AGE_MARGIN_MS = 1_000
# Bounds memory only.
MAX_RETURNING = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallerTerms:
    """What a request in the queue owes to its caller and its account."""

    # Name of the account; "" if the configuration has none.
    account: str = ""
    # Prompt tokens and ten times the output tokens; None if not stated.
    work: float | None = None
    # How long the caller waits, as it states; None if it does not.
    deadline_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WaitPlan:
    """How long a request waits for a slot, and among which requests."""

    timeout_ms: int
    # Whether the caller returns after a refusal.
    is_returned: bool
    # Time after which the answer can't be on time; 0 if it is too late already.
    on_time_ms: int


def plan_wait(route: Route, age_ms: int, left_ms: int) -> WaitPlan:
    """Returns how long a request waits.

    A returned request is mostly too late already, so that waiting costs it
    nothing, while its caller does not return a second time.

    Args:
        route: the route of the request.
        age_ms: time since the caller's first attempt; 0 if this is the first.
        left_ms: time until the deadline of the caller.
    """
    if not age_ms:
        timeout_ms = round(WAIT_TIMEOUT_SHARE * route.objective_ms)
        return WaitPlan(
            max(MIN_WAIT_TIMEOUT_MS, timeout_ms), False, route.objective_ms
        )
    timeout_ms = min(
        round(RETURN_WAIT_SHARE * route.objective_ms),
        round(RETURN_LEFT_SHARE * left_ms),
    )
    on_time_ms = max(0, route.objective_ms - age_ms)
    return WaitPlan(max(MIN_WAIT_TIMEOUT_MS, timeout_ms), True, on_time_ms)


def plan_resumed_wait(route: Route) -> WaitPlan:
    """Returns how long a stream waits that broke midway."""
    timeout_ms = round(RESUME_WAIT_TIMEOUT_SHARE * route.caller_timeout_ms)
    return WaitPlan(
        max(MIN_WAIT_TIMEOUT_MS, timeout_ms), False, route.objective_ms
    )


def find_plain_retry_ms(route: Route, rng: random.Random) -> int:
    """Returns Retry-After without any observations."""
    wait_ms = min(UNKNOWN_RETRY_MS, MAX_RETRY_SHARE * route.timeout_ms)
    return round(wait_ms * rng.uniform(*UNKNOWN_RETRY_JITTER))


class _Deadlines:
    """How long the callers of a route wait at first."""

    def __init__(self) -> None:
        self._window = 0
        # Number and maximum of the deadlines of each class of `MIN_AGE_MS`, in
        # the current and in the last window.
        self._current: dict[int, tuple[int, int]] = {}
        self._before: dict[int, tuple[int, int]] = {}
        # The classes of both, ascending, and how many deadlines they have.
        self._classes: list[int] = []
        self._total = 0

    def add(self, deadline_ms: int, now_ms: int) -> None:
        """Adds the deadline of one attempt."""
        window = now_ms // DEADLINE_WINDOW_MS
        if window != self._window:
            is_next = window == self._window + 1
            self._before = self._current if is_next else {}
            self._current = {}
            self._window = window
            self._classes = sorted(self._before)
            self._total = sum(count for count, _ in self._before.values())
        key = deadline_ms // MIN_AGE_MS
        if key not in self._current and key not in self._before:
            bisect.insort(self._classes, key)
        count, longest_ms = self._current.get(key, (0, 0))
        self._current[key] = count + 1, max(longest_ms, deadline_ms)
        self._total += 1

    def find_longest_ms(self) -> int:
        """Returns the longest deadline that is not an exception."""
        left = LONGEST_SHARE * self._total
        for key in reversed(self._classes):
            count, longest_ms = self._current.get(key, (0, 0))
            count_before, longest_before_ms = self._before.get(key, (0, 0))
            left -= count + count_before
            if left <= 0:
                return max(longest_ms, longest_before_ms)
        return 0


class _RouteLoad:
    """What one instance has seen of a route lately."""

    def __init__(self, clock: Clock):
        self.arrived = SlidingSum(clock, RATE_WINDOW_MS)
        self.granted = SlidingSum(clock, RATE_WINDOW_MS)
        self.refused = SlidingSum(clock, RATE_WINDOW_MS)
        # Times at which refused callers return, ascending.
        self.returns_at_ms: list[int] = []
        self.deadlines = _Deadlines()


class GrantRates:
    """How many slots a service grants, by the ranks that get them."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._granted: dict[str, dict[tuple[int, int], SlidingSum]] = {}

    def keep_services(self, services: Collection[str]) -> None:
        """Drops what was granted for all other services."""
        self._granted = {
            name: by_rank
            for name, by_rank in self._granted.items()
            if name in services
        }

    def note(self, service: str, rank: tuple[int, int]) -> None:
        """Counts a granted slot."""
        by_rank = self._granted.setdefault(service, {})
        if rank not in by_rank:
            by_rank[rank] = SlidingSum(self._clock, RATE_WINDOW_MS)
        by_rank[rank].add(1)

    def find_per_ms(
        self, service: str, rank: tuple[int, int], ahead: set[tuple[int, int]]
    ) -> float:
        """Returns the rate of slots for a request and those ahead of it.

        They also get what lower ranks were granted lately. A rank that is rare
        was granted few slots although there was room.

        Args:
            service: of the request.
            rank: of the request.
            ahead: the ranks of those ahead.
        """
        granted = sum(
            granted.find()
            for other, granted in self._granted.get(service, {}).items()
            if other >= rank or other in ahead
        )
        return granted / RATE_WINDOW_MS


class ReturnPlanner:
    """Plans when refused callers return, so that they find room.

    Routes are planned for apart, since those of a low rank get slots much later
    than others.
    """

    def __init__(self, clock: Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._loads: dict[str, _RouteLoad] = {}

    def keep_routes(self, routes: Collection[str]) -> None:
        """Drops what was seen of all other routes."""
        self._loads = {
            name: load for name, load in self._loads.items() if name in routes
        }

    def note_arrived(self, route: str) -> None:
        """Counts a request that was not refused before."""
        self._find_load(route).arrived.add(1)

    def note_granted(self, route: str) -> None:
        """Counts a granted slot."""
        self._find_load(route).granted.add(1)

    def note_refused(self, route: str) -> None:
        """Counts a refusal."""
        self._find_load(route).refused.add(1)

    def find_retry_after_ms(
        self,
        route: Route,
        left_ms: int,
        waiting: int = 0,
        is_returned: bool = False,
    ) -> int:
        """Returns after how many ms a refused caller should retry.

        It is the time until the waiting requests and the refused callers that
        are yet to return have got slots, so that each refused caller gets a
        time of its own.

        Args:
            route: the route of the request.
            left_ms: time until the deadline of the caller.
            waiting: requests of the route that wait for a slot.
            is_returned: whether the caller was refused before, after which it
                does not come again.
        """
        longest_ms = max(
            0.0,
            min(
                MAX_RETRY_SHARE * route.timeout_ms,
                MAX_RETRY_LEFT_SHARE * left_ms,
            ),
        )
        load = self._find_load(route.name)
        granted, refused = load.granted.find(), load.refused.find()
        if not granted and refused <= 1:
            plain_ms = find_plain_retry_ms(route, self._rng)
            return self._limit_retry_ms(plain_ms, longest_ms)
        returning = self.count_returning(route.name)
        spare = max(granted - load.arrived.find(), RETURN_SHARE * granted)
        if spare:
            ahead = waiting + returning + 1
            room_ms = MIN_RETRY_MS + ahead * RATE_WINDOW_MS / spare
        else:
            room_ms = longest_ms
        retry_ms = self._limit_retry_ms(room_ms, longest_ms)
        if not is_returned and returning < MAX_RETURNING:
            bisect.insort(load.returns_at_ms, self._clock.now_ms() + retry_ms)
        return retry_ms

    def count_returning(self, route: str) -> int:
        """Returns how many refused callers are yet to return."""
        load = self._loads.get(route)
        if load is None:
            return 0
        past = bisect.bisect_right(load.returns_at_ms, self._clock.now_ms())
        del load.returns_at_ms[:past]
        return len(load.returns_at_ms)

    def find_age_ms(self, route: Route, deadline_ms: int | None) -> int:
        """Returns the time since the first attempt of a caller; 0 if new.

        It is the longest usual deadline seen on the route lately minus that of
        this attempt. A missing or implausible deadline counts as new.
        """
        plausible_ms = MAX_DEADLINE_FACTOR * route.timeout_ms
        if deadline_ms is None or not 0 < deadline_ms <= plausible_ms:
            return 0
        load = self._find_load(route.name)
        load.deadlines.add(deadline_ms, self._clock.now_ms())
        age_ms = load.deadlines.find_longest_ms() - deadline_ms
        max_age_ms = MAX_RETRY_SHARE * route.timeout_ms + AGE_MARGIN_MS
        return age_ms if MIN_AGE_MS <= age_ms <= max_age_ms else 0

    def _limit_retry_ms(self, retry_ms: float, longest_ms: float) -> int:
        """Spreads the callers that can't wait until there is room."""
        if retry_ms >= longest_ms:
            earliest_ms = max((1 - SPREAD_SHARE) * longest_ms, MIN_RETRY_MS)
            retry_ms = self._rng.uniform(
                min(earliest_ms, longest_ms), longest_ms
            )
        return max(LEAST_RETRY_MS, round(retry_ms))

    def describe(self, route: str) -> dict[str, object]:
        """Returns what decides Retry-After, for logs."""
        load = self._loads.get(route)
        granted = load.granted.find() if load else 0.0
        return {
            "returning": self.count_returning(route),
            "granted_per_s": round(1_000 * granted / RATE_WINDOW_MS, 1),
        }

    def _find_load(self, route: str) -> _RouteLoad:
        load = self._loads.get(route)
        if load is None:
            load = self._loads[route] = _RouteLoad(self._clock)
        return load
