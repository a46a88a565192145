"""Tests of targets that are asked who they are, and do not say."""

import asyncio
import unittest

from peridotbend.edge.versions import VIEW_LAG_MS
from tests.edgefleet import HOSTS
from tests.edgerestarts import (
    EVENTS,
    FIRST_START_MS,
    RestartableTarget,
    RestartFleet,
    run_with_targets,
)

CALLS = 8
# Answers of targets that are overloaded or in trouble. None names a start.
REPORTS = (
    (200, b'{"stage": "hybrid", "born": 17900'),
    (200, b'{"stage": "hybrid"}'),
    (200, b'{"born": "%d"}' % FIRST_START_MS),
    (200, b'{"born": 1e300}'),
    (200, b"[1]"),
    (200, b""),
    (404, b""),
    (503, b'{"born": %d}' % FIRST_START_MS),
)


class UnnamedStartTest(unittest.TestCase):
    """Targets that answer without naming their start."""

    def test_begin_at_an_unnamed_process_does_not_go_on(self) -> None:
        """Guards against an answer that is taken for one of the listed run."""
        restarted, sound = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            await restarted.restart("v2")
            restarted.reports = REPORTS
            restarted.resets_after = 2
            for number in range(CALLS):
                answer = await fleet.call(f"/quotes/{number}")
                assert len(set(answer.software)) <= 1, answer
            assert restarted.ran and restarted.asked

        run_with_targets([restarted, sound], check)

    def test_stream_does_not_go_on_at_an_unnamed_process(self) -> None:
        """Guards against a send that goes on at whoever answers."""
        breaking, restarted = RestartableTarget("i-1"), RestartableTarget("i-2")
        breaking.resets_after = 2

        async def check(fleet: RestartFleet) -> None:
            await restarted.restart("v2")
            restarted.reports = REPORTS
            for number in range(CALLS):
                answer = await fleet.call(f"/quotes/{number}")
                assert len(set(answer.software)) <= 1, answer
            assert breaking.ran and restarted.asked

        run_with_targets([breaking, restarted], check)

    def test_unnamed_process_shows_no_life_of_the_one_before(self) -> None:
        """Guards against the end of a dead target that counts as whole."""
        dying, sound = RestartableTarget("i-1"), RestartableTarget("i-2")
        dying.is_unframed = dying.returns_at_once = True
        dying.dies_after = 2
        dying.reports = REPORTS

        async def check(fleet: RestartFleet) -> None:
            for number in range(CALLS):
                answer = await fleet.call(f"/quotes/{number}")
                is_complete = len(answer.software) == EVENTS
                assert is_complete or not answer.is_whole, answer
            assert dying.ran and dying.asked

        run_with_targets([dying, sound], check)

    def test_unnamed_process_takes_up_no_stream(self) -> None:
        """Guards against a take-up that is placed by the entry alone."""
        restarted, sound = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            # A process that is younger knows that it has not seen all.
            await asyncio.sleep((VIEW_LAG_MS + 500) / 1_000)
            await restarted.restart("v2")
            restarted.reports = REPORTS
            for answer in await fleet.call_until_killed(restarted, events=2):
                assert set(answer.software) == {"v2"}, answer
                rest = await fleet.call(
                    answer.path,
                    HOSTS[1],
                    len(answer.software),
                    answer.attempt,
                )
                assert set(rest.software) <= {"v2"}, rest

        run_with_targets([restarted, sound], check, instances=2)

    def test_one_damaged_report_cuts_no_stream(self) -> None:
        """Guards against streams that are cut although asking again helps."""
        breaking, sound = RestartableTarget("i-1"), RestartableTarget("i-2")
        breaking.resets_after = 2
        named = (200, b'{"born": %d}' % FIRST_START_MS)
        breaking.reports = sound.reports = (REPORTS[0], named)

        async def check(fleet: RestartFleet) -> None:
            for number in range(CALLS):
                answer = await fleet.call(f"/quotes/{number}")
                assert answer.is_whole, answer
                assert len(answer.software) == EVENTS
            assert breaking.ran

        run_with_targets([breaking, sound], check)
