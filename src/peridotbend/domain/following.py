"""Follows a request to its verdict, on this instance or on a peer."""

import dataclasses
from collections.abc import AsyncGenerator

import anyio

from peridotbend.domain.calls import make_peer_call
from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import (
    AnswerPart,
    EventLog,
    PeerCall,
    PeerClient,
    PeerUnreachableError,
    RecordState,
)
from peridotbend.domain.records import CallerCall, RequestRecord
from peridotbend.domain.requestids import RequestId, parse_request_id
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason

FORWARD_ATTEMPTS = 3
FORWARD_RETRY_DELAY_MS = 100
DEFAULT_RETRY_AFTER_MS = 1_000


class Follower:
    """Yields answers as they arrive, from a local record or from a peer."""

    def __init__(self, clock: Clock, peers: PeerClient, log: EventLog):
        self._clock = clock
        self._peers = peers
        self._log = log

    async def follow(
        self,
        record: RequestRecord,
        offset: int,
        call: CallerCall | None = None,
        peer: bool = False,
    ) -> AsyncGenerator[AnswerPart]:
        """Yields the answer of a record, also after a hand-over to a peer."""
        if not await self._wait_for_head(record):
            yield AnswerPart(verdict=MayHaveRun(Reason.TARGET_TIMEOUT))
            return
        if record.answer.evicted:
            yield AnswerPart(verdict=record.answer.find_evicted_verdict())
            return
        handed_over = NotRun(Reason.HANDED_OVER)
        async for part in record.answer.read(offset):
            if part.verdict == handed_over and not peer:
                break
            yield part
        else:
            return
        request_id = parse_request_id(record.token)
        assert request_id is not None
        peer_call = (
            make_peer_call(request_id, call)
            if call is not None
            else PeerCall(record.token, record.account, False, offset=offset)
        )
        async for part in self.forward(request_id, peer_call):
            yield part

    async def _wait_for_head(self, record: RequestRecord) -> bool:
        """Waits for the response head; returns False if the deadline passes.

        Only a dispatched request can still be running at its deadline: the
        scheduler ends the queued ones.
        """
        answer = record.answer
        while answer.head is None and not answer.ended:
            remaining_ms = record.deadline_at_ms - self._clock.now_ms()
            dispatched = record.state is RecordState.DISPATCHED
            if remaining_ms <= 0 and dispatched:
                return False
            # The scheduler ends a queued request soon after its deadline, so
            # this loop then checks again after 50 ms.
            with anyio.move_on_after(max(remaining_ms, 50) / 1000):
                await answer.wait()
        return True

    async def forward(
        self, request_id: RequestId, call: PeerCall
    ) -> AsyncGenerator[AnswerPart]:
        """Follows a request on the instance that holds its record.

        Repeating the call is safe because a record can be started only once.
        """
        self._log.emit(
            Event.REQUEST_FORWARDED,
            request=request_id.token,
            minter=request_id.minter,
        )
        offset = call.offset
        head_sent = False
        for _ in range(FORWARD_ATTEMPTS):
            resumed = dataclasses.replace(call, offset=offset)
            try:
                async for part in self._peers.forward(
                    request_id.minter, request_id.incarnation, resumed
                ):
                    offset += len(part.data)
                    if part.head is not None and head_sent:
                        part = dataclasses.replace(part, head=None)
                    head_sent = head_sent or part.head is not None
                    if part.verdict == NotRun(Reason.HANDED_OVER):
                        break
                    yield part
                    if part.verdict is not None:
                        return
            except PeerUnreachableError:
                pass
            await anyio.sleep(FORWARD_RETRY_DELAY_MS / 1000)
        yield AnswerPart(
            verdict=MayHaveRun(
                Reason.MINTER_UNREACHABLE, DEFAULT_RETRY_AFTER_MS
            )
        )
