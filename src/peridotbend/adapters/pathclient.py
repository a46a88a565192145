"""Reaches targets through other instances while the own links are cut."""

import collections
import contextlib
from collections.abc import Callable, Iterable
from typing import Any

import anyio
import grpclib.client
import httpcore
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from result import Err

from peridotbend.adapters.answerwatch import (
    GATEWAY_STATUSES,
    UNAVAILABLE_STATUS,
)
from peridotbend.adapters.connections import (
    Dialer,
    DirectDialer,
    PeerLostError,
    is_connection_refused,
)
from peridotbend.adapters.pathserver import (
    MAX_MESSAGE_BYTES,
    make_path_configuration,
    split_data,
)
from peridotbend.adapters.peers import (
    PEER_ERRORS,
    ChannelPool,
    limit_message_size,
)
from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.hedging import try_in_turn
from peridotbend.domain.paths import (
    Endpoint,
    PathPeers,
    PeerChoice,
    TargetLookup,
    TargetPaths,
)
from peridotbend.domain.ports import AnswerHead, EventLog, TargetCall
from peridotbend.domain.text import Target
from peridotbend.wire import edge_pb2 as pb
from peridotbend.wire.edge_grpc import PathsStub

# A peer that has not connected by then is not waited for alone. It is on its
# way to another machine and to the target, milliseconds each.
HEDGE_DELAY_MS = 100
# Peers asked for one connection, which bounds what a dead target costs.
MAX_ASKED_PEERS = 4
# Added to the connect timeout for the way to the peer and back.
PEER_MARGIN_S = 0.1
# Interval and timeout of the direct connects that find out whether the links
# are back.
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.25
# For the answer, connect included.
PROBE_ANSWER_TIMEOUT_S = 0.5
# Direct probes at the same time before a peer is tried. Targets in trouble of
# their own leave some without an answer.
DOUBT_PROBES = 3
# The load of a target of the product's own interface.
LOAD_CALL = TargetCall("GET", "/v1/load", (), b"", 500, reuse_connection=False)

_Stream = grpclib.client.Stream[pb.PathChunk, pb.PathChunk]


def is_no_gateway_status(head: AnswerHead) -> bool:
    """Tells whether an answer to a probe comes from a target."""
    return head.status not in (*GATEWAY_STATUSES, UNAVAILABLE_STATUS)


class RelayedStream(httpcore.AsyncNetworkStream):
    """A connection to a target that a peer holds."""

    def __init__(
        self, stream: _Stream, peer: str, on_close: Callable[[], None]
    ):
        self.peer = peer
        self._stream = stream
        self._on_close = on_close
        self._is_closed = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns the next data, or b"" at the end of the stream."""
        try:
            with anyio.fail_after(timeout):
                chunk = await self._stream.recv_message()
        except TimeoutError as error:
            raise httpcore.ReadTimeout(
                f"nothing arrived in {timeout} s"
            ) from error
        except PEER_ERRORS as error:
            raise PeerLostError(_describe(error)) from error
        if chunk is None:
            raise PeerLostError("the peer ended the call")
        if chunk.state == pb.ENDED:
            return b""
        if chunk.state != pb.OPEN:
            raise httpcore.ReadError(chunk.detail)
        return chunk.data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes data, and waits while the peer does not take it."""
        try:
            with anyio.fail_after(timeout):
                for part in split_data(buffer):
                    await self._stream.send_message(pb.PathChunk(data=part))
        except TimeoutError as error:
            raise httpcore.WriteTimeout(
                f"the peer took nothing in {timeout} s"
            ) from error
        except PEER_ERRORS as error:
            raise httpcore.WriteError(_describe(error)) from error

    async def aclose(self) -> None:
        """Ends the connection, which ends the request at the target."""
        if not self._is_closed:
            self._is_closed = True
            self._on_close()
            await _reset(self._stream)

    def get_extra_info(self, info: str) -> Any:
        """Returns nothing; the connection is not kept."""
        return None


class _DirectWay:
    """Connects over the links of this instance, as they are set now."""

    def __init__(self, paths: "PathDialer"):
        self._paths = paths

    def allows_reuse(self, target: Endpoint) -> bool:
        return False

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        return await self._paths.direct.connect(target, timeout_s)


class PathDialer:
    """Connects directly, or through a peer when the own links are cut."""

    def __init__(
        self,
        clock: Clock,
        paths: TargetPaths,
        targets: TargetLookup,
        peers: PathPeers,
        choice: PeerChoice,
        log: EventLog,
        probe_call: TargetCall = LOAD_CALL,
        is_probe_answer: Callable[[AnswerHead], bool] = is_no_gateway_status,
    ):
        """Creates the dialer.

        Args:
            clock: source of time.
            paths: the state of the own links.
            targets: the listed targets, for probes.
            peers: the instances to ask.
            choice: chooses among them.
            log: tells which of them fail.
            probe_call: shows over a direct connection that a target is there.
            is_probe_answer: tells whether the target has answered it.
        """
        # Connects over the links of this instance.
        self.direct: Dialer = DirectDialer()
        self._paths = paths
        self._targets = targets
        self._peers = peers
        self._choice = choice
        self._channels = ChannelPool(make_path_configuration())
        self._log = log
        # Connections held by each peer.
        self._active: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._prober = HttpTargetClient(
            PROBE_TIMEOUT_S, _DirectWay(self), clock
        )
        self._turn = 0
        self._probe_call = probe_call
        self._is_probe_answer = is_probe_answer

    def close(self) -> None:
        """Closes the connections to peers."""
        self._channels.close()

    def allows_reuse(self, target: Endpoint) -> bool:
        """Tells whether connections to a target may be kept.

        Those that were open when the links were cut may hang.
        """
        service = target.service
        return not (
            self._paths.is_lost(service) or self._paths.is_suspect(service)
        )

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        """Connects to a target."""
        if self._paths.is_lost(target.service):
            return await self._connect_by_peer(target, timeout_s)
        is_trial = self._paths.begin_trial(target.service)
        if is_trial and not await self._probe_some(target):
            # What this instance reaches of the target shows in the answer.
            with contextlib.suppress(httpcore.ConnectError):
                return await self._connect_by_peer(target, timeout_s)
        try:
            stream = await self.direct.connect(target, timeout_s)
        except (httpcore.ConnectTimeout, httpcore.ConnectError) as error:
            self._paths.note_failed(target.service, target.name)
            if not self._paths.is_suspect(target.service):
                raise
            with contextlib.suppress(_NoPeerError):
                return await self._connect_by_peer(target, timeout_s)
            if is_connection_refused(error):
                # Not known to be the target's own refusal.
                raise httpcore.ConnectError(str(error)) from None
            raise
        self._paths.note_connected(target.service)
        return stream

    def note_answered(
        self,
        target: Endpoint,
        stream: httpcore.AsyncNetworkStream,
        connected_at_ms: int,
    ) -> None:
        """Records that a target answered over a new connection."""
        if isinstance(stream, RelayedStream):
            self._choice.note_answered(stream.peer)
            self._paths.note_relayed_answer(
                target.service, target.name, stream.peer
            )
        else:
            self._paths.note_answered(
                target.service, target.name, connected_at_ms
            )

    def note_unanswered(
        self,
        target: Endpoint,
        stream: httpcore.AsyncNetworkStream,
        connected_at_ms: int,
    ) -> None:
        """Records that a new connection brings no answer."""
        if isinstance(stream, RelayedStream):
            self._choice.note_unanswered(stream.peer, target.service)
        else:
            self._paths.note_unanswered(
                target.service, target.name, connected_at_ms
            )

    async def probe(self) -> None:
        """Finds out whether lost links are back, until cancelled."""
        turn = 0
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            turn += 1
            for service in self._paths.list_lost():
                targets = self._targets.list_for(service)
                for offset in range(len(targets)):
                    target = targets[(turn + offset) % len(targets)]
                    if not await self._probe(target):
                        break
                    if not self._paths.is_lost(service):
                        break

    async def _probe_some(self, target: Endpoint) -> bool:
        """Asks some targets directly; tells whether one answers."""
        service = target.service
        others = [
            other
            for other in self._targets.list_for(service)
            if other.name != target.name
        ]
        self._turn += 1
        start = self._turn % max(1, len(others))
        probed = [target, *others[start:], *others[:start]]
        is_answered = False

        async def ask(number: int) -> None:
            nonlocal is_answered
            if await self._probe(probed[number % len(probed)]):
                is_answered = True
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for number in range(DOUBT_PROBES):
                tasks.start_soon(ask, number)
        return is_answered

    async def _probe(self, target: Endpoint) -> bool:
        """Asks a target directly; tells whether it answers."""
        started_at_ms = self._clock.now_ms()
        address = Target(
            target.name, target.service, "", target.host, target.port
        )
        is_answered = False
        with anyio.move_on_after(PROBE_ANSWER_TIMEOUT_S):
            async with self._prober.open(
                address, self._probe_call, lambda: True
            ) as opened:
                if isinstance(opened, Err):
                    if not opened.err_value.written:
                        self._paths.note_failed(target.service, target.name)
                        return False
                elif self._is_probe_answer(opened.ok_value.head):
                    chunks = opened.ok_value.chunks()
                    is_answered = all([c.is_ok() async for c in chunks])
        if is_answered:
            self._paths.note_answered(
                target.service, target.name, started_at_ms
            )
        else:
            self._paths.note_unanswered(
                target.service, target.name, started_at_ms
            )
        return is_answered

    async def _connect_by_peer(
        self, target: Endpoint, timeout_s: float
    ) -> RelayedStream:
        """Connects through the first peer that can.

        Raises:
            _NoPeerError: no peer was there to ask.
            httpcore.ConnectError: no peer that was asked could connect.
        """
        found: list[RelayedStream] = []
        errors: list[Exception] = []

        async def ask(peer: str) -> bool:
            try:
                with anyio.fail_after(timeout_s + PEER_MARGIN_S):
                    stream = await self._open(peer, target)
            except (*PEER_ERRORS, TimeoutError, _NotConnectedError) as error:
                errors.append(error)
                self._note_failed_peer(peer, target, error)
                return False
            found.append(stream)
            self._paths.note_relayed(target.service, target.name, peer)
            return True

        try:
            await try_in_turn(
                lambda tried: self._choice.choose(target.service, tried),
                ask,
                HEDGE_DELAY_MS,
                MAX_ASKED_PEERS,
            )
        except BaseException:
            await _close_all(found)
            raise
        # Two may have connected at the same moment.
        await _close_all(found[1:])
        if found:
            return found[0]
        if not errors:
            raise _NoPeerError(f"no peer to reach {target.name}")
        if any(
            isinstance(error, _NotConnectedError) and error.state == pb.REFUSED
            for error in errors
        ):
            raise httpcore.ConnectError(
                "refused, also at a peer"
            ) from ConnectionRefusedError()
        raise httpcore.ConnectError("not reached by any peer that was asked")

    async def _open(self, peer: str, target: Endpoint) -> RelayedStream:
        """Lets a peer connect to a target.

        Raises:
            _NotConnectedError: the peer answered that it could not.
        """
        channel = self._channels.open(*self._peers.locate(peer))
        stream = PathsStub(channel).Connect.open()
        await stream.__aenter__()
        try:
            await stream.send_message(pb.PathChunk(target=target.name))
            limit_message_size(stream, MAX_MESSAGE_BYTES)
            first = await stream.recv_message()
            if first is None:
                # Raises the status of the call.
                await stream.recv_trailing_metadata()
                raise GRPCError(Status.UNKNOWN, "no answer")
            if first.state != pb.OPEN:
                raise _NotConnectedError(first.state, first.detail)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await _reset(stream)
            raise
        self._active[peer] += 1
        return RelayedStream(
            stream, peer, lambda: self._active.subtract((peer,))
        )

    def _note_failed_peer(
        self, peer: str, target: Endpoint, error: Exception
    ) -> None:
        self._log.emit(
            Event.PEER_PATH_FAILED,
            peer=peer,
            target=target.name,
            detail=_describe(error),
        )
        if isinstance(error, _NotConnectedError):
            if error.state == pb.UNABLE:
                self._choice.note_failed(peer, target.service)
            elif error.state == pb.UNREACHABLE:
                self._choice.note_unreachable(peer)
            return
        self._choice.note_failed(peer)
        if not self._active[peer]:
            # Its connection may be dead; no other call depends on it.
            self._channels.drop(*self._peers.locate(peer))


class _NotConnectedError(Exception):
    """A peer could not connect to a target."""

    def __init__(self, state: pb.PathState, detail: str):
        super().__init__(f"{pb.PathState.Name(state)}: {detail}")
        self.state = state


class _NoPeerError(httpcore.ConnectError):
    """There is no peer to ask."""


async def _close_all(streams: Iterable[RelayedStream]) -> None:
    for stream in streams:
        await stream.aclose()


async def _reset(stream: _Stream) -> None:
    """Ends a call at once, whatever its state."""
    error = ConnectionAbortedError()
    with contextlib.suppress(*PEER_ERRORS):
        await stream.__aexit__(type(error), error, None)


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
