"""Serves one call: admission, target selection, retries and the answer."""

import dataclasses

import anyio
from result import Err, Result

from peridotbend.domain.events import Event
from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
)
from peridotbend.domain.streams import find_header
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason
from peridotbend.edge.activerequests import ActiveRequest
from peridotbend.edge.admission import QUARANTINED, Admission
from peridotbend.edge.backlog import Slot
from peridotbend.edge.config import RouteKind
from peridotbend.edge.crashes import SURVIVAL_MS
from peridotbend.edge.inflight import TrackedSend
from peridotbend.edge.parts import RelayDependencies
from peridotbend.edge.ports import (
    AnswerBrokenError,
    EdgeAnswer,
    EdgeCall,
    Rejection,
    Responder,
    TargetSend,
)
from peridotbend.edge.refusals import describe_refusal
from peridotbend.edge.reports import RequestReporter
from peridotbend.edge.selection import TargetCriteria
from peridotbend.edge.sendnotices import SendNotices
from peridotbend.edge.targets import EdgeTarget

# Time beyond the deadline for which this process waits. A target ends a request
# at its deadline and reports that; its answer takes precedence.
DEADLINE_MARGIN_MS = 100
# A request with less time left than this is not sent, since no target could
# complete it.
MIN_SEND_MS = 20
# Answers that are not streamed are buffered up to this size until they are
# complete, so that a broken one can be retried.
MAX_HELD_BYTES = 262_144
# A connection that fails before a byte is written does not count as a send.
# This limit only ends requests whose targets are all unreachable.
MAX_CONNECT_FAILURES = 6
# Bound a log line.
MAX_LOGGED_TARGETS = 16
MAX_LOGGED_TYPE = 64
# Rejections of a stream that has begun which do not count as sends. Counts of
# other instances are some 50 ms old, so that several may take the same place.
MAX_FREE_REJECTIONS = 3
# A target may answer with another status before it runs a request.
SUCCESS_STATUS = 200
REDIRECT_STATUS = 300
FAILURE_STATUS = 400
ERROR_STATUS = 500
# Callers take these for a promise that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_CUT_STREAM = CallError(CallFailure.BROKEN, True, "end inside an event")
# An empty answer to a resumed send says that no event is left; a target in
# trouble may say so too early.
MIN_EMPTY_TARGETS = 2
_EMPTY_STREAM = CallError(CallFailure.FOREIGN, True, "stream without an event")
_FALSE_REJECTION = CallError(
    CallFailure.FOREIGN, True, "status of a rejection, but none is stated"
)
_UNCONFIRMED_END = CallError(
    CallFailure.UNCONFIRMED,
    True,
    "only one target says that no event is left",
    blames_target=False,
)


class Relay:
    """Serves the calls of callers to one edge instance."""

    def __init__(self, dependencies: RelayDependencies):
        self._dependencies = dependencies
        self._clock = dependencies.clock
        # Those of the requests that are being served.
        self._scopes: set[anyio.CancelScope] = set()
        self._is_ending = False
        self._admission = Admission(dependencies)
        self._report = RequestReporter(
            dependencies.clock,
            dependencies.holder,
            dependencies.log,
            dependencies.meter,
        )

    async def serve(self, call: EdgeCall, responder: Responder) -> None:
        """Answers a call; cancellation also ends the request at its target.

        Raises:
            AnswerBrokenError: the answer has begun and cannot be completed.
        """
        admitted = self._admission.admit(call)
        if not isinstance(admitted, ActiveRequest):
            await self._refuse(call, responder, admitted)
            return
        request = admitted
        remaining_ms = (
            request.deadline_at_ms + DEADLINE_MARGIN_MS - self._clock.now_ms()
        )
        try:
            with anyio.move_on_after(remaining_ms / 1_000) as scope:
                self._scopes.add(scope)
                await self._send_until_answered(request, responder)
            if scope.cancelled_caught:
                await self._end_after_deadline(request, responder)
        except anyio.get_cancelled_exc_class():
            self._report.log(
                Event.CALLER_GONE,
                request,
                sends=request.sends,
                answer_begun=request.head_sent,
                last_event=request.events.last_event_id,
            )
            raise
        finally:
            self._scopes.discard(scope)
            unused_slot = request.take_failover_slot()
            if unused_slot is not None:
                unused_slot.release()
            if not request.may_have_run and request.account is not None:
                self._dependencies.allowances.refund(
                    request.account.name, request.tokens
                )

    def end_all(self) -> None:
        """Ends all requests with an answer, as the process has to exit."""
        self._is_ending = True
        for scope in self._scopes:
            scope.cancel()

    async def _send_until_answered(
        self, request: ActiveRequest, responder: Responder
    ) -> None:
        not_run = await self._find_origin(request)
        if not_run is not None:
            await self._end(request, responder, not_run)
            return
        while True:
            slot = request.take_failover_slot()
            if slot is None:
                acquired = await self._acquire(request)
                if isinstance(acquired, Err):
                    await self._end(request, responder, acquired.err_value)
                    return
                slot = acquired.ok_value
            try:
                # A cause may have been found while the request waited or ran.
                if self._find_cause(request) is not None:
                    await self._end(request, responder, QUARANTINED)
                    return
                refusal = await self._send(request, slot, responder)
            finally:
                slot.release()
            if refusal is None:
                return
            if not self._may_send_again(request):
                await self._end(request, responder, refusal)
                return

    def _find_cause(self, request: ActiveRequest) -> frozenset[int] | None:
        return self._dependencies.crashes.find_cause(request.traits)

    async def _acquire(self, request: ActiveRequest) -> "Result[Slot, NotRun]":
        return await self._dependencies.backlog.acquire(
            self._make_criteria(request),
            request.route,
            request.deadline_at_ms - MIN_SEND_MS,
            is_resumed=request.is_resumed,
        )

    async def _find_origin(self, request: ActiveRequest) -> NotRun | None:
        """Finds the version of a stream that a caller takes up.

        Returns:
            the refusal if the stream can't go on.
        """
        call, route = request.call, request.route
        if not route.is_resumable_stream:
            return None
        origins = self._dependencies.origins
        origins.note_call(call, route)
        if not call.takes_up:
            return None
        retry_after_ms = self._dependencies.backlog.find_retry_after(route)
        software = await origins.find(call, route, request.service)
        if software is None:
            return NotRun(Reason.ORIGIN_UNKNOWN, retry_after_ms)
        request.software = software
        targets = self._dependencies.targets.list_for(request.service)
        if all(target.software != software for target in targets):
            return NotRun(Reason.NO_TARGET, retry_after_ms)
        return None

    def _choose_software(self, request: ActiveRequest) -> str | None:
        """Returns the version that has to serve a request; None for any."""
        if request.software is not None:
            return request.software
        if not request.route.is_resumable_stream:
            return None
        return self._dependencies.timeline.choose(
            request.service, request.call.attempt
        )

    def _make_criteria(
        self, request: ActiveRequest, avoid: str = ""
    ) -> TargetCriteria:
        account_rank = request.account.rank if request.account else None
        exclude = set(request.failed_targets)
        software = self._choose_software(request)
        targets = self._dependencies.targets.list_for(request.service)
        if all(
            target.name in exclude
            for target in targets
            if software in (None, target.software)
        ):
            # No other target is left, for example in a service with a single
            # target. A target that failed may have recovered.
            exclude.clear()
        if avoid:
            exclude.add(avoid)
        return TargetCriteria(
            request.service,
            request.route.is_generation,
            (account_rank or 0, request.route.rank),
            request.call.session,
            frozenset(exclude),
            software,
        )

    def _reserve_failover(self, request: ActiveRequest, target: str) -> bool:
        """Reserves a slot for a request whose target is silent.

        Returns:
            whether there is one. If not, the request stays, since the silent
            target may still continue.
        """
        if request.failover_slot is not None:
            return True
        if not self._has_attempts_left(request):
            return False
        slot = self._dependencies.backlog.try_acquire(
            self._make_criteria(request, target)
        )
        if slot is None:
            return False
        if not self._dependencies.budget.try_spend(
            request.service, self._dependencies.fleet.count_instances()
        ):
            slot.release()
            return False
        request.failover_slot = slot
        return True

    def _may_send_again(self, request: ActiveRequest) -> bool:
        if request.failover_slot is not None:
            # The extra send was counted when the slot was reserved.
            return True
        if request.connect_failures > MAX_CONNECT_FAILURES:
            return False
        if not self._has_attempts_left(request):
            return False
        if not request.sends:
            # No byte was written, so this is not an extra send.
            return True
        return self._dependencies.budget.try_spend(
            request.service, self._dependencies.fleet.count_instances()
        )

    def _has_attempts_left(self, request: ActiveRequest) -> bool:
        if request.may_have_run and not request.route.may_repeat:
            return False
        if request.sends >= request.route.max_attempts:
            return False
        return self._clock.now_ms() + MIN_SEND_MS < request.deadline_at_ms

    async def _send(
        self, request: ActiveRequest, slot: Slot, responder: Responder
    ) -> NotRun | MayHaveRun | None:
        """Sends a request to a target and delivers the answer.

        Returns:
            None if the caller received an answer, otherwise the refusal for
            the caller in case the request is not sent again.
        """
        target = slot.target
        may_have_run_before = request.may_have_run

        def open_gate() -> bool:
            if not self._dependencies.targets.is_current(target):
                return False
            if self._dependencies.pauses.is_paused(target):
                return False
            if self._clock.now_ms() >= request.deadline_at_ms:
                return False
            request.may_have_run = True
            request.sends += 1
            return True

        self._report.log(
            Event.REQUEST_DISPATCHED,
            request,
            target=target.name,
            in_flight=slot.in_flight,
            slots=target.slots,
            parts=request.call.shared_parts,
            software=target.software,
            last_event=request.events.last_event_id,
            resumes=request.call.resumes,
        )

        notices = SendNotices(self._dependencies, target)
        send = TargetSend(
            request.call,
            target,
            request.account.name if request.account else "",
            request.deadline_at_ms - self._clock.now_ms(),
            request.events.last_event_id,
            reuse_connection=request.route.may_repeat,
            note_limit=notices.note_limit,
            note_brittle=notices.note_brittle,
            note_leaving=notices.note_leaving,
            note_pause=notices.note_pause,
        )

        def reserve_failover() -> bool:
            return self._reserve_failover(request, target.name)

        with self._dependencies.stall_detector.track(
            target.name, request.route, reserve_failover
        ) as tracked_send:
            async with self._dependencies.client.open(send, open_gate) as reply:
                if isinstance(reply, Rejection):
                    request.may_have_run = may_have_run_before
                    slot.is_rejected = reply is Rejection.UNAVAILABLE
                    return self._note_rejection(request, target, reply)
                if isinstance(reply, CallError):
                    return self._note_error(request, target, reply)
                return await self._deliver(
                    request, target, reply, tracked_send, responder
                )
        # The stall detector cancelled the send, since the target is silent.
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
        return self._note_error(request, target, silent_error)

    def _note_rejection(
        self, request: ActiveRequest, target: EdgeTarget, rejection: Rejection
    ) -> NotRun | MayHaveRun:
        request.failed_targets.add(target.name)
        if request.head_sent and request.rejections < MAX_FREE_REJECTIONS:
            # Nothing ran there, and the caller has a part of the answer.
            request.rejections += 1
            request.sends -= 1
            request.allow_silent_targets()
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

    def _note_error(
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
        is_broken = error.failure is CallFailure.BROKEN
        if error.blames_target and is_broken and not has_survived:
            self._dependencies.crashes.note_broken_connection(
                target, request.traits
            )
        if error.failure in (CallFailure.CONNECT, CallFailure.REFUSED):
            request.connect_failures += 1
            request.allow_silent_targets()
        if error.failure is CallFailure.REFUSED:
            self._dependencies.crashes.note_target_dead(target)
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
            content_type=_describe_type(head) if head else None,
        )
        if request.may_have_run:
            return MayHaveRun(Reason.TARGET_FAILED)
        return NotRun(Reason.CONNECT_FAILED, request.route.objective_ms)

    async def _deliver(
        self,
        request: ActiveRequest,
        target: EdgeTarget,
        answer: EdgeAnswer,
        tracked_send: TrackedSend,
        responder: Responder,
    ) -> NotRun | MayHaveRun | None:
        if answer.head.status in NOT_RUN_STATUSES:
            # Rejections are told by another header and don't come here.
            return self._note_error(
                request,
                target,
                _FALSE_REJECTION,
                answer.head,
                has_survived=True,
            )
        if request.route.kind is RouteKind.STREAM:
            # A run either fails or answers with an event stream.
            status = answer.head.status
            is_success = SUCCESS_STATUS <= status < REDIRECT_STATUS
            if is_success and answer.is_event_stream:
                return await self._deliver_stream(
                    request, target, answer, tracked_send, responder
                )
            if status < FAILURE_STATUS or request.head_sent:
                return self._note_error(
                    request,
                    target,
                    _make_no_stream_error(answer),
                    answer.head,
                    has_survived=True,
                )
        return await self._deliver_unstreamed(
            request, target, answer, responder
        )

    async def _deliver_unstreamed(
        self,
        request: ActiveRequest,
        target: EdgeTarget,
        answer: EdgeAnswer,
        responder: Responder,
    ) -> NotRun | MayHaveRun | None:
        body = bytearray()
        async for chunk in answer.chunks():
            if isinstance(chunk, Err):
                refusal = self._note_error(
                    request, target, chunk.err_value, answer.head
                )
                if request.head_sent:
                    await self._end(request, responder, refusal)
                return refusal
            body += chunk.ok_value
            if len(body) > MAX_HELD_BYTES or request.head_sent:
                await self._start_once(request, answer.head, responder)
                await responder.send(bytes(body))
                body.clear()
        status = answer.head.status
        failed = status >= ERROR_STATUS
        self._note_answer(request, target, failed)
        if SUCCESS_STATUS <= status < REDIRECT_STATUS:
            self._dependencies.crashes.note_sound(request.traits)
        if failed and not request.head_sent and request.route.may_repeat:
            request.held_error = (answer.head, bytes(body))
            request.failed_targets.add(target.name)
            return MayHaveRun(Reason.TARGET_FAILED)
        await self._start_once(request, answer.head, responder)
        if body:
            await responder.send(bytes(body))
        await responder.finish()
        self._report.note_end(
            request,
            answer.head.status,
            target=target.name,
            delimited=answer.head.is_delimited,
            content_type=_describe_type(answer.head),
        )
        return None

    async def _deliver_stream(
        self,
        request: ActiveRequest,
        target: EdgeTarget,
        answer: EdgeAnswer,
        tracked_send: TrackedSend,
        responder: Responder,
    ) -> NotRun | MayHaveRun | None:
        has_survived = False
        has_events = False
        head = _drop_length(answer.head)
        request.events.start_run(answer.event_header)
        async for chunk in answer.chunks():
            if isinstance(chunk, Err):
                return self._note_error(
                    request,
                    target,
                    chunk.err_value,
                    answer.head,
                    has_survived,
                )
            events = request.events.feed(chunk.ok_value)
            if events:
                # Other bytes are no progress: a stalled target may send a few
                # now and then.
                tracked_send.note_data(self._clock.now_ms())
                if not has_survived and tracked_send.flowed_ms >= SURVIVAL_MS:
                    has_survived = True
                    self._dependencies.crashes.note_sound(request.traits)
                has_events = True
                self._note_begun(request, target)
                tracked_send.is_blocked = True
                await self._start_once(request, head, responder)
                await responder.send(events)
                tracked_send.is_blocked = False
                self._dependencies.health.note_activity(target.name)
            if request.events.problem:
                return self._note_error(
                    request,
                    target,
                    _make_foreign_error(request.events.problem),
                    answer.head,
                    has_survived,
                )
        # A stream without a length also ends when its target crashes, so that
        # the end alone does not tell that no event is left to resume.
        is_cut = not answer.head.is_delimited and (
            not has_events or request.events.has_trailing_bytes
        )
        if request.events.take_remainder().strip() or is_cut:
            return self._note_error(
                request, target, _CUT_STREAM, answer.head, has_survived
            )
        if not has_events:
            request.empty_targets.add(target.name)
            error = _find_early_end(request)
            if error is not None:
                return self._note_error(request, target, error, answer.head)
        await self._start_once(request, head, responder)
        await responder.finish()
        self._note_answer(request, target, failed=False)
        self._dependencies.crashes.note_sound(request.traits)
        self._report.note_end(
            request,
            answer.head.status,
            target=target.name,
            last_event=request.events.last_event_id,
            delimited=answer.head.is_delimited,
            content_type=_describe_type(answer.head),
        )
        return None

    def _note_begun(self, request: ActiveRequest, target: EdgeTarget) -> None:
        """Binds a stream to the version of its first event."""
        if request.head_sent or not request.route.is_resumable_stream:
            return
        request.software = target.software
        self._dependencies.origins.note_begun(request.call, target)

    def _note_answer(
        self, request: ActiveRequest, target: EdgeTarget, failed: bool
    ) -> None:
        """Records a complete answer of a target."""
        self._dependencies.health.note_answer(target.name, failed)
        self._dependencies.crashes.note_target_alive(target)
        self._dependencies.meter.count_send("answered")

    async def _start_once(
        self, request: ActiveRequest, head: AnswerHead, responder: Responder
    ) -> None:
        if not request.head_sent:
            request.head_sent = True
            await responder.start(head)

    async def _end(
        self,
        request: ActiveRequest,
        responder: Responder,
        refusal: NotRun | MayHaveRun,
    ) -> None:
        """Ends a request that will not be sent again."""
        if request.head_sent:
            self._report.log(Event.ANSWER_BROKEN, request)
            self._report.observe(request, "broken")
            raise AnswerBrokenError
        if request.held_error is not None:
            head, body = request.held_error
            await self._start_once(request, head, responder)
            await responder.send(body)
            await responder.finish()
            self._report.note_end(request, head.status)
            return
        if request.may_have_run and isinstance(refusal, NotRun):
            refusal = MayHaveRun(Reason.TARGET_FAILED)
        await self._refuse(request.call, responder, refusal, request)

    async def _end_after_deadline(
        self, request: ActiveRequest, responder: Responder
    ) -> None:
        if request.may_have_run:
            await self._end(
                request, responder, MayHaveRun(Reason.TARGET_TIMEOUT)
            )
        elif self._is_ending:
            await self._end(request, responder, NotRun(Reason.DRAINING))
        else:
            await self._end(request, responder, NotRun(Reason.DEADLINE))

    async def _refuse(
        self,
        call: EdgeCall,
        responder: Responder,
        verdict: NotRun | MayHaveRun,
        request: ActiveRequest | None = None,
    ) -> None:
        await responder.refuse(verdict)
        self._report.note_refusal(
            call,
            verdict,
            request,
            **describe_refusal(self._dependencies, call, verdict, request),
        )


def _drop_length(head: AnswerHead) -> AnswerHead:
    """Returns the head of an answer without the length of its body.

    A caller may get fewer bytes, as comments are left out, or more, as another
    run goes on with the stream.
    """
    if not find_header(head, "content-length"):
        return head
    headers = (h for h in head.headers if h[0].lower() != "content-length")
    return dataclasses.replace(head, headers=tuple(headers))


def _find_early_end(request: ActiveRequest) -> CallError | None:
    """Returns why a stream does not end with an answer without an event."""
    if not request.events.last_event_id:
        return _EMPTY_STREAM
    if len(request.empty_targets) < MIN_EMPTY_TARGETS:
        return _UNCONFIRMED_END
    return None


def _make_no_stream_error(answer: EdgeAnswer) -> CallError:
    status = answer.head.status
    is_failure = status >= FAILURE_STATUS
    return CallError(
        CallFailure.BROKEN if is_failure else CallFailure.FOREIGN,
        True,
        f"expected an event stream, got status {status}",
    )


def _make_foreign_error(problem: str) -> CallError:
    """Returns the error of a target that sent what is no event of its run."""
    return CallError(CallFailure.FOREIGN, True, f"foreign bytes: {problem}")


def _describe_type(head: AnswerHead) -> str:
    """Returns the content type of an answer for a log line."""
    return find_header(head, "content-type")[:MAX_LOGGED_TYPE]
