"""The state of a request that is served by the relay."""

import dataclasses
from collections.abc import Mapping

from peridotbend.domain.ports import AnswerHead
from peridotbend.edge.config import Account, Route
from peridotbend.edge.events import EventSplitter
from peridotbend.edge.ports import EdgeCall


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """An admitted request."""

    call: EdgeCall
    route: Route
    service: str
    account: Account | None
    # What the request has in common with others that may crash targets, with
    # a label for logs.
    traits: Mapping[int, str]
    tokens: float
    started_at_ms: int
    # Time at which this process ends the request.
    deadline_at_ms: int
    # Number of times that the request was written to a target.
    sends: int = 0
    # Names of targets that failed the request.
    failed_targets: set[str] = dataclasses.field(default_factory=set)
    connect_failures: int = 0
    may_have_run: bool = False
    head_sent: bool = False
    # Software version at which the stream began; None before that.
    software: str | None = None
    # Error answer of a target, delivered if no other target succeeds.
    held_error: tuple[AnswerHead, bytes] | None = None
    events: EventSplitter = dataclasses.field(default_factory=EventSplitter)

    @property
    def is_resumed(self) -> bool:
        """Whether the caller already has a part of the answer."""
        return self.head_sent or (
            self.route.is_resumable_stream and self.call.takes_up
        )
