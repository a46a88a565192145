"""Tests of the tool that computes the tables of docs/CAPACITY.md."""

import json
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tools"))

import capacity  # type: ignore[import-not-found]
import sizing  # type: ignore[import-not-found]


class PageTest(unittest.TestCase):
    """The committed page."""

    def test_page_is_current_with_the_slopes(self) -> None:
        """Guards against tables that do not follow from the measured slopes."""
        page = capacity.PAGE.read_text()
        slopes = json.loads(capacity.SLOPES.read_text())
        rendered = capacity.render_page(page, sizing.Measurements(slopes))
        assert rendered == page, "run `make capacity` and commit the page"

    def test_page_has_every_table(self) -> None:
        """Guards against a table marker that was removed by an edit."""
        page = capacity.PAGE.read_text()
        names = {match[1] for match in capacity.TABLE_BLOCK.findall(page)}
        assert names == set(capacity.TABLES)


class ArithmeticTest(unittest.TestCase):
    """Line fits, comparisons with bounds and number formats."""

    def test_load_polls_are_not_counted_as_links(self) -> None:
        """Guards against a cost per link that includes the load polls."""
        slopes = {}
        for size in sizing.IDLE_INSTANCES:
            for targets in sizing.IDLE_TARGETS:
                polls = min(targets, sizing.POLLS_PER_S)
                for figure, value in (
                    (sizing.CPU, 1 + 0.25 * (size - 1) + 0.125 * polls),
                    (sizing.SENT, 50.0 + 700 * (size - 1)),
                ):
                    key = sizing.IDLE_KEY.format(size, targets, figure)
                    slopes[key] = {"median": value}
        measured = sizing.Measurements({"control": {"slopes": slopes}})
        control = sizing.fit_control(measured)
        assert round(control.poll_cpu_percent, 9) == 0.125
        assert round(control.cpu.at(20), 9) == 1 + 0.25 * 20
        assert round(control.sent.at(20), 6) == 50 + 700 * 20
        assert round(control.cpu_percent(0), 9) == 1 + 64 * 0.125

    def test_excess_is_stated(self) -> None:
        """Guards against a value over its bound that is reported as fitting."""
        assert capacity.format_fit(2.0, 4.0, "s").startswith("fits (50%")
        over = capacity.format_fit(6.0, 4.0, "s")
        assert "over by 2 s" in over and "1.5 times" in over

    def test_numbers_keep_three_digits(self) -> None:
        """Guards against numbers with more digits than the measurement has."""
        assert capacity.format_number(22_222.2) == "22,200"
        assert capacity.format_number(0.012345) == "0.0123"
