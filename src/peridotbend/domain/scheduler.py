"""Grants targets to requests: admission, queueing, shedding and placement."""

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
from peridotbend.domain.grants import UNSENT_OUTCOMES, Waiter
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

OVERLOAD_REASONS = (Reason.SHED, Reason.AT_CAPACITY)


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerLimits:
    """Limits of one process; the configuration limits each service's queue."""

    # Hard limits of the waiting requests and their work, over all services.
    max_waiting: int = 20_000
    max_waiting_work: float = 100_000_000.0
    # Number of requests that one placement may skip because they do not fit,
    # and how many later requests of its tier may use the target that a skipped
    # request waits for.
    max_lookahead: int = 8
    max_bypasses: int = 16
    # Interval of the checks for deadlines, expired shares and lost targets.
    check_every_ms: int = 20
    # With at least this much time left, a request waits for targets to come
    # back, because no caller sends a long job such as an overnight forecast
    # again. With less, it is refused at once, so that its caller can do
    # something else.
    outage_wait_ms: int = 60_000
    # Retry delay sent to callers whose request was shed; long enough to spread
    # out a burst.
    retry_after_ms: int = 500
    fair_quantum_work: float = FAIR_QUANTUM_WORK


class Scheduler:
    """Admits, queues and places the requests of one process."""

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
        self._placement_limits = PlacementLimits(
            limits.max_lookahead, limits.max_bypasses
        )
        self._log = log
        self._meter = meter
        self._client_limits = ClientLimits(clock)
        self._pauses = PauseDetector(clock)
        self._uses = TargetUses(clock, targets)
        self._config: FleetConfig | None = None
        self._queues = ServiceQueues(
            order or DeadlineOrder(),
            self._client_limits.find_weight,
            limits.fair_quantum_work,
        )
        self._seq = itertools.count()
        self._refusal_counts: Counter[str] = Counter()

    def apply_config(self, config: FleetConfig) -> None:
        """Applies a new configuration.

        Waiting requests of removed kinds are rejected; grants in flight remain
        valid.
        """
        self._config = config
        self._client_limits.apply(config.clients)
        for name in self._uses.apply_config(config):
            self._router.forget(name)
        for waiter in self._queues.apply_config(config):
            self._reject(waiter, Reason.NO_TARGET)
        self._place_all()

    async def acquire(
        self, item: WorkItem, exclude: frozenset[str] = frozenset()
    ) -> Result[Grant, NotRun]:
        """Waits for a target until the deadline of the item at the latest.

        Cancellation removes the waiting request or releases its grant.
        """
        refusal = self._find_refusal(item, exclude)
        if refusal is not None:
            return Err(self._count_refusal(refusal))
        hold = self._client_limits.admit(item.account, item.work.units)
        if isinstance(hold, NotRun):
            return Err(self._count_refusal(hold))
        waiter = Waiter(
            item, next(self._seq), exclude, self._clock.now_ms(), hold=hold
        )
        try:
            self._enqueue(waiter)
            if waiter.result is None:
                await waiter.done.wait()
        except BaseException:
            self._cancel(waiter)
            raise
        assert waiter.result is not None
        return waiter.result

    def update_shares(self, shares: Iterable[Share]) -> None:
        """Applies the shares of a division and places waiting requests."""
        for share in shares:
            self._uses.shares.update(share)
        self._place_all()

    def expire(self) -> None:
        """Rejects requests past their deadline and places others."""
        self._place_all()

    async def run(self) -> None:
        """Calls `expire` until cancelled."""
        while True:
            self._pauses.tick()
            await anyio.sleep(self._limits.check_every_ms / 1_000)
            self.expire()

    def find_demand(self) -> dict[str, tuple[float, ...]]:
        """Returns the work by tier, in flight and waiting, for each target."""
        tiers = len(self._config.tiers) if self._config else 0
        names = self._uses.by_name
        return sum_demand(self._uses, self._queues, tiers, names)

    def find_active_demand(self) -> dict[str, tuple[float, ...]]:
        """Returns the demand for each target that has any."""
        tiers = len(self._config.tiers) if self._config else 0
        names = find_active_targets(self._uses, self._queues)
        return sum_demand(self._uses, self._queues, tiers, names)

    def find_window_size(self, target_name: str) -> float | None:
        """Returns the size of the whole window of a configured target."""
        use = self._uses.by_name.get(target_name)
        return use.window.size if use else None

    def find_window_sizes(self) -> dict[str, float]:
        """Returns the size of the whole window of each target."""
        return {n: use.window.size for n, use in self._uses.by_name.items()}

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "waiting": {s.service.name: len(s.queue) for s in self._queues},
            "ended": dict(self._refusal_counts),
            "targets": self._uses.dump(),
            "clients": self._client_limits.dump(),
            "routing": self._router.dump(),
        }

    def _find_refusal(
        self, item: WorkItem, exclude: frozenset[str]
    ) -> NotRun | None:
        if self._config is None:
            return NotRun(Reason.NO_TEXT, self._limits.retry_after_ms)
        service_queue = self._queues.find_for_item(item)
        if service_queue is None:
            return NotRun(Reason.NO_TARGET)
        if item.deadline_at_ms <= self._clock.now_ms():
            return NotRun(Reason.DEADLINE)
        services = self._queues.find_dependencies(service_queue.service)
        if not all(s and self._uses.find_available(s) for s in services):
            return NotRun(Reason.DEPENDENCY_DOWN, self._limits.retry_after_ms)
        available = self._uses.find_available(service_queue.service)
        if not available and self._can_outlast_outage(item):
            return None
        if all(target.name in exclude for target in available):
            return NotRun(Reason.NO_TARGET, self._limits.retry_after_ms)
        return None

    def _can_outlast_outage(self, item: WorkItem) -> bool:
        left_ms = item.deadline_at_ms - self._clock.now_ms()
        return left_ms >= self._limits.outage_wait_ms

    def _enqueue(self, waiter: Waiter) -> None:
        service_queue = self._queues.find(waiter.item.kind.service)
        assert service_queue is not None, "_find_refusal has checked the kind"
        service_queue.queue.push(waiter)
        # Placing comes first, so that a request with room on a target is not
        # shed from a full queue.
        self._place_group(self._queues.find_group(service_queue.service.name))
        self._shed_excess(service_queue)

    def _shed_excess(self, service_queue: Queue) -> None:
        """Sheds requests until this queue and all queues are within limits."""
        names = [target.name for target in service_queue.service.targets]
        lowest = self._uses.shares.find_lowest_tier(names)
        while len(service_queue.queue) > service_queue.service.max_queue:
            victim = service_queue.queue.find_victim()
            if victim is None or not self._queues.may_shed(
                service_queue, victim, lowest
            ):
                break
            self._reject(victim, Reason.SHED)
        limits = self._limits
        while (
            self._queues.count() > limits.max_waiting
            or self._queues.find_work() > limits.max_waiting_work
        ):
            victim = self._queues.find_global_victim()
            if victim is None:
                break
            self._reject(victim, Reason.AT_CAPACITY)

    def _place_all(self) -> None:
        """Places requests after the configuration, shares or targets change."""
        for group in self._queues.groups:
            group.needs_refresh = True
            group.epoch += 1
            self._place_group(group)

    def _place_group(self, group: QueueGroup) -> None:
        """Grants targets to the waiting requests of one group of services."""
        now_ms = self._clock.now_ms()
        for service_queue in group.queues:
            for waiter in service_queue.queue.remove_expired(now_ms):
                self._reject(waiter, Reason.DEADLINE)
        if any(len(service_queue.queue) for service_queue in group.queues):
            if group.needs_refresh:
                group.refresh_allowances(self._uses)
            limits = self._placement_limits
            reject = functools.partial(self._reject, reason=Reason.DEADLINE)
            placement_args = (self._router, limits, self._grant, reject)
            Placement(group, self._uses, *placement_args).run()

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
        self._client_limits.release(
            grant.hold, ran=outcome not in UNSENT_OUTCOMES
        )
        name = grant.target.name
        if self._uses.release(grant.target, grant.use, grant.item):
            self._router.forget(name)
        group = self._queues.find_group_of_target(name)
        if group is not None:
            group.allowances[name] = self._uses.find_allowance(name)
            group.epoch += 1
            self._place_group(group)

    def _reject(self, waiter: Waiter, reason: Reason) -> None:
        """Ends a waiting request that was not run."""
        self._dequeue(waiter)
        if reason is Reason.SHED:
            service = waiter.item.kind.service
            self._meter.count_shed(service, self._find_tier(waiter))
        retry_ms = self._limits.retry_after_ms * (reason in OVERLOAD_REASONS)
        waiter.resolve(Err(self._count_refusal(NotRun(reason, retry_ms))))

    def _cancel(self, waiter: Waiter) -> None:
        """Removes the request, or releases the grant, of a cancelled caller."""
        if waiter.result is None:
            self._dequeue(waiter)
            self._place_group(self._queues.find_group(waiter.item.kind.service))
        elif waiter.result.is_ok():
            waiter.result.unwrap().finish(GrantOutcome.NOT_WRITTEN)

    def _dequeue(self, waiter: Waiter) -> None:
        service_queue = self._queues.find(waiter.item.kind.service)
        if service_queue is not None:
            service_queue.queue.remove(waiter)
            if waiter.held_target:
                # Other requests may use the held target now.
                self._queues.find_group(service_queue.service.name).epoch += 1
        self._client_limits.release(waiter.hold, ran=False)

    def _count_refusal(self, refusal: NotRun) -> NotRun:
        self._refusal_counts[refusal.reason] += 1
        return refusal

    def _find_tier(self, waiter: Waiter) -> str:
        tiers = self._config.tiers if self._config else ()
        # A newer configuration may have fewer tiers than the one that admitted
        # the request.
        return tiers[min(waiter.item.kind.tier, len(tiers) - 1)]
