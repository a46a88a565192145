"""Bounds the extra sends that all instances together make."""

import collections

from peridotbend.domain.clock import Clock
from peridotbend.edge.settings import EdgeSettings

# Part of the allowed extra sends that is used; the rest covers requests that
# count later here than where they are measured.
USED_SHARE = 0.8


class _Window:
    """Counts events of the last span of time."""

    def __init__(self, clock: Clock, span_ms: int):
        self._clock = clock
        self._span_ms = span_ms
        self._times: collections.deque[int] = collections.deque()

    def add(self) -> None:
        self._times.append(self._clock.now_ms())

    def count(self) -> int:
        oldest_ms = self._clock.now_ms() - self._span_ms
        while self._times and self._times[0] <= oldest_ms:
            self._times.popleft()
        return len(self._times)


class SendBudget:
    """Extra sends by service within a sliding window.

    Each instance keeps to a share of its own requests plus its part of the
    fixed number. The sum over all instances then keeps the bound without any
    exchange, also while they are cut off from each other.
    """

    def __init__(self, clock: Clock, settings: EdgeSettings):
        self._clock = clock
        self._settings = settings
        self._requests: dict[str, _Window] = {}
        self._extra: dict[str, _Window] = {}

    def record_request(self, service: str) -> None:
        """Counts a request of a caller."""
        self._find(self._requests, service).add()

    def try_spend(self, service: str, instances: int) -> bool:
        """Takes one extra send; False means that the budget is used up."""
        if not self.has_room(service, instances):
            return False
        self._find(self._extra, service).add()
        return True

    def has_room(self, service: str, instances: int) -> bool:
        """Tells whether one extra send is allowed."""
        settings = self._settings
        extra = self._find(self._extra, service)
        requests = self._find(self._requests, service).count()
        allowed = USED_SHARE * (
            settings.resend_share * requests
            + settings.resend_slack / max(1, instances)
        )
        return extra.count() + 1 <= allowed

    def _find(self, table: dict[str, _Window], service: str) -> _Window:
        window = table.get(service)
        if window is None:
            window = _Window(self._clock, self._settings.resend_window_ms)
            table[service] = window
        return window
