"""Tests of the relay: the answers to callers and the runs at targets."""

import dataclasses
import unittest

import anyio

from peridotbend.domain.events import Event
from peridotbend.domain.ports import CallError, CallFailure
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason
from peridotbend.edge.config import Account
from peridotbend.edge.ports import AnswerBrokenError, EdgeCall, Rejection
from tests.edgefakes import (
    CALL,
    CONFIG,
    RecordingResponder,
    RelayHarness,
    ScriptedReply,
    make_event,
)

ORDER = dataclasses.replace(CALL, path="/orders/7", prompt_tokens=None)
LOOKUP = dataclasses.replace(
    CALL, method="GET", path="/lookups/7", body=b"", prompt_tokens=None
)
CONNECTION_RESET = CallError(CallFailure.BROKEN, True, "reset")
SUCCESS = ScriptedReply(chunks=(b"done",), is_event_stream=False)
SERVER_ERROR = ScriptedReply(
    status=500, chunks=(b"sorry",), is_event_stream=False
)


def _serve(harness: RelayHarness, call: EdgeCall = CALL) -> RecordingResponder:
    async def run() -> RecordingResponder:
        return await harness.serve(call)

    return anyio.run(run)


class RefusalTest(unittest.TestCase):
    """Requests that are refused before a send."""

    def test_process_without_configuration_has_retry_after(self) -> None:
        """Guards against a 404 for routes that a new process has not loaded."""
        responder = _serve(RelayHarness(config=None))
        assert isinstance(responder.verdict, NotRun)
        assert responder.verdict.reason is Reason.NO_TEXT
        assert responder.verdict.retry_after_ms > 0

    def test_unknown_route_and_key(self) -> None:
        """Guards against requests sent to a service without a route or key."""
        harness = RelayHarness()
        unknown_path = dataclasses.replace(CALL, path="/other/1")
        assert _serve(harness, unknown_path).verdict == NotRun(
            Reason.UNKNOWN_KIND
        )
        unknown_key = dataclasses.replace(CALL, key="key-2")
        assert _serve(harness, unknown_key).verdict == NotRun(
            Reason.UNKNOWN_KEY
        )
        assert not harness.client.sends

    def test_refused_request_costs_no_allowance(self) -> None:
        """Guards against deducting tokens for requests that did not run."""
        account = Account("acme", frozenset(("key-1",)), None, 1.0, 5_000.0, 1)
        config = dataclasses.replace(CONFIG, accounts=(account,))
        harness = RelayHarness(
            ScriptedReply(failure=Rejection.UNAVAILABLE),
            ScriptedReply(failure=Rejection.UNAVAILABLE),
            config=config,
        )
        harness.clock.advance(10_000_000)
        before = harness.allowances.list_uses()["acme"].spent
        assert isinstance(_serve(harness).verdict, NotRun)
        assert harness.allowances.list_uses()["acme"].spent == before

    def test_allowance_refusal_has_retry_after(self) -> None:
        """Guards against a Retry-After that ends before the tokens suffice."""
        account = Account("acme", frozenset(("key-1",)), None, 100.0, 100.0, 1)
        config = dataclasses.replace(CONFIG, accounts=(account,))
        harness = RelayHarness(config=config)
        assert harness.allowances.try_take("acme", 90.0) is None
        responder = _serve(harness)
        assert responder.verdict == NotRun(Reason.CLIENT_LIMIT, 900)


class RefusalLogTest(unittest.TestCase):
    """Log lines of refusals."""

    def _find_refusal_fields(self, harness: RelayHarness) -> dict[str, object]:
        return next(
            fields
            for event, fields in harness.log.events
            if event is Event.REQUEST_REFUSED
        )

    def test_shed_request_logs_the_load(self) -> None:
        """Guards against a refusal logged without the load that caused it."""
        harness = RelayHarness()
        for name in ("i-1", "i-2", "i-3"):
            for _ in range(12):
                harness.occupancy.add(name)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve)
                await anyio.sleep(0.01)
                harness.clock.advance(200)
                harness.backlog.grant_slots("engine")

        anyio.run(run)
        fields = self._find_refusal_fields(harness)
        assert fields["reason"] is Reason.SHED
        assert fields["targets"] == 3
        assert fields["slots"] == 30
        assert fields["in_flight"] == 36
        assert fields["spent_ms"] == 200
        assert fields["config"] == CONFIG.version

    def test_allowance_refusal_logs_its_level(self) -> None:
        """Guards against a 429 that is logged without account and tokens."""
        account = Account("acme", frozenset(("key-1",)), None, 100.0, 100.0, 1)
        harness = RelayHarness(
            config=dataclasses.replace(CONFIG, accounts=(account,))
        )
        assert harness.allowances.try_take("acme", 90.0) is None
        _serve(harness)
        fields = self._find_refusal_fields(harness)
        assert fields["account"] == "acme"
        assert fields["tokens_left"] == 10
        assert fields["heard_share"] == 1.0


class NonIdempotentTest(unittest.TestCase):
    """Requests that may run at most once."""

    def test_order_whose_connection_breaks_is_not_sent_again(self) -> None:
        """Guards against running an order twice after a connection reset."""
        harness = RelayHarness(ScriptedReply(failure=CONNECTION_RESET), SUCCESS)
        responder = _serve(harness, ORDER)
        assert responder.verdict == MayHaveRun(Reason.TARGET_FAILED)
        assert len(harness.client.written_sends) == 1

    def test_order_is_tried_elsewhere_only_while_unsent(self) -> None:
        """Guards against losing orders to a target that refuses connections.

        Nothing was written, so another send cannot run the order twice.
        """
        harness = RelayHarness(ScriptedReply(fails_to_connect=True), SUCCESS)
        responder = _serve(harness, ORDER)
        assert responder.body == b"done"
        assert responder.is_complete
        assert len(harness.client.written_sends) == 1

    def test_order_that_a_target_rejects_is_said_not_to_have_run(self) -> None:
        """Guards against "may have run" for an order that the target rejected.

        The route allows one attempt, so the order is not retried.
        """
        harness = RelayHarness(ScriptedReply(failure=Rejection.MISDIRECTED))
        responder = _serve(harness, ORDER)
        assert isinstance(responder.verdict, NotRun)
        assert len(harness.client.sends) == 1

    def test_nothing_is_written_to_a_target_that_began_to_leave(self) -> None:
        """Guards against writing to a target that left after it was chosen."""
        harness = RelayHarness(*(SUCCESS for _ in range(8)))

        def leave() -> None:
            for name in ("si-1", "si-2", "si-3"):
                harness.targets.remove(name)

        harness.client.before_gate = leave
        responder = _serve(harness, ORDER)
        assert isinstance(responder.verdict, NotRun)
        assert not harness.client.written_sends

    def test_error_of_a_target_is_passed_on(self) -> None:
        """Guards against replacing the status of a failed run."""
        responder = _serve(RelayHarness(SERVER_ERROR), ORDER)
        assert responder.head is not None
        assert responder.head.status == 500
        assert responder.body == b"sorry"


class IdempotentTest(unittest.TestCase):
    """Requests that may be retried."""

    def test_lookup_is_asked_of_a_second_target(self) -> None:
        """Guards against losing lookups to one broken or failing target."""
        for first in (ScriptedReply(failure=CONNECTION_RESET), SERVER_ERROR):
            harness = RelayHarness(first, SUCCESS)
            responder = _serve(harness, LOOKUP)
            assert responder.body == b"done"
            names = {send.target.name for send in harness.client.written_sends}
            assert len(names) == 2

    def test_at_most_as_many_targets_as_the_route_allows(self) -> None:
        """Guards against a failing request that is sent to every target."""
        harness = RelayHarness(SERVER_ERROR, SERVER_ERROR, SUCCESS)
        responder = _serve(harness, LOOKUP)
        assert responder.head is not None
        assert responder.head.status == 500
        assert len(harness.client.written_sends) == 2

    def test_broken_answer_is_not_delivered(self) -> None:
        """Guards against a truncated answer that looks complete."""
        truncated = ScriptedReply(
            chunks=(b"do",), breaks_connection=True, is_event_stream=False
        )
        harness = RelayHarness(truncated, truncated)
        responder = _serve(harness, LOOKUP)
        assert responder.verdict == MayHaveRun(Reason.TARGET_FAILED)

    def test_rejection_after_a_run_is_not_reported_as_not_run(self) -> None:
        """Guards against "not run" after an earlier target began to run it."""
        rejected = ScriptedReply(failure=Rejection.UNAVAILABLE)
        harness = RelayHarness(
            ScriptedReply(failure=CONNECTION_RESET), rejected
        )
        responder = _serve(harness, LOOKUP)
        assert responder.verdict == MayHaveRun(Reason.TARGET_FAILED)

    def test_only_target_of_a_service_is_asked_again(self) -> None:
        """Guards against losing all reset calls of a single-target service."""
        harness = RelayHarness(ScriptedReply(failure=CONNECTION_RESET), SUCCESS)
        for name in ("si-2", "si-3"):
            harness.targets.remove(name)
        responder = _serve(harness, LOOKUP)
        assert responder.body == b"done"
        harness = RelayHarness(
            *(ScriptedReply(failure=CONNECTION_RESET) for _ in range(4))
        )
        for name in ("si-2", "si-3"):
            harness.targets.remove(name)
        responder = _serve(harness, LOOKUP)
        assert responder.verdict == MayHaveRun(Reason.TARGET_FAILED)
        assert len(harness.client.written_sends) == 2

    def test_extra_sends_end_with_the_budget(self) -> None:
        """Guards against retries that double the load on the other targets."""
        count = 200
        harness = RelayHarness(*(SERVER_ERROR for _ in range(2 * count)))
        for _ in range(count):
            _serve(harness, LOOKUP)
        extra = len(harness.client.written_sends) - count
        assert 0 < extra <= 0.2 * count + 56


class DeadlineTest(unittest.TestCase):
    """Deadlines and route timeouts."""

    def test_target_gets_no_more_time_than_is_left(self) -> None:
        """Guards against runs that go on after their caller has given up."""
        harness = RelayHarness(ScriptedReply(chunks=(make_event(1),)))
        call = dataclasses.replace(CALL, deadline_ms=1_200)
        _serve(harness, call)
        assert harness.client.sends[0].deadline_ms <= 1_200

    def test_route_timeout_bounds_the_request(self) -> None:
        """Guards against requests that outlast the timeout of their route."""
        harness = RelayHarness(SUCCESS)
        _serve(harness, ORDER)
        assert harness.client.sends[0].deadline_ms <= 800

    def test_sent_request_that_times_out_may_have_run(self) -> None:
        """Guards against "not run" for an order that is running at a target."""
        hanging = ScriptedReply(hangs=True, is_event_stream=False)
        harness = RelayHarness(hanging)
        call = dataclasses.replace(ORDER, deadline_ms=30)
        responder = _serve(harness, call)
        assert responder.verdict == MayHaveRun(Reason.TARGET_TIMEOUT)


class CrashTest(unittest.TestCase):
    """Requests that crash their targets."""

    def test_request_is_quarantined_after_three_crashes(self) -> None:
        """Guards against a request that crashes one target after another."""
        harness = RelayHarness(
            *(ScriptedReply(failure=CONNECTION_RESET) for _ in range(3)),
            SUCCESS,
        )
        for number in range(3):
            attempt = f"attempt-{number}"
            _serve(harness, dataclasses.replace(ORDER, attempt=attempt))
            harness.crashes.note_target_dead(harness.client.sends[-1].target)
        responder = _serve(harness, dataclasses.replace(ORDER, attempt="last"))
        assert isinstance(responder.verdict, NotRun)
        assert responder.verdict.reason is Reason.QUARANTINED
        assert len(harness.client.sends) == 3
        assert harness.log.count(Event.SUSPECT_RECORDED) == 3
        fields = harness.log.events[-1][1]
        assert fields["cause"] == ["request"]
        assert fields["crashed_targets"] == 3

    def test_loss_of_targets_quarantines_no_request_that_was_answered(
        self,
    ) -> None:
        """Guards against refusing a common request after three targets died.

        It was in flight at each of them, as it is sent again and again.
        """
        broken = ScriptedReply(failure=CONNECTION_RESET)
        harness = RelayHarness(SUCCESS, broken, broken, broken, SUCCESS)
        for number in range(4):
            call = dataclasses.replace(ORDER, attempt=f"attempt-{number}")
            _serve(harness, call)
        # They died at once, which shows only now.
        for send in harness.client.sends[1:4]:
            harness.crashes.note_target_dead(send.target)
        assert harness.log.count(Event.SUSPECT_RECORDED) == 3
        last = _serve(harness, dataclasses.replace(ORDER, attempt="last"))
        assert last.is_complete, last.verdict

    def test_error_of_a_target_clears_no_suspect(self) -> None:
        """Guards against targets that fail requests before they run them."""
        error = ScriptedReply(
            status=500, chunks=(b"sorry",), is_event_stream=False
        )
        broken = ScriptedReply(failure=CONNECTION_RESET)
        harness = RelayHarness(broken, error, broken, error, broken)
        for number in range(5):
            attempt = f"attempt-{number}"
            _serve(harness, dataclasses.replace(ORDER, attempt=attempt))
            if number % 2 == 0:
                target = harness.client.sends[-1].target
                harness.crashes.note_target_dead(target)
                harness.targets.remove(target.name)
        responder = _serve(harness, dataclasses.replace(ORDER, attempt="last"))
        assert isinstance(responder.verdict, NotRun)
        assert responder.verdict.reason is Reason.QUARANTINED

    def test_unreachable_targets_are_not_crashed(self) -> None:
        """Guards against quarantining requests because of a network partition.

        A target that cannot be reached after a reset does not count as crashed.
        """
        replies = []
        for _ in range(3):
            replies += [
                ScriptedReply(failure=CONNECTION_RESET),
                ScriptedReply(fails_to_connect=True),
                SUCCESS,
            ]
        harness = RelayHarness(*replies)
        for number in range(3):
            attempt = f"attempt-{number}"
            _serve(harness, dataclasses.replace(ORDER, attempt=attempt))
            _serve(harness, dataclasses.replace(ORDER, body=b"other"))
        assert harness.log.count(Event.SUSPECT_RECORDED) == 0

    def test_other_requests_of_the_caller_go_on(self) -> None:
        """Guards against one crashing request that blocks its whole account."""
        harness = RelayHarness(
            *(ScriptedReply(failure=CONNECTION_RESET) for _ in range(3)),
            SUCCESS,
        )
        for _ in range(3):
            _serve(harness, ORDER)
            harness.crashes.note_target_dead(harness.client.sends[-1].target)
        responder = _serve(harness, dataclasses.replace(ORDER, body=b"other"))
        assert responder.is_complete


class SlowCallerTest(unittest.TestCase):
    """Callers that stop reading their answer."""

    def test_answer_that_has_begun_is_not_refused_at_the_time_limit(
        self,
    ) -> None:
        """Guards against a refusal after the head has been sent."""

        class StalledResponder(RecordingResponder):

            async def send(self, data: bytes) -> None:
                await super().send(data)
                await anyio.sleep_forever()

        for reply in (SUCCESS, SERVER_ERROR):
            harness = RelayHarness(
                reply, ScriptedReply(failure=Rejection.UNAVAILABLE)
            )
            responder = StalledResponder()
            call = dataclasses.replace(LOOKUP, deadline_ms=50)

            async def run(
                harness: RelayHarness = harness,
                responder: StalledResponder = responder,
                call: EdgeCall = call,
            ) -> None:
                with self.assertRaises(AnswerBrokenError):
                    await harness.relay.serve(call, responder)

            anyio.run(run)
            assert responder.verdict is None
            assert not responder.is_complete
            assert harness.log.count(Event.ANSWER_BROKEN) == 1


class MeterTest(unittest.TestCase):
    """Counters of requests and sends."""

    def test_each_request_ends_once(self) -> None:
        """Guards against requests that metrics miss or count twice."""
        harness = RelayHarness(
            ScriptedReply(failure=CONNECTION_RESET), SUCCESS, SERVER_ERROR
        )
        _serve(harness, LOOKUP)
        _serve(harness, ORDER)
        _serve(harness, dataclasses.replace(CALL, key="key-2"))
        assert harness.meter.outcomes == [
            ("idempotent", "status-200"),
            ("non-idempotent", "status-500"),
            ("none", "unknown-key"),
        ]
        assert harness.meter.send_outcomes == ["broken", "answered", "answered"]
