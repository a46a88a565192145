"""Interface and helpers shared by the entry instances of all policies."""

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

ENTRY_COUNT = 8
LOAD_POLL_INTERVAL_S = 1.0


class NullTelemetry:
    """Event log and metrics recorder that discard everything."""

    def emit(self, event: Event, **fields: object) -> None:
        """Discards an event."""

    def count_verdict(self, service: str, tier: str, verdict: Verdict) -> None:
        """Discards a count."""

    def count_goodput(self, service: str, tier: str) -> None:
        """Discards a count."""

    def count_shed(self, service: str, tier: str) -> None:
        """Discards a count."""

    def count_wasted_prefill(self, service: str, tokens: int) -> None:
        """Discards a count."""

    def observe_queue_wait(self, tier: str, wait_ms: int) -> None:
        """Discards a measurement."""


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """State of a simulation run that all entries of a policy share."""

    clock: ManualClock
    user: User
    runners: dict[str, Runner]
    seed: int

    @property
    def service(self) -> Service:
        """The service of the runners."""
        return load_fleet_text(self.user).services[0]


class PolicyEntry(Protocol):
    """An entry instance of the scheduler, or a baseline proxy."""

    def start(self, start_task: Callable[..., None]) -> None:
        """Starts the periodic tasks through `start_task`."""
        ...

    async def serve(self, trace: Trace, key: str) -> None:
        """Processes a request to its end and sets the outcome of its trace."""
        ...

    def has_lower_tier_waiting(self, tier: int) -> bool:
        """Returns whether a request of a lower tier is queued here."""
        ...


def record_call_end(world: World, trace: Trace, end: CallEnd) -> None:
    """Records the end of a call to a runner in the trace."""
    trace.ended_at_ms = world.clock.now_ms()
    trace.computed_tokens += end.prefill_tokens
    if not end.is_complete:
        trace.failed_attempt_tokens += end.prefill_tokens
        trace.outcome = BROKEN
    elif trace.ended_at_ms <= trace.deadline_at_ms:
        trace.outcome = ON_TIME
    else:
        trace.outcome = LATE


async def wait_first_token(world: World, trace: Trace, call: Call) -> bool:
    """Waits for the first token; returns False if the call fails before it."""
    received = await call.first_token
    if received and trace.first_token_at_ms is None:
        trace.first_token_at_ms = world.clock.now_ms()
    return received
