"""Tests of allowances, extra sends and crash counts of one instance."""

import dataclasses
import unittest

from peridotbend.domain.clock import ManualClock
from peridotbend.edge.allowances import Allowances, AllowanceUse
from peridotbend.edge.config import Account
from peridotbend.edge.crashes import MAX_CRASHES, CrashTracker
from peridotbend.edge.sendbudget import SendBudget
from tests.edgefakes import SETTINGS

# Grants nothing beyond the allowance, so that the sums below are exact.
STRICT = dataclasses.replace(
    SETTINGS, allowance_overage=0.0, allowance_slack=0.0
)


class AllowanceTest(unittest.TestCase):
    """Allowances that all instances share."""

    ACCOUNT = Account("acme", frozenset(("k",)), None, 100.0, 1_000.0, 1.0)

    def _make(self, share: float = 1.0) -> tuple[ManualClock, Allowances]:
        clock = ManualClock()
        allowances = Allowances(clock, STRICT, lambda: share)
        allowances.apply([self.ACCOUNT])
        clock.advance(60_000)
        return clock, allowances

    def test_what_peers_spend_is_taken_out(self) -> None:
        """Guards against each instance granting the whole allowance."""
        _, allowances = self._make()
        allowances.record_peer("a", 1, {"acme": AllowanceUse(0.0, 1_000.0)})
        allowances.record_peer("a", 1, {"acme": AllowanceUse(900.0, 100.0)})
        assert allowances.try_take("acme", 100.0) is None
        assert allowances.try_take("acme", 100.0) == 1_000

    def test_repeated_digest_is_taken_out_once(self) -> None:
        """Guards against spending that counts with each digest."""
        _, allowances = self._make()
        for _ in range(5):
            allowances.record_peer(
                "a", 1, {"acme": AllowanceUse(500.0, 1_000.0)}
            )
        assert allowances.try_take("acme", 1_000.0) is None

    def test_new_process_goes_on_from_the_level_of_its_peers(self) -> None:
        """Guards against a full allowance for each restart.

        A restarted process also must not refuse what the others grant.
        """
        clock = ManualClock()
        allowances = Allowances(clock, STRICT, lambda: 1.0)
        allowances.apply([self.ACCOUNT])
        assert allowances.try_take("acme", 500.0) is not None
        allowances.record_peer("a", 1, {"acme": AllowanceUse(0.0, 700.0)})
        assert allowances.try_take("acme", 500.0) is None
        assert allowances.try_take("acme", 500.0) is not None

    def test_digests_before_the_configuration_cost_nothing(self) -> None:
        """Guards against a restart that pays for all that peers ever spent.

        Seen on a recorded day: after each restart an instance refused an
        account for seconds, its level being that of its peers less all that
        they had spent since their starts.
        """
        clock = ManualClock()
        allowances = Allowances(clock, STRICT, lambda: 1.0)
        told = {"acme": AllowanceUse(50_000.0, 700.0)}
        for peer in ("a", "b", "c"):
            allowances.record_peer(peer, 1, told)
        allowances.apply([self.ACCOUNT])
        for peer in ("a", "b", "c"):
            allowances.record_peer(peer, 1, told)
        assert allowances.try_take("acme", 700.0) is None
        assert allowances.try_take("acme", 100.0) is not None

    def test_cut_off_instance_uses_its_part(self) -> None:
        """Guards against a partition that doubles an allowance."""
        clock, allowances = self._make(share=0.25)
        assert allowances.try_take("acme", 251.0) is not None
        assert allowances.try_take("acme", 249.0) is None
        clock.advance(10_000)
        assert allowances.try_take("acme", 251.0) is not None
        assert allowances.try_take("acme", 249.0) is None

    def test_generations_leave_room_for_plain_requests(self) -> None:
        """Guards against orders refused for the tokens of chat answers."""
        _, allowances = self._make()
        while allowances.try_take("acme", 50.0, is_generation=True) is None:
            pass
        assert allowances.try_take("acme", 40.0) is None

    def test_lowered_limit_holds_at_once(self) -> None:
        """Guards against a bucket that keeps the level of the old limit."""
        _, allowances = self._make()
        lower = dataclasses.replace(self.ACCOUNT, burst_tokens=50.0)
        allowances.apply([lower])
        assert allowances.try_take("acme", 50.0) is None
        assert allowances.try_take("acme", 50.0) is not None


class SendBudgetTest(unittest.TestCase):
    """Extra sends of all instances together."""

    def test_sum_over_instances_keeps_the_bound(self) -> None:
        """Guards against a bound that each instance uses up alone."""
        clock = ManualClock()
        budgets = [SendBudget(clock, SETTINGS) for _ in range(8)]
        requests = extra = 0
        for _ in range(50):
            for budget in budgets:
                budget.record_request("shop")
                requests += 1
                extra += budget.try_spend("shop", 8)
                extra += budget.try_spend("shop", 8)
        bound = SETTINGS.resend_share * requests + SETTINGS.resend_slack
        assert 0 < extra <= bound

    def test_window_slides(self) -> None:
        """Guards against a budget that is never filled again."""
        clock = ManualClock()
        budget = SendBudget(clock, SETTINGS)
        while budget.try_spend("shop", 1):
            pass
        clock.advance(SETTINGS.resend_window_ms + 1)
        assert budget.try_spend("shop", 1)


class CrashListTest(unittest.TestCase):
    """Requests that crash their targets, over all instances."""

    def test_counts_of_peers_add_up(self) -> None:
        """Guards against one crash at each instance for a single request."""
        crashes = CrashTracker(ManualClock())
        crashes.note_broken_connection("i-1", 7)
        assert crashes.note_target_dead("i-1") == [7]
        crashes.record_peer("10.0.0.2", {7: 1})
        assert not crashes.is_quarantined(7)
        crashes.record_peer("10.0.0.3", {7: 1})
        assert crashes.is_quarantined(7)

    def test_cut_from_targets_convicts_no_request(self) -> None:
        """Guards against good requests refused for ten minutes after a cut.

        Seen on a recorded day: four targets behind a cut zone were taken for
        crashed by one request that its caller had sent again.
        """
        crashes = CrashTracker(ManualClock())
        targets = [f"i-{number}" for number in range(4)]
        for target in targets:
            crashes.note_broken_connection(target, 7)
            crashes.note_target_dead(target)
        assert crashes.is_quarantined(7)
        for target in targets:
            crashes.note_target_alive(target)
        assert not crashes.is_quarantined(7)
        assert not crashes.list_for_digest()

    def test_one_target_counts_once(self) -> None:
        """Guards against one death that several tries of a caller share."""
        crashes = CrashTracker(ManualClock())
        for _ in range(MAX_CRASHES):
            crashes.note_broken_connection("i-1", 7)
            crashes.note_target_dead("i-1")
        assert not crashes.is_quarantined(7)

    def test_broken_connections_alone_prove_nothing(self) -> None:
        """Guards against good requests refused after connection resets."""
        crashes = CrashTracker(ManualClock())
        for _ in range(10):
            crashes.note_broken_connection("i-1", 7)
        assert not crashes.is_quarantined(7)

    def test_success_clears(self) -> None:
        """Guards against a request refused for crashes of its company."""
        crashes = CrashTracker(ManualClock())
        for target in ("i-1", "i-2", "i-3"):
            crashes.note_broken_connection(target, 7)
            crashes.note_target_dead(target)
        assert crashes.is_quarantined(7)
        crashes.note_success(7)
        assert not crashes.is_quarantined(7)
