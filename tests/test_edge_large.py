"""Tests of real edge daemons in a fleet that is large enough for groups."""

import json
import os
import signal
import unittest

import anyio

from peridotbend.edge.groups import MAX_MESH_PEERS
from peridotbend.platform import wire
from peridotbend_emulator.launch import Child
from tests.edgefleet import (
    CONFIG,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
    wait_for_event,
)
from tests.hosts import make_host

FLEET_HOSTS = tuple(
    make_host(number) for number in range(21, 21 + MAX_MESH_PEERS + 2)
)
# One reader ends a watch of each of the two prefixes every 2 s.
WINDOW_S = 3.0
MAX_WATCHES = 8


async def _wait_for_few_watches(fleet: EdgeFleet) -> None:
    """Waits until only one instance watches the store."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while True:
            before = fleet.store.calls[wire.WATCH_CALL]
            await anyio.sleep(WINDOW_S)
            if fleet.store.calls[wire.WATCH_CALL] - before <= MAX_WATCHES:
                return


async def _is_reader(child: Child) -> bool:
    """Asks a daemon whether it reads the store."""
    os.kill(child.pid, signal.SIGUSR1)
    await wait_for_event(child, "state-dumped")
    lines = [
        json.loads(line)
        for line in child.output.splitlines()
        if '"state-dumped"' in line
    ]
    return bool(lines[-1]["state"]["reads_store"])


async def _wait_for_route(fleet: EdgeFleet, host: str, path: str) -> None:
    """Waits until an instance serves a path."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        attempt = 0
        while True:
            attempt += 1
            answer = await fleet.call(host, path, f"{host}-{path}-{attempt}")
            if answer.status == 200:
                return
            await anyio.sleep(0.05)


def _make_config(version: int, prefix: str) -> dict[str, object]:
    route = {**CONFIG["routes"][1], "path_prefix": prefix}
    return {**CONFIG, "version": version, "routes": [route]}


class GroupProcessTest(unittest.TestCase):
    """One group of real daemons."""

    def test_one_reader_serves_the_group_and_is_replaced(self) -> None:
        """Guards against changes that depend on a single process."""

        async def check(fleet: EdgeFleet) -> None:
            children = {host: fleet.spawn(host) for host in FLEET_HOSTS}
            for host in FLEET_HOSTS:
                await fleet.wait_ready(host)
            await _wait_for_few_watches(fleet)
            fleet.store.put(wire.CONFIG_KEY, _make_config(8, "/moved/"))
            for host in FLEET_HOSTS:
                await _wait_for_route(fleet, host, "/moved/1")
            readers = [
                host
                for host, child in children.items()
                if await _is_reader(child)
            ]
            assert len(readers) == 1, readers
            children[readers[0]].kill()
            fleet.store.put(wire.CONFIG_KEY, _make_config(9, "/again/"))
            for host in FLEET_HOSTS:
                if host not in readers:
                    await _wait_for_route(fleet, host, "/again/1")

        run_with_fleet(check)
