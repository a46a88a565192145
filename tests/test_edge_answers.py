"""Tests of which answers on a streaming route are taken for those of a run."""

import dataclasses
import unittest
from collections.abc import AsyncIterator

import anyio
from result import Result

from peridotbend.domain.events import Event
from peridotbend.domain.ports import AnswerHead, CallError
from peridotbend.domain.streams import is_event_stream
from peridotbend.domain.verdicts import MayHaveRun, Reason
from peridotbend.edge.ports import AnswerBrokenError, EdgeCall
from peridotbend.platform.runners import _read_reply
from tests.edgefakes import (
    CALL,
    CONFIG,
    RecordingResponder,
    RelayHarness,
    ScriptedReply,
    make_event,
)
from tests.edgerunners import EVENTS as RUN_EVENTS
from tests.edgerunners import LEASE_MS, RunnerFleet

EVENTS = tuple(make_event(number) for number in range(1, 6))
WHOLE = ScriptedReply(chunks=EVENTS)
REST = ScriptedReply(chunks=EVENTS[3:])
# Breaks off after three events.
CUT = ScriptedReply(chunks=EVENTS[:3], breaks_connection=True)
EMPTY = ScriptedReply()
THREE_SENDS = dataclasses.replace(
    CONFIG, routes=(dataclasses.replace(CONFIG.routes[0], max_attempts=3),)
)
NO_RESUMPTION = dataclasses.replace(
    CONFIG,
    routes=(dataclasses.replace(CONFIG.routes[0], can_resume=False),),
)
# A caller that has the first three events.
TAKE_UP = dataclasses.replace(CALL, last_event_id="3")
# Successes and redirections of all kinds.
STATUSES_OF_NO_FAILURE = (200, 201, 202, 203, 204, 205, 206, 226, 299, 300,
                          302, 304, 307, 399)  # fmt: skip
FOREIGN_BODIES = {
    "nothing": (),
    "data without an ID": (b"data: x\n\n",),
    "text": (b"out of memory\n",),
    "bytes that are no text": (b"\xff\xfe\0" * 40,),
    "bytes after events": (*EVENTS[:3], b"\xff\xfe\n\n"),
    "events": EVENTS,
}


def _serve(harness: RelayHarness, call: EdgeCall = CALL) -> RecordingResponder:
    responder = RecordingResponder()

    async def run() -> None:
        try:
            await harness.relay.serve(call, responder)
        except AnswerBrokenError:
            assert not responder.is_complete

    anyio.run(run)
    return responder


def _list_foreign_answers() -> list[tuple[str, ScriptedReply]]:
    """Returns answers without a failure that are no event stream."""
    return [
        (
            f"{status}, {name}, delimited={is_delimited}",
            ScriptedReply(
                status=status,
                chunks=chunks,
                is_event_stream=False,
                is_delimited=is_delimited,
            ),
        )
        for status in STATUSES_OF_NO_FAILURE
        for name, chunks in FOREIGN_BODIES.items()
        for is_delimited in (True, False)
    ]


class NoEventStreamTest(unittest.TestCase):
    """Answers on a streaming route that are neither a stream nor a failure."""

    def test_answer_that_is_no_event_stream_reaches_no_caller(self) -> None:
        """Guards against bytes of no run in an answer that looks whole.

        Seen as ORDER: callers got the body of such an answer as a piece.
        """
        for name, foreign in _list_foreign_answers():
            with self.subTest(answer=name):
                harness = RelayHarness(foreign, WHOLE)
                responder = _serve(harness)
                assert responder.body == b"".join(EVENTS)
                assert responder.is_complete
                assert responder.head is not None
                assert responder.head.status == 200
                assert harness.meter.send_outcomes[0] == "foreign"
                fields = dict(harness.log.events)
                detail = str(fields[Event.TARGET_CALL_FAILED]["detail"])
                assert str(foreign.status) in detail

    def test_such_an_answer_does_not_go_on_with_a_stream(self) -> None:
        """Guards against such bytes between the events of two runs."""
        for name, foreign in _list_foreign_answers():
            with self.subTest(answer=name):
                harness = RelayHarness(CUT, foreign, REST, config=THREE_SENDS)
                responder = _serve(harness)
                assert responder.body == b"".join(EVENTS)
                assert responder.is_complete
                assert harness.client.sends[2].last_event_id == "3"

    def test_such_an_answer_does_not_go_on_for_a_caller(self) -> None:
        """Guards against such bytes after a caller takes up a stream."""
        for name, foreign in _list_foreign_answers():
            with self.subTest(answer=name):
                harness = RelayHarness(foreign, REST)
                responder = _serve(harness, TAKE_UP)
                assert responder.body == b"".join(EVENTS[3:])
                assert responder.is_complete

    def test_caller_of_a_stream_that_runs_once_learns_the_truth(self) -> None:
        """Guards against a success, or "not run", for such an answer."""
        for name, foreign in _list_foreign_answers():
            with self.subTest(answer=name):
                harness = RelayHarness(foreign, config=NO_RESUMPTION)
                responder = _serve(harness)
                assert responder.head is None
                assert responder.verdict == MayHaveRun(Reason.TARGET_FAILED)
                assert len(harness.client.sends) == 1

    def test_request_is_not_blamed_for_a_target_in_trouble(self) -> None:
        """Guards against sound requests that count as crashing a target.

        A target that answers has not crashed; one in trouble may end later.
        """
        events = ScriptedReply(chunks=(*EVENTS[:3], b"data: x\n\n"))
        for foreign in (ScriptedReply(is_event_stream=False), EMPTY, events):
            with self.subTest(answer=foreign):
                harness = RelayHarness(foreign, ScriptedReply(chunks=EVENTS))
                _serve(harness)
                harness.crashes.note_target_removed(
                    harness.client.sends[0].target
                )
                logged = [event for event, _ in harness.log.events]
                assert Event.SUSPECT_RECORDED not in logged

    def test_failures_of_runs_pass_unchanged(self) -> None:
        """Guards against hiding what a run says of its failure."""
        for status in (400, 404, 409, 422, 500, 504, 599):
            for is_stream in (True, False):
                with self.subTest(status=status, stream=is_stream):
                    failure = ScriptedReply(
                        status=status,
                        chunks=(b"sorry",),
                        is_event_stream=is_stream,
                    )
                    harness = RelayHarness(failure, config=NO_RESUMPTION)
                    responder = _serve(harness)
                    assert responder.head is not None
                    assert responder.head.status == status
                    assert responder.body == b"sorry"
                    assert responder.is_complete


class LargeFleetAnswerTest(unittest.TestCase):
    """Such answers at the instances of a fleet in groups, in virtual time."""

    def test_no_instance_passes_them_on_or_blames_requests(self) -> None:
        """Guards against evidence that adds up over the groups of a fleet.

        All requests share a prompt part, and their target ends later.
        """
        fleet = RunnerFleet(zones=3, per_zone=21, runners=20)

        async def script() -> None:
            runner = fleet.runners["i-1"]
            runner.foreign = ScriptedReply(
                chunks=(b"data: x\n\n",), is_event_stream=False
            )
            for host in fleet.hosts * 5:
                fleet.send(host, "part")
                await anyio.sleep(0.005)
            await anyio.sleep(2)
            fleet.crash(runner)
            await anyio.sleep(LEASE_MS / 1_000 + 0.1)

        fleet.run(script)
        whole = b"".join(make_event(number + 1) for number in range(RUN_EVENTS))
        answers = fleet.responders.values()
        assert len(answers) == 5 * len(fleet.hosts)
        for answer in answers:
            if answer.is_complete:
                assert answer.body == whole
            else:
                assert answer.head is None
                assert answer.verdict == MayHaveRun(Reason.TARGET_FAILED)
        logs = [instance.log for instance in fleet.instances.values()]
        assert sum(log.count(Event.TARGET_CALL_FAILED) for log in logs) >= len(
            fleet.hosts
        )
        for event in (Event.SUSPECT_RECORDED, Event.CRASH_CAUSE_FOUND):
            assert not any(log.count(event) for log in logs)


class EmptyStreamTest(unittest.TestCase):
    """Event streams that end properly without an event."""

    def test_stream_without_an_event_is_no_whole_stream(self) -> None:
        """Guards against a stream that ends before its first event."""
        for blank in ((), (b"\n",), (b": wait\n\n",)):
            with self.subTest(chunks=blank):
                first = ScriptedReply(chunks=blank)
                responder = _serve(RelayHarness(first, WHOLE))
                assert responder.body == b"".join(EVENTS)
                assert responder.is_complete
                harness = RelayHarness(first, config=NO_RESUMPTION)
                responder = _serve(harness)
                assert responder.verdict == MayHaveRun(Reason.TARGET_FAILED)
                assert harness.meter.send_outcomes == ["foreign"]

    def test_one_target_alone_does_not_end_a_stream(self) -> None:
        """Guards against a stream that looks complete before its last event.

        An empty answer to a resumed send says that no event is left. So may a
        target in trouble.
        """
        for head, call in ((CUT, CALL), (None, TAKE_UP)):
            with self.subTest(head=head):
                begun = [] if head is None else [head]
                harness = RelayHarness(*begun, EMPTY, REST, config=THREE_SENDS)
                responder = _serve(harness, call)
                assert responder.body.endswith(b"".join(EVENTS[3:]))
                assert responder.is_complete

    def test_last_send_alone_does_not_end_a_stream(self) -> None:
        """Guards against such an end when no send is left.

        The caller can take the stream up if its connection is closed.
        """
        responder = _serve(RelayHarness(CUT, EMPTY))
        assert responder.body == b"".join(EVENTS[:3])
        assert not responder.is_complete

    def test_two_targets_that_agree_end_a_stream(self) -> None:
        """Guards against a stream that never ends after its last event."""
        for head, call in ((CUT, CALL), (None, TAKE_UP)):
            with self.subTest(head=head):
                begun = [] if head is None else [head]
                harness = RelayHarness(*begun, EMPTY, EMPTY, config=THREE_SENDS)
                responder = _serve(harness, call)
                assert responder.is_complete
                assert responder.body == b"".join(EVENTS[:3] if begun else ())

    def test_empty_answers_of_two_kinds_do_not_agree(self) -> None:
        """Guards against counting a foreign answer as the second one."""
        foreign = ScriptedReply(is_event_stream=False)
        unframed = ScriptedReply(is_delimited=False)
        for other in (foreign, unframed):
            for replies in ((EMPTY, other), (other, EMPTY)):
                harness = RelayHarness(*replies, REST, config=THREE_SENDS)
                responder = _serve(harness, TAKE_UP)
                assert responder.body == b"".join(EVENTS[3:])
                assert responder.is_complete

    def test_one_target_does_not_agree_with_itself(self) -> None:
        """Guards against a second answer of the target that gave the first.

        A target that failed is tried again once no other is left.
        """
        for head, call in ((CUT, CALL), (None, TAKE_UP)):
            with self.subTest(head=head):
                begun = [] if head is None else [head]
                config = dataclasses.replace(
                    CONFIG,
                    routes=(
                        dataclasses.replace(CONFIG.routes[0], max_attempts=4),
                    ),
                )
                harness = RelayHarness(
                    *begun, EMPTY, EMPTY, REST, config=config
                )
                for name in ("i-2", "i-3") if head is None else ("i-3",):
                    harness.targets.remove(name)
                responder = _serve(harness, call)
                assert not responder.is_complete or responder.body.endswith(
                    EVENTS[-1]
                )


class CrashEvidenceTest(unittest.TestCase):
    """Complete answers, which tell that their target has not crashed."""

    def test_failure_of_a_resumed_run_is_no_crash(self) -> None:
        """Guards against sound requests that count as crashing a target."""
        failure = ScriptedReply(status=500, is_event_stream=False)
        harness = RelayHarness(CUT, failure, REST, config=THREE_SENDS)
        _serve(harness)
        harness.crashes.note_target_removed(harness.client.sends[1].target)
        logged = [event for event, _ in harness.log.events]
        assert Event.SUSPECT_RECORDED not in logged

    def test_foreign_head_is_no_crash(self) -> None:
        """Guards against the same for a head that no run gives."""
        attempt, stamp = ("x-attempt-id", CALL.attempt), ("x-server-stamp", "s")
        for status, headers in (
            (200, (attempt,)),
            (200, (stamp,)),
            (700, (attempt, stamp)),
            (200, (attempt, stamp, ("content-encoding", "gzip"))),
        ):
            with self.subTest(status=status, headers=headers):
                reply = _read_reply(
                    _HeadAnswer(AnswerHead(status, headers)), CALL.attempt
                )
                assert isinstance(reply, CallError)
                harness = RelayHarness(ScriptedReply(failure=reply), WHOLE)
                _serve(harness)
                target = harness.client.sends[0].target
                harness.crashes.note_target_removed(target)
                logged = [event for event, _ in harness.log.events]
                assert Event.SUSPECT_RECORDED not in logged


class EventStreamTypeTest(unittest.TestCase):
    """Which content types are those of an event stream."""

    def test_type_is_read_as_in_http(self) -> None:
        """Guards against streams that pass unread because of their type.

        Types are compared without case; parameters may follow.
        """
        for content_type in (
            "text/event-stream",
            "TEXT/Event-Stream; charset=utf-8",
            "text/event-stream;charset=utf-8",
            " text/event-stream ; a=b",
        ):
            assert _is_stream(("Content-Type", content_type)), content_type
            assert _is_stream(("CONTENT-TYPE", content_type)), content_type

    def test_other_types_are_no_event_stream(self) -> None:
        """Guards against a type that only begins like that of a stream."""
        for content_type in (
            "",
            "text/plain",
            "application/json",
            "text/event-streams",
            "text/event-stream-2; charset=utf-8",
            "text/event-stream, text/plain",
            "text/plain; type=text/event-stream",
        ):
            assert not _is_stream(("Content-Type", content_type)), content_type
        assert not _is_stream()

    def test_two_types_are_none(self) -> None:
        """Guards against the first of two types that contradict each other."""
        stream = ("Content-Type", "text/event-stream")
        other = ("Content-Type", "text/plain")
        assert not _is_stream(stream, other)
        assert not _is_stream(other, stream)


class _HeadAnswer:
    """An answer whose body is not read."""

    def __init__(self, head: AnswerHead) -> None:
        self.head = head

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields nothing."""
        for chunk in ():
            yield chunk


def _is_stream(*headers: tuple[str, str]) -> bool:
    return is_event_stream(AnswerHead(200, headers))
