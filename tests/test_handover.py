"""Tests of the hand-over of records at shutdown."""

import dataclasses

from peridotbend.domain.ports import RecordState
from peridotbend.domain.verdicts import Reason
from tests.fakenode import SimNode
from tests.fleettest import FleetTest, get_verdict
from tests.oracle import Caller


class HandOverTest(FleetTest):
    """Records that move to a successor while their callers wait."""

    def _overload_targets(self, node: SimNode) -> list[Caller]:
        """Sends more requests than the target windows hold."""
        callers = [
            self.send(node, uid=f"u{number}", ms=0) for number in range(5)
        ]
        self.run_for(30)
        states = {record.state for record in node.records}
        assert RecordState.QUEUED in states and len(states) > 1
        return callers

    def test_attached_callers_get_their_answers(self) -> None:
        """Guards against a shutdown that interrupts requests."""
        callers = self._overload_targets(self.a1)
        self.oracle.drain(self.a1)
        self.run_for(6_000)
        assert self.a1.process.dead
        assert {get_verdict(c)[0] for c in callers} == {"completed"}

    def test_lost_reply_leaves_the_outcome_open(self) -> None:
        """Guards against "not run" for records that a successor may run.

        The reply to the hand-over is lost, so its outcome is unknown.
        """
        callers = self._overload_targets(self.a1)
        self.world.lost_replies.add("HandOver")
        self.oracle.drain(self.a1)
        self.run_for(12_000)
        verdicts = {get_verdict(c) for c in callers}
        assert verdicts == {
            ("completed", None),
            ("may-have-run", Reason.HANDED_OVER),
        }
        assert all(len(runs) == 1 for runs in self.world.runs.values())
        assert len(self.world.runs) == len(callers), "the successor ran them"

    def test_reservation_outlives_its_minter(self) -> None:
        """Guards against a reserved ID that a restart makes invalid."""
        token = self.reserve(self.a1)
        self.oracle.drain(self.a1)
        self.run_for(2_000)
        caller = self.send(self.a2, "confirm", token)
        assert get_verdict(caller)[0] == "completed"

    def test_finished_answer_outlives_its_minter(self) -> None:
        """Guards against completed answers that a shutdown loses."""
        first = self.send(self.a1)
        self.oracle.drain(self.a1)
        self.run_for(2_000)
        later = self.fetch(self.a2, first.token, offset=5)
        assert get_verdict(later)[0] == "completed"
        assert later.data == self.world.answers[first.token][5:]

    def test_batch_that_arrives_twice_starts_once(self) -> None:
        """Guards against a second dispatch when a batch is received twice."""
        token = self.reserve(self.a1, "quote")
        self.send(self.a1, "quote", token, ms=0)
        self.world.run_for(1)
        found = self.a1.records.find(token)
        assert found is not None
        batch = [self.a1.record_transfer._pack(found)]
        self.world.kill(self.a1)

        async def import_batch() -> None:
            accepted = self.a2.record_transfer.import_records("a1", 1, batch)
            assert accepted == [token]

        for _ in range(2):
            self.world.loop.spawn(self.a2.process, import_batch())
            self.world.run_for(20)
        self.run_for(1_500)
        assert len(self.world.runs[token]) == 1

    def test_request_that_cannot_start_holds_no_bytes(self) -> None:
        """Guards against answer bytes that stay reserved until the expiry."""
        token = self.reserve(self.a1, "quote")
        self.send(self.a1, "quote", token, ms=0)
        self.world.run_for(1)
        found = self.a1.records.find(token)
        assert found is not None
        handed = dataclasses.replace(
            self.a1.record_transfer._pack(found),
            state=RecordState.QUEUED,
            kind="no-such-kind",
            body=b"x" * 1_000,
        )
        used_bytes = self.a2.records.budget.used_bytes
        transfer = self.a2.record_transfer
        assert transfer.import_records("a1", 1, [handed]) == [token]
        record = self.a2.records.find(token)
        assert record is not None and record.state is RecordState.NOT_RUN
        assert record.reserved_bytes == 0
        assert self.a2.records.budget.used_bytes == used_bytes

    def test_draining_instance_takes_nothing_over(self) -> None:
        """Guards against records handed to an instance that also shuts down."""
        token = self.reserve(self.a1)
        found = self.a1.records.find(token)
        assert found is not None
        batch = [self.a1.record_transfer._pack(found)]
        self.a2.service.draining = True
        assert self.a2.record_transfer.import_records("a1", 1, batch) == []
