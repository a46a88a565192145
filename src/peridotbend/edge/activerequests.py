"""The state of one request on its way through a relay."""

import dataclasses

from peridotbend.domain.ports import AnswerHead
from peridotbend.edge.config import Account, Route
from peridotbend.edge.events import EventSplitter
from peridotbend.edge.ports import EdgeCall


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """One admitted request."""

    call: EdgeCall
    route: Route
    service: str
    account: Account | None
    # Names the request itself, whatever its attempt.
    fingerprint: int
    tokens: float
    started_at_ms: int
    # When the request is ended here.
    deadline_at_ms: int
    # How often bytes of it went to a target.
    sends: int = 0
    # Targets that failed it.
    failed_targets: set[str] = dataclasses.field(default_factory=set)
    connect_failures: int = 0
    may_have_run: bool = False
    head_sent: bool = False
    # An error that a target answered, for the case that no other does better.
    held_error: tuple[AnswerHead, bytes] | None = None
    events: EventSplitter = dataclasses.field(default_factory=EventSplitter)
