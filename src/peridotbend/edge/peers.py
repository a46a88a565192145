"""The other instances: membership, liveness and digests."""

import dataclasses
import random
from collections.abc import Callable, Mapping

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.allowances import AllowanceUse

# Digests are sent at least every 300 ms. A peer without a digest for this long
# has stopped or is unreachable; its requests in flight are no longer counted.
PEER_TIMEOUT_MS = 1_500
# A peer without a digest may still serve callers on its side of a network
# partition. After this time it is assumed to have stopped.
PEER_EXPIRY_MS = 60_000
MAX_PEERS = 1_024
# Maximum number of peers per digest. In a larger fleet they are chosen at
# random: the cost per instance stays constant, and state spreads more slowly.
MAX_FANOUT = 16


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
    # Revision up to which each prefix is known.
    revisions: Mapping[str, int]
    # Requests in flight by target.
    in_flight: Mapping[str, int]
    # Use of the allowances by account.
    allowances: Mapping[str, AllowanceUse]
    # Number of targets that died with a request in flight, by the fingerprint
    # of the request.
    crashes: Mapping[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Peer:
    host: str
    added_at_ms: int
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

    def add_candidate(self, host: str) -> None:
        """Adds a host to send digests to; only its own digest makes it live."""
        if host != self._own_host and len(self._peers) < MAX_PEERS:
            self._peers.setdefault(host, _Peer(host, self._clock.now_ms()))

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
        peer.is_draining = digest.is_draining
        for host in digest.known_hosts:
            self.add_candidate(host)
        return True

    def check(self, on_peer_lost: Callable[[str], None]) -> None:
        """Updates the liveness of peers, and removes expired ones."""
        now_ms = self._clock.now_ms()
        for host, peer in list(self._peers.items()):
            live = self._is_live(peer, now_ms)
            if live is not peer.is_live:
                peer.is_live = live
                event = Event.PEER_LIVE if live else Event.PEER_LOST
                self._log.emit(event, peer=host, incarnation=peer.incarnation)
                if not live:
                    on_peer_lost(host)
            last_ms = peer.last_digest_at_ms or peer.added_at_ms
            if now_ms - last_ms > PEER_EXPIRY_MS:
                del self._peers[host]

    def choose_hosts(self) -> list[str]:
        """Returns the hosts to send the next digest to."""
        hosts = list(self._peers)
        if len(hosts) <= MAX_FANOUT:
            return hosts
        return self._rng.sample(hosts, MAX_FANOUT)

    def dump(self) -> list[dict[str, object]]:
        """Returns the state for the operator API."""
        now_ms = self._clock.now_ms()
        return [
            {
                "host": host,
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

    def _is_live(self, peer: _Peer, now_ms: int) -> bool:
        last_digest_at_ms = peer.last_digest_at_ms
        return (
            last_digest_at_ms is not None
            and now_ms - last_digest_at_ms < PEER_TIMEOUT_MS
        )
