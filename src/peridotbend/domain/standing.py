"""Weight of a target that has fallen behind, and its way back."""

MIN_WEIGHT = 1 / 8
PROBE_INTERVAL_MS = 1_000
MAX_PROBE_INTERVAL_MS = 16_000


class Standing:
    """Weight from 1 down to MIN_WEIGHT; probes bring it back."""

    __slots__ = ("_interval_ms", "_probe_after_ms", "_probe_key", "weight")

    def __init__(self) -> None:
        self.weight = 1.0
        self._probe_key: str | None = None
        self._probe_after_ms = 0
        self._interval_ms = PROBE_INTERVAL_MS

    @property
    def is_straggling(self) -> bool:
        """True until probes have brought back the whole weight."""
        return self.weight < 1.0

    def lower(self, now_ms: int) -> None:
        """Halves the weight at once and puts off the next probe."""
        self.weight = max(MIN_WEIGHT, self.weight / 2)
        if now_ms < self._probe_after_ms:
            # Requests that are late together put off the probe only once.
            return
        self._probe_after_ms = now_ms + self._interval_ms
        self._interval_ms = min(MAX_PROBE_INTERVAL_MS, self._interval_ms * 2)

    def may_probe(self, now_ms: int) -> bool:
        """True when no probe is under way and the next one is due."""
        return self._probe_key is None and now_ms >= self._probe_after_ms

    def start(self, key: str) -> None:
        """Makes a request the probe if the target needs one."""
        if self.is_straggling and self._probe_key is None:
            self._probe_key = key

    def succeed(self, key: str) -> None:
        """Doubles the weight if the request was the probe."""
        if self._probe_key == key:
            self.weight = min(1.0, self.weight * 2)
            self._interval_ms = PROBE_INTERVAL_MS

    def end(self, key: str) -> None:
        """Lets another request become the probe."""
        if self._probe_key == key:
            self._probe_key = None
