"""Exchanges digests with the other instances in UDP datagrams.

A digest is current for about 50 ms, and the next one replaces it if it is
lost. On a link with packet loss, a stream would delay all later digests.
"""

from collections.abc import Callable

import anyio
from anyio.abc import UDPSocket
from google.protobuf.message import DecodeError

from peridotbend.domain.clock import Clock
from peridotbend.edge.allowances import AllowanceUse
from peridotbend.edge.peers import Digest, PeerRegistry
from peridotbend.edge.settings import Address
from peridotbend.wire import edge_pb2 as pb

# Digests are sent at least the minimum interval apart; one without changes is
# sent after the maximum interval.
MIN_SEND_INTERVAL_MS = 50
MAX_SEND_INTERVAL_MS = 300
# A larger datagram would be fragmented, and lost with any of its fragments.
MAX_DATAGRAM_BYTES = 1_400
# Hosts listed in one digest; receivers learn the others from other peers.
MAX_KNOWN_HOSTS = 64


class Gossip:
    """Sends the digests of this process and receives those of peers."""

    def __init__(
        self,
        listen_address: Address,
        peers: PeerRegistry,
        build_digest: Callable[[int], Digest],
        apply_digest: Callable[[Digest], None],
        on_peer_lost: Callable[[str], None],
        clock: Clock,
    ):
        self._listen_address = listen_address
        self._peers = peers
        self._build_digest = build_digest
        self._apply_digest = apply_digest
        self._on_peer_lost = on_peer_lost
        self._clock = clock
        self._sequence = 0

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
        last_content: object = None
        sent_at_ms = 0
        while True:
            await anyio.sleep(MIN_SEND_INTERVAL_MS / 1_000)
            self._peers.check(self._on_peer_lost)
            digest = self._build_digest(self._sequence)
            spent = {n: use.spent for n, use in digest.allowances.items()}
            content = digest.in_flight, spent, digest.is_draining
            now_ms = self._clock.now_ms()
            if (
                content == last_content
                and now_ms - sent_at_ms < MAX_SEND_INTERVAL_MS
            ):
                continue
            last_content, sent_at_ms = content, now_ms
            self._sequence += 1
            data = encode_digest(digest)
            for host in self._peers.choose_hosts():
                try:
                    await socket.sendto(data, host, port)
                except OSError:
                    # The next digest follows after 50 to 300 ms; PeerRegistry
                    # logs a peer that stays unreachable.
                    continue

    async def _receive(self, socket: UDPSocket) -> None:
        async for data, (host, _port) in socket:
            digest = decode_digest(data)
            if digest is None or digest.host != host:
                continue
            if self._peers.accept(digest):
                self._apply_digest(digest)


def encode_digest(digest: Digest) -> bytes:
    """Returns a datagram.

    A datagram that would be too large omits its least urgent entries.
    """
    message = pb.UseDigest(
        name=digest.name,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        host=digest.host,
        draining=digest.is_draining,
        known_hosts=digest.known_hosts[:MAX_KNOWN_HOSTS],
        feeds=[
            pb.FeedState(prefix=prefix, revision=revision)
            for prefix, revision in digest.revisions.items()
        ],
        uses=[
            pb.TargetUse(target=target, in_flight=count)
            for target, count in digest.in_flight.items()
        ],
        accounts=[
            pb.AccountUse(
                account=account, spent_tokens=use.spent, level_tokens=use.level
            )
            for account, use in digest.allowances.items()
        ],
        crashes=[
            pb.CrashCount(fingerprint=fingerprint, crashes=count)
            for fingerprint, count in digest.crashes.items()
        ],
    )
    for name in ("crashes", "known_hosts", "accounts", "uses"):
        entries = getattr(message, name)
        while message.ByteSize() > MAX_DATAGRAM_BYTES and entries:
            del entries[len(entries) // 2 :]
    return message.SerializeToString()


def decode_digest(data: bytes) -> Digest | None:
    """Returns a digest, or None if the datagram is malformed."""
    message = pb.UseDigest()
    try:
        message.ParseFromString(data)
    except DecodeError:
        return None
    if not message.name or not message.host:
        return None
    return Digest(
        name=message.name,
        incarnation=message.incarnation,
        sequence=message.sequence,
        host=message.host,
        is_draining=message.draining,
        known_hosts=tuple(message.known_hosts[:MAX_KNOWN_HOSTS]),
        revisions={feed.prefix: feed.revision for feed in message.feeds},
        in_flight={use.target: use.in_flight for use in message.uses},
        allowances={
            use.account: AllowanceUse(use.spent_tokens, use.level_tokens)
            for use in message.accounts
        },
        crashes={c.fingerprint: c.crashes for c in message.crashes},
    )
