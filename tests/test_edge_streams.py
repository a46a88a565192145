"""Tests of event streams that pass through a relay."""

import contextlib
import dataclasses
import functools
import unittest

import anyio

from peridotbend.domain.events import Event
from peridotbend.domain.ports import CallError, CallFailure
from peridotbend.domain.verdicts import MayHaveRun, Reason
from peridotbend.edge.ports import AnswerBrokenError, EdgeCall
from tests.edgefakes import (
    CALL,
    CONFIG,
    SETTINGS,
    RecordingResponder,
    RelayHarness,
    ScriptedReply,
    make_event,
    make_target,
)
from tests.test_edge_events import FOREIGN_BLOCKS

ORDER = dataclasses.replace(CALL, path="/orders/7", prompt_tokens=None)
LOOKUP = dataclasses.replace(
    CALL, method="GET", path="/lookups/7", body=b"", prompt_tokens=None
)
CONNECTION_RESET = CallError(CallFailure.BROKEN, True, "reset")
SUCCESS = ScriptedReply(chunks=(b"done",), is_event_stream=False)
SERVER_ERROR = ScriptedReply(
    status=500, chunks=(b"sorry",), is_event_stream=False
)


def _serve(harness: RelayHarness, call: EdgeCall = CALL) -> RecordingResponder:
    async def run() -> RecordingResponder:
        return await harness.serve(call)

    return anyio.run(run)


async def _serve_part(
    harness: RelayHarness, call: EdgeCall, responder: RecordingResponder
) -> None:
    with contextlib.suppress(AnswerBrokenError):
        await harness.relay.serve(call, responder)


def _fill_targets(harness: RelayHarness) -> None:
    """Takes all places of the service."""
    for name in ("i-1", "i-2", "i-3"):
        for _ in range(12):
            harness.occupancy.add(name)


class StreamTest(unittest.TestCase):
    """Failover and stalls of event streams."""

    def test_broken_stream_goes_on_at_another_target(self) -> None:
        """Guards against losing or repeating an event at the failover."""
        first = ScriptedReply(
            chunks=(make_event(1), make_event(2), b"id: 3\nda"),
            breaks_connection=True,
        )
        second = ScriptedReply(chunks=(make_event(3), make_event(4)))
        harness = RelayHarness(first, second)
        responder = _serve(harness)
        expected = b"".join(make_event(n) for n in (1, 2, 3, 4))
        assert responder.body == expected
        assert responder.is_complete
        assert harness.client.sends[1].last_event_id == "2"
        assert responder.head is not None
        # The caller keeps the head of the first run.
        first_name = harness.client.sends[0].target.name
        assert ("made-by", first_name) in responder.head.headers

    def test_stream_that_ends_inside_an_event_goes_on_elsewhere(self) -> None:
        """Guards against a part of an event that looks like the end.

        A stream without a length ends with its connection, also in a crash.
        """
        first = ScriptedReply(
            chunks=(make_event(1), b"id: 2\nda"), is_delimited=False
        )
        second = ScriptedReply(chunks=(make_event(2),))
        harness = RelayHarness(first, second)
        responder = _serve(harness)
        assert responder.body == make_event(1) + make_event(2)
        assert responder.is_complete
        assert harness.client.sends[1].last_event_id == "1"
        # The log tells which of the answers ended with its connection.
        fields = dict(harness.log.events)
        assert fields[Event.TARGET_CALL_FAILED]["delimited"] is False
        assert fields[Event.REQUEST_ENDED]["delimited"] is True

    def test_stream_that_ends_before_its_first_event_is_broken(self) -> None:
        """Guards against an empty answer after a crash."""
        first = ScriptedReply(is_delimited=False)
        harness = RelayHarness(first, ScriptedReply(chunks=(make_event(1),)))
        responder = _serve(harness)
        assert responder.body == make_event(1)
        # A target has nothing left to send after the last event. Only answers
        # with a length or chunks say so, and two have to.
        resumed = dataclasses.replace(CALL, last_event_id="12")
        done = RelayHarness(ScriptedReply(), ScriptedReply())
        assert _serve(done, resumed).is_complete
        assert len(done.client.written_sends) == 2
        route = dataclasses.replace(CONFIG.routes[0], max_attempts=3)
        asked_again = RelayHarness(
            ScriptedReply(is_delimited=False),
            ScriptedReply(),
            ScriptedReply(),
            config=dataclasses.replace(CONFIG, routes=(route,)),
        )
        assert _serve(asked_again, resumed).is_complete
        assert len(asked_again.client.written_sends) == 3

    def test_resumption_that_ends_before_an_event_is_broken(self) -> None:
        """Guards against a broken-off stream that is framed as complete.

        Without a length, an answer without events is no sign of an end.
        """
        first = ScriptedReply(
            chunks=(make_event(1), b"id: 2\nda"), is_delimited=False
        )
        empty = ScriptedReply(is_delimited=False)
        responder = RecordingResponder()

        async def run(harness: RelayHarness, call: EdgeCall) -> None:
            try:
                await harness.relay.serve(call, responder)
            except AnswerBrokenError:
                return

        anyio.run(run, RelayHarness(first, empty), CALL)
        assert responder.body == make_event(1)
        assert not responder.is_complete

    def test_last_event_id_of_the_caller_is_forwarded(self) -> None:
        """Guards against repeated events after a caller resumes.

        Seen in all test scenarios with a final fault: a caller that reconnected
        with its last event ID received the stream from the start.
        """
        harness = RelayHarness(ScriptedReply(chunks=(make_event(13),)))
        _serve(harness, dataclasses.replace(CALL, last_event_id="12"))
        assert harness.client.sends[0].last_event_id == "12"

    def test_error_as_an_event_stream_is_kept_out_of_a_stream(self) -> None:
        """Guards against the text of an error between the events."""
        first = ScriptedReply(chunks=(make_event(1),), breaks_connection=True)
        error = ScriptedReply(
            status=500, chunks=(b"data: the engine has failed\n\n",)
        )
        responder = RecordingResponder()

        async def run() -> None:
            with contextlib.suppress(AnswerBrokenError):
                await RelayHarness(first, error).relay.serve(CALL, responder)

        anyio.run(run)
        assert responder.body == make_event(1)
        assert not responder.is_complete

    def test_head_of_an_answer_inside_a_stream_ends_the_send(self) -> None:
        """Guards against the head of an error between the events.

        A body without a length takes in whatever the target writes next.
        """
        error_head = b"HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\n"
        for garbage in (error_head + b"no\n", b"id: 2\nda" + error_head):
            first = ScriptedReply(
                chunks=(make_event(1), garbage), is_delimited=False
            )
            second = ScriptedReply(chunks=(make_event(2),))
            harness = RelayHarness(first, second)
            responder = _serve(harness)
            assert responder.body == make_event(1) + make_event(2)
            assert harness.client.sends[1].last_event_id == "1"

    def test_foreign_bytes_end_the_send_and_the_stream_goes_on(self) -> None:
        """Guards against a piece that no run made, in a stream that goes on.

        Seen as ORDER: a target in trouble put lines without an ID into its
        streams, which callers got as a piece.
        """
        before = (make_event(1), make_event(2), make_event(3))
        rest = (make_event(4), make_event(5))
        for name, block in FOREIGN_BLOCKS.items():
            for is_delimited in (True, False):
                with self.subTest(block=name, is_delimited=is_delimited):
                    first = ScriptedReply(
                        chunks=(*before, block, *rest),
                        is_delimited=is_delimited,
                    )
                    harness = RelayHarness(first, ScriptedReply(chunks=rest))
                    responder = _serve(harness)
                    assert responder.body == b"".join((*before, *rest))
                    assert responder.is_complete
                    assert harness.client.sends[1].last_event_id == "3"
                    fields = dict(harness.log.events)
                    detail = str(fields[Event.TARGET_CALL_FAILED]["detail"])
                    assert detail.startswith("foreign bytes: ")
                    assert harness.meter.send_outcomes[0] == "foreign"

    def test_stream_does_not_begin_with_foreign_bytes(self) -> None:
        """Guards against an answer that begins with a piece of no run."""
        whole = (make_event(1), make_event(2))
        for name, block in FOREIGN_BLOCKS.items():
            with self.subTest(block=name):
                first = ScriptedReply(chunks=(block, *whole))
                harness = RelayHarness(first, ScriptedReply(chunks=whole))
                responder = _serve(harness)
                assert responder.body == b"".join(whole)
                assert harness.client.sends[1].last_event_id == ""

    def test_foreign_bytes_break_a_stream_that_cannot_resume(self) -> None:
        """Guards against foreign bytes in a stream that runs once."""
        route = dataclasses.replace(CONFIG.routes[0], can_resume=False)
        config = dataclasses.replace(CONFIG, routes=(route,))
        for name, block in FOREIGN_BLOCKS.items():
            with self.subTest(block=name):
                reply = ScriptedReply(
                    chunks=(make_event(1), make_event(2), make_event(3), block)
                )
                harness = RelayHarness(reply, config=config)
                responder = RecordingResponder()
                anyio.run(_serve_part, harness, CALL, responder)
                assert responder.body == b"".join(reply.chunks[:3])
                assert not responder.is_complete
                assert len(harness.client.sends) == 1

    def test_line_cut_at_the_end_of_a_stream_is_no_event(self) -> None:
        """Guards against noise without an empty line that ends a stream."""
        for noise in (b"\xff" * 300, b"oops", b"id: 2\ndata: x\n"):
            first = ScriptedReply(chunks=(make_event(1), noise))
            harness = RelayHarness(
                first, ScriptedReply(chunks=(make_event(2),))
            )
            responder = _serve(harness)
            assert responder.body == make_event(1) + make_event(2)
            assert responder.is_complete

    def test_stream_without_a_length_ends_with_an_event(self) -> None:
        """Guards against a cut stream that comments make look complete."""
        for rest in (b": alive\n\n", b"\n", b"\n\n\n", b": x"):
            first = ScriptedReply(
                chunks=(make_event(1), rest), is_delimited=False
            )
            harness = RelayHarness(
                first, ScriptedReply(chunks=(make_event(2),))
            )
            responder = _serve(harness)
            assert responder.body == make_event(1) + make_event(2)
            # With a length or chunks, the target says that it has ended.
            whole = ScriptedReply(chunks=(make_event(1), b": alive\n\n\n"))
            responder = _serve(RelayHarness(whole))
            assert responder.body == make_event(1)
            assert responder.is_complete

    def test_text_about_a_status_line_is_passed_on(self) -> None:
        """Guards against cutting a stream that explains the protocol."""
        text = b"x-of-a-target: 3\nid: 1\ndata: HTTP/1.1 404 means\n\n"
        reply = ScriptedReply(chunks=(text, make_event(2)), is_delimited=False)
        responder = _serve(RelayHarness(reply))
        assert responder.body == text + make_event(2)

    def test_stream_that_cannot_go_on_looks_incomplete(self) -> None:
        """Guards against a broken stream that looks complete."""
        broken = ScriptedReply(chunks=(make_event(1),), breaks_connection=True)
        harness = RelayHarness(broken, broken)
        responder = RecordingResponder()

        async def run() -> None:
            try:
                await harness.relay.serve(CALL, responder)
            except AnswerBrokenError:
                return
            raise AssertionError("the broken stream was completed")

        anyio.run(run)
        assert not responder.is_complete

    def test_stream_of_a_route_that_cannot_resume_runs_once(self) -> None:
        """Guards against joining the output of two runs in one answer."""
        route = dataclasses.replace(CONFIG.routes[0], can_resume=False)
        config = dataclasses.replace(CONFIG, routes=(route,))
        harness = RelayHarness(
            ScriptedReply(failure=CONNECTION_RESET),
            ScriptedReply(chunks=(make_event(1),)),
            config=config,
        )
        responder = _serve(harness)
        assert responder.verdict == MayHaveRun(Reason.TARGET_FAILED)
        assert len(harness.client.written_sends) == 1

    def test_stalled_stream_that_drips_fails_over(self) -> None:
        """Guards against a stalled stream that a byte now and then keeps open.

        Neither a part of an event nor a comment is progress for the caller.
        """
        for drip in (b"x", b": still here\n\n"):
            with self.subTest(drip=drip):
                dripping = ScriptedReply(chunks=(make_event(1),), drip=drip)
                remainder = ScriptedReply(chunks=(make_event(2),))
                harness = RelayHarness(dripping, remainder)
                responder = RecordingResponder()

                async def run(
                    harness: RelayHarness = harness,
                    responder: RecordingResponder = responder,
                ) -> None:
                    async with anyio.create_task_group() as group:
                        group.start_soon(harness.relay.serve, CALL, responder)
                        for _ in range(4):
                            await anyio.sleep(0.02)
                            harness.clock.advance(500)
                            harness.stall_detector.check()
                        await anyio.sleep(0.02)
                        group.cancel_scope.cancel()

                anyio.run(run)
                assert responder.is_complete
                assert responder.body.endswith(make_event(2))

    def test_slow_but_sound_stream_is_not_cut(self) -> None:
        """Guards against ending a stream that makes progress slowly."""
        events = tuple(make_event(number) for number in range(1, 1_000))
        slow = ScriptedReply(chunks=events, gap_s=0.001)
        harness = RelayHarness(slow)
        responder = RecordingResponder()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.relay.serve, CALL, responder)
                for _ in range(10):
                    await anyio.sleep(0.02)
                    harness.clock.advance(700)
                    harness.stall_detector.check()
                group.cancel_scope.cancel()

        anyio.run(run)
        assert len(harness.client.sends) == 1

    def test_event_without_end_ends_the_send(self) -> None:
        """Guards against bytes without end that fill the memory."""
        endless = ScriptedReply(chunks=(make_event(1),), drip=b"x" * 65_536)
        remainder = ScriptedReply(chunks=(make_event(2),))
        harness = RelayHarness(endless, remainder)
        responder = _serve(harness)
        assert responder.is_complete
        assert responder.body == make_event(1) + make_event(2)

    def test_stream_of_a_silent_target_fails_over(self) -> None:
        """Guards against callers that wait for a target that sends nothing."""
        hanging = ScriptedReply(chunks=(make_event(1),), hangs=True)
        remainder = ScriptedReply(chunks=(make_event(2),))
        harness = RelayHarness(hanging, remainder)
        responder = RecordingResponder()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.relay.serve, CALL, responder)
                await anyio.sleep(0.01)
                harness.clock.advance(2_000)
                harness.stall_detector.check()

        anyio.run(run)
        assert responder.body == make_event(1) + make_event(2)
        assert responder.is_complete

    def test_first_run_has_ended_before_the_next_begins(self) -> None:
        """Guards against running one request at two targets concurrently."""
        broken = ScriptedReply(chunks=(make_event(1),), breaks_connection=True)
        harness = RelayHarness(broken, ScriptedReply(chunks=(make_event(2),)))
        assert _serve(harness).is_complete
        assert len(harness.client.written_sends) == 2
        assert harness.client.max_open_count == 1

    def test_single_stalled_stream_fails_over(self) -> None:
        """Guards against a hanging stream at a target whose other streams run.

        Seen when a runner hung on half of its requests: chat tagging requests
        ended at the deadline of their caller.
        """
        hanging = ScriptedReply(chunks=(make_event(1),), hangs=True)
        harness = RelayHarness(hanging, ScriptedReply(chunks=(make_event(2),)))
        responder = RecordingResponder()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.relay.serve, CALL, responder)
                await anyio.sleep(0.01)
                hanging_target = harness.client.sends[0].target.name
                for _ in range(17):
                    harness.clock.advance(100)
                    harness.health.note_activity(hanging_target)
                    harness.stall_detector.check()
                    await anyio.sleep(0)

        anyio.run(run)
        assert responder.body == make_event(1) + make_event(2)
        assert responder.is_complete

    def test_stalled_stream_stays_while_all_targets_are_full(self) -> None:
        """Guards against cancelling a run while no target has a free slot.

        Seen as LOST in a test scenario with more load than the targets could
        take: a stalled stream was cancelled, waited for a slot and broke off.
        """
        hanging = ScriptedReply(chunks=(make_event(1),), hangs=True)
        harness = RelayHarness(hanging, ScriptedReply(chunks=(make_event(2),)))
        responder = RecordingResponder()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.relay.serve, CALL, responder)
                await anyio.sleep(0.01)
                for name in ("i-1", "i-2", "i-3"):
                    for _ in range(12):
                        harness.occupancy.add(name)
                harness.clock.advance(2_000)
                harness.stall_detector.check()
                await anyio.sleep(0.01)
                assert harness.log.count(Event.TARGET_CALL_FAILED) == 0
                group.cancel_scope.cancel()

        anyio.run(run)

    def _stall_all(
        self, harness: RelayHarness, count: int, free: int
    ) -> list[RecordingResponder]:
        """Stalls some streams at one target while others have few places.

        The silent target goes on after the check.
        """
        responders = [RecordingResponder() for _ in range(count)]

        async def run() -> None:
            async with anyio.create_task_group() as group:
                for name in ("i-2", "i-3"):
                    harness.pauses.note(make_target(name), 1_000)
                for number, responder in enumerate(responders):
                    call = dataclasses.replace(CALL, attempt=f"a{number}")
                    group.start_soon(_serve_part, harness, call, responder)
                await anyio.sleep(0.02)
                # Ends the pauses.
                harness.clock.advance(2_000)
                for name in ("i-2", "i-3"):
                    for _ in range(11):
                        harness.occupancy.add(name)
                for _ in range(free):
                    harness.occupancy.remove("i-2")
                harness.stall_detector.check()
                await anyio.sleep(0.05)
                # The wait of a stream without a place would end now.
                harness.clock.advance(5_000)
                harness.backlog.grant_slots("engine")
                await anyio.sleep(0.02)
                group.cancel_scope.cancel()

        anyio.run(run)
        return responders

    def test_streams_of_one_check_do_not_count_on_the_same_place(self) -> None:
        """Guards against streams that are cut when a sound target is silent.

        All of its streams stall together, and the others have two free places.
        """
        silent = ScriptedReply(chunks=(make_event(1),), hangs=True)
        rest = ScriptedReply(chunks=(make_event(2),), hangs=True)
        harness = RelayHarness(*[silent] * 10, *[rest] * 10)
        responders = self._stall_all(harness, 10, free=2)
        assert harness.log.count(Event.ANSWER_BROKEN) == 0
        assert harness.log.count(Event.SEND_STALLED) == 2
        assert sum(r.body.endswith(make_event(2)) for r in responders) == 2
        # The slots of the streams that moved or ended are free again.
        own = harness.occupancy.own
        assert own.get("i-1", 0) == 0, own

    def test_streams_of_one_check_do_not_count_on_the_same_budget(self) -> None:
        """Guards against cancelled streams that may not be sent again."""
        silent = ScriptedReply(chunks=(make_event(1),), hangs=True)
        rest = ScriptedReply(chunks=(make_event(2),), hangs=True)
        harness = RelayHarness(*[silent] * 10, *[rest] * 10)
        allowed = 4
        spent = 0
        while harness.budget.try_spend("engine", 1):
            spent += 1
        # The window slides on; the last extra sends are still within it.
        harness.clock.advance(SETTINGS.resend_window_ms + 1)
        for _ in range(spent - allowed):
            assert harness.budget.try_spend("engine", 1)
        self._stall_all(harness, 10, free=11)
        assert harness.log.count(Event.ANSWER_BROKEN) == 0
        # Ten requests add to the budget a share of their number.
        assert allowed <= harness.log.count(Event.SEND_STALLED) < 10

    def test_stalled_stream_stays_without_attempts_left(self) -> None:
        """Guards against cancelling a run that may not be retried."""
        route = dataclasses.replace(CONFIG.routes[0], max_attempts=1)
        config = dataclasses.replace(CONFIG, routes=(route,))
        hanging = ScriptedReply(chunks=(make_event(1),), hangs=True)
        harness = RelayHarness(hanging, config=config)
        responder = RecordingResponder()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.relay.serve, CALL, responder)
                await anyio.sleep(0.01)
                harness.clock.advance(2_000)
                harness.stall_detector.check()
                await anyio.sleep(0.01)
                assert responder.verdict is None
                assert harness.log.count(Event.ANSWER_BROKEN) == 0
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_broken_answer_tells_what_its_request_waited_for(self) -> None:
        """Guards against streams whose cut can't be traced from the log."""
        broken = ScriptedReply(chunks=(make_event(1),), breaks_connection=True)
        harness = RelayHarness(broken)
        harness.client.before_gate = functools.partial(_fill_targets, harness)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    _serve_part, harness, CALL, RecordingResponder()
                )
                await anyio.sleep(0.01)
                harness.relay.note_drain()
                harness.clock.advance(5_000)
                harness.backlog.grant_slots("engine")

        anyio.run(run)
        (fields,) = (
            f for e, f in harness.log.events if e is Event.ANSWER_BROKEN
        )
        assert fields["phase"] == "queue", fields
        assert fields["phase_ms"] == fields["drain_ms"] == 5_000, fields
        assert fields["reason"] is Reason.SHED, fields
        assert harness.meter.broken == [("queue", True)]

    def test_broken_stream_waits_for_a_slot_to_resume(self) -> None:
        """Guards against failing a begun stream for a short lack of slots."""
        broken = ScriptedReply(chunks=(make_event(1),), breaks_connection=True)
        harness = RelayHarness(broken, ScriptedReply(chunks=(make_event(2),)))
        responder = RecordingResponder()
        names = ("i-1", "i-2", "i-3")

        def fill() -> None:
            for name in names:
                for _ in range(12):
                    harness.occupancy.add(name)

        harness.client.before_gate = fill

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.relay.serve, CALL, responder)
                await anyio.sleep(0.01)
                # Longer than the wait of a request that has not begun.
                harness.clock.advance(400)
                harness.backlog.grant_slots("engine")
                await anyio.sleep(0.01)
                harness.client.before_gate = lambda: None
                for name in names:
                    for _ in range(12):
                        harness.occupancy.remove(name)
                harness.backlog.grant_slots("engine")

        anyio.run(run)
        assert responder.is_complete
        assert responder.body == make_event(1) + make_event(2)
