"""Faults that come in series, and overlap with those of the other series."""

import itertools
from collections.abc import Sequence
from typing import TypeVar

from peridotbend_emulator.soak.instancefaults import InstanceFaults
from peridotbend_emulator.soak.instances import Instance
from peridotbend_emulator.soak.runnerfaults import RunnerFaults
from peridotbend_emulator.soak.runners import Runner
from peridotbend_emulator.soak.seriescontext import SeriesContext

PAUSE_BETWEEN_S = (0.5, 3.0)

_Subject = TypeVar("_Subject", Runner, Instance)


class DisturbanceSeries:
    """Plays one fault after another."""

    def __init__(self, context: SeriesContext):
        self._context = context
        self._runner_faults = RunnerFaults(context)
        self._instance_faults = InstanceFaults(context)

    async def run(self) -> None:
        """Plays faults until it is cancelled."""
        context = self._context
        if not (names := context.choices.plan.list_series()):
            return
        for number in itertools.count():
            context.begin_fault(number)
            await context.sleep(PAUSE_BETWEEN_S)
            name = context.rng.choice(names)
            if name in self._runner_faults.by_name:
                await self._disturb_runner(name)
            elif name in self._instance_faults.by_name:
                await self._disturb_instance(name)
            else:
                await self._instance_faults.of_fleet[name]()

    async def _disturb_runner(self, name: str) -> None:
        context, faults = self._context, self._runner_faults
        runner = self._choose(faults.list_runners(name))
        if runner is not None:
            with context.occupation.hold(runner), context.touch.hold(name, -1):
                await faults.by_name[name](runner, name)

    async def _disturb_instance(self, name: str) -> None:
        context = self._context
        instance = self._choose(context.fleet.instances)
        if instance is not None:
            with (
                context.occupation.hold(instance),
                context.touch.hold(name, instance.index),
            ):
                context.note(f"{name} {instance.index}")
                await self._instance_faults.by_name[name](instance)
                context.note(f"{name} {instance.index}: over")

    def _choose(self, subjects: Sequence[_Subject]) -> _Subject | None:
        """Returns the first free one from a random place on, if any."""
        begin = self._context.rng.randrange(len(subjects))
        for number in range(len(subjects)):
            subject = subjects[(begin + number) % len(subjects)]
            if self._context.occupation.is_free(subject):
                return subject
        return None
