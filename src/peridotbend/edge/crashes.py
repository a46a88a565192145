"""Requests that crash their targets, counted over all instances."""

import collections
from collections.abc import Mapping

import xxhash

from peridotbend.domain.clock import Clock
from peridotbend.edge.ports import EdgeCall

# A request that was in flight when this many targets died is not sent again.
MAX_CRASHES = 3
# A target whose death shows within this time of a broken connection died
# then: entries of dead targets lapse after three heartbeats.
CONFIRM_MS = 6_000
# What is not seen for this long is forgotten, so that a mended engine gets
# its requests again.
LIFETIME_MS = 600_000
MAX_ENTRIES = 2_048
# Digests tell the newest entries only.
MAX_TOLD = 32


def make_fingerprint(call: EdgeCall, account: str) -> int:
    """Returns what a request keeps when its caller sends it again."""
    digest = xxhash.xxh3_64(call.body)
    for part in (account, call.method, call.host, call.path):
        digest.update(part.encode("latin-1", "replace") + b"\0")
    return digest.intdigest()


class CrashList:
    """How many targets died with a request in flight, by its fingerprint.

    A broken connection alone proves nothing: it counts once nothing listens
    at its target, or the target restarts or is no longer listed. A cut shows
    some of that, too, so what was counted is withdrawn when the same target
    shows that it lives.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        # Broken connections by target: time and fingerprint.
        self._breaks: dict[str, list[tuple[int, int]]] = {}
        # Dead targets by fingerprint, and when the last one died.
        self._own: collections.OrderedDict[int, tuple[set[str], int]] = (
            collections.OrderedDict()
        )
        self._peers: dict[str, Mapping[int, int]] = {}
        # Requests that ended well here, which cannot be the cause.
        self._cleared: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def note_break(self, target: str, fingerprint: int) -> None:
        """Notes a connection that broke while the request ran."""
        breaks = self._breaks.setdefault(target, [])
        breaks.append((self._clock.now_ms(), fingerprint))
        del breaks[:-MAX_ENTRIES]

    def note_death(self, target: str) -> list[int]:
        """Notes that a target is dead; returns the requests it counts for."""
        oldest_ms = self._clock.now_ms() - CONFIRM_MS
        found = {
            fingerprint
            for at_ms, fingerprint in self._breaks.pop(target, ())
            if at_ms >= oldest_ms
        }
        for fingerprint in found:
            self._cleared.pop(fingerprint, None)
            dead, _ = self._own.pop(fingerprint, (set(), 0))
            self._own[fingerprint] = dead | {target}, self._clock.now_ms()
        while len(self._own) > MAX_ENTRIES:
            self._own.popitem(last=False)
        return sorted(found)

    def note_alive(self, target: str) -> None:
        """Notes that a target lives, so that no request has crashed it."""
        self._breaks.pop(target, None)
        for fingerprint, (dead, at_ms) in list(self._own.items()):
            if target in dead:
                left = dead - {target}
                if left:
                    self._own[fingerprint] = left, at_ms
                else:
                    del self._own[fingerprint]

    def note_success(self, fingerprint: int) -> None:
        """Notes that a request ran to its end."""
        if not (self._own or self._peers):
            return
        self._own.pop(fingerprint, None)
        self._cleared[fingerprint] = None
        while len(self._cleared) > MAX_ENTRIES:
            self._cleared.popitem(last=False)

    def is_quarantined(self, fingerprint: int) -> bool:
        """Tells whether a request must not be sent any more."""
        if fingerprint in self._cleared:
            return False
        return self._count(fingerprint) >= MAX_CRASHES

    def list_told(self) -> dict[int, int]:
        """Returns the newest own counts for peers."""
        oldest_ms = self._clock.now_ms() - LIFETIME_MS
        while self._own:
            fingerprint, (_, at_ms) = next(iter(self._own.items()))
            if at_ms >= oldest_ms:
                break
            del self._own[fingerprint]
        newest = list(self._own.items())[-MAX_TOLD:]
        return {fingerprint: len(dead) for fingerprint, (dead, _) in newest}

    def record_peer(self, peer: str, told: Mapping[int, int]) -> None:
        """Takes over the counts of a peer."""
        if told:
            self._peers[peer] = told
        else:
            self._peers.pop(peer, None)

    def _count(self, fingerprint: int) -> int:
        dead, _ = self._own.get(fingerprint, (set(), 0))
        return len(dead) + sum(
            told.get(fingerprint, 0) for told in self._peers.values()
        )
