"""Tests of request records."""

import unittest

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.records import (
    CallerCall,
    RequestRecord,
    RequestTable,
)
from peridotbend.domain.verdicts import Completed, MayHaveRun, NotRun, Reason

CALL = CallerCall("shop", "POST", "/v1/orders", ())


def _make_record(token: str = "t", expires_at_ms: int = 9_000) -> RequestRecord:
    return RequestRecord(token, "shop", "orders", "confirm", expires_at_ms)


class DispatchGateTest(unittest.TestCase):
    """The only claim to dispatch a request."""

    def test_second_claim_is_refused(self) -> None:
        """Guards against a request that is sent to two targets."""
        record = _make_record()
        record.start(CALL, b"", 5_000)
        assert record.claim_dispatch(1_000)
        assert not record.claim_dispatch(1_000)

    def test_claim_after_deadline_or_expiry_is_refused(self) -> None:
        """Guards against a process that dispatches late, after a pause."""
        late = _make_record()
        late.start(CALL, b"", 5_000)
        assert not late.claim_dispatch(5_000)
        expired = _make_record(expires_at_ms=4_000)
        expired.start(CALL, b"", 5_000)
        assert not expired.claim_dispatch(4_000)

    def test_handed_over_record_is_never_dispatched(self) -> None:
        """Guards against a dispatch by both the old and the new holder."""
        record = _make_record()
        record.start(CALL, b"", 5_000)
        record.hand_over()
        assert not record.claim_dispatch(1_000)

    def test_not_run_after_dispatch_is_a_programming_error(self) -> None:
        """Guards against "not run" for a request that may have run."""
        record = _make_record()
        record.start(CALL, b"", 5_000)
        record.claim_dispatch(1_000)
        with self.assertRaises(AssertionError):
            record.end(NotRun(Reason.SHED))


class RequestTableTest(unittest.TestCase):
    """Bounds on records and answers."""

    def setUp(self) -> None:
        self.clock = ManualClock(1_000)
        self.table = RequestTable(self.clock, 2, 100)

    def test_full_table_drops_only_refused_requests(self) -> None:
        """Guards against dropping the record of a dispatched request."""
        ran, refused = _make_record("ran"), _make_record("refused")
        ran.start(CALL, b"", 5_000)
        ran.claim_dispatch(1_000)
        ran.end(Completed())
        refused.end(NotRun(Reason.SHED))
        assert self.table.add(ran) and self.table.add(refused)
        assert self.table.add(_make_record("third"))
        assert self.table.find("ran") is ran
        assert self.table.find("refused") is None
        assert not self.table.add(_make_record("fourth"))

    def test_expired_dispatch_ends_as_may_have_run(self) -> None:
        """Guards against a dispatched request reported as not run."""
        record = _make_record()
        self.table.add(record)
        record.start(CALL, b"", 5_000)
        record.claim_dispatch(1_000)
        self.clock.advance(8_000)
        assert self.table.remove_expired() == 1
        assert record.answer.verdict == MayHaveRun(Reason.EXPIRED)
        assert self.table.find("t") is None

    def test_undelivered_answers_are_never_evicted(self) -> None:
        """Guards against evicting an answer that no caller has received."""
        record = _make_record()
        self.table.add(record)
        record.start(CALL, b"", 5_000)
        record.claim_dispatch(1_000)
        assert self.table.reserve_bytes(record, 80)
        record.answer.append(b"x" * 60)
        record.end(Completed())
        self.table.release_unused_bytes(record)
        assert self.table.budget.used_bytes == 60
        other = _make_record("other")
        assert not self.table.reserve_bytes(other, 50)
        record.answer.delivered = True
        assert self.table.reserve_bytes(other, 50)
        assert record.answer.evicted and self.table.find("t") is record
