"""Tests of the scheduler."""

import asyncio
import random
import unittest
from unittest import mock

from result import Ok, Result

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ordering import ArrivalOrder, QueueOrder
from peridotbend.domain.ports import EventLog, Meter, Share
from peridotbend.domain.scheduler import Grant, Scheduler, SchedulerLimits
from peridotbend.domain.text import ClientAccount, Service
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.domain.work import GrantOutcome, WorkItem
from tests import scheduling
from tests.scheduling import make_config, make_item, make_service

Task = asyncio.Task[Result[Grant, NotRun]]
DONE = GrantOutcome.COMPLETED


class SchedulerCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests: one service with a target t1 of 1,000 work units."""

    limits = SchedulerLimits()

    def setUp(self) -> None:
        """Builds a scheduler with a manual clock and fakes at its ports."""
        self.clock = ManualClock()
        self.view = scheduling.FakeView()
        self.declined: set[str] = set()
        self.router = scheduling.make_router(self.declined)
        self.log = mock.create_autospec(EventLog, instance=True)
        self.meter = mock.create_autospec(Meter, instance=True)
        self.scheduler = self.build(self.limits)
        self.apply(make_service())

    def build(
        self, limits: SchedulerLimits, order: QueueOrder | None = None
    ) -> Scheduler:
        """Returns a scheduler without a configuration."""
        ports = (self.clock, self.view, self.router, limits)
        return Scheduler(*ports, self.log, self.meter, order)

    def apply(self, *services: Service) -> None:
        """Applies a configuration with these services."""
        self.scheduler.apply_config(make_config(*services))

    async def submit(
        self, item: WorkItem, exclude: frozenset[str] = frozenset()
    ) -> Task:
        """Submits a request and runs the loop until nothing more happens."""
        task = asyncio.create_task(self.scheduler.acquire(item, exclude))
        await settle()
        return task

    async def submit_granted(self, item: WorkItem) -> Grant:
        """Submits a request and returns its grant, which must be immediate."""
        return get_grant(await self.submit(item))

    async def expire(self) -> None:
        """Rejects expired requests and places others, as `run` does."""
        self.scheduler.expire()
        await settle()

    def count_waiting(self) -> int:
        """Counts the waiting requests of all services."""
        waiting = self.scheduler.dump()["waiting"]
        assert isinstance(waiting, dict)
        return sum(waiting.values())

    def check_idle(self) -> None:
        """Checks that nothing waits or is in flight."""
        assert self.count_waiting() == 0
        for work in self.scheduler.find_demand().values():
            assert not any(work), work


async def settle() -> None:
    """Runs the tasks that are ready."""
    for _ in range(4):
        await asyncio.sleep(0)


async def complete(grant: Grant) -> None:
    """Completes a request and runs the tasks that are ready."""
    grant.finish(DONE)
    await settle()


def get_grant(task: Task) -> Grant:
    """Returns the grant of a request that ended with one."""
    assert task.done(), "the request is still waiting"
    result = task.result()
    assert isinstance(result, Ok), result
    return result.ok_value


def get_refusal(task: Task) -> NotRun:
    """Returns the refusal of a request that ended with one."""
    assert task.done(), "the request is still waiting"
    return task.result().unwrap_err()


class GrantTest(SchedulerCase):
    """Grants of targets within their windows."""

    async def test_window_bounds_the_work_in_flight(self) -> None:
        """Guards against windows counted in requests, or never released."""
        first = await self.submit_granted(make_item("a", units=600))
        await self.submit_granted(make_item("b", units=400))
        third = await self.submit(make_item("c", units=10))
        assert not third.done()
        await complete(first)
        get_grant(third)

    async def test_oversized_request_runs_alone(self) -> None:
        """Guards against requests above the window size that wait for ever."""
        small = await self.submit_granted(make_item("a"))
        large = await self.submit(make_item("b", units=5_000))
        assert not large.done()
        await complete(small)
        get_grant(large)
        assert not (await self.submit(make_item("c"))).done()

    async def test_second_finish_is_an_error(self) -> None:
        """Guards against a grant that releases its room in the window twice."""
        grant = await self.submit_granted(make_item("a"))
        grant.record_first_output()
        grant.record_first_output()
        grant.finish(DONE)
        with self.assertRaises(RuntimeError):
            grant.finish(DONE)
        self.check_idle()
        self.router.record_dispatch.assert_called_once()
        self.router.record_first_output.assert_called_once()
        self.router.record_finish.assert_called_once()

    async def test_outcomes_reach_the_router(self) -> None:
        """Guards against failures recorded for requests that were not sent."""
        for outcome in set(GrantOutcome) - {DONE}:
            (await self.submit_granted(make_item("a"))).finish(outcome)
        assert self.router.record_failure.call_count == 3
        self.router.record_unsent.assert_called_once()
        # The dispatcher logs a crash of a target once, not once per request.
        self.log.emit.assert_not_called()

    async def test_even_share_until_the_divider_is_heard(self) -> None:
        """Guards against processes that overfill a target together.

        Until a share arrives, each process may use an even part of the window.
        """
        self.view.peers = 4
        self.scheduler.expire()
        await self.submit_granted(make_item("a", units=250))
        waiting = await self.submit(make_item("b", units=250))
        assert not waiting.done()
        self.scheduler.update_shares([Share("t1", 500, 0)])
        await settle()
        get_grant(waiting)

    async def test_share_that_lapses_while_nothing_waits_is_not_used(
        self,
    ) -> None:
        """Guards against a cached share that is used after it has expired."""
        self.scheduler.update_shares([Share("t1", 900, 2)])
        grant = await self.submit_granted(make_item("a", units=100))
        self.view.peers = 5
        self.clock.advance(2_000)
        await self.expire()
        await self.submit(make_item("b", units=150))
        assert self.count_waiting() == 1
        grant.finish(DONE)

    async def test_zero_share_goes_to_the_tiers_still_served(self) -> None:
        """Guards against a low tier placed on a target full of higher tiers."""
        self.scheduler.update_shares([Share("t1", 0, 0)])
        low = await self.submit(make_item("a", tier=1))
        assert not low.done()
        get_grant(await self.submit(make_item("b", tier=0)))
        (candidate,) = self.router.choose.call_args.args[1]
        assert candidate.room == 100
        assert not low.done()

    async def test_demand_by_target_and_tier(self) -> None:
        """Guards against demand that is missing from the divider's input."""
        self.apply(make_service(targets=("t1", "t2", "t3")))
        self.view.down.add("t3")
        await self.submit_granted(make_item("a", 0, 1_000))
        await self.submit_granted(make_item("b", 1, 1_000))
        await self.submit(make_item("c", 2, 300))
        assert self.scheduler.find_demand() == {
            "t1": (0, 1_000, 150),
            "t2": (1_000, 0, 150),
            "t3": (0, 0, 0),
        }


class OrderTest(SchedulerCase):
    """Order in which waiting requests are placed."""

    async def test_highest_tier_first_across_services(self) -> None:
        """Guards against a low tier of one service that goes first.

        The two services share a target.
        """
        self.apply(make_service("model"), make_service("other"))
        running = await self.submit_granted(make_item("a", units=1_000))
        low = await self.submit(make_item("b", 1, 1_000))
        high = await self.submit(make_item("c", 0, 1_000, service="other"))
        await complete(running)
        get_grant(high)
        assert not low.done()

    async def test_low_tier_uses_room_but_not_a_held_target(self) -> None:
        """Guards against unused room and against starving a higher tier.

        A lower tier may use room that the waiting request of a higher tier
        can't use, but not the target that is reserved for that request.
        """
        self.apply(make_service(targets=("t1", "t2")))
        running = [
            await self.submit_granted(make_item(str(n), units=units))
            for n, units in enumerate([600, 400])
        ]
        high = await self.submit(make_item("h", 0, 900))
        low = [await self.submit(make_item("l", 2, 200)) for _ in range(3)]
        # t1 has 600 free units and is reserved for the large request.
        assert [get_grant(t).target for t in low[:2]] == [running[0].target] * 2
        assert not high.done() and not low[2].done()
        await complete(running[1])
        assert get_grant(high).target == running[1].target

    async def test_bypasses_are_bounded(self) -> None:
        """Guards against small requests that overtake a large one for ever."""
        running = [
            await self.submit_granted(make_item(str(n), units=500))
            for n in range(2)
        ]
        large = await self.submit(make_item("large", units=900))
        running[0].finish(DONE)
        for n in range(self.limits.max_bypasses):
            small = await self.submit_granted(make_item(f"s{n}", units=10))
            small.finish(DONE)
        blocked = await self.submit(make_item("s", units=10))
        assert not blocked.done()
        await complete(running[1])
        get_grant(large)
        get_grant(blocked)

    async def test_lower_tier_waits_behind_unexamined_requests(self) -> None:
        """Guards against a low tier that is served while the queue is deep.

        Requests of the higher tier beyond the lookahead must block it.
        """
        self.scheduler = self.build(SchedulerLimits(max_lookahead=1))
        self.apply(make_service(targets=("t1", "t2")))
        running = [
            await self.submit_granted(make_item("", units=500)) for _ in "ab"
        ]
        high = [await self.submit(make_item("", 0, 600)) for _ in "ab"]
        low = await self.submit(make_item("low", 1, 10))
        assert not low.done()
        await complete(running[0])
        # The whole high tier is within the lookahead now. Its second request
        # reserves the target with more room; the low tier gets the other.
        assert [task.done() for task in (*high, low)] == [True, False, True]

    async def test_first_come_baseline(self) -> None:
        """Guards against a first-come baseline that still orders by tier."""
        limits = SchedulerLimits(max_bypasses=0)
        self.scheduler = self.build(limits, ArrivalOrder())
        self.apply(make_service(max_queue=2))
        running = await self.submit_granted(make_item("a", units=1_000))
        low = await self.submit(make_item("low", 2, 1_000))
        high = await self.submit(make_item("high", 0, 1_000))
        last = await self.submit(make_item("last", 0, 1_000))
        assert get_refusal(last).reason is Reason.SHED
        await complete(running)
        get_grant(low)
        assert not high.done()

    async def test_router_may_make_a_request_wait(self) -> None:
        """Guards against a declined request that is never offered again.

        The router declines to make a request wait for a better target.
        """
        self.declined.add("a")
        waiting = await self.submit(make_item("a"))
        get_grant(await self.submit(make_item("b", 1)))
        self.declined.clear()
        await self.expire()
        get_grant(waiting)


class TrialTest(SchedulerCase):
    """Suspect requests that run on trial."""

    async def test_trials_prefer_idle_targets_and_share_none(self) -> None:
        """Guards against trials that share a target with other requests."""
        self.apply(make_service(targets=("t1", "t2")))
        await self.submit_granted(make_item("a", units=10))
        # The target in use has more room, but the other one is idle.
        self.scheduler.update_shares([Share("t1", 300, 0)])
        trial = await self.submit_granted(make_item("b", on_trial=True))
        assert trial.target.name == "t1"
        second = await self.submit_granted(make_item("c", on_trial=True))
        assert second.target.name == "t2"
        third = await self.submit(make_item("d", on_trial=True))
        assert not third.done()
        get_grant(await self.submit(make_item("e", tier=1, units=10)))
        await complete(trial)
        assert get_grant(third).target.name == "t1"


class RefusalTest(SchedulerCase):
    """Refusals, shedding, deadlines and client limits."""

    limits = SchedulerLimits(max_waiting=6)

    async def test_deadline_passed_while_waiting(self) -> None:
        """Guards against expired requests that run or are counted as shed."""
        await self.submit_granted(make_item("a", units=1_000))
        waiting = await self.submit(make_item("b", deadline_at_ms=1_000_050))
        self.clock.advance(50)
        runner = asyncio.create_task(self.scheduler.run())
        await waiting
        runner.cancel()
        assert get_refusal(waiting).reason is Reason.DEADLINE
        assert self.scheduler.dump()["ended"] == {Reason.DEADLINE: 1}
        self.meter.count_shed.assert_not_called()

    async def test_deadline_passed_just_before_room_appears(self) -> None:
        """Guards against a dispatch after the deadline."""
        running = await self.submit_granted(make_item("a", units=1_000))
        waiting = await self.submit(make_item("b", deadline_at_ms=1_000_050))
        self.clock.advance(50)
        await complete(running)
        assert get_refusal(waiting).reason is Reason.DEADLINE
        late = await self.submit(make_item("c", deadline_at_ms=1_000_050))
        assert get_refusal(late).reason is Reason.DEADLINE

    async def test_arrival_of_a_higher_tier_displaces(self) -> None:
        """Guards against a refusal of a higher tier while a lower one waits."""
        self.apply(make_service(max_queue=1))
        await self.submit_granted(make_item("a", units=1_000))
        low = await self.submit(make_item("b", 2))
        high = await self.submit(make_item("c", 1))
        assert get_refusal(low).reason is Reason.SHED
        assert get_refusal(low).retry_after_ms > 0
        assert not high.done()
        again = await self.submit(make_item("d", 2))
        assert get_refusal(again).reason is Reason.SHED
        sheds = self.meter.count_shed.mock_calls
        assert sheds == [mock.call("model", "tags")] * 2

    async def test_tier_is_kept_while_a_lower_one_is_served(self) -> None:
        """Guards against shedding while another process serves a lower tier."""
        self.apply(make_service(max_queue=1))
        self.scheduler.update_shares([Share("t1", 1_000, 2)])
        await self.submit_granted(make_item("a", units=1_000))
        tasks = [await self.submit(make_item(str(n), 1)) for n in range(3)]
        assert self.count_waiting() == 3
        self.scheduler.update_shares([Share("t1", 1_000, 1)])
        await self.submit(make_item("d", 1))
        assert self.count_waiting() == 1
        assert not tasks[0].done()

    async def test_lower_tier_of_a_sharing_service_protects(self) -> None:
        """Guards against shedding while a lower tier of another service waits.

        The two services share a target.
        """
        self.apply(make_service("model", max_queue=1), make_service("other"))
        await self.submit_granted(make_item("a", units=1_000))
        low = await self.submit(make_item("b", 2, service="other"))
        for key in "cd":
            await self.submit(make_item(key, 1))
        assert self.count_waiting() == 3 and not low.done()

    async def test_memory_bound_takes_the_lowest_tier(self) -> None:
        """Guards against an unbounded queue when no request may be shed."""
        self.apply(make_service(max_queue=1), make_service("x", ["t2"]))
        shares = [Share("t1", 1_000, 2), Share("t2", 1_000, 2)]
        self.scheduler.update_shares(shares)
        await self.submit_granted(make_item("a", units=1_000))
        await self.submit_granted(make_item("b", units=1_000, service="x"))
        low = await self.submit(make_item("c", 1, service="x"))
        for n in range(5):
            await self.submit(make_item(str(n), 0))
        assert not low.done()
        await self.submit(make_item("5", 0))
        assert get_refusal(low).reason is Reason.AT_CAPACITY
        assert self.count_waiting() == 6
        self.meter.count_shed.assert_not_called()

    async def test_client_limit(self) -> None:
        """Guards against limits that are not enforced or not released."""
        client = ClientAccount("acme", work_per_s=50, max_concurrent=1)
        self.scheduler.apply_config(
            make_config(make_service(), clients=[client])
        )
        grant = await self.submit_granted(make_item("a"))
        refusal = get_refusal(await self.submit(make_item("b")))
        assert refusal.reason is Reason.CLIENT_LIMIT
        assert refusal.retry_after_ms > 0
        grant.finish(GrantOutcome.NOT_WRITTEN)
        await complete(await self.submit_granted(make_item("c")))
        # Only the request that ran was charged.
        refusal = get_refusal(await self.submit(make_item("d")))
        assert refusal.retry_after_ms == 2_000

    async def test_long_deadline_outlasts_an_outage(self) -> None:
        """Guards against refusing long-running work because of a short outage.

        Its deadline is 8 hours away, so it can wait for a target to return.
        """
        self.view.down.add("t1")
        soon = await self.submit(make_item("a"))
        assert get_refusal(soon).reason is Reason.NO_TARGET
        later = make_item("b", deadline_at_ms=1_000_000 + 8 * 3_600_000)
        task = await self.submit(later)
        assert not task.done()
        self.view.down.clear()
        self.scheduler.expire()
        await settle()
        await complete(task.result().unwrap())

    async def test_no_target_can_take_the_request(self) -> None:
        """Guards against requests that wait while no target can take them."""
        exclude = frozenset({"t1"})
        task = await self.submit(make_item("a"), exclude)
        assert get_refusal(task).reason is Reason.NO_TARGET
        self.apply(
            make_service(depends_on=("mid",)),
            make_service("mid", ["t2"], depends_on=("low",)),
            make_service("low", ["t3"]),
        )
        await self.submit_granted(make_item("b"))
        self.view.down.add("t3")
        task = await self.submit(make_item("c"))
        assert get_refusal(task).reason is Reason.DEPENDENCY_DOWN
        empty = self.build(self.limits)
        result = await empty.acquire(make_item("d"))
        assert result.unwrap_err().reason is Reason.NO_TEXT


class HopelessTest(SchedulerCase):
    """Requests that cannot complete by their deadline."""

    async def test_ends_unsent_when_no_target_is_fast_enough(self) -> None:
        """Guards against dispatching a request that would complete too late."""
        self.router.can_finish.side_effect = lambda item, name: False
        reason = get_refusal(await self.submit(make_item("a"))).reason
        assert reason is Reason.DEADLINE
        self.check_idle()

    async def test_waits_for_a_target_that_is_fast_enough(self) -> None:
        """Guards against a refusal while a busy target is fast enough."""
        self.apply(make_service(targets=("t1", "t2")))
        self.router.choose.side_effect = lambda item, found: found[0]
        first = await self.submit_granted(make_item("a", units=1_000))
        assert first.target.name == "t1"
        self.router.can_finish.side_effect = lambda item, name: name == "t1"
        waiting = await self.submit(make_item("b", units=1_000))
        assert not waiting.done()
        first.finish(DONE)
        await settle()
        assert get_grant(waiting).target.name == "t1"


class CancellationTest(SchedulerCase):
    """Callers that disconnect."""

    async def test_cancelled_while_waiting(self) -> None:
        """Guards against queue entries of callers that have disconnected."""
        running = await self.submit_granted(make_item("a", units=500))
        large = await self.submit(make_item("b", 0, 600))
        low = await self.submit(make_item("c", 1, 10))
        assert not low.done()
        large.cancel()
        await settle()
        get_grant(low).finish(DONE)
        running.finish(DONE)
        self.check_idle()

    async def test_cancelled_in_the_step_of_the_grant(self) -> None:
        """Guards against window room leaked by a grant to a cancelled task."""
        running = await self.submit_granted(make_item("a", units=1_000))
        waiting = await self.submit(make_item("b", units=1_000))
        running.finish(DONE)
        waiting.cancel()
        await settle()
        assert waiting.cancelled()
        self.check_idle()
        self.router.record_unsent.assert_called_once()

    async def test_random_traffic_leaves_nothing(self) -> None:
        """Guards against queue entries or window room that leak."""
        rng = random.Random(7)
        self.apply(make_service(targets=("t1", "t2"), max_queue=8))
        tasks: list[Task] = []
        running: list[Grant] = []
        for _ in range(600):
            units, account = rng.choice([10, 300, 3_000]), rng.choice("abc")
            deadline_ms = self.clock.now_ms() + rng.randrange(1, 400)
            tier, trial = rng.randrange(3), rng.random() < 0.1
            item = make_item("", tier, units, account, deadline_ms, trial)
            tasks.append(await self.submit(item))
            if rng.random() < 0.3:
                rng.choice(tasks).cancel()
            if running and rng.random() < 0.6:
                running.pop(rng.randrange(len(running))).finish(DONE)
            self.clock.advance(rng.randrange(20))
            await self.expire()
            running += take_grants(tasks)
        while running:
            running.pop().finish(DONE)
            await settle()
            running += take_grants(tasks)
        self.clock.advance(1_000)
        await self.expire()
        assert all(task.done() for task in tasks)
        self.check_idle()


def take_grants(tasks: list[Task]) -> list[Grant]:
    """Removes the tasks that ended and returns their grants."""
    ended = [task for task in tasks if task.done()]
    tasks[:] = [task for task in tasks if not task.done()]
    results = [task.result() for task in ended if not task.cancelled()]
    return [result.ok_value for result in results if isinstance(result, Ok)]


class TextTest(SchedulerCase):
    """Configuration changes under load."""

    async def test_removed_kind_service_and_target(self) -> None:
        """Guards against requests that wait for a removed kind or target."""
        self.apply(make_service(targets=("t1", "t2")), make_service("x"))
        grants = [
            await self.submit_granted(make_item(k, units=1_000)) for k in "ab"
        ]
        kept = await self.submit(make_item("c", 0))
        removed_kind = await self.submit(make_item("d", 1))
        only_t1 = await self.submit(make_item("e", 0), frozenset({"t2"}))
        removed_service = await self.submit(make_item("f", service="x"))
        self.apply(make_service(targets=("t2",), tiers=(0,)))
        await settle()
        for task in (removed_kind, only_t1, removed_service):
            assert get_refusal(task).reason is Reason.NO_TARGET
        assert not kept.done()
        assert set(self.scheduler.find_demand()) == {"t1", "t2"}
        for grant in grants:
            await complete(grant)
        assert get_grant(kept).target.name == "t2"
        assert set(self.scheduler.find_demand()) == {"t2"}
        self.router.forget.assert_called_once_with("t1")

    async def test_target_listed_again_keeps_its_use(self) -> None:
        """Guards against a relisted target that is overfilled.

        Its work in flight from before the removal still counts.
        """
        grant = await self.submit_granted(make_item("a", units=950))
        self.apply(make_service(targets=("t2",)))
        self.apply(make_service(targets=("t1",)))
        waiting = await self.submit(make_item("b"))
        not_t2 = await self.submit(make_item("c"), frozenset({"t2"}))
        assert not waiting.done()
        self.apply(make_service(targets=("t1", "t2")))
        await settle()
        get_grant(waiting)
        assert not not_t2.done()
        await complete(grant)
        get_grant(not_t2)
