"""A model engine in virtual time, as the users' platform describes its own."""

import contextlib
import dataclasses
import math
from collections import deque
from collections.abc import AsyncIterator, Callable

import anyio
from result import Err, Ok, Result

from peridotbend.domain.ports import AnswerHead, CallError, CallFailure
from peridotbend.edge.ports import Reply, TargetSend

# From the users' sheets: a step of a batch, what is read in a ms, and the
# tokens of an event.
STEP_MS = 3.09
PROMPT_TOKENS_PER_MS = 61.8
EVENT_TOKENS = 6
# "A step takes 3.09 ms and more": what each further request adds to it.
STEP_MS_PER_REQUEST = 0.12
CONNECT_MS = 1


@dataclasses.dataclass(eq=False, slots=True)
class _Job:
    prompt_tokens: int
    events: int
    # Carries True for an event and False for the end of a broken run.
    ready: deque[bool] = dataclasses.field(default_factory=deque)
    news: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    produced_tokens: int = 0
    is_gone: bool = False

    def push(self, is_event: bool) -> None:
        """Tells the reader that there is something to read."""
        self.ready.append(is_event)
        self.news.set()


class ReplayEngine:
    """Admits in order of arrival and runs one batch."""

    def __init__(self, slots: int, slowness: float):
        self._slots = slots
        self.slowness = slowness
        self.is_down = False
        self._waiting: deque[_Job] = deque()
        self._batch: list[_Job] = []
        self._arrived = anyio.Event()

    def submit(self, job: _Job) -> None:
        """Queues a request."""
        self._waiting.append(job)
        self._arrived.set()

    def crash(self) -> None:
        """Breaks all runs; nothing listens until `is_down` is reset."""
        self.is_down = True
        for job in (*self._waiting, *self._batch):
            job.push(False)
        self._waiting.clear()
        self._batch.clear()

    async def run(self) -> None:
        """Runs steps until cancelled."""
        while True:
            self._batch = [job for job in self._batch if not job.is_gone]
            spent_ms = self._admit()
            if not self._batch:
                self._arrived = anyio.Event()
                if not self._waiting:
                    await self._arrived.wait()
                continue
            spent_ms += STEP_MS + STEP_MS_PER_REQUEST * len(self._batch)
            await anyio.sleep(spent_ms * self.slowness / 1_000)
            for job in self._batch:
                job.produced_tokens += 1
                if job.produced_tokens % EVENT_TOKENS == 0:
                    job.push(True)
            self._batch = [
                job
                for job in self._batch
                if job.produced_tokens < job.events * EVENT_TOKENS
            ]

    def _admit(self) -> float:
        """Fills the batch; returns how long the new prompts take to read."""
        spent_ms = 0.0
        while self._waiting and len(self._batch) < self._slots:
            job = self._waiting.popleft()
            if not job.is_gone:
                spent_ms += job.prompt_tokens / PROMPT_TOKENS_PER_MS
                self._batch.append(job)
        return spent_ms


class _Answer:
    """The events of one run."""

    def __init__(self, job: _Job, first: int):
        self._job = job
        self._first = first
        self.head = AnswerHead(200, ())
        self.is_event_stream = True

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields an event at a time."""
        job = self._job
        for number in range(self._first, self._first + job.events):
            if not await wait_for_event(job):
                yield Err(CallError(CallFailure.BROKEN, True, "crashed"))
                return
            yield Ok(b"id: %d\ndata: x\n\n" % number)


async def wait_for_event(job: _Job) -> bool:
    """Waits for the next event; False means that the run broke."""
    while not job.ready:
        job.news = anyio.Event()
        await job.news.wait()
    return job.ready.popleft()


class ReplayClient:
    """Sends to the engines of one replay."""

    def __init__(
        self,
        engines: dict[str, ReplayEngine],
        find_events: Callable[[str], int],
    ):
        """Creates a client.

        Args:
            engines: engines by the name of their target.
            find_events: returns how many events an attempt's answer has.
        """
        self._engines = engines
        self._find_events = find_events

    @contextlib.asynccontextmanager
    async def open(
        self, send: TargetSend, gate: Callable[[], bool]
    ) -> AsyncIterator[Reply]:
        """Sends a request and waits for its first event."""
        engine = self._engines[send.target.name]
        await anyio.sleep(CONNECT_MS / 1_000)
        if engine.is_down:
            yield CallError(CallFailure.REFUSED, False, "down")
            return
        if not gate():
            yield CallError(CallFailure.GATE, False)
            return
        done = int(send.last_event_id or 0)
        events = max(1, self._find_events(send.call.attempt) - done)
        tokens = send.call.prompt_tokens or 0
        job = _Job(math.ceil(tokens + done * EVENT_TOKENS), events)
        engine.submit(job)
        try:
            yield _Answer(job, done + 1)
        finally:
            job.is_gone = True
