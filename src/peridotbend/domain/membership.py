"""Membership of the fleet, and which instance is responsible for what."""

import dataclasses
import random
from collections.abc import Callable, Iterable

from peridotbend.domain import rendezvous
from peridotbend.domain.clock import Clock
from peridotbend.domain.peertable import Peer, PeerTable
from peridotbend.domain.ports import EventLog, InstanceInfo, InstanceRole
from peridotbend.domain.targetstates import LeavingMark, TargetStates
from peridotbend.domain.text import Target

READERS_PER_ZONE = 2


class Roster:
    """The peers and targets that this process knows.

    The views of different processes may differ for a while. That can waste
    capacity or cause a refusal, but never a second dispatch.
    """

    def __init__(
        self, own: Peer, clock: Clock, log: EventLog, rng: random.Random
    ):
        assert (
            own.incarnation > 0
        ), "incarnation 0 is reserved for unknown incarnations"
        self._own = own
        self._clock = clock
        self._table = PeerTable(own.zone, clock, log, rng)
        self._dividers: dict[tuple[str, str], str] = {}
        self._dividers_cache_key: tuple[int, bool] = (-1, False)
        self._urgent_callbacks: list[Callable[[], None]] = []
        self.targets = TargetStates(clock, log)

    # Updates.

    def apply_list(self, instances: Iterable[InstanceInfo]) -> None:
        """Applies the platform's list; absence from it has no meaning."""
        changed = False
        for info in instances:
            if info.role is InstanceRole.ENTRY:
                if info.name != self._own.name and info.peer_port:
                    self._table.add_candidate(info)
                continue
            if info.leaving:
                changed |= self.targets.mark_leaving(
                    info.name, info.incarnation
                )
            else:
                self.targets.record_incarnation(info.name, info.incarnation)
        if changed:
            self.notify_urgent()

    def record_heartbeat(self, peer: Peer) -> bool:
        """Records a heartbeat received from the peer itself."""
        return self._observe(peer, self._clock.now_ms(), True)

    def record_member(self, peer: Peer, age_ms: int) -> None:
        """Records that another instance observed the peer `age_ms` ago."""
        self._observe(peer, self._clock.now_ms() - max(0, age_ms), False)

    def mark_leaving(self, marks: Iterable[LeavingMark]) -> None:
        """Records leaving marks and forwards new ones immediately."""
        changed = False
        for mark in marks:
            changed |= self.targets.mark_leaving(*mark)
        if changed:
            self.notify_urgent()

    def record_target_incarnation(self, name: str, incarnation: str) -> None:
        """Records the incarnation that a target itself reported."""
        self.targets.record_report(name, incarnation)

    def find_target_incarnation(self, name: str) -> str:
        """Returns the last known incarnation of a target, or ""."""
        return self.targets.find_incarnation(name)

    def record_target_failure(
        self, name: str, seen_at_ms: int | None = None
    ) -> None:
        """Takes a target out of use that failed for this process."""
        self.targets.record_failure(name, seen_at_ms)

    def record_target_success(self, name: str) -> None:
        """Ends the backoff of a target that has answered."""
        self.targets.record_success(name)

    def set_draining(self) -> None:
        """Announces to peers that this process is draining.

        From then on it takes over no more records and responsibilities.
        """
        self._own = dataclasses.replace(self._own, draining=True)
        self.notify_urgent()

    def set_address(self, host: str, port: int) -> None:
        """Sets the address at which peers reach this process."""
        self._own = dataclasses.replace(self._own, host=host, port=port)

    def subscribe_urgent(self, callback: Callable[[], None]) -> None:
        """Calls `callback` for changes that must not wait for a heartbeat."""
        self._urgent_callbacks.append(callback)

    def notify_urgent(self) -> None:
        """Makes the peer links send their next digest immediately."""
        for callback in self._urgent_callbacks:
            callback()

    # Peers.

    @property
    def own(self) -> Peer:
        """This process as it is announced to peers."""
        return self._own

    def find_peer(self, name: str) -> Peer | None:
        """Returns a peer by name, whether it is live or not."""
        if name == self._own.name:
            return self._own
        return self._table.find(name)

    def is_live(self, name: str) -> bool:
        """Tells whether an instance was observed recently."""
        return name == self._own.name or self._table.is_live(name)

    def find_age(self, name: str) -> int | None:
        """Returns the milliseconds since a peer was last observed."""
        return self._table.find_age(name)

    def list_live_peers(self) -> tuple[Peer, ...]:
        """Returns the live peers without this process."""
        return self._table.list_live()

    def list_known_peers(self) -> tuple[Peer, ...]:
        """Returns all known peers without this process."""
        return self._table.list_known()

    def is_full_mesh(self) -> bool:
        """Tells whether every known peer is a neighbour."""
        return self._table.is_full_mesh()

    def sample_live(self, limit: int) -> list[Peer]:
        """Returns at most `limit` random live peers."""
        return self._table.sample_live(limit)

    def choose_neighbours(
        self, dividers: Iterable[str] = ()
    ) -> tuple[Peer, ...]:
        """Returns the peers to which this process should keep a stream."""
        return self._table.choose_neighbours(dividers)

    # Responsibilities.

    def find_window_divider(self, target: Target) -> str:
        """Returns the name of the instance that divides a target's window."""
        # Cached, because a fleet has thousands of targets and each is looked
        # up every 200 ms.
        cache_key = (self._table.count_changes(), self._own.draining)
        if cache_key != self._dividers_cache_key:
            self._dividers, self._dividers_cache_key = {}, cache_key
        found = self._dividers.get((target.name, target.zone))
        if found is None:
            found = self._choose_divider(target)
            self._dividers[target.name, target.zone] = found
        return found

    def find_trial_owner(self, fingerprint: bytes) -> str:
        """Returns the name of the instance that grants trial permits."""
        return rendezvous.rank(
            b"owner:" + fingerprint, self._list_eligible(), _get_name
        )[0].name

    def rank_successors(
        self, name: str, incarnation: int, *, include_draining: bool = False
    ) -> tuple[Peer, ...]:
        """Returns the peers to take over an incarnation's records, best first.

        Look-ups include draining peers, which may have taken over records
        before they began to drain.
        """
        peers = [
            p for p in (*self.list_live_peers(), self._own) if p.name != name
        ]
        eligible = [p for p in peers if include_draining or not p.draining]
        key = f"heir:{name}:{incarnation}".encode()
        return tuple(rendezvous.rank(key, eligible, _get_name))

    def is_reader(self, zone: str | None = None) -> bool:
        """Tells whether this process watches the platform for a zone."""
        zone = self._own.zone if zone is None else zone
        eligible = [p for p in self._list_eligible() if p.zone == zone]
        key = b"reader:" + zone.encode()
        first = rendezvous.rank(key, eligible, _get_name)[:READERS_PER_ZONE]
        return self._own.name in {p.name for p in first}

    # Used by the scheduler.

    def is_available(self, target: Target) -> bool:
        """Tells whether a target is neither leaving nor known to be down."""
        return self.targets.is_available(target.name)

    def is_leaving(self, target: str, incarnation: str) -> bool:
        """Tells whether a target incarnation was ever marked as leaving."""
        return self.targets.is_leaving(target, incarnation)

    def count_live_peers(self) -> int:
        """Returns the number of live entry instances, this process included."""
        return 1 + len(self.list_live_peers())

    @property
    def zone(self) -> str:
        """The availability zone of this process."""
        return self._own.zone

    def dump(self) -> dict[str, object]:
        """Returns the membership state for operators."""
        return {
            "own": self._own.name,
            "zone": self._own.zone,
            "draining": self._own.draining,
            "reader": self.is_reader(),
            "peers": self._table.dump(),
            "targets": self.targets.dump(),
        }

    def _choose_divider(self, target: Target) -> str:
        eligible = self._list_eligible()
        same_zone = [p for p in eligible if p.zone == target.zone]
        key = b"divider:" + target.name.encode()
        return rendezvous.rank(key, same_zone or eligible, _get_name)[0].name

    def _list_eligible(self) -> list[Peer]:
        live = [*self.list_live_peers(), self._own]
        return [p for p in live if not p.draining] or live

    def _observe(self, peer: Peer, seen_at_ms: int, direct: bool) -> bool:
        if peer.name == self._own.name or not peer.incarnation:
            return False
        return self._table.observe(peer, seen_at_ms, direct)


def _get_name(peer: Peer) -> str:
    return peer.name
