"""Targets of a simulated fleet that record every request they run."""

import asyncio
import contextlib
import dataclasses
import json
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
    Headers,
    TargetAnswer,
    TargetCall,
)
from peridotbend.domain.text import Target
from tests.simloop import SimProcess

if TYPE_CHECKING:
    from tests.fakes import World

# Behaviours that a test can queue at a target, each for one request.
REQUEST_BEHAVIOURS = (
    "refuse",
    "die-before",
    "die-unanswered",
    "die-midway",
    "die-in-order",
    "break",
    "hang",
    "too-large",
    "slow",
)
# The answer has neither a length nor chunks, and its connection ends within it.
UNDELIMITED_BEHAVIOURS = ("end", "end-between", "die-in-order")
CRASH_MARKER = b"crash"
FIRST_CHUNK_MS = 120
CHUNK_INTERVAL_MS = 30
CHUNK_BYTES = 37
CONNECT_MS = 2
# Exceeds the deadline of every request kind.
SLOW_ANSWER_MS = 8_000


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """One request as a target received it."""

    token: str
    uid: str
    target: str
    node: str
    at_ms: int
    path: str


@dataclasses.dataclass(slots=True)
class _Stream:
    """An answer being generated; time determines how much of it exists."""

    head: AnswerHead
    answer: bytes
    started_ms: int
    incarnation: int
    behaviour: str


@dataclasses.dataclass(frozen=True, slots=True)
class ScriptedAnswer:
    """An answer that a target gives to one call instead of its own."""

    head: AnswerHead
    chunks: tuple[bytes, ...] = ()
    # Whether the connection breaks after the chunks.
    breaks: bool = False
    # Whether the target dies after the chunks, and the kernel closes its
    # connections in order.
    dies: bool = False
    # What the run of the request gives in all, if it gives anything.
    whole: bytes | None = None


class _ScriptedTargetAnswer:
    """A scripted answer as read over one connection."""

    def __init__(self, answer: ScriptedAnswer, fake: "FakeTarget"):
        self.head = answer.head
        self._answer = answer
        self._fake = fake

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the chunks."""
        for chunk in self._answer.chunks:
            await asyncio.sleep(CHUNK_INTERVAL_MS / 1_000)
            yield Ok(chunk)
        if self._answer.dies:
            self._fake.stop()
        if self._answer.breaks:
            yield Err(CallError(CallFailure.BROKEN, True, "broken"))


class FakeTarget:
    """A back end that runs what it receives and can be stopped."""

    def __init__(self, name: str, zone: str, is_model: bool):
        self.name = name
        self.zone = zone
        self.is_model = is_model
        self.up = True
        self.leaving = False
        self.incarnation = 1
        self.behaviours: deque[str] = deque()
        # Answers to the next calls, also to those that resume a stream.
        self.scripted: deque[ScriptedAnswer] = deque()
        self.streams: dict[str, _Stream] = {}
        # Tokens of the streams that this process was told to cancel.
        self.cancelled: list[str] = []

    def stop(self) -> None:
        """Stops abruptly and loses all requests in progress."""
        self.up = False
        self.streams.clear()

    def restart(self) -> None:
        """Restarts as a new process with a new incarnation."""
        self.stop()
        self.up = True
        self.leaving = False
        self.incarnation += 1
        self.cancelled.clear()

    def start_stream(self, token: str, behaviour: str, now_ms: int) -> _Stream:
        """Starts an answer, whose bytes depend on the request alone."""
        if self.is_model:
            events = [f"id: {n}\ndata: {token[:9]} {n}\n\n" for n in range(6)]
            body = "".join(events) + "data: [DONE]\n\n"
            headers: Headers = (
                ("content-type", "text/event-stream"),
                ("engine-stream", token),
            )
        else:
            body = f'{{"order": "{token}", "state": "done"}}'
            headers = (("content-type", "application/json"),)
        answer = body.encode()
        if behaviour == "too-large":
            answer = b"id: 9\ndata: " + b"x" * 9_000 + b"\n\n"
        is_delimited = behaviour not in UNDELIMITED_BEHAVIOURS
        head = AnswerHead(200, headers, is_delimited)
        stream = _Stream(head, answer, now_ms, self.incarnation, behaviour)
        self.streams[token] = stream
        return stream


class _FakeAnswer:
    """An answer as read over one connection."""

    def __init__(
        self,
        client: "FakeTargetClient",
        fake: FakeTarget,
        stream: _Stream,
        offset: int,
        until_ms: int,
    ):
        self._client = client
        self._fake = fake
        self._stream = stream
        self._offset = offset
        self._until_ms = until_ms
        self.head = stream.head

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields each chunk once it has been generated."""
        stream = self._stream
        for at in range(self._offset, len(stream.answer), CHUNK_BYTES):
            ready_ms = (
                stream.started_ms
                + FIRST_CHUNK_MS
                + CHUNK_INTERVAL_MS * (at // CHUNK_BYTES)
            )
            error = await self._client.wait(
                self._fake, stream, ready_ms, self._until_ms
            )
            is_past_middle = at >= len(stream.answer) // 2
            if stream.behaviour == "die-midway" and is_past_middle:
                self._fake.stop()
                error = CallError(CallFailure.BROKEN, True, "died")
            if stream.behaviour == "die-in-order" and is_past_middle:
                self._fake.stop()
                return
            if stream.behaviour == "end" and is_past_middle:
                stream.behaviour = ""
                return
            if stream.behaviour == "end-between" and is_past_middle:
                stream.behaviour = ""
                end = stream.answer.index(b"\n\n", at) + 2
                yield Ok(stream.answer[at:end])
                return
            if stream.behaviour == "break" and is_past_middle:
                stream.behaviour = ""
                error = CallError(CallFailure.BROKEN, True, "broken")
            if error is not None:
                yield Err(error)
                return
            yield Ok(stream.answer[at : at + CHUNK_BYTES])


class FakeTargetClient:
    """TargetClient of one simulated process for the targets of the fleet."""

    def __init__(self, world: "World", process: SimProcess):
        self._world = world
        self._process = process

    async def aclose(self) -> None:
        """Does nothing: there are no connections to close."""

    async def wait(
        self, fake: FakeTarget, stream: _Stream, ready_ms: int, until_ms: int
    ) -> CallError | None:
        """Waits for generated bytes, a stop of the target or the timeout."""
        clock = self._world.clock
        while clock.now_ms() < ready_ms or not self._is_linked(fake):
            if clock.now_ms() >= until_ms:
                return CallError(CallFailure.TIMEOUT, True, "no answer")
            if not self._is_still_generating(fake, stream):
                break
            await asyncio.sleep(0.02)
        if not self._is_still_generating(fake, stream):
            return CallError(CallFailure.BROKEN, True, "reset by the target")
        return None

    @contextlib.asynccontextmanager
    async def open(
        self, target: Target, call: TargetCall, gate: Callable[[], bool]
    ) -> AsyncIterator[Result[TargetAnswer, CallError]]:
        """Sends a call and waits for the response head."""
        fake = self._world.targets[target.name]
        until_ms = self._world.clock.now_ms() + call.timeout_ms
        await asyncio.sleep(CONNECT_MS / 1_000)
        if call.path == "/v1/load":
            self._world.counts["load calls"] += 1
            yield self._report_load(fake)
            return
        if call.path.startswith("/v1/streams/"):
            yield self._resume(fake, call, until_ms)
            return
        behaviour = fake.behaviours.popleft() if fake.behaviours else ""
        if not self._is_linked(fake):
            await asyncio.sleep(1.0)
            yield Err(CallError(CallFailure.CONNECT, False, "timeout"))
            return
        if behaviour == "die-before":
            fake.stop()
        if not fake.up or behaviour == "refuse":
            yield Err(CallError(CallFailure.CONNECT, False, "refused"))
            return
        if not gate():
            yield Err(CallError(CallFailure.GATE, False, "gate"))
            return
        token = dict(call.headers)["Idempotency-Key"]
        self._record_run(fake, call, token)
        stream = fake.start_stream(token, behaviour, self._world.clock.now_ms())
        self._world.answers[token] = stream.answer
        error = await self._wait_for_head(fake, call, stream, until_ms)
        if error is not None:
            yield Err(error)
        elif fake.scripted:
            answer = fake.scripted.popleft()
            if answer.whole is not None:
                self._world.answers[token] = answer.whole
            yield Ok(_ScriptedTargetAnswer(answer, fake))
        else:
            yield Ok(_FakeAnswer(self, fake, stream, 0, until_ms))

    async def check_listening(self, target: Target) -> CallError | None:
        """Connects to a target, and returns why that failed, if it did."""
        fake = self._world.targets[target.name]
        self._world.counts["checks"] += 1
        await asyncio.sleep(CONNECT_MS / 1_000)
        if not self._is_linked(fake):
            await asyncio.sleep(1.0)
            return CallError(CallFailure.CONNECT, False, "timeout")
        if not fake.up:
            return CallError(CallFailure.REFUSED, False, "refused")
        return None

    async def _wait_for_head(
        self, fake: FakeTarget, call: TargetCall, stream: _Stream, until_ms: int
    ) -> CallError | None:
        if CRASH_MARKER in call.body or stream.behaviour == "die-unanswered":
            await asyncio.sleep(0.05)
            self._world.record_crash(fake, call.body)
            fake.stop()
            return CallError(CallFailure.BROKEN, True, "died")
        ready_ms = stream.started_ms + FIRST_CHUNK_MS
        if stream.behaviour == "slow":
            ready_ms += SLOW_ANSWER_MS
        if stream.behaviour == "hang":
            ready_ms = until_ms + 1
        return await self.wait(fake, stream, ready_ms, until_ms)

    def _report_load(self, fake: FakeTarget) -> Result[TargetAnswer, CallError]:
        if not fake.up or not self._is_linked(fake):
            return Err(CallError(CallFailure.CONNECT, False, "no report"))
        report = {
            "at_ms": 0,
            "running": 0,
            "waiting_tokens": 0,
            "incarnation": str(fake.incarnation),
        }
        answer = ScriptedAnswer(
            AnswerHead(200, ()), (json.dumps(report).encode(),)
        )
        return Ok(_ScriptedTargetAnswer(answer, fake))

    def _resume(
        self, fake: FakeTarget, call: TargetCall, until_ms: int
    ) -> Result[TargetAnswer, CallError]:
        token = call.path.rpartition("/")[2]
        if call.method == "DELETE":
            fake.cancelled.append(token)
            fake.streams.pop(token, None)
        elif fake.scripted:
            return Ok(_ScriptedTargetAnswer(fake.scripted.popleft(), fake))
        stream = fake.streams.get(token)
        if stream is None or not fake.up or not self._is_linked(fake):
            return Err(CallError(CallFailure.CONNECT, False, "no stream"))
        last_event = dict(call.headers)["Last-Event-ID"].encode()
        offset = 0
        if last_event:
            line = stream.answer.index(b"id: " + last_event + b"\n")
            offset = stream.answer.index(b"\n\n", line) + 2
        return Ok(_FakeAnswer(self, fake, stream, offset, until_ms))

    def _record_run(
        self, fake: FakeTarget, call: TargetCall, token: str
    ) -> None:
        uid = dict(call.headers).get("x-uid", "")
        now_ms = self._world.clock.now_ms()
        node = self._process.name
        run = ReceivedRequest(token, uid, fake.name, node, now_ms, call.path)
        self._world.record_run(run, fake, self._process)

    def _is_linked(self, fake: FakeTarget) -> bool:
        return self._world.is_zone_linked(
            self._world.zones[self._process.name], fake.zone
        )

    def _is_still_generating(self, fake: FakeTarget, stream: _Stream) -> bool:
        return fake.up and fake.incarnation == stream.incarnation
