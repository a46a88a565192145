"""Tests of the estimates for one target."""

import unittest

from peridotbend.domain import estimates
from peridotbend.domain.text import Kind
from peridotbend.domain.work import WorkEstimate, WorkItem

COSTS = estimates.TokenCosts(0.5, 10.0)


def make_item(key: str, prompt: int, deadline_at_ms: int = 60_000) -> WorkItem:
    """Returns a request with 100 output tokens."""
    kind = Kind("k", "s", "POST", "/", "", 0, True, 1, 1, 1, 1)
    return WorkItem(key, kind, "a", WorkEstimate(prompt, 100), deadline_at_ms)


class InFlightTest(unittest.TestCase):
    """Requests of this process in flight at one target."""

    def test_queue_at_the_engine_is_not_slowness(self) -> None:
        """Guards against a lower speed learnt from this process's own queue."""
        estimate = estimates.TargetEstimate()
        items = [make_item(f"k{n}", 1_000) for n in range(10)]
        for item in items:
            estimate.record_dispatch(item, COSTS, 0, 0)
        for turn, item in enumerate(items):
            first_ms = 500 * (turn + 1)
            running = estimate.in_flight[item.key]
            estimate.record_first_output(running, first_ms, COSTS, first_ms)
        assert estimate.prefill.find_measured() == 0.5
        assert estimate.straggler_state.weight == 1.0

    def test_unreported_end(self) -> None:
        """Guards against entries of requests whose end is never reported."""
        estimate = estimates.TargetEstimate()
        for now_ms in range(100_000, 300_000, 100):
            item = make_item(str(now_ms), 1_000, now_ms + 1_000)
            estimate.record_dispatch(item, COSTS, 0, now_ms)
            estimate.check_overdue(now_ms)
        assert len(estimate.in_flight) <= 120
        for number in range(3_000):
            estimate.record_dispatch(
                make_item(f"x{number}", 1), COSTS, 0, 300_000
            )
        assert len(estimate.in_flight) == estimates.MAX_IN_FLIGHT
