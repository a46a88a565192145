"""Whether targets are reached directly, or only through other instances.

An instance may lose its own links while its targets are sound, and its callers
and peers still reach it. A connect that fails does not tell the two apart; a
peer that connects where this instance could not does.
"""

import dataclasses
import random
from collections.abc import Collection, Sequence
from typing import Protocol

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog

# Targets of one service to which connects fail one after the other before a
# peer is asked. A single one is more likely to be down itself.
MIN_FAILED_TARGETS = 2
# Older failures tell nothing of the links.
FAILURE_TTL_MS = 2_000
# Direct connects that show that the links are back; one may pass a link that
# loses most packets.
MIN_CONNECTED = 2
# How long a peer that could not connect is passed over.
AVOID_PEER_MS = 1_000
# Peers among which the connections are spread, once they have been found.
PROVEN_PEERS = 3
# Fraction of the connections for which another peer is tried until then.
EXPLORE_SHARE = 0.1
# The list of peers is derived anew at this interval: in a large fleet it is too
# long to walk for each connection.
REFRESH_MS = 500


class Endpoint(Protocol):
    """A target, as far as connections to it are concerned."""

    @property
    def name(self) -> str:
        """The name, which differs for each target."""
        ...

    @property
    def service(self) -> str:
        """The service that the target is part of."""
        ...

    @property
    def host(self) -> str:
        """Where the target listens."""
        ...

    @property
    def port(self) -> int:
        """Where the target listens."""
        ...


class TargetLookup(Protocol):
    """The targets that an instance knows."""

    def find(self, name: str) -> Endpoint | None:
        """Returns a target by name."""
        ...

    def list_for(self, service: str) -> Sequence[Endpoint]:
        """Returns the targets of a service."""
        ...


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


@dataclasses.dataclass(slots=True)
class _ServicePath:
    # Time of the last failed connect by target, since the last that succeeded.
    failed_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    is_lost: bool = False
    # Direct connects in a row since the links were lost.
    connected: int = 0


class TargetPaths:
    """The state of this instance's own links, by service."""

    def __init__(self, clock: Clock, log: EventLog, targets: TargetLookup):
        self._clock = clock
        self._log = log
        self._targets = targets
        self._paths: dict[str, _ServicePath] = {}

    def is_suspect(self, service: str) -> bool:
        """Tells whether connects fail that may well succeed elsewhere."""
        path = self._paths.get(service)
        if path is None or not path.failed_at_ms:
            return False
        oldest_ms = self._clock.now_ms() - FAILURE_TTL_MS
        recent = sum(at >= oldest_ms for at in path.failed_at_ms.values())
        return recent >= self._limit_to_targets(service, MIN_FAILED_TARGETS)

    def is_lost(self, service: str) -> bool:
        """Tells whether the targets of a service are reached by peers only."""
        path = self._paths.get(service)
        return path is not None and path.is_lost

    def list_lost(self) -> list[str]:
        """Returns the services whose targets are reached by peers only."""
        return [name for name, path in self._paths.items() if path.is_lost]

    def note_failed(self, service: str, target: str) -> None:
        """Records that a direct connect failed."""
        path = self._paths.setdefault(service, _ServicePath())
        path.failed_at_ms[target] = self._clock.now_ms()
        path.connected = 0

    def note_connected(self, service: str, target: str) -> None:
        """Records that a direct connect succeeded."""
        path = self._paths.get(service)
        if path is None:
            return
        path.failed_at_ms.clear()
        if not path.is_lost:
            return
        path.connected += 1
        if path.connected >= self._limit_to_targets(service, MIN_CONNECTED):
            path.is_lost = False
            self._log.emit(
                Event.TARGET_LINKS_BACK, service=service, target=target
            )

    def note_relayed(self, service: str, target: str, peer: str) -> None:
        """Records that a peer connected to a target."""
        path = self._paths.setdefault(service, _ServicePath())
        if path.is_lost or not self.is_suspect(service):
            return
        path.is_lost = True
        path.connected = 0
        self._log.emit(
            Event.TARGET_LINKS_LOST,
            service=service,
            target=target,
            peer=peer,
            failed=sorted(path.failed_at_ms),
        )

    def _limit_to_targets(self, service: str, count: int) -> int:
        return max(1, min(count, len(self._targets.list_for(service))))


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
        # Peers that connected lately, the last one at the end.
        self._proven: dict[str, None] = {}
        # By host and service; an empty service stands for all of them.
        self._avoid_until_ms: dict[tuple[str, str], int] = {}

    def choose(self, service: str, exclude: Collection[str]) -> str:
        """Returns a peer that may reach the targets of a service, or ""."""
        self._refresh()
        proven = list(self._proven)
        pools = [proven, self._near, self._far]
        is_exploring = self._rng.random() < EXPLORE_SHARE
        if is_exploring and len(proven) < PROVEN_PEERS:
            pools = [self._near, self._far, proven]
        for pool in pools:
            hosts = [
                host
                for host in pool
                if host not in exclude and not self._is_avoided(host, service)
            ]
            if hosts:
                return self._rng.choice(hosts)
        return ""

    def note_connected(self, host: str) -> None:
        """Records that a peer connected to a target."""
        self._proven.pop(host, None)
        self._proven[host] = None
        if len(self._proven) > PROVEN_PEERS:
            del self._proven[next(iter(self._proven))]

    def note_unreachable(self, host: str) -> None:
        """Records that a peer did not reach a target.

        It may reach others, so that it is only asked after those that did.
        """
        self._proven.pop(host, None)

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
