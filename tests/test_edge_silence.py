"""Tests of answers in which a sound target, or the caller, pauses."""

import contextlib
import dataclasses
import functools
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from unittest import mock

import anyio
import anyio.lowlevel
from result import Ok, Result

from peridotbend.domain.events import Event
from peridotbend.domain.ports import CallError
from peridotbend.edge.delivery import MAX_HELD_BYTES
from peridotbend.edge.ports import EdgeCall, Reply, TargetSend
from peridotbend.edge.targets import EdgeTarget
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
# Longer than a silent target is waited for where another one can go on, and
# within the time limits of the routes.
STREAM_SILENCE_MS = 2_000
LOOKUP_SILENCE_MS = 500
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

    @contextlib.asynccontextmanager
    async def open(
        self, send: TargetSend, gate: Callable[[], bool]
    ) -> AsyncIterator[Reply]:
        """Returns the next reply; waits while its connection is closed."""
        async with super().open(send, gate) as reply:
            yield reply
        await anyio.lowlevel.checkpoint()

    def make_answer(self, reply: ScriptedReply, target: str) -> ScriptedAnswer:
        """Returns an answer that pauses."""
        return PausedAnswer(reply, target, lambda: self.pause())


class PausedHarness(RelayHarness):
    """A relay with targets that pause inside their answers."""

    def __init__(self, *replies: ScriptedReply):
        self.paused_client = PausedTargetClient(*replies)
        super().__init__(client=self.paused_client)
        self.client = self.paused_client

    def pass_time(self, call: EdgeCall) -> None:
        """Lets time pass without data, while sends are watched for stalls."""
        is_lookup = call is LOOKUP
        silence_ms = LOOKUP_SILENCE_MS if is_lookup else STREAM_SILENCE_MS
        for _ in range(10):
            self.clock.advance(silence_ms // 10)
            self.stall_detector.check()

    async def leave(self, call: EdgeCall) -> None:
        """Waits until the target has been left, and no turn longer."""
        self.pass_time(call)
        if call is not CALL:
            return
        # Another target of a stream has to answer first.
        with anyio.CancelScope(shield=True), anyio.fail_after(WAIT_TIMEOUT_S):
            while not self.log.count(Event.FAILOVER_ENDED):
                await anyio.sleep(0)

    async def stall(self, call: EdgeCall = CALL) -> None:
        """Waits without data until a target that may be left has been left."""
        self.pass_time(call)
        await anyio.sleep(0)


async def read_at_once() -> None:
    """Takes no time, as a caller that keeps up."""


class SlowResponder(RecordingResponder):
    """A caller that takes its answer only after a step of the test."""

    def __init__(self, read: Step):
        super().__init__()
        self._read = read

    async def send(self, data: bytes) -> None:
        """Records a part of the body once that before it has been read."""
        await self._read()
        await super().send(data)

    async def finish(self) -> None:
        """Records the end once everything before it has been read."""
        assert not self.is_complete, "an answer ends twice"
        await self._read()
        await super().finish()


def _serve(
    harness: PausedHarness,
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
                harness = PausedHarness(reply, other)

                harness.paused_client.pause = functools.partial(
                    harness.stall, call
                )
                responder = _serve(harness, call)
                assert responder.is_complete
                assert responder.body == LARGE_PART + REST
                assert len(harness.client.sends) == 1
                assert harness.log.count(Event.SEND_STALLED) == 0

    def _serve_in_parts(self, part_bytes: int) -> PausedHarness:
        """Serves a lookup whose answer comes in seven parts, 100 ms apart."""
        reply = ScriptedReply(
            chunks=(b"s" * part_bytes,) * 7, is_event_stream=False
        )
        harness = PausedHarness(reply, reply)

        async def wait() -> None:
            harness.clock.advance(100)
            harness.stall_detector.check()
            await anyio.sleep(0)

        harness.paused_client.pause = wait
        responder = _serve(harness, LOOKUP)
        assert responder.body == b"".join(reply.chunks)
        return harness

    def test_large_answer_that_flows_stays_at_its_target(self) -> None:
        """Guards against running a request again while its answer flows.

        The second run begins with less time left, and is not left again.
        """
        assert len(self._serve_in_parts(32_768).client.sends) == 1

    def test_answer_that_drips_is_asked_of_another_target(self) -> None:
        """Guards against bytes now and then that count as progress."""
        assert len(self._serve_in_parts(1_024).client.sends) == 2

    def test_data_that_comes_as_the_target_is_left_is_not_passed_on(
        self,
    ) -> None:
        """Guards against passing on a part of a run that is being left.

        The rest of the answer would be cut, or an event lost.
        """
        for call, is_stream, parts, rest in (
            (LOOKUP, False, (b"start", LARGE_PART), (b"another",)),
            (LOOKUP, False, (LARGE_PART[:-1], b""), (b"another",)),
            (CALL, True, (make_event(1), make_event(2)), (make_event(2),)),
        ):
            with self.subTest(path=call.path, size=len(parts[0])):
                first = ScriptedReply(chunks=parts, is_event_stream=is_stream)
                second = dataclasses.replace(first, chunks=rest)
                harness = PausedHarness(first, second)

                harness.paused_client.pause = functools.partial(
                    harness.leave, call
                )
                responder = SlowResponder(anyio.lowlevel.checkpoint)
                _serve(harness, call, responder)
                assert responder.is_complete
                expected = b"".join(parts if is_stream else rest)
                assert responder.body == expected
                assert len(harness.client.sends) == 2

    def test_end_that_is_confirmed_as_the_target_is_left_is_no_end(
        self,
    ) -> None:
        """Guards against cutting an answer whose end had to be confirmed.

        The check for stalls came in the turn in which its target had answered.
        A stream that its caller had read to the end was sent again.
        """
        events = (make_event(1), make_event(2))
        for call, parts, rest, read in (
            (LOOKUP, (b"start",), (b"another",), anyio.lowlevel.checkpoint),
            (CALL, events, (make_event(3),), read_at_once),
        ):
            with self.subTest(path=call.path):
                first = ScriptedReply(
                    chunks=parts,
                    is_event_stream=call is CALL,
                    is_delimited=False,
                )
                second = dataclasses.replace(
                    first, chunks=rest, is_delimited=True
                )
                harness = PausedHarness(first, second)

                async def confirm(
                    target: EdgeTarget,
                    ended_at_ms: int,
                    connected_at_ms: int,
                    harness: PausedHarness = harness,
                    call: EdgeCall = call,
                ) -> bool:
                    del target, ended_at_ms, connected_at_ms
                    await harness.leave(call)
                    return True

                responder = SlowResponder(read)
                with mock.patch.object(harness.runs, "confirm_end", confirm):
                    _serve(harness, call, responder)
                assert responder.is_complete
                expected = rest if call is LOOKUP else (*parts, *rest)
                assert responder.body == b"".join(expected)
                assert len(harness.client.sends) == 2


class SlowCallerTest(unittest.TestCase):
    """Callers that take their answer more slowly than it comes."""

    def test_end_of_a_stream_waits_for_a_slow_caller(self) -> None:
        """Guards against sending a whole stream again while it is read.

        Its target has sent all, so that it is silent.
        """
        stream = ScriptedReply(chunks=(make_event(1),))
        harness = PausedHarness(stream, ScriptedReply(chunks=()))
        responder = SlowResponder(harness.stall)
        _serve(harness, CALL, responder)
        assert responder.is_complete
        assert len(harness.client.sends) == 1

    def test_time_of_a_slow_caller_is_no_silence_of_its_target(self) -> None:
        """Guards against leaving a target as soon as its caller has read on."""
        stream = ScriptedReply(chunks=(make_event(1), make_event(2)))
        harness = PausedHarness(stream, ScriptedReply(chunks=()))

        async def check_after_reading() -> None:
            harness.stall_detector.check()
            await anyio.sleep(0)

        harness.paused_client.pause = check_after_reading
        responder = SlowResponder(harness.stall)
        _serve(harness, CALL, responder)
        assert responder.body == make_event(1) + make_event(2)
        assert len(harness.client.sends) == 1
