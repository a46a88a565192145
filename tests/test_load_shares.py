"""Tests of fair shares: one account at many times its usual rate."""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from peridotbend.domain.clock import ManualClock
from peridotbend.load import shares
from peridotbend.load.shares import USE_WINDOW_MS, FairShares

NAMES = ("hog", "a", "b", "c")


def _offer(
    shares: FairShares, account: str, offered: int, granted: int
) -> None:
    for number in range(offered):
        shares.note_offered(account, 1_000)
        if number < granted:
            shares.note_granted(account, 1_000)


class FairSharesTest(unittest.TestCase):
    """Accounts that compete for the slots of one service."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.shares = FairShares(self.clock)

    def test_lowest_use_goes_first(self) -> None:
        """Guards against one account whose many requests come first."""
        _offer(self.shares, "hog", 8, 8)
        _offer(self.shares, "a", 1, 1)
        assert self.shares.find_order("a") < self.shares.find_order("hog")

    def test_larger_allowance_gets_more(self) -> None:
        """Guards against an equal share for accounts that pay for more."""
        self.shares.apply_weights({"hog": 16.0, "a": 1.0})
        _offer(self.shares, "hog", 8, 8)
        _offer(self.shares, "a", 1, 1)
        assert self.shares.find_order("hog") < self.shares.find_order("a")

    def test_idle_account_has_no_credit(self) -> None:
        """Guards against a surge for which an account has saved by idling."""
        self.clock.advance(60_000)
        for name in NAMES[1:]:
            _offer(self.shares, name, 4, 2)
        _offer(self.shares, "hog", 16, 4)
        assert self.shares.find_order("hog") > self.shares.find_order("a")
        assert self.shares.is_over_share("hog")

    def test_idle_accounts_take_no_memory(self) -> None:
        """Guards against memory that grows with every account ever seen."""
        with mock.patch.object(shares, "MAX_ACCOUNTS", 10):
            for number in range(50):
                _offer(self.shares, f"account-{number}", 1, 1)
                self.clock.advance(USE_WINDOW_MS)
        assert len(self.shares._uses) <= 10

    def test_use_is_forgotten(self) -> None:
        """Guards against an account that pays for a burst of long ago."""
        _offer(self.shares, "hog", 8, 8)
        self.clock.advance(USE_WINDOW_MS + 500)
        assert self.shares.find_order("hog") == 0.0
        assert not self.shares.list_use()

    def test_account_at_eight_times_its_rate_is_over_its_share(self) -> None:
        """Guards against others pushed out by one account in a shortage."""
        _offer(self.shares, "hog", 16, 8)
        for name in NAMES[1:]:
            _offer(self.shares, name, 2, 1)
        assert self.shares.is_over_share("hog")
        assert not any(map(self.shares.is_over_share, NAMES[1:]))

    def test_one_large_request_does_not_free_an_account_for_good(self) -> None:
        """Guards against an account that states a huge token count once."""
        self.shares.note_offered("hog", 2_000_000_000)
        self.clock.advance(USE_WINDOW_MS + 500)
        _offer(self.shares, "hog", 16, 8)
        for name in NAMES[1:]:
            _offer(self.shares, name, 2, 1)
        assert self.shares.is_over_share("hog")

    def test_nothing_is_limited_while_all_get_what_they_ask(self) -> None:
        """Guards against refusing an account for which there is room."""
        _offer(self.shares, "hog", 16, 16)
        for name in NAMES[1:]:
            _offer(self.shares, name, 2, 2)
        assert not any(map(self.shares.is_over_share, NAMES))

    def test_what_others_leave_goes_to_the_largest(self) -> None:
        """Guards against slots that stay empty beside a large account."""
        _offer(self.shares, "hog", 16, 8)
        for name in NAMES[1:]:
            _offer(self.shares, name, 2, 2)
        assert not self.shares.is_over_share("hog")

    @settings(max_examples=60, deadline=None)
    @given(
        weights=st.lists(st.floats(0.5, 4.0), min_size=4, max_size=4),
        sizes=st.lists(st.integers(100, 60_000), min_size=20, max_size=40),
        hog_waits=st.integers(1, 20),
    )
    def test_no_account_waits_forever(
        self, weights: list[float], sizes: list[int], hog_waits: int
    ) -> None:
        """Guards against starvation beside accounts that always wait.

        The load is a queue that is never empty. No account is passed over once
        its use relative to its weight is the lowest.
        """
        clock = ManualClock()
        shares = FairShares(clock)
        shares.apply_weights(dict(zip(NAMES, weights, strict=True)))
        passed_over = dict.fromkeys(NAMES, 0)
        for step in range(400):
            chosen = min(NAMES, key=shares.find_order)
            size = sizes[step % len(sizes)] * (
                hog_waits if chosen == "hog" else 1
            )
            shares.note_granted(chosen, size)
            clock.advance(50)
            for name in NAMES:
                passed_over[name] += 1
            passed_over[chosen] = 0
            # Its use leaves the window after 80 steps, and is 0 then.
            assert max(passed_over.values()) <= 2 * USE_WINDOW_MS // 50
