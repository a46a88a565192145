"""Targets that are cold, and how many requests all instances send them."""

import dataclasses
import math
from collections.abc import Callable, Iterable

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.config import Service
from peridotbend.edge.rateshares import Division, RateShares
from peridotbend.edge.settings import EdgeSettings
from peridotbend.edge.targets import EdgeTarget

# A permit is good for this time, in which a connection is found or made.
PERMIT_MS = 200
# Permits within this window are bounded. It exceeds the users' window, which is
# any second, by the time from a permit to the send, and by rounding.
WINDOW_MS = 1_000 + PERMIT_MS + 50
# Fraction of the bound that is used. The rest covers instances that do not know
# the same others.
USED_SHARE = 0.9
# The bound is divided by this number at least. The instances of a small fleet
# then keep to it even while they do not know each other.
MIN_DIVISOR = 8
# Interval at which targets are removed that nobody asked about since they were
# cold.
PRUNE_INTERVAL_MS = 10_000


@dataclasses.dataclass(slots=True)
class Permit:
    """Allows one request to a cold target."""

    expires_at_ms: int
    is_used: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """What bounds in sum need to know of the other instances."""

    # Returns the hosts of all that may still run, reachable or not.
    list_hosts: Callable[[], Iterable[str]]
    # Tells whether they were all known at any time.
    is_known: Callable[[], bool]
    # Tells whether news of targets reach this instance.
    is_informed: Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class _ColdTime:
    started_at_ms: int
    until_ms: int
    # Requests sent before the target was known to be cold count as well, so
    # that nothing is sent for a window after one that was warm became cold.
    quiet_until_ms: int


class ColdTargets:
    """The cold targets and the part of this instance in what they may get.

    The bound is one on the requests in any second, of all instances together,
    whether they are connected or not. Senders and parts are those of
    `RateShares` over all instances that may still run. An instance that does
    not know the others yet sends nothing to cold targets, and one that has no
    news of targets takes all for cold.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        settings: EdgeSettings,
        fleet: FleetView,
    ):
        self._clock = clock
        self._log = log
        self._fleet = fleet
        self._settings = settings
        self._services: tuple[Service, ...] = ()
        # How long targets stay cold after their start, by service.
        self._start_times_ms: dict[str, int] = {}
        # By the name of the service; empty if nothing is bounded.
        self._bounds: dict[str, float] = {}
        self._informed_at_ms: int | None = None
        self._was_informed = True
        # By the name of the target.
        self._cold: dict[str, _ColdTime] = {}
        self._pruned_at_ms = clock.now_ms()
        # What was logged last of entries that do not tell, by target.
        self._problems: dict[str, str] = {}
        self._shares = RateShares(
            clock, settings.peers[0], fleet.list_hosts, divide_bound
        )

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Applies changed bounds."""
        self._settings = settings
        self._find_bounds()

    def apply_services(self, services: tuple[Service, ...]) -> None:
        """Applies the services of a new configuration."""
        self._services = services
        self._start_times_ms = {
            service.name: service.cold_start_ms for service in services
        }
        self._find_bounds()

    def note_entry(
        self, target: EdgeTarget, previous: EdgeTarget | None
    ) -> None:
        """Records what the entry of a target says.

        Args:
            target: as listed now.
            previous: as listed before; None if it is new.
        """
        if target.cold_left_ms is None:
            self._log_problem(target)
            return
        self._problems.pop(target.name, None)
        known = self._find(target)
        if not target.cold_left_ms:
            if known is not None:
                self._end(target.name)
            return
        now_ms = self._clock.now_ms()
        self._prune(now_ms)
        quiet_until_ms = now_ms
        is_same_run = (
            previous is not None
            and previous.started_at_ms == target.started_at_ms
        )
        if known is not None and known.started_at_ms == target.started_at_ms:
            quiet_until_ms = known.quiet_until_ms
        else:
            self._log_cold(target, target.cold_left_ms)
            if is_same_run:
                quiet_until_ms += WINDOW_MS
        self._cold[target.name] = _ColdTime(
            target.started_at_ms,
            now_ms + target.cold_left_ms,
            quiet_until_ms,
        )

    def note_ended(self, target: EdgeTarget) -> None:
        """Records that nothing listens at the address of a target.

        If it starts again under its name, it is cold before its entry says so.
        """
        start_ms = self._start_times_ms.get(target.service, 0)
        if not start_ms:
            return
        now_ms = self._clock.now_ms()
        known = self._find(target)
        if known is None:
            self._log_cold(target, start_ms)
            known = _ColdTime(target.started_at_ms, now_ms, now_ms)
        self._cold[target.name] = dataclasses.replace(
            known, until_ms=max(known.until_ms, now_ms + start_ms)
        )

    def note_removed(self, name: str) -> None:
        """Records that a target is not listed.

        Its entry may only have expired, so that its cold time goes on.
        """
        self._problems.pop(name, None)

    def has_room(self, target: EdgeTarget) -> bool:
        """Tells whether this instance may send a request to a target now."""
        if not self._bounds:
            return True
        if target.name not in self._cold and self._is_informed():
            return True
        bound = self._find_bound(target)
        if bound is None:
            return True
        if not self._fleet.is_known():
            return False
        cold = self._cold.get(target.name)
        if cold is not None and self._clock.now_ms() < cold.quiet_until_ms:
            return False
        return self._shares.has_room(target.run_hash, bound)

    def take(self, target: EdgeTarget) -> Permit | None:
        """Counts a request to a target; None if the target is not bounded."""
        if self._find_bound(target) is None:
            return None
        self._shares.take(target.run_hash)
        return Permit(self._clock.now_ms() + PERMIT_MS)

    def may_write(self, target: EdgeTarget, permit: Permit | None) -> bool:
        """Tells whether a request may be written now; uses up its permit.

        A target may have become cold since the request was placed there, the
        permit may have run out, or the request is written again.
        """
        if self._find_bound(target) is None:
            return True
        if permit is not None and not permit.is_used:
            permit.is_used = True
            if self._clock.now_ms() <= permit.expires_at_ms:
                return True
        if not self.has_room(target):
            return False
        self._shares.take(target.run_hash)
        return True

    def count(self) -> int:
        """Returns how many targets are cold."""
        now_ms = self._clock.now_ms()
        return sum(cold.until_ms > now_ms for cold in self._cold.values())

    def dump(self) -> dict[str, dict[str, object]]:
        """Returns the state for operators, by the name of the target."""
        now_ms = self._clock.now_ms()
        return {
            name: {"left_ms": cold.until_ms - now_ms}
            for name, cold in self._cold.items()
            if cold.until_ms > now_ms
        }

    def _find_bounds(self) -> None:
        overage = self._settings.cold_overage
        self._bounds = {}
        if overage is None:
            return
        slack = self._settings.cold_slack
        for service in self._services:
            if service.cold_per_s is not None:
                bound = service.cold_per_s * overage + slack
                self._bounds[service.name] = bound

    def _find_bound(self, target: EdgeTarget) -> float | None:
        """Returns the bound of a target; None if it has none now."""
        bound = self._bounds.get(target.service) if self._bounds else None
        if bound is None:
            return None
        if self._find(target) is None and self._is_informed():
            return None
        return bound

    def _is_informed(self) -> bool:
        """Tells whether news arrive; asked once for all targets of a choice."""
        now_ms = self._clock.now_ms()
        if now_ms != self._informed_at_ms:
            self._informed_at_ms = now_ms
            self._was_informed = self._fleet.is_informed()
        return self._was_informed

    def _find(self, target: EdgeTarget) -> _ColdTime | None:
        cold = self._cold.get(target.name)
        if cold is not None and self._clock.now_ms() >= cold.until_ms:
            self._end(target.name)
            self._shares.forget(target.run_hash)
            return None
        return cold

    def _prune(self, now_ms: int) -> None:
        if now_ms - self._pruned_at_ms < PRUNE_INTERVAL_MS:
            return
        self._pruned_at_ms = now_ms
        for name, cold in list(self._cold.items()):
            if now_ms >= cold.until_ms:
                self._end(name)

    def _end(self, name: str) -> None:
        del self._cold[name]
        self._log.emit(Event.TARGET_WARM, target=name)

    def _log_cold(self, target: EdgeTarget, left_ms: int) -> None:
        self._log.emit(
            Event.TARGET_COLD,
            target=target.name,
            service=target.service,
            left_ms=left_ms,
            bound=self._bounds.get(target.service),
        )

    def _log_problem(self, target: EdgeTarget) -> None:
        problem = target.cold_problem
        if problem and self._problems.get(target.name) != problem:
            self._problems[target.name] = problem
            self._log.emit(
                Event.ENTRY_FIELD_IGNORED, target=target.name, problem=problem
            )


def divide_bound(bound: float, hosts: int) -> Division:
    """Divides a bound on requests in a second among the instances."""
    permits = math.floor(USED_SHARE * bound)
    each = max(1, permits // max(hosts, MIN_DIVISOR))
    return Division(min(hosts, permits), each * 1_000 / WINDOW_MS)
