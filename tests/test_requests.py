"""Tests of the request service that callers and peers use."""

from peridotbend.domain.requestids import parse_request_id
from peridotbend.domain.verdicts import Reason
from tests.fakenode import MAX_ANSWER_BYTES
from tests.fleettest import FleetTest, get_verdict

MAY_HAVE_RUN = "may-have-run"


class IdentityTest(FleetTest):
    """Account, body and kind that a request ID is bound to."""

    def test_other_account_gets_no_answer(self) -> None:
        """Guards against an answer sent to another account."""
        first = self.send(self.a1)
        for node in (self.a1, self.a2):
            other = self.fetch(node, first.token, account="gym")
            assert get_verdict(other) == (MAY_HAVE_RUN, Reason.WRONG_ACCOUNT)
            assert not other.data

    def test_other_body_with_a_used_id_is_refused(self) -> None:
        """Guards against answering one request with the answer of another."""
        token = self.reserve(self.a1)
        assert (
            get_verdict(self.send(self.a1, "confirm", token))[0] == "completed"
        )
        for node in (self.a1, self.a2):
            other = self.send(node, "confirm", token, uid="u2")
            assert get_verdict(other) == (MAY_HAVE_RUN, Reason.ID_REUSED)

    def test_reserved_id_is_for_its_kind_only(self) -> None:
        """Guards against a reservation used for another kind."""
        token = self.reserve(self.a1)
        other = self.send(self.a1, "status", token, uid="u2")
        # The ID is still valid for its own kind.
        assert get_verdict(other) == (MAY_HAVE_RUN, Reason.ID_REUSED)
        assert (
            get_verdict(self.send(self.a1, "confirm", token))[0] == "completed"
        )

    def test_copy_at_an_instance_without_text_may_have_run(self) -> None:
        """Guards against "not run" for a request that ran elsewhere.

        The copy arrives at an instance that has restarted during an outage and
        has no configuration, so it cannot know.
        """
        token = self.reserve(self.a1)
        assert (
            get_verdict(self.send(self.a1, "confirm", token))[0] == "completed"
        )
        self.world.platform.down = True
        self.world.cut("z1", "z2")
        self.world.kill(self.world.nodes["b1"])
        self.world.start("b1")
        self.world.run_for(1_000)
        copy = self.send(self.world.nodes["b1"], "confirm", token)
        assert get_verdict(copy) == (MAY_HAVE_RUN, Reason.NO_TEXT)

    def test_call_refused_at_capacity_never_runs_later(self) -> None:
        """Guards against running a request after its caller was told "not run".

        Another copy of the request arrives at a different instance later.
        """
        token = self.reserve(self.a1)
        budget = self.a1.records.budget
        assert budget.reserve(MAX_ANSWER_BYTES)
        assert get_verdict(self.send(self.a1, "confirm", token)) == (
            "not-run",
            Reason.AT_CAPACITY,
        )
        budget.release(MAX_ANSWER_BYTES)
        copy = self.send(self.a2, "confirm", token)
        assert get_verdict(copy) == ("not-run", Reason.AT_CAPACITY)

    def test_forgotten_id_may_have_run(self) -> None:
        """Guards against "not run" for a request whose record has expired."""
        first = self.send(self.a1, ms=32_000)
        for node in (self.a1, self.a2):
            late_fetch = self.fetch(node, first.token)
            assert get_verdict(late_fetch) == (MAY_HAVE_RUN, Reason.FORGOTTEN)


class AnswerTest(FleetTest):
    """Complete answers, from any instance and offset."""

    def test_broken_forward_goes_on_at_its_offset(self) -> None:
        """Guards against lost or repeated bytes when a forward breaks."""
        token = self.reserve(self.a1, "quote")
        caller = self.send(self.a2, "quote", token, ms=180)
        begun = len(caller.data)
        self.world.break_forwards()
        self.run_for(1_500)
        assert get_verdict(caller)[0] == "completed"
        assert 0 < begun < len(caller.data)
        assert caller.data == self.world.answers[token]

    def test_fetch_yields_the_rest_from_any_instance(self) -> None:
        """Guards against answers that only one instance can return."""
        first = self.send(self.a1)
        for name in ("a1", "a2", "b1"):
            rest = self.fetch(self.world.nodes[name], first.token, offset=17)
            assert rest.data == self.world.answers[first.token][17:]

    def test_evicted_answer_is_not_completed_with_no_bytes(self) -> None:
        """Guards against an empty body in place of an evicted answer."""
        first = self.send(self.a1)
        record = self.a1.records.find(first.token)
        assert record is not None
        record.answer.evict()
        again = self.fetch(self.a1, first.token)
        assert not again.data
        assert again.verdict is not None and again.status == 0

    def test_request_past_its_deadline_can_be_fetched_later(self) -> None:
        """Guards against discarding an answer when its caller timed out."""
        self.plan_failure("slow")
        first = self.send(self.a1, ms=6_100)
        assert get_verdict(first) == (MAY_HAVE_RUN, Reason.TARGET_TIMEOUT)
        self.run_for(4_000)
        later = self.fetch(self.a2, first.token)
        assert get_verdict(later)[0] == "completed"
        assert later.data == self.world.answers[first.token]

    def test_minter_that_is_gone_leaves_the_outcome_open(self) -> None:
        """Guards against "not run" from an instance that cannot know.

        Only the minter of the ID knows whether the request was dispatched.
        """
        first = self.send(self.a1)
        assert parse_request_id(first.token) is not None
        self.world.kill(self.a1)
        self.run_for(2_000)
        late_fetch = self.fetch(self.a2, first.token)
        assert get_verdict(late_fetch) == (
            MAY_HAVE_RUN,
            Reason.MINTER_UNREACHABLE,
        )
