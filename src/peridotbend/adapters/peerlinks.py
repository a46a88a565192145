"""One task for each neighbour keeps a stream of digests to it."""

import random
from collections.abc import Awaitable, Callable

import anyio
import grpclib.server
from anyio.abc import TaskGroup
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from peridotbend.adapters.peerdigest import (
    BadDigestError,
    DigestSink,
    DigestSource,
    DigestStream,
)
from peridotbend.adapters.peers import (
    PEER_ERRORS,
    AnyStream,
    ChannelPool,
    PeerLimits,
    bound_messages,
)
from peridotbend.domain.clock import Clock
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import SILENCE_MS, Peer
from peridotbend.wire import peer_pb2 as pb
from peridotbend.wire.peer_grpc import PeersStub

HEARTBEAT_S = 0.2
# News that arrives together leaves in one digest.
COALESCE_S = 0.002
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# A stream that carries no digest for this long is given up by its server.
IDLE_S = 5.0

LINK_ERRORS = (*PEER_ERRORS, BadDigestError)
Send = Callable[[pb.Digest], Awaitable[None]]


class PeerLinks:
    """The streams to and from the neighbours of this process."""

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
        self._tasks: dict[str, tuple[Peer, anyio.CancelScope]] = {}
        self._open: set[str] = set()
        self._served = 0
        self._urgent = anyio.Event()
        roster.subscribe_urgent(self.notify)

    def notify(self) -> None:
        """Makes all streams send their next digest at once."""
        self._urgent.set()
        self._urgent = anyio.Event()

    async def run(self) -> None:
        """Keeps a link to each neighbour until it is cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                urgent = self._urgent
                self._adjust(group)
                with anyio.move_on_after(HEARTBEAT_S):
                    await urgent.wait()

    async def serve(
        self, stream: "grpclib.server.Stream[pb.Digest, pb.Digest]"
    ) -> None:
        """Serves a stream that a peer opened.

        Raises:
            GRPCError: the peer broke the protocol or there are too many.
        """
        if self._served >= self._limits.max_streams:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many streams")
        self._served += 1
        try:
            bound_messages(stream, self._limits.max_digest_bytes)
            await self._serve(stream)
        except BadDigestError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        except PEER_ERRORS as error:
            if isinstance(error, GRPCError):
                raise
            detail = type(error).__name__
            raise GRPCError(Status.INVALID_ARGUMENT, detail) from error
        finally:
            self._served -= 1

    def _adjust(self, group: TaskGroup) -> None:
        wanted = {
            peer.name: peer
            for peer in self._roster.neighbours(self._source.hooks.dividers())
        }
        for name, (peer, scope) in list(self._tasks.items()):
            now = wanted.get(name)
            if now is None or (now.host, now.port) != (peer.host, peer.port):
                scope.cancel()
                del self._tasks[name]
        for name, peer in wanted.items():
            if name not in self._tasks:
                scope = anyio.CancelScope()
                self._tasks[name] = (peer, scope)
                group.start_soon(self._keep_link, peer, scope)

    async def _keep_link(self, peer: Peer, scope: anyio.CancelScope) -> None:
        backoff_s = FIRST_BACKOFF_S
        with scope:
            while True:
                opened_at_ms = self._clock.now_ms()
                try:
                    await self._exchange(peer)
                except LINK_ERRORS as error:
                    # The roster logs the loss of a peer; a failed attempt
                    # to reconnect is no event of its own. Forwards share
                    # the channel: a refusal leaves it as it is.
                    if not isinstance(error, (GRPCError, BadDigestError)):
                        self._channels.drop(peer.host, peer.port)
                if self._clock.now_ms() - opened_at_ms > SILENCE_MS:
                    backoff_s = FIRST_BACKOFF_S
                await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _exchange(self, peer: Peer) -> None:
        channel = self._channels.open(peer.host, peer.port)
        async with PeersStub(channel).Exchange.open() as stream:
            with anyio.fail_after(self._limits.connect_s):
                await stream.send_request()
            bound_messages(stream, self._limits.max_digest_bytes)
            self._open.add(peer.name)
            try:
                await self._run_both(
                    lambda: self._receive(stream),
                    lambda: self._send_while_live(
                        peer.name, stream.send_message
                    ),
                )
            finally:
                self._open.discard(peer.name)

    async def _serve(
        self, stream: "grpclib.server.Stream[pb.Digest, pb.Digest]"
    ) -> None:
        with anyio.fail_after(IDLE_S):
            first = await stream.recv_message()
        if first is None:
            return
        name = self._sink.apply(first)
        await self._run_both(
            lambda: self._receive(stream, IDLE_S),
            lambda: self._answer(name, stream.send_message),
        )

    async def _run_both(self, *sides: Callable[[], Awaitable[None]]) -> None:
        """Receives and sends until either ends, and raises what ended it.

        grpclib cancels the tasks that wait on a stream that breaks. Both
        sides run in tasks of their own, so that this cancellation is not
        mixed up with that of the caller.
        """
        failure: list[Exception] = []

        async def run_side(side: Callable[[], Awaitable[None]]) -> None:
            try:
                await side()
            except LINK_ERRORS as error:
                failure.append(error)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            for side in sides:
                group.start_soon(run_side, side)
        if failure:
            raise failure[0]

    async def _receive(
        self, stream: AnyStream, idle_s: float | None = None
    ) -> None:
        while True:
            with anyio.fail_after(idle_s):
                digest = await stream.recv_message()
            if digest is None:
                return
            self._sink.apply(digest)

    async def _send_while_live(self, name: str, send: Send) -> None:
        opened_at_ms = self._clock.now_ms()
        digests = DigestStream(self._source)
        while True:
            urgent = self._urgent
            with anyio.fail_after(self._limits.connect_s):
                await send(digests.build(name))
            await self._wait(urgent)
            open_ms = self._clock.now_ms() - opened_at_ms
            if open_ms > SILENCE_MS and not self._roster.is_live(name):
                raise TimeoutError(f"{name} is silent")

    async def _answer(self, name: str, send: Send) -> None:
        """Sends on a peer's stream as long as no own stream leads to it."""
        digests = DigestStream(self._source)
        while True:
            urgent = self._urgent
            if name not in self._open:
                with anyio.fail_after(self._limits.connect_s):
                    await send(digests.build(name))
            await self._wait(urgent)

    async def _wait(self, urgent: anyio.Event) -> None:
        with anyio.move_on_after(HEARTBEAT_S):
            await urgent.wait()
            await anyio.sleep(COALESCE_S)
