"""Replays shortages of room with accounts, in virtual time.

Shows who is served when not all requests can be: by kind of request, by
account, and after a refusal. Run `python -m
peridotbend_emulator.replayaccounts`.
"""

import collections
import contextlib
import math
import random
from collections.abc import AsyncIterator, Callable

import anyio
import click

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import AnswerHead
from peridotbend.domain.verdicts import Verdict
from peridotbend.edge.parts import RelayDependencies, make_dependencies
from peridotbend.edge.ports import (
    AnswerBrokenError,
    EdgeCall,
    Reply,
    TargetSend,
)
from peridotbend.edge.relay import Relay
from peridotbend.edge.targets import EdgeTarget
from peridotbend_emulator.replayengine import (
    TOKENS_PER_EVENT,
    ReplayClient,
    ReplayEngine,
)
from peridotbend_emulator.replayfleet import (
    SETTINGS,
    ConnectedFleet,
    NullTelemetry,
)
from peridotbend_emulator.replayload import Kind
from peridotbend_emulator.replayshortages import (
    ACCOUNTS,
    CONFIG,
    GAP_OBJECTIVE_MS,
    HOST,
    INSTANCES,
    KINDS,
    RATE_SHARE,
    ROUTES,
    SERVICE,
    SHORTAGE_POLICIES,
    SHORTAGES,
    SLOTS,
    SPEEDS,
    Shortage,
    ShortagePolicy,
    apply_shortage_policy,
)
from peridotbend_emulator.replaytallies import Tally, add_tallies, format_tally
from peridotbend_emulator.virtualtime import run_virtual

DIGEST_INTERVAL_MS = 50
# A lower rank was served at the same time if it was sent within this time
# before a refusal.
SAME_TIME_MS = 100
OUTPUT_SIGMA = 0.8
PROMPT_SIGMA = 0.6


class _Responder:
    """Records the times of events; ends the wait for the first one."""

    def __init__(self, clock: ManualClock, scope: anyio.CancelScope):
        self._clock = clock
        self._scope = scope
        self._last_ms = 0
        self.first_ms: int | None = None
        self.longest_gap_ms = 0
        self.is_complete = False
        self.verdict: Verdict | None = None

    async def start(self, head: AnswerHead) -> None:
        """Ignores the head."""

    async def send(self, data: bytes) -> None:
        """Records the time of an event."""
        now_ms = self._clock.now_ms()
        if self.first_ms is None:
            self.first_ms = now_ms
            self._scope.deadline = math.inf
        else:
            self.longest_gap_ms = max(
                self.longest_gap_ms, now_ms - self._last_ms
            )
        self._last_ms = now_ms

    async def finish(self) -> None:
        """Records the end of a complete answer."""
        self.is_complete = True

    async def refuse(self, verdict: Verdict) -> None:
        """Records a refusal."""
        self.verdict = verdict


class _RecordingClient(ReplayClient):
    """Records which ranks are sent when."""

    def __init__(
        self,
        clock: ManualClock,
        engines: dict[str, ReplayEngine],
        count_events: Callable[[str], int],
    ):
        super().__init__(engines, count_events)
        self._clock = clock
        self.last_sent_ms: dict[int, int] = {}

    @contextlib.asynccontextmanager
    async def open(
        self, send: TargetSend, gate: Callable[[], bool]
    ) -> AsyncIterator[Reply]:
        """Sends a request."""
        rank = next(
            k.rank for k in KINDS if send.call.attempt.startswith(k.name)
        )
        self.last_sent_ms[rank] = self._clock.now_ms()
        async with super().open(send, gate) as reply:
            yield reply


class AccountReplay:
    """One run of a shortage under one policy."""

    def __init__(self, shortage: Shortage, policy: ShortagePolicy, seed: int):
        self._shortage = shortage
        self._policy = policy
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._start_ms = self._clock.now_ms()
        self._event_counts: dict[str, int] = {}
        self._instances: list[RelayDependencies] = []
        self._relays: list[Relay] = []
        self.by_kind: dict[str, Tally] = collections.defaultdict(Tally)
        # During the surge only.
        self.by_account: dict[tuple[str, str], Tally] = collections.defaultdict(
            Tally
        )

    def run(self) -> None:
        """Runs the load to its end."""
        with apply_shortage_policy(self._policy):
            run_virtual(self._clock, self._run())

    async def _run(self) -> None:
        engines = {
            f"i-{number}": ReplayEngine(SLOTS, factor)
            for number, factor in enumerate(SPEEDS)
        }
        self._client = _RecordingClient(
            self._clock, engines, self._event_counts.__getitem__
        )
        telemetry = NullTelemetry()
        for number in range(INSTANCES):
            dependencies = make_dependencies(
                SETTINGS,
                self._clock,
                self._client,
                ConnectedFleet(INSTANCES),
                telemetry,
                telemetry,
                random.Random(number),
            )
            dependencies.holder.offer(CONFIG)
            for name in engines:
                dependencies.targets.put(
                    EdgeTarget(
                        name, SERVICE, HOST, 1, SETTINGS.zone, SLOTS, False, 0
                    )
                )
            self._instances.append(dependencies)
            self._relays.append(Relay(dependencies))
        async with anyio.create_task_group() as tasks:
            for engine in engines.values():
                tasks.start_soon(engine.run)
            for dependencies in self._instances:
                tasks.start_soon(dependencies.backlog.run)
                tasks.start_soon(dependencies.stall_detector.run)
            tasks.start_soon(self._exchange)
            async with anyio.create_task_group() as callers:
                for at_ms, kind, account in self._draw_arrivals():
                    elapsed_ms = self._clock.now_ms() - self._start_ms
                    await anyio.sleep(max(0, at_ms - elapsed_ms) / 1_000)
                    callers.start_soon(self._call, kind, account)
            tasks.cancel_scope.cancel()

    async def _exchange(self) -> None:
        while True:
            await anyio.sleep(DIGEST_INTERVAL_MS / 1_000)
            counts = [dict(d.occupancy.own) for d in self._instances]
            for receiver, dependencies in enumerate(self._instances):
                for number, count in enumerate(counts):
                    if number != receiver:
                        dependencies.occupancy.record_peer(str(number), count)

    def _draw_arrivals(self) -> list[tuple[int, Kind, str]]:
        arrivals = []
        for kind in KINDS:
            for account in ACCOUNTS:
                at_ms = 0.0
                rate_per_s = RATE_SHARE * kind.arrivals_per_s / len(ACCOUNTS)
                while True:
                    factor = self._shortage.find_factor(round(at_ms), account)
                    at_ms += self._rng.expovariate(rate_per_s * factor / 1_000)
                    if at_ms >= self._shortage.duration_ms:
                        break
                    arrivals.append((round(at_ms), kind, account))
        return sorted(arrivals, key=lambda arrival: arrival[0])

    async def _call(self, kind: Kind, account: str) -> None:
        prompt_tokens = self._draw(kind.mean_prompt_tokens, PROMPT_SIGMA)
        events = self._draw(kind.mean_events, OUTPUT_SIGMA)
        output_tokens = TOKENS_PER_EVENT * events
        size = (prompt_tokens + 10 * output_tokens) / kind.find_mean_size(
            TOKENS_PER_EVENT
        )
        value = min(4.0, 0.3 + 0.7 * size)
        sent_at_ms = self._clock.now_ms()
        surge_start_ms, surge_end_ms, _ = self._shortage.surge
        tallies = [self.by_kind[kind.name]]
        if surge_start_ms <= sent_at_ms - self._start_ms < surge_end_ms:
            tallies.append(self.by_account[account, kind.name])
        for tally in tallies:
            tally.offered += 1
            tally.offered_value += kind.value_on_time * value
        for is_last in (False, True):
            responder = await self._attempt(
                kind, account, prompt_tokens, events, sent_at_ms
            )
            verdict = responder.verdict
            retry_ms = getattr(verdict, "retry_after_ms", None)
            if retry_ms is None:
                break
            is_passed_over = any(
                rank > kind.rank
                and self._clock.now_ms() - last_ms <= SAME_TIME_MS
                for rank, last_ms in self._client.last_sent_ms.items()
            )
            for tally in tallies:
                tally.refused_once += not is_last
                tally.refused_twice += is_last
                tally.passed_over += is_passed_over
            left_ms = sent_at_ms + kind.timeout_ms - self._clock.now_ms()
            if not is_last:
                await anyio.sleep(max(0, min(retry_ms, left_ms / 3)) / 1_000)
        for tally in tallies:
            self._record(tally, kind, responder, sent_at_ms, value)

    async def _attempt(
        self,
        kind: Kind,
        account: str,
        prompt_tokens: int,
        events: int,
        sent_at_ms: int,
    ) -> _Responder:
        attempt = f"{kind.name}-{len(self._event_counts)}"
        self._event_counts[attempt] = events
        relay = self._rng.choice(self._relays)
        spent_ms = self._clock.now_ms() - sent_at_ms
        call = EdgeCall(
            attempt=attempt,
            method="POST",
            host=HOST,
            path=f"/{kind.name}/x",
            headers=(),
            body=b"",
            key=account,
            deadline_ms=kind.timeout_ms - spent_ms,
            prompt_tokens=prompt_tokens,
            max_output_tokens=TOKENS_PER_EVENT * events,
        )
        abandon_s = ROUTES[kind.name].caller_timeout_ms / 1_000
        with anyio.move_on_after(abandon_s) as scope:
            responder = _Responder(self._clock, scope)
            with contextlib.suppress(AnswerBrokenError):
                await relay.serve(call, responder)
        return responder

    def _record(
        self,
        tally: Tally,
        kind: Kind,
        responder: _Responder,
        sent_at_ms: int,
        value: float,
    ) -> None:
        if not responder.is_complete or responder.first_ms is None:
            tally.failed += responder.verdict is None
            return
        is_on_time = (
            responder.first_ms - sent_at_ms <= kind.objective_ms
            and responder.longest_gap_ms <= GAP_OBJECTIVE_MS
        )
        tally.on_time += is_on_time
        tally.late += not is_on_time
        tally.earned_value += value * (
            kind.value_on_time if is_on_time else kind.value_late
        )

    def _draw(self, mean: float, sigma: float) -> int:
        mu = math.log(mean) - sigma * sigma / 2
        return max(1, round(self._rng.lognormvariate(mu, sigma)))


@click.command()
@click.option("--seeds", default=2, show_default=True, help="Runs of each.")
@click.option("--load", "only", help="Run only the load of this name.")
@click.option("--policy", "chosen", help="Run only the policy of this name.")
def main(seeds: int, only: str | None, chosen: str | None) -> None:
    """Prints who is served, by load and policy."""
    for shortage in SHORTAGES:
        if only not in (None, shortage.name):
            continue
        for policy in SHORTAGE_POLICIES:
            if chosen not in (None, policy.name):
                continue
            runs = [
                AccountReplay(shortage, policy, seed) for seed in range(seeds)
            ]
            for run in runs:
                run.run()
            total = add_tallies(t for r in runs for t in r.by_kind.values())
            click.echo(format_tally(f"{shortage.name} {policy.name}", total))
            for kind in KINDS:
                tallies = (run.by_kind[kind.name] for run in runs)
                click.echo(format_tally(f"  {kind.name}", add_tallies(tallies)))
            if shortage.surge[2] > 1:
                for kind in KINDS:
                    first, *others = (
                        add_tallies(
                            run.by_account[account, kind.name] for run in runs
                        )
                        for account in ACCOUNTS
                    )
                    click.echo(format_tally(f"  {kind.name} surging", first))
                    others_tally = add_tallies(iter(others))
                    click.echo(
                        format_tally(f"  {kind.name} others", others_tally)
                    )


if __name__ == "__main__":
    main()
