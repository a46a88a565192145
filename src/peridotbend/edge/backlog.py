"""Queue of requests that wait for a slot at a target."""

import collections
import dataclasses
import itertools
import random
from collections.abc import Iterable

import anyio
from result import Err, Ok, Result

from peridotbend.domain.clock import Clock
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.edge.brittle import ENGINE_FILL, BrittleTargets
from peridotbend.edge.coldtargets import ColdTargets
from peridotbend.edge.config import Account, Route
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.ratelimits import RateLimits
from peridotbend.edge.selection import (
    NON_RUNNER_FILL,
    TOP_RANK_FILL,
    Selector,
    TargetCriteria,
)
from peridotbend.edge.slots import RESUME_RANK, Slot, Waiter
from peridotbend.edge.targets import EdgeTarget, TargetList
from peridotbend.load.precedence import (
    Precedence,
    Shortages,
)
from peridotbend.load.queueing import (
    CallerTerms,
    GrantRates,
    ReturnPlanner,
    find_plain_retry_ms,
    plan_resumed_wait,
    plan_wait,
)
from peridotbend.load.shares import FairShares

# Shortest and longest interval of the checks for expired requests, reports of
# other instances and targets that are available again. Reports come every 50 or
# 100 ms; releases at this instance are granted at once.
CHECK_INTERVAL_MS = 10
MAX_CHECK_INTERVAL_MS = 25
# Bounds memory only. No more than a few hundred requests can get a slot within
# their maximum wait.
MAX_WAITING = 2_000
# Work of a request that states no token count, to compare accounts by.
PLAIN_WORK = 1.0
NO_TERMS = CallerTerms()


class Backlog:
    """Grants slots to waiting requests.

    The lowest rank number goes first, then accounts within their share, then
    requests that can be on time, then the account with the lowest use, then
    the order of arrival.
    """

    def __init__(
        self,
        clock: Clock,
        targets: TargetList,
        occupancy: Occupancy,
        rate_limits: RateLimits,
        brittle: BrittleTargets,
        cold: ColdTargets,
        selector: Selector,
        rng: random.Random,
    ):
        self._clock = clock
        self._targets = targets
        self._occupancy = occupancy
        self._rate_limits = rate_limits
        self._brittle = brittle
        self._cold = cold
        self._selector = selector
        self._rng = rng
        self._sequence = itertools.count()
        self._waiting: dict[str, list[Waiter]] = {}
        self._planner = ReturnPlanner(clock, rng)
        self._rates = GrantRates(clock)
        # By service and rank, as accounts compete within a rank.
        self._shares: dict[tuple[str, tuple[int, int]], FairShares] = {}
        self._weights: dict[str, float] = {}
        self._shortages: dict[str, Shortages] = {}
        # When each service was last checked, and the reports known then.
        self._checked: dict[str, tuple[int, int]] = {}
        self._has_waiting = anyio.Event()

    def count_waiting(self, service: str) -> int:
        """Returns the number of waiting requests of a service."""
        return len(self._waiting.get(service, ()))

    def count_all(self) -> int:
        """Returns the number of waiting requests of all services."""
        return sum(len(queue) for queue in self._waiting.values())

    def try_acquire(self, criteria: TargetCriteria) -> Slot | None:
        """Returns a slot that is free now, or None."""
        targets = self._targets.list_for(criteria.service)
        target = self._selector.choose(criteria, targets)
        return self._make_slot(criteria, target) if target else None

    def apply_accounts(self, accounts: Iterable[Account]) -> None:
        """Weighs accounts by their allowances; equally if one has none."""
        rates = {account.name: account.tokens_per_s for account in accounts}
        self._weights = rates if all(rates.values()) else {}
        for shares in self._shares.values():
            shares.apply_weights(self._weights)

    def apply_routes(self, routes: Iterable[Route]) -> None:
        """Drops what is kept of routes and services that were removed.

        Requests of removed ones that still wait are refused in their time.
        """
        routes = tuple(routes)
        services = {share.name for r in routes for share in r.services}
        services.update(name for name, queue in self._waiting.items() if queue)
        self._planner.keep_routes({route.name for route in routes})
        self._rates.keep_services(services)
        self._shares = {
            key: shares
            for key, shares in self._shares.items()
            if key[0] in services
        }
        for by_service in (self._waiting, self._shortages, self._checked):
            for name in by_service.keys() - services:
                del by_service[name]

    def dump(self) -> dict[str, dict[str, object]]:
        """Returns the recent use of each account, by service and rank."""
        return {
            f"{service} {rank[0]}.{rank[1]}": {
                account: {
                    "work": round(work),
                    "is_over": shares.is_over_share(account),
                }
                for account, work in shares.list_use().items()
            }
            for (service, rank), shares in self._shares.items()
        }

    def describe(self, service: str, route: str) -> dict[str, object]:
        """Returns the state behind a refusal, for logs."""
        return {
            "waiting": self.count_waiting(service),
            **self._planner.describe(route),
        }

    def find_age_ms(self, route: Route, deadline_ms: int | None) -> int:
        """Returns the time since the first attempt of a caller; 0 if new."""
        return self._planner.find_age_ms(route, deadline_ms)

    async def acquire(
        self,
        criteria: TargetCriteria,
        route: Route,
        end_at_ms: int,
        is_resumed: bool = False,
        terms: CallerTerms = NO_TERMS,
    ) -> Result[Slot, NotRun]:
        """Waits for a slot.

        Cancellation removes the request from the queue, or frees its slot.

        Args:
            criteria: determines the target.
            route: the route of the request, with its objective and the
                timeout of its caller.
            end_at_ms: latest time until which to wait.
            is_resumed: whether the caller already has a part of the answer.
            terms: account, work and deadline of the request.
        """
        now_ms = self._clock.now_ms()
        if is_resumed:
            plan = plan_resumed_wait(route)
            criteria = dataclasses.replace(criteria, rank=RESUME_RANK)
        else:
            age_ms = 0
            if terms.work is not None:
                age_ms = self._planner.find_age_ms(route, terms.deadline_ms)
            plan = plan_wait(route, age_ms, end_at_ms - now_ms)
        waiter = Waiter(
            criteria,
            route,
            terms,
            plan,
            next(self._sequence),
            now_ms,
            min(end_at_ms, now_ms + plan.timeout_ms),
            end_at_ms,
        )
        queue = self._waiting.setdefault(criteria.service, [])
        if len(queue) >= MAX_WAITING and not self._make_place(waiter):
            waiting = _count_by_route(queue)[route.name]
            retry_after_ms = self._plan_return(waiter, waiting)
            return Err(NotRun(Reason.AT_CAPACITY, retry_after_ms))
        self._note_arrived(waiter)
        queue.append(waiter)
        self.grant_slots(criteria.service)
        if waiter.result is None and self._is_hopeless(waiter):
            self._waiting[criteria.service].remove(waiter)
            self._refuse([waiter], self._targets.list_for(criteria.service))
        try:
            if waiter.result is None:
                self._has_waiting.set()
                await waiter.done.wait()
        except BaseException:
            self._cancel(waiter)
            raise
        assert waiter.result is not None
        return waiter.result

    def _make_place(self, waiter: Waiter) -> bool:
        """Refuses the last of a full queue for a request that goes before it.

        Returns:
            whether there is a place now.
        """
        queue = self._waiting[waiter.criteria.service]
        now_ms = self._clock.now_ms()
        # Each request is put in order as it arrives.
        last = queue[-1]
        if self._find_order(waiter, now_ms) > self._find_order(last, now_ms):
            return False
        queue.pop()
        self._refuse([last], self._targets.list_for(waiter.criteria.service))
        return True

    def grant_slots(self, service: str) -> None:
        """Grants free slots to the waiting requests of a service."""
        queue = self._waiting.get(service)
        if not queue:
            return
        now_ms = self._clock.now_ms()
        self._checked[service] = now_ms, self._occupancy.reports_version
        queue.sort(key=lambda waiter: self._find_order(waiter, now_ms))
        targets = self._targets.list_for(service)
        is_evacuated = self._targets.is_evacuated(service)
        still_waiting: list[Waiter] = []
        refused: list[Waiter] = []
        # Criteria for which all targets are full. Within this call slots are
        # only taken, so other requests with the same criteria would find none.
        full_for: set[TargetCriteria] = set()
        # The same without regard to the prompt.
        without_room: set[TargetCriteria] = set()
        # Groups of requests that leave the last room to others.
        leaving: set[Precedence] = set()
        for waiter in queue:
            target = None
            if (
                waiter.criteria_class not in full_for
                and waiter.kind not in without_room
                and not self._must_leave_room(waiter, targets, leaving)
            ):
                target = self._selector.choose(waiter.criteria, targets)
                if target is None:
                    full_for.add(waiter.criteria_class)
                    if not self._selector.has_room(waiter.criteria, targets):
                        without_room.add(waiter.kind)
            if target is not None and waiter.wait_until_ms > now_ms:
                self._grant(waiter, target)
                continue
            assert waiter.precedence is not None
            if any(map(waiter.criteria.admits, targets)):
                # Room left by others would not help those without a target.
                self._find_shortages(service).note(waiter.precedence)
            if (
                is_evacuated and not waiter.is_resumed
            ) or waiter.wait_until_ms <= now_ms + self._find_pause_ms(
                waiter, targets
            ):
                # Its time is over, or will be before a target takes requests.
                refused.append(waiter)
            else:
                still_waiting.append(waiter)
        self._waiting[service] = still_waiting
        self._refuse(refused, targets)

    async def run(self) -> None:
        """Grants slots and refuses expired requests, while any wait."""
        while True:
            await self._has_waiting.wait()
            self._has_waiting = anyio.Event()
            while self.count_all():
                await anyio.sleep(self._find_pause_s())
                for service in list(self._waiting):
                    if self._is_check_due(service):
                        self.grant_slots(service)

    def _find_pause_s(self) -> float:
        """Returns the time to the next check, at which a wait may end."""
        next_ms = min(
            waiter.wait_until_ms
            for queue in self._waiting.values()
            for waiter in queue
        )
        pause_ms = next_ms - self._clock.now_ms()
        return (
            min(max(pause_ms, CHECK_INTERVAL_MS), MAX_CHECK_INTERVAL_MS) / 1_000
        )

    def _is_check_due(self, service: str) -> bool:
        """Tells whether a check may have another result than the last one.

        A choice among all targets for each waiting request is costly.
        """
        now_ms = self._clock.now_ms()
        version = self._occupancy.reports_version
        checked_at_ms, checked_version = self._checked.get(service, (0, -1))
        return (
            version != checked_version
            or now_ms - checked_at_ms >= MAX_CHECK_INTERVAL_MS
            or any(w.wait_until_ms <= now_ms for w in self._waiting[service])
        )

    def find_retry_after(self, route: Route) -> int:
        """Returns after how many ms a caller should retry in any case."""
        return find_plain_retry_ms(route, self._rng)

    def plan_return(
        self, service: str, route: Route, end_at_ms: int, terms: CallerTerms
    ) -> int:
        """Returns after how many ms a caller should retry after a rejection.

        Args:
            service: whose targets have rejected the request.
            route: the route of the request.
            end_at_ms: latest time until which the caller waits.
            terms: work and deadline of the request, which has a token count.
        """
        age_ms = self._planner.find_age_ms(route, terms.deadline_ms)
        self._planner.note_refused(route.name)
        return self._planner.find_retry_after_ms(
            route,
            end_at_ms - self._clock.now_ms(),
            _count_by_route(self._waiting.get(service, ()))[route.name],
            bool(age_ms),
        )

    def _note_arrived(self, waiter: Waiter) -> None:
        if waiter.is_resumed or waiter.plan.is_returned:
            return
        if waiter.is_planned:
            self._planner.note_arrived(waiter.route.name)
        if waiter.terms.account:
            self._find_shares(waiter).note_offered(
                waiter.terms.account, waiter.terms.work or PLAIN_WORK
            )

    def _find_shares(self, waiter: Waiter) -> FairShares:
        key = waiter.criteria.service, waiter.criteria.rank
        shares = self._shares.get(key)
        if shares is None:
            shares = self._shares[key] = FairShares(self._clock)
            shares.apply_weights(self._weights)
        return shares

    def _find_order(
        self, waiter: Waiter, now_ms: int
    ) -> tuple[Precedence, float, int]:
        """Returns the sort key of the queue."""
        account = waiter.terms.account
        use = 0.0
        if account and not waiter.is_resumed:
            use = self._find_shares(waiter).find_order(account)
        waiter.precedence = self._find_precedence(waiter, now_ms)
        return waiter.precedence, use, waiter.sequence

    def _find_precedence(self, waiter: Waiter, now_ms: int) -> Precedence:
        account = waiter.terms.account
        is_over = (
            bool(account)
            and not waiter.is_resumed
            and self._find_shares(waiter).is_over_share(account)
        )
        return Precedence(waiter.criteria.rank, is_over, waiter.is_late(now_ms))

    def _must_leave_room(
        self,
        waiter: Waiter,
        targets: list[EdgeTarget],
        leaving: set[Precedence],
    ) -> bool:
        """Tells whether the last room is for requests that go first.

        Args:
            waiter: the request.
            targets: those of its service.
            leaving: groups that have to leave it; a group is added to it.
        """
        if waiter.is_resumed or not (waiter.is_planned or waiter.terms.account):
            return False
        assert waiter.precedence is not None
        if waiter.precedence in leaving:
            return True
        shortages = self._find_shortages(waiter.criteria.service)
        reserved = shortages.find_reserved_share(waiter.precedence)
        if not reserved:
            return False
        fill = NON_RUNNER_FILL
        if waiter.criteria.is_generation:
            is_top = waiter.criteria.rank[1] <= 0
            fill = TOP_RANK_FILL if is_top else ENGINE_FILL
        in_flight = sum(self._occupancy.count(t.name) for t in targets)
        slots = sum(target.slots for target in targets)
        if in_flight < (1 - reserved) * fill * slots:
            return False
        leaving.add(waiter.precedence)
        return True

    def _find_shortages(self, service: str) -> Shortages:
        shortages = self._shortages.get(service)
        if shortages is None:
            shortages = self._shortages[service] = Shortages(self._clock)
        return shortages

    def _is_hopeless(self, waiter: Waiter) -> bool:
        """Tells whether the requests ahead take longer than this one waits."""
        if not waiter.is_planned or waiter.plan.is_returned:
            return False
        if waiter.is_resumed:
            return False
        queue = self._waiting[waiter.criteria.service]
        ahead = queue[: queue.index(waiter)]
        granted_per_ms = self._rates.find_per_ms(
            waiter.criteria.service,
            waiter.criteria.rank,
            {other.criteria.rank for other in ahead},
        )
        return len(ahead) > granted_per_ms * waiter.plan.timeout_ms > 0

    def _grant(self, waiter: Waiter, target: EdgeTarget) -> None:
        self._rates.note(waiter.criteria.service, waiter.criteria.rank)
        if waiter.is_planned and not waiter.is_resumed:
            self._planner.note_granted(waiter.route.name)
        if waiter.terms.account and not waiter.is_resumed:
            self._find_shares(waiter).note_granted(
                waiter.terms.account, waiter.terms.work or PLAIN_WORK
            )
        waiter.result = Ok(self._make_slot(waiter.criteria, target))
        waiter.done.set()

    def _make_slot(self, criteria: TargetCriteria, target: EdgeTarget) -> Slot:
        is_borrowed = self._brittle.is_brittle(
            target.service
        ) and self._brittle.take(
            target,
            self._occupancy.own.get(target.name, 0),
            criteria.is_generation,
        )
        self._occupancy.add(target.name)
        self._rate_limits.take(target)
        permit = self._cold.take(target)
        ticket = self._selector.start_work(criteria, target)

        def on_release() -> None:
            self._occupancy.remove(target.name)
            self._selector.end_work(ticket)
            if slot.is_rejected:
                self._brittle.note_rejection(target)
            elif is_borrowed:
                self._brittle.give_back(target)
            self.grant_slots(criteria.service)

        in_flight = self._occupancy.count(target.name)
        slot = Slot(target, on_release, in_flight, permit, ticket)
        return slot

    def _refuse(
        self, waiters: Iterable[Waiter], targets: list[EdgeTarget]
    ) -> None:
        """Refuses requests of one service that have left its queue."""
        waiting: collections.Counter[str] | None = None
        for waiter in waiters:
            if waiting is None:
                queue = self._waiting.get(waiter.criteria.service, ())
                waiting = _count_by_route(queue)
            has_target = any(map(waiter.criteria.admits, targets))
            reason = Reason.SHED if has_target else Reason.NO_TARGET
            retry_after_ms = max(
                self._plan_return(waiter, waiting[waiter.route.name]),
                self._find_pause_ms(waiter, targets),
            )
            waiter.result = Err(NotRun(reason, retry_after_ms))
            waiter.done.set()

    def _plan_return(self, waiter: Waiter, waiting: int) -> int:
        route = waiter.route
        if not waiter.is_planned or waiter.is_resumed:
            return find_plain_retry_ms(route, self._rng)
        self._planner.note_refused(route.name)
        return self._planner.find_retry_after_ms(
            route,
            waiter.end_at_ms - self._clock.now_ms(),
            waiting,
            waiter.plan.is_returned,
        )

    def _find_pause_ms(self, waiter: Waiter, targets: list[EdgeTarget]) -> int:
        return self._selector.find_pause_ms(waiter.criteria, targets)

    def _cancel(self, waiter: Waiter) -> None:
        queue = self._waiting.get(waiter.criteria.service, [])
        if waiter in queue:
            queue.remove(waiter)
        elif waiter.result is not None and isinstance(waiter.result, Ok):
            waiter.result.ok_value.release()


def _count_by_route(queue: Iterable[Waiter]) -> collections.Counter[str]:
    return collections.Counter(waiter.route.name for waiter in queue)
