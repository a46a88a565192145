"""Tests of instances that lost their own links to the targets."""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import functools
import itertools
import random
import socket
import struct
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import AbstractAsyncContextManager
from typing import Any, cast
from unittest import mock

import anyio
import grpclib.server
import httpcore
from result import Err, Result

from peridotbend.adapters import pathclient, pathserver, sockets
from peridotbend.adapters.pathclient import DOUBT_PROBES, PathDialer
from peridotbend.adapters.pathserver import (
    PathServer,
    make_path_configuration,
)
from peridotbend.adapters.proberounds import PROBE_WIDTH
from peridotbend.adapters.publishedpeers import PublishedServer
from peridotbend.adapters.serving import HttpServer, listen
from peridotbend.adapters.sockets import connect
from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.daemon import BACKEND_OPTIONS
from peridotbend.domain import paths
from peridotbend.domain.clock import ManualClock, SystemClock
from peridotbend.domain.events import Event
from peridotbend.domain.pathpeers import REFRESH_MS, PeerChoice
from peridotbend.domain.paths import FAILURE_TTL_MS, Endpoint, TargetPaths
from peridotbend.domain.ports import (
    CallError,
    CallFailure,
    TargetAnswer,
    TargetCall,
)
from peridotbend.domain.targetreach import (
    MIN_TARGET_MISSES,
    QUICK_TARGET_TRIALS,
    QUICK_TRIALS,
    TRIAL_INTERVAL_MS,
    LinkFault,
)
from peridotbend.domain.text import Target
from peridotbend.edge.targets import TargetList
from peridotbend.platform import wire
from peridotbend.wire import edge_pb2
from peridotbend.wire.edge_grpc import PathsBase
from peridotbend_emulator.virtualtime import run_virtual
from tests.edgefakes import TARGET, RecordingLog, make_target
from tests.edgefleet import CONFIG, HOSTS, EdgeFleet, run_with_fleet
from tests.edgestandins import FakeStore
from tests.hosts import make_host
from tests.test_edge_platform import TARGET_ENTRY

TIMEOUT_S = 20.0
REQUESTS = 30
# An instance whose links are cut has to serve at least this share of what the
# others serve at the first try.
MIN_SERVED_SHARE = 2 / 3
SLOTS = 64
CALL_TIMEOUT_MS = 5_000
CALLS = 40
# More than enough to fill what one connection to a peer may hold.
SLOW_CALLERS = 8


@contextlib.contextmanager
def refuse_connections() -> Iterator[int]:
    """Yields a port on which nothing listens."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        yield unused.getsockname()[1]


@contextlib.contextmanager
def ignore_connections() -> Iterator[int]:
    """Yields a port whose queue of connections is full, so that they hang."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


def list_targets(store: FakeStore, port: int) -> None:
    """Writes the configuration and three targets at one port."""
    store.put("op/config", CONFIG)
    for name in ("i-1", "i-2", "i-3"):
        entry = {
            **TARGET_ENTRY,
            "slots": SLOTS,
            "address": f"127.0.0.1:{port}",
        }
        store.put(f"servers/{name}", entry)


@contextlib.asynccontextmanager
async def start_cut_off(fleet: EdgeFleet, port: int) -> AsyncIterator[None]:
    """Starts two instances, the first of which reaches no target.

    Its store names `port` for all of them, which stands for a link that is cut.
    """
    fleet.store.clear()
    list_targets(fleet.store, fleet.ports["target"])
    fleet.target.accepts_any_name = True
    cut_store = FakeStore()
    list_targets(cut_store, port)
    listener = listen("127.0.0.1", 0)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(HttpServer(cut_store, listener).run)
        cut_child = fleet.spawn(HOSTS[0], platform={"address": address})
        child = fleet.spawn(HOSTS[1])
        for host in HOSTS:
            await fleet.wait_ready(host)
        while not all('"peer-live"' in c.output for c in (cut_child, child)):
            await anyio.sleep(0.02)
        yield
        tasks.cancel_scope.cancel()


class CutForm(enum.Enum):
    """What becomes of a connection that something on the way accepts."""

    RESET = "reset"
    SILENT = "silent"
    PAGE = "page"
    HANGS_AFTER_HEAD = "hangs after the head"


class CuttingProxy:
    """Accepts connections in place of targets, and passes nothing on."""

    def __init__(self, *forms: CutForm):
        self._forms = itertools.cycle(forms)
        self.accepted = 0
        self._writers: list[asyncio.StreamWriter] = []

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[int]:
        """Runs the proxy and yields its port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        try:
            yield server.sockets[0].getsockname()[1]
        finally:
            server.close()
            for writer in self._writers:
                reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        self._writers.append(writer)
        form = next(self._forms)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if form is not CutForm.RESET:
                request = await reader.readuntil(b"\r\n\r\n")
                await self._answer(form, request, reader, writer)
        reset_connection(writer)

    async def _answer(
        self,
        form: CutForm,
        request: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if form is CutForm.PAGE:
            page = b"<html>no server is available</html>"
            writer.write(
                b"HTTP/1.1 502 Bad Gateway\r\nContent-Type: text/html\r\n"
                b"Content-Length: %d\r\n\r\n" % len(page) + page
            )
        elif form is CutForm.HANGS_AFTER_HEAD:
            attempts = [
                line + b"\r\nX-Server-Stamp: a\r\n"
                for line in request.split(b"\r\n")
                if line.lower().startswith(b"x-attempt-id:")
            ]
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Content-Length: 999\r\n" + b"".join(attempts) + b"\r\n"
            )
        await writer.drain()
        while await reader.read(65_536):
            pass


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection so that the other end gets a reset."""
    if not writer.transport.is_closing():
        with contextlib.suppress(OSError):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.transport.abort()


ALL_FORMS = {
    **{form.value: (form,) for form in CutForm},
    "mixed": tuple(CutForm),
}


class UnreachableTargetsTest(unittest.TestCase):
    """An instance that reaches its callers and peers, but no target."""

    def _count_served(
        self, path: str, run_cut: Callable[[], AbstractAsyncContextManager[int]]
    ) -> tuple[int, list[str]]:
        """Returns the requests served at the first try, and what ran."""
        served = 0
        ran: list[str] = []

        async def check(fleet: EdgeFleet) -> None:
            nonlocal served
            async with run_cut() as port, start_cut_off(fleet, port):
                for number in range(REQUESTS):
                    attempt = f"a-{number}"
                    answer = await fleet.call(HOSTS[0], path, attempt)
                    is_own = answer.headers and any(
                        name.lower() == wire.SERVER_STAMP.encode()
                        for name, _ in answer.headers
                    )
                    served += answer.status == 200 and bool(is_own)
                ran.extend(fleet.target.started_attempts)

        run_with_fleet(check)
        return served, ran

    def _check(
        self, path: str, run_cut: Callable[[], AbstractAsyncContextManager[int]]
    ) -> None:
        served, ran = self._count_served(path, run_cut)
        assert served >= MIN_SERVED_SHARE * REQUESTS, served
        assert len(ran) == len(set(ran)), "an attempt ran twice"

    def test_refused_connections_do_not_refuse_callers(self) -> None:
        """Guards against an own lost link that is taken for dead targets."""
        for path in ("/quotes/1", "/orders/1"):
            with self.subTest(path=path), refuse_connections() as port:
                self._check(path, lambda: contextlib.nullcontext(port))

    def test_hanging_connections_do_not_refuse_callers(self) -> None:
        """Guards against the same where connects get no answer."""
        for path in ("/quotes/1", "/orders/1"):
            with self.subTest(path=path), ignore_connections() as port:
                self._check(path, lambda: contextlib.nullcontext(port))

    def test_accepted_connections_do_not_refuse_callers(self) -> None:
        """Guards against a connect that is taken for a link that works."""
        for form, path in (
            ("reset", "/quotes/1"),
            ("reset", "/orders/1"),
            ("page", "/orders/1"),
            ("silent", "/orders/1"),
            ("hangs after the head", "/quotes/1"),
            ("mixed", "/orders/1"),
        ):
            with self.subTest(form=form, path=path):
                proxy = CuttingProxy(*ALL_FORMS[form])
                self._check(path, proxy.run)


class RawTarget:
    """A target that writes scripted bytes to each connection."""

    def __init__(self, answer: bytes = b"", is_reset: bool = False) -> None:
        self.answer = answer
        self.is_reset = is_reset
        # Keeps connections open after the answer while it is cleared.
        self.may_end = asyncio.Event()
        self.may_end.set()
        # Of connections that are reset in place of an answer.
        self.reset_share = 0.0
        self.rng = random.Random(11)
        self.received = bytearray()
        self.ended = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.received += await reader.read(65_536)
        if self.rng.random() < self.reset_share:
            reset_connection(writer)
            return
        writer.write(self.answer)
        await writer.drain()
        closed = asyncio.create_task(reader.read())
        allowed = asyncio.create_task(self.may_end.wait())
        await asyncio.wait(
            (closed, allowed), return_when=asyncio.FIRST_COMPLETED
        )
        if self.is_reset:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        writer.close()
        closed.cancel()
        allowed.cancel()
        self.ended.set()


class LateResetTarget(RawTarget):
    """A target that ends its data in order, and then resets."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        await reader.readuntil(b"plan")
        writer.write(self.answer)
        writer.write_eof()
        # Long enough that the end arrives alone.
        await asyncio.sleep(0.1)
        reset_connection(writer)


class UnreadTarget(RawTarget):
    """A target that reads no large body, until it is released."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        if b"content-length: 4\r\n" in head.lower():
            writer.write(self.answer)
        await self.may_end.wait()
        reset_connection(writer)


class KeepingTarget(RawTarget):
    """Answers all calls that come over a connection."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"plan"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()


class FixedPeers:
    """Instances on given hosts, all near unless a zone is given."""

    def __init__(
        self, hosts: list[str] | None = None, port: int = 0, zone: str = ""
    ) -> None:
        self._hosts = hosts or []
        self._port = port
        self._zone = zone
        # How often the hosts were listed.
        self.lists = 0

    def list_serving(self) -> list[str]:
        """Returns all hosts."""
        self.lists += 1
        return self._hosts

    def is_near(self, peer: str) -> bool:
        """Tells whether a host is in the zone, which begins its address."""
        return peer.startswith(self._zone)

    def locate(self, peer: str) -> tuple[str, int]:
        """Returns the address of an instance."""
        return peer, self._port

    def is_instance(self, host: str) -> bool:
        """Tells whether a host is that of an instance."""
        return host in HOSTS


class _CountingPaths(TargetPaths):
    """Counts direct connects that succeed."""

    connects = 0

    def note_connected(self, service: str) -> None:
        self.connects += 1
        super().note_connected(service)


class _LaterPathServer(PathsBase):
    """Answers each call with a state that this build does not know."""

    async def Connect(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(edge_pb2.PathChunk(state=77))


class OtherInstance:
    """An instance that connects to targets for others."""

    def __init__(self, host: str, is_older_build: bool = False) -> None:
        self.host = host
        clock = SystemClock()
        self.targets = TargetList(clock)
        self.paths = _CountingPaths(clock, RecordingLog(), self.targets)
        self.server: Any = PathServer(
            self.targets, self.paths, HOSTS.__contains__, 1
        )
        self._is_older_build = is_older_build

    @property
    def connects(self) -> int:
        """Connections to targets that were established for others."""
        return self.paths.connects

    async def start(self, port: int) -> None:
        """Starts to serve peers."""
        older = [PublishedServer({})]
        self._grpc = grpclib.server.Server(
            older if self._is_older_build else [self.server],
            config=make_path_configuration(),
        )
        await self._grpc.start(self.host, port)

    async def stop(self) -> None:
        """Ends all calls."""
        self._grpc.close()
        await self._grpc.wait_closed()


class PathHarness:
    """An instance whose links are cut, other instances, and two targets."""

    def __init__(self, target: RawTarget, *others: OtherInstance) -> None:
        self.target = target
        self.others = others
        self.clock = SystemClock()
        self.log = RecordingLog()
        self.targets = TargetList(self.clock)
        self.paths = TargetPaths(self.clock, self.log, self.targets)
        self.is_cut = True
        # The targets that a cut strikes, if it does not strike all.
        self.cut_names: set[str] = set()
        # Accepts direct connections in place of the targets while they are cut.
        self.proxy_port = 0
        self.connects = 0

    async def run(self, check: Callable[[], Awaitable[None]]) -> None:
        """Runs a check."""
        server = await asyncio.start_server(self.target.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        for name in ("i-1", "i-2"):
            entry = dataclasses.replace(TARGET, name=name, port=self.port)
            for targets in (self.targets, *(o.targets for o in self.others)):
                targets.put(entry)
        with listen(HOSTS[0], 0) as unused:
            peer_port = unused.getsockname()[1]
        self.peer_port = peer_port
        for other in self.others:
            await other.start(peer_port)
        peers = FixedPeers([other.host for other in self.others], peer_port)
        self.dialer = PathDialer(
            self.clock,
            self.paths,
            self.targets,
            peers,
            PeerChoice(self.clock, random.Random(1), peers),
            self.log,
        )
        self.dialer.direct = self
        self.client = HttpTargetClient(0.2, self.dialer, reach=self.dialer)
        with anyio.fail_after(TIMEOUT_S):
            await check()
        await self.client.aclose()
        self.dialer.close()
        for other in self.others:
            await other.stop()
        server.close()

    def allows_reuse(self, target: Endpoint) -> bool:
        """Tells that connections may be kept."""
        return True

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        """Connects directly, unless the links are cut."""
        self.connects += 1
        is_struck = not self.cut_names or target.name in self.cut_names
        is_cut = self.is_cut and is_struck
        if is_cut and self.proxy_port:
            return await connect("127.0.0.1", self.proxy_port, timeout_s)
        if is_cut:
            raise httpcore.ConnectTimeout("cut")
        return await connect(target.host, target.port, timeout_s)

    async def call(self, name: str = "i-1") -> "list[bytes] | CallError":
        """Sends a call; returns the chunks of its answer, or the error."""
        chunks: list[bytes] = []
        async with self.open(name) as opened:
            if isinstance(opened, Err):
                return opened.err_value
            async for chunk in opened.ok_value.chunks():
                if isinstance(chunk, Err):
                    return chunk.err_value
                chunks.append(chunk.ok_value)
        return chunks

    def open(
        self, name: str = "i-1", body: bytes = b"plan"
    ) -> contextlib.AbstractAsyncContextManager[
        "Result[TargetAnswer, CallError]"
    ]:
        """Sends a call."""
        target = Target(name, "engine", "zone-a", "127.0.0.1", self.port)
        request = TargetCall("POST", "/quotes/1", (), body, CALL_TIMEOUT_MS)
        return self.client.open(target, request, lambda: True)

    async def lose_links(self) -> None:
        """Lets connects to two targets fail, after which a peer is asked."""
        assert isinstance(await self.call("i-2"), CallError)


def run_paths(
    harness: PathHarness, check: Callable[[], Awaitable[None]]
) -> None:
    """Runs a check with a harness."""
    anyio.run(harness.run, check, backend_options=BACKEND_OPTIONS)


class _FakeStream:
    """A call whose other instance sends on until it is told of an end."""

    def __init__(self) -> None:
        self.was_told = anyio.Event()
        # Whether a receipt was cancelled, which may leave a part of a message.
        self.was_cut = False

    async def recv_message(self) -> edge_pb2.PathChunk | None:
        """Returns the end of the call, after the end of the connection."""
        try:
            await self.was_told.wait()
        except asyncio.CancelledError:
            self.was_cut = True
            raise
        return None

    async def send_message(self, chunk: edge_pb2.PathChunk) -> None:
        """Takes the end of the connection."""
        assert chunk.state == edge_pb2.ENDED
        self.was_told.set()


class RelayedConnectionTest(unittest.TestCase):
    """Connections to targets that a peer holds."""

    def test_answer_without_a_length_arrives_whole(self) -> None:
        """Guards against an end that overtakes the data before it."""
        body = bytes(range(256)) * 8_192
        target = RawTarget(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        harness = PathHarness(target, OtherInstance(HOSTS[1]))

        async def check() -> None:
            await harness.lose_links()
            for _ in range(5):
                chunks = await harness.call()
                assert isinstance(chunks, list)
                assert b"".join(chunks) == body
            assert harness.paths.is_lost("engine")

        run_paths(harness, check)

    def test_target_that_breaks_off_does_not_look_complete(self) -> None:
        """Guards against a reset that a peer turns into a regular end."""
        target = RawTarget(b"HTTP/1.1 200 OK\r\n\r\nhalf", is_reset=True)
        target.may_end.clear()
        harness = PathHarness(target, OtherInstance(HOSTS[1]))

        async def check() -> None:
            await harness.lose_links()
            async with harness.open() as opened:
                chunks = opened.unwrap().chunks()
                assert (await anext(chunks)).unwrap() == b"half"
                target.may_end.set()
                error = (await anext(chunks)).unwrap_err()
                assert error.failure is CallFailure.BROKEN
                assert error.blames_target

        run_paths(harness, check)

    def test_reset_behind_the_end_does_not_look_complete(self) -> None:
        """Guards against a peer that passes an end on before its reset."""
        target = LateResetTarget(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        harness = PathHarness(target, OtherInstance(HOSTS[1]))

        async def check() -> None:
            await harness.lose_links()
            error = await harness.call()
            assert isinstance(error, CallError), error
            assert error.failure is CallFailure.BROKEN

        with mock.patch.object(sockets, "RESET_WAIT_S", TIMEOUT_S):
            run_paths(harness, check)

    def test_messages_are_received_whole_when_a_target_ends(self) -> None:
        """Guards against a receipt that goes on inside a message."""
        stream = _FakeStream()
        connection = mock.AsyncMock()
        connection.read.return_value = b""

        async def check() -> None:
            with anyio.fail_after(TIMEOUT_S):
                await pathserver._pass_on(cast(Any, stream), connection)

        anyio.run(check)
        assert stream.was_told.is_set()
        assert not stream.was_cut

    def test_peer_that_dies_blames_no_target(self) -> None:
        """Guards against a killed peer whose targets are taken for dead."""
        target = RawTarget(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        target.may_end.clear()
        harness = PathHarness(target, OtherInstance(HOSTS[1]))

        async def check() -> None:
            await harness.lose_links()
            async with harness.open() as opened:
                chunks = opened.unwrap().chunks()
                assert (await anext(chunks)).unwrap() == b"half"
                # What a process that is killed does to its connections.
                harness.dialer.close()
                error = (await anext(chunks)).unwrap_err()
                assert error.failure is CallFailure.BROKEN
                assert error.written
                assert not error.blames_target, error

        run_paths(harness, check)

    def test_request_ends_at_the_target_with_its_caller(self) -> None:
        """Guards against targets that work on for callers that have left."""
        target = RawTarget(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        target.may_end.clear()
        harness = PathHarness(target, OtherInstance(HOSTS[1]))

        async def check() -> None:
            await harness.lose_links()
            async with harness.open() as opened:
                assert opened.is_ok()
                assert not target.ended.is_set()
            await target.ended.wait()
            await harness.others[0].server.wait_idle()

        run_paths(harness, check)

    def test_slow_callers_hold_up_no_other_answer(self) -> None:
        """Guards against callers that use up what a peer may send to all."""
        body = b"s" * 2_000_000
        target = RawTarget(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        harness = PathHarness(target, OtherInstance(HOSTS[1]))

        async def check() -> None:
            await harness.lose_links()
            async with contextlib.AsyncExitStack() as stack:
                slow = []
                for _ in range(SLOW_CALLERS):
                    opened = await stack.enter_async_context(harness.open())
                    slow.append(opened.unwrap().chunks())
                # By then the peer can most likely send no more to them.
                await anyio.sleep(0.5)
                chunks = await harness.call()
                assert isinstance(chunks, list), chunks
                assert b"".join(chunks) == body
                for answer in slow:
                    parts = [part.unwrap() async for part in answer]
                    assert b"".join(parts) == body

        run_paths(harness, check)

    def test_targets_that_read_slowly_hold_up_no_other_request(self) -> None:
        """Guards against bodies that use up what an instance may send."""
        target = UnreadTarget(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        target.may_end.clear()
        harness = PathHarness(target, OtherInstance(HOSTS[1]))

        async def send_large() -> None:
            # More than the kernel takes for a target that does not read.
            async with harness.open(body=bytes(32 << 20)):
                pass

        async def check() -> None:
            await harness.lose_links()
            async with anyio.create_task_group() as tasks:
                for _ in range(SLOW_CALLERS):
                    tasks.start_soon(send_large)
                # By then most likely no more is taken of the bodies.
                await anyio.sleep(1.0)
                async with harness.open() as opened:
                    assert opened.is_ok(), opened
                tasks.cancel_scope.cancel()
            target.may_end.set()

        run_paths(harness, check)

    @mock.patch.object(pathserver, "END_TIMEOUT_S", 0.01)
    def test_slow_caller_gets_what_its_target_has_sent(self) -> None:
        """Guards against an end by the peer that overtakes the answer."""
        body = b"s" * 300_000
        target = RawTarget(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        harness = PathHarness(target, OtherInstance(HOSTS[1]))

        async def check() -> None:
            await harness.lose_links()
            async with harness.open() as opened:
                await target.ended.wait()
                await anyio.sleep(0.5)
                parts = [
                    part.unwrap() async for part in opened.unwrap().chunks()
                ]
                assert b"".join(parts) == body

        run_paths(harness, check)

    def test_peers_that_cannot_help_are_passed_over(self) -> None:
        """Guards against requests that fail since the wrong peer was asked."""
        older = OtherInstance(HOSTS[0], is_older_build=True)
        draining = OtherInstance(make_host(23))
        draining.server.is_closing = True
        cut_off = OtherInstance(make_host(24))
        for name in ("i-1", "i-2"):
            cut_off.targets.put(make_target(name))
            cut_off.paths.note_failed("engine", name)
        cut_off.paths.note_relayed("engine", "i-1", "peer")
        sound = OtherInstance(HOSTS[1])
        target = RawTarget(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        harness = PathHarness(target, older, draining, cut_off, sound)

        async def check() -> None:
            assert cut_off.paths.list_lost() == ["engine"]
            await harness.lose_links()
            for _ in range(5):
                assert await harness.call() == []

        run_paths(harness, check)

    def test_peer_that_reaches_some_targets_is_asked_for_others(self) -> None:
        """Guards against passing over the only peer that can help.

        Two of its targets are down, which looks like a cut to that peer.
        """
        target = RawTarget(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        other = OtherInstance(HOSTS[1])
        harness = PathHarness(target, other)

        async def check() -> None:
            await harness.lose_links()
            with refuse_connections() as port:
                for name in ("i-3", "i-4"):
                    for targets in (harness.targets, other.targets):
                        targets.put(
                            dataclasses.replace(TARGET, name=name, port=port)
                        )
                for name in ("i-3", "i-4", "i-3"):
                    assert isinstance(await harness.call(name), CallError)
                assert await harness.call() == []

        run_paths(harness, check)

    def test_peer_with_a_later_state_is_passed_over(self) -> None:
        """Guards against a later build that ends requests and probes."""
        later, sound = OtherInstance(make_host(23)), OtherInstance(HOSTS[1])
        later.server = _LaterPathServer()
        target = RawTarget(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        harness = PathHarness(target, later, sound)

        async def check() -> None:
            await harness.lose_links()
            for _ in range(4):
                assert await harness.call() == []
            events = [event for event, _ in harness.log.events]
            assert Event.PEER_PATH_FAILED in events

        run_paths(harness, check)

    def test_only_listed_targets_are_reached(self) -> None:
        """Guards against an instance that connects to any address."""
        other = OtherInstance(HOSTS[1])
        harness = PathHarness(RawTarget(), other)

        async def check() -> None:
            await harness.lose_links()
            other.targets.remove("i-1")
            error = await harness.call()
            assert isinstance(error, CallError)
            assert error.failure is CallFailure.CONNECT
            assert not error.written
            assert not harness.target.received

        run_paths(harness, check)

    def test_targets_that_are_down_are_not_taken_for_lost_links(self) -> None:
        """Guards against relayed connections when the targets are the fault."""
        harness = PathHarness(RawTarget(), OtherInstance(HOSTS[1]))

        async def check() -> None:
            with refuse_connections() as port:
                for targets in (harness.targets, harness.others[0].targets):
                    for name in ("i-1", "i-2"):
                        targets.put(
                            dataclasses.replace(TARGET, name=name, port=port)
                        )
                await harness.lose_links()
                error = await harness.call()
                assert isinstance(error, CallError)
                assert not error.written
                assert not harness.paths.is_lost("engine")

        run_paths(harness, check)

    def test_links_that_are_back_are_used_again(self) -> None:
        """Guards against relaying for ever, and against a probe too early."""
        target = RawTarget(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        harness = PathHarness(target, OtherInstance(HOSTS[1]))

        async def check() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.dialer.probe)
                await harness.lose_links()
                assert await harness.call() == []
                assert harness.paths.is_lost("engine")
                harness.is_cut = False
                while harness.paths.is_lost("engine"):
                    await anyio.sleep(0.02)
                before = harness.connects
                assert await harness.call() == []
                assert harness.connects == before + 1
                tasks.cancel_scope.cancel()

        run_paths(harness, check)


class AcceptedConnectionTest(unittest.TestCase):
    """Direct connections that something on the way accepts."""

    answer = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )

    def setUp(self) -> None:
        self._names = itertools.cycle(("i-1", "i-2"))

    async def _call_all(self, harness: PathHarness, count: int) -> int:
        """Calls the targets in turn; returns how many answered."""
        answered = 0
        for _ in range(count):
            answered += isinstance(await harness.call(next(self._names)), list)
        return answered

    def _run_cut(
        self,
        harness: PathHarness,
        check: Callable[[CuttingProxy], Awaitable[None]],
        *forms: CutForm,
    ) -> None:
        async def run() -> None:
            proxy = CuttingProxy(*forms)
            async with proxy.run() as harness.proxy_port:
                await check(proxy)

        run_paths(harness, run)

    def test_peer_serves_in_every_form_of_a_cut(self) -> None:
        """Guards against a connect that is taken for a link that works."""
        for name, forms in ALL_FORMS.items():
            harness = PathHarness(
                RawTarget(self.answer), OtherInstance(HOSTS[1])
            )

            async def check(proxy: CuttingProxy, harness: PathHarness) -> None:
                # More than any form takes to be noticed.
                async with anyio.create_task_group() as tasks:
                    for _ in range(4):
                        tasks.start_soon(self._call_all, harness, 1)
                    await anyio.sleep(1.2)
                    await self._call_all(harness, 1)
                    assert await self._call_all(harness, CALLS) == CALLS
                    assert harness.paths.is_lost("engine")
                    tasks.cancel_scope.cancel()

            with self.subTest(form=name):
                self._run_cut(
                    harness, functools.partial(check, harness=harness), *forms
                )

    def test_probes_that_are_only_accepted_bring_nothing_back(self) -> None:
        """Guards against links taken for sound since a proxy accepts."""
        harness = PathHarness(RawTarget(self.answer), OtherInstance(HOSTS[1]))

        async def check(proxy: CuttingProxy) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.dialer.probe)
                await self._call_all(harness, 6)
                accepted = proxy.accepted
                await anyio.sleep(2.2)
                assert proxy.accepted > accepted + 2
                assert harness.paths.is_lost("engine")
                assert await self._call_all(harness, 10) == 10
                harness.is_cut = False
                while harness.paths.is_lost("engine"):
                    await anyio.sleep(0.02)
                tasks.cancel_scope.cancel()

        self._run_cut(harness, check, CutForm.RESET)

    def test_peer_with_the_same_cut_is_passed_over(self) -> None:
        """Guards against a peer that connects, but only to the same proxy."""
        cut_off, older = OtherInstance(make_host(24)), OtherInstance(
            make_host(25), is_older_build=True
        )
        sound = OtherInstance(HOSTS[1])
        harness = PathHarness(RawTarget(self.answer), cut_off, older, sound)

        async def check(proxy: CuttingProxy) -> None:
            for name in ("i-1", "i-2"):
                cut_off.targets.put(
                    dataclasses.replace(
                        TARGET, name=name, port=harness.proxy_port
                    )
                )
            await self._call_all(harness, 4)
            await anyio.sleep(TRIAL_INTERVAL_MS / 1_000)
            answered = 0
            for _ in range(CALLS):
                answered += await self._call_all(harness, 1)
                await anyio.sleep(0.02)
            assert harness.paths.is_lost("engine")
            assert answered >= MIN_SERVED_SHARE * CALLS, answered

        self._run_cut(harness, check, CutForm.RESET)

    def test_targets_down_for_all_are_not_tried_again_and_again(self) -> None:
        """Guards against peers that connect for each failed request."""
        target = RawTarget(b"", is_reset=True)
        harness = PathHarness(target, OtherInstance(HOSTS[1]))
        harness.is_cut = False

        async def check() -> None:
            for _ in range(CALLS):
                assert await self._call_all(harness, 1) == 0
                await anyio.sleep(0.05)
            assert not harness.paths.is_lost("engine")
            relayed = harness.others[0].connects
            assert 0 < relayed <= QUICK_TRIALS + 1, relayed
            # A call each, and some probes in place of that of a trial.
            extra = (DOUBT_PROBES - 1) * (QUICK_TRIALS + 1)
            assert harness.connects <= CALLS + extra, harness.connects

        run_paths(harness, check)

    def test_targets_in_trouble_of_their_own_do_not_look_cut(self) -> None:
        """Guards against relaying because targets reset some answers."""
        lost = doubted = 0
        for seed in range(10):
            target = RawTarget(self.answer)
            target.reset_share = 0.3
            target.rng = random.Random(seed)
            harness = PathHarness(target, OtherInstance(HOSTS[1]))
            harness.is_cut = False

            async def check(harness: PathHarness) -> None:
                await self._call_all(harness, 5 * CALLS)
                extra = harness.connects - 5 * CALLS
                assert extra <= DOUBT_PROBES, extra

            run_paths(harness, functools.partial(check, harness))
            doubted += harness.log.count(Event.TARGET_LINKS_DOUBTED)
            lost += harness.log.count(Event.TARGET_LINKS_LOST)
        assert doubted > 5, doubted
        # Three probes reset, and a peer answered, by chance.
        assert lost <= 1, lost

    def test_sound_targets_get_no_more_connections(self) -> None:
        """Guards against probes and connections that nothing asked for."""
        harness = PathHarness(RawTarget(self.answer), OtherInstance(HOSTS[1]))
        harness.is_cut = False

        async def check() -> None:
            assert await self._call_all(harness, CALLS) == CALLS
            assert harness.connects == CALLS
            assert not harness.others[0].connects

        run_paths(harness, check)


class PartialCutTest(unittest.TestCase):
    """An instance that reaches some targets of a service, and not others."""

    answer = AcceptedConnectionTest.answer

    def _make_harness(self, *others: OtherInstance) -> PathHarness:
        harness = PathHarness(RawTarget(self.answer), *others)
        harness.cut_names = {"i-1"}
        return harness

    def _run(
        self,
        harness: PathHarness,
        check: Callable[[], Awaitable[None]],
        *forms: CutForm,
    ) -> None:
        """Runs a check; without a form, connects hang."""

        async def run() -> None:
            if not forms:
                await check()
                return
            async with CuttingProxy(*forms).run() as harness.proxy_port:
                await check()

        run_paths(harness, run)

    async def _lose_target(self, harness: PathHarness) -> None:
        """Calls both targets until the link to the first one counts as lost."""
        while not harness.paths.list_lost_targets("engine"):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.call, "i-1")
                for _ in range(3):
                    assert await harness.call("i-2") == []
                with anyio.move_on_after(1.2):
                    while not harness.paths.list_lost_targets("engine"):
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    def test_answers_of_other_targets_hide_no_cut(self) -> None:
        """Guards against one answer that voids the doubt of a service."""
        for name, forms in {**ALL_FORMS, "hanging": ()}.items():
            harness = self._make_harness(OtherInstance(HOSTS[1]))

            async def check(harness: PathHarness) -> None:
                await self._lose_target(harness)
                connects = harness.connects
                for _ in range(CALLS):
                    assert await harness.call("i-1") == []
                assert harness.connects == connects
                assert not harness.paths.is_lost("engine")
                assert await harness.call("i-2") == []
                assert harness.connects == connects + 1

            with self.subTest(form=name):
                self._run(harness, functools.partial(check, harness), *forms)

    def test_link_that_is_back_is_used_again(self) -> None:
        """Guards against relaying one target for ever."""
        harness = self._make_harness(OtherInstance(HOSTS[1]))

        async def check() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.dialer.probe)
                await self._lose_target(harness)
                await anyio.sleep(1.2)
                assert harness.paths.list_lost_targets("engine") == ["i-1"]
                harness.is_cut = False
                while harness.paths.list_lost_targets("engine"):
                    await anyio.sleep(0.02)
                before = harness.connects
                assert await harness.call("i-1") == []
                assert harness.connects == before + 1
                tasks.cancel_scope.cancel()

        self._run(harness, check, CutForm.RESET)

    def test_target_down_for_all_is_not_tried_again_and_again(self) -> None:
        """Guards against peers that connect for each failed request."""
        other = OtherInstance(HOSTS[1])
        harness = self._make_harness(other)

        async def check() -> None:
            other.targets.put(
                dataclasses.replace(TARGET, name="i-1", port=harness.proxy_port)
            )
            for _ in range(CALLS):
                assert isinstance(await harness.call("i-1"), CallError)
                assert await harness.call("i-2") == []
                await anyio.sleep(0.05)
            assert not harness.paths.list_lost_targets("engine")
            assert 0 < other.connects <= QUICK_TARGET_TRIALS + 1
            # A call or a probe each, and some probes more for each trial.
            extra = DOUBT_PROBES * (QUICK_TARGET_TRIALS + 1)
            assert harness.connects <= 2 * CALLS + extra, harness.connects

        self._run(harness, check, CutForm.RESET)

    def test_peer_without_a_link_to_one_target_helps_with_others(self) -> None:
        """Guards against a peer that is passed over for a whole service."""
        partly = OtherInstance(HOSTS[1])
        harness = self._make_harness(partly)

        async def check() -> None:
            lose_target(partly.paths, "i-1")
            for name in ("i-1", "i-2"):
                lose_target(harness.paths, name)
            error = await harness.call("i-1")
            assert isinstance(error, CallError)
            assert not error.written
            assert await harness.call("i-2") == []
            assert partly.connects == 1

        self._run(harness, check)

    def test_other_targets_of_a_cut_are_found_without_requests(self) -> None:
        """Guards against a request that fails for each target of a cut."""
        other = OtherInstance(HOSTS[1])
        harness = self._make_harness(other)
        harness.cut_names = {"i-1", "i-3", "i-4"}

        async def check() -> None:
            self._list_more(harness, "i-3", "i-4")
            lose_target(harness.paths, "i-1")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.dialer.probe)
                while len(harness.paths.list_lost_targets("engine")) < 3:
                    await anyio.sleep(0.02)
                tasks.cancel_scope.cancel()
            for name in ("i-3", "i-4", "i-2"):
                assert await harness.call(name) == []

        self._run(harness, check, CutForm.RESET)

    def test_silent_targets_without_room_are_tested(self) -> None:
        """Guards against a cut that shows in one connection to each target."""
        harness = self._make_harness(OtherInstance(HOSTS[1]))
        harness.cut_names = {"i-1", "i-3", "i-4"}

        async def check() -> None:
            self._list_more(harness, "i-3", "i-4")
            now_ms = harness.clock.now_ms()
            for name in ("i-1", "i-3", "i-4"):
                harness.paths.note_unanswered(
                    "engine", name, now_ms, LinkFault.SILENT
                )
            await anyio.sleep(0.01)
            assert await harness.call("i-2") == []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.dialer.probe)
                while len(harness.paths.list_lost_targets("engine")) < 3:
                    await anyio.sleep(0.02)
                tasks.cancel_scope.cancel()

        self._run(harness, check, CutForm.SILENT)

    def test_target_that_is_listed_anew_ends_no_probes(self) -> None:
        """Guards against a process that ends as a doubted target restarts."""
        harness = self._make_harness(OtherInstance(HOSTS[1]))

        async def relist() -> None:
            while not harness.connects:
                await anyio.sleep(0)
            entry = harness.targets.find("s-1")
            assert entry is not None
            harness.targets.remove("s-1")
            # Forgets targets that are not listed.
            harness.paths.note_failed("shop", "s-2")
            harness.targets.put(entry)

        async def check() -> None:
            for name in ("s-1", "s-2"):
                entry = dataclasses.replace(TARGET, name=name, service="shop")
                harness.targets.put(entry)
            now_ms = harness.clock.now_ms()
            for service, name in (("engine", "i-1"), ("shop", "s-1")):
                for _ in range(MIN_TARGET_MISSES):
                    harness.paths.note_unanswered(service, name, now_ms)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.dialer.probe)
                await relist()
                await anyio.sleep(1.2)
                tasks.cancel_scope.cancel()

        self._run(harness, check, CutForm.SILENT)

    def test_connection_of_a_peer_is_not_kept(self) -> None:
        """Guards against calls that go through a peer though the links work.

        The doubt may be void before the answer has arrived.
        """
        other = OtherInstance(HOSTS[1])
        harness = PathHarness(KeepingTarget(), other)
        harness.cut_names = {"i-1"}

        async def check() -> None:
            now_ms = harness.clock.now_ms()
            for _ in range(MIN_TARGET_MISSES):
                harness.paths.note_unanswered("engine", "i-1", now_ms)
            async with harness.open("i-1") as opened:
                assert not isinstance(opened, Err)
                harness.is_cut = False
                await anyio.sleep(0.01)
                harness.paths.note_answered(
                    "engine", "i-1", harness.clock.now_ms()
                )
                async for _ in opened.ok_value.chunks():
                    pass
            assert other.connects == 1
            assert not harness.paths.list_lost_targets("engine")
            before = harness.connects
            assert await harness.call("i-1") == []
            assert harness.connects == before + 1

        self._run(harness, check, CutForm.RESET)

    def test_survey_does_not_delay_the_end_of_a_cut(self) -> None:
        """Guards against relaying a target while others are asked."""
        harness = self._make_harness(OtherInstance(HOSTS[1]))
        silent = [f"silent-{number}" for number in range(64)]
        harness.cut_names = {"i-1", *silent}

        async def check() -> None:
            self._list_more(harness, *silent)
            lose_target(harness.paths, "i-1")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.dialer.probe)
                while harness.connects <= 2 * PROBE_WIDTH:
                    await anyio.sleep(0.02)
                harness.cut_names.remove("i-1")
                asked = harness.connects
                while harness.paths.is_target_lost("engine", "i-1"):
                    await anyio.sleep(0.02)
                # The survey still has targets to ask.
                assert harness.connects - asked < len(silent) - 16
                tasks.cancel_scope.cancel()

        self._run(harness, check, CutForm.SILENT)

    def test_requests_to_a_doubted_target_share_its_probes(self) -> None:
        """Guards against probes that grow with the load of a target."""
        harness = self._make_harness(OtherInstance(HOSTS[1]))

        async def check() -> None:
            now_ms = harness.clock.now_ms()
            for _ in range(MIN_TARGET_MISSES):
                harness.paths.note_unanswered("engine", "i-1", now_ms)
            async with anyio.create_task_group() as tasks:
                for _ in range(CALLS):
                    tasks.start_soon(harness.call, "i-1")
            assert harness.connects <= CALLS + DOUBT_PROBES, harness.connects

        self._run(harness, check, CutForm.RESET)

    def test_peer_that_is_asked_for_a_dead_target_asks_no_others(self) -> None:
        """Guards against one dead target that all instances ask for."""
        other = OtherInstance(HOSTS[1])
        harness = self._make_harness(other)

        async def check() -> None:
            with refuse_connections() as port:
                harness.proxy_port = port
                other.targets.put(
                    dataclasses.replace(TARGET, name="i-1", port=port)
                )
                for _ in range(CALLS):
                    assert isinstance(await harness.call("i-1"), CallError)
                    assert await harness.call("i-2") == []
                    await anyio.sleep(0.02)
            asked = [event for event, _ in harness.log.events]
            assert asked.count(Event.PEER_PATH_FAILED) >= MIN_TARGET_MISSES
            assert other.paths.list_doubtful() == []

        self._run(harness, check)

    def _list_more(self, harness: PathHarness, *names: str) -> None:
        for name in names:
            entry = dataclasses.replace(TARGET, name=name, port=harness.port)
            for targets in (
                harness.targets,
                *(other.targets for other in harness.others),
            ):
                targets.put(entry)


class LargeServiceTest(unittest.TestCase):
    """Probes of a service with hundreds of targets, in virtual time."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.targets = TargetList(self.clock)
        self.names = [f"i-{number}" for number in range(300)]
        for name in self.names:
            self.targets.put(make_target(name))
        self.paths = TargetPaths(self.clock, RecordingLog(), self.targets)
        self.silent: set[str] = set()
        self.asked: list[str] = []
        peers = FixedPeers()
        choice = PeerChoice(self.clock, random.Random(1), peers)
        self.dialer = PathDialer(
            self.clock, self.paths, self.targets, peers, choice, RecordingLog()
        )
        self.dialer._prober = mock.Mock(ask=self._ask)

    async def _ask(self, target: Endpoint) -> LinkFault | None:
        """Answers after some milliseconds, or not at all."""
        self.asked.append(target.name)
        await anyio.sleep(10 if target.name in self.silent else 0.005)
        return None

    def _lose(self, *names: str) -> None:
        """Lets the links to some targets count as lost."""
        now_ms = self.clock.now_ms()
        for name in names:
            for _ in range(MIN_TARGET_MISSES):
                self.paths.note_unanswered("engine", name, now_ms)
            self.paths.note_answered("engine", "sound", now_ms)
            assert self.paths.begin_target_trial("engine", name)
            self.paths.note_relayed_answer("engine", name, "peer")
        assert len(self.paths.list_lost_targets("engine")) == len(names)

    def _run(self, seconds: float) -> None:
        async def run() -> None:
            with anyio.move_on_after(seconds):
                await self.dialer.probe()

        run_virtual(self.clock, run())

    def test_links_are_back_soon_after_a_cut_that_heals_in_part(self) -> None:
        """Guards against relaying two thirds of a service for minutes."""
        self._lose(*self.names)
        self.silent = set(self.names[::3])
        self._run(15)
        assert set(self.paths.list_lost_targets("engine")) == self.silent

    def test_probes_of_lost_targets_that_stay_silent_are_few(self) -> None:
        """Guards against probes that grow with the size of a cut."""
        self._lose(*self.names)
        self.silent = set(self.names)
        self.paths.begin_survey("engine")
        self._run(20)
        assert len(set(self.asked)) > 20
        # Two in each round, which takes 1 s.
        assert len(self.asked) <= 2 * 21, len(self.asked)

    def test_survey_of_sound_targets_ends_early(self) -> None:
        """Guards against a probe to each target for one that is cut."""
        self.silent = {"i-1"}
        self._lose("i-1")
        self._run(20)
        surveyed = [name for name in self.asked if name != "i-1"]
        assert 0 < len(surveyed) <= 40, len(surveyed)

    def test_survey_goes_on_while_it_finds_targets_of_a_cut(self) -> None:
        """Guards against a survey that ends before it has asked enough."""
        self.silent = set(self.names[:33])
        self._lose("i-1")
        self._run(20)
        assert self.silent <= set(self.asked)


def lose_target(paths: TargetPaths, name: str) -> None:
    """Lets the link to one target count as lost."""
    now_ms = SystemClock().now_ms()
    for _ in range(MIN_TARGET_MISSES):
        paths.note_unanswered("engine", name, now_ms)
    paths.note_answered("engine", "i-3", now_ms)
    assert paths.begin_target_trial("engine", name)
    paths.note_relayed_answer("engine", name, "peer")
    assert name in paths.list_lost_targets("engine")


class TargetPathsTest(unittest.TestCase):
    """What an instance concludes from its connects."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.targets = TargetList(self.clock)
        for name in ("i-1", "i-2", "i-3"):
            self.targets.put(make_target(name))
        self.log = RecordingLog()
        self.paths = TargetPaths(self.clock, self.log, self.targets)

    def test_one_failed_target_is_no_lost_link(self) -> None:
        """Guards against asking peers for each target that crashed."""
        for _ in range(5):
            self.paths.note_failed("engine", "i-1")
        assert not self.paths.is_suspect("engine")
        self.paths.note_failed("engine", "i-2")
        assert self.paths.is_suspect("engine")
        self.paths.note_connected("engine")
        assert not self.paths.is_suspect("engine")

    def _miss(self, *names: str) -> None:
        for name in names:
            self.paths.note_unanswered("engine", name, self.clock.now_ms())

    def test_few_unanswered_connections_are_no_doubt(self) -> None:
        """Guards against a cut seen in one target that resets."""
        self._miss("i-1", "i-1", "i-1", "i-1")
        assert not self.paths.is_doubtful("engine")
        self.clock.advance(1)
        self.paths.note_answered("engine", "i-3", self.clock.now_ms())
        self._miss("i-1", "i-2")
        assert not self.paths.is_doubtful("engine")
        self._miss("i-2")
        assert self.paths.is_doubtful("engine")

    def test_connections_that_live_on_show_no_sound_links(self) -> None:
        """Guards against answers over connections from before a cut."""
        before_ms = self.clock.now_ms()
        self.clock.advance(10)
        self._miss("i-1", "i-2", "i-2")
        self.paths.note_answered("engine", "i-3", before_ms)
        assert self.paths.is_doubtful("engine")
        self.clock.advance(10)
        self.paths.note_answered("engine", "i-3", self.clock.now_ms())
        assert not self.paths.is_doubtful("engine")

    def test_unanswered_and_failed_connections_count_together(self) -> None:
        """Guards against a cut that refuses some and accepts some."""
        self.paths.note_failed("engine", "i-1")
        self.paths.note_connected("engine")
        self._miss("i-2")
        assert not self.paths.is_doubtful("engine")
        self.paths.note_failed("engine", "i-1")
        assert self.paths.is_doubtful("engine")

    def test_trials_become_rare(self) -> None:
        """Guards against peers asked again and again for dead targets."""
        trials = 0
        for _ in range(600):
            self._miss("i-1", "i-2", "i-3")
            trials += self.paths.begin_trial("engine")
            self.clock.advance(100)
        # 4 in a row, then after 2, 4, 8, 16 and 32 s.
        assert trials == QUICK_TRIALS + 4, trials
        assert not self.paths.is_lost("engine")
        self.paths.note_relayed_answer("engine", "i-1", "10.0.0.2")
        assert self.paths.is_lost("engine")

    def test_slow_target_is_doubted_less_and_less(self) -> None:
        """Guards against probes of targets that only take their time."""
        doubts = 0
        for _ in range(600):
            connected_at_ms = self.clock.now_ms()
            for _ in range(MIN_TARGET_MISSES):
                self.paths.note_unanswered(
                    "engine", "i-1", connected_at_ms, LinkFault.SILENT
                )
            doubts += self.paths.begin_target_trial("engine", "i-1")
            self.clock.advance(100)
            self.paths.note_answered("engine", "i-1", connected_at_ms)
        # After 1, 2, 4, 8, 16, 16 and 16 s.
        assert 5 <= doubts <= 9, doubts

    def test_troubled_target_is_doubted_once_a_second(self) -> None:
        """Guards against probes of targets that reset some answers."""
        doubts = 0
        for _ in range(600):
            self._miss("i-1", "i-1")
            doubts += self.paths.begin_target_trial("engine", "i-1")
            self.clock.advance(50)
            self.paths.note_answered("engine", "i-1", self.clock.now_ms())
            self.clock.advance(50)
        assert doubts <= 61, doubts

    def test_trials_of_one_target_become_rare(self) -> None:
        """Guards against peers asked again and again for a dead target."""
        trials = 0
        for _ in range(600):
            self._miss("i-1", "i-1")
            self.clock.advance(50)
            self.paths.note_answered("engine", "i-2", self.clock.now_ms())
            trials += self.paths.begin_target_trial("engine", "i-1")
            self.clock.advance(50)
        # 2 in a row, then after 2, 4, 8, 16 and 32 s.
        assert trials == QUICK_TARGET_TRIALS + 4, trials

    def test_lost_targets_are_named_with_the_form_of_the_cut(self) -> None:
        """Guards against a log and a gauge that hide what a cut looks like."""
        for fault in (LinkFault.SILENT, LinkFault.SILENT):
            self.paths.note_unanswered(
                "engine", "i-1", self.clock.now_ms(), fault
            )
        self.paths.note_answered("engine", "i-2", self.clock.now_ms())
        assert self.paths.begin_target_trial("engine", "i-1")
        self.paths.note_relayed_answer("engine", "i-1", "10.0.0.2")
        assert self.paths.describe_lost() == {"i-1": "silent"}
        assert self.paths.count_lost("silent") == 1
        event, fields = self.log.events[-1]
        assert event is Event.TARGET_LINKS_LOST
        assert fields["scope"] == "i-1"
        assert fields["form"] == "silent"
        assert fields["forms"] == {"silent": 2}

    def test_answered_trial_is_not_taken_for_a_later_one(self) -> None:
        """Guards against a service lost by the trial of one target."""
        self._miss("i-1", "i-2", "i-1")
        assert self.paths.begin_trial("engine")
        self.clock.advance(1)
        connected_at_ms = self.clock.now_ms()
        self.clock.advance(1)
        self._miss("i-1")
        self.paths.note_answered("engine", "i-3", connected_at_ms)
        assert not self.paths.is_doubtful("engine")
        assert self.paths.begin_target_trial("engine", "i-1")
        self.paths.note_relayed_answer("engine", "i-1", "10.0.0.2")
        assert not self.paths.is_lost("engine")
        assert self.paths.list_lost_targets("engine") == ["i-1"]

    def test_doubts_of_a_large_service_are_listed_in_one_pass(self) -> None:
        """Guards against an event loop that stands still in a large cut."""
        names = [f"i-{number}" for number in range(50)]
        for name in names:
            self.targets.put(make_target(name))
        self._miss(*names, *names)
        self.clock.advance(1)
        self.paths.note_answered("engine", "i-60", self.clock.now_ms())
        with mock.patch.object(
            paths._ServicePath,
            "count_silent",
            autospec=True,
            side_effect=paths._ServicePath.count_silent,
        ) as count_silent:
            assert len(self.paths.list_doubtful()) == len(names)
        assert count_silent.call_count == 1

    def test_few_silent_targets_of_many_raise_no_doubts(self) -> None:
        """Guards against a large service that is probed for each miss."""
        names = [f"i-{number}" for number in range(1, 201)]
        for name in names:
            self.targets.put(make_target(name))
        self.paths.note_answered("engine", "i-200", self.clock.now_ms())

        def miss(count: int) -> int:
            for name in names[:count]:
                if not self.paths.was_accepted("engine", name):
                    self._miss(name)
            self.clock.advance(1)
            self.paths.note_answered("engine", "i-200", self.clock.now_ms())
            return len(self.paths.list_doubtful())

        assert miss(9) == 0
        assert miss(10) == 10
        self._miss("i-150")
        assert self.paths.is_target_doubtful("engine", "i-150")

    def test_old_failures_are_forgotten(self) -> None:
        """Guards against failures hours apart that look like one cut."""
        self.paths.note_failed("engine", "i-1")
        self.clock.advance(FAILURE_TTL_MS + 1)
        self.paths.note_failed("engine", "i-2")
        assert not self.paths.is_suspect("engine")

    def test_links_are_lost_only_if_a_peer_connects(self) -> None:
        """Guards against blaming the links when all targets are down."""
        self.paths.note_failed("engine", "i-1")
        self.paths.note_relayed("engine", "i-1", "10.0.0.2")
        assert not self.paths.is_lost("engine")
        self.paths.note_failed("engine", "i-2")
        assert not self.paths.is_lost("engine")
        self.paths.note_relayed("engine", "i-2", "10.0.0.2")
        assert self.paths.is_lost("engine")
        assert not self.paths.is_lost("shop")

    def test_links_that_come_and_go_are_not_trusted_at_once(self) -> None:
        """Guards against one connect that slips through a bad link."""
        for name in ("i-1", "i-2"):
            self.paths.note_failed("engine", name)
        self.paths.note_relayed("engine", "i-2", "10.0.0.2")
        self.paths.note_answered("engine", "i-1", self.clock.now_ms())
        self.paths.note_failed("engine", "i-2")
        self.paths.note_answered("engine", "i-1", self.clock.now_ms())
        assert self.paths.is_lost("engine")
        self.paths.note_answered("engine", "i-2", self.clock.now_ms())
        assert not self.paths.is_lost("engine")


class PeerChoiceTest(unittest.TestCase):
    """Which instances are asked to connect."""

    def test_peer_without_answers_is_asked_last(self) -> None:
        """Guards against a cut peer that is preferred, or never asked."""
        clock = ManualClock()
        hosts = ["10.0.0.1", "10.1.0.1"]
        all_peers = FixedPeers(hosts, zone="10.0")
        peers = PeerChoice(clock, random.Random(7), all_peers)
        assert peers.choose("engine", ()) == hosts[0]
        peers.note_unanswered(hosts[0], "engine")
        assert peers.choose("engine", ()) == hosts[1]
        assert peers.choose("engine", hosts[1:]) == hosts[0]
        assert peers.choose("shop", ()) == hosts[0]

    def test_half_of_a_large_fleet_may_be_cut_off_too(self) -> None:
        """Guards against asking peers that cannot help again and again."""
        clock = ManualClock()
        hosts = [f"10.{n // 240}.0.{n % 240}" for n in range(719)]
        # All of the own zone, and half of the others.
        cut = {h for n, h in enumerate(hosts) if n < 240 or n % 2}
        all_peers = FixedPeers(hosts, zone="10.0")
        peers = PeerChoice(clock, random.Random(7), all_peers)
        asked: collections.Counter[str] = collections.Counter()
        failed = 0
        for _ in range(1_000):
            clock.advance(5)
            tried: set[str] = set()
            while len(tried) < pathclient.MAX_ASKED_PEERS:
                host = peers.choose("engine", tried)
                tried.add(host)
                asked[host] += 1
                if host not in cut:
                    peers.note_answered(host)
                    break
                peers.note_failed(host, "engine")
            else:
                failed += 1
        # Only while all peers of the own zone are still untried.
        assert failed <= 240 / pathclient.MAX_ASKED_PEERS
        assert sum(n for h, n in asked.items() if h in cut) <= 2 * len(cut)
        assert all_peers.lists <= 5 * 1_000 / REFRESH_MS + 1
