"""What a conclusion about the version of a stream rests on."""

import dataclasses

from peridotbend.edge.versions import VIEW_LAG_MS

# How long a request may have waited before this process read it, after its
# caller stated what it has left. Callers give an unread request up then.
UNREAD_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class OriginBasis:
    """What an instance knows of the time since a stream began.

    Times are in ms of the process's clock. A premise that is missing makes the
    conclusion uncertain.
    """

    now_ms: int
    # As of when the stream was placed at the earliest, by what its caller has
    # left of its time and as far as gaps of the fleet are known.
    stated_since_ms: int
    # When it began at the earliest, whatever its caller has left.
    begin_ms: int
    # The longest time that a caller of the route is known to wait.
    limit_ms: int
    # The time that the caller has left; None if it has no limit.
    left_ms: int | None
    # The time of the oldest list of targets by which another instance may have
    # placed a stream since `begin_ms`; None if that is not known.
    oldest_view_ms: int | None
    # Since when all mixes of versions are known, and since when this process
    # has seen them itself; None if they are not known.
    covered_since_ms: int | None
    observed_since_ms: int | None
    # Whether nothing is missing in the own list of targets.
    is_current: bool

    @property
    def placed_since_ms(self) -> int:
        """As of when the stream was placed at the earliest.

        A process that has just started has to go by what the caller has left:
        the kept history is short, and nearly all of it would be in doubt.
        """
        if self.oldest_view_ms is None:
            return self._earliest_stated_ms
        return min(self.begin_ms, self.oldest_view_ms) - VIEW_LAG_MS

    @property
    def _earliest_stated_ms(self) -> int:
        return self.stated_since_ms - UNREAD_MS - VIEW_LAG_MS

    @property
    def is_covered(self) -> bool:
        """Whether the mixes are known since the stream probably began."""
        covered_ms = self.covered_since_ms
        return covered_ms is not None and covered_ms <= self._earliest_stated_ms

    @property
    def is_observed(self) -> bool:
        """Whether this process has seen all changes since then itself.

        It has not if another instance may have placed the stream by a list that
        is older than this process.
        """
        observed_ms = self.observed_since_ms
        return (
            self.is_current
            and self.oldest_view_ms is not None
            and observed_ms is not None
            and observed_ms <= self.placed_since_ms
        )

    def describe(self) -> dict[str, object]:
        """Returns the fields of a log line; times are ages."""
        return {
            "window_ms": self.now_ms - self.placed_since_ms,
            "stated_ms": self._find_age_ms(self.stated_since_ms),
            "limit_ms": self.limit_ms,
            "left_ms": self.left_ms,
            "view_ms": self._find_age_ms(self.oldest_view_ms),
            "covered_ms": self._find_age_ms(self.covered_since_ms),
            "observed_ms": self._find_age_ms(self.observed_since_ms),
            "is_current": self.is_current,
            "is_covered": self.is_covered,
            "is_observed": self.is_observed,
        }

    def _find_age_ms(self, at_ms: int | None) -> int | None:
        return None if at_ms is None else self.now_ms - at_ms
