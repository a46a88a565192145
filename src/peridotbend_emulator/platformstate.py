"""What the platform stand-in publishes, its lag and its call rate."""

import collections
import dataclasses
import enum
from typing import Any

from peridotbend.domain.clock import Clock

# The stale mode serves the text before the last one.
KEPT_TEXTS = 2
# Bounds the memory of a long run; readers see the oldest kept list at worst.
KEPT_LISTS = 1000


class Mode(enum.StrEnum):
    """How the platform behaves."""

    UP = "up"
    # Every call is refused, pending watches included.
    DOWN = "down"
    # Serves a text older than the last one.
    STALE = "stale"


class CallRate:
    """Token bucket that holds at most the calls of one second."""

    def __init__(self, clock: Clock, calls_per_s: int):
        self._clock = clock
        self._calls_per_s = calls_per_s
        self._tokens = float(calls_per_s)
        self._filled_at_ms = clock.now_ms()

    def take(self) -> bool:
        """Returns whether one more call is within the rate."""
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._filled_at_ms) * self._calls_per_s / 1000
        self._tokens = min(self._calls_per_s, self._tokens + gained)
        self._filled_at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedText:
    """A text and its version."""

    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceList:
    """One revision of the instance list."""

    revision: int
    changed_at_ms: int
    instances: dict[str, dict[str, Any]]


class PlatformState:
    """What the platform publishes, seen through its mode and its lag."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._texts: collections.deque[PublishedText] = collections.deque(
            maxlen=KEPT_TEXTS
        )
        first = InstanceList(0, clock.now_ms(), {})
        self._lists = collections.deque([first], maxlen=KEPT_LISTS)
        self.mode = Mode.UP
        self.lag_ms = 0

    def put_text(self, text: PublishedText) -> None:
        """Publishes a text."""
        self._texts.append(text)

    def find_text(self) -> PublishedText | None:
        """Returns the text that readers see."""
        if self.mode is Mode.STALE and len(self._texts) > 1:
            return self._texts[-2]
        return self._texts[-1] if self._texts else None

    def last_instances(self) -> dict[str, dict[str, Any]]:
        """Returns a copy of the list as it really is."""
        return dict(self._lists[-1].instances)

    def put_instances(self, instances: dict[str, dict[str, Any]]) -> int:
        """Changes the list; readers see it once the lag has passed."""
        revision = self._lists[-1].revision + 1
        self._lists.append(
            InstanceList(revision, self._clock.now_ms(), instances)
        )
        return revision

    def find_instances(self) -> InstanceList:
        """Returns the revision that readers see."""
        seen_ms = self._clock.now_ms() - self.lag_ms
        visible = [x for x in self._lists if x.changed_at_ms <= seen_ms]
        return visible[-1] if visible else self._lists[0]

    def next_visible_ms(self) -> int | None:
        """Returns the time until a further revision becomes visible."""
        seen_ms = self._clock.now_ms() - self.lag_ms
        coming = (x.changed_at_ms - seen_ms for x in self._lists)
        return next((ms for ms in coming if ms > 0), None)
