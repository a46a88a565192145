"""Detection of requests that crash their targets, across all instances."""

import collections
from collections.abc import Mapping

import xxhash

from peridotbend.domain.clock import Clock
from peridotbend.edge.ports import EdgeCall

# A request that was in flight at this many targets when they died is
# quarantined.
MAX_CRASHES = 3
# A broken connection is attributed to the death of the target if that is
# detected within this time. The platform drops the entry of a dead target after
# three missed heartbeats.
CONFIRMATION_WINDOW_MS = 6_000
# Counts expire after this time without another crash, so that requests are sent
# again once a runner has been fixed.
ENTRY_TTL_MS = 600_000
MAX_ENTRIES = 2_048
# A digest contains only the newest entries.
MAX_DIGEST_ENTRIES = 32


def make_fingerprint(call: EdgeCall, account: str) -> int:
    """Returns a hash that is the same for all attempts of a request."""
    digest = xxhash.xxh3_64(call.body)
    for part in (account, call.method, call.host, call.path):
        digest.update(part.encode("latin-1", "replace") + b"\0")
    return digest.intdigest()


class CrashTracker:
    """Counts the targets that died with a request in flight, by fingerprint.

    A broken connection does not prove a crash. It is counted once the target
    refuses connections, restarts or is no longer listed. A network partition
    can look the same, so the count is withdrawn when the same target turns
    out to be alive.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        # Time and fingerprint of each broken connection, by target.
        self._broken_connections: dict[str, list[tuple[int, int]]] = {}
        # By fingerprint: the dead targets counted by this instance, and when
        # the last one died.
        self._dead_targets: collections.OrderedDict[
            int, tuple[set[str], int]
        ] = collections.OrderedDict()
        # Counts of each peer and when they arrived, the oldest first.
        self._peer_counts: dict[str, tuple[int, Mapping[int, int]]] = {}
        # Counts of a relay, which include those of this instance.
        self._fleet_counts: Mapping[int, int] = {}
        # Requests that completed here and thus do not crash targets, and when.
        self._cleared: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def note_broken_connection(self, target: str, fingerprint: int) -> None:
        """Records a connection that broke while the request ran."""
        broken = self._broken_connections.setdefault(target, [])
        broken.append((self._clock.now_ms(), fingerprint))
        del broken[:-MAX_ENTRIES]

    def note_target_dead(self, target: str) -> list[int]:
        """Records the death of a target; returns the suspected requests."""
        oldest_ms = self._clock.now_ms() - CONFIRMATION_WINDOW_MS
        suspects = {
            fingerprint
            for at_ms, fingerprint in self._broken_connections.pop(target, ())
            if at_ms >= oldest_ms
        }
        for fingerprint in suspects:
            self._cleared.pop(fingerprint, None)
            dead, _ = self._dead_targets.pop(fingerprint, (set(), 0))
            self._dead_targets[fingerprint] = (
                dead | {target},
                self._clock.now_ms(),
            )
        while len(self._dead_targets) > MAX_ENTRIES:
            self._dead_targets.popitem(last=False)
        return sorted(suspects)

    def note_target_alive(self, target: str) -> list[int]:
        """Records that a target is alive; returns requests not blamed now."""
        self._broken_connections.pop(target, None)
        withdrawn = []
        for fingerprint, (dead, at_ms) in list(self._dead_targets.items()):
            if target in dead:
                withdrawn.append(fingerprint)
                remaining = dead - {target}
                if remaining:
                    self._dead_targets[fingerprint] = remaining, at_ms
                else:
                    del self._dead_targets[fingerprint]
        return withdrawn

    def note_success(self, fingerprint: int) -> None:
        """Records that a request completed."""
        if not (self._dead_targets or self._peer_counts or self._fleet_counts):
            return
        self._dead_targets.pop(fingerprint, None)
        self._cleared.pop(fingerprint, None)
        self._cleared[fingerprint] = self._clock.now_ms()
        while len(self._cleared) > MAX_ENTRIES:
            self._cleared.popitem(last=False)

    def count_suspects(self) -> int:
        """Returns how many requests are suspected by this instance."""
        return len(self._dead_targets)

    def is_quarantined(self, fingerprint: int) -> bool:
        """Tells whether a request must no longer be sent."""
        cleared_at_ms = self._cleared.get(fingerprint)
        if (
            cleared_at_ms is not None
            and self._clock.now_ms() - cleared_at_ms <= ENTRY_TTL_MS
        ):
            return False
        return self._count(fingerprint) >= MAX_CRASHES

    def list_for_digest(self) -> dict[int, int]:
        """Returns the newest counts of this instance for its digest."""
        oldest_ms = self._clock.now_ms() - ENTRY_TTL_MS
        while self._dead_targets:
            fingerprint, (_, at_ms) = next(iter(self._dead_targets.items()))
            if at_ms >= oldest_ms:
                break
            del self._dead_targets[fingerprint]
        newest = list(self._dead_targets.items())[-MAX_DIGEST_ENTRIES:]
        return {fingerprint: len(dead) for fingerprint, (dead, _) in newest}

    def record_peer(self, peer: str, counts: Mapping[int, int]) -> None:
        """Replaces the counts reported by a peer."""
        self._peer_counts.pop(peer, None)
        if counts:
            self._peer_counts[peer] = self._clock.now_ms(), counts

    def set_fleet_counts(self, counts: Mapping[int, int]) -> None:
        """Replaces the counts of a relay, summed over all instances."""
        self._fleet_counts = counts

    def list_sum(self, sources: set[str]) -> dict[int, int]:
        """Returns the sums of own counts and those of the sources."""
        totals = dict(self.list_for_digest())
        for source, counts in self._list_peer_counts():
            if source in sources:
                for fingerprint, count in counts.items():
                    totals[fingerprint] = totals.get(fingerprint, 0) + count
        return dict(list(totals.items())[-MAX_DIGEST_ENTRIES:])

    def list_totals(self) -> dict[int, int]:
        """Returns the counts of all instances as known here."""
        fingerprints = [*self._dead_targets, *self._fleet_counts]
        for _, counts in self._list_peer_counts():
            fingerprints.extend(counts)
        newest = dict.fromkeys(fingerprints[-MAX_DIGEST_ENTRIES:])
        return {fingerprint: self._count(fingerprint) for fingerprint in newest}

    def _count(self, fingerprint: int) -> int:
        dead, _ = self._dead_targets.get(fingerprint, (set(), 0))
        direct = len(dead) + sum(
            counts.get(fingerprint, 0) for _, counts in self._list_peer_counts()
        )
        return max(direct, self._fleet_counts.get(fingerprint, 0))

    def _list_peer_counts(self) -> list[tuple[str, Mapping[int, int]]]:
        """Returns the counts by peer; those of peers long silent expire."""
        oldest_ms = self._clock.now_ms() - ENTRY_TTL_MS
        while self._peer_counts:
            peer = next(iter(self._peer_counts))
            if self._peer_counts[peer][0] >= oldest_ms:
                break
            del self._peer_counts[peer]
        return [
            (peer, counts) for peer, (_, counts) in self._peer_counts.items()
        ]
