"""Tests of waits, refusals and returns in bursts of several times the load."""

import asyncio
import dataclasses
import functools
import random
import unittest
from unittest import mock

import anyio
from result import Ok

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.events import Event
from peridotbend.domain.verdicts import NotRun
from peridotbend.edge import backlog
from peridotbend.edge.backlog import Backlog
from peridotbend.edge.config import Account, Route, WeightedService
from peridotbend.edge.ports import Rejection
from peridotbend.edge.selection import TargetCriteria
from peridotbend.load.precedence import (
    SHORTAGE_MS,
    Precedence,
    Shortages,
)
from peridotbend.load.queueing import (
    MAX_RETRY_SHARE,
    MIN_RETRY_MS,
    RATE_WINDOW_MS,
    CallerTerms,
    GrantRates,
    ReturnPlanner,
    plan_wait,
)
from tests.edgefakes import (
    CALL,
    CONFIG,
    STREAM_ROUTE,
    RelayHarness,
    ScriptedReply,
)

ROUTE = STREAM_ROUTE
FULL_MS = ROUTE.timeout_ms
# A caller that was refused 2 s ago.
RETURNED = CallerTerms("acme", 1_000.0, FULL_MS - 2_000)
NEW = CallerTerms("acme", 1_000.0, FULL_MS)


class ReturnPlannerTest(unittest.TestCase):
    """Retry-After and the recognition of returned callers."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.planner = ReturnPlanner(self.clock, random.Random(1))

    def load(self, granted: int, arrived: int) -> None:
        """Adds two seconds of load."""
        for _ in range(granted):
            self.planner.note_granted(ROUTE.name)
        for _ in range(arrived):
            self.planner.note_arrived(ROUTE.name)

    def test_instance_without_observations_answers_a_second(self) -> None:
        """Guards against an estimate of a load that was never seen."""
        retry_ms = self.planner.find_retry_after_ms(ROUTE, FULL_MS)
        assert 700 <= retry_ms <= 1_300

    def test_refused_callers_return_one_by_one(self) -> None:
        """Guards against callers of one burst that come back together."""
        self.load(granted=40, arrived=20)
        times = [
            self.planner.find_retry_after_ms(ROUTE, FULL_MS) for _ in range(10)
        ]
        # 20 of 40 slots in two seconds are left: one every 100 ms.
        assert times == [400 + 100 * number for number in range(10)]

    def test_waiting_requests_come_before_returns(self) -> None:
        """Guards against callers sent back to a queue that is still full."""
        self.load(granted=40, arrived=20)
        assert self.planner.find_retry_after_ms(ROUTE, FULL_MS, 10) == 1_400

    def test_callers_that_are_back_no_longer_count(self) -> None:
        """Guards against long waits after a burst that is over."""
        self.load(granted=40, arrived=20)
        for _ in range(10):
            self.planner.find_retry_after_ms(ROUTE, FULL_MS)
        assert self.planner.count_returning(ROUTE.name) == 10
        self.clock.advance(1_400)
        assert not self.planner.count_returning(ROUTE.name)

    def test_long_shortage_spreads_callers_over_the_latest_returns(
        self,
    ) -> None:
        """Guards against returns into a burst of 3 to 6 s, or all at once."""
        self.load(granted=10, arrived=100)
        times = [
            self.planner.find_retry_after_ms(ROUTE, FULL_MS) for _ in range(60)
        ]
        longest_ms = MAX_RETRY_SHARE * ROUTE.timeout_ms
        assert max(times) <= longest_ms
        assert all(ms >= longest_ms / 2 for ms in times[10:])
        assert len(set(times)) > 50

    def test_retry_leaves_two_thirds_of_the_time(self) -> None:
        """Guards against callers that return without time for an answer."""
        self.load(granted=1, arrived=100)
        assert self.planner.find_retry_after_ms(ROUTE, 1_500) <= 500

    def test_first_refusals_leave_two_thirds_of_the_time(self) -> None:
        """Guards against a fixed second for a caller that has less left."""
        for left_ms in (3_000, 1_500, 600):
            retry_ms = self.planner.find_retry_after_ms(ROUTE, left_ms)
            assert 0 < retry_ms <= left_ms / 3, (left_ms, retry_ms)
        brief = dataclasses.replace(ROUTE, name="brief", timeout_ms=2_000)
        for _ in range(20):
            assert self.planner.find_retry_after_ms(brief, 2_000) <= 500

    def test_refusal_without_time_left_names_a_time(self) -> None:
        """Guards against a 0, which is sent to the caller as a second."""
        for _ in range(2):
            for left_ms in (1, 0, -20):
                assert self.planner.find_retry_after_ms(ROUTE, left_ms) == 1
            self.load(granted=1, arrived=100)

    def test_long_shortage_keeps_the_shortest_return(self) -> None:
        """Guards against returns into the same shortage."""
        self.load(granted=1, arrived=100)
        times = [
            self.planner.find_retry_after_ms(ROUTE, 1_200) for _ in range(60)
        ]
        assert min(times) >= MIN_RETRY_MS
        assert max(times) <= 400

    def test_returned_caller_is_known_by_its_deadline(self) -> None:
        """Guards against refusing a caller that has no third attempt."""
        assert not self.planner.find_age_ms(ROUTE, FULL_MS)
        assert self.planner.find_age_ms(ROUTE, FULL_MS - 2_000) == 2_000

    def test_caller_may_wait_longer_than_its_route(self) -> None:
        """Guards against refusing again whoever states a longer deadline."""
        longest_ms = round(1.06 * FULL_MS)
        assert not self.planner.find_age_ms(ROUTE, longest_ms)
        age_ms = self.planner.find_age_ms(ROUTE, longest_ms - 1_200)
        assert age_ms == 1_200

    def test_implausible_deadline_counts_as_new(self) -> None:
        """Guards against one odd caller that makes all others look late."""
        for deadline_ms in (None, -5, 0, FULL_MS + 2_000):
            assert not self.planner.find_age_ms(ROUTE, deadline_ms)
        assert not self.planner.find_age_ms(ROUTE, FULL_MS)
        # Longer ago than any return: the caller set out with less time.
        assert not self.planner.find_age_ms(ROUTE, 2_000)

    def test_few_long_deadlines_do_not_make_others_look_late(self) -> None:
        """Guards against one caller that demotes the requests of all others."""
        odd_ms = round(1.09 * FULL_MS)
        for number in range(200):
            if number % 50 == 0:
                assert not self.planner.find_age_ms(ROUTE, odd_ms)
            deadline_ms = FULL_MS - number % 40
            age_ms = self.planner.find_age_ms(ROUTE, deadline_ms)
            # A few requests do not yet tell which deadline is usual.
            assert not age_ms or number < 20, (number, age_ms)
            if number % 3 == 0 and number > 20:
                age_ms = self.planner.find_age_ms(ROUTE, FULL_MS - 2_000)
                assert 1_800 <= age_ms <= 2_000, age_ms
            self.clock.advance(100)

    def test_returned_request_waits_within_its_callers_time(self) -> None:
        """Guards against a second refusal while there is time to wait."""
        assert plan_wait(ROUTE, 0, FULL_MS).timeout_ms == 96
        assert plan_wait(ROUTE, 2_000, 13_000).timeout_ms == 800
        # Half of the remaining time is for the answer.
        assert plan_wait(ROUTE, 2_000, 300).timeout_ms == 150


class GrantRatesTest(unittest.TestCase):
    """The rate at which slots become free for a request."""

    def test_slots_of_higher_ranks_count_only_for_those_ahead(self) -> None:
        """Guards against waits for slots that higher ranks take."""
        rates = GrantRates(ManualClock())
        for rank, count in enumerate((8, 4, 2)):
            for _ in range(count):
                rates.note("engine", (0, rank))
        rates.note("other", (0, 1))
        for ahead, granted in ((set(), 6), ({(0, 0)}, 14)):
            found = rates.find_per_ms("engine", (0, 1), ahead)
            assert found == granted / RATE_WINDOW_MS
        assert not rates.find_per_ms("unknown", (0, 1), set())


class ShortagesTest(unittest.TestCase):
    """The room that is left to requests that go first."""

    def test_lower_ranks_leave_room_while_it_is_short(self) -> None:
        """Guards against low ranks served while higher ones are refused."""
        clock = ManualClock()
        shortages = Shortages(clock)
        first = Precedence((0, 0), False, False)
        second = Precedence((0, 1), False, False)
        assert not shortages.find_reserved_share(second)
        shortages.note(first)
        assert shortages.find_reserved_share(second) > 0
        assert not shortages.find_reserved_share(first)
        clock.advance(SHORTAGE_MS + 1)
        assert not shortages.find_reserved_share(second)

    def test_late_request_goes_before_lower_ranks(self) -> None:
        """Guards against a second refusal while lower ranks are served."""
        lower = Precedence((0, 2), False, False)
        late = Precedence((0, 1), False, True)
        assert Precedence((0, 1), False, False) < late < lower

    def test_late_request_leaves_room_to_others(self) -> None:
        """Guards against late requests that make others late in a burst."""
        late = Precedence((0, 0), False, True)
        assert Shortages(ManualClock()).find_reserved_share(late) > 0

    def test_account_over_its_share_leaves_more_room(self) -> None:
        """Guards against one account that takes each slot as it is freed."""
        shortages = Shortages(ManualClock())
        over = Precedence((0, 1), True, False)
        assert not shortages.find_reserved_share(over)
        shortages.note(Precedence((0, 1), False, False))
        lower = Precedence((0, 2), False, False)
        reserved = shortages.find_reserved_share(over)
        assert reserved > shortages.find_reserved_share(lower) > 0

    def test_account_over_its_share_goes_after_late_requests(self) -> None:
        """Guards against callers that one account has pushed out twice."""
        over = Precedence((0, 1), True, False)
        assert Precedence((0, 1), False, True) < over


class BacklogTest(unittest.IsolatedAsyncioTestCase):
    """The queue of one instance with three full engines of ten slots."""

    def setUp(self) -> None:
        self.harness = RelayHarness()
        self.backlog: Backlog = self.harness.backlog
        self.order: list[str] = []
        self.retries_ms: list[int] = []
        for name in ("i-1", "i-2", "i-3"):
            for _ in range(11):
                self.harness.occupancy.add(name)
        self.backlog._planner.find_age_ms(ROUTE, FULL_MS)

    async def acquire(
        self,
        label: str,
        terms: CallerTerms,
        rank: int = 1,
        route: Route = ROUTE,
        is_resumed: bool = False,
    ) -> None:
        """Waits for a slot and records the outcome under a label."""
        criteria = TargetCriteria("engine", True, (0, rank))
        result = await self.backlog.acquire(
            criteria,
            route,
            self.harness.clock.now_ms() + (terms.deadline_ms or FULL_MS),
            is_resumed,
            terms=terms,
        )
        if isinstance(result, Ok):
            self.order.append(label)
        else:
            self.order.append(f"{label} refused")
            self.retries_ms.append(result.err_value.retry_after_ms)

    def free(self, *names: str, count: int = 1) -> None:
        """Frees slots and grants them."""
        for name in names:
            for _ in range(count):
                self.harness.occupancy.remove(name)
        self.backlog.grant_slots("engine")

    async def test_returned_request_outlasts_new_ones(self) -> None:
        """Guards against refusing a returned caller after a short wait."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.acquire, "returned", RETURNED)
            tasks.start_soon(self.acquire, "new", NEW)
            await anyio.sleep(0.01)
            self.harness.clock.advance(110)
            self.free()
            await anyio.sleep(0)
            assert self.order == ["new refused"]
            self.harness.clock.advance(50)
            self.free("i-1", "i-2", "i-3", count=9)
        assert self.order == ["new refused", "returned"]

    async def test_new_request_goes_before_a_returned_one(self) -> None:
        """Guards against late requests that make those in time late."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.acquire, "returned", RETURNED)
            await anyio.sleep(0.01)
            tasks.start_soon(self.acquire, "new", NEW)
            await anyio.sleep(0.01)
            self.free("i-1", "i-2", "i-3", count=9)
        assert self.order == ["new", "returned"]

    async def test_request_without_a_chance_is_refused_at_once(self) -> None:
        """Guards against waits that only delay the caller's next attempt."""
        for _ in range(2):
            self.backlog._rates.note("engine", (0, 1))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.acquire, "first", NEW, 0)
            await anyio.sleep(0.01)
            with anyio.fail_after(5):
                await self.acquire("second", NEW)
            assert self.order == ["second refused"]
            tasks.cancel_scope.cancel()

    async def test_rare_request_waits_for_slots_of_lower_ranks(self) -> None:
        """Guards against refusing a kind for being rare, with room below it."""
        tags = dataclasses.replace(ROUTE, name="tags")
        self.free("i-1", "i-2", "i-3", count=11)
        async with anyio.create_task_group() as tasks:
            for _ in range(24):
                tasks.start_soon(self.acquire, "tag", NEW, 2, tags)
            tasks.start_soon(self.acquire, "rare", NEW, 0)
            await anyio.sleep(0.01)
            for name in ("i-1", "i-2", "i-3"):
                self.harness.occupancy.add(name, 3)
            for _ in range(2):
                tasks.start_soon(self.acquire, "rare", NEW, 0)
                await anyio.sleep(0.01)
            self.free("i-1", "i-2", count=2)
        assert self.order == ["tag"] * 24 + ["rare"] * 3

    async def test_full_queue_takes_requests_that_go_first(self) -> None:
        """Guards against refusals of high ranks behind a flood of low ones."""
        async with anyio.create_task_group() as tasks:
            with mock.patch.object(backlog, "MAX_WAITING", 3):
                for number in range(3):
                    tasks.start_soon(self.acquire, f"low {number}", RETURNED)
                await anyio.sleep(0.01)
                tasks.start_soon(self.acquire, "high", NEW, 0)
                await anyio.sleep(0.01)
                tasks.start_soon(self.acquire, "lower", RETURNED, 2)
                await anyio.sleep(0.01)
            assert self.backlog.count_all() == 3
            assert self.order == ["low 2 refused", "lower refused"]
            self.free("i-1", "i-2", "i-3", count=9)
        assert self.order[2:] == ["high", "low 0", "low 1"]

    async def test_request_without_a_target_takes_no_room(self) -> None:
        """Guards against room left idle for what no target may serve."""
        self.free("i-1", "i-2", "i-3", count=2)
        self.harness.occupancy.remove("i-1")
        async with anyio.create_task_group() as tasks:
            criteria = TargetCriteria("engine", True, (0, 0), software="gone")
            end_at_ms = self.harness.clock.now_ms() + FULL_MS
            tasks.start_soon(
                functools.partial(
                    self.backlog.acquire, criteria, ROUTE, end_at_ms, terms=NEW
                )
            )
            await anyio.sleep(0.01)
            assert self.backlog.count_all() == 1
            # One of the 27 usable slots is free.
            tasks.start_soon(self.acquire, "low", NEW, 2)
            await anyio.sleep(0.01)
            in_flight = sum(self.harness.occupancy.own.values())
            tasks.cancel_scope.cancel()
        assert in_flight == 27, in_flight
        assert self.order == ["low"]

    async def test_slot_granted_to_a_cancelled_caller_is_free(self) -> None:
        """Guards against slots held for callers that left at their grant."""
        task = asyncio.create_task(self.acquire("gone", NEW))
        await asyncio.sleep(0.01)
        # Both before the task runs again.
        self.free("i-1", count=9)
        assert self.harness.occupancy.own["i-1"] == 3
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()
        assert self.harness.occupancy.own["i-1"] == 2

    async def test_request_waits_no_longer_than_its_caller(self) -> None:
        """Guards against grants to callers whose time is over."""
        brief = dataclasses.replace(NEW, deadline_ms=50)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.acquire, "brief", brief)
            await anyio.sleep(0.01)
            self.harness.clock.advance(51)
            self.free("i-1", count=9)
        assert self.order == ["brief refused"]

    async def test_returned_request_in_time_keeps_its_turn(self) -> None:
        """Guards against callers that are late for having been refused."""
        early = dataclasses.replace(RETURNED, deadline_ms=FULL_MS - 400)
        async with anyio.create_task_group() as tasks:
            for label, terms in (("returned", early), ("new", NEW)):
                tasks.start_soon(self.acquire, label, terms)
                await anyio.sleep(0.01)
            self.free("i-1", "i-2", "i-3", count=9)
        assert self.order == ["returned", "new"]

    async def test_broken_stream_goes_first_and_waits(self) -> None:
        """Guards against streams lost behind requests that have not begun."""
        self.backlog._rates.note("engine", (0, 0))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.acquire, "new", NEW, 0)
            await anyio.sleep(0.01)
            for _ in range(2):
                tasks.start_soon(self.acquire, "resumed", NEW, 1, ROUTE, True)
                await anyio.sleep(0.01)
            self.harness.clock.advance(95)
            self.free("i-1", "i-2", "i-3", count=9)
        assert self.order == ["resumed", "resumed", "new"]

    async def test_removed_routes_and_services_take_no_memory(self) -> None:
        """Guards against memory that grows with each renamed route."""
        kept = dataclasses.replace(CONFIG, version=CONFIG.version + 1)
        for number in range(20):
            name = f"renamed-{number}"
            route = dataclasses.replace(
                ROUTE, name=name, services=(WeightedService(name, 1.0),)
            )
            self.backlog.apply_routes((*kept.routes, route))
            criteria = TargetCriteria(name, True, (0, 1))
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(
                        self.backlog.acquire,
                        criteria,
                        route,
                        self.harness.clock.now_ms() + FULL_MS,
                        False,
                        NEW,
                    )
                await anyio.sleep(0.01)
                self.harness.clock.advance(97)
                self.backlog.grant_slots(name)
        assert not self.backlog.count_all()
        self.harness.holder.offer(kept)
        names = {route.name for route in kept.routes}
        services = {"engine", "shop"}
        assert self.backlog._planner._loads.keys() <= names
        assert {service for service, _ in self.backlog._shares} <= services
        assert self.backlog._shortages.keys() <= services
        assert self.backlog._waiting.keys() <= services
        assert self.backlog._checked.keys() <= services

    async def test_requests_refused_together_count_once(self) -> None:
        """Guards against longer returns the more requests expire at once."""
        for _ in range(400):
            self.backlog._planner.note_granted(ROUTE.name)
            self.backlog._planner.note_arrived(ROUTE.name)
        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(self.acquire, "new", NEW)
            await anyio.sleep(0.01)
            self.harness.clock.advance(97)
            self.free()
        # At least a quarter of the grants is for returns: one every 20 ms.
        assert self.retries_ms == [320 + 20 * number for number in range(10)]

    async def test_caller_refused_twice_is_not_expected_back(self) -> None:
        """Guards against room kept for callers that have no third attempt."""
        for _ in range(40):
            self.backlog._planner.note_granted(ROUTE.name)
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(self.acquire, "returned", RETURNED)
            await anyio.sleep(0.01)
            self.harness.clock.advance(810)
            self.free()
        assert self.order == ["returned refused"] * 3
        # Another caller may return as soon as after the first slot.
        assert self.retries_ms == [350] * 3
        assert not self.backlog._planner.count_returning(ROUTE.name)

    async def test_accounts_weigh_the_same_if_one_has_no_allowance(
        self,
    ) -> None:
        """Guards against an account without a limit that has least weight."""
        for rate, weights in ((0.0, {}), (50.0, {"acme": 100.0, "b": 50.0})):
            self.backlog.apply_accounts(
                Account(name, frozenset(), None, per_s, 0.0, 0.0)
                for name, per_s in (("acme", 100.0), ("b", rate))
            )
            assert self.backlog._weights == weights

    async def test_account_over_its_share_leaves_room(self) -> None:
        """Guards against one account at eight times its rate in a shortage."""
        accounts = [
            Account(name, frozenset(), None, 0.0, 0.0, 0.0)
            for name in ("acme", "hog")
        ]
        self.backlog.apply_accounts(accounts)
        hog = dataclasses.replace(NEW, account="hog")
        self.free("i-1", "i-2", "i-3", count=11)
        async with anyio.create_task_group() as tasks:
            for _ in range(25):
                tasks.start_soon(self.acquire, "hog", hog)
            await anyio.sleep(0.01)
            for name in ("i-1", "i-2", "i-3"):
                self.harness.occupancy.add(name)
            # The others are refused.
            for _ in range(5):
                tasks.start_soon(self.acquire, "acme", NEW)
            await anyio.sleep(0.01)
            self.harness.clock.advance(200)
            self.backlog.grant_slots("engine")
            tasks.start_soon(self.acquire, "hog", hog)
            tasks.start_soon(self.acquire, "acme", NEW)
            await anyio.sleep(0.01)
            shares = self.backlog.dump()["engine 0.1"]
            self.free("i-1", "i-2", "i-3")
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert shares["hog"] == {"work": 25_000, "is_over": True}
        assert self.order.count("acme refused") == 5
        assert self.order[-1] == "acme"
        assert self.order.count("hog") == 25

    async def test_request_without_tokens_is_served_as_before(self) -> None:
        """Guards against changes to services that state no token count."""
        terms = dataclasses.replace(RETURNED, work=None, account="")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.acquire, "plain", terms)
            await anyio.sleep(0.01)
            self.harness.clock.advance(97)
            self.free()
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert self.order == ["plain refused"]

    async def test_refusal_is_logged_with_its_estimate(self) -> None:
        """Guards against a Retry-After that operators can't explain."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.harness.serve, CALL)
            await anyio.sleep(0.01)
            self.harness.clock.advance(200)
            self.free()
        (line,) = (
            fields
            for event, fields in self.harness.log.events
            if event is Event.REQUEST_REFUSED
        )
        assert line["waiting"] == 0
        assert {"returning", "granted_per_s"} <= line.keys()

    async def test_refusal_by_targets_is_planned_like_others(self) -> None:
        """Guards against an objective for a caller that has less time left."""
        rejected = ScriptedReply(failure=Rejection.UNAVAILABLE)
        harness = RelayHarness(rejected, rejected)
        planner = harness.backlog._planner
        for _ in range(40):
            planner.note_granted(ROUTE.name)
            planner.note_arrived(ROUTE.name)
        responder = await harness.serve(CALL)
        assert isinstance(responder.verdict, NotRun)
        # A quarter of the 42 grants is for returns.
        assert responder.verdict.retry_after_ms == 300 + round(2_000 / 10.5)
        assert planner.count_returning(ROUTE.name) == 1
        harness = RelayHarness(rejected, rejected)
        call = dataclasses.replace(CALL, deadline_ms=900)
        responder = await harness.serve(call)
        assert isinstance(responder.verdict, NotRun)
        assert responder.verdict.retry_after_ms <= 300
