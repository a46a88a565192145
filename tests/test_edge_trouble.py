"""Tests of real daemons beside a target that sends what no run gives."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import httpcore

from peridotbend.adapters.serving import HttpServer, listen
from tests.edgefleet import CONFIG, HOSTS, EdgeFleet, run_with_fleet
from tests.edgestandins import FakeStore
from tests.test_edge_paths import refuse_connections
from tests.test_edge_platform import SETTINGS_DOCUMENT, TARGET_ENTRY
from tests.troubledtargets import (
    FOREIGN_BODIES,
    FOREIGN_HEADS,
    STREAM_HEADS,
    WHOLE,
    ForeignAnswer,
    Framing,
    Place,
    TroubledTarget,
    list_foreign_answers,
)

# More than the calls that are made at a time.
SLOTS = 200
CONCURRENT_CALLS = 24
RESUMABLE_PATH = "/trouble/"
SINGLE_RUN_PATH = "/once/"
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
    ],
    "services": [*CONFIG["services"], {"name": "trouble"}],
}
# Many attempts are sent again within seconds.
BOUNDS = {**SETTINGS_DOCUMENT["bounds"], "retry_slack": 100_000}


class TroubledFleet:
    """A fleet with a service whose target answers as one in trouble."""

    def __init__(self, fleet: EdgeFleet, answers: list[ForeignAnswer]) -> None:
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

    async def call(self, path: str) -> httpcore.Response | None:
        """Calls an instance; returns None if the answer breaks off."""
        try:
            return await self.fleet.call(HOSTS[0], path, path)
        except (httpcore.RemoteProtocolError, httpcore.ReadError):
            return None

    async def list_problems(self, prefix: str, *places: Place) -> list[str]:
        """Returns what callers got that is neither whole nor a refusal.

        Each answer is given once at each place.
        """
        problems: list[str] = []
        limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

        async def check(number: int, place: Place) -> None:
            path = f"{prefix}{number}/{place.value}/x"
            async with limiter:
                answer = await self.call(path)
            problem = self._find_problem(answer, path, prefix)
            if problem:
                name = self.answers[number].name
                problems.append(f"{place.value}, {name}: {problem}")

        async with anyio.create_task_group() as tasks:
            for number in range(len(self.answers)):
                for place in places:
                    tasks.start_soon(check, number, place)
        return problems

    def _find_problem(
        self, answer: httpcore.Response | None, path: str, prefix: str
    ) -> str:
        if answer is None:
            return "broken off"
        if prefix == RESUMABLE_PATH:
            # The caller keeps the head of the run that began its stream.
            is_success = answer.status in (200, 201)
            if not is_success or answer.content != WHOLE:
                return f"{answer.status} {answer.content[-80:]!r}"
            return ""
        if answer.status != 502 or answer.content:
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


def run_with_trouble(
    answers: list[ForeignAnswer],
    check: Callable[[TroubledFleet], Awaitable[None]],
) -> None:
    """Runs a check with an instance that reaches the target directly."""

    async def start(fleet: EdgeFleet) -> None:
        troubled = TroubledFleet(fleet, answers)
        async with troubled.serve_target() as port:
            put_service(fleet.store, port)
            fleet.spawn(HOSTS[0], bounds=BOUNDS)
            await fleet.wait_ready(HOSTS[0])
            await check(troubled)

    run_with_fleet(start)


def run_with_peer(
    answers: list[ForeignAnswer],
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
            problems = await troubled.list_problems(RESUMABLE_PATH, *Place)
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


_STREAM_TYPE = "Content-Type: text/event-stream"
# Heads that the HTTP library reads, with what no run says.
ODD_HEADERS = {
    "control character": "X-Odd: a\x01b",
    "escape": "X-Odd: a\x1bb",
    "delete": "X-Odd: a\x7fb",
    "second attempt ID": "X-Attempt-Id: another",
    "second stamp": "X-Server-Stamp: another",
}


class OddHeadProcessTest(unittest.TestCase):
    """Heads with values that no run gives, on real connections."""

    def _check_odd_headers(self, names: tuple[str, ...]) -> None:
        answers = [
            ForeignAnswer(f"{status}; {name}", status, headers, WHOLE)
            for name in names
            for status, headers in (
                ("200 OK", (_STREAM_TYPE, ODD_HEADERS[name])),
                ("400 Bad Request", (ODD_HEADERS[name],)),
            )
        ]

        async def check(troubled: TroubledFleet) -> None:
            problems = await troubled.list_problems(RESUMABLE_PATH, *Place)
            problems += await troubled.list_problems(
                SINGLE_RUN_PATH, Place.FIRST
            )
            assert not problems, "\n".join(problems)

        run_with_trouble(answers, check)

    def test_header_that_cannot_be_passed_on_is_no_answer(self) -> None:
        """Guards against connections that close without an answer.

        The server that writes the answer refuses control characters, which the
        library that reads it takes.
        """
        self._check_odd_headers(("control character", "escape", "delete"))

    def test_head_that_contradicts_itself_is_no_answer(self) -> None:
        """Guards against an answer that may belong to another request."""
        self._check_odd_headers(("second attempt ID", "second stamp"))

    def test_limit_out_of_range_does_not_stop_a_service(self) -> None:
        """Guards against one answer after which all requests are refused.

        All instances share the limits that targets name.
        """
        sound = ForeignAnswer("sound", headers=(_STREAM_TYPE,), body=WHOLE)
        limited = ForeignAnswer(
            "limit", headers=(_STREAM_TYPE, "Server-Limit: 1e308"), body=WHOLE
        )

        async def check(troubled: TroubledFleet) -> None:
            for number in (0, 1, 0):
                for attempt in ("x", "y", "z"):
                    path = f"{RESUMABLE_PATH}{number}/first/{attempt}"
                    answer = await troubled.call(path)
                    assert answer is not None, path
                    assert answer.status == 200, (path, answer.status)
                    assert answer.content == WHOLE

        run_with_trouble([sound, limited], check)

    def test_pause_out_of_range_does_not_end_a_request(self) -> None:
        """Guards against a failure of this process for one of its targets."""
        headers = ("X-Not-Executed: 1", "Retry-After: 1e306")
        rejection = ForeignAnswer("pause", "503 Service Unavailable", headers)

        async def check(troubled: TroubledFleet) -> None:
            problems = await troubled.list_problems(RESUMABLE_PATH, *Place)
            assert not problems, "\n".join(problems)

        run_with_trouble([rejection], check)

    def test_length_beside_chunks_does_not_cut_a_failure(self) -> None:
        """Guards against a failure cut at a length that its body has not.

        The chunks tell the length; a Content-Length beside them is void.
        """
        failures = [
            ForeignAnswer(
                f"length {length}",
                "400 Bad Request",
                (f"Content-Length: {length}",),
                b"sorry",
            )
            for length in (3, 30)
        ]

        async def check(troubled: TroubledFleet) -> None:
            for number, failure in enumerate(failures):
                path = f"{RESUMABLE_PATH}{number}/first/x"
                answer = await troubled.call(path)
                assert answer is not None, failure.name
                # It may also be sent elsewhere.
                passed = answer.status, answer.content
                assert passed in ((400, b"sorry"), (200, WHOLE)), passed

        run_with_trouble(failures, check)

    def test_status_that_promises_no_run_needs_a_rejection(self) -> None:
        """Guards against "not run" for a request that may have run.

        Callers take these statuses for a promise. Only X-Not-Executed and 421
        of a target promise the same.
        """
        answers = [
            ForeignAnswer(status, status, (), b"sorry", framing)
            for status in (
                "408 Request Timeout",
                "429 Too Many Requests",
                "503 Service Unavailable",
            )
            for framing in Framing
        ]

        async def check(troubled: TroubledFleet) -> None:
            problems = await troubled.list_problems(
                SINGLE_RUN_PATH, Place.FIRST
            )
            assert not problems, "\n".join(problems)

        run_with_trouble(answers, check)
