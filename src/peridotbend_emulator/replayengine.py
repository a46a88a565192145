"""Emulates a model engine in virtual time, with the users' step times."""

import contextlib
import dataclasses
import math
import random
from collections import deque
from collections.abc import AsyncIterator, Callable, Mapping

import anyio
from result import Err, Ok, Result

from peridotbend.domain.ports import AnswerHead, CallError, CallFailure
from peridotbend.edge.ports import (
    Rejection,
    Reply,
    TargetReport,
    TargetSend,
)
from peridotbend.edge.targets import EdgeTarget

# From the users' data sheets: the duration of a step of the batch, the prompt
# tokens that are processed per ms, and the tokens in one event of an answer.
STEP_MS = 3.09
PROMPT_TOKENS_PER_MS = 61.8
TOKENS_PER_EVENT = 6
# The data sheet says "a step takes 3.09 ms and more"; this is the time that
# each request in the batch adds.
STEP_MS_PER_REQUEST = 0.12
CONNECT_MS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFigures:
    """What the users' data sheets tell of their engines."""

    step_ms: float = STEP_MS
    prompt_tokens_per_ms: float = PROMPT_TOKENS_PER_MS
    tokens_per_event: int = TOKENS_PER_EVENT
    # Requests that wait for a slot; further ones are rejected.
    max_waiting: int = 1_000_000


NOMINAL = EngineFigures()


@dataclasses.dataclass(eq=False, slots=True)
class _Job:
    prompt_tokens: int
    events: int
    # Unread output: True for an event, False when the engine crashed.
    unread: deque[bool] = dataclasses.field(default_factory=deque)
    output_changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    produced_tokens: int = 0
    is_cancelled: bool = False

    def push(self, is_event: bool) -> None:
        """Adds to the unread output and wakes the reader."""
        self.unread.append(is_event)
        self.output_changed.set()


class ReplayEngine:
    """An engine that admits requests in order of arrival to one batch."""

    def __init__(
        self,
        slots: int,
        step_time_factor: float,
        figures: EngineFigures = NOMINAL,
    ):
        self._slots = slots
        self._figures = figures
        self._rng = random.Random(slots)
        self.step_time_factor = step_time_factor
        self.is_down = False
        # Fraction of the requests that break as they are admitted.
        self.failing_share = 0.0
        # Tokens that were produced.
        self.produced_tokens = 0
        self._waiting: deque[_Job] = deque()
        self._batch: list[_Job] = []
        self._arrived = anyio.Event()

    @property
    def in_flight(self) -> int:
        """Requests that run or wait here."""
        return len(self._waiting) + len(self._batch)

    @property
    def is_full(self) -> bool:
        """Whether a request would be rejected."""
        jobs = (*self._waiting, *self._batch)
        running = sum(not job.is_cancelled for job in jobs)
        return running >= self._slots + self._figures.max_waiting

    def submit(self, job: _Job) -> None:
        """Queues a request."""
        self._waiting.append(job)
        self._arrived.set()

    def crash(self) -> None:
        """Breaks all requests; refuses new ones until `is_down` is reset."""
        self.is_down = True
        for job in (*self._waiting, *self._batch):
            job.push(False)
        self._waiting.clear()
        self._batch.clear()

    async def run(self) -> None:
        """Runs steps until cancelled."""
        per_event = self._figures.tokens_per_event
        while True:
            self._batch = [job for job in self._batch if not job.is_cancelled]
            elapsed_ms = self._admit()
            if not self._batch:
                self._arrived = anyio.Event()
                if not self._waiting:
                    await self._arrived.wait()
                continue
            elapsed_ms += self._figures.step_ms
            elapsed_ms += STEP_MS_PER_REQUEST * len(self._batch)
            await anyio.sleep(elapsed_ms * self.step_time_factor / 1_000)
            self.produced_tokens += len(self._batch)
            for job in self._batch:
                job.produced_tokens += 1
                if job.produced_tokens % per_event == 0:
                    job.push(True)
            self._batch = [
                job
                for job in self._batch
                if job.produced_tokens < job.events * per_event
            ]

    def _admit(self) -> float:
        """Fills the batch; returns the time to process the new prompts."""
        prefill_ms = 0.0
        per_ms = self._figures.prompt_tokens_per_ms
        while self._waiting and len(self._batch) < self._slots:
            job = self._waiting.popleft()
            if self.failing_share and self._rng.random() < self.failing_share:
                job.push(False)
            elif not job.is_cancelled:
                prefill_ms += job.prompt_tokens / per_ms
                self._batch.append(job)
        return prefill_ms


class _Answer:
    """The stream of events that answers one send."""

    event_header = ""

    def __init__(self, job: _Job, first_event_id: int):
        self._job = job
        self._first_event_id = first_event_id
        self.head = AnswerHead(200, ())
        self.is_event_stream = True

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields one event at a time, and an error if the engine crashes."""
        job = self._job
        for event_id in range(
            self._first_event_id, self._first_event_id + job.events
        ):
            if not await wait_for_event(job):
                yield Err(CallError(CallFailure.BROKEN, True, "crashed"))
                return
            yield Ok(b"id: %d\ndata: x\n\n" % event_id)


async def wait_for_event(job: _Job) -> bool:
    """Waits for the next event; returns False if the engine crashed."""
    while not job.unread:
        job.output_changed = anyio.Event()
        await job.output_changed.wait()
    return job.unread.popleft()


class ReplayClient:
    """Target client that sends to the engines of one replay."""

    def __init__(
        self,
        engines: dict[str, ReplayEngine],
        count_events: Callable[[str], int],
        tokens_per_event: int = TOKENS_PER_EVENT,
    ):
        """Creates a client.

        Args:
            engines: engines by the name of their target.
            count_events: returns how many events the answer to an attempt has.
            tokens_per_event: tokens in one event.
        """
        self._tokens_per_event = tokens_per_event
        # Requests that reached a full engine.
        self.rejections = 0
        self._engines = engines
        self._count_events = count_events

    async def read_report(
        self, target: EdgeTarget, timeout_ms: int
    ) -> Result[TargetReport, CallError]:
        """Returns the listed start, as no engine restarts."""
        return Ok(TargetReport(target.started_at_ms or None))

    async def list_prompt_parts(
        self, target: EdgeTarget, timeout_ms: int
    ) -> Mapping[str, int] | None:
        """Returns None: these engines tell nothing of their prompts."""
        return None

    @contextlib.asynccontextmanager
    async def open(
        self, send: TargetSend, gate: Callable[[], bool]
    ) -> AsyncIterator[Reply]:
        """Submits a request to its engine and yields the answer stream."""
        engine = self._engines[send.target.name]
        await anyio.sleep(CONNECT_MS / 1_000)
        if engine.is_down:
            yield CallError(CallFailure.REFUSED, False, "down")
            return
        if not gate():
            yield CallError(CallFailure.GATE, False)
            return
        if engine.is_full:
            self.rejections += 1
            yield Rejection.UNAVAILABLE
            return
        received_events = int(send.last_event_id or 0)
        remaining_events = max(
            1, self._count_events(send.call.attempt) - received_events
        )
        prompt_tokens = send.call.prompt_tokens or 0
        job = _Job(
            math.ceil(prompt_tokens + received_events * self._tokens_per_event),
            remaining_events,
        )
        engine.submit(job)
        try:
            yield _Answer(job, received_events + 1)
        finally:
            job.is_cancelled = True
