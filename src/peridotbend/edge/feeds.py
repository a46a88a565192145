"""Local copies of the key prefixes that the platform publishes."""

from collections.abc import Awaitable, Callable, Mapping

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

FetchChanges = Callable[[str, str, int], Awaitable[Changes | None]]


class Feed:
    """The copy of one prefix, updated from the store and from peers."""

    def __init__(
        self,
        prefix: str,
        reader: PublishedReader,
        apply: Callable[[list[Item]], None],
        clock: Clock,
        log: EventLog,
        report_store_status: Callable[[bool], None],
    ):
        self.prefix = prefix
        self.items = PublishedItems()
        self._reader = reader
        self._apply = apply
        self._clock = clock
        self._log = log
        self._report_store_status = report_store_status
        self._is_store_reachable = True
        # Since when a peer has been ahead of this process, and which one.
        self._behind_since_ms: int | None = None
        self._peer_ahead = ""

    async def run(self) -> None:
        """Lists and watches the store until cancelled."""
        backoff_ms = INITIAL_BACKOFF_MS
        must_list = True
        while True:
            result = await self._read(must_list)
            if isinstance(result, Err):
                error = result.err_value
                if error.failure is StoreFailure.COMPACTED:
                    must_list = True
                    continue
                self._note_store_status(False, error)
                await anyio.sleep(backoff_ms / 1_000)
                backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
                continue
            self._note_store_status(True)
            must_list = False
            backoff_ms = INITIAL_BACKOFF_MS
            if self.merge(result.ok_value):
                await anyio.sleep(BATCH_DELAY_MS / 1_000)

    def merge(self, changes: Changes) -> bool:
        """Merges changes; tells whether any of them was new."""
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

    def take_peer_ahead(self) -> str:
        """Returns a peer from which to fetch missing changes, or "".

        Each peer is returned once, until it is reported as ahead again.
        """
        since_ms = self._behind_since_ms
        if since_ms is None:
            return ""
        waited_ms = self._clock.now_ms() - since_ms
        if self.items.revision and waited_ms < CATCH_UP_DELAY_MS:
            return ""
        self._behind_since_ms = None
        return self._peer_ahead

    async def _read(self, must_list: bool) -> "Result[Changes, StoreError]":
        if must_list or not self.items.revision:
            return await self._reader.list_items()
        return await self._reader.watch(self.items.revision, WATCH_WAIT_MS)

    def _note_store_status(
        self, is_reachable: bool, error: StoreError | None = None
    ) -> None:
        self._report_store_status(is_reachable)
        if is_reachable is self._is_store_reachable:
            return
        self._is_store_reachable = is_reachable
        if error is None:
            self._log.emit(Event.PLATFORM_REACHED, prefix=self.prefix)
            return
        self._log.emit(
            Event.PLATFORM_UNREACHABLE,
            prefix=self.prefix,
            failure=error.failure.value,
            detail=error.detail,
        )


async def catch_up(feeds: Mapping[str, Feed], fetch: FetchChanges) -> None:
    """Fetches missing changes from peers until cancelled."""
    while True:
        await anyio.sleep(CATCH_UP_INTERVAL_MS / 1_000)
        for feed in feeds.values():
            host = feed.take_peer_ahead()
            if not host:
                continue
            changes = await fetch(host, feed.prefix, feed.items.revision)
            if changes is not None:
                feed.merge(changes)
