"""Published texts, instance lists and rate limit of the platform stand-in."""

import collections
import dataclasses
import enum
from typing import Any

from peridotbend.domain.clock import Clock

# The stale mode serves the text before the latest one.
MAX_KEPT_TEXTS = 2
# Bounds the memory of a long run. If the lag reaches back further, readers get
# the oldest kept list.
MAX_KEPT_LISTS = 1000


class Mode(enum.StrEnum):
    """Availability of the platform."""

    UP = "up"
    # Every call is refused, including pending long polls.
    DOWN = "down"
    # Serves the text before the latest one.
    STALE = "stale"


class TokenBucket:
    """Token bucket with a capacity of one second of calls."""

    def __init__(self, clock: Clock, calls_per_s: int):
        self._clock = clock
        self._calls_per_s = calls_per_s
        self._tokens = float(calls_per_s)
        self._refilled_at_ms = clock.now_ms()

    def try_acquire(self) -> bool:
        """Takes a token; returns False if none is left."""
        now_ms = self._clock.now_ms()
        refilled = (now_ms - self._refilled_at_ms) * self._calls_per_s / 1000
        self._tokens = min(self._calls_per_s, self._tokens + refilled)
        self._refilled_at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedText:
    """A configuration text and its version."""

    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceList:
    """One revision of the instance list."""

    revision: int
    changed_at_ms: int
    instances: dict[str, dict[str, Any]]


class PlatformState:
    """Published data; the mode and the lag decide what readers get."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._texts: collections.deque[PublishedText] = collections.deque(
            maxlen=MAX_KEPT_TEXTS
        )
        initial = InstanceList(0, clock.now_ms(), {})
        self._lists = collections.deque([initial], maxlen=MAX_KEPT_LISTS)
        self.mode = Mode.UP
        self.lag_ms = 0

    def put_text(self, text: PublishedText) -> None:
        """Publishes a configuration text."""
        self._texts.append(text)

    def get_visible_text(self) -> PublishedText | None:
        """Returns the text that readers get in the current mode."""
        if self.mode is Mode.STALE and len(self._texts) > 1:
            return self._texts[-2]
        return self._texts[-1] if self._texts else None

    def copy_current_instances(self) -> dict[str, dict[str, Any]]:
        """Returns a copy of the latest list, regardless of the lag."""
        return dict(self._lists[-1].instances)

    def put_instances(self, instances: dict[str, dict[str, Any]]) -> int:
        """Publishes a list, which readers get after the lag."""
        revision = self._lists[-1].revision + 1
        self._lists.append(
            InstanceList(revision, self._clock.now_ms(), instances)
        )
        return revision

    def get_visible_list(self) -> InstanceList:
        """Returns the list that readers get after the lag."""
        visible_before_ms = self._clock.now_ms() - self.lag_ms
        visible = [
            x for x in self._lists if x.changed_at_ms <= visible_before_ms
        ]
        return visible[-1] if visible else self._lists[0]

    def find_next_change_ms(self) -> int | None:
        """Returns the time until the next revision is visible, or None."""
        visible_before_ms = self._clock.now_ms() - self.lag_ms
        delays_ms = (x.changed_at_ms - visible_before_ms for x in self._lists)
        return next((ms for ms in delays_ms if ms > 0), None)
