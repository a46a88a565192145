"""Tests of edge instances whose store is restored from an older copy."""

import unittest

import anyio

from peridotbend.platform import wire
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
)

# Time without any change, and the calls of two instances in it: each ends a
# watch of each of two prefixes every second, and each of the four may end one
# more at the edge.
QUIET_S = 3.0
MAX_QUIET_CALLS = 16


def make_config(version: int, prefix: str) -> dict[str, object]:
    """Returns a configuration with one route."""
    route = {**CONFIG["routes"][1], "path_prefix": prefix}
    return {**CONFIG, "version": version, "routes": [route]}


async def wait_for_route(fleet: EdgeFleet, prefix: str) -> None:
    """Waits until all instances serve a route."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        for host in HOSTS:
            number = 0
            while True:
                number += 1
                attempt = f"{host}-{prefix}-{number}"
                answer = await fleet.call(host, f"{prefix}1", attempt)
                if answer.status == 200:
                    break
                await anyio.sleep(0.05)


async def start_fleet(fleet: EdgeFleet) -> None:
    """Starts all daemons."""
    for host in HOSTS:
        fleet.spawn(host)
    for host in HOSTS:
        await fleet.wait_ready(host)


class RestoredStoreTest(unittest.TestCase):
    """Real daemons and a store that loses its last seconds."""

    def test_change_after_a_restore_is_in_force(self) -> None:
        """Guards against changes that are dropped as their revision is old.

        Seen as CONFIG in the users' scenario with a restored store.
        """

        async def check(fleet: EdgeFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            for version in (8, 9):
                fleet.store.put(
                    wire.CONFIG_KEY, make_config(version, f"/v{version}/")
                )
            await wait_for_route(fleet, "/v9/")
            fleet.store.restore(copy)
            fleet.store.put(wire.CONFIG_KEY, make_config(9, "/v9/"))
            await anyio.sleep(0.5)
            # Has the revision that version 9 had before.
            fleet.store.put(wire.CONFIG_KEY, make_config(10, "/v10/"))
            await wait_for_route(fleet, "/v10/")

        run_with_fleet(check)

    def test_restore_does_not_multiply_the_calls_to_the_store(self) -> None:
        """Guards against lists and watches without any pause."""

        async def check(fleet: EdgeFleet) -> None:
            await start_fleet(fleet)
            copy = fleet.store.copy()
            fleet.store.put(wire.CONFIG_KEY, make_config(8, "/v8/"))
            await wait_for_route(fleet, "/v8/")
            fleet.store.restore(copy)
            await anyio.sleep(0.5)
            before = fleet.store.calls.total()
            await anyio.sleep(QUIET_S)
            assert fleet.store.calls.total() - before <= MAX_QUIET_CALLS

        run_with_fleet(check)
