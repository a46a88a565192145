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
from tests.scheduling import make_item, make_service, make_text

Task = asyncio.Task[Result[Grant, NotRun]]
DONE = GrantOutcome.COMPLETED


class SchedulerCase(unittest.IsolatedAsyncioTestCase):
    """Common parts: one service with target t1 of 1,000 work units."""

    limits = SchedulerLimits()

    def setUp(self) -> None:
        """Builds the object under test with a manual clock."""
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
        """Returns a scheduler without a text."""
        ports = (self.clock, self.view, self.router, limits)
        return Scheduler(*ports, self.log, self.meter, order)

    def apply(self, *services: Service) -> None:
        """Puts a text of these services in force."""
        self.scheduler.apply_text(make_text(*services))

    async def start(
        self, item: WorkItem, exclude: frozenset[str] = frozenset()
    ) -> Task:
        """Starts a request and lets it come to rest."""
        task = asyncio.create_task(self.scheduler.acquire(item, exclude))
        await settle()
        return task

    async def grant(self, item: WorkItem) -> Grant:
        """Starts a request that has to get a target at once."""
        return granted(await self.start(item))

    async def expire(self) -> None:
        """Does what `run` does from time to time."""
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
    """Lets the tasks that can go on do so."""
    for _ in range(4):
        await asyncio.sleep(0)


async def end(grant: Grant) -> None:
    """Completes a request and lets others go on."""
    grant.finish(DONE)
    await settle()


def granted(task: Task) -> Grant:
    """Returns the grant of a request that ended with one."""
    assert task.done(), "the request still waits"
    result = task.result()
    assert isinstance(result, Ok), result
    return result.ok_value


def refused(task: Task) -> NotRun:
    """Returns the refusal of a request that ended with one."""
    assert task.done(), "the request still waits"
    return task.result().unwrap_err()


class GrantTest(SchedulerCase):
    """Windows and grants."""

    async def test_window_bounds_the_work_in_flight(self) -> None:
        """Guards against windows counted in requests or never given back."""
        first = await self.grant(make_item("a", units=600))
        await self.grant(make_item("b", units=400))
        third = await self.start(make_item("c", units=10))
        assert not third.done()
        await end(first)
        granted(third)

    async def test_oversized_request_runs_alone(self) -> None:
        """Guards against large requests that never fit."""
        small = await self.grant(make_item("a"))
        large = await self.start(make_item("b", units=5_000))
        assert not large.done()
        await end(small)
        granted(large)
        assert not (await self.start(make_item("c"))).done()

    async def test_second_finish_is_an_error(self) -> None:
        """Guards against room that is given back twice."""
        grant = await self.grant(make_item("a"))
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
        """Guards against blame for requests that were never written."""
        for outcome in set(GrantOutcome) - {DONE}:
            (await self.grant(make_item("a"))).finish(outcome)
        assert self.router.record_failure.call_count == 3
        self.router.record_unsent.assert_called_once()
        # The dispatcher logs a death once, not for each request on the target.
        self.log.emit.assert_not_called()

    async def test_even_share_until_the_divider_is_heard(self) -> None:
        """Guards against processes that together overfill a target."""
        self.view.peers = 4
        self.scheduler.expire()
        await self.grant(make_item("a", units=250))
        waiting = await self.start(make_item("b", units=250))
        assert not waiting.done()
        self.scheduler.update_shares([Share("t1", 500, 0)])
        await settle()
        granted(waiting)

    async def test_share_that_lapses_while_nothing_waits_is_not_used(
        self,
    ) -> None:
        """Guards against room that was looked up before the quiet time."""
        self.scheduler.update_shares([Share("t1", 900, 2)])
        grant = await self.grant(make_item("a", units=100))
        self.view.peers = 5
        self.clock.advance(2_000)
        await self.expire()
        await self.start(make_item("b", units=150))
        assert self.count_waiting() == 1
        grant.finish(DONE)

    async def test_zero_share_goes_to_the_tiers_still_served(self) -> None:
        """Guards against low tiers at a target that high tiers fill."""
        self.scheduler.update_shares([Share("t1", 0, 0)])
        low = await self.start(make_item("a", tier=1))
        assert not low.done()
        granted(await self.start(make_item("b", tier=0)))
        (candidate,) = self.router.choose.call_args.args[1]
        assert candidate.room == 100
        assert not low.done()

    async def test_demand_by_target_and_tier(self) -> None:
        """Guards against demand that the divider does not see."""
        self.apply(make_service(targets=("t1", "t2", "t3")))
        self.view.down.add("t3")
        await self.grant(make_item("a", 0, 1_000))
        await self.grant(make_item("b", 1, 1_000))
        await self.start(make_item("c", 2, 300))
        assert self.scheduler.find_demand() == {
            "t1": (0, 1_000, 150),
            "t2": (1_000, 0, 150),
            "t3": (0, 0, 0),
        }


class OrderTest(SchedulerCase):
    """Order between waiting requests."""

    async def test_highest_tier_first_across_services(self) -> None:
        """Guards against a service whose low tier takes a shared target."""
        self.apply(make_service("model"), make_service("other"))
        running = await self.grant(make_item("a", units=1_000))
        low = await self.start(make_item("b", 1, 1_000))
        high = await self.start(make_item("c", 0, 1_000, service="other"))
        await end(running)
        granted(high)
        assert not low.done()

    async def test_low_tier_uses_room_but_not_a_held_target(self) -> None:
        """Guards against idle room and against a high tier passed over."""
        self.apply(make_service(targets=("t1", "t2")))
        running = [
            await self.grant(make_item(str(n), units=units))
            for n, units in enumerate([600, 400])
        ]
        high = await self.start(make_item("h", 0, 900))
        low = [await self.start(make_item("l", 2, 200)) for _ in range(3)]
        # t1 has 600 units left and is held for the large request.
        assert [granted(t).target for t in low[:2]] == [running[0].target] * 2
        assert not high.done() and not low[2].done()
        await end(running[1])
        assert granted(high).target == running[1].target

    async def test_passes_are_bounded(self) -> None:
        """Guards against small requests that keep a large one waiting."""
        running = [
            await self.grant(make_item(str(n), units=500)) for n in range(2)
        ]
        large = await self.start(make_item("large", units=900))
        running[0].finish(DONE)
        for passes in range(self.limits.max_bypasses):
            small = await self.grant(make_item(f"s{passes}", units=10))
            small.finish(DONE)
        blocked = await self.start(make_item("s", units=10))
        assert not blocked.done()
        await end(running[1])
        granted(large)
        granted(blocked)

    async def test_lower_tier_waits_behind_unexamined_requests(self) -> None:
        """Guards against a low tier served while the queue is deep."""
        self.scheduler = self.build(SchedulerLimits(max_lookahead=1))
        self.apply(make_service(targets=("t1", "t2")))
        running = [await self.grant(make_item("", units=500)) for _ in "ab"]
        high = [await self.start(make_item("", 0, 600)) for _ in "ab"]
        low = await self.start(make_item("low", 1, 10))
        assert not low.done()
        await end(running[0])
        # All of the high tier is examined now; the second one holds the
        # target with more room and leaves the other to the low tier.
        assert [task.done() for task in (*high, low)] == [True, False, True]

    async def test_first_come_baseline(self) -> None:
        """Guards against a baseline that still orders by tier."""
        limits = SchedulerLimits(max_bypasses=0)
        self.scheduler = self.build(limits, ArrivalOrder())
        self.apply(make_service(max_queue=2))
        running = await self.grant(make_item("a", units=1_000))
        low = await self.start(make_item("low", 2, 1_000))
        high = await self.start(make_item("high", 0, 1_000))
        last = await self.start(make_item("last", 0, 1_000))
        assert refused(last).reason is Reason.SHED
        await end(running)
        granted(low)
        assert not high.done()

    async def test_router_may_make_a_request_wait(self) -> None:
        """Guards against a declined request that is never offered again."""
        self.declined.add("a")
        waiting = await self.start(make_item("a"))
        granted(await self.start(make_item("b", 1)))
        self.declined.clear()
        await self.expire()
        granted(waiting)


class TrialTest(SchedulerCase):
    """Suspected requests on trial."""

    async def test_trials_prefer_idle_targets_and_share_none(self) -> None:
        """Guards against two suspects on a target, or innocent victims."""
        self.apply(make_service(targets=("t1", "t2")))
        await self.grant(make_item("a", units=10))
        # The target in use has more room, but the other one is idle.
        self.scheduler.update_shares([Share("t1", 300, 0)])
        trial = await self.grant(make_item("b", on_trial=True))
        assert trial.target.name == "t1"
        second = await self.grant(make_item("c", on_trial=True))
        assert second.target.name == "t2"
        third = await self.start(make_item("d", on_trial=True))
        assert not third.done()
        granted(await self.start(make_item("e", tier=1, units=10)))
        await end(trial)
        assert granted(third).target.name == "t1"


class RefusalTest(SchedulerCase):
    """Refusals, sheds, timeouts and cancellation."""

    limits = SchedulerLimits(max_waiting=6)

    async def test_deadline_passed_while_waiting(self) -> None:
        """Guards against late requests that run or count as shed."""
        await self.grant(make_item("a", units=1_000))
        waiting = await self.start(make_item("b", deadline_at_ms=1_000_050))
        self.clock.advance(50)
        runner = asyncio.create_task(self.scheduler.run())
        await waiting
        runner.cancel()
        assert refused(waiting).reason is Reason.DEADLINE
        assert self.scheduler.dump()["ended"] == {Reason.DEADLINE: 1}
        self.meter.count_shed.assert_not_called()

    async def test_deadline_passed_just_before_room_appears(self) -> None:
        """Guards against a dispatch after the deadline."""
        running = await self.grant(make_item("a", units=1_000))
        waiting = await self.start(make_item("b", deadline_at_ms=1_000_050))
        self.clock.advance(50)
        await end(running)
        assert refused(waiting).reason is Reason.DEADLINE
        late = await self.start(make_item("c", deadline_at_ms=1_000_050))
        assert refused(late).reason is Reason.DEADLINE

    async def test_arrival_of_a_higher_tier_displaces(self) -> None:
        """Guards against a high tier refused while a low one waits."""
        self.apply(make_service(max_queue=1))
        await self.grant(make_item("a", units=1_000))
        low = await self.start(make_item("b", 2))
        high = await self.start(make_item("c", 1))
        assert refused(low).reason is Reason.SHED
        assert refused(low).retry_after_ms > 0
        assert not high.done()
        again = await self.start(make_item("d", 2))
        assert refused(again).reason is Reason.SHED
        sheds = self.meter.count_shed.mock_calls
        assert sheds == [mock.call("model", "tags")] * 2

    async def test_tier_is_kept_while_a_lower_one_is_served(self) -> None:
        """Guards against a shed while another process serves a lower tier."""
        self.apply(make_service(max_queue=1))
        self.scheduler.update_shares([Share("t1", 1_000, 2)])
        await self.grant(make_item("a", units=1_000))
        tasks = [await self.start(make_item(str(n), 1)) for n in range(3)]
        assert self.count_waiting() == 3
        self.scheduler.update_shares([Share("t1", 1_000, 1)])
        await self.start(make_item("d", 1))
        assert self.count_waiting() == 1
        assert not tasks[0].done()

    async def test_lower_tier_of_a_sharing_service_protects(self) -> None:
        """Guards against a shed while a service next to it has lower work."""
        self.apply(make_service("model", max_queue=1), make_service("other"))
        await self.grant(make_item("a", units=1_000))
        low = await self.start(make_item("b", 2, service="other"))
        for key in "cd":
            await self.start(make_item(key, 1))
        assert self.count_waiting() == 3 and not low.done()

    async def test_memory_bound_takes_the_lowest_tier(self) -> None:
        """Guards against growth without end when nothing may be shed."""
        self.apply(make_service(max_queue=1), make_service("x", ["t2"]))
        shares = [Share("t1", 1_000, 2), Share("t2", 1_000, 2)]
        self.scheduler.update_shares(shares)
        await self.grant(make_item("a", units=1_000))
        await self.grant(make_item("b", units=1_000, service="x"))
        low = await self.start(make_item("c", 1, service="x"))
        for n in range(5):
            await self.start(make_item(str(n), 0))
        assert not low.done()
        await self.start(make_item("5", 0))
        assert refused(low).reason is Reason.AT_CAPACITY
        assert self.count_waiting() == 6
        self.meter.count_shed.assert_not_called()

    async def test_client_limit(self) -> None:
        """Guards against limits that are not enforced or not given back."""
        client = ClientAccount("acme", work_per_s=50, max_concurrent=1)
        self.scheduler.apply_text(make_text(make_service(), clients=[client]))
        grant = await self.grant(make_item("a"))
        refusal = refused(await self.start(make_item("b")))
        assert refusal.reason is Reason.CLIENT_LIMIT
        assert refusal.retry_after_ms > 0
        grant.finish(GrantOutcome.NOT_WRITTEN)
        await end(await self.grant(make_item("c")))
        # Only the work that ran was charged.
        refusal = refused(await self.start(make_item("d")))
        assert refusal.retry_after_ms == 2_000

    async def test_long_deadline_outlasts_an_outage(self) -> None:
        """Guards against overnight work refused for a short outage."""
        self.view.down.add("t1")
        soon = await self.start(make_item("a"))
        assert refused(soon).reason is Reason.NO_TARGET
        later = make_item("b", deadline_at_ms=1_000_000 + 8 * 3_600_000)
        task = await self.start(later)
        assert not task.done()
        self.view.down.clear()
        self.scheduler.expire()
        await settle()
        await end(task.result().unwrap())

    async def test_nowhere_to_run(self) -> None:
        """Guards against requests that wait for what cannot come."""
        exclude = frozenset({"t1"})
        task = await self.start(make_item("a"), exclude)
        assert refused(task).reason is Reason.NO_TARGET
        self.apply(
            make_service(depends_on=("mid",)),
            make_service("mid", ["t2"], depends_on=("low",)),
            make_service("low", ["t3"]),
        )
        await self.grant(make_item("b"))
        self.view.down.add("t3")
        task = await self.start(make_item("c"))
        assert refused(task).reason is Reason.DEPENDENCY_DOWN
        empty = self.build(self.limits)
        result = await empty.acquire(make_item("d"))
        assert result.unwrap_err().reason is Reason.NO_TEXT


class HopelessTest(SchedulerCase):
    """Requests that cannot end by their deadline."""

    async def test_ends_unsent_when_no_target_is_fast_enough(self) -> None:
        """Guards against work that is computed for nothing."""
        self.router.can_finish.side_effect = lambda item, name: False
        reason = refused(await self.start(make_item("a"))).reason
        assert reason is Reason.DEADLINE
        self.check_idle()

    async def test_waits_for_a_target_that_is_fast_enough(self) -> None:
        """Guards against refusals while a busy target would do."""
        self.apply(make_service(targets=("t1", "t2")))
        self.router.choose.side_effect = lambda item, found: found[0]
        first = await self.grant(make_item("a", units=1_000))
        assert first.target.name == "t1"
        self.router.can_finish.side_effect = lambda item, name: name == "t1"
        waiting = await self.start(make_item("b", units=1_000))
        assert not waiting.done()
        first.finish(DONE)
        await settle()
        assert granted(waiting).target.name == "t1"


class CancellationTest(SchedulerCase):
    """Callers that go away."""

    async def test_cancelled_while_waiting(self) -> None:
        """Guards against queue entries of callers that are gone."""
        running = await self.grant(make_item("a", units=500))
        large = await self.start(make_item("b", 0, 600))
        low = await self.start(make_item("c", 1, 10))
        assert not low.done()
        large.cancel()
        await settle()
        granted(low).finish(DONE)
        running.finish(DONE)
        self.check_idle()

    async def test_cancelled_in_the_step_of_the_grant(self) -> None:
        """Guards against a window that a lost grant keeps."""
        running = await self.grant(make_item("a", units=1_000))
        waiting = await self.start(make_item("b", units=1_000))
        running.finish(DONE)
        waiting.cancel()
        await settle()
        assert waiting.cancelled()
        self.check_idle()
        self.router.record_unsent.assert_called_once()

    async def test_random_traffic_leaves_nothing(self) -> None:
        """Guards against leaks in any mix of ends."""
        rng = random.Random(7)
        self.apply(make_service(targets=("t1", "t2"), max_queue=8))
        tasks: list[Task] = []
        running: list[Grant] = []
        for _ in range(600):
            units, account = rng.choice([10, 300, 3_000]), rng.choice("abc")
            due_ms = self.clock.now_ms() + rng.randrange(1, 400)
            tier, trial = rng.randrange(3), rng.random() < 0.1
            item = make_item("", tier, units, account, due_ms, trial)
            tasks.append(await self.start(item))
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
    """Texts that change under load."""

    async def test_removed_kind_service_and_target(self) -> None:
        """Guards against requests that wait for what the text removed."""
        self.apply(make_service(targets=("t1", "t2")), make_service("x"))
        grants = [await self.grant(make_item(k, units=1_000)) for k in "ab"]
        kept = await self.start(make_item("c", 0))
        kind = await self.start(make_item("d", 1))
        only_t1 = await self.start(make_item("e", 0), frozenset({"t2"}))
        service = await self.start(make_item("f", service="x"))
        self.apply(make_service(targets=("t2",), tiers=(0,)))
        await settle()
        for task in (kind, only_t1, service):
            assert refused(task).reason is Reason.NO_TARGET
        assert not kept.done()
        assert set(self.scheduler.find_demand()) == {"t1", "t2"}
        for grant in grants:
            await end(grant)
        assert granted(kept).target.name == "t2"
        assert set(self.scheduler.find_demand()) == {"t2"}
        self.router.forget.assert_called_once_with("t1")

    async def test_target_listed_again_keeps_its_use(self) -> None:
        """Guards against a target overfilled after two texts."""
        grant = await self.grant(make_item("a", units=950))
        self.apply(make_service(targets=("t2",)))
        self.apply(make_service(targets=("t1",)))
        waiting = await self.start(make_item("b"))
        not_t2 = await self.start(make_item("c"), frozenset({"t2"}))
        assert not waiting.done()
        self.apply(make_service(targets=("t1", "t2")))
        await settle()
        granted(waiting)
        assert not not_t2.done()
        await end(grant)
        granted(not_t2)
