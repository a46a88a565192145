"""Whether targets are reached directly, or only through other instances.

An instance may lose its own links while its targets are sound, and its callers
and peers still reach it. A connect that fails does not tell the two apart; a
peer that connects where this instance could not does. A connect that succeeds
shows nothing either, since what cuts a link may accept it: only an answer of
the target does.
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
# Direct answers that show that the links are back; one may pass a link that
# loses most packets.
MIN_ANSWERED = 2
# New connections in a row without an answer before the links are doubted.
# Targets in trouble of their own leave some without one.
MIN_UNANSWERED = 3
# Longer than for failed connects, since silent connections may be far apart. An
# answer voids them at once.
UNANSWERED_TTL_MS = 20_000
# A peer is tried this often in a row while the links are doubted, then after
# pauses that double: the targets may be down for all.
QUICK_TRIALS = 4
TRIAL_INTERVAL_MS = 200
FIRST_TRIAL_PAUSE_MS = 2_000
MAX_TRIAL_PAUSE_MS = 32_000
# The next one after a direct answer has shown that the links are sound.
TRIAL_HOLD_MS = 1_000
# Bounds on memory, and on what one event lists.
MAX_MISSED = 32
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Miss:
    """A new direct connection that brought no answer."""

    # When it was established, or failed.
    at_ms: int
    target: str
    was_accepted: bool


@dataclasses.dataclass(slots=True)
class _ServicePath:
    # Time of the last failed connect by target, since the last that succeeded.
    failed_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    # Since the last direct answer, failed connects included.
    missed: list[_Miss] = dataclasses.field(default_factory=list)
    # Peers tried since the links are doubted, and when the next one may be.
    trials: int = 0
    next_trial_at_ms: int = 0
    is_lost: bool = False
    # Direct answers in a row since the links were lost.
    answered: int = 0

    def forget_missed(self, before_ms: int) -> None:
        """Drops connections up to a time."""
        self.missed = [miss for miss in self.missed if miss.at_ms > before_ms]


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

    def is_doubtful(self, service: str) -> bool:
        """Tells whether connections are accepted, but bring no answers."""
        path = self._paths.get(service)
        if path is None or not path.missed:
            return False
        path.forget_missed(self._clock.now_ms() - UNANSWERED_TTL_MS)
        targets = {miss.target for miss in path.missed}
        return (
            any(miss.was_accepted for miss in path.missed)
            and len(path.missed)
            > self._limit_to_targets(service, MIN_UNANSWERED - 1)
            and len(targets)
            >= self._limit_to_targets(service, MIN_FAILED_TARGETS)
        )

    def is_lost(self, service: str) -> bool:
        """Tells whether the targets of a service are reached by peers only."""
        path = self._paths.get(service)
        return path is not None and path.is_lost

    def list_lost(self) -> list[str]:
        """Returns the services whose targets are reached by peers only."""
        return [name for name, path in self._paths.items() if path.is_lost]

    def begin_trial(self, service: str) -> bool:
        """Tells whether a peer is to be tried since the links are doubted."""
        path = self._paths.get(service)
        if path is None or path.is_lost or not self.is_doubtful(service):
            return False
        now_ms = self._clock.now_ms()
        if now_ms < path.next_trial_at_ms:
            return False
        path.trials += 1
        pauses = path.trials - QUICK_TRIALS
        wait_ms = TRIAL_INTERVAL_MS
        if pauses >= 0:
            wait_ms = FIRST_TRIAL_PAUSE_MS * 2 ** min(pauses, 16)
        path.next_trial_at_ms = now_ms + min(wait_ms, MAX_TRIAL_PAUSE_MS)
        if path.trials == 1:
            self._log.emit(
                Event.TARGET_LINKS_DOUBTED,
                service=service,
                **_describe_missed(path),
            )
        return True

    def note_failed(self, service: str, target: str) -> None:
        """Records that a direct connect failed."""
        path = self._paths.setdefault(service, _ServicePath())
        path.failed_at_ms[target] = self._clock.now_ms()
        self._note_missed(path, _Miss(self._clock.now_ms(), target, False))

    def note_connected(self, service: str) -> None:
        """Records that a direct connect succeeded.

        It voids connects that failed, but is no answer of the target.
        """
        path = self._paths.get(service)
        if path is not None:
            path.failed_at_ms.clear()

    def note_unanswered(
        self, service: str, target: str, connected_at_ms: int
    ) -> None:
        """Records that a direct connection brings no answer."""
        path = self._paths.setdefault(service, _ServicePath())
        self._note_missed(path, _Miss(connected_at_ms, target, True))

    def note_answered(
        self, service: str, target: str, connected_at_ms: int
    ) -> None:
        """Records that a target answered over a direct connection.

        Connections live on through some cuts, so that an answer tells nothing
        of those that were established later.
        """
        path = self._paths.get(service)
        if path is None:
            return
        path.forget_missed(connected_at_ms)
        if path.missed:
            return
        if path.trials:
            path.trials = 0
            hold_ms = TRIAL_HOLD_MS
            path.next_trial_at_ms = self._clock.now_ms() + hold_ms
        if not path.is_lost:
            return
        path.answered += 1
        if path.answered >= self._limit_to_targets(service, MIN_ANSWERED):
            path.is_lost = False
            self._log.emit(
                Event.TARGET_LINKS_BACK, service=service, target=target
            )

    def note_relayed(self, service: str, target: str, peer: str) -> None:
        """Records that a peer connected to a target."""
        if self.is_suspect(service):
            self._lose(service, target, peer)

    def note_relayed_answer(self, service: str, target: str, peer: str) -> None:
        """Records that a target answered over a connection of a peer."""
        path = self._paths.get(service)
        if path is not None and path.trials:
            self._lose(service, target, peer)

    def _lose(self, service: str, target: str, peer: str) -> None:
        path = self._paths[service]
        if path.is_lost:
            return
        path.is_lost = True
        path.answered = 0
        self._log.emit(
            Event.TARGET_LINKS_LOST,
            service=service,
            target=target,
            peer=peer,
            failed=sorted(path.failed_at_ms),
            **_describe_missed(path),
        )

    def _note_missed(self, path: _ServicePath, miss: _Miss) -> None:
        path.forget_missed(self._clock.now_ms() - UNANSWERED_TTL_MS)
        path.missed.append(miss)
        del path.missed[:-MAX_MISSED]
        path.answered = 0

    def _limit_to_targets(self, service: str, count: int) -> int:
        return max(1, min(count, len(self._targets.list_for(service))))


def _describe_missed(path: _ServicePath) -> dict[str, object]:
    unanswered = {miss.target for miss in path.missed if miss.was_accepted}
    return {
        "unanswered": sorted(unanswered),
        "failed_connects": sum(not m.was_accepted for m in path.missed),
    }


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
