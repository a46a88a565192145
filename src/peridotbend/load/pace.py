"""Limits for targets that have returned or are slow.

Load pattern: a target that has just started, recovered or slowed down, and is
either overloaded at once or left idle for too long.
"""

import collections
import dataclasses
import itertools
import math
from collections.abc import Callable
from typing import Protocol

import xxhash

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.load.ramp import FULL_SHARE, LOWER_FACTOR, Ramp

# Limit of a target that has just started, as a fraction of its slots: two
# requests at the 9 to 11 slots of the users' runners show its speed.
START_SHARE = 0.2
# Limit of one that was known a moment ago: its entry was gone for a while.
RETURN_SHARE = 0.5
# A target that started longer ago has been in service: its entry was away, or
# this instance. Clocks of machines differ by less.
NEW_MS = 10_000
# Signs of overload within a window or two, after which a target that was in
# service is limited. A lost answer now and then does not limit a target.
MIN_SIGNS = 8
WINDOW_MS = 1_000
# By what factor they exceed those of the other targets of the service. If all
# have them, the load or this instance is the cause.
OUTLIER_FACTOR = 3.0
# How many signs of an instance others count, so that one instance with a
# broken link does not limit targets everywhere.
MAX_REPORTED_SIGNS = 2
# Weight of the latest answer or sign in the share of signs at other targets.
SIGN_SMOOTHING = 0.05
# From this share on, the signs of single targets are not reported.
COMMON_SIGN_SHARE = 0.3
# Until the others know of a request; covers two rounds of digests.
REPORT_LAG_MS = 150
# Reports of others are applied at most this often: a choice looks at all
# targets, and waiting requests repeat it every 10 ms.
STEP_INTERVAL_MS = 20
# Time constant of the rate at which this instance sends.
RATE_TAU_MS = 2_000
# Targets that one call of `check` looks at, which bounds its time.
MAX_CHECKED = 64
# Bounds memory: targets that were removed, and may return.
MAX_REMOVED = 1_024


class SharedCounts(Protocol):
    """Counts by name, summed over all instances."""

    @property
    def has_reports(self) -> bool:
        """Whether counts of other instances are known."""
        ...

    def count(self, target: str) -> int:
        """Returns the sum over all instances."""
        ...

    def set_own(self, name: str, count: int) -> None:
        """Replaces the count of this instance."""
        ...


@dataclasses.dataclass(slots=True)
class _Record:
    name: str
    service: str
    started_at_ms: int
    # Own signs of overload without a limit; halved with each window.
    signs: int = 0
    halved_at_ms: int = 0
    ramp: Ramp | None = None
    # When the limit is next adapted.
    step_due_ms: int = 0
    # Since when others report; None while none does.
    reported_ms: int | None = -REPORT_LAG_MS
    # A number below 1 that is drawn for each period of `REPORT_LAG_MS`.
    turn: int = -1
    draw: float = 0.0

    # Names of the counts that instances share: signs of overload without a
    # limit; answers in time and signs of overload under a limit.
    signs_name: str = dataclasses.field(init=False)
    on_time_name: str = dataclasses.field(init=False)
    late_name: str = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.signs_name = f"{self.name}#overload"
        self.on_time_name = f"{self.name}#on-time"
        self.late_name = f"{self.name}#late"


@dataclasses.dataclass(slots=True)
class _Service:
    targets: dict[str, _Record] = dataclasses.field(default_factory=dict)
    ramping: int = 0
    # Share of the signs of overload among these and answers in time, at targets
    # without a limit.
    sign_share: float = 0.0
    # Own sends, each of which decays with `RATE_TAU_MS`.
    sends: float = 0.0
    sent_at_ms: int = 0


class TargetPaces:
    """The share of its slots that each target may use now.

    A target has a limit only while it ramps up: after its start or return, or
    when it shows more signs of overload than the others. The limit grows with
    first events in time and shrinks with signs of overload, both summed over
    all instances, so that all of them find about the same limit.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        counts: SharedCounts,
        instance: str,
        count_instances: Callable[[], int],
        is_generating: Callable[[str], bool],
    ):
        """Creates paces without any target.

        Args:
            clock: source of time.
            log: receives the begin and the end of each ramp.
            counts: requests in flight, and the evidence of all instances.
            instance: name of this instance.
            count_instances: returns how many there are.
            is_generating: tells whether a service consists of model runners.
                Other targets are not limited.
        """
        self._clock = clock
        self._log = log
        self._counts = counts
        self._instance = instance
        self._count_instances = count_instances
        self._is_generating = is_generating
        self._records: dict[str, _Record] = {}
        self._services: dict[str, _Service] = {}
        # When each removed target had started, the one removed last at the end.
        self._removed: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cursor = 0

    def note_listed(
        self, target: str, service: str, started_at_ms: int, fresh: bool
    ) -> None:
        """Records the entry of a target.

        Args:
            target: its name.
            service: the service to which it belongs.
            started_at_ms: Unix time of its start; 0 if unknown.
            fresh: whether it became known after this instance had started.
        """
        known = self._records.get(target)
        if known is not None and known.started_at_ms == started_at_ms:
            return
        was_known = self._removed.pop(target, None) == started_at_ms
        if known is not None:
            self._drop(known)
        record = _Record(target, service, started_at_ms)
        self._records[target] = record
        self._services.setdefault(service, _Service()).targets[target] = record
        age_ms = self._clock.wall_ms() - started_at_ms
        if age_ms < NEW_MS and not was_known:
            self._begin(record, START_SHARE, "start")
        elif fresh:
            self._begin(record, RETURN_SHARE, "return")

    def forget(self, target: str) -> None:
        """Drops a target that is no longer listed."""
        record = self._records.pop(target, None)
        if record is None:
            return
        self._drop(record)
        self._removed[target] = record.started_at_ms
        if len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)

    def note_sent(self, target: str) -> None:
        """Records that this instance sends a request to a target."""
        record = self._records.get(target)
        if record is not None:
            service = self._services[record.service]
            service.sends = self._find_sends(service) + 1
            service.sent_at_ms = self._clock.now_ms()

    def note_first_event(
        self, target: str, took_ms: int, objective_ms: int
    ) -> None:
        """Records the first event of a stream, `took_ms` after the send."""
        record = self._records.get(target)
        if record is None:
            return
        is_late = took_ms > objective_ms
        ramp = record.ramp
        if is_late:
            self._note_sign(record, took_ms)
        elif ramp is None:
            service = self._services[record.service]
            service.sign_share *= 1 - SIGN_SMOOTHING
        else:
            ramp.own_on_time += 1
            record.step_due_ms = 0
            self._counts.set_own(record.on_time_name, ramp.own_on_time)

    def note_pause(self, target: str, gap_ms: int, allowed_ms: int) -> None:
        """Records the time between two events; 0 allows any."""
        record = self._records.get(target)
        if record is not None and 0 < allowed_ms < gap_ms:
            self._note_sign(record, gap_ms)

    def note_failure(self, target: str, has_begun: bool) -> None:
        """Records a rejection, or a send that failed.

        A send that failed after it had begun may be the fault of its request,
        and instances avoid such targets anyway: it only lowers a limit.
        """
        record = self._records.get(target)
        if record is not None and not (has_begun and record.ramp is None):
            self._note_sign(record, 0)

    def find_limit(self, target: str, slots: int) -> float:
        """Returns how many requests all instances may have at a target now.

        Infinite if it is not limited. 0 while it is the turn of others: they do
        not know yet what this instance sends, so that the free places are
        offered to a part of them at a time.
        """
        record = self._records.get(target)
        if record is None or record.ramp is None:
            return math.inf
        if self._clock.now_ms() >= record.step_due_ms:
            self._step(record, record.ramp, slots)
        if record.ramp is None:
            return math.inf
        limit = max(1.0, self._find_share(record, record.ramp) * slots)
        instances = self._count_instances()
        if instances > 1 and not self._counts.has_reports:
            return limit / instances
        free = limit - self._counts.count(target)
        if free <= 0 or self._has_turn(record, free, instances):
            return limit
        return 0.0

    def check(self) -> None:
        """Applies reports of other instances; called several times a second."""
        if not self._records:
            return
        start = self._cursor % len(self._records)
        checked = min(MAX_CHECKED, len(self._records))
        self._cursor = start + checked
        records = itertools.islice(
            itertools.cycle(list(self._records.values())),
            start,
            start + checked,
        )
        now_ms = self._clock.now_ms()
        for record in list(records):
            self._halve_signs(record, now_ms)
            if record.ramp is None:
                self._check_outlier(record)

    def count(self) -> int:
        """Returns how many targets are limited."""
        return sum(service.ramping for service in self._services.values())

    def dump(self) -> dict[str, dict[str, object]]:
        """Returns the limits for operators, by the name of the target."""
        now_ms = self._clock.now_ms()
        return {
            record.name: {
                "share": round(self._find_share(record, record.ramp), 2),
                "since_ms": now_ms - record.ramp.since_ms,
            }
            for record in self._records.values()
            if record.ramp is not None
        }

    def _find_share(self, record: _Record, ramp: Ramp) -> float:
        """Returns the share of the slots that may be used.

        The more targets of a service are limited at once, the less each of them
        is: the others could not take what they leave. At least three quarters
        of the slots of a service remain.
        """
        service = self._services[record.service]
        return max(ramp.share, service.ramping / len(service.targets))

    def _has_turn(self, record: _Record, free: float, instances: int) -> bool:
        """Tells whether this instance may use the free places now.

        Args:
            record: the target.
            free: its free places, as far as is known.
            instances: number of instances.
        """
        service = self._services[record.service]
        sends = self._find_sends(service)
        per_period = sends * REPORT_LAG_MS / RATE_TAU_MS
        if service.ramping < len(service.targets):
            per_period = max(1.0, per_period)
        else:
            # No other target takes the requests of those without a turn.
            per_period += REPORT_LAG_MS / RATE_TAU_MS
        unreported = instances * per_period
        part = free * service.ramping / unreported
        if part >= 1.0 or instances == 1:
            return True
        turn = self._clock.now_ms() // REPORT_LAG_MS
        if turn != record.turn:
            record.turn = turn
            key = f"{self._instance}/{record.name}/{turn}"
            record.draw = xxhash.xxh32_intdigest(key.encode()) / 2**32
        return record.draw < part

    def _find_sends(self, service: _Service) -> float:
        age_ms = self._clock.now_ms() - service.sent_at_ms
        return service.sends * math.exp(-age_ms / RATE_TAU_MS)

    def _note_sign(self, record: _Record, took_ms: int) -> None:
        now_ms = self._clock.now_ms()
        ramp = record.ramp
        if ramp is not None:
            # Requests that were sent under the limit before tell nothing new.
            if now_ms - took_ms >= ramp.lowered_at_ms:
                ramp.own_signs += 1
                record.step_due_ms = 0
                self._counts.set_own(record.late_name, ramp.own_signs)
            return
        service = self._services[record.service]
        service.sign_share += SIGN_SMOOTHING * (1 - service.sign_share)
        self._halve_signs(record, now_ms)
        record.signs += 1
        self._report_signs(record)
        self._check_outlier(record)

    def _halve_signs(self, record: _Record, now_ms: int) -> None:
        if not record.signs:
            record.halved_at_ms = now_ms
        elif now_ms - record.halved_at_ms >= WINDOW_MS:
            record.signs //= 2
            record.halved_at_ms = now_ms
            self._report_signs(record)

    def _report_signs(self, record: _Record) -> None:
        service = self._services[record.service]
        reported = min(record.signs, MAX_REPORTED_SIGNS)
        if service.sign_share > COMMON_SIGN_SHARE:
            reported = 0
        self._counts.set_own(record.signs_name, reported)

    def _check_outlier(self, record: _Record) -> None:
        """Limits a target with more signs of overload than the others."""
        signs = self._count_signs(record)
        if signs < MIN_SIGNS:
            return
        others = [
            self._count_signs(other)
            for other in self._services[record.service].targets.values()
            if other is not record and other.ramp is None
        ]
        if others and signs < OUTLIER_FACTOR * sum(others) / len(others):
            return
        self._begin(record, FULL_SHARE * LOWER_FACTOR, "overload")

    def _count_signs(self, record: _Record) -> int:
        """Returns the signs of all instances, or own ones if they are more."""
        return max(record.signs, self._counts.count(record.signs_name))

    def _begin(self, record: _Record, share: float, cause: str) -> None:
        if not self._is_generating(record.service):
            return
        now_ms = self._clock.now_ms()
        record.ramp = Ramp(
            share,
            now_ms,
            seen_on_time=self._counts.count(record.on_time_name),
            seen_signs=self._counts.count(record.late_name),
        )
        self._services[record.service].ramping += 1
        self._log.emit(
            Event.TARGET_RAMP_BEGUN,
            target=record.name,
            service=record.service,
            cause=cause,
            share=round(share, 2),
        )

    def _end(self, record: _Record, ramp: Ramp) -> None:
        record.ramp = None
        record.signs = 0
        self._services[record.service].ramping -= 1
        self._clear_counts(record)
        self._log.emit(
            Event.TARGET_RAMP_ENDED,
            target=record.name,
            service=record.service,
            took_ms=self._clock.now_ms() - ramp.since_ms,
        )

    def _drop(self, record: _Record) -> None:
        if record.ramp is not None:
            self._end(record, record.ramp)
        self._clear_counts(record)
        del self._services[record.service].targets[record.name]

    def _clear_counts(self, record: _Record) -> None:
        self._counts.set_own(record.on_time_name, 0)
        self._counts.set_own(record.late_name, 0)
        self._counts.set_own(record.signs_name, 0)

    def _step(self, record: _Record, ramp: Ramp, slots: int) -> None:
        now_ms = self._clock.now_ms()
        record.step_due_ms = now_ms + STEP_INTERVAL_MS
        if self._counts.has_reports or self._count_instances() == 1:
            if record.reported_ms is None:
                record.reported_ms = now_ms
        else:
            record.reported_ms = None
        # After a cut, the reports of the others come back one after another.
        reported_ms = record.reported_ms
        is_complete = reported_ms is not None and (
            now_ms - reported_ms >= REPORT_LAG_MS
        )
        ramp.step(
            self._counts.count(record.on_time_name),
            self._counts.count(record.late_name),
            self._services[record.service].sign_share,
            slots,
            now_ms,
            is_complete,
        )
        if ramp.is_over(now_ms):
            self._end(record, ramp)
