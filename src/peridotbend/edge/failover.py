"""Moves a request away from a silent target once another one answers."""

import enum
import math
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import anyio
from result import Err, Result

from peridotbend.domain.events import Event
from peridotbend.domain.ports import AnswerHead, CallError, CallFailure
from peridotbend.edge.activerequests import ActiveRequest
from peridotbend.edge.delivery import (
    find_early_end,
    find_problem,
    make_foreign_error,
)
from peridotbend.edge.events import EventSplitter
from peridotbend.edge.inflight import (
    FIRST_EVENT_TIMEOUT_OBJECTIVES,
    TrackedSend,
)
from peridotbend.edge.parts import RelayDependencies
from peridotbend.edge.ports import EdgeAnswer, Rejection, Reply
from peridotbend.edge.reports import RequestReporter
from peridotbend.edge.slots import Slot
from peridotbend.edge.takeovers import ReadAnswer, Takeover
from peridotbend.edge.targets import EdgeTarget

# Pause between questions about the begin of a stream.
ASK_AGAIN_MS = 500
# Pause after a failed call to another target.
BEGIN_AGAIN_MS = 100
# For how long two targets may work on a stream, half of what the platform
# allows. The answer of the second one may break off behind its head.
MAX_OVERLAP_MS = 200
# It may be sound and have a queue.
_UNANSWERED = CallError(
    CallFailure.TIMEOUT, True, "no answer in time", blames_target=False
)


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

    The silent target of a stream is left once the other one sends an event, or
    shortly after the head of its answer, as both are at work from there on.
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
        self._begin_at_ms = 0

    def begin(self, send: TrackedSend) -> None:
        """Asks another target, unless one is being asked."""
        request = self._request
        now_ms = self._clock.now_ms()
        is_begun = request.takeover or request.failover_slot
        if is_begun or now_ms < self._begin_at_ms:
            return
        if not request.may_fail_over(now_ms) or self._has_caller_left(send):
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
        takeover = Takeover(slot, now_ms)
        request.takeover = takeover
        request.tasks.start_soon(self._take_over, takeover, send)

    def abandon(self) -> None:
        """Ends the other send, as the first target goes on."""
        takeover = self._request.takeover
        if takeover is not None:
            self._request.takeover = None
            takeover.scope.cancel()

    def _has_caller_left(self, send: TrackedSend) -> bool:
        """Tells whether callers of the route have given the stream up by now.

        An entry that outlives its process seems to prove a connection to
        another one once the connection is older than the lease of entries.
        """
        since_ms = send.awaited_since_ms
        if since_ms is None:
            return False
        silence_ms = self._clock.now_ms() - since_ms
        return silence_ms > self._request.route.caller_timeout_ms

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
                        if not patience.cancel_called:
                            patience.deadline = math.inf
                            outcome = await self._decide(takeover, reply, send)
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

    async def _decide(
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
        if not self._may_leave(takeover, send):
            self._end(takeover)
            return Outcome.ABANDONED
        answer: EdgeAnswer | CallError = reply
        if reply.is_event_stream:
            assert request.tasks is not None, "streams have tasks"
            request.tasks.start_soon(self._leave_later, takeover, send)
            answer = await self._read_first_event(reply, takeover.slot.target)
        if isinstance(answer, CallError):
            return self._fail(takeover, answer, reply.head)
        if not takeover.has_left and not self._may_leave(takeover, send):
            self._end(takeover)
            return Outcome.ABANDONED
        takeover.answer = answer
        self._leave(takeover, send)
        return Outcome.ANSWERED

    def _may_leave(self, takeover: Takeover, send: TrackedSend) -> bool:
        """Tells whether the silent target still has to be left.

        It may have gone on in the same turn of the event loop, have sent the
        end or what no other target continues, or its process may have come
        into doubt.
        """
        return (
            self._request.takeover is takeover
            and not send.is_blocked
            and not self._request.is_final
            and self._is_origin_known()
        )

    def _leave(self, takeover: Takeover, send: TrackedSend) -> None:
        takeover.has_left = True
        send.scope.cancel()

    async def _leave_later(self, takeover: Takeover, send: TrackedSend) -> None:
        """Leaves the silent target although no event has come yet."""
        await anyio.sleep(MAX_OVERLAP_MS / 1_000)
        if not takeover.decided.is_set() and self._may_leave(takeover, send):
            self._leave(takeover, send)

    async def _read_first_event(
        self, answer: EdgeAnswer, target: EdgeTarget
    ) -> EdgeAnswer | CallError:
        """Returns an answer once it has brought an event, or its end."""
        request = self._request
        events = EventSplitter(request.events.last_event_id)
        events.start_run(answer.event_header)
        chunks, read = answer.chunks(), list[Result[bytes, CallError]]()
        async for chunk in chunks:
            if isinstance(chunk, Err):
                return chunk.err_value
            read.append(chunk)
            if events.feed(chunk.ok_value):
                return ReadAnswer(answer, read, chunks)
            if events.problem:
                return make_foreign_error(events.problem)
        request.empty_targets.add(target.name)
        early_end = find_early_end(request)
        return early_end or ReadAnswer(answer, read, chunks)

    def _fail(
        self,
        takeover: Takeover,
        error: CallError,
        head: AnswerHead | None = None,
    ) -> Outcome:
        self._end(takeover)
        self._begin_at_ms = self._clock.now_ms() + BEGIN_AGAIN_MS
        request, target = self._request, takeover.slot.target
        connect_failures = request.connect_failures
        self._opener.note_error(request, target, error, head)
        # The tries of the request are kept for when its target is lost.
        request.connect_failures = connect_failures
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
