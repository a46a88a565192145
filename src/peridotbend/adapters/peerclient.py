"""Client side of the peer protocol: forwards, hand-over, trials, texts."""

import asyncio
import hashlib
from collections.abc import AsyncGenerator, AsyncIterator, Iterator
from contextlib import aclosing

from result import Err, Ok, Result

from peridotbend.adapters import peerwire
from peridotbend.adapters.peerhandover import MAX_HEIRS, HandOver
from peridotbend.adapters.peers import (
    INCARNATION_KEY,
    PEER_ERRORS,
    AnyStream,
    ChannelPool,
    PeerLimits,
    TrialKeeper,
    bound_messages,
    finish_trial,
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

# Draining peers may hold records that they took over; they are asked as well.
MAX_ASKED = 6
# How often a waiting forward checks that the peer still lives.
LIVENESS_S = 0.25
TRIAL_RETRY_MS = 1_000
# Error answers are held back until their verdict tells whether the peer is
# the holder; larger ones are answers of targets.
MAX_HELD_BYTES = 65_536

# How a peer that does not hold the record answers. An heir has not the
# minter's key, so to it an ID of the minter looks forged.
_NO_HOLDER = frozenset(
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
    """PeerClient over gRPC."""

    def __init__(
        self,
        roster: Roster,
        channels: ChannelPool,
        keeper: TrialKeeper,
        log: EventLog,
        limits: PeerLimits,
    ):
        self._roster = roster
        self._channels = channels
        self._handler: PeerHandler | None = None
        self._keeper = keeper
        self._limits = limits
        self._hand_over = HandOver(roster, channels, log, limits)

    def attach_handler(self, handler: PeerHandler) -> None:
        """Sets what serves calls for records that this process holds."""
        self._handler = handler

    async def forward(
        self, name: str, incarnation: int, call: PeerCall
    ) -> AsyncIterator[AnswerPart]:
        """Yields the parts of the answer from the holder of the record.

        Raises:
            PeerUnreachableError: nobody that holds the record answered, or
                the answer broke off; the caller may resume with an offset.
        """
        for peer, is_minter in self._find_holders(name, incarnation):
            begun = False
            try:
                async with aclosing(self._ask(peer, call, is_minter)) as parts:
                    async for part in parts:
                        begun = True
                        yield part
                return
            except _NotHolderError:
                continue
            except (*PEER_ERRORS, ValueError) as error:
                if begun:
                    raise PeerUnreachableError(
                        f"the answer from {peer.name} broke off"
                    ) from error
        raise PeerUnreachableError(f"no holder of records of {name} answered")

    async def request_trial(
        self, fingerprint: bytes, permit_ms: int
    ) -> TrialAnswer:
        """Asks the owner of the fingerprint for permission to run it."""
        own = self._roster.own.name
        owner = self._roster.find_peer(
            self._roster.find_trial_owner(fingerprint)
        )
        if owner is None or owner.name == own:
            return self._keeper.grant_trial(fingerprint, own, permit_ms)
        request = pb.TrialRequest(
            fingerprint=fingerprint,
            holder=own,
            permit_ms=peerwire.clamp_ms(permit_ms),
        )
        try:
            async with asyncio.timeout(self._limits.unary_s):
                reply = await self._stub(owner).GrantTrial(request)
        except PEER_ERRORS:
            return TrialAnswer(False, retry_after_ms=TRIAL_RETRY_MS)
        return TrialAnswer(
            reply.granted, reply.reason == "quarantined", reply.retry_after_ms
        )

    async def report_trial(
        self, fingerprint: bytes, outcome: TrialOutcome
    ) -> None:
        """Tells the owner how the trial ended.

        A report that is lost costs time only: the owner's permit lapses, and
        a crash also spreads with the fingerprints in the digests.
        """
        own = self._roster.own.name
        owner = self._roster.find_peer(
            self._roster.find_trial_owner(fingerprint)
        )
        if owner is None or owner.name == own:
            finish_trial(self._keeper, fingerprint, own, outcome)
            return
        report = pb.TrialReport(
            fingerprint=fingerprint,
            crashed=outcome is TrialOutcome.CRASHED,
            inconclusive=outcome is TrialOutcome.INCONCLUSIVE,
            holder=own,
        )
        for _ in range(2):
            try:
                async with asyncio.timeout(self._limits.unary_s):
                    await self._stub(owner).ReportTrial(report)
                return
            except PEER_ERRORS:
                continue

    async def hand_over(self, records: list[HandedRecord]) -> list[str]:
        """Hands records to heirs and returns the IDs that were accepted."""
        return await self._hand_over.run(records)

    async def fetch_text(
        self, peer: Peer, current: FleetConfig | None
    ) -> Result[str | None, str]:
        """Returns a peer's text, or None if it has none that is newer.

        Only the difference from the current text travels where the peer
        still knows that text.
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
            async with asyncio.timeout(self._limits.unary_s):
                async with self._stub(peer).GetText.open() as stream:
                    await stream.send_message(request, end=True)
                    bound_messages(stream, self._limits.max_text_bytes)
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
        same = minter is not None and minter.incarnation == incarnation
        if minter and same and self._roster.is_live(name):
            yield minter, True
        heirs = 0
        ranked = self._roster.rank_successors(
            name, incarnation, include_draining=True
        )
        for heir in ranked[:MAX_ASKED]:
            yield heir, False
            heirs += not heir.draining
            if heirs == MAX_HEIRS:
                return

    async def _ask(
        self, peer: Peer, call: PeerCall, is_minter: bool
    ) -> AsyncGenerator[AnswerPart, None]:
        """Yields an answer, held back until it is the holder's for sure."""
        held: list[AnswerPart] | None = []
        held_bytes = 0
        async with aclosing(self._read(peer, call)) as parts:
            async for part in parts:
                if held is None:
                    yield part
                    continue
                held.append(part)
                held_bytes += len(part.data)
                if part.verdict and is_no_holder(part.verdict, is_minter):
                    raise _NotHolderError
                if not _may_be_refusal(held, held_bytes):
                    for ready in held:
                        yield ready
                    held = None
        for ready in held or ():
            yield ready

    async def _read(
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
            async with asyncio.timeout(self._limits.connect_s):
                await stream.send_request()
            bound_messages(stream, 2 * self._limits.max_chunk_bytes)
            async with asyncio.timeout(self._limits.send_s):
                await stream.send_message(peerwire.pack_call(call), end=True)
            ended = False
            while not ended:
                chunk = await self._receive(stream, peer)
                part = peerwire.unpack_chunk(chunk)
                ended = part.verdict is not None
                yield part

    async def _receive(self, stream: AnyStream, peer: Peer) -> pb.AnswerChunk:
        """Waits for a chunk as long as the peer lives.

        The wait may last as long as the request's deadline. A time limit on
        the read itself could cut a message in two.
        """
        read = asyncio.ensure_future(stream.recv_message())
        try:
            while not read.done():
                await asyncio.wait({read}, timeout=LIVENESS_S)
                known = self._roster.find_peer(peer.name)
                same = known and known.incarnation == peer.incarnation
                if not read.done() and not (
                    same and self._roster.is_live(peer.name)
                ):
                    raise TimeoutError(f"{peer.name} is silent")
        finally:
            read.cancel()
        chunk: pb.AnswerChunk | None = read.result()
        if chunk is None:
            raise ConnectionError(f"{peer.name} ended without a verdict")
        return chunk


def read_text_reply(
    reply: pb.TextReply, current: FleetConfig | None
) -> str | None:
    """Returns the source in a reply; None if there is none or it is wrong."""
    if reply.yaml or not reply.hunks or current is None:
        return reply.yaml or None
    hunks = [Hunk(hunk.start, hunk.end, hunk.text) for hunk in reply.hunks]
    source = apply_delta(current.source, hunks)
    digest = hashlib.sha256(source.encode()).digest()
    return source if digest == reply.digest else None


def is_no_holder(verdict: Verdict, is_minter: bool) -> bool:
    """Tells whether a verdict means that the record is elsewhere."""
    if isinstance(verdict, Completed):
        return False
    if is_minter:
        # The minter's word on its own IDs is final, but for this one.
        return verdict == NotRun(Reason.HANDED_OVER, verdict.retry_after_ms)
    return verdict.reason in _NO_HOLDER


def _may_be_refusal(held: list[AnswerPart], held_bytes: int) -> bool:
    if held[-1].verdict is not None or held_bytes > MAX_HELD_BYTES:
        return False
    head = next((part.head for part in held if part.head), None)
    return head is None or head.status >= 400
