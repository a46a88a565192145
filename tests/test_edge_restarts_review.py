"""Tests of targets whose names were not listed between two processes."""

import asyncio
import unittest

from peridotbend.edge.versions import VIEW_LAG_MS
from tests.edgefleet import HOSTS
from tests.edgerestarts import (
    EVENTS,
    MAX_ROUNDS,
    RestartableTarget,
    RestartFleet,
    run_with_targets,
)

# Enough that some are placed at each version and each of its targets.
MANY_CALLS = 30


class ExpiredEntryTest(unittest.TestCase):
    """Names that were not listed for a time between two entries."""

    def test_entry_after_a_removal_does_not_join_versions(self) -> None:
        """Guards against a process that serves on without its entry.

        The next entry of its name is that of a process that is yet to start.
        """
        early, sound = RestartableTarget("i-1"), RestartableTarget("i-2")
        sound.software = "v2"

        async def check(fleet: RestartFleet) -> None:
            early.dies_after = 2
            await fleet.remove_target(early)
            old_start_ms = early.started_at_ms
            early.software, early.started_at_ms = "v2", old_start_ms + 60_000
            fleet.list_target(early)
            await fleet.wait_listed(early)
            early.software, early.started_at_ms = "v1", old_start_ms
            answer = await fleet.call("/quotes/1")
            assert len(set(answer.software)) <= 1, answer

        run_with_targets([early, sound], check)


class UnlistedProcessTest(unittest.TestCase):
    """Processes that cannot be asked any more before an entry is written."""

    def test_first_process_of_a_release_that_stalls_does_not_join(self) -> None:
        """Guards against silence that is trusted where one version is known."""
        stalling, sound = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            await fleet.use_targets()
            await stalling.restart("v2")
            stalling.stalls_after = 2
            for answer in await fleet.call_until_used(stalling):
                assert len(set(answer.software)) <= 1, answer

        run_with_targets([stalling, sound], check)

    def test_first_process_of_a_release_that_dies_does_not_join(self) -> None:
        """Guards against a death that explains itself.

        The instance had no use of the process before when that one died.
        """
        dying, sound = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            await fleet.use_targets()
            await dying.restart("v2")
            dying.dies_after = 2
            for answer in await fleet.call_until_used(dying):
                assert len(set(answer.software)) <= 1, answer

        run_with_targets([dying, sound], check)

    def test_take_up_after_the_death_of_its_process_does_not_join(
        self,
    ) -> None:
        """Guards against a take-up that is placed as its entry still says."""
        restarted, sound = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            # A process that is younger knows that it has not seen all.
            await asyncio.sleep((VIEW_LAG_MS + 500) / 1_000)
            await fleet.use_targets()
            await restarted.restart("v2")
            begun = await fleet.begin_streams(restarted)
            restarted.die()
            # Each may wait, and the platform lists no entry of a dead process
            # for as long as all of them would take in turn.
            rests = await asyncio.gather(
                *(
                    fleet.call(answer.path, HOSTS[1], 2, answer.attempt)
                    for answer in begun
                )
            )
            for answer, rest in zip(begun, rests, strict=True):
                joined = {*answer.software, *rest.software}
                assert len(joined) <= 1, (answer, rest)

        run_with_targets([restarted, sound], check, instances=2)

    def test_process_after_an_idle_one_does_not_join(self) -> None:
        """Guards against an end of idle connections that nobody notices."""
        dying, sound = RestartableTarget("i-1"), RestartableTarget("i-2")
        dying.keep_alive_s = sound.keep_alive_s = 60

        async def check(fleet: RestartFleet) -> None:
            for _ in range(MAX_ROUNDS):
                await fleet.call_together()
                if dying.ran and sound.ran:
                    break
            await dying.restart("v2")
            dying.dies_after = 2
            for _ in range(MAX_ROUNDS):
                for answer in await fleet.call_together():
                    assert len(set(answer.software)) <= 1, answer
                if dying.asked:
                    break
            assert dying.asked

        run_with_targets([dying, sound], check)


class SeveralVersionsTest(unittest.TestCase):
    """Services whose targets have several versions."""

    def test_process_that_dies_unlisted_does_not_join(self) -> None:
        """Guards against a death that counts as one of the listed process.

        The instance had no use of the process before when that one died.
        """
        dying, sound = RestartableTarget("i-1"), RestartableTarget("i-2")
        other = RestartableTarget("i-3", "v2")

        async def check(fleet: RestartFleet) -> None:
            await dying.restart("v2")
            dying.dies_after = 2
            for number in range(MANY_CALLS):
                answer = await fleet.call(f"/quotes/{number}")
                assert len(set(answer.software)) <= 1, answer
            assert dying.asked and sound.ran and other.ran

        run_with_targets([dying, sound, other], check)

    def test_young_instance_does_not_join_after_an_early_entry(self) -> None:
        """Guards against a process before the only entry that is known."""
        early, sound = RestartableTarget("i-1", "v2"), RestartableTarget("i-2")
        other = RestartableTarget("i-3", "v2")
        early.started_at_ms += 60_000

        async def check(fleet: RestartFleet) -> None:
            early.software = "v1"
            early.started_at_ms -= 60_000
            early.dies_after = 2
            for number in range(MANY_CALLS):
                answer = await fleet.call(f"/quotes/{number}")
                assert len(set(answer.software)) <= 1, answer
            assert early.asked and sound.ran and other.ran

        run_with_targets([early, sound, other], check)

    def test_connection_is_asked_for_once(self) -> None:
        """Guards against a question for each sound stream."""
        targets = [
            RestartableTarget("i-1"),
            RestartableTarget("i-2"),
            RestartableTarget("i-3", "v2"),
        ]

        async def check(fleet: RestartFleet) -> None:
            for number in range(MANY_CALLS):
                answer = await fleet.call(f"/quotes/{number}")
                assert answer.is_whole and len(answer.software) == EVENTS
            for target in targets:
                assert target.asked <= target.connected <= 1, target.name

        run_with_targets(targets, check)
