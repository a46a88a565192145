"""The text in force: accepts only greater versions."""

import dataclasses
import enum
from collections import deque
from collections.abc import Callable

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.domain.text import FleetText

# 11,000 changes a day are one in 8 s; a peer rarely lags by more than one.
MAX_PAST_TEXTS = 3


class OfferOutcome(enum.Enum):
    """What became of an offered text."""

    ACCEPTED = "accepted"
    OLDER = "older"
    SAME = "same"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class TextConflict:
    """Two different texts that carry the same version."""

    version: int
    kept_digest: bytes
    refused_digest: bytes


class TextStore:
    """Holds the text in force, whose version only grows."""

    def __init__(self, clock: Clock, log: EventLog):
        self._clock = clock
        self._log = log
        self._text: FleetText | None = None
        self._accepted_at_ms: int | None = None
        self._conflict: TextConflict | None = None
        # Replaced texts, from which peers that lag take differences.
        self._past: deque[FleetText] = deque(maxlen=MAX_PAST_TEXTS)
        self._callbacks: list[Callable[[FleetText], None]] = []

    def offer(self, text: FleetText) -> OfferOutcome:
        """Puts the text in force if its version is greater."""
        current = self._text
        if current is not None and text.version < current.version:
            return OfferOutcome.OLDER
        if current is not None and text.version == current.version:
            return self._compare(current, text)
        if current is not None:
            self._past.append(current)
        self._text = text
        self._accepted_at_ms = self._clock.now_ms()
        self._conflict = None
        self._log.emit(
            Event.TEXT_ACCEPTED,
            version=text.version,
            digest=text.digest.hex()[:16],
        )
        for callback in self._callbacks:
            callback(text)
        return OfferOutcome.ACCEPTED

    @property
    def current(self) -> FleetText | None:
        """The text in force, or None before the first one."""
        return self._text

    @property
    def version(self) -> int:
        """The version in force, or -1 before the first text."""
        return -1 if self._text is None else self._text.version

    def find_past(self, version: int, digest: bytes) -> FleetText | None:
        """Returns a text that was in force lately."""
        for text in self._past:
            if text.version == version and text.digest == digest:
                return text
        return None

    @property
    def accepted_at_ms(self) -> int | None:
        """When the text in force was accepted."""
        return self._accepted_at_ms

    @property
    def conflict(self) -> TextConflict | None:
        """The last conflict with the version in force."""
        return self._conflict

    def subscribe(self, callback: Callable[[FleetText], None]) -> None:
        """Calls `callback` with every text that is accepted from now on."""
        self._callbacks.append(callback)

    def note_digest(self, version: int, digest: bytes) -> None:
        """Records a conflict that a peer's digest of its text shows."""
        current = self._text
        if current and version == current.version and digest != current.digest:
            self._record_conflict(current, digest)

    def _compare(self, current: FleetText, text: FleetText) -> OfferOutcome:
        if current.digest == text.digest:
            return OfferOutcome.SAME
        self._record_conflict(current, text.digest)
        return OfferOutcome.CONFLICT

    def _record_conflict(self, current: FleetText, refused: bytes) -> None:
        conflict = TextConflict(current.version, current.digest, refused)
        # Peers repeat their digest every 200 ms; one line is enough.
        if conflict == self._conflict:
            return
        self._conflict = conflict
        self._log.emit(
            Event.TEXT_CONFLICT,
            version=current.version,
            kept=current.digest.hex()[:16],
            refused=refused.hex()[:16],
        )
