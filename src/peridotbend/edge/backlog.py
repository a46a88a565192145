"""Queue of requests that wait for a slot at a target."""

import dataclasses
import itertools
import random
from collections.abc import Callable

import anyio
from result import Err, Ok, Result

from peridotbend.domain.clock import Clock
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.edge.brittle import BrittleTargets
from peridotbend.edge.coldtargets import ColdTargets, Permit
from peridotbend.edge.config import Route
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.ratelimits import RateLimits
from peridotbend.edge.selection import Selector, TargetCriteria
from peridotbend.edge.targets import EdgeTarget, TargetList
from peridotbend.load.work import WorkTicket

# Maximum wait for a slot, as a fraction of the response-time objective. After
# that the request is refused, early enough for its caller to react.
WAIT_TIMEOUT_SHARE = 0.12
# Lower bound of that wait, for routes with an objective of a few ms: two check
# intervals.
MIN_WAIT_TIMEOUT_MS = 20
# Maximum wait of a stream that broke midway, as a fraction of the time after
# which its caller abandons it.
RESUME_WAIT_TIMEOUT_SHARE = 0.5
# Precedes all other ranks: a partly delivered stream is lost unless it resumes.
RESUME_RANK = (-1, -1)
# Interval of the checks for expired requests, outdated peer reports and targets
# that are available again.
CHECK_INTERVAL_MS = 10
# Bounds memory only. No more than a few hundred requests can get a slot within
# their maximum wait.
MAX_WAITING = 2_000
# Retry-After of refused requests. Bursts last a few seconds and callers retry
# once. 1 s and 3 s made no difference in trials; the shorter time leaves more
# of the caller's deadline for the retry.
SHED_RETRY_MS = 1_000
# Upper bound of Retry-After, as a fraction of the time limit of the route:
# callers accept at most a third of their remaining time.
SHED_RETRY_SHARE = 0.25
# Keeps callers that were refused together from retrying simultaneously.
SHED_RETRY_JITTER = (0.7, 1.3)


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    criteria: TargetCriteria
    route: Route
    sequence: int
    wait_until_ms: int
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    result: "Result[Slot, NotRun] | None" = None

    @property
    def order(self) -> tuple[tuple[int, int], int]:
        """Sort key: lowest rank number first, then order of arrival."""
        return self.criteria.rank, self.sequence


class Slot:
    """A slot granted at a target, held until `release`."""

    def __init__(
        self,
        target: EdgeTarget,
        on_release: Callable[[], None],
        in_flight: int = 1,
        permit: Permit | None = None,
        ticket: WorkTicket | None = None,
    ):
        # Allows the send if the target is cold.
        self.permit = permit
        self.target = target
        # Known requests in flight at the target, including this one.
        self.in_flight = in_flight
        # The prompt that the target has to read; None if it is not counted.
        self.ticket = ticket
        self._on_release = on_release
        self._released = False
        # Whether the target had no room.
        self.is_rejected = False

    def release(self) -> None:
        """Frees the slot; further calls have no effect."""
        if not self._released:
            self._released = True
            self._on_release()


class Backlog:
    """Grants slots to waiting requests by rank, then order of arrival."""

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
        self._waiting: dict[str, list[_Waiter]] = {}
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

    async def acquire(
        self,
        criteria: TargetCriteria,
        route: Route,
        end_at_ms: int,
        is_resumed: bool = False,
    ) -> Result[Slot, NotRun]:
        """Waits for a slot.

        Cancellation removes the request from the queue, or frees its slot.

        Args:
            criteria: determines the target.
            route: the route of the request, with its objective and the
                timeout of its caller.
            end_at_ms: latest time until which to wait.
            is_resumed: whether the caller already has a part of the answer.
        """
        now_ms = self._clock.now_ms()
        wait_timeout_ms = round(WAIT_TIMEOUT_SHARE * route.objective_ms)
        if is_resumed:
            wait_timeout_ms = round(
                RESUME_WAIT_TIMEOUT_SHARE * route.caller_timeout_ms
            )
            criteria = dataclasses.replace(criteria, rank=RESUME_RANK)
        wait_timeout_ms = max(MIN_WAIT_TIMEOUT_MS, wait_timeout_ms)
        wait_until_ms = min(end_at_ms, now_ms + wait_timeout_ms)
        waiter = _Waiter(criteria, route, next(self._sequence), wait_until_ms)
        queue = self._waiting.setdefault(criteria.service, [])
        if len(queue) >= MAX_WAITING:
            retry_after_ms = self.find_retry_after(route)
            return Err(NotRun(Reason.AT_CAPACITY, retry_after_ms))
        queue.append(waiter)
        queue.sort(key=lambda w: w.order)
        self.grant_slots(criteria.service)
        try:
            if waiter.result is None:
                self._has_waiting.set()
                await waiter.done.wait()
        except BaseException:
            self._cancel(waiter)
            raise
        assert waiter.result is not None
        return waiter.result

    def grant_slots(self, service: str) -> None:
        """Grants free slots to the waiting requests of a service."""
        queue = self._waiting.get(service)
        if not queue:
            return
        now_ms = self._clock.now_ms()
        targets = self._targets.list_for(service)
        is_evacuated = self._targets.is_evacuated(service)
        still_waiting: list[_Waiter] = []
        # Criteria for which all targets are full. Within this call slots are
        # only taken, so other requests with the same criteria would find none.
        full_for: set[TargetCriteria] = set()
        for waiter in queue:
            target = None
            criteria = waiter.criteria.make_class()
            if criteria not in full_for:
                target = self._selector.choose(waiter.criteria, targets)
                if target is None:
                    full_for.add(criteria)
            if target is not None and waiter.wait_until_ms > now_ms:
                self._grant(waiter, target)
            elif (
                is_evacuated and waiter.criteria.rank != RESUME_RANK
            ) or waiter.wait_until_ms <= now_ms + self._find_pause_ms(
                waiter, targets
            ):
                # Its time is over, or will be before a target takes requests.
                self._refuse(waiter, targets)
            else:
                still_waiting.append(waiter)
        self._waiting[service] = still_waiting

    async def run(self) -> None:
        """Grants slots and refuses expired requests, while any wait."""
        while True:
            await self._has_waiting.wait()
            self._has_waiting = anyio.Event()
            while self.count_all():
                await anyio.sleep(CHECK_INTERVAL_MS / 1_000)
                for service in list(self._waiting):
                    self.grant_slots(service)

    def find_retry_after(self, route: Route) -> int:
        """Returns after how many ms a refused caller should retry."""
        wait_ms = min(SHED_RETRY_MS, SHED_RETRY_SHARE * route.timeout_ms)
        return round(wait_ms * self._rng.uniform(*SHED_RETRY_JITTER))

    def _grant(self, waiter: _Waiter, target: EdgeTarget) -> None:
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

    def _refuse(self, waiter: _Waiter, targets: list[EdgeTarget]) -> None:
        has_target = any(map(waiter.criteria.admits, targets))
        reason = Reason.SHED if has_target else Reason.NO_TARGET
        retry_after_ms = max(
            self.find_retry_after(waiter.route),
            self._find_pause_ms(waiter, targets),
        )
        waiter.result = Err(NotRun(reason, retry_after_ms))
        waiter.done.set()

    def _find_pause_ms(self, waiter: _Waiter, targets: list[EdgeTarget]) -> int:
        return self._selector.find_pause_ms(waiter.criteria, targets)

    def _cancel(self, waiter: _Waiter) -> None:
        queue = self._waiting.get(waiter.criteria.service, [])
        if waiter in queue:
            queue.remove(waiter)
        elif waiter.result is not None and isinstance(waiter.result, Ok):
            waiter.result.ok_value.release()
