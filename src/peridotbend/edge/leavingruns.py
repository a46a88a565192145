"""Runs of targets that have said themselves that they leave.

A target may say so in its answers before the platform's list does, or while the
store is away. Only a restart, which begins another run, takes it back.
"""

import collections
from collections.abc import Iterable

from peridotbend.domain.clock import Clock

# Bounds memory. A target leaves within seconds, and its entry with it.
MAX_RUNS = 4_096
# Each instance repeats what it has learned in its digests for this time, since
# datagrams get lost. None repeats it again, so that news do not circulate.
REPEAT_MS = 1_500
# Runs in one digest.
MAX_DIGEST_RUNS = 64


class LeavingRuns:
    """The runs that leave, by the hash of the run."""

    def __init__(self, clock: Clock):
        self._clock = clock
        # When each was learned, the latest at the end.
        self._learned_at_ms: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def __bool__(self) -> bool:
        return bool(self._learned_at_ms)

    def __contains__(self, run_hash: int) -> bool:
        return run_hash in self._learned_at_ms

    def add(self, run_hash: int) -> bool:
        """Records a run; tells whether it is new."""
        if run_hash in self._learned_at_ms:
            return False
        self._learned_at_ms[run_hash] = self._clock.now_ms()
        if len(self._learned_at_ms) > MAX_RUNS:
            self._learned_at_ms.popitem(last=False)
        return True

    def merge(self, runs: Iterable[int]) -> bool:
        """Records what another instance has learned; tells if any is new."""
        return sum(self.add(run_hash) for run_hash in runs) > 0

    def list_for_digest(self) -> tuple[int, ...]:
        """Returns the runs that were learned lately, the latest first."""
        oldest_ms = self._clock.now_ms() - REPEAT_MS
        latest: list[int] = []
        for run_hash, learned_at_ms in reversed(self._learned_at_ms.items()):
            if learned_at_ms < oldest_ms or len(latest) == MAX_DIGEST_RUNS:
                break
            latest.append(run_hash)
        return tuple(latest)
