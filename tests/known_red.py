"""nose2 plugin: passes over the tests in KNOWN-RED.txt and counts results."""

import pathlib
import unittest
from typing import Any

from nose2 import events

LIST = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> frozenset[str]:
    """Returns the test names that head the entries of KNOWN-RED.txt."""
    if not LIST.exists():
        return frozenset()
    lines = LIST.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.split(":", 1)[1].strip()
        for line in lines
        if line.startswith("test:")
    )


class KnownRed(events.Plugin):  # type: ignore[misc]
    """Skips known failing tests and prints the closing count."""

    alwaysOn = True  # noqa: N815 (name fixed by nose2)
    configSection = "known-red"  # noqa: N815 (name fixed by nose2)

    def __init__(self) -> None:
        self._known = read_known_red()
        self._counts = {"passed": 0, "failed": 0, "skipped": 0}

    def startTest(self, event: Any) -> None:  # noqa: N802
        """Marks a listed test as skipped before it runs."""
        if event.test.id().removeprefix("tests.") in self._known:
            print(f"known red, passed over: {event.test.id()}")
            event.test.setUp = _raise_known_red

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Counts one result."""
        if event.outcome == "subtest" and not event.exc_info:
            # The test itself is counted when all its subtests are done.
            return
        passed = event.outcome == "passed" and event.expected
        if event.outcome == "skipped":
            self._counts["skipped"] += 1
        elif passed or (event.outcome == "failed" and event.expected):
            self._counts["passed"] += 1
        else:
            self._counts["failed"] += 1

    def afterSummaryReport(self, event: Any) -> None:  # noqa: N802
        """Prints the counts as the last line."""
        counts = self._counts
        event.stream.flush()
        print(
            f"{counts['passed']} passed, {counts['failed']} failed,"
            f" {counts['skipped']} skipped",
            flush=True,
        )


def _raise_known_red() -> None:
    raise unittest.SkipTest("listed in KNOWN-RED.txt")
