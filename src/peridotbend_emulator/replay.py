"""Replays load patterns against the decisions of the edge, in virtual time.

Several instances run the very code that the daemon runs, without input and
output: `python -m peridotbend_emulator.replay`. A policy is a set of
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
from peridotbend.edge.parts import make_parts
from peridotbend.edge.ports import AnswerBrokenError, EdgeCall
from peridotbend.edge.relay import Relay
from peridotbend.edge.settings import EdgeSettings
from peridotbend.edge.targets import EdgeTarget
from peridotbend_emulator.replayengine import (
    EVENT_TOKENS,
    ReplayClient,
    ReplayEngine,
)
from peridotbend_emulator.replayload import (
    GAP_OBJECTIVE_MS,
    KINDS,
    LENGTH_MS,
    PATTERNS,
    POLICIES,
    Kind,
    Pattern,
    Policy,
    apply_policy,
)
from peridotbend_emulator.virtualtime import run_virtual

HOST = "replay.example"
SERVICE = "engine"
INSTANCES = 8
SLOTS = 11
# Callers that were refused come back once, as the users' do.
RETRIES = 1
# Outputs differ widely around their mean.
OUTPUT_SIGMA = 0.8
PROMPT_SIGMA = 0.25


@dataclasses.dataclass(slots=True)
class _Count:
    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    owed: float = 0.0
    earned: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The figures of one replay."""

    by_kind: Mapping[str, _Count]
    # Refusals by reason, and the time at which half of them had come.
    refusals: Mapping[str, tuple[int, int]]

    @property
    def worth(self) -> float:
        """Earned of what was owed."""
        owed = sum(count.owed for count in self.by_kind.values())
        return sum(c.earned for c in self.by_kind.values()) / owed


class _Silence:
    """Takes log lines and counts, and drops them."""

    def emit(self, event: object, **fields: object) -> None:
        """Drops a line."""

    def observe_end(self, kind: str, outcome: str, took_ms: int) -> None:
        """Drops an end."""

    def count_send(self, outcome: str) -> None:
        """Drops a send."""


class _Caller:
    """One attempt: notes when its events came."""

    def __init__(self, clock: ManualClock, asked_at_ms: int):
        self._clock = clock
        self._last_ms = asked_at_ms
        self.first_ms: int | None = None
        self.longest_gap_ms = 0
        self.is_complete = False
        self.verdict: Verdict | None = None

    async def start(self, head: AnswerHead) -> None:
        """Takes the head."""

    async def send(self, data: bytes) -> None:
        """Takes events."""
        now_ms = self._clock.now_ms()
        if self.first_ms is None:
            self.first_ms = now_ms
        else:
            gap_ms = now_ms - self._last_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self._last_ms = now_ms

    async def finish(self) -> None:
        """Takes the end."""
        self.is_complete = True

    async def refuse(self, verdict: Verdict) -> None:
        """Takes a refusal."""
        self.verdict = verdict


def _make_route(kind: Kind) -> edge_config.Route:
    return edge_config.Route(
        name=kind.name,
        host=HOST,
        prefix=f"/{kind.name}/",
        kind=edge_config.RouteKind.STREAM,
        services=(edge_config.WeightedService(SERVICE, 1.0),),
        max_attempts=2,
        timeout_ms=kind.timeout_ms,
        objective_ms=kind.objective_ms,
        gap_objective_ms=GAP_OBJECTIVE_MS,
        rank=kind.rank,
        is_public=True,
        is_generation=True,
        can_resume=True,
    )


CONFIG = edge_config.EdgeConfig(
    version=1,
    routes=tuple(map(_make_route, KINDS)),
    accounts=(),
    limits=edge_config.CallerLimits(16_384, 4_194_304, 3_000, 15_000),
)
_NOWHERE = ("127.0.0.1", 1)
SETTINGS = EdgeSettings(
    name="replay",
    zone="zone-a",
    callers=_NOWHERE,
    health=_NOWHERE,
    peers=_NOWHERE,
    digests=_NOWHERE,
    seeds=(),
    store=_NOWHERE,
    grace_ms=8_000,
    resend_share=0.2,
    resend_slack=56.0,
    resend_window_ms=10_000,
    allowance_window_ms=8_000,
    allowance_overage=0.25,
    allowance_slack=140_000.0,
)


class _Fleet:
    """All instances, which hear each other."""

    def count_instances(self) -> int:
        """Returns how many there are."""
        return INSTANCES

    def find_live_share(self) -> float:
        """Returns 1: nothing cuts them off."""
        return 1.0


class _Instance:
    """The decisions of one entry instance."""

    def __init__(
        self, clock: ManualClock, client: ReplayClient, rng: random.Random
    ):
        silence = _Silence()
        self.parts = make_parts(
            SETTINGS, clock, client, _Fleet(), silence, silence, rng
        )
        self.parts.holder.offer(CONFIG)
        self.relay = Relay(self.parts)


class Replay:
    """One pattern against one policy."""

    def __init__(self, pattern: Pattern, policy: Policy, seed: int):
        self._pattern = pattern
        self._policy = policy
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._started_at_ms = self._clock.now_ms()
        self._events: dict[str, int] = {}
        self._counts = {kind.name: _Count() for kind in KINDS}
        self._refusals: dict[str, list[int]] = collections.defaultdict(list)

    def run(self) -> Outcome:
        """Plays the pattern to its end."""
        with apply_policy(self._policy):
            run_virtual(self._clock, self._play())
        return Outcome(
            self._counts,
            {
                reason: (len(times), sorted(times)[len(times) // 2])
                for reason, times in self._refusals.items()
            },
        )

    @property
    def _now_ms(self) -> int:
        return self._clock.now_ms() - self._started_at_ms

    async def _play(self) -> None:
        engines = {
            f"i-{number}": ReplayEngine(SLOTS, slowness)
            for number, slowness in enumerate(self._pattern.slowness)
        }
        client = ReplayClient(engines, self._events.__getitem__)
        # Decisions and load have random numbers of their own: a policy must
        # not change the load.
        instances = [
            _Instance(self._clock, client, random.Random(number))
            for number in range(INSTANCES)
        ]
        for name in engines:
            target = EdgeTarget(
                name, SERVICE, HOST, 1, SETTINGS.zone, SLOTS, False, 0
            )
            for instance in instances:
                instance.parts.targets.put(target)
        async with anyio.create_task_group() as tasks:
            for engine in engines.values():
                tasks.start_soon(engine.run)
            for instance in instances:
                tasks.start_soon(instance.parts.backlog.run)
                tasks.start_soon(instance.parts.stall_detector.run)
            if self._policy.shares_use:
                tasks.start_soon(self._share_use, instances)
            if self._pattern.crash is not None:
                tasks.start_soon(self._crash, engines, *self._pattern.crash)
            async with anyio.create_task_group() as callers:
                for at_ms, kind in self._draw_arrivals():
                    await anyio.sleep(max(0, at_ms - self._now_ms) / 1_000)
                    callers.start_soon(self._call, kind, instances)
            tasks.cancel_scope.cancel()

    def _draw_arrivals(self) -> list[tuple[int, Kind]]:
        arrivals = []
        for kind in KINDS:
            at_ms = 0.0
            while True:
                rate = kind.per_s * self._find_factor(round(at_ms))
                at_ms += self._rng.expovariate(rate / 1_000)
                if at_ms >= LENGTH_MS:
                    break
                arrivals.append((round(at_ms), kind))
        return sorted(arrivals, key=lambda arrival: arrival[0])

    def _find_factor(self, at_ms: int) -> float:
        for start_ms, end_ms, factor in self._pattern.bursts:
            if start_ms <= at_ms < end_ms:
                return factor
        return 1.0

    async def _share_use(self, instances: list[_Instance]) -> None:
        while True:
            await anyio.sleep(self._policy.digest_ms / 1_000)
            uses = [
                dict(instance.parts.occupancy.own) for instance in instances
            ]
            for instance in instances:
                for number, use in enumerate(uses):
                    if instances[number] is not instance:
                        instance.parts.occupancy.record_peer(str(number), use)

    async def _crash(
        self,
        engines: dict[str, ReplayEngine],
        number: int,
        start_ms: int,
        end_ms: int,
    ) -> None:
        engine = engines[f"i-{number}"]
        await anyio.sleep(start_ms / 1_000)
        engine.crash()
        await anyio.sleep((end_ms - start_ms) / 1_000)
        engine.is_down = False

    async def _call(self, kind: Kind, instances: list[_Instance]) -> None:
        """Asks until it is answered, out of time or refused once too often."""
        prompt = self._draw(kind.prompt_tokens, PROMPT_SIGMA)
        events = self._draw(kind.events, OUTPUT_SIGMA)
        tokens = prompt + 10 * EVENT_TOKENS * events
        size = min(4.0, 0.3 + 0.7 * tokens / kind.mean_size)
        count = self._counts[kind.name]
        count.asked += 1
        count.owed += kind.worth * size
        asked_at_ms = self._clock.now_ms()
        end_at_ms = asked_at_ms + kind.timeout_ms
        for attempt in range(RETRIES + 1):
            instance = self._rng.choice(instances)
            name = f"{kind.name}-{len(self._events)}"
            self._events[name] = events
            caller = _Caller(self._clock, self._clock.now_ms())
            call = EdgeCall(
                attempt=name,
                method="POST",
                host=HOST,
                path=f"/{kind.name}/x",
                headers=(),
                body=name.encode(),
                deadline_ms=end_at_ms - self._clock.now_ms(),
                prompt_tokens=prompt,
            )
            with contextlib.suppress(AnswerBrokenError):
                await instance.relay.serve(call, caller)
            verdict = caller.verdict
            if verdict is None or not hasattr(verdict, "retry_after_ms"):
                break
            self._refusals[str(verdict.reason)].append(self._now_ms)
            wait_ms = verdict.retry_after_ms
            left_ms = end_at_ms - self._clock.now_ms()
            if attempt == RETRIES or not 0 < wait_ms < left_ms:
                break
            await anyio.sleep(wait_ms / 1_000)
        self._judge(kind, caller, asked_at_ms, size)

    def _judge(
        self, kind: Kind, caller: _Caller, asked_at_ms: int, size: float
    ) -> None:
        count = self._counts[kind.name]
        if not caller.is_complete or caller.first_ms is None:
            count.refused += caller.verdict is not None
            count.failed += caller.verdict is None
            return
        took_ms = caller.first_ms - asked_at_ms
        gap_is_kept = caller.longest_gap_ms <= GAP_OBJECTIVE_MS
        if took_ms <= kind.objective_ms and gap_is_kept:
            count.on_time += 1
            count.earned += kind.worth * size
        else:
            count.late += 1
            count.earned += kind.worth_late * size

    def _draw(self, mean: float, sigma: float) -> int:
        """Draws from a log-normal distribution with that mean."""
        mu = math.log(mean) - sigma * sigma / 2
        return max(1, round(self._rng.lognormvariate(mu, sigma)))


def format_outcome(outcome: Outcome) -> str:
    """Returns a table of one replay."""
    lines = [f"  worth {outcome.worth:.3f}"]
    for name, count in outcome.by_kind.items():
        lines.append(
            f"  {name:15} asked {count.asked:5}  on time {count.on_time:5}  "
            f"late {count.late:4}  refused {count.refused:4}  "
            f"failed {count.failed:4}  "
            f"worth {count.earned / count.owed:.3f}"
        )
    for reason, (number, half_ms) in sorted(outcome.refusals.items()):
        lines.append(f"  {reason}: {number}, half of them by {half_ms} ms")
    return "\n".join(lines)


@click.command()
@click.option("--seeds", default=2, show_default=True, help="Runs of each.")
@click.option("--pattern", "only", help="One pattern, by name.")
@click.option("--details", is_flag=True, help="Tables by kind and reason.")
def main(seeds: int, only: str | None, details: bool) -> None:
    """Prints the worth of each policy under each pattern."""
    chosen = [p for p in PATTERNS if only in (None, p.name)]
    if not chosen:
        raise click.BadParameter(f"no pattern is named {only}")
    click.echo(f"{'policy':18}" + "".join(f"{p.name:>10}" for p in chosen))
    for policy in POLICIES:
        row = f"{policy.name:18}"
        tables = []
        for pattern in chosen:
            outcomes = [
                Replay(pattern, policy, seed).run() for seed in range(seeds)
            ]
            worth = sum(outcome.worth for outcome in outcomes) / seeds
            row += f"{worth:10.3f}"
            tables.append(f" {pattern.name}\n{format_outcome(outcomes[0])}")
        click.echo(row)
        if details:
            click.echo("\n".join(tables))


if __name__ == "__main__":
    main()
