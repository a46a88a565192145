"""All edges die and start again, just after a release has ended."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2")
)
from bed import (
    Bed,
    Edge,
    Request,
    Runner,
    encode_request,
    has_trouble,
    make_attempt,
    make_config,
    run_case,
)
from streams import MAX_MIXED, Client, count_mixed, make_stream_route

EDGES = 8
# Half of the runners have the next version already. The other half is replaced,
# one at a time (release, share 0.5, x 1, gap_s 1).
RUNNERS = 4
RELEASE_GAP_S = 1.0
# How long the runners of the old version go on after they drain: drain_ms, and
# a little longer.
LINGER_S = 3.0
SESSIONS = 96
# Requests of each session before its stream.
EARLIER = 3
EVENTS = 60
SHORT_EVENTS = 2
EVENT_INTERVAL_S = 0.2
TIMEOUT_MS = 30_000
# All edges are killed at once, and start again (herd_kill, share 1.0, for_s 1).
KILL_AFTER_S = 0.3
DOWN_S = 1.0


class SessionClient(Client):
    """A client whose session has some requests before its stream."""

    async def run(self, edge: Edge) -> None:
        """Has some short requests, and then gets the stream."""
        for _ in range(EARLIER):
            raw = encode_request(
                "POST",
                "/quotes/short",
                make_attempt(),
                *self.make_lines(),
                body=b"short",
                deadline_ms=TIMEOUT_MS,
            )
            answer = await random.choice(self.bed.edges).ask(raw)
            if answer.status != 200:
                raise RuntimeError(f"a short request has {answer.status}")
            await asyncio.sleep(random.uniform(0.1, 0.3))
        await super().run(edge)

    async def _find_other(self, edge: Edge) -> Edge:
        # The platform sends clients to machines that are in rotation.
        while True:
            found = await super()._find_other(edge)
            if await found.is_ready():
                return found
            await asyncio.sleep(0.1)


async def start_runner(bed: Bed, version: str) -> Runner:
    """Starts a runner with short and long streams."""
    runner = await bed.add_runner("llm", slots=60, version=version)

    async def handle(request: Request, writer: asyncio.StreamWriter) -> bool:
        is_short = request.path.endswith("/short")
        count = SHORT_EVENTS if is_short else EVENTS
        interval_s = 0.02 if is_short else EVENT_INTERVAL_S
        return await runner.answer_with_events(
            request, writer, count, interval_s
        )

    runner.handle = handle
    return runner


async def release(bed: Bed, old: list[Runner]) -> None:
    """Replaces runners one at a time; they go on for some time."""
    leaving = []
    for number, runner in enumerate(old):
        if number:
            await asyncio.sleep(RELEASE_GAP_S / 2)
        new = await start_runner(bed, "v2")
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


async def kill_all(bed: Bed) -> None:
    """Kills all edges, and starts them again."""
    bed.record.note("all edges are killed")
    for edge in bed.edges:
        edge.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for edge in bed.edges:
        edge.start(first_start=False)
    for edge in bed.edges:
        await bed.wait_ready(edge)
    bed.record.note("all edges are ready again")


async def play(folder: pathlib.Path) -> bool:
    """Returns whether the rule was broken."""
    bed = Bed(folder, EDGES)
    try:
        await bed.start(make_config([make_stream_route(TIMEOUT_MS)]))
        old = [await start_runner(bed, "v1") for _ in range(RUNNERS // 2)]
        for _ in range(RUNNERS // 2):
            await start_runner(bed, "v2")
        await bed.start_edges()
        await asyncio.sleep(2)
        clients = [SessionClient(bed, n, TIMEOUT_MS) for n in range(SESSIONS)]
        runs = [
            asyncio.create_task(c.run(random.choice(bed.edges)))
            for c in clients
        ]
        await asyncio.sleep(3)
        await release(bed, old)
        if has_trouble():
            await asyncio.sleep(KILL_AFTER_S)
            await kill_all(bed)
        await asyncio.wait_for(asyncio.gather(*runs), 60)
        return count_mixed(bed, clients) > MAX_MIXED
    finally:
        bed.close()


run_case(play, __file__)
