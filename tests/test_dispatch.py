"""Tests of the path from a target's grant to the verdict."""

from peridotbend.domain.ports import SuspectState
from peridotbend.domain.verdicts import Reason
from tests.fleettest import FleetTest, tell

MAYBE = "may-have-run"


class AttemptTest(FleetTest):
    """Targets that fail in each way."""

    def test_refused_connection_is_tried_elsewhere(self) -> None:
        """Guards against a refusal while another target works."""
        self.world.targets["m1"].behaviours.append("refuse")
        self.world.targets["m2"].behaviours.append("")
        assert tell(self.send(self.a1))[0] == "completed"

    def test_spent_retry_budget_refuses(self) -> None:
        """Guards against retries without bound while all targets are dead."""
        self.plan("refuse")
        while self.a1.dispatcher.ports.retries.try_spend():
            pass
        caller = self.send(self.a1)
        assert tell(caller) == ("not-run", Reason.CONNECT_FAILED)
        plans = [len(t.behaviours) for t in self.world.targets.values()]
        assert sum(plans) == 1, "one attempt"

    def test_target_dead_after_the_first_byte_is_not_replaced(self) -> None:
        """Guards against a second dispatch after a death."""
        self.plan("die-unanswered", "o")
        token = self.reserve(self.a1)
        caller = self.send(self.a1, "confirm", token)
        assert tell(caller) == (MAYBE, Reason.TARGET_FAILED)
        assert len(self.world.runs[token]) == 1

    def test_broken_stream_is_resumed_on_its_target(self) -> None:
        """Guards against lost or doubled events of a resumed stream."""
        self.plan("break")
        caller = self.send(self.a1)
        assert tell(caller)[0] == "completed"
        assert self.world.counts["stream-resumed"] == 1
        assert caller.data == self.world.answers[caller.token]

    def test_answer_over_the_limit_of_its_kind_is_cut(self) -> None:
        """Guards against an answer that takes all memory."""
        self.plan("too-large")
        caller = self.send(self.a1, ms=12_000)
        assert tell(caller) == (MAYBE, Reason.ANSWER_TOO_LARGE)

    def test_wake_after_the_deadline_writes_nothing(self) -> None:
        """Guards against a paused process that sends when it resumes."""
        caller = self.send(self.a1, ms=1)
        self.a1.process.stopped = True
        self.world.run_for(6_500)
        self.world.loop.wake(self.a1.process)
        self.run_for(1_000)
        assert tell(caller)[0] == "not-run"
        assert not self.world.runs[caller.token]


class TrialTest(FleetTest):
    """Requests that were on a target when it died."""

    def test_second_trial_at_a_time_is_refused(self) -> None:
        """Guards against two targets that die of one request at once."""
        self.plan("die-unanswered")
        assert tell(self.send(self.a1, text="same"))[0] == MAYBE
        for target in self.world.targets.values():
            target.behaviours.clear()
            target.restart()
        self.world.platform.revision += 1
        self.run_for(2_000)
        first = self.send(self.a1, uid="u2", text="same", ms=30)
        second = self.send(self.a2, uid="u3", text="same", ms=0)
        self.run_for(1_500)
        told = {tell(first), tell(second)}
        assert told == {
            ("completed", None),
            ("not-run", Reason.TRIAL_BUSY),
        }
        assert tell(self.send(self.a2, uid="u4", text="same"))[0] == "completed"

    def test_crash_on_trial_is_quarantined_everywhere(self) -> None:
        """Guards against a third target that dies of one request."""
        for number in range(4):
            self.send(self.a1, uid=f"u{number}", text="crash", ms=3_000)
            for target in self.world.targets.values():
                if not target.up:
                    target.restart()
            self.world.platform.revision += 1
        assert sum(self.world.crashes.values()) == 2
        for node in self.world.nodes.values():
            states = {entry.state for entry in node.suspects.export(9)}
            assert states == {SuspectState.QUARANTINED}
