"""Delivers the answer of a target to the caller, as far as it is believed."""

import dataclasses

from result import Err

from peridotbend.domain.ports import AnswerHead, CallError, CallFailure
from peridotbend.domain.streams import find_header
from peridotbend.domain.verdicts import MayHaveRun, Reason
from peridotbend.edge.activerequests import ActiveRequest
from peridotbend.edge.config import RouteKind
from peridotbend.edge.crashes import SURVIVAL_MS
from peridotbend.edge.inflight import TrackedSend
from peridotbend.edge.parts import RelayDependencies
from peridotbend.edge.ports import EdgeAnswer, Responder
from peridotbend.edge.reports import RequestReporter, describe_type
from peridotbend.edge.targets import EdgeTarget

# Answers that are not streamed are buffered up to this size until they are
# complete, so that a broken one can be retried.
MAX_HELD_BYTES = 262_144
# A target may answer with another status before it runs a request.
SUCCESS_STATUS = 200
REDIRECT_STATUS = 300
FAILURE_STATUS = 400
ERROR_STATUS = 500
# Callers take these for a promise that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_CUT_STREAM = CallError(CallFailure.BROKEN, True, "end inside an event")
_DEAD_END = CallError(
    CallFailure.BROKEN, True, "not known to have outlived its answer"
)
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


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAnswer:
    """An answer that failed after its head."""

    error: CallError
    head: AnswerHead
    # Whether it shows that the request does not crash the target.
    has_survived: bool = False


class Delivery:
    """Passes answers on to callers."""

    def __init__(
        self, dependencies: RelayDependencies, report: RequestReporter
    ):
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._report = report

    async def deliver(
        self,
        request: ActiveRequest,
        target: EdgeTarget,
        answer: EdgeAnswer,
        tracked_send: TrackedSend,
        responder: Responder,
    ) -> FailedAnswer | MayHaveRun | None:
        """Passes an answer on.

        Returns:
            None if the caller received it; the refusal if it is an error that
            another target may make good.
        """
        problem = find_problem(request, answer)
        if problem is not None:
            return FailedAnswer(problem, answer.head, True)
        if request.route.kind is RouteKind.STREAM and _is_stream(answer):
            return await self._deliver_stream(
                request, target, answer, tracked_send, responder
            )
        return await self._deliver_unstreamed(
            request, target, answer, tracked_send, responder
        )

    async def _deliver_unstreamed(
        self,
        request: ActiveRequest,
        target: EdgeTarget,
        answer: EdgeAnswer,
        tracked_send: TrackedSend,
        responder: Responder,
    ) -> FailedAnswer | MayHaveRun | None:
        body = bytearray()
        async for chunk in answer.chunks():
            await tracked_send.end_if_left()
            if isinstance(chunk, Err):
                return FailedAnswer(chunk.err_value, answer.head)
            body += chunk.ok_value
            tracked_send.note_body(len(chunk.ok_value), self._clock.now_ms())
            if len(body) > MAX_HELD_BYTES or request.head_sent:
                # Another answer does not continue this one.
                request.is_final = True
                await self._start_once(request, answer.head, responder)
                await responder.send(bytes(body))
                body.clear()
        await tracked_send.end_if_left()
        if not await self._outlives(target, answer.head):
            return FailedAnswer(_DEAD_END, answer.head)
        await tracked_send.end_if_left()
        status = answer.head.status
        failed = status >= ERROR_STATUS
        self._note_answer(target, answer.head, failed)
        if SUCCESS_STATUS <= status < REDIRECT_STATUS:
            self._dependencies.crashes.note_sound(request.traits)
        if failed and not request.head_sent and request.route.may_repeat:
            request.held_error = (answer.head, bytes(body))
            request.failed_targets.add(target.name)
            return MayHaveRun(Reason.TARGET_FAILED)
        request.is_final = True
        await self._start_once(request, answer.head, responder)
        if body:
            await responder.send(bytes(body))
        await responder.finish()
        self._report.note_end(
            request,
            answer.head.status,
            target=target.name,
            delimited=answer.head.is_delimited,
            content_type=describe_type(answer.head),
        )
        return None

    async def _deliver_stream(
        self,
        request: ActiveRequest,
        target: EdgeTarget,
        answer: EdgeAnswer,
        tracked_send: TrackedSend,
        responder: Responder,
    ) -> FailedAnswer | None:
        has_survived = False
        has_events = False
        head = _drop_length(answer.head)
        request.events.start_run(answer.event_header)
        async for chunk in answer.chunks():
            await tracked_send.end_if_left()
            if isinstance(chunk, Err):
                return FailedAnswer(chunk.err_value, answer.head, has_survived)
            events = request.events.feed(chunk.ok_value)
            if events:
                # Other bytes are no progress: a stalled target may send a few
                # now and then.
                self._note_pace(tracked_send)
                tracked_send.note_data(self._clock.now_ms())
                if not has_survived and tracked_send.flowed_ms >= SURVIVAL_MS:
                    has_survived = True
                    self._dependencies.crashes.note_sound(request.traits)
                has_events = True
                self._note_begun(request, target, answer.head)
                tracked_send.is_blocked = True
                await self._start_once(request, head, responder)
                await responder.send(events)
                tracked_send.note_unblocked(self._clock.now_ms())
            if request.events.problem:
                error = make_foreign_error(request.events.problem)
                return FailedAnswer(error, answer.head, has_survived)
        await tracked_send.end_if_left()
        # A stream without a length also ends when its target crashes, so that
        # the end alone does not tell that no event is left to resume.
        is_cut = not answer.head.is_delimited and (
            not has_events or request.events.has_trailing_bytes
        )
        if request.events.take_remainder().strip() or is_cut:
            return FailedAnswer(_CUT_STREAM, answer.head, has_survived)
        if not has_events:
            request.empty_targets.add(target.name)
            early_end = find_early_end(request)
            if early_end is not None:
                return FailedAnswer(early_end, answer.head)
        if not await self._outlives(target, answer.head):
            return FailedAnswer(_DEAD_END, answer.head, has_survived)
        await tracked_send.end_if_left()
        tracked_send.note_end()
        await self._start_once(request, head, responder)
        await responder.finish()
        self._note_answer(target, answer.head, failed=False)
        self._dependencies.crashes.note_sound(request.traits)
        self._report.note_end(
            request,
            answer.head.status,
            target=target.name,
            last_event=request.events.last_event_id,
            delimited=answer.head.is_delimited,
            content_type=describe_type(answer.head),
            connected_ms=self._clock.now_ms() - answer.head.connected_at_ms,
        )
        return None

    async def _outlives(self, target: EdgeTarget, head: AnswerHead) -> bool:
        """Tells whether the end of an answer was not the death of its target.

        Only a body without length or chunks leaves that open.
        """
        return head.is_delimited or await self._dependencies.runs.confirm_end(
            target, self._clock.now_ms(), head.connected_at_ms
        )

    def _note_pace(self, send: TrackedSend) -> None:
        """Records how long the target took for an event."""
        now_ms, route = self._clock.now_ms(), send.route
        if not route.is_generation:
            return
        paces = self._dependencies.paces
        if send.awaited_since_ms is None:
            took_ms = now_ms - send.sent_at_ms
            paces.note_first_event(send.target, took_ms, route.objective_ms)
            return
        gap_ms = now_ms - send.awaited_since_ms
        # One long prompt delays all streams of a batch, again and again, so
        # that a stream counts once.
        if 0 < route.gap_objective_ms < gap_ms and not send.has_paused:
            send.has_paused = True
            paces.note_pause(send.target, gap_ms, route.gap_objective_ms)

    def _note_begun(
        self, request: ActiveRequest, target: EdgeTarget, head: AnswerHead
    ) -> None:
        """Binds a stream to the version of its first event."""
        if request.head_sent or not request.route.is_resumable_stream:
            return
        request.software = target.software
        request.begun = self._dependencies.origins.note_begun(
            request.call, target, head.connected_at_ms
        )

    def _note_answer(
        self, target: EdgeTarget, head: AnswerHead, failed: bool
    ) -> None:
        """Records a complete answer of a target."""
        self._dependencies.health.note_answer(target.name, failed)
        connected_at_ms = head.connected_at_ms
        is_proven = self._dependencies.run_records.is_proven(
            target, connected_at_ms
        )
        self._dependencies.crashes.note_target_alive(
            target, 0 if is_proven else connected_at_ms
        )
        self._dependencies.meter.count_send("answered")

    async def _start_once(
        self, request: ActiveRequest, head: AnswerHead, responder: Responder
    ) -> None:
        if not request.head_sent:
            request.head_sent = True
            await responder.start(head)


def _drop_length(head: AnswerHead) -> AnswerHead:
    """Returns the head of an answer without the length of its body.

    A caller may get fewer bytes, as comments are left out, or more, as another
    run goes on with the stream.
    """
    if not find_header(head, "content-length"):
        return head
    headers = (h for h in head.headers if h[0].lower() != "content-length")
    return dataclasses.replace(head, headers=tuple(headers))


def find_problem(
    request: ActiveRequest, answer: EdgeAnswer
) -> CallError | None:
    """Returns why the head of an answer is not believed; None if it is."""
    status = answer.head.status
    if status in NOT_RUN_STATUSES:
        # Rejections are told by another header and don't come here.
        return _FALSE_REJECTION
    if request.route.kind is not RouteKind.STREAM or _is_stream(answer):
        return None
    # A run either fails or answers with an event stream.
    if status < FAILURE_STATUS or request.head_sent:
        return _make_no_stream_error(answer)
    return None


def _is_stream(answer: EdgeAnswer) -> bool:
    is_success = SUCCESS_STATUS <= answer.head.status < REDIRECT_STATUS
    return is_success and answer.is_event_stream


def find_early_end(request: ActiveRequest) -> CallError | None:
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


def make_foreign_error(problem: str) -> CallError:
    """Returns the error of a target that sent what is no event of its run."""
    return CallError(CallFailure.FOREIGN, True, f"foreign bytes: {problem}")
