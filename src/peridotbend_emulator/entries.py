"""What the entries of all policies have in common."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.events import Event
from peridotbend.domain.text import Service
from peridotbend.domain.verdicts import Verdict
from peridotbend_emulator.runners import (
    BROKEN,
    LATE,
    ON_TIME,
    Call,
    CallEnd,
    Runner,
    Trace,
)
from peridotbend_emulator.workload import User, load_fleet_text

ENTRIES = 8
# Time between two looks at the load reports.
POLL_S = 1.0


class NoLog:
    """Event log and meter that keep nothing."""

    def emit(self, event: Event, **fields: object) -> None:
        """Drops an event."""

    def count_verdict(self, service: str, tier: str, verdict: Verdict) -> None:
        """Drops a count."""

    def count_goodput(self, service: str, tier: str) -> None:
        """Drops a count."""

    def count_shed(self, service: str, tier: str) -> None:
        """Drops a count."""

    def count_wasted_prefill(self, service: str, tokens: int) -> None:
        """Drops a count."""

    def observe_queue_wait(self, tier: str, wait_ms: int) -> None:
        """Drops a measurement."""


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """What every entry of a policy is given."""

    clock: ManualClock
    user: User
    runners: dict[str, Runner]
    seed: int

    @property
    def service(self) -> Service:
        """The service of the runners."""
        return load_fleet_text(self.user).services[0]


class PolicyEntry(Protocol):
    """One entry instance or proxy."""

    def start(self, start: Callable[..., None]) -> None:
        """Starts the periodic tasks."""
        ...

    async def serve(self, trace: Trace, key: str) -> None:
        """Runs a request to its end and sets the outcome of the trace."""
        ...

    def has_lower_waiting(self, tier: int) -> bool:
        """Tells whether a request of a lower tier waits here."""
        ...


def finish_call(world: World, trace: Trace, end: CallEnd) -> None:
    """Notes how a call to a runner ended."""
    trace.ended_at_ms = world.clock.now_ms()
    trace.computed_tokens += end.prefill_tokens
    if not end.is_complete:
        trace.failed_attempt_tokens += end.prefill_tokens
        trace.outcome = BROKEN
    elif trace.ended_at_ms <= trace.deadline_at_ms:
        trace.outcome = ON_TIME
    else:
        trace.outcome = LATE


async def wait_first(world: World, trace: Trace, call: Call) -> bool:
    """Waits for the first token; False when the call broke before it."""
    came = await call.first_token
    if came and trace.first_token_at_ms is None:
        trace.first_token_at_ms = world.clock.now_ms()
    return came
