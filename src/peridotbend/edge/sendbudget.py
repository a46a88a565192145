"""Limit on the retries that all instances send together."""

import collections

from peridotbend.domain.clock import Clock
from peridotbend.edge.settings import EdgeSettings

# Fraction of the allowed extra sends that is used. The rest covers requests
# that are counted later here than at the point where the limit is measured.
USED_SHARE = 0.8


class _SlidingWindow:
    """Counts events within a sliding time window."""

    def __init__(self, clock: Clock, span_ms: int):
        self._clock = clock
        self.span_ms = span_ms
        self._times: collections.deque[int] = collections.deque()

    def add(self) -> None:
        self._times.append(self._clock.now_ms())

    def count(self) -> int:
        oldest_ms = self._clock.now_ms() - self.span_ms
        while self._times and self._times[0] <= oldest_ms:
            self._times.popleft()
        return len(self._times)


class SendBudget:
    """Limits the extra sends of each service within a sliding window.

    An extra send is any send of a request after its first one. Each instance
    limits itself to a share of its own requests plus its part of the fixed
    number. The sum over all instances then stays within the limit without
    communication, even during a network partition.
    """

    def __init__(self, clock: Clock, settings: EdgeSettings):
        self._clock = clock
        self._settings = settings
        self._requests: dict[str, _SlidingWindow] = {}
        self._extra: dict[str, _SlidingWindow] = {}

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Applies changed limits; what was counted still counts."""
        self._settings = settings
        for table in (self._requests, self._extra):
            for window in table.values():
                window.span_ms = settings.resend_window_ms

    def record_request(self, service: str) -> None:
        """Counts a request from a caller."""
        self._get_window(self._requests, service).add()

    def try_spend(self, service: str, instances: int) -> bool:
        """Counts an extra send; returns False if the budget is exhausted."""
        if not self.has_budget(service, instances):
            return False
        self._get_window(self._extra, service).add()
        return True

    def has_budget(self, service: str, instances: int) -> bool:
        """Tells whether the budget allows another extra send."""
        settings = self._settings
        extra = self._get_window(self._extra, service)
        requests = self._get_window(self._requests, service).count()
        allowed = USED_SHARE * (
            settings.resend_share * requests
            + settings.resend_slack / max(1, instances)
        )
        return extra.count() + 1 <= allowed

    def _get_window(
        self, table: dict[str, _SlidingWindow], service: str
    ) -> _SlidingWindow:
        window = table.get(service)
        if window is None:
            window = _SlidingWindow(
                self._clock, self._settings.resend_window_ms
            )
            table[service] = window
        return window
