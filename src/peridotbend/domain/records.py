"""Request records, kept by the process that may dispatch the request."""

import dataclasses
from collections import OrderedDict
from collections.abc import Iterator

import anyio

from peridotbend.domain.answers import AnswerBuffer, ByteBudget
from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import Headers, RecordState
from peridotbend.domain.verdicts import (
    Completed,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerCall:
    """A request as the caller sent it."""

    account: str
    method: str
    # Includes the query string.
    path: str
    headers: Headers
    body: bytes = dataclasses.field(repr=False, default=b"")
    # Value of the Idempotency-Key header, or "".
    key: str = dataclasses.field(repr=False, default="")
    # Time left, as requested by the caller; 0 uses the kind's deadline.
    deadline_ms: int = 0


class RequestRecord:
    """The state, answer and verdict of one request."""

    def __init__(
        self,
        token: str,
        account: str,
        service: str,
        kind: str,
        expires_at_ms: int,
    ):
        self.token = token
        self.account = account
        self.service = service
        self.kind = kind
        self.expires_at_ms = expires_at_ms
        self.deadline_at_ms = 0
        self.state = RecordState.RESERVED
        self.answer = AnswerBuffer()
        self.call: CallerCall | None = None
        # Digest of method, path and body, which a resend has to match.
        self.digest = b""
        self.target = ""
        # Bytes reserved from the table's budget.
        self.reserved_bytes = 0
        # Whether the caller may know the ID, and so can fetch the answer.
        self.is_disclosed = True
        # Cancels the task that runs the request; None if there is none.
        self.cancel_scope: anyio.CancelScope | None = None

    @property
    def log_key(self) -> str:
        """The part of the ID that may appear in logs."""
        return self.token[:8]

    def start(
        self, call: CallerCall, digest: bytes, deadline_at_ms: int
    ) -> None:
        """Moves a reserved request into the queue."""
        assert self.state is RecordState.RESERVED, "started twice"
        self.state = RecordState.QUEUED
        self.call = call
        self.digest = digest
        self.deadline_at_ms = deadline_at_ms

    def claim_dispatch(self, now_ms: int) -> bool:
        """Claims the only dispatch; returns False if it is not allowed.

        The caller must write the first byte right after this returns True,
        with no await in between. A process that was suspended after it
        decided to send then sees here that the deadline has passed.
        """
        if self.state is not RecordState.QUEUED:
            return False
        if now_ms >= self.expires_at_ms or now_ms >= self.deadline_at_ms:
            return False
        self.state = RecordState.DISPATCHED
        return True

    def end(self, verdict: Verdict) -> None:
        """Records how the request ended."""
        if isinstance(verdict, NotRun):
            assert (
                self.state is not RecordState.DISPATCHED
            ), "a dispatched request cannot be 'not run'"
            self.state = RecordState.NOT_RUN
        elif isinstance(verdict, Completed):
            self.state = RecordState.COMPLETED
        else:
            self.state = RecordState.MAY_HAVE_RUN
        self.call = None
        self.answer.end(verdict)

    def restore(self, state: RecordState, verdict: Verdict) -> None:
        """Sets the state and verdict that another process reached."""
        assert (
            self.state is RecordState.RESERVED
        ), "only a new record can be restored"
        self.state = state
        self.answer.end(verdict)

    def hand_over(self) -> None:
        """Gives up the right to dispatch, before a peer gets the record."""
        assert self.state in (RecordState.RESERVED, RecordState.QUEUED)
        self.state = RecordState.HANDED_OVER
        if self.cancel_scope is not None:
            self.cancel_scope.cancel()


class RequestTable:
    """All records of a process, limited in number and in total bytes."""

    def __init__(self, clock: Clock, max_records: int, max_answer_bytes: int):
        self._clock = clock
        self._max_records = max_records
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self.budget = ByteBudget(max_answer_bytes)

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[RequestRecord]:
        return iter(self._records.values())

    def add(self, record: RequestRecord) -> bool:
        """Adds a record; returns False if no record can be dropped for it."""
        if len(self._records) >= self._max_records and not self._make_room():
            return False
        self._records[record.token] = record
        return True

    def find(self, token: str) -> RequestRecord | None:
        """Returns the record of an ID, or None if there is none."""
        return self._records.get(token)

    def forget(self, record: RequestRecord) -> None:
        """Removes a record and releases its reserved bytes."""
        if self._records.pop(record.token, None) is not None:
            self._release(record)

    def reserve_bytes(self, record: RequestRecord, size: int) -> bool:
        """Reserves bytes for a record, evicting delivered answers if needed."""
        if not self.budget.reserve(size):
            self._evict_delivered(size)
            if not self.budget.reserve(size):
                return False
        record.reserved_bytes += size
        return True

    def release_unused_bytes(self, record: RequestRecord) -> None:
        """Releases the reserved bytes that the complete answer does not use."""
        unused = record.reserved_bytes - len(record.answer)
        if unused > 0:
            self.budget.release(unused)
            record.reserved_bytes -= unused

    def remove_expired(self) -> int:
        """Removes expired records and returns their number.

        A dispatched request without a verdict ends as "may have run", and
        its task is cancelled.
        """
        now_ms = self._clock.now_ms()
        expired = [r for r in self if now_ms >= r.expires_at_ms]
        for record in expired:
            self._expire(record)
        return len(expired)

    def _expire(self, record: RequestRecord) -> None:
        if not record.answer.ended:
            if record.state in (RecordState.RESERVED, RecordState.QUEUED):
                record.end(NotRun(Reason.EXPIRED))
            else:
                record.end(MayHaveRun(Reason.EXPIRED))
        if record.cancel_scope is not None:
            record.cancel_scope.cancel()
        self.forget(record)

    def _make_room(self) -> bool:
        # Once a "not run" record is removed, later calls with its ID get "may
        # have run". That is less precise but still correct, and the request
        # is never dispatched.
        for record in self:
            if record.state is RecordState.NOT_RUN:
                self.forget(record)
                return True
        return self.remove_expired() > 0

    def _evict_delivered(self, wanted: int) -> None:
        for record in self:
            if self.budget.used_bytes + wanted <= self.budget.limit_bytes:
                return
            answer = record.answer
            if answer.ended and answer.delivered and not answer.evicted:
                answer.evict()
                self._release(record)

    def _release(self, record: RequestRecord) -> None:
        self.budget.release(record.reserved_bytes)
        record.reserved_bytes = 0
