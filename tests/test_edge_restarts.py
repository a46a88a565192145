"""Tests of targets that restart or die while real daemons serve streams."""

import asyncio
import unittest

from peridotbend.edge.delivery import MAX_HELD_BYTES
from peridotbend.edge.versions import VIEW_LAG_MS
from tests.edgefleet import HOSTS
from tests.edgerestarts import (
    EVENTS,
    LEASE_S,
    MAX_ROUNDS,
    RestartableTarget,
    RestartFleet,
    run_with_targets,
)

CALLS = 6


class UnlistedRestartTest(unittest.TestCase):
    """Targets that start again with other software before an entry says so."""

    def test_stream_does_not_go_on_at_another_process_of_the_name(self) -> None:
        """Guards against a stream that is joined from two versions."""
        breaking, restarted = RestartableTarget("i-1"), RestartableTarget("i-2")
        breaking.resets_after = 2

        async def check(fleet: RestartFleet) -> None:
            await restarted.restart("v2")
            for number in range(CALLS):
                answer = await fleet.call(f"/quotes/{number}")
                assert len(set(answer.software)) <= 1, answer
            assert breaking.ran

        run_with_targets([breaking, restarted], check)

    def test_stream_of_an_unlisted_process_does_not_go_on_elsewhere(
        self,
    ) -> None:
        """Guards against a begin that counts as one of the listed version."""
        restarted, sound = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            await fleet.use_targets()
            await restarted.restart("v2")
            restarted.resets_after = 2
            for answer in await fleet.call_until_used(restarted):
                assert len(set(answer.software)) <= 1, answer

        run_with_targets([restarted, sound], check)

    def test_take_up_elsewhere_does_not_join_versions(self) -> None:
        """Guards against an instance that computes a begin from old entries."""
        restarted, sound = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            await fleet.use_targets()
            await restarted.restart("v2")
            restarted.resets_after = 2
            joined = []
            for answer in await fleet.call_until_used(restarted):
                if answer.is_whole or not answer.software:
                    continue
                rest = await fleet.call(
                    answer.path,
                    HOSTS[1],
                    len(answer.software),
                    answer.attempt,
                )
                if len({*answer.software, *rest.software}) > 1:
                    joined.append((answer, rest))
            assert not joined, joined

        run_with_targets([restarted, sound], check, instances=2)

    def test_take_up_after_a_kill_does_not_join_versions(self) -> None:
        """Guards against the same when nobody has seen the stream begin."""
        restarted, sound = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            # A process that is younger knows that it has not seen all.
            await asyncio.sleep((VIEW_LAG_MS + 500) / 1_000)
            await fleet.use_targets()
            await restarted.restart("v2")
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

    def test_record_of_another_instance_does_not_join_versions(self) -> None:
        """Guards against a version that is told as the old entry named it."""
        restarted, sound = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            await fleet.use_targets()
            await restarted.restart("v2")
            begun = await fleet.begin_streams(restarted)
            fleet.list_target(restarted)
            await fleet.wait_listed(restarted)
            joined = []
            for answer in begun:
                rest = await fleet.call(
                    answer.path, HOSTS[1], 2, answer.attempt
                )
                if len({*answer.software, *rest.software}) > 1:
                    joined.append((answer, rest))
            assert not joined, joined

        run_with_targets([restarted, sound], check, instances=2)

    def test_entry_before_its_process_does_not_join_versions(self) -> None:
        """Guards against an entry of the process that is yet to start."""
        early, sound = RestartableTarget("i-1"), RestartableTarget("i-2")
        sound.software = "v2"

        async def check(fleet: RestartFleet) -> None:
            early.dies_after = 2
            old_start_ms = early.started_at_ms
            early.software, early.started_at_ms = "v2", old_start_ms + 60_000
            fleet.list_target(early)
            await fleet.wait_listed(early)
            early.software, early.started_at_ms = "v1", old_start_ms
            answer = await fleet.call("/quotes/1")
            assert len(set(answer.software)) <= 1, answer

        run_with_targets([early, sound], check)

    def test_streams_go_on_once_the_entry_is_written(self) -> None:
        """Guards against streams that are cut although all is known."""
        breaking, restarted = RestartableTarget("i-1"), RestartableTarget("i-2")
        breaking.resets_after = 2

        async def check(fleet: RestartFleet) -> None:
            await restarted.restart("v1")
            fleet.list_target(restarted)
            await fleet.wait_listed(restarted)
            for number in range(CALLS):
                answer = await fleet.call(f"/quotes/{number}")
                assert answer.is_whole, answer
                assert answer.software == ["v1"] * EVENTS, answer
            assert breaking.ran

        run_with_targets([breaking, restarted], check)


class DyingTargetTest(unittest.TestCase):
    """Targets whose death closes their connections in order."""

    def test_stream_of_a_dying_target_does_not_look_whole(self) -> None:
        """Guards against a stream without a length that ends too early.

        It began over a connection that is known to lead to the listed run.
        """
        dying, sound = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            await fleet.prove_connections()
            dying.is_unframed = True
            dying.dies_after = 3
            for _ in range(MAX_ROUNDS):
                for answer in await fleet.call_together():
                    assert answer.is_whole, answer
                    assert len(answer.software) == EVENTS, answer
                if dying.is_dead:
                    break
            assert dying.is_dead

        run_with_targets([dying, sound], check)

    def test_stream_of_an_unknown_process_does_not_look_whole(self) -> None:
        """Guards against the same where nobody knows what process died."""
        dying, sound = RestartableTarget("i-1"), RestartableTarget("i-2")
        dying.is_unframed = True
        dying.dies_after = 3

        async def check(fleet: RestartFleet) -> None:
            answer = await fleet.call("/quotes/1")
            assert dying.ran
            is_complete = len(answer.software) == EVENTS
            assert is_complete or not answer.is_whole, answer

        run_with_targets([dying, sound], check)

    def test_stream_of_an_unknown_process_goes_on_once_it_is_known(
        self,
    ) -> None:
        """Guards against streams that are refused for good after a death."""
        dying, sound = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            await fleet.use_targets()
            # It keeps no connection from its first use.
            dying.die()
            await dying.start()
            dying.dies_after = 3
            answers = await fleet.call_until_used(dying)
            broken = [answer for answer in answers if not answer.is_whole]
            assert any(len(answer.software) == 3 for answer in broken), answers
            # The entry outlives the connection by more than its lease.
            await asyncio.sleep(LEASE_S)
            for answer in broken:
                count = len(answer.software)
                for host in HOSTS[:2]:
                    rest = await fleet.call(
                        answer.path, host, count, answer.attempt
                    )
                    assert rest.is_whole, rest
                    assert len(rest.software) == EVENTS - count, rest

        run_with_targets([dying, sound], check, instances=2)

    def test_body_of_a_dying_target_does_not_look_whole(self) -> None:
        """Guards against a body without a length that ends too early."""
        dying, sound = RestartableTarget("i-1"), RestartableTarget("i-2")
        dying.is_unframed = True
        dying.dies_after = 3

        async def check(fleet: RestartFleet) -> None:
            answer = await fleet.call("/lookups/1")
            assert dying.ran
            assert answer.body.count(b";") == EVENTS, answer

        run_with_targets([dying, sound], check)

    def test_sound_stream_without_a_length_is_sent_once(self) -> None:
        """Guards against doubt that costs sound streams another send."""
        first, second = RestartableTarget("i-1"), RestartableTarget("i-2")
        for target in (first, second):
            target.is_unframed = True

        async def check(fleet: RestartFleet) -> None:
            for number in range(CALLS):
                answer = await fleet.call(f"/quotes/{number}")
                assert answer.is_whole and len(answer.software) == EVENTS
            assert len(first.ran) + len(second.ran) == CALLS
            # Each end is asked about, and each target before its first use.
            assert first.asked + second.asked <= CALLS + 2

        run_with_targets([first, second], check)

    def test_sound_body_without_a_length_is_whole_at_first_use(self) -> None:
        """Guards against a target that is not asked before a short request.

        Its first answer would not prove the connection that it came over.
        """
        first, second = RestartableTarget("i-1"), RestartableTarget("i-2")
        for target in (first, second):
            target.is_unframed = True

        async def check(fleet: RestartFleet) -> None:
            for number in range(CALLS):
                answer = await fleet.call(f"/lookups/{number}")
                assert answer.is_whole, answer
                assert answer.body.count(b";") == EVENTS, answer
            assert len(first.ran) + len(second.ran) == CALLS

        run_with_targets([first, second], check)

    def test_sound_stream_in_chunks_asks_at_first_use_only(self) -> None:
        """Guards against questions and connections for sound streams."""
        first, second = RestartableTarget("i-1"), RestartableTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            for number in range(CALLS):
                answer = await fleet.call(f"/quotes/{number}")
                assert answer.is_whole and len(answer.software) == EVENTS
            assert first.asked <= 1 and second.asked <= 1
            assert first.connected + second.connected <= 2

        run_with_targets([first, second], check)

    def test_long_body_of_a_dying_target_is_cut(self) -> None:
        """Guards against a body that is passed on in parts and looks whole."""
        dying, sound = RestartableTarget("i-1"), RestartableTarget("i-2")
        for target in (dying, sound):
            target.part_bytes = MAX_HELD_BYTES
        dying.is_unframed = True
        dying.dies_after = 3

        async def check(fleet: RestartFleet) -> None:
            answer = await fleet.call("/lookups/1")
            assert dying.ran
            assert not answer.is_whole, len(answer.body)

        run_with_targets([dying, sound], check)

    def test_stream_that_cannot_resume_is_cut(self) -> None:
        """Guards against an end that nobody can make good."""
        dying = RestartableTarget("i-1")
        dying.is_unframed = True
        dying.dies_after = 3

        async def check(fleet: RestartFleet) -> None:
            answer = await fleet.call("/quotes/1")
            assert dying.ran
            assert not answer.is_whole, answer

        run_with_targets([dying], check)
