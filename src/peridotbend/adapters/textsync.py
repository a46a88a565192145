"""Keeps the fleet text and the instance list up to date.

Both are read from the platform; the text is also fetched from peers.
"""

import random
from collections.abc import Awaitable, Callable, Collection, Sequence

import anyio
import anyio.to_thread
from result import Err, Ok, Result

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.hedging import try_in_turn
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import Peer
from peridotbend.domain.ports import EventLog, PlatformError, PlatformReader
from peridotbend.domain.text import FleetConfig
from peridotbend.domain.textstore import ConfigStore, OfferOutcome

# A watch that is lost as the platform comes back delays a change by this time
# and the margin of the call. Only the two readers of a zone watch, so the
# platform can bear short ones.
WATCH_MS = 1_000
PEER_SILENCE_MS = 1_000
# How long a new process waits for its peers' text before it reads the platform.
PEER_TEXT_TIMEOUT_S = 1.0
MAX_PEERS_ASKED = 3
ROLE_CHECK_INTERVAL_S = 0.5
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 0.5
FETCH_RETRY_DELAY_S = 0.1
# A peer that has not answered for this long is not waited for alone.
HEDGE_DELAY_MS = 200
# Peers asked for one change. If all of them hang, this instance is the fault.
MAX_HEDGED_PEERS = 4
# Longest pause before a list that could not be read is read again.
LIST_RETRY_S = 2.0
# How often instances that are not readers read the list; 720 of them make 24
# calls/s.
LIST_REFRESH_INTERVAL_S = 30.0

Parse = Callable[[str], Result[FleetConfig, Sequence[object]]]
FetchText = Callable[
    [Peer, FleetConfig | None], Awaitable[Result[str | None, str]]
]


class TextSync:
    """Runs the tasks that read the text and the instance list."""

    def __init__(
        self,
        store: ConfigStore,
        roster: Roster,
        platform: PlatformReader,
        fetch_text: FetchText,
        parse: Parse,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
    ):
        self._store = store
        self._roster = roster
        self._platform = platform
        self._fetch_text = fetch_text
        self._parse = parse
        self._clock = clock
        self._rng = rng
        self._log = log
        self._is_reachable = True
        self._revision = 0
        # Newer versions and their digests, by the peer that advertised them.
        self._advertised: dict[str, tuple[int, bytes]] = {}
        self._text_advertised = anyio.Event()
        self._invalid_source = ""
        self._invalid_versions: set[tuple[int, bytes]] = set()
        store.subscribe(lambda text: roster.notify_urgent())

    def is_platform_reachable(self) -> bool:
        """Tells whether the last call to the platform succeeded."""
        return self._is_reachable

    def record_peer_text(self, peer: str, version: int, digest: bytes) -> None:
        """Records the version and the digest of a peer's text."""
        self._store.check_peer_digest(version, digest)
        if version <= self._store.version:
            self._advertised.pop(peer, None)
        elif (version, digest) not in self._invalid_versions:
            self._advertised[peer] = (version, digest)
            self._text_advertised.set()

    async def run(self) -> None:
        """Runs all tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._fetch_advertised)
            tasks.start_soon(self._start_watching)

    async def offer_source(self, source: str) -> OfferOutcome | None:
        """Parses a text and offers it to the store; None if it is invalid."""
        # Runs in a thread, since parsing 1 MB of YAML takes longer than a
        # heartbeat interval.
        parsed = await anyio.to_thread.run_sync(self._parse, source)
        if isinstance(parsed, Ok):
            return self._store.offer(parsed.ok_value)
        if source != self._invalid_source:
            self._invalid_source = source
            problems = parsed.err_value
            self._log.emit(
                Event.TEXT_REFUSED,
                problems=len(problems),
                first=str(problems[0]) if problems else "",
            )
        return None

    async def _start_watching(self) -> None:
        """Reads the list, and fetches peers' text before the platform's."""
        async with anyio.create_task_group() as tasks:
            await self._read_list(wait_ms=0)
            tasks.start_soon(self._watch_list)
            with anyio.move_on_after(PEER_TEXT_TIMEOUT_S):
                await self._fetch_from_some_peers()
            tasks.start_soon(self._watch_text)

    async def _fetch_from_some_peers(self) -> None:
        peers = list(self._roster.list_known_peers())
        chosen = self._rng.sample(peers, min(MAX_PEERS_ASKED, len(peers)))
        async with anyio.create_task_group() as tasks:
            for peer in chosen:
                tasks.start_soon(self._fetch_from_peer, peer)

    async def _fetch_advertised(self) -> None:
        while True:
            await self._text_advertised.wait()
            self._text_advertised = anyio.Event()
            while self._advertised:
                has_text = await try_in_turn(
                    self._take_advertised,
                    self._fetch_by_name,
                    HEDGE_DELAY_MS,
                    MAX_HEDGED_PEERS,
                )
                if not has_text:
                    # A peer's next digest advertises the version again.
                    await anyio.sleep(FETCH_RETRY_DELAY_S)

    def _take_advertised(self, tried: Collection[str]) -> str:
        """Returns a peer with a newer text that has not been tried, or ""."""
        for name, (version, _) in list(self._advertised.items()):
            if version <= self._store.version:
                del self._advertised[name]
        names = [name for name in self._advertised if name not in tried]
        return max(names, key=lambda n: self._advertised[n][0], default="")

    async def _fetch_by_name(self, name: str) -> bool:
        """Fetches an advertised text; tells whether it is in force now."""
        advertised = self._advertised.pop(name)
        peer = self._roster.find_peer(name)
        return peer is not None and await self._fetch_from_peer(
            peer, advertised
        )

    async def _fetch_from_peer(
        self, peer: Peer, advertised: tuple[int, bytes] | None = None
    ) -> bool:
        fetched = await self._fetch_text(peer, self._store.current)
        if isinstance(fetched, Err):
            return False
        if fetched.ok_value is None:
            return advertised is None
        outcome = await self.offer_source(fetched.ok_value)
        if outcome is None and advertised is not None:
            # Without this, an invalid text would be fetched again with each
            # digest of its peer, every 200 ms.
            if len(self._invalid_versions) >= 64:
                self._invalid_versions.clear()
            self._invalid_versions.add(advertised)
        return outcome is OfferOutcome.ACCEPTED

    async def _watch_text(self) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            if not await self._may_read_text():
                await anyio.sleep(self._jitter(ROLE_CHECK_INTERVAL_S))
                continue
            version = self._store.version
            started_at_ms = self._clock.now_ms()
            # A platform that did not answer is not trusted with a wait.
            wait_ms = WATCH_MS if self._is_reachable else 0
            read = await self._platform.watch_config(version, wait_ms)
            self._record_reachability(read)
            if isinstance(read, Ok) and read.ok_value is None:
                backoff_s = FIRST_BACKOFF_S
                await self._limit_call_rate(started_at_ms)
                continue
            outcome = None
            if isinstance(read, Ok) and read.ok_value is not None:
                outcome = await self.offer_source(read.ok_value)
            if outcome is OfferOutcome.ACCEPTED:
                backoff_s = FIRST_BACKOFF_S
                continue
            # The platform is unreachable, or its text is stale or invalid; an
            # immediate retry would give the same result.
            await anyio.sleep(self._jitter(backoff_s))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _watch_list(self) -> None:
        while True:
            is_reader = self._roster.is_reader() or self._are_peers_silent()
            started_at_ms = self._clock.now_ms()
            succeeded = await self._read_list(WATCH_MS if is_reader else 0)
            if not succeeded:
                await anyio.sleep(self._jitter(LIST_RETRY_S))
            elif not is_reader:
                await self._wait_until_reader(
                    self._jitter(LIST_REFRESH_INTERVAL_S)
                )
            else:
                await self._limit_call_rate(started_at_ms)

    async def _limit_call_rate(self, started_at_ms: int) -> None:
        """Limits the call rate to a platform that answers without waiting."""
        if self._clock.now_ms() - started_at_ms < FIRST_BACKOFF_S * 1_000:
            await anyio.sleep(self._jitter(FIRST_BACKOFF_S))

    async def _wait_until_reader(self, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            while not self._roster.is_reader():
                await anyio.sleep(ROLE_CHECK_INTERVAL_S)

    async def _read_list(self, wait_ms: int) -> bool:
        read = await self._platform.watch_instances(self._revision, wait_ms)
        self._record_reachability(read)
        if isinstance(read, Err):
            return False
        if read.ok_value is not None:
            self._revision, instances = read.ok_value
            self._roster.apply_list(instances)
        return True

    async def _may_read_text(self) -> bool:
        if self._roster.is_reader():
            return True
        if not self._are_peers_silent():
            return False
        # All instances of a zone may lose their peers at the same moment, so a
        # random delay keeps them from calling the platform together.
        await anyio.sleep(self._rng.uniform(0, PEER_SILENCE_MS / 1_000))
        return self._are_peers_silent()

    def _are_peers_silent(self) -> bool:
        ages = [
            self._roster.find_age(p.name)
            for p in self._roster.list_live_peers()
        ]
        return all(age is None or age > PEER_SILENCE_MS for age in ages)

    def _record_reachability(self, read: Result[object, PlatformError]) -> None:
        is_reachable = isinstance(read, Ok)
        if is_reachable is self._is_reachable:
            return
        self._is_reachable = is_reachable
        if isinstance(read, Err):
            # The platform may come back from an older copy, with revisions
            # that are lower than the known one.
            self._revision = 0
            self._log.emit(
                Event.PLATFORM_UNREACHABLE, detail=read.err_value.detail
            )
        else:
            self._log.emit(Event.PLATFORM_REACHED)

    def _jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.5, 1.0)
