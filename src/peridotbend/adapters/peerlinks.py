"""One task for each neighbour keeps a stream of digests to it."""

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
from peridotbend.domain.peertable import PEER_TIMEOUT_MS, Peer
from peridotbend.wire import peer_pb2 as pb
from peridotbend.wire.peer_grpc import PeersStub

HEARTBEAT_S = 0.2
# News that arrives together leaves in one digest.
COALESCE_S = 0.002
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# A stream that carries no digest for this long is given up by its server.
IDLE_MS = 5_000

LINK_ERRORS = (*PEER_ERRORS, BadDigestError)
Send = Callable[[pb.Digest], Awaitable[None]]


@dataclasses.dataclass(eq=False, slots=True)
class _Stream:
    """An open stream, which the ticker cancels when it is dead."""

    scope: anyio.CancelScope
    # When a peer's stream carried a digest, or an own one was opened.
    since_ms: int


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
        self._open: dict[str, _Stream] = {}
        self._serving: set[_Stream] = set()
        self._news = anyio.Event()
        self._tick = anyio.Event()
        roster.subscribe_urgent(self.notify)

    def notify(self) -> None:
        """Makes all streams send their next digest at once."""
        self._news.set()

    async def run(self) -> None:
        """Keeps a link to each neighbour until it is cancelled.

        All streams share one timer: with one each, timers cost more than
        the digests.
        """
        async with anyio.create_task_group() as group:
            while True:
                self._adjust(group)
                self._cancel_dead()
                self._tick.set()
                self._tick = anyio.Event()
                with anyio.move_on_after(HEARTBEAT_S):
                    await self._news.wait()
                    await anyio.sleep(COALESCE_S)
                if self._news.is_set():
                    self._news = anyio.Event()

    async def serve(
        self, stream: "grpclib.server.Stream[pb.Digest, pb.Digest]"
    ) -> None:
        """Serves a stream that a peer opened.

        Raises:
            GRPCError: the peer broke the protocol or there are too many.
        """
        if len(self._serving) >= self._limits.max_streams:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many streams")
        served = _Stream(anyio.CancelScope(), self._clock.now_ms())
        self._serving.add(served)
        try:
            bound_messages(stream, self._limits.max_digest_bytes)
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
            self._serving.discard(served)

    def _adjust(self, group: TaskGroup) -> None:
        wanted = {
            peer.name: peer
            for peer in self._roster.choose_neighbours(
                self._source.hooks.dividers()
            )
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
                if not await self._try_exchange(peer):
                    self._channels.drop(peer.host, peer.port)
                if self._clock.now_ms() - opened_at_ms > PEER_TIMEOUT_MS:
                    backoff_s = FIRST_BACKOFF_S
                await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _try_exchange(self, peer: Peer) -> bool:
        """Runs one stream to its end; tells whether the channel works.

        The roster logs the loss of a peer; a failed attempt to reconnect is
        no event of its own.
        """
        opened = _Stream(anyio.CancelScope(), self._clock.now_ms())
        with opened.scope:
            try:
                await self._exchange(peer, opened)
            except (GRPCError, BadDigestError):
                # Forwards share the channel: a refusal leaves it as it is.
                return True
            except LINK_ERRORS:
                return False
        return False

    async def _exchange(self, peer: Peer, opened: _Stream) -> None:
        channel = self._channels.open(peer.host, peer.port)
        async with PeersStub(channel).Exchange.open() as stream:
            with anyio.fail_after(self._limits.connect_s):
                await stream.send_request()
            bound_messages(stream, self._limits.max_digest_bytes)
            self._open[peer.name] = opened
            try:
                await self._run_both(
                    lambda: self._receive(stream),
                    lambda: self._send(peer.name, stream.send_message),
                )
            finally:
                self._open.pop(peer.name, None)

    async def _serve(
        self,
        stream: "grpclib.server.Stream[pb.Digest, pb.Digest]",
        served: _Stream,
    ) -> None:
        first = await stream.recv_message()
        if first is None:
            return
        name = self._sink.apply(first)
        await self._run_both(
            lambda: self._receive(stream, served),
            lambda: self._answer(name, stream.send_message),
        )

    def _cancel_dead(self) -> None:
        now = self._clock.now_ms()
        for name, opened in self._open.items():
            silent = not self._roster.is_live(name)
            if silent and now - opened.since_ms > PEER_TIMEOUT_MS:
                opened.scope.cancel()
        for served in self._serving:
            if now - served.since_ms > IDLE_MS:
                served.scope.cancel()

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
        self, stream: AnyStream, served: _Stream | None = None
    ) -> None:
        while (digest := await stream.recv_message()) is not None:
            if served is not None:
                served.since_ms = self._clock.now_ms()
            self._sink.apply(digest)

    async def _send(self, name: str, send: Send) -> None:
        digests = DigestStream(self._source)
        while True:
            tick = self._tick
            await send(digests.build(name))
            await tick.wait()

    async def _answer(self, name: str, send: Send) -> None:
        """Sends on a peer's stream as long as no own stream leads to it."""
        digests = DigestStream(self._source)
        while True:
            tick = self._tick
            if name not in self._open:
                await send(digests.build(name))
            await tick.wait()
