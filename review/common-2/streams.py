"""Streams that their clients take up, and runners of several versions."""

import asyncio
import random
import signal
import time
from typing import Any

from bed import (
    Answer,
    Bed,
    Edge,
    Request,
    Runner,
    encode_request,
    make_attempt,
    make_route,
    receive_answer,
)

Channel = tuple[asyncio.StreamReader, asyncio.StreamWriter]

RETRIES = 3
# The rule ORDER allows two streams with events of two versions.
MAX_MIXED = 2


class Client:
    """A client with one stream, which it takes up again if it breaks off."""

    def __init__(
        self, bed: Bed, number: int, wait_ms: int, retries: int = RETRIES
    ):
        self.bed = bed
        self._retries = retries
        self._wait_ms = wait_ms
        self._begun = 0.0
        self._part = f"{number:08x}"
        # Versions of the events, in order.
        self.versions: list[str] = []
        self.is_whole = False
        self.takes_up = 0
        # Whether a try that took the stream up brought events.
        self.goes_on = False
        # A kept channel for the first attempt, which the client opens early.
        self.channel: Channel | None = None

    async def open_channel(self, edge: Edge) -> None:
        """Opens a channel that is kept, and waits for one answer on it."""
        port = self.bed.ports["frontend"]
        self.channel = await asyncio.open_connection(edge.host, port)
        reader, writer = self.channel
        writer.write(encode_request("GET", "/status/1", make_attempt()))
        answer = await receive_answer(reader)
        if answer.status != 200:
            raise RuntimeError(f"a kept channel has {answer.status}")

    async def _send(self, edge: Edge, raw: bytes, timeout_s: float) -> Answer:
        """Sends on the kept channel if there is one, else on a new one."""
        if self.channel is None:
            return await edge.ask(raw, timeout_s)
        (reader, writer), self.channel = self.channel, None
        writer.write(raw)
        try:
            return await asyncio.wait_for(receive_answer(reader), timeout_s)
        except TimeoutError:
            return Answer(0, [], b"", False, "no answer in time")
        finally:
            writer.transport.abort()

    async def run(self, edge: Edge) -> None:
        """Gets the stream, at first through one edge."""
        self._begun = time.monotonic()
        first = ""
        for _ in range(1 + self._retries):
            attempt = make_attempt()
            wait_s = await self._try(edge, attempt, first)
            if self.is_whole or wait_s is None:
                return
            if self.versions and not first:
                first = attempt
            await asyncio.sleep(wait_s)
            edge = await self._find_other(edge)
            self.takes_up += bool(self.versions)

    async def _find_other(self, edge: Edge) -> Edge:
        """Returns another node: retries reach other nodes."""
        others = [e for e in self.bed.edges if e is not edge]
        return random.choice(
            [e for e in others if e.process.poll() is None] or others
        )

    def make_lines(self) -> list[str]:
        """Returns the lines of the prompt that all requests have."""
        return [
            "X-Model: m",
            "X-Token-Count: 600,480",
            f"X-Prompt-Prefix: abcd01:60,{self._part}:540",
        ]

    async def _try(self, edge: Edge, attempt: str, first: str) -> float | None:
        """Makes one attempt; returns when to retry, None for never."""
        waited_ms = (time.monotonic() - self._begun) * 1000
        left_ms = round(self._wait_ms - waited_ms)
        lines = self.make_lines()
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
        self.bed.record.note(
            f"{attempt} is sent to {edge.host}, {left_ms} ms left,"
            f" {len(self.versions)} events, resumes {first or '-'}"
        )
        answer = await self._send(edge, raw, left_ms / 1000)
        blocks = answer.body.split(b"\n\n")[:-1]
        got = [
            block.split(b"data: ")[1].split()[0].decode() for block in blocks
        ]
        self.goes_on = self.goes_on or bool(self.versions and got)
        self.versions += got
        self.is_whole = answer.status == 200 and answer.is_whole
        self.bed.record.note(
            f"{attempt} is answered {answer.status}, whole {answer.is_whole},"
            f" {len(got)} events of {sorted(set(got))}"
        )
        if answer.status == 503:
            return float(answer.find("retry-after") or 0.2)
        return 0.05 if answer.status in (0, 200, 502, 504) else None


async def start_runner(
    bed: Bed,
    version: str,
    count: int,
    interval_s: float,
    slots: int = 40,
    has_chunks: bool = True,
) -> Runner:
    """Starts a model runner of one software version.

    Args:
        bed: the deployment.
        version: of the runner's software.
        count: events of each stream.
        interval_s: time between them.
        slots: requests at once.
        has_chunks: whether streams come in chunks, and end with the last one.
    """
    runner = await bed.add_runner("llm", slots=slots, version=version)

    async def handle(request: Request, writer: asyncio.StreamWriter) -> bool:
        return await runner.answer_with_events(
            request, writer, count, interval_s, has_chunks
        )

    runner.handle = handle
    return runner


async def restart(bed: Bed, edge: Edge, after_s: float = 0.0) -> None:
    """Restarts a process as planned."""
    await asyncio.sleep(after_s)
    edge.signal(signal.SIGTERM)
    bed.record.note(f"{edge.host} gets SIGTERM")
    while edge.process.poll() is None:
        await asyncio.sleep(0.02)
    edge.start(first_start=False)
    bed.record.note(f"{edge.host} starts again")
    await bed.wait_ready(edge)
    bed.record.note(f"{edge.host} is ready")


def make_stream_route(timeout_ms: int) -> Any:
    """Returns a route of streams that may be resumed."""
    return make_route(
        "quote",
        "/quotes/",
        "streaming",
        service="llm",
        timeout_ms=timeout_ms,
        goal_ms=800,
        gap_goal_ms=400,
        priority=0,
        sticky=True,
        resumable=True,
        max_attempts=2,
    )


def count_mixed(bed: Bed, clients: list[Client]) -> int:
    """Returns how many streams hold events of two versions, and tells it."""
    mixed = sum(len(set(c.versions)) > 1 for c in clients)
    bed.record.tell(
        f"{len(clients)} streams, {sum(c.is_whole for c in clients)} whole,"
        f" {sum(c.takes_up > 0 for c in clients)} taken up,"
        f" {mixed} hold events of two versions"
    )
    return mixed
