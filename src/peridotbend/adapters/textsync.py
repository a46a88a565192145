"""Keeps the text and the instance list current from platform and peers."""

import random
from collections.abc import Awaitable, Callable, Sequence

import anyio
import anyio.to_thread
from result import Err, Ok, Result

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import Peer
from peridotbend.domain.ports import EventLog, PlatformError, PlatformReader
from peridotbend.domain.text import FleetConfig
from peridotbend.domain.textstore import ConfigStore, OfferOutcome

# A pending watch counts as one call; few long ones are cheap.
WATCH_MS = 25_000
PEERS_SILENT_MS = 1_000
# How long a new process waits for the text of its peers.
ASK_PEERS_S = 1.0
ASKED_PEERS = 3
ROLE_CHECK_S = 0.5
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
FETCH_RETRY_S = 0.1
# Other instances read the list this seldom: 720 of them make 24 calls/s.
LIST_REFRESH_S = 30.0

Parse = Callable[[str], Result[FleetConfig, Sequence[object]]]
FetchText = Callable[
    [Peer, FleetConfig | None], Awaitable[Result[str | None, str]]
]


class TextSync:
    """Tasks that bring the text and the list to this process."""

    def __init__(
        self,
        store: ConfigStore,
        roster: Roster,
        platform: PlatformReader,
        fetch: FetchText,
        parse: Parse,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
    ):
        self._store = store
        self._roster = roster
        self._platform = platform
        self._fetch = fetch
        self._parse = parse
        self._clock = clock
        self._rng = rng
        self._log = log
        self._reachable = True
        self._revision = 0
        # Versions that peers claim, by peer.
        self._claims: dict[str, tuple[int, bytes]] = {}
        self._claimed = anyio.Event()
        self._refused_source = ""
        self._refused_claims: set[tuple[int, bytes]] = set()
        store.subscribe(lambda text: roster.notify_urgent())

    def is_platform_reachable(self) -> bool:
        """Tells whether the last call to the platform was answered."""
        return self._reachable

    def note_text(self, peer: str, version: int, digest: bytes) -> None:
        """Notes what a peer's digest says about its text."""
        self._store.check_peer_digest(version, digest)
        if version <= self._store.version:
            self._claims.pop(peer, None)
        elif (version, digest) not in self._refused_claims:
            self._claims[peer] = (version, digest)
            self._claimed.set()

    async def run(self) -> None:
        """Runs all tasks until it is cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_peers)
            group.start_soon(self._start)

    async def offer_source(self, source: str) -> OfferOutcome | None:
        """Parses a text and offers it; None if the text is refused."""
        # Parsing 1 MB of YAML takes longer than a heartbeat interval.
        parsed = await anyio.to_thread.run_sync(self._parse, source)
        if isinstance(parsed, Ok):
            return self._store.offer(parsed.ok_value)
        if source != self._refused_source:
            self._refused_source = source
            problems = parsed.err_value
            self._log.emit(
                Event.TEXT_REFUSED,
                problems=len(problems),
                first=str(problems[0]) if problems else "",
            )
        return None

    async def _start(self) -> None:
        """Learns peers from the list, then asks them before the platform."""
        async with anyio.create_task_group() as group:
            await self._read_list(wait_ms=0)
            group.start_soon(self._watch_list)
            with anyio.move_on_after(ASK_PEERS_S):
                await self._ask_peers()
            group.start_soon(self._watch_text)

    async def _ask_peers(self) -> None:
        peers = list(self._roster.list_known_peers())
        asked = self._rng.sample(peers, min(ASKED_PEERS, len(peers)))
        async with anyio.create_task_group() as group:
            for peer in asked:
                group.start_soon(self._fetch_from, peer)

    async def _follow_peers(self) -> None:
        while True:
            await self._claimed.wait()
            self._claimed = anyio.Event()
            while self._claims:
                name = max(self._claims, key=lambda n: self._claims[n][0])
                claim = self._claims.pop(name)
                peer = self._roster.find_peer(name)
                if peer is None or claim[0] <= self._store.version:
                    continue
                if not await self._fetch_from(peer, claim):
                    # The peer's next digest repeats the claim.
                    await anyio.sleep(FETCH_RETRY_S)

    async def _fetch_from(
        self, peer: Peer, claim: tuple[int, bytes] | None = None
    ) -> bool:
        fetched = await self._fetch(peer, self._store.current)
        if isinstance(fetched, Err):
            return False
        if fetched.ok_value is None:
            return claim is None
        outcome = await self.offer_source(fetched.ok_value)
        if outcome is None and claim is not None:
            # One peer's bad text is not fetched again every 200 ms.
            if len(self._refused_claims) >= 64:
                self._refused_claims.clear()
            self._refused_claims.add(claim)
        return outcome is OfferOutcome.ACCEPTED

    async def _watch_text(self) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            if not await self._may_read():
                await anyio.sleep(self._jitter(ROLE_CHECK_S))
                continue
            version = self._store.version
            began_ms = self._clock.now_ms()
            read = await self._platform.watch_config(version, WATCH_MS)
            self._note_platform(read)
            if isinstance(read, Ok) and read.ok_value is None:
                backoff_s = FIRST_BACKOFF_S
                await self._pace(began_ms)
                continue
            outcome = None
            if isinstance(read, Ok) and read.ok_value is not None:
                outcome = await self.offer_source(read.ok_value)
            if outcome is OfferOutcome.ACCEPTED:
                backoff_s = FIRST_BACKOFF_S
                continue
            # Unreachable, stale or refused: the answer would be the same.
            await anyio.sleep(self._jitter(backoff_s))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _watch_list(self) -> None:
        while True:
            reader = self._roster.is_reader() or self._are_peers_silent()
            began_ms = self._clock.now_ms()
            ok = await self._read_list(WATCH_MS if reader else 0)
            if not ok:
                await anyio.sleep(self._jitter(MAX_BACKOFF_S))
            elif not reader:
                await self._wait_for_role(self._jitter(LIST_REFRESH_S))
            else:
                await self._pace(began_ms)

    async def _pace(self, began_ms: int) -> None:
        """Keeps a platform that does not wait from being asked in a loop."""
        if self._clock.now_ms() - began_ms < FIRST_BACKOFF_S * 1_000:
            await anyio.sleep(self._jitter(FIRST_BACKOFF_S))

    async def _wait_for_role(self, limit_s: float) -> None:
        with anyio.move_on_after(limit_s):
            while not self._roster.is_reader():
                await anyio.sleep(ROLE_CHECK_S)

    async def _read_list(self, wait_ms: int) -> bool:
        read = await self._platform.watch_instances(self._revision, wait_ms)
        self._note_platform(read)
        if isinstance(read, Err):
            return False
        if read.ok_value is not None:
            self._revision, instances = read.ok_value
            self._roster.apply_list(instances)
        return True

    async def _may_read(self) -> bool:
        if self._roster.is_reader():
            return True
        if not self._are_peers_silent():
            return False
        # All instances of a zone may lose their peers at the same moment.
        await anyio.sleep(self._rng.uniform(0, PEERS_SILENT_MS / 1_000))
        return self._are_peers_silent()

    def _are_peers_silent(self) -> bool:
        ages = [
            self._roster.find_age(p.name)
            for p in self._roster.list_live_peers()
        ]
        return all(age is None or age > PEERS_SILENT_MS for age in ages)

    def _note_platform(self, read: Result[object, PlatformError]) -> None:
        reachable = isinstance(read, Ok)
        if reachable is self._reachable:
            return
        self._reachable = reachable
        if isinstance(read, Err):
            self._log.emit(
                Event.PLATFORM_UNREACHABLE, detail=read.err_value.detail
            )
        else:
            self._log.emit(Event.PLATFORM_REACHED)

    def _jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.5, 1.0)
