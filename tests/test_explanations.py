"""Tests of what logs tell of a request."""

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
    """Returns a line as an instance writes it."""
    entry = {
        "instance": "edge-1",
        **fields,
        "number": event.value,
        "event": event.label,
        "timestamp": f"2026-12-04T08:00:{at_ms / 1_000:06.3f}Z",
    }
    return json.dumps(entry) + "\n"


SHED = [
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
FAILED = [
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


def _explain(texts: list[str], attempt: str = "a1") -> list[str]:
    return explain_attempt(read_lines(texts), attempt).report


class ExplanationTest(unittest.TestCase):
    """From an attempt's ID to its cause."""

    def test_refusal_tells_what_was_noticed_before(self) -> None:
        """Guards against a refusal whose cause stands on other lines."""
        told = _explain(SHED)
        assert told[0].startswith("attempt a1: not-run, no target")
        assert "refused as shed, 2 s before and after: 2 at edge-1" in told
        assert any("1.1 s before  peer-lost" in line for line in told)

    def test_lost_target_is_set_beside_its_other_requests(self) -> None:
        """Guards against a bad request taken for a bad target."""
        told = _explain(FAILED)
        assert told[0].startswith("attempt a1: may-have-run")
        assert (
            "target i-1, 2 s before and after: 1 requests ended there, "
            "1 failed or were rejected" in told
        )
        # Times count from the first line of the attempt.
        assert told[2].split()[:2] == ["40", "ms"]

    def test_log_that_ends_early_is_no_answer(self) -> None:
        """Guards against silence of a killed process that reads as success."""
        told = _explain(FAILED[:1])
        assert "the process may have been killed" in told[0]

    def test_missing_attempt_tells_of_dropped_lines(self) -> None:
        """Guards against "not here" for a line that was dropped."""
        note = json.dumps({"event": Event.LINES_DROPPED.label, "lines": 12})
        explanation = explain_attempt(read_lines([*SHED, note]), "a9")
        assert not explanation.is_found
        assert explanation.report[1].startswith("12 lines were dropped")

    def test_reasons_are_those_that_exist(self) -> None:
        """Guards against a reason that was renamed."""
        assert set(_CAUSE_BY_REASON) <= set(Reason)


class ExplainCommandTest(unittest.TestCase):
    """`peridotbend explain` without a daemon."""

    def test_log_is_read_from_standard_input(self) -> None:
        """Guards against a process that must still run to be asked."""
        run = CliRunner().invoke
        arguments = ["explain", "a1", "--log", "-"]
        result = run(main, arguments, input="".join(SHED))
        assert result.exit_code == 0, result.output
        assert result.output.startswith("attempt a1: not-run")
        result = run(main, arguments, input="".join(FAILED[1:2]))
        assert result.exit_code == 1
        assert "not in 1 lines" in result.output
