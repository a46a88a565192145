"""Replays targets that return, slow down or lie, under several ramps.

`python -m peridotbend_emulator.replaytargets` compares ways to limit a target
that has just returned: what callers get, how soon it carries its share, and
the load of the others meanwhile.
"""

import dataclasses

import anyio
import click

from peridotbend.edge.targets import EdgeTarget
from peridotbend_emulator.replay import Replay
from peridotbend_emulator.replayengine import ReplayClient, ReplayEngine
from peridotbend_emulator.replayfleet import (
    HOST,
    SERVICE,
    SETTINGS,
    ReplayInstance,
    make_config,
)
from peridotbend_emulator.replayload import (
    DURATION_MS,
    SMALL,
    Pattern,
    Policy,
)
from peridotbend_emulator.replayramps import RAMPS, use_ramp

SLOTS = SMALL.slots
ENGINES = 10
# The arrival rates of the replay are for 5 engines.
RATE_FACTOR = ENGINES / 5
# Up to this number of instances, each hears from all others.
MESH_SIZE = 17
MESH_INTERVAL_MS = 50
# State passes through two relays.
GROUP_INTERVAL_MS = 100
SAMPLE_MS = 100
# Window in which the throughput of engines is compared.
SHARE_WINDOW_MS = 1_000
REACHED_SHARE = 0.9
# From a return, for the load of the other engines.
MEANWHILE_MS = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """What happens to some engines for some time."""

    engines: tuple[int, ...]
    start_ms: int
    end_ms: int
    # Factor on the time of a step.
    slowness: float = 1.0
    is_down: bool = False
    # Whether they are listed as new targets when a time down ends.
    is_listed_again: bool = False
    failing_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Phases of engines under a steady load."""

    name: str
    phases: tuple[Phase, ...]
    # When what is measured returns; 0 for the start of the run.
    returns_at_ms: int
    load: float = 0.85


_ALL = tuple(range(ENGINES))
SCENARIOS = (
    Scenario("undisturbed", (), 8_000),
    Scenario(
        "started",
        (
            Phase((0,), 3_000, 8_000, is_down=True, is_listed_again=True),
            Phase((0,), 8_000, 12_000, slowness=5.0),
        ),
        8_000,
    ),
    Scenario(
        "started-warm",
        (Phase((0,), 3_000, 8_000, is_down=True, is_listed_again=True),),
        8_000,
    ),
    Scenario(
        "recovered",
        (Phase((0,), 6_000, 8_000, is_down=True),),
        8_000,
    ),
    Scenario("slow", (Phase((0,), 4_000, 8_000, slowness=4.0),), 8_000),
    Scenario("lying", (Phase((0,), 4_000, 8_000, failing_share=0.8),), 8_000),
    Scenario(
        "zone",
        (
            Phase((0, 3, 6), 3_000, 8_000, is_down=True, is_listed_again=True),
            Phase((0, 3, 6), 8_000, 12_000, slowness=5.0),
        ),
        8_000,
    ),
    Scenario(
        "all",
        (Phase(_ALL, 6_000, 7_000, is_down=True, is_listed_again=True),),
        8_000,
    ),
    Scenario(
        "started-burst",
        (
            Phase((0,), 3_000, 8_000, is_down=True, is_listed_again=True),
            Phase((0,), 8_000, 12_000, slowness=5.0),
        ),
        8_000,
        load=1.3,
    ),
)


@dataclasses.dataclass(slots=True)
class _Sample:
    at_ms: int
    produced: list[int]
    in_flight: list[int]


class TargetReplay(Replay):
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, instances: int, seed: int):
        factor = RATE_FACTOR * scenario.load
        pattern = Pattern(scenario.name, ((0, DURATION_MS, factor),))
        super().__init__(pattern, Policy("as-is"), seed)
        self._scenario = scenario
        self._size = instances
        self._engines: dict[str, ReplayEngine] = {}
        self._instances: list[ReplayInstance] = []
        self._samples: list[_Sample] = []

    def find_share_ms(self) -> int | None:
        """Returns when the first engine had its share again after a return.

        Its share is nine tenths of what the others produce on average.
        """
        window = SHARE_WINDOW_MS // SAMPLE_MS
        returned_ms = self._scenario.returns_at_ms
        for before, after in zip(
            self._samples, self._samples[window:], strict=False
        ):
            if before.at_ms < returned_ms:
                continue
            rates = [
                now - then
                for now, then in zip(
                    after.produced, before.produced, strict=True
                )
            ]
            others = sum(rates[1:]) / len(rates[1:])
            if rates[0] >= REACHED_SHARE * others:
                return after.at_ms - returned_ms
        return None

    def find_others_load(self) -> float:
        """Returns the mean load of the other engines just after the return."""
        from_ms = self._scenario.returns_at_ms
        loads = [
            sum(sample.in_flight[1:]) / len(sample.in_flight[1:]) / SLOTS
            for sample in self._samples
            if from_ms <= sample.at_ms < from_ms + MEANWHILE_MS
        ]
        return sum(loads) / len(loads)

    async def _run_pattern(self) -> None:
        self._engines = {
            f"i-{number}": ReplayEngine(SLOTS, 1.0) for number in _ALL
        }
        client = self._client = ReplayClient(
            self._engines, self._event_counts.__getitem__
        )
        config = make_config(self._deployment, self._policy)
        self._instances = [
            ReplayInstance(self._clock, client, number, config, self._size)
            for number in range(self._size)
        ]
        for name in self._engines:
            self._list_target(name, 1, fresh=False)
        async with anyio.create_task_group() as tasks:
            for engine in self._engines.values():
                tasks.start_soon(engine.run)
            for instance in self._instances:
                tasks.start_soon(instance.dependencies.backlog.run)
                tasks.start_soon(instance.dependencies.stall_detector.run)
            tasks.start_soon(self._exchange)
            tasks.start_soon(self._sample)
            for phase in self._scenario.phases:
                tasks.start_soon(self._run_phase, phase)
            async with anyio.create_task_group() as callers:
                for at_ms, kind in self._draw_arrivals():
                    await anyio.sleep(max(0, at_ms - self._now_ms) / 1_000)
                    callers.start_soon(
                        self._send_with_retries, kind, self._instances
                    )
            tasks.cancel_scope.cancel()

    def _list_target(self, name: str, started_at_ms: int, fresh: bool) -> None:
        target = EdgeTarget(
            name, SERVICE, HOST, 1, SETTINGS.zone, SLOTS, False, started_at_ms
        )
        for instance in self._instances:
            if fresh:
                instance.dependencies.health.forget(name)
            instance.dependencies.paces.note_listed(
                name, SERVICE, started_at_ms, fresh
            )
            instance.dependencies.targets.put(target)

    async def _run_phase(self, phase: Phase) -> None:
        engines = [self._engines[f"i-{number}"] for number in phase.engines]
        await anyio.sleep(phase.start_ms / 1_000)
        for engine in engines:
            engine.step_time_factor = phase.slowness
            engine.failing_share = phase.failing_share
            if phase.is_down:
                engine.crash()
        await anyio.sleep((phase.end_ms - phase.start_ms) / 1_000)
        for number, engine in zip(phase.engines, engines, strict=True):
            if engine.step_time_factor == phase.slowness:
                engine.step_time_factor = 1.0
            engine.failing_share = 0.0
            engine.is_down = False
            if phase.is_listed_again:
                started_at_ms = self._clock.wall_ms()
                self._list_target(f"i-{number}", started_at_ms, fresh=True)

    async def _exchange(self) -> None:
        """Passes on the sums of all instances, one round late in groups."""
        is_mesh = self._size <= MESH_SIZE
        interval_ms = MESH_INTERVAL_MS if is_mesh else GROUP_INTERVAL_MS
        previous: list[dict[str, int]] = [{} for _ in self._instances]
        while True:
            await anyio.sleep(interval_ms / 1_000)
            own = [
                dict(instance.dependencies.occupancy.own)
                for instance in self._instances
            ]
            reported = own if is_mesh else previous
            previous = own
            totals: dict[str, int] = {}
            for counts in reported:
                for name, count in counts.items():
                    totals[name] = totals.get(name, 0) + count
            for instance, counts in zip(self._instances, reported, strict=True):
                others = {
                    name: count - counts.get(name, 0)
                    for name, count in totals.items()
                }
                dependencies = instance.dependencies
                dependencies.occupancy.record_peer("others", others)
                dependencies.paces.check()

    async def _sample(self) -> None:
        while True:
            engines = self._engines.values()
            self._samples.append(
                _Sample(
                    self._now_ms,
                    [engine.produced_tokens for engine in engines],
                    [engine.in_flight for engine in engines],
                )
            )
            await anyio.sleep(SAMPLE_MS / 1_000)


@click.command()
@click.option("--seeds", default=2, show_default=True, help="Runs of each.")
@click.option("--scenario", "only", help="Run only the scenario of this name.")
@click.option("--ramp", "only_ramp", help="Run only the ramp of this name.")
@click.option("--instances", default=25, show_default=True)
def main(
    seeds: int, only: str | None, only_ramp: str | None, instances: int
) -> None:
    """Prints what callers get from each ramp in each scenario."""
    click.echo(f"{instances} instances, {ENGINES} engines, {seeds} seeds")
    click.echo(
        f"{'scenario':14}{'ramp':>10}{'value':>7}{'late':>7}{'refused':>8}"
        f"{'failed':>7}{'share after ms':>16}{'others load':>12}"
    )
    for scenario in SCENARIOS:
        if only not in (None, scenario.name):
            continue
        for ramp in RAMPS:
            if only_ramp not in (None, ramp):
                continue
            click.echo(_describe(scenario, ramp, instances, seeds))


def _describe(scenario: Scenario, ramp: str, instances: int, seeds: int) -> str:
    values = late = refused = failed = load = 0.0
    reached = []
    for seed in range(seeds):
        replay = TargetReplay(scenario, instances, seed)
        with use_ramp(ramp):
            outcome = replay.run()
        kinds = outcome.by_kind.values()
        values += outcome.earned_share / seeds
        late += sum(kind.late for kind in kinds) / seeds
        refused += sum(kind.refused for kind in kinds) / seeds
        failed += sum(kind.failed for kind in kinds) / seeds
        load += replay.find_others_load() / seeds
        reached.append(replay.find_share_ms())
    times = "/".join("-" if ms is None else str(ms) for ms in reached)
    return (
        f"{scenario.name:14}{ramp:>10}{values:7.3f}{late:7.1f}{refused:8.1f}"
        f"{failed:7.1f}{times:>16}{load:12.3f}"
    )


if __name__ == "__main__":
    main()
