"""Edge daemons as real processes, with a fake store and target."""

import asyncio
import json
import pathlib
import tempfile
import types
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import ExitStack, asynccontextmanager

import anyio
import httpcore
import yaml

from peridotbend.adapters.serving import HttpServer, listen
from peridotbend.platform import wire
from peridotbend_emulator.launch import Child, Launcher, LaunchError
from tests.edgestandins import FakeStore, FakeTarget
from tests.hosts import make_host
from tests.test_edge_platform import (
    CONFIG_DOCUMENT,
    SETTINGS_DOCUMENT,
    TARGET_ENTRY,
)

MODULE = "peridotbend.edgedaemon"
# Long, since the machine may be busy with other tests.
WAIT_TIMEOUT_S = 30.0
# A process that failed to start has exited this long after a reset at most.
EXIT_TIMEOUT_S = 10.0
NO_HEADERS: Mapping[str, str] = types.MappingProxyType({})
HOSTS = (make_host(21), make_host(22))
# More than the calls of any test can spend, on however fast a machine.
AMPLE_TOKENS = 1_000_000_000
CONFIG = {
    **CONFIG_DOCUMENT,
    "tenants": [
        {
            **CONFIG_DOCUMENT["tenants"][0],
            "rate_per_s": AMPLE_TOKENS,
            "burst": AMPLE_TOKENS,
        }
    ],
    "routes": [
        {**CONFIG_DOCUMENT["routes"][0], "split": None, "service": "engine"},
        {
            "name": "r-3",
            "host": "shop.example",
            "path_prefix": "/orders/",
            "route_kind": "non_idempotent",
            "timeout_ms": 5000,
            "service": "engine",
        },
    ],
}


class EdgeFleet:
    """The daemons of one test, with the fakes that they use."""

    def __init__(self, folder: str, launcher: Launcher):
        self._folder = pathlib.Path(folder)
        self._launcher = launcher
        self.store = FakeStore()
        self.target = FakeTarget("i-1")
        self.ports: dict[str, int] = {}
        self._children: dict[str, Child] = {}
        self.client = httpcore.AsyncConnectionPool()

    def write_settings(self, host: str, **changes: object) -> pathlib.Path:
        """Writes the settings file of an instance."""
        document = {
            **SETTINGS_DOCUMENT,
            "node_name": f"edge-{host}",
            "ip": host,
            "listen": {
                "frontend": f"{host}:{self.ports['callers']}",
                "ready": f"{host}:{self.ports['health']}",
                "control_plane": f"{host}:{self.ports['peers']}",
            },
            "internal_ports": [
                self.ports["digests"],
                self.ports["digests"] + 1,
            ],
            "seeds": [f"{HOSTS[0]}:{self.ports['peers']}"],
            "platform": {"address": f"127.0.0.1:{self.ports['store']}"},
            **changes,
        }
        path = self._folder / f"{host}.yaml"
        path.write_text(yaml.safe_dump(document))
        return path

    def spawn(
        self, host: str, source: pathlib.Path | None = None, **changes: object
    ) -> Child:
        """Starts a daemon, by default of the sources under test.

        Args:
            host: of the instance.
            source: the folder of the packages of another build.
            **changes: of the settings.
        """
        path = self.write_settings(host, **changes)
        environ = {"PYTHONPATH": str(source)} if source else None
        child = self._launcher.spawn(
            MODULE, "--settings", str(path), environ=environ
        )
        self._children[host] = child
        return child

    async def wait_ready(self, host: str) -> None:
        """Waits until an instance is ready to serve callers.

        Raises:
            LaunchError: the daemon has exited; the error has its output.
        """
        url = f"http://{host}:{self.ports['health']}{wire.READY_PATH}"
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while True:
                try:
                    response = await self.client.request("GET", url)
                    if response.status == 200:
                        return
                except httpcore.ConnectError:
                    self._check_running(host)
                except httpcore.ReadError:
                    # An exit resets connections that were not accepted yet.
                    with anyio.move_on_after(EXIT_TIMEOUT_S):
                        while True:
                            self._check_running(host)
                            await anyio.sleep(0.02)
                    raise
                await anyio.sleep(0.02)

    def _check_running(self, host: str) -> None:
        child = self._children[host]
        if child.exit_code is not None:
            raise LaunchError(
                f"the daemon on {host} exited with code {child.exit_code};"
                f" its output: {child.output}"
            )

    def kill_all(self) -> None:
        """Ends all daemons without a planned stop, which takes seconds."""
        for child in self._children.values():
            child.kill()

    async def connect(
        self, host: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection as a caller."""
        return await asyncio.open_connection(host, self.ports["callers"])

    async def wait_started(self, count: int) -> None:
        """Waits until the target has begun to run so many requests."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while len(self.target.started_attempts) < count:
                await anyio.sleep(0.01)

    async def call(
        self,
        host: str,
        path: str,
        attempt: str,
        key: str = "key-1",
        deadline_ms: int = 10_000,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> httpcore.Response:
        """Sends a request as a caller."""
        return await self.client.request(
            "POST",
            f"http://{host}:{self.ports['callers']}{path}",
            headers=[
                ("Host", "shop.example"),
                ("Authorization", f"Token {key}"),
                (wire.ATTEMPT_ID, attempt),
                (wire.DEADLINE_MS, str(deadline_ms)),
                *headers.items(),
            ],
            content=b"body",
        )


def make_order(attempt: str) -> bytes:
    """Returns a request that may run once."""
    lines = (
        "POST /orders/1 HTTP/1.1",
        "Host: shop.example",
        "Authorization: Token key-1",
        f"{wire.ATTEMPT_ID}: {attempt}",
        f"{wire.DEADLINE_MS}: 30000",
        "Content-Length: 4",
    )
    return ("\r\n".join(lines) + "\r\n\r\nbody").encode()


def _choose_ports(names: tuple[str, ...]) -> dict[str, int]:
    """Returns free ports, all different.

    All instances use the same ports on different hosts, so a port that is free
    on one host is used on all.
    """
    with ExitStack() as listeners:
        return {
            name: listeners.enter_context(listen(HOSTS[0], 0)).getsockname()[1]
            for name in names
        }


@asynccontextmanager
async def serve_fleet(fleet: EdgeFleet) -> AsyncIterator[None]:
    """Runs the fake store and target of a fleet."""
    apps = {"store": fleet.store, "target": fleet.target}
    sockets = {name: listen("127.0.0.1", 0) for name in apps}
    for name, socket in sockets.items():
        fleet.ports[name] = socket.getsockname()[1]
    fleet.ports.update(_choose_ports(("callers", "health", "peers", "digests")))
    address = f"127.0.0.1:{fleet.ports['target']}"
    fleet.store.put("op/config", CONFIG)
    fleet.store.put("servers/i-1", {**TARGET_ENTRY, "address": address})
    fleet.store.put("servers/foreign", {"service": 7})
    async with anyio.create_task_group() as tasks:
        for name, app in apps.items():
            tasks.start_soon(HttpServer(app, sockets[name]).run)
        try:
            yield
        finally:
            await fleet.client.aclose()
            tasks.cancel_scope.cancel()


@asynccontextmanager
async def serve_app(app: object) -> AsyncIterator[str]:
    """Runs another fake; yields its address."""
    listener = listen("127.0.0.1", 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(HttpServer(app, listener).run)
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        tasks.cancel_scope.cancel()


def run_with_fleet(check: Callable[[EdgeFleet], Awaitable[None]]) -> None:
    """Runs a check with a fleet, and stops its daemons and fakes afterwards."""

    async def run() -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            Launcher() as launcher,
        ):
            fleet = EdgeFleet(folder, launcher)
            async with serve_fleet(fleet):
                await check(fleet)

    anyio.run(run)


async def wait_for_event(child: Child, event: str) -> None:
    """Waits until a daemon logs an event."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while True:
            for line in child.output.splitlines():
                if f'"{event}"' in line:
                    assert json.loads(line)["event"] == event
                    return
            await anyio.sleep(0.02)


async def wait_for_version(child: Child, version: int) -> None:
    """Waits until a daemon has applied a version of the configuration."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while f'"version": {version}' not in child.output:
            await anyio.sleep(0.02)
