"""Tests of heads of answers that no run gives, with real daemons."""

import unittest

from tests.troubledfleet import (
    RESUMABLE_PATH,
    SINGLE_RUN_PATH,
    TroubledFleet,
    run_with_trouble,
)
from tests.troubledtargets import WHOLE, ForeignAnswer, Framing, Place

TROUBLED = (Place.FIRST, Place.RESUMED)
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
            problems = await troubled.list_problems(RESUMABLE_PATH, *TROUBLED)
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
            problems = await troubled.list_problems(RESUMABLE_PATH, *TROUBLED)
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
