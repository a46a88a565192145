"""Hands records over to peers at shutdown and imports those of peers."""

from collections.abc import AsyncIterator, Awaitable, Callable

from result import Err

from peridotbend.domain.calls import digest_call
from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import (
    AnswerPart,
    HandedRecord,
    PeerCall,
    RecordState,
)
from peridotbend.domain.records import (
    CallerCall,
    RequestRecord,
    RequestTable,
)
from peridotbend.domain.requests import RequestService
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason

# Sends records to the peers that take them over, and returns the IDs whose
# acceptance is confirmed.
SendRecords = Callable[[list[HandedRecord]], Awaitable[list[str]]]
UNDISPATCHED_STATES = (RecordState.RESERVED, RecordState.QUEUED)
FINAL_STATES = (
    RecordState.COMPLETED,
    RecordState.MAY_HAVE_RUN,
    RecordState.NOT_RUN,
)


class RecordTransfer:
    """Both sides of the hand-over; handles calls of the peer protocol."""

    def __init__(
        self, service: RequestService, table: RequestTable, clock: Clock
    ):
        self._service = service
        self._table = table
        self._clock = clock
        # IDs of ended requests that have been copied to a peer.
        self._copied_ids: set[str] = set()

    def serve_peer(self, call: PeerCall) -> AsyncIterator[AnswerPart]:
        """Serves a call for an ID that this process minted or took over."""
        return self._service.serve_peer(call)

    def count_unfinished(self) -> int:
        """Returns the number of requests without a verdict."""
        open_states = (RecordState.QUEUED, RecordState.DISPATCHED)
        return sum(record.state in open_states for record in self._table)

    async def hand_over_undispatched(self, send: SendRecords) -> None:
        """Hands over all records that were not dispatched.

        Each record gives up its right to dispatch before it is sent to a
        peer, so a lost reply may lose the request but never runs it twice.
        """
        records = [r for r in self._table if r.state in UNDISPATCHED_STATES]
        batch = [self._pack(record) for record in records]
        for record in records:
            record.hand_over()
        accepted = set(await send(batch)) if batch else set()
        for record in records:
            if record.token in accepted:
                record.answer.end(NotRun(Reason.HANDED_OVER))
            else:
                record.answer.end(MayHaveRun(Reason.HANDED_OVER))

    async def copy_ended(self, send: SendRecords) -> None:
        """Copies answers and verdicts to a peer, to outlast this process."""
        records = [
            record
            for record in self._table
            if record.state in FINAL_STATES
            and not record.answer.evicted
            and record.token not in self._copied_ids
        ]
        if records:
            accepted = await send([self._pack(record) for record in records])
            self._copied_ids.update(accepted)

    def import_records(
        self, origin: str, incarnation: int, records: list[HandedRecord]
    ) -> list[str]:
        """Takes over records and returns the IDs that were accepted."""
        del origin, incarnation  # The request IDs contain both.
        return [r.request_id for r in records if self._import(r)]

    def _import(self, handed: HandedRecord) -> bool:
        if self._service.draining:
            return False
        if self._table.find(handed.request_id) is not None:
            return True
        now_ms = self._clock.now_ms()
        record = RequestRecord(
            handed.request_id,
            handed.account,
            handed.service,
            handed.kind,
            now_ms + handed.remaining_ms,
        )
        size = len(handed.body) + len(handed.answer)
        if not self._table.add(record):
            return False
        if not self._table.reserve_bytes(record, size):
            self._table.forget(record)
            return False
        if handed.state is RecordState.QUEUED:
            self._start(record, handed)
        elif handed.state in FINAL_STATES and handed.verdict is not None:
            if handed.head is not None:
                record.answer.begin(handed.head)
            record.answer.append(handed.answer)
            record.restore(handed.state, handed.verdict)
        return True

    def _start(self, record: RequestRecord, handed: HandedRecord) -> None:
        call = CallerCall(
            handed.account,
            handed.method,
            handed.path,
            handed.headers,
            handed.body,
            handed.request_id,
        )
        deadline_at_ms = self._clock.now_ms() + handed.deadline_remaining_ms
        record.start(call, digest_call(call), deadline_at_ms)
        started = self._service.start_queued(record)
        if isinstance(started, Err):
            record.end(started.err_value)
            self._table.release_unused_bytes(record)

    def _pack(self, record: RequestRecord) -> HandedRecord:
        now_ms = self._clock.now_ms()
        call = record.call
        queued = record.state is RecordState.QUEUED and call is not None
        return HandedRecord(
            record.token,
            record.account,
            record.service,
            record.kind,
            record.state,
            max(0, record.expires_at_ms - now_ms),
            method=call.method if call else "",
            path=call.path if call else "",
            headers=call.headers if call else (),
            body=call.body if call else b"",
            deadline_remaining_ms=(
                max(0, record.deadline_at_ms - now_ms) if queued else 0
            ),
            head=record.answer.head,
            answer=record.answer.content(),
            verdict=record.answer.verdict,
        )
