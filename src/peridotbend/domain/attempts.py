"""One attempt to run a request on a granted target."""

import anyio
from result import Err, Ok, Result

from peridotbend.domain.events import Event
from peridotbend.domain.inflight import InFlightTable
from peridotbend.domain.jobs import DispatchPorts, Job
from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
    TargetAnswer,
    TargetCall,
    TrialOutcome,
)
from peridotbend.domain.scheduler import Grant
from peridotbend.domain.streams import (
    EventStream,
    count_output_tokens,
    is_event_stream,
)
from peridotbend.domain.text import Target
from peridotbend.domain.verdicts import (
    Completed,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)
from peridotbend.domain.work import GrantOutcome

RESUME_DELAYS_MS = (50, 200, 800)
CANCEL_TIMEOUT_MS = 500
CAPACITY_RETRY_MS = 1_000
MIN_ERROR_STATUS = 400
# Failures that do not show that the target has died.
_LIVING_FAILURES = frozenset((CallFailure.FOREIGN, CallFailure.UNCONFIRMED))


class Attempt:
    """One attempt to run a request on a granted target.

    At most one attempt of a request claims the right to dispatch it.
    """

    def __init__(
        self,
        ports: DispatchPorts,
        in_flight: InFlightTable,
        job: Job,
        grant: Grant,
        fingerprint: bytes,
        on_trial: bool,
    ):
        self._ports = ports
        self._in_flight = in_flight
        self._job = job
        self._grant = grant
        self._target: Target = grant.target
        self._fingerprint = fingerprint
        self._on_trial = on_trial
        self._outcome = GrantOutcome.NOT_WRITTEN
        self._has_crashed = False
        self._stream: EventStream | None = None
        # The incarnation of the target that the request was sent to, or "".
        self._incarnation = ""
        # Whether the process that began the stream may have been replaced.
        self._may_be_replaced = False
        # When the connection last broke, and the dispatches until then.
        self._broke_at_ms: int | None = None
        self._dispatches_at_break = 0

    @property
    def trial_outcome(self) -> TrialOutcome:
        """What the attempt tells of a request that runs on trial."""
        if self._outcome is GrantOutcome.COMPLETED:
            return TrialOutcome.SUCCEEDED
        if self._has_crashed:
            return TrialOutcome.CRASHED
        return TrialOutcome.INCONCLUSIVE

    async def run(self) -> Verdict | None:
        """Calls the target; returns None if nothing was written to it."""
        record = self._job.record
        if not self._ports.table.reserve_bytes(
            record, self._job.kind.max_answer_bytes
        ):
            self._grant.finish(GrantOutcome.NOT_WRITTEN)
            return NotRun(Reason.AT_CAPACITY, CAPACITY_RETRY_MS)
        try:
            return await self._call()
        except anyio.get_cancelled_exc_class():
            await self._cancel_stream()
            raise
        finally:
            self._in_flight.end(self._target.name, record.log_key)
            self._grant.finish(self._outcome, self._count_output_tokens())

    async def _call(self) -> Verdict | None:
        call = self._make_call()
        async with self._ports.targets.open(
            self._target, call, self._claim_dispatch
        ) as opened:
            if isinstance(opened, Err):
                return self._handle_open_error(opened.err_value)
            answer = opened.ok_value
            problem = _find_foreign_head(answer.head, self._job)
            if problem:
                return self._handle_call_error(
                    CallError(CallFailure.FOREIGN, True, problem)
                )
            self._ports.health.record_target_success(self._target.name)
            self._job.record.answer.begin(answer.head)
            stream = EventStream(
                self._job.record.answer, answer.head, self._job.has_prefill
            )
            self._stream = stream
            call_error = await self._relay(answer, stream)
        if call_error is not None and stream.can_resume:
            call_error = await self._resume(stream, call_error)
        if call_error is None:
            self._outcome = GrantOutcome.COMPLETED
            return Completed()
        return self._handle_call_error(call_error)

    def _claim_dispatch(self) -> bool:
        """Claims the dispatch; called immediately before the first byte."""
        ports, record = self._ports, self._job.record
        if not record.claim_dispatch(ports.clock.now_ms()):
            return False
        record.target = self._target.name
        self._incarnation = ports.health.find_target_incarnation(
            self._target.name
        )
        self._in_flight.begin(
            self._target.name,
            record.log_key,
            self._fingerprint,
            self._on_trial,
        )
        # From here on the request may have run, whatever ends the attempt.
        self._outcome = GrantOutcome.DIED
        ports.retries.record_dispatch()
        return True

    def _make_call(self) -> TargetCall:
        record, call = self._job.record, self._job.call
        headers = (
            *call.headers,
            ("Idempotency-Key", record.token),
            ("Peridotbend-Request", record.token),
        )
        return TargetCall(
            call.method,
            call.path,
            headers,
            call.body,
            record.expires_at_ms - self._ports.clock.now_ms(),
            reuse_connection=self._job.kind.idempotent,
        )

    async def _relay(
        self, answer: TargetAnswer, stream: EventStream
    ) -> CallError | None:
        """Copies the response body to the record; returns the error, if any."""
        limit = self._job.kind.max_answer_bytes
        buffer = self._job.record.answer
        first = True
        async for chunk in answer.chunks():
            if isinstance(chunk, Err):
                return None if stream.is_complete else chunk.err_value
            if stream.has_ended:
                return None
            if first:
                self._grant.record_first_output()
                first = False
            problem = stream.feed(chunk.ok_value)
            if problem:
                return CallError(CallFailure.FOREIGN, True, problem)
            if len(buffer) + stream.partial_bytes > limit:
                return CallError(CallFailure.TOO_LARGE, written=True)
        if stream.is_cut(answer.head):
            # A target that dies does not end its body in order.
            is_ordered = answer.head.is_delimited
            failure = CallFailure.FOREIGN if is_ordered else CallFailure.BROKEN
            return CallError(failure, True, "end within the stream")
        if not stream.shows_end(answer.head):
            error = await self._check_end()
            if error is not None:
                return error
            if stream.shows_cut(answer.head):
                problem = "the answer is a part of a JSON value"
                return CallError(CallFailure.UNCONFIRMED, True, problem)
        stream.finish()
        return None

    async def _check_end(self) -> CallError | None:
        """Returns an error unless the target lives after its answer's end."""
        error = await self._ports.targets.check_listening(self._target)
        if error is None:
            return None
        is_dead = error.failure is CallFailure.REFUSED
        failure = CallFailure.BROKEN if is_dead else CallFailure.UNCONFIRMED
        return CallError(failure, True, f"end of the answer; {error.detail}")

    async def _resume(
        self, stream: EventStream, call_error: CallError
    ) -> CallError | None:
        """Resumes a broken stream at the process that began it.

        The engine keeps generating after a disconnect. Resuming only reads
        its output, so it is not a second dispatch.
        """
        self._record_break()
        for delay_ms in RESUME_DELAYS_MS:
            is_too_large = call_error.failure is CallFailure.TOO_LARGE
            if is_too_large or not stream.is_after_numbered_event:
                return call_error
            await anyio.sleep(delay_ms / 1000)
            outcome = await self._resume_once(stream)
            if isinstance(outcome, Ok):
                self._ports.log.emit(
                    Event.STREAM_RESUMED,
                    request=self._job.record.token,
                    target=self._target.name,
                )
                if outcome.ok_value is None:
                    return None
                call_error = outcome.ok_value
        return call_error

    async def _resume_once(
        self, stream: EventStream
    ) -> Result[CallError | None, None]:
        """Returns Err unless the process that began the stream resumes it."""
        record = self._job.record
        call = TargetCall(
            "GET",
            f"/v1/streams/{stream.stream_id}",
            (("Last-Event-ID", stream.last_event_id),),
            b"",
            record.expires_at_ms - self._ports.clock.now_ms(),
        )
        stream.discard_partial()
        async with self._ports.targets.open(
            self._target, call, lambda: True
        ) as opened:
            if isinstance(opened, Err) or not stream.is_resumed_by(
                opened.ok_value.head
            ):
                return Err(None)
            # A process that is still the same after its answer has begun has
            # also given it. Another one may use the token for another stream.
            if not await self._is_same_process():
                return Err(None)
            self._may_be_replaced = False
            call_error = await self._relay(opened.ok_value, stream)
            self._record_break()
            return Ok(call_error)

    def _record_break(self) -> None:
        """Records that later requests may be sent to another process."""
        self._may_be_replaced = True
        self._broke_at_ms = self._ports.clock.now_ms()
        self._dispatches_at_break = self._in_flight.dispatches

    async def _is_same_process(self) -> bool:
        """Tells whether the target is the process that got the request.

        A target of unknown incarnation counts as the same.
        """
        if not self._incarnation:
            return True
        report = await self._ports.loads.read_report(self._target)
        return report is not None and report.incarnation == self._incarnation

    async def _cancel_stream(self) -> None:
        """Tells the engine to stop generating an answer nobody can fetch.

        The prefill is lost either way, but further decoding would delay
        other requests.
        """
        if self._stream is None or not self._stream.can_resume:
            return
        with anyio.CancelScope(shield=True):
            if self._may_be_replaced and not await self._is_same_process():
                return
        call = TargetCall(
            "DELETE",
            f"/v1/streams/{self._stream.stream_id}",
            (),
            b"",
            CANCEL_TIMEOUT_MS,
        )
        with anyio.CancelScope(shield=True):
            async with self._ports.targets.open(
                self._target, call, lambda: True
            ):
                pass

    def _handle_open_error(self, error: CallError) -> Verdict | None:
        record = self._job.record
        if error.written:
            return self._handle_call_error(error)
        if error.failure is CallFailure.GATE:
            now_ms = self._ports.clock.now_ms()
            late = now_ms >= record.deadline_at_ms
            return NotRun(Reason.DEADLINE if late else Reason.EXPIRED)
        self._outcome = GrantOutcome.CONNECT_FAILED
        return None

    def _handle_call_error(self, error: CallError) -> Verdict:
        if error.failure is CallFailure.TIMEOUT:
            self._outcome = GrantOutcome.TIMED_OUT
            return MayHaveRun(Reason.TARGET_TIMEOUT)
        if error.failure is CallFailure.TOO_LARGE:
            self._outcome = GrantOutcome.TIMED_OUT
            return MayHaveRun(Reason.ANSWER_TOO_LARGE)
        if error.failure in _LIVING_FAILURES or error.is_garbled:
            self._record_foreign_answer(error)
        else:
            self._has_crashed = True
            self._record_crash(error)
        return MayHaveRun(Reason.TARGET_FAILED)

    def _record_foreign_answer(self, error: CallError) -> None:
        # The target lives, or may live, so its requests are no suspects.
        ports, name = self._ports, self._target.name
        ports.health.record_target_failure(name, self._broke_at_ms)
        ports.log.emit(
            Event.TARGET_FAILED,
            target=name,
            in_flight=self._in_flight.count().get(name, 0),
            detail=error.detail,
        )

    def _record_crash(self, error: CallError) -> None:
        ports, name = self._ports, self._target.name
        if self._broke_at_ms is None:
            self._record_break()
        crash = self._in_flight.take_crashed(
            name, self._job.record.log_key, self._dispatches_at_break
        )
        if crash is None:
            return
        ports.health.record_target_failure(name, self._broke_at_ms)
        ports.suspects.record_crash(crash.fingerprints, crash.on_trial)
        ports.log.emit(
            Event.TARGET_FAILED,
            target=name,
            in_flight=len(crash.fingerprints),
            detail=error.detail,
        )

    def _count_output_tokens(self) -> int:
        """Returns the known or else estimated output tokens of the answer."""
        job, answer = self._job, self._job.record.answer
        if self._outcome is not GrantOutcome.COMPLETED or answer.head is None:
            return 0
        # The length of an error response says nothing about other answers,
        # so the estimate is kept.
        if not job.has_prefill or answer.head.status != 200:
            return job.work.output_tokens
        tokens = count_output_tokens(answer.head, answer.content())
        return job.work.output_tokens if tokens is None else tokens


def _find_foreign_head(head: AnswerHead, job: Job) -> str:
    """Returns why no run of a request gives an answer with this head, or ""."""
    if not head.has_final_status:
        return f"{head.status} is no status of an answer"
    # Errors of an engine may have any type.
    if job.work.is_streaming and head.status < MIN_ERROR_STATUS:
        if head.status != 200:
            return f"{head.status} is no status of a stream"
        if not is_event_stream(head):
            return "the answer to a streaming call is no event stream"
    return ""
