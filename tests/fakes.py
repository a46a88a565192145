"""A fleet of real entry instances on one loop, with fakes at the ports."""

import asyncio
import functools
import random
import types
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any
from unittest import mock

from result import Ok

from peridotbend import node as node_module
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import InstanceInfo, InstanceRole
from peridotbend.domain.requestids import parse_request_id
from peridotbend.domain.scheduler import SchedulerLimits
from tests.fakenode import (
    ENTRY_ZONES,
    TARGET_ZONES,
    FakeMeter,
    FakePlatform,
    SimNode,
    make_text,
)
from tests.fakepeers import LATENCY_MS, ClientHalf, FakeChannels, Half
from tests.faketargets import FakeTarget, FakeTargetClient, ReceivedRequest
from tests.simloop import SimLoop, SimProcess, current_process

LEAVING_LIMIT_MS = 2_000
# The scheduler's own period of 20 ms takes most of the time of a run.
CHECK_EVERY_MS = 100


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
        self.runs: dict[str, list[ReceivedRequest]] = defaultdict(list)
        self.runs_of_uid: dict[str, list[ReceivedRequest]] = defaultdict(list)
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
        names: dict[str, Any] = {
            "SystemClock": lambda: self.clock,
            "PrometheusMeter": lambda clock: FakeMeter(self),
            "HttpTargetClient": lambda: FakeTargetClient(self, _own()),
            "ChannelPool": lambda: FakeChannels(self, _own()),
            "make_platform": lambda url, clock: self.platform,
            "TextParser": lambda: types.SimpleNamespace(
                parse=lambda source: Ok(make_text(int(source)))
            ),
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

    def break_forwards(self) -> None:
        """Resets the connections over which answers are forwarded."""
        for stream in sorted(self.streams, key=lambda s: s.number):
            if stream.method == "Forward" and stream.server is not None:
                stream.server.reset(ConnectionResetError("cut"))

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

    def note_run(
        self, run: ReceivedRequest, fake: FakeTarget, process: SimProcess
    ) -> None:
        """Notes a dispatch and checks that it was allowed."""
        self.counts["runs"] += 1
        self.runs[run.token].append(run)
        self.runs_of_uid[run.uid].append(run)
        request_id = parse_request_id(run.token)
        assert request_id is not None
        if run.at_ms >= request_id.expires_at_ms:
            self.faults.append("dispatched after the ID expired")
        record = self.nodes[process.name].records.find(run.token)
        if record is not None and run.at_ms >= record.deadline_at_ms:
            self.faults.append("dispatched after its deadline")
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
