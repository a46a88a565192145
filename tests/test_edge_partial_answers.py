"""Real daemons before a target that sends parts of answers."""

import unittest
from collections.abc import Awaitable, Callable

import anyio

from tests.edgefleet import HOSTS, EdgeFleet, run_with_fleet
from tests.partialanswers import (
    LONG_UPLOAD,
    SHORT_UPLOAD,
    SOUND,
    CallerKind,
    Moment,
    PartialAnswer,
    PartialTarget,
    Received,
    WholeAnswer,
    call_once,
    list_partial_answers,
)
from tests.troubledfleet import (
    BOUNDS,
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    TroubledFleet,
    put_service,
    run_with_peer,
)
from tests.troubledtargets import WHOLE, Place

CONCURRENT_CALLS = 4
# Bounds the calls until a reset comes in time; almost all do.
MAX_CALLS = 20
Check = Callable[["PartialFleet"], Awaitable[None]]


class PartialFleet:
    """An instance before such a target."""

    def __init__(self, fleet: EdgeFleet, target: PartialTarget) -> None:
        self.fleet = fleet
        self.target = target

    async def list_problems(
        self,
        prefix: str,
        upload: bytes = SHORT_UPLOAD,
        kind: CallerKind = CallerKind.KEEP,
        place: Place = Place.FIRST,
    ) -> list[str]:
        """Returns the answers that look like a whole one, or harm the next."""
        problems: list[str] = []
        limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

        async def check(number: int) -> None:
            name = f"{kind.name.lower()}-{len(upload)}"
            path = f"{prefix}{number}/{place.value}/{name}"
            async with limiter:
                first, second = await self._call(path, upload, kind)
            answer = self.target.answers[number]
            if prefix == RESUMABLE_PATH:
                is_right = first == Received(200, WHOLE, True)
                problem = "" if is_right else f"{first}"
            else:
                problem = find_problem(answer, first)
            sound = WHOLE if prefix == RESUMABLE_PATH else SOUND.body
            if second is not None and second != Received(200, sound, True):
                problem += f", then {second}"
            if problem:
                problems.append(f"{kind.value}, {answer.name}: {problem}")

        async with anyio.create_task_group() as tasks:
            for number in range(len(self.target.answers)):
                tasks.start_soon(check, number)
        return problems

    async def _call(
        self, path: str, upload: bytes, kind: CallerKind
    ) -> tuple[Received, Received | None]:
        """Calls again where the reset came too late to be noticed."""
        for number in range(MAX_CALLS):
            attempt = f"{path}-{number}"
            received = await call_once(
                HOSTS[0], self.fleet.ports["callers"], attempt, upload, kind
            )
            if attempt not in self.target.late:
                return received
        raise AssertionError(f"every reset came late: {path}")


def find_problem(
    answer: PartialAnswer | WholeAnswer, received: Received
) -> str:
    """Returns what is wrong with what a caller received, or ""."""
    if isinstance(answer, WholeAnswer):
        status = int(answer.status.split()[0])
        is_right = received == Received(status, answer.body, True)
        return "" if is_right else f"{received}"
    if not received.is_whole and received.status in (0, 200):
        return ""
    # A refusal of the instance itself.
    if received.is_whole and received.status == 502 and not received.body:
        return ""
    return f"{received}"


def run_with_parts(
    answers: list[PartialAnswer | WholeAnswer], check: Check
) -> None:
    """Runs a check with an instance before a target with such answers."""

    async def start(fleet: EdgeFleet) -> None:
        target = PartialTarget(answers)
        async with target.listen() as port:
            put_service(fleet.store, port)
            fleet.spawn(HOSTS[0], bounds=BOUNDS)
            await fleet.wait_ready(HOSTS[0])
            await check(PartialFleet(fleet, target))

    run_with_fleet(start)


class PartialAnswerTest(unittest.TestCase):
    """Parts of answers to uploads, at callers of all kinds."""

    def _check(self, prefix: str, upload: bytes, kind: CallerKind) -> None:
        async def check(partial: PartialFleet) -> None:
            problems = await partial.list_problems(prefix, upload, kind)
            assert not problems, "\n".join(problems)

        run_with_parts(list(list_partial_answers()), check)

    def test_long_upload(self) -> None:
        """Guards against a part that looks whole while an upload is written."""
        self._check(NON_IDEMPOTENT_PATH, LONG_UPLOAD, CallerKind.KEEP)

    def test_short_upload_of_a_caller_that_keeps_its_connection(self) -> None:
        """Guards against a part that looks whole, or spoils the next answer."""
        self._check(NON_IDEMPOTENT_PATH, SHORT_UPLOAD, CallerKind.KEEP)

    def test_request_that_is_sent_again(self) -> None:
        """Guards against the last part of several that is passed on."""
        self._check(IDEMPOTENT_PATH, SHORT_UPLOAD, CallerKind.KEEP)

    def test_caller_of_http_1_0(self) -> None:
        """Guards against an end in order behind a part."""
        self._check(NON_IDEMPOTENT_PATH, SHORT_UPLOAD, CallerKind.HTTP_1_0)

    def test_caller_that_expects_100(self) -> None:
        """Guards against a part behind an interim answer."""
        self._check(NON_IDEMPOTENT_PATH, SHORT_UPLOAD, CallerKind.EXPECT)

    def test_chunked_upload(self) -> None:
        """Guards against a part while an upload without a length is sent."""
        self._check(NON_IDEMPOTENT_PATH, LONG_UPLOAD, CallerKind.CHUNKED)

    def test_stream(self) -> None:
        """Guards against a stream that ends with a part, or breaks off."""

        async def check(partial: PartialFleet) -> None:
            for place in (Place.FIRST, Place.RESUMED):
                problems = await partial.list_problems(
                    RESUMABLE_PATH, place=place
                )
                assert not problems, (place, "\n".join(problems))

        run_with_parts(list(list_partial_answers()), check)

    def test_answers_through_a_peer(self) -> None:
        """Guards against ends that a peer passes on as whole ones."""
        target = PartialTarget(list(list_partial_answers()))

        async def check(troubled: TroubledFleet) -> None:
            partial = PartialFleet(troubled.fleet, target)
            for prefix, upload in (
                (NON_IDEMPOTENT_PATH, SHORT_UPLOAD),
                (NON_IDEMPOTENT_PATH, LONG_UPLOAD),
                (RESUMABLE_PATH, SHORT_UPLOAD),
            ):
                problems = await partial.list_problems(prefix, upload)
                assert not problems, (prefix, "\n".join(problems))

        run_with_peer([], check, target)


class EarlyAnswerTest(unittest.TestCase):
    """Answers that are whole before the upload is."""

    def test_early_answers_reach_the_caller(self) -> None:
        """Guards against whole answers that are taken for parts."""
        answers: list[PartialAnswer | WholeAnswer] = [
            WholeAnswer(moment, status)
            for moment in Moment
            for status in ("200 OK", "403 Forbidden", "413 Too Large")
        ]

        async def check(partial: PartialFleet) -> None:
            for upload in (SHORT_UPLOAD, LONG_UPLOAD):
                problems = await partial.list_problems(
                    NON_IDEMPOTENT_PATH, upload, CallerKind.KEEP
                )
                assert not problems, "\n".join(problems)

        run_with_parts(answers, check)


# Statuses that no response has, of two digits, and signed ones.
INVALID_STATUSES = ("000", "099", "600", "999", "20", "+20", "-20", "+200")


class InvalidStatusTest(unittest.TestCase):
    """Whole answers whose status is none."""

    def test_no_caller_gets_them(self) -> None:
        """Guards against a status that callers cannot interpret."""
        answers: list[PartialAnswer | WholeAnswer] = [
            WholeAnswer(Moment.WHOLE, f"{status} X")
            for status in INVALID_STATUSES
        ]

        async def check(partial: PartialFleet) -> None:
            for number, answer in enumerate(answers):
                path = f"{NON_IDEMPOTENT_PATH}{number}/first/x"
                first, second = await call_once(
                    HOSTS[0], partial.fleet.ports["callers"], path
                )
                assert first == Received(502, b"", True), (answer, first)
                assert second == Received(200, SOUND.body, True), second
            for place in (Place.FIRST, Place.RESUMED):
                problems = await partial.list_problems(
                    RESUMABLE_PATH, place=place
                )
                assert not problems, (place, "\n".join(problems))

        run_with_parts(answers, check)
