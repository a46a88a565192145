"""Faults of the runners as processes."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence

from peridotbend.platform import wire
from peridotbend_emulator.soak.fleet import VERSIONS
from peridotbend_emulator.soak.platform.documents import (
    DRAIN_S,
    REUSE_AFTER_S,
    STREAM_SERVICE,
)
from peridotbend_emulator.soak.runners import Runner, Start
from peridotbend_emulator.soak.seriescontext import (
    DOWN_S,
    LONG_DOWN_S,
    SILENT_S,
    SeriesContext,
)

# Added to the time for which a leaving runner serves on.
DRAIN_MARGIN_S = (0.2, 1.0)
# Where "fin" is played, this share of all deaths closes connections in order.
IN_ORDER_SHARE = 0.5
# Runners of a version below which none may leave it, so that streams that
# began at it can go on.
MIN_OF_VERSION = 2
# The version of a runner matters to streams only.
VERSION_FAULTS = frozenset(("inplace", "same", "early", "crashloop", "roll"))
OWN_VERSION_FAULTS = frozenset(("drain", "same"))
# In a release, this share of the processes dies before its entry is written.
DEAD_ON_RELEASE_SHARE = 1 / 3


class RunnerFaults:
    """Plays the faults that strike one runner, given with their names."""

    def __init__(self, context: SeriesContext):
        self._context = context
        self._fleet = context.fleet
        self.by_name: Mapping[str, Callable[[Runner, str], Awaitable[None]]] = {
            "crash": self._crash,
            "fin": self._crash,
            "drain": self._replace,
            "release": self._replace,
            "inplace": self._restart,
            "same": self._restart,
            "early": self._announce_early,
            "crashloop": self._restart_twice,
            "roll": self._roll,
            "reuse": self._exchange_addresses,
            "dark": self._silence,
        }

    def list_runners(self, fault: str) -> list[Runner]:
        """Returns the runners that a fault may strike."""
        if fault not in VERSION_FAULTS:
            return self._fleet.runners
        return [r for r in self._fleet.runners if r.service == STREAM_SERVICE]

    async def _crash(self, runner: Runner, fault: str) -> None:
        """Starts a runner again, with the ID that it had or another."""
        self._die(runner, fault)
        await self._context.sleep(LONG_DOWN_S)
        name = runner.start.name
        if self._context.rng.random() < 0.5:
            self._fleet.remove_entry(runner)
            name = self._fleet.starts.make_name()
        await self._launch(runner, name, runner.start.software)
        self._list(runner)

    async def _replace(self, runner: Runner, fault: str) -> None:
        self._context.note(f"{fault} {runner.start.name}: draining")
        self._fleet.list_entry(runner, runner.make_entry(is_leaving=True))
        await asyncio.sleep(DRAIN_S)
        await self._context.sleep(DRAIN_MARGIN_S)
        self._fleet.remove_entry(runner)
        self._die(runner, fault)
        software = self._choose_software(runner, fault)
        name = self._fleet.starts.make_name()
        await self._launch(runner, name, software)
        self._list(runner)

    async def _restart(self, runner: Runner, fault: str) -> None:
        software = self._choose_software(runner, fault)
        await self._restart_unlisted(runner, fault, software)
        self._list(runner)

    async def _restart_unlisted(
        self, runner: Runner, fault: str, software: str
    ) -> None:
        self._die(runner, fault)
        await self._context.sleep(DOWN_S)
        await self._launch(runner, runner.start.name, software)
        await self._lag(fault)

    async def _announce_early(self, runner: Runner, fault: str) -> None:
        """Writes the entry of the next start while the last one serves."""
        software = self._choose_software(runner, fault)
        start = self._fleet.starts.make_start(runner.start.name, software)
        self._context.note(f"{fault} {start.name}: entry of {start.software}")
        self._fleet.list_entry(runner, runner.make_entry(start))
        await self._lag(fault)
        self._die(runner, fault)
        await self._context.sleep(DOWN_S)
        await self._launch_start(runner, start)

    async def _restart_twice(self, runner: Runner, fault: str) -> None:
        own, other = runner.start.software, self._choose_other(runner)
        any_one = own if self._context.rng.random() < 0.5 else other
        for next_software in (other, any_one):
            await self._restart_unlisted(runner, fault, next_software)
        self._list(runner)

    async def _roll(self, runner: Runner, fault: str) -> None:
        """Goes on with a release, or begins one if the last is complete."""
        newest = find_newest(
            [r.start.software for r in self.list_runners(fault)]
        )
        is_doomed = self._context.rng.random() < DEAD_ON_RELEASE_SHARE
        for _ in range(1 + is_doomed):
            await self._restart_unlisted(runner, fault, newest)
        self._list(runner)

    async def _exchange_addresses(self, runner: Runner, fault: str) -> None:
        """Replaces runners of two services at each other's addresses."""
        occupation = self._context.occupation
        free = filter(occupation.is_free, self._fleet.runners)
        others = [other for other in free if other.service != runner.service]
        if not others:
            return
        other = self._context.rng.choice(others)
        with occupation.hold(other):
            pair = runner, other
            keys = [wire.TARGET_PREFIX + one.start.name for one in pair]
            for one in pair:
                self._die(one, fault)
            # Entries of runners that say nothing may outlive them.
            if self._context.rng.random() < 0.5:
                self._fleet.store.delete(*keys)
            await asyncio.sleep(REUSE_AFTER_S)
            runner.exchange_addresses(other)
            for one in pair:
                name = self._fleet.starts.make_name()
                await self._launch(one, name, one.start.software)
            await self._lag(fault)
            self._fleet.store.delete(*keys)
            for one in pair:
                self._list(one)

    async def _silence(self, runner: Runner, fault: str) -> None:
        self._context.note(f"{fault} {runner.start.name}")
        if (process := runner.process) is not None:
            process.is_silent = True
            await self._context.sleep(SILENT_S)
            process.is_silent = False

    def _die(self, runner: Runner, fault: str) -> None:
        is_struck = self._context.rng.random() < IN_ORDER_SHARE
        has_fin = self._context.choices.plan.has("fin")
        in_order = fault == "fin" or (has_fin and is_struck)
        end = "closed in order" if in_order else "reset"
        start = runner.start
        self._context.note(
            f"{fault} {start.name}: {start.software} dies, {end}"
        )
        runner.die(in_order)

    async def _launch(self, runner: Runner, name: str, software: str) -> None:
        start = self._fleet.starts.make_start(name, software)
        await self._launch_start(runner, start)

    async def _launch_start(self, runner: Runner, start: Start) -> None:
        await runner.launch(start)
        self._context.note(f"{start.name} listens as {start.software}")

    def _list(self, runner: Runner) -> None:
        self._fleet.list_entry(runner, runner.make_entry())
        start = runner.start
        self._context.note(f"{start.name} listed as {start.software}")

    def _choose_other(self, runner: Runner) -> str:
        """Returns the other version, unless too few runners keep the own."""
        own = runner.start.software
        same = sum(
            (other.service, other.start.software) == (runner.service, own)
            for other in self._fleet.runners
        )
        if same <= MIN_OF_VERSION and runner.service == STREAM_SERVICE:
            return own
        return next(version for version in VERSIONS if version != own)

    def _choose_software(self, runner: Runner, fault: str) -> str:
        if fault in OWN_VERSION_FAULTS:
            return runner.start.software
        return self._choose_other(runner)

    async def _lag(self, fault: str) -> None:
        longest_s = self._context.choices.plan.shares[fault]
        await asyncio.sleep(self._context.rng.uniform(0.0, longest_s))


def find_newest(versions: Sequence[str]) -> str:
    """Returns the version that a release rolls out over the given ones."""
    numbers = [int(version.removeprefix("v")) for version in versions]
    newest = max(numbers)
    return f"v{newest + (min(numbers) == newest)}"
