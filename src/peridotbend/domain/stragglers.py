"""Reduced routing weight of a slow or failing target, and its recovery."""

MIN_WEIGHT = 1 / 8
PROBE_INTERVAL_MS = 1_000
MAX_PROBE_INTERVAL_MS = 16_000


class StragglerState:
    """Routing weight of a target, from 1 down to MIN_WEIGHT.

    Slow requests and failures halve the weight. Once it is below 1, a request
    that serves as a probe doubles it on success.
    """

    __slots__ = ("_interval_ms", "_probe_after_ms", "_probe_key", "weight")

    def __init__(self) -> None:
        self.weight = 1.0
        self._probe_key: str | None = None
        self._probe_after_ms = 0
        self._interval_ms = PROBE_INTERVAL_MS

    @property
    def is_straggling(self) -> bool:
        """True until successful probes have restored the full weight."""
        return self.weight < 1.0

    def lower_weight(self, now_ms: int) -> None:
        """Halves the weight and postpones the next probe."""
        self.weight = max(MIN_WEIGHT, self.weight / 2)
        if now_ms < self._probe_after_ms:
            # Several requests that are late at once postpone the probe once.
            return
        self._probe_after_ms = now_ms + self._interval_ms
        self._interval_ms = min(MAX_PROBE_INTERVAL_MS, self._interval_ms * 2)

    def may_probe(self, now_ms: int) -> bool:
        """True when no probe is in flight and the next one is due."""
        return self._probe_key is None and now_ms >= self._probe_after_ms

    def start_probe(self, key: str) -> None:
        """Marks a request as the probe if the target needs one."""
        if self.is_straggling and self._probe_key is None:
            self._probe_key = key

    def record_success(self, key: str) -> None:
        """Doubles the weight if the request was the probe."""
        if self._probe_key == key:
            self.weight = min(1.0, self.weight * 2)
            self._interval_ms = PROBE_INTERVAL_MS

    def end_probe(self, key: str) -> None:
        """Ends the probe, so that another request can become one."""
        if self._probe_key == key:
            self._probe_key = None
