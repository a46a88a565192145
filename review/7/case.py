"""An edge stands still while others restart and a release takes place."""

import asyncio
import pathlib
import signal
import sys
from collections.abc import Awaitable, Callable

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2")
)
from bed import (
    Bed,
    Edge,
    Runner,
    has_trouble,
    make_config,
    make_route,
    run_case,
)
from streams import (
    MAX_MIXED,
    Client,
    count_mixed,
    make_stream_route,
    restart,
    start_runner,
)

Add = Callable[[str], Awaitable[Runner]]

EDGES = 10
# Four of ten machines get SIGTERM and start again, one after the other
# (roll_term, share 0.4, x 1, gap_s 1).
RESTARTED = 4
RESTART_GAP_S = 1.0
# Half of the runners have the next version already. The other half is replaced,
# one at a time (release, share 0.5, x 1, gap_s 1).
RUNNERS = 4
RELEASE_GAP_S = 1.0
STREAMS = 96
EVENTS = 60
EVENT_INTERVAL_S = 0.2
TIMEOUT_MS = 15_000
# How long one machine of ten stands still (node_freeze, share 0.1, for_s 5).
FREEZE_S = 5.0
# From its begin to that of the release.
RELEASE_AFTER_S = 0.2
# The clients send this long before it goes on, over channels that they keep.
SEND_BEFORE_S = 0.4
# How long the runners of the old version go on after they drain.
LINGER_S = 8.0


async def release(bed: Bed, old: list[Runner], add: Add) -> None:
    """Replaces runners one at a time; they go on for some time."""
    leaving = []
    for number, runner in enumerate(old):
        if number:
            await asyncio.sleep(RELEASE_GAP_S / 2)
        new = await add("v2")
        bed.record.note(f"{new.name} starts with v2")
        await asyncio.sleep(RELEASE_GAP_S / 2)
        runner.state = "draining"
        runner.register()
        bed.record.note(f"{runner.name} of v1 is draining")
        leaving.append(asyncio.create_task(leave(bed, runner)))
    await asyncio.gather(*leaving)


async def leave(bed: Bed, runner: Runner) -> None:
    """Lets a runner that drains go on for some time, and then exit."""
    await asyncio.sleep(LINGER_S)
    bed.store.delete(f"servers/{runner.name}")
    runner.crash()
    bed.record.note(f"{runner.name} of v1 has left")


async def freeze(bed: Bed, edge: Edge) -> None:
    """Stops a machine for some time."""
    edge.signal(signal.SIGSTOP)
    bed.record.note(f"{edge.host} stands still")
    await asyncio.sleep(FREEZE_S)
    edge.signal(signal.SIGCONT)
    bed.record.note(f"{edge.host} goes on")


async def play(folder: pathlib.Path) -> bool:
    """Returns whether the rule was broken."""
    bed = Bed(folder, EDGES)
    try:
        routes = [
            make_stream_route(TIMEOUT_MS),
            make_route("status", "/status/", "idempotent"),
        ]
        await bed.start(make_config(routes))

        async def add(version: str) -> Runner:
            return await start_runner(bed, version, EVENTS, EVENT_INTERVAL_S)

        old = [await add("v1") for _ in range(RUNNERS // 2)]
        for _ in range(RUNNERS // 2):
            await add("v2")
        await bed.add_runner("app", slots=20)
        await bed.start_edges()
        # All edges have first attempts of the route.
        warm = [Client(bed, 1000 + n, TIMEOUT_MS) for n in range(EDGES)]
        pairs = zip(warm, bed.edges, strict=True)
        await asyncio.gather(*(client.run(edge) for client, edge in pairs))
        clients = [Client(bed, n, TIMEOUT_MS) for n in range(STREAMS)]
        frozen = bed.edges[-1]
        for client in clients:
            await client.open_channel(frozen)
        restarts = [
            asyncio.create_task(restart(bed, edge, number * RESTART_GAP_S))
            for number, edge in enumerate(bed.edges[:RESTARTED])
        ]
        # They serve for 2.6 s after SIGTERM.
        await asyncio.sleep(2.5)
        tasks = []
        if has_trouble():
            tasks.append(asyncio.create_task(freeze(bed, frozen)))
        await asyncio.sleep(RELEASE_AFTER_S)
        tasks.append(asyncio.create_task(release(bed, old, add)))
        await asyncio.sleep(FREEZE_S - RELEASE_AFTER_S - SEND_BEFORE_S)
        runs = [asyncio.create_task(c.run(frozen)) for c in clients]
        await asyncio.wait_for(asyncio.gather(*runs, *tasks, *restarts), 45)
        return count_mixed(bed, clients) > MAX_MIXED
    finally:
        bed.close()


run_case(play, __file__)
