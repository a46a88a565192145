"""Tests of the detection of process pauses."""

import unittest

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.pauses import MIN_PAUSE_MS, PauseDetector


class PauseDetectorTest(unittest.TestCase):
    """Spans of time that include a pause."""

    def test_spans_over_a_pause_are_found(self) -> None:
        """Guards against a pause of this process measured as a slow target."""
        clock = ManualClock()
        pauses = PauseDetector(clock)
        pauses.tick()
        before_pause_ms = clock.now_ms()
        clock.advance(MIN_PAUSE_MS + 1)
        assert pauses.paused_since(before_pause_ms), "no tick since the pause"
        pauses.tick()
        assert pauses.paused_since(before_pause_ms)
        assert not pauses.paused_since(clock.now_ms())

    def test_running_process_has_no_pauses(self) -> None:
        """Guards against discarding measurements although no pause occurred."""
        clock = ManualClock()
        pauses = PauseDetector(clock)
        start_ms = clock.now_ms()
        clock.advance(10 * MIN_PAUSE_MS)
        assert not pauses.paused_since(start_ms), "no tick yet"
        for _ in range(100):
            pauses.tick()
            clock.advance(MIN_PAUSE_MS)
        assert not pauses.paused_since(start_ms)
