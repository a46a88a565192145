"""Tests of the verdict types."""

import unittest

from peridotbend.domain import verdicts


class StatusTest(unittest.TestCase):
    """HTTP status codes of refusals."""

    def test_every_reason_has_a_status(self) -> None:
        """Guards against a refusal that has no HTTP status."""
        missing = set(verdicts.Reason) - set(verdicts.STATUS_BY_REASON)
        assert not missing, missing
