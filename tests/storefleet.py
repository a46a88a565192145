"""A fleet that reads a store which fails at times, in virtual time.

Feeds, digests and the client of the store are the real ones; the store, the
datagrams and the calls between instances are simulated.
"""

import base64
import contextlib
import dataclasses
import enum
import json
import urllib.parse
from collections.abc import AsyncIterator, Callable

import anyio
from result import Err, Ok, Result

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
    TargetCall,
)
from peridotbend.domain.text import Target
from peridotbend.edge.published import Changes, FeedState
from peridotbend.edge.settings import Address
from peridotbend.edge.sharedstate import FeedStatus
from peridotbend.platform.store import StoreClient
from peridotbend_emulator.virtualtime import run_virtual
from tests.edgegroups import PREFIX, GroupFleet, GroupInstance

KEY = PREFIX + "config"
STORE_ADDRESS = ("10.200.1.7", 8_225)
# One way between two zones, and the work at the other end.
PEER_CALL_MS = 4
# All instances of a deployment start within this time.
START_SPREAD_MS = 300
# When the fleet has settled.
SETTLED_MS = 5_000
# A change that is not in force after this time may never be.
GIVE_UP_MS = 10_000
STEP_S = 0.01


class OutageKind(enum.Enum):
    """What callers of the store see during an outage."""

    # Calls that are waiting, and new ones, are never answered.
    SILENT = 0
    BUSY = 1
    RESET = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A time in which the store does not serve."""

    start_ms: int
    end_ms: int
    kind: OutageKind = OutageKind.SILENT
    # The instances that are concerned; None for all.
    hosts: frozenset[str] | None = None


class FailingStore:
    """A store with one key, outages, and more than one address."""

    def __init__(self, clock: ManualClock, latency_ms: int) -> None:
        self._clock = clock
        self._start_ms = clock.now_ms()
        self.latency_ms = latency_ms
        self.outages: list[Outage] = []
        # Versions and revisions by address, so that a store can be replaced.
        self.versions: dict[Address, int] = {STORE_ADDRESS: 1}
        # When each call was sent.
        self.calls_ms: list[int] = []
        self._changed = anyio.Event()

    def now_ms(self) -> int:
        """Returns the time since the start of the fleet."""
        return self._clock.now_ms() - self._start_ms

    def write(self, version: int, address: Address = STORE_ADDRESS) -> None:
        """Writes a version."""
        self.versions[address] = version
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def answer(
        self, host: str, address: Address, call: TargetCall
    ) -> Result[tuple[int, bytes], CallError]:
        """Returns status and body of a call, unless it is never answered."""
        sent_ms = self.now_ms()
        self.calls_ms.append(sent_ms)
        await anyio.sleep(self.latency_ms / 1_000)
        outage = self._find_outage(host, sent_ms)
        if outage is not None and outage.kind is OutageKind.BUSY:
            return Ok((503, b""))
        if outage is not None and outage.kind is OutageKind.RESET:
            return Err(CallError(CallFailure.BROKEN, True, "reset"))
        query = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(call.path).query)
        )
        after = int(query.get("after", 0))
        wait_until_ms = sent_ms + int(query.get("wait_ms", 0))
        while (
            self.versions.get(address, 0) <= after
            and self.now_ms() < wait_until_ms
        ):
            left_ms = wait_until_ms - self.now_ms()
            with anyio.move_on_after(left_ms / 1_000):
                await self._changed.wait()
        if self._find_outage(host, sent_ms) is not None:
            await anyio.sleep_forever()
        return Ok((200, self._encode(address, after, "after" in query)))

    def _find_outage(self, host: str, sent_ms: int) -> Outage | None:
        """Returns an outage between the sending of a call and now."""
        now_ms = self.now_ms()
        for outage in self.outages:
            if outage.hosts is not None and host not in outage.hosts:
                continue
            if outage.start_ms <= now_ms and sent_ms < outage.end_ms:
                return outage
        return None

    def _encode(self, address: Address, after: int, is_watch: bool) -> bytes:
        version = self.versions.get(address, 0)
        entry = {
            "key": KEY,
            "value": base64.b64encode(str(version).encode()).decode(),
            "revision": version,
        }
        entries = [entry] if version > after else []
        name = "events" if is_watch else "items"
        return json.dumps({name: entries, "store_revision": version}).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class _StoreAnswer:
    """An answer of the simulated store."""

    head: AnswerHead
    body: bytes

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the body."""
        yield Ok(self.body)


class _StoreConnections:
    """Stands for the HTTP client through which an instance calls the store."""

    def __init__(self, host: str, store: FailingStore) -> None:
        self._host = host
        self._store = store

    @contextlib.asynccontextmanager
    async def open(
        self, target: Target, call: TargetCall, gate: Callable[[], bool]
    ) -> AsyncIterator[Result[_StoreAnswer, CallError]]:
        """Sends a call."""
        del gate
        address = (target.host, target.port)
        answered = await self._store.answer(self._host, address, call)
        yield answered.map(
            lambda answer: _StoreAnswer(AnswerHead(answer[0], ()), answer[1])
        )

    async def close_idle(self, target: Target) -> None:
        """Does nothing: each call has a connection of its own."""


class StoreInstance(GroupInstance):
    """One run of a process that reads the store itself."""

    def __init__(self, fleet: "StoreFleet", host: str, zone: str) -> None:
        self.client = StoreClient(
            STORE_ADDRESS,
            _StoreConnections(host, fleet.failing),  # type: ignore[arg-type]
        )
        reader = self.client.make_prefix_reader(PREFIX, _read_order)
        super().__init__(
            host, zone, fleet.seeds, fleet.clock, fleet.rng, reader
        )
        self._fleet = fleet
        self._changed = anyio.Event()

    def note_change(self) -> None:
        """Makes digests due."""
        self._changed.set()

    def set_store_address(self, address: Address) -> None:
        """Applies settings that name another address of the store."""
        self.client.set_address(address)

    async def run(self, start_delay_ms: int) -> None:
        """Runs the tasks of the process until cancelled."""
        await anyio.sleep(start_delay_ms / 1_000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.feed.run)
            tasks.start_soon(self.feed.catch_up, self._fetch)
            await self._exchange_digests()

    async def _exchange_digests(self) -> None:
        while True:
            self._changed = anyio.Event()
            self._fleet.send_all(self)
            is_substitute = (
                self.is_reader and not self.exchange.is_designated_reader
            )
            self.role.assign(self.is_reader, is_substitute)
            await anyio.sleep(self.exchange.find_min_interval_ms() / 1_000)
            with anyio.move_on_after(self.exchange.find_wait_ms() / 1_000):
                await self._changed.wait()

    async def _fetch(
        self, host: str, prefix: str, after: FeedState
    ) -> Changes | None:
        del prefix
        await anyio.sleep(PEER_CALL_MS / 1_000)
        peer = self._fleet.instances.get(host)
        if peer is None or not self._fleet.are_linked(self, peer):
            return None
        return peer.feed.items.list_changes(after)

    def _find_feed_status(self) -> FeedStatus:
        reads_store = self.role.is_reader and self.feed.is_store_reachable
        return FeedStatus({PREFIX: self.feed.items.state}, reads_store)


class StoreFleet(GroupFleet):
    """Instances that start together and read a store that fails at times."""

    def __init__(
        self, zones: int, per_zone: int, latency_ms: int = 4, seed: int = 1
    ) -> None:
        clock = ManualClock()
        self.failing = FailingStore(clock, latency_ms)
        super().__init__(zones, per_zone, seed, clock)

    def make_instance(self, host: str, zone: str) -> GroupInstance:
        """Returns a process that has not been started."""
        return StoreInstance(self, host, zone)

    def send_all(self, sender: GroupInstance) -> None:
        """Sends the digests of an instance that are due, without encoding."""
        for outgoing in sender.exchange.collect():
            for index, host in enumerate(outgoing.hosts):
                receiver = self.instances.get(host)
                if receiver is None or not self.are_linked(sender, receiver):
                    continue
                digest = outgoing.digest
                if outgoing.echoes:
                    echo = outgoing.echoes[index]
                    digest = dataclasses.replace(digest, echo=echo)
                if receiver.exchange.receive(digest):
                    receiver.note_change()

    def list_readers(self) -> frozenset[str]:
        """Returns the hosts that read the store now."""
        return frozenset(
            host
            for host, instance in self.instances.items()
            if instance.role.is_reader
        )

    def measure_delay(
        self,
        change_ms: int,
        prepare: Callable[["StoreFleet"], None] = lambda fleet: None,
        prepare_ms: int = 0,
    ) -> int:
        """Returns after how many ms a change is known to all instances.

        Args:
            change_ms: when version 2 is written.
            prepare: called at `prepare_ms`, before the change.
            prepare_ms: see `prepare`.
        """

        async def run() -> int:
            async with anyio.create_task_group() as tasks:
                for instance in self.instances.values():
                    assert isinstance(instance, StoreInstance)
                    delay_ms = self.rng.randrange(START_SPREAD_MS)
                    tasks.start_soon(instance.run, delay_ms)
                await anyio.sleep(prepare_ms / 1_000)
                prepare(self)
                await anyio.sleep((change_ms - prepare_ms) / 1_000)
                self.failing.write(2)
                with anyio.move_on_after(GIVE_UP_MS / 1_000):
                    while any(i.version < 2 for i in self.instances.values()):
                        await anyio.sleep(STEP_S)
                tasks.cancel_scope.cancel()
                return self.failing.now_ms() - change_ms

        return run_virtual(self.clock, run())


def _read_order(value: bytes) -> tuple[int, int]:
    return (int(value), 0)
