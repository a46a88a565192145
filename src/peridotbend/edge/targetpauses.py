"""Pauses that targets ask for when they turn requests of this instance away."""

import collections

from peridotbend.domain.clock import Clock
from peridotbend.edge.targets import EdgeTarget

# A target that asks for more is tried again after an hour.
MAX_PAUSE_MS = 3_600_000
# Bounds memory: targets that ended are not removed otherwise.
MAX_PAUSES = 1_024


class TargetPauses:
    """Until when each run of a target wants nothing from this instance.

    A target turns away one instance at a time, so others are not told.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        # By the hash of the run, the one that was named last at the end.
        self._until_ms: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def __bool__(self) -> bool:
        return bool(self._until_ms)

    def note(self, target: EdgeTarget, pause_ms: int) -> None:
        """Records a pause, which replaces an earlier one."""
        until_ms = self._clock.now_ms() + min(pause_ms, MAX_PAUSE_MS)
        self._until_ms[target.run_hash] = until_ms
        self._until_ms.move_to_end(target.run_hash)
        if len(self._until_ms) > MAX_PAUSES:
            self._until_ms.popitem(last=False)

    def find_left_ms(self, target: EdgeTarget) -> int:
        """Returns the rest of the pause of a target; 0 if there is none."""
        if not self._until_ms:
            return 0
        until_ms = self._until_ms.get(target.run_hash)
        if until_ms is None:
            return 0
        left_ms = until_ms - self._clock.now_ms()
        if left_ms <= 0:
            del self._until_ms[target.run_hash]
        return max(0, left_ms)

    def is_paused(self, target: EdgeTarget) -> bool:
        """Tells whether a target wants nothing now."""
        return self.find_left_ms(target) > 0

    def dump(self) -> dict[str, int]:
        """Returns the rest of each pause, by the hash of the target's run."""
        now_ms = self._clock.now_ms()
        return {
            f"{run_hash:08x}": until_ms - now_ms
            for run_hash, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
