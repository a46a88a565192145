"""Serves requests of callers and peers: starts them and returns answers."""

import dataclasses
from collections.abc import AsyncGenerator

from anyio.abc import TaskGroup
from result import Err, Ok, Result

from peridotbend.domain.calls import (
    digest_call,
    digest_peer_call,
    make_caller_call,
    make_peer_call,
)
from peridotbend.domain.dispatch import Dispatcher
from peridotbend.domain.following import DEFAULT_RETRY_AFTER_MS, Follower
from peridotbend.domain.jobs import DispatchPorts, Job
from peridotbend.domain.keys import Coalesce, KeyPolicy, MintId, RefuseKey
from peridotbend.domain.kinds import KindIndex
from peridotbend.domain.ports import AnswerPart, PeerCall, RecordState
from peridotbend.domain.records import CallerCall, RequestRecord
from peridotbend.domain.requestids import (
    IdMinter,
    RequestId,
    parse_request_id,
)
from peridotbend.domain.streams import is_event_stream
from peridotbend.domain.text import FleetConfig, Kind
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason, Verdict
from peridotbend.domain.work import estimate_work


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A request ID that a caller may use for one request."""

    token: str = dataclasses.field(repr=False)
    expires_in_ms: int


class RequestService:
    """Serves the requests of callers and of peers."""

    def __init__(
        self,
        minter: IdMinter,
        policy: KeyPolicy,
        dispatcher: Dispatcher,
        tasks: TaskGroup,
    ):
        self._minter = minter
        self._policy = policy
        self._dispatcher = dispatcher
        self._ports: DispatchPorts = dispatcher.ports
        self._tasks = tasks
        ports = dispatcher.ports
        self._follower = Follower(ports.clock, ports.peers, ports.log)
        self._config: FleetConfig | None = None
        self._kinds: KindIndex | None = None
        # Request IDs by account and the idempotency key that the caller chose;
        # idempotent kinds only.
        self._caller_keys: dict[tuple[str, str], str] = {}
        self.draining = False

    def apply_config(self, config: FleetConfig) -> None:
        """Applies a new configuration; queued requests keep their kind."""
        self._config = config
        self._kinds = KindIndex(config)

    def find_account(self, bearer_sha256: str) -> str:
        """Returns the account whose bearer key has this digest."""
        if self._config is not None and bearer_sha256:
            for client in self._config.clients:
                if client.bearer_sha256 == bearer_sha256:
                    return client.name
        return "anonymous"

    def match_kind(
        self, method: str, path: str, body: bytes
    ) -> Result[Kind, Verdict]:
        """Returns the request kind of a call, or a refusal."""
        if self._kinds is None:
            return Err(NotRun(Reason.NO_TEXT, DEFAULT_RETRY_AFTER_MS))
        return self._kinds.match(method, path, body).map_err(NotRun)

    def find_body_limit(self, method: str, path: str) -> Result[int, Verdict]:
        """Returns the largest body accepted on a route, or a refusal."""
        if self._kinds is None:
            return Err(NotRun(Reason.NO_TEXT, DEFAULT_RETRY_AFTER_MS))
        return self._kinds.find_body_limit(method, path).map_err(NotRun)

    def list_methods(self, path: str) -> tuple[str, ...]:
        """Returns the methods that a path supports."""
        return self._kinds.list_methods(path) if self._kinds else ()

    def classify_refusal(self, key: str, refusal: Verdict) -> Verdict:
        """Returns the verdict of a refused call for the ID that it carries.

        The call did not run, but an earlier call with the same ID may have.
        """
        request_id = parse_request_id(key) if key else None
        if request_id is None or not isinstance(refusal, NotRun):
            return refusal
        record = self._ports.table.find(key)
        if record is not None:
            # A reserved ID can still be used, also by a call in transit.
            if record.state is RecordState.NOT_RUN:
                return refusal
        elif self._is_forged(request_id):
            return refusal
        return MayHaveRun(refusal.reason, refusal.retry_after_ms)

    def reserve(
        self, account: str, service: str, kind_name: str
    ) -> Result[Reservation, Verdict]:
        """Mints an ID for a later call."""
        if self._kinds is None:
            return Err(NotRun(Reason.NO_TEXT, DEFAULT_RETRY_AFTER_MS))
        kind = self._kinds.find(service, kind_name)
        if kind is None:
            return Err(NotRun(Reason.UNKNOWN_KIND))
        minted = self._mint(account, kind)
        if isinstance(minted, Err):
            return minted
        return Ok(Reservation(minted.ok_value.token, kind.keep_answer_ms))

    async def serve(self, call: CallerCall) -> AsyncGenerator[AnswerPart]:
        """Serves a request; the last part carries the verdict."""
        matched = self.match_kind(call.method, call.path, call.body)
        if isinstance(matched, Err):
            refusal = self.classify_refusal(call.key, matched.err_value)
            yield AnswerPart(verdict=refusal)
            return
        kind = matched.ok_value
        decision = self._policy.decide(call.key, kind)
        if isinstance(decision, RefuseKey):
            yield AnswerPart(verdict=NotRun(decision.reason))
            return
        if isinstance(decision, MintId):
            found = self._mint(call.account, kind)
            if isinstance(found, Ok):
                found.ok_value.is_disclosed = False
        elif isinstance(decision, Coalesce):
            found = self._find_or_mint(call.account, decision.key, kind)
        else:
            local = self._find_local(decision.request_id, call.account)
            if local is None:
                peer_call = make_peer_call(decision.request_id, call)
                async for part in self._follower.forward(
                    decision.request_id, peer_call
                ):
                    yield part
                return
            found = local
        if isinstance(found, Err):
            yield AnswerPart(verdict=found.err_value)
            return
        async for part in self._start_and_follow(found.ok_value, kind, call):
            yield part

    async def serve_peer(self, call: PeerCall) -> AsyncGenerator[AnswerPart]:
        """Serves a call forwarded by a peer without forwarding it again."""
        request_id = parse_request_id(call.request_id)
        if request_id is None:
            yield AnswerPart(verdict=NotRun(Reason.FORGED_ID))
            return
        found = self._find_local(request_id, call.account)
        if found is None:
            yield AnswerPart(verdict=MayHaveRun(Reason.UNKNOWN_REQUEST))
            return
        if isinstance(found, Err):
            yield AnswerPart(verdict=found.err_value)
            return
        record = found.ok_value
        if call.may_start and record.state is RecordState.RESERVED:
            refusal = self._start_peer_call(record, call)
            if refusal is not None:
                yield AnswerPart(verdict=refusal)
                return
        elif record.state is RecordState.RESERVED:
            yield AnswerPart(verdict=MayHaveRun(Reason.NOT_STARTED))
            return
        elif (
            call.may_start
            # A reservation that was handed over has no digest here.
            and record.state is not RecordState.HANDED_OVER
            and digest_peer_call(call) != record.digest
        ):
            yield AnswerPart(verdict=MayHaveRun(Reason.ID_REUSED))
            return
        async for part in self._follower.follow(record, call.offset, peer=True):
            yield part

    async def fetch(
        self, token: str, account: str, offset: int
    ) -> AsyncGenerator[AnswerPart]:
        """Yields the answer of an earlier request, starting at an offset."""
        request_id = parse_request_id(token)
        if request_id is None:
            # The ID may be a truncated one whose request did run.
            yield AnswerPart(verdict=MayHaveRun(Reason.UNKNOWN_REQUEST))
            return
        found = self._find_local(request_id, account)
        if found is None:
            call = PeerCall(token, account, may_start=False, offset=offset)
            async for part in self._follower.forward(request_id, call):
                yield part
            return
        if isinstance(found, Err):
            yield AnswerPart(verdict=found.err_value)
            return
        record = found.ok_value
        if record.state is RecordState.RESERVED:
            yield AnswerPart(verdict=MayHaveRun(Reason.NOT_STARTED))
            return
        async for part in self._follower.follow(record, offset):
            yield part

    def start_queued(self, record: RequestRecord) -> Result[None, Verdict]:
        """Starts the task of a queued record, or returns why it cannot run."""
        call = record.call
        assert call is not None, "a queued record must have its call"
        if self._kinds is None:
            return Err(NotRun(Reason.NO_TEXT, DEFAULT_RETRY_AFTER_MS))
        kind = self._kinds.find(record.service, record.kind)
        if kind is None:
            return Err(NotRun(Reason.UNKNOWN_KIND))
        service = self._kinds.find_service(kind)
        estimated = estimate_work(kind, service.engine, call.body)
        if isinstance(estimated, Err):
            return Err(NotRun(Reason.BAD_INPUT))
        assert self._config is not None
        job = Job(
            record,
            kind,
            service,
            self._config.tiers[kind.tier],
            call,
            estimated.ok_value,
        )
        self._tasks.start_soon(self._dispatcher.run, job)
        return Ok(None)

    def _mint(self, account: str, kind: Kind) -> Result[RequestRecord, Verdict]:
        if self.draining:
            return Err(NotRun(Reason.DRAINING, DEFAULT_RETRY_AFTER_MS))
        expires_at_ms = self._ports.clock.now_ms() + kind.keep_answer_ms
        request_id = self._minter.mint(expires_at_ms)
        record = RequestRecord(
            request_id.token, account, kind.service, kind.name, expires_at_ms
        )
        if not self._ports.table.add(record):
            return Err(NotRun(Reason.AT_CAPACITY, DEFAULT_RETRY_AFTER_MS))
        return Ok(record)

    def _find_or_mint(
        self, account: str, caller_key: str, kind: Kind
    ) -> Result[RequestRecord, Verdict]:
        token = self._caller_keys.get((account, caller_key), "")
        known = self._ports.table.find(token)
        if known is not None:
            return Ok(known)
        minted = self._mint(account, kind)
        if isinstance(minted, Ok):
            self._caller_keys[account, caller_key] = minted.ok_value.token
        return minted

    def remove_expired(self) -> None:
        """Removes expired records and the caller keys that refer to them."""
        table = self._ports.table
        # The table also removes other records to make room.
        if table.remove_expired() or len(self._caller_keys) > len(table):
            self._caller_keys = {
                key: token
                for key, token in self._caller_keys.items()
                if table.find(token) is not None
            }

    def _find_local(
        self, request_id: RequestId, account: str
    ) -> Result[RequestRecord, Verdict] | None:
        """Returns the record, a refusal, or None if a peer may hold it."""
        record = self._ports.table.find(request_id.token)
        if record is not None:
            if record.account != account:
                # The owner of the ID may have used another bearer key by
                # mistake, so the refusal must not deny that its request ran.
                return Err(MayHaveRun(Reason.WRONG_ACCOUNT))
            return Ok(record)
        if not self._minter.is_own(request_id):
            return None
        if self._is_forged(request_id):
            return Err(NotRun(Reason.FORGED_ID))
        return Err(MayHaveRun(Reason.FORGOTTEN))

    def _is_forged(self, request_id: RequestId) -> bool:
        own = self._minter.is_own(request_id)
        return own and not self._minter.verify(request_id)

    async def _start_and_follow(
        self, record: RequestRecord, kind: Kind, call: CallerCall
    ) -> AsyncGenerator[AnswerPart]:
        refusal: Verdict | None = None
        if record.state is RecordState.RESERVED:
            refusal = self._start(record, kind, call)
        elif record.state is not RecordState.HANDED_OVER and (
            digest_call(call) != record.digest
        ):
            refusal = MayHaveRun(Reason.ID_REUSED)
        if refusal is not None:
            yield AnswerPart(verdict=refusal, request_id=record.token)
            return
        yield AnswerPart(request_id=record.token)
        try:
            async for part in self._follower.follow(record, 0, call=call):
                begins = part.head is not None and is_event_stream(part.head)
                if begins or part.verdict is not None:
                    # The response headers, which carry the ID, are sent
                    # with this part.
                    record.is_disclosed = True
                yield part
        finally:
            if not record.is_disclosed:
                self._abandon(record)

    def _abandon(self, record: RequestRecord) -> None:
        """Ends a request whose caller disconnected before it got the ID.

        Nobody can fetch the answer, so the work of running it would be wasted.
        """
        if record.answer.ended or record.state is RecordState.HANDED_OVER:
            return
        if record.state is RecordState.DISPATCHED:
            record.end(MayHaveRun(Reason.CALLER_GONE))
        else:
            record.end(NotRun(Reason.CALLER_GONE))
        if record.cancel_scope is not None:
            record.cancel_scope.cancel()

    def _start(
        self, record: RequestRecord, kind: Kind, call: CallerCall
    ) -> Verdict | None:
        if (record.service, record.kind) != (kind.service, kind.name):
            # The call that the ID was reserved for may still be in transit.
            return MayHaveRun(Reason.ID_REUSED)
        if not self._ports.table.reserve_bytes(record, len(call.body)):
            refusal = NotRun(Reason.AT_CAPACITY, DEFAULT_RETRY_AFTER_MS)
            return _refuse(record, call, refusal)
        deadline_ms = min(
            call.deadline_ms or kind.deadline_ms, kind.deadline_ms
        )
        deadline_at_ms = self._ports.clock.now_ms() + deadline_ms
        record.start(call, digest_call(call), deadline_at_ms)
        started = self.start_queued(record)
        if isinstance(started, Ok):
            return None
        record.end(started.err_value)
        self._ports.table.release_unused_bytes(record)
        return started.err_value

    def _start_peer_call(
        self, record: RequestRecord, call: PeerCall
    ) -> Verdict | None:
        matched = self.match_kind(call.method, call.path, call.body)
        caller_call = make_caller_call(call)
        if isinstance(matched, Err):
            return _refuse(record, caller_call, matched.err_value)
        return self._start(record, matched.ok_value, caller_call)


def _refuse(
    record: RequestRecord, call: CallerCall, refusal: Verdict
) -> Verdict:
    """Ends a request before its start, so that no resend of it runs."""
    record.digest = digest_call(call)
    record.end(refusal)
    return refusal
