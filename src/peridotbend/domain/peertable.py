"""Table of peers: incarnations, liveness and the choice of neighbours."""

import dataclasses
import random
from collections import deque
from collections.abc import Iterable

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog, InstanceInfo

SILENCE_MS = 1_500
# In a large fleet, peers that are no neighbours are heard of through samples
# only. With 4 members in each digest and 50 digests/s that is once in about
# 4 s at 720 instances.
INDIRECT_SILENCE_MS = 15_000
MAX_PEERS = 1_024
FULL_MESH_PEERS = 16
ZONE_NEIGHBOURS = 8
OTHER_NEIGHBOURS = 2
REDRAW_MS = 10_000
# Incarnations of one name that are known to have been replaced.
MAX_REPLACED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An entry instance; incarnation 0 means none was heard of yet."""

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
    heard_at_ms: int | None = None
    direct_at_ms: int | None = None
    live: bool = False
    replaced: deque[int] = dataclasses.field(
        default_factory=lambda: deque(maxlen=MAX_REPLACED)
    )


class PeerTable:
    """The other entry instances that this process has heard of."""

    def __init__(
        self, zone: str, clock: Clock, log: EventLog, rng: random.Random
    ):
        self._zone = zone
        self._clock = clock
        self._log = log
        self._rng = rng
        self._entries: dict[str, _Entry] = {}
        self._drawn: frozenset[str] = frozenset()
        self._drawn_at_ms: int | None = None
        self._linked: frozenset[str] = frozenset()
        self._live: tuple[Peer, ...] = ()
        self._live_at_ms: int | None = None
        self._changes = 0

    def add_candidate(self, info: InstanceInfo) -> None:
        """Adds a peer that the platform lists; that alone is no life sign."""
        entry = self._entries.get(info.name)
        if entry is None:
            peer = Peer(info.name, 0, info.zone, info.host, info.peer_port)
            self._insert(peer)
        elif not self._check_live(entry):
            # A live peer's own word on its address counts more.
            entry.peer = dataclasses.replace(
                entry.peer, host=info.host, port=info.peer_port
            )

    def learn(self, peer: Peer, heard_at_ms: int, direct: bool) -> bool:
        """Notes a life sign; False if it is old or of a replaced process."""
        entry = self._entries.get(peer.name) or self._insert(peer)
        if entry is None or peer.incarnation in entry.replaced:
            return False
        heard = entry.heard_at_ms
        if entry.peer.incarnation == peer.incarnation:
            if heard is not None and peer.sequence <= entry.peer.sequence:
                return False
        elif heard is not None and heard_at_ms < heard:
            # An incarnation this process never met, older than the present.
            return False
        elif entry.peer.incarnation:
            self._replace(entry)
        entry.peer = peer
        entry.heard_at_ms = max(heard_at_ms, entry.heard_at_ms or heard_at_ms)
        if direct:
            entry.direct_at_ms = heard_at_ms
        self._live_at_ms = None
        return True

    def find(self, name: str) -> Peer | None:
        """Returns a peer by name, live or not."""
        entry = self._entries.get(name)
        return entry.peer if entry else None

    def is_live(self, name: str) -> bool:
        """Tells whether a peer was heard of recently."""
        entry = self._entries.get(name)
        return entry is not None and self._check_live(entry)

    def find_age(self, name: str) -> int | None:
        """Returns milliseconds since a peer was last heard of."""
        entry = self._entries.get(name)
        if entry is None or entry.heard_at_ms is None:
            return None
        return max(0, self._clock.now_ms() - entry.heard_at_ms)

    def list_live(self) -> tuple[Peer, ...]:
        """Returns the live peers."""
        now = self._clock.now_ms()
        if self._live_at_ms != now:
            live = tuple(
                e.peer for e in self._entries.values() if self._check_live(e)
            )
            if _summarize(live) != _summarize(self._live):
                self._changes += 1
            self._live, self._live_at_ms = live, now
        return self._live

    def count_changes(self) -> int:
        """Counts how often the live peers changed."""
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
        """Returns the peers to keep a stream to."""
        if self.is_full_mesh():
            names = frozenset(self._entries)
        else:
            self._redraw_if_due()
            names = self._drawn | frozenset(dividers)
        self._linked = names & self._entries.keys()
        return tuple(self._entries[n].peer for n in sorted(self._linked))

    def dump(self) -> list[dict[str, object]]:
        """Returns what operators may want to see."""
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

    def _replace(self, entry: _Entry) -> None:
        entry.replaced.append(entry.peer.incarnation)
        if entry.live:
            self._emit(Event.PEER_LOST, entry)
        entry.heard_at_ms = entry.direct_at_ms = None
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
        oldest = min(dead, key=lambda e: e.heard_at_ms or 0)
        del self._entries[oldest.peer.name]
        return True

    def _check_live(self, entry: _Entry) -> bool:
        heard = entry.heard_at_ms
        silence = self._clock.now_ms() - heard if heard is not None else None
        live = silence is not None and silence < self._silence_ms(entry)
        if live is not entry.live:
            entry.live = live
            self._emit(Event.PEER_LIVE if live else Event.PEER_LOST, entry)
        return live

    def _silence_ms(self, entry: _Entry) -> int:
        # A neighbour drawn just now has not had the time to send anything.
        direct = entry.direct_at_ms is not None
        linked = entry.peer.name in self._linked and direct
        return (
            SILENCE_MS if linked or self.is_full_mesh() else INDIRECT_SILENCE_MS
        )

    def _emit(self, event: Event, entry: _Entry) -> None:
        self._log.emit(
            event, peer=entry.peer.name, incarnation=entry.peer.incarnation
        )

    def _redraw_if_due(self) -> None:
        now = self._clock.now_ms()
        drawn = self._drawn_at_ms
        if drawn is not None and now - drawn < REDRAW_MS:
            return
        self._drawn_at_ms = now
        drawn_names = self._draw(self.list_live())
        if len(self._live) <= FULL_MESH_PEERS:
            # After a start or a partition most peers do not count as live.
            drawn_names |= self._draw(self.list_known())
        self._drawn = drawn_names

    def _draw(self, peers: tuple[Peer, ...]) -> frozenset[str]:
        near = [p.name for p in peers if p.zone == self._zone]
        far = [p.name for p in peers if p.zone != self._zone]
        chosen = self._rng.sample(near, min(ZONE_NEIGHBOURS, len(near)))
        chosen += self._rng.sample(far, min(OTHER_NEIGHBOURS, len(far)))
        return frozenset(chosen)


def _summarize(peers: tuple[Peer, ...]) -> list[tuple[str, int, str, bool]]:
    return [(p.name, p.incarnation, p.zone, p.draining) for p in peers]
