"""Groups of instances, and the relays that sum the state of a group.

In a small fleet every instance sends its digest to every other one. In a
larger one the instances of a zone form groups. Each instance sends its digest
to two relays of its group, which exchange sums with the relays of the other
groups and return the totals. The cost of a member does not depend on the size
of the fleet. No agreement is needed: every instance derives the groups from the
hosts that it knows, and any instance serves as a relay for those that ask it.
"""

import dataclasses
import math

import xxhash

from peridotbend.domain.clock import Clock
from peridotbend.edge.peers import PeerRegistry

# Fleets with at most this many other instances form no groups. Each instance
# then sends 16 digests at a time, which is what a relay of a group sends too.
MAX_MESH_PEERS = 16
# Larger zones are divided, which bounds what a relay receives.
MAX_GROUP_SIZE = 48
# One relay may fail without a gap in what the members know.
RELAYS_PER_GROUP = 2
# A relay answers at least every 300 ms. One that does not is replaced.
RELAY_TIMEOUT_MS = 1_000
# How long a relay that did not answer is passed over.
RELAY_RETRY_MS = 5_000

GroupKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _RelayState:
    chosen_at_ms: int
    used_at_ms: int
    answered_at_ms: int = 0
    avoid_until_ms: int = 0


class GroupDirectory:
    """Assigns the known instances to groups, and chooses relays."""

    def __init__(
        self, own_host: str, zone: str, peers: PeerRegistry, clock: Clock
    ):
        self._own_host = own_host
        self._zone = zone
        self._peers = peers
        self._clock = clock
        self._version = -1
        self._groups: dict[GroupKey, list[str]] = {}
        self._key_by_host: dict[str, GroupKey] = {}
        self._relays: dict[str, _RelayState] = {}

    @property
    def is_mesh(self) -> bool:
        """Whether the fleet is small enough for direct digests to all."""
        return len(self._peers) <= MAX_MESH_PEERS

    @property
    def own_key(self) -> GroupKey:
        """The key of the group of this instance."""
        self._update()
        return self._key_by_host[self._own_host]

    def find_key(self, host: str) -> GroupKey | None:
        """Returns the group of a host; None if its zone is not known."""
        self._update()
        return self._key_by_host.get(host)

    def list_keys(self) -> list[GroupKey]:
        """Returns the keys of all groups."""
        self._update()
        return list(self._groups)

    def note_answer(self, host: str) -> None:
        """Records that a relay has answered."""
        now_ms = self._clock.now_ms()
        state = self._relays.setdefault(host, _RelayState(now_ms, now_ms))
        state.answered_at_ms = now_ms
        state.avoid_until_ms = 0

    def reset_failures(self) -> None:
        """Gives all relays another chance, after this instance was cut off."""
        now_ms = self._clock.now_ms()
        for state in self._relays.values():
            state.avoid_until_ms = 0
            state.chosen_at_ms = now_ms

    def choose_relays(self, key: GroupKey) -> list[str]:
        """Returns the relays of a group, the first one first.

        They may include this instance.
        """
        self._update()
        chosen: list[str] = []
        hosts = self._groups.get(key, [])
        for host in hosts:
            if host == self._own_host or not self._has_failed(host):
                chosen.append(host)
                if len(chosen) == RELAYS_PER_GROUP:
                    return chosen
        # All others failed lately; trying one again is all that is left.
        return chosen or hosts[:RELAYS_PER_GROUP]

    def _has_failed(self, host: str) -> bool:
        """Tells whether a relay that is in use does not answer."""
        now_ms = self._clock.now_ms()
        state = self._relays.get(host)
        if state is None:
            self._relays[host] = _RelayState(now_ms, now_ms)
            return False
        was_unused = now_ms - state.used_at_ms > RELAY_TIMEOUT_MS
        state.used_at_ms = now_ms
        if state.avoid_until_ms > now_ms:
            return True
        if state.avoid_until_ms or was_unused:
            state.avoid_until_ms = 0
            state.chosen_at_ms = now_ms
            return False
        last_ms = max(state.chosen_at_ms, state.answered_at_ms)
        if now_ms - last_ms <= RELAY_TIMEOUT_MS:
            return False
        state.avoid_until_ms = now_ms + RELAY_RETRY_MS
        return True

    def _update(self) -> None:
        """Forms the groups again after a change of the known instances."""
        if self._version == self._peers.version:
            return
        self._version = self._peers.version
        by_zone: dict[str, list[str]] = {self._zone: [self._own_host]}
        for host in self._peers.list_hosts():
            zone = self._peers.find_zone(host)
            if zone:
                by_zone.setdefault(zone, []).append(host)
        self._groups = {}
        self._key_by_host = {}
        for zone, hosts in by_zone.items():
            count = math.ceil(len(hosts) / MAX_GROUP_SIZE)
            ranked = sorted((_hash_host(host), host) for host in hosts)
            for weight, host in ranked:
                key = (zone, weight % count)
                self._groups.setdefault(key, []).append(host)
                self._key_by_host[host] = key
        self._relays = {
            host: state
            for host, state in self._relays.items()
            if host in self._key_by_host
        }


def _hash_host(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())
