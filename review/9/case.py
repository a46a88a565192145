"""An edge restarts as planned while its long streams run."""

import asyncio
import pathlib
import sys
import time

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
RUNNERS = 4
STREAMS = 96
EVENTS = 230
EVENT_INTERVAL_S = 0.35
# How long a stream may last, for the operator and for its client.
TIMEOUT_MS = 100_000
# When one more runner is added, which is a quarter (scale_out, share 0.3).
ADDED_AT_S = (1.0, 63.0)
# One machine of eight gets SIGTERM and starts again (roll_term). It ends what
# still runs shortly before its grace time of 8 s is over.
TERM_AFTER_S = 60.0


async def play(folder: pathlib.Path) -> bool:
    """Returns whether the rule was broken."""
    bed = Bed(folder, EDGES)
    try:
        await bed.start(make_config([make_stream_route(TIMEOUT_MS)]))

        async def add(version):
            return await start_runner(bed, version, EVENTS, EVENT_INTERVAL_S)

        for _ in range(RUNNERS):
            await add("v1")
        await bed.start_edges()
        await asyncio.sleep(2)
        clients = [Client(bed, n, TIMEOUT_MS) for n in range(STREAMS)]
        # The platform chooses the node by a hash of the client; these have the
        # same one.
        runs = [asyncio.create_task(c.run(bed.edges[0])) for c in clients]
        begun = time.monotonic()
        restarts = []
        if has_trouble():
            restart_later = restart(bed, bed.edges[0], TERM_AFTER_S)
            restarts = [asyncio.create_task(restart_later)]
        for added_at_s in ADDED_AT_S:
            await asyncio.sleep(begun + added_at_s - time.monotonic())
            runner = await add("v2")
            bed.record.note(f"{runner.name} starts with v2")
        left_s = begun + TIMEOUT_MS / 1000 - time.monotonic()
        await asyncio.wait_for(asyncio.gather(*runs, *restarts), left_s)
        return count_mixed(bed, clients) > MAX_MIXED
    finally:
        bed.close()


run_case(play, __file__)
