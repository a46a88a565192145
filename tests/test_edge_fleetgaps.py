"""Tests of what is known of instances that are not heard of."""

import unittest

from peridotbend.domain.clock import ManualClock
from peridotbend.edge.fleetgaps import (
    CATCH_UP_MS,
    LOSS_NOTICE_MS,
    MAX_GAPS,
    FleetGaps,
)


class FleetGapsTest(unittest.TestCase):
    """By how old a list of targets other instances may place streams."""

    def setUp(self) -> None:
        """Creates a process that has just started."""
        self.clock = ManualClock()
        self.gaps = FleetGaps(self.clock)

    def _note(self, is_whole: bool, after_ms: int = 0) -> int:
        self.clock.advance(after_ms)
        self.gaps.note_fleet(is_whole)
        return self.clock.now_ms()

    def test_gap_at_the_start_has_no_known_begin(self) -> None:
        """Guards against trust in an instance that stood still before."""
        self._note(False)
        whole_ms = self._note(True, 3_000)
        caught_up_ms = whole_ms + CATCH_UP_MS
        self.clock.advance(60_000)
        assert self.gaps.find_oldest_view(caught_up_ms) is None
        since_ms = caught_up_ms + 1
        assert self.gaps.find_oldest_view(since_ms) == since_ms

    def test_stream_of_an_instance_that_is_back_stays_in_doubt(self) -> None:
        """Guards against streams that last longer than any fixed distrust."""
        self._note(True)
        lost_ms = self._note(False, 60_000)
        back_ms = self._note(True, 4_000)
        self.clock.advance(120_000)
        assert self.gaps.find_oldest_view(back_ms) == lost_ms - LOSS_NOTICE_MS

    def test_losses_in_series_are_one_doubt(self) -> None:
        """Guards against a second loss that hides the first one."""
        self._note(True)
        first_ms = self._note(False, 60_000)
        self._note(True, 4_000)
        self._note(False, 1_000)
        back_ms = self._note(True, 4_000)
        view_ms = self.gaps.find_oldest_view(back_ms)
        assert view_ms == first_ms - LOSS_NOTICE_MS

    def test_forgotten_gaps_lengthen_the_others(self) -> None:
        """Guards against trust in a time whose losses were forgotten."""
        self._note(True)
        first_ms = self._note(False, 60_000)
        for _ in range(2 * MAX_GAPS):
            self._note(True, 10_000)
            last_ms = self._note(False, 10_000)
        view_ms = self.gaps.find_oldest_view(last_ms)
        assert view_ms == last_ms - LOSS_NOTICE_MS
        # Joined with that at the start.
        assert self.gaps.find_oldest_view(first_ms) is None
