"""Tests of cold targets with real daemons."""

import unittest

import anyio

from tests.edgefleet import (
    CONFIG,
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
    wait_for_event,
)
from tests.test_edge_platform import SETTINGS_DOCUMENT, TARGET_ENTRY

COLD_PER_S = 2.0
OVERAGE = 1.5
SLACK = 5
# What a cold target may get in any second, of all instances together.
MOST = COLD_PER_S * OVERAGE + SLACK
# Longer than the test waits for anything, so that the target stays cold.
COLD_LEFT_MS = 3_000_000
SERVICES = [{"name": "engine", "cold_per_s": COLD_PER_S}]
BOUNDS = {
    **SETTINGS_DOCUMENT["bounds"],
    "cold_overage": OVERAGE,
    "cold_slack": SLACK,
}
# Enough calls in a second to exceed the bound, if half went to each target.
CALLS_AT_ONCE = 8
CALL_INTERVAL_S = 0.1
COLD_SENDS = 6


def _count_most(times_s: list[float]) -> int:
    return max(sum(at <= t < at + 1 for t in times_s) for at in times_s)


class ColdTargetProcessTest(unittest.TestCase):
    """Two daemons in front of a cold target and a warm one."""

    def test_cold_target_is_spared_and_the_warm_one_serves(self) -> None:
        """Guards against parts that keep the bound alone but not together."""

        async def check(fleet: EdgeFleet) -> None:
            fleet.target.accepts_any_name = True
            address = f"127.0.0.1:{fleet.ports['target']}"
            entry = {**TARGET_ENTRY, "address": address, "slots": 64}
            fleet.store.put(
                "servers/i-1", {**entry, "cold_left_ms": COLD_LEFT_MS}
            )
            fleet.store.put("servers/i-2", {**entry, "cold_left_ms": 0})
            fleet.store.put("op/config", {**CONFIG, "services": SERVICES})
            for host in HOSTS:
                child = fleet.spawn(host, bounds=BOUNDS)
                await fleet.wait_ready(host)
                await wait_for_event(child, "target-cold")
            statuses = await self._call_until_cold_is_used(fleet)
            assert set(statuses) == {200}, statuses
            target = fleet.target
            cold_s = [
                at_s
                for name, at_s in zip(
                    target.started_names, target.started_at_s, strict=True
                )
                if name == "i-1"
            ]
            assert _count_most(cold_s) <= MOST, cold_s
            assert _count_most(target.started_at_s) > MOST

        run_with_fleet(check)

    async def _call_until_cold_is_used(self, fleet: EdgeFleet) -> list[int]:
        """Calls both daemons; returns the statuses of the answers."""
        statuses: list[int] = []

        async def call(host: str, attempt: str) -> None:
            answer = await fleet.call(host, "/orders/1", attempt)
            statuses.append(answer.status)

        turn = 0
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while fleet.target.started_names.count("i-1") < COLD_SENDS:
                turn += 1
                async with anyio.create_task_group() as tasks:
                    for number in range(CALLS_AT_ONCE):
                        host = HOSTS[number % len(HOSTS)]
                        tasks.start_soon(call, host, f"a{turn}-{number}")
                await anyio.sleep(CALL_INTERVAL_S)
        return statuses
