"""Grants targets to requests: admission, waiting, shedding and windows."""

import dataclasses
import functools
import itertools
from collections import Counter
from collections.abc import Iterable

import anyio
from result import Err, Ok, Result

from peridotbend.domain.accounts import ClientLimits
from peridotbend.domain.candidates import Candidate
from peridotbend.domain.clock import Clock
from peridotbend.domain.demand import find_active_targets, sum_demand
from peridotbend.domain.grants import UNSENT, Waiter
from peridotbend.domain.grants import Grant as Grant
from peridotbend.domain.ordering import (
    FAIR_QUANTUM_WORK,
    DeadlineOrder,
    QueueOrder,
)
from peridotbend.domain.pauses import PauseDetector
from peridotbend.domain.placement import Placement, PlacementLimits
from peridotbend.domain.placement import RoutingPolicy as RoutingPolicy
from peridotbend.domain.ports import EventLog, Meter, Share
from peridotbend.domain.servicequeues import Queue, QueueGroup, ServiceQueues
from peridotbend.domain.targetuse import TargetUses
from peridotbend.domain.targetuse import TargetView as TargetView
from peridotbend.domain.text import FleetConfig
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.domain.work import GrantOutcome, WorkItem

OVERLOADED = (Reason.SHED, Reason.AT_CAPACITY)


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerLimits:
    """Bounds of one process; the text bounds the queue of each service."""

    # Hard bounds of what waits in this process, over all services.
    max_waiting: int = 20_000
    max_waiting_work: float = 100_000_000.0
    # Requests looked past, and how often one of them may be passed by a later
    # request of its tier on the target that it waits for.
    max_lookahead: int = 8
    max_passes: int = 16
    # Time between two checks for deadlines, lapsed shares and lost targets.
    check_every_ms: int = 20
    # With this much time left a request waits for targets to come back: nobody
    # sends an overnight forecast again. With less, an early refusal lets its
    # caller do something else.
    outage_wait_ms: int = 60_000
    # Advice to callers that were shed; long enough to thin out a burst.
    retry_after_ms: int = 500
    fair_quantum_work: float = FAIR_QUANTUM_WORK


class Scheduler:
    """Queues, windows and limits of one process."""

    def __init__(
        self,
        clock: Clock,
        targets: TargetView,
        router: RoutingPolicy,
        limits: SchedulerLimits,
        log: EventLog,
        meter: Meter,
        order: QueueOrder | None = None,
    ):
        self._clock = clock
        self._router = router
        self._limits = limits
        self._lookahead = PlacementLimits(
            limits.max_lookahead, limits.max_passes
        )
        self._log = log
        self._meter = meter
        self._clients = ClientLimits(clock)
        self._pauses = PauseDetector(clock)
        self._uses = TargetUses(clock, targets)
        self._text: FleetConfig | None = None
        self._queues = ServiceQueues(
            order or DeadlineOrder(),
            self._clients.find_weight,
            limits.fair_quantum_work,
        )
        self._seq = itertools.count()
        self._ended: Counter[str] = Counter()

    def apply_text(self, text: FleetConfig) -> None:
        """Puts a text in force.

        Waiting requests of removed kinds end; grants in flight go on.
        """
        self._text = text
        self._clients.apply(text.clients)
        for name in self._uses.apply_text(text):
            self._router.forget(name)
        for waiter in self._queues.apply_text(text):
            self._end(waiter, Reason.NO_TARGET)
        self._place_all()

    async def acquire(
        self, item: WorkItem, exclude: frozenset[str] = frozenset()
    ) -> Result[Grant, NotRun]:
        """Waits for a target; ends by the deadline of the item.

        A caller that is cancelled leaves nothing behind.
        """
        refusal = self._find_refusal(item, exclude)
        if refusal is not None:
            return Err(self._count(refusal))
        hold = self._clients.admit(item.account, item.work.units)
        if isinstance(hold, NotRun):
            return Err(self._count(hold))
        waiter = Waiter(
            item, next(self._seq), exclude, self._clock.now_ms(), hold=hold
        )
        try:
            self._admit(waiter)
            if waiter.result is None:
                await waiter.done.wait()
        except BaseException:
            self._abandon(waiter)
            raise
        assert waiter.result is not None
        return waiter.result

    def update_shares(self, shares: Iterable[Share]) -> None:
        """Takes the shares of a division and uses them at once."""
        for share in shares:
            self._uses.shares.update(share)
        self._place_all()

    def expire(self) -> None:
        """Ends requests whose deadline has passed and uses freed room."""
        self._place_all()

    async def run(self) -> None:
        """Calls `expire` until cancelled."""
        while True:
            self._pauses.tick()
            await anyio.sleep(self._limits.check_every_ms / 1_000)
            self.expire()

    def find_demand(self) -> dict[str, tuple[float, ...]]:
        """Returns for each target the work by tier, in flight and waiting."""
        tiers = len(self._text.tiers) if self._text else 0
        names = self._uses.by_name
        return sum_demand(self._uses, self._queues, tiers, names)

    def find_active_demand(self) -> dict[str, tuple[float, ...]]:
        """Returns the demand for targets that have any."""
        tiers = len(self._text.tiers) if self._text else 0
        names = find_active_targets(self._uses, self._queues)
        return sum_demand(self._uses, self._queues, tiers, names)

    def find_window_size(self, target_name: str) -> float | None:
        """Returns the whole window of a target of the text."""
        use = self._uses.by_name.get(target_name)
        return use.window.size if use else None

    def find_window_sizes(self) -> dict[str, float]:
        """Returns the whole window of each target, for the divider."""
        return {n: use.window.size for n, use in self._uses.by_name.items()}

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "waiting": {s.service.name: len(s.queue) for s in self._queues},
            "ended": dict(self._ended),
            "targets": self._uses.dump(),
            "clients": self._clients.dump(),
            "routing": self._router.dump(),
        }

    def _find_refusal(
        self, item: WorkItem, exclude: frozenset[str]
    ) -> NotRun | None:
        if self._text is None:
            return NotRun(Reason.NO_TEXT, self._limits.retry_after_ms)
        source = self._queues.find_for(item)
        if source is None:
            return NotRun(Reason.NO_TARGET)
        if item.deadline_at_ms <= self._clock.now_ms():
            return NotRun(Reason.DEADLINE)
        services = self._queues.find_dependencies(source.service)
        if not all(s and self._uses.find_available(s) for s in services):
            return NotRun(Reason.DEPENDENCY_DOWN, self._limits.retry_after_ms)
        available = self._uses.find_available(source.service)
        if not available and self._can_outlast_outage(item):
            return None
        if all(target.name in exclude for target in available):
            return NotRun(Reason.NO_TARGET, self._limits.retry_after_ms)
        return None

    def _can_outlast_outage(self, item: WorkItem) -> bool:
        left_ms = item.deadline_at_ms - self._clock.now_ms()
        return left_ms >= self._limits.outage_wait_ms

    def _admit(self, waiter: Waiter) -> None:
        source = self._queues.find(waiter.item.kind.service)
        assert source is not None, "the kind was looked up before"
        source.queue.push(waiter)
        # A request that finds room is not shed from a full queue.
        self._place(self._queues.find_group(source.service.name))
        self._shed_excess(source)

    def _shed_excess(self, source: Queue) -> None:
        """Brings the queue, and all of them together, within the bounds."""
        names = [target.name for target in source.service.targets]
        lowest = self._uses.shares.find_lowest_tier(names)
        while len(source.queue) > source.service.max_queue:
            victim = source.queue.find_victim()
            if victim is None or not self._queues.may_shed(
                source, victim, lowest
            ):
                break
            self._end(victim, Reason.SHED)
        limits = self._limits
        while (
            self._queues.count() > limits.max_waiting
            or self._queues.find_work() > limits.max_waiting_work
        ):
            victim = self._queues.find_last_victim()
            if victim is None:
                break
            self._end(victim, Reason.AT_CAPACITY)

    def _place_all(self) -> None:
        """Uses what room shares, lapses and returned targets give."""
        for group in self._queues.groups:
            group.is_stale = True
            group.epoch += 1
            self._place(group)

    def _place(self, group: QueueGroup) -> None:
        """Grants targets to waiting requests of services that share them."""
        now_ms = self._clock.now_ms()
        for source in group.queues:
            for waiter in source.queue.remove_expired(now_ms):
                self._end(waiter, Reason.DEADLINE)
        if any(len(source.queue) for source in group.queues):
            if group.is_stale:
                group.renew_allowances(self._uses)
            look = self._lookahead
            give_up = functools.partial(self._end, reason=Reason.DEADLINE)
            ports = (self._router, look, self._grant, give_up)
            Placement(group, self._uses, *ports).run()

    def _grant(self, waiter: Waiter, candidate: Candidate) -> None:
        grant = Grant(
            candidate.target,
            waiter.item,
            waiter.hold,
            self._uses.by_name[candidate.target.name],
            self._router,
            self._clock,
            self._pauses,
            self._release,
        )
        wait_ms = self._clock.now_ms() - waiter.enqueued_at_ms
        self._meter.observe_queue_wait(self._find_tier(waiter), wait_ms)
        waiter.resolve(Ok(grant))

    def _release(self, grant: Grant, outcome: GrantOutcome) -> None:
        self._clients.release(grant.hold, ran=outcome not in UNSENT)
        name = grant.target.name
        if self._uses.release(grant.target, grant.use, grant.item):
            self._router.forget(name)
        group = self._queues.find_users(name)
        if group is not None:
            group.allowances[name] = self._uses.find_allowance(name)
            group.epoch += 1
            self._place(group)

    def _end(self, waiter: Waiter, reason: Reason) -> None:
        """Ends a waiting request without running it."""
        self._leave(waiter)
        if reason is Reason.SHED:
            service = waiter.item.kind.service
            self._meter.count_shed(service, self._find_tier(waiter))
        retry_ms = self._limits.retry_after_ms * (reason in OVERLOADED)
        waiter.resolve(Err(self._count(NotRun(reason, retry_ms))))

    def _abandon(self, waiter: Waiter) -> None:
        """Takes back what a cancelled caller holds."""
        if waiter.result is None:
            self._leave(waiter)
            self._place(self._queues.find_group(waiter.item.kind.service))
        elif waiter.result.is_ok():
            waiter.result.unwrap().finish(GrantOutcome.NOT_WRITTEN)

    def _leave(self, waiter: Waiter) -> None:
        source = self._queues.find(waiter.item.kind.service)
        if source is not None:
            source.queue.remove(waiter)
            if waiter.held_target:
                # Others may use that target now.
                self._queues.find_group(source.service.name).epoch += 1
        self._clients.release(waiter.hold, ran=False)

    def _count(self, refusal: NotRun) -> NotRun:
        self._ended[refusal.reason] += 1
        return refusal

    def _find_tier(self, waiter: Waiter) -> str:
        tiers = self._text.tiers if self._text else ()
        # A later text may have fewer tiers than the request was made under.
        return tiers[min(waiter.item.kind.tier, len(tiers) - 1)]
