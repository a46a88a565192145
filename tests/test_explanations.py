"""Tests of explaining an attempt from log lines."""

import json
import unittest

from click.testing import CliRunner

from peridotbend.adapters.explanations import (
    _CAUSE_BY_REASON,
    explain_attempt,
    read_lines,
)
from peridotbend.cli import main
from peridotbend.domain.events import Event
from peridotbend.domain.verdicts import Reason


def _make_line(at_ms: int, event: Event, **fields: object) -> str:
    """Returns a log line in the format of an instance."""
    entry = {
        "instance": "edge-1",
        **fields,
        "number": event.value,
        "event": event.label,
        "timestamp": f"2026-12-04T08:00:{at_ms / 1_000:06.3f}Z",
    }
    return json.dumps(entry) + "\n"


SHED_LOG = [
    _make_line(1_000, Event.PEER_LOST, peer="10.0.0.2"),
    _make_line(2_000, Event.REQUEST_REFUSED, attempt="a2", reason="shed"),
    "Traceback (most recent call last):\n",
    "{broken\n",
    "  2.100 edge-1 "
    + _make_line(
        2_100,
        Event.REQUEST_REFUSED,
        attempt="a1",
        verdict="not-run",
        reason="shed",
        retry_after_ms=900,
    ),
]
FAILED_LOG = [
    _make_line(3_000, Event.REQUEST_DISPATCHED, attempt="a1", target="i-1"),
    _make_line(3_020, Event.REQUEST_ENDED, attempt="a3", target="i-1"),
    _make_line(
        3_040,
        Event.TARGET_CALL_FAILED,
        attempt="a1",
        target="i-1",
        failure="broken",
    ),
    _make_line(
        3_041,
        Event.REQUEST_REFUSED,
        attempt="a1",
        verdict="may-have-run",
        reason="target-failed",
    ),
]


def _explain(log_lines: list[str], attempt: str = "a1") -> list[str]:
    return explain_attempt(read_lines(log_lines), attempt).report


class ExplanationTest(unittest.TestCase):
    """Reports that lead from an attempt ID to the cause."""

    def test_refusal_lists_preceding_events(self) -> None:
        """Guards against a report without the events that led to a refusal."""
        report = _explain(SHED_LOG)
        assert report[0].startswith("attempt a1: not-run, no target")
        assert "refused as shed, 2 s before and after: 2 at edge-1" in report
        assert any("1.1 s before  peer-lost" in line for line in report)

    def test_failed_target_is_listed_with_its_other_requests(self) -> None:
        """Guards against blaming a target for one bad request."""
        report = _explain(FAILED_LOG)
        assert report[0].startswith("attempt a1: may-have-run")
        assert (
            "target i-1, 2 s before and after: 1 requests ended there, "
            "1 failed or were rejected" in report
        )
        # Times count from the first line of the attempt.
        assert report[2].split()[:2] == ["40", "ms"]

    def test_log_that_ends_early_is_no_answer(self) -> None:
        """Guards against a killed process's missing lines read as success."""
        report = _explain(FAILED_LOG[:1])
        assert "the process may have been killed" in report[0]

    def test_missing_attempt_reports_dropped_lines(self) -> None:
        """Guards against a plain "not found" when log lines were dropped."""
        dropped_line = json.dumps(
            {"event": Event.LINES_DROPPED.label, "lines": 12}
        )
        explanation = explain_attempt(
            read_lines([*SHED_LOG, dropped_line]), "a9"
        )
        assert not explanation.is_found
        assert explanation.report[1].startswith("12 lines were dropped")

    def test_causes_are_of_existing_reasons(self) -> None:
        """Guards against causes listed for reasons that no longer exist."""
        assert set(_CAUSE_BY_REASON) <= set(Reason)


class ExplainCommandTest(unittest.TestCase):
    """`peridotbend explain` without a daemon."""

    def test_log_is_read_from_standard_input(self) -> None:
        """Guards against an explanation that needs a running process."""
        run = CliRunner().invoke
        arguments = ["explain", "a1", "--log", "-"]
        result = run(main, arguments, input="".join(SHED_LOG))
        assert result.exit_code == 0, result.output
        assert result.output.startswith("attempt a1: not-run")
        result = run(main, arguments, input="".join(FAILED_LOG[1:2]))
        assert result.exit_code == 1
        assert "not in 1 lines" in result.output
