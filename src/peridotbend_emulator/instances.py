"""Entry instances with the scheduler, router and divider of the daemon."""

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
from peridotbend_emulator.workload import load_text

EXCHANGE_S = 0.2
PEER_DELAY_S = 0.001
RETRY_DELAY_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Switches:
    """Parts of the scheduler that a run can do without."""

    prefix_affinity: bool = True
    straggler_handling: bool = True
    shared_windows: bool = True
    learn_output: bool = False


class _View:
    """What an entry knows of targets and peers; all peers are live."""

    def __init__(self, zone: str, states: TargetStates):
        self._zone = zone
        self._states = states

    def is_available(self, target: Target) -> bool:
        """Tells whether the target was not seen dead lately."""
        return self._states.is_available(target.name)

    def count_live_peers(self) -> int:
        """Counts all entries."""
        return ENTRY_COUNT

    @property
    def zone(self) -> str:
        """The zone of the entry."""
        return self._zone


class SchedulerEntry:
    """An entry instance: the scheduler, router and divider of the daemon."""

    def __init__(self, world: World, switches: Switches, number: int):
        zones = sorted({t.zone for t in world.service.targets})
        self.name = f"entry-{number + 1}"
        self.zone = zones[number % len(zones)]
        self.peers: Sequence[SchedulerEntry] = ()
        self._world = world
        self._switches = switches
        self._phase_s = EXCHANGE_S * number / ENTRY_COUNT
        self._states = TargetStates(world.clock, NullTelemetry())
        self._router = Router(
            world.clock,
            self.zone,
            RoutingSettings(
                prefix_affinity=switches.prefix_affinity,
                straggler_handling=switches.straggler_handling,
            ),
        )
        self.scheduler = Scheduler(
            world.clock,
            _View(self.zone, self._states),
            self._router,
            SchedulerLimits(),
            NullTelemetry(),
            NullTelemetry(),
        )
        self.scheduler.apply_text(load_text(world.user))
        self.divider = WindowDivider(world.clock)
        self._retries = RetryBudget()
        self._learner = OutputLengthLearner()
        self._waiting: Counter[int] = Counter()

    def start(self, start: Callable[..., None]) -> None:
        """Starts what the daemon does periodically."""
        start(self.scheduler.run())
        start(self._poll())
        if self._switches.shared_windows:
            start(self._exchange())

    def has_lower_tier_waiting(self, tier: int) -> bool:
        """Tells whether a request of a lower tier waits here."""
        return any(n for t, n in self._waiting.items() if n and t > tier)

    async def serve(self, trace: Trace, key: str) -> None:
        """Follows the steps of `Dispatcher`, without HTTP."""
        offer, work = trace.offer, trace.offer.work
        if self._switches.learn_output:
            ratio = self._learner.find_ratio(offer.kind)
            tokens = max(1, round(work.output_tokens * ratio))
            work = dataclasses.replace(work, output_tokens=tokens)
        item = WorkItem(
            key, offer.kind, offer.account, work, trace.deadline_at_ms
        )
        failed: frozenset[str] = frozenset()
        while True:
            self._waiting[offer.kind.tier] += 1
            try:
                granted = await self.scheduler.acquire(item, failed)
            finally:
                self._waiting[offer.kind.tier] -= 1
            if isinstance(granted, Err):
                trace.outcome = _name_refusal(granted.err_value)
                return
            grant = granted.ok_value
            name = trace.target = grant.target.name
            trace.started_at_ms = self._world.clock.now_ms()
            call = await self._world.runners[name].open(key, offer)
            if call is not None:
                break
            grant.finish(GrantOutcome.CONNECT_FAILED)
            failed |= {name}
            self._states.record_failure(name)
            if not self._retries.try_spend():
                trace.outcome = REFUSED
                return
            await asyncio.sleep(RETRY_DELAY_S)
        self._retries.record_dispatch()
        if await wait_first_token(self._world, trace, call):
            self._states.record_success(name)
            grant.record_first_output()
        end = await call.end
        record_call_end(self._world, trace, end)
        if end.complete:
            grant.finish(GrantOutcome.COMPLETED, offer.output_tokens)
            limit = offer.work.output_tokens
            self._learner.record(offer.kind, limit, offer.output_tokens)
        else:
            self._states.record_failure(name)
            grant.finish(GrantOutcome.DIED)

    async def _poll(self) -> None:
        """Reads load reports, as `LoadPoller` does."""
        while True:
            for name, runner in self._world.runners.items():
                report = runner.report_load()
                if report is not None:
                    self._router.record_load(name, report)
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)

    async def _exchange(self) -> None:
        """Sends demand to the dividers, and shares to all peers."""
        await asyncio.sleep(self._phase_s)
        loop = asyncio.get_running_loop()
        while True:
            for name, work in self.scheduler.find_active_demand().items():
                divider = self._find_divider(name)
                record = divider.divider.record_demand
                if divider is self:
                    record(self.name, name, work)
                else:
                    loop.call_later(PEER_DELAY_S, record, self.name, name, work)
            sizes = self.scheduler.find_window_sizes()
            own = {n: sizes[n] for n in self.divider.find_targets()}
            live = [peer.name for peer in self.peers]
            self._send_shares(self.divider.divide(own, live))
            await asyncio.sleep(EXCHANGE_S)

    def _send_shares(self, shares: dict[str, list[Share]]) -> None:
        loop = asyncio.get_running_loop()
        for peer in self.peers:
            update = peer.scheduler.update_shares
            part = shares.get(peer.name, [])
            if peer is self:
                update(part)
            else:
                loop.call_later(PEER_DELAY_S, update, part)

    def _find_divider(self, target_name: str) -> "SchedulerEntry":
        target = self._world.runners[target_name].target
        near = [p for p in self.peers if p.zone == target.zone]
        key = b"divider:" + target_name.encode()
        return rendezvous.rank(key, near or self.peers, lambda p: p.name)[0]


def _name_refusal(refusal: NotRun) -> str:
    if refusal.reason is Reason.DEADLINE:
        return EXPIRED
    return SHED if refusal.reason is Reason.SHED else REFUSED
