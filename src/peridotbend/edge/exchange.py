"""Decides which digests an instance sends to whom, and what it believes.

Independent of sockets: the caller sends what `collect` returns and passes on
what it receives.
"""

import dataclasses
from collections.abc import Callable, Sequence

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.fleetstatus import FleetStatus
from peridotbend.edge.groups import (
    RELAY_TIMEOUT_MS,
    GroupDirectory,
    GroupKey,
)
from peridotbend.edge.peers import (
    PEER_TIMEOUT_MS,
    Digest,
    Member,
    PeerRegistry,
    Scope,
)
from peridotbend.edge.published import FeedState
from peridotbend.edge.sharedstate import SharedState

# In a small fleet, digests follow changes within this time.
MESH_INTERVAL_MS = 50
MESH_MAX_INTERVAL_MS = 300
# In a larger fleet, state passes through two relays.
GROUP_INTERVAL_MS = 100
GROUP_MAX_INTERVAL_MS = 400
# Interval of the second relay of a group, whose digests are only needed when
# the first one fails.
STANDBY_INTERVAL_MS = 300
# A relay that read the store is taken to read it for this time after its last
# digest.
READER_TIMEOUT_MS = 1_000
# Age at which the totals of the first relay are replaced by those of another.
SWITCH_RELAY_MS = 500
# An instance of an older build is reported for this time after its last digest,
# more than the longest interval between digests.
LEGACY_REPORT_MS = 1_000
# Entries of the list of instances in one digest.
MAX_MEMBERS = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """One digest and the hosts that it goes to."""

    digest: Digest
    hosts: Sequence[str]
    # For each host, incarnation and sequence of its digest that is included.
    echoes: Sequence[tuple[int, int]] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Source:
    """The newest digest of a relay."""

    host: str
    # Incarnation and sequence of the digest.
    version: tuple[int, int]
    at_ms: int
    live: int
    expected: int


class DigestExchange:
    """The part of an instance in the exchange of digests."""

    def __init__(
        self,
        state: SharedState,
        peers: PeerRegistry,
        directory: GroupDirectory,
        status: FleetStatus,
        clock: Clock,
        log: EventLog,
        note_feed_state: Callable[[str, str, FeedState], None],
    ):
        """Creates the exchange.

        Args:
            state: what digests describe.
            peers: all known instances.
            directory: the groups and their relays.
            status: receives the numbers of instances.
            clock: source of time.
            log: receives changes of the relay that is followed.
            note_feed_state: called with host, prefix and how far another
                instance knows the prefix.
        """
        self._state = state
        self._peers = peers
        self._directory = directory
        self._status = status
        self._clock = clock
        self._log = log
        self._note_feed_state = note_feed_state
        # Called on news of an instance that places streams without regard to
        # the versions of targets.
        self.on_legacy_peer: Callable[[], None] = lambda: None
        # When a digest of each scope last told of such an instance.
        self._legacy_at_ms: dict[Scope, int] = {}
        self._identity = state.identity
        self._sequence = 0
        self._sent_at_ms: dict[Scope, int] = {}
        self._last_content: object = None
        # The relay whose totals are in use; None while own sums are.
        self._view: _Source | None = None
        self._groups: dict[GroupKey, _Source] = {}
        # When a digest of each relay that reads the store arrived.
        self._readers: dict[str, int] = {}
        self._members_cursor = 0
        # When the last digest arrived.
        self._heard_at_ms = clock.now_ms()
        # Live instances that this one knows of by digests or by sums.
        self._live = 1
        self._expected = 1

    @property
    def is_relay(self) -> bool:
        """Whether this instance sums the state of its group."""
        if self._directory.is_mesh:
            return False
        return self._identity.host in self._find_own_relays()

    @property
    def is_designated_reader(self) -> bool:
        """Whether this instance reads the store for its group."""
        if self._directory.is_mesh:
            return True
        return self._find_own_relays()[0] == self._identity.host

    def should_read_store(self) -> bool:
        """Tells whether this instance reads the store itself.

        The first relay of each group does. The others get changes from it, and
        read for themselves while it is silent or does not reach the store.
        """
        if self.is_designated_reader:
            return True
        oldest_ms = self._clock.now_ms() - READER_TIMEOUT_MS
        return all(at_ms < oldest_ms for at_ms in self._readers.values())

    def find_wait_ms(self) -> int:
        """Returns the time until digests are due without any change."""
        sent_at_ms = min(
            self._sent_at_ms.get(scope, 0) for scope in self._list_scopes()
        )
        max_interval_ms = (
            MESH_MAX_INTERVAL_MS
            if self._directory.is_mesh
            else GROUP_MAX_INTERVAL_MS
        )
        return max(1, sent_at_ms + max_interval_ms - self._clock.now_ms())

    def find_min_interval_ms(self) -> int:
        """Returns the minimum time between digests."""
        if self._directory.is_mesh:
            return MESH_INTERVAL_MS
        return GROUP_INTERVAL_MS

    def collect(self) -> list[Outgoing]:
        """Returns the digests that are due."""
        self._peers.check(self._state.drop_source)
        self._sequence += 1
        if self._directory.is_mesh:
            self._drop_view()
            hosts = self._peers.list_hosts()
            return self._collect_own(hosts) + self._collect_news(hosts)
        self._check_sources()
        relays = self._find_own_relays()
        others = [host for host in relays if host != self._identity.host]
        if self._view is None and (not self.is_relay or self._is_isolated()):
            # An instance that is new, or that nobody answers, finds the others
            # through any that it knows.
            others.append(self._peers.choose_any())
        outgoing = self._collect_own(others)
        interval_ms = GROUP_INTERVAL_MS
        if self.is_relay and relays[0] != self._identity.host:
            interval_ms = STANDBY_INTERVAL_MS
        outgoing += self._collect_fleet(interval_ms)
        hosts = [*others, *self._peers.list_live_hosts()]
        if self.is_relay:
            outgoing += self._collect_group(interval_ms)
            hosts += self._list_other_relays()
        return outgoing + self._collect_news(hosts)

    def receive(self, digest: Digest) -> bool:
        """Applies a digest; returns whether anybody should be told of it."""
        if digest.host == self._identity.host:
            return False
        if self._is_isolated():
            self._directory.reset_failures()
        self._heard_at_ms = self._clock.now_ms()
        if not digest.places_by_target:
            self._legacy_at_ms[digest.scope] = self._heard_at_ms
            self.on_legacy_peer()
        if digest.scope is Scope.NEWS:
            self._state.apply_news(digest)
            return False
        if digest.scope is Scope.OWN:
            return self._receive_own(digest)
        self._peers.add_member(
            Member(digest.host, digest.zone, 0, digest.is_draining)
        )
        for member in digest.members:
            if member.host != self._identity.host:
                self._peers.add_member(member)
        for prefix, state in digest.feeds.items():
            self._note_feed_state(digest.host, prefix, state)
        if self._directory.is_mesh:
            return False
        self._directory.note_answer(digest.host)
        if digest.scope is Scope.GROUP:
            return self._receive_group(digest)
        return self._receive_fleet(digest)

    def _is_isolated(self) -> bool:
        """Tells whether no digest arrives, so that the fault may be here."""
        silence_ms = self._clock.now_ms() - self._heard_at_ms
        return silence_ms > RELAY_TIMEOUT_MS

    def _receive_own(self, digest: Digest) -> bool:
        if not self._peers.accept(digest):
            return False
        for prefix, state in digest.feeds.items():
            self._note_feed_state(digest.host, prefix, state)
        key = self._directory.find_key(digest.host)
        if not self._directory.is_mesh and key != self._directory.own_key:
            return True
        self._state.apply_own(digest)
        return not self._directory.is_mesh

    def _receive_group(self, digest: Digest) -> bool:
        key = self._directory.find_key(digest.host)
        if key is None or key == self._directory.own_key:
            return False
        if not self._is_better(self._groups.get(key), digest, key):
            return False
        self._groups[key] = self._make_source(digest)
        self._state.apply_group(_format_key(key), digest)
        return True

    def _receive_fleet(self, digest: Digest) -> bool:
        """Applies totals; tells whether the reader of the group was lost."""
        key = self._directory.own_key
        is_lost = False
        # Only a direct reader counts: two instances could otherwise each take
        # the other for the reader.
        if digest.is_store_reachable and key == self._directory.find_key(
            digest.host
        ):
            self._readers[digest.host] = self._clock.now_ms()
        else:
            is_lost = self._readers.pop(digest.host, None) is not None
        self._apply_totals(digest, key)
        return is_lost

    def _apply_totals(self, digest: Digest, key: GroupKey) -> None:
        if not digest.live_instances:
            return
        if not self._is_better(self._view, digest, key):
            return
        if self.is_relay and digest.live_instances <= self._live:
            # Own sums are at least as complete.
            return
        if self._view is None or self._view.host != digest.host:
            self._log.emit(
                Event.RELAY_FOLLOWED,
                peer=digest.host,
                live=digest.live_instances,
            )
        self._view = self._make_source(digest)
        self._update_status()
        self._state.apply_fleet(digest)

    def _is_better(
        self, current: _Source | None, digest: Digest, key: GroupKey
    ) -> bool:
        """Tells whether a digest is preferred to the source in use."""
        if current is None:
            return True
        if current.host == digest.host:
            incarnation, sequence = current.version
            # An older digest may arrive late.
            return (
                incarnation != digest.incarnation or sequence < digest.sequence
            )
        if self._clock.now_ms() - current.at_ms > SWITCH_RELAY_MS:
            return True
        return self._directory.choose_relays(key)[0] == digest.host

    def _make_source(self, digest: Digest) -> _Source:
        return _Source(
            digest.host,
            (digest.incarnation, digest.sequence),
            self._clock.now_ms(),
            digest.live_instances,
            digest.expected_instances,
        )

    def _check_sources(self) -> None:
        """Drops outdated totals and sums, and counts the live instances."""
        oldest_ms = self._clock.now_ms() - PEER_TIMEOUT_MS
        for key, source in list(self._groups.items()):
            if source.at_ms < oldest_ms:
                del self._groups[key]
                self._state.drop_source(_format_key(key))
        if self._view is not None and self._view.at_ms < oldest_ms:
            self._drop_view()
        self._live = self._count_live(self._list_live_members())
        self._live += sum(source.live for source in self._groups.values())
        self._expected = max(self._live, self._peers.count_expected())
        has_better_sums = (
            self._view is not None and self._view.live <= self._live
        )
        if has_better_sums and self.is_relay:
            self._drop_view()
        self._update_status()

    def _update_status(self) -> None:
        if self._view is None:
            self._status.set_counts(self._live, self._expected)
        else:
            self._status.set_counts(self._view.live, self._view.expected)

    def _drop_view(self) -> None:
        if self._view is not None:
            self._log.emit(
                Event.RELAY_LOST, peer=self._view.host, is_relay=self.is_relay
            )
            self._view = None
            self._state.drop_fleet()

    def _list_live_members(self) -> set[str]:
        """Returns the hosts of the own group that are heard of directly."""
        own_key = self._directory.own_key
        return {
            host
            for host in self._peers.list_live_hosts()
            if self._directory.find_key(host) == own_key
        }

    def _count_live(self, members: set[str]) -> int:
        """Returns how many expected instances of the own group are live.

        Those that drain are not expected, so they must not make up for others.
        """
        return 1 + sum(not self._peers.is_draining(host) for host in members)

    def _find_own_relays(self) -> list[str]:
        return self._directory.choose_relays(self._directory.own_key)

    def _list_scopes(self) -> list[Scope]:
        return [Scope.OWN, Scope.FLEET] if self.is_relay else [Scope.OWN]

    def _collect_own(self, hosts: list[str]) -> list[Outgoing]:
        digest = self._state.describe_own(self._sequence)
        spent = {n: use.spent for n, use in digest.allowances.items()}
        content = (
            digest.in_flight,
            digest.prompt_tokens,
            spent,
            digest.is_draining,
            digest.feeds,
        )
        max_interval_ms = (
            MESH_MAX_INTERVAL_MS
            if self._directory.is_mesh
            else GROUP_MAX_INTERVAL_MS
        )
        is_unchanged = content == self._last_content
        if is_unchanged and not self._is_due(Scope.OWN, max_interval_ms):
            return []
        self._last_content = content
        self._sent_at_ms[Scope.OWN] = self._clock.now_ms()
        if self._directory.is_mesh:
            known_hosts = tuple(self._peers.list_live_hosts())
            digest = dataclasses.replace(digest, known_hosts=known_hosts)
        return [Outgoing(digest, [host for host in hosts if host])]

    def _collect_fleet(self, interval_ms: int) -> list[Outgoing]:
        """Answers the instances that sent their digest to this one."""
        hosts = self._peers.list_live_hosts()
        if not hosts or not self._is_due(Scope.FLEET, interval_ms):
            return []
        self._sent_at_ms[Scope.FLEET] = self._clock.now_ms()
        # Totals that come from another relay are not passed on as own sums: two
        # relays would otherwise confirm each other's outdated totals.
        live = self._live if self._view is None else 0
        expected = self._expected
        digest = self._state.describe_fleet(self._sequence, live, expected)
        digest = self._complete_sums(digest, (Scope.OWN, Scope.GROUP))
        echoes = [self._peers.find_last_sequence(host) for host in hosts]
        return [Outgoing(digest, hosts, echoes)]

    def _collect_group(self, interval_ms: int) -> list[Outgoing]:
        """Informs the relays of all other groups."""
        if not self._is_due(Scope.GROUP, interval_ms):
            return []
        self._sent_at_ms[Scope.GROUP] = self._clock.now_ms()
        members = self._list_live_members()
        digest = self._state.describe_group(
            self._sequence, members, self._count_live(members)
        )
        digest = self._complete_sums(digest, (Scope.OWN,))
        return [Outgoing(digest, self._list_other_relays())]

    def _complete_sums(
        self, digest: Digest, sources: tuple[Scope, ...]
    ) -> Digest:
        """Adds the list of instances, and whether any is of an older build.

        What relays tell each other must come from the instances themselves:
        it would otherwise circulate after the last one was replaced.
        """
        oldest_ms = self._clock.now_ms() - LEGACY_REPORT_MS
        has_legacy = any(
            self._legacy_at_ms.get(scope, oldest_ms) > oldest_ms
            for scope in sources
        )
        return dataclasses.replace(
            digest,
            members=self._select_members(),
            places_by_target=not has_legacy,
        )

    def _collect_news(self, hosts: list[str]) -> list[Outgoing]:
        """Passes on what is known of crashes and limits."""
        digest = self._state.describe_news(self._sequence)
        if digest is None:
            return []
        unique = dict.fromkeys(host for host in hosts if host)
        return [Outgoing(digest, list(unique))]

    def _list_other_relays(self) -> list[str]:
        """Returns the relays of all other groups."""
        hosts: list[str] = []
        for key in self._directory.list_keys():
            if key != self._directory.own_key:
                hosts.extend(self._directory.choose_relays(key))
        return hosts

    def _is_due(self, scope: Scope, interval_ms: int) -> bool:
        sent_at_ms = self._sent_at_ms.get(scope)
        if sent_at_ms is None:
            return True
        # Timers fire a little early or late.
        return self._clock.now_ms() - sent_at_ms >= interval_ms - 5

    def _select_members(self) -> tuple[Member, ...]:
        members = self._peers.list_members()
        if len(members) <= MAX_MEMBERS:
            return tuple(members)
        start = self._members_cursor % len(members)
        self._members_cursor = start + MAX_MEMBERS
        return tuple((members + members)[start : start + MAX_MEMBERS])


def _format_key(key: GroupKey) -> str:
    zone, index = key
    return f"{zone}/{index}"
