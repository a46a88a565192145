"""Moves a request away from a silent target once another one answers."""

import enum
import math
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import anyio

from peridotbend.domain.events import Event
from peridotbend.domain.ports import AnswerHead, CallError, CallFailure
from peridotbend.edge.activerequests import ActiveRequest
from peridotbend.edge.delivery import find_problem
from peridotbend.edge.inflight import (
    FIRST_EVENT_TIMEOUT_OBJECTIVES,
    TrackedSend,
)
from peridotbend.edge.parts import RelayDependencies
from peridotbend.edge.ports import Rejection, Reply
from peridotbend.edge.reports import RequestReporter
from peridotbend.edge.slots import Slot
from peridotbend.edge.takeovers import Takeover
from peridotbend.edge.targets import EdgeTarget

# Pause between questions about the begin of a stream.
ASK_AGAIN_MS = 500
_UNANSWERED = CallError(CallFailure.TIMEOUT, True, "no answer in time")


class Outcome(enum.StrEnum):
    """How a send beside a silent target ended."""

    # The other target goes on, and the silent one was left.
    ANSWERED = "answered"
    # The silent one went on, or the request has ended.
    ABANDONED = "abandoned"
    # The other target did not run the request.
    REJECTED = "rejected"
    FAILED = "failed"


class Opener(Protocol):
    """Sends requests to targets, and records how that fails."""

    def open(
        self, request: ActiveRequest, slot: Slot
    ) -> AbstractAsyncContextManager[Reply]:
        """Sends a request and waits for the head of the answer."""
        ...

    def note_rejection(
        self, request: ActiveRequest, target: EdgeTarget, rejection: Rejection
    ) -> object:
        """Records that a target did not run a request."""
        ...

    def note_error(
        self,
        request: ActiveRequest,
        target: EdgeTarget,
        error: CallError,
        head: AnswerHead | None = None,
    ) -> object:
        """Records a failed send."""
        ...


class Failover:
    """Asks another target for what a silent one has yet to send.

    The silent target of a stream is left once the other one begins to answer.
    Until then it may go on, and the other one may have no place, or queue the
    request. Other requests run at one target at a time, and get an answer also
    if the other one fails.
    """

    def __init__(
        self,
        dependencies: RelayDependencies,
        opener: Opener,
        report: RequestReporter,
        reserve: Callable[[ActiveRequest, str], Slot | None],
        request: ActiveRequest,
        target: str,
    ):
        """Creates a failover, which asks nobody yet.

        Args:
            dependencies: the components of the instance.
            opener: sends the request to the other target.
            report: logs what happens to the request.
            reserve: returns a slot at another target than the named one, and
                pays for the extra send; None if there is none.
            request: that was sent.
            target: name of the target that it was sent to.
        """
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._opener = opener
        self._report = report
        self._reserve = reserve
        self._request = request
        self._target = target
        self._ask_at_ms = 0

    def begin(self, send: TrackedSend) -> None:
        """Asks another target, unless one is being asked."""
        request = self._request
        is_begun = request.takeover or request.failover_slot
        if is_begun or not request.may_fail_over(self._clock.now_ms()):
            return
        if not self._is_origin_known():
            return
        slot = self._reserve(request, self._target)
        if slot is None:
            return
        if request.tasks is None:
            request.failover_slot = slot
            send.scope.cancel()
            return
        takeover = Takeover(slot, self._clock.now_ms())
        request.takeover = takeover
        request.tasks.start_soon(self._take_over, takeover, send)

    def abandon(self) -> None:
        """Ends the other send, as the first target goes on."""
        takeover = self._request.takeover
        if takeover is not None:
            self._request.takeover = None
            takeover.scope.cancel()

    def _is_origin_known(self) -> bool:
        """Tells whether another target may go on; asks for it if not known."""
        begun, origins = self._request.begun, self._dependencies.origins
        if begun is None or origins.is_certain(origins.find_own(begun)):
            return True
        now_ms = self._clock.now_ms()
        if now_ms >= self._ask_at_ms:
            self._ask_at_ms = now_ms + ASK_AGAIN_MS
            assert self._request.tasks is not None
            self._request.tasks.start_soon(origins.prove, begun)
        return False

    async def _take_over(self, takeover: Takeover, send: TrackedSend) -> None:
        outcome = Outcome.ABANDONED
        try:
            with takeover.scope:
                with anyio.move_on_after(self._find_patience_s()) as patience:
                    async with self._opener.open(
                        self._request, takeover.slot
                    ) as reply:
                        patience.deadline = math.inf
                        outcome = self._decide(takeover, reply, send)
                        self._log_end(takeover, outcome)
                        takeover.decided.set()
                        if takeover.answer is not None:
                            await takeover.finished.wait()
                if patience.cancelled_caught:
                    outcome = self._fail(takeover, _UNANSWERED)
        finally:
            if not takeover.decided.is_set():
                self._log_end(takeover, outcome)
                takeover.decided.set()
            takeover.slot.release()

    def _find_patience_s(self) -> float | None:
        """Returns how long the other target is waited for; None if to the end.

        The last one that may be asked is waited for.
        """
        route = self._request.route
        if self._request.sends + 1 >= route.max_attempts:
            return None
        return FIRST_EVENT_TIMEOUT_OBJECTIVES * route.objective_ms / 1_000

    def _decide(
        self, takeover: Takeover, reply: Reply, send: TrackedSend
    ) -> Outcome:
        """Leaves the silent target if the other one answers."""
        request = self._request
        if isinstance(reply, Rejection):
            self._end(takeover)
            self._opener.note_rejection(request, takeover.slot.target, reply)
            return Outcome.REJECTED
        if isinstance(reply, CallError):
            return self._fail(takeover, reply)
        problem = find_problem(request, reply)
        if problem is not None:
            return self._fail(takeover, problem, reply.head)
        is_over = send.is_blocked or request.is_final
        if is_over or not self._is_origin_known():
            # The first target has sent the end in the meantime, or what no
            # other one continues, or its process has come into doubt.
            self._end(takeover)
            return Outcome.ABANDONED
        takeover.answer = reply
        send.scope.cancel()
        return Outcome.ANSWERED

    def _fail(
        self,
        takeover: Takeover,
        error: CallError,
        head: AnswerHead | None = None,
    ) -> Outcome:
        self._end(takeover)
        target = takeover.slot.target
        self._opener.note_error(self._request, target, error, head)
        return Outcome.FAILED

    def _end(self, takeover: Takeover) -> None:
        if self._request.takeover is takeover:
            self._request.takeover = None

    def _log_end(self, takeover: Takeover, outcome: Outcome) -> None:
        self._report.log(
            Event.FAILOVER_ENDED,
            self._request,
            target=takeover.slot.target.name,
            silent_target=self._target,
            outcome=outcome.value,
            waited_ms=self._clock.now_ms() - takeover.begun_at_ms,
        )


class NoFailover:
    """Stands for the failover of a request that is sent once."""

    def begin(self, send: TrackedSend) -> None:
        """Does nothing."""

    def abandon(self) -> None:
        """Does nothing."""
