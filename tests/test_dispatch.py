"""Tests of dispatching: from the grant of a target to the verdict."""

from peridotbend.domain.ports import SuspectState
from peridotbend.domain.text import Target
from peridotbend.domain.verdicts import Reason
from tests.fleettest import FleetTest, get_verdict

MAY_HAVE_RUN = "may-have-run"


class AttemptTest(FleetTest):
    """Attempts at targets that fail in various ways."""

    def test_refused_connection_is_tried_elsewhere(self) -> None:
        """Guards against a refusal while another target accepts connections."""
        self.world.targets["m1"].behaviours.append("refuse")
        self.world.targets["m2"].behaviours.append("")
        assert get_verdict(self.send(self.a1))[0] == "completed"

    def test_spent_retry_budget_refuses(self) -> None:
        """Guards against unlimited retries while all targets are down."""
        self.plan_failure("refuse")
        while self.a1.dispatcher.ports.retries.try_spend():
            pass
        caller = self.send(self.a1)
        assert get_verdict(caller) == ("not-run", Reason.CONNECT_FAILED)
        plans = [len(t.behaviours) for t in self.world.targets.values()]
        assert sum(plans) == 1, "one attempt"

    def test_target_dead_after_the_first_byte_is_not_replaced(self) -> None:
        """Guards against a second dispatch after a target crashed."""
        self.plan_failure("die-unanswered", "o")
        token = self.reserve(self.a1)
        caller = self.send(self.a1, "confirm", token)
        assert get_verdict(caller) == (MAY_HAVE_RUN, Reason.TARGET_FAILED)
        assert len(self.world.runs[token]) == 1

    def test_broken_stream_is_resumed_on_its_target(self) -> None:
        """Guards against lost or repeated events of a resumed stream."""
        self.plan_failure("break")
        caller = self.send(self.a1)
        assert get_verdict(caller)[0] == "completed"
        assert self.world.counts["stream-resumed"] == 1
        assert caller.data == self.world.answers[caller.token]

    def test_stream_that_ends_inside_an_event_is_resumed(self) -> None:
        """Guards against a part of a stream that counts as its whole."""
        self.plan_failure("end")
        caller = self.send(self.a1)
        assert get_verdict(caller)[0] == "completed"
        assert self.world.counts["stream-resumed"] == 1
        assert caller.data == self.world.answers[caller.token]

    def test_stream_that_ends_without_its_closing_event_is_resumed(
        self,
    ) -> None:
        """Guards against a broken-off stream that counts as complete."""
        self.plan_failure("end-between")
        caller = self.send(self.a1)
        assert get_verdict(caller)[0] == "completed"
        assert self.world.counts["stream-resumed"] == 1
        assert caller.data == self.world.answers[caller.token]

    def test_stream_does_not_go_on_in_an_engine_that_restarted(self) -> None:
        """Guards against a stream that is joined from two software versions.

        Only the process that began a stream knows its token.
        """
        self.plan_failure("die-midway")
        caller = self.send(self.a1, ms=400)
        engines = [t for n, t in self.world.targets.items() if n[0] == "m"]
        for engine in engines:
            if not engine.up:
                engine.restart()
        assert all(engine.up for engine in engines)
        self.run_for(3_000)
        assert get_verdict(caller) == (MAY_HAVE_RUN, Reason.TARGET_FAILED)
        assert self.world.counts["stream-resumed"] == 0
        assert len(self.world.runs[caller.token]) == 1

    def test_answer_over_the_limit_of_its_kind_is_cut(self) -> None:
        """Guards against unbounded memory use by a large answer."""
        self.plan_failure("too-large")
        caller = self.send(self.a1, ms=12_000)
        assert get_verdict(caller) == (MAY_HAVE_RUN, Reason.ANSWER_TOO_LARGE)

    def test_wake_after_the_deadline_writes_nothing(self) -> None:
        """Guards against a process that dispatches late, after a pause."""
        caller = self.send(self.a1, ms=1)
        self.a1.process.paused = True
        self.world.run_for(6_500)
        self.world.loop.resume(self.a1.process)
        self.run_for(1_000)
        assert get_verdict(caller)[0] == "not-run"
        assert not self.world.runs[caller.token]


class LateCrashTest(FleetTest):
    """Crashes that are reported once no resumption has succeeded.

    Until then another process may have begun to serve under the same name.
    """

    def setUp(self) -> None:
        super().setUp()
        self.world.targets["m2"].up = False
        self.engine = self.world.targets["m1"]
        # Excludes the other engine for the longest backoff.
        for _ in range(5):
            self.a1.roster.record_target_failure("m2")
            self.run_for(10_000)
        self.a1.roster.record_target_failure("m2")

    def find_target(self, name: str) -> Target:
        """Returns a configured target."""
        target = self.a1.target_index.find(name)
        assert target is not None
        return target

    def break_stream(self) -> None:
        """Lets the engine die within a stream and restart at once."""
        self.engine.behaviours.append("die-midway")
        self.send(self.a1, uid="old", text="old", ms=1)
        while self.engine.up:
            self.run_for(5)
        self.engine.restart()

    def list_suspects(self) -> int:
        """Returns the number of suspected requests."""
        return len(self.a1.suspects.export(9))

    def test_requests_of_the_next_process_are_no_suspects(self) -> None:
        """Guards against the blame of requests that no process died with."""
        self.break_stream()
        self.engine.behaviours.append("slow")
        for number in range(2):
            uid = f"new{number}"
            self.send(self.a1, uid=uid, text=uid, ms=50)
        assert len(self.a1.dispatcher.in_flight.count()) == 1
        self.run_for(2_000)
        assert self.list_suspects() == 1

    def test_requests_that_died_together_are_suspects(self) -> None:
        """Guards against a killer that is not suspected beside others."""
        self.engine.behaviours.extend(("slow", "die-midway"))
        self.send(self.a1, uid="other", text="other", ms=1)
        self.break_stream()
        self.run_for(2_000)
        assert self.list_suspects() == 2

    def test_next_process_that_answers_stays_in_use(self) -> None:
        """Guards against a pause of a process that has not failed."""
        self.break_stream()
        caller = self.send(self.a1, uid="new", text="new", ms=500)
        assert get_verdict(caller)[0] == "completed"
        for _ in range(20):
            self.run_for(50)
            assert self.a1.roster.is_available(self.find_target("m1"))
        assert self.list_suspects() == 1


class TrialTest(FleetTest):
    """Requests that were in flight on a target when it crashed."""

    def test_second_trial_at_a_time_is_refused(self) -> None:
        """Guards against one request that crashes two targets at once."""
        self.plan_failure("die-unanswered")
        assert get_verdict(self.send(self.a1, text="same"))[0] == MAY_HAVE_RUN
        for target in self.world.targets.values():
            target.behaviours.clear()
            target.restart()
        self.world.platform.revision += 1
        self.run_for(2_000)
        first = self.send(self.a1, uid="u2", text="same", ms=30)
        second = self.send(self.a2, uid="u3", text="same", ms=0)
        self.run_for(1_500)
        verdicts = {get_verdict(first), get_verdict(second)}
        assert verdicts == {
            ("completed", None),
            ("not-run", Reason.TRIAL_BUSY),
        }
        assert (
            get_verdict(self.send(self.a2, uid="u4", text="same"))[0]
            == "completed"
        )

    def test_new_owner_allows_at_most_one_more_trial(self) -> None:
        """Guards against more trials than one for each owner that is lost.

        A permit is known to its owner and its holder alone.
        """
        self.plan_failure("die-unanswered")
        assert get_verdict(self.send(self.a1, text="same"))[0] == MAY_HAVE_RUN
        for target in self.world.targets.values():
            target.behaviours.clear()
            target.restart()
            target.behaviours.extend(["slow"] * 3)
        self.world.platform.revision += 1
        self.run_for(2_000)
        fingerprint = self.a1.suspects.export(1)[0].value
        owner = self.a1.roster.find_trial_owner(fingerprint)
        holder, other = (
            node for name, node in self.world.nodes.items() if name != owner
        )
        self.send(holder, uid="u2", text="same", ms=30)
        self.world.kill(self.world.nodes[owner])
        self.run_for(2_000)
        second = self.send(other, uid="u3", text="same", ms=30)
        third = self.send(holder, uid="u4", text="same", ms=30)
        assert second.verdict is None
        assert get_verdict(third) == ("not-run", Reason.TRIAL_BUSY)

    def test_crash_on_trial_is_quarantined_everywhere(self) -> None:
        """Guards against one request that crashes a third target."""
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
