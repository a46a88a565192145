"""Tests of answers in which a sound target, or the caller, pauses."""

import dataclasses
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.lowlevel
from result import Ok, Result

from peridotbend.domain.events import Event
from peridotbend.domain.ports import CallError
from peridotbend.edge.delivery import MAX_HELD_BYTES
from peridotbend.edge.ports import EdgeCall
from tests.edgefakes import (
    CALL,
    RecordingResponder,
    RelayHarness,
    ScriptedAnswer,
    ScriptedReply,
    ScriptedTargetClient,
    make_event,
)

LOOKUP = dataclasses.replace(
    CALL, method="GET", path="/lookups/7", body=b"", prompt_tokens=None
)
# More than is held back, so that the caller has read a part.
LARGE_PART = b"s" * (MAX_HELD_BYTES + 1)
REST = b"rest"
# Longer than a silent target is waited for where another one can go on.
SILENCE_MS = 2_000
WAIT_TIMEOUT_S = 20.0

Step = Callable[[], Awaitable[None]]


class PausedAnswer(ScriptedAnswer):
    """An answer of two parts with a step of the test between them."""

    def __init__(self, reply: ScriptedReply, target: str, pause: Step):
        super().__init__(reply, target)
        self._pause = pause

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the parts; takes the step before each but the first."""
        for number, part in enumerate(self._reply.chunks):
            if number:
                await self._pause()
            yield Ok(part)


class PausedTargetClient(ScriptedTargetClient):
    """A client whose targets pause inside their answers."""

    def __init__(self, *replies: ScriptedReply):
        super().__init__(*replies)
        self.pause: Step = anyio.lowlevel.checkpoint

    def make_answer(self, reply: ScriptedReply, target: str) -> ScriptedAnswer:
        """Returns an answer that pauses."""
        return PausedAnswer(reply, target, lambda: self.pause())


class SlowResponder(RecordingResponder):
    """A caller that takes its answer only after a step of the test."""

    def __init__(self, read: Step):
        super().__init__()
        self._read = read

    async def send(self, data: bytes) -> None:
        """Records a part of the body."""
        await super().send(data)
        await self._read()

    async def finish(self) -> None:
        """Records the end once everything before it has been read."""
        await self._read()
        await super().finish()


def _make_harness(*replies: ScriptedReply) -> RelayHarness:
    client = PausedTargetClient(*replies)
    harness = RelayHarness(client=client)
    harness.client = client

    async def pause() -> None:
        await _stall(harness)

    client.pause = pause
    return harness


async def _stall(harness: RelayHarness) -> None:
    """Lets time pass without data, while sends are watched for stalls."""
    for _ in range(10):
        harness.clock.advance(SILENCE_MS // 10)
        harness.stall_detector.check()
        await anyio.sleep(0)


def _serve(
    harness: RelayHarness,
    call: EdgeCall,
    responder: RecordingResponder | None = None,
) -> RecordingResponder:
    used = responder or RecordingResponder()

    async def run() -> None:
        with anyio.fail_after(WAIT_TIMEOUT_S):
            await harness.relay.serve(call, used)

    anyio.run(run)
    return used


class SilentTargetTest(unittest.TestCase):
    """Sound targets that pause inside an answer."""

    def test_pause_in_an_answer_that_was_partly_read_does_not_cut_it(
        self,
    ) -> None:
        """Guards against leaving a target whose answer no other continues.

        Seen in review/5: the answer of a runner that was silent for 0.8 s was
        cut, or, without a length, joined with the whole answer of another run.
        """
        for call, status in ((LOOKUP, 200), (LOOKUP, 500), (CALL, 500)):
            with self.subTest(path=call.path, status=status):
                reply = ScriptedReply(
                    status=status,
                    chunks=(LARGE_PART, REST),
                    is_event_stream=False,
                )
                other = dataclasses.replace(reply, chunks=(b"of another run",))
                harness = _make_harness(reply, other)
                responder = _serve(harness, call)
                assert responder.is_complete
                assert responder.body == LARGE_PART + REST
                assert len(harness.client.sends) == 1
                assert harness.log.count(Event.SEND_STALLED) == 0


class SlowCallerTest(unittest.TestCase):
    """Callers that take their answer more slowly than it comes."""

    def test_end_of_a_stream_waits_for_a_slow_caller(self) -> None:
        """Guards against sending a whole stream again while it is read.

        Its target has sent all, so that it is silent.
        """
        stream = ScriptedReply(chunks=(make_event(1),))
        harness = _make_harness(stream, ScriptedReply(chunks=()))
        responder = SlowResponder(lambda: _stall(harness))
        _serve(harness, CALL, responder)
        assert responder.is_complete
        assert len(harness.client.sends) == 1

    def test_time_of_a_slow_caller_is_no_silence_of_its_target(self) -> None:
        """Guards against leaving a target as soon as its caller has read on."""
        stream = ScriptedReply(chunks=(make_event(1), make_event(2)))
        harness = _make_harness(stream, ScriptedReply(chunks=()))

        async def check_after_reading() -> None:
            harness.stall_detector.check()
            await anyio.sleep(0)

        harness.client.pause = check_after_reading
        responder = SlowResponder(lambda: _stall(harness))
        _serve(harness, CALL, responder)
        assert responder.body == make_event(1) + make_event(2)
        assert len(harness.client.sends) == 1
