"""Replays load patterns against the decisions of the edge, in virtual time.

Several instances run the decision code of the daemon without any network:
`python -m peridotbend_emulator.replay`. A policy is a set of values for the
constants of that code.
"""

import collections
import contextlib
import itertools
import math
import random

import anyio
import click

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import AnswerHead
from peridotbend.domain.verdicts import Verdict
from peridotbend.edge.ports import AnswerBrokenError, EdgeCall
from peridotbend.edge.targets import EdgeTarget
from peridotbend_emulator.replayengine import ReplayClient, ReplayEngine
from peridotbend_emulator.replayfleet import (
    HOST,
    SERVICE,
    SETTINGS,
    ReplayInstance,
    make_config,
    sum_others,
)
from peridotbend_emulator.replayload import (
    PATTERNS,
    POLICIES,
    Kind,
    Pattern,
    Policy,
    apply_policy,
)
from peridotbend_emulator.replayresults import (
    KindResult,
    Outcome,
    format_outcome,
)
from peridotbend_emulator.virtualtime import run_virtual

# A refused responder retries once, as the users' callers do.
RETRIES = 1
# Shape parameters of the log-normal lengths: outputs vary widely around their
# mean.
OUTPUT_SIGMA = 0.8
# Requests with longer prompts than nine tenths of their kind are counted apart.
LARGE_QUANTILE = 1.2816


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
            kind.name: KindResult() for kind in self._deployment.kinds
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
            self._client.rejections,
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
        client = self._client = ReplayClient(
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
            tables.append([i.dependencies.prompt_tokens for i in instances])
        age_ms = self._deployment.digest_age_ms
        interval_ms = self._deployment.digest_interval_ms
        # Relays answer at different times.
        phases = interval_ms // age_ms if age_ms else 1
        for phase in itertools.cycle(range(phases)):
            await anyio.sleep((interval_ms / phases - age_ms) / 1_000)
            views = [sum_others(table) for table in tables]
            await anyio.sleep(age_ms / 1_000)
            for table, sums in zip(tables, views, strict=True):
                for index in range(phase, len(table), phases):
                    table[index].set_view(sums[index])
            for instance in instances[phase::phases]:
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
