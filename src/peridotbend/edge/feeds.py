"""Local copies of the key prefixes that the platform publishes."""

import random
from collections.abc import Awaitable, Callable

import anyio
from result import Err, Result

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.ports import (
    PublishedReader,
    StoreError,
    StoreFailure,
)
from peridotbend.edge.published import Changes, Item, PublishedItems

# Maximum duration of a watch call. It bounds the time until a dead connection
# is detected, well before a change has to be active.
WATCH_WAIT_MS = 2_000
# Delay after a change, so that further changes share the next call: each call
# to the store is charged for.
BATCH_DELAY_MS = 100
INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 500
# A peer that is ahead for this long has changes that the watch of this instance
# does not deliver.
CATCH_UP_DELAY_MS = 250
# Interval of the checks for such peers; digests arrive at the same rate.
CATCH_UP_INTERVAL_MS = 50
# Instances that lose their relays together start to read at random times within
# this one.
READER_JITTER_MS = 200

FetchChanges = Callable[[str, str, int], Awaitable[Changes | None]]


class ReaderRole:
    """Whether this instance reads the store itself or follows a relay."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._turn = anyio.Event()
        self._turn.set()
        self._is_reader = True

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the store itself."""
        return self._is_reader

    def assign(self, is_reader: bool) -> None:
        """Sets the role."""
        if is_reader is self._is_reader:
            return
        self._is_reader = is_reader
        if is_reader:
            self._turn.set()
        else:
            self._turn = anyio.Event()

    async def wait_until_reader(self) -> None:
        """Returns when this instance has to read the store."""
        while not self._is_reader:
            await self._turn.wait()
            await anyio.sleep(self._rng.uniform(0, READER_JITTER_MS / 1_000))


class Feed:
    """The copy of one prefix, updated from the store and from peers."""

    def __init__(
        self,
        prefix: str,
        reader: PublishedReader,
        apply: Callable[[list[Item]], None],
        clock: Clock,
        log: EventLog,
        report_store_status: Callable[[], None],
        role: ReaderRole,
    ):
        self.prefix = prefix
        self.items = PublishedItems()
        self._reader = reader
        self._apply = apply
        self._clock = clock
        self._log = log
        self._report_store_status = report_store_status
        self._role = role
        # Whether the last call to the store succeeded.
        self.is_store_reachable = True
        self._must_list = True
        # The last era of the store that is known.
        self._era = 0
        # Set while a peer is ahead.
        self._is_behind = anyio.Event()
        # Since when a peer has been ahead of this process, and which one.
        self._behind_since_ms: int | None = None
        self._peer_ahead = ""

    async def run(self) -> None:
        """Lists and watches the store until cancelled."""
        backoff_ms = INITIAL_BACKOFF_MS
        while True:
            await self._role.wait_until_reader()
            outcome = await self._read_once(WATCH_WAIT_MS)
            if outcome is None:
                await anyio.sleep(backoff_ms / 1_000)
                backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
                continue
            backoff_ms = INITIAL_BACKOFF_MS
            if outcome:
                await anyio.sleep(BATCH_DELAY_MS / 1_000)

    async def _read_once(self, wait_ms: int) -> bool | None:
        """Reads the store; tells whether there were changes, None if failed."""
        result = await self._read(wait_ms)
        if isinstance(result, Err):
            error = result.err_value
            if error.failure is StoreFailure.COMPACTED:
                self._must_list = True
                return False
            self._note_store_status(False, error)
            return None
        self._note_store_status(True)
        self._note_era(result.ok_value)
        self._must_list = False
        return self.merge(result.ok_value)

    def merge(self, changes: Changes) -> bool:
        """Merges changes; tells whether any of them was new."""
        for item, known in self.items.find_outdated(changes):
            self._log.emit(
                Event.ENTRY_OUTDATED,
                entry=item.key,
                revision=item.revision,
                known_revision=known.revision,
            )
        changed = self.items.merge(changes)
        if changed:
            self._apply(changed)
        return bool(changed)

    def note_peer(self, host: str, revision: int) -> None:
        """Records the revision up to which a peer knows the prefix."""
        if revision <= self.items.revision:
            if host == self._peer_ahead:
                self._behind_since_ms = None
            return
        self._peer_ahead = host
        if self._behind_since_ms is None:
            self._behind_since_ms = self._clock.now_ms()
        self._is_behind.set()

    def take_peer_ahead(self) -> str:
        """Returns a peer from which to fetch missing changes, or "".

        Each peer is returned once, until it is reported as ahead again.
        """
        since_ms = self._behind_since_ms
        if since_ms is None:
            return ""
        waited_ms = self._clock.now_ms() - since_ms
        # The own watch of a reader normally delivers the change as well.
        has_watch = self.items.revision and self._role.is_reader
        if has_watch and waited_ms < CATCH_UP_DELAY_MS:
            return ""
        self._behind_since_ms = None
        return self._peer_ahead

    async def catch_up(self, fetch: FetchChanges) -> None:
        """Fetches missing changes from peers until cancelled."""
        while True:
            await self._is_behind.wait()
            self._is_behind = anyio.Event()
            while self._behind_since_ms is not None:
                host = self.take_peer_ahead()
                if host:
                    await self._fetch(host, fetch)
                else:
                    await anyio.sleep(CATCH_UP_INTERVAL_MS / 1_000)

    async def _fetch(self, host: str, fetch: FetchChanges) -> None:
        changes = await fetch(host, self.prefix, self.items.revision)
        if changes is not None:
            self.merge(changes)
        elif not self._role.is_reader:
            # The relay is slow or gone; its next digest shows which.
            await self._read_once(wait_ms=0)

    async def _read(self, wait_ms: int) -> "Result[Changes, StoreError]":
        if self._must_list or not self.items.revision:
            return await self._reader.list_items()
        return await self._reader.watch(self.items.revision, wait_ms)

    def _note_era(self, changes: Changes) -> None:
        if changes.era > self._era and self.items.revision:
            self._log.emit(
                Event.STORE_RESTORED,
                prefix=self.prefix,
                era=changes.era,
                revision=changes.revision,
                known_era=self._era,
                known_revision=self.items.revision,
            )
        self._era = max(self._era, changes.era)

    def _note_store_status(
        self, is_reachable: bool, error: StoreError | None = None
    ) -> None:
        if is_reachable is self.is_store_reachable:
            return
        self.is_store_reachable = is_reachable
        self._report_store_status()
        if error is None:
            self._log.emit(Event.PLATFORM_REACHED, prefix=self.prefix)
            return
        self._log.emit(
            Event.PLATFORM_UNREACHABLE,
            prefix=self.prefix,
            failure=error.failure.value,
            detail=error.detail,
        )
