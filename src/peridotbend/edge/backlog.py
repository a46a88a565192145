"""Requests that wait for a place at a target, and how long they may."""

import dataclasses
import itertools
import random
from collections.abc import Callable

import anyio
from result import Err, Ok, Result

from peridotbend.domain.clock import Clock
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.edge.config import Route
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.selection import Selector, Wish
from peridotbend.edge.targets import EdgeTarget, TargetList

# A request that finds no place within this share of its objective is refused
# while its caller can still do something else.
PATIENCE_SHARE = 0.12
# Two looks at the queue, for routes with an objective of a few ms.
MIN_PATIENCE_MS = 20
# A stream that broke midway waits for this share of its caller's patience.
RESUME_PATIENCE_SHARE = 0.5
# Before all ranks: what is half delivered is lost if it does not go on.
RESUME_RANK = (-1, -1)
# Between two looks for deadlines, lapsed reports and returned targets.
CHECK_MS = 10
# Only bounds memory: no more than some hundred find places in their patience.
MAX_WAITING = 2_000
# Bursts last some seconds, and callers come again once: 1 and 3 s made no
# difference in trials, and the shorter one leaves more time to be served.
SHED_RETRY_MS = 1_000
# Callers honour at most a third of the time that they have left.
SHED_RETRY_SHARE = 0.25
# Keeps callers that were refused together from coming again together.
SHED_RETRY_SPREAD = (0.7, 1.3)


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    wish: Wish
    route: Route
    sequence: int
    give_up_at_ms: int
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    result: "Result[Place, NotRun] | None" = None

    @property
    def order(self) -> tuple[tuple[int, int], int]:
        """Highest rank first, then the order of arrival."""
        return self.wish.rank, self.sequence


class Place:
    """A place at a target; given back by `release`."""

    def __init__(
        self,
        target: EdgeTarget,
        give_back: Callable[[], None],
        in_flight: int = 1,
    ):
        self.target = target
        # Requests at the target, this one included, as known here.
        self.in_flight = in_flight
        self._give_back = give_back
        self._released = False

    def release(self) -> None:
        """Gives the place back, once."""
        if not self._released:
            self._released = True
            self._give_back()


class Backlog:
    """Grants places in order of rank."""

    def __init__(
        self,
        clock: Clock,
        targets: TargetList,
        occupancy: Occupancy,
        selector: Selector,
        rng: random.Random,
    ):
        self._clock = clock
        self._targets = targets
        self._occupancy = occupancy
        self._selector = selector
        self._rng = rng
        self._sequence = itertools.count()
        self._waiting: dict[str, list[_Waiter]] = {}

    def count_waiting(self, service: str) -> int:
        """Returns how many requests of a service wait here."""
        return len(self._waiting.get(service, ()))

    def count_all(self) -> int:
        """Returns how many requests wait here."""
        return sum(len(queue) for queue in self._waiting.values())

    def has_place(self, wish: Wish) -> bool:
        """Tells whether a request would find a place at once."""
        targets = self._targets.list_for(wish.service)
        return self._selector.choose(wish, targets) is not None

    async def acquire(
        self, wish: Wish, route: Route, end_at_ms: int, resumes: bool = False
    ) -> Result[Place, NotRun]:
        """Waits for a place.

        A caller that is cancelled leaves nothing behind.

        Args:
            wish: what the request asks of its target.
            route: its route, with the objective and the caller's patience.
            end_at_ms: when its time is up.
            resumes: whether the caller has a part of the answer.
        """
        now_ms = self._clock.now_ms()
        patience_ms = round(PATIENCE_SHARE * route.objective_ms)
        if resumes:
            patience_ms = round(RESUME_PATIENCE_SHARE * route.patience_ms)
            wish = dataclasses.replace(wish, rank=RESUME_RANK)
        patience_ms = max(MIN_PATIENCE_MS, patience_ms)
        give_up_at_ms = min(end_at_ms, now_ms + patience_ms)
        waiter = _Waiter(wish, route, next(self._sequence), give_up_at_ms)
        queue = self._waiting.setdefault(wish.service, [])
        if len(queue) >= MAX_WAITING:
            retry_after_ms = self._find_retry_after(route)
            return Err(NotRun(Reason.AT_CAPACITY, retry_after_ms))
        queue.append(waiter)
        queue.sort(key=lambda w: w.order)
        self.place(wish.service)
        try:
            if waiter.result is None:
                await waiter.done.wait()
        except BaseException:
            self._abandon(waiter)
            raise
        assert waiter.result is not None
        return waiter.result

    def place(self, service: str) -> None:
        """Grants places to the requests of a service that wait."""
        queue = self._waiting.get(service)
        if not queue:
            return
        now_ms = self._clock.now_ms()
        targets = self._targets.list_for(service)
        left: list[_Waiter] = []
        for waiter in queue:
            target = self._selector.choose(waiter.wish, targets)
            if target is not None and waiter.give_up_at_ms > now_ms:
                self._grant(waiter, target)
            elif waiter.give_up_at_ms <= now_ms:
                self._refuse(waiter, targets)
            else:
                left.append(waiter)
        self._waiting[service] = left

    async def run(self) -> None:
        """Looks again and again, for news and for deadlines."""
        while True:
            await anyio.sleep(CHECK_MS / 1_000)
            for service in list(self._waiting):
                self.place(service)

    def _find_retry_after(self, route: Route) -> int:
        """Returns when a refused caller should come again."""
        wait_ms = min(SHED_RETRY_MS, SHED_RETRY_SHARE * route.timeout_ms)
        return round(wait_ms * self._rng.uniform(*SHED_RETRY_SPREAD))

    def _grant(self, waiter: _Waiter, target: EdgeTarget) -> None:
        self._occupancy.add(target.name)

        def give_back() -> None:
            self._occupancy.remove(target.name)
            self.place(waiter.wish.service)

        in_flight = self._occupancy.count(target.name)
        waiter.result = Ok(Place(target, give_back, in_flight))
        waiter.done.set()

    def _refuse(self, waiter: _Waiter, targets: list[EdgeTarget]) -> None:
        reason = Reason.SHED if targets else Reason.NO_TARGET
        waiter.result = Err(
            NotRun(reason, self._find_retry_after(waiter.route))
        )
        waiter.done.set()

    def _abandon(self, waiter: _Waiter) -> None:
        queue = self._waiting.get(waiter.wish.service, [])
        if waiter in queue:
            queue.remove(waiter)
        elif waiter.result is not None and isinstance(waiter.result, Ok):
            waiter.result.ok_value.release()
