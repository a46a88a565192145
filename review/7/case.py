"""An edge dies while its streams run, soon after a release."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2")
)
from bed import (
    Bed,
    Edge,
    Runner,
    encode_request,
    has_trouble,
    make_attempt,
    make_config,
    make_route,
    run_case,
)

EDGES = 8
# Of each service half is replaced, one runner at a time (release, share 0.5).
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
KILL_AFTER_S = 7.5
RETRIES = 3
# The rule allows two such streams.
MAX_MIXED = 2


class Client:
    """A client with one stream, which it takes up again if it breaks off."""

    def __init__(self, bed: Bed, number: int):
        self._bed = bed
        self._begun = time.monotonic()
        self._part = f"{number:08x}"
        # Versions of the events, in order.
        self.versions: list[str] = []
        self.is_whole = False
        self.takes_up = 0

    async def run(self, edge: Edge) -> None:
        """Gets the stream, at first through one edge."""
        first = ""
        for _ in range(1 + RETRIES):
            attempt = make_attempt()
            wait_s = await self._try(edge, attempt, first)
            if self.is_whole or wait_s is None:
                return
            if self.versions and not first:
                first = attempt
            await asyncio.sleep(wait_s)
            # Retries reach other nodes.
            others = [e for e in self._bed.edges if e is not edge]
            edge = random.choice([e for e in others if e.process.poll() is None])
            self.takes_up += bool(self.versions)

    async def _try(self, edge: Edge, attempt: str, first: str) -> float | None:
        """Makes one attempt; returns when to retry, None for never."""
        waited_ms = (time.monotonic() - self._begun) * 1000
        left_ms = round(CLIENT_WAIT_MS - waited_ms)
        lines = [
            "X-Model: m",
            "X-Token-Count: 600,480",
            f"X-Prompt-Prefix: abcd01:60,{self._part}:540",
        ]
        if self.versions:
            lines += [f"Last-Event-Id: {len(self.versions)}"]
        if first:
            lines += [f"Resumes: {first}"]
        raw = encode_request(
            "POST",
            "/quotes/1",
            attempt,
            *lines,
            body=self._part.encode(),
            deadline_ms=left_ms,
        )
        self._bed.record.note(
            f"{attempt} is sent to {edge.host}, {left_ms} ms left,"
            f" {len(self.versions)} events, resumes {first or '-'}"
        )
        answer = await edge.ask(raw, left_ms / 1000)
        blocks = answer.body.split(b"\n\n")[:-1]
        got = [block.split(b"data: ")[1].split()[0].decode() for block in blocks]
        self.versions += got
        self.is_whole = answer.status == 200 and answer.is_whole
        self._bed.record.note(
            f"{attempt} is answered {answer.status}, whole {answer.is_whole},"
            f" {len(got)} events of {sorted(set(got))}"
        )
        if answer.status == 503:
            return float(answer.find("retry-after") or 0.2)
        return 0.05 if answer.status in (0, 200, 502, 504) else None


async def start_runner(bed: Bed, version: str) -> Runner:
    """Starts a model runner of one software version."""
    runner = await bed.add_runner("llm", slots=24, version=version)

    async def handle(request, writer):
        return await runner.answer_with_events(
            request, writer, EVENTS, EVENT_INTERVAL_S
        )

    runner.handle = handle
    return runner


async def play(folder: pathlib.Path) -> bool:
    """Returns whether the rule was broken."""
    bed = Bed(folder, EDGES)
    try:
        route = make_route(
            "quote",
            "/quotes/",
            "streaming",
            service="llm",
            timeout_ms=TIMEOUT_MS,
            goal_ms=800,
            gap_goal_ms=400,
            priority=0,
            sticky=True,
            resumable=True,
            max_attempts=2,
        )
        await bed.start(make_config([route]))
        old = [await start_runner(bed, "v1") for _ in range(RUNNERS)]
        await bed.start_edges()
        await asyncio.sleep(3)
        clients = [Client(bed, number) for number in range(STREAMS)]
        # The platform chooses the node by a hash of the client; these have the
        # same one.
        runs = [asyncio.create_task(c.run(bed.edges[0])) for c in clients]
        begun = time.monotonic()
        await asyncio.sleep(1)
        for number in range(REPLACED):
            runner = await start_runner(bed, "v2")
            bed.record.note(f"{runner.name} starts with v2")
            await asyncio.sleep(RELEASE_GAP_S)
            old[number].state = "draining"
            old[number].register()
            bed.record.note(f"{old[number].name} of v1 is draining")
        await asyncio.sleep(begun + KILL_AFTER_S - time.monotonic())
        if has_trouble():
            bed.edges[0].signal(signal.SIGKILL)
            bed.edges[0].process.wait()
            bed.record.note(f"{bed.edges[0].host} is killed")
        await asyncio.wait_for(asyncio.gather(*runs), 45)
        mixed = [c for c in clients if len(set(c.versions)) > 1]
        whole = sum(c.is_whole for c in clients)
        bed.record.tell(
            f"{STREAMS} streams, {whole} whole,"
            f" {sum(c.takes_up > 0 for c in clients)} taken up,"
            f" {len(mixed)} hold events of two versions"
        )
        return len(mixed) > MAX_MIXED
    finally:
        bed.close()


run_case(play, __file__)
