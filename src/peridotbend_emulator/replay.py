"""Replays load patterns against the decisions of the edge, in virtual time.

Several instances run the decision code of the daemon without any network:
`python -m peridotbend_emulator.replay`. A policy is a set of values for the
constants of that code.
"""

import collections
import contextlib
import dataclasses
import math
import random
from collections.abc import Mapping

import anyio
import click

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import AnswerHead
from peridotbend.domain.verdicts import Verdict
from peridotbend.edge import config as edge_config
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.parts import make_dependencies
from peridotbend.edge.ports import AnswerBrokenError, EdgeCall
from peridotbend.edge.relay import Relay
from peridotbend.edge.settings import EdgeSettings
from peridotbend.edge.targets import EdgeTarget
from peridotbend_emulator.replayengine import ReplayClient, ReplayEngine
from peridotbend_emulator.replayload import (
    PATTERNS,
    POLICIES,
    Deployment,
    Kind,
    Pattern,
    Policy,
    apply_policy,
)
from peridotbend_emulator.virtualtime import run_virtual

HOST = "replay.example"
SERVICE = "engine"
# A refused responder retries once, as the users' callers do.
RETRIES = 1
# Shape parameters of the log-normal lengths: outputs vary widely around their
# mean.
OUTPUT_SIGMA = 0.8
# Requests with longer prompts than nine tenths of their kind are counted apart.
LARGE_QUANTILE = 1.2816


@dataclasses.dataclass(slots=True)
class _KindResult:
    """Counts of the requests of one kind, by outcome, and their value."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    # Those with the longest prompts, and how many of them were answered.
    large: int = 0
    large_served: int = 0
    offered_value: float = 0.0
    earned_value: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The results of one replay."""

    by_kind: Mapping[str, _KindResult]
    # Number and median time of the refusals, by reason.
    refusals: Mapping[str, tuple[int, int]]

    @property
    def earned_share(self) -> float:
        """The part of the offered value that was earned."""
        offered_value = sum(
            result.offered_value for result in self.by_kind.values()
        )
        return (
            sum(c.earned_value for c in self.by_kind.values()) / offered_value
        )


class _NullTelemetry:
    """Event log and meter that discard everything."""

    def emit(self, event: object, **fields: object) -> None:
        """Discards a log line."""

    def observe_end(self, kind: str, outcome: str, took_ms: int) -> None:
        """Discards the end of a request."""

    def count_send(self, outcome: str) -> None:
        """Discards a send."""


class _RecordingResponder:
    """Responder that records when the events of one attempt arrive."""

    def __init__(self, clock: ManualClock, sent_at_ms: int):
        self._clock = clock
        self._last_event_ms = sent_at_ms
        self.first_event_ms: int | None = None
        self.longest_gap_ms = 0
        self.is_complete = False
        self.verdict: Verdict | None = None

    async def start(self, head: AnswerHead) -> None:
        """Ignores the head; only events result."""

    async def send(self, data: bytes) -> None:
        """Records the time of an event."""
        now_ms = self._clock.now_ms()
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        else:
            gap_ms = now_ms - self._last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self._last_event_ms = now_ms

    async def finish(self) -> None:
        """Records the end of a complete answer."""
        self.is_complete = True

    async def refuse(self, verdict: Verdict) -> None:
        """Records a refusal."""
        self.verdict = verdict


def _make_route(kind: Kind, gap_objective_ms: int) -> edge_config.Route:
    return edge_config.Route(
        name=kind.name,
        host=HOST,
        prefix=f"/{kind.name}/",
        kind=edge_config.RouteKind.STREAM,
        services=(edge_config.WeightedService(SERVICE, 1.0),),
        max_attempts=2,
        timeout_ms=kind.timeout_ms,
        objective_ms=kind.objective_ms,
        gap_objective_ms=gap_objective_ms,
        rank=kind.rank,
        is_public=True,
        is_generation=True,
        can_resume=True,
    )


def make_config(
    deployment: Deployment, policy: Policy
) -> edge_config.EdgeConfig:
    """Returns the configuration of all instances."""
    return edge_config.EdgeConfig(
        version=1,
        routes=tuple(
            _make_route(kind, deployment.gap_objective_ms)
            for kind in deployment.kinds
        ),
        accounts=(),
        limits=edge_config.CallerLimits(16_384, 4_194_304, 3_000, 15_000),
        services=(edge_config.Service(SERVICE, has_engine=policy.predicts),),
    )


_UNUSED_ADDRESS = ("127.0.0.1", 1)
SETTINGS = EdgeSettings(
    name="replay",
    zone="zone-a",
    callers=_UNUSED_ADDRESS,
    health=_UNUSED_ADDRESS,
    peers=_UNUSED_ADDRESS,
    digests=_UNUSED_ADDRESS,
    origins=_UNUSED_ADDRESS,
    seeds=(),
    store=_UNUSED_ADDRESS,
    heartbeat_ms=1_200,
    grace_ms=8_000,
    resend_share=0.2,
    resend_slack=56.0,
    resend_window_ms=10_000,
    allowance_window_ms=8_000,
    allowance_overage=0.25,
    allowance_slack=140_000.0,
)


class _ConnectedFleet:
    """A fleet of which every instance hears from all others."""

    def __init__(self, instances: int):
        self._instances = instances

    def count_instances(self) -> int:
        """Returns how many instances there are."""
        return self._instances

    def find_live_share(self) -> float:
        """Returns 1, as no instance is cut off."""
        return 1.0

    def list_recent_hosts(self) -> list[str]:
        """Returns no hosts; the engines name no limits."""
        return []

    def list_possible_hosts(self) -> list[str]:
        """Returns no hosts; the engines are not cold."""
        return []

    def knows_fleet(self) -> bool:
        """Returns true."""
        return True

    def is_informed(self) -> bool:
        """Returns true."""
        return True


class ReplayInstance:
    """The decision code of one instance."""

    def __init__(
        self,
        clock: ManualClock,
        client: ReplayClient,
        number: int,
        config: edge_config.EdgeConfig,
        instances: int,
    ):
        telemetry = _NullTelemetry()
        self.dependencies = make_dependencies(
            dataclasses.replace(SETTINGS, peers=(f"replay-{number}", 1)),
            clock,
            client,
            _ConnectedFleet(instances),
            telemetry,
            telemetry,
            # A generator of its own, so that a policy does not change the load.
            random.Random(number),
        )
        self.dependencies.holder.offer(config)
        self.relay = Relay(self.dependencies)


class Replay:
    """One run of a load pattern under one policy."""

    def __init__(self, pattern: Pattern, policy: Policy, seed: int):
        self._pattern = pattern
        self._deployment = pattern.deployment
        self._policy = policy
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._started_at_ms = self._clock.now_ms()
        self._event_counts: dict[str, int] = {}
        self._results = {
            kind.name: _KindResult() for kind in self._deployment.kinds
        }
        self._refusals: dict[str, list[int]] = collections.defaultdict(list)

    def run(self) -> Outcome:
        """Runs the pattern to its end and returns the results."""
        with apply_policy(self._policy):
            run_virtual(self._clock, self._run_pattern())
        return Outcome(
            self._results,
            {
                reason: (len(times), sorted(times)[len(times) // 2])
                for reason, times in self._refusals.items()
            },
        )

    @property
    def _now_ms(self) -> int:
        return self._clock.now_ms() - self._started_at_ms

    async def _run_pattern(self) -> None:
        deployment = self._deployment
        engines = {
            f"i-{number}": ReplayEngine(
                deployment.slots, factor, deployment.figures
            )
            for number, factor in enumerate(self._pattern.step_time_factors)
        }
        client = ReplayClient(
            engines,
            self._event_counts.__getitem__,
            deployment.figures.tokens_per_event,
        )
        config = make_config(deployment, self._policy)
        instances = [
            ReplayInstance(
                self._clock, client, number, config, deployment.instances
            )
            for number in range(deployment.instances)
        ]
        for name in engines:
            target = EdgeTarget(
                name,
                SERVICE,
                HOST,
                1,
                SETTINGS.zone,
                deployment.slots,
                False,
                0,
            )
            for instance in instances:
                instance.dependencies.targets.put(target)
                instance.dependencies.paces.note_listed(name, SERVICE, 0, False)
        async with anyio.create_task_group() as tasks:
            for engine in engines.values():
                tasks.start_soon(engine.run)
            for instance in instances:
                tasks.start_soon(instance.dependencies.backlog.run)
                tasks.start_soon(instance.dependencies.stall_detector.run)
            if self._policy.exchanges_occupancy:
                tasks.start_soon(self._exchange_digests, instances)
            if self._pattern.slow is not None:
                tasks.start_soon(
                    self._slow_down, list(engines.values()), *self._pattern.slow
                )
            if self._pattern.crash is not None:
                tasks.start_soon(
                    self._crash_and_restart, engines, *self._pattern.crash
                )
            async with anyio.create_task_group() as callers:
                for at_ms, kind in self._draw_arrivals():
                    await anyio.sleep(max(0, at_ms - self._now_ms) / 1_000)
                    callers.start_soon(self._send_with_retries, kind, instances)
            tasks.cancel_scope.cancel()

    def _draw_arrivals(self) -> list[tuple[int, Kind]]:
        arrivals = []
        for kind in self._deployment.kinds:
            at_ms = 0.0
            while True:
                rate_per_s = kind.arrivals_per_s * self._find_rate_factor(
                    kind.name, round(at_ms)
                )
                at_ms += self._rng.expovariate(rate_per_s / 1_000)
                if at_ms >= self._pattern.duration_ms:
                    break
                arrivals.append((round(at_ms), kind))
        return sorted(arrivals, key=lambda arrival: arrival[0])

    def _find_rate_factor(self, kind: str, at_ms: int) -> float:
        rate_share = self._pattern.rate_share
        if self._pattern.kind_burst is not None:
            name, start_ms, end_ms, factor = self._pattern.kind_burst
            if kind == name and start_ms <= at_ms < end_ms:
                return rate_share * factor
        for start_ms, end_ms, factor in self._pattern.bursts:
            if start_ms <= at_ms < end_ms:
                return rate_share * factor
        return rate_share

    async def _exchange_digests(self, instances: list[ReplayInstance]) -> None:
        """Tells all instances what each has in flight, and its tokens."""
        tables = [[i.dependencies.occupancy for i in instances]]
        if self._policy.exchanges_tokens:
            tables.append([i.dependencies.work.tokens for i in instances])
        pending = [list[dict[int, int]]() for _ in tables]
        while True:
            await anyio.sleep(self._deployment.digest_interval_ms / 1_000)
            for number, table in enumerate(tables):
                views = _sum_others(table)
                if self._deployment.has_relays:
                    views, pending[number] = pending[number], views
                for occupancy, view in zip(table, views, strict=False):
                    occupancy.set_view(view)
            for instance in instances:
                instance.dependencies.paces.check()

    async def _slow_down(
        self,
        engines: list[ReplayEngine],
        numbers: tuple[int, ...],
        start_ms: int,
        end_ms: int,
        factor: float,
    ) -> None:
        await anyio.sleep(start_ms / 1_000)
        for number in numbers:
            engines[number].step_time_factor *= factor
        await anyio.sleep((end_ms - start_ms) / 1_000)
        for number in numbers:
            engines[number].step_time_factor /= factor

    async def _crash_and_restart(
        self,
        engines: dict[str, ReplayEngine],
        engine_number: int,
        start_ms: int,
        end_ms: int,
    ) -> None:
        engine = engines[f"i-{engine_number}"]
        await anyio.sleep(start_ms / 1_000)
        engine.crash()
        await anyio.sleep((end_ms - start_ms) / 1_000)
        engine.is_down = False

    async def _send_with_retries(
        self, kind: Kind, instances: list[ReplayInstance]
    ) -> None:
        """Sends a request, and again after a refusal while retries are left."""
        deployment = self._deployment
        prompt_tokens = kind.fixed_tokens + self._draw_length(
            kind.mean_prompt_tokens, deployment.prompt_sigma
        )
        prompt_tokens = min(prompt_tokens, deployment.max_prompt_tokens)
        events = self._draw_length(kind.mean_events, OUTPUT_SIGMA)
        per_event = deployment.figures.tokens_per_event
        size = prompt_tokens + 10 * per_event * events
        mean_size = kind.find_mean_size(per_event)
        value_factor = min(4.0, 0.3 + 0.7 * size / mean_size)
        result = self._results[kind.name]
        result.offered += 1
        result.offered_value += kind.value_on_time * value_factor
        sent_at_ms = self._clock.now_ms()
        deadline_at_ms = sent_at_ms + kind.timeout_ms
        for attempt in range(RETRIES + 1):
            instance = self._rng.choice(instances)
            attempt_id = f"{kind.name}-{len(self._event_counts)}"
            self._event_counts[attempt_id] = events
            responder = _RecordingResponder(self._clock, self._clock.now_ms())
            call = EdgeCall(
                attempt=attempt_id,
                method="POST",
                host=HOST,
                path=f"/{kind.name}/x",
                headers=(),
                body=attempt_id.encode(),
                deadline_ms=deadline_at_ms - self._clock.now_ms(),
                prompt_tokens=prompt_tokens,
            )
            with contextlib.suppress(AnswerBrokenError):
                await instance.relay.serve(call, responder)
            verdict = responder.verdict
            if verdict is None or not hasattr(verdict, "retry_after_ms"):
                break
            self._refusals[str(verdict.reason)].append(self._now_ms)
            wait_ms = verdict.retry_after_ms
            left_ms = deadline_at_ms - self._clock.now_ms()
            if attempt == RETRIES or not 0 < wait_ms < left_ms:
                break
            await anyio.sleep(wait_ms / 1_000)
        is_large = prompt_tokens > self._find_large(kind)
        self._record_result(kind, responder, sent_at_ms, value_factor, is_large)

    def _record_result(
        self,
        kind: Kind,
        responder: _RecordingResponder,
        sent_at_ms: int,
        value_factor: float,
        is_large: bool,
    ) -> None:
        result = self._results[kind.name]
        result.large += is_large
        result.large_served += is_large and responder.is_complete
        if not responder.is_complete or responder.first_event_ms is None:
            result.refused += responder.verdict is not None
            result.failed += responder.verdict is None
            return
        first_event_latency_ms = responder.first_event_ms - sent_at_ms
        meets_gap_objective = (
            responder.longest_gap_ms <= self._deployment.gap_objective_ms
        )
        if first_event_latency_ms <= kind.objective_ms and meets_gap_objective:
            result.on_time += 1
            result.earned_value += kind.value_on_time * value_factor
        else:
            result.late += 1
            result.earned_value += kind.value_late * value_factor

    def _find_large(self, kind: Kind) -> float:
        """Returns the prompt tokens that one in ten requests exceeds."""
        sigma = self._deployment.prompt_sigma
        quantile = math.exp(LARGE_QUANTILE * sigma - sigma * sigma / 2)
        return kind.fixed_tokens + kind.mean_prompt_tokens * quantile

    def _draw_length(self, mean: float, sigma: float) -> int:
        """Draws a whole number from a log-normal distribution of that mean."""
        mu = math.log(mean) - sigma * sigma / 2
        return max(1, round(self._rng.lognormvariate(mu, sigma)))


def _sum_others(table: list[Occupancy]) -> list[dict[int, int]]:
    """Returns what the other instances have, for each one."""
    totals: dict[int, int] = {}
    for occupancy in table:
        for name, amount in occupancy.own.items():
            target = occupancy.find_hash(name)
            totals[target] = totals.get(target, 0) + amount
    views = []
    for occupancy in table:
        view = dict(totals)
        for name, amount in occupancy.own.items():
            view[occupancy.find_hash(name)] -= amount
        views.append(view)
    return views


def format_outcome(outcome: Outcome) -> str:
    """Returns the results of one replay as a table."""
    lines = [f"  value earned {outcome.earned_share:.3f}"]
    for name, result in outcome.by_kind.items():
        lines.append(
            f"  {name:15} offered {result.offered:5}  "
            f"on time {result.on_time:5}  late {result.late:4}  "
            f"refused {result.refused:4}  failed {result.failed:4}  "
            f"value earned {result.earned_value / result.offered_value:.3f}  "
            f"large {result.large_served}/{result.large}"
        )
    for reason, (number, median_ms) in sorted(outcome.refusals.items()):
        lines.append(f"  {reason}: {number}, median at {median_ms} ms")
    return "\n".join(lines)


@click.command()
@click.option(
    "--seeds",
    default=2,
    show_default=True,
    help="Runs of each policy and pattern.",
)
@click.option("--pattern", "only", help="Run only the pattern of this name.")
@click.option("--policy", "policy", help="Run only the policy of this name.")
@click.option(
    "--details",
    is_flag=True,
    help="Print tables by kind of request and reason of refusal.",
)
def main(
    seeds: int, only: str | None, policy: str | None, details: bool
) -> None:
    """Prints the part of the value that each policy earns, by pattern."""
    patterns = [p for p in PATTERNS if only in (None, p.name)]
    if not patterns:
        raise click.BadParameter(f"no load pattern is named {only}")
    click.echo(f"{'policy':18}" + "".join(f"{p.name:>10}" for p in patterns))
    for chosen in [p for p in POLICIES if policy in (None, p.name)]:
        row = f"{chosen.name:18}"
        tables = []
        for pattern in patterns:
            outcomes = [
                Replay(pattern, chosen, seed).run() for seed in range(seeds)
            ]
            mean_share = (
                sum(outcome.earned_share for outcome in outcomes) / seeds
            )
            row += f"{mean_share:10.3f}"
            tables.append(f" {pattern.name}\n{format_outcome(outcomes[0])}")
        click.echo(row)
        if details:
            click.echo("\n".join(tables))


if __name__ == "__main__":
    main()
