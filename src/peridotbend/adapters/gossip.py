"""Exchanges digests with the other instances by datagrams.

A digest is worth something for some 50 ms: a lost one is replaced by the
next, where a stream on a link that loses packets would delay all that follow.
"""

from collections.abc import Callable

import anyio
from anyio.abc import UDPSocket
from google.protobuf.message import DecodeError

from peridotbend.domain.clock import Clock
from peridotbend.edge.allowances import AllowanceUse
from peridotbend.edge.peers import Digest, PeerBook
from peridotbend.edge.settings import Address
from peridotbend.wire import edge_pb2 as pb

# News is sent this often at most, and something this often at least.
MIN_INTERVAL_MS = 50
MAX_INTERVAL_MS = 300
# Larger digests would be cut into several packets, and lost with any one.
MAX_BYTES = 1_400
# Hosts told in one digest; the rest is learnt from other peers.
MAX_HOSTS = 64


class Gossip:
    """Sends own digests and takes those of peers."""

    def __init__(
        self,
        own: Address,
        book: PeerBook,
        build: Callable[[int], Digest],
        apply: Callable[[Digest], None],
        lose: Callable[[str], None],
        clock: Clock,
    ):
        self._own = own
        self._book = book
        self._build = build
        self._apply = apply
        self._lose = lose
        self._clock = clock
        self._sequence = 0

    async def run(self) -> None:
        """Exchanges digests until cancelled."""
        host, port = self._own
        async with (
            await anyio.create_udp_socket(
                local_host=host, local_port=port
            ) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._receive, socket)
            await self._send(socket, port)

    async def _send(self, socket: UDPSocket, port: int) -> None:
        last_news: object = None
        sent_at_ms = 0
        while True:
            await anyio.sleep(MIN_INTERVAL_MS / 1_000)
            self._book.check(self._lose)
            digest = self._build(self._sequence)
            spent = {n: use.spent for n, use in digest.allowances.items()}
            news = digest.in_flight, spent, digest.is_draining
            now_ms = self._clock.now_ms()
            if news == last_news and now_ms - sent_at_ms < MAX_INTERVAL_MS:
                continue
            last_news, sent_at_ms = news, now_ms
            self._sequence += 1
            data = encode_digest(digest)
            for host in self._book.choose_hosts():
                try:
                    await socket.sendto(data, host, port)
                except OSError:
                    # The next digest is 50 ms away; the book logs a peer
                    # that stays unreachable.
                    continue

    async def _receive(self, socket: UDPSocket) -> None:
        async for data, (host, _port) in socket:
            digest = decode_digest(data)
            if digest is None or digest.host != host:
                continue
            if self._book.accept(digest):
                self._apply(digest)


def encode_digest(digest: Digest) -> bytes:
    """Returns a datagram; the least urgent parts are left out if too large."""
    message = pb.UseDigest(
        name=digest.name,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        host=digest.host,
        draining=digest.is_draining,
        known_hosts=digest.known_hosts[:MAX_HOSTS],
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
        while message.ByteSize() > MAX_BYTES and entries:
            del entries[len(entries) // 2 :]
    return message.SerializeToString()


def decode_digest(data: bytes) -> Digest | None:
    """Returns a digest, or None if the datagram holds none."""
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
        known_hosts=tuple(message.known_hosts[:MAX_HOSTS]),
        revisions={feed.prefix: feed.revision for feed in message.feeds},
        in_flight={use.target: use.in_flight for use in message.uses},
        allowances={
            use.account: AllowanceUse(use.spent_tokens, use.level_tokens)
            for use in message.accounts
        },
        crashes={c.fingerprint: c.crashes for c in message.crashes},
    )
