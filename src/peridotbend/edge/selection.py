"""Chooses the target of a request."""

import dataclasses
from collections.abc import Callable, Iterable

from peridotbend.domain.rendezvous import rank
from peridotbend.edge.health import FAILURE_SLACK, TargetHealth
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.targets import EdgeTarget

# Requests of an engine in flight, as a share of its slots. A full batch slows
# each stream in it, and reports of peers are some 50 ms old.
ENGINE_FILL = 0.9
# The highest rank may use the last slots, so that it rarely waits.
TOP_RANK_FILL = 1.05
# Plain targets queue a few requests; their work is short.
PLAIN_FILL = 2.0
# A target that likely holds the prompt of the session may be this much fuller
# than the emptiest one.
SESSION_BONUS = 0.15
# Failing targets rank behind all that do not.
FAILING_PENALTY = 10.0
# Breaks ties: bytes between zones cost, a place in a batch costs far more.
OTHER_ZONE_PENALTY = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a request asks of its target."""

    service: str
    is_generation: bool
    # Of the account, then of the route; the lowest is served first.
    rank: tuple[int, int]
    # Requests with the same session share most of their prompt.
    session: str = ""
    # Targets that failed it already.
    exclude: frozenset[str] = frozenset()


class Selector:
    """Chooses among the targets that have room."""

    def __init__(self, zone: str, occupancy: Occupancy, health: TargetHealth):
        self._zone = zone
        self._occupancy = occupancy
        self._health = health

    def choose(
        self, wish: Wish, targets: Iterable[EdgeTarget]
    ) -> EdgeTarget | None:
        """Returns the best target with room, or None."""
        usable = [t for t in targets if t.name not in wish.exclude]
        sound = [t for t in usable if not self._health.should_avoid(t.name)]
        # When all of them failed lately, waiting is no better than trying.
        candidates = sound or usable
        if not candidates:
            return None
        free = [t for t in candidates if self._has_room(wish, t)]
        if not free:
            return None
        return min(free, key=self._make_cost(wish, candidates))

    def _has_room(self, wish: Wish, target: EdgeTarget) -> bool:
        limit = self._find_limit(wish, target)
        return self._occupancy.count(target.name) < limit

    def _find_limit(self, wish: Wish, target: EdgeTarget) -> float:
        if not wish.is_generation:
            return max(1.0, PLAIN_FILL * target.slots)
        fill = TOP_RANK_FILL if wish.rank[1] <= 0 else ENGINE_FILL
        return max(1.0, fill * target.slots)

    def _make_cost(
        self, wish: Wish, candidates: list[EdgeTarget]
    ) -> Callable[[EdgeTarget], tuple[float, str]]:
        shares = [self._health.find_failure_share(t.name) for t in candidates]
        worst_share = min(shares) + FAILURE_SLACK
        paces = {t.name: self._health.find_pace_ms(t.name) for t in candidates}
        known = [pace for pace in paces.values() if pace]
        mean_pace = sum(known) / len(known) if known else 1.0
        home = ""
        if wish.session:
            key = wish.session.encode()
            home = rank(key, candidates, lambda t: t.name)[0].name

        def find_cost(target: EdgeTarget) -> tuple[float, str]:
            cost = (self._occupancy.count(target.name) + 1) / target.slots
            if wish.is_generation:
                # Engines differ severalfold; what a request costs at one is
                # its share of the slots for as long as it takes there.
                cost *= (paces[target.name] or mean_pace) / mean_pace
            if target.name == home:
                cost -= SESSION_BONUS
            if target.zone != self._zone:
                cost += OTHER_ZONE_PENALTY
            if self._health.find_failure_share(target.name) > worst_share:
                cost += FAILING_PENALTY
            return cost, target.name

        return find_cost
