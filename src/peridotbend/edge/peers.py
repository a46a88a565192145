"""The other instances: membership, liveness and digests."""

import dataclasses
import enum
import random
from collections.abc import Callable, Mapping

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.allowances import AllowanceUse
from peridotbend.edge.contact import FleetContact
from peridotbend.edge.evidence import Suspicion
from peridotbend.edge.published import FeedState
from peridotbend.edge.ratelimits import NamedLimit

# Digests are sent at least every 300 ms. A peer without a digest for this long
# has stopped or is unreachable; its requests in flight are no longer counted.
PEER_TIMEOUT_MS = 1_500
# A peer without a digest may still serve callers on its side of a network
# partition. After this time it is assumed to have stopped.
PEER_EXPIRY_MS = 60_000
# Nobody has heard of a peer for this long: its part of a shared rate is given
# to others. In a large fleet, news of a peer passes through several instances.
RECENT_MS = 5_000
# A peer that expired may still run on the other side of a partition. Bounds in
# sum keep its part for this time.
FORMER_MS = 600_000
MAX_PEERS = 1_024


class Scope(enum.Enum):
    """The instances whose state a digest contains."""

    # The sender alone.
    OWN = 0
    # The group of the sender, for the relays of other groups.
    GROUP = 1
    # All groups, for the members of the sender's group.
    FLEET = 2
    # What every instance passes on: crashes, limits, brittle services, leaving
    # targets. In a datagram of its own, which sums of a large fleet would fill.
    NEWS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance as last known by the sender of a digest."""

    host: str
    zone: str
    # Time since any instance received a digest from it.
    age_ms: int
    is_draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """The state that an instance sends to others several times a second."""

    name: str
    # Different for each start of the process.
    incarnation: int
    sequence: int
    host: str
    is_draining: bool
    known_hosts: tuple[str, ...]
    # How far each prefix is known.
    feeds: Mapping[str, FeedState]
    # Requests in flight by target.
    in_flight: Mapping[str, int]
    # Use of the allowances by account.
    allowances: Mapping[str, AllowanceUse]
    # Evidence of all instances, as far as the sender knows it.
    crashes: tuple[Suspicion, ...] = ()
    # Limits that targets named, to any instance.
    limits: tuple[NamedLimit, ...] = ()
    # Services whose targets are brittle, by the hash of their name, with the
    # rejections in a second that each target survives.
    brittle: tuple[NamedLimit, ...] = ()
    # Hashes of the runs of targets that have said that they leave.
    leaving: tuple[int, ...] = ()
    scope: Scope = Scope.OWN
    zone: str = ""
    # Whether the sender reads the store itself, and reaches it.
    is_store_reachable: bool = False
    # Live instances that the counts cover, and those that should be live. Zero
    # if the sender has no sums of its own.
    live_instances: int = 0
    expected_instances: int = 0
    # Requests in flight by the hash of the target's name; used in place of
    # `in_flight` by digests that cover several instances.
    target_counts: Mapping[int, int] = dataclasses.field(default_factory=dict)
    # Outstanding prompt tokens, by target in OWN digests, otherwise by the hash
    # of the target's name. Without an entry they are unknown.
    prompt_tokens: Mapping[str, int] = dataclasses.field(default_factory=dict)
    target_prompt_tokens: Mapping[int, int] = dataclasses.field(
        default_factory=dict
    )
    # Whether targets that are not listed keep their last count.
    is_partial: bool = False
    # By the hash of the account's name: tokens left, in FLEET digests.
    account_levels: Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    # By the hash of the account's name: total spent, in GROUP digests.
    account_spent: Mapping[int, float] = dataclasses.field(default_factory=dict)
    members: tuple[Member, ...] = ()
    # Incarnation and sequence of the receiver's digest that the counts of a
    # FLEET digest include; zero if they include none.
    echo: tuple[int, int] = (0, 0)
    # Whether all instances that the digest covers place streams at the software
    # version of the target that comes first for them.
    places_by_target: bool = True


@dataclasses.dataclass(slots=True)
class _Peer:
    host: str
    # When it was added, or last heard of by another instance.
    added_at_ms: int
    zone: str = ""
    incarnation: int = 0
    sequence: int = -1
    last_digest_at_ms: int | None = None
    is_draining: bool = False
    is_live: bool = False


class PeerRegistry:
    """All known peers, by host."""

    def __init__(
        self, own_host: str, clock: Clock, log: EventLog, rng: random.Random
    ):
        self._own_host = own_host
        self._rng = rng
        self._clock = clock
        self._log = log
        self._peers: dict[str, _Peer] = {}
        # When peers expired, by host, the last one at the end.
        self._former_ms: dict[str, int] = {}
        self.contact = FleetContact(clock)
        # Changes whenever a host or its zone becomes known or is removed.
        self.version = 0

    def __len__(self) -> int:
        return len(self._peers)

    def add_candidate(self, host: str) -> None:
        """Adds a host to send digests to; only its own digest makes it live."""
        if host == self._own_host or host in self._peers:
            return
        if len(self._peers) < MAX_PEERS:
            self._peers[host] = _Peer(host, self._clock.now_ms())
            self._former_ms.pop(host, None)
            self.contact.note_new_host()
            self.version += 1

    def add_member(self, member: Member) -> None:
        """Records what another instance knows about an instance."""
        if member.age_ms > PEER_EXPIRY_MS:
            return
        self.add_candidate(member.host)
        peer = self._peers.get(member.host)
        if peer is None:
            return
        if not member.age_ms:
            self.contact.note_heard()
        heard_at_ms = self._clock.now_ms() - member.age_ms
        if heard_at_ms > max(peer.added_at_ms, peer.last_digest_at_ms or 0):
            peer.is_draining = member.is_draining
            peer.added_at_ms = heard_at_ms
        self._set_zone(peer, member.zone)

    def list_members(self) -> list[Member]:
        """Returns the known instances of known zone, without this one."""
        now_ms = self._clock.now_ms()
        return [
            Member(
                host,
                peer.zone,
                now_ms - max(peer.added_at_ms, peer.last_digest_at_ms or 0),
                peer.is_draining,
            )
            for host, peer in self._peers.items()
            if peer.zone
        ]

    def is_known(self, host: str) -> bool:
        """Tells whether a host is that of an instance."""
        return host in self._peers

    def find_zone(self, host: str) -> str:
        """Returns the zone of a host, or an empty string."""
        peer = self._peers.get(host)
        return peer.zone if peer else ""

    def is_live(self, host: str) -> bool:
        """Tells whether a digest of the host arrived lately."""
        peer = self._peers.get(host)
        return peer is not None and self._is_live(peer, self._clock.now_ms())

    def is_draining(self, host: str) -> bool:
        """Tells whether a host said that it drains."""
        peer = self._peers.get(host)
        return peer is not None and peer.is_draining

    def find_last_sequence(self, host: str) -> tuple[int, int]:
        """Returns incarnation and sequence of a host's newest digest."""
        peer = self._peers.get(host)
        return (peer.incarnation, peer.sequence) if peer else (0, 0)

    def _set_zone(self, peer: _Peer, zone: str) -> None:
        if zone and peer.zone != zone:
            peer.zone = zone
            self.version += 1

    def accept(self, digest: Digest) -> bool:
        """Records a digest; returns False if it is ignored.

        A digest is ignored if it is from this instance, if there are too many
        peers, or if a newer one from its sender has already arrived.
        """
        if digest.host == self._own_host:
            return False
        self.add_candidate(digest.host)
        peer = self._peers.get(digest.host)
        if peer is None:
            return False
        is_same = peer.incarnation == digest.incarnation
        if is_same and digest.sequence <= peer.sequence:
            return False
        peer.incarnation = digest.incarnation
        peer.sequence = digest.sequence
        peer.last_digest_at_ms = self._clock.now_ms()
        self.contact.note_heard()
        peer.is_draining = digest.is_draining
        self._set_zone(peer, digest.zone)
        for host in digest.known_hosts:
            self.add_candidate(host)
        for member in digest.members:
            self.add_member(member)
        return True

    def check(self, on_peer_lost: Callable[[str], None]) -> None:
        """Updates the liveness of peers, and removes expired ones."""
        now_ms = self._clock.now_ms()
        self.contact.note_turn()
        for host, peer in list(self._peers.items()):
            live = self._is_live(peer, now_ms)
            if live is not peer.is_live:
                peer.is_live = live
                event = Event.PEER_LIVE if live else Event.PEER_LOST
                self._log.emit(event, peer=host, incarnation=peer.incarnation)
                if not live:
                    on_peer_lost(host)
            last_ms = max(peer.last_digest_at_ms or 0, peer.added_at_ms)
            if now_ms - last_ms > PEER_EXPIRY_MS:
                del self._peers[host]
                self._note_former(host)
                self.version += 1

    def list_hosts(self) -> list[str]:
        """Returns all known hosts."""
        return list(self._peers)

    def list_possible_hosts(self) -> list[str]:
        """Returns all hosts whose instances may still run."""
        oldest_ms = self._clock.now_ms() - FORMER_MS
        former = (
            h for h, at_ms in self._former_ms.items() if at_ms > oldest_ms
        )
        return [*self._peers, *former]

    def _note_former(self, host: str) -> None:
        self._former_ms[host] = self._clock.now_ms()
        if len(self._former_ms) > MAX_PEERS:
            del self._former_ms[next(iter(self._former_ms))]

    def choose_any(self) -> str:
        """Returns a random known host, or an empty string."""
        return self._rng.choice(list(self._peers)) if self._peers else ""

    def dump(self) -> list[dict[str, object]]:
        """Returns the state for the operator API."""
        now_ms = self._clock.now_ms()
        return [
            {
                "host": host,
                "zone": peer.zone,
                "live": self._is_live(peer, now_ms),
                "draining": peer.is_draining,
                "age_ms": (
                    None
                    if peer.last_digest_at_ms is None
                    else now_ms - peer.last_digest_at_ms
                ),
            }
            for host, peer in self._peers.items()
        ]

    def list_live_hosts(self) -> list[str]:
        """Returns the hosts of live peers."""
        now_ms = self._clock.now_ms()
        return [h for h, p in self._peers.items() if self._is_live(p, now_ms)]

    def list_recent_hosts(self) -> list[str]:
        """Returns the hosts of peers that may serve callers now.

        Includes those that only another instance has heard of lately.
        """
        oldest_ms = self._clock.now_ms() - RECENT_MS
        return [
            host
            for host, peer in self._peers.items()
            if not peer.is_draining
            and max(peer.added_at_ms, peer.last_digest_at_ms or 0) >= oldest_ms
        ]

    def count_instances(self) -> int:
        """Returns how many instances may serve callers, including this one.

        Seeds and hosts named by peers count before their first digest:
        otherwise a process that has just started would take the budget parts
        of all other instances.
        """
        return 1 + len(self._peers)

    def find_live_share(self) -> float:
        """Returns the live instances as a fraction of all expected ones.

        Instances that have never sent a digest count as not live: a process
        that starts during a network partition knows only its seeds.
        """
        now_ms = self._clock.now_ms()
        expected = [p for p in self._peers.values() if not p.is_draining]
        live = sum(self._is_live(peer, now_ms) for peer in expected)
        return (1 + live) / (1 + len(expected))

    def count_expected(self) -> int:
        """Returns how many instances should be live, including this one."""
        return 1 + sum(not peer.is_draining for peer in self._peers.values())

    def _is_live(self, peer: _Peer, now_ms: int) -> bool:
        last_digest_at_ms = peer.last_digest_at_ms
        return (
            last_digest_at_ms is not None
            and now_ms - last_digest_at_ms < PEER_TIMEOUT_MS
        )
