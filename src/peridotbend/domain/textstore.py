"""Holds the current configuration and accepts only newer versions."""

import dataclasses
import enum
from collections import deque
from collections.abc import Callable

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.domain.text import FleetConfig

# At 11,000 changes a day there is one every 8 s, so a peer rarely lags by more
# than one version.
MAX_PAST_CONFIGS = 3


class OfferOutcome(enum.Enum):
    """What `ConfigStore.offer` did with a configuration."""

    ACCEPTED = "accepted"
    OLDER = "older"
    SAME = "same"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigConflict:
    """Two different configurations with the same version."""

    version: int
    kept_digest: bytes
    refused_digest: bytes


class ConfigStore:
    """Holds the current configuration, whose version only increases."""

    def __init__(self, clock: Clock, log: EventLog):
        self._clock = clock
        self._log = log
        self._config: FleetConfig | None = None
        self._accepted_at_ms: int | None = None
        self._conflict: ConfigConflict | None = None
        # Previous configurations, to send deltas to peers that have them.
        self._past_configs: deque[FleetConfig] = deque(maxlen=MAX_PAST_CONFIGS)
        self._callbacks: list[Callable[[FleetConfig], None]] = []

    def offer(self, config: FleetConfig) -> OfferOutcome:
        """Accepts a configuration whose version is greater than the current."""
        current = self._config
        if current is not None and config.version < current.version:
            return OfferOutcome.OLDER
        if current is not None and config.version == current.version:
            return self._compare(current, config)
        if current is not None:
            self._past_configs.append(current)
        self._config = config
        self._accepted_at_ms = self._clock.now_ms()
        self._conflict = None
        self._log.emit(
            Event.TEXT_ACCEPTED,
            version=config.version,
            digest=config.digest.hex()[:16],
        )
        for callback in self._callbacks:
            callback(config)
        return OfferOutcome.ACCEPTED

    @property
    def current(self) -> FleetConfig | None:
        """The current configuration, or None before the first."""
        return self._config

    @property
    def version(self) -> int:
        """The current version, or -1 before the first configuration."""
        return -1 if self._config is None else self._config.version

    def find_past(self, version: int, digest: bytes) -> FleetConfig | None:
        """Returns a recently replaced configuration, or None."""
        for config in self._past_configs:
            if config.version == version and config.digest == digest:
                return config
        return None

    @property
    def accepted_at_ms(self) -> int | None:
        """When the current configuration was accepted."""
        return self._accepted_at_ms

    @property
    def conflict(self) -> ConfigConflict | None:
        """The last conflict with the current version."""
        return self._conflict

    def subscribe(self, callback: Callable[[FleetConfig], None]) -> None:
        """Calls `callback` with each configuration accepted from now on."""
        self._callbacks.append(callback)

    def check_peer_digest(self, version: int, digest: bytes) -> None:
        """Records a conflict if a peer has another digest for this version."""
        current = self._config
        if current and version == current.version and digest != current.digest:
            self._record_conflict(current, digest)

    def _compare(
        self, current: FleetConfig, config: FleetConfig
    ) -> OfferOutcome:
        if current.digest == config.digest:
            return OfferOutcome.SAME
        self._record_conflict(current, config.digest)
        return OfferOutcome.CONFLICT

    def _record_conflict(self, current: FleetConfig, refused: bytes) -> None:
        conflict = ConfigConflict(current.version, current.digest, refused)
        # Peers resend their digest every 200 ms; log a conflict only once.
        if conflict == self._conflict:
            return
        self._conflict = conflict
        self._log.emit(
            Event.TEXT_CONFLICT,
            version=current.version,
            kept=current.digest.hex()[:16],
            refused=refused.hex()[:16],
        )
