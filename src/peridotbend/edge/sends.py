"""Sends a request to one target, and records how that ends."""

import contextlib
import functools
from collections.abc import AsyncIterator, Callable

from peridotbend.domain.events import Event
from peridotbend.domain.ports import AnswerHead, CallError, CallFailure
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason
from peridotbend.edge.activerequests import ActiveRequest
from peridotbend.edge.delivery import Delivery, FailedAnswer
from peridotbend.edge.failover import Failover, NoFailover
from peridotbend.edge.inflight import FailoverStarter, TrackedSend
from peridotbend.edge.parts import RelayDependencies
from peridotbend.edge.ports import (
    EdgeAnswer,
    Rejection,
    Reply,
    Responder,
    RunCheck,
    TargetSend,
)
from peridotbend.edge.reports import RequestReporter, describe_type
from peridotbend.edge.sendnotices import SendNotices
from peridotbend.edge.slots import Slot
from peridotbend.edge.takeovers import Takeover
from peridotbend.edge.targets import EdgeTarget

# Bounds a log line.
MAX_LOGGED_TARGETS = 16
# Rejections of a request that has run elsewhere which do not count as sends.
# Counts of other instances are some 50 ms old, so that several may take the
# same place.
MAX_FREE_REJECTIONS = 3
_UNSENT = frozenset(
    (CallFailure.CONNECT, CallFailure.REFUSED, CallFailure.REPLACED)
)
# After these, nothing tells which process answers next.
_ENDS = frozenset(
    (CallFailure.REFUSED, CallFailure.BROKEN, CallFailure.TIMEOUT)
)


class Sender:
    """Sends requests to targets, one target at a time."""

    def __init__(
        self,
        dependencies: RelayDependencies,
        report: RequestReporter,
        reserve: Callable[[ActiveRequest, str], Slot | None],
    ):
        """Creates a sender.

        Args:
            dependencies: the components of the instance.
            report: logs what happens to requests.
            reserve: returns a slot at another target for a request whose
                target is silent; None if there is none.
        """
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._report = report
        self._reserve = reserve
        self._delivery = Delivery(dependencies, report)

    async def send(
        self,
        request: ActiveRequest,
        slot: Slot,
        responder: Responder,
        takeover: Takeover | None = None,
    ) -> NotRun | MayHaveRun | None:
        """Sends a request to a target and delivers the answer.

        Args:
            request: to send.
            slot: at the target.
            responder: gets the answer.
            takeover: the send, if the target has answered already.

        Returns:
            None if the caller received an answer, otherwise the refusal for
            the caller in case the request is not sent again.
        """
        target = slot.target
        sent_at_ms = self._clock.now_ms()
        if takeover is not None:
            sent_at_ms = takeover.begun_at_ms
        with self._dependencies.stall_detector.track(
            target.name,
            request.route,
            self._make_failover(request, target),
            sent_at_ms,
        ) as tracked_send:
            async with self._find_reply(request, slot, takeover) as reply:
                if isinstance(reply, Rejection):
                    return self.note_rejection(request, target, reply)
                if isinstance(reply, CallError):
                    return self.note_error(request, target, reply)
                if slot.ticket is not None:
                    tracked_send.on_first_data = functools.partial(
                        self._dependencies.work.note_first_event, slot.ticket
                    )
                self._dependencies.run_records.note_answered(
                    target, reply.head.connected_at_ms, sent_at_ms
                )
                return await self._deliver(
                    request, target, reply, tracked_send, responder
                )
        # Another target goes on, as this one is silent.
        self._report.log(
            Event.SEND_STALLED,
            request,
            target=target.name,
            waited_ms=self._clock.now_ms() - tracked_send.sent_at_ms,
            flowed_ms=tracked_send.flowed_ms,
            in_flight={
                other.name: self._dependencies.occupancy.count(other.name)
                for other in self._dependencies.targets.list_for(
                    request.service
                )[:MAX_LOGGED_TARGETS]
            },
        )
        request.silent_targets.add(target.name)
        silent_error = CallError(CallFailure.TIMEOUT, True, "silent target")
        return self.note_error(request, target, silent_error)

    @contextlib.asynccontextmanager
    async def open(
        self, request: ActiveRequest, slot: Slot
    ) -> AsyncIterator[Reply]:
        """Sends a request and waits for the head of the answer."""
        target = slot.target
        if not request.route.is_resumable_stream:
            # A stream asks on its own connection.
            await self._dependencies.run_questions.ask_first(target)

        def open_gate() -> bool:
            if not self._dependencies.targets.is_current(target):
                return False
            if self._dependencies.pauses.is_paused(target):
                return False
            if self._clock.now_ms() >= request.deadline_at_ms:
                return False
            if request.sends >= request.route.max_attempts:
                # Two sends may have waited for their connections.
                return False
            if not self._dependencies.cold.may_write(target, slot.permit):
                return False
            request.possible_runs += 1
            request.sent_software = target.software
            request.sends += 1
            request.has_paid = False
            return True

        self._report.log(
            Event.REQUEST_DISPATCHED,
            request,
            target=target.name,
            in_flight=slot.in_flight,
            slots=target.slots,
            predicted_ms=slot.ticket and slot.ticket.predicted_ms,
            parts=request.call.shared_parts,
            software=target.software,
            started_at_ms=target.started_at_ms,
            last_event=request.events.last_event_id,
            resumes=request.call.resumes,
        )
        self._dependencies.paces.note_sent(target.name)
        async with self._dependencies.client.open(
            self._make_send(request, target), open_gate
        ) as reply:
            if isinstance(reply, Rejection):
                request.possible_runs -= 1
                if not request.possible_runs:
                    request.sent_software = None
                slot.is_rejected = reply is Rejection.UNAVAILABLE
            yield reply

    def _find_reply(
        self, request: ActiveRequest, slot: Slot, takeover: Takeover | None
    ) -> contextlib.AbstractAsyncContextManager[Reply]:
        return takeover.open() if takeover else self.open(request, slot)

    def _make_failover(
        self, request: ActiveRequest, target: EdgeTarget
    ) -> FailoverStarter:
        if not request.route.may_repeat:
            return NoFailover()
        return Failover(
            self._dependencies,
            self,
            self._report,
            self._reserve,
            request,
            target.name,
        )

    def _make_send(
        self, request: ActiveRequest, target: EdgeTarget
    ) -> TargetSend:
        notices = SendNotices(self._dependencies, target)
        return TargetSend(
            request.call,
            target,
            request.account.name if request.account else "",
            request.deadline_at_ms - self._clock.now_ms(),
            request.events.last_event_id,
            reuse_connection=request.route.may_repeat,
            check=self._make_check(request, target),
            note_limit=notices.note_limit,
            note_brittle=notices.note_brittle,
            note_leaving=notices.note_leaving,
            note_pause=notices.note_pause,
        )

    def _make_check(
        self, request: ActiveRequest, target: EdgeTarget
    ) -> RunCheck | None:
        """Returns a check that the listed run of a target answers.

        A stream that goes on depends on it. One that begins could not go on
        later at a target that has not been used before, or where a connection
        has just ended, or could go on at a version that did not begin it where
        a service has several; if the answer tells nothing, it begins all the
        same, and is judged when it breaks.
        """
        if not request.route.is_resumable_stream:
            return None
        run_records = self._dependencies.run_records
        timeline = self._dependencies.timeline

        def is_due() -> bool:
            return (
                request.is_resumed
                or run_records.awaits_name(target)
                or (
                    run_records.is_doubtful(target)
                    # Another question would only spoil the connection.
                    and not run_records.tells_nothing(target)
                )
                or timeline.has_versions(target.service)
            )

        return self._dependencies.runs.make_check(
            target, is_due, must_know=request.is_resumed
        )

    async def _deliver(
        self,
        request: ActiveRequest,
        target: EdgeTarget,
        answer: EdgeAnswer,
        tracked_send: TrackedSend,
        responder: Responder,
    ) -> NotRun | MayHaveRun | None:
        delivered = await self._delivery.deliver(
            request, target, answer, tracked_send, responder
        )
        if not isinstance(delivered, FailedAnswer):
            return delivered
        return self.note_error(
            request,
            target,
            delivered.error,
            delivered.head,
            delivered.has_survived,
        )

    def note_rejection(
        self, request: ActiveRequest, target: EdgeTarget, rejection: Rejection
    ) -> NotRun | MayHaveRun:
        """Records that a target did not run a request."""
        request.failed_targets.add(target.name)
        is_moving = request.head_sent or bool(request.silent_targets)
        if is_moving and request.rejections < MAX_FREE_REJECTIONS:
            # Nothing ran there, and the target before was left for it or has
            # sent a part of the answer.
            request.rejections += 1
            request.sends -= 1
            request.allow_silent_targets()
        if request.route.is_generation:
            self._dependencies.paces.note_failure(target.name, False)
        if rejection is Rejection.MISDIRECTED:
            self._dependencies.health.note_failure(target.name)
            self._dependencies.crashes.note_target_dead(target)
        self._dependencies.meter.count_send("rejected")
        self._report.log(
            Event.TARGET_REJECTED,
            request,
            target=target.name,
            reason=rejection.value,
        )
        if request.may_have_run:
            return MayHaveRun(Reason.TARGET_FAILED)
        return NotRun(Reason.SHED, request.route.objective_ms)

    def note_error(
        self,
        request: ActiveRequest,
        target: EdgeTarget,
        error: CallError,
        head: AnswerHead | None = None,
        has_survived: bool = False,
    ) -> NotRun | MayHaveRun:
        """Records a failed send.

        Args:
            request: the request that failed.
            target: where it was sent.
            error: what failed.
            head: of the answer, if it had begun.
            has_survived: whether its answer shows that the request does not
                crash the target.
        """
        request.failed_targets.add(target.name)
        if error.blames_target and error.failure is not CallFailure.GATE:
            self._dependencies.health.note_failure(target.name)
            if request.route.is_generation:
                has_begun = error.failure not in _UNSENT
                self._dependencies.paces.note_failure(target.name, has_begun)
        is_broken = error.failure is CallFailure.BROKEN
        if error.blames_target and is_broken and not has_survived:
            self._dependencies.crashes.note_broken_connection(
                target, request.traits
            )
        if error.failure in _ENDS and error.blames_target:
            self._dependencies.run_records.note_end(target)
        if request.route.is_resumable_stream and error.blames_target:
            self._dependencies.run_records.note_untold(target)
        if error.failure in _UNSENT:
            request.connect_failures += 1
            request.allow_silent_targets()
        if error.failure is CallFailure.REFUSED:
            self._dependencies.crashes.note_target_dead(target)
            self._dependencies.cold.note_ended(target)
        self._dependencies.meter.count_send(error.failure.value)
        self._report.log(
            Event.TARGET_CALL_FAILED,
            request,
            target=target.name,
            failure=error.failure.value,
            written=error.written,
            detail=error.detail,
            last_event=request.events.last_event_id,
            delimited=head.is_delimited if head else None,
            content_type=describe_type(head) if head else None,
            connected_ms=(
                self._clock.now_ms() - head.connected_at_ms if head else None
            ),
        )
        if request.may_have_run:
            return MayHaveRun(Reason.TARGET_FAILED)
        return NotRun(Reason.CONNECT_FAILED, request.route.objective_ms)
