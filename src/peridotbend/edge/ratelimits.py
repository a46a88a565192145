"""Limits on the rate of requests that targets name in their answers."""

import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterable

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.rateshares import Division, RateShares
from peridotbend.edge.targets import EdgeTarget

# An answer without a limit lifts the last one only after this time: answers may
# overtake each other.
HOLD_MS = 1_000
# Bounds memory: targets that ended are not removed otherwise.
MAX_LIMITS = 1_024
# How many instances may send to a limited target: a fixed number, and more for
# a higher limit. Each may send one request at any time, so this bounds what
# arrives at once, whatever the size of the fleet.
MIN_SENDERS = 3
SENDERS_PER_LIMIT = 2.0
# Fraction of the limit that is used. The rest covers instances that do not know
# the same others.
USED_SHARE = 0.9
# Rate at which a target is tried that takes no requests at all, since only an
# answer tells that it does again.
MIN_RATE_PER_S = 0.1
# Limits in one digest; the others follow in the next ones.
MAX_DIGEST_LIMITS = 16
# Changes are repeated in all digests for this time, as datagrams get lost. It
# exceeds the longest interval between digests.
REPEAT_MS = 500
# Interval at which all limits are sent in turn.
REFRESH_INTERVAL_MS = 500
# Added to the age of what is reported. It exceeds the time that a report takes,
# so that reports which circulate never look newer than the answer behind them.
AGE_MARGIN_MS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """The limit of one target, as instances tell each other."""

    # Hash of the target's run.
    target: int
    # Requests a second from all instances; None after the limit was lifted.
    per_s: float | None
    # Time since an answer said so.
    age_ms: int


@dataclasses.dataclass(slots=True)
class _Limit:
    # None after the limit was lifted.
    per_s: float | None
    # When an answer last said so.
    heard_at_ms: int


class RateLimits:
    """The limits of targets that take fewer requests than they have slots for.

    A limit is the number of requests a second that a target takes from all
    instances together.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        own_host: str,
        list_other_hosts: Callable[[], Iterable[str]],
    ):
        self._clock = clock
        self._log = log
        self._shares = RateShares(
            clock, own_host, list_other_hosts, divide_limit
        )
        # By the hash of the target's run, the one that changed last at the end.
        # A target whose entry lapses for a while keeps its limit.
        self._limits: collections.OrderedDict[int, _Limit] = (
            collections.OrderedDict()
        )
        self._cursor = 0
        self._changed_at_ms = self._refreshed_at_ms = (
            clock.now_ms() - REFRESH_INTERVAL_MS - 1
        )

    def count_limited(self) -> int:
        """Returns how many targets name a limit."""
        return sum(limit.per_s is not None for limit in self._limits.values())

    def note_answer(self, target: EdgeTarget, per_s: float | None) -> None:
        """Records the limit that an answer named; None if it named none."""
        now_ms = self._clock.now_ms()
        limit = self._limits.get(target.run_hash)
        if per_s is None:
            if limit is None or limit.per_s is None:
                return
            if now_ms - limit.heard_at_ms > HOLD_MS:
                self._set(target.run_hash, None, now_ms)
                self._log.emit(Event.TARGET_LIMIT_LIFTED, target=target.name)
            return
        if limit is None or limit.per_s != per_s:
            self._log.emit(
                Event.TARGET_LIMIT_NAMED, target=target.name, per_s=per_s
            )
        self._set(target.run_hash, per_s, now_ms)

    def has_room(self, target: EdgeTarget) -> bool:
        """Tells whether this instance may send a request to a target now."""
        if not self._limits:
            return True
        limit = self._limits.get(target.run_hash)
        if limit is None or limit.per_s is None:
            return True
        return self._shares.has_room(target.run_hash, limit.per_s)

    def take(self, target: EdgeTarget) -> None:
        """Counts a request that this instance sends to a target."""
        if self._limits:
            self._shares.take(target.run_hash)

    def list_for_digest(self) -> tuple[NamedLimit, ...]:
        """Returns the limits that are due for the next digest."""
        now_ms = self._clock.now_ms()
        is_repeated = now_ms - self._changed_at_ms <= REPEAT_MS
        if not is_repeated:
            if now_ms - self._refreshed_at_ms < REFRESH_INTERVAL_MS:
                return ()
            self._refreshed_at_ms = now_ms
        start = self._cursor % len(self._limits) if self._limits else 0
        self._cursor = start + MAX_DIGEST_LIMITS
        return tuple(
            NamedLimit(
                target, limit.per_s, now_ms - limit.heard_at_ms + AGE_MARGIN_MS
            )
            for target, limit in itertools.islice(
                itertools.cycle(self._limits.items()),
                start,
                start + min(MAX_DIGEST_LIMITS, len(self._limits)),
            )
        )

    def merge(self, limits: Iterable[NamedLimit]) -> None:
        """Adopts what another instance heard later than this one."""
        now_ms = self._clock.now_ms()
        for named in limits:
            limit = self._limits.get(named.target)
            heard_at_ms = now_ms - named.age_ms
            if limit is None and named.per_s is None:
                continue
            if limit is None or heard_at_ms > limit.heard_at_ms:
                self._set(named.target, named.per_s, heard_at_ms)

    def dump(self) -> dict[str, object]:
        """Returns the state for operators, by the hash of the target's run."""
        return {
            f"{target:08x}": {
                "per_s": limit.per_s,
                "share_per_s": self._shares.find_part(target),
            }
            for target, limit in self._limits.items()
        }

    def _set(self, target: int, per_s: float | None, heard_at_ms: int) -> None:
        limit = self._limits.get(target)
        if limit is None:
            limit = self._limits[target] = _Limit(per_s, heard_at_ms)
            self._changed_at_ms = self._clock.now_ms()
        elif limit.per_s != per_s:
            if per_s is None:
                self._shares.forget(target)
            self._changed_at_ms = self._clock.now_ms()
        limit.per_s = per_s
        limit.heard_at_ms = heard_at_ms
        self._limits.move_to_end(target)
        if len(self._limits) > MAX_LIMITS:
            dropped, _ = self._limits.popitem(last=False)
            self._shares.forget(dropped)


def divide_limit(per_s: float, hosts: int) -> Division:
    """Divides a limit among the instances that may send to its target."""
    senders = int(min(hosts, MIN_SENDERS + SENDERS_PER_LIMIT * per_s))
    rate_per_s = max(MIN_RATE_PER_S, USED_SHARE * per_s)
    return Division(senders, rate_per_s / senders)
