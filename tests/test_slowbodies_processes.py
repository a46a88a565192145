"""Real daemons beside callers whose bodies arrive slowly or not at all."""

import asyncio
import unittest

import anyio

from peridotbend.platform.ingress import MAX_BODIES_BYTES
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    make_order,
    run_with_fleet,
)
from tests.halfopen import (
    PART_OF_A_BODY,
    SLOW_BODY_HEAD,
    call_once,
    drip_all,
    open_half,
)
from tests.test_halfopen_processes import make_config

MAX_BODY_BYTES = CONFIG["limits"]["max_body_bytes"]
# Large bodies beyond those that fit into the memory.
EXCESS = 4


class SlowBodyTest(unittest.TestCase):
    """Bodies that arrive too slowly."""

    def test_body_that_outlasts_its_request(self) -> None:
        """Guards against a body that is waited for without end.

        Its caller is told that the request has not run.
        """

        async def check(fleet: EdgeFleet) -> None:
            fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            address = (HOSTS[0], fleet.ports["callers"])
            connection = await open_half(address, 1, PART_OF_A_BODY)
            dripping = asyncio.create_task(drip_all([connection]))
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while connection.is_open:
                    await asyncio.sleep(0.02)
            dripping.cancel()
            assert connection.received.startswith(b"HTTP/1.1 503 ")
            assert not fleet.target.started_attempts
            fleet.kill_all()

        run_with_fleet(check)

    def test_stopped_bodies_leave_room_for_others(self) -> None:
        """Guards against a few large bodies that take all of the memory."""

        async def check(fleet: EdgeFleet) -> None:
            fleet.store.put("op/config", make_config())
            fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            address = (HOSTS[0], fleet.ports["callers"])
            length = str(MAX_BODY_BYTES).encode()
            head = SLOW_BODY_HEAD.replace(b"100000", length)
            start = head + b"x" * (MAX_BODY_BYTES - 1)
            connections = [
                await open_half(address, serial, start)
                for serial in range(MAX_BODIES_BYTES // MAX_BODY_BYTES + EXCESS)
            ]
            whole = make_order("whole").replace(b"Length: 4", b"Length: 400000")
            whole = whole.replace(b"body", b"b" * 400_000)
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while sum(bool(c.received) for c in connections) < EXCESS:
                    await asyncio.sleep(0.02)
                # The others arrive as far as they go and fill the memory.
                await asyncio.sleep(1.0)
                while await call_once(address, whole, WAIT_TIMEOUT_S) != b"200":
                    await asyncio.sleep(0.1)
            assert fleet.target.started_attempts == ["whole"]
            for connection in connections:
                connection.close()
            fleet.kill_all()

        run_with_fleet(check)
