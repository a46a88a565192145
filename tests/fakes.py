"""A simulated fleet: real entry instances in one loop, with fake ports."""

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
    make_config,
)
from tests.fakepeers import (
    LATENCY_MS,
    FakeChannelPool,
    FakeClientStream,
    FakeStream,
)
from tests.faketargets import FakeTarget, FakeTargetClient, ReceivedRequest
from tests.simloop import SimLoop, SimProcess, current_process

# Time after which a target that is seen to leave must get no new requests.
LEAVING_GRACE_MS = 2_000
# With the scheduler's default period of 20 ms, its checks take most of the time
# of a run.
SCHEDULER_PERIOD_MS = 100


class World:
    """The fleet, its network and targets, and a record of what happened."""

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
        self.streams: set[FakeClientStream] = set()
        self.lost_replies: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self._held_streams: list[FakeStream] = []
        self._in_transit: dict[FakeStream, deque[Callable[[], None]]] = (
            defaultdict(deque)
        )
        self._processes: list[SimProcess] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self.node_tasks: dict[int, asyncio.Task[Any] | None] = {}
        # Read by the checks.
        self.runs: dict[str, list[ReceivedRequest]] = defaultdict(list)
        self.runs_by_uid: dict[str, list[ReceivedRequest]] = defaultdict(list)
        self.answers: dict[str, bytes] = {}
        self.crashes: Counter[bytes] = Counter()
        self.leaving_seen: dict[tuple[Any, ...], int] = {}
        self.faults: list[str] = []
        self.counts: Counter[str] = Counter()
        self.topology_changed_ms = self.clock.now_ms()
        self._patches = ExitStack()
        self._patch()

    def _patch(self) -> None:
        def run_inline(work: Callable[..., Any], *args: Any) -> Any:
            return _return_value(work(*args))

        secrets = types.SimpleNamespace(
            token_bytes=self.rng.randbytes, randbits=self.rng.getrandbits
        )
        names: dict[str, Any] = {
            "SystemClock": lambda: self.clock,
            "PrometheusMeter": lambda clock: FakeMeter(self),
            "HttpTargetClient": lambda *_, **__: FakeTargetClient(
                self, _get_current_process()
            ),
            "ChannelPool": lambda: FakeChannelPool(
                self, _get_current_process()
            ),
            "make_platform": lambda url, clock: self.platform,
            "TextParser": lambda: types.SimpleNamespace(
                parse=lambda source: Ok(make_config(int(source)))
            ),
            "SchedulerLimits": functools.partial(
                SchedulerLimits, check_every_ms=SCHEDULER_PERIOD_MS
            ),
            "random": types.SimpleNamespace(
                Random=lambda: random.Random(self.rng.random())
            ),
        }
        secrets_path = "peridotbend.domain.requestids.secrets"
        enter = self._patches.enter_context
        enter(mock.patch.multiple(node_module, **names))
        enter(mock.patch(secrets_path, secrets))
        enter(mock.patch("anyio.to_thread.run_sync", run_inline))

    def next_stream_number(self) -> int:
        """Returns the number of a new peer stream."""
        self.counts["streams"] += 1
        return self.counts["streams"]

    # Processes.

    def start(self, name: str) -> None:
        """Starts an instance with a new incarnation."""
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
        self.record_topology_change()

    def list_live_nodes(self) -> list[SimNode]:
        """Returns the nodes that run and are not paused, sorted by name."""
        nodes = sorted(self.nodes.values(), key=lambda n: n.process.name)
        return [
            node
            for node in nodes
            if not node.process.paused
            and not node.process.dead
            and self.listeners.get(node.port) is node
        ]

    def kill(self, node: SimNode) -> None:
        """Kills a process and resets its connections."""
        node.process.paused = node.process.dead = True
        self.listeners.pop(node.port, None)
        self._reset_streams(node.process)
        self.record_topology_change()

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

    def record_topology_change(self) -> None:
        """Records a change of the processes or links."""
        self.topology_changed_ms = self.clock.now_ms()
        self.platform.revision += 1

    # Network.

    def find_listener(self, port: int) -> SimNode | None:
        """Returns the node that listens on a port."""
        return self.listeners.get(port)

    def is_zone_linked(self, one: str, other: str) -> bool:
        """Tells whether two zones can reach each other."""
        return frozenset((one, other)) not in self.cuts

    def is_linked(self, one: SimProcess, other: SimProcess) -> bool:
        """Tells whether two processes can reach each other."""
        return self.is_zone_linked(self.zones[one.name], self.zones[other.name])

    def cut(self, one: str, other: str) -> None:
        """Cuts the link between two zones; messages are held back."""
        self.cuts.add(frozenset((one, other)))
        self.record_topology_change()

    def heal(self) -> None:
        """Restores all links and delivers the messages that were held back."""
        self.cuts.clear()
        held_streams, self._held_streams = self._held_streams, []
        for stream in held_streams:
            self.loop.call_later_detached(
                LATENCY_MS, lambda s=stream: self._arrive(s)
            )
        self.record_topology_change()

    def deliver(self, stream: FakeStream, action: Callable[[], None]) -> None:
        """Delivers a message to the other side of a stream, in order."""
        assert stream.remote is not None
        self._in_transit[stream].append(action)
        if self.is_linked(stream.process, stream.remote.process):
            self.loop.call_later_detached(
                LATENCY_MS, lambda: self._arrive(stream)
            )
        else:
            self._held_streams.append(stream)

    def _arrive(self, stream: FakeStream) -> None:
        queue = self._in_transit[stream]
        action = queue.popleft()
        if not queue:
            del self._in_transit[stream]
        assert stream.remote is not None
        if not stream.remote.process.dead:
            action()

    def list_instances(self) -> tuple[InstanceInfo, ...]:
        """Returns the instances that the platform lists."""
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

    # Reports from targets.

    def record_run(
        self, run: ReceivedRequest, target: FakeTarget, process: SimProcess
    ) -> None:
        """Records a request that a target received and checks its timing."""
        self.counts["runs"] += 1
        self.runs[run.token].append(run)
        self.runs_by_uid[run.uid].append(run)
        request_id = parse_request_id(run.token)
        assert request_id is not None
        if run.at_ms >= request_id.expires_at_ms:
            self.faults.append("dispatched after the ID expired")
        record = self.nodes[process.name].records.find(run.token)
        if record is not None and run.at_ms >= record.deadline_at_ms:
            self.faults.append("dispatched after its deadline")
        key = (self.zones[process.name], target.name, str(target.incarnation))
        seen_ms = self.leaving_seen.get(key)
        node = self.nodes[process.name]
        if seen_ms is None:
            return
        known_since_ms = max(seen_ms, node.started_ms)
        if run.at_ms > known_since_ms + LEAVING_GRACE_MS:
            self.faults.append(f"new work at {target.name}, which is leaving")

    def record_crash(self, target: FakeTarget, body: bytes) -> None:
        """Records that a request crashed a target."""
        self.crashes[body] += 1

    def run_for(self, ms: int) -> None:
        """Runs the simulation for `ms`."""
        self.loop.run_for(ms)

    def close(self) -> None:
        """Cancels all tasks and undoes the patches."""
        # The clean-up of a cancelled task may start other tasks.
        for _ in range(5):
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            for process in self._processes:
                self.loop.resume(process)
            self.loop.run_for(200)
        self.loop.run_until_complete(self.loop.shutdown_asyncgens())
        self.loop.close()
        self._patches.close()


async def _return_value(value: Any) -> Any:
    return value


def _get_current_process() -> SimProcess:
    process = current_process()
    assert process is not None, "this may be built only inside a process"
    return process
