"""Faults that come in series, and overlap with those of the other series."""

import asyncio
import itertools
import random
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import TypeVar

from peridotbend_emulator.soak.faults import Choices
from peridotbend_emulator.soak.fleet import VERSIONS, SoakFleet
from peridotbend_emulator.soak.fleetchecks import TouchLog
from peridotbend_emulator.soak.instances import Instance, NotReadyError
from peridotbend_emulator.soak.links import CUT_STATES, Link, LinkState
from peridotbend_emulator.soak.occupation import Occupation
from peridotbend_emulator.soak.platform.documents import (
    DRAIN_S,
    GRACE_S,
    HEARTBEAT_S,
    SETTINGS_CHANGES,
    STREAM_SERVICE,
)
from peridotbend_emulator.soak.proxies import Direction, Gate
from peridotbend_emulator.soak.record import Record
from peridotbend_emulator.soak.runners import Runner, Start

PAUSE_BETWEEN_S = (0.5, 3.0)
DOWN_S = (0.05, 1.0)
LONG_DOWN_S = (0.2, 2.5)
AWAY_S = (0.3, 3.0)
SILENT_S = (0.5, 4.0)
DELAY_S = (0.01, 0.3)
# The time of day of a machine may be off by seconds.
CLOCK_MS = 10_000
# The platform removes an entry that is not written again for so long.
LEASE_HEARTBEATS = 3
# Added to the time for which a leaving runner serves on.
DRAIN_MARGIN_S = (0.2, 1.0)
# Where "fin" is played, this share of all deaths closes connections in order.
IN_ORDER_SHARE = 0.5
# Runners of a version below which none may leave it, so that streams that
# began at it can go on.
MIN_OF_VERSION = 2
# The version of a runner matters to streams only.
VERSION_FAULTS = frozenset(("inplace", "same", "early", "crashloop"))

_Subject = TypeVar("_Subject", Runner, Instance)


class DisturbanceSeries:
    """Plays one fault after another."""

    def __init__(
        self,
        fleet: SoakFleet,
        make_choices: Callable[[int], Choices],
        record: Record,
        occupation: Occupation,
        touch: TouchLog,
    ):
        """Creates a series.

        Args:
            fleet: what it disturbs.
            make_choices: returns the choices of a fault by its number, so that
                one that is passed over doesn't change those after it.
            record: of the run.
            occupation: shared with the other series.
            touch: notes what is disturbed.
        """
        self._touch = touch
        self._fleet = fleet
        self._make_choices = make_choices
        self._choices = make_choices(0)
        self._record = record
        self._occupation = occupation
        self._names = self._choices.plan.list_series()
        self._runner_faults: Mapping[
            str, Callable[[Runner], Awaitable[None]]
        ] = {
            "crash": self._crash,
            "fin": self._crash_in_order,
            "drain": self._drain,
            "release": self._release,
            "inplace": self._restart_as_other,
            "same": self._restart_as_same,
            "early": self._announce_early,
            "crashloop": self._restart_twice,
            "dark": self._silence,
        }
        self._instance_faults: Mapping[
            str, Callable[[Instance], Awaitable[None]]
        ] = {
            "term": self._terminate,
            "kill": self._kill,
            "pause": self._pause,
            "hup": self._reload,
            "cut": self._cut,
            "oneway": self._hold_one_way,
            "delay": self._delay,
            "clock": self._change_clock,
            "settings": self._change_settings,
        }
        self._fleet_faults: Mapping[str, Callable[[], Awaitable[None]]] = {
            "store": self._stop_store,
            "herd": self._kill_all,
            "config": self._write_config,
            "restore": self._restore_store,
        }

    async def run(self) -> None:
        """Plays faults until it is cancelled."""
        if not self._names:
            return
        for number in itertools.count():
            self._choices = self._make_choices(number)
            await self._sleep(PAUSE_BETWEEN_S)
            name = self._rng.choice(self._names)
            if name in self._runner_faults:
                await self._disturb_runner(name)
            elif name in self._instance_faults:
                await self._disturb_instance(name)
            else:
                await self._fleet_faults[name]()

    @property
    def _rng(self) -> random.Random:
        return self._choices.rng

    async def _disturb_runner(self, name: str) -> None:
        runner = self._choose(self._list_runners(name))
        if runner is not None:
            with self._occupation.hold(runner), self._touch.hold(name, -1):
                await self._runner_faults[name](runner)

    async def _disturb_instance(self, name: str) -> None:
        instance = self._choose(self._fleet.instances)
        if instance is not None:
            with (
                self._occupation.hold(instance),
                self._touch.hold(name, instance.index),
            ):
                await self._instance_faults[name](instance)

    def _list_runners(self, fault: str) -> list[Runner]:
        """Returns the runners that a fault may strike."""
        if fault not in VERSION_FAULTS:
            return self._fleet.runners
        return [r for r in self._fleet.runners if r.service == STREAM_SERVICE]

    def _choose(self, subjects: Sequence[_Subject]) -> _Subject | None:
        """Returns the first free one from a random place on, if any."""
        begin = self._rng.randrange(len(subjects))
        for number in range(len(subjects)):
            subject = subjects[(begin + number) % len(subjects)]
            if self._occupation.is_free(subject):
                return subject
        return None

    # Faults of runners.

    async def _crash(self, runner: Runner) -> None:
        self._die(runner, "crash")
        await self._return(runner)

    async def _crash_in_order(self, runner: Runner) -> None:
        self._die(runner, "fin", in_order=True)
        await self._return(runner)

    async def _return(self, runner: Runner) -> None:
        """Starts a runner again, with the ID that it had or another."""
        await self._sleep(LONG_DOWN_S)
        name = runner.start.name
        if self._rng.random() < 0.5:
            self._fleet.remove_entry(runner)
            name = self._fleet.starts.make_name()
        await self._launch(runner, name, runner.start.software)
        self._list(runner)

    async def _drain(self, runner: Runner) -> None:
        await self._leave(runner, "drain")
        name = self._fleet.starts.make_name()
        await self._launch(runner, name, runner.start.software)
        self._list(runner)

    async def _release(self, runner: Runner) -> None:
        await self._leave(runner, "release")
        name = self._fleet.starts.make_name()
        await self._launch(runner, name, self._choose_other(runner))
        self._list(runner)

    async def _leave(self, runner: Runner, fault: str) -> None:
        self._note(f"{fault} {runner.start.name}: draining")
        self._fleet.list_entry(runner, runner.make_entry(is_leaving=True))
        await asyncio.sleep(DRAIN_S)
        await self._sleep(DRAIN_MARGIN_S)
        self._fleet.remove_entry(runner)
        self._die(runner, fault)

    async def _restart_as_other(self, runner: Runner) -> None:
        await self._restart(runner, "inplace", self._choose_other(runner))

    async def _restart_as_same(self, runner: Runner) -> None:
        await self._restart(runner, "same", runner.start.software)

    async def _restart(self, runner: Runner, fault: str, software: str) -> None:
        self._die(runner, fault)
        await self._sleep(DOWN_S)
        await self._launch(runner, runner.start.name, software)
        await self._lag(fault)
        self._list(runner)

    async def _announce_early(self, runner: Runner) -> None:
        """Writes the entry of the next start while the last one serves."""
        software = self._choose_other(runner)
        start = self._fleet.starts.make_start(runner.start.name, software)
        self._note(f"early {start.name}: entry of {start.software}")
        self._fleet.list_entry(runner, runner.make_entry(start))
        await self._lag("early")
        self._die(runner, "early")
        await self._sleep(DOWN_S)
        await self._launch_start(runner, start)

    async def _restart_twice(self, runner: Runner) -> None:
        for software in (self._choose_other(runner), self._choose_any(runner)):
            self._die(runner, "crashloop")
            await self._sleep(DOWN_S)
            await self._launch(runner, runner.start.name, software)
            await self._lag("crashloop")
        self._list(runner)

    async def _silence(self, runner: Runner) -> None:
        self._note(f"dark {runner.start.name}")
        runner.set_silent(True)
        await self._sleep(SILENT_S)
        runner.set_silent(False)

    def _die(
        self, runner: Runner, fault: str, in_order: bool | None = None
    ) -> None:
        drawn = self._rng.random()
        if in_order is None:
            in_order = self._choices.plan.has("fin") and drawn < IN_ORDER_SHARE
        end = "closed in order" if in_order else "reset"
        start = runner.start
        self._note(f"{fault} {start.name}: {start.software} dies, {end}")
        runner.die(in_order)

    async def _launch(self, runner: Runner, name: str, software: str) -> None:
        start = self._fleet.starts.make_start(name, software)
        await self._launch_start(runner, start)

    async def _launch_start(self, runner: Runner, start: Start) -> None:
        await runner.launch(start)
        self._note(f"{start.name} listens as {start.software}")

    def _list(self, runner: Runner) -> None:
        self._fleet.list_entry(runner, runner.make_entry())
        start = runner.start
        self._note(f"{start.name} listed as {start.software}")

    def _choose_other(self, runner: Runner) -> str:
        """Returns the other version, unless too few runners keep the own."""
        own = runner.start.software
        others = [
            other
            for other in self._fleet.runners
            if other is not runner
            and other.service == runner.service
            and other.start.software == own
        ]
        if len(others) < MIN_OF_VERSION and runner.service == STREAM_SERVICE:
            return own
        return next(version for version in VERSIONS if version != own)

    def _choose_any(self, runner: Runner) -> str:
        if self._rng.random() < 0.5:
            return runner.start.software
        return self._choose_other(runner)

    async def _lag(self, fault: str) -> None:
        longest_s = self._choices.plan.shares[fault]
        await asyncio.sleep(self._rng.uniform(0.0, longest_s))

    # Faults of instances and of the store.

    async def _terminate(self, instance: Instance) -> None:
        self._note(f"term {instance.index}")
        instance.send_signal(signal.SIGTERM)
        if not await instance.wait_exit(GRACE_S):
            self._note(f"{instance.index} runs {GRACE_S:.0f} s after SIGTERM")
        await self._respawn(instance)

    async def _kill(self, instance: Instance) -> None:
        self._note(f"kill {instance.index}")
        await self._respawn(instance)

    async def _respawn(self, instance: Instance) -> None:
        instance.kill()
        await self._sleep(DOWN_S)
        instance.spawn()
        await self._wait_ready(instance)

    async def _wait_ready(self, instance: Instance) -> None:
        try:
            await instance.wait_ready()
            self._note(f"{instance.index} is ready")
        except NotReadyError as error:
            self._note(str(error))

    async def _pause(self, instance: Instance) -> None:
        self._note(f"pause {instance.index}")
        instance.send_signal(signal.SIGSTOP)
        try:
            await self._sleep(LONG_DOWN_S)
        finally:
            instance.send_signal(signal.SIGCONT)

    async def _reload(self, instance: Instance) -> None:
        has_signal = self._rng.random() < 0.5
        self._note(f"hup {instance.index}, signal: {has_signal}")
        instance.write_settings()
        if has_signal:
            instance.send_signal(signal.SIGHUP)

    async def _cut(self, instance: Instance) -> None:
        link = self._fleet.links[instance.index]
        if link.is_fixed:
            return
        state = self._rng.choice(CUT_STATES)
        self._note(f"cut {instance.index}: {state.value}")
        await self._set_link(link, state)
        self._note(f"cut {instance.index}: over")

    async def _set_link(self, link: Link, state: LinkState) -> None:
        """Keeps a link in a state for some seconds."""
        if link.is_fixed:
            return
        link.state = state
        await self._fleet.apply_link(link)
        await self._sleep(SILENT_S)
        link.state = LinkState.OPEN
        await self._fleet.apply_link(link)

    async def _hold_one_way(self, instance: Instance) -> None:
        """Holds the bytes of one direction of one side of an instance."""
        side = self._rng.choice(("callers", "store", "runners"))
        direction = self._rng.choice(tuple(Direction))
        self._note(f"oneway {instance.index}: {side}, {direction.value}")
        if side == "runners":
            is_out = direction is Direction.OUT
            state = LinkState.DEAF if is_out else LinkState.SILENT
            await self._set_link(self._fleet.links[instance.index], state)
        else:
            gate = self._find_gate(instance, side, direction)
            gate.is_held = True
            await self._sleep(SILENT_S)
            gate.is_held = False
        self._note(f"oneway {instance.index}: over")

    async def _delay(self, instance: Instance) -> None:
        side = self._rng.choice(("callers", "store"))
        delay_s = self._rng.uniform(*DELAY_S)
        self._note(f"delay {instance.index}: {side}, {delay_s:.3f} s")
        gates = [self._find_gate(instance, side, d) for d in Direction]
        for gate in gates:
            gate.delay_s = delay_s
        await self._sleep(SILENT_S)
        for gate in gates:
            gate.delay_s = 0.0
        self._note(f"delay {instance.index}: over")

    def _find_gate(
        self, instance: Instance, side: str, direction: Direction
    ) -> Gate:
        callers, store = self._fleet.proxies[instance.index]
        return (callers if side == "callers" else store).gates[direction]

    async def _change_clock(self, instance: Instance) -> None:
        instance.clock_offset_ms = self._rng.randint(-CLOCK_MS, CLOCK_MS)
        self._note(f"clock {instance.index}: {instance.clock_offset_ms} ms")
        if self._rng.random() < 0.5:
            instance.send_signal(signal.SIGTERM)
            await instance.wait_exit(GRACE_S)
        await self._respawn(instance)

    async def _change_settings(self, instance: Instance) -> None:
        """Changes settings, and takes the change back."""
        name = self._rng.choice(tuple(SETTINGS_CHANGES))
        for changes in (SETTINGS_CHANGES[name], {}):
            has_signal = self._rng.random() < 0.5
            what = name if changes else "as before"
            self._note(
                f"settings {instance.index}: {what}, signal: {has_signal}"
            )
            instance.write_settings(**changes)
            if has_signal:
                instance.send_signal(signal.SIGHUP)
            await self._sleep(SILENT_S)

    async def _write_config(self) -> None:
        self._fleet.write_config()
        self._note(f"config: version {self._fleet.config_version}")

    async def _restore_store(self) -> None:
        """Loses what is written to the store in some seconds."""
        copy = self._fleet.store.copy()
        self._note(f"restore: copy of revision {copy.revision}")
        if self._choices.plan.has("config"):
            await self._write_config()
        await self._sleep(AWAY_S)
        with self._touch.hold("restore"):
            self._note("restore: the store goes back to the copy")
            self._fleet.store.restore(copy)
            await asyncio.sleep(HEARTBEAT_S)
            self._fleet.write_entries_again()
            await asyncio.sleep(LEASE_HEARTBEATS * HEARTBEAT_S)
            self._fleet.expire_entries()

    async def _stop_store(self) -> None:
        if self._fleet.is_store_away:
            return
        with self._touch.hold("store"):
            self._note("store away")
            self._fleet.stop_store()
            await self._sleep(AWAY_S)
            await self._fleet.start_store()
            self._note("store back")

    async def _kill_all(self) -> None:
        instances = self._fleet.instances
        if not all(map(self._occupation.is_free, instances)):
            return
        with self._occupation.hold(*instances), self._touch.hold("herd"):
            self._note("herd: all instances are killed")
            for instance in instances:
                instance.kill()
            await self._sleep(DOWN_S)
            for instance in instances:
                instance.spawn()
            for instance in instances:
                await self._wait_ready(instance)

    def _note(self, text: str) -> None:
        self._record.note_fault(text)

    async def _sleep(self, span_s: tuple[float, float]) -> None:
        await asyncio.sleep(self._rng.uniform(*span_s))
