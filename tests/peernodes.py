"""Peers for tests, in one process and connected over loopback streams."""

import contextlib
import hashlib
import logging
import random
import unittest
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Iterable

import anyio
from result import Err, Ok, Result

from peridotbend.adapters.peerclient import GrpcPeerClient
from peridotbend.adapters.peerdigest import (
    DigestSink,
    DigestSource,
    ExchangeHooks,
)
from peridotbend.adapters.peerlinks import PeerLinks
from peridotbend.adapters.peers import ChannelPool, PeerLimits
from peridotbend.adapters.peerserver import PeerServer
from peridotbend.adapters.textsync import TextSync
from peridotbend.domain import ports
from peridotbend.domain.clock import SystemClock
from peridotbend.domain.events import Event
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import Peer
from peridotbend.domain.ports import InstanceInfo, InstanceRole, PlatformError
from peridotbend.domain.text import FleetConfig
from peridotbend.domain.textstore import ConfigStore

WAIT_TIMEOUT_S = 20.0


class RecordingLog:
    """EventLog that stores events in memory."""

    def __init__(self) -> None:
        self.events: list[tuple[Event, dict[str, object]]] = []

    def emit(self, event: Event, **fields: object) -> None:
        """Stores one event."""
        self.events.append((event, fields))

    def count(self, event: Event) -> int:
        """Counts the stored events of one type."""
        return sum(1 for kept, _ in self.events if kept is event)


def make_config(version: int, body: str = "") -> FleetConfig:
    """Makes a configuration whose source parse_fake_config can parse."""
    source = f"{version}\n{body}"
    digest = hashlib.sha256(source.encode()).digest()
    return FleetConfig(version, (), (), (), source, digest)


def parse_fake_config(source: str) -> Result[FleetConfig, list[str]]:
    """Parses a source that make_config made."""
    version, _, body = source.partition("\n")
    if not version.isdigit():
        return Err([f"line 1: version: {version!r} is no integer"])
    return Ok(make_config(int(version), body))


def make_entry_info(name: str, port: int, zone: str = "a") -> InstanceInfo:
    """Makes an entry instance as the platform lists it."""
    return InstanceInfo(
        name, InstanceRole.ENTRY, zone, "127.0.0.1", port, port, "", False
    )


class FakePlatform:
    """PlatformReader whose configuration and instance list a test sets."""

    def __init__(self) -> None:
        self.instances: tuple[InstanceInfo, ...] = ()
        self.source: str | None = None
        self.down = False
        self.served: list[str] = []
        self._changed = anyio.Event()

    def publish(self, source: str | None) -> None:
        """Replaces the configuration, perhaps by an older one."""
        self.source = source
        self._changed.set()
        self._changed = anyio.Event()

    async def watch_config(
        self, newer_than: int, wait_ms: int
    ) -> Result[str | None, PlatformError]:
        """Returns the configuration even if it is older, as a stale replica."""
        if self.down:
            return Err(PlatformError("down"))
        if self.source is None or self.source.startswith(f"{newer_than}\n"):
            with anyio.move_on_after(wait_ms / 1_000):
                await self._changed.wait()
        if self.source is not None:
            self.served.append(self.source)
        return Ok(self.source)

    async def watch_instances(
        self, after_revision: int, wait_ms: int
    ) -> Result[tuple[int, tuple[InstanceInfo, ...]] | None, PlatformError]:
        """Returns the list to the first call and nothing newer afterwards."""
        if self.down:
            return Err(PlatformError("down"))
        if after_revision == 0:
            return Ok((1, self.instances))
        with anyio.move_on_after(wait_ms / 1_000):
            await self._changed.wait()
        return Err(PlatformError("down")) if self.down else Ok(None)


class FakeHandler:
    """PeerHandler that sends a scripted answer."""

    def __init__(self) -> None:
        self.parts: list[ports.AnswerPart] = []
        self.calls: list[ports.PeerCall] = []
        self.records: list[ports.HandedRecord] = []
        self.refuse_records = False
        self.break_after: int | None = None

    async def serve_peer(
        self, call: ports.PeerCall
    ) -> AsyncIterator[ports.AnswerPart]:
        """Yields the scripted parts."""
        self.calls.append(call)
        for number, part in enumerate(self.parts):
            if number == self.break_after:
                raise ConnectionError("scripted failure of the record holder")
            yield part

    def import_records(
        self, origin: str, incarnation: int, records: list[ports.HandedRecord]
    ) -> list[str]:
        """Accepts all records or none."""
        if self.refuse_records:
            return []
        self.records += records
        return [record.request_id for record in records]


class FakeScheduler:
    """Scheduler state sent and received on links; also a TrialRegistry."""

    def __init__(self) -> None:
        self.fingerprints: list[ports.FingerprintEntry] = []
        self.merged: list[ports.FingerprintEntry] = []
        self.demands: dict[tuple[str, str], tuple[float, ...]] = {}
        self.shares: list[ports.Share] = []
        self.trials: list[tuple[bytes, str]] = []
        self.reports: list[tuple[bytes, bool]] = []

    def make_hooks(self) -> ExchangeHooks:
        """Returns hooks that read and update this object."""
        return ExchangeHooks(
            export_fingerprints=lambda limit: self.fingerprints[:limit],
            merge_fingerprints=self.merged.extend,
            find_demand=lambda peer: {"t1": (2.0, 1.0)},
            record_demand=self._record_demand,
            find_shares=lambda peer: [ports.Share("t1", 5.0, 1)],
            update_shares=self.shares.extend,
            list_dividers=lambda: (),
        )

    def grant_trial(
        self, fingerprint: bytes, holder: str, permit_ms: int
    ) -> ports.TrialAnswer:
        """Grants every trial."""
        self.trials.append((fingerprint, holder))
        return ports.TrialAnswer(True)

    def finish_trial(self, fingerprint: bytes, crashed: bool) -> None:
        """Stores the report."""
        self.reports.append((fingerprint, crashed))

    def cancel_trial(self, fingerprint: bytes, holder: str) -> None:
        """Removes a trial that was granted and not used."""
        self.trials.remove((fingerprint, holder))

    def _record_demand(
        self, peer: str, target: str, work: Iterable[float]
    ) -> None:
        self.demands[peer, target] = tuple(work)


class PeerNode:
    """The peer protocol of one entry instance, with fakes for the rest."""

    def __init__(self, name: str, platform: FakePlatform, incarnation: int = 7):
        rng, clock, limits = random.Random(name), SystemClock(), PeerLimits()
        log = self.log = RecordingLog()
        own_peer = Peer(name, incarnation, "a", "127.0.0.1", 1)
        roster = self.roster = Roster(own_peer, clock, log, rng)
        store = self.store = ConfigStore(clock, log)
        handler, scheduler = FakeHandler(), FakeScheduler()
        channels = self.channels = ChannelPool()
        client = GrpcPeerClient(roster, channels, scheduler, log, limits)
        client.attach_handler(handler)
        fetch = client.fetch_text
        sync = self.sync = TextSync(
            store, roster, platform, fetch, parse_fake_config, clock, rng, log
        )
        source = DigestSource(roster, store, scheduler.make_hooks())
        sink = DigestSink(roster, scheduler.make_hooks(), sync.record_peer_text)
        links = self.links = PeerLinks(
            roster, source, sink, channels, clock, rng, limits
        )
        self.server = PeerServer(
            roster, store, handler, scheduler, links, log, limits
        )
        self.name, self.platform, self.client = name, platform, client
        self.handler, self.scheduler = handler, scheduler
        self.port = 0

    async def listen(self) -> None:
        """Binds the peer port."""
        self.port = await self.server.start("127.0.0.1", 0)
        self.roster.set_address("127.0.0.1", self.port)

    async def run(self) -> None:
        """Runs the peer links and the synchronization of the configuration."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.links.run)
            group.start_soon(self.sync.run)

    async def stop(self) -> None:
        """Closes all channels and the server."""
        self.channels.close()
        await self.server.stop()


@contextlib.asynccontextmanager
async def run_nodes(*nodes: PeerNode) -> AsyncGenerator[None, None]:
    """Runs nodes that already listen and stops them on exit."""
    try:
        async with anyio.create_task_group() as group:
            for node in nodes:
                group.start_soon(node.run)
            yield
            group.cancel_scope.cancel()
    finally:
        for node in nodes:
            await node.stop()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits for a condition; the timeout ends only failing tests."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.005)


class PeersCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that run several peers in this process."""

    def setUp(self) -> None:
        """Silences grpclib, which logs a traceback for each broken stream."""
        logging.getLogger("grpclib").setLevel(logging.CRITICAL)

    async def start(self, count: int) -> list[PeerNode]:
        """Makes listening nodes that the platform lists to each other."""
        platform = FakePlatform()
        nodes = [PeerNode(f"e{n}", platform, n + 1) for n in range(count)]
        for node in nodes:
            await node.listen()
        platform.instances = tuple(
            make_entry_info(n.name, n.port) for n in nodes
        )
        return nodes

    async def wait_until_live(self, nodes: list[PeerNode]) -> None:
        """Waits until each node sees all others as live."""
        await wait_until(
            lambda: all(
                n.roster.count_live_peers() == len(nodes) for n in nodes
            )
        )
