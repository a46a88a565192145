"""Tests of the decisions on waiting, placement, allowances and budgets."""

import dataclasses
import random
import unittest

import anyio
from result import Ok

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.edge.backlog import Backlog, Slot
from peridotbend.edge.health import TargetHealth
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.peers import PEER_TIMEOUT_MS
from peridotbend.edge.selection import Selector, TargetCriteria
from peridotbend.edge.targets import REMOVAL_GRACE_MS, EdgeTarget, TargetList
from tests.edgefakes import ROUTE, make_target

CRITERIA = TargetCriteria("engine", True, (0, 1))
# Its requests wait for more than a second.
PATIENT = dataclasses.replace(ROUTE, objective_ms=10_000)


class _Placing:
    """The parts that place requests, with targets of ten slots each."""

    def __init__(self, *names: str):
        self.clock = ManualClock()
        self.targets = TargetList(self.clock)
        for name in names:
            self.targets.put(make_target(name))
        self.occupancy = Occupancy(self.clock)
        self.health = TargetHealth(self.clock)
        self.selector = Selector("zone-a", self.occupancy, self.health)
        self.backlog = Backlog(
            self.clock,
            self.targets,
            self.occupancy,
            self.selector,
            random.Random(1),
        )

    def choose(self, criteria: TargetCriteria = CRITERIA) -> EdgeTarget | None:
        """Returns the target that a request would get."""
        return self.selector.choose(criteria, self.targets.list_for("engine"))

    def fill(self, target: str, count: int, peer: str = "") -> None:
        """Puts requests in flight at a target."""
        if peer:
            self.occupancy.record_peer(peer, {target: count})
            return
        for _ in range(count):
            self.occupancy.add(target)


class SelectionTest(unittest.TestCase):
    """Which target a request gets."""

    def test_requests_of_peers_count(self) -> None:
        """Guards against instances that all fill the same engine."""
        placing = _Placing("i-1", "i-2")
        placing.fill("i-1", 5, peer="10.0.0.2")
        target = placing.choose()
        assert target is not None
        assert target.name == "i-2"

    def test_silent_peers_use_lapses(self) -> None:
        """Guards against places that a dead instance holds for ever."""
        placing = _Placing("i-1")
        placing.fill("i-1", 10, peer="10.0.0.2")
        assert placing.choose() is None
        placing.clock.advance(PEER_TIMEOUT_MS + 1)
        assert placing.choose() is not None

    def test_last_slots_are_kept_for_the_highest_rank(self) -> None:
        """Guards against quotes that wait behind chat tags in an engine."""
        placing = _Placing("i-1")
        placing.fill("i-1", 9)
        assert placing.choose() is None
        assert (
            placing.choose(dataclasses.replace(CRITERIA, rank=(0, 0)))
            is not None
        )

    def test_target_that_refuses_connections_is_avoided_for_a_while(
        self,
    ) -> None:
        """Guards against requests that keep going to a dead target."""
        placing = _Placing("i-1", "i-2")
        placing.fill("i-2", 3)
        placing.health.note_failure("i-1")
        target = placing.choose()
        assert target is not None
        assert target.name == "i-2"
        placing.clock.advance(10_000)
        target = placing.choose()
        assert target is not None
        assert target.name == "i-1"

    def test_failing_target_ranks_last(self) -> None:
        """Guards against a grey target that draws load by failing quickly."""
        placing = _Placing("i-1", "i-2")
        for _ in range(10):
            placing.health.note_answer("i-1", failed=True)
        placing.fill("i-2", 5)
        target = placing.choose()
        assert target is not None
        assert target.name == "i-2"

    def test_faster_engine_gets_more(self) -> None:
        """Guards against late streams on slow engines beside idle fast ones.

        Replays a load at which all engines are equally full.
        """
        placing = _Placing("i-1", "i-2")
        for _ in range(20):
            placing.health.note_event_interval("i-1", 60)
            placing.health.note_event_interval("i-2", 20)
        counts = {"i-1": 0, "i-2": 0}
        for _ in range(10):
            target = placing.choose()
            assert target is not None
            counts[target.name] += 1
            placing.fill(target.name, 1)
        assert counts["i-2"] >= 2 * counts["i-1"]
        assert counts["i-1"] > 0

    def test_engine_of_unknown_pace_is_tried(self) -> None:
        """Guards against new engines that never get a request."""
        placing = _Placing("i-1", "i-2")
        placing.health.note_event_interval("i-1", 20)
        placing.fill("i-1", 2)
        target = placing.choose()
        assert target is not None
        assert target.name == "i-2"

    def test_errors_that_all_targets_give_change_nothing(self) -> None:
        """Guards against avoiding targets for errors of the requests."""
        placing = _Placing("i-1", "i-2")
        for name in ("i-1", "i-2"):
            for _ in range(10):
                placing.health.note_answer(name, failed=True)
        placing.fill("i-2", 5)
        target = placing.choose()
        assert target is not None
        assert target.name == "i-1"

    def test_session_returns_to_its_target(self) -> None:
        """Guards against prompts that every engine reads again."""
        placing = _Placing("i-1", "i-2", "i-3")
        criteria = dataclasses.replace(CRITERIA, session="c0ffee")
        first = placing.choose(criteria)
        assert first is not None
        placing.fill(first.name, 1)
        assert placing.choose(criteria) == first
        placing.fill(first.name, 4)
        assert placing.choose(criteria) != first


class BacklogTest(unittest.TestCase):
    """How requests wait."""

    def test_highest_rank_gets_the_next_place(self) -> None:
        """Guards against an order of arrival when load is at its worst."""
        placing = _Placing("i-1")
        placing.fill("i-1", 11)
        granted: list[int] = []

        async def acquire(rank: int) -> None:
            criteria = dataclasses.replace(CRITERIA, rank=(0, rank))
            end_at_ms = placing.clock.now_ms() + 10_000
            result = await placing.backlog.acquire(criteria, PATIENT, end_at_ms)
            if isinstance(result, Ok):
                granted.append(rank)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                for rank in (2, 1, 0):
                    group.start_soon(acquire, rank)
                    await anyio.sleep(0)
                await anyio.sleep(0.01)
                for _ in range(3):
                    placing.occupancy.remove("i-1")
                placing.backlog.grant_slots("engine")
                await anyio.sleep(0.01)
                assert granted == [0], granted
                for _ in range(9):
                    placing.occupancy.remove("i-1")
                placing.backlog.grant_slots("engine")

        anyio.run(run)
        assert granted == [0, 1, 2]

    def test_request_without_a_place_is_refused_early(self) -> None:
        """Guards against callers that wait only to be turned away late."""
        placing = _Placing("i-1")
        placing.fill("i-1", 11)

        async def run() -> None:
            refusals: list[NotRun] = []

            async def acquire() -> None:
                end_at_ms = placing.clock.now_ms() + 10_000
                result = await placing.backlog.acquire(
                    CRITERIA, ROUTE, end_at_ms
                )
                refusals.append(result.unwrap_err())

            async with anyio.create_task_group() as group:
                group.start_soon(acquire)
                await anyio.sleep(0.01)
                # An eighth of the objective.
                placing.clock.advance(100)
                placing.backlog.grant_slots("engine")
            (refusal,) = refusals
            assert refusal.reason is Reason.SHED
            assert 700 <= refusal.retry_after_ms <= 1_300

        anyio.run(run)

    def test_cancelled_caller_leaves_nothing_behind(self) -> None:
        """Guards against places that callers who left still hold."""
        placing = _Placing("i-1")
        placing.fill("i-1", 9)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                end_at_ms = placing.clock.now_ms() + 10_000
                group.start_soon(
                    placing.backlog.acquire, CRITERIA, PATIENT, end_at_ms
                )
                await anyio.sleep(0.01)
                assert placing.backlog.count_waiting("engine") == 1
                group.cancel_scope.cancel()
            assert placing.backlog.count_waiting("engine") == 0
            placing.occupancy.remove("i-1")
            assert placing.choose() is not None

        anyio.run(run)

    def test_place_is_given_back_once(self) -> None:
        """Guards against counts below the requests in flight."""
        returned: list[int] = []
        slot = Slot(make_target("i-1"), lambda: returned.append(1))
        slot.release()
        slot.release()
        assert returned == [1]


class TargetListTest(unittest.TestCase):
    """Which listed targets take requests."""

    def test_leaving_target_gets_nothing_new(self) -> None:
        """Guards against requests that a shutdown of their target cuts."""
        targets = TargetList(ManualClock())
        target = make_target("i-1")
        targets.put(target)
        assert targets.is_current(target)
        targets.put(dataclasses.replace(target, is_leaving=True))
        assert not targets.list_for("engine")
        assert not targets.is_current(target)

    def test_restart_under_the_same_name_is_another_target(self) -> None:
        """Guards against counts of the process before the restart."""
        targets = TargetList(ManualClock())
        target = make_target("i-1")
        targets.put(target)
        targets.put(dataclasses.replace(target, started_at_ms=5))
        assert not targets.is_current(target)

    def test_entries_that_lapsed_in_an_outage_are_kept_for_a_moment(
        self,
    ) -> None:
        """Guards against an outage of the store that empties the list."""
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
        """Guards against sends to a target that left without a notice."""
        targets = TargetList(ManualClock())
        targets.put(make_target("i-1"))
        targets.remove("i-1")
        assert not targets.list_for("engine")
