"""Tests of noticing pauses."""

import unittest

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.pauses import MIN_PAUSE_MS, PauseDetector


class PauseDetectorTest(unittest.TestCase):
    """Spans of time that include a pause."""

    def test_spans_over_a_pause_are_found(self) -> None:
        """Guards against a pause measured as a slow target."""
        clock = ManualClock()
        pauses = PauseDetector(clock)
        pauses.tick()
        before_ms = clock.now_ms()
        clock.advance(MIN_PAUSE_MS + 1)
        assert pauses.paused_since(before_ms), "before the first tick after it"
        pauses.tick()
        assert pauses.paused_since(before_ms)
        assert not pauses.paused_since(clock.now_ms())

    def test_running_process_has_no_pauses(self) -> None:
        """Guards against measurements that are thrown away."""
        clock = ManualClock()
        pauses = PauseDetector(clock)
        start_ms = clock.now_ms()
        clock.advance(10 * MIN_PAUSE_MS)
        assert not pauses.paused_since(start_ms), "nothing ticked yet"
        for _ in range(100):
            pauses.tick()
            clock.advance(MIN_PAUSE_MS)
        assert not pauses.paused_since(start_ms)
