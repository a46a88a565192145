"""The path of one queued request from a target's grant to its verdict."""

import dataclasses
from typing import Protocol

import anyio
import xxhash
from result import Err, Ok, Result

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.inflight import InFlightTable
from peridotbend.domain.ports import (
    CallError,
    CallFailure,
    EventLog,
    Meter,
    PeerClient,
    RecordState,
    SuspectState,
    TargetAnswer,
    TargetCall,
    TargetClient,
    TrialOutcome,
)
from peridotbend.domain.quarantine import SuspectTable
from peridotbend.domain.records import CallerCall, RequestRecord, RequestTable
from peridotbend.domain.retries import RetryBudget
from peridotbend.domain.scheduler import Grant, Scheduler
from peridotbend.domain.streams import EventStream, count_output_tokens
from peridotbend.domain.text import EngineType, Kind, Service, Target
from peridotbend.domain.verdicts import (
    Completed,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)
from peridotbend.domain.work import (
    GrantOutcome,
    WorkEstimate,
    WorkItem,
)

RESUME_DELAYS_MS = (50, 200, 800)
CANCEL_TIMEOUT_MS = 500
# Pause before another target is tried after a failed connection.
CONNECT_RETRY_DELAY_MS = 20
SUSPECT_RETRY_MS = 2_000
CAPACITY_RETRY_MS = 1_000
# A caller that learns of a crash can send the request again at once, through
# an instance that has not heard of it: four engines died within 74 ms that
# way. By the end of this time the digests have told all connected peers.
CRASH_HOLD_MS = 200


class TargetHealth(Protocol):
    """Learns from calls which targets are alive."""

    def record_target_failure(self, name: str) -> None:
        """Notes that a connection to the target failed."""
        ...

    def record_target_success(self, name: str) -> None:
        """Notes that the target answered."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchPorts:
    """What a dispatcher works with."""

    clock: Clock
    table: RequestTable
    scheduler: Scheduler
    targets: TargetClient
    health: TargetHealth
    suspects: SuspectTable
    peers: PeerClient
    retries: RetryBudget
    log: EventLog
    meter: Meter


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request that was admitted to the queue."""

    record: RequestRecord
    kind: Kind
    service: Service
    tier: str
    call: CallerCall
    work: WorkEstimate

    @property
    def is_prompt(self) -> bool:
        """Whether a model engine computes a prefill for the request."""
        return self.service.engine is EngineType.MODEL

    @property
    def fingerprint(self) -> bytes:
        """Identifies requests that would do the same to a target."""
        hasher = xxhash.xxh3_128()
        for part in (self.service.name, self.kind.name, self.call.path):
            hasher.update(part.encode() + b"\0")
        hasher.update(self.call.body)
        return hasher.digest()


class Dispatcher:
    """Runs admitted requests; each runs in a task of its own."""

    def __init__(self, ports: DispatchPorts):
        self._ports = ports
        self.in_flight = InFlightTable()

    async def run(self, job: Job) -> None:
        """Takes one request to its verdict and records it."""
        record = job.record
        with anyio.CancelScope() as scope:
            record.scope = scope
            try:
                try:
                    verdict = await self._run_checked(job)
                except Exception as error:
                    # Left alone, it would end the process and with it all
                    # other requests.
                    verdict = self._judge_error(record, error)
                if verdict == MayHaveRun(Reason.TARGET_FAILED):
                    await anyio.sleep(CRASH_HOLD_MS / 1000)
                self._finish(job, verdict)
            except anyio.get_cancelled_exc_class():
                # The record expired, moved, or its caller left.
                if record.answer.verdict is not None:
                    self._count(job, record.answer.verdict)
                raise
            finally:
                record.scope = None
                self._ports.table.trim_answer(record)

    async def _run_checked(self, job: Job) -> Verdict:
        fingerprint = job.fingerprint
        state = self._ports.suspects.check(fingerprint)
        if state is SuspectState.QUARANTINED:
            return NotRun(Reason.QUARANTINED, SUSPECT_RETRY_MS)
        if state is SuspectState.CLEAN:
            verdict = await self._run_attempts(job, fingerprint, on_trial=False)
            # A target may have died beside this request, which then proved
            # innocent elsewhere.
            if isinstance(verdict, Completed) and (
                self._ports.suspects.check(fingerprint) is SuspectState.SUSPECT
            ):
                self._ports.suspects.record_success(fingerprint)
            return verdict
        permit = await self._ports.peers.request_trial(
            fingerprint, job.record.expires_at_ms - self._ports.clock.now_ms()
        )
        if not permit.granted:
            reason = (
                Reason.QUARANTINED if permit.quarantined else Reason.TRIAL_BUSY
            )
            return NotRun(reason, permit.retry_after_ms or SUSPECT_RETRY_MS)
        outcome = TrialOutcome.INCONCLUSIVE
        try:
            verdict = await self._run_attempts(job, fingerprint, on_trial=True)
            outcome = _judge_trial(verdict)
            return verdict
        finally:
            # A permit that is not returned blocks the next trial until it
            # lapses, so the report goes out even when this task is cancelled.
            with anyio.CancelScope(shield=True):
                await self._ports.peers.report_trial(fingerprint, outcome)

    async def _run_attempts(
        self, job: Job, fingerprint: bytes, on_trial: bool
    ) -> Verdict:
        """Tries targets until one was written to or the time is over."""
        ports, record = self._ports, job.record
        item = WorkItem(
            record.log_key,
            job.kind,
            record.account,
            job.work,
            record.deadline_at_ms,
            on_trial,
        )
        failed: frozenset[str] = frozenset()
        while True:
            queued_at_ms = ports.clock.now_ms()
            granted = await ports.scheduler.acquire(item, failed)
            if isinstance(granted, Err):
                return granted.err_value
            ports.meter.observe_queue_wait(
                job.tier, ports.clock.now_ms() - queued_at_ms
            )
            grant = granted.ok_value
            attempt = Attempt(self, job, grant, fingerprint, on_trial)
            verdict = await attempt.run()
            if verdict is not None:
                return verdict
            failed |= {grant.target.name}
            ports.health.record_target_failure(grant.target.name)
            if not ports.retries.try_spend():
                return NotRun(Reason.CONNECT_FAILED, CAPACITY_RETRY_MS)
            ports.log.emit(
                Event.CONNECT_RETRIED,
                request=record.token,
                target=grant.target.name,
            )
            await anyio.sleep(CONNECT_RETRY_DELAY_MS / 1000)

    def _judge_error(self, record: RequestRecord, error: Exception) -> Verdict:
        self._ports.log.emit(
            Event.INTERNAL_ERROR,
            request=record.token,
            error=type(error).__name__,
        )
        if record.state is RecordState.QUEUED:
            return NotRun(Reason.INTERNAL_ERROR)
        return MayHaveRun(Reason.INTERNAL_ERROR)

    def _finish(self, job: Job, verdict: Verdict) -> None:
        record = job.record
        if record.state is RecordState.HANDED_OVER or record.answer.ended:
            # The record moved away or expired while the attempt ended.
            return
        record.end(verdict)
        self._count(job, verdict)

    def _count(self, job: Job, verdict: Verdict) -> None:
        ports, record = self._ports, job.record
        ports.meter.count_verdict(job.service.name, job.tier, verdict)
        if isinstance(verdict, Completed):
            if ports.clock.now_ms() <= record.deadline_at_ms:
                ports.meter.count_goodput(job.service.name, job.tier)
        elif isinstance(verdict, MayHaveRun) and job.is_prompt:
            ports.meter.count_wasted_prefill(
                job.service.name, job.work.prompt_tokens
            )
        ports.log.emit(
            Event.REQUEST_ENDED,
            request=record.token,
            service=job.service.name,
            kind=job.kind.name,
            target=record.target,
            verdict=verdict.label,
            reason=getattr(verdict, "reason", ""),
        )

    @property
    def ports(self) -> DispatchPorts:
        """The ports, for the attempts of this dispatcher."""
        return self._ports


class Attempt:
    """One use of a granted target; at most one attempt dispatches."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        job: Job,
        grant: Grant,
        fingerprint: bytes,
        on_trial: bool,
    ):
        self._ports = dispatcher.ports
        self._in_flight = dispatcher.in_flight
        self._job = job
        self._grant = grant
        self._target: Target = grant.target
        self._fingerprint = fingerprint
        self._on_trial = on_trial
        self._outcome = GrantOutcome.NOT_WRITTEN
        self._stream: EventStream | None = None

    async def run(self) -> Verdict | None:
        """Calls the target; None means that nothing was written."""
        record = self._job.record
        if not self._ports.table.reserve_answer(
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
            self._target, call, self._claim
        ) as opened:
            if isinstance(opened, Err):
                return self._judge_unopened(opened.err_value)
            answer = opened.ok_value
            self._ports.health.record_target_success(self._target.name)
            self._job.record.answer.begin(answer.head)
            stream = EventStream(self._job.record.answer, answer.head)
            self._stream = stream
            broken = await self._relay(answer, stream)
        if broken is not None and stream.can_resume:
            broken = await self._resume(stream, broken)
        if broken is None:
            self._outcome = GrantOutcome.COMPLETED
            return Completed()
        return self._judge_broken(broken)

    def _claim(self) -> bool:
        """The dispatch gate: called directly before the first byte."""
        ports, record = self._ports, self._job.record
        if not record.claim_dispatch(ports.clock.now_ms()):
            return False
        record.target = self._target.name
        self._in_flight.begin(
            self._target.name,
            record.log_key,
            self._fingerprint,
            self._on_trial,
        )
        # Anything that ends the attempt from here on may have run.
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
        """Copies the body into the record; returns the error, if any."""
        limit = self._job.kind.max_answer_bytes
        buffer = self._job.record.answer
        first = True
        async for chunk in answer.chunks():
            if isinstance(chunk, Err):
                return None if stream.is_complete else chunk.err_value
            if first:
                self._grant.record_first_output()
                first = False
            stream.feed(chunk.ok_value)
            if len(buffer) > limit:
                return CallError(CallFailure.TOO_LARGE, written=True)
        stream.finish()
        return None

    async def _resume(
        self, stream: EventStream, broken: CallError
    ) -> CallError | None:
        """Continues a broken stream on the same target.

        The engine goes on generating; this is a read and no dispatch.
        """
        for delay_ms in RESUME_DELAYS_MS:
            if broken.failure is CallFailure.TOO_LARGE:
                return broken
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
                broken = outcome.ok_value
        return broken

    async def _resume_once(
        self, stream: EventStream
    ) -> Result[CallError | None, None]:
        """Err when the target does not know the stream or is gone."""
        record = self._job.record
        call = TargetCall(
            "GET",
            f"/v1/streams/{stream.token}",
            (("Last-Event-ID", stream.last_event_id),),
            b"",
            record.expires_at_ms - self._ports.clock.now_ms(),
        )
        stream.discard_partial()
        async with self._ports.targets.open(
            self._target, call, lambda: True
        ) as opened:
            if isinstance(opened, Err) or opened.ok_value.head.status != 200:
                return Err(None)
            return Ok(await self._relay(opened.ok_value, stream))

    async def _cancel_stream(self) -> None:
        """Tells the engine to stop an answer that nobody can fetch.

        The prefill is lost either way; the decoding would only keep others
        waiting.
        """
        if self._stream is None or not self._stream.can_resume:
            return
        call = TargetCall(
            "DELETE",
            f"/v1/streams/{self._stream.token}",
            (),
            b"",
            CANCEL_TIMEOUT_MS,
        )
        with anyio.CancelScope(shield=True):
            async with self._ports.targets.open(
                self._target, call, lambda: True
            ):
                pass

    def _judge_unopened(self, error: CallError) -> Verdict | None:
        record = self._job.record
        if error.written:
            return self._judge_broken(error)
        if error.failure is CallFailure.GATE:
            now_ms = self._ports.clock.now_ms()
            late = now_ms >= record.deadline_at_ms
            return NotRun(Reason.DEADLINE if late else Reason.EXPIRED)
        self._outcome = GrantOutcome.CONNECT_FAILED
        return None

    def _judge_broken(self, error: CallError) -> Verdict:
        if error.failure is CallFailure.TIMEOUT:
            self._outcome = GrantOutcome.TIMED_OUT
            return MayHaveRun(Reason.TARGET_TIMEOUT)
        if error.failure is CallFailure.TOO_LARGE:
            self._outcome = GrantOutcome.TIMED_OUT
            return MayHaveRun(Reason.ANSWER_TOO_LARGE)
        self._record_crash(error)
        return MayHaveRun(Reason.TARGET_FAILED)

    def _record_crash(self, error: CallError) -> None:
        ports, name = self._ports, self._target.name
        crash = self._in_flight.take_crashed(name, self._job.record.log_key)
        if crash is None:
            return
        ports.health.record_target_failure(name)
        ports.suspects.record_crash(crash.fingerprints, crash.on_trial)
        ports.log.emit(
            Event.TARGET_FAILED,
            target=name,
            in_flight=len(crash.fingerprints),
            detail=error.detail,
        )

    def _count_output_tokens(self) -> int:
        """Returns the tokens of a complete answer, as far as they are known."""
        job, answer = self._job, self._job.record.answer
        if self._outcome is not GrantOutcome.COMPLETED or answer.head is None:
            return 0
        # An error of the target tells nothing about the length of answers.
        if not job.is_prompt or answer.head.status != 200:
            return job.work.output_tokens
        tokens = count_output_tokens(answer.head, answer.content())
        return job.work.output_tokens if tokens is None else tokens


def _judge_trial(verdict: Verdict) -> TrialOutcome:
    if isinstance(verdict, Completed):
        return TrialOutcome.SUCCEEDED
    if verdict == MayHaveRun(Reason.TARGET_FAILED):
        return TrialOutcome.CRASHED
    return TrialOutcome.INCONCLUSIVE
