"""Faults of the instances and of the store."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Mapping

from peridotbend_emulator.soak.instances import Instance, NotReadyError
from peridotbend_emulator.soak.links import CUT_STATES, Link, LinkState
from peridotbend_emulator.soak.platform.documents import (
    GRACE_S,
    HEARTBEAT_S,
    SETTINGS_CHANGES,
    STREAM_SERVICE,
)
from peridotbend_emulator.soak.proxies import Direction, Gate
from peridotbend_emulator.soak.seriescontext import (
    DOWN_S,
    LONG_DOWN_S,
    SILENT_S,
    SeriesContext,
)

AWAY_S = (0.3, 3.0)
DELAY_S = (0.01, 0.3)
# The time of day of a machine may be off by seconds.
CLOCK_MS = 10_000
# Of each stop, so many runners are silent for so long, and go on before the
# grace period is over.
STILL_COUNT = 3
STILL_S = (0.9, 1.3)
STILL_AFTER_S = (0.0, GRACE_S - STILL_S[1])
# The platform removes an entry that is not written again for so long.
LEASE_HEARTBEATS = 3


class InstanceFaults:
    """Plays the faults that strike one instance, or the whole fleet."""

    def __init__(self, context: SeriesContext):
        self._context = context
        self._fleet = context.fleet
        self.by_name: Mapping[str, Callable[[Instance], Awaitable[None]]] = {
            "term": self._terminate,
            "kill": self._respawn,
            "pause": self._pause,
            "hup": self._reload,
            "cut": self._cut,
            "oneway": self._hold_one_way,
            "delay": self._delay,
            "clock": self._change_clock,
            "settings": self._change_settings,
        }
        self.of_fleet: Mapping[str, Callable[[], Awaitable[None]]] = {
            "store": self._stop_store,
            "herd": self._kill_all,
            "split": self._split_zones,
            "config": self._write_config,
            "restore": self._restore_store,
        }

    async def _terminate(self, instance: Instance) -> None:
        instance.send_signal(signal.SIGTERM)
        count = STILL_COUNT * self._context.choices.plan.has("still")
        has_exited, *_ = await asyncio.gather(
            instance.wait_exit(GRACE_S),
            *(self._still_runner() for _ in range(count)),
        )
        if not has_exited:
            self._context.note(
                f"{instance.index} runs {GRACE_S:.0f} s after SIGTERM"
            )
        await self._respawn(instance)

    async def _still_runner(self) -> None:
        """Makes a sound runner silent at some moment of a grace period.

        That is no disturbance: a silence excuses no answer that ends sooner.
        """
        context = self._context
        await context.sleep(STILL_AFTER_S)
        free = [
            runner
            for runner in self._fleet.runners
            if runner.service == STREAM_SERVICE
            and context.occupation.is_free(runner)
        ]
        if not free:
            return
        runner = context.rng.choice(free)
        if (process := runner.process) is None:
            return
        with context.occupation.hold(runner):
            context.note(f"still {runner.start.name}")
            process.is_silent = True
            await context.sleep(STILL_S)
            process.is_silent = False
            context.note(f"still {runner.start.name}: over")

    async def _respawn(self, instance: Instance) -> None:
        instance.kill()
        await self._context.sleep(DOWN_S)
        instance.spawn()
        await self._wait_ready(instance)

    async def _wait_ready(self, instance: Instance) -> None:
        try:
            await instance.wait_ready()
            self._context.note(f"{instance.index} is ready")
        except NotReadyError as error:
            self._context.note(str(error))

    async def _pause(self, instance: Instance) -> None:
        instance.send_signal(signal.SIGSTOP)
        try:
            await self._context.sleep(LONG_DOWN_S)
        finally:
            instance.send_signal(signal.SIGCONT)

    async def _reload(self, instance: Instance, change: str = "") -> None:
        has_signal = self._context.rng.random() < 0.5
        what = change or "as before"
        self._context.note(f"{instance.index}: {what}, signal: {has_signal}")
        instance.write_settings(**SETTINGS_CHANGES.get(change, {}))
        if has_signal:
            instance.send_signal(signal.SIGHUP)

    async def _cut(self, instance: Instance) -> None:
        link = self._fleet.links[instance.index]
        state = self._context.rng.choice(CUT_STATES)
        self._context.note(f"{instance.index}: {state.value}")
        await self._set_link(link, state)

    async def _set_link(self, link: Link, state: LinkState) -> None:
        """Keeps a link in a state for some seconds."""
        if link.is_fixed:
            return
        link.state = state
        await self._fleet.apply_link(link)
        await self._context.sleep(SILENT_S)
        link.state = LinkState.OPEN
        await self._fleet.apply_link(link)

    async def _hold_one_way(self, instance: Instance) -> None:
        """Holds the bytes of one direction of one side of an instance."""
        side = self._context.rng.choice(("callers", "store", "runners"))
        direction = self._context.rng.choice(tuple(Direction))
        self._context.note(f"{instance.index}: {side}, {direction.value}")
        if side == "runners":
            is_out = direction is Direction.OUT
            state = LinkState.DEAF if is_out else LinkState.SILENT
            await self._set_link(self._fleet.links[instance.index], state)
        else:
            gate = self._find_gate(instance, side, direction)
            gate.is_held = True
            await self._context.sleep(SILENT_S)
            gate.is_held = False

    async def _delay(self, instance: Instance) -> None:
        side = self._context.rng.choice(("callers", "store"))
        delay_s = self._context.rng.uniform(*DELAY_S)
        self._context.note(f"{instance.index}: {side}, {delay_s:.3f} s")
        gates = [self._find_gate(instance, side, d) for d in Direction]
        for gate in gates:
            gate.delay_s = delay_s
        await self._context.sleep(SILENT_S)
        for gate in gates:
            gate.delay_s = 0.0

    def _find_gate(
        self, instance: Instance, side: str, direction: Direction
    ) -> Gate:
        callers, store = self._fleet.proxies[instance.index]
        return (callers if side == "callers" else store).gates[direction]

    async def _change_clock(self, instance: Instance) -> None:
        instance.clock_offset_ms = self._context.rng.randint(
            -CLOCK_MS, CLOCK_MS
        )
        self._context.note(f"{instance.index}: {instance.clock_offset_ms} ms")
        if self._context.rng.random() < 0.5:
            instance.send_signal(signal.SIGTERM)
            await instance.wait_exit(GRACE_S)
        await self._respawn(instance)

    async def _change_settings(self, instance: Instance) -> None:
        """Changes settings, and takes the change back."""
        for change in (self._context.rng.choice(tuple(SETTINGS_CHANGES)), ""):
            await self._reload(instance, change)
            await self._context.sleep(SILENT_S)

    async def _write_config(self) -> None:
        self._fleet.write_config()
        self._context.note(f"config: version {self._fleet.config_version}")

    async def _restore_store(self) -> None:
        """Loses what is written to the store in some seconds."""
        copy = self._fleet.store.copy()
        self._context.note(f"restore: copy of revision {copy[0]}")
        if self._context.choices.plan.has("config"):
            await self._write_config()
        await self._context.sleep(AWAY_S)
        with self._context.touch.hold("restore"):
            self._context.note("restore: the store goes back to the copy")
            self._fleet.store.restore(copy)
            await asyncio.sleep(HEARTBEAT_S)
            self._fleet.write_entries_again()
            await asyncio.sleep(LEASE_HEARTBEATS * HEARTBEAT_S)
            self._fleet.expire_entries()

    async def _stop_store(self) -> None:
        context, store = self._context, self._fleet.store
        if not context.occupation.is_free(store):
            return
        with context.occupation.hold(store), context.touch.hold("store"):
            context.note("store away")
            store.stop()
            await context.sleep(AWAY_S)
            await store.start()
            context.note("store back")

    async def _split_zones(self) -> None:
        """Cuts the instances of two zones off from each other."""
        context, instances = self._context, self._fleet.instances
        if not context.occupation.is_free("split"):
            return
        with context.occupation.hold("split"), context.touch.hold("split"):
            context.note("split")
            for one in instances:
                one.cut_off([i.host for i in instances if i.zone != one.zone])
            await context.sleep(SILENT_S)
            for one in instances:
                one.cut_off(())
            context.note("split: over")

    async def _kill_all(self) -> None:
        instances = self._fleet.instances
        if not all(map(self._context.occupation.is_free, instances)):
            return
        with (
            self._context.occupation.hold(*instances),
            self._context.touch.hold("herd"),
        ):
            self._context.note("herd: all instances are killed")
            for instance in instances:
                instance.kill()
            await self._context.sleep(DOWN_S)
            for instance in instances:
                instance.spawn()
            for instance in instances:
                await self._wait_ready(instance)
