"""Tests of the relay: what callers are told and what targets run."""

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
    EdgeBench,
    RecordingResponder,
    Script,
    make_event,
)

ORDER = dataclasses.replace(CALL, path="/orders/7", prompt_tokens=None)
LOOKUP = dataclasses.replace(
    CALL, method="GET", path="/lookups/7", body=b"", prompt_tokens=None
)
BROKEN = CallError(CallFailure.BROKEN, True, "reset")
PLAIN = Script(chunks=(b"done",), is_event_stream=False)
ERROR = Script(status=500, chunks=(b"sorry",), is_event_stream=False)


def _serve(bench: EdgeBench, call: EdgeCall = CALL) -> RecordingResponder:
    async def run() -> RecordingResponder:
        return await bench.serve(call)

    return anyio.run(run)


class RefusalTest(unittest.TestCase):
    """Requests that never reach a target."""

    def test_process_without_configuration_asks_to_come_back(self) -> None:
        """Guards against a 404 for routes that a new process cannot know."""
        out = _serve(EdgeBench(config=None))
        assert isinstance(out.verdict, NotRun)
        assert out.verdict.reason is Reason.NO_TEXT
        assert out.verdict.retry_after_ms > 0

    def test_unknown_route_and_key(self) -> None:
        """Guards against requests that reach a service without a route."""
        bench = EdgeBench()
        stray = dataclasses.replace(CALL, path="/other/1")
        assert _serve(bench, stray).verdict == NotRun(Reason.UNKNOWN_KIND)
        thief = dataclasses.replace(CALL, key="key-2")
        assert _serve(bench, thief).verdict == NotRun(Reason.UNKNOWN_KEY)
        assert not bench.client.sends

    def test_refused_request_costs_no_allowance(self) -> None:
        """Guards against tokens lost by requests that did not run."""
        account = Account("acme", frozenset(("key-1",)), None, 1.0, 5_000.0, 1)
        config = dataclasses.replace(CONFIG, accounts=(account,))
        bench = EdgeBench(
            Script(reply=Rejection.UNAVAILABLE),
            Script(reply=Rejection.UNAVAILABLE),
            config=config,
        )
        bench.clock.advance(10_000_000)
        before = bench.allowances.list_uses()["acme"].spent
        assert isinstance(_serve(bench).verdict, NotRun)
        assert bench.allowances.list_uses()["acme"].spent == before

    def test_allowance_tells_when_to_come_back(self) -> None:
        """Guards against a Retry-After at which the tokens still lack."""
        account = Account("acme", frozenset(("key-1",)), None, 100.0, 100.0, 1)
        config = dataclasses.replace(CONFIG, accounts=(account,))
        bench = EdgeBench(config=config)
        assert bench.allowances.try_take("acme", 90.0) is None
        out = _serve(bench)
        assert out.verdict == NotRun(Reason.CLIENT_LIMIT, 900)


class RefusalLogTest(unittest.TestCase):
    """What the log tells of a refusal."""

    def _find_refusal(self, bench: EdgeBench) -> dict[str, object]:
        return next(
            fields
            for event, fields in bench.log.events
            if event is Event.REQUEST_REFUSED
        )

    def test_shed_request_tells_what_was_taken(self) -> None:
        """Guards against a refusal that no engineer can check afterwards."""
        bench = EdgeBench()
        for name in ("i-1", "i-2", "i-3"):
            for _ in range(12):
                bench.occupancy.add(name)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(bench.serve)
                await anyio.sleep(0.01)
                bench.clock.advance(200)
                bench.backlog.grant_slots("engine")

        anyio.run(run)
        fields = self._find_refusal(bench)
        assert fields["reason"] is Reason.SHED
        assert fields["targets"] == 3
        assert fields["slots"] == 30
        assert fields["in_flight"] == 36
        assert fields["spent_ms"] == 200
        assert fields["config"] == CONFIG.version

    def test_refused_allowance_tells_its_level(self) -> None:
        """Guards against a 429 whose account and tokens are unknown."""
        account = Account("acme", frozenset(("key-1",)), None, 100.0, 100.0, 1)
        bench = EdgeBench(
            config=dataclasses.replace(CONFIG, accounts=(account,))
        )
        assert bench.allowances.try_take("acme", 90.0) is None
        _serve(bench)
        fields = self._find_refusal(bench)
        assert fields["account"] == "acme"
        assert fields["tokens_left"] == 10
        assert fields["heard_share"] == 1.0


class NonIdempotentTest(unittest.TestCase):
    """Requests that may run at most once."""

    def test_order_whose_connection_breaks_is_not_sent_again(self) -> None:
        """Guards against an order that takes effect twice."""
        bench = EdgeBench(Script(reply=BROKEN), PLAIN)
        out = _serve(bench, ORDER)
        assert out.verdict == MayHaveRun(Reason.TARGET_FAILED)
        assert len(bench.client.written) == 1

    def test_order_is_tried_elsewhere_only_while_unsent(self) -> None:
        """Guards against orders lost to a target that refuses connections."""
        bench = EdgeBench(Script(unsent=True), PLAIN)
        out = _serve(bench, ORDER)
        assert out.body == b"done"
        assert out.is_complete
        assert len(bench.client.written) == 1

    def test_order_that_a_target_rejects_is_said_not_to_have_run(self) -> None:
        """Guards against "may have run" where the target promised it did not.

        The route allows one target, so no second one is asked.
        """
        bench = EdgeBench(Script(reply=Rejection.MISDIRECTED))
        out = _serve(bench, ORDER)
        assert isinstance(out.verdict, NotRun)
        assert len(bench.client.sends) == 1

    def test_nothing_is_written_to_a_target_that_began_to_leave(self) -> None:
        """Guards against a request sent late to a leaving target."""
        bench = EdgeBench(*(PLAIN for _ in range(8)))

        def leave() -> None:
            for name in ("si-1", "si-2", "si-3"):
                bench.targets.remove(name)

        bench.client.before_gate = leave
        out = _serve(bench, ORDER)
        assert isinstance(out.verdict, NotRun)
        assert not bench.client.written

    def test_error_of_a_target_is_passed_on(self) -> None:
        """Guards against a failure that bears another status than its run."""
        out = _serve(EdgeBench(ERROR), ORDER)
        assert out.head is not None
        assert out.head.status == 500
        assert out.body == b"sorry"


class IdempotentTest(unittest.TestCase):
    """Requests that may run again."""

    def test_lookup_is_asked_of_a_second_target(self) -> None:
        """Guards against lookups lost to one broken or failing target."""
        for first in (Script(reply=BROKEN), ERROR):
            bench = EdgeBench(first, PLAIN)
            out = _serve(bench, LOOKUP)
            assert out.body == b"done"
            names = {send.target.name for send in bench.client.written}
            assert len(names) == 2

    def test_at_most_as_many_targets_as_the_route_allows(self) -> None:
        """Guards against a failing request that visits every target."""
        bench = EdgeBench(ERROR, ERROR, PLAIN)
        out = _serve(bench, LOOKUP)
        assert out.head is not None
        assert out.head.status == 500
        assert len(bench.client.written) == 2

    def test_broken_answer_is_not_delivered(self) -> None:
        """Guards against half an answer that looks whole."""
        half = Script(chunks=(b"do",), breaks=True, is_event_stream=False)
        bench = EdgeBench(half, half)
        out = _serve(bench, LOOKUP)
        assert out.verdict == MayHaveRun(Reason.TARGET_FAILED)

    def test_rejection_after_a_run_is_no_promise(self) -> None:
        """Guards against "not run" for what another target had begun."""
        rejected = Script(reply=Rejection.UNAVAILABLE)
        bench = EdgeBench(Script(reply=BROKEN), rejected)
        out = _serve(bench, LOOKUP)
        assert out.verdict == MayHaveRun(Reason.TARGET_FAILED)

    def test_only_target_of_a_service_is_asked_again(self) -> None:
        """Guards against services of one target that lose every reset call."""
        bench = EdgeBench(Script(reply=BROKEN), PLAIN)
        for name in ("si-2", "si-3"):
            bench.targets.remove(name)
        out = _serve(bench, LOOKUP)
        assert out.body == b"done"
        bench = EdgeBench(*(Script(reply=BROKEN) for _ in range(4)))
        for name in ("si-2", "si-3"):
            bench.targets.remove(name)
        out = _serve(bench, LOOKUP)
        assert out.verdict == MayHaveRun(Reason.TARGET_FAILED)
        assert len(bench.client.written) == 2

    def test_extra_sends_end_with_the_budget(self) -> None:
        """Guards against an outage that doubles the load on what is left."""
        count = 200
        bench = EdgeBench(*(ERROR for _ in range(2 * count)))
        for _ in range(count):
            _serve(bench, LOOKUP)
        extra = len(bench.client.written) - count
        assert 0 < extra <= 0.2 * count + 56


class DeadlineTest(unittest.TestCase):
    """Requests whose time is up."""

    def test_target_gets_no_more_time_than_is_left(self) -> None:
        """Guards against runs that go on after their caller has given up."""
        bench = EdgeBench(Script(chunks=(make_event(1),)))
        call = dataclasses.replace(CALL, deadline_ms=1_200)
        _serve(bench, call)
        assert bench.client.sends[0].deadline_ms <= 1_200

    def test_route_timeout_bounds_the_request(self) -> None:
        """Guards against requests held past what the operators allow."""
        bench = EdgeBench(PLAIN)
        _serve(bench, ORDER)
        assert bench.client.sends[0].deadline_ms <= 800

    def test_sent_request_that_times_out_may_have_run(self) -> None:
        """Guards against "not run" for an order that a target works on."""
        hung = Script(hangs=True, is_event_stream=False)
        bench = EdgeBench(hung)
        call = dataclasses.replace(ORDER, deadline_ms=30)
        out = _serve(bench, call)
        assert out.verdict == MayHaveRun(Reason.TARGET_TIMEOUT)


class CrashTest(unittest.TestCase):
    """Requests that crash their targets."""

    def test_third_crash_ends_the_request_for_all(self) -> None:
        """Guards against a request that takes one target after the other."""
        bench = EdgeBench(*(Script(reply=BROKEN) for _ in range(3)), PLAIN)
        for number in range(3):
            attempt = f"attempt-{number}"
            _serve(bench, dataclasses.replace(ORDER, attempt=attempt))
            bench.relay.note_target_dead(bench.client.sends[-1].target.name)
        out = _serve(bench, dataclasses.replace(ORDER, attempt="last"))
        assert isinstance(out.verdict, NotRun)
        assert out.verdict.reason is Reason.QUARANTINED
        assert len(bench.client.sends) == 3
        assert bench.log.count(Event.SUSPECT_RECORDED) == 3

    def test_unreachable_targets_are_not_crashed(self) -> None:
        """Guards against good requests that are blamed for a cut."""
        scripts = []
        for _ in range(3):
            scripts += [Script(reply=BROKEN), Script(unsent=True), PLAIN]
        bench = EdgeBench(*scripts)
        for number in range(3):
            attempt = f"attempt-{number}"
            _serve(bench, dataclasses.replace(ORDER, attempt=attempt))
            _serve(bench, dataclasses.replace(ORDER, body=b"other"))
        assert bench.log.count(Event.SUSPECT_RECORDED) == 0

    def test_other_requests_of_the_caller_go_on(self) -> None:
        """Guards against one bad request that locks its whole account out."""
        bench = EdgeBench(*(Script(reply=BROKEN) for _ in range(3)), PLAIN)
        for _ in range(3):
            _serve(bench, ORDER)
            bench.relay.note_target_dead(bench.client.sends[-1].target.name)
        out = _serve(bench, dataclasses.replace(ORDER, body=b"other"))
        assert out.is_complete


class SlowCallerTest(unittest.TestCase):
    """Callers that do not read their answer."""

    def test_answer_that_has_begun_is_not_refused_at_the_time_limit(
        self,
    ) -> None:
        """Guards against a refusal in the middle of an answer."""

        class Stalled(RecordingResponder):

            async def send(self, data: bytes) -> None:
                await super().send(data)
                await anyio.sleep_forever()

        for script in (PLAIN, ERROR):
            bench = EdgeBench(script, Script(reply=Rejection.UNAVAILABLE))
            out = Stalled()
            call = dataclasses.replace(LOOKUP, deadline_ms=50)

            async def run(
                bench: EdgeBench = bench,
                out: Stalled = out,
                call: EdgeCall = call,
            ) -> None:
                with self.assertRaises(AnswerBrokenError):
                    await bench.relay.serve(call, out)

            anyio.run(run)
            assert out.verdict is None
            assert not out.is_complete
            assert bench.log.count(Event.ANSWER_BROKEN) == 1


class MeterTest(unittest.TestCase):
    """What is counted."""

    def test_each_request_ends_once(self) -> None:
        """Guards against requests that metrics miss or count twice."""
        bench = EdgeBench(Script(reply=BROKEN), PLAIN, ERROR)
        _serve(bench, LOOKUP)
        _serve(bench, ORDER)
        _serve(bench, dataclasses.replace(CALL, key="key-2"))
        assert bench.meter.ends == [
            ("idempotent", "status-200"),
            ("non-idempotent", "status-500"),
            ("none", "unknown-key"),
        ]
        assert bench.meter.sends == ["broken", "answered", "answered"]
