"""Choice of the target on which a request is expected to end first."""

from collections import OrderedDict
from collections.abc import Sequence

from peridotbend.domain.affinity import PrefixAffinity
from peridotbend.domain.candidates import (
    DEFAULT_SETTINGS,
    Candidate,
    RoutingSettings,
    fits,
    is_idle,
    prefer,
)
from peridotbend.domain.clock import Clock
from peridotbend.domain.estimates import InFlight, TargetEstimate, TokenCosts
from peridotbend.domain.ports import LoadReport
from peridotbend.domain.traffic import ServiceTraffic
from peridotbend.domain.work import OutputLengthLearner, WorkItem

__all__ = ["Candidate", "Router", "RoutingSettings"]

MAX_TARGETS = 8_192
MAX_SERVICES = 1_024
MAX_WAITING = 4_096
# Part of the expected time that a request needs in any case: answers may be
# shorter than usual. With 1, more of them missed a deadline unsent at twice
# the capacity.
DEADLINE_MARGIN = 0.7


class Router:
    """Chooses targets and learns from how requests fare on them."""

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
        self.lengths = OutputLengthLearner()
        self._traffic: OrderedDict[str, ServiceTraffic] = OrderedDict()
        # When a request was first made to wait for a busy target.
        self._waiting: OrderedDict[str, int] = OrderedDict()

    def choose(
        self, item: WorkItem, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Returns the best target with room, or None to wait.

        A request larger than the room fits where nothing is in flight,
        so that it runs at all. None with room somewhere lasts for at most
        `max_wait_ms` per request; the caller has to ask again by then.
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
            probe = self._find_probe(item, free)
            if probe is not None:
                return probe
        usual = traffic.find_typical_costs(self._estimates, now_ms)
        best = min(
            self._narrow(item, free),
            key=lambda c: (self._expect(item, c, now_ms, usual), c.target.name),
        )
        busy = [c for c in usable if not fits(item, c)]
        if self._should_wait(item, best, busy):
            return None
        return best

    def estimate_ms(self, item: WorkItem, candidate: Candidate) -> float:
        """Returns the time until the request would end there."""
        now_ms = self._clock.now_ms()
        traffic = self._find_traffic(item.kind.service)
        usual = traffic.find_typical_costs(self._estimates, now_ms)
        return self._expect(item, candidate, now_ms, usual)

    def _expect(
        self,
        item: WorkItem,
        candidate: Candidate,
        now_ms: int,
        usual: TokenCosts,
    ) -> float:
        name = candidate.target.name
        ahead = candidate.in_flight_work
        costs, weight = usual, 1.0
        estimate = self._estimates.get(name)
        if estimate is not None:
            costs = estimate.find_costs(now_ms, usual)
            ahead += estimate.find_load(now_ms)
            if self._settings.straggler_handling:
                weight = estimate.standing.weight
        prompt = item.work.prompt_tokens - self._find_cached(name, item)
        ms = self._find_own_ms(costs, item, ahead + prompt)
        if candidate.target.zone != self._zone:
            ms += self._settings.zone_penalty_ms
        return ms / weight

    def can_finish(self, item: WorkItem, target_name: str) -> bool:
        """Tells whether the request can end there by its deadline.

        Only its own work counts: what is ahead of it runs in the same batch.
        True as long as the target was not measured lately.
        """
        now_ms = self._clock.now_ms()
        estimate = self._estimates.get(target_name)
        if estimate is None or not estimate.is_fresh(now_ms):
            return True
        prompt = item.work.prompt_tokens - self._find_cached(target_name, item)
        costs = self._find_costs(target_name, item)
        needed_ms = self._find_own_ms(costs, item, prompt)
        return now_ms + DEADLINE_MARGIN * needed_ms <= item.deadline_at_ms

    def _find_own_ms(
        self, costs: TokenCosts, item: WorkItem, prefill_tokens: float
    ) -> float:
        output = item.work.output_tokens * self.lengths.find_ratio(item.kind)
        return prefill_tokens * costs.prefill_ms + output * costs.decode_ms

    def record_dispatch(self, target_name: str, item: WorkItem) -> None:
        """Notes that a request is being sent to a target."""
        estimate = self._hold(target_name)
        self._assign(target_name, estimate, item)
        self._waiting.pop(item.key, None)
        matched, hashes = 0, item.work.prefix_hashes
        if self._settings.prefix_affinity:
            matched = self._affinity.match(target_name, hashes)
            matched = min(matched, item.work.prompt_tokens)
            self._affinity.record(target_name, hashes)
        costs = self._find_costs(target_name, item)
        estimate.start(item, costs, matched, self._clock.now_ms())

    def record_first_output(
        self, target_name: str, item: WorkItem, elapsed_ms: int
    ) -> None:
        """Learns from the time between dispatch and first output."""
        estimate = self._estimates.get(target_name)
        running = estimate.in_flight.get(item.key) if estimate else None
        if estimate and running and running.first_output_ms is None:
            self._end_prefill(target_name, estimate, running, elapsed_ms)

    def record_finish(
        self,
        target_name: str,
        item: WorkItem,
        output_tokens: int,
        elapsed_ms: int,
    ) -> None:
        """Learns from a request that ended well `elapsed_ms` after dispatch.

        Without a first output, the time is split as the estimates expect.
        """
        estimate = self._estimates.get(target_name)
        running = estimate.in_flight.get(item.key) if estimate else None
        if not estimate or not running:
            return
        if running.first_output_ms is None:
            costs = self._find_costs(target_name, item)
            first_ms = running.split(output_tokens, elapsed_ms, costs)
            self._end_prefill(target_name, estimate, running, first_ms)
        self.lengths.record(item.kind, item.work.output_tokens, output_tokens)
        now_ms = self._clock.now_ms()
        estimate.finish(running, output_tokens, elapsed_ms, now_ms)

    def record_failure(
        self, target_name: str, item: WorkItem | None = None
    ) -> None:
        """Notes that a target refused a connection, died or timed out."""
        estimate = self._hold(target_name)
        if item is not None:
            estimate.remove(item.key)
        estimate.standing.lower(self._clock.now_ms())

    def record_unsent(self, target_name: str, item: WorkItem) -> None:
        """Notes that a granted request was not written to the target."""
        self._hold(target_name).remove(item.key)

    def record_load(self, target_name: str, report: LoadReport) -> None:
        """Takes the load that an engine published."""
        estimate = self._hold(target_name)
        if estimate.record_load(report, self._clock.now_ms()):
            # The engine has restarted and its cache is empty.
            self._affinity.forget_blocks(target_name)

    def forget(self, target_name: str) -> None:
        """Drops all that is known about a target that has gone."""
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

    def _assign(
        self, name: str, estimate: TargetEstimate, item: WorkItem
    ) -> None:
        """Counts a target among those of the service that uses it now."""
        service = item.kind.service
        if estimate.service != service:
            self._find_traffic(estimate.service).targets.discard(name)
            estimate.service = service
        traffic = self._find_traffic(service)
        traffic.targets.add(name)
        traffic.record_dispatch(item)

    def _end_prefill(
        self,
        name: str,
        estimate: TargetEstimate,
        running: InFlight,
        elapsed_ms: int,
    ) -> None:
        now_ms = self._clock.now_ms()
        costs = self._find_costs(name, running.item)
        saved = estimate.end_prefill(running, elapsed_ms, costs, now_ms)
        if saved is not None:
            self._affinity.record_payoff(name, saved)

    def _find_cached(self, name: str, item: WorkItem) -> float:
        hashes = item.work.prefix_hashes
        if not hashes or not self._settings.prefix_affinity:
            return 0.0
        matched = self._affinity.match(name, hashes)
        matched = min(matched, item.work.prompt_tokens)
        return matched * self._affinity.find_belief(name)

    def _find_probe(
        self, item: WorkItem, free: list[Candidate]
    ) -> Candidate | None:
        """Returns a straggler that is due for a probe, if others are free."""
        behind = [c for c in free if self._is_straggling(c)]
        if len(behind) == len(free):
            return None
        now_ms = self._clock.now_ms()
        for candidate in behind:
            standing = self._estimates[candidate.target.name].standing
            risky = candidate.has_suspect or self._is_blocked(item, candidate)
            if standing.may_probe(now_ms) and not risky:
                return candidate
        return None

    def _narrow(self, item: WorkItem, free: list[Candidate]) -> list[Candidate]:
        """Drops targets that are a risk or a delay while others are free."""
        pool = prefer(free, lambda c: not c.has_suspect)
        pool = prefer(pool, lambda c: not self._is_straggling(c))
        if item.on_trial:
            # A crash then takes no other request with it.
            pool = prefer(pool, is_idle)
        if any(map(is_idle, pool)):
            pool = prefer(pool, lambda c: not self._is_blocked(item, c))
        return pool

    def _should_wait(
        self, item: WorkItem, best: Candidate, busy: list[Candidate]
    ) -> bool:
        """True when waiting for a busy target is clearly better."""
        now_ms = self._clock.now_ms()
        limit_ms: float = item.deadline_at_ms - now_ms
        # A straggler may be about to fail. For work that runs only once any
        # other target that ends in time is better.
        if item.kind.idempotent or not self._is_straggling(best):
            gain = self._settings.wait_gain
            limit_ms = min(limit_ms, self.estimate_ms(item, best) / gain)
        if not any(self._is_worth_waiting(item, c, limit_ms) for c in busy):
            return False
        since_ms = self._waiting.setdefault(item.key, now_ms)
        if len(self._waiting) > MAX_WAITING:
            self._waiting.popitem(last=False)
        return now_ms - since_ms < self._settings.max_wait_ms

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
        return self.estimate_ms(item, busy) < limit_ms

    def _is_straggling(self, candidate: Candidate) -> bool:
        estimate = self._estimates.get(candidate.target.name)
        handled = self._settings.straggler_handling
        return bool(handled and estimate and estimate.standing.is_straggling)

    def _is_blocked(self, item: WorkItem, candidate: Candidate) -> bool:
        """True when much longer work is in flight there."""
        estimate = self._estimates.get(candidate.target.name)
        if not estimate or is_idle(candidate):
            return False
        limit = self._settings.long_ratio * item.work.units
        return estimate.longest_units >= limit

    def _find_costs(self, name: str, item: WorkItem) -> TokenCosts:
        now_ms = self._clock.now_ms()
        traffic = self._find_traffic(item.kind.service)
        usual = traffic.find_typical_costs(self._estimates, now_ms)
        estimate = self._estimates.get(name)
        return estimate.find_costs(now_ms, usual) if estimate else usual

    def _find_traffic(self, service: str) -> ServiceTraffic:
        traffic = self._traffic.get(service)
        if traffic is None:
            traffic = self._traffic[service] = ServiceTraffic()
            if len(self._traffic) > MAX_SERVICES:
                self._traffic.popitem(last=False)
        return traffic

    def _hold(self, name: str) -> TargetEstimate:
        estimate = self._estimates.get(name)
        if estimate is None:
            if len(self._estimates) >= MAX_TARGETS:
                self.forget(next(iter(self._estimates)))
            estimate = self._estimates[name] = TargetEstimate()
        return estimate
