"""Transfers changes that the platform published between instances."""

from collections.abc import Mapping

import anyio
import grpclib.server
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from peridotbend.adapters.peers import (
    PEER_ERRORS,
    ChannelPool,
    limit_message_size,
)
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.feeds import Feed
from peridotbend.edge.published import Changes, FeedState, Item, Position
from peridotbend.wire import edge_pb2 as pb
from peridotbend.wire.edge_grpc import PublishedBase, PublishedStub

FETCH_TIMEOUT_S = 1.0
MAX_REQUEST_BYTES = 16_384
# A single configuration may take 1 MB.
MAX_REPLY_BYTES = 16 * 1_048_576
# Greatest revision, era and order of a store.
MAX_SEQUENCE = 2**63 - 1


class PublishedServer(PublishedBase):
    """Serves known changes to peers."""

    def __init__(self, feeds: Mapping[str, Feed]):
        self._feeds = feeds

    async def ListChanges(  # noqa: N802 (name fixed by the protocol)
        self,
        stream: "grpclib.server.Stream[pb.ChangesRequest, pb.ChangesReply]",
    ) -> None:
        """Sends what is known beyond the state of the caller."""
        limit_message_size(stream, MAX_REQUEST_BYTES)
        request = await stream.recv_message()
        feed = self._feeds.get(request.prefix) if request else None
        if request is None or feed is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "unknown prefix")
        after = FeedState(Position(request.era, request.after), request.version)
        await stream.send_message(pack_changes(feed.items.list_changes(after)))


class PublishedFetcher:
    """Fetches changes from peers."""

    def __init__(self, channels: ChannelPool, port: int, log: EventLog):
        self._channels = channels
        self._port = port
        self._log = log

    async def fetch(
        self, host: str, prefix: str, after: FeedState
    ) -> Changes | None:
        """Returns what a peer knows beyond a state, or None on failure."""
        channel = self._channels.open(host, self._port)
        try:
            with anyio.fail_after(FETCH_TIMEOUT_S):
                request = pb.ChangesRequest(
                    prefix=prefix,
                    after=after.position.revision,
                    era=after.position.era,
                    version=after.version,
                )
                stub = PublishedStub(channel)
                async with stub.ListChanges.open() as stream:
                    await stream.send_message(request, end=True)
                    limit_message_size(stream, MAX_REPLY_BYTES)
                    reply = await stream.recv_message()
        except (*PEER_ERRORS, TimeoutError) as error:
            self._channels.drop(host, self._port)
            self._log.emit(
                Event.PEER_FETCH_FAILED,
                peer=host,
                prefix=prefix,
                detail=f"{type(error).__name__}: {error}",
            )
            return None
        except anyio.get_cancelled_exc_class():
            # Another peer was faster. The connection may be dead, and the next
            # call would hang as well.
            self._channels.drop(host, self._port)
            raise
        if reply is None:
            return None
        changes = unpack_changes(reply, prefix)
        if changes is None:
            self._log.emit(
                Event.PEER_FETCH_FAILED,
                peer=host,
                prefix=prefix,
                detail="changes that no store publishes",
            )
        return changes


def pack_changes(changes: Changes) -> pb.ChangesReply:
    """Converts changes to a message."""
    return pb.ChangesReply(
        items=[
            pb.PublishedItem(
                key=item.key,
                revision=item.position.revision,
                value=item.value or b"",
                removed=item.value is None,
                era=item.position.era,
                first_order=item.order[0],
                second_order=item.order[1],
            )
            for item in changes.items
        ],
        revision=changes.position.revision,
        whole=changes.is_whole,
        era=changes.position.era,
    )


def unpack_changes(reply: pb.ChangesReply, prefix: str) -> Changes | None:
    """Returns changes below a prefix; None if no store publishes such ones.

    A number that no later change exceeds would hide all later changes.
    """
    numbers = [reply.revision, reply.era]
    for item in reply.items:
        if not item.key.startswith(prefix):
            return None
        numbers += [item.revision, item.era]
        numbers += [item.first_order, item.second_order]
    if max(numbers) > MAX_SEQUENCE:
        return None
    items = tuple(
        Item(
            item.key,
            Position(item.era, item.revision),
            None if item.removed else item.value,
            (item.first_order, item.second_order),
        )
        for item in reply.items
    )
    return Changes(items, Position(reply.era, reply.revision), reply.whole)
