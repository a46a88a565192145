"""Keeps a stream of digests open to each neighbour.

Each neighbour has a task that opens the stream and reconnects it.
"""

import dataclasses
import random
from collections.abc import Awaitable, Callable

import anyio
import grpclib.server
from anyio.abc import TaskGroup
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from peridotbend.adapters.peerdigest import (
    BadDigestError,
    DigestBuilder,
    DigestSink,
    DigestSource,
)
from peridotbend.adapters.peers import (
    PEER_ERRORS,
    AnyStream,
    ChannelPool,
    PeerLimits,
    limit_message_size,
)
from peridotbend.domain.clock import Clock
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import PEER_TIMEOUT_MS, Peer
from peridotbend.wire import peer_pb2 as pb
from peridotbend.wire.peer_grpc import PeersStub

HEARTBEAT_S = 0.2
# Changes that occur within this time are sent in one digest.
COALESCE_S = 0.002
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# A server cancels a stream on which it received no digest for this long.
STREAM_IDLE_TIMEOUT_MS = 5_000

LINK_ERRORS = (*PEER_ERRORS, BadDigestError)
SendDigest = Callable[[pb.Digest], Awaitable[None]]


@dataclasses.dataclass(eq=False, slots=True)
class _LinkStream:
    """An open stream, cancelled by PeerLinks.run once it is dead."""

    scope: anyio.CancelScope
    # For a stream opened by a peer, when it last carried a digest; for a
    # stream of this process, when it was opened.
    last_activity_ms: int


class PeerLinks:
    """Manages the streams to and from the neighbours of this process."""

    def __init__(
        self,
        roster: Roster,
        source: DigestSource,
        sink: DigestSink,
        channels: ChannelPool,
        clock: Clock,
        rng: random.Random,
        limits: PeerLimits,
    ):
        self._roster = roster
        self._source = source
        self._sink = sink
        self._channels = channels
        self._clock = clock
        self._rng = rng
        self._limits = limits
        self._links: dict[str, tuple[Peer, anyio.CancelScope]] = {}
        self._outgoing: dict[str, _LinkStream] = {}
        self._incoming: set[_LinkStream] = set()
        self._update_requested = anyio.Event()
        self._send_due = anyio.Event()
        roster.subscribe_urgent(self.notify)

    def notify(self) -> None:
        """Makes all streams send their next digest without further delay."""
        self._update_requested.set()

    async def run(self) -> None:
        """Keeps a link to each neighbour until cancelled.

        All streams share one timer. With one timer per stream, the timers
        cost more than the digests.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_links(tasks)
                self._cancel_dead_streams()
                self._send_due.set()
                self._send_due = anyio.Event()
                with anyio.move_on_after(HEARTBEAT_S):
                    await self._update_requested.wait()
                    await anyio.sleep(COALESCE_S)
                if self._update_requested.is_set():
                    self._update_requested = anyio.Event()

    async def serve(
        self, stream: "grpclib.server.Stream[pb.Digest, pb.Digest]"
    ) -> None:
        """Serves a stream that a peer opened.

        Raises:
            GRPCError: the peer broke the protocol, or too many streams are
                open.
        """
        if len(self._incoming) >= self._limits.max_streams:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many streams")
        served = _LinkStream(anyio.CancelScope(), self._clock.now_ms())
        self._incoming.add(served)
        try:
            limit_message_size(stream, self._limits.max_digest_bytes)
            with served.scope:
                await self._serve(stream, served)
        except BadDigestError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        except PEER_ERRORS as error:
            if isinstance(error, GRPCError):
                raise
            detail = type(error).__name__
            raise GRPCError(Status.INVALID_ARGUMENT, detail) from error
        finally:
            self._incoming.discard(served)

    def _update_links(self, tasks: TaskGroup) -> None:
        wanted = {
            peer.name: peer
            for peer in self._roster.choose_neighbours(
                self._source.hooks.list_dividers()
            )
        }
        for name, (peer, scope) in list(self._links.items()):
            current = wanted.get(name)
            if current is None or (current.host, current.port) != (
                peer.host,
                peer.port,
            ):
                scope.cancel()
                del self._links[name]
        for name, peer in wanted.items():
            if name not in self._links:
                scope = anyio.CancelScope()
                self._links[name] = (peer, scope)
                tasks.start_soon(self._maintain_link, peer, scope)

    async def _maintain_link(
        self, peer: Peer, scope: anyio.CancelScope
    ) -> None:
        backoff_s = FIRST_BACKOFF_S
        with scope:
            while True:
                opened_at_ms = self._clock.now_ms()
                if not await self._try_exchange(peer):
                    self._channels.drop(peer.host, peer.port)
                if self._clock.now_ms() - opened_at_ms > PEER_TIMEOUT_MS:
                    backoff_s = FIRST_BACKOFF_S
                await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _try_exchange(self, peer: Peer) -> bool:
        """Runs one stream to its end and tells whether the channel works.

        Failed attempts to reconnect are not logged, since the roster logs the
        loss of the peer.
        """
        opened = _LinkStream(anyio.CancelScope(), self._clock.now_ms())
        with opened.scope:
            try:
                await self._exchange(peer, opened)
            except (GRPCError, BadDigestError):
                # Forwards use the same channel, so a refusal must not close it.
                return True
            except LINK_ERRORS:
                return False
        return False

    async def _exchange(self, peer: Peer, opened: _LinkStream) -> None:
        channel = self._channels.open(peer.host, peer.port)
        async with PeersStub(channel).Exchange.open() as stream:
            with anyio.fail_after(self._limits.connect_timeout_s):
                await stream.send_request()
            limit_message_size(stream, self._limits.max_digest_bytes)
            self._outgoing[peer.name] = opened
            try:
                await self._run_until_first_ends(
                    lambda: self._receive(stream),
                    lambda: self._send_to_outgoing(
                        peer.name, stream.send_message
                    ),
                )
            finally:
                self._outgoing.pop(peer.name, None)

    async def _serve(
        self,
        stream: "grpclib.server.Stream[pb.Digest, pb.Digest]",
        served: _LinkStream,
    ) -> None:
        first = await stream.recv_message()
        if first is None:
            return
        name = self._sink.apply(first)
        await self._run_until_first_ends(
            lambda: self._receive(stream, served),
            lambda: self._send_to_incoming(name, stream.send_message),
        )

    def _cancel_dead_streams(self) -> None:
        now = self._clock.now_ms()
        for name, opened in self._outgoing.items():
            silent = not self._roster.is_live(name)
            if silent and now - opened.last_activity_ms > PEER_TIMEOUT_MS:
                opened.scope.cancel()
        for served in self._incoming:
            if now - served.last_activity_ms > STREAM_IDLE_TIMEOUT_MS:
                served.scope.cancel()

    async def _run_until_first_ends(
        self, *functions: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs the functions until one of them ends, and raises its error.

        grpclib cancels the tasks that wait on a broken stream. Each function
        runs in its own task, so that this cancellation is not mistaken for
        one of the caller.
        """
        errors: list[Exception] = []

        async def run_function(function: Callable[[], Awaitable[None]]) -> None:
            try:
                await function()
            except LINK_ERRORS as error:
                errors.append(error)
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for function in functions:
                tasks.start_soon(run_function, function)
        if errors:
            raise errors[0]

    async def _receive(
        self, stream: AnyStream, served: _LinkStream | None = None
    ) -> None:
        while (digest := await stream.recv_message()) is not None:
            if served is not None:
                served.last_activity_ms = self._clock.now_ms()
            self._sink.apply(digest)

    async def _send_to_outgoing(self, name: str, send: SendDigest) -> None:
        digests = DigestBuilder(self._source)
        while True:
            send_due = self._send_due
            await send(digests.build(name))
            await send_due.wait()

    async def _send_to_incoming(self, name: str, send: SendDigest) -> None:
        """Sends digests on a stream that the peer opened.

        Sends nothing while this process has a stream of its own to the peer.
        """
        digests = DigestBuilder(self._source)
        while True:
            send_due = self._send_due
            if name not in self._outgoing:
                await send(digests.build(name))
            await send_due.wait()
