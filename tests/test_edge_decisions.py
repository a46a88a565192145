"""Tests of target selection, the queue of requests and the target list."""

import dataclasses
import random
import unittest

import anyio
from result import Ok

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.edge.backlog import Backlog
from peridotbend.edge.brittle import BrittleTargets
from peridotbend.edge.coldtargets import ColdTargets, FleetView
from peridotbend.edge.config import Service
from peridotbend.edge.hashes import hash_name
from peridotbend.edge.health import TargetHealth
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.peers import PEER_TIMEOUT_MS
from peridotbend.edge.ratelimits import RateLimits
from peridotbend.edge.selection import Selector, TargetCriteria
from peridotbend.edge.slots import Slot
from peridotbend.edge.targetpauses import TargetPauses
from peridotbend.edge.targets import REMOVAL_GRACE_MS, EdgeTarget, TargetList
from peridotbend.load.placement import Prompt
from peridotbend.load.work import TargetWork
from tests.edgefakes import SETTINGS, STREAM_ROUTE, RecordingLog, make_target

CRITERIA = TargetCriteria("engine", True, (0, 1))
# Its requests wait for a slot for more than a second.
LONG_WAIT_ROUTE = dataclasses.replace(STREAM_ROUTE, objective_ms=10_000)


class _SelectionHarness:
    """The selector and the backlog, with targets of ten slots each."""

    def __init__(self, *names: str):
        self.clock = ManualClock()
        self.targets = TargetList(self.clock)
        for name in names:
            self.targets.put(make_target(name))
        self.occupancy = Occupancy(self.clock)
        self.health = TargetHealth(self.clock)
        rate_limits = RateLimits(self.clock, RecordingLog(), "10.0.0.1", list)
        brittle = BrittleTargets(self.clock, RecordingLog(), "10.0.0.1", list)
        self.cold = ColdTargets(
            self.clock,
            RecordingLog(),
            SETTINGS,
            FleetView(list, lambda: True, lambda: True),
        )
        self.work = TargetWork(
            self.clock, Occupancy(self.clock), self.health.find_pace_ms
        )
        self.work.apply_services([Service("engine", has_engine=True)])
        self.selector = Selector(
            "zone-a",
            self.occupancy,
            self.health,
            rate_limits,
            brittle,
            self.cold,
            TargetPauses(self.clock),
            work=self.work,
            rng=random.Random(1),
        )
        self.backlog = Backlog(
            self.clock,
            self.targets,
            self.occupancy,
            rate_limits,
            brittle,
            self.cold,
            self.selector,
            random.Random(1),
        )

    def choose(self, criteria: TargetCriteria = CRITERIA) -> EdgeTarget | None:
        """Returns the target that would be selected for a request."""
        return self.selector.choose(criteria, self.targets.list_for("engine"))

    def measure(self, tokens_per_ms: float, *names: str) -> None:
        """Lets targets read prompts of different size at a speed."""
        for name in names:
            for number in range(10):
                tokens = 1_000 * (1 + number % 4)
                ticket = self.work.start(name, tokens, "engine")
                self.clock.advance(round(tokens / tokens_per_ms) + 30)
                self.work.note_first_event(ticket)

    def make_criteria(self, tokens: int, left_ms: int) -> TargetCriteria:
        """Returns a request whose first event is due after `left_ms`."""
        due_at_ms = self.clock.now_ms() + left_ms
        return dataclasses.replace(
            CRITERIA, prompt=Prompt(tokens, due_at_ms, 400, 400)
        )

    def fill(self, target: str, count: int, peer: str = "") -> None:
        """Adds requests in flight at a target, by default of this instance."""
        if peer:
            self.occupancy.record_peer(peer, {target: count})
            return
        for _ in range(count):
            self.occupancy.add(target)


class SelectionTest(unittest.TestCase):
    """Selection of the target for a request."""

    def test_requests_of_peers_count(self) -> None:
        """Guards against several instances that all fill the same engine."""
        harness = _SelectionHarness("i-1", "i-2")
        harness.fill("i-1", 5, peer="10.0.0.2")
        target = harness.choose()
        assert target is not None
        assert target.name == "i-2"

    def test_occupancy_of_a_silent_peer_expires(self) -> None:
        """Guards against slots that a dead instance occupies forever."""
        harness = _SelectionHarness("i-1")
        harness.fill("i-1", 10, peer="10.0.0.2")
        assert harness.choose() is None
        harness.clock.advance(PEER_TIMEOUT_MS + 1)
        assert harness.choose() is not None

    def test_last_slots_are_kept_for_the_highest_rank(self) -> None:
        """Guards against quotes that wait for an engine behind chat tagging."""
        harness = _SelectionHarness("i-1")
        harness.fill("i-1", 9)
        assert harness.choose() is None
        assert (
            harness.choose(dataclasses.replace(CRITERIA, rank=(0, 0)))
            is not None
        )

    def test_target_that_refuses_connections_is_avoided_for_a_while(
        self,
    ) -> None:
        """Guards against sending further requests to a dead target."""
        harness = _SelectionHarness("i-1", "i-2")
        harness.fill("i-2", 3)
        harness.health.note_failure("i-1")
        target = harness.choose()
        assert target is not None
        assert target.name == "i-2"
        harness.clock.advance(10_000)
        target = harness.choose()
        assert target is not None
        assert target.name == "i-1"

    def test_failing_target_ranks_last(self) -> None:
        """Guards against a failing target that draws load by quick errors."""
        harness = _SelectionHarness("i-1", "i-2")
        for _ in range(10):
            harness.health.note_answer("i-1", failed=True)
        harness.fill("i-2", 5)
        target = harness.choose()
        assert target is not None
        assert target.name == "i-2"

    def test_faster_engine_gets_more(self) -> None:
        """Guards against late streams on slow engines while fast ones are idle.

        The engines are equally full at the start.
        """
        harness = _SelectionHarness("i-1", "i-2")
        for _ in range(20):
            harness.health.note_event_interval("i-1", 60)
            harness.health.note_event_interval("i-2", 20)
        counts = {"i-1": 0, "i-2": 0}
        for _ in range(10):
            target = harness.choose()
            assert target is not None
            counts[target.name] += 1
            harness.fill(target.name, 1)
        assert counts["i-2"] >= 2 * counts["i-1"]
        assert counts["i-1"] > 0

    def test_long_first_interval_does_not_decide_for_long(self) -> None:
        """Guards against engines that look slow for a pause at the start."""
        harness = _SelectionHarness("i-1", "i-2")
        harness.health.note_event_interval("i-1", 300)
        harness.health.note_event_interval("i-2", 20)
        for _ in range(9):
            harness.health.note_event_interval("i-1", 20)
            harness.health.note_event_interval("i-2", 20)
        # One request less outweighs what is left of the pause.
        harness.fill("i-2", 2)
        target = harness.choose()
        assert target is not None
        assert target.name == "i-1"

    def test_engine_of_unknown_pace_is_tried(self) -> None:
        """Guards against new engines that never receive a request."""
        harness = _SelectionHarness("i-1", "i-2")
        harness.health.note_event_interval("i-1", 20)
        harness.fill("i-1", 2)
        target = harness.choose()
        assert target is not None
        assert target.name == "i-2"

    def test_errors_that_all_targets_give_change_nothing(self) -> None:
        """Guards against avoiding targets for errors that requests cause."""
        harness = _SelectionHarness("i-1", "i-2")
        for name in ("i-1", "i-2"):
            for _ in range(10):
                harness.health.note_answer(name, failed=True)
        harness.fill("i-2", 5)
        target = harness.choose()
        assert target is not None
        assert target.name == "i-1"

    def test_session_returns_to_its_target(self) -> None:
        """Guards against sessions whose prompt every engine computes again."""
        harness = _SelectionHarness("i-1", "i-2", "i-3")
        criteria = dataclasses.replace(CRITERIA, session="c0ffee")
        first = harness.choose(criteria)
        assert first is not None
        harness.fill(first.name, 1)
        assert harness.choose(criteria) == first
        harness.fill(first.name, 4)
        assert harness.choose(criteria) != first


class WorkTest(unittest.TestCase):
    """Selection by the predicted first event."""

    def _choose(self, harness: _SelectionHarness, *request: int) -> str:
        target = harness.choose(harness.make_criteria(*request))
        return target.name if target else ""

    def test_prompts_ahead_count_and_not_only_requests(self) -> None:
        """Guards against a request behind one prompt that reads for long."""
        harness = _SelectionHarness("i-1", "i-2")
        harness.measure(50.0, "i-1", "i-2")
        harness.work.record_others({hash_name("i-1"): 60_000})
        harness.fill("i-2", 4)
        assert self._choose(harness, 1_000, 400) == "i-2"
        # The request may be late at any target with a free slot.
        harness.fill("i-2", 5)
        assert self._choose(harness, 1_000, 400) == ""
        assert self._choose(harness, 1_000, -1) == "i-1"

    def test_request_waits_only_while_it_can_be_on_time(self) -> None:
        """Guards against prompts that no target is fast enough to serve."""
        harness = _SelectionHarness("i-1")
        harness.measure(50.0, "i-1")
        harness.work.record_others({hash_name("i-1"): 60_000})
        assert self._choose(harness, 1_000, 400) == ""
        assert self._choose(harness, 54_600, 400) == "i-1"

    def test_long_prompt_goes_where_nothing_is_read(self) -> None:
        """Guards against streams that pause for longer than allowed."""
        harness = _SelectionHarness("i-1", "i-2")
        harness.measure(50.0, "i-1", "i-2")
        harness.work.record_others({hash_name("i-1"): 100})
        harness.fill("i-2", 6)
        assert self._choose(harness, 25_000, 900) == "i-2"

    def test_slots_count_the_prompt_until_its_first_event(self) -> None:
        """Guards against prompts that stay counted after a failed send."""
        harness = _SelectionHarness("i-1")
        criteria = harness.make_criteria(1_000, 400)
        slots = [harness.backlog.try_acquire(criteria) for _ in range(2)]
        assert harness.work.list_own() == {"i-1": 2_000}
        for slot in filter(None, slots):
            slot.release()
        assert not harness.work.list_own()


class BacklogTest(unittest.TestCase):
    """Requests that wait for a slot."""

    def test_highest_rank_gets_the_next_slot(self) -> None:
        """Guards against serving by order of arrival under overload."""
        harness = _SelectionHarness("i-1")
        harness.fill("i-1", 11)
        granted: list[int] = []

        async def acquire(rank: int) -> None:
            criteria = dataclasses.replace(CRITERIA, rank=(0, rank))
            end_at_ms = harness.clock.now_ms() + 10_000
            result = await harness.backlog.acquire(
                criteria, LONG_WAIT_ROUTE, end_at_ms
            )
            if isinstance(result, Ok):
                granted.append(rank)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                for rank in (2, 1, 0):
                    group.start_soon(acquire, rank)
                    await anyio.sleep(0)
                await anyio.sleep(0.01)
                for _ in range(3):
                    harness.occupancy.remove("i-1")
                harness.backlog.grant_slots("engine")
                await anyio.sleep(0.01)
                assert granted == [0], granted
                for _ in range(9):
                    harness.occupancy.remove("i-1")
                harness.backlog.grant_slots("engine")

        anyio.run(run)
        assert granted == [0, 1, 2]

    def test_request_without_a_slot_is_refused_early(self) -> None:
        """Guards against refusing callers only after a long wait."""
        harness = _SelectionHarness("i-1")
        harness.fill("i-1", 11)

        async def run() -> None:
            refusals: list[NotRun] = []

            async def acquire() -> None:
                end_at_ms = harness.clock.now_ms() + 10_000
                result = await harness.backlog.acquire(
                    CRITERIA, STREAM_ROUTE, end_at_ms
                )
                refusals.append(result.unwrap_err())

            async with anyio.create_task_group() as group:
                group.start_soon(acquire)
                await anyio.sleep(0.01)
                # An eighth of the objective, longer than the maximum wait.
                harness.clock.advance(100)
                harness.backlog.grant_slots("engine")
            (refusal,) = refusals
            assert refusal.reason is Reason.SHED
            assert 700 <= refusal.retry_after_ms <= 1_300

        anyio.run(run)

    def test_cancelled_caller_leaves_nothing_behind(self) -> None:
        """Guards against slots held for callers that have disconnected."""
        harness = _SelectionHarness("i-1")
        harness.fill("i-1", 9)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                end_at_ms = harness.clock.now_ms() + 10_000
                group.start_soon(
                    harness.backlog.acquire,
                    CRITERIA,
                    LONG_WAIT_ROUTE,
                    end_at_ms,
                )
                await anyio.sleep(0.01)
                assert harness.backlog.count_waiting("engine") == 1
                group.cancel_scope.cancel()
            assert harness.backlog.count_waiting("engine") == 0
            harness.occupancy.remove("i-1")
            assert harness.choose() is not None

        anyio.run(run)

    def test_slot_is_released_once(self) -> None:
        """Guards against counting fewer requests than are in flight."""
        releases: list[int] = []
        slot = Slot(make_target("i-1"), lambda: releases.append(1))
        slot.release()
        slot.release()
        assert releases == [1]


class TargetListTest(unittest.TestCase):
    """Which listed targets receive requests."""

    def test_leaving_target_gets_nothing_new(self) -> None:
        """Guards against requests interrupted by a shutdown of their target."""
        targets = TargetList(ManualClock())
        target = make_target("i-1")
        targets.put(target)
        assert targets.is_current(target)
        targets.put(dataclasses.replace(target, is_leaving=True))
        assert not targets.list_for("engine")
        assert not targets.is_current(target)

    def test_restart_under_the_same_name_is_another_target(self) -> None:
        """Guards against applying the counts of the previous process."""
        targets = TargetList(ManualClock())
        target = make_target("i-1")
        targets.put(target)
        targets.put(dataclasses.replace(target, started_at_ms=5))
        assert not targets.is_current(target)

    def test_entries_that_lapsed_in_an_outage_are_kept_for_a_moment(
        self,
    ) -> None:
        """Guards against a target list emptied by a store outage.

        Entries that expire during an outage are reported as removed.
        """
        clock = ManualClock()
        targets = TargetList(clock)
        targets.put(make_target("i-1"))
        targets.put(make_target("i-2"))
        targets.note_store_unreachable()
        clock.advance(5_000)
        targets.note_store_reachable()
        targets.remove("i-1")
        targets.remove("i-2")
        assert len(targets.list_for("engine")) == 2
        targets.put(make_target("i-2"))
        clock.advance(REMOVAL_GRACE_MS)
        names = [target.name for target in targets.list_for("engine")]
        assert names == ["i-2"]

    def test_entry_removed_while_the_store_works_is_gone_at_once(self) -> None:
        """Guards against sends to a target removed without leaving first."""
        targets = TargetList(ManualClock())
        targets.put(make_target("i-1"))
        targets.remove("i-1")
        assert not targets.list_for("engine")
