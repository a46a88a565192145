"""Tests of the limits of client accounts."""

import unittest

from peridotbend.domain.accounts import AccountHold, ClientLimits
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.text import ClientAccount
from peridotbend.domain.verdicts import NotRun, Reason


class ClientLimitsTest(unittest.TestCase):
    """Admission within the limits of client accounts."""

    def setUp(self) -> None:
        """Builds limits for three accounts, with a manual clock."""
        self.clock = ManualClock()
        self.limits = ClientLimits(self.clock)
        self.limits.apply(
            [
                ClientAccount("anonymous", max_concurrent=1),
                ClientAccount("acme", weight=3, work_per_s=100),
                ClientAccount("free"),
            ]
        )

    def _admit(self, account: str, work: float = 10) -> AccountHold:
        hold = self.limits.admit(account, work)
        assert isinstance(hold, AccountHold), hold
        return hold

    def _refuse(self, account: str, work: float = 10) -> int:
        refusal = self.limits.admit(account, work)
        assert isinstance(refusal, NotRun)
        assert refusal.reason is Reason.CLIENT_LIMIT
        return refusal.retry_after_ms

    def test_rate_refusal_tells_when_it_ends(self) -> None:
        """Guards against a retry time that is too early."""
        self._admit("acme", 150)
        retry_ms = self._refuse("acme", 100)
        self.clock.advance(retry_ms - 1)
        self._refuse("acme", 100)
        self.clock.advance(1)
        self._admit("acme", 100)

    def test_oversized_request_is_admitted_in_debt(self) -> None:
        """Guards against a request so large that it is never admitted."""
        self._admit("acme", 1_000)
        assert self._refuse("acme", 1_000) == 10_000
        self.clock.advance(10_000)
        self._admit("acme", 1_000)

    def test_work_not_run_is_credited(self) -> None:
        """Guards against charging an account for requests that did not run."""
        hold = self._admit("acme", 200)
        self._refuse("acme", 200)
        self.limits.release(hold, ran=False)
        self._admit("acme", 200)

    def test_concurrent_places(self) -> None:
        """Guards against a concurrency slot that is leaked or granted twice."""
        hold = self._admit("anonymous")
        assert self._refuse("anonymous") > 0
        self.limits.release(hold, ran=True)
        self._admit("anonymous")

    def test_unlisted_account_shares_the_anonymous_limit(self) -> None:
        """Guards against made-up account names that escape the limits."""
        self._admit("anonymous")
        self._refuse("invented")
        assert self.limits.find_weight("acme") == 3
        assert self.limits.find_weight("invented") == 1

    def test_hold_outlives_its_account(self) -> None:
        """Guards against an error when an account in use is removed.

        Its hold is released after the configuration has changed.
        """
        hold = self._admit("free")
        self.limits.apply([])
        self.limits.release(hold, ran=True)
        self.limits.apply([])
        assert not self.limits.dump()
