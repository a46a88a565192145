"""Client side of the peer protocol.

Forwards calls, hands over records, requests trials and fetches texts.
"""

import asyncio
import hashlib
from collections.abc import AsyncGenerator, AsyncIterator, Iterator
from contextlib import aclosing

from result import Err, Ok, Result

from peridotbend.adapters import peerwire
from peridotbend.adapters.peerhandover import MAX_SUCCESSORS, HandOverSender
from peridotbend.adapters.peers import (
    INCARNATION_KEY,
    PEER_ERRORS,
    AnyStream,
    ChannelPool,
    PeerLimits,
    TrialRegistry,
    finish_trial,
    limit_message_size,
)
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import Peer
from peridotbend.domain.ports import (
    AnswerPart,
    EventLog,
    HandedRecord,
    PeerCall,
    PeerHandler,
    PeerUnreachableError,
    TrialAnswer,
    TrialOutcome,
)
from peridotbend.domain.text import FleetConfig
from peridotbend.domain.textdelta import Hunk, apply_delta
from peridotbend.domain.verdicts import Completed, NotRun, Reason, Verdict
from peridotbend.wire import peer_pb2 as pb
from peridotbend.wire.peer_grpc import PeersStub

# Successors that a forward is sent to, one after the other. Draining peers are
# included, since they may still hold records that they took over.
MAX_SUCCESSORS_ASKED = 6
# How often a forward that waits for an answer checks that the peer is live.
LIVENESS_CHECK_S = 0.25
TRIAL_RETRY_MS = 1_000
# An error answer is buffered until its verdict shows whether the peer holds the
# record. A larger answer comes from a target, so its sender holds the record.
MAX_BUFFERED_BYTES = 65_536

# Reasons given by a peer that does not hold the record. A successor lacks the
# key of the process that minted the ID, so it reports such an ID as forged.
_NOT_HOLDER_REASONS = frozenset(
    {
        Reason.UNKNOWN_REQUEST,
        Reason.FORGOTTEN,
        Reason.HANDED_OVER,
        Reason.FORGED_ID,
        Reason.MINTER_UNREACHABLE,
    }
)


class _NotHolderError(Exception):
    """The asked peer does not hold the record."""


class GrpcPeerClient:
    """Implements PeerClient over gRPC."""

    def __init__(
        self,
        roster: Roster,
        channels: ChannelPool,
        trials: TrialRegistry,
        log: EventLog,
        limits: PeerLimits,
    ):
        self._roster = roster
        self._channels = channels
        self._handler: PeerHandler | None = None
        self._trials = trials
        self._limits = limits
        self._hand_over_sender = HandOverSender(roster, channels, log, limits)

    def attach_handler(self, handler: PeerHandler) -> None:
        """Sets the handler of calls for records that this process holds."""
        self._handler = handler

    async def forward(
        self, name: str, incarnation: int, call: PeerCall
    ) -> AsyncIterator[AnswerPart]:
        """Yields the parts of the answer from the holder of the record.

        Raises:
            PeerUnreachableError: no peer that holds the record answered, or
                the answer was interrupted; the caller may resume it with an
                offset.
        """
        for peer, is_minter in self._find_holders(name, incarnation):
            has_begun = False
            try:
                async with aclosing(
                    self._read_from_holder(peer, call, is_minter)
                ) as parts:
                    async for part in parts:
                        has_begun = True
                        yield part
                return
            except _NotHolderError:
                continue
            except (*PEER_ERRORS, ValueError) as error:
                if has_begun:
                    raise PeerUnreachableError(
                        f"the answer from {peer.name} was interrupted"
                    ) from error
        raise PeerUnreachableError(
            f"no peer that holds records of {name} answered"
        )

    async def request_trial(
        self, fingerprint: bytes, permit_ms: int
    ) -> TrialAnswer:
        """Asks the owner of the fingerprint for permission to run it."""
        own = self._roster.own.name
        owner = self._roster.find_peer(
            self._roster.find_trial_owner(fingerprint)
        )
        if owner is None or owner.name == own:
            return self._trials.grant_trial(fingerprint, own, permit_ms)
        request = pb.TrialRequest(
            fingerprint=fingerprint,
            holder=own,
            permit_ms=peerwire.clamp_ms(permit_ms),
        )
        try:
            async with asyncio.timeout(self._limits.unary_timeout_s):
                reply = await self._stub(owner).GrantTrial(request)
        except PEER_ERRORS:
            return TrialAnswer(False, retry_after_ms=TRIAL_RETRY_MS)
        return TrialAnswer(
            reply.granted, reply.reason == "quarantined", reply.retry_after_ms
        )

    async def report_trial(
        self, fingerprint: bytes, outcome: TrialOutcome
    ) -> None:
        """Reports the outcome of a trial to the owner of the fingerprint.

        A lost report only delays the decision: the permit expires at the
        owner, and a crash is also reported by the fingerprints in digests.
        """
        own = self._roster.own.name
        owner = self._roster.find_peer(
            self._roster.find_trial_owner(fingerprint)
        )
        if owner is None or owner.name == own:
            finish_trial(self._trials, fingerprint, own, outcome)
            return
        report = pb.TrialReport(
            fingerprint=fingerprint,
            crashed=outcome is TrialOutcome.CRASHED,
            inconclusive=outcome is TrialOutcome.INCONCLUSIVE,
            holder=own,
        )
        for _ in range(2):
            try:
                async with asyncio.timeout(self._limits.unary_timeout_s):
                    await self._stub(owner).ReportTrial(report)
                return
            except PEER_ERRORS:
                continue

    async def hand_over(self, records: list[HandedRecord]) -> list[str]:
        """Hands records to successors; returns the IDs that were accepted."""
        return await self._hand_over_sender.run(records)

    async def fetch_text(
        self, peer: Peer, current: FleetConfig | None
    ) -> Result[str | None, str]:
        """Returns a peer's text, or None if the peer has no newer one.

        The peer sends only the difference from the current text if it still
        knows that text.
        """
        fetched = await self._request_text(peer, current)
        if isinstance(fetched, Err):
            return fetched
        source = read_text_reply(fetched.ok_value, current)
        if source is None and fetched.ok_value.hunks:
            fetched = await self._request_text(peer, None)
            if isinstance(fetched, Err):
                return fetched
            source = read_text_reply(fetched.ok_value, None)
        return Ok(source)

    async def _request_text(
        self, peer: Peer, current: FleetConfig | None
    ) -> Result[pb.TextReply, str]:
        request = pb.TextRequest(
            newer_than=current.version if current else -1,
            digest=current.digest if current else b"",
        )
        try:
            async with asyncio.timeout(self._limits.unary_timeout_s):
                async with self._stub(peer).GetText.open() as stream:
                    await stream.send_message(request, end=True)
                    limit_message_size(stream, self._limits.max_text_bytes)
                    reply = await stream.recv_message()
        except PEER_ERRORS as error:
            return Err(f"{peer.name}: {type(error).__name__}")
        return Ok(reply or pb.TextReply())

    def _stub(self, peer: Peer) -> PeersStub:
        return PeersStub(self._channels.open(peer.host, peer.port))

    def _find_holders(
        self, name: str, incarnation: int
    ) -> Iterator[tuple[Peer, bool]]:
        minter = self._roster.find_peer(name)
        same_incarnation = (
            minter is not None and minter.incarnation == incarnation
        )
        if minter and same_incarnation and self._roster.is_live(name):
            yield minter, True
        active_successors = 0
        ranked = self._roster.rank_successors(
            name, incarnation, include_draining=True
        )
        for successor in ranked[:MAX_SUCCESSORS_ASKED]:
            yield successor, False
            active_successors += not successor.draining
            if active_successors == MAX_SUCCESSORS:
                return

    async def _read_from_holder(
        self, peer: Peer, call: PeerCall, is_minter: bool
    ) -> AsyncGenerator[AnswerPart, None]:
        """Yields an answer, buffered while it may be a non-holder's refusal."""
        buffered: list[AnswerPart] | None = []
        buffered_bytes = 0
        async with aclosing(self._read_parts(peer, call)) as parts:
            async for part in parts:
                if buffered is None:
                    yield part
                    continue
                buffered.append(part)
                buffered_bytes += len(part.data)
                if part.verdict and is_not_holder(part.verdict, is_minter):
                    raise _NotHolderError
                if not _may_be_refusal(buffered, buffered_bytes):
                    for ready in buffered:
                        yield ready
                    buffered = None
        for ready in buffered or ():
            yield ready

    async def _read_parts(
        self, peer: Peer, call: PeerCall
    ) -> AsyncGenerator[AnswerPart, None]:
        if peer.name == self._roster.own.name:
            ended = False
            assert self._handler is not None, "no handler was attached"
            async for part in self._handler.serve_peer(call):
                ended = part.verdict is not None
                yield part
            if not ended:
                raise ConnectionError("own answer ended without a verdict")
            return
        metadata = {INCARNATION_KEY: str(peer.incarnation)}
        async with self._stub(peer).Forward.open(metadata=metadata) as stream:
            async with asyncio.timeout(self._limits.connect_timeout_s):
                await stream.send_request()
            limit_message_size(stream, 2 * self._limits.max_chunk_bytes)
            async with asyncio.timeout(self._limits.send_timeout_s):
                await stream.send_message(peerwire.pack_call(call), end=True)
            ended = False
            while not ended:
                chunk = await self._receive(stream, peer)
                part = peerwire.unpack_chunk(chunk)
                ended = part.verdict is not None
                yield part

    async def _receive(self, stream: AnyStream, peer: Peer) -> pb.AnswerChunk:
        """Waits for a chunk for as long as the peer is live.

        The wait may last until the deadline of the request. A timeout on the
        read itself could interrupt it in the middle of a message.
        """
        read = asyncio.ensure_future(stream.recv_message())
        try:
            while not read.done():
                await asyncio.wait({read}, timeout=LIVENESS_CHECK_S)
                known = self._roster.find_peer(peer.name)
                same_incarnation = (
                    known and known.incarnation == peer.incarnation
                )
                if not read.done() and not (
                    same_incarnation and self._roster.is_live(peer.name)
                ):
                    raise TimeoutError(f"{peer.name} is no longer live")
        finally:
            read.cancel()
        chunk: pb.AnswerChunk | None = read.result()
        if chunk is None:
            raise ConnectionError(
                f"{peer.name} ended the stream without a verdict"
            )
        return chunk


def read_text_reply(
    reply: pb.TextReply, current: FleetConfig | None
) -> str | None:
    """Returns the source in a reply.

    Returns None if the reply has no source, or if its hunks do not produce a
    text with its digest.
    """
    if reply.yaml or not reply.hunks or current is None:
        return reply.yaml or None
    hunks = [Hunk(hunk.start, hunk.end, hunk.text) for hunk in reply.hunks]
    source = apply_delta(current.source, hunks)
    if source is None:
        return None
    digest = hashlib.sha256(source.encode()).digest()
    return source if digest == reply.digest else None


def is_not_holder(verdict: Verdict, is_minter: bool) -> bool:
    """Tells whether a verdict means that the peer does not hold the record."""
    if isinstance(verdict, Completed):
        return False
    if is_minter:
        # The verdict of the process that minted the ID is final, except that
        # it may have handed the record over.
        return verdict == NotRun(Reason.HANDED_OVER, verdict.retry_after_ms)
    return verdict.reason in _NOT_HOLDER_REASONS


def _may_be_refusal(buffered: list[AnswerPart], buffered_bytes: int) -> bool:
    if buffered[-1].verdict is not None or buffered_bytes > MAX_BUFFERED_BYTES:
        return False
    head = next((part.head for part in buffered if part.head), None)
    return head is None or head.status >= 400
