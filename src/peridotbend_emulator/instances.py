"""Entry instances that run the scheduling code of the daemon."""

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Callable, Sequence

from result import Err

from peridotbend.domain import rendezvous
from peridotbend.domain.ports import Share
from peridotbend.domain.retries import RetryBudget
from peridotbend.domain.routing import Router, RoutingSettings
from peridotbend.domain.scheduler import Scheduler, SchedulerLimits
from peridotbend.domain.targetstates import TargetStates
from peridotbend.domain.text import Target
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.domain.windows import WindowDivider
from peridotbend.domain.work import (
    GrantOutcome,
    OutputLengthLearner,
    WorkItem,
)
from peridotbend_emulator.entries import (
    ENTRY_COUNT,
    LOAD_POLL_INTERVAL_S,
    NullTelemetry,
    World,
    record_call_end,
    wait_first_token,
)
from peridotbend_emulator.runners import (
    EXPIRED,
    REFUSED,
    SHED,
    Trace,
)
from peridotbend_emulator.workload import load_fleet_text

EXCHANGE_INTERVAL_S = 0.2
PEER_DELAY_S = 0.001
RETRY_DELAY_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class FeatureFlags:
    """Features of the scheduler that a run switches on or off."""

    prefix_affinity: bool = True
    straggler_handling: bool = True
    shared_windows: bool = True
    learn_output: bool = False


class _EntryView:
    """An entry's view of targets and peers; all peers are live."""

    def __init__(self, zone: str, states: TargetStates):
        self._zone = zone
        self._states = states

    def is_available(self, target: Target) -> bool:
        """Tells whether no recent failure makes the target unavailable."""
        return self._states.is_available(target.name)

    def count_live_peers(self) -> int:
        """Returns the number of entries, all of which are live."""
        return ENTRY_COUNT

    @property
    def zone(self) -> str:
        """The availability zone of the entry."""
        return self._zone


class SchedulerEntry:
    """An entry instance: scheduler, router and window divider of the daemon."""

    def __init__(self, world: World, features: FeatureFlags, number: int):
        zones = sorted({t.zone for t in world.service.targets})
        self.name = f"entry-{number + 1}"
        self.zone = zones[number % len(zones)]
        self.peers: Sequence[SchedulerEntry] = ()
        self._world = world
        self._features = features
        self._exchange_offset_s = EXCHANGE_INTERVAL_S * number / ENTRY_COUNT
        self._states = TargetStates(world.clock, NullTelemetry())
        self._router = Router(
            world.clock,
            self.zone,
            RoutingSettings(
                prefix_affinity=features.prefix_affinity,
                straggler_handling=features.straggler_handling,
            ),
        )
        self.scheduler = Scheduler(
            world.clock,
            _EntryView(self.zone, self._states),
            self._router,
            SchedulerLimits(),
            NullTelemetry(),
            NullTelemetry(),
        )
        self.scheduler.apply_config(load_fleet_text(world.user))
        self.window_divider = WindowDivider(world.clock)
        self._retries = RetryBudget()
        self._learner = OutputLengthLearner()
        self._waiting_by_tier: Counter[int] = Counter()

    def start(self, start: Callable[..., None]) -> None:
        """Starts the periodic tasks of the daemon."""
        start(self.scheduler.run())
        start(self._poll_loads())
        if self._features.shared_windows:
            start(self._exchange_shares())

    def has_lower_tier_waiting(self, tier: int) -> bool:
        """Tells whether a request of a lower tier waits at this entry."""
        return any(
            n for t, n in self._waiting_by_tier.items() if n and t > tier
        )

    async def serve(self, trace: Trace, key: str) -> None:
        """Dispatches a request in the steps of `Dispatcher`, without HTTP."""
        request, work = trace.request, trace.request.work_estimate
        if self._features.learn_output:
            ratio = self._learner.find_ratio(request.kind)
            tokens = max(1, round(work.output_tokens * ratio))
            work = dataclasses.replace(work, output_tokens=tokens)
        item = WorkItem(
            key, request.kind, request.account, work, trace.deadline_at_ms
        )
        failed_targets: frozenset[str] = frozenset()
        while True:
            self._waiting_by_tier[request.kind.tier] += 1
            try:
                result = await self.scheduler.acquire(item, failed_targets)
            finally:
                self._waiting_by_tier[request.kind.tier] -= 1
            if isinstance(result, Err):
                trace.outcome = _find_refusal_outcome(result.err_value)
                return
            grant = result.ok_value
            target_name = trace.target_name = grant.target.name
            trace.started_at_ms = self._world.clock.now_ms()
            call = await self._world.runners[target_name].open(key, request)
            if call is not None:
                break
            grant.finish(GrantOutcome.CONNECT_FAILED)
            failed_targets |= {target_name}
            self._states.record_failure(target_name)
            if not self._retries.try_spend():
                trace.outcome = REFUSED
                return
            await asyncio.sleep(RETRY_DELAY_S)
        self._retries.record_dispatch()
        if await wait_first_token(self._world, trace, call):
            self._states.record_success(target_name)
            grant.record_first_output()
        end = await call.end
        record_call_end(self._world, trace, end)
        if end.is_complete:
            grant.finish(GrantOutcome.COMPLETED, request.output_tokens)
            limit = request.work_estimate.output_tokens
            self._learner.record(request.kind, limit, request.output_tokens)
        else:
            self._states.record_failure(target_name)
            grant.finish(GrantOutcome.DIED)

    async def _poll_loads(self) -> None:
        """Passes load reports to the router, as `LoadPoller` does."""
        while True:
            for name, runner in self._world.runners.items():
                report = runner.report_load()
                if report is not None:
                    self._router.record_load(name, report)
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)

    async def _exchange_shares(self) -> None:
        """Sends demand to the dividers, and shares to the peers, repeatedly."""
        await asyncio.sleep(self._exchange_offset_s)
        loop = asyncio.get_running_loop()
        while True:
            for name, work in self.scheduler.find_active_demand().items():
                divider_entry = self._find_divider(name)
                record_demand = divider_entry.window_divider.record_demand
                if divider_entry is self:
                    record_demand(self.name, name, work)
                else:
                    loop.call_later(
                        PEER_DELAY_S, record_demand, self.name, name, work
                    )
            sizes = self.scheduler.find_window_sizes()
            own_sizes = {
                n: sizes[n] for n in self.window_divider.find_targets()
            }
            live_names = [peer.name for peer in self.peers]
            self._send_shares(self.window_divider.divide(own_sizes, live_names))
            await asyncio.sleep(EXCHANGE_INTERVAL_S)

    def _send_shares(self, shares: dict[str, list[Share]]) -> None:
        loop = asyncio.get_running_loop()
        for peer in self.peers:
            update = peer.scheduler.update_shares
            peer_shares = shares.get(peer.name, [])
            if peer is self:
                update(peer_shares)
            else:
                loop.call_later(PEER_DELAY_S, update, peer_shares)

    def _find_divider(self, target_name: str) -> "SchedulerEntry":
        target = self._world.runners[target_name].target
        in_zone = [p for p in self.peers if p.zone == target.zone]
        key = b"divider:" + target_name.encode()
        return rendezvous.rank(key, in_zone or self.peers, lambda p: p.name)[0]


def _find_refusal_outcome(refusal: NotRun) -> str:
    if refusal.reason is Reason.DEADLINE:
        return EXPIRED
    return SHED if refusal.reason is Reason.SHED else REFUSED
