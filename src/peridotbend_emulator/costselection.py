"""Measures the choice of a target at the design size, without a network."""

import time

from peridotbend.domain.clock import SystemClock
from peridotbend.domain.events import Event
from peridotbend.edge.brittle import BrittleTargets
from peridotbend.edge.coldtargets import ColdTargets, FleetView
from peridotbend.edge.config import Service
from peridotbend.edge.health import TargetHealth
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.ratelimits import RateLimits
from peridotbend.edge.selection import Selector, TargetCriteria
from peridotbend.edge.settings import EdgeSettings
from peridotbend.edge.targetpauses import TargetPauses
from peridotbend.edge.targets import EdgeTarget, TargetList
from peridotbend_emulator.costcontrol import RUNNER_COUNT
from peridotbend_emulator.costrun import Measurements, summarize_samples

# The size to design for: 720 instances.
OTHER_HOSTS = tuple(f"10.1.{n // 250}.{n % 250}" for n in range(719))
ZONES = 9
# One of so many targets is cold.
COLD_EVERY = 3
COLD_LEFT_MS = 600_000
CHOICES = 20
CRITERIA = TargetCriteria("engine", True, (0, 1), session="session")
_HOST = "10.9.0.1"
_SETTINGS = EdgeSettings(
    name="cost",
    zone="zone-0",
    callers=(_HOST, 1),
    health=(_HOST, 2),
    peers=(_HOST, 3),
    digests=(_HOST, 4),
    origins=(_HOST, 5),
    seeds=(),
    store=(_HOST, 6),
    heartbeat_ms=1_200,
    grace_ms=8_000,
    resend_share=0.2,
    resend_slack=56.0,
    resend_window_ms=10_000,
    allowance_window_ms=8_000,
    allowance_overage=0.25,
    allowance_slack=140_000.0,
    cold_overage=1.5,
    cold_slack=5.0,
)


class _NullLog:
    """Drops log events."""

    def emit(self, event: Event, **fields: object) -> None:
        """Drops an event."""


class _Choice:
    """The selector of one instance, with targets some of which are cold."""

    def __init__(self, has_cold: bool):
        clock, log = SystemClock(), _NullLog()
        self._targets = TargetList(clock)
        cold = ColdTargets(
            clock,
            log,
            _SETTINGS,
            FleetView(lambda: OTHER_HOSTS, lambda: True, lambda: True),
        )
        cold.apply_services((Service("engine", 12.0),))
        for number in range(RUNNER_COUNT):
            is_cold = has_cold and number % COLD_EVERY == 0
            target = EdgeTarget(
                name=f"i-{number:08x}",
                service="engine",
                host="10.2.0.1",
                port=8_000,
                zone=f"zone-{number % ZONES}",
                slots=10,
                is_leaving=False,
                started_at_ms=number + 1,
                cold_left_ms=COLD_LEFT_MS if is_cold else 0,
            )
            cold.note_entry(target, None)
            self._targets.put(target)
        self._selector = Selector(
            _SETTINGS.zone,
            Occupancy(clock),
            TargetHealth(clock),
            RateLimits(clock, log, _HOST, lambda: OTHER_HOSTS),
            BrittleTargets(clock, log, _HOST, lambda: OTHER_HOSTS),
            cold,
            TargetPauses(clock),
        )

    def time_us(self, choices: int) -> float:
        """Returns the microseconds of one choice, as a mean over some."""
        start_s = time.process_time()
        for _ in range(choices):
            targets = self._targets.list_for("engine")
            assert self._selector.choose(CRITERIA, targets) is not None
        return (time.process_time() - start_s) / choices * 1e6


def measure_selection(repeats: int) -> Measurements:
    """Measures a choice among all targets, with and without cold ones."""
    warm = _Choice(has_cold=False)
    warm.time_us(1)
    warm_us = [warm.time_us(CHOICES) for _ in range(repeats)]
    first_us = []
    cold_us = []
    for _ in range(repeats):
        choice = _Choice(has_cold=True)
        first_us.append(choice.time_us(1))
        cold_us.append(choice.time_us(CHOICES))
    label = f"{RUNNER_COUNT} targets"
    some = f"{label}, a third cold"
    return {
        f"processor time of a choice, {label} (us)": summarize_samples(warm_us),
        f"processor time of a choice, {some} (us)": summarize_samples(cold_us),
        f"processor time of the first choice, {some} (us)": summarize_samples(
            first_us
        ),
    }
