"""Tests of real edge daemons whose operator evacuates a zone."""

import unittest

import anyio

from tests.edgefleet import (
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
    wait_for_event,
)
from tests.test_edge_platform import TARGET_ENTRY

# From then on no request reaches the zone.
EVACUATE_S = 5.0
# How long requests are sent after that.
WATCHED_S = 1.5
# Nothing listens there.
NO_STORE = "127.0.0.1:9"
EVACUATION = "op/evacuate/zone-a"


def _list_zones(fleet: EdgeFleet, **zones: str) -> None:
    """Lists targets that share an address, each with its zone."""
    address = f"127.0.0.1:{fleet.ports['target']}"
    fleet.target.accepts_any_name = True
    fleet.store.delete("servers/i-1")
    for name, zone in zones.items():
        entry = {**TARGET_ENTRY, "address": address, "zone": zone}
        fleet.store.put(f"servers/{name}", entry)


async def _start_both(fleet: EdgeFleet) -> None:
    """Starts two instances, the second of which has no store."""
    fleet.spawn(HOSTS[0])
    await fleet.wait_ready(HOSTS[0])
    fleet.spawn(HOSTS[1], platform={"address": NO_STORE})
    await fleet.wait_ready(HOSTS[1])


class EvacuationProcessTest(unittest.TestCase):
    """What targets in an evacuated zone get."""

    def test_no_request_reaches_an_evacuated_zone(self) -> None:
        """Guards against requests by new, kept or learned ways.

        The second instance learns of the evacuation from the first. Both send
        all the time, over connections that they keep.
        """

        async def check(fleet: EdgeFleet) -> None:
            _list_zones(fleet, a="zone-a", b="zone-b")
            await _start_both(fleet)
            number = 0

            async def send_all() -> None:
                nonlocal number
                while True:
                    for host in HOSTS:
                        for path in ("/orders/1", "/quotes/1"):
                            number += 1
                            answer = await fleet.call(host, path, f"a{number}")
                            assert answer.status == 200, answer.status

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_all)
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    while "a" not in fleet.target.started_names:
                        await anyio.sleep(0.02)
                fleet.store.put(EVACUATION, {})
                await anyio.sleep(EVACUATE_S)
                sent = len(fleet.target.started_names)
                await anyio.sleep(WATCHED_S)
                names = set(fleet.target.started_names[sent:])
                assert names == {"b"}, names
                fleet.store.delete(EVACUATION)
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    while "a" not in fleet.target.started_names[sent:]:
                        await anyio.sleep(0.02)
                tasks.cancel_scope.cancel()

        run_with_fleet(check)

    def test_stream_in_an_evacuated_zone_goes_on_to_its_end(self) -> None:
        """Guards against cutting what may go on, and refusing too late."""

        async def check(fleet: EdgeFleet) -> None:
            _list_zones(fleet, a="zone-a")
            fleet.target.delay_s, fleet.target.event_count = 0.1, 30
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            answers = []

            async def read() -> None:
                answers.append(await fleet.call(HOSTS[0], "/quotes/1", "a1"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read)
                await fleet.wait_started(1)
                fleet.store.put(EVACUATION, {})
                await wait_for_event(child, "zone-evacuated")
                refused = await fleet.call(HOSTS[0], "/orders/1", "a2")
                assert refused.status == 503
            assert answers[0].content.count(b"\n\n") == 30
            assert fleet.target.started_attempts == ["a1"]

        run_with_fleet(check)

    def test_instance_that_starts_knows_of_the_evacuation(self) -> None:
        """Guards against a start that uses the zone until the next change."""

        async def check(fleet: EdgeFleet) -> None:
            _list_zones(fleet, a="zone-a", b="zone-b")
            fleet.store.put(EVACUATION, {})
            await _start_both(fleet)
            for number in range(20):
                host = HOSTS[number % len(HOSTS)]
                answer = await fleet.call(host, "/orders/1", f"a{number}")
                assert answer.status == 200
            assert set(fleet.target.started_names) == {"b"}

        run_with_fleet(check)
