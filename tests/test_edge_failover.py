"""Tests of requests that leave a silent target, and of those that stay."""

import contextlib
import dataclasses
import unittest
from collections.abc import AsyncIterator, Callable
from unittest import mock

import anyio
from result import Ok, Result

from peridotbend.domain.events import Event
from peridotbend.domain.ports import CallError
from peridotbend.domain.verdicts import MayHaveRun, Reason
from peridotbend.edge.config import EdgeConfig
from peridotbend.edge.failover import BEGIN_AGAIN_MS, MAX_OVERLAP_MS
from peridotbend.edge.ports import (
    AnswerBrokenError,
    Rejection,
    Reply,
    TargetSend,
)
from tests.edgefakes import (
    CALL,
    CONFIG,
    RecordingResponder,
    RelayHarness,
    ScriptedAnswer,
    ScriptedReply,
    ScriptedTargetClient,
    make_event,
    make_target,
)

# Longer than a target may be silent whose streams another one can take.
SILENCE_MS = 900
# The same for a target that has not sent an event.
NO_EVENT_MS = 2_200
# For how long the rules let two targets work on a stream.
ALLOWED_OVERLAP_MS = 400
WAIT_TIMEOUT_S = 20.0
FIRST, SECOND, THIRD = (make_event(number) for number in (1, 2, 3))


class HeldAnswer(ScriptedAnswer):
    """An answer whose second part waits for the test."""

    def __init__(self, reply: ScriptedReply, target: str, goes_on: anyio.Event):
        super().__init__(reply, target)
        self._goes_on = goes_on

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the first part, and the others once the test says so."""
        is_first = True
        async for chunk in super().chunks():
            if not is_first or not self._reply.chunks:
                await self._goes_on.wait()
            is_first = False
            yield chunk


class QueueingClient(ScriptedTargetClient):
    """Targets of which the first is silent, and the next ones may queue."""

    def __init__(self, *replies: ScriptedReply, queued: int):
        super().__init__(*replies)
        # Sends after the first that wait before their answer begins.
        self._queued = queued
        self.goes_on = anyio.Event()
        self.has_room = anyio.Event()
        # Set once the first send has a connection.
        self.may_write = anyio.Event()
        self.may_write.set()
        self.closed: list[str] = []

    def make_answer(self, reply: ScriptedReply, target: str) -> ScriptedAnswer:
        """Returns an answer that pauses if it is that of the first send."""
        if len(self.sends) == 1:
            return HeldAnswer(reply, target, self.goes_on)
        return super().make_answer(reply, target)

    @contextlib.asynccontextmanager
    async def _answer(
        self, send: TargetSend, gate: Callable[[], bool]
    ) -> AsyncIterator[Reply]:
        if len(self.sends) == 1:
            await self.may_write.wait()
        async with super()._answer(send, gate) as reply:
            yield reply

    @contextlib.asynccontextmanager
    async def open(
        self, send: TargetSend, gate: Callable[[], bool]
    ) -> AsyncIterator[Reply]:
        """Returns the next reply, once the target has room."""
        must_wait = 0 < len(self.sends) <= self._queued
        try:
            async with super().open(send, gate) as reply:
                if must_wait:
                    await self.has_room.wait()
                yield reply
        finally:
            self.closed.append(send.target.name)


class FailoverHarness(RelayHarness):
    """A relay whose first target falls silent after an event."""

    def __init__(
        self,
        *replies: ScriptedReply,
        queued: int = 0,
        config: EdgeConfig = CONFIG,
    ):
        self.queueing_client = QueueingClient(*replies, queued=queued)
        super().__init__(client=self.queueing_client, config=config)
        self.client = self.queueing_client
        self.responder = RecordingResponder()
        self.is_broken = False

    async def serve_call(self) -> None:
        """Serves the call of the test."""
        try:
            await self.relay.serve(CALL, self.responder)
        except AnswerBrokenError:
            self.is_broken = True

    async def be_silent(self, silence_ms: int = SILENCE_MS) -> None:
        """Lets time pass in which no target sends anything."""
        await anyio.sleep(0.01)
        for _ in range(silence_ms // 50):
            self.clock.advance(50)
            self.stall_detector.check()
            await anyio.sleep(0.001)
        await anyio.sleep(0.01)

    def count_places(self) -> int:
        """Returns the places that are taken at the targets."""
        return sum(self.occupancy.own.values())


class UnwrittenSendTest(unittest.TestCase):
    """First sends that are still without a connection."""

    def _be_silent_and_write(self, harness: FailoverHarness) -> None:
        """Lets the first send write after another target was asked."""
        harness.queueing_client.may_write = anyio.Event()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent(NO_EVENT_MS)
                assert len(harness.client.written_sends) == 1
                harness.queueing_client.may_write.set()
                await anyio.sleep(0.01)
                harness.queueing_client.has_room.set()
                await anyio.sleep(0.01)
                harness.relay.end_all()

        anyio.run(run)

    def test_rejection_does_not_hide_a_run_that_began_meanwhile(self) -> None:
        """Guards against "not run" for a request that runs at its target."""
        harness = FailoverHarness(
            ScriptedReply(failure=Rejection.UNAVAILABLE),
            ScriptedReply(hangs=True),
            queued=1,
        )
        self._be_silent_and_write(harness)
        assert harness.responder.verdict == MayHaveRun(Reason.TARGET_TIMEOUT)

    def test_both_sends_keep_to_the_attempts_of_the_route(self) -> None:
        """Guards against more targets than the route allows."""
        route = dataclasses.replace(CONFIG.routes[0], max_attempts=1)
        config = dataclasses.replace(CONFIG, routes=(route,))
        harness = FailoverHarness(
            ScriptedReply(hangs=True),
            ScriptedReply(hangs=True),
            queued=1,
            config=config,
        )
        self._be_silent_and_write(harness)
        assert len(harness.client.written_sends) == 1


class SilentTargetTest(unittest.TestCase):
    """Streams at a target that sends nothing for a while."""

    def test_stream_stays_until_another_target_answers(self) -> None:
        """Guards against streams that are cut while they wait in a queue.

        Seen as LOST: a stream left a runner that was silent for a second, for
        the queue of a full one, and was cut there as its instance stopped.
        """
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, SECOND)),
            ScriptedReply(chunks=(SECOND,)),
            queued=1,
        )

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                harness.queueing_client.goes_on.set()
                await anyio.sleep(0.02)
                harness.relay.end_all()

        anyio.run(run)
        assert harness.responder.is_complete
        assert harness.responder.body == FIRST + SECOND
        assert len(harness.client.sends) == 2
        assert len(harness.queueing_client.closed) == 2
        assert harness.count_places() == 0

    def test_first_run_ends_as_the_next_one_answers(self) -> None:
        """Guards against two targets that work on one stream.

        The rule allows 400 ms; no time may pass with two runs that answer.
        """
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST,), hangs=True),
            ScriptedReply(chunks=(SECOND, THIRD), gap_s=0.01),
            queued=1,
        )

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                assert harness.client.open_count == 2
                harness.queueing_client.has_room.set()
                await anyio.sleep(0.005)
                assert harness.client.open_count == 1

        anyio.run(run)
        assert harness.responder.body == FIRST + SECOND + THIRD
        assert harness.responder.is_complete
        assert harness.count_places() == 0

    def test_first_run_ends_soon_after_the_head_of_the_next_one(self) -> None:
        """Guards against two targets that work on one stream for long.

        The rule allows 400 ms, also if the next target sends only a head.
        """
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST,), hangs=True),
            ScriptedReply(hangs=True),
        )

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    while harness.client.open_count != 1:
                        await anyio.sleep(0.01)
                first = harness.client.sends[0].target.name
                assert harness.queueing_client.closed == [first]
                harness.relay.end_all()

        assert MAX_OVERLAP_MS < ALLOWED_OVERLAP_MS
        anyio.run(run)

    def test_queued_send_ends_as_the_silent_target_goes_on(self) -> None:
        """Guards against a second run beside a first one that goes on."""
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, SECOND, THIRD), gap_s=0.01),
            ScriptedReply(chunks=(SECOND,)),
            queued=1,
        )

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                assert harness.client.open_count == 2
                harness.queueing_client.goes_on.set()
                await anyio.sleep(0.005)
                assert harness.client.open_count == 1

        anyio.run(run)
        assert harness.responder.body == FIRST + SECOND + THIRD
        ended = [f for e, f in harness.log.events if e is Event.FAILOVER_ENDED]
        assert [f["outcome"] for f in ended] == ["abandoned"]
        assert harness.log.count(Event.SEND_STALLED) == 0

    def test_stream_stays_when_another_instance_took_its_place(self) -> None:
        """Guards against a cut after a rejection that ran nothing.

        The counts of other instances are old, so that a place that was free
        may be taken. The first target goes on meanwhile.
        """
        full = ScriptedReply(failure=Rejection.UNAVAILABLE)
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, SECOND)), *[full] * 8
        )

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                assert harness.log.count(Event.TARGET_REJECTED) > 0
                harness.queueing_client.goes_on.set()

        anyio.run(run)
        assert harness.responder.body == FIRST + SECOND
        assert harness.responder.is_complete
        names = [send.target.name for send in harness.client.sends]
        assert names.count(names[0]) == 1, names
        # The rejections are no sends.
        assert len(set(names)) == 3, names
        assert harness.count_places() == 0

    def test_stream_that_breaks_goes_on_at_the_target_that_was_asked(
        self,
    ) -> None:
        """Guards against a third send while the second may yet be answered."""
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, b""), breaks_connection=True),
            ScriptedReply(chunks=(SECOND, THIRD)),
            queued=1,
        )

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                harness.queueing_client.goes_on.set()
                await anyio.sleep(0.01)
                assert harness.log.count(Event.TARGET_CALL_FAILED) == 1
                harness.queueing_client.has_room.set()

        anyio.run(run)
        assert harness.responder.body == FIRST + SECOND + THIRD
        assert harness.responder.is_complete
        assert len(harness.client.sends) == 2

    def test_doubt_that_arises_while_a_target_is_asked_keeps_the_stream(
        self,
    ) -> None:
        """Guards against a rest that follows a begin of nobody knows whom."""
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, SECOND)),
            ScriptedReply(chunks=(SECOND,)),
            queued=1,
        )

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                assert harness.client.open_count == 2
                with mock.patch.object(
                    harness.origins, "is_certain", return_value=False
                ):
                    harness.queueing_client.has_room.set()
                    await anyio.sleep(0.01)
                assert harness.client.open_count == 1
                harness.queueing_client.goes_on.set()

        anyio.run(run)
        assert harness.responder.body == FIRST + SECOND
        assert harness.responder.is_complete
        assert harness.log.count(Event.SEND_STALLED) == 0

    def test_end_of_the_grace_period_is_named_as_the_reason(self) -> None:
        """Guards against taking the cut of a stop for a silent target."""
        harness = FailoverHarness(ScriptedReply(chunks=(FIRST,), hangs=True))

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await anyio.sleep(0.01)
                harness.relay.note_drain()
                harness.relay.end_all()

        anyio.run(run)
        events = harness.log.events
        (fields,) = (f for event, f in events if event is Event.ANSWER_BROKEN)
        assert fields["reason"] is Reason.DRAINING, fields
        assert fields["phase"] == "target", fields

    def test_proof_that_comes_after_the_time_of_callers_moves_nothing(
        self,
    ) -> None:
        """Guards against a rest of another version after a long silence.

        Seen in test_first_process_of_a_release_that_stalls_does_not_join: the
        stream stayed until an old entry seemed to prove who had begun it.
        """
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST,), hangs=True),
            ScriptedReply(chunks=(SECOND,)),
        )
        timeout_ms = CONFIG.routes[0].caller_timeout_ms

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                with mock.patch.object(
                    harness.origins, "is_certain", return_value=False
                ):
                    await harness.be_silent(timeout_ms + 100)
                await harness.be_silent(200)
                harness.relay.end_all()

        anyio.run(run)
        assert harness.is_broken
        assert len(harness.client.sends) == 1

    def test_third_target_is_asked_if_the_second_is_silent_too(self) -> None:
        """Guards against waiting for one silent target after another."""
        objective_ms = 20
        route = dataclasses.replace(
            CONFIG.routes[0], max_attempts=3, objective_ms=objective_ms
        )
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST,), hangs=True),
            ScriptedReply(chunks=(SECOND,)),
            ScriptedReply(chunks=(SECOND, THIRD)),
            queued=1,
            config=dataclasses.replace(CONFIG, routes=(route,)),
        )

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                await anyio.sleep(4 * objective_ms / 1_000)
                harness.clock.advance(BEGIN_AGAIN_MS)
                harness.stall_detector.check()

        anyio.run(run)
        assert harness.responder.body == FIRST + SECOND + THIRD
        assert harness.responder.is_complete
        assert len({s.target.name for s in harness.client.sends}) == 3

    def test_stream_whose_origin_is_not_known_stays(self) -> None:
        """Guards against leaving a target for a stream that can't go on.

        Seen in review/4: ten streams were cut at a runner that was silent for
        1.1 s, as nothing told which of its processes had begun them.
        """
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, SECOND)),
            ScriptedReply(chunks=(SECOND,)),
        )
        for name in ("i-1", "i-2", "i-3"):
            target = dataclasses.replace(make_target(name), started_at_ms=7_000)
            harness.targets.put(target)
            harness.client.starts[name] = Ok(None)
        harness.client.connected_at_ms = harness.clock.now_ms()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent(1_200)
                harness.queueing_client.goes_on.set()

        anyio.run(run)
        assert not harness.is_broken
        assert harness.responder.is_complete
        assert harness.responder.body == FIRST + SECOND
        assert len(harness.client.sends) == 1
