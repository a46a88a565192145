"""Tests of the event log and its documentation."""

import io
import json
import os
import pathlib
import re
import unittest
from typing import Any

from peridotbend.adapters.logs import (
    RateLimitedStream,
    StructuredLog,
    find_level,
)
from peridotbend.domain.events import Event
from peridotbend.domain.verdicts import Reason

EVENTS_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "events.md"
SECRET = "s3cr3t-value-of-a-caller"


def emit(event: Event, min_level: str = "debug", **fields: object) -> list[Any]:
    """Logs one event and returns the decoded JSON lines."""
    stream = io.StringIO()
    StructuredLog(min_level, stream, instance="e1").emit(event, **fields)
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class StructuredLogTest(unittest.TestCase):
    """Lines of the event log."""

    def test_line_has_number_name_level_and_fields(self) -> None:
        """Guards against lines without the documented number and name."""
        (line,) = emit(
            Event.TEXT_REFUSED, version=7, reason=Reason.BAD_INPUT, zones=["a"]
        )
        assert line.pop("timestamp").endswith("Z")
        assert line == {
            "event": "text-refused", "number": 201, "level": "warning",
            "instance": "e1", "version": 7, "reason": "bad-input",
            "zones": ["a"],
        }  # fmt: skip

    def test_request_ids_are_cut(self) -> None:
        """Guards against full request IDs, which are secrets, in logs."""
        whole = "e1-0123456789abcdef"
        (line,) = emit(
            Event.REQUEST_ENDED,
            request=whole,
            request_id=whole.encode(),
            requests=[whole],
            nested={"request": whole},
        )
        assert line["request"] == line["request_id"] == whole[:8]
        assert whole not in json.dumps(line)

    def test_bodies_and_secrets_are_withheld(self) -> None:
        """Guards against bodies and credentials of callers in logs."""
        (line,) = emit(
            Event.INTERNAL_ERROR,
            body=SECRET,
            chunk=SECRET.encode(),
            Authorization=f"Bearer {SECRET}",
            idempotency_key=SECRET,
            call={"headers": {"cookie": SECRET}, "parts": [SECRET.encode()]},
        )
        assert SECRET not in json.dumps(line)

    def test_fields_cannot_replace_the_events_own(self) -> None:
        """Guards against fields that forge a line or raise an exception."""
        (line,) = emit(Event.PEER_LIVE, number=1, level="error", method_name=2)
        assert (line["number"], line["level"]) == (500, "info")
        assert (line["field_number"], line["field_method_name"]) == (1, 2)

    def test_lower_levels_are_not_written(self) -> None:
        """Guards against a line for each request at the default level."""
        assert emit(Event.REQUEST_DISPATCHED, "info") == []
        assert len(emit(Event.REQUEST_DISPATCHED, "debug")) == 1
        assert emit(Event.PEER_LOST, "error") == []

    def test_closed_stream_does_not_raise(self) -> None:
        """Guards against requests that fail because the log pipe is closed."""
        stream = io.StringIO()
        log = StructuredLog("info", stream)
        stream.close()
        log.emit(Event.PEER_LIVE)


class EventsPageTest(unittest.TestCase):
    """The documented events are exactly the defined ones."""

    def test_rows_match_the_catalogue(self) -> None:
        """Guards against undocumented events and outdated documentation."""
        rows = re.findall(
            r"^\| (\d+) \| (\S+) \| (\w+) \| (.+?) \| (.+?) \|$",
            EVENTS_PAGE.read_text(encoding="utf-8"),
            re.MULTILINE,
        )
        found = [(int(number), name, level) for number, name, level, *_ in rows]
        assert found == [(e.value, e.label, find_level(e)) for e in Event]


class BoundedStreamTest(unittest.TestCase):
    """A log stream that never blocks the process."""

    def setUp(self) -> None:
        self._reader, writer = os.pipe()
        self.addCleanup(os.close, self._reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self._reader, False)
        self._writer = writer

    def _read(self) -> list[str]:
        return os.read(self._reader, 1 << 20).decode().splitlines()

    def test_full_pipe_drops_lines_and_says_so(self) -> None:
        """Guards against requests that block on a slow log reader."""
        stream = RateLimitedStream(self._writer, lines_per_s=1_000_000)
        line = "x" * 1_000 + "\n"
        for _ in range(1_000):
            stream.write(line)
        assert stream.dropped > 0
        dropped = stream.dropped
        self._read()
        stream.write("end\n")
        json_lines = [json.loads(x) for x in self._read() if x.startswith("{")]
        assert json_lines[0]["event"] == "lines-dropped"
        assert json_lines[0]["lines"] == dropped

    def test_rate_is_bounded(self) -> None:
        """Guards against a log rate that grows without limit under load."""
        stream = RateLimitedStream(self._writer, lines_per_s=10)
        for _ in range(1_000):
            stream.write("x\n")
        assert len(self._read()) < 20
