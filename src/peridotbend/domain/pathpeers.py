"""Chooses the instances that connect to targets for this one."""

import random
from collections.abc import Collection
from typing import Protocol

from peridotbend.domain.clock import Clock

# How long a peer that could not connect is passed over.
AVOID_PEER_MS = 1_000
# Peers among which the connections are spread, once they have been found.
PROVEN_PEERS = 3
# Fraction of the connections for which another peer is tried until then.
EXPLORE_SHARE = 0.1
# The list of peers is derived anew at this interval: in a large fleet it is too
# long to walk for each connection.
REFRESH_MS = 500


class PathPeers(Protocol):
    """The other instances, by a name that identifies each of them."""

    def list_serving(self) -> list[str]:
        """Returns the instances that may serve callers now."""
        ...

    def is_near(self, peer: str) -> bool:
        """Tells whether an instance is in the availability zone of this one."""
        ...

    def locate(self, peer: str) -> tuple[str, int]:
        """Returns the address at which an instance serves its peers."""
        ...

    def is_instance(self, host: str) -> bool:
        """Tells whether a host is that of an instance."""
        ...


class PeerChoice:
    """Chooses the instances that connect to targets for this one."""

    def __init__(self, clock: Clock, rng: random.Random, peers: PathPeers):
        """Creates the choice.

        Args:
            clock: source of time.
            rng: spreads the connections.
            peers: the instances; those of the same zone cost less to reach.
        """
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._near: list[str] = []
        self._far: list[str] = []
        self._refreshed_at_ms: int | None = None
        # Peers that brought answers lately, the last one at the end.
        self._proven: dict[str, None] = {}
        # By host and service; an empty service stands for all of them.
        self._avoid_until_ms: dict[tuple[str, str], int] = {}
        # Asked only if there is no other, by the same keys.
        self._doubted_until_ms: dict[tuple[str, str], int] = {}

    def choose(self, service: str, exclude: Collection[str]) -> str:
        """Returns a peer that may reach the targets of a service, or ""."""
        self._refresh()
        proven = list(self._proven)
        pools = [proven, self._near, self._far]
        if len(exclude) % 2:
            # A cut often strikes all of a zone.
            pools = [proven, self._far, self._near]
        is_exploring = self._rng.random() < EXPLORE_SHARE
        if is_exploring and len(proven) < PROVEN_PEERS:
            pools = [self._near, self._far, proven]
        doubted: list[str] = []
        for pool in pools:
            hosts = [
                host
                for host in pool
                if host not in exclude and not self._is_avoided(host, service)
            ]
            trusted = [h for h in hosts if not self._is_doubted(h, service)]
            if trusted:
                return self._rng.choice(trusted)
            doubted.extend(hosts)
        return self._rng.choice(doubted) if doubted else ""

    def note_answered(self, host: str) -> None:
        """Records that a target answered over a connection of a peer."""
        self._proven.pop(host, None)
        self._proven[host] = None
        if len(self._proven) > PROVEN_PEERS:
            del self._proven[next(iter(self._proven))]

    def note_unreachable(self, host: str) -> None:
        """Records that a peer did not reach a target.

        It may reach others, so that it is only asked after those that did.
        """
        self._proven.pop(host, None)

    def note_unanswered(self, host: str, service: str) -> None:
        """Records that a connection of a peer brought no answer of a target.

        The links of that peer may be cut as well, without its knowledge.
        """
        self._proven.pop(host, None)
        until_ms = self._clock.now_ms() + AVOID_PEER_MS
        self._doubted_until_ms[host, service] = until_ms

    def note_failed(self, host: str, service: str = "") -> None:
        """Records that a peer did not answer, or takes no connections.

        Args:
            host: of the peer.
            service: whose targets it does not reach; empty for all.
        """
        self._proven.pop(host, None)
        until_ms = self._clock.now_ms() + AVOID_PEER_MS
        self._avoid_until_ms[host, service] = until_ms

    def _is_avoided(self, host: str, service: str) -> bool:
        now_ms = self._clock.now_ms()
        return any(
            self._avoid_until_ms.get((host, name), now_ms) > now_ms
            for name in (service, "")
        )

    def _is_doubted(self, host: str, service: str) -> bool:
        now_ms = self._clock.now_ms()
        return self._doubted_until_ms.get((host, service), now_ms) > now_ms

    def _refresh(self) -> None:
        now_ms = self._clock.now_ms()
        last_ms = self._refreshed_at_ms
        if last_ms is not None and now_ms - last_ms < REFRESH_MS:
            return
        self._refreshed_at_ms = now_ms
        hosts = self._peers.list_serving()
        self._near = [h for h in hosts if self._peers.is_near(h)]
        self._far = [h for h in hosts if not self._peers.is_near(h)]
        known = set(hosts)
        self._proven = {h: None for h in self._proven if h in known}
        self._avoid_until_ms = {
            key: until_ms
            for key, until_ms in self._avoid_until_ms.items()
            if until_ms > now_ms
        }
        self._doubted_until_ms = {
            key: until_ms
            for key, until_ms in self._doubted_until_ms.items()
            if until_ms > now_ms
        }
