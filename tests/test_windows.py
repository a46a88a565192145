"""Tests of target windows and of their division among processes."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import Share
from peridotbend.domain.windows import (
    SHARE_LIFETIME_MS,
    ShareTable,
    TargetWindow,
    WindowDivider,
    divide_window,
)

WORK = st.floats(0, 1e6, allow_nan=False)


class TargetWindowTest(unittest.TestCase):
    """The size of a window."""

    def setUp(self) -> None:
        """Builds the object under test with a manual clock."""
        self.window = TargetWindow(1_000, 400, 1_100)
        self.now_ms = 0
        # An idle target that needs 1 ms for each token.
        self._record(elapsed_ms=164, in_flight=0)

    def _record(self, elapsed_ms: int, in_flight: float = 900) -> None:
        self.window.record_first_output(100, elapsed_ms, in_flight, self.now_ms)
        self.now_ms += elapsed_ms + 1

    def test_grows_by_steps_to_its_maximum(self) -> None:
        """Guards against a window that grows in jumps or beyond its maximum."""
        self._record(170)
        assert 1_000 < self.window.size <= 1_000 + 400 / 4
        for _ in range(100):
            self._record(170)
        assert self.window.size == 1_100

    def test_shrinks_by_a_factor_to_its_minimum(self) -> None:
        """Guards against a window that ignores queueing at the target."""
        self._record(900)
        assert self.window.size == 700
        for _ in range(20):
            self._record(900)
        assert self.window.size == 400

    def test_requests_sent_together_shrink_it_once(self) -> None:
        """Guards against shrinking several times for one queueing episode."""
        for _ in range(5):
            self.window.record_first_output(100, 900, 900, self.now_ms)
        assert self.window.size == 700

    def test_long_prompts_are_not_taken_for_queueing(self) -> None:
        """Guards against comparing a long prompt with a short one's latency."""
        self.window.record_first_output(10_000, 11_000, 900, self.now_ms)
        assert self.window.size >= 1_000

    def test_unused_window_does_not_grow(self) -> None:
        """Guards against growth of a window that is not used."""
        self._record(170, in_flight=100)
        assert self.window.size == 1_000

    def test_slow_start_ends_with_the_first_queueing(self) -> None:
        """Guards against a slow start that takes minutes or never ends."""
        window = TargetWindow(1_000, 400, 100_000)
        window.record_first_output(100, 164, 0, 0)
        for now_ms in range(1, 11):
            window.record_first_output(100, 170, 1e6, now_ms)
        assert window.size > 1_900
        window.record_first_output(100, 900, 1e6, 11)
        shrunk = window.size
        window.record_first_output(100, 170, 1e6, 1_000)
        assert shrunk < window.size < shrunk + 2.0 * 400

    def test_used_share_grows_the_window(self) -> None:
        """Guards against windows that cannot grow when processes share them.

        Use is measured against the allowance of the process.
        """
        for in_flight, grows in ((50, False), (100, True)):
            self.window.record_first_output(
                100, 170, in_flight, self.now_ms, allowance=125
            )
            assert (self.window.size > 1_000) is grows

    def test_speed_follows_idle_samples(self) -> None:
        """Guards against a slower target whose window keeps shrinking.

        The expected latency follows the requests that found the target idle.
        """
        for _ in range(30):
            self._record(1_640, in_flight=0)
        predicted = self.window.predict_ms(100)
        assert predicted is not None and predicted > 1_500
        self._record(1_700)
        assert self.window.size >= 1_000

    def test_timeouts_and_new_bounds(self) -> None:
        """Guards against a target that hangs and keeps its window."""
        self.window.record_timeout(self.now_ms, self.now_ms + 10)
        assert self.window.size == 700
        self.window.set_bounds(800, 900)
        assert self.window.size == 800


class DivideWindowTest(unittest.TestCase):
    """Division of one window by demand."""

    @given(
        WORK,
        st.dictionaries(
            st.text("abc", max_size=3), st.lists(WORK, max_size=3), max_size=9
        ),
    )
    def test_sum_and_order(
        self, size: float, demands: dict[str, list[float]]
    ) -> None:
        """Guards against oversubscription and starved higher tiers."""
        shares = divide_window(size, demands)
        assert set(shares) == set(demands)
        assert sum(share.work for share in shares.values()) <= size
        for share in shares.values():
            assert share.work >= 0
            above = sum(
                sum(demand[: share.lowest_tier_served])
                for demand in demands.values()
            )
            # A tier is served only if all higher tiers are served in full.
            assert share.lowest_tier_served <= 0 or above < size

    def test_max_min_within_a_tier(self) -> None:
        """Guards against proportional shares, which a large demand inflates."""
        shares = divide_window(90, {"a": [10], "b": [1_000], "c": [1_000]})
        assert [s.work for s in shares.values()] == [10, 40, 40]

    def test_higher_tier_first_then_headroom(self) -> None:
        """Guards against low tiers served first and against unused room."""
        demands = {"a": [60, 0, 50], "b": [0, 0, 50], "c": [0, 0, 0]}
        tight = divide_window(100, demands)
        assert [s.work for s in tight.values()] == [80, 20, 0]
        assert tight["a"].lowest_tier_served == 2
        assert divide_window(50, demands)["b"].lowest_tier_served == 0
        loose = divide_window(190, demands)
        assert [s.work for s in loose.values()] == [120, 60, 10]

    def test_tiers_without_work_may_be_left_out(self) -> None:
        """Guards against different shares for demand without its empty tiers.

        Peer messages leave out the trailing tiers that have no work.
        """
        whole = {"a": (0.0, 5.0, 0.0), "b": (0.0, 0.0, 0.0), "c": (9.0, 0, 0)}
        short = {"a": (0.0, 5.0), "b": (), "c": (9.0,)}
        assert divide_window(12.0, whole) == divide_window(12.0, short)


class WindowDividerTest(unittest.TestCase):
    """Division by the demand that peers reported."""

    def test_divides_by_what_was_heard_lately(self) -> None:
        """Guards against room reserved for peers that are gone."""
        clock = ManualClock()
        divider = WindowDivider(clock)
        divider.record_demand("p1", "t1", [100.0])
        clock.advance(SHARE_LIFETIME_MS - 1)
        divider.record_demand("p2", "t2", [100.0])
        shares = divider.divide({"t1": 200})
        assert shares == {
            "p1": [Share("t1", 150, 0)],
            "p2": [Share("t1", 50, 0)],
        }
        clock.advance(1)
        assert divider.divide({"t1": 200}) == {"p2": [Share("t1", 200, -1)]}


class ShareTableTest(unittest.TestCase):
    """Shares received from dividers."""

    def setUp(self) -> None:
        """Builds the object under test with a manual clock."""
        self.clock = ManualClock()
        self.table = ShareTable(self.clock)

    def test_lapsed_share_gives_an_even_part(self) -> None:
        """Guards against a share that is used after its divider has failed."""
        assert self.table.find_allowance("t", 800, 8) == 100
        self.table.update(Share("t", 300, 1))
        self.clock.advance(SHARE_LIFETIME_MS - 1)
        assert self.table.find_allowance("t", 800, 8) == 300
        assert self.table.find_allowance("t", 200, 8) == 200
        self.clock.advance(1)
        assert self.table.find_allowance("t", 800, 8) == 100
        assert self.table.find_allowance("t", 800, 0) == 800

    def test_lowest_tier_over_targets(self) -> None:
        """Guards against shedding a tier while a target serves a lower one."""
        assert self.table.find_lowest_tier(["t", "u"]) is None
        self.table.update(Share("t", 300, -1))
        assert self.table.find_lowest_tier(["t", "u"]) is None
        self.table.update(Share("u", 300, 2))
        assert self.table.find_lowest_tier(["t", "u"]) == 2
        self.clock.advance(SHARE_LIFETIME_MS)
        assert self.table.find_lowest_tier(["t", "u"]) is None
