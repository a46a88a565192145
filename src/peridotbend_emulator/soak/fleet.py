"""The instances, runners and store of a soak."""

import asyncio
import contextlib
import dataclasses
import itertools
import socket
from collections.abc import AsyncIterator, Sequence

from peridotbend.domain.clock import Clock
from peridotbend.platform import wire
from peridotbend_emulator.soak.instances import Instance, InstanceSettings
from peridotbend_emulator.soak.links import PARTIAL_CUTS, Link, LinkState
from peridotbend_emulator.soak.platform.documents import (
    CALL_SERVICE,
    FIRST_VERSION,
    OTHER_ZONE,
    STREAM_SERVICE,
    ZONE,
    Entry,
    InstancePorts,
    make_config,
)
from peridotbend_emulator.soak.platform.store import StoreStandIn
from peridotbend_emulator.soak.proxies import LoopbackProxy
from peridotbend_emulator.soak.runners import (
    Behaviour,
    Runner,
    StartCounter,
)
from peridotbend_emulator.soak.settings import SoakSettings

VERSIONS = ("v1", "v2")
STREAM_RUNNERS = 6
MANY_STREAM_RUNNERS = 30
CALL_RUNNERS = 3
SLOTS = 10
# Of each of many runners.
FEW_SLOTS = 1
# Last numbers of the addresses.
STORE_HOST = 200
FIRST_INSTANCE_HOST = 130
FIRST_RUNNER_HOST = 220
SEED_INSTANCES = 3
# Every third runner is in another zone, in runs where that matters.
ZONE_INTERVAL = 3
# Until the instances know each other and the runners.
SETTLE_S = 0.5


class SoakFleet:
    """The processes and stand-ins of a run."""

    def __init__(
        self, settings: SoakSettings, behaviour: Behaviour, clock: Clock
    ):
        count = settings.instance_count
        self.starts = StartCounter(clock)
        self.links = [Link(index) for index in range(count)]
        self.store = StoreStandIn(f"{settings.net}.{STORE_HOST}", count)
        self.runners: list[Runner] = []
        self.instances: list[Instance] = []
        self._settings = settings
        self._behaviour = behaviour
        # The newest configuration that was written.
        self.config_version = FIRST_VERSION - 1
        # What each runner wrote last.
        self._entries: dict[Runner, Entry] = {}
        # In front of the instances and of the store, one for each instance.
        self.proxies: list[tuple[LoopbackProxy, LoopbackProxy]] = []
        self._stream_runners = STREAM_RUNNERS
        if settings.faults.has("many"):
            self._stream_runners = MANY_STREAM_RUNNERS

    async def start(self) -> None:
        """Starts everything and waits until all instances are ready.

        Raises:
            NotReadyError: an instance did not become ready.
        """
        await self.store.start()
        self.write_config()
        if self._settings.faults.has("peer"):
            self.links[0].state = LinkState.REFUSED
            self.links[0].is_fixed = True
        await self._start_runners()
        await self._create_instances()
        for instance in self.instances:
            instance.spawn()
        for instance in self.instances:
            await instance.wait_ready()
        await asyncio.sleep(SETTLE_S)

    def stop(self) -> None:
        """Ends the processes that the soak started, and the stand-ins."""
        for instance in self.instances:
            instance.kill()
        for runner in self.runners:
            runner.die(in_order=False)
        self.store.stop()
        for proxy in itertools.chain.from_iterable(self.proxies):
            proxy.stop()

    def write_config(self) -> None:
        """Writes the next version of the configuration."""
        self.config_version += 1
        document = make_config(self.config_version)
        self.store.put(wire.CONFIG_KEY, lambda index: document)

    def write_entries_again(self) -> None:
        """Writes the entries of runners that run, as each heartbeat does."""
        for runner, entry in tuple(self._entries.items()):
            is_current = entry.started_at_ms >= runner.start.started_at_ms
            if runner.process and is_current:
                sequence = runner.make_entry().sequence
                self.list_entry(
                    runner, dataclasses.replace(entry, sequence=sequence)
                )

    def expire_entries(self) -> None:
        """Removes the entries that nobody writes any more."""
        names = {runner.start.name for runner in self._entries}
        for key in self.store.list_keys(wire.TARGET_PREFIX):
            if key.removeprefix(wire.TARGET_PREFIX) not in names:
                self.store.delete(key)

    def list_entry(self, runner: Runner, entry: Entry) -> None:
        """Writes an entry of a runner to the store."""
        self._entries[runner] = entry
        addresses = [runner.find_address(link.index) for link in self.links]
        self.store.put(
            wire.TARGET_PREFIX + runner.start.name,
            lambda index: entry.describe(addresses[index]),
        )

    def remove_entry(self, runner: Runner) -> None:
        """Removes the entry of a runner from the store."""
        self._entries.pop(runner, None)
        self.store.delete(wire.TARGET_PREFIX + runner.start.name)

    async def apply_link(self, link: Link) -> None:
        """Makes the connections of an instance behave as its link says."""
        for runner in self.runners:
            await runner.apply_link(link)

    async def cut_some_links(self) -> None:
        """Cuts instance 0 off from some runners, if that is to be played."""
        faults, link = self._settings.faults, self.links[0]
        for name, state in PARTIAL_CUTS.items():
            if faults.has(name):
                link.state = state
                link.is_fixed = True
                link.spared = frozenset(
                    self._find_runner_host(number)
                    for number in range(self._stream_runners + CALL_RUNNERS)
                    if not self._is_cut_off(number, faults.shares[name])
                )
        if link.is_fixed:
            await self.apply_link(link)

    def _is_cut_off(self, number: int, share: float) -> bool:
        if self._settings.faults.has("zone"):
            return self._find_zone(number) == OTHER_ZONE
        count = self._stream_runners
        if number >= count:
            number, count = number - count, CALL_RUNNERS
        return number < round(share * count)

    def _find_zone(self, number: int) -> str:
        has_zones = self._settings.faults.has("zone", "split")
        return ZONE if not has_zones or number % ZONE_INTERVAL else OTHER_ZONE

    def _find_runner_host(self, number: int) -> str:
        return f"{self._settings.net}.{FIRST_RUNNER_HOST + number}"

    async def _start_runners(self) -> None:
        for number in range(self._stream_runners + CALL_RUNNERS):
            is_pool = number < self._stream_runners
            has_few = is_pool and self._stream_runners > STREAM_RUNNERS
            name = self.starts.make_name()
            version = VERSIONS[number % len(VERSIONS)]
            if self._settings.faults.has("onever"):
                version = VERSIONS[0]
            start = self.starts.make_start(name, version)
            runner = Runner(
                start,
                STREAM_SERVICE if is_pool else CALL_SERVICE,
                self._find_runner_host(number),
                self._find_zone(number),
                FEW_SLOTS if has_few else SLOTS,
                self._behaviour,
                self.links,
                has_queue=self._settings.faults.has("still"),
            )
            self.runners.append(runner)
            await runner.launch(start)
            self.list_entry(runner, runner.make_entry())

    async def _create_instances(self) -> None:
        net, other = self._settings.net, self._settings.other_build
        hosts = [
            f"{net}.{FIRST_INSTANCE_HOST + index}"
            for index in range(len(self.links))
        ]
        ports = _choose_ports(hosts[0])
        if self._settings.faults.has("oneway", "delay"):
            await self._start_proxies(hosts, ports)
        has_builds = self._settings.faults.has("builds")
        has_split = self._settings.faults.has("split")
        for index, host in enumerate(hosts):
            instance = InstanceSettings(
                index=index,
                host=host,
                ports=ports,
                seed_hosts=tuple(hosts[:SEED_INSTANCES]),
                store_address=self._find_store_address(index),
                folder=self._settings.folder,
                zone=OTHER_ZONE if has_split and index % 2 else ZONE,
                may_be_split=has_split,
                source=other if has_builds and index % 2 else None,
                callers_address=(
                    self.proxies[index][0].address if self.proxies else None
                ),
            )
            self.instances.append(Instance(instance))

    async def _start_proxies(
        self, hosts: Sequence[str], ports: InstancePorts
    ) -> None:
        own_host = f"{self._settings.net}.{STORE_HOST}"
        for index, host in enumerate(hosts):
            store_host, _, port = self.store.find_address(index).partition(":")
            pair = (
                LoopbackProxy(own_host, (host, ports.callers)),
                LoopbackProxy(own_host, (store_host, int(port))),
            )
            self.proxies.append(pair)
            for proxy in pair:
                await proxy.start()

    def _find_store_address(self, index: int) -> str:
        if not self.proxies:
            return self.store.find_address(index)
        host, port = self.proxies[index][1].address
        return f"{host}:{port}"


def _choose_ports(host: str) -> InstancePorts:
    """Returns free ports; the second internal one follows the first."""
    with contextlib.ExitStack() as stack:

        def bind(kind: socket.SocketKind, port: int = 0) -> int:
            listener = stack.enter_context(socket.socket(type=kind))
            listener.bind((host, port))
            return int(listener.getsockname()[1])

        tcp = [bind(socket.SOCK_STREAM) for _ in range(3)]
        while True:
            port = bind(socket.SOCK_DGRAM)
            with contextlib.suppress(OSError, OverflowError):
                bind(socket.SOCK_DGRAM, port + 1)
                return InstancePorts(tcp[0], tcp[1], tcp[2], port)


@contextlib.asynccontextmanager
async def run_fleet(fleet: SoakFleet) -> AsyncIterator[None]:
    """Starts a fleet, and ends its processes whatever happens."""
    try:
        await fleet.start()
        yield
    finally:
        fleet.stop()
