"""An edge dies while its long streams run; runners were added meanwhile."""

import asyncio
import pathlib
import signal
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
    start_runner,
)

EDGES = 8
RUNNERS = 4
STREAMS = 48
EVENTS = 230
EVENT_INTERVAL_S = 0.35
# How long a stream may last, for the operator and for its client.
TIMEOUT_MS = 100_000
# When one more runner is added, which is a quarter (scale_out, share 0.3).
ADDED_AT_S = (1.0, 63.0)
KILL_AFTER_S = 67.0


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
        for added_at_s in ADDED_AT_S:
            await asyncio.sleep(begun + added_at_s - time.monotonic())
            runner = await add("v2")
            bed.record.note(f"{runner.name} starts with v2")
        await asyncio.sleep(begun + KILL_AFTER_S - time.monotonic())
        if has_trouble():
            bed.edges[0].signal(signal.SIGKILL)
            bed.edges[0].process.wait()
            bed.record.note(f"{bed.edges[0].host} is killed")
        left_s = begun + TIMEOUT_MS / 1000 - time.monotonic()
        await asyncio.wait_for(asyncio.gather(*runs), left_s)
        return count_mixed(bed, clients) > MAX_MIXED
    finally:
        bed.close()


run_case(play, __file__)
