"""Tests of answers that no run of a request gives."""

from unittest import mock

from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
    Headers,
    SuspectState,
)
from peridotbend.domain.verdicts import Reason
from tests.faketargets import FakeTarget, FakeTargetClient, ScriptedAnswer
from tests.fleettest import FleetTest, get_verdict
from tests.oracle import Caller

FAILED = ("may-have-run", Reason.TARGET_FAILED)
JSON = (("content-type", "application/json"),)
EVENTS = (("content-type", "text/event-stream"),)
STREAM = (*EVENTS, ("engine-stream", "s1"))
DONE = b"data: [DONE]\n\n"


def make_events(first: int, last: int) -> tuple[bytes, ...]:
    """Returns the events of a stream with these IDs and all between."""
    return tuple(
        b"id: %d\ndata: word %d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


WHOLE = b"".join((*make_events(1, 5), DONE))


class ForeignHeadTest(FleetTest):
    """Heads of answers that come from no run."""

    def test_status_that_is_none_of_http_is_no_answer(self) -> None:
        """Guards against "completed" for bytes that are no answer."""
        for status in (101, 199, 600, 700, 999):
            for kind, service in (("status", "o"), ("quote", "m")):
                with self.subTest(status=status, kind=kind):
                    head = AnswerHead(status, JSON)
                    self.script(ScriptedAnswer(head, (b"x",)), service=service)
                    caller = self.send(self.a1, kind, uid=f"{kind}{status}")
                    assert get_verdict(caller) == FAILED
                    assert caller.status == 0 and caller.data == b""
                    self.end_trouble()

    def test_streaming_call_is_answered_by_an_event_stream(self) -> None:
        """Guards against "completed" for bytes that no engine generated."""
        stream_id = ("engine-stream", "s1")
        for status, headers in (
            (200, ()),
            (200, JSON),
            (200, (*JSON, stream_id)),
            (200, (("content-type", "text/event-stream-2"),)),
            (200, (*EVENTS, *JSON)),
            (204, EVENTS),
            (206, EVENTS),
            (302, EVENTS),
        ):
            with self.subTest(status=status, headers=headers):
                head = AnswerHead(status, headers)
                self.script(ScriptedAnswer(head, (b"data: x\n\n", DONE)))
                caller = self.send(
                    self.a1, uid=f"{status}{headers}", stream=True
                )
                assert get_verdict(caller) == FAILED
                assert caller.status == 0 and caller.data == b""
                self.end_trouble()

    def test_type_of_a_stream_may_be_written_in_any_case(self) -> None:
        """Guards against the loss of a stream of a sound engine."""
        typed = ("Content-Type", "TEXT/Event-Stream; charset=utf-8")
        head = AnswerHead(200, (typed,))
        chunks = (b"id: 1\ndata: x\n\n", DONE)
        self.script(ScriptedAnswer(head, chunks, whole=b"".join(chunks)))
        caller = self.send(self.a1, stream=True)
        assert get_verdict(caller) == ("completed", None)

    def test_error_of_an_engine_may_have_any_type(self) -> None:
        """Guards against the loss of what a run says about its failure."""
        for status in (400, 404, 500, 503):
            with self.subTest(status=status):
                head = AnswerHead(status, JSON)
                self.script(ScriptedAnswer(head, (b"no",), whole=b"no"))
                caller = self.send(self.a1, uid=f"u{status}", stream=True)
                assert caller.status == status
                assert get_verdict(caller) == ("completed", None)
                self.end_trouble()

    def test_request_is_not_blamed_for_a_foreign_answer(self) -> None:
        """Guards against the quarantine of a request that harms no target."""
        self.script(*[ScriptedAnswer(AnswerHead(700, ()))] * 4)
        for number in range(4):
            self.send(self.a1, uid=f"u{number}", text="same", ms=11_000)
        for node in self.world.nodes.values():
            assert not node.suspects.export(9)
        self.end_trouble()
        caller = self.send(self.a1, uid="u9", text="same")
        assert get_verdict(caller) == ("completed", None)

    def test_foreign_answer_on_trial_proves_no_crash(self) -> None:
        """Guards against the quarantine of a suspect by another fault."""
        self.plan_failure("die-unanswered")
        self.send(self.a1, text="same", ms=1_000)
        for target in self.world.targets.values():
            target.behaviours.clear()
            target.restart()
        self.world.platform.revision += 1
        self.run_for(2_000)
        self.script(ScriptedAnswer(AnswerHead(700, ())))
        caller = self.send(self.a1, uid="u2", text="same")
        assert get_verdict(caller) == FAILED
        self.end_trouble()
        states = [entry.state for entry in self.a1.suspects.export(9)]
        assert states == [SuspectState.SUSPECT]
        caller = self.send(self.a1, uid="u3", text="same")
        assert get_verdict(caller) == ("completed", None)


class CutStreamTest(FleetTest):
    """Streams that end in order before the closing event."""

    def test_stream_without_its_closing_event_is_resumed(self) -> None:
        """Guards against a part of a stream that counts as its whole."""
        head = AnswerHead(200, STREAM)
        for sent in range(4):
            with self.subTest(sent=sent):
                events = make_events(1, sent)
                rest = (*make_events(sent + 1, 5), DONE)
                self.script(
                    ScriptedAnswer(head, events, whole=WHOLE),
                    ScriptedAnswer(head, rest),
                )
                caller = self.send(self.a1, uid=f"u{sent}", ms=2_500)
                assert caller.data == WHOLE
                assert get_verdict(caller) == ("completed", None)
                self.end_trouble()

    def test_stream_whose_resumptions_are_empty_is_not_whole(self) -> None:
        """Guards against an empty body that ends a stream in its middle."""
        head = AnswerHead(200, STREAM)
        first = ScriptedAnswer(head, make_events(1, 3), breaks=True)
        self.script(first, *[ScriptedAnswer(head)] * 3)
        caller = self.send(self.a1, ms=3_000)
        assert caller.data == b"".join(make_events(1, 3))
        assert get_verdict(caller) == FAILED

    def test_stream_that_cannot_resume_needs_its_closing_event(self) -> None:
        """Guards against "completed" for no event, or for some of them."""
        for sent in range(3):
            with self.subTest(sent=sent):
                head = AnswerHead(200, EVENTS)
                self.script(ScriptedAnswer(head, make_events(1, sent)))
                caller = self.send(self.a1, uid=f"u{sent}")
                assert get_verdict(caller) == FAILED
                self.end_trouble()

    def test_only_an_end_that_may_be_a_crash_makes_a_suspect(self) -> None:
        """Guards against the quarantine of a request that harms no target."""
        for is_delimited in (True, False):
            with self.subTest(is_delimited=is_delimited):
                head = AnswerHead(200, EVENTS, is_delimited)
                self.script(ScriptedAnswer(head))
                assert get_verdict(self.send(self.a1, uid="u1")) == FAILED
                assert bool(self.a1.suspects.export(9)) == (not is_delimited)
                self.end_trouble()

    def test_streams_of_applications_need_no_closing_event(self) -> None:
        """Guards against the loss of a sound stream of events."""
        head = AnswerHead(200, EVENTS)
        for sent in range(3):
            with self.subTest(sent=sent):
                events = make_events(1, sent)
                whole = b"".join(events)
                answer = ScriptedAnswer(head, events, whole=whole)
                self.script(answer, service="o")
                caller = self.send(self.a1, "status", uid=f"u{sent}")
                assert get_verdict(caller) == ("completed", None)
                self.end_trouble()


class UndelimitedAnswerTest(FleetTest):
    """Answers with neither a length nor chunks.

    Their end is that of their connection, which a dying process also closes.
    """

    TEXT = (("content-type", "text/plain"),)

    def answer(self, headers: Headers, *chunks: bytes, dies: bool) -> Caller:
        """Sends a request that an application answers with these chunks."""
        head = AnswerHead(200, headers, is_delimited=False)
        whole = None if dies else b"".join(chunks)
        answer = ScriptedAnswer(head, chunks, dies=dies, whole=whole)
        self.script(answer, service="o")
        caller = self.send(
            self.a1, "status", uid=f"u{self.world.clock.now_ms()}"
        )
        for target in self.world.targets.values():
            if not target.up:
                target.restart()
        self.end_trouble()
        return caller

    def test_answer_of_a_target_that_died_is_not_whole(self) -> None:
        """Guards against a part of an answer that counts as its whole."""
        for headers, chunks in (
            (self.TEXT, (b"order 12 of ",)),
            (self.TEXT, ()),
            ((), (b"x",)),
            (JSON, (b'{"order": ',)),
            (JSON, ()),
            (EVENTS, make_events(1, 3)),
            (EVENTS, ()),
        ):
            with self.subTest(headers=headers, chunks=chunks):
                caller = self.answer(headers, *chunks, dies=True)
                assert get_verdict(caller) == FAILED

    def test_kept_answer_of_a_target_that_died_is_not_whole(self) -> None:
        """Guards against a part that a fetch through a peer takes for all."""
        caller = self.answer(self.TEXT, b"order 12 of ", dies=True)
        for node in (self.a1, self.a2):
            assert get_verdict(self.fetch(node, caller.token)) == FAILED

    def test_request_that_kills_its_target_in_order_is_suspected(self) -> None:
        """Guards against a killer that is cleared by its part of an answer."""
        self.answer(self.TEXT, b"order 12 of ", dies=True)
        states = [entry.state for entry in self.a1.suspects.export(9)]
        assert states == [SuspectState.SUSPECT]

    def test_answer_of_a_target_that_lives_is_whole(self) -> None:
        """Guards against the loss of answers of sound applications."""
        for headers, chunks in (
            (self.TEXT, (b"order 12 ", b"done")),
            (self.TEXT, ()),
            (EVENTS, make_events(1, 3)),
        ):
            with self.subTest(headers=headers, chunks=chunks):
                caller = self.answer(headers, *chunks, dies=False)
                assert get_verdict(caller) == ("completed", None)
                assert caller.data == b"".join(chunks)

    def test_json_and_closing_events_show_their_end(self) -> None:
        """Guards against a check of what the answer itself tells."""
        coded = (*JSON, ("content-encoding", "gzip"))
        problem = (("Content-Type", "Application/Problem+JSON; charset=utf-8"),)
        for headers, chunks, checks in (
            (JSON, (b'{"order": ', b'"1"}\n'), 0),
            (problem, (b"[]",), 0),
            (EVENTS, (*make_events(1, 3), DONE), 0),
            (JSON, (b"12",), 1),
            (coded, (b"{}",), 1),
        ):
            with self.subTest(headers=headers, chunks=chunks):
                before = self.world.counts["checks"]
                caller = self.answer(headers, *chunks, dies=False)
                assert get_verdict(caller) == ("completed", None)
                assert self.world.counts["checks"] - before == checks

    def test_part_of_a_json_answer_is_not_whole(self) -> None:
        """Guards against "completed" while another process listens already.

        Only the answer tells that its process is gone. It may as well be a
        target that sends invalid JSON, so no request is suspected.
        """
        for part in (b"", b"[1, 2", b'{"a": {}', b'"text'):
            with self.subTest(part=part):
                caller = self.answer(JSON, part, dies=False)
                assert get_verdict(caller) == FAILED
                assert not self.a1.suspects.export(9)

    def test_process_that_is_replaced_at_once_seems_to_live(self) -> None:
        """Guards against a promise of more than the end of a body shows.

        Neither the text nor its connection tells that another process, or
        one that shares the socket, accepts the next connection.
        """
        restarts: list[str] = []

        def restart(target: FakeTarget) -> None:
            target.incarnation += 1
            restarts.append(target.name)

        with mock.patch.object(FakeTarget, "stop", restart):
            head = AnswerHead(200, self.TEXT, is_delimited=False)
            answer = ScriptedAnswer(head, (b"x",), dies=True, whole=b"x")
            self.script(answer, service="o")
            caller = self.send(self.a1, "status")
        assert len(restarts) == 1
        assert get_verdict(caller) == ("completed", None)

    def test_answers_that_show_their_end_are_not_checked(self) -> None:
        """Guards against connections for sound answers."""
        for kind, service in (("status", "o"), ("quote", "m")):
            whole = b"".join((*make_events(1, 2), DONE))
            head = AnswerHead(200, EVENTS if service == "m" else self.TEXT)
            self.script(ScriptedAnswer(head, (whole,), whole=whole))
            assert get_verdict(self.send(self.a1, kind)) == ("completed", None)
            self.end_trouble()
        assert self.world.counts["checks"] == 0

    def test_end_that_nothing_shows_accuses_no_request(self) -> None:
        """Guards against a suspect while the target cannot be reached."""

        async def time_out(*_: object) -> CallError:
            return CallError(CallFailure.CONNECT, False, "timeout")

        with mock.patch.object(FakeTargetClient, "check_listening", time_out):
            caller = self.answer(self.TEXT, b"x", dies=True)
        assert get_verdict(caller) == FAILED
        assert not self.a1.suspects.export(9)


class ResumedStreamTest(FleetTest):
    """Answers to a call that resumes a stream after its third event."""

    def test_only_the_same_stream_goes_on(self) -> None:
        """Guards against a stream that continues with foreign bytes."""
        other = ("engine-stream", "s2")
        for status, headers in (
            (206, STREAM),
            (404, STREAM),
            (500, STREAM),
            (700, STREAM),
            (200, ()),
            (200, JSON),
            (200, (*JSON, STREAM[-1])),
            (200, (*EVENTS, other)),
        ):
            with self.subTest(status=status, headers=headers):
                foreign = ScriptedAnswer(
                    AnswerHead(status, headers), (b"data: foreign\n\n", DONE)
                )
                caller = self.resume(foreign)
                assert caller.data == WHOLE
                assert get_verdict(caller) == ("completed", None)

    def test_resumption_need_not_name_its_stream(self) -> None:
        """Guards against the loss of a stream of a sound engine."""
        rest = (*make_events(4, 5), DONE)
        caller = self.resume(ScriptedAnswer(AnswerHead(200, EVENTS), rest))
        assert caller.data == WHOLE
        assert get_verdict(caller) == ("completed", None)

    def test_events_are_not_repeated(self) -> None:
        """Guards against a stream that goes on from its start."""
        head = AnswerHead(200, STREAM)
        for events in (
            (*make_events(1, 5), DONE),
            (*make_events(3, 5), DONE),
            (WHOLE,),
            (b"id: x\ndata: foreign\n\n",),
            (b"id: \xff\xe2\x98\x83\ndata: foreign\n\n",),
            (b"id: " + b"9" * 5_000 + b"\ndata: foreign\n\n",),
        ):
            with self.subTest(events=events):
                caller = self.resume(ScriptedAnswer(head, events))
                assert caller.data == WHOLE
                assert get_verdict(caller) == ("completed", None)

    def test_event_without_an_id_is_not_repeated(self) -> None:
        """Guards against a stream that goes on before its last event."""
        head = AnswerHead(200, STREAM)
        unnumbered = b"data: no ID\n\n"
        ping = b": ping\n\n"
        for events in (
            (unnumbered,),
            (*make_events(1, 3), unnumbered),
            (*make_events(1, 3), unnumbered, ping),
            (b"".join((*make_events(1, 3), unnumbered, unnumbered)),),
        ):
            with self.subTest(events=events):
                rest = ScriptedAnswer(head, (unnumbered, DONE))
                self.script(ScriptedAnswer(head, events, breaks=True), rest)
                uid = f"u{self.world.clock.now_ms()}"
                caller = self.send(self.a1, uid=uid)
                assert caller.data == b"".join(events)
                assert get_verdict(caller) == FAILED
                self.end_trouble()

    def test_numbered_event_after_one_without_an_id_is_resumed(self) -> None:
        """Guards against the loss of a stream of a sound engine."""
        head = AnswerHead(200, STREAM)
        start = (b"data: no ID\n\n", *make_events(1, 3), b": ping\n\n")
        rest = (*make_events(4, 5), DONE)
        for events in (start, (b"".join(start),)):
            with self.subTest(events=events):
                whole = b"".join((*start, *rest))
                first = ScriptedAnswer(head, events, breaks=True, whole=whole)
                self.script(first, ScriptedAnswer(head, rest))
                uid = f"u{self.world.clock.now_ms()}"
                caller = self.send(self.a1, uid=uid)
                assert caller.data == whole
                assert get_verdict(caller) == ("completed", None)
                self.end_trouble()

    def resume(self, answer: ScriptedAnswer) -> Caller:
        """Resumes a stream with an answer, and again with a sound one."""
        head = AnswerHead(200, STREAM)
        events = make_events(1, 3)
        first = ScriptedAnswer(head, events, breaks=True, whole=WHOLE)
        rest = ScriptedAnswer(head, (*make_events(4, 5), DONE))
        self.script(first, answer, rest)
        caller = self.send(self.a1, uid=f"u{self.world.clock.now_ms()}")
        self.end_trouble()
        return caller


class ReplacedEngineTest(FleetTest):
    """Streams of an engine that another process replaces under its name.

    The instance list does not tell of it yet, and the new process has a
    stream of another request with the same token.
    """

    def break_stream(self) -> tuple[Caller, FakeTarget]:
        """Returns a caller whose stream has broken with its engine."""
        head = AnswerHead(200, STREAM)
        first = ScriptedAnswer(head, make_events(1, 3), breaks=True, dies=True)
        self.script(first)
        caller = self.send(self.a1, ms=1)
        engines = [t for n, t in self.world.targets.items() if n[0] == "m"]
        while all(engine.up for engine in engines):
            self.run_for(5)
        return caller, next(e for e in engines if not e.up)

    def test_stream_of_another_process_is_not_joined(self) -> None:
        """Guards against an answer with the events of another request."""
        caller, engine = self.break_stream()
        engine.restart()
        rest = (*make_events(4, 5), DONE)
        self.script(*[ScriptedAnswer(AnswerHead(200, STREAM), rest)] * 3)
        self.run_for(3_000)
        assert caller.data == b"".join(make_events(1, 3))
        assert get_verdict(caller) == FAILED
        assert self.world.counts["stream-resumed"] == 0

    def test_stream_of_another_process_is_not_cancelled(self) -> None:
        """Guards against the end of another caller's stream."""
        for is_replaced in (True, False):
            with self.subTest(is_replaced=is_replaced):
                caller, engine = self.break_stream()
                if is_replaced:
                    engine.restart()
                else:
                    engine.up = True
                record = self.a1.records.find(caller.token)
                assert record is not None and record.cancel_scope is not None
                cancel = record.cancel_scope.cancel
                self.world.loop.call_later_detached(1, cancel)
                self.run_for(500)
                assert bool(engine.cancelled) == (not is_replaced)
                engine.restart()
                self.world.platform.revision += 1
                self.end_trouble()

    def test_unknown_process_is_told_by_the_token_alone(self) -> None:
        """Guards against the loss of streams of engines without a name."""
        with mock.patch.object(
            self.a1.roster.targets, "find_incarnation", lambda _: ""
        ):
            caller, engine = self.break_stream()
            engine.restart()
            rest = (*make_events(4, 5), DONE)
            self.script(ScriptedAnswer(AnswerHead(200, STREAM), rest))
            self.world.answers[caller.token] = WHOLE
            self.run_for(3_000)
        assert caller.data == WHOLE
        assert get_verdict(caller) == ("completed", None)

    def test_sound_streams_ask_nothing(self) -> None:
        """Guards against calls for streams that do not break."""
        assert get_verdict(self.send(self.a1)) == ("completed", None)
        assert self.world.counts["load calls"] == 0


class ForeignBytesTest(FleetTest):
    """Bytes between the events of a stream that are no events."""

    FOREIGN = (
        b"noise\n\n",
        b"no field: x\n\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\n\n",
        b'{"error": "x"}\n\n',
        b"data: \xff\xfe\n\n",
        b"data: x\0\n\n",
        b"\xff\xfe\x00\x9c\n\n",
        b"id: 4\nnoise\n\n",
        b"data: word\nnoise\n\n",
        b" data: x\n\n",
    )

    def test_stream_goes_on_after_the_last_event_of_a_run(self) -> None:
        """Guards against a stream with bytes that no engine generated."""
        head = AnswerHead(200, STREAM)
        for sent in (0, 3):
            rest = (*make_events(sent + 1, 5), DONE)
            for foreign in self.FOREIGN:
                for chunks in ((foreign, *rest), (foreign + b"".join(rest),)):
                    with self.subTest(foreign=foreign, sent=sent):
                        events = (*make_events(1, sent), *chunks)
                        first = ScriptedAnswer(head, events, whole=WHOLE)
                        self.script(first, ScriptedAnswer(head, rest))
                        uid = f"u{self.world.clock.now_ms()}"
                        caller = self.send(self.a1, uid=uid)
                        assert caller.data == WHOLE
                        assert get_verdict(caller) == ("completed", None)
                        self.end_trouble()

    def test_stream_that_cannot_resume_is_broken_off(self) -> None:
        """Guards against "completed" for bytes that no engine generated."""
        head = AnswerHead(200, EVENTS)
        for foreign in self.FOREIGN:
            with self.subTest(foreign=foreign):
                events = (*make_events(1, 3), foreign, *make_events(4, 5), DONE)
                self.script(ScriptedAnswer(head, events, whole=WHOLE))
                uid = f"u{self.world.clock.now_ms()}"
                caller = self.send(self.a1, uid=uid)
                assert caller.data == b"".join(make_events(1, 3))
                assert get_verdict(caller) == FAILED
                self.end_trouble()

    def test_event_without_end_is_bounded(self) -> None:
        """Guards against memory that grows with bytes without a line end."""
        for headers in (EVENTS, STREAM):
            with self.subTest(headers=headers):
                chunks = (b"data: " + b"x" * 2_000, *[b"x" * 2_000] * 400)
                self.script(ScriptedAnswer(AnswerHead(200, headers), chunks))
                caller = self.send(self.a1, uid=f"u{len(headers)}", ms=1_000)
                assert get_verdict(caller) == (
                    "may-have-run",
                    Reason.ANSWER_TOO_LARGE,
                )
                self.end_trouble()

    def test_nothing_follows_the_closing_event(self) -> None:
        """Guards against bytes of no run behind a whole stream."""
        for headers in (EVENTS, STREAM):
            for foreign in (*self.FOREIGN, b"noise", DONE, WHOLE):
                for chunks in ((DONE, foreign), (DONE + foreign,)):
                    with self.subTest(foreign=foreign, headers=headers):
                        events = (*make_events(1, 5), *chunks)
                        head = AnswerHead(200, headers)
                        self.script(ScriptedAnswer(head, events, whole=WHOLE))
                        uid = f"u{self.world.clock.now_ms()}"
                        caller = self.send(self.a1, uid=uid)
                        assert caller.data == WHOLE
                        assert get_verdict(caller) == ("completed", None)
                        self.end_trouble()

    def test_text_of_an_event_does_not_end_its_stream(self) -> None:
        """Guards against a cut stream whose text names the closing event."""
        text = b"id: 1\ndata: text data: [DONE]\n\n"
        answer = ScriptedAnswer(AnswerHead(200, EVENTS), (text,))
        self.script(answer)
        assert get_verdict(self.send(self.a1)) == FAILED

    def test_fields_that_carry_no_text_are_no_foreign_bytes(self) -> None:
        """Guards against the loss of a stream of a sound engine."""
        events = (
            b": ping\n\n",
            b"retry: 100\n\n",
            "event: word\nid: 7\ndata: \u2603\ndata\n\n".encode(),
            b"data: no ID\n\n",
            DONE,
        )
        for headers in (EVENTS, STREAM):
            with self.subTest(headers=headers):
                head = AnswerHead(200, headers)
                whole = b"".join(events)
                self.script(ScriptedAnswer(head, events, whole=whole))
                caller = self.send(self.a1, uid=f"u{len(headers)}")
                assert caller.data == whole
                assert get_verdict(caller) == ("completed", None)
                self.end_trouble()
