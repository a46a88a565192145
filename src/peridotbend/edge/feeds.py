"""Local copies of the key prefixes that the platform publishes."""

import dataclasses
from collections.abc import Awaitable, Callable, Collection

import anyio
from result import Err, Result

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.hedging import try_in_turn
from peridotbend.domain.ports import EventLog
from peridotbend.edge.ports import (
    PublishedReader,
    StoreError,
    StoreFailure,
)
from peridotbend.edge.published import (
    Changes,
    FeedState,
    Item,
    Position,
    PublishedItems,
)
from peridotbend.edge.readerrole import ReaderRole
from peridotbend.edge.versions import VIEW_LAG_MS

# Maximum duration of a watch call. A call that is lost with its connection, or
# just before the store comes back, delays changes by this time and its margin;
# docs/platform.md adds up what else does.
WATCH_WAIT_MS = 1_000
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
# A peer that has not answered for this long is not waited for alone: the next
# one is asked as well. Calls to sound peers take milliseconds.
HEDGE_DELAY_MS = 200
# Peers asked for one change. If all of them hang, this instance is the fault.
MAX_ASKED_PEERS = 4
# Bounds the table of peers that are ahead; those heard of last are kept.
MAX_PEERS_AHEAD = 16

# A copy that was read this lately lacks nothing that matters to a caller.
FRESH_MS = 200
# A caller waits this long for a copy to be read again.
CONFIRM_TIMEOUT_MS = 500
# Time after a failure in which no other caller waits.
CONFIRM_RETRY_MS = 500

# Lines that one merge may log on outdated entries.
MAX_OUTDATED_LINES = 20

# A watch that fails so would fail again; a listing has what is missing.
_UNREADABLE_HISTORY = (StoreFailure.COMPACTED, StoreFailure.TOO_LARGE)

FetchChanges = Callable[[str, str, FeedState], Awaitable[Changes | None]]


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreRules:
    """What a feed does about changes that it may have missed.

    The store was restored from an older copy, or has discarded its history.
    """

    # Whether the values have versions that must never go back.
    is_versioned: bool
    # How long entries are withheld that their writer has replaced or removed.
    withhold_ms: int
    # Called before the first changes of an era are applied.
    on_restored: Callable[[], None]
    # Called after a full copy that may hide changes between it and what was
    # known before.
    on_missed: Callable[[], None] = lambda: None


class Feed:
    """The copy of one prefix, updated from the store and from peers."""

    def __init__(
        self,
        prefix: str,
        reader: PublishedReader,
        apply: Callable[[list[Item]], None],
        clock: Clock,
        log: EventLog,
        on_update: Callable[[], None],
        role: ReaderRole,
        rules: RestoreRules,
    ):
        """Creates an empty copy.

        Args:
            prefix: of the keys.
            reader: reads them from the store.
            apply: receives the items that have changed.
            clock: source of time.
            log: receives what the copy learns, and from where.
            on_update: called when the store is reached or lost, and after
                changes.
            role: whether this instance reads the store.
            rules: what follows when the store was restored.
        """
        self.prefix = prefix
        self.items = PublishedItems(rules.is_versioned)
        self._reader = reader
        self._apply = apply
        self._clock = clock
        self._log = log
        self._on_update = on_update
        self._role = role
        self._rules = rules
        # Since when entries of a restored store have been withheld.
        self._withheld_since_ms: int | None = None
        # When the store, or the relay that reads it, last showed that nothing
        # is missing here.
        self.confirmed_at_ms = clock.now_ms()
        # As of when the copy is known to lack nothing; None before that.
        self.known_as_of_ms: int | None = None
        # Until then, entries may be listed whose writers ended long before.
        self._unsettled_until_ms = 0
        # Whether the store was away when this instance last read it, and no
        # relay has read it since.
        self._is_store_away = False
        # When the store was last read, on the clock that counts suspensions.
        self._read_at_ms: int | None = None
        self._confirming = anyio.Lock()
        self._confirm_after_ms = clock.boot_ms()
        # Whether the last call to the store succeeded.
        self.is_store_reachable = True
        self._must_list = True
        # Whether nothing was watched since the last listing.
        self._is_listing_new = False
        # Whether no peer has been asked for what the store may have forgotten.
        self._must_ask = True
        # Set while a peer is ahead.
        self._is_behind = anyio.Event()
        # The call to the store that waits for changes, and since when.
        self._watch_scope: anyio.CancelScope | None = None
        self._watch_since_ms = clock.now_ms()
        # Since when peers have been ahead of this process, and how far they
        # are, the one heard of last at the end.
        self._behind_since_ms: int | None = None
        self._peers_ahead: dict[str, FeedState] = {}
        # Peers whose last call failed, the latest at the end.
        self._failed_peers: dict[str, None] = {}

    @property
    def has_asked_store(self) -> bool:
        """Whether the store has been read, unless it does not answer."""
        is_reader = self._role.is_reader and self.is_store_reachable
        return self._read_at_ms is not None or not is_reader

    @property
    def has_asked_peer(self) -> bool:
        """Whether a peer has told what the store may have forgotten."""
        return not self._must_ask

    async def run(self) -> None:
        """Lists and watches the store until cancelled."""
        backoff_ms = INITIAL_BACKOFF_MS
        while True:
            await self._role.wait_until_reader()
            outcome: bool | None = False
            with anyio.CancelScope() as scope:
                self._watch_scope = scope
                self._watch_since_ms = self._clock.now_ms()
                # A store that did not answer is not trusted with a wait: a call
                # that is lost as it comes back ends soon.
                outcome = await self._read_once(
                    WATCH_WAIT_MS if self.is_store_reachable else 0
                )
            self._watch_scope = None
            if outcome is None:
                delay_ms = self._role.choose_retry_delay_ms(backoff_ms)
                await anyio.sleep(delay_ms / 1_000)
                backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
                continue
            if not self._is_listing_new:
                backoff_ms = INITIAL_BACKOFF_MS
            if outcome:
                await anyio.sleep(BATCH_DELAY_MS / 1_000)

    async def confirm(self) -> bool:
        """Tells whether the copy lacks nothing, after reading it if need be.

        Callers of a moment share one call to the store.
        """
        async with self._confirming:
            now_ms = self._clock.boot_ms()
            if self._was_read_since(now_ms - FRESH_MS):
                return True
            is_lost = self._role.is_reader and not self.is_store_reachable
            if is_lost or now_ms < self._confirm_after_ms:
                return False
            with anyio.move_on_after(CONFIRM_TIMEOUT_MS / 1_000):
                while await self._read_once(wait_ms=0) is not None:
                    # The first call may only show that a listing is needed.
                    if self._was_read_since(now_ms):
                        return True
            self._confirm_after_ms = self._clock.boot_ms() + CONFIRM_RETRY_MS
            return False

    def _was_read_since(self, since_ms: int) -> bool:
        """Tells whether the store was read since then, by `boot_ms`."""
        return self._read_at_ms is not None and self._read_at_ms >= since_ms

    async def _read_once(self, wait_ms: int) -> bool | None:
        """Reads the store; tells whether there were changes, None if failed."""
        asked_at_ms = self._clock.now_ms()
        result = await self._read(wait_ms)
        if isinstance(result, Err):
            error = result.err_value
            if error.failure in _UNREADABLE_HISTORY and not self._must_list:
                self._must_list = True
                # A listing should have made the next watch possible; without a
                # pause, the two would follow each other.
                is_repeated, self._is_listing_new = self._is_listing_new, False
                return None if is_repeated else False
            self._note_store_status(False, error)
            return None
        changes = result.ok_value
        era = self.items.position.era
        if changes.position.era < era:
            detail = f"an answer of era {changes.position.era}, after era {era}"
            error = StoreError(StoreFailure.OUTDATED, detail)
            self._note_store_status(False, error)
            return None
        self._note_store_status(True)
        if not changes.is_whole and changes.position.era > era:
            # The revision that was watched is one of another history.
            self._must_list = True
            return False
        self._must_list = False
        self._is_listing_new = changes.is_whole
        self.confirmed_at_ms = self._clock.now_ms()
        self._read_at_ms = self._clock.boot_ms()
        has_changes = self.merge(changes)
        self._note_known(asked_at_ms)
        return has_changes

    def merge(self, changes: Changes, source: str = "store") -> bool:
        """Merges changes; tells whether any of them was new.

        Args:
            changes: from the store or from a peer.
            source: the host of the peer.
        """
        known = self.items.position
        is_restored = self.items.is_known and changes.position.era > known.era
        if is_restored:
            self._withheld_since_ms = None
            self._note_unsettled()
            self._log.emit(
                Event.STORE_RESTORED,
                prefix=self.prefix,
                source=source,
                era=changes.position.era,
                revision=changes.position.revision,
                known_era=known.era,
                known_revision=known.revision,
            )
            self._rules.on_restored()
        outcome = self.items.merge(changes)
        for item, newer in outcome.outdated[:MAX_OUTDATED_LINES]:
            self._log.emit(
                Event.ENTRY_OUTDATED,
                entry=item.key,
                source=source,
                era=item.position.era,
                revision=item.position.revision,
                order=item.order,
                known_era=newer.position.era,
                known_revision=newer.position.revision,
                known_order=newer.order,
                is_removed=newer.value is None,
            )
        if self.items.has_withheld and self._withheld_since_ms is None:
            self._withheld_since_ms = self._clock.now_ms()
        self._forget_overtaken()
        if outcome.changed:
            self._apply(list(outcome.changed))
            self._on_update()
        if changes.is_whole and _may_hide_changes(changes, known):
            self._rules.on_missed()
        return bool(outcome.changed)

    def _note_known(self, as_of_ms: int) -> None:
        """Records that the copy lacks nothing as of a time."""
        if as_of_ms >= self._unsettled_until_ms:
            self.known_as_of_ms = as_of_ms

    def _note_unsettled(self) -> None:
        """Records that the store was away, or came back from a copy.

        Meanwhile, leases may not have run out.
        """
        self._unsettled_until_ms = (
            self._clock.now_ms() + self._rules.withhold_ms
        )

    def release_withheld(self) -> None:
        """Takes over what a restored store still offers after some time."""
        if self._withheld_since_ms is None:
            return
        # An instance that is cut off would not see that an entry expires.
        waited_ms = self.confirmed_at_ms - self._withheld_since_ms
        if waited_ms < self._rules.withhold_ms:
            return
        self._withheld_since_ms = None
        released = self.items.release_withheld()
        for item in released:
            self._log.emit(
                Event.ENTRY_RELEASED,
                entry=item.key,
                era=item.position.era,
                revision=item.position.revision,
                waited_ms=waited_ms,
            )
        if released:
            self._apply(list(released))

    def note_peer(self, host: str, state: FeedState) -> None:
        """Records how far a peer knows the prefix."""
        self._peers_ahead.pop(host, None)
        if not self._is_ahead(state):
            is_level = state.position == self.items.position
            if is_level and not self._role.is_reader:
                if self._is_store_away:
                    self._is_store_away = False
                    self._note_unsettled()
                self.confirmed_at_ms = self._clock.now_ms()
                self._note_known(self.confirmed_at_ms - VIEW_LAG_MS)
            if not self._peers_ahead:
                self._behind_since_ms = None
            return
        self._peers_ahead[host] = state
        if len(self._peers_ahead) > MAX_PEERS_AHEAD:
            del self._peers_ahead[next(iter(self._peers_ahead))]
        if self._behind_since_ms is None:
            self._behind_since_ms = self._clock.now_ms()
        self._is_behind.set()

    def take_peer_ahead(self, exclude: Collection[str] = ()) -> str:
        """Returns a peer from which to fetch missing changes, or "".

        Each peer is returned once, until it is reported as ahead again. Those
        that failed lately come last.

        Args:
            exclude: peers that are being asked.
        """
        since_ms = self._behind_since_ms
        if since_ms is None:
            return ""
        waited_ms = self._clock.now_ms() - since_ms
        # The own watch of a reader normally delivers the change as well.
        has_watch = self.items.is_known and self._role.is_reader
        if has_watch and not self._must_ask and waited_ms < CATCH_UP_DELAY_MS:
            return ""
        hosts = [host for host in self._peers_ahead if host not in exclude]
        if not hosts:
            return ""
        failures = {host: n for n, host in enumerate(self._failed_peers)}
        host = min(reversed(hosts), key=lambda h: failures.get(h, -1))
        del self._peers_ahead[host]
        if not self._peers_ahead:
            self._behind_since_ms = None
        return host

    async def catch_up(self, fetch: FetchChanges) -> None:
        """Fetches missing changes from peers until cancelled."""
        while True:
            await self._is_behind.wait()
            self._is_behind = anyio.Event()
            while (since_ms := self._behind_since_ms) is not None:
                host = self.take_peer_ahead()
                if host:
                    await self._fetch_from_any(host, since_ms, fetch)
                else:
                    await anyio.sleep(CATCH_UP_INTERVAL_MS / 1_000)

    def find_fetch_state(self) -> FeedState:
        """Returns the state after which a peer is asked for changes.

        A new process also needs what peers keep of an earlier era, which is
        part of full copies only.
        """
        return FeedState() if self._must_ask else self.items.state

    def merge_fetched(self, host: str, changes: Changes) -> None:
        """Merges what a peer has answered."""
        self._must_ask = False
        changes = self._place(changes)
        era = self.items.position.era
        if changes.is_whole or changes.position.era == era:
            self.merge(changes, host)

    async def _fetch_from_any(
        self, host: str, since_ms: int, fetch: FetchChanges
    ) -> None:
        """Asks peers until one answers, without waiting for silent ones.

        Args:
            host: the first peer to ask.
            since_ms: since when peers have been ahead.
            fetch: asks one peer.
        """

        def choose(tried: Collection[str]) -> str:
            if not tried:
                return host
            self._restart_watch(since_ms)
            return self.take_peer_ahead(tried)

        has_answer = await try_in_turn(
            choose,
            lambda peer: self._fetch(peer, since_ms, fetch),
            HEDGE_DELAY_MS,
            MAX_ASKED_PEERS,
        )
        if not has_answer and not self._role.is_reader:
            # The relays are slow or gone; their next digests show which.
            await self._read_once(wait_ms=0)

    def _restart_watch(self, since_ms: int) -> None:
        """Ends a watch that has not delivered what peers know.

        Its connection may be dead, and peers may not answer either.

        Args:
            since_ms: since when peers have been ahead.
        """
        if self._watch_scope is None or self._watch_since_ms > since_ms:
            return
        self._watch_since_ms = now_ms = self._clock.now_ms()
        self._log.emit(
            Event.STORE_WATCH_RESTARTED,
            prefix=self.prefix,
            revision=self.items.position.revision,
            behind_ms=now_ms - since_ms,
        )
        self._watch_scope.cancel()
        self._watch_scope = None

    async def _fetch(
        self, host: str, since_ms: int, fetch: FetchChanges
    ) -> bool:
        """Fetches changes from one peer; tells whether it answered."""
        started_at_ms = self._clock.now_ms()
        # Also holds for a call that is cancelled before its end.
        self._note_failed_peer(host)
        changes = await fetch(host, self.prefix, self.find_fetch_state())
        if changes is None:
            return False
        self._failed_peers.pop(host, None)
        now_ms = self._clock.now_ms()
        self._log.emit(
            Event.CHANGES_FETCHED,
            peer=host,
            prefix=self.prefix,
            items=len(changes.items),
            revision=changes.position.revision,
            behind_ms=now_ms - since_ms,
            took_ms=now_ms - started_at_ms,
        )
        self.merge_fetched(host, changes)
        return True

    def _note_failed_peer(self, host: str) -> None:
        self._failed_peers.pop(host, None)
        self._failed_peers[host] = None
        if len(self._failed_peers) > MAX_PEERS_AHEAD:
            del self._failed_peers[next(iter(self._failed_peers))]

    def _forget_overtaken(self) -> None:
        """Forgets the peers that are no longer ahead."""
        self._peers_ahead = {
            host: state
            for host, state in self._peers_ahead.items()
            if self._is_ahead(state)
        }
        if not self._peers_ahead:
            self._behind_since_ms = None

    def _is_ahead(self, state: FeedState) -> bool:
        """Tells whether a peer knows something that this instance does not."""
        own = self.items.state
        position = state.position
        if not position.era:
            # A version of the program that does not tell eras apart.
            position = Position(own.position.era, position.revision)
        if not position.revision:
            return False
        return (
            self._must_ask
            or position > own.position
            or state.version > own.version
        )

    def _place(self, changes: Changes) -> Changes:
        """Returns changes of a peer that does not know eras, in the own one."""
        era = self.items.position.era
        if changes.position.era or not era:
            return changes
        return Changes(
            tuple(
                dataclasses.replace(
                    item, position=Position(era, item.position.revision)
                )
                for item in changes.items
            ),
            Position(era, changes.position.revision),
            changes.is_whole,
        )

    async def _read(self, wait_ms: int) -> "Result[Changes, StoreError]":
        if self._must_list or not self.items.is_known:
            return await self._reader.list_items()
        revision = self.items.position.revision
        return await self._reader.watch(revision, wait_ms)

    def _note_store_status(
        self, is_reachable: bool, error: StoreError | None = None
    ) -> None:
        if is_reachable is self.is_store_reachable:
            return
        self.is_store_reachable = is_reachable
        self._is_store_away = not is_reachable
        self._note_unsettled()
        self._on_update()
        if error is None:
            self._log.emit(Event.PLATFORM_REACHED, prefix=self.prefix)
            return
        self._log.emit(
            Event.PLATFORM_UNREACHABLE,
            prefix=self.prefix,
            failure=error.failure.value,
            detail=error.detail,
        )


def _may_hide_changes(copy: Changes, known: Position) -> bool:
    """Tells whether a full copy may lack changes since a known position.

    It shows the last change of each key that exists. Revisions that are not
    among these are removals, changes that were replaced, or other keys.
    """
    if not known.revision:
        return False
    if copy.position.era != known.era:
        return True
    if copy.position <= known:
        return False
    shown = {
        item.position.revision
        for item in copy.items
        if known < item.position <= copy.position
    }
    return len(shown) < copy.position.revision - known.revision
