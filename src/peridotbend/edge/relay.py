"""Serves one call: admission, target selection, retries and the answer."""

import dataclasses

import anyio
from result import Err, Result

from peridotbend.domain.events import Event
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason
from peridotbend.edge.activerequests import (
    MIN_SEND_MS,
    ActiveRequest,
    Phase,
    make_terms,
)
from peridotbend.edge.admission import QUARANTINED, Admission
from peridotbend.edge.parts import RelayDependencies
from peridotbend.edge.ports import AnswerBrokenError, EdgeCall, Responder
from peridotbend.edge.refusals import describe_refusal
from peridotbend.edge.reports import RequestReporter
from peridotbend.edge.selection import TargetCriteria
from peridotbend.edge.sends import Sender
from peridotbend.edge.slots import Slot
from peridotbend.edge.takeovers import Takeover
from peridotbend.load.placement import Prompt

# Time beyond the deadline for which this process waits. A target ends a request
# at its deadline and reports that; its answer takes precedence.
DEADLINE_MARGIN_MS = 100
# How long a broken stream may wait until it is certain which version began it.
# Callers abandon one after a gap of two seconds at the earliest.
ORIGIN_WAIT_MS = 1_500
# A connection that fails before a byte is written does not count as a send.
# This limit only ends requests whose targets are all unreachable.
MAX_CONNECT_FAILURES = 6


class Relay:
    """Serves the calls of callers to one edge instance."""

    def __init__(self, dependencies: RelayDependencies):
        self._dependencies = dependencies
        self._clock = dependencies.clock
        # Those of the requests that are being served.
        self._scopes: set[anyio.CancelScope] = set()
        self._is_ending = False
        self._drain_since_ms: int | None = None
        self._admission = Admission(dependencies)
        self._report = RequestReporter(
            dependencies.clock,
            dependencies.holder,
            dependencies.log,
            dependencies.meter,
        )
        self._sender = Sender(
            dependencies, self._report, self._reserve_failover
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
            elif request.begun is not None:
                self._dependencies.origins.notices.note_complete(
                    request.begun.attempt
                )
        except anyio.get_cancelled_exc_class():
            self._report.log(
                Event.CALLER_GONE,
                request,
                sends=request.sends,
                answer_begun=request.head_sent,
                phase=request.phase.value,
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

    def find_time_limit_ms(self, host: str, path: str) -> int | None:
        """Returns the time limit of a route; None if there is none."""
        config = self._dependencies.holder.config
        route = config.find_route(host, path) if config else None
        return route.timeout_ms if route else None

    def note_drain(self) -> None:
        """Records that the shutdown has begun."""
        self._drain_since_ms = self._clock.now_ms()

    def end_all(self) -> int:
        """Ends all requests with an answer, as the process has to exit.

        Returns:
            how many there were.
        """
        self._is_ending = True
        for scope in self._scopes:
            scope.cancel()
        return len(self._scopes)

    async def _send_until_answered(
        self, request: ActiveRequest, responder: Responder
    ) -> None:
        request.enter(Phase.ORIGIN, self._clock.now_ms())
        refusal: NotRun | MayHaveRun | None = await self._find_origin(request)
        if refusal is None and request.route.is_resumable_stream:
            async with anyio.create_task_group() as request.tasks:
                refusal = await self._send_repeatedly(request, responder)
                request.tasks.cancel_scope.cancel()
        elif refusal is None:
            refusal = await self._send_repeatedly(request, responder)
        if refusal is not None:
            await self._end(request, responder, refusal)

    async def _send_repeatedly(
        self, request: ActiveRequest, responder: Responder
    ) -> NotRun | MayHaveRun | None:
        """Returns None if the caller received an answer, or the refusal."""
        takeover: Takeover | None = None
        while True:
            slot = takeover.slot if takeover else request.take_failover_slot()
            if slot is None:
                request.enter(Phase.QUEUE, self._clock.now_ms())
                acquired = await self._acquire(request)
                if isinstance(acquired, Err):
                    return acquired.err_value
                slot = acquired.ok_value
            try:
                # A cause may have been found while the request waited or ran.
                if self._find_cause(request) is not None:
                    return QUARANTINED
                request.enter(Phase.TARGET, self._clock.now_ms())
                refusal = await self._sender.send(
                    request, slot, responder, takeover
                )
            finally:
                slot.release()
            if refusal is None:
                return None
            takeover = await self._await_takeover(request)
            if takeover is not None:
                continue
            request.enter(Phase.ORIGIN, self._clock.now_ms())
            if not (
                await self._may_continue(request)
                and self._may_send_again(request)
            ):
                return self._plan_return(request, refusal)

    async def _await_takeover(self, request: ActiveRequest) -> Takeover | None:
        """Returns the send of a target that goes on with a request, if any.

        The first target may have failed before the other one has answered.
        """
        takeover = request.takeover
        if takeover is None:
            return None
        await takeover.decided.wait()
        request.takeover = None
        return takeover if takeover.answer is not None else None

    def _plan_return(
        self, request: ActiveRequest, refusal: NotRun | MayHaveRun
    ) -> NotRun | MayHaveRun:
        """Returns a refusal with the time at which its caller finds room."""
        terms = make_terms(request)
        if (
            not isinstance(refusal, NotRun)
            or terms.work is None
            or request.is_resumed
        ):
            return refusal
        retry_after_ms = self._dependencies.backlog.plan_return(
            request.service,
            request.route,
            request.deadline_at_ms - MIN_SEND_MS,
            terms,
        )
        return dataclasses.replace(refusal, retry_after_ms=retry_after_ms)

    def _find_cause(self, request: ActiveRequest) -> frozenset[int] | None:
        return self._dependencies.crashes.find_cause(request.traits)

    async def _acquire(self, request: ActiveRequest) -> "Result[Slot, NotRun]":
        return await self._dependencies.backlog.acquire(
            self._make_criteria(request),
            request.route,
            request.deadline_at_ms - MIN_SEND_MS,
            is_resumed=request.is_resumed,
            terms=make_terms(request),
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
        if request.sent_software is not None:
            # A target that is at work on an attempt then shows its version.
            return request.sent_software
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
        needs_listed_run = request.route.is_resumable_stream
        is_replaced = self._dependencies.run_records.is_replaced
        if all(
            target.name in exclude
            for target in targets
            if software in (None, target.software)
            and not (needs_listed_run and is_replaced(target))
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
            needs_listed_run,
            self._describe_prompt(request, bool(avoid)),
        )

    def _describe_prompt(
        self, request: ActiveRequest, is_failover: bool
    ) -> Prompt | None:
        route = request.route
        if request.call.prompt_tokens is None:
            return None
        return Prompt(
            request.call.prompt_tokens,
            None if is_failover else self._find_due_ms(request),
            route.objective_ms,
            route.gap_objective_ms or route.objective_ms,
        )

    def _find_due_ms(self, request: ActiveRequest) -> int | None:
        """Returns when the first event is due; None if it is not awaited.

        What was sent before goes anywhere, as its refusal might mean that it
        has run.
        """
        if request.sends or request.is_resumed:
            return None
        age_ms = self._dependencies.backlog.find_age_ms(
            request.route, request.call.deadline_ms
        )
        return request.started_at_ms + request.route.objective_ms - age_ms

    def _reserve_failover(
        self, request: ActiveRequest, target: str
    ) -> Slot | None:
        """Reserves a slot for a request whose target is silent.

        Returns:
            None if there is none. The request then stays, since the silent
            target may still continue.
        """
        if request.connect_failures > MAX_CONNECT_FAILURES:
            return None
        if self._find_cause(request) is not None:
            return None
        slot = self._dependencies.backlog.try_acquire(
            self._make_criteria(request, target)
        )
        if slot is None:
            return None
        if not request.has_paid and not self._dependencies.budget.try_spend(
            request.service, self._dependencies.fleet.count_instances()
        ):
            slot.release()
            return None
        request.has_paid = True
        return slot

    async def _may_continue(self, request: ActiveRequest) -> bool:
        """Tells whether it is certain which version sent what has arrived."""
        stream = request.begun
        if stream is None:
            return True
        if not request.has_attempts_left(self._clock.now_ms()):
            # It ends in any case.
            return True
        return await self._dependencies.origins.wait_confirmed(
            stream, ORIGIN_WAIT_MS
        )

    def _may_send_again(self, request: ActiveRequest) -> bool:
        if request.is_final:
            return False
        if request.failover_slot is not None:
            # The extra send was counted when the slot was reserved.
            return True
        if request.connect_failures > MAX_CONNECT_FAILURES:
            return False
        if not request.has_attempts_left(self._clock.now_ms()):
            return False
        if not self._has_sent_version(request):
            return False
        if not request.sends or request.has_paid:
            # No byte was written, so this is not a further send.
            return True
        request.has_paid = self._dependencies.budget.try_spend(
            request.service, self._dependencies.fleet.count_instances()
        )
        return request.has_paid

    def _has_sent_version(self, request: ActiveRequest) -> bool:
        """Tells whether a target is left that may begin a stream after another.

        One that has begun waits for a target of its version to join.
        """
        software = request.sent_software
        if software is None or request.software is not None:
            return True
        if not request.route.is_resumable_stream:
            return True
        targets = self._dependencies.targets.list_for(request.service)
        return any(target.software == software for target in targets)

    async def _end(
        self,
        request: ActiveRequest,
        responder: Responder,
        refusal: NotRun | MayHaveRun,
    ) -> None:
        """Ends a request that will not be sent again."""
        if request.head_sent:
            reason = Reason.DRAINING if self._is_ending else refusal.reason
            self._report.note_broken(request, reason, self._find_drain_ms())
            raise AnswerBrokenError
        if request.held_error is not None:
            head, body = request.held_error
            request.head_sent = True
            await responder.start(head)
            await responder.send(body)
            await responder.finish()
            self._report.note_end(request, head.status)
            return
        if request.may_have_run and isinstance(refusal, NotRun):
            refusal = MayHaveRun(Reason.TARGET_FAILED)
        await self._refuse(request.call, responder, refusal, request)

    def _find_drain_ms(self) -> int | None:
        """Returns the time since the shutdown began; None if it has not."""
        since_ms = self._drain_since_ms
        return None if since_ms is None else self._clock.now_ms() - since_ms

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
