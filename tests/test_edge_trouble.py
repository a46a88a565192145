"""Tests of real daemons beside a target that sends what no run gives."""

import unittest

import anyio

from peridotbend.adapters.edgemetrics import METRICS_PATH
from peridotbend.adapters.explanations import (
    LogLine,
    explain_attempt,
    read_lines,
)
from peridotbend.domain.streams import EVENT_STREAM_TYPE
from peridotbend.edge.delivery import MAX_HELD_BYTES
from peridotbend.edgedaemon import DEFAULT_METRICS_PORT
from peridotbend.platform import wire
from peridotbend_emulator.launch import Child
from tests.edgefleet import HOSTS, WAIT_TIMEOUT_S, EdgeFleet
from tests.troubledfleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    SINGLE_RUN_PATH,
    SLOW_ONCE_PATH,
    SLOW_PATH,
    TroubledFleet,
    run_with_child,
    run_with_peer,
    run_with_trouble,
)
from tests.troubledtargets import (
    ENDLESS_HEADS,
    EVENTS,
    FOREIGN_BODIES,
    FOREIGN_HEADS,
    STREAM_HEADS,
    WHOLE,
    ForeignAnswer,
    Framing,
    PausedAnswer,
    Place,
    UnframedReset,
    list_fewer_answers,
    list_foreign_answers,
)

# No answer of a run has these, on any route.
REFUSED_HEADS = frozenset(
    (
        "status of no class",
        "status of no class, stream",
        "switched protocols",
        "compressed",
    )
)
TROUBLED = (Place.FIRST, Place.RESUMED)
# Longer than a silent target is waited for where another one can go on.
PAUSE_S = 3.0


class ForeignAnswerProcessTest(unittest.TestCase):
    """Answers that no run gives, on real connections."""

    def test_callers_of_streams_that_go_on_get_events_of_runs_only(
        self,
    ) -> None:
        """Guards against bytes that no run made, beside event streams.

        Callers got answers of other types, and empty streams, as whole.
        """

        async def check(troubled: TroubledFleet) -> None:
            problems = await troubled.list_problems(RESUMABLE_PATH, *TROUBLED)
            assert not problems, "\n".join(problems)

        for run in (run_with_trouble, run_with_peer):
            with self.subTest(run=run.__name__):
                run(list_foreign_answers(), check)

    def test_callers_of_streams_that_run_once_get_no_success(self) -> None:
        """Guards against a success, or a second run, for such an answer."""
        heads = set(FOREIGN_HEADS)
        answers = [
            answer
            for answer in list_foreign_answers()
            if answer.name.partition(";")[0] in heads
        ]

        async def check(troubled: TroubledFleet) -> None:
            problems = await troubled.list_problems(
                SINGLE_RUN_PATH, Place.FIRST
            )
            assert not problems, "\n".join(problems)

        for run in (run_with_trouble, run_with_peer):
            with self.subTest(run=run.__name__):
                run(answers, check)

    def test_length_of_one_run_does_not_cut_a_stream_of_two(self) -> None:
        """Guards against streams cut at the length that their first run named.

        The target in trouble names the length of its own bytes. The events of
        the two runs together have another one.
        """
        head = STREAM_HEADS["stream"]
        answers = [
            ForeignAnswer(name, *head, body, Framing.LENGTH)
            for name, body in FOREIGN_BODIES.items()
        ]

        async def check(troubled: TroubledFleet) -> None:
            problems = await troubled.list_problems(RESUMABLE_PATH, Place.FIRST)
            assert not problems, "\n".join(problems)

        run_with_trouble(answers, check)

    def test_sound_streams_with_a_length_are_sent_once(self) -> None:
        """Guards against refusing or cutting a stream whose length is known.

        Comments are left out, so that the caller gets fewer bytes.
        """
        head = STREAM_HEADS["stream"]
        answers = [
            ForeignAnswer("events", *head, WHOLE, framing)
            for framing in Framing
        ] + [
            ForeignAnswer("comments", *head, b": ping\n\n" + WHOLE, framing)
            for framing in Framing
        ]

        async def check(troubled: TroubledFleet) -> None:
            for prefix in (RESUMABLE_PATH, SINGLE_RUN_PATH):
                for number in range(len(answers)):
                    path = f"{prefix}{number}/first/x"
                    answer = await troubled.call(path)
                    assert answer is not None, path
                    assert (answer.status, answer.content) == (200, WHOLE)
                    assert troubled.target.sends[path] == 1

        run_with_trouble(answers, check)


class WholeAnswerProcessTest(unittest.TestCase):
    """The same answers on routes whose answers are of any type."""

    def test_answers_that_a_run_may_give_pass_unchanged(self) -> None:
        """Guards against altering, or merging, what a target answered.

        Any type and any body may be that of a run here. Without a length or
        chunks, an answer ends with its connection.
        """
        answers = list_fewer_answers(FOREIGN_BODIES)

        async def check(troubled: TroubledFleet) -> None:
            for number, answer in enumerate(answers):
                is_refused = answer.name.partition(";")[0] in REFUSED_HEADS
                status = int(answer.status.partition(" ")[0])
                once = (502, b"") if is_refused else (status, answer.body)
                again = (200, WHOLE) if is_refused else once
                for prefix, expected, sends in (
                    (NON_IDEMPOTENT_PATH, once, 1),
                    (IDEMPOTENT_PATH, again, 1 + is_refused),
                ):
                    path = f"{prefix}{number}/first/x"
                    got = await troubled.call(path)
                    assert got is not None, answer.name
                    assert (
                        got.status,
                        got.content,
                    ) == expected, (
                        f"{prefix}, {answer.name}: {got.status} {got.content!r}"
                    )
                    assert troubled.target.sends[path] == sends, answer.name

        run_with_trouble(answers, check)


class PausedAnswerProcessTest(unittest.TestCase):
    """Sound targets that pause inside a large answer."""

    def test_pause_does_not_end_an_answer_that_has_begun(self) -> None:
        """Guards against leaving a target whose answer no other continues.

        A peer that carries the connection must not end it either.
        """
        body = b"s" * (2 * MAX_HELD_BYTES)
        answers = [PausedAnswer("pause", body, PAUSE_S)]

        async def check(troubled: TroubledFleet) -> None:
            async def call(prefix: str) -> None:
                path = f"{prefix}0/{Place.FIRST.value}/x"
                answer = await troubled.call(path)
                assert answer is not None, prefix
                assert (answer.status, answer.content) == (200, body), prefix
                assert troubled.target.sends[path] == 1, prefix

            async with anyio.create_task_group() as tasks:
                for prefix in (IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH):
                    tasks.start_soon(call, prefix)

        for run in (run_with_trouble, run_with_peer):
            with self.subTest(run=run.__name__):
                run(answers, check)


class UnframedResetTest(unittest.TestCase):
    """A stream that ends with its connection, and is reset in between."""

    def test_reset_between_two_events_is_no_end(self) -> None:
        """Guards against a reset that looks like the end of the stream.

        A peer that carries the connection has to tell the two apart.
        """

        async def check(troubled: TroubledFleet) -> None:
            problems = await troubled.list_problems(RESUMABLE_PATH, Place.FIRST)
            assert not problems, "\n".join(problems)
            path = f"{SINGLE_RUN_PATH}0/{Place.FIRST.value}/x"
            assert await troubled.call(path) is None
            assert troubled.target.sends[path] == 1

        for run in (run_with_trouble, run_with_peer):
            with self.subTest(run=run.__name__):
                run([UnframedReset()], check)


class HeadInPiecesTest(unittest.TestCase):
    """Heads that come in pieces, or never to their end."""

    def test_pieces_of_an_answer_change_nothing(self) -> None:
        """Guards against refusing sound answers whose bytes come one by one.

        Foreign ones are found out as if they had come at once.
        """
        sound = [
            ForeignAnswer(name, *head, WHOLE, framing, is_slow=True)
            for name, head in STREAM_HEADS.items()
            for framing in Framing
        ]
        foreign = [
            ForeignAnswer(name, *head, b"x\n", is_slow=True)
            for name, head in FOREIGN_HEADS.items()
        ]
        answers = sound + foreign

        async def check(troubled: TroubledFleet) -> None:
            problems = await troubled.list_problems(RESUMABLE_PATH, *TROUBLED)
            assert not problems, "\n".join(problems)
            problems = await troubled.list_problems(
                SINGLE_RUN_PATH, Place.FIRST
            )
            refused = [p for p in problems if f" {WHOLE[-80:]!r}" not in p]
            assert not refused, "\n".join(refused)
            assert len(problems) == len(sound), "\n".join(problems)
            for number in range(len(sound)):
                path = f"{RESUMABLE_PATH}{number}/first/x"
                assert troubled.target.sends[path] == 1

        run_with_trouble(answers, check)

    def test_head_without_an_end_holds_up_its_own_caller_only(self) -> None:
        """Guards against callers that wait for a head that never ends.

        A caller whose stream may go on gets it from another target; sound
        callers are served meanwhile, and no connection stays open.
        """

        async def check(troubled: TroubledFleet) -> None:
            problems: list[str] = []
            served: list[str] = []

            async def call(prefix: str) -> None:
                problems.extend(
                    await troubled.list_problems(prefix, Place.FIRST)
                )

            async def call_beside() -> None:
                while True:
                    path = f"{RESUMABLE_PATH}0/none/{len(served)}"
                    answer = await troubled.call(path)
                    assert answer is not None, path
                    assert (answer.status, answer.content) == (200, WHOLE)
                    served.append(path)

            with anyio.fail_after(WAIT_TIMEOUT_S):
                async with anyio.create_task_group() as beside:
                    beside.start_soon(call_beside)
                    async with anyio.create_task_group() as tasks:
                        for prefix in (SLOW_PATH, SLOW_ONCE_PATH):
                            tasks.start_soon(call, prefix)
                    beside.cancel_scope.cancel()
                assert not problems, "\n".join(problems)
                assert len(served) > len(ENDLESS_HEADS)
                while troubled.target.active:
                    await anyio.sleep(0.02)

        run_with_trouble(ENDLESS_HEADS, check)


class ForeignAnswerReportTest(unittest.TestCase):
    """What an instance tells of answers that no run gives."""

    def test_log_metrics_and_explanation_name_such_answers(self) -> None:
        """Guards against trouble that looks like a lost connection.

        Each send has one outcome; 307 names the type and the framing, 301 the
        same of the answer that was passed on.
        """
        heads = FOREIGN_HEADS | STREAM_HEADS
        answers = [
            ForeignAnswer("text", *heads["text/plain"], b"x\n"),
            ForeignAnswer(
                "no type", *heads["no type"], b"x\n", Framing.CONNECTION
            ),
            ForeignAnswer("JSON", *heads["JSON"], b"{}", Framing.LENGTH),
            ForeignAnswer("partial", *heads["206, text/plain"], b"x\n"),
            ForeignAnswer("moved", *heads["302, text/plain"], b""),
            ForeignAnswer("no event", *heads["stream"], b""),
            ForeignAnswer("no ID", *heads["stream"], b"data: x\n\n"),
            # These are not taken for answers at all.
            ForeignAnswer("compressed", *heads["compressed"], b"x"),
            ForeignAnswer(
                "cut", *heads["stream"], b"id: 1\n", Framing.CONNECTION
            ),
        ]
        expected = {
            "text": ("foreign", "got status 200", "text/plain", True),
            "no type": ("foreign", "got status 200", "", False),
            "JSON": ("foreign", "got status 200", "application/json", True),
            "partial": ("foreign", "got status 206", "text/plain", True),
            "moved": ("foreign", "got status 302", "text/plain", True),
            "no event": (
                "foreign",
                "without an event",
                EVENT_STREAM_TYPE,
                True,
            ),
            "no ID": ("foreign", "without one ID", EVENT_STREAM_TYPE, True),
            "compressed": ("foreign", "content encoding", None, None),
            "cut": ("broken", "inside an event", EVENT_STREAM_TYPE, False),
        }

        async def check(troubled: TroubledFleet, child: Child) -> None:
            problems = await troubled.list_problems(RESUMABLE_PATH, Place.FIRST)
            assert not problems, "\n".join(problems)
            paths = [
                f"{RESUMABLE_PATH}{number}/first/x"
                for number in range(len(answers))
            ]
            for path in paths:
                await _wait_until_ended(child, path)
            for path, answer in zip(paths, answers, strict=True):
                with self.subTest(answer=answer.name):
                    self._check_report(child, path, expected[answer.name])
            metrics = await _read_metrics(troubled.fleet)
            counts = {
                "foreign": sum(e[0] == "foreign" for e in expected.values()),
                "broken": sum(e[0] == "broken" for e in expected.values()),
                "answered": len(answers),
            }
            for outcome, count in counts.items():
                line = f'sends_total{{outcome="{outcome}"}} {count:.1f}'
                assert f"peridotbend_edge_{line}" in metrics, metrics
            # A sound target that has no event left makes such a line as well.
            path = f"{RESUMABLE_PATH}0/none/ended"
            ended = {wire.RESUMES: paths[0], wire.LAST_EVENT_ID: str(EVENTS)}
            got = await troubled.call(path, ended)
            assert got is not None
            assert (got.status, got.content) == (200, b"")
            await _wait_until_ended(child, path)
            detail = "only one target says that no event is left"
            unconfirmed = ("unconfirmed", detail, EVENT_STREAM_TYPE, True)
            self._check_report(child, path, unconfirmed)

        run_with_child(answers, check)

    def _check_report(
        self,
        child: Child,
        path: str,
        expected: tuple[str, str, str | None, bool | None],
    ) -> None:
        failure, detail, content_type, is_delimited = expected
        entries = {
            line.entry["event"]: line.entry
            for line in _read_log(child)
            if line.entry.get("attempt") == path
        }
        failed = entries["target-call-failed"]
        assert failed["failure"] == failure, failed
        assert detail in str(failed["detail"]), failed
        assert failed.get("content_type") == content_type, failed
        assert failed.get("delimited") == is_delimited, failed
        assert failed["written"] is True, failed
        ended = entries["request-ended"]
        assert ended["content_type"] == EVENT_STREAM_TYPE, ended
        assert (ended["last_event"], ended["delimited"]) == ("8", True)
        report = "\n".join(explain_attempt(_read_log(child), path).report)
        assert f"failure={failure}" in report, report
        assert detail in report, report
        assert f"target {failed['target']}, 2 s before and after" in report


async def _wait_until_ended(child: Child, path: str) -> None:
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while (
            explain_attempt(_read_log(child), path).report[0]
            != f"attempt {path}: answered with status 200 by its target"
        ):
            await anyio.sleep(0.02)


def _read_log(child: Child) -> list[LogLine]:
    return list(read_lines(child.output.splitlines()))


async def _read_metrics(fleet: EdgeFleet) -> str:
    url = f"http://{HOSTS[0]}:{DEFAULT_METRICS_PORT}{METRICS_PATH}"
    return (await fleet.client.request("GET", url)).content.decode()
