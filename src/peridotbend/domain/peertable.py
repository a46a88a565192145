"""Tracks the incarnation and liveness of peers and selects neighbours.

A neighbour is a peer to which this process keeps a stream of digests.
"""

import dataclasses
import random
from collections import deque
from collections.abc import Iterable

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog, InstanceInfo

PEER_TIMEOUT_MS = 1_500
# In a large fleet, a process hears of peers that are not its neighbours only
# through the sample of members in each digest. With 4 members in each digest
# and 50 digests/s, that is about once every 4 s at 720 instances.
INDIRECT_PEER_TIMEOUT_MS = 15_000
MAX_PEERS = 1_024
FULL_MESH_PEERS = 16
ZONE_NEIGHBOURS = 8
OTHER_NEIGHBOURS = 2
RESAMPLE_INTERVAL_MS = 10_000
# Limit on the replaced incarnations that are kept for each name.
MAX_REPLACED_INCARNATIONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An entry instance; its incarnation is 0 until it is known."""

    name: str
    incarnation: int
    zone: str
    host: str
    port: int
    draining: bool = False
    sequence: int = 0


@dataclasses.dataclass(slots=True)
class _Entry:
    peer: Peer
    last_seen_at_ms: int | None = None
    last_direct_at_ms: int | None = None
    live: bool = False
    replaced_incarnations: deque[int] = dataclasses.field(
        default_factory=lambda: deque(maxlen=MAX_REPLACED_INCARNATIONS)
    )


class PeerTable:
    """The other entry instances that this process knows."""

    def __init__(
        self, zone: str, clock: Clock, log: EventLog, rng: random.Random
    ):
        self._zone = zone
        self._clock = clock
        self._log = log
        self._rng = rng
        self._entries: dict[str, _Entry] = {}
        self._sampled: frozenset[str] = frozenset()
        self._sampled_at_ms: int | None = None
        self._neighbours: frozenset[str] = frozenset()
        self._live: tuple[Peer, ...] = ()
        self._live_computed_at_ms: int | None = None
        self._changes = 0

    def add_candidate(self, info: InstanceInfo) -> None:
        """Adds a peer from the platform's list, without marking it as live."""
        entry = self._entries.get(info.name)
        if entry is None:
            peer = Peer(info.name, 0, info.zone, info.host, info.peer_port)
            self._insert(peer)
        elif not self._check_live(entry):
            # The address that a live peer itself reports takes precedence.
            entry.peer = dataclasses.replace(
                entry.peer, host=info.host, port=info.peer_port
            )

    def observe(self, peer: Peer, seen_at_ms: int, direct: bool) -> bool:
        """Records that a peer was alive at a time.

        Returns False if the observation is outdated or concerns a replaced
        incarnation. Incarnations increase with the start of the process.
        """
        entry = self._entries.get(peer.name) or self._insert(peer)
        if entry is None or peer.incarnation in entry.replaced_incarnations:
            return False
        last_seen_at_ms = entry.last_seen_at_ms
        if entry.peer.incarnation == peer.incarnation:
            if (
                last_seen_at_ms is not None
                and peer.sequence <= entry.peer.sequence
            ):
                return False
        elif last_seen_at_ms is not None and seen_at_ms < last_seen_at_ms:
            # An unknown incarnation, observed before the current one.
            return False
        elif entry.peer.incarnation:
            is_later = peer.incarnation > entry.peer.incarnation
            if not is_later and self._check_live(entry):
                # A replaced process that was resumed.
                return False
            self._reset_for_new_incarnation(entry, is_later)
        entry.peer = peer
        entry.last_seen_at_ms = max(
            seen_at_ms, entry.last_seen_at_ms or seen_at_ms
        )
        if direct:
            entry.last_direct_at_ms = seen_at_ms
        self._live_computed_at_ms = None
        return True

    def find(self, name: str) -> Peer | None:
        """Returns a peer by name, whether it is live or not."""
        entry = self._entries.get(name)
        return entry.peer if entry else None

    def is_live(self, name: str) -> bool:
        """Tells whether a peer was observed recently."""
        entry = self._entries.get(name)
        return entry is not None and self._check_live(entry)

    def find_age(self, name: str) -> int | None:
        """Returns the milliseconds since a peer was last observed."""
        entry = self._entries.get(name)
        if entry is None or entry.last_seen_at_ms is None:
            return None
        return max(0, self._clock.now_ms() - entry.last_seen_at_ms)

    def list_live(self) -> tuple[Peer, ...]:
        """Returns the live peers."""
        now = self._clock.now_ms()
        if self._live_computed_at_ms != now:
            live = tuple(
                e.peer for e in self._entries.values() if self._check_live(e)
            )
            if _get_identities(live) != _get_identities(self._live):
                self._changes += 1
            self._live, self._live_computed_at_ms = live, now
        return self._live

    def count_changes(self) -> int:
        """Returns how often the set of live peers has changed."""
        self.list_live()
        return self._changes

    def list_known(self) -> tuple[Peer, ...]:
        """Returns all known peers."""
        return tuple(e.peer for e in self._entries.values())

    def is_full_mesh(self) -> bool:
        """Tells whether every known peer is a neighbour."""
        return len(self._entries) <= FULL_MESH_PEERS

    def sample_live(self, limit: int) -> list[Peer]:
        """Returns at most `limit` random live peers."""
        live = self.list_live()
        return self._rng.sample(live, min(limit, len(live)))

    def choose_neighbours(self, dividers: Iterable[str]) -> tuple[Peer, ...]:
        """Returns the peers to which this process should keep a stream."""
        if self.is_full_mesh():
            names = frozenset(self._entries)
        else:
            self._resample_if_due()
            names = self._sampled | frozenset(dividers)
        self._neighbours = names & self._entries.keys()
        return tuple(self._entries[n].peer for n in sorted(self._neighbours))

    def dump(self) -> list[dict[str, object]]:
        """Returns the state of each peer for operators."""
        return [
            {
                "name": entry.peer.name,
                "zone": entry.peer.zone,
                "live": self._check_live(entry),
                "draining": entry.peer.draining,
                "age_ms": self.find_age(name),
            }
            for name, entry in self._entries.items()
        ]

    def _reset_for_new_incarnation(self, entry: _Entry, is_later: bool) -> None:
        # A later process that was only silent may be heard again.
        if is_later:
            entry.replaced_incarnations.append(entry.peer.incarnation)
        if entry.live:
            self._emit(Event.PEER_LOST, entry)
        entry.last_seen_at_ms = entry.last_direct_at_ms = None
        entry.live = False

    def _insert(self, peer: Peer) -> _Entry | None:
        if len(self._entries) >= MAX_PEERS and not self._evict():
            return None
        entry = self._entries[peer.name] = _Entry(peer)
        return entry

    def _evict(self) -> bool:
        dead = [e for e in self._entries.values() if not self._check_live(e)]
        if not dead:
            return False
        oldest = min(dead, key=lambda e: e.last_seen_at_ms or 0)
        del self._entries[oldest.peer.name]
        return True

    def _check_live(self, entry: _Entry) -> bool:
        last_seen_at_ms = entry.last_seen_at_ms
        silence = (
            self._clock.now_ms() - last_seen_at_ms
            if last_seen_at_ms is not None
            else None
        )
        live = silence is not None and silence < self._liveness_timeout_ms(
            entry
        )
        if live is not entry.live:
            entry.live = live
            self._emit(Event.PEER_LIVE if live else Event.PEER_LOST, entry)
        return live

    def _liveness_timeout_ms(self, entry: _Entry) -> int:
        # A neighbour chosen just now has not had time to send a digest yet.
        direct = entry.last_direct_at_ms is not None
        is_neighbour = entry.peer.name in self._neighbours and direct
        return (
            PEER_TIMEOUT_MS
            if is_neighbour or self.is_full_mesh()
            else INDIRECT_PEER_TIMEOUT_MS
        )

    def _emit(self, event: Event, entry: _Entry) -> None:
        self._log.emit(
            event, peer=entry.peer.name, incarnation=entry.peer.incarnation
        )

    def _resample_if_due(self) -> None:
        now = self._clock.now_ms()
        sampled_at_ms = self._sampled_at_ms
        if (
            sampled_at_ms is not None
            and now - sampled_at_ms < RESAMPLE_INTERVAL_MS
        ):
            return
        self._sampled_at_ms = now
        sampled = self._sample_neighbours(self.list_live())
        if len(self._live) <= FULL_MESH_PEERS:
            # After a start or a network partition, few peers are live, so
            # known peers are sampled too.
            sampled |= self._sample_neighbours(self.list_known())
        self._sampled = sampled

    def _sample_neighbours(self, peers: tuple[Peer, ...]) -> frozenset[str]:
        same_zone = [p.name for p in peers if p.zone == self._zone]
        other_zones = [p.name for p in peers if p.zone != self._zone]
        chosen = self._rng.sample(
            same_zone, min(ZONE_NEIGHBOURS, len(same_zone))
        )
        chosen += self._rng.sample(
            other_zones, min(OTHER_NEIGHBOURS, len(other_zones))
        )
        return frozenset(chosen)


def _get_identities(
    peers: tuple[Peer, ...],
) -> list[tuple[str, int, str, bool]]:
    return [(p.name, p.incarnation, p.zone, p.draining) for p in peers]
