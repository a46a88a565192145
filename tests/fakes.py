"""A fleet of real entry instances on one loop, with fakes at the ports."""

import asyncio
import functools
import hashlib
import random
import types
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from contextlib import AsyncExitStack, ExitStack
from typing import Any
from unittest import mock

from anyio.abc import TaskGroup
from result import Err, Ok, Result

from peridotbend import node as node_module
from peridotbend.adapters.settings import NodeSettings
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.events import Event
from peridotbend.domain.grants import Waiter
from peridotbend.domain.ports import (
    InstanceInfo,
    InstanceRole,
    PlatformError,
)
from peridotbend.domain.requestids import parse_request_id
from peridotbend.domain.scheduler import SchedulerLimits
from peridotbend.domain.text import (
    EngineType,
    FleetText,
    Kind,
    Service,
    Target,
)
from peridotbend.domain.verdicts import Reason, Verdict
from peridotbend.node import Node
from tests.fakepeers import LATENCY_MS, ClientHalf, FakeChannels, Half
from tests.faketargets import FakeTarget, FakeTargetClient, Run
from tests.simloop import SimLoop, SimProcess, current_process

TIERS = ("quotes", "answers", "tags")
LEAVING_LIMIT_MS = 2_000
CHECK_EVERY_MS = 100
MAX_RECORDS = 64
MAX_ANSWER_BYTES = 20_000
CHAT = "/v1/chat/completions"
ENTRY_ZONES = {"a1": "z1", "a2": "z1", "b1": "z2"}
TARGET_ZONES = {"m1": "z1", "m2": "z2", "o1": "z1", "o2": "z2"}


def make_kind(
    name: str, service: str, path: str, tier: int, idempotent: bool
) -> Kind:
    """Returns a kind with small bounds."""
    model = name if service == "chat" else ""
    sizes = (6_000, 4_096, 4_096, 30_000)
    return Kind(name, service, "POST", path, model, tier, idempotent, *sizes)


def make_text(version: int) -> FleetText:
    """Returns a version of the text of the simulated fleet."""

    def make_service(
        name: str, engine: EngineType, window: int, *kinds: Kind
    ) -> Service:
        targets = tuple(
            Target(t, name, zone, "127.0.0.1", 1)
            for t, zone in TARGET_ZONES.items()
            if t.startswith("m" if name == "chat" else "o")
        )
        bounds = (window, window, window, 3)
        return Service(name, engine, (), kinds, targets, *bounds)

    chat = make_service(
        "chat",
        EngineType.MODEL,
        120,
        make_kind("quote", "chat", CHAT, 0, True),
        make_kind("tag", "chat", CHAT, 2, True),
    )
    orders = make_service(
        "orders",
        EngineType.APPLICATION,
        4,
        make_kind("status", "orders", "/v1/status", 0, True),
        make_kind("confirm", "orders", "/v1/confirm", 1, False),
    )
    source = str(version)
    digest = hashlib.sha256(source.encode()).digest()
    return FleetText(version, TIERS, (), (chat, orders), source, digest)


class FakePlatform:
    """Publishes the text and the list; can be down or stale."""

    def __init__(self, world: "World"):
        self._world = world
        self.version = 1
        self.revision = 1
        self.down = False
        # A version that it serves instead of the newest one, or 0.
        self.stale_version = 0

    async def aclose(self) -> None:
        """Keeps nothing open."""

    async def watch_text(
        self, newer_than: int, wait_ms: int
    ) -> Result[str | None, PlatformError]:
        """Returns a newer text, or an old one while it is stale."""
        await asyncio.sleep(0.005)
        until_ms = self._world.clock.now_ms() + wait_ms
        while not self.down:
            if self.stale_version:
                return Ok(str(self.stale_version))
            if self.version > newer_than:
                return Ok(str(self.version))
            if self._world.clock.now_ms() >= until_ms:
                return Ok(None)
            await asyncio.sleep(0.1)
        return Err(PlatformError("down"))

    async def watch_instances(
        self, after_revision: int, wait_ms: int
    ) -> Result[tuple[int, tuple[InstanceInfo, ...]] | None, PlatformError]:
        """Returns the list when it has changed."""
        await asyncio.sleep(0.005)
        until_ms = self._world.clock.now_ms() + wait_ms
        while not self.down:
            if self.revision > after_revision:
                return Ok((self.revision, self._world.list_instances()))
            if self._world.clock.now_ms() >= until_ms:
                return Ok(None)
            await asyncio.sleep(0.1)
        return Err(PlatformError("down"))


class FakeMeter:
    """Counts what the checks need."""

    def __init__(self, world: "World"):
        self._world = world

    def count_shed(self, service: str, tier: str) -> None:
        """Counts shed requests."""
        self._world.counts["shed"] += 1

    def count_verdict(self, service: str, tier: str, verdict: Verdict) -> None:
        """Counts verdicts by label."""
        self._world.counts[verdict.label] += 1

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Accepts the counters that no check needs."""
        return lambda *args: None


class FakeLog:
    """Notes when a zone first sees a target leave."""

    def __init__(self, world: "World", zone: str):
        self._world = world
        self._zone = zone

    def emit(self, event: Event, **fields: object) -> None:
        """Takes one event."""
        self._world.counts[event.label] += 1
        if event is Event.TARGET_LEAVING:
            key = (self._zone, fields["target"], fields["incarnation"])
            now_ms = self._world.clock.now_ms()
            self._world.leaving_seen.setdefault(key, now_ms)


class _CallerServer:
    """Waits for attached callers as the HTTP server does at its stop."""

    def __init__(self) -> None:
        self.attached = 0

    async def stop(self) -> None:
        """Returns when the last caller has its answer."""
        while self.attached:
            await asyncio.sleep(0.02)


class SimNode(Node):
    """A node without sockets."""

    def __init__(self, world: "World", name: str, port: int):
        self.process = SimProcess(name)
        self.port = port
        self.callers = _CallerServer()
        self.started_ms = world.clock.now_ms()
        self._world = world
        zone = ENTRY_ZONES[name]
        settings = NodeSettings(
            name, zone, "", "", "127.0.0.1", 1, "127.0.0.1", 1, "127.0.0.1",
            port, MAX_RECORDS, MAX_ANSWER_BYTES, 12, 1_000, "info", 36_000,
        )  # fmt: skip
        super().__init__(settings, FakeLog(world, zone))
        self._end_waiter = self.scheduler._end
        self.scheduler._end = self._end_checked  # type: ignore[method-assign]

    def _end_checked(self, waiter: Waiter, reason: Reason) -> None:
        """Checks at each shed request that no lower tier waits."""
        queues = self.scheduler._queues
        kind = waiter.item.kind
        beside = {
            Reason.SHED: queues.find_group(kind.service).queues,
            Reason.AT_CAPACITY: list(queues),
        }.get(reason, [])
        if any(max(q.queue.bands(), default=0) > kind.tier for q in beside):
            self._world.faults.append(f"{kind.name} shed before a lower tier")
        self._end_waiter(waiter, reason)

    @property
    def server(self) -> Any:
        """The handlers of the peer protocol."""
        return self._server

    async def _start(self, stack: AsyncExitStack, tasks: TaskGroup) -> None:
        self._build_service(stack, tasks)
        self.roster.set_address("127.0.0.1", self.port)
        self._caller_server = self.callers  # type: ignore[assignment]
        for run in (
            self.links.run,
            self.sync.run,
            self.scheduler.run,
            self._divide,
            self._sweep,
        ):
            tasks.start_soon(run)
        self._world.listeners[self.port] = self


class World:
    """The fleet, its network, its targets and all that happened."""

    def __init__(self, seed: int = 0):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.loop = SimLoop(self.clock)
        self.zones = dict(ENTRY_ZONES)
        self.targets = {
            name: FakeTarget(name, zone, name.startswith("m"))
            for name, zone in TARGET_ZONES.items()
        }
        self.platform = FakePlatform(self)
        self.nodes: dict[str, SimNode] = {}
        self.listeners: dict[int, SimNode] = {}
        self.streams: set[ClientHalf] = set()
        self.lost_replies: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self._held: list[Half] = []
        self._wires: dict[Half, deque[Callable[[], None]]] = defaultdict(deque)
        self._processes: list[SimProcess] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self.node_tasks: dict[int, asyncio.Task[Any] | None] = {}
        # What the checks compare with.
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.runs_of_uid: dict[str, list[Run]] = defaultdict(list)
        self.answers: dict[str, bytes] = {}
        self.crashes: Counter[bytes] = Counter()
        self.leaving_seen: dict[tuple[Any, ...], int] = {}
        self.faults: list[str] = []
        self.counts: Counter[str] = Counter()
        self.moved_ms = self.clock.now_ms()
        self._patches = ExitStack()
        self._patch()

    def _patch(self) -> None:
        def direct(work: Callable[..., Any], *args: Any) -> Any:
            return _return(work(*args))

        secrets = types.SimpleNamespace(
            token_bytes=self.rng.randbytes, randbits=self.rng.getrandbits
        )
        names = {
            "SystemClock": lambda: self.clock,
            "PrometheusMeter": lambda clock: FakeMeter(self),
            "HttpTargetClient": lambda: FakeTargetClient(self, _own()),
            "ChannelPool": lambda: FakeChannels(self, _own()),
            "make_platform": lambda url, clock: self.platform,
            "TextParser": lambda: types.SimpleNamespace(
                parse=lambda source: Ok(make_text(int(source)))
            ),
            # The scheduler's own period of 20 ms takes most of the time.
            "SchedulerLimits": functools.partial(
                SchedulerLimits, check_every_ms=CHECK_EVERY_MS
            ),
            "random": types.SimpleNamespace(
                Random=lambda: random.Random(self.rng.random())
            ),
        }
        ids = "peridotbend.domain.requestids.secrets"
        enter = self._patches.enter_context
        enter(mock.patch.multiple(node_module, **names))
        enter(mock.patch(ids, secrets))
        enter(mock.patch("anyio.to_thread.run_sync", direct))

    def count_stream(self) -> int:
        """Returns the number of the next peer stream."""
        self.counts["streams"] += 1
        return self.counts["streams"]

    # Processes.

    def start(self, name: str) -> None:
        """Starts an instance, with a new incarnation."""
        port = 9_000 + list(ENTRY_ZONES).index(name)
        process = SimProcess(name)

        async def run() -> None:
            node = SimNode(self, name, port)
            node.process = process
            self.nodes[name] = node
            self.node_tasks[id(node)] = asyncio.current_task()
            try:
                await node.run()
            finally:
                if self.listeners.get(port) is node:
                    del self.listeners[port]
                process.dead = True
                self._reset_streams(process)

        self._processes.append(process)
        self._tasks.append(self.loop.spawn(process, run()))
        self.note_move()

    def live(self) -> list[SimNode]:
        """Returns the nodes that run and are not paused, in name order."""
        nodes = sorted(self.nodes.values(), key=lambda n: n.process.name)
        return [
            node
            for node in nodes
            if not node.process.stopped
            and not node.process.dead
            and self.listeners.get(node.port) is node
        ]

    def kill(self, node: SimNode) -> None:
        """Ends a process at once; its connections break."""
        node.process.stopped = node.process.dead = True
        self.listeners.pop(node.port, None)
        self._reset_streams(node.process)
        self.note_move()

    def _reset_streams(self, process: SimProcess) -> None:
        error = ConnectionResetError("the process ended")
        ours = [
            s
            for s in self.streams
            if s.server and process in (s.process, s.server.process)
        ]
        for stream in sorted(ours, key=lambda s: s.number):
            self.streams.discard(stream)
            assert stream.server is not None
            if process is stream.process:
                self.deliver(stream, stream.server.cancel)
            else:
                stream.server.reset(error)

    def note_move(self) -> None:
        """Notes a change of processes or links."""
        self.moved_ms = self.clock.now_ms()
        self.platform.revision += 1

    # Network.

    def find_listener(self, port: int) -> SimNode | None:
        """Returns the node that listens on a port."""
        return self.listeners.get(port)

    def is_zone_linked(self, one: str, other: str) -> bool:
        """Tells whether two zones reach each other."""
        return frozenset((one, other)) not in self.cuts

    def is_linked(self, one: SimProcess, other: SimProcess) -> bool:
        """Tells whether two processes reach each other."""
        return self.is_zone_linked(self.zones[one.name], self.zones[other.name])

    def cut(self, one: str, other: str) -> None:
        """Stops traffic between two zones; messages wait."""
        self.cuts.add(frozenset((one, other)))
        self.note_move()

    def heal(self) -> None:
        """Restores all links; what waited arrives late."""
        self.cuts.clear()
        held, self._held = self._held, []
        for half in held:
            self.loop.call_outside(LATENCY_MS, lambda h=half: self._arrive(h))
        self.note_move()

    def deliver(self, half: Half, action: Callable[[], None]) -> None:
        """Carries a message of a stream to its other side, in order."""
        assert half.other is not None
        self._wires[half].append(action)
        if self.is_linked(half.process, half.other.process):
            self.loop.call_outside(LATENCY_MS, lambda: self._arrive(half))
        else:
            self._held.append(half)

    def _arrive(self, half: Half) -> None:
        wire = self._wires[half]
        action = wire.popleft()
        if not wire:
            del self._wires[half]
        assert half.other is not None
        if not half.other.process.dead:
            action()

    def list_instances(self) -> tuple[InstanceInfo, ...]:
        """Returns the platform's list."""
        host, entry = "127.0.0.1", InstanceRole.ENTRY
        entries = [
            InstanceInfo(name, entry, zone, host, 1, 9_000 + index, "", False)
            for index, (name, zone) in enumerate(ENTRY_ZONES.items())
        ]
        targets = [
            InstanceInfo(
                t.name, InstanceRole.TARGET, t.zone, host, 1, 0,
                str(t.incarnation), t.leaving,
            )
            for t in self.targets.values()
        ]  # fmt: skip
        return (*entries, *targets)

    # What targets tell.

    def note_run(self, run: Run, fake: FakeTarget, process: SimProcess) -> None:
        """Notes a dispatch and checks that it was allowed."""
        self.counts["runs"] += 1
        self.runs[run.token].append(run)
        self.runs_of_uid[run.uid].append(run)
        request_id = parse_request_id(run.token)
        assert request_id is not None
        if run.at_ms >= request_id.expires_at_ms:
            self.faults.append("dispatched after the ID expired")
        key = (self.zones[process.name], fake.name, str(fake.incarnation))
        seen_ms = self.leaving_seen.get(key)
        node = self.nodes[process.name]
        if seen_ms is None:
            return
        since_ms = max(seen_ms, node.started_ms)
        if run.at_ms > since_ms + LEAVING_LIMIT_MS:
            self.faults.append(f"new work at {fake.name}, which leaves")

    def note_crash(self, fake: FakeTarget, body: bytes) -> None:
        """Notes that a request killed a target."""
        self.crashes[body] += 1

    def run_for(self, ms: int) -> None:
        """Lets simulated time pass."""
        self.loop.run_for(ms)

    def close(self) -> None:
        """Ends all tasks and restores what was patched."""
        # What runs while tasks are cancelled may start others.
        for _ in range(5):
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            for process in self._processes:
                self.loop.wake(process)
            self.loop.run_for(200)
        self.loop.run_until_complete(self.loop.shutdown_asyncgens())
        self.loop.close()
        self._patches.close()


async def _return(value: Any) -> Any:
    return value


def _own() -> SimProcess:
    process = current_process()
    assert process is not None, "only a process builds these"
    return process
