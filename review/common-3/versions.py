"""A release of software versions under sessions, for two of the cases.

Store, runners, clients and instances are those of review/common-2.
"""

import asyncio
import pathlib
import random
import signal
import sys
import time
import urllib.parse

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2")
)
import bed as bed_module
from bed import (
    Bed,
    encode_answer,
    encode_request,
    make_attempt,
    make_config,
    read_head,
)
from streams import (
    MAX_MIXED,
    Client,
    count_mixed,
    make_stream_route,
)

EDGES = 8
# Half of the runners have the next version already. The other half is replaced,
# one at a time (release, share 0.5, x 1, gap_s 1).
RUNNERS = 4
RELEASE_GAP_S = 1.0
# How long the runners of the old version go on after they leave the list or
# drain: drain_ms, and a little longer.
LINGER_S = 3.0
SESSIONS = 96
# Requests of each session before its stream.
EARLIER = 3
EVENTS = 60
SHORT_EVENTS = 2
EVENT_INTERVAL_S = 0.2
# Of the sheet: an event of a stream holds 6 tokens.
EVENT_TOKENS = 6
TIMEOUT_MS = 30_000
HISTORY_S = 20.0
# All edges are killed at once, and start again (herd_kill, share 1.0, for_s 1).
KILL_AFTER_S = 0.3
DOWN_S = 1.0


class HistoryStore(bed_module.Store):
    """A store that keeps its history for a time, as the pages say.

    A watch from a revision before it gets 410.
    """

    def __init__(self):
        super().__init__()
        self._written_s = {}
        # The last revision whose changes are not kept.
        self._lost = 0

    def _append(self, event):
        self._written_s[event["revision"]] = time.monotonic()
        super()._append(event)

    def discard(self, older_than_s):
        """Discards the history up to some age."""
        oldest_s = time.monotonic() - older_than_s
        while self._history:
            revision = self._history[0]["revision"]
            if self._written_s[revision] > oldest_s:
                return
            self._history.pop(0)
            self._lost = revision

    async def _serve(self, reader, writer):
        try:
            while True:
                first, _ = await read_head(reader)
                self.discard(HISTORY_S)
                url = urllib.parse.urlsplit(first.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                status, page = 200, {}
                if url.path == "/-/kv-range":
                    page = self._list(query["path_prefix"])
                elif int(query["after"]) < self._lost:
                    status = 410
                else:
                    page = await self._watch(query)
                writer.write(
                    encode_answer(
                        status,
                        [("Content-Type", "application/json")],
                        bed_module.json.dumps(page).encode(),
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class SessionClient(Client):
    """A client whose session has some requests before its stream."""

    async def run(self, edge):
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

    async def _find_other(self, edge):
        # The platform sends clients to machines that are in rotation.
        while True:
            found = await super()._find_other(edge)
            if await found.is_ready():
                return found
            await asyncio.sleep(0.1)


class ReleaseCase:
    """A release that ends just before all instances are killed."""

    # Whether runners report that they drain before their entry is removed.
    is_announced = True
    # How long the old runners have served before the sessions begin.
    age_s = 2.0
    # Events of the earlier requests of a session.
    short_events = SHORT_EVENTS

    def __init__(self, folder):
        self.bed = Bed(folder, EDGES)
        self.bed.store = HistoryStore()

    async def disturb(self):
        """Plays the disruption, right after the last old runner has left."""
        await asyncio.sleep(KILL_AFTER_S)
        await self.kill_all()

    async def play(self):
        """Returns whether the rule was broken."""
        bed = self.bed
        try:
            await bed.start(make_config([make_stream_route(TIMEOUT_MS)]))
            old = [await self._start_runner("v1") for _ in range(RUNNERS // 2)]
            for _ in range(RUNNERS // 2):
                await self._start_runner("v2")
            await bed.start_edges()
            await asyncio.sleep(self.age_s)
            clients = [
                SessionClient(bed, n, TIMEOUT_MS) for n in range(SESSIONS)
            ]
            runs = [
                asyncio.create_task(c.run(random.choice(bed.edges)))
                for c in clients
            ]
            await asyncio.sleep(3)
            await self._release(old)
            if bed_module.has_trouble():
                await self.disturb()
            await asyncio.wait_for(asyncio.gather(*runs), 60)
            return count_mixed(bed, clients) > MAX_MIXED
        finally:
            bed.close()

    async def kill_all(self):
        """Kills all edges, and starts them again."""
        bed = self.bed
        bed.record.note("all edges are killed")
        for edge in bed.edges:
            edge.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for edge in bed.edges:
            edge.start(first_start=False)
        for edge in bed.edges:
            await bed.wait_ready(edge)
        bed.record.note("all edges are ready again")

    async def _start_runner(self, version):
        """Starts a runner with short and long streams."""
        runner = await self.bed.add_runner("llm", slots=60, version=version)

        async def handle(request, writer):
            is_short = request.path.endswith("/short")
            count = self.short_events if is_short else EVENTS
            last = int(request.find("last-event-id") or 0)
            is_kept = await runner.answer_with_events(
                request, writer, count, 0.02 if is_short else EVENT_INTERVAL_S
            )
            # What was generated is kept as well.
            part, _, tokens = (
                request.find("x-prompt-prefix")
                .rpartition(",")[2]
                .partition(":")
            )
            generated = (count - last) * EVENT_TOKENS
            runner.kept[part] = int(tokens) + generated
            return is_kept

        runner.handle = handle
        return runner

    async def _release(self, old):
        """Replaces runners one at a time; they go on for some time."""
        leaving = []
        for number, runner in enumerate(old):
            if number:
                await asyncio.sleep(RELEASE_GAP_S / 2)
            new = await self._start_runner("v2")
            self.bed.record.note(f"{new.name} starts with v2")
            await asyncio.sleep(RELEASE_GAP_S / 2)
            if self.is_announced:
                runner.state = "draining"
                runner.register()
            else:
                self.bed.store.delete(f"servers/{runner.name}")
            self.bed.record.note(f"{runner.name} of v1 begins to leave")
            leaving.append(asyncio.create_task(self._leave(runner)))
        await asyncio.gather(*leaving)

    async def _leave(self, runner):
        await asyncio.sleep(LINGER_S)
        self.bed.store.delete(f"servers/{runner.name}")
        runner.crash()
        self.bed.record.note(f"{runner.name} of v1 has left")
