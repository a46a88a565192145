"""Targets that fall over if they have to reject too many requests.

While its targets are brittle, the places of each are divided among the
instances: none of them is then full because two instances saw the same free
place. What an instance sends beyond its part may be rejected, so that it costs
a part of the rejections that the target survives. Counts of other instances
would be late by more than the time in which a target fills up.
"""

import bisect
import dataclasses
import itertools
from collections.abc import Callable, Iterable

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.hashes import hash_name
from peridotbend.edge.ratelimits import AGE_MARGIN_MS, NamedLimit
from peridotbend.edge.targets import EdgeTarget

# An answer that names no number ends a brittle time only this long after the
# last one that did: answers may overtake each other.
HOLD_MS = 1_000
# A service that no instance has heard of for this long is no longer brittle.
EXPIRY_MS = 4_000
# Interval at which brittle services are told to peers. An instance that sends
# little hears of them from others.
REPORT_INTERVAL_MS = 500
# Services in one digest, so that it fits into a packet.
MAX_REPORTED = 8
# Limit on the requests in flight at a runner, as a fraction of its slots. It is
# below 1 because a full batch slows down every stream in it, and because the
# counts reported by peers are about 50 ms old.
ENGINE_FILL = 0.9
OTHER_FILL = 1.0
# Fraction of the rejections that is used. The rest covers instances that do not
# know the same others.
USED_SHARE = 0.5
# An instance may be rejected once in this time for what it sends beyond its
# part.
REFILL_MS = 1_000
# After a rejection a target has less room than it says, so that for this time
# all requests count as beyond the part of the instance.
PROBATION_MS = 3_000
# Interval at which an instance finds its place among the others again.
SHARE_INTERVAL_MS = 500


@dataclasses.dataclass(slots=True)
class _BrittleService:
    # Rejections in a second that each target survives.
    max_rejections: float
    heard_at_ms: int
    # The name, or its hash if only peers have told of the service.
    label: str


@dataclasses.dataclass(slots=True)
class _TargetUse:
    # When this instance may send beyond its part again.
    may_borrow_at_ms: int = 0
    probation_until_ms: int = 0


class BrittleTargets:
    """What this instance may send to the targets of brittle services."""

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        own_host: str,
        list_other_hosts: Callable[[], Iterable[str]],
    ):
        self._clock = clock
        self._log = log
        self._own_host = own_host
        self._list_other_hosts = list_other_hosts
        # By the hash of the name, by which instances tell each other.
        self._services: dict[int, _BrittleService] = {}
        self._report_at_ms = 0
        # By the hash of the target's run; empty while nothing is brittle.
        self._uses: dict[int, _TargetUse] = {}
        # Number of instances, and the place of this one among them.
        self._instances = 1
        self._place = 0
        self._placed_at_ms: int | None = None

    def is_brittle(self, service: str) -> bool:
        """Tells whether the targets of a service are brittle."""
        return bool(self._services) and self._find(service) is not None

    def note_answer(
        self, target: EdgeTarget, max_rejections: float | None
    ) -> None:
        """Records the number that an answer named; None if it named none."""
        key = hash_name(target.service)
        now_ms = self._clock.now_ms()
        known = self._services.get(key)
        if max_rejections is not None:
            self._set(key, max_rejections, now_ms, target.service)
        elif known and now_ms - known.heard_at_ms > HOLD_MS:
            self._end(key)

    def list_for_digest(self) -> tuple[NamedLimit, ...]:
        """Returns the brittle services if they are due for the next digest."""
        now_ms = self._clock.now_ms()
        if now_ms < self._report_at_ms or not self._services:
            return ()
        self._report_at_ms = now_ms + REPORT_INTERVAL_MS
        return tuple(
            NamedLimit(
                key,
                service.max_rejections,
                now_ms - service.heard_at_ms + AGE_MARGIN_MS,
            )
            for key, service in itertools.islice(
                self._services.items(), MAX_REPORTED
            )
        )

    def merge(self, reports: Iterable[NamedLimit]) -> None:
        """Adopts what another instance heard later than this one."""
        now_ms = self._clock.now_ms()
        for report in reports:
            known = self._services.get(report.target)
            heard_at_ms = now_ms - report.age_ms
            if report.per_s is None or report.age_ms > EXPIRY_MS:
                continue
            if known is None or heard_at_ms > known.heard_at_ms:
                name = f"{report.target:08x}"
                self._set(report.target, report.per_s, heard_at_ms, name)

    def dump(self) -> dict[str, float]:
        """Returns the state for operators, by the hash of the service."""
        return {
            f"{key:08x}": service.max_rejections
            for key, service in self._services.items()
        }

    def _find(self, service: str) -> _BrittleService | None:
        key = hash_name(service)
        found = self._services.get(key)
        if found is None:
            return None
        if self._clock.now_ms() - found.heard_at_ms > EXPIRY_MS:
            self._end(key)
            return None
        return found

    def _set(
        self, key: int, max_rejections: float, heard_at_ms: int, label: str
    ) -> None:
        if key not in self._services:
            self._report_at_ms = 0
            self._log.emit(
                Event.SERVICE_BRITTLE,
                service=label,
                max_rejections=max_rejections,
            )
        self._services[key] = _BrittleService(
            max_rejections, heard_at_ms, label
        )

    def _end(self, key: int) -> None:
        service = self._services.pop(key)
        self._log.emit(Event.SERVICE_STEADY, service=service.label)
        if not self._services:
            self._uses.clear()

    def find_limit(self, target: EdgeTarget, is_generation: bool) -> float:
        """Returns how many requests all instances may have at a target."""
        fill = ENGINE_FILL if is_generation else OTHER_FILL
        return max(1.0, fill * target.slots)

    def has_room(
        self, target: EdgeTarget, own: int, is_generation: bool
    ) -> bool:
        """Tells whether this instance may send a request to a target now.

        Args:
            target: of a brittle service.
            own: requests of this instance in flight there.
            is_generation: whether it is a model runner.
        """
        if not self._is_beyond_part(target, own, is_generation):
            return True
        if self._find_place(target) >= self._count_borrowers(target.service):
            return False
        use = self._uses.get(target.run_hash)
        return use is None or use.may_borrow_at_ms <= self._clock.now_ms()

    def take(self, target: EdgeTarget, own: int, is_generation: bool) -> bool:
        """Counts a request that is sent; tells whether it was borrowed."""
        if not self._is_beyond_part(target, own, is_generation):
            return False
        # Until the answer shows that it was not rejected.
        now_ms = self._clock.now_ms()
        self._get_use(target).may_borrow_at_ms = now_ms + PROBATION_MS
        return True

    def give_back(self, target: EdgeTarget) -> None:
        """Records that a borrowed place was there."""
        use = self._uses.get(target.run_hash)
        if use is not None:
            use.may_borrow_at_ms = self._clock.now_ms()

    def note_rejection(self, target: EdgeTarget) -> None:
        """Records that a target had no room."""
        if not self.is_brittle(target.service):
            return
        use = self._get_use(target)
        now_ms = self._clock.now_ms()
        use.probation_until_ms = now_ms + PROBATION_MS
        use.may_borrow_at_ms = now_ms + REFILL_MS

    def _is_beyond_part(
        self, target: EdgeTarget, own: int, is_generation: bool
    ) -> bool:
        use = self._uses.get(target.run_hash)
        if use is not None and use.probation_until_ms > self._clock.now_ms():
            return True
        places = int(self.find_limit(target, is_generation))
        place = self._find_place(target)
        part, rest = divmod(places, self._instances)
        return own >= part + (place < rest)

    def _count_borrowers(self, service: str) -> int:
        """Returns how many instances may send beyond their part."""
        found = self._find(service)
        return int(USED_SHARE * found.max_rejections) if found else 0

    def _find_place(self, target: EdgeTarget) -> int:
        """Returns the place of this instance among those of a target.

        The places rotate from target to target, so that each instance has
        about the same part of all of them.
        """
        now_ms = self._clock.now_ms()
        last_ms = self._placed_at_ms
        if last_ms is None or now_ms - last_ms >= SHARE_INTERVAL_MS:
            self._placed_at_ms = now_ms
            others = sorted(self._list_other_hosts())
            self._instances = 1 + len(others)
            self._place = bisect.bisect(others, self._own_host)
        return (self._place + target.run_hash) % self._instances

    def _get_use(self, target: EdgeTarget) -> _TargetUse:
        return self._uses.setdefault(target.run_hash, _TargetUse())
