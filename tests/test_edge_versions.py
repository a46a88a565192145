"""Tests of streams while targets of several software versions serve."""

import dataclasses
import unittest

import anyio

from peridotbend.edge.ports import AnswerBrokenError, EdgeCall
from tests.edgefakes import (
    CALL,
    RecordingResponder,
    RelayHarness,
    ScriptedReply,
    make_event,
    make_target,
)

TARGETS = ("i-1", "i-2", "i-3")


def _list_targets(harness: RelayHarness, **software: str) -> None:
    """Lists targets by name, with "i_1" for i-1; others are removed."""
    for name in TARGETS:
        harness.targets.remove(name)
    for name, version in software.items():
        target = make_target(name.replace("_", "-"))
        harness.targets.put(dataclasses.replace(target, software=version))


def _serve(harness: RelayHarness, call: EdgeCall = CALL) -> RecordingResponder:
    responder = RecordingResponder()

    async def run() -> None:
        try:
            await harness.relay.serve(call, responder)
        except AnswerBrokenError:
            return

    anyio.run(run)
    return responder


class FailoverVersionTest(unittest.TestCase):
    """Streams that go on at another target within one answer."""

    def test_broken_stream_does_not_go_on_at_another_version(self) -> None:
        """Guards against a stream that is joined from two versions."""
        for attempt in range(20):
            broken = ScriptedReply(
                chunks=(make_event(1),), breaks_connection=True
            )
            rest = ScriptedReply(chunks=(make_event(2),))
            harness = RelayHarness(broken, rest)
            _list_targets(harness, i_1="v1", i_2="v2", i_3="v2")
            _serve(harness, dataclasses.replace(CALL, attempt=f"a{attempt}"))
            used = {send.target.software for send in harness.client.sends}
            assert len(used) == 1, used


class TakeUpVersionTest(unittest.TestCase):
    """Streams that a client takes up at an instance that did not begin them."""

    def test_take_up_goes_on_at_the_version_that_began(self) -> None:
        """Guards against joined streams after all instances were killed."""
        for number in range(20):
            attempt = f"a{number}"
            begun = RelayHarness(ScriptedReply(chunks=(make_event(1),)))
            restarted = RelayHarness(ScriptedReply(chunks=(make_event(2),)))
            for harness in (begun, restarted):
                _list_targets(harness, i_1="v1", i_2="v2", i_3="v2")
                harness.clock.advance(60_000)
            _serve(begun, dataclasses.replace(CALL, attempt=attempt))
            # Load alone would now lead to a target of the other version.
            for _ in range(4):
                restarted.occupancy.add(begun.client.sends[0].target.name)
            take_up = dataclasses.replace(
                CALL, attempt=f"b{number}", resumes=attempt, last_event_id="1"
            )
            _serve(restarted, take_up)
            (first,), (second,) = begun.client.sends, restarted.client.sends
            assert first.target.software == second.target.software
