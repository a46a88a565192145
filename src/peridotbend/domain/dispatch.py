"""Runs a queued request until it has a verdict."""

import anyio
from result import Err

from peridotbend.domain.attempts import CAPACITY_RETRY_MS, Attempt
from peridotbend.domain.events import Event
from peridotbend.domain.inflight import InFlightTable
from peridotbend.domain.jobs import DispatchPorts, Job
from peridotbend.domain.ports import RecordState, SuspectState, TrialOutcome
from peridotbend.domain.records import RequestRecord
from peridotbend.domain.verdicts import (
    Completed,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)
from peridotbend.domain.work import WorkItem

# Delay before the next attempt after a failed connection.
CONNECT_RETRY_DELAY_MS = 20
# A request with at least this much time left waits for its targets to recover.
# Without retry budget it retries at the long interval below, so that many
# waiting requests do not add up to a burst.
OUTAGE_WAIT_THRESHOLD_MS = 60_000
OUTAGE_RETRY_DELAY_MS = 5_000
SUSPECT_RETRY_MS = 2_000
# Delays the verdict of a request whose target crashed. A caller that learns of
# the crash can resend the request at once through an instance that does not
# know about it yet; four engines crashed within 74 ms that way. After this
# delay the digests have reached all connected peers.
CRASH_VERDICT_DELAY_MS = 200


class Dispatcher:
    """Runs admitted requests, each in its own task."""

    def __init__(self, ports: DispatchPorts):
        self._ports = ports
        self.in_flight = InFlightTable()

    async def run(self, job: Job) -> None:
        """Runs one request and records its verdict."""
        record = job.record
        with anyio.CancelScope() as scope:
            record.cancel_scope = scope
            try:
                try:
                    verdict = await self._run_unless_quarantined(job)
                except Exception as error:
                    # An uncaught exception would cancel the task group and
                    # end the process with all its other requests.
                    verdict = self._handle_internal_error(record, error)
                if verdict == MayHaveRun(Reason.TARGET_FAILED):
                    await anyio.sleep(CRASH_VERDICT_DELAY_MS / 1000)
                self._finish(job, verdict)
            except anyio.get_cancelled_exc_class():
                # The record expired or was handed over, or the caller
                # disconnected.
                if record.answer.verdict is not None:
                    self._count(job, record.answer.verdict)
                raise
            finally:
                record.cancel_scope = None
                self._ports.table.release_unused_bytes(record)

    async def _run_unless_quarantined(self, job: Job) -> Verdict:
        fingerprint = job.fingerprint
        state = self._ports.suspects.check(fingerprint)
        if state is SuspectState.QUARANTINED:
            return NotRun(Reason.QUARANTINED, SUSPECT_RETRY_MS)
        if state is SuspectState.CLEAN:
            verdict, _ = await self._run_attempts(
                job, fingerprint, on_trial=False
            )
            # A target may have crashed meanwhile with this fingerprint in
            # flight. Since this run completed, it is no longer a suspect.
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
            verdict, outcome = await self._run_attempts(
                job, fingerprint, on_trial=True
            )
            return verdict
        finally:
            # Without a report the permit blocks the next trial until it
            # expires, so the report is sent even if this task is cancelled.
            with anyio.CancelScope(shield=True):
                await self._ports.peers.report_trial(fingerprint, outcome)

    async def _run_attempts(
        self, job: Job, fingerprint: bytes, on_trial: bool
    ) -> tuple[Verdict, TrialOutcome]:
        """Tries targets until one gets the request or the time is over.

        Returns the verdict, and what a trial of the request has shown.
        """
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
            granted = await ports.scheduler.acquire(item, failed)
            if isinstance(granted, Err):
                return granted.err_value, TrialOutcome.INCONCLUSIVE
            grant = granted.ok_value
            attempt = Attempt(
                ports, self.in_flight, job, grant, fingerprint, on_trial
            )
            verdict = await attempt.run()
            if verdict is not None:
                return verdict, attempt.trial_outcome
            ports.health.record_target_failure(grant.target.name)
            remaining_ms = record.deadline_at_ms - ports.clock.now_ms()
            if remaining_ms < OUTAGE_WAIT_THRESHOLD_MS:
                failed |= {grant.target.name}
                if not ports.retries.try_spend():
                    refusal = NotRun(Reason.CONNECT_FAILED, CAPACITY_RETRY_MS)
                    return refusal, TrialOutcome.INCONCLUSIVE
            elif not ports.retries.try_spend():
                await anyio.sleep(OUTAGE_RETRY_DELAY_MS / 1000)
            ports.log.emit(
                Event.CONNECT_RETRIED,
                request=record.token,
                target=grant.target.name,
            )
            await anyio.sleep(CONNECT_RETRY_DELAY_MS / 1000)

    def _handle_internal_error(
        self, record: RequestRecord, error: Exception
    ) -> Verdict:
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
            # The record was handed over or expired during the attempt.
            return
        record.end(verdict)
        self._count(job, verdict)

    def _count(self, job: Job, verdict: Verdict) -> None:
        ports, record = self._ports, job.record
        ports.meter.count_verdict(job.service.name, job.tier, verdict)
        if isinstance(verdict, Completed):
            if ports.clock.now_ms() <= record.deadline_at_ms:
                ports.meter.count_goodput(job.service.name, job.tier)
        elif isinstance(verdict, MayHaveRun) and job.has_prefill:
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
        """The ports, shared with the request service."""
        return self._ports
