"""How long callers wait for streams, as far as this process knows."""

from collections.abc import Iterable

from peridotbend.edge.config import Route
from peridotbend.edge.ports import EdgeCall

# A caller comes back to a stream that broke off within this time. Its limit may
# be longer than any that is known.
RETURN_MS = 10_000
# What is known of streams is kept for this long at least, for callers whose
# limits are not known.
MIN_KEPT_MS = 60_000
# Covers the delay with which other instances learn of changes.
KEPT_MARGIN_MS = 10_000


class CallerLimits:
    """The longest time limits that were seen of each route.

    An attempt ends with its route's timeout, or with its caller's limit if that
    is shorter. A limit that was in force before may still hold for streams that
    began then.
    """

    def __init__(self) -> None:
        # By the name of the route.
        self._longest_ms: dict[str, int] = {}

    @property
    def longest_ms(self) -> int:
        """The longest limit of all routes."""
        return max(self._longest_ms.values(), default=0)

    @property
    def kept_ms(self) -> int:
        """How long anything is kept that decides where a stream goes on."""
        return max(MIN_KEPT_MS, self.longest_ms + RETURN_MS + KEPT_MARGIN_MS)

    def note_routes(self, routes: Iterable[Route]) -> None:
        """Records the timeouts of a new configuration."""
        for route in routes:
            if route.is_resumable_stream:
                self._note(route, route.timeout_ms)

    def note_call(self, call: EdgeCall, route: Route) -> None:
        """Records how long a caller is ready to wait.

        One that takes a stream up says only what it has left.
        """
        if not call.takes_up:
            self._note(route, max(route.timeout_ms, call.deadline_ms or 0))

    def find_longest_ms(self, route: Route) -> int:
        """Returns the longest limit of a route."""
        return max(route.timeout_ms, self._longest_ms.get(route.name, 0))

    def find_age_ms(self, call: EdgeCall, route: Route) -> int:
        """Returns how old the stream is at most that a caller takes up.

        A caller that has more time left than any limit that is known has a
        longer one, so that what it has left tells nothing.
        """
        longest_ms = self.find_longest_ms(route)
        left_ms = call.deadline_ms or 0
        return longest_ms - left_ms if left_ms <= longest_ms else longest_ms

    def _note(self, route: Route, limit_ms: int) -> None:
        known_ms = self._longest_ms.get(route.name, 0)
        self._longest_ms[route.name] = max(known_ms, limit_ms)
