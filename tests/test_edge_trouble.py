"""Tests of real daemons beside a target that sends what no run gives."""

import asyncio
import contextlib
import unittest
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Mapping,
    Sequence,
)

import anyio
import httpcore

from peridotbend.adapters.edgemetrics import METRICS_PATH
from peridotbend.adapters.explanations import (
    LogLine,
    explain_attempt,
    read_lines,
)
from peridotbend.adapters.serving import HttpServer, listen
from peridotbend.domain.streams import EVENT_STREAM_TYPE
from peridotbend.edgedaemon import DEFAULT_METRICS_PORT
from peridotbend_emulator.launch import Child
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    NO_HEADERS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
)
from tests.edgestandins import FakeStore
from tests.test_edge_paths import refuse_connections
from tests.test_edge_platform import SETTINGS_DOCUMENT, TARGET_ENTRY
from tests.troubledtargets import (
    ENDLESS_HEADS,
    FOREIGN_BODIES,
    FOREIGN_HEADS,
    STREAM_HEADS,
    WHOLE,
    ForeignAnswer,
    Framing,
    Place,
    TroubledAnswer,
    TroubledTarget,
    list_foreign_answers,
)

# More than the calls that are made at a time.
SLOTS = 200
CONCURRENT_CALLS = 24
RESUMABLE_PATH = "/trouble/"
SINGLE_RUN_PATH = "/once/"
# Routes with a time limit at which a silent target is given up soon.
SLOW_PATH = "/slow/"
SLOW_ONCE_PATH = "/slow-once/"
IDEMPOTENT_PATH = "/lookup/"
NON_IDEMPOTENT_PATH = "/change/"
ROUTE = {**CONFIG["routes"][0], "service": "trouble", "max_attempts": 3}
TROUBLE_CONFIG = {
    **CONFIG,
    "routes": [
        *CONFIG["routes"],
        {
            **ROUTE,
            "name": "r-8",
            "path_prefix": RESUMABLE_PATH,
            "resumable": True,
        },
        {
            **ROUTE,
            "name": "r-9",
            "path_prefix": SINGLE_RUN_PATH,
            "resumable": False,
        },
        {
            **ROUTE,
            "name": "r-10",
            "path_prefix": SLOW_PATH,
            "resumable": True,
            "timeout_ms": 4_000,
        },
        {
            **ROUTE,
            "name": "r-11",
            "path_prefix": SLOW_ONCE_PATH,
            "resumable": False,
            "timeout_ms": 1_000,
        },
        {
            **ROUTE,
            "name": "r-12",
            "path_prefix": IDEMPOTENT_PATH,
            "route_kind": "idempotent",
            "resumable": False,
        },
        {
            **ROUTE,
            "name": "r-13",
            "path_prefix": NON_IDEMPOTENT_PATH,
            "route_kind": "non_idempotent",
            "resumable": False,
        },
    ],
    "services": [*CONFIG["services"], {"name": "trouble"}],
}
TROUBLED = (Place.FIRST, Place.RESUMED)
# Many attempts are sent again within seconds.
BOUNDS = {**SETTINGS_DOCUMENT["bounds"], "retry_slack": 100_000}


class TroubledFleet:
    """A fleet with a service whose target answers as one in trouble."""

    def __init__(
        self, fleet: EdgeFleet, answers: Sequence[TroubledAnswer]
    ) -> None:
        self.fleet = fleet
        self.answers = answers
        self.target = TroubledTarget(answers)

    @contextlib.asynccontextmanager
    async def serve_target(self) -> AsyncIterator[int]:
        """Runs the target and yields its port."""
        server = await asyncio.start_server(self.target.serve, "127.0.0.1", 0)
        try:
            yield server.sockets[0].getsockname()[1]
        finally:
            server.close()

    async def call(
        self, path: str, headers: Mapping[str, str] = NO_HEADERS
    ) -> httpcore.Response | None:
        """Calls an instance; returns None if the answer breaks off."""
        try:
            return await self.fleet.call(HOSTS[0], path, path, headers=headers)
        except (httpcore.RemoteProtocolError, httpcore.ReadError):
            return None

    async def list_problems(
        self,
        prefix: str,
        *places: Place,
        headers: Mapping[str, str] = NO_HEADERS,
        expected: bytes = WHOLE,
    ) -> list[str]:
        """Returns what callers got that is neither whole nor a refusal.

        Each answer is given once at each place.

        Args:
            prefix: of the route.
            *places: of the foreign answers.
            headers: more of them, of all callers.
            expected: the events that callers get on a route that goes on.
        """
        problems: list[str] = []
        limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

        async def check(number: int, place: Place) -> None:
            path = f"{prefix}{number}/{place.value}/x"
            async with limiter:
                answer = await self.call(path, headers)
            problem = self._find_problem(answer, path, prefix, expected)
            if problem:
                name = self.answers[number].name
                problems.append(f"{place.value}, {name}: {problem}")

        async with anyio.create_task_group() as tasks:
            for number in range(len(self.answers)):
                for place in places:
                    tasks.start_soon(check, number, place)
        return problems

    def _find_problem(
        self,
        answer: httpcore.Response | None,
        path: str,
        prefix: str,
        expected: bytes,
    ) -> str:
        if answer is None:
            return "broken off"
        if prefix in (RESUMABLE_PATH, SLOW_PATH):
            # The caller keeps the head of the run that began its stream.
            is_success = answer.status in (200, 201)
            if not is_success or answer.content != expected:
                return f"{answer.status} {answer.content[-80:]!r}"
            return ""
        # A target in trouble may also be silent up to the time limit.
        failures = (502, 504) if prefix == SLOW_ONCE_PATH else (502,)
        if answer.status not in failures or answer.content:
            return f"{answer.status} {answer.content[-80:]!r}"
        if self.target.sends[path] != 1:
            return f"{self.target.sends[path]} sends"
        return ""


def put_service(store: FakeStore, port: int) -> None:
    """Lists targets of the service in trouble, all at one port."""
    store.put("op/config", TROUBLE_CONFIG)
    for name in ("i-7", "i-8", "i-9"):
        entry = {
            **TARGET_ENTRY,
            "service": "trouble",
            "slots": SLOTS,
            "address": f"127.0.0.1:{port}",
        }
        store.put(f"servers/{name}", entry)


def run_with_child(
    answers: Sequence[TroubledAnswer],
    check: Callable[[TroubledFleet, Child], Awaitable[None]],
) -> None:
    """Runs a check with an instance that reaches the target directly."""

    async def start(fleet: EdgeFleet) -> None:
        troubled = TroubledFleet(fleet, answers)
        async with troubled.serve_target() as port:
            put_service(fleet.store, port)
            child = fleet.spawn(HOSTS[0], bounds=BOUNDS)
            await fleet.wait_ready(HOSTS[0])
            await check(troubled, child)

    run_with_fleet(start)


def run_with_trouble(
    answers: Sequence[TroubledAnswer],
    check: Callable[[TroubledFleet], Awaitable[None]],
) -> None:
    """Runs a check that needs nothing of the process itself."""
    run_with_child(answers, lambda troubled, _: check(troubled))


def run_with_peer(
    answers: Sequence[TroubledAnswer],
    check: Callable[[TroubledFleet], Awaitable[None]],
) -> None:
    """Runs a check with an instance that reaches targets through a peer only.

    Its store names a port that refuses connections for all of them.
    """

    async def start(fleet: EdgeFleet) -> None:
        troubled = TroubledFleet(fleet, answers)
        cut_store = FakeStore()
        listener = listen("127.0.0.1", 0)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        async with troubled.serve_target() as port:
            with refuse_connections() as unused_port:
                put_service(fleet.store, port)
                put_service(cut_store, unused_port)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(HttpServer(cut_store, listener).run)
                    cut_child = fleet.spawn(
                        HOSTS[0], platform={"address": address}, bounds=BOUNDS
                    )
                    fleet.spawn(HOSTS[1])
                    for host in HOSTS:
                        await fleet.wait_ready(host)
                    while '"peer-live"' not in cut_child.output:
                        await anyio.sleep(0.02)
                    # Its links count as lost after this.
                    await troubled.call(f"{SINGLE_RUN_PATH}0/resumed/links")
                    while '"target-links-lost"' not in cut_child.output:
                        await anyio.sleep(0.02)
                    await check(troubled)
                    tasks.cancel_scope.cancel()

    run_with_fleet(start)


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
            "compressed": ("broken", "content encoding", None, None),
            "cut": ("broken", "inside an event", EVENT_STREAM_TYPE, False),
        }

        async def check(troubled: TroubledFleet, child: Child) -> None:
            problems = await troubled.list_problems(RESUMABLE_PATH, Place.FIRST)
            assert not problems, "\n".join(problems)
            paths = [
                f"{RESUMABLE_PATH}{number}/first/x"
                for number in range(len(answers))
            ]
            while not all(
                explain_attempt(_read_log(child), path)
                .report[0]
                .endswith("answered with status 200 by its target")
                for path in paths
            ):
                await anyio.sleep(0.02)
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


def _read_log(child: Child) -> list[LogLine]:
    return list(read_lines(child.output.splitlines()))


async def _read_metrics(fleet: EdgeFleet) -> str:
    url = f"http://{HOSTS[0]}:{DEFAULT_METRICS_PORT}{METRICS_PATH}"
    return (await fleet.client.request("GET", url)).content.decode()
