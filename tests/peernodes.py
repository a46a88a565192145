"""Entry instances in one process for tests, over real loopback streams."""

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

BOUND_S = 20.0


class RecordingLog:
    """EventLog that keeps events in memory."""

    def __init__(self) -> None:
        self.events: list[tuple[Event, dict[str, object]]] = []

    def emit(self, event: Event, **fields: object) -> None:
        """Keeps one event."""
        self.events.append((event, fields))

    def count(self, event: Event) -> int:
        """Counts the events of one type."""
        return sum(1 for kept, _ in self.events if kept is event)


def make_text(version: int, body: str = "") -> FleetConfig:
    """Makes a text whose source the fake parser reads."""
    source = f"{version}\n{body}"
    digest = hashlib.sha256(source.encode()).digest()
    return FleetConfig(version, (), (), (), source, digest)


def parse_fake(source: str) -> Result[FleetConfig, list[str]]:
    """Parses what make_text wrote."""
    version, _, body = source.partition("\n")
    if not version.isdigit():
        return Err([f"line 1: version: {version!r} is no integer"])
    return Ok(make_text(int(version), body))


def make_entry_info(name: str, port: int, zone: str = "a") -> InstanceInfo:
    """Makes a line of the platform's list for an entry instance."""
    return InstanceInfo(
        name, InstanceRole.ENTRY, zone, "127.0.0.1", port, port, "", False
    )


class FakePlatform:
    """PlatformReader whose text and list a test sets."""

    def __init__(self) -> None:
        self.instances: tuple[InstanceInfo, ...] = ()
        self.source: str | None = None
        self.down = False
        self.served: list[str] = []
        self._changed = anyio.Event()

    def publish(self, source: str | None) -> None:
        """Changes the text, which may be an older one."""
        self.source = source
        self._changed.set()
        self._changed = anyio.Event()

    async def watch_config(
        self, newer_than: int, wait_ms: int
    ) -> Result[str | None, PlatformError]:
        """Returns the text even if it is older: a stale replica does."""
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
        """Returns the list once, then nothing newer."""
        if self.down:
            return Err(PlatformError("down"))
        if after_revision == 0:
            return Ok((1, self.instances))
        await anyio.sleep(wait_ms / 1_000)
        return Ok(None)


class FakeHandler:
    """PeerHandler with a scripted answer."""

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
                raise ConnectionError("the holder broke off")
            yield part

    def import_records(
        self, origin: str, incarnation: int, records: list[ports.HandedRecord]
    ) -> list[str]:
        """Takes all records or none."""
        if self.refuse_records:
            return []
        self.records += records
        return [record.request_id for record in records]


class FakeScheduler:
    """What the links carry, and what arrived; also a TrialRegistry."""

    def __init__(self) -> None:
        self.fingerprints: list[ports.FingerprintEntry] = []
        self.merged: list[ports.FingerprintEntry] = []
        self.demands: dict[tuple[str, str], tuple[float, ...]] = {}
        self.shares: list[ports.Share] = []
        self.trials: list[tuple[bytes, str]] = []
        self.reports: list[tuple[bytes, bool]] = []

    def hooks(self) -> ExchangeHooks:
        """Returns hooks bound to this object."""
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
        """Keeps the report."""
        self.reports.append((fingerprint, crashed))

    def cancel_trial(self, fingerprint: bytes, holder: str) -> None:
        """Forgets a trial that was not used."""
        self.trials.remove((fingerprint, holder))

    def _record_demand(
        self, peer: str, target: str, work: Iterable[float]
    ) -> None:
        self.demands[peer, target] = tuple(work)


class Node:
    """One entry instance without caller side and scheduler."""

    def __init__(self, name: str, platform: FakePlatform, incarnation: int = 7):
        rng, clock, limits = random.Random(name), SystemClock(), PeerLimits()
        log = self.log = RecordingLog()
        own = Peer(name, incarnation, "a", "127.0.0.1", 1)
        roster = self.roster = Roster(own, clock, log, rng)
        store = self.store = ConfigStore(clock, log)
        handler, scheduler = FakeHandler(), FakeScheduler()
        channels = self.channels = ChannelPool()
        client = GrpcPeerClient(roster, channels, scheduler, log, limits)
        client.attach_handler(handler)
        fetch = client.fetch_text
        sync = self.sync = TextSync(
            store, roster, platform, fetch, parse_fake, clock, rng, log
        )
        source = DigestSource(roster, store, scheduler.hooks())
        sink = DigestSink(roster, scheduler.hooks(), sync.record_peer_text)
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
        """Runs the links and the reader tasks."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.links.run)
            group.start_soon(self.sync.run)

    async def stop(self) -> None:
        """Closes all sockets."""
        self.channels.close()
        await self.server.stop()


@contextlib.asynccontextmanager
async def running(*nodes: Node) -> AsyncGenerator[None, None]:
    """Runs nodes that already listen, and stops them at the end."""
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
    """Waits for a condition; fails after a bound that no pass needs."""
    with anyio.fail_after(BOUND_S):
        while not condition():
            await anyio.sleep(0.005)


class PeersCase(unittest.IsolatedAsyncioTestCase):
    """Starts nodes in this process."""

    def setUp(self) -> None:
        """Silences grpclib, which logs each broken stream with a trace."""
        logging.getLogger("grpclib").setLevel(logging.CRITICAL)

    async def start(self, count: int) -> list[Node]:
        """Makes nodes that listen and know each other from the list."""
        platform = FakePlatform()
        nodes = [Node(f"e{n}", platform, n + 1) for n in range(count)]
        for node in nodes:
            await node.listen()
        platform.instances = tuple(
            make_entry_info(n.name, n.port) for n in nodes
        )
        return nodes

    async def meet(self, nodes: list[Node]) -> None:
        """Waits until each node sees all others live."""
        await wait_until(
            lambda: all(
                n.roster.count_live_peers() == len(nodes) for n in nodes
            )
        )
