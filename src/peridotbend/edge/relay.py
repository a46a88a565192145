"""Takes one attempt of a caller through to its answer or its refusal."""

import anyio
from result import Err, Result

from peridotbend.domain.events import Event
from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
)
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason
from peridotbend.edge.backlog import Place
from peridotbend.edge.config import Account, Route, RouteKind
from peridotbend.edge.crashes import make_fingerprint
from peridotbend.edge.events import EventSplitter
from peridotbend.edge.inflight import Send
from peridotbend.edge.parts import RelayParts
from peridotbend.edge.ports import (
    AnswerBrokenError,
    EdgeAnswer,
    EdgeCall,
    Rejection,
    Responder,
    TargetSend,
)
from peridotbend.edge.reports import RunReport
from peridotbend.edge.runs import Run
from peridotbend.edge.selection import Wish
from peridotbend.edge.targets import EdgeTarget

# A target ends a request at the deadline that it was given and says so; its
# answer goes before one of this process.
DEADLINE_MARGIN_MS = 100
# No target could do anything with a request of which less is left.
MIN_SEND_MS = 20
# Plain answers up to this size are held until they are whole, so that a
# broken one can be asked for again.
MAX_HELD_BYTES = 262_144
# Connections that fail before a byte is written are no dispatch; the bound
# only ends a request whose targets are all unreachable.
MAX_CONNECT_FAILURES = 6
# A new process has the configuration within some 100 ms if anyone tells it.
NO_CONFIG_RETRY_MS = 500
# The caller of a crashing request does best to ask for something else.
QUARANTINED_RETRY_MS = 60_000
ERROR_STATUS = 500


class Relay:
    """Serves the calls of one entry instance."""

    def __init__(self, parts: RelayParts):
        self._parts = parts
        self._clock = parts.clock
        self._report = RunReport(
            parts.clock, parts.holder, parts.log, parts.meter
        )

    async def serve(self, call: EdgeCall, out: Responder) -> None:
        """Answers a call; cancelling it ends its run at the target.

        Raises:
            AnswerBrokenError: the answer has begun and cannot be completed.
        """
        admitted = self._admit(call)
        if not isinstance(admitted, Run):
            await self._refuse(call, out, admitted)
            return
        run = admitted
        left_ms = run.end_at_ms + DEADLINE_MARGIN_MS - self._clock.now_ms()
        try:
            with anyio.move_on_after(left_ms / 1_000) as scope:
                await self._run(run, out)
            if scope.cancelled_caught:
                await self._end_late(run, out)
        except anyio.get_cancelled_exc_class():
            self._report.log(
                Event.CALLER_GONE,
                run,
                sends=run.sends,
                answer_begun=run.head_sent,
                last_event=run.events.last_event_id,
            )
            raise
        finally:
            if not run.may_have_run and run.account is not None:
                self._parts.allowances.give_back(run.account.name, run.tokens)

    def note_death(self, target: str) -> None:
        """Notes that nothing listens at a target, or that it is gone."""
        for fingerprint in self._parts.crashes.note_death(target):
            self._parts.log.emit(
                Event.SUSPECT_RECORDED,
                target=target,
                fingerprint=f"{fingerprint:016x}",
            )

    def _admit(self, call: EdgeCall) -> Run | NotRun:
        config = self._parts.holder.config
        if config is None:
            return NotRun(Reason.NO_TEXT, NO_CONFIG_RETRY_MS)
        route = config.find_route(call.host, call.path.partition("?")[0])
        if route is None:
            return NotRun(Reason.UNKNOWN_KIND)
        account = None
        if config.accounts and not route.is_public:
            account = config.find_account(call.key)
            if account is None:
                return NotRun(Reason.UNKNOWN_KEY)
        name = account.name if account else ""
        fingerprint = make_fingerprint(call, name)
        if self._parts.crashes.is_quarantined(fingerprint):
            return NotRun(Reason.QUARANTINED, QUARANTINED_RETRY_MS)
        tokens = 0.0
        if account is not None:
            tokens = _count_tokens(call, account)
            wait_ms = self._parts.allowances.try_take(
                name, tokens, route.is_generation
            )
            if wait_ms is not None:
                return NotRun(Reason.CLIENT_LIMIT, wait_ms)
        service = self._choose_service(route)
        self._parts.budget.record_request(service)
        limit_ms = route.timeout_ms
        if call.deadline_ms is not None:
            limit_ms = min(limit_ms, call.deadline_ms)
        now_ms = self._clock.now_ms()
        return Run(
            call,
            route,
            service,
            account,
            fingerprint,
            tokens,
            now_ms,
            now_ms + limit_ms,
            events=EventSplitter(call.last_event_id),
        )

    def _choose_service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].name
        weights = [share.weight for share in route.services]
        return self._parts.rng.choices(route.services, weights)[0].name

    async def _run(self, run: Run, out: Responder) -> None:
        while True:
            acquired = await self._acquire(run)
            if isinstance(acquired, Err):
                await self._end(run, out, acquired.err_value)
                return
            place = acquired.ok_value
            try:
                refusal = await self._send(run, place, out)
            finally:
                place.release()
            if refusal is None:
                return
            if not self._may_send_again(run):
                await self._end(run, out, refusal)
                return

    async def _acquire(self, run: Run) -> "Result[Place, NotRun]":
        return await self._parts.backlog.acquire(
            self._make_wish(run),
            run.route,
            run.end_at_ms - MIN_SEND_MS,
            resumes=run.head_sent,
        )

    def _make_wish(self, run: Run, avoid: str = "") -> Wish:
        account_rank = run.account.rank if run.account else None
        exclude = set(run.failed_at)
        targets = self._parts.targets.list_for(run.service)
        if all(target.name in exclude for target in targets):
            # A service may have one target only; it may have recovered.
            exclude.clear()
        if avoid:
            exclude.add(avoid)
        return Wish(
            run.service,
            run.route.is_generation,
            (account_rank or 0, run.route.rank),
            run.call.session,
            frozenset(exclude),
        )

    def _can_move(self, run: Run, target: str) -> bool:
        """Tells whether another target can take over from a silent one.

        Otherwise the run stays: a silent target may go on any moment.
        """
        return (
            self._has_attempts(run)
            and self._parts.budget.has_room(
                run.service, self._parts.fleet.count_instances()
            )
            and self._parts.backlog.has_place(self._make_wish(run, target))
        )

    def _may_send_again(self, run: Run) -> bool:
        if run.connect_failures > MAX_CONNECT_FAILURES:
            return False
        if not self._has_attempts(run):
            return False
        if not run.sends:
            # No byte was written yet.
            return True
        return self._parts.budget.try_spend(
            run.service, self._parts.fleet.count_instances()
        )

    def _has_attempts(self, run: Run) -> bool:
        if run.may_have_run and not run.route.may_repeat:
            return False
        if run.sends >= run.route.max_attempts:
            return False
        return self._clock.now_ms() + MIN_SEND_MS < run.end_at_ms

    async def _send(
        self, run: Run, place: Place, out: Responder
    ) -> NotRun | MayHaveRun | None:
        """Sends to a target; returns None when the caller has its answer.

        Otherwise returns what to tell the caller if there is no other try.
        """
        target = place.target
        earlier = run.may_have_run

        def open_gate() -> bool:
            if not self._parts.targets.is_current(target):
                return False
            if self._clock.now_ms() >= run.end_at_ms:
                return False
            run.may_have_run = True
            run.sends += 1
            return True

        self._report.log(
            Event.REQUEST_DISPATCHED,
            run,
            target=target.name,
            in_flight=place.in_flight,
            slots=target.slots,
        )
        send = TargetSend(
            run.call,
            target,
            run.account.name if run.account else "",
            run.end_at_ms - self._clock.now_ms(),
            run.events.last_event_id,
            reuse_connection=run.route.may_repeat,
        )

        def can_move() -> bool:
            return self._can_move(run, target.name)

        with self._parts.in_flight.track(
            target.name, run.route, can_move
        ) as flight:
            async with self._parts.client.open(send, open_gate) as reply:
                if isinstance(reply, Rejection):
                    run.may_have_run = earlier
                    return self._note_rejection(run, target, reply)
                if isinstance(reply, CallError):
                    return self._note_error(run, target, reply)
                return await self._deliver(run, target, reply, flight, out)
        # The tracker ended the send: the target is silent.
        silent = CallError(CallFailure.TIMEOUT, True, "silent target")
        return self._note_error(run, target, silent)

    def _note_rejection(
        self, run: Run, target: EdgeTarget, rejection: Rejection
    ) -> NotRun | MayHaveRun:
        run.failed_at.add(target.name)
        if rejection is Rejection.MISDIRECTED:
            self._parts.health.note_failure(target.name)
        self._parts.meter.count_send("rejected")
        self._report.log(
            Event.TARGET_REJECTED,
            run,
            target=target.name,
            reason=rejection.value,
        )
        if run.may_have_run:
            return MayHaveRun(Reason.TARGET_FAILED)
        return NotRun(Reason.SHED, run.route.objective_ms)

    def _note_error(
        self, run: Run, target: EdgeTarget, error: CallError
    ) -> NotRun | MayHaveRun:
        run.failed_at.add(target.name)
        if error.failure is not CallFailure.GATE:
            self._parts.health.note_failure(target.name)
        if error.failure is CallFailure.BROKEN:
            self._parts.crashes.note_break(target.name, run.fingerprint)
        if error.failure in (CallFailure.CONNECT, CallFailure.REFUSED):
            run.connect_failures += 1
        if error.failure is CallFailure.REFUSED:
            self.note_death(target.name)
        self._parts.meter.count_send(error.failure.value)
        self._report.log(
            Event.TARGET_CALL_FAILED,
            run,
            target=target.name,
            failure=error.failure.value,
            written=error.written,
            detail=error.detail,
        )
        if run.may_have_run:
            return MayHaveRun(Reason.TARGET_FAILED)
        return NotRun(Reason.CONNECT_FAILED, run.route.objective_ms)

    async def _deliver(
        self,
        run: Run,
        target: EdgeTarget,
        answer: EdgeAnswer,
        flight: Send,
        out: Responder,
    ) -> NotRun | MayHaveRun | None:
        if run.route.kind is RouteKind.STREAM and answer.is_event_stream:
            return await self._deliver_stream(run, target, answer, flight, out)
        if run.head_sent:
            # The target does not resume the stream.
            return self._note_error(run, target, _no_stream(answer))
        return await self._deliver_plain(run, target, answer, out)

    async def _deliver_plain(
        self,
        run: Run,
        target: EdgeTarget,
        answer: EdgeAnswer,
        out: Responder,
    ) -> NotRun | MayHaveRun | None:
        body = bytearray()
        async for chunk in answer.chunks():
            if isinstance(chunk, Err):
                refusal = self._note_error(run, target, chunk.err_value)
                if run.head_sent:
                    await self._end(run, out, refusal)
                return refusal
            body += chunk.ok_value
            if len(body) > MAX_HELD_BYTES or run.head_sent:
                await self._start_once(run, answer.head, out)
                await out.send(bytes(body))
                body.clear()
        failed = answer.head.status >= ERROR_STATUS
        self._note_answer(run, target, failed)
        if failed and not run.head_sent and run.route.may_repeat:
            run.held = (answer.head, bytes(body))
            run.failed_at.add(target.name)
            return MayHaveRun(Reason.TARGET_FAILED)
        await self._start_once(run, answer.head, out)
        if body:
            await out.send(bytes(body))
        await out.finish()
        self._report.note_end(run, answer.head.status, target=target.name)
        return None

    async def _deliver_stream(
        self,
        run: Run,
        target: EdgeTarget,
        answer: EdgeAnswer,
        flight: Send,
        out: Responder,
    ) -> NotRun | MayHaveRun | None:
        async for chunk in answer.chunks():
            if isinstance(chunk, Err):
                run.events.drop_partial()
                return self._note_error(run, target, chunk.err_value)
            flight.note_data(self._clock.now_ms())
            events = run.events.feed(chunk.ok_value)
            if events:
                flight.is_blocked = True
                await self._start_once(run, answer.head, out)
                await out.send(events)
                flight.is_blocked = False
                self._parts.health.note_heard(target.name)
        await self._start_once(run, answer.head, out)
        rest = run.events.take_rest()
        if rest:
            await out.send(rest)
        await out.finish()
        self._note_answer(run, target, failed=False)
        self._report.note_end(
            run,
            answer.head.status,
            target=target.name,
            last_event=run.events.last_event_id,
        )
        return None

    def _note_answer(self, run: Run, target: EdgeTarget, failed: bool) -> None:
        """Notes a whole answer of a target."""
        self._parts.health.note_answer(target.name, failed)
        self._parts.crashes.note_success(run.fingerprint)
        self._parts.crashes.note_alive(target.name)
        self._parts.meter.count_send("answered")

    async def _start_once(
        self, run: Run, head: AnswerHead, out: Responder
    ) -> None:
        if not run.head_sent:
            run.head_sent = True
            await out.start(head)

    async def _end(
        self, run: Run, out: Responder, refusal: NotRun | MayHaveRun
    ) -> None:
        """Ends a request that no target answers any more."""
        if run.head_sent:
            self._report.log(Event.ANSWER_BROKEN, run)
            self._report.observe(run, "broken")
            raise AnswerBrokenError
        if run.held is not None:
            head, body = run.held
            await self._start_once(run, head, out)
            await out.send(body)
            await out.finish()
            self._report.note_end(run, head.status)
            return
        if run.may_have_run and isinstance(refusal, NotRun):
            refusal = MayHaveRun(Reason.TARGET_FAILED)
        await self._refuse(run.call, out, refusal, run)

    async def _end_late(self, run: Run, out: Responder) -> None:
        if run.may_have_run:
            await self._end(run, out, MayHaveRun(Reason.TARGET_TIMEOUT))
        else:
            await self._end(run, out, NotRun(Reason.DEADLINE))

    async def _refuse(
        self,
        call: EdgeCall,
        out: Responder,
        verdict: NotRun | MayHaveRun,
        run: Run | None = None,
    ) -> None:
        await out.refuse(verdict)
        self._report.note_refusal(
            call, verdict, run, **self._describe_cause(call, verdict, run)
        )

    def _describe_cause(
        self, call: EdgeCall, verdict: NotRun | MayHaveRun, run: Run | None
    ) -> dict[str, object]:
        """Returns what decided a refusal, for the log."""
        parts = self._parts
        if verdict.reason is Reason.CLIENT_LIMIT:
            config = parts.holder.config
            account = config.find_account(call.key) if config else None
            if account is None:
                return {}
            return {
                "account": account.name,
                **parts.allowances.describe(account.name),
            }
        if run is None or not isinstance(verdict, NotRun):
            return {}
        targets = parts.targets.list_for(run.service)
        return {
            "service": run.service,
            "targets": len(targets),
            "slots": sum(target.slots for target in targets),
            "in_flight": sum(parts.occupancy.count(t.name) for t in targets),
            "waiting": parts.backlog.count_waiting(run.service),
        }


def _count_tokens(call: EdgeCall, account: Account) -> float:
    if call.prompt_tokens is None:
        return account.default_tokens
    return float(call.prompt_tokens + call.max_output_tokens)


def _no_stream(answer: EdgeAnswer) -> CallError:
    detail = f"status {answer.head.status} in place of the rest of a stream"
    return CallError(CallFailure.BROKEN, True, detail)
