"""Reaches targets through other instances while the own links are cut."""

import collections
import contextlib
import itertools
import random
from collections.abc import Callable, Iterable

import anyio
import httpcore
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from peridotbend.adapters.connections import (
    Dialer,
    DirectDialer,
    is_connection_refused,
)
from peridotbend.adapters.pathserver import (
    MAX_MESSAGE_BYTES,
    make_path_configuration,
)
from peridotbend.adapters.peers import (
    PEER_ERRORS,
    ChannelPool,
    limit_message_size,
)
from peridotbend.adapters.proberounds import probe_while_useful
from peridotbend.adapters.relayedstream import (
    RelayedStream,
    describe_error,
    reset_call,
)
from peridotbend.adapters.targetprobes import (
    LOAD_CALL,
    TargetProber,
    UnkeptConnections,
    is_no_gateway_status,
)
from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.hedging import try_in_turn
from peridotbend.domain.pathpeers import PathPeers, PeerChoice
from peridotbend.domain.paths import (
    MIN_ANSWERED,
    Endpoint,
    TargetLookup,
    TargetPaths,
)
from peridotbend.domain.ports import (
    AnswerHead,
    EventLog,
    TargetCall,
)
from peridotbend.domain.targetreach import LinkFault
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
# For the answer, connect included.
PROBE_ANSWER_TIMEOUT_S = 0.5
# Direct probes at the same time before a peer is tried. Targets in trouble of
# their own leave some without an answer.
DOUBT_PROBES = 3
# Targets without an answer after which no more of those whose links alone are
# lost are asked whether these are back, and how many more for each that is.
MAX_FAILED_PROBES = 2
FAILED_PROBES_PER_LINK = 4
# Of these in one round, since other services wait for its end.
MAX_LOST_PROBED = 64
# Targets with an answer after which a survey ends, and how many more for each
# without one. A cut from an availability zone strikes one target in 9 or more.
MAX_SOUND_SURVEYED = 32
SOUND_SURVEYED_PER_FAULT = 32
# After one of these, more probes of a target would only take longer.
_SLOW_FAULTS = frozenset(
    (LinkFault.HANGING, LinkFault.SILENT, LinkFault.HEAD_ONLY)
)


class _DirectWay(UnkeptConnections):
    """Connects over the links of this instance, as they are set now."""

    def __init__(self, paths: "PathDialer"):
        self._paths = paths

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        return await self._paths.direct.connect(target, timeout_s)


class _PeerWay(UnkeptConnections):
    """Connects through peers, whatever is known of the own links."""

    def __init__(self, paths: "PathDialer"):
        self._paths = paths

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        return await self._paths.connect_by_peer(target, timeout_s)


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
        self._prober = TargetProber(
            _DirectWay(self), clock, probe_call, is_probe_answer
        )
        self._peer_prober = TargetProber(
            _PeerWay(self), clock, probe_call, is_probe_answer, self
        )
        self._turn = 0
        # Services whose targets are being asked.
        self._surveyed: set[str] = set()
        # Where the next round of probes of lost targets begins, by service.
        self._next_lost: collections.Counter[str] = collections.Counter()
        # Doubted targets that are being asked since a request waits.
        self._tested: set[str] = set()

    def close(self) -> None:
        """Closes the connections to peers."""
        self._channels.close()

    def allows_reuse(self, target: Endpoint) -> bool:
        """Tells whether connections to a target may be kept.

        Those that were open when the links were cut may hang.
        """
        service = target.service
        return not (
            self._paths.is_target_lost(service, target.name)
            or self._paths.is_suspect(service)
        )

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        """Connects to a target."""
        if self._paths.is_target_lost(target.service, target.name):
            return await self.connect_by_peer(target, timeout_s)
        is_trial = self._paths.begin_trial(target.service)
        if is_trial and not await self._probe_some(target):
            # What this instance reaches of the target shows in the answer.
            with contextlib.suppress(httpcore.ConnectError):
                return await self.connect_by_peer(target, timeout_s)
        elif await self._is_unanswering(target) and self._begin_target_trial(
            target
        ):
            with contextlib.suppress(httpcore.ConnectError):
                return await self.connect_by_peer(target, timeout_s)
        try:
            stream = await self.direct.connect(target, timeout_s)
        except (httpcore.ConnectTimeout, httpcore.ConnectError) as error:
            self._paths.note_failed(
                target.service, target.name, _find_connect_fault(error)
            )
            if not self._paths.is_suspect(target.service):
                if self._begin_target_trial(target):
                    # The own error says more of the target.
                    with contextlib.suppress(httpcore.ConnectError):
                        return await self.connect_by_peer(target, timeout_s)
                raise
            with contextlib.suppress(_NoPeerError):
                return await self.connect_by_peer(target, timeout_s)
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
        fault: LinkFault,
    ) -> None:
        """Records that a new connection brings no answer."""
        if isinstance(stream, RelayedStream):
            self._choice.note_unanswered(stream.peer, target.service)
        else:
            self._paths.note_unanswered(
                target.service, target.name, connected_at_ms, fault
            )

    async def probe(self) -> None:
        """Finds out whether lost links are back, until cancelled."""
        async with anyio.create_task_group() as tasks:
            for turn in itertools.count(1):
                await anyio.sleep(PROBE_INTERVAL_S)
                await self._probe_lost_services(turn)
                await self._test_doubtful()
                for service in self._paths.list_services():
                    await self._probe_lost_targets(service)
                    is_asked = service in self._surveyed
                    if not is_asked and self._paths.begin_survey(service):
                        # Takes long if many targets do not answer.
                        self._surveyed.add(service)
                        tasks.start_soon(self._survey, service)

    async def _probe_lost_services(self, turn: int) -> None:
        """Asks targets of each lost service, until one does not answer."""
        for service in self._paths.list_lost():
            targets = self._targets.list_for(service)
            for offset in range(len(targets)):
                target = targets[(turn + offset) % len(targets)]
                if await self._probe(target) is not None:
                    break
                if not self._paths.is_lost(service):
                    break

    async def _test_doubtful(self) -> None:
        """Finds out whether some doubted targets are reached by peers only.

        A target that is silent may have no room for the request that would.
        """
        tested: set[str] = set()
        for service, name in self._paths.list_doubtful():
            target = self._targets.find(name)
            if target is None or service in tested:
                continue
            if not self._paths.is_target_doubtful(service, name):
                # It may have been forgotten while others were tested.
                continue
            tested.add(service)
            self._paths.note_doubted(service, name)
            if await self._probe(target) is not None:
                await self._probe_by_peer(target)

    async def _probe_lost_targets(self, service: str) -> None:
        """Asks targets whose own links are lost, while some are back."""
        names = frozenset(self._paths.list_lost_targets(service))
        lost = [t for t in self._targets.list_for(service) if t.name in names]
        start = self._next_lost[service] % max(1, len(lost))

        async def is_back(target: Endpoint) -> bool:
            for _ in range(MIN_ANSWERED):
                if await self._probe(target) is not None:
                    return False
            return True

        # Those that are back leave the list.
        self._next_lost[service] = start + await probe_while_useful(
            (lost[start:] + lost[:start])[:MAX_LOST_PROBED],
            is_back,
            MAX_FAILED_PROBES,
            FAILED_PROBES_PER_LINK,
        )

    async def _survey(self, service: str) -> None:
        """Asks targets of a service, directly and then through peers."""

        async def is_unanswering(target: Endpoint) -> bool:
            if await self._probe(target) is None:
                return False
            await self._probe_by_peer(target)
            return True

        targets = [
            target
            for target in self._targets.list_for(service)
            if not self._paths.is_target_lost(service, target.name)
        ]
        # Those of one zone may be listed next to each other.
        random.Random(service).shuffle(targets)
        await probe_while_useful(
            targets,
            is_unanswering,
            MAX_SOUND_SURVEYED,
            SOUND_SURVEYED_PER_FAULT,
        )
        self._surveyed.discard(service)

    async def _probe_by_peer(self, target: Endpoint) -> None:
        """Finds out whether a doubted target answers through a peer."""
        if self._begin_target_trial(target):
            with anyio.move_on_after(PROBE_ANSWER_TIMEOUT_S):
                await self._peer_prober.ask(target)

    async def _is_unanswering(self, target: Endpoint) -> bool:
        """Tells whether a doubted target accepts connections in vain."""
        service, name = target.service, target.name
        if not self._paths.is_target_doubtful(service, name):
            return False
        if not self._paths.was_accepted(service, name):
            # The connect itself shows whether it still fails.
            return False
        if not self._paths.may_try_peer(service, name):
            return False
        if name in self._tested:
            return False
        self._paths.note_doubted(service, name)
        self._tested.add(name)
        try:
            for _ in range(DOUBT_PROBES):
                fault = await self._probe(target)
                if fault is None or not fault.is_accepted:
                    return False
                if fault in _SLOW_FAULTS:
                    break
        finally:
            self._tested.discard(name)
        return True

    def _begin_target_trial(self, target: Endpoint) -> bool:
        return self._paths.begin_target_trial(target.service, target.name)

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
            fault = await self._probe(probed[number % len(probed)])
            if fault is None:
                is_answered = True
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for number in range(DOUBT_PROBES):
                tasks.start_soon(ask, number)
        return is_answered

    async def _probe(self, target: Endpoint) -> LinkFault | None:
        """Asks a target directly; returns what is wrong, if anything."""
        started_at_ms = self._clock.now_ms()
        fault: LinkFault | None = LinkFault.SILENT
        with anyio.move_on_after(PROBE_ANSWER_TIMEOUT_S):
            fault = await self._prober.ask(target)
        service, name = target.service, target.name
        if fault is None:
            self._paths.note_answered(service, name, started_at_ms)
        elif fault.is_accepted:
            self._paths.note_unanswered(service, name, started_at_ms, fault)
        else:
            self._paths.note_failed(service, name, fault)
        return fault

    async def connect_by_peer(
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
                await reset_call(stream)
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
            detail=describe_error(error),
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

    def __init__(self, state: int, detail: str):
        # A later build may send other states.
        is_known = state in pb.PathState.values()
        name = pb.PathState.Name(state) if is_known else str(state)
        super().__init__(f"{name}: {detail}")
        self.state = state


class _NoPeerError(httpcore.ConnectError):
    """There is no peer to ask."""


def _find_connect_fault(error: Exception) -> LinkFault:
    is_timeout = isinstance(error, httpcore.ConnectTimeout)
    return LinkFault.HANGING if is_timeout else LinkFault.REFUSED


async def _close_all(streams: Iterable[RelayedStream]) -> None:
    for stream in streams:
        await stream.aclose()
