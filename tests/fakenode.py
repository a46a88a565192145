"""An instance without sockets, and the fake ports of a simulated fleet."""

import asyncio
import hashlib
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

from anyio.abc import TaskGroup
from result import Err, Ok, Result

from peridotbend.adapters.settings import NodeSettings
from peridotbend.domain.events import Event
from peridotbend.domain.grants import Waiter
from peridotbend.domain.ports import InstanceInfo, PlatformError
from peridotbend.domain.text import (
    EngineType,
    FleetConfig,
    Kind,
    Service,
    Target,
)
from peridotbend.domain.verdicts import Reason, Verdict
from peridotbend.node import Node
from tests.simloop import SimProcess

if TYPE_CHECKING:
    from tests.fakes import World

TIERS = ("quotes", "answers", "tags")
MAX_RECORDS = 64
MAX_ANSWER_BYTES = 20_000
CHAT = "/v1/chat/completions"
ENTRY_ZONES = {"a1": "z1", "a2": "z1", "b1": "z2"}
TARGET_ZONES = {"m1": "z1", "m2": "z2", "o1": "z1", "o2": "z2"}


def make_kind(
    name: str, service: str, path: str, tier: int, idempotent: bool
) -> Kind:
    """Returns a request kind with small limits."""
    model = name if service == "chat" else ""
    sizes = (6_000, 4_096, 4_096, 30_000)
    return Kind(name, service, "POST", path, model, tier, idempotent, *sizes)


def make_config(version: int) -> FleetConfig:
    """Returns a version of the configuration of the simulated fleet."""

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
    return FleetConfig(version, TIERS, (), (chat, orders), source, digest)


class FakePlatform:
    """Publishes the configuration and the instance list.

    It can be unreachable or serve an old version of the configuration.
    """

    def __init__(self, world: "World"):
        self._world = world
        self.version = 1
        self.revision = 1
        self.down = False
        # The version served instead of the newest one; 0 serves the newest one.
        self.stale_version = 0

    async def aclose(self) -> None:
        """Does nothing, since no connection is open."""

    async def watch_config(
        self, newer_than: int, wait_ms: int
    ) -> Result[str | None, PlatformError]:
        """Returns a newer configuration, or `stale_version` if that is set."""
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
        """Returns the instance list if it has changed."""
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
    """Counts the events that the checks read."""

    def __init__(self, world: "World"):
        self._world = world

    def count_shed(self, service: str, tier: str) -> None:
        """Counts shed requests."""
        self._world.counts["shed"] += 1

    def count_verdict(self, service: str, tier: str, verdict: Verdict) -> None:
        """Counts verdicts by label."""
        self._world.counts[verdict.label] += 1

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Ignores the counters that no check reads."""
        return lambda *args: None


class FakeLog:
    """Counts log events; records when a zone first sees a target leave."""

    def __init__(self, world: "World", zone: str):
        self._world = world
        self._zone = zone

    def emit(self, event: Event, **fields: object) -> None:
        """Records one event."""
        self._world.counts[event.label] += 1
        if event is Event.TARGET_LEAVING:
            key = (self._zone, fields["target"], fields["incarnation"])
            now_ms = self._world.clock.now_ms()
            self._world.leaving_seen.setdefault(key, now_ms)


class _FakeCallerServer:
    """Fake of the HTTP server, which waits for attached callers at shutdown."""

    def __init__(self) -> None:
        self.attached = 0

    async def stop(self) -> None:
        """Waits until every attached caller has its answer."""
        while self.attached:
            await asyncio.sleep(0.02)


class SimNode(Node):
    """A node without sockets."""

    def __init__(self, world: "World", name: str, port: int):
        self.process = SimProcess(name)
        self.port = port
        self.fake_caller_server = _FakeCallerServer()
        self.started_ms = world.clock.now_ms()
        self._world = world
        zone = ENTRY_ZONES[name]
        settings = NodeSettings(
            name, zone, "", "", "127.0.0.1", 1, "127.0.0.1", 1, "127.0.0.1",
            port, MAX_RECORDS, MAX_ANSWER_BYTES, 12, 1_000, "info", 36_000,
        )  # fmt: skip
        super().__init__(settings, FakeLog(world, zone))
        self._scheduler_reject = self.scheduler._reject
        self.scheduler._reject = self._reject_checked  # type: ignore[method-assign]

    def _reject_checked(self, waiter: Waiter, reason: Reason) -> None:
        """Checks that no lower tier waits when a request is shed."""
        queues = self.scheduler._queues
        kind = waiter.item.kind
        competing_queues = {
            Reason.SHED: queues.find_group(kind.service).queues,
            Reason.AT_CAPACITY: list(queues),
        }.get(reason, [])
        if any(
            max(q.queue.bands(), default=0) > kind.tier
            for q in competing_queues
        ):
            self._world.faults.append(f"{kind.name} shed before a lower tier")
        self._scheduler_reject(waiter, reason)

    @property
    def server(self) -> Any:
        """The handlers of the peer protocol."""
        return self._server

    async def _start(self, stack: AsyncExitStack, tasks: TaskGroup) -> None:
        self._build_service(stack, tasks)
        self.roster.set_address("127.0.0.1", self.port)
        self.caller_server = self.fake_caller_server  # type: ignore[assignment]
        for run in (
            self.peer_links.run,
            self.text_sync.run,
            self.scheduler.run,
            self._divide_windows,
            self._expire_records,
        ):
            tasks.start_soon(run)
        self._world.listeners[self.port] = self
