"""Tests of the tool that works out docs/CAPACITY.md."""

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
        """Guards against tables that no run stands behind."""
        page = capacity.PAGE.read_text()
        slopes = json.loads(capacity.SLOPES.read_text())
        rendered = capacity.render_page(page, sizing.Measured(slopes))
        assert rendered == page, "run `make capacity` and commit the page"

    def test_page_has_every_table(self) -> None:
        """Guards against a marker that was lost by editing."""
        page = capacity.PAGE.read_text()
        names = {match[1] for match in capacity.TABLE.findall(page)}
        assert names == set(capacity.TABLES)


class ArithmeticTest(unittest.TestCase):
    """Lines, fits and numbers."""

    def test_load_polls_are_not_counted_as_links(self) -> None:
        """Guards against a cost per link that includes the polls."""
        slopes = {}
        for size in sizing.SIZES:
            for targets in sizing.TARGETS:
                polls = min(targets, sizing.POLLS_PER_S)
                for what, value in (
                    (sizing.CPU, 1 + 0.25 * (size - 1) + 0.125 * polls),
                    (sizing.SENT, 50.0 + 700 * (size - 1)),
                ):
                    key = sizing.IDLE_KEY.format(size, targets, what)
                    slopes[key] = {"median": value}
        measured = sizing.Measured({"control": {"slopes": slopes}})
        control = sizing.fit_control(measured)
        assert round(control.poll_cpu_percent, 9) == 0.125
        assert round(control.cpu.at(20), 9) == 1 + 0.25 * 20
        assert round(control.sent.at(20), 6) == 50 + 700 * 20
        assert round(control.cpu_percent(0), 9) == 1 + 64 * 0.125

    def test_excess_is_stated(self) -> None:
        """Guards against a figure over its bound that reads as a fit."""
        assert capacity.write_fit(2.0, 4.0, "s").startswith("fits (50%")
        over = capacity.write_fit(6.0, 4.0, "s")
        assert "over by 2 s" in over and "1.5 times" in over

    def test_numbers_keep_three_digits(self) -> None:
        """Guards against figures that claim more than was measured."""
        assert capacity.write_number(22_222.2) == "22,200"
        assert capacity.write_number(0.012345) == "0.0123"
