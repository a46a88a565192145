"""Hands the records of a process that shuts down to its successors."""

import asyncio

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from peridotbend.adapters import peerwire
from peridotbend.adapters.peers import (
    INCARNATION_KEY,
    PEER_ERRORS,
    ChannelPool,
    PeerLimits,
    limit_message_size,
)
from peridotbend.domain.events import Event
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import Peer
from peridotbend.domain.ports import EventLog, HandedRecord
from peridotbend.wire import peer_pb2 as pb
from peridotbend.wire.peer_grpc import PeersStub

# Peers that records are offered to, in the order in which the roster ranks
# them as successors of this process.
MAX_SUCCESSORS = 3


class HandOverSender:
    """Offers records to successors; at most one of them accepts each record."""

    def __init__(
        self,
        roster: Roster,
        channels: ChannelPool,
        log: EventLog,
        limits: PeerLimits,
    ):
        self._roster = roster
        self._channels = channels
        self._log = log
        self._limits = limits

    async def run(self, records: list[HandedRecord]) -> list[str]:
        """Hands records to successors and returns the IDs that were accepted.

        Records are offered to the next successor only when the previous one
        cannot have accepted them: nothing was sent, the call was refused, or
        the reply does not list them as accepted.
        """
        own = self._roster.own
        accepted: list[str] = []
        remaining = records
        successors = self._roster.rank_successors(own.name, own.incarnation)
        for successor in successors[:MAX_SUCCESSORS]:
            refused: list[HandedRecord] = []
            for batch in split_batches(remaining, self._limits.batch_bytes):
                accepted_ids, to_retry = await self._offer(successor, batch)
                accepted += accepted_ids
                refused += to_retry
            remaining = refused
            if not remaining:
                break
        return accepted

    async def _offer(
        self, successor: Peer, batch: list[HandedRecord]
    ) -> tuple[list[str], list[HandedRecord]]:
        """Offers a batch.

        Returns the accepted IDs and the records to offer to the next successor.
        """
        own = self._roster.own
        message = pb.HandOverBatch(
            from_name=own.name,
            from_incarnation=own.incarnation,
            records=[peerwire.pack_record(record) for record in batch],
        )
        metadata = {INCARNATION_KEY: str(successor.incarnation)}
        stub = PeersStub(self._channels.open(successor.host, successor.port))
        sent = False
        try:
            async with asyncio.timeout(self._limits.hand_over_timeout_s):
                async with stub.HandOver.open(metadata=metadata) as stream:
                    await stream.send_request()
                    limit_message_size(stream, self._limits.max_batch_bytes)
                    sent = True
                    await stream.send_message(message, end=True)
                    reply = await stream.recv_message()
                if reply is None:
                    raise ConnectionError("no reply to the hand-over")
        except PEER_ERRORS as error:
            self._log.emit(
                Event.HAND_OVER_FAILED,
                peer=successor.name,
                records=len(batch),
                error=type(error).__name__,
            )
            refused = (
                isinstance(error, GRPCError)
                and error.status is Status.FAILED_PRECONDITION
            )
            return [], batch if refused or not sent else []
        accepted = set(reply.accepted)
        self._log.emit(
            Event.HAND_OVER_SENT,
            peer=successor.name,
            records=len(batch),
            accepted=len(accepted),
        )
        rejected = [r for r in batch if r.request_id not in accepted]
        return [
            r.request_id for r in batch if r.request_id in accepted
        ], rejected


def split_batches(
    records: list[HandedRecord], batch_bytes: int
) -> list[list[HandedRecord]]:
    """Splits records into batches of limited size.

    A record over the limit gets a batch of its own.
    """
    batches: list[list[HandedRecord]] = []
    remaining_bytes = 0
    for record in records:
        size = 512 + len(record.body) + len(record.answer)
        if not batches or size > remaining_bytes:
            batches.append([])
            remaining_bytes = batch_bytes
        batches[-1].append(record)
        remaining_bytes -= size
    return batches
