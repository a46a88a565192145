"""Target selection by load, health, zone and session affinity."""

import dataclasses
import math
import random
from collections.abc import Callable, Iterable, Mapping

from peridotbend.domain.rendezvous import rank
from peridotbend.edge.brittle import ENGINE_FILL, BrittleTargets
from peridotbend.edge.coldtargets import ColdTargets
from peridotbend.edge.health import FAILURE_SLACK, TargetHealth
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.ratelimits import RateLimits
from peridotbend.edge.targetpauses import TargetPauses
from peridotbend.edge.targets import EdgeTarget
from peridotbend.load.placement import Prompt, find_admissible
from peridotbend.load.work import Estimate, TargetWork, WorkTicket

# Limit for requests on routes of rank 0, the highest, which may use the last
# slots so that they rarely wait.
TOP_RANK_FILL = 1.05
# Limit for targets other than runners. Their requests are short, so a few may
# queue there.
NON_RUNNER_FILL = 2.0
# Subtracted from the cost of the target that probably has the prompt of the
# session cached: it is preferred while its load exceeds that of the least
# loaded target by less than this.
SESSION_AFFINITY_BONUS = 0.15
# Added to the cost of a failing target, so that it ranks behind all others.
FAILING_PENALTY = 10.0
# Breaks ties in favor of the own zone. Traffic between zones costs money, but
# far less than a slot in a batch.
OTHER_ZONE_PENALTY = 0.02
# Weight of the occupied slots where first events are predicted. The prediction
# in objectives has the weight 1, and slots the rest of a stream.
LOAD_WEIGHT = 0.3
# Upper bound of a random amount added to that cost. Many instances with the
# same reports would otherwise choose the same target at once.
SPREAD = 0.3
# Targets that are compared by prediction; a random sample of a larger service.
# The best of so many is close to the best of all.
MAX_COMPARED = 128


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCriteria:
    """The properties of a request that determine its target."""

    service: str
    is_generation: bool
    # Rank of the account, then of the route; lower numbers are served first.
    rank: tuple[int, int]
    # ID of the session. Requests of one session share most of their prompt.
    session: str = ""
    # Names of targets that have already failed the request.
    exclude: frozenset[str] = frozenset()
    # Software version that the target must have; None for any.
    software: str | None = None
    # Whether the process that is listed for the target has to answer.
    needs_listed_run: bool = False
    # What the target has to read first; None if the caller does not tell.
    prompt: Prompt | None = None

    def admits(self, target: EdgeTarget) -> bool:
        """Tells whether a target may serve the request at all."""
        return self.software is None or target.software == self.software

    def make_class(self) -> "TargetCriteria":
        """Returns the same for requests that find room alike.

        The session only affects which of the free targets is chosen.
        """
        prompt = self.prompt and self.prompt.make_class()
        return dataclasses.replace(self, session="", prompt=prompt)


class Selector:
    """Chooses the target with the lowest cost among those below their limit."""

    def __init__(
        self,
        zone: str,
        occupancy: Occupancy,
        health: TargetHealth,
        rate_limits: RateLimits,
        brittle: BrittleTargets,
        cold: ColdTargets,
        pauses: TargetPauses,
        is_replaced: Callable[[EdgeTarget], bool] = lambda target: False,
        work: TargetWork | None = None,
        rng: random.Random | None = None,
        find_paced_limit: Callable[[str, int], float] = lambda *_: math.inf,
    ):
        self._pauses = pauses
        # Returns how many requests a runner may have while it ramps up.
        self._find_paced_limit = find_paced_limit
        # Tells whether another process has the name of a listed target.
        self._is_replaced = is_replaced
        self._brittle = brittle
        self._cold = cold
        self._rate_limits = rate_limits
        self._zone = zone
        self._occupancy = occupancy
        self._health = health
        # Without it, requests are placed by counts.
        self._work = work
        self._rng = rng or random.Random()

    def choose(
        self, criteria: TargetCriteria, targets: Iterable[EdgeTarget]
    ) -> EdgeTarget | None:
        """Returns the best target below its limit, or None if all are full."""
        usable = [
            t
            for t in targets
            if t.name not in criteria.exclude
            and criteria.admits(t)
            and not self._pauses.is_paused(t)
            and not (criteria.needs_listed_run and self._is_replaced(t))
        ]
        healthy = [t for t in usable if not self._health.should_avoid(t.name)]
        # If all of them failed recently, trying one is no worse than waiting.
        candidates = healthy or usable
        if not candidates:
            return None
        if self._counts_work(criteria) and len(candidates) > MAX_COMPARED:
            return self._choose_among_many(criteria, candidates)
        return self._choose_among(criteria, candidates)

    def has_room(
        self, criteria: TargetCriteria, targets: Iterable[EdgeTarget]
    ) -> bool:
        """Tells whether any target is below its limit, whatever the prompt."""
        return any(
            criteria.admits(target) and self._has_room(criteria, target)
            for target in targets
        )

    def _choose_among_many(
        self, criteria: TargetCriteria, candidates: list[EdgeTarget]
    ) -> EdgeTarget | None:
        """Compares only some of the targets; those with room, if need be."""
        chosen = self._choose_among(
            criteria, self._sample(criteria, candidates)
        )
        if chosen is not None:
            return chosen
        with_room = [t for t in candidates if self._has_room(criteria, t)]
        if not with_room:
            return None
        return self._choose_among(criteria, self._sample(criteria, with_room))

    def _sample(
        self, criteria: TargetCriteria, targets: list[EdgeTarget]
    ) -> list[EdgeTarget]:
        """Returns some targets at random, and the one of the session."""
        if len(targets) <= MAX_COMPARED:
            return targets
        sample = self._rng.sample(targets, MAX_COMPARED)
        if criteria.session:
            key = criteria.session.encode()
            session_target = rank(key, targets, lambda t: t.name)[0]
            if session_target not in sample:
                sample.append(session_target)
        return sample

    def _choose_among(
        self, criteria: TargetCriteria, candidates: list[EdgeTarget]
    ) -> EdgeTarget | None:
        """Returns the best of some targets, or None if it has to wait."""
        with_room = [t for t in candidates if self._has_room(criteria, t)]
        if not with_room:
            return None
        estimates = self._estimate(criteria, candidates)
        if estimates is not None and criteria.prompt is not None:
            names = find_admissible(
                criteria.prompt,
                self._health.now_ms,
                estimates,
                dict.fromkeys(target.name for target in with_room),
            )
            if len(names) < len(with_room):
                admissible = set(names)
                with_room = [t for t in with_room if t.name in admissible]
            if not with_room:
                return None
        return min(
            with_room,
            key=self._make_cost_function(criteria, candidates, estimates),
        )

    def start_work(
        self, criteria: TargetCriteria, target: EdgeTarget
    ) -> WorkTicket | None:
        """Counts the prompt of a request; None if it is not counted."""
        if not self._counts_work(criteria):
            return None
        assert self._work is not None and criteria.prompt is not None
        return self._work.start(
            target.name, criteria.prompt.tokens, target.service
        )

    def end_work(self, ticket: WorkTicket | None) -> None:
        """Ends the count of a prompt."""
        if self._work is not None and ticket is not None:
            self._work.end(ticket)

    def find_pause_ms(
        self, criteria: TargetCriteria, targets: Iterable[EdgeTarget]
    ) -> int:
        """Returns after how many ms a target ends its pause; 0 if one has none.

        Targets that have failed the request count as well.
        """
        if not self._pauses:
            return 0
        pauses_ms = (
            self._pauses.find_left_ms(target)
            for target in targets
            if criteria.admits(target)
        )
        return min(pauses_ms, default=0)

    def _has_room(self, criteria: TargetCriteria, target: EdgeTarget) -> bool:
        limit = self._find_limit(criteria, target)
        if criteria.is_generation:
            paced = self._find_paced_limit(target.name, target.slots)
            limit = min(limit, paced)
        if self._occupancy.count(target.name) >= limit:
            return False
        if self._brittle.is_brittle(target.service):
            own = self._occupancy.own.get(target.name, 0)
            is_generation = criteria.is_generation
            if not self._brittle.has_room(target, own, is_generation):
                return False
        return self._cold.has_room(target) and self._rate_limits.has_room(
            target
        )

    def _find_limit(
        self, criteria: TargetCriteria, target: EdgeTarget
    ) -> float:
        if self._brittle.is_brittle(target.service):
            return self._brittle.find_limit(target, criteria.is_generation)
        if not criteria.is_generation:
            return max(1.0, NON_RUNNER_FILL * target.slots)
        fill = TOP_RANK_FILL if criteria.rank[1] <= 0 else ENGINE_FILL
        return max(1.0, fill * target.slots)

    def _counts_work(self, criteria: TargetCriteria) -> bool:
        return (
            self._work is not None
            and criteria.prompt is not None
            and criteria.is_generation
            and self._work.covers(criteria.service)
        )

    def _estimate(
        self, criteria: TargetCriteria, candidates: list[EdgeTarget]
    ) -> Mapping[str, Estimate] | None:
        """Returns when the first event would arrive, by target, if known."""
        if not self._counts_work(criteria):
            return None
        assert self._work is not None and criteria.prompt is not None
        names = [target.name for target in candidates]
        return self._work.estimate(
            criteria.service, names, criteria.prompt.tokens
        )

    def _make_cost_function(
        self,
        criteria: TargetCriteria,
        candidates: list[EdgeTarget],
        estimates: Mapping[str, Estimate] | None,
    ) -> Callable[[EdgeTarget], tuple[float, str]]:
        failure_shares = [
            self._health.find_failure_share(t.name) for t in candidates
        ]
        max_failure_share = min(failure_shares) + FAILURE_SLACK
        paces = {t.name: self._health.find_pace_ms(t.name) for t in candidates}
        measured_paces = [pace for pace in paces.values() if pace]
        mean_pace = (
            sum(measured_paces) / len(measured_paces) if measured_paces else 1.0
        )
        session_target = ""
        if criteria.session:
            key = criteria.session.encode()
            session_target = rank(key, candidates, lambda t: t.name)[0].name

        objective_ms = criteria.prompt.objective_ms if criteria.prompt else 1

        def find_cost(target: EdgeTarget) -> tuple[float, str]:
            cost = (self._occupancy.count(target.name) + 1) / target.slots
            if criteria.is_generation:
                # The speed of runners differs severalfold. The cost of a
                # request is its share of the slots multiplied by the relative
                # time for which it occupies them.
                cost *= (paces[target.name] or mean_pace) / mean_pace
            if estimates is not None:
                cost *= LOAD_WEIGHT
                cost += estimates[target.name].total_ms / objective_ms
                cost += SPREAD * self._rng.random()
            if target.name == session_target:
                cost -= SESSION_AFFINITY_BONUS
            if target.zone != self._zone:
                cost += OTHER_ZONE_PENALTY
            if self._health.find_failure_share(target.name) > max_failure_share:
                cost += FAILING_PENALTY
            return cost, target.name

        return find_cost
