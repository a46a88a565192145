"""Connects to targets for instances that do not reach them."""

import contextlib
import ipaddress
from collections.abc import Iterator

import anyio
import grpclib.protocol
import grpclib.server
import httpcore
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from peridotbend.adapters.connections import is_connection_refused
from peridotbend.adapters.peers import limit_message_size
from peridotbend.adapters.sockets import TargetStream, connect
from peridotbend.domain.pathpeers import PathPeers
from peridotbend.domain.paths import TargetLookup, TargetPaths
from peridotbend.domain.targetreach import LinkFault
from peridotbend.wire import edge_pb2 as pb
from peridotbend.wire.edge_grpc import PathsBase

# Limit on what one message carries; longer data is divided.
MAX_CHUNK_BYTES = 65_536
MAX_MESSAGE_BYTES = MAX_CHUNK_BYTES + 1_024
# Connections that one instance holds for others. Each takes a descriptor, and
# up to 256 KB for a caller that reads slowly.
MAX_CONNECTIONS = 128
# How long the instance that asked may take to name the target, and to end the
# call after the last message.
FIRST_MESSAGE_TIMEOUT_S = 1.0
END_TIMEOUT_S = 1.0

# What each connection may have on its way to one that does not read. Direct
# ones buffer 256 KB.
STREAM_WINDOW_BYTES = 131_072

_Stream = grpclib.server.Stream[pb.PathChunk, pb.PathChunk]


def make_path_configuration() -> Configuration:
    """Returns HTTP/2 settings with which no connection holds up another.

    The window of the channel holds that of all connections of one peer.
    """
    return Configuration(
        http2_connection_window_size=MAX_CONNECTIONS * STREAM_WINDOW_BYTES,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
    )


class PathServer(PathsBase):
    """Passes on the bytes between another instance and a target.

    Only listed targets are reached, at the address that is listed here, and
    only by instances that this one knows.
    """

    def __init__(
        self,
        targets: TargetLookup,
        paths: TargetPaths,
        peers: PathPeers,
        connect_timeout_s: float,
    ):
        self._targets = targets
        self._paths = paths
        self._peers = peers
        self._connect_timeout_s = connect_timeout_s
        self._idle = anyio.Event()
        self.active = 0
        # Set when shutdown begins.
        self.is_closing = False

    async def wait_idle(self) -> None:
        """Returns when no connection is held for another instance."""
        while self.active:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def Connect(  # noqa: N802 (name fixed by the protocol)
        self, stream: _Stream
    ) -> None:
        """Serves one connection to a target."""
        limit_message_size(stream, MAX_MESSAGE_BYTES)
        if not self._is_instance(stream.peer):
            raise GRPCError(Status.PERMISSION_DENIED, "not an instance")
        first = None
        with anyio.move_on_after(FIRST_MESSAGE_TIMEOUT_S):
            first = await stream.recv_message()
        if first is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "no target was named")
        self.active += 1
        try:
            last = await self._serve(stream, first.target)
            if last is None:
                return
            await stream.send_message(last)
            # Until the other instance has read it, and ends the call.
            with anyio.move_on_after(END_TIMEOUT_S):
                while await stream.recv_message() is not None:
                    pass
        finally:
            self.active -= 1
            if not self.active:
                self._idle.set()

    def _is_instance(self, peer: grpclib.protocol.Peer | None) -> bool:
        address = peer.addr() if peer is not None else None
        if address is None:
            return False
        host = address[0]
        is_local = ipaddress.ip_address(host).is_loopback
        return is_local or self._peers.is_instance(host)

    async def _serve(self, stream: _Stream, name: str) -> pb.PathChunk | None:
        """Serves a connection to its end.

        Returns:
            the last message if there is no connection; None if it was sent.
        """
        target = self._targets.find(name)
        problem = ""
        if target is None:
            problem = "unknown target"
        elif self.is_closing:
            problem = "draining"
        elif self.active > MAX_CONNECTIONS:
            problem = "too many connections"
        elif self._paths.is_lost(target.service):
            problem = "no own links"
        if problem or target is None:
            return pb.PathChunk(state=pb.UNABLE, detail=problem)
        if self._paths.is_target_lost(target.service, name):
            return pb.PathChunk(
                state=pb.UNREACHABLE, detail="no own link to the target"
            )
        try:
            connection = await connect(
                target.host, target.port, self._connect_timeout_s
            )
        except (httpcore.ConnectTimeout, httpcore.ConnectError) as error:
            fault = LinkFault.REFUSED
            if isinstance(error, httpcore.ConnectTimeout):
                fault = LinkFault.HANGING
            self._paths.note_failed(
                target.service, target.name, fault, is_for_peer=True
            )
            # The links of this instance may be cut as well, so that it is not
            # the target that refuses.
            is_own_fault = self._paths.is_suspect(target.service)
            state = pb.UNREACHABLE
            if is_connection_refused(error) and not is_own_fault:
                state = pb.REFUSED
            return pb.PathChunk(state=state, detail=str(error))
        self._paths.note_connected(target.service)
        try:
            await stream.send_message(pb.PathChunk())
            await _pass_on(stream, connection)
            return None
        finally:
            await connection.aclose()


async def _pass_on(stream: _Stream, connection: TargetStream) -> None:
    """Passes bytes both ways, until the other instance ends the call."""
    has_ended = False

    async def send_to_target() -> None:
        # It receives for as long as the call lasts: a cancelled receipt may
        # have read a part of a message, and the next one would begin inside it.
        while (chunk := await stream.recv_message()) is not None:
            if has_ended:
                continue
            # Reading shows the end of the connection as well.
            with contextlib.suppress(httpcore.NetworkError):
                await connection.write(chunk.data, None)
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_to_target)
        last = await _send_to_instance(stream, connection)
        has_ended = True
        await connection.aclose()
        await stream.send_message(last)
        # Until the other instance has read it.
        tasks.cancel_scope.deadline = anyio.current_time() + END_TIMEOUT_S


async def _send_to_instance(
    stream: _Stream, connection: TargetStream
) -> pb.PathChunk:
    """Passes on what a target sends; returns how it ended the connection."""
    try:
        while data := await connection.read(MAX_CHUNK_BYTES, None):
            for part in split_data(data):
                await stream.send_message(pb.PathChunk(data=part))
        # The other instance can't tell whether a reset follows.
        await connection.confirm_end()
    except httpcore.NetworkError as error:
        return pb.PathChunk(state=pb.REFUSED, detail=str(error))
    return pb.PathChunk(state=pb.ENDED)


def split_data(data: bytes) -> Iterator[bytes]:
    """Yields data in parts that fit into a message."""
    for start in range(0, len(data), MAX_CHUNK_BYTES):
        yield data[start : start + MAX_CHUNK_BYTES]
