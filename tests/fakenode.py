"""One instance without sockets, and the ports that its world shares."""

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
    """Returns a kind with small bounds."""
    model = name if service == "chat" else ""
    sizes = (6_000, 4_096, 4_096, 30_000)
    return Kind(name, service, "POST", path, model, tier, idempotent, *sizes)


def make_text(version: int) -> FleetConfig:
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
    return FleetConfig(version, TIERS, (), (chat, orders), source, digest)


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

    async def watch_config(
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
        self._end_waiter = self.scheduler._reject
        self.scheduler._reject = self._end_checked  # type: ignore[method-assign]

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
        self.caller_server = self.callers  # type: ignore[assignment]
        for run in (
            self.peer_links.run,
            self.text_sync.run,
            self.scheduler.run,
            self._divide_windows,
            self._expire_records,
        ):
            tasks.start_soon(run)
        self._world.listeners[self.port] = self
