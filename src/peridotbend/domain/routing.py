"""Selects the target with the earliest expected completion of a request."""

from collections import OrderedDict
from collections.abc import Sequence

from peridotbend.domain.affinity import PrefixAffinity
from peridotbend.domain.candidates import (
    DEFAULT_SETTINGS,
    Candidate,
    RoutingSettings,
    filter_or_all,
    fits,
    is_idle,
)
from peridotbend.domain.clock import Clock
from peridotbend.domain.estimates import (
    InFlightRequest,
    TargetEstimate,
    TokenCosts,
)
from peridotbend.domain.ports import LoadReport
from peridotbend.domain.traffic import ServiceTraffic
from peridotbend.domain.work import OutputLengthLearner, WorkItem

__all__ = ["Candidate", "Router", "RoutingSettings"]

MAX_TARGETS = 8_192
MAX_SERVICES = 1_024
MAX_TRACKED_WAITS = 4_096
# Fraction of the expected run time that must fit before the deadline; answers
# may be shorter than predicted. With 1, more requests missed their deadline
# without being sent under a load of twice the capacity.
MIN_RUN_TIME_FRACTION = 0.7


class Router:
    """Chooses targets and learns from the latency and failures seen there."""

    def __init__(
        self,
        clock: Clock,
        zone: str,
        settings: RoutingSettings = DEFAULT_SETTINGS,
    ):
        self._clock = clock
        self._zone = zone
        self._settings = settings
        self._estimates: OrderedDict[str, TargetEstimate] = OrderedDict()
        self._affinity = PrefixAffinity()
        self.output_lengths = OutputLengthLearner()
        self._traffic: OrderedDict[str, ServiceTraffic] = OrderedDict()
        # Time at which each request first had to wait for a busy target.
        self._wait_started_at_ms: OrderedDict[str, int] = OrderedDict()

    def choose(
        self, item: WorkItem, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Returns the best target with room, or None to wait.

        An idle target accepts a request of any size, so that large requests
        can run at all. While some target has room, a request is made to wait
        for at most `max_wait_ms`; the caller has to retry by then.
        """
        now_ms = self._clock.now_ms()
        traffic = self._find_traffic(item.kind.service)
        traffic.record_arrival(item, now_ms)
        usable = list(candidates)
        if item.on_trial:
            usable = [c for c in candidates if not c.has_suspect]
        for candidate in usable:
            if estimate := self._estimates.get(candidate.target.name):
                estimate.check_overdue(now_ms)
        free = [c for c in usable if fits(item, c)]
        if not free:
            return None
        if traffic.is_low_risk(item, now_ms):
            probe_target = self._find_probe_target(item, free)
            if probe_target is not None:
                return probe_target
        baseline = traffic.find_typical_costs(self._estimates, now_ms)
        best = min(
            self._filter_preferred(item, free),
            key=lambda c: (
                self._estimate_completion_ms(item, c, now_ms, baseline),
                c.target.name,
            ),
        )
        busy = [c for c in usable if not fits(item, c)]
        if self._should_wait(item, best, busy):
            return None
        return best

    def estimate_completion_ms(
        self, item: WorkItem, candidate: Candidate
    ) -> float:
        """Returns the time until the request would complete on the target."""
        now_ms = self._clock.now_ms()
        traffic = self._find_traffic(item.kind.service)
        baseline = traffic.find_typical_costs(self._estimates, now_ms)
        return self._estimate_completion_ms(item, candidate, now_ms, baseline)

    def _estimate_completion_ms(
        self,
        item: WorkItem,
        candidate: Candidate,
        now_ms: int,
        baseline: TokenCosts,
    ) -> float:
        name = candidate.target.name
        work_ahead = candidate.in_flight_work
        costs, weight = baseline, 1.0
        estimate = self._estimates.get(name)
        if estimate is not None:
            costs = estimate.find_costs(now_ms, baseline)
            work_ahead += estimate.find_load(now_ms)
            if self._settings.straggler_handling:
                weight = estimate.straggler_state.weight
        uncached_tokens = (
            item.work.prompt_tokens - self._estimate_cached_tokens(name, item)
        )
        ms = self._estimate_run_ms(costs, item, work_ahead + uncached_tokens)
        if candidate.target.zone != self._zone:
            ms += self._settings.zone_penalty_ms
        return ms / weight

    def can_finish(self, item: WorkItem, target_name: str) -> bool:
        """Tells whether the target can complete the request by its deadline.

        Only the request's own work counts, because the work ahead of it runs
        in the same batch. Always true for a target without recent samples.
        """
        now_ms = self._clock.now_ms()
        estimate = self._estimates.get(target_name)
        if estimate is None or not estimate.is_fresh(now_ms):
            return True
        uncached_tokens = (
            item.work.prompt_tokens
            - self._estimate_cached_tokens(target_name, item)
        )
        costs = self._find_costs(target_name, item)
        needed_ms = self._estimate_run_ms(costs, item, uncached_tokens)
        return now_ms + MIN_RUN_TIME_FRACTION * needed_ms <= item.deadline_at_ms

    def _estimate_run_ms(
        self, costs: TokenCosts, item: WorkItem, prefill_tokens: float
    ) -> float:
        output = item.work.output_tokens * self.output_lengths.find_ratio(
            item.kind
        )
        return prefill_tokens * costs.prefill_ms + output * costs.decode_ms

    def record_dispatch(self, target_name: str, item: WorkItem) -> None:
        """Records that a request is being sent to a target."""
        estimate = self._get_or_create_estimate(target_name)
        self._assign_to_service(target_name, estimate, item)
        self._wait_started_at_ms.pop(item.key, None)
        matched, hashes = 0, item.work.prefix_hashes
        if self._settings.prefix_affinity:
            matched = self._affinity.match(target_name, hashes)
            matched = min(matched, item.work.prompt_tokens)
            self._affinity.record(target_name, hashes)
        costs = self._find_costs(target_name, item)
        estimate.record_dispatch(item, costs, matched, self._clock.now_ms())

    def record_first_output(
        self, target_name: str, item: WorkItem, elapsed_ms: int
    ) -> None:
        """Updates the estimates with the time from dispatch to first output."""
        estimate = self._estimates.get(target_name)
        request = estimate.in_flight.get(item.key) if estimate else None
        if estimate and request and request.first_output_ms is None:
            self._learn_first_output(target_name, estimate, request, elapsed_ms)

    def record_finish(
        self,
        target_name: str,
        item: WorkItem,
        output_tokens: int,
        elapsed_ms: int,
    ) -> None:
        """Updates the estimates with a request that completed.

        `elapsed_ms` is the time since the dispatch. If no first output was
        reported, it is split into prefill and decode by the current estimates.
        """
        estimate = self._estimates.get(target_name)
        request = estimate.in_flight.get(item.key) if estimate else None
        if not estimate or not request:
            return
        if request.first_output_ms is None:
            costs = self._find_costs(target_name, item)
            first_ms = request.estimate_prefill_ms(
                output_tokens, elapsed_ms, costs
            )
            self._learn_first_output(target_name, estimate, request, first_ms)
        self.output_lengths.record(
            item.kind, item.work.output_tokens, output_tokens
        )
        now_ms = self._clock.now_ms()
        estimate.record_finish(request, output_tokens, elapsed_ms, now_ms)

    def record_failure(
        self, target_name: str, item: WorkItem | None = None
    ) -> None:
        """Records that a target refused a connection, crashed or timed out."""
        estimate = self._get_or_create_estimate(target_name)
        if item is not None:
            estimate.remove(item.key)
        estimate.straggler_state.lower_weight(self._clock.now_ms())

    def record_unsent(self, target_name: str, item: WorkItem) -> None:
        """Records that a granted request was not written to the target."""
        self._get_or_create_estimate(target_name).remove(item.key)

    def record_load(self, target_name: str, report: LoadReport) -> None:
        """Records a load report that an engine published."""
        estimate = self._get_or_create_estimate(target_name)
        if estimate.record_load(report, self._clock.now_ms()):
            # The engine restarted, so its prefix cache is empty.
            self._affinity.forget_blocks(target_name)

    def forget(self, target_name: str) -> None:
        """Drops all state of a target that was removed."""
        estimate = self._estimates.pop(target_name, None)
        if estimate is not None:
            self._find_traffic(estimate.service).targets.discard(target_name)
        self._affinity.forget(target_name)

    def dump(self) -> dict[str, object]:
        """Returns the state of each target for operators."""
        return {
            name: estimate.dump(self._clock.now_ms())
            | {"prefix_belief": self._affinity.find_belief(name)}
            for name, estimate in sorted(self._estimates.items())
        }

    def _assign_to_service(
        self, name: str, estimate: TargetEstimate, item: WorkItem
    ) -> None:
        """Assigns a target to the service that uses it now."""
        service = item.kind.service
        if estimate.service != service:
            self._find_traffic(estimate.service).targets.discard(name)
            estimate.service = service
        traffic = self._find_traffic(service)
        traffic.targets.add(name)
        traffic.record_dispatch(item)

    def _learn_first_output(
        self,
        name: str,
        estimate: TargetEstimate,
        request: InFlightRequest,
        elapsed_ms: int,
    ) -> None:
        now_ms = self._clock.now_ms()
        costs = self._find_costs(name, request.item)
        saved_fraction = estimate.record_first_output(
            request, elapsed_ms, costs, now_ms
        )
        if saved_fraction is not None:
            self._affinity.record_saving(name, saved_fraction)

    def _estimate_cached_tokens(self, name: str, item: WorkItem) -> float:
        hashes = item.work.prefix_hashes
        if not hashes or not self._settings.prefix_affinity:
            return 0.0
        matched = self._affinity.match(name, hashes)
        matched = min(matched, item.work.prompt_tokens)
        return matched * self._affinity.find_belief(name)

    def _find_probe_target(
        self, item: WorkItem, free: list[Candidate]
    ) -> Candidate | None:
        """Returns a straggler due for a probe if another target has room."""
        stragglers = [c for c in free if self._is_straggling(c)]
        if len(stragglers) == len(free):
            return None
        now_ms = self._clock.now_ms()
        for candidate in stragglers:
            straggler_state = self._estimates[
                candidate.target.name
            ].straggler_state
            risky = candidate.has_suspect or self._is_blocked(item, candidate)
            if straggler_state.may_probe(now_ms) and not risky:
                return candidate
        return None

    def _filter_preferred(
        self, item: WorkItem, free: list[Candidate]
    ) -> list[Candidate]:
        """Drops risky or slow targets as long as others remain."""
        pool = filter_or_all(free, lambda c: not c.has_suspect)
        pool = filter_or_all(pool, lambda c: not self._is_straggling(c))
        if item.on_trial:
            # A crash of an idle target interrupts no other request.
            pool = filter_or_all(pool, is_idle)
        if any(map(is_idle, pool)):
            pool = filter_or_all(pool, lambda c: not self._is_blocked(item, c))
        return pool

    def _should_wait(
        self, item: WorkItem, best: Candidate, busy: list[Candidate]
    ) -> bool:
        """True when waiting for a busy target is expected to be faster."""
        now_ms = self._clock.now_ms()
        limit_ms: float = item.deadline_at_ms - now_ms
        # A straggler may be about to fail. Non-idempotent work runs only once,
        # so any other target that meets the deadline is better for it.
        if item.kind.idempotent or not self._is_straggling(best):
            min_speedup = self._settings.min_wait_speedup
            limit_ms = min(
                limit_ms, self.estimate_completion_ms(item, best) / min_speedup
            )
        if not any(self._is_worth_waiting(item, c, limit_ms) for c in busy):
            return False
        wait_started_at_ms = self._wait_started_at_ms.setdefault(
            item.key, now_ms
        )
        if len(self._wait_started_at_ms) > MAX_TRACKED_WAITS:
            self._wait_started_at_ms.popitem(last=False)
        return now_ms - wait_started_at_ms < self._settings.max_wait_ms

    def _is_worth_waiting(
        self, item: WorkItem, busy: Candidate, limit_ms: float
    ) -> bool:
        if (
            is_idle(busy)
            or busy.has_suspect
            or self._is_straggling(busy)
            or self._is_blocked(item, busy)
        ):
            return False
        costs = self._find_costs(busy.target.name, item)
        drain_ms = (item.work.units - busy.room) * costs.prefill_ms
        if drain_ms > self._settings.max_wait_ms:
            return False
        return self.estimate_completion_ms(item, busy) < limit_ms

    def _is_straggling(self, candidate: Candidate) -> bool:
        estimate = self._estimates.get(candidate.target.name)
        enabled = self._settings.straggler_handling
        return bool(
            enabled and estimate and estimate.straggler_state.is_straggling
        )

    def _is_blocked(self, item: WorkItem, candidate: Candidate) -> bool:
        """True when much larger work in flight would delay the request."""
        estimate = self._estimates.get(candidate.target.name)
        if not estimate or is_idle(candidate):
            return False
        limit = self._settings.blocking_size_ratio * item.work.units
        return estimate.largest_units >= limit

    def _find_costs(self, name: str, item: WorkItem) -> TokenCosts:
        now_ms = self._clock.now_ms()
        traffic = self._find_traffic(item.kind.service)
        baseline = traffic.find_typical_costs(self._estimates, now_ms)
        estimate = self._estimates.get(name)
        return estimate.find_costs(now_ms, baseline) if estimate else baseline

    def _find_traffic(self, service: str) -> ServiceTraffic:
        traffic = self._traffic.get(service)
        if traffic is None:
            traffic = self._traffic[service] = ServiceTraffic()
            if len(self._traffic) > MAX_SERVICES:
                self._traffic.popitem(last=False)
        return traffic

    def _get_or_create_estimate(self, name: str) -> TargetEstimate:
        estimate = self._estimates.get(name)
        if estimate is None:
            if len(self._estimates) >= MAX_TARGETS:
                self.forget(next(iter(self._estimates)))
            estimate = self._estimates[name] = TargetEstimate()
        return estimate
