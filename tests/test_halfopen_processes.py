"""Real daemons beside callers that open connections and finish no request."""

import asyncio
import unittest
from collections.abc import Sequence

import anyio

from peridotbend.adapters.connectionlimits import (
    MAX_REFUSED_CONNECTIONS,
    RESERVED_FILES,
)
from peridotbend.adapters.waitingconnections import MIN_WAIT_MS
from peridotbend.edgedaemon import DEFAULT_METRICS_PORT
from peridotbend.platform import wire
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    make_order,
    run_with_fleet,
)
from tests.halfopen import (
    EMPTY_LINE,
    IDLE,
    PART_OF_A_BODY,
    PART_OF_A_HEAD,
    HalfOpenConnection,
    call_once,
    count_files,
    drip_all,
    make_get,
    open_half,
    read_resident_bytes,
)

MAX_CONNECTIONS = 100
# What an operator grants, so that the daemon holds so many connections.
MAX_FILES = MAX_CONNECTIONS + MAX_REFUSED_CONNECTIONS + RESERVED_FILES
# Each connection may hold a head and a part of a body.
MAX_GROWTH_BYTES = 32 * 1_048_576
LONG_MS = 600_000
# Connections that are opened between two proper calls.
GROUP_SIZE = 10


def make_config(**limits: int) -> dict[str, object]:
    """Returns the configuration; by default nothing is closed for time."""
    long = {"header_timeout_ms": LONG_MS, "idle_timeout_ms": LONG_MS}
    routes = [{**route, "timeout_ms": LONG_MS} for route in CONFIG["routes"]]
    return {
        **CONFIG,
        "routes": routes,
        "limits": {**CONFIG["limits"], **long, **limits},
    }


def list_open(connections: Sequence[HalfOpenConnection]) -> list[int]:
    """Returns the serials of the connections that are open."""
    return [c.serial for c in connections if c.is_open]


class HalfOpenCallersTest(unittest.TestCase):
    """Callers that open connections and finish no request."""

    def _check_served(self, *starts: bytes) -> None:
        """Opens three times as many connections as an instance may hold."""

        async def check(fleet: EdgeFleet) -> None:
            fleet.store.put("op/config", make_config())
            child = fleet.spawn(HOSTS[0], limits={"max_fds": MAX_FILES})
            await fleet.wait_ready(HOSTS[0])
            address = (HOSTS[0], fleet.ports["callers"])
            health = (HOSTS[0], fleet.ports["health"])
            metrics = (HOSTS[0], DEFAULT_METRICS_PORT)
            bytes_before = read_resident_bytes(child)
            files_before = count_files(child)
            connections: list[HalfOpenConnection] = []
            dripping = asyncio.create_task(drip_all(connections))
            for serial in range(3 * MAX_CONNECTIONS):
                start = starts[serial % len(starts)]
                connections.append(await open_half(address, serial, start))
                if serial % GROUP_SIZE:
                    continue
                # Those before are then old enough to be closed for this one.
                await asyncio.sleep(2 * MIN_WAIT_MS / 1_000)
                for place, request in (
                    (address, make_order(f"proper-{serial}")),
                    (health, make_get(wire.READY_PATH)),
                    (metrics, make_get("/metrics")),
                ):
                    status = await call_once(place, request, WAIT_TIMEOUT_S)
                    assert status == b"200", (serial, place, status)
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while len(list_open(connections)) > MAX_CONNECTIONS:
                    await asyncio.sleep(0.02)
            assert child.exit_code is None, child.output
            assert read_resident_bytes(child) - bytes_before < MAX_GROWTH_BYTES
            # A few for targets, peers and the store.
            assert count_files(child) - files_before < MAX_CONNECTIONS + 32
            slow = [c for c in fleet.target.started_attempts if "slow" in c]
            assert not slow, slow
            dripping.cancel()
            held = list_open(connections)
            closed = [c.serial for c in connections if not c.is_open]
            # What is opened between two proper calls is read in any order.
            oldest_group = (held[0] - 1) // GROUP_SIZE
            assert (closed[-1] - 1) // GROUP_SIZE <= oldest_group, held
            for connection in connections:
                connection.close()
            fleet.kill_all()

        run_with_fleet(check)

    def test_idle_connections(self) -> None:
        """Guards against idle callers that keep all others out."""
        self._check_served(IDLE, EMPTY_LINE)

    def test_slow_heads(self) -> None:
        """Guards against heads that never end and keep others out."""
        self._check_served(PART_OF_A_HEAD)

    def test_slow_bodies(self) -> None:
        """Guards against bodies that never end and keep others out.

        Some 2,300 of them were held for ever, and each further connection was
        closed without an answer.
        """
        self._check_served(PART_OF_A_BODY)
