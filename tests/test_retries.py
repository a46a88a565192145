"""Tests of the retry budget."""

import unittest

from peridotbend.domain.retries import RetryBudget


def count_attempts(budget: RetryBudget, requests: int, targets: int) -> int:
    """Simulates requests while all targets are down; counts the attempts."""
    attempts = 0
    for _ in range(requests):
        attempts += 1
        for _ in range(targets - 1):
            attempts += budget.try_spend()
    return attempts


class RetryBudgetTest(unittest.TestCase):
    """Connect attempts while targets are down."""

    def test_outage_of_all_targets(self) -> None:
        """Guards against an outage in which retries multiply the attempts."""
        budget = RetryBudget()
        assert count_attempts(budget, 1_000, 5) == 1_003
        for _ in range(100):
            budget.record_dispatch()
        assert count_attempts(budget, 1_000, 5) == 1_010
        for _ in range(100_000):
            budget.record_dispatch()
        assert count_attempts(budget, 1_000, 5) == 1_103
