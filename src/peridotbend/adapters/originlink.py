"""Carries notices on the origins of streams in UDP datagrams."""

import anyio
from anyio.abc import UDPSocket
from google.protobuf.message import DecodeError

from peridotbend.edge.originpeers import (
    MAX_VERSION_CHARS,
    OriginNotice,
    OriginPeers,
)
from peridotbend.edge.settings import Address
from peridotbend.wire import edge_pb2 as pb

# Questions within this time share a datagram: the streams of one target break
# off together.
COALESCE_S = 0.003


class OriginLink:
    """Sends the notices of this process and receives those of others."""

    def __init__(self, listen_address: Address, peers: OriginPeers):
        """Creates the link.

        Args:
            listen_address: where notices arrive; the port is the same on all
                instances.
            peers: decides what to send, and applies what arrives.
        """
        self._listen_address = listen_address
        self._peers = peers
        self._due = anyio.Event()
        # Answers and own notices are sent by two tasks.
        self._sending = anyio.Lock()
        peers.on_due = self._note_due

    async def run(self) -> None:
        """Exchanges notices until cancelled."""
        host, port = self._listen_address
        async with (
            await anyio.create_udp_socket(
                local_host=host, local_port=port
            ) as socket,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._receive, socket)
            while True:
                await self._due.wait()
                await anyio.sleep(COALESCE_S)
                self._due = anyio.Event()
                for notice, hosts in self._peers.collect():
                    data = encode_notice(notice)
                    for receiver in hosts:
                        await self._send(socket, data, receiver)

    def _note_due(self) -> None:
        self._due.set()

    async def _receive(self, socket: UDPSocket) -> None:
        async for data, (host, _port) in socket:
            notice = decode_notice(data)
            if notice is None:
                continue
            for answer in self._peers.receive(host, notice):
                await self._send(socket, encode_notice(answer), host)

    async def _send(self, socket: UDPSocket, data: bytes, host: str) -> None:
        try:
            async with self._sending:
                await socket.sendto(data, host, self._listen_address[1])
        except (OSError, ValueError):
            # An instance that is away does not answer; who asks does not
            # depend on any single one. A host that is no address is a
            # ValueError.
            return


def encode_notice(notice: OriginNotice) -> bytes:
    """Returns a datagram."""
    return pb.OriginNotice(
        asked=notice.asked,
        told=notice.told.keys(),
        versions=notice.told.values(),
        unknown=notice.unknown,
    ).SerializeToString()


def decode_notice(data: bytes) -> OriginNotice | None:
    """Returns the content of a datagram; None if it is not valid."""
    try:
        message = pb.OriginNotice.FromString(data)
    except DecodeError:
        return None
    if len(message.told) != len(message.versions):
        return None
    if any(len(version) > MAX_VERSION_CHARS for version in message.versions):
        return None
    return OriginNotice(
        tuple(message.asked),
        dict(zip(message.told, message.versions, strict=True)),
        tuple(message.unknown),
    )
