"""Tests of callers that take up streams at targets in trouble."""

import unittest

import httpcore

from peridotbend.platform import wire
from tests.edgefleet import HOSTS
from tests.troubledfleet import (
    RESUMABLE_PATH,
    TroubledFleet,
    run_with_peer,
    run_with_trouble,
)
from tests.troubledtargets import (
    EVENTS,
    TAKE_UP_BODIES,
    TAKEN_UP_AFTER,
    WHOLE,
    Place,
    list_fewer_answers,
    list_foreign_answers,
    make_events,
)

BEGUN = f"{RESUMABLE_PATH}0/none/begun"
REST = make_events(TAKEN_UP_AFTER + 1, EVENTS)
TAKE_UP = {wire.RESUMES: BEGUN, wire.LAST_EVENT_ID: str(TAKEN_UP_AFTER)}
TAKE_UP_AT_END = {wire.RESUMES: BEGUN, wire.LAST_EVENT_ID: str(EVENTS)}
# Of the answers through a peer, and to callers that lack nothing.
FEWER_BODIES = {
    name: TAKE_UP_BODIES[name]
    for name in (
        "nothing",
        "text",
        "data without an ID after events",
        "events from the first",
    )
}


async def begin_stream(troubled: TroubledFleet, host: str) -> None:
    """Begins the stream that callers take up, at an instance."""
    answer: httpcore.Response = await troubled.fleet.call(host, BEGUN, BEGUN)
    assert (answer.status, answer.content) == (200, WHOLE)


class TakenUpStreamProcessTest(unittest.TestCase):
    """Streams that callers take up, whose first or second send is answered."""

    def test_caller_gets_the_events_that_it_lacks(self) -> None:
        """Guards against bytes of no run, and events that come twice."""

        async def check(troubled: TroubledFleet) -> None:
            await begin_stream(troubled, HOSTS[0])
            problems = await troubled.list_problems(
                RESUMABLE_PATH,
                Place.FIRST,
                Place.RESUMED,
                headers=TAKE_UP,
                expected=REST,
            )
            assert not problems, "\n".join(problems)

        run_with_trouble(list_foreign_answers(TAKE_UP_BODIES), check)

    def test_caller_gets_them_at_an_instance_without_links(self) -> None:
        """Guards against the same through a peer, at which the stream began."""

        async def check(troubled: TroubledFleet) -> None:
            await begin_stream(troubled, HOSTS[1])
            problems = await troubled.list_problems(
                RESUMABLE_PATH, Place.FIRST, headers=TAKE_UP, expected=REST
            )
            assert not problems, "\n".join(problems)

        run_with_peer(list_fewer_answers(FEWER_BODIES), check)


class WholeStreamTakenUpProcessTest(unittest.TestCase):
    """Streams that callers take up after their last event."""

    def test_sound_targets_end_it(self) -> None:
        """Guards against a refusal when no event is left, and bytes after it.

        An answer that is no such end changes nothing.
        """
        answers = list_fewer_answers(FEWER_BODIES)

        async def check(troubled: TroubledFleet) -> None:
            await begin_stream(troubled, HOSTS[0])
            path = f"{RESUMABLE_PATH}0/none/ended"
            answer = await troubled.call(path, TAKE_UP_AT_END)
            assert answer is not None
            assert (answer.status, answer.content) == (200, b"")
            assert troubled.target.sends[path] == 2
            problems = await troubled.list_problems(
                RESUMABLE_PATH,
                Place.FIRST,
                headers=TAKE_UP_AT_END,
                expected=b"",
            )
            assert not problems, "\n".join(problems)

        run_with_trouble(answers, check)
