"""Server side of the peer protocol."""

from collections.abc import AsyncIterator, Mapping
from typing import TypeVar

import anyio
import grpclib.server
from google.protobuf.message import Message
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from peridotbend.adapters import peerwire
from peridotbend.adapters.peerlinks import PeerLinks
from peridotbend.adapters.peers import (
    INCARNATION_KEY,
    PEER_ERRORS,
    AnyStream,
    PeerLimits,
    TrialRegistry,
    finish_trial,
    limit_message_size,
    make_http2_configuration,
)
from peridotbend.adapters.serving import listen
from peridotbend.domain.events import Event
from peridotbend.domain.membership import Roster
from peridotbend.domain.ports import (
    AnswerPart,
    EventLog,
    PeerHandler,
    TrialOutcome,
)
from peridotbend.domain.text import FleetConfig
from peridotbend.domain.textdelta import Hunk, make_delta
from peridotbend.domain.textstore import ConfigStore
from peridotbend.wire import peer_pb2 as pb
from peridotbend.wire.edge_grpc import PathsBase
from peridotbend.wire.peer_grpc import PeersBase

T = TypeVar("T")
R = TypeVar("R")

RECEIVE_TIMEOUT_S = 5.0
MAX_FINGERPRINT_BYTES = 32


class PeerServer(PeersBase):
    """Answers the calls of peers, with limits on their time and size."""

    def __init__(
        self,
        roster: Roster,
        store: ConfigStore,
        handler: PeerHandler,
        trials: TrialRegistry,
        links: PeerLinks,
        log: EventLog,
        limits: PeerLimits,
        paths: PathsBase | None = None,
    ):
        """Creates the server.

        Args:
            roster: the known instances.
            store: the text in force.
            handler: serves calls of peers.
            trials: permits to run suspected requests.
            links: streams of digests.
            log: receives events.
            limits: on time and size.
            paths: connects to targets for peers, at the same address.
        """
        self._services: list[PeersBase | PathsBase] = [self]
        if paths is not None:
            self._services.append(paths)
        self._roster = roster
        self._store = store
        self._handler = handler
        self._trials = trials
        self._links = links
        self._log = log
        self._limits = limits
        self._active_forwards = 0
        # Digest of the text that the deltas lead to; the deltas are stored by
        # the digest of the past text that they start from.
        self._delta_target_digest = b""
        self._deltas_by_base: dict[bytes, list[Hunk]] = {}
        self._server: grpclib.server.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listens for peers and returns the port."""
        listener = listen(host, port)
        listener.setblocking(False)
        server = grpclib.server.Server(
            self._services, config=make_http2_configuration()
        )
        await server.start(sock=listener)
        self._server = server
        bound_port: int = listener.getsockname()[1]
        return bound_port

    async def stop(self) -> None:
        """Stops listening and cancels the calls in progress."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
            self._server = None

    async def Exchange(  # noqa: N802 (name fixed by the protocol)
        self, stream: "grpclib.server.Stream[pb.Digest, pb.Digest]"
    ) -> None:
        """Serves a neighbour's stream of digests."""
        await self._links.serve(stream)

    async def Forward(  # noqa: N802 (name fixed by the protocol)
        self, stream: "grpclib.server.Stream[pb.ForwardCall, pb.AnswerChunk]"
    ) -> None:
        """Serves a call that another instance received."""
        self._check_incarnation(stream)
        if self._active_forwards >= self._limits.max_forwards:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many forwards")
        self._active_forwards += 1
        try:
            call = await self._receive(stream, self._limits.max_forward_bytes)
            try:
                unpacked = peerwire.unpack_call(call)
            except ValueError as error:
                raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
            parts = self._handler.serve_peer(unpacked)
            with anyio.fail_after(self._limits.forward_timeout_s):
                await self._send_parts(stream, parts, max(0, call.offset))
        except TimeoutError as error:
            raise GRPCError(Status.DEADLINE_EXCEEDED) from error
        finally:
            self._active_forwards -= 1

    async def HandOver(  # noqa: N802 (name fixed by the protocol)
        self,
        stream: "grpclib.server.Stream[pb.HandOverBatch, pb.HandOverReply]",
    ) -> None:
        """Takes over records of an instance that shuts down."""
        self._check_incarnation(stream)
        if self._roster.own.draining:
            raise GRPCError(Status.FAILED_PRECONDITION, "draining")
        batch = await self._receive(stream, self._limits.max_batch_bytes)
        try:
            records = [peerwire.unpack_record(r) for r in batch.records]
        except (KeyError, ValueError) as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        accepted = self._handler.import_records(
            batch.from_name, batch.from_incarnation, records
        )
        self._log.emit(
            Event.HAND_OVER_RECEIVED,
            peer=batch.from_name,
            offered=len(records),
            accepted=len(accepted),
        )
        await self._reply(stream, pb.HandOverReply(accepted=accepted))

    async def GetText(  # noqa: N802 (name fixed by the protocol)
        self, stream: "grpclib.server.Stream[pb.TextRequest, pb.TextReply]"
    ) -> None:
        """Sends the text in force if it is newer than the peer's."""
        request = await self._receive(
            stream, self._limits.max_small_message_bytes
        )
        await self._reply(stream, self.make_text_reply(request))

    def make_text_reply(self, request: pb.TextRequest) -> pb.TextReply:
        """Returns the text in force, as a delta if the peer's text is known."""
        text = self._store.current
        if text is None or text.version <= request.newer_than:
            return pb.TextReply(version=self._store.version)
        reply = pb.TextReply(version=text.version, digest=text.digest)
        base = self._store.find_past(request.newer_than, request.digest)
        if base is None:
            reply.yaml = text.source
            return reply
        for hunk in self._find_delta(base, text):
            reply.hunks.add(start=hunk.start, end=hunk.end, text=hunk.text)
        return reply

    def _find_delta(self, base: FleetConfig, text: FleetConfig) -> list[Hunk]:
        """Returns the delta between two texts, computed once for all peers."""
        if self._delta_target_digest != text.digest:
            self._delta_target_digest = text.digest
            self._deltas_by_base.clear()
        if base.digest not in self._deltas_by_base:
            self._deltas_by_base[base.digest] = make_delta(
                base.source, text.source
            )
        return self._deltas_by_base[base.digest]

    async def GrantTrial(  # noqa: N802 (name fixed by the protocol)
        self, stream: "grpclib.server.Stream[pb.TrialRequest, pb.TrialReply]"
    ) -> None:
        """Grants or refuses the trial of a suspected request."""
        request = await self._receive(
            stream, self._limits.max_small_message_bytes
        )
        _check_fingerprint(request.fingerprint)
        answer = self._trials.grant_trial(
            request.fingerprint, request.holder, request.permit_ms
        )
        reason = "quarantined" if answer.quarantined else "busy"
        reply = pb.TrialReply(
            granted=answer.granted,
            reason="" if answer.granted else reason,
            retry_after_ms=peerwire.clamp_ms(answer.retry_after_ms),
        )
        await self._reply(stream, reply)

    async def ReportTrial(  # noqa: N802 (name fixed by the protocol)
        self,
        stream: "grpclib.server.Stream[pb.TrialReport, pb.TrialReportReply]",
    ) -> None:
        """Records the outcome of a trial."""
        report = await self._receive(
            stream, self._limits.max_small_message_bytes
        )
        _check_fingerprint(report.fingerprint)
        outcome = TrialOutcome.SUCCEEDED
        if report.inconclusive:
            outcome = TrialOutcome.INCONCLUSIVE
        elif report.crashed:
            outcome = TrialOutcome.CRASHED
        finish_trial(self._trials, report.fingerprint, report.holder, outcome)
        await self._reply(stream, pb.TrialReportReply())

    def _check_incarnation(self, stream: "grpclib.server.Stream[T, R]") -> None:
        metadata: Mapping[str, object] = stream.metadata or {}
        expected = metadata.get(INCARNATION_KEY)
        if expected != str(self._roster.own.incarnation):
            raise GRPCError(Status.FAILED_PRECONDITION, "other incarnation")

    async def _receive(
        self, stream: "grpclib.server.Stream[T, R]", max_bytes: int
    ) -> "T":
        limit_message_size(stream, max_bytes)
        try:
            with anyio.fail_after(RECEIVE_TIMEOUT_S):
                message = await stream.recv_message()
        except PEER_ERRORS as error:
            detail = type(error).__name__
            raise GRPCError(Status.INVALID_ARGUMENT, detail) from error
        if message is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "no message")
        return message

    async def _reply(self, stream: AnyStream, message: Message) -> None:
        try:
            with anyio.fail_after(self._limits.send_timeout_s):
                await stream.send_message(message)
        except TimeoutError as error:
            raise GRPCError(Status.DEADLINE_EXCEEDED) from error

    async def _send_parts(
        self, stream: AnyStream, parts: AsyncIterator[AnswerPart], offset: int
    ) -> None:
        size = self._limits.max_chunk_bytes
        async for part in parts:
            for chunk in split_part(part, offset, size):
                await self._reply(stream, chunk)
            offset += len(part.data)


def split_part(
    part: AnswerPart, offset: int, max_data_bytes: int
) -> list[pb.AnswerChunk]:
    """Converts a part to chunks of at most `max_data_bytes` bytes of data."""
    starts = range(0, max(1, len(part.data)), max_data_bytes)
    chunks = [
        pb.AnswerChunk(
            data=part.data[start : start + max_data_bytes],
            offset=offset + start,
        )
        for start in starts
    ]
    if part.head is not None:
        chunks[0].head.CopyFrom(peerwire.pack_head(part.head))
    if part.verdict is not None:
        chunks[-1].verdict.CopyFrom(peerwire.pack_verdict(part.verdict))
    return chunks


def _check_fingerprint(value: bytes) -> None:
    if not 0 < len(value) <= MAX_FINGERPRINT_BYTES:
        raise GRPCError(Status.INVALID_ARGUMENT, "fingerprint size")
