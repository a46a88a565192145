"""Tests of instances that lost their own links to the targets."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import socket
import struct
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import anyio
import grpclib.server
import httpcore
from result import Err, Result

from peridotbend.adapters import pathclient
from peridotbend.adapters.pathclient import PathDialer
from peridotbend.adapters.pathserver import PathServer
from peridotbend.adapters.publishedpeers import PublishedServer
from peridotbend.adapters.serving import HttpServer, listen
from peridotbend.adapters.sockets import connect
from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.daemon import BACKEND_OPTIONS
from peridotbend.domain.clock import ManualClock, SystemClock
from peridotbend.domain.paths import (
    FAILURE_TTL_MS,
    REFRESH_MS,
    Endpoint,
    PeerChoice,
    TargetPaths,
)
from peridotbend.domain.ports import (
    CallError,
    CallFailure,
    TargetAnswer,
    TargetCall,
)
from peridotbend.domain.text import Target
from peridotbend.edge.targets import TargetList
from peridotbend.platform import wire
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


class UnreachableTargetsTest(unittest.TestCase):
    """An instance that reaches its callers and peers, but no target."""

    def _count_served(self, path: str, port: int) -> tuple[int, list[str]]:
        """Returns the requests served at the first try, and what ran."""
        served = 0
        ran: list[str] = []

        async def check(fleet: EdgeFleet) -> None:
            nonlocal served
            async with start_cut_off(fleet, port):
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

    def _check(self, path: str, port: int) -> None:
        served, ran = self._count_served(path, port)
        assert served >= MIN_SERVED_SHARE * REQUESTS, served
        assert len(ran) == len(set(ran)), "an attempt ran twice"

    def test_refused_connections_do_not_refuse_callers(self) -> None:
        """Guards against an own lost link that is taken for dead targets."""
        for path in ("/quotes/1", "/orders/1"):
            with self.subTest(path=path), refuse_connections() as port:
                self._check(path, port)

    def test_hanging_connections_do_not_refuse_callers(self) -> None:
        """Guards against the same where connects get no answer."""
        for path in ("/quotes/1", "/orders/1"):
            with self.subTest(path=path), ignore_connections() as port:
                self._check(path, port)


class RawTarget:
    """A target that writes scripted bytes to each connection."""

    def __init__(self, answer: bytes = b"", is_reset: bool = False) -> None:
        self.answer = answer
        self.is_reset = is_reset
        # Keeps connections open after the answer while it is cleared.
        self.may_end = asyncio.Event()
        self.may_end.set()
        self.received = bytearray()
        self.ended = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.received += await reader.read(65_536)
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


class OtherInstance:
    """An instance that connects to targets for others."""

    def __init__(self, host: str, is_older_build: bool = False) -> None:
        self.host = host
        clock = SystemClock()
        self.targets = TargetList(clock)
        self.paths = TargetPaths(clock, RecordingLog(), self.targets)
        self.server = PathServer(
            self.targets, self.paths, HOSTS.__contains__, 1
        )
        self._is_older_build = is_older_build

    async def start(self, port: int) -> None:
        """Starts to serve peers."""
        older = [PublishedServer({})]
        self._grpc = grpclib.server.Server(
            older if self._is_older_build else [self.server]
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
        for other in self.others:
            await other.start(peer_port)
        peers = FixedPeers([other.host for other in self.others], peer_port)
        self.dialer = PathDialer(
            self.paths,
            self.targets,
            peers,
            PeerChoice(self.clock, random.Random(1), peers),
            self.log,
        )
        self.dialer.direct = self
        self.client = HttpTargetClient(0.2, self.dialer)
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
        if self.is_cut:
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
        self, name: str = "i-1"
    ) -> contextlib.AbstractAsyncContextManager[
        "Result[TargetAnswer, CallError]"
    ]:
        """Sends a call."""
        target = Target(name, "engine", "zone-a", "127.0.0.1", self.port)
        request = TargetCall("POST", "/quotes/1", (), b"plan", 5_000)
        return self.client.open(target, request, lambda: True)

    async def lose_links(self) -> None:
        """Lets connects to two targets fail, after which a peer is asked."""
        assert isinstance(await self.call("i-2"), CallError)


def run_paths(
    harness: PathHarness, check: Callable[[], Awaitable[None]]
) -> None:
    """Runs a check with a harness."""
    anyio.run(harness.run, check, backend_options=BACKEND_OPTIONS)


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


class TargetPathsTest(unittest.TestCase):
    """What an instance concludes from its connects."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.targets = TargetList(self.clock)
        for name in ("i-1", "i-2", "i-3"):
            self.targets.put(make_target(name))
        self.paths = TargetPaths(self.clock, RecordingLog(), self.targets)

    def test_one_failed_target_is_no_lost_link(self) -> None:
        """Guards against asking peers for each target that crashed."""
        for _ in range(5):
            self.paths.note_failed("engine", "i-1")
        assert not self.paths.is_suspect("engine")
        self.paths.note_failed("engine", "i-2")
        assert self.paths.is_suspect("engine")
        self.paths.note_connected("engine", "i-3")
        assert not self.paths.is_suspect("engine")

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
        self.paths.note_connected("engine", "i-1")
        self.paths.note_failed("engine", "i-2")
        self.paths.note_connected("engine", "i-1")
        assert self.paths.is_lost("engine")
        self.paths.note_connected("engine", "i-2")
        assert not self.paths.is_lost("engine")


class PeerChoiceTest(unittest.TestCase):
    """Which instances are asked to connect."""

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
                    peers.note_connected(host)
                    break
                peers.note_failed(host, "engine")
            else:
                failed += 1
        # Only while all peers of the own zone are still untried.
        assert failed <= 240 / pathclient.MAX_ASKED_PEERS
        assert sum(n for h, n in asked.items() if h in cut) <= 2 * len(cut)
        assert all_peers.lists <= 5 * 1_000 / REFRESH_MS + 1
