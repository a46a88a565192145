"""Tests of streams on their way through a relay."""

import dataclasses
import unittest

import anyio

from peridotbend.domain.events import Event
from peridotbend.domain.ports import CallError, CallFailure
from peridotbend.domain.verdicts import MayHaveRun, Reason
from peridotbend.edge.ports import AnswerBrokenError, EdgeCall
from tests.edgefakes import (
    CALL,
    CONFIG,
    EdgeBench,
    RecordingResponder,
    Script,
    make_event,
)

ORDER = dataclasses.replace(CALL, path="/orders/7", prompt_tokens=None)
LOOKUP = dataclasses.replace(
    CALL, method="GET", path="/lookups/7", body=b"", prompt_tokens=None
)
BROKEN = CallError(CallFailure.BROKEN, True, "reset")
PLAIN = Script(chunks=(b"done",), is_event_stream=False)
ERROR = Script(status=500, chunks=(b"sorry",), is_event_stream=False)


def _serve(bench: EdgeBench, call: EdgeCall = CALL) -> RecordingResponder:
    async def run() -> RecordingResponder:
        return await bench.serve(call)

    return anyio.run(run)


class StreamTest(unittest.TestCase):
    """Streams of events."""

    def test_broken_stream_goes_on_at_another_target(self) -> None:
        """Guards against a lost or doubled event at the seam."""
        first = Script(
            chunks=(make_event(1), make_event(2), b"id: 3\nda"), breaks=True
        )
        second = Script(chunks=(make_event(3), make_event(4)))
        bench = EdgeBench(first, second)
        out = _serve(bench)
        expected = b"".join(make_event(n) for n in (1, 2, 3, 4))
        assert out.body == expected
        assert out.is_complete
        assert bench.client.sends[1].last_event_id == "2"
        assert out.head is not None
        # The caller keeps the head of the first run.
        first_name = bench.client.sends[0].target.name
        assert ("made-by", first_name) in out.head.headers

    def test_callers_own_last_event_goes_on_to_the_target(self) -> None:
        """Guards against events that come twice after a caller resumed.

        Seen on all days with a final fault: a caller that came back with the
        last event it had got the stream from its start.
        """
        bench = EdgeBench(Script(chunks=(make_event(13),)))
        _serve(bench, dataclasses.replace(CALL, last_event_id="12"))
        assert bench.client.sends[0].last_event_id == "12"

    def test_stream_that_cannot_go_on_looks_incomplete(self) -> None:
        """Guards against a broken stream that ends like a whole one."""
        broken = Script(chunks=(make_event(1),), breaks=True)
        bench = EdgeBench(broken, broken)
        out = RecordingResponder()

        async def run() -> None:
            try:
                await bench.relay.serve(CALL, out)
            except AnswerBrokenError:
                return
            raise AssertionError("the broken stream was ended properly")

        anyio.run(run)
        assert not out.is_complete

    def test_stream_of_a_route_that_cannot_resume_runs_once(self) -> None:
        """Guards against pieces of two runs joined in one answer."""
        route = dataclasses.replace(CONFIG.routes[0], can_resume=False)
        config = dataclasses.replace(CONFIG, routes=(route,))
        bench = EdgeBench(
            Script(reply=BROKEN), Script(chunks=(make_event(1),)), config=config
        )
        out = _serve(bench)
        assert out.verdict == MayHaveRun(Reason.TARGET_FAILED)
        assert len(bench.client.written) == 1

    def test_silent_target_loses_its_resumable_streams(self) -> None:
        """Guards against callers that wait for a target that went dark."""
        hung = Script(chunks=(make_event(1),), hangs=True)
        rest = Script(chunks=(make_event(2),))
        bench = EdgeBench(hung, rest)
        out = RecordingResponder()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(bench.relay.serve, CALL, out)
                await anyio.sleep(0.01)
                bench.clock.advance(2_000)
                bench.stall_detector.check()

        anyio.run(run)
        assert out.body == make_event(1) + make_event(2)
        assert out.is_complete

    def test_first_run_has_ended_before_the_next_begins(self) -> None:
        """Guards against two targets that work on one request at a time."""
        broken = Script(chunks=(make_event(1),), breaks=True)
        bench = EdgeBench(broken, Script(chunks=(make_event(2),)))
        assert _serve(bench).is_complete
        assert len(bench.client.written) == 2
        assert bench.client.most_open == 1

    def test_stream_that_stalls_by_itself_moves(self) -> None:
        """Guards against a stream that hangs while others of its target go on.

        Seen while a runner hung on half of its requests: chat tags ended at
        their caller's deadline.
        """
        hung = Script(chunks=(make_event(1),), hangs=True)
        bench = EdgeBench(hung, Script(chunks=(make_event(2),)))
        out = RecordingResponder()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(bench.relay.serve, CALL, out)
                await anyio.sleep(0.01)
                hung_at = bench.client.sends[0].target.name
                for _ in range(17):
                    bench.clock.advance(100)
                    bench.health.note_activity(hung_at)
                    bench.stall_detector.check()
                    await anyio.sleep(0)

        anyio.run(run)
        assert out.body == make_event(1) + make_event(2)
        assert out.is_complete

    def test_silent_target_keeps_a_stream_that_has_nowhere_to_go(self) -> None:
        """Guards against a run that is cut while no target has a place.

        Seen as LOST on a day with more load than targets: a stalled stream
        was cut, waited for a place and was broken off.
        """
        hung = Script(chunks=(make_event(1),), hangs=True)
        bench = EdgeBench(hung, Script(chunks=(make_event(2),)))
        out = RecordingResponder()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(bench.relay.serve, CALL, out)
                await anyio.sleep(0.01)
                for name in ("i-1", "i-2", "i-3"):
                    for _ in range(12):
                        bench.occupancy.add(name)
                bench.clock.advance(2_000)
                bench.stall_detector.check()
                await anyio.sleep(0.01)
                assert bench.log.count(Event.TARGET_CALL_FAILED) == 0
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_silent_target_keeps_a_stream_without_attempts(self) -> None:
        """Guards against a run that is cut though no other may follow."""
        route = dataclasses.replace(CONFIG.routes[0], max_attempts=1)
        config = dataclasses.replace(CONFIG, routes=(route,))
        hung = Script(chunks=(make_event(1),), hangs=True)
        bench = EdgeBench(hung, config=config)
        out = RecordingResponder()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(bench.relay.serve, CALL, out)
                await anyio.sleep(0.01)
                bench.clock.advance(2_000)
                bench.stall_detector.check()
                await anyio.sleep(0.01)
                assert out.verdict is None
                assert bench.log.count(Event.ANSWER_BROKEN) == 0
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_broken_stream_waits_for_a_place_to_go_on(self) -> None:
        """Guards against streams broken off midway for want of a moment."""
        broken = Script(chunks=(make_event(1),), breaks=True)
        bench = EdgeBench(broken, Script(chunks=(make_event(2),)))
        out = RecordingResponder()
        names = ("i-1", "i-2", "i-3")

        def fill() -> None:
            for name in names:
                for _ in range(12):
                    bench.occupancy.add(name)

        bench.client.before_gate = fill

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(bench.relay.serve, CALL, out)
                await anyio.sleep(0.01)
                # Longer than a request waits that has not begun.
                bench.clock.advance(400)
                bench.backlog.grant_slots("engine")
                await anyio.sleep(0.01)
                bench.client.before_gate = lambda: None
                for name in names:
                    for _ in range(12):
                        bench.occupancy.remove(name)
                bench.backlog.grant_slots("engine")

        anyio.run(run)
        assert out.is_complete
        assert out.body == make_event(1) + make_event(2)
