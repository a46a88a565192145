"""Hands the records of a process that shuts down to its heirs."""

import asyncio

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from peridotbend.adapters import peerwire
from peridotbend.adapters.peers import (
    INCARNATION_KEY,
    PEER_ERRORS,
    ChannelPool,
    PeerLimits,
    bound_messages,
)
from peridotbend.domain.events import Event
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import Peer
from peridotbend.domain.ports import EventLog, HandedRecord
from peridotbend.wire import peer_pb2 as pb
from peridotbend.wire.peer_grpc import PeersStub

MAX_HEIRS = 3


class HandOver:
    """Offers records to heirs, each record to one that may hold it."""

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
        """Hands records to heirs and returns the IDs that were accepted.

        A batch goes to the next heir only when it surely was not taken over
        by the one before: nothing was sent, or the reply refused a record.
        """
        own = self._roster.own
        accepted: list[str] = []
        left = records
        heirs = self._roster.rank_successors(own.name, own.incarnation)
        for heir in heirs[:MAX_HEIRS]:
            refused: list[HandedRecord] = []
            for batch in split_batches(left, self._limits.batch_bytes):
                taken, offer_next = await self._offer(heir, batch)
                accepted += taken
                refused += offer_next
            left = refused
            if not left:
                break
        return accepted

    async def _offer(
        self, heir: Peer, batch: list[HandedRecord]
    ) -> tuple[list[str], list[HandedRecord]]:
        """Offers a batch; returns IDs taken and records for the next heir."""
        own = self._roster.own
        message = pb.HandOverBatch(
            from_name=own.name,
            from_incarnation=own.incarnation,
            records=[peerwire.pack_record(record) for record in batch],
        )
        metadata = {INCARNATION_KEY: str(heir.incarnation)}
        stub = PeersStub(self._channels.open(heir.host, heir.port))
        sent = False
        try:
            async with asyncio.timeout(self._limits.hand_over_s):
                async with stub.HandOver.open(metadata=metadata) as stream:
                    await stream.send_request()
                    bound_messages(stream, self._limits.max_batch_bytes)
                    sent = True
                    await stream.send_message(message, end=True)
                    reply = await stream.recv_message()
                if reply is None:
                    raise ConnectionError("no reply to the hand-over")
        except PEER_ERRORS as error:
            self._log.emit(
                Event.HAND_OVER_FAILED,
                peer=heir.name,
                records=len(batch),
                error=type(error).__name__,
            )
            refused = (
                isinstance(error, GRPCError)
                and error.status is Status.FAILED_PRECONDITION
            )
            return [], batch if refused or not sent else []
        taken = set(reply.accepted)
        self._log.emit(
            Event.HAND_OVER_SENT,
            peer=heir.name,
            records=len(batch),
            accepted=len(taken),
        )
        left = [r for r in batch if r.request_id not in taken]
        return [r.request_id for r in batch if r.request_id in taken], left


def split_batches(
    records: list[HandedRecord], batch_bytes: int
) -> list[list[HandedRecord]]:
    """Splits records into batches of bounded size; a larger one is alone."""
    batches: list[list[HandedRecord]] = []
    room = 0
    for record in records:
        size = 512 + len(record.body) + len(record.answer)
        if not batches or size > room:
            batches.append([])
            room = batch_bytes
        batches[-1].append(record)
        room -= size
    return batches
