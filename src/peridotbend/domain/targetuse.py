"""Work that this process has, and may have, in flight at targets."""

import dataclasses
from collections import defaultdict
from typing import Protocol

from peridotbend.domain.clock import Clock
from peridotbend.domain.text import FleetConfig, Service, Target
from peridotbend.domain.windows import ShareTable, TargetWindow
from peridotbend.domain.work import WorkItem


class TargetView(Protocol):
    """Current state of targets and peers."""

    def is_available(self, target: Target) -> bool:
        """Tells whether a target is neither leaving nor known as failed."""
        ...

    def count_live_peers(self) -> int:
        """Counts live entry instances, this process included."""
        ...

    @property
    def zone(self) -> str:
        """The zone of this process."""
        ...


@dataclasses.dataclass(slots=True, eq=False)
class TargetUse:
    """Work that this process has in flight at one target."""

    window: TargetWindow
    grants: int = 0
    trials: int = 0
    in_flight_work: float = 0.0
    # The latest allowance; None before the first look-up.
    allowance: float | None = None
    work_by_tier: dict[int, float] = dataclasses.field(
        default_factory=lambda: defaultdict(float)
    )

    def add(self, item: WorkItem) -> None:
        """Adds a granted request."""
        self.grants += 1
        self.trials += item.on_trial
        self.work_by_tier[item.kind.tier] += item.work.units
        self.in_flight_work += item.work.units

    def remove(self, item: WorkItem) -> None:
        """Removes a request that has ended."""
        self.grants -= 1
        self.trials -= item.on_trial
        self.work_by_tier[item.kind.tier] -= item.work.units
        self.in_flight_work -= item.work.units
        if self.grants == 0:
            # Discards accumulated rounding errors.
            self.work_by_tier.clear()
            self.in_flight_work = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """Work that this process may have in flight at one target."""

    work: float
    # Lowest tier that the last division served; None when unknown.
    lowest_tier_served: int | None


class TargetUses:
    """Use of configured targets and of others with grants in flight."""

    def __init__(self, clock: Clock, view: TargetView):
        self._view = view
        self._listed: set[str] = set()
        self.by_name: dict[str, TargetUse] = {}
        self.shares = ShareTable(clock)

    def apply_config(self, config: FleetConfig) -> list[str]:
        """Applies a new configuration; returns the names of dropped targets.

        A target that was removed from the configuration is kept while grants
        are in flight there, so that its window is not exceeded when a later
        configuration lists it again.
        """
        self._listed = set()
        for service in config.services:
            for target in service.targets:
                self._add_listed(service, target)
        dropped = [n for n in self.by_name if not self._is_needed(n)]
        for name in dropped:
            del self.by_name[name]
            self.shares.drop(name)
        return dropped

    def release(self, target: Target, use: TargetUse, item: WorkItem) -> bool:
        """Removes a request; returns True if the target was dropped too."""
        use.remove(item)
        if self._is_needed(target.name):
            return False
        self.by_name.pop(target.name, None)
        self.shares.drop(target.name)
        return True

    def find_available(self, service: Service) -> list[Target]:
        """Returns the targets of a service that can take work."""
        return [t for t in service.targets if self.is_available(t)]

    def is_available(self, target: Target) -> bool:
        """Tells whether a target can take work."""
        return self._view.is_available(target)

    def find_allowance(self, name: str) -> Allowance:
        """Returns the work that this process may have in flight at a target."""
        use = self.by_name[name]
        peers = self._view.count_live_peers()
        work = self.shares.find_allowance(name, use.window.size, peers)
        use.allowance = work
        return Allowance(work, self.shares.find_lowest_tier((name,)))

    def dump(self) -> dict[str, object]:
        """Returns the window and the use of each target."""
        return {
            name: {
                "window": use.window.size,
                "in_flight_work": use.in_flight_work,
                "grants": use.grants,
                "listed": name in self._listed,
            }
            for name, use in self.by_name.items()
        }

    def _add_listed(self, service: Service, target: Target) -> None:
        if target.name in self._listed:
            # The first service that lists a shared target sets its window.
            return
        self._listed.add(target.name)
        use = self.by_name.get(target.name)
        if use is not None:
            use.window.set_bounds(service.min_window, service.max_window)
            return
        window = TargetWindow(
            service.initial_window, service.min_window, service.max_window
        )
        self.by_name[target.name] = TargetUse(window)

    def _is_needed(self, name: str) -> bool:
        use = self.by_name.get(name)
        return name in self._listed or (use is not None and use.grants > 0)
