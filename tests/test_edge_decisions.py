"""Tests of the decisions on waiting, placement, allowances and budgets."""

import dataclasses
import random
import unittest

import anyio
from result import Ok

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.edge.allowances import Allowances, AllowanceUse
from peridotbend.edge.backlog import Backlog, Place
from peridotbend.edge.config import Account
from peridotbend.edge.crashes import MAX_CRASHES, CrashList
from peridotbend.edge.health import TargetHealth
from peridotbend.edge.occupancy import PEER_USE_MS, Occupancy
from peridotbend.edge.selection import Selector, Wish
from peridotbend.edge.sendbudget import SendBudget
from peridotbend.edge.targets import LAPSE_GRACE_MS, EdgeTarget, TargetList
from tests.edgefakes import ROUTE, SETTINGS, make_target

WISH = Wish("engine", True, (0, 1))
# Its requests wait for more than a second.
PATIENT = dataclasses.replace(ROUTE, goal_ms=10_000)


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

    def choose(self, wish: Wish = WISH) -> EdgeTarget | None:
        """Returns the target that a request would get."""
        return self.selector.choose(wish, self.targets.list_for("engine"))

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
        placing.clock.advance(PEER_USE_MS + 1)
        assert placing.choose() is not None

    def test_last_slots_are_kept_for_the_highest_rank(self) -> None:
        """Guards against quotes that wait behind chat tags in an engine."""
        placing = _Placing("i-1")
        placing.fill("i-1", 9)
        assert placing.choose() is None
        assert (
            placing.choose(dataclasses.replace(WISH, rank=(0, 0))) is not None
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
            placing.health.note_pause("i-1", 60)
            placing.health.note_pause("i-2", 20)
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
        placing.health.note_pause("i-1", 20)
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
        wish = dataclasses.replace(WISH, session="c0ffee")
        first = placing.choose(wish)
        assert first is not None
        placing.fill(first.name, 1)
        assert placing.choose(wish) == first
        placing.fill(first.name, 4)
        assert placing.choose(wish) != first


class BacklogTest(unittest.TestCase):
    """How requests wait."""

    def test_highest_rank_gets_the_next_place(self) -> None:
        """Guards against an order of arrival when load is at its worst."""
        placing = _Placing("i-1")
        placing.fill("i-1", 11)
        granted: list[int] = []

        async def acquire(rank: int) -> None:
            wish = dataclasses.replace(WISH, rank=(0, rank))
            end_at_ms = placing.clock.now_ms() + 10_000
            result = await placing.backlog.acquire(wish, PATIENT, end_at_ms)
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
                placing.backlog.place("engine")
                await anyio.sleep(0.01)
                assert granted == [0], granted
                for _ in range(9):
                    placing.occupancy.remove("i-1")
                placing.backlog.place("engine")

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
                result = await placing.backlog.acquire(WISH, ROUTE, end_at_ms)
                refusals.append(result.unwrap_err())

            async with anyio.create_task_group() as group:
                group.start_soon(acquire)
                await anyio.sleep(0.01)
                # An eighth of the objective.
                placing.clock.advance(100)
                placing.backlog.place("engine")
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
                    placing.backlog.acquire, WISH, PATIENT, end_at_ms
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
        place = Place(make_target("i-1"), lambda: returned.append(1))
        place.release()
        place.release()
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
        targets.note_store_away()
        clock.advance(5_000)
        targets.note_store_back()
        targets.remove("i-1")
        targets.remove("i-2")
        assert len(targets.list_for("engine")) == 2
        targets.put(make_target("i-2"))
        clock.advance(LAPSE_GRACE_MS)
        names = [target.name for target in targets.list_for("engine")]
        assert names == ["i-2"]

    def test_entry_removed_while_the_store_works_is_gone_at_once(self) -> None:
        """Guards against sends to a target that left without a notice."""
        targets = TargetList(ManualClock())
        targets.put(make_target("i-1"))
        targets.remove("i-1")
        assert not targets.list_for("engine")


# Grants nothing beyond the allowance, so that the sums below are exact.
STRICT = dataclasses.replace(
    SETTINGS, allowance_overage=0.0, allowance_slack=0.0
)


class AllowanceTest(unittest.TestCase):
    """Allowances that all instances share."""

    ACCOUNT = Account("acme", frozenset(("k",)), None, 100.0, 1_000.0, 1.0)

    def _make(self, share: float = 1.0) -> tuple[ManualClock, Allowances]:
        clock = ManualClock()
        allowances = Allowances(clock, STRICT, lambda: share)
        allowances.apply([self.ACCOUNT])
        clock.advance(60_000)
        return clock, allowances

    def test_what_peers_spend_is_taken_out(self) -> None:
        """Guards against each instance granting the whole allowance."""
        _, allowances = self._make()
        allowances.record_peer("a", 1, {"acme": AllowanceUse(0.0, 1_000.0)})
        allowances.record_peer("a", 1, {"acme": AllowanceUse(900.0, 100.0)})
        assert allowances.try_take("acme", 100.0) is None
        assert allowances.try_take("acme", 100.0) == 1_000

    def test_repeated_digest_is_taken_out_once(self) -> None:
        """Guards against spending that counts with each digest."""
        _, allowances = self._make()
        for _ in range(5):
            allowances.record_peer(
                "a", 1, {"acme": AllowanceUse(500.0, 1_000.0)}
            )
        assert allowances.try_take("acme", 1_000.0) is None

    def test_new_process_goes_on_from_the_level_of_its_peers(self) -> None:
        """Guards against a full allowance for each restart.

        A restarted process also must not refuse what the others grant.
        """
        clock = ManualClock()
        allowances = Allowances(clock, STRICT, lambda: 1.0)
        allowances.apply([self.ACCOUNT])
        assert allowances.try_take("acme", 500.0) is not None
        allowances.record_peer("a", 1, {"acme": AllowanceUse(0.0, 700.0)})
        assert allowances.try_take("acme", 500.0) is None
        assert allowances.try_take("acme", 500.0) is not None

    def test_digests_before_the_configuration_cost_nothing(self) -> None:
        """Guards against a restart that pays for all that peers ever spent.

        Seen on a recorded day: after each restart an instance refused an
        account for seconds, its level being that of its peers less all that
        they had spent since their starts.
        """
        clock = ManualClock()
        allowances = Allowances(clock, STRICT, lambda: 1.0)
        told = {"acme": AllowanceUse(50_000.0, 700.0)}
        for peer in ("a", "b", "c"):
            allowances.record_peer(peer, 1, told)
        allowances.apply([self.ACCOUNT])
        for peer in ("a", "b", "c"):
            allowances.record_peer(peer, 1, told)
        assert allowances.try_take("acme", 700.0) is None
        assert allowances.try_take("acme", 100.0) is not None

    def test_cut_off_instance_uses_its_part(self) -> None:
        """Guards against a partition that doubles an allowance."""
        clock, allowances = self._make(share=0.25)
        assert allowances.try_take("acme", 251.0) is not None
        assert allowances.try_take("acme", 249.0) is None
        clock.advance(10_000)
        assert allowances.try_take("acme", 251.0) is not None
        assert allowances.try_take("acme", 249.0) is None

    def test_generations_leave_room_for_plain_requests(self) -> None:
        """Guards against orders refused for the tokens of chat answers."""
        _, allowances = self._make()
        while allowances.try_take("acme", 50.0, is_generation=True) is None:
            pass
        assert allowances.try_take("acme", 40.0) is None

    def test_lowered_limit_holds_at_once(self) -> None:
        """Guards against a bucket that keeps the level of the old limit."""
        _, allowances = self._make()
        lower = dataclasses.replace(self.ACCOUNT, burst_tokens=50.0)
        allowances.apply([lower])
        assert allowances.try_take("acme", 50.0) is None
        assert allowances.try_take("acme", 50.0) is not None


class SendBudgetTest(unittest.TestCase):
    """Extra sends of all instances together."""

    def test_sum_over_instances_keeps_the_bound(self) -> None:
        """Guards against a bound that each instance uses up alone."""
        clock = ManualClock()
        budgets = [SendBudget(clock, SETTINGS) for _ in range(8)]
        requests = extra = 0
        for _ in range(50):
            for budget in budgets:
                budget.record_request("shop")
                requests += 1
                extra += budget.try_spend("shop", 8)
                extra += budget.try_spend("shop", 8)
        bound = SETTINGS.resend_share * requests + SETTINGS.resend_slack
        assert 0 < extra <= bound

    def test_window_slides(self) -> None:
        """Guards against a budget that is never filled again."""
        clock = ManualClock()
        budget = SendBudget(clock, SETTINGS)
        while budget.try_spend("shop", 1):
            pass
        clock.advance(SETTINGS.resend_window_ms + 1)
        assert budget.try_spend("shop", 1)


class CrashListTest(unittest.TestCase):
    """Requests that crash their targets, over all instances."""

    def test_counts_of_peers_add_up(self) -> None:
        """Guards against one crash at each instance for a single request."""
        crashes = CrashList(ManualClock())
        crashes.note_break("i-1", 7)
        assert crashes.note_death("i-1") == [7]
        crashes.record_peer("10.0.0.2", {7: 1})
        assert not crashes.is_quarantined(7)
        crashes.record_peer("10.0.0.3", {7: 1})
        assert crashes.is_quarantined(7)

    def test_cut_from_targets_convicts_no_request(self) -> None:
        """Guards against good requests refused for ten minutes after a cut.

        Seen on a recorded day: four targets behind a cut zone were taken for
        crashed by one request that its caller had sent again.
        """
        crashes = CrashList(ManualClock())
        targets = [f"i-{number}" for number in range(4)]
        for target in targets:
            crashes.note_break(target, 7)
            crashes.note_death(target)
        assert crashes.is_quarantined(7)
        for target in targets:
            crashes.note_alive(target)
        assert not crashes.is_quarantined(7)
        assert not crashes.list_told()

    def test_one_target_counts_once(self) -> None:
        """Guards against one death that several tries of a caller share."""
        crashes = CrashList(ManualClock())
        for _ in range(MAX_CRASHES):
            crashes.note_break("i-1", 7)
            crashes.note_death("i-1")
        assert not crashes.is_quarantined(7)

    def test_broken_connections_alone_prove_nothing(self) -> None:
        """Guards against good requests refused after connection resets."""
        crashes = CrashList(ManualClock())
        for _ in range(10):
            crashes.note_break("i-1", 7)
        assert not crashes.is_quarantined(7)

    def test_success_clears(self) -> None:
        """Guards against a request refused for crashes of its company."""
        crashes = CrashList(ManualClock())
        for target in ("i-1", "i-2", "i-3"):
            crashes.note_break(target, 7)
            crashes.note_death(target)
        assert crashes.is_quarantined(7)
        crashes.note_success(7)
        assert not crashes.is_quarantined(7)
