"""Tests of what proves which process of a name sent the events of a stream."""

import contextlib
import dataclasses
import random
import unittest
import unittest.mock

import anyio
from anyio.abc import SocketStream
from result import Err, Ok

from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import CallError
from peridotbend.domain.verdicts import NotRun
from peridotbend.edge.callerlimits import CallerLimits
from peridotbend.edge.feeds import Feed, RestoreRules
from peridotbend.edge.ports import StoreError, StoreFailure, TargetSend
from peridotbend.edge.readerrole import ReaderRole
from peridotbend.edge.runquestions import SURVEY_TTL_MS
from peridotbend.edge.streamrecords import (
    BegunStream,
    StreamRecords,
    hash_attempt,
)
from peridotbend.edge.targets import TargetList
from peridotbend.edge.versions import VIEW_LAG_MS, VersionTimeline
from peridotbend.platform import runners
from peridotbend.platform.runners import PlatformTargetClient
from tests.edgefakes import (
    CALL,
    RecordingLog,
    RelayHarness,
    ScriptedReader,
    ScriptedReply,
    make_event,
    make_target,
)
from tests.test_edge_eras import WITHHOLD_MS, make_copy, make_item
from tests.test_edge_runs import (
    FIRST_START_MS,
    GONE,
    LEASE_MS,
    SECOND_START_MS,
    SILENT,
    _RunsTest,
)


class BeginProofTest(_RunsTest):
    """What an instance may conclude of the process that began a stream."""

    def test_end_that_a_listing_refuted_does_not_count(self) -> None:
        """Guards against streams that are cut after an old, harmless break."""
        self.run_records.find_listing_ms = self.clock.now_ms
        self.run_records.note_end(self.target)
        self.clock.advance(60_000)
        assert not self.run_records.is_doubtful(self.target)
        connected_at_ms = self.clock.now_ms()
        self.clock.advance(100)
        self.run_records.note_end(self.target)
        self.client.starts["i-1"] = GONE
        self.clock.advance(LEASE_MS)
        assert self.confirm_begin(self.target, connected_at_ms)

    def test_deferred_removal_proves_nothing(self) -> None:
        """Guards against a proof by an entry that is no longer there."""
        listing_ms = [self.clock.now_ms()]
        self.run_records.find_listing_ms = lambda: listing_ms[0]
        self.targets.note_store_unreachable()
        self.clock.advance(10_000)
        connected_at_ms = self.clock.now_ms()
        self.clock.advance(LEASE_MS)
        self.targets.note_store_reachable()
        self.run_records.note_unlisted(self.target)
        self.targets.remove(self.target.name)
        listing_ms[0] = self.clock.now_ms()
        assert self.targets.find(self.target.name) is not None
        assert not self.run_records.is_proven(self.target, connected_at_ms)

    def test_entry_long_before_its_process_proves_nothing(self) -> None:
        """Guards against a writer of an entry that has no address yet."""
        self.run_records.find_listing_ms = self.clock.now_ms
        early = self.put("i-1", SECOND_START_MS, "v2")
        self.run_records.note_taken_over(early, self.target)
        self.clock.advance(500)
        connected_at_ms = self.clock.now_ms()
        self.clock.advance(LEASE_MS)
        asked_at_ms = self.clock.now_ms()
        self.run_records.note_start(early, FIRST_START_MS, asked_at_ms)
        assert not self.run_records.is_proven(early, connected_at_ms)
        self.clock.advance(LEASE_MS)
        assert not self.run_records.is_proven(early, connected_at_ms)
        self.client.starts["i-1"] = Ok(SECOND_START_MS)
        assert not self.confirm_begin(early, connected_at_ms)

    def test_target_that_was_silent_for_a_moment_is_asked_again(self) -> None:
        """Guards against streams that are cut by a silence that is over."""
        connected_at_ms = self.clock.now_ms()
        self.client.starts["i-1"] = SILENT
        assert not self.confirm_begin(self.target, connected_at_ms)
        self.client.starts["i-1"] = Ok(FIRST_START_MS)
        self.clock.advance(SURVEY_TTL_MS + 1)
        assert self.confirm_begin(self.target, connected_at_ms)

    def test_begin_at_an_unknown_process_is_not_confirmed(self) -> None:
        """Guards against the same where nothing is known of the one before."""
        connected_at_ms = self.clock.now_ms()
        self.clock.advance(100)
        asked_at_ms = self.clock.now_ms()
        self.run_records.note_start(
            self.target, FIRST_START_MS - 1, asked_at_ms
        )
        self.clock.advance(100)
        assert not self.confirm_begin(self.target, connected_at_ms)

    def test_next_process_takes_no_proof_away(self) -> None:
        """Guards against streams that are cut although their begin is known."""
        self.run_records.find_listing_ms = self.clock.now_ms
        connected_at_ms = self.clock.now_ms() - LEASE_MS
        assert self.run_records.is_proven(self.target, connected_at_ms)
        now_ms = self.clock.now_ms()
        self.run_records.note_start(self.target, SECOND_START_MS, now_ms)
        assert self.run_records.is_proven(self.target, connected_at_ms)


class LateEntryTest(unittest.TestCase):
    """Targets whose next entry comes after the last one has expired."""

    def test_expired_entry_does_not_hide_a_change(self) -> None:
        """Guards against streams that are placed by the old entry alone."""
        clock = ManualClock()
        targets = TargetList(clock)
        timeline = VersionTimeline(clock, targets, CallerLimits())
        timeline.note_listing()
        for name in ("i-1", "i-2"):
            target = dataclasses.replace(make_target(name), software="v1")
            targets.put(dataclasses.replace(target, started_at_ms=1))
        timeline.update("engine")
        clock.advance(10_000)
        begun_at_ms = clock.now_ms()
        clock.advance(500)
        targets.remove("i-1")
        timeline.update("engine")
        clock.advance(200)
        changed = dataclasses.replace(make_target("i-1"), software="v2")
        targets.put(dataclasses.replace(changed, started_at_ms=2))
        timeline.update("engine")
        for number in range(20):
            choices = timeline.list_choices("engine", f"a{number}", begun_at_ms)
            assert choices == {"v1", "v2"}, choices


class _StreamTest(unittest.TestCase):
    """Streams of targets that restart, by a relay with scripted targets."""

    def make_harness(
        self, *replies: ScriptedReply, software: str = "v1"
    ) -> RelayHarness:
        """Returns a relay with the targets i-1, i-2 and i-3."""
        harness = RelayHarness(*replies)
        for name in ("i-1", "i-2", "i-3"):
            harness.targets.put(
                dataclasses.replace(
                    make_target(name),
                    started_at_ms=FIRST_START_MS,
                    software=software,
                )
            )
        return harness


class BudgetTest(_StreamTest):
    """The budget of extra sends that all instances share."""

    def test_send_that_was_not_made_is_not_counted(self) -> None:
        """Guards against a budget that is spent on other processes."""
        harness = self.make_harness(
            ScriptedReply(chunks=(make_event(1),), breaks_connection=True),
            ScriptedReply(fails_to_connect=True),
            ScriptedReply(fails_to_connect=True),
            ScriptedReply(chunks=(make_event(2),)),
        )
        spent: list[str] = []
        try_spend = harness.budget.try_spend

        def note_spent(service: str, instances: int) -> bool:
            spent.append(service)
            return try_spend(service, instances)

        with unittest.mock.patch.object(
            harness.budget, "try_spend", note_spent
        ):
            assert anyio.run(harness.serve).is_complete
        assert len(harness.client.written_sends) == 2
        assert spent == ["engine"]


class WaitTest(_StreamTest):
    """Requests that wait for a target of which another process has the name."""

    def test_waiting_stream_goes_to_the_target_once_it_is_listed(self) -> None:
        """Guards against a wait for a target that could serve long ago."""
        clock = ManualClock()
        harness = RelayHarness(
            ScriptedReply(
                chunks=(make_event(1), make_event(2)), breaks_connection=True
            ),
            ScriptedReply(chunks=(make_event(3),)),
            clock=clock,
        )
        for name in ("i-1", "i-2", "i-3"):
            harness.targets.remove(name)
        target = dataclasses.replace(
            make_target("i-1"), started_at_ms=FIRST_START_MS, software="v1"
        )
        harness.targets.put(target)
        other = dataclasses.replace(target, name="i-2")
        harness.targets.put(other)
        for busy in (other,):
            for _ in range(20):
                harness.occupancy.add(busy.name)
        harness.run_records.find_listing_ms = clock.now_ms
        replaced = dataclasses.replace(target, started_at_ms=SECOND_START_MS)

        async def run() -> bool:
            complete = False

            async def serve() -> None:
                nonlocal complete
                complete = (await harness.serve()).is_complete

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.backlog.run)
                # Another process has answered, in place of the only free one.
                harness.run_records.note_start(
                    target, SECOND_START_MS, clock.now_ms()
                )
                tasks.start_soon(serve)
                await anyio.sleep(0.03)
                harness.targets.put(replaced)
                harness.backlog.grant_slots("engine")
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
            return bool(harness.client.sends)

        assert anyio.run(run)


class _DoubtingWitness:
    """Another instance, which says that nobody can place a stream."""

    def __init__(self, records: StreamRecords):
        self._records = records

    async def ask(self, attempt: str, is_repeated: bool = False) -> str | None:
        self._records.note_told(hash_attempt(attempt), "")
        return self._records.find(hash_attempt(attempt))

    async def ask_live(self, attempt: str, limit_ms: int) -> bool:
        await self.ask(attempt)
        return True

    def tell(self, stream: BegunStream) -> None:
        """Does nothing."""


class UncertainStreamTest(unittest.TestCase):
    """Streams of which their own instance can't tell the version."""

    def _list(self, harness: RelayHarness, *versions: str) -> None:
        for number, software in enumerate(versions, start=1):
            target = make_target(f"i-{number}")
            target = dataclasses.replace(target, software=software)
            harness.targets.put(target)
        harness.timeline.update("engine")

    def test_kept_prompt_does_not_place_an_uncertain_stream(self) -> None:
        """Guards against a guess where the answer is that nobody knows."""
        harness = RelayHarness(ScriptedReply(chunks=(make_event(2),)))
        self._list(harness, "v1", "v1", "v1")
        harness.clock.advance(60_000)
        self._list(harness, "v1", "v2", "v2")
        moved = next(
            f"a{number}"
            for number in range(100)
            if harness.timeline.choose("engine", f"a{number}") == "v2"
        )
        # A target keeps the prompt from an earlier request of the session.
        harness.client.parts["i-2"] = frozenset(("s",))
        witness = _DoubtingWitness(harness.origins._records)
        harness.origins.witnesses = witness
        take_up = dataclasses.replace(
            CALL, resumes=moved, last_event_id="1", session="s"
        )
        responder = anyio.run(harness.serve, take_up)
        assert not harness.client.sends
        assert isinstance(responder.verdict, NotRun)


class QuestionTest(unittest.TestCase):
    """The question that is asked on the connection of a call."""

    @unittest.mock.patch.object(runners, "ASK_TIMEOUT_MS", 250)
    def test_question_that_is_answered_slowly_ends(self) -> None:
        """Guards against a slot that a dripping target holds."""

        class _Check:

            def is_needed(self, connected_at_ms: int) -> bool:
                return True

            def accepts(self, *args: object) -> bool:
                return True

        async def drip(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n"
                )
                with contextlib.suppress(anyio.BrokenResourceError):
                    while True:
                        await stream.send(b" ")
                        await anyio.sleep(0.05)

        async def run() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            target = dataclasses.replace(make_target("i-1"), port=port)
            http = HttpTargetClient()
            client = PlatformTargetClient(http)
            send = TargetSend(CALL, target, "", 5_000, "", True, check=_Check())
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, drip)
                with anyio.fail_after(1.0):
                    async with client.open(send, lambda: True) as reply:
                        assert isinstance(reply, CallError), reply
                tasks.cancel_scope.cancel()
            await http.aclose()

        anyio.run(run)


class ListingTimeTest(unittest.TestCase):
    """As of when a copy of the entries proves that a run lived."""

    def test_outage_that_ends_at_a_relay_settles_late(self) -> None:
        """Guards against entries whose leases did not run out meanwhile.

        The instance read the store itself in vain, and follows a relay again.
        """
        clock = ManualClock()
        role = ReaderRole(random.Random(1))
        copy = make_copy(1, 50, make_item("servers/i-1", 1, 50))
        failure = StoreError(StoreFailure.UNREACHABLE, "down")
        feed = Feed(
            "servers/",
            ScriptedReader(Ok(copy), Err(failure)),
            lambda items: None,
            clock,
            RecordingLog(),
            lambda: None,
            role,
            RestoreRules(False, WITHHOLD_MS, lambda: None),
        )
        anyio.run(feed.confirm)
        feed.merge_fetched("10.0.0.2", copy)
        clock.advance(1_000)
        anyio.run(feed.confirm)
        clock.advance(2 * WITHHOLD_MS)
        role.assign(False)
        before_ms = feed.known_as_of_ms
        feed.note_peer("10.0.0.2", feed.items.state)
        clock.advance(WITHHOLD_MS - 1)
        feed.note_peer("10.0.0.2", feed.items.state)
        assert feed.known_as_of_ms == before_ms
        clock.advance(VIEW_LAG_MS + 1)
        feed.note_peer("10.0.0.2", feed.items.state)
        assert feed.known_as_of_ms == clock.now_ms() - VIEW_LAG_MS
