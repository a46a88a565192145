"""Since when other instances may have placed streams by old news."""

import collections
import dataclasses

from peridotbend.domain.clock import Clock

# Another instance counts as lost only this long after its last digest.
LOSS_NOTICE_MS = 2_000
# Time that an instance needs to read what it has missed once it is heard of
# again. It serves callers meanwhile.
CATCH_UP_MS = 5_000
# Bounds memory. The oldest gaps are joined, which makes them longer.
MAX_GAPS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _Gap:
    """A time in which not all instances were heard of."""

    # When the first of them was last heard of; None if that was before this
    # process started.
    since_ms: int | None
    # When all were heard of again; None if that is still to come.
    until_ms: int | None = None


class FleetGaps:
    """The times in which not all other instances were heard of.

    A process that has just started does not know for how long it has been so.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._gaps = collections.deque([_Gap(None)])

    def note_fleet(self, is_whole: bool) -> None:
        """Records whether all other instances are heard of now."""
        now_ms = self._clock.now_ms()
        last = self._gaps[-1]
        if is_whole and last.until_ms is None:
            self._gaps[-1] = dataclasses.replace(last, until_ms=now_ms)
        elif not is_whole and last.until_ms is not None:
            self._gaps.append(_Gap(now_ms - LOSS_NOTICE_MS))
            if len(self._gaps) > MAX_GAPS:
                oldest = self._gaps.popleft()
                self._gaps[0] = dataclasses.replace(
                    self._gaps[0], since_ms=oldest.since_ms
                )

    def find_oldest_view(self, since_ms: int) -> int | None:
        """Returns the time of the oldest list that may have placed a stream.

        Args:
            since_ms: when the stream began at the earliest.

        Returns:
            the time; None if it is not known.
        """
        oldest_ms = since_ms
        for gap in reversed(self._gaps):
            is_over = (
                gap.until_ms is not None
                and gap.until_ms + CATCH_UP_MS < oldest_ms
            )
            if is_over:
                break
            if gap.since_ms is None:
                return None
            oldest_ms = min(oldest_ms, gap.since_ms)
        return oldest_ms
