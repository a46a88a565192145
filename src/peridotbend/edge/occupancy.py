"""Requests in flight at each target, summed over all instances."""

from collections.abc import Mapping

from peridotbend.domain.clock import Clock
from peridotbend.edge.peers import PEER_TIMEOUT_MS


class Occupancy:
    """Counts own requests in flight and those reported by live peers."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._own: dict[str, int] = {}
        self._peers: dict[str, tuple[int, Mapping[str, int]]] = {}

    @property
    def own(self) -> Mapping[str, int]:
        """Requests of this instance in flight, by target."""
        return self._own

    def add(self, target: str) -> None:
        """Counts the start of a request at a target."""
        self._own[target] = self._own.get(target, 0) + 1

    def remove(self, target: str) -> None:
        """Counts the end of a request at a target."""
        left = self._own[target] - 1
        if left:
            self._own[target] = left
        else:
            del self._own[target]

    def record_peer(self, peer: str, use: Mapping[str, int]) -> None:
        """Replaces the requests in flight reported by a peer."""
        self._peers[peer] = (self._clock.now_ms(), use)

    def forget_peer(self, peer: str) -> None:
        """Drops the requests in flight reported by a peer."""
        self._peers.pop(peer, None)

    def count(self, target: str) -> int:
        """Returns the requests in flight at a target."""
        oldest_ms = self._clock.now_ms() - PEER_TIMEOUT_MS
        return self._own.get(target, 0) + sum(
            use.get(target, 0)
            for last_digest_at_ms, use in self._peers.values()
            if last_digest_at_ms >= oldest_ms
        )
