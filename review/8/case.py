"""An edge restarts as planned while its streams run, beside a release."""

import asyncio
import pathlib
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2")
)
from bed import Bed, has_trouble, make_config, run_case
from streams import (
    MAX_MIXED,
    Client,
    count_mixed,
    make_stream_route,
    restart,
    start_runner,
)

EDGES = 8
# Of the service half is replaced, one runner at a time (release, share 0.5).
RUNNERS = 4
REPLACED = 2
STREAMS = 48
EVENTS = 60
EVENT_INTERVAL_S = 0.2
# The longest time that the operator wants a stream kept waiting, and how long
# its client waits.
TIMEOUT_MS = 15_000
CLIENT_WAIT_MS = 25_000
RELEASE_GAP_S = 1.0
# One machine of eight gets SIGTERM and starts again (roll_term). It ends what
# still runs shortly before its grace time of 8 s is over.
TERM_AFTER_S = 0.5


async def play(folder: pathlib.Path) -> bool:
    """Returns whether the rule was broken."""
    bed = Bed(folder, EDGES)
    try:
        await bed.start(make_config([make_stream_route(TIMEOUT_MS)]))

        async def add(version):
            return await start_runner(bed, version, EVENTS, EVENT_INTERVAL_S)

        old = [await add("v1") for _ in range(RUNNERS)]
        await bed.start_edges()
        await asyncio.sleep(3)
        clients = [Client(bed, n, CLIENT_WAIT_MS) for n in range(STREAMS)]
        # The platform chooses the node by a hash of the client; these have the
        # same one.
        runs = [asyncio.create_task(c.run(bed.edges[0])) for c in clients]
        await asyncio.sleep(TERM_AFTER_S)
        restarts = []
        if has_trouble():
            restarts = [asyncio.create_task(restart(bed, bed.edges[0]))]
        await asyncio.sleep(1 - TERM_AFTER_S)
        for number in range(REPLACED):
            runner = await add("v2")
            bed.record.note(f"{runner.name} starts with v2")
            await asyncio.sleep(RELEASE_GAP_S)
            old[number].state = "draining"
            old[number].register()
            bed.record.note(f"{old[number].name} of v1 is draining")
        await asyncio.wait_for(asyncio.gather(*runs, *restarts), 45)
        return count_mixed(bed, clients) > MAX_MIXED
    finally:
        bed.close()


run_case(play, __file__)
