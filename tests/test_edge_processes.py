"""Tests of the edge daemon as real processes, against stand-ins."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import httpcore
import yaml
from click.testing import CliRunner

from peridotbend.adapters.serving import HttpServer, listen
from peridotbend.edgedaemon import DEFAULT_METRICS_PORT, main
from peridotbend.edgenode import EdgeNode
from peridotbend.platform import wire
from peridotbend_emulator.launch import Child, Launcher
from tests.edgefakes import SETTINGS, RecordingLog
from tests.edgestandins import StandInStore, StandInTarget
from tests.test_edge_platform import DOCUMENT, ENTRY, SETTINGS_FILE

MODULE = "peridotbend.edgedaemon"
METRICS_PORT = DEFAULT_METRICS_PORT
# Generous: the machine may be busy with other tests.
WAIT_S = 30.0
HOSTS = ("127.0.0.21", "127.0.0.22")
CONFIG = {
    **DOCUMENT,
    "routes": [
        {**DOCUMENT["routes"][0], "split": None, "service": "engine"},
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


class _Fleet:
    """Stand-ins and daemons of one test."""

    def __init__(self, folder: str, launcher: Launcher):
        self._folder = pathlib.Path(folder)
        self._launcher = launcher
        self.store = StandInStore()
        self.target = StandInTarget("i-1")
        self.ports: dict[str, int] = {}
        self.client = httpcore.AsyncConnectionPool()

    def write_settings(self, host: str, **changes: object) -> pathlib.Path:
        """Writes the settings file of an instance."""
        document = {
            **SETTINGS_FILE,
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

    def spawn(self, host: str, **changes: object) -> Child:
        """Starts a daemon."""
        path = self.write_settings(host, **changes)
        return self._launcher.spawn(MODULE, "--settings", str(path))

    async def wait_ready(self, host: str) -> None:
        """Waits until an instance takes callers."""
        url = f"http://{host}:{self.ports['health']}{wire.READY_PATH}"
        with anyio.fail_after(WAIT_S):
            while True:
                try:
                    response = await self.client.request("GET", url)
                    if response.status == 200:
                        return
                except httpcore.ConnectError:
                    pass
                await anyio.sleep(0.02)

    async def call(
        self, host: str, path: str, attempt: str, key: str = "key-1"
    ) -> httpcore.Response:
        """Sends a request of a caller."""
        return await self.client.request(
            "POST",
            f"http://{host}:{self.ports['callers']}{path}",
            headers={
                "Host": "shop.example",
                "Authorization": f"Token {key}",
                wire.ATTEMPT_ID: attempt,
                wire.DEADLINE_MS: "10000",
            },
            content=b"body",
        )


@asynccontextmanager
async def _serve(fleet: _Fleet) -> AsyncIterator[None]:
    apps = {"store": fleet.store, "target": fleet.target}
    sockets = {name: listen("127.0.0.1", 0) for name in apps}
    for name, socket in sockets.items():
        fleet.ports[name] = socket.getsockname()[1]
    # The instances share their ports and differ by host, so free ports are
    # found on one host and used on all.
    for name in ("callers", "health", "peers", "digests"):
        with listen(HOSTS[0], 0) as found:
            fleet.ports[name] = found.getsockname()[1]
    address = f"127.0.0.1:{fleet.ports['target']}"
    fleet.store.put("op/config", CONFIG)
    fleet.store.put("servers/i-1", {**ENTRY, "address": address})
    fleet.store.put("servers/foreign", {"service": 7})
    async with anyio.create_task_group() as tasks:
        for name, app in apps.items():
            tasks.start_soon(HttpServer(app, sockets[name]).run)
        try:
            yield
        finally:
            await fleet.client.aclose()
            tasks.cancel_scope.cancel()


class EdgeProcessTest(unittest.TestCase):
    """Real daemons, the store, a target and callers."""

    def _run(self, check: Callable[[_Fleet], Awaitable[None]]) -> None:
        async def run() -> None:
            with (
                tempfile.TemporaryDirectory() as folder,
                Launcher() as launcher,
            ):
                fleet = _Fleet(folder, launcher)
                async with _serve(fleet):
                    await check(fleet)

        anyio.run(run)

    def test_requests_are_served_and_refused(self) -> None:
        """Guards against a path that does not hold from end to end."""

        async def check(fleet: _Fleet) -> None:
            fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            answer = await fleet.call(HOSTS[0], "/quotes/1", "a1")
            assert answer.status == 200
            assert answer.content.count(b"\n\n") == 3
            answer = await fleet.call(HOSTS[0], "/orders/1", "a2")
            assert (answer.status, answer.content) == (200, b"done")
            answer = await fleet.call(HOSTS[0], "/other/1", "a3")
            assert answer.status == 404
            answer = await fleet.call(HOSTS[0], "/orders/1", "a4", "stolen")
            assert answer.status == 401
            assert fleet.target.started == ["a1", "a2"]
            url = f"http://{HOSTS[0]}:{METRICS_PORT}/metrics"
            page = (await fleet.client.request("GET", url)).content.decode()
            for line in (
                'peridotbend_edge_requests_total{kind="stream",'
                'outcome="status-200"} 1.0',
                'peridotbend_edge_requests_total{kind="none",'
                'outcome="unknown-key"} 1.0',
                "peridotbend_edge_config_version 7.0",
                "peridotbend_edge_listed_targets 1.0",
            ):
                assert line in page, page

        self._run(check)

    def test_instance_without_the_store_learns_from_a_peer(self) -> None:
        """Guards against an instance that a cut from the store stops.

        It also follows changes that are made while it is cut off.
        """

        async def check(fleet: _Fleet) -> None:
            fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            fleet.spawn(HOSTS[1], platform={"address": "127.0.0.1:9"})
            await fleet.wait_ready(HOSTS[1])
            answer = await fleet.call(HOSTS[1], "/orders/1", "a1")
            assert answer.status == 200
            routes = [{**CONFIG["routes"][1], "path_prefix": "/moved/"}]
            fleet.store.put(
                "op/config", {**CONFIG, "version": 9, "routes": routes}
            )
            with anyio.fail_after(WAIT_S):
                while answer.status != 404:
                    answer = await fleet.call(HOSTS[1], "/orders/1", "a2")
                    await anyio.sleep(0.05)
            answer = await fleet.call(HOSTS[1], "/moved/1", "a3")
            assert answer.status == 200

        self._run(check)

    def test_shutdown_cuts_no_request(self) -> None:
        """Guards against answers cut by a planned stop, and a late exit."""

        async def check(fleet: _Fleet) -> None:
            fleet.target.pause_s = 0.5
            fleet.target.events = 8
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            answers: list[httpcore.Response] = []

            async def call(path: str, attempt: str) -> None:
                answers.append(await fleet.call(HOSTS[0], path, attempt))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, "/quotes/1", "a1")
                tasks.start_soon(call, "/orders/1", "a2")
                with anyio.fail_after(WAIT_S):
                    while len(fleet.target.started) < 2:
                        await anyio.sleep(0.01)
                child.terminate()
                url = f"http://{HOSTS[0]}:{fleet.ports['health']}"
                with anyio.fail_after(WAIT_S):
                    while True:
                        response = await fleet.client.request(
                            "GET", url + wire.READY_PATH
                        )
                        if response.status == 503:
                            break
                        await anyio.sleep(0.01)
                # Callers that come before the platform takes it out.
                await call("/orders/2", "a3")
            assert [answer.status for answer in answers] == [200, 200, 200]
            streams = [a.content.count(b"\n\n") for a in answers]
            assert 8 in streams
            code = await anyio.to_thread.run_sync(child.wait, WAIT_S)
            assert code == 0

        self._run(check)

    def test_run_ends_when_its_caller_leaves(self) -> None:
        """Guards against targets that work for nobody."""

        async def check(fleet: _Fleet) -> None:
            fleet.target.pause_s = 0.05
            fleet.target.events = 10_000
            fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            with anyio.move_on_after(0.5):
                await fleet.call(HOSTS[0], "/quotes/1", "a1")
            with anyio.fail_after(WAIT_S):
                while not fleet.target.ended["left"]:
                    await anyio.sleep(0.01)

        self._run(check)

    def test_limits_of_the_configuration_hold_for_callers(self) -> None:
        """Guards against idle and slow callers that keep connections."""

        async def check(fleet: _Fleet) -> None:
            limits = {**CONFIG["limits"], "idle_timeout_ms": 900}
            limits["max_body_bytes"] = 3
            fleet.store.put(
                "op/config", {**CONFIG, "version": 9, "limits": limits}
            )
            fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            answer = await fleet.call(HOSTS[0], "/orders/1", "a1")
            assert answer.status == 413
            port = fleet.ports["callers"]
            async with await anyio.connect_tcp(HOSTS[0], port) as stream:
                await stream.send(
                    b"GET /none/ HTTP/1.1\r\nHost: shop.example\r\n"
                    b"X-Attempt-Id: a2\r\n\r\n"
                )
                assert b" 404 " in await stream.receive()
                # The connection is kept, and closed when it stays idle.
                with anyio.fail_after(WAIT_S):
                    with self.assertRaises(anyio.EndOfStream):
                        await stream.receive()

        self._run(check)

    def test_state_is_dumped_on_request(self) -> None:
        """Guards against on-call engineers who see no state."""

        async def check(fleet: _Fleet) -> None:
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            os.kill(child.pid, signal.SIGUSR1)
            await _wait_for_event(child, "state-dumped")
            line = next(
                json.loads(line)
                for line in child.output.splitlines()
                if '"state-dumped"' in line
            )
            assert line["state"]["config"] == 7
            assert line["state"]["targets"]["i-1"]["in_flight"] == 0

        self._run(check)

    def test_reload_takes_new_seeds_and_logs_the_outcome(self) -> None:
        """Guards against a reload that stops the process or goes unseen."""

        async def check(fleet: _Fleet) -> None:
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            fleet.write_settings(HOSTS[0], seeds="nowhere")
            os.kill(child.pid, signal.SIGHUP)
            await _wait_for_event(child, "settings-refused")
            # A changed file counts without a signal.
            fleet.write_settings(HOSTS[0], seeds=[f"{HOSTS[1]}:1"])
            await _wait_for_event(child, "settings-reloaded")
            answer = await fleet.call(HOSTS[0], "/orders/1", "a1")
            assert answer.status == 200

        self._run(check)


async def _wait_for_event(child: Child, event: str) -> None:
    with anyio.fail_after(WAIT_S):
        while True:
            for line in child.output.splitlines():
                if f'"{event}"' in line:
                    assert json.loads(line)["event"] == event
                    return
            await anyio.sleep(0.02)


class EdgeCommandTest(unittest.TestCase):
    """The command line of the edge daemon."""

    def test_check_names_the_wrong_field(self) -> None:
        """Guards against settings that are found wrong only by a restart."""
        runner = CliRunner()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.yaml"
            path.write_text(yaml.safe_dump(SETTINGS_FILE))
            result = runner.invoke(main, ["--settings", str(path), "--check"])
            assert result.exit_code == 0, result.output
            path.write_text(yaml.safe_dump({**SETTINGS_FILE, "zone": 4}))
            result = runner.invoke(main, ["--settings", str(path), "--check"])
            assert result.exit_code == 1
            assert "zone" in result.output

    def test_occupied_port_is_named(self) -> None:
        """Guards against a message about task groups in place of the port.

        The error arrives inside nested groups.
        """
        with (
            tempfile.TemporaryDirectory() as folder,
            listen("127.0.0.1", 0) as taken,
        ):
            port = taken.getsockname()[1]
            address = f"127.0.0.1:{port}"
            names = SETTINGS_FILE["listen"]
            path = pathlib.Path(folder) / "settings.yaml"
            document = {
                **SETTINGS_FILE,
                "listen": dict.fromkeys(names, address),
            }
            path.write_text(yaml.safe_dump(document))
            done = subprocess.run(
                [sys.executable, "-m", MODULE, "--settings", str(path)],
                capture_output=True,
                text=True,
                timeout=WAIT_S,
            )
        assert done.returncode == 3, done.stderr
        assert f"cannot listen on 127.0.0.1 port {port}" in done.stderr

    def test_dump_before_the_start_is_complete(self) -> None:
        """Guards against a process that a request for its state ends."""

        async def dump() -> dict[str, object]:
            return EdgeNode(SETTINGS, RecordingLog(), 0).dump()

        assert anyio.run(dump) == {"started": False}

    def test_daemon_imports_only_what_it_runs(self) -> None:
        """Guards against memory for parts of the product that it never uses."""
        code = (
            "import sys, peridotbend.edgedaemon;"
            "print([n for n in ('pydantic', 'peridotbend.node',"
            " 'peridotbend.domain.scheduler', 'peridotbend.wire.peer_pb2')"
            " if n in sys.modules])"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, check=True
        )
        assert done.stdout.strip() == b"[]"

    def test_run_time_lock_is_part_of_the_development_lock(self) -> None:
        """Guards against tests with other packages than those that run."""
        root = pathlib.Path(__file__).parent.parent
        locked = (root / "requirements-dev.lock").read_text().split()
        for line in (root / "requirements.txt").read_text().split():
            assert line in locked, line
