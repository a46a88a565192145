"""Exchanges digests with the other instances in UDP datagrams.

A digest is current for about 100 ms, and the next one replaces it if it is
lost. On a link with packet loss, a stream would delay all later digests.
"""

from collections.abc import Callable

import anyio
from anyio.abc import UDPSocket

from peridotbend.adapters.digests import (
    decode_digest,
    encode_digest,
    encode_echo,
)
from peridotbend.edge.exchange import DigestExchange, Outgoing
from peridotbend.edge.settings import Address


class Gossip:
    """Sends the digests of this process and receives those of peers."""

    def __init__(
        self,
        listen_address: Address,
        exchange: DigestExchange,
        on_collected: Callable[[], None],
    ):
        """Creates the exchange of datagrams.

        Args:
            listen_address: where digests arrive; the port is the same on all
                instances.
            exchange: decides what to send, and applies what arrives.
            on_collected: called after each update of what the exchange knows.
        """
        self._listen_address = listen_address
        self._exchange = exchange
        self._on_collected = on_collected
        self._changed = anyio.Event()

    def note_change(self) -> None:
        """Makes digests due, for example after a request started."""
        self._changed.set()

    async def run(self) -> None:
        """Exchanges digests until cancelled."""
        host, port = self._listen_address
        async with (
            await anyio.create_udp_socket(
                local_host=host, local_port=port
            ) as socket,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._receive, socket)
            await self._send(socket, port)

    async def _send(self, socket: UDPSocket, port: int) -> None:
        while True:
            self._changed = anyio.Event()
            for outgoing in self._exchange.collect():
                await _send_to_all(socket, port, outgoing)
            self._on_collected()
            # Changes within this time share a digest.
            await anyio.sleep(self._exchange.find_min_interval_ms() / 1_000)
            with anyio.move_on_after(self._exchange.find_wait_ms() / 1_000):
                await self._changed.wait()

    async def _receive(self, socket: UDPSocket) -> None:
        async for data, (host, _port) in socket:
            digest = decode_digest(data)
            if digest is None or digest.host != host:
                continue
            if self._exchange.receive(digest):
                self._changed.set()


async def _send_to_all(
    socket: UDPSocket, port: int, outgoing: Outgoing
) -> None:
    data = encode_digest(outgoing.digest)
    for index, host in enumerate(outgoing.hosts):
        echo = b""
        if outgoing.echoes:
            echo = encode_echo(outgoing.echoes[index])
        try:
            await socket.sendto(data + echo, host, port)
        except (OSError, ValueError):
            # The next digest follows soon; PeerRegistry logs a peer that
            # stays unreachable. A host that is no address is a ValueError.
            continue
