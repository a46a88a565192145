"""The state of a request that is served by the relay."""

import dataclasses
import enum
from collections.abc import Mapping

from anyio.abc import TaskGroup

from peridotbend.domain.ports import AnswerHead
from peridotbend.edge.config import Account, Route
from peridotbend.edge.events import EventSplitter
from peridotbend.edge.ports import EdgeCall
from peridotbend.edge.slots import Slot
from peridotbend.edge.streamrecords import BegunStream
from peridotbend.edge.takeovers import Takeover
from peridotbend.load.queueing import CallerTerms

# A request with less time left than this is not sent, since no target could
# complete it.
MIN_SEND_MS = 20
# An output token takes a step of the batch, a prompt token a part of one.
OUTPUT_TOKEN_WORK = 10


class Phase(enum.StrEnum):
    """What a request waits for."""

    # Who began the stream that it goes on with.
    ORIGIN = "origin"
    # A slot at a target.
    QUEUE = "queue"
    # A target that it was sent to, or the caller that reads its answer.
    TARGET = "target"


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
    # Names of those among them that were silent.
    silent_targets: set[str] = dataclasses.field(default_factory=set)
    # The slot at the target that takes over from a silent one.
    failover_slot: Slot | None = None
    # Runs sends to other targets; None unless the answer is a stream that may
    # go on elsewhere.
    tasks: TaskGroup | None = None
    # The send to a target that may take over from a silent one.
    takeover: Takeover | None = None
    connect_failures: int = 0
    # Rejections that do not count as sends.
    rejections: int = 0
    # Names of targets whose answers ended properly without an event.
    empty_targets: set[str] = dataclasses.field(default_factory=set)
    # Sends that were written and not rejected; two may be open at a time.
    possible_runs: int = 0
    head_sent: bool = False
    # Whether no other target can complete the answer that has begun.
    is_final: bool = False
    # Whether an extra send was counted in the budget that was not made yet.
    has_paid: bool = False
    # Software version at which the stream began; None before that.
    software: str | None = None
    # That of the targets that may have run the request; None if none may.
    sent_software: str | None = None
    # What sent the first event of the answer; None before that.
    begun: BegunStream | None = None
    # Error answer of a target, delivered if no other target succeeds.
    held_error: tuple[AnswerHead, bytes] | None = None
    events: EventSplitter = dataclasses.field(default_factory=EventSplitter)
    phase: Phase = Phase.QUEUE
    phase_since_ms: int = 0

    def enter(self, phase: Phase, now_ms: int) -> None:
        """Records what the request waits for from now on."""
        self.phase, self.phase_since_ms = phase, now_ms

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request, or may run it yet."""
        return self.possible_runs > 0

    def take_failover_slot(self) -> Slot | None:
        """Returns the reserved slot, which its taker releases."""
        slot, self.failover_slot = self.failover_slot, None
        return slot

    def has_attempts_left(self, now_ms: int) -> bool:
        """Tells whether the request may be sent to another target."""
        if self.may_have_run and not self.route.may_repeat:
            return False
        if self.sends >= self.route.max_attempts:
            return False
        return now_ms + MIN_SEND_MS < self.deadline_at_ms

    def may_fail_over(self, now_ms: int) -> bool:
        """Tells whether another target may complete the answer."""
        return not self.is_final and self.has_attempts_left(now_ms)

    def allow_silent_targets(self) -> None:
        """Lets silent targets take the request again.

        A sound target that was silent for a moment still has the room that the
        request had taken there.
        """
        self.failed_targets -= self.silent_targets

    @property
    def is_resumed(self) -> bool:
        """Whether the caller already has a part of the answer."""
        return self.head_sent or (
            self.route.is_resumable_stream and self.call.takes_up
        )


def make_terms(request: ActiveRequest) -> CallerTerms:
    """Returns what a request owes to its caller and its account."""
    call = request.call
    work = None
    if call.prompt_tokens is not None:
        work = float(
            call.prompt_tokens + OUTPUT_TOKEN_WORK * call.max_output_tokens
        )
    account = request.account.name if request.account else ""
    return CallerTerms(account, work, call.deadline_ms)
