"""Requests that wait for a slot at a target, and the slots that they get."""

import dataclasses
from collections.abc import Callable

import anyio
from result import Result

from peridotbend.domain.verdicts import NotRun
from peridotbend.edge.coldtargets import Permit
from peridotbend.edge.config import Route
from peridotbend.edge.selection import TargetCriteria
from peridotbend.edge.targets import EdgeTarget
from peridotbend.load.precedence import Precedence
from peridotbend.load.queueing import CallerTerms, WaitPlan
from peridotbend.load.work import WorkTicket

# Precedes all other ranks: a partly delivered stream is lost unless it resumes.
RESUME_RANK = (-1, -1)


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request in the queue."""

    criteria: TargetCriteria
    route: Route
    terms: CallerTerms
    plan: WaitPlan
    sequence: int
    arrived_at_ms: int
    wait_until_ms: int
    end_at_ms: int
    # As of the last time that the queue was put in order.
    precedence: Precedence | None = None
    # Stand for what finds room alike, with and without regard to the prompt.
    # Computed once, as each pass of the queue compares them.
    criteria_class: TargetCriteria = dataclasses.field(init=False)
    kind: TargetCriteria = dataclasses.field(init=False)
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    result: "Result[Slot, NotRun] | None" = None

    def __post_init__(self) -> None:
        self.criteria_class = self.criteria.make_class()
        self.kind = dataclasses.replace(self.criteria_class, prompt=None)

    @property
    def is_planned(self) -> bool:
        """Whether the rules for requests with a token count apply."""
        return self.terms.work is not None

    @property
    def is_resumed(self) -> bool:
        """Whether the caller already has a part of the answer."""
        return self.criteria.rank == RESUME_RANK

    def is_late(self, now_ms: int) -> bool:
        """Tells whether a returned request can't be on time any more."""
        on_time_until_ms = self.arrived_at_ms + self.plan.on_time_ms
        return self.plan.is_returned and now_ms >= on_time_until_ms


class Slot:
    """A slot granted at a target, held until `release`."""

    def __init__(
        self,
        target: EdgeTarget,
        on_release: Callable[[], None],
        in_flight: int = 1,
        permit: Permit | None = None,
        ticket: WorkTicket | None = None,
    ):
        # Allows the send if the target is cold.
        self.permit = permit
        self.target = target
        # Known requests in flight at the target, including this one.
        self.in_flight = in_flight
        # The prompt that the target has to read; None if it is not counted.
        self.ticket = ticket
        self._on_release = on_release
        self._released = False
        # Whether the target had no room.
        self.is_rejected = False

    def release(self) -> None:
        """Frees the slot; further calls have no effect."""
        if not self._released:
            self._released = True
            self._on_release()
