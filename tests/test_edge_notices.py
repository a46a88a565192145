"""Tests of what targets say of themselves in their answers."""

import contextlib
import dataclasses
import random
import unittest
from collections.abc import AsyncIterator, Callable

import anyio
from result import Ok, Result

from peridotbend.adapters.digests import decode_digest, encode_digest
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import AnswerHead, CallError, TargetCall
from peridotbend.domain.text import Target
from peridotbend.domain.verdicts import NotRun
from peridotbend.edge.leavingruns import REPEAT_MS
from peridotbend.edge.peers import Digest
from peridotbend.edge.ports import AnswerBrokenError, Rejection, TargetSend
from peridotbend.edge.targets import AcceptingTargets, TargetList
from peridotbend.platform import wire
from peridotbend.platform.runners import PlatformTargetClient
from tests.edgefakes import (
    CALL,
    TARGET,
    RecordingResponder,
    RelayHarness,
    ScriptedReply,
    make_event,
    make_target,
)
from tests.edgerunners import RunnerFleet

# An instance sends a leaving target nothing later than this after it passed on
# an answer that says so.
DRAIN_MS = 2_000
REJECTED = ScriptedReply(failure=Rejection.UNAVAILABLE)
LEAVING = ScriptedReply(chunks=(make_event(1),), is_leaving=True)
SOUND = ScriptedReply(chunks=(make_event(1),))


@dataclasses.dataclass(frozen=True, slots=True)
class _FixedAnswer:
    """An answer that consists of a head."""

    head: AnswerHead

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields an empty body."""
        yield Ok(b"")


class _FixedClient:
    """An HTTP client that returns one head."""

    def __init__(self, head: AnswerHead):
        self._head = head

    @contextlib.asynccontextmanager
    async def open(
        self, target: Target, call: TargetCall, gate: Callable[[], bool]
    ) -> AsyncIterator[Result[_FixedAnswer, CallError]]:
        """Returns the answer."""
        yield Ok(_FixedAnswer(self._head))


def _serve(harness: RelayHarness, number: int = 1) -> list[str]:
    """Serves calls; returns the targets that bytes were written to."""
    before = len(harness.client.written_sends)

    async def run() -> None:
        for _ in range(number):
            with contextlib.suppress(AnswerBrokenError):
                await harness.relay.serve(CALL, RecordingResponder())

    anyio.run(run)
    sends = harness.client.written_sends[before:]
    return [send.target.name for send in sends]


class LeavingHeaderTest(unittest.TestCase):
    """The header by which a target says that it leaves."""

    def _is_noted(self, value: str, attempt: str, status: int = 200) -> bool:
        headers = [
            (wire.ATTEMPT_ID, attempt),
            (wire.SERVER_STAMP, "stamp"),
            (wire.SERVER_LEAVING, value),
        ]
        if status != 200:
            headers.append((wire.NOT_EXECUTED, "1"))
        head = AnswerHead(status, tuple(headers))
        client = PlatformTargetClient(_FixedClient(head))  # type: ignore[arg-type]
        noted: list[bool] = []
        send = TargetSend(
            CALL,
            TARGET,
            "acme",
            1_000,
            "",
            reuse_connection=True,
            note_leaving=lambda: noted.append(True),
        )

        async def run() -> None:
            async with client.open(send, lambda: True):
                pass

        anyio.run(run)
        return bool(noted)

    def test_answers_and_refusals_of_a_leaving_target_are_noted(self) -> None:
        """Guards against reading the header in one kind of answer only."""
        assert self._is_noted("1", CALL.attempt)
        assert self._is_noted("1", CALL.attempt, status=503)

    def test_other_values_and_other_answers_say_nothing(self) -> None:
        """Guards against a late answer to an earlier request, or a zero."""
        assert not self._is_noted("0", CALL.attempt)
        assert not self._is_noted("", CALL.attempt)
        assert not self._is_noted("1", "another")


class LeavingTargetTest(unittest.TestCase):
    """Targets that say that they leave, whatever the store lists."""

    def _make_harness(self, *replies: ScriptedReply) -> RelayHarness:
        harness = RelayHarness(*replies)
        harness.targets.remove("i-3")
        return harness

    def test_target_gets_no_request_after_it_said_that_it_leaves(self) -> None:
        """Guards against waiting for the store, which may be away."""
        harness = self._make_harness(LEAVING, *[SOUND] * 20)
        (leaving,) = _serve(harness)
        assert leaving not in _serve(harness, 20)

    def test_entry_that_changes_does_not_bring_the_target_back(self) -> None:
        """Guards against an entry that is older than the answer."""
        harness = self._make_harness(LEAVING, *[SOUND] * 20)
        (leaving,) = _serve(harness)
        harness.targets.put(make_target(leaving))
        assert leaving not in _serve(harness, 10)
        harness.targets.remove(leaving)
        harness.targets.put(make_target(leaving))
        assert leaving not in _serve(harness, 10)

    def test_target_that_started_again_is_used(self) -> None:
        """Guards against a name that stays out of use after a restart."""
        harness = self._make_harness(LEAVING, *[SOUND] * 20)
        (leaving,) = _serve(harness)
        restarted = dataclasses.replace(make_target(leaving), started_at_ms=9)
        harness.targets.put(restarted)
        for name in ("i-1", "i-2"):
            if name != leaving:
                harness.targets.remove(name)
        assert _serve(harness) == [leaving]

    def test_request_that_has_its_slot_is_not_written(self) -> None:
        """Guards against requests that were placed before the answer."""
        harness = self._make_harness(*[SOUND] * 2)

        def note_leaving() -> None:
            harness.targets.note_leaving(harness.client.sends[0].target)
            harness.client.before_gate = lambda: None

        harness.client.before_gate = note_leaving
        (written,) = _serve(harness)
        assert written != harness.client.sends[0].target.name

    def test_rejected_and_broken_streams_go_on_elsewhere(self) -> None:
        """Guards against second sends and resumptions at a leaving target."""
        for first in (
            dataclasses.replace(REJECTED, is_leaving=True),
            dataclasses.replace(LEAVING, breaks_connection=True),
        ):
            rest = ScriptedReply(chunks=(make_event(2),))
            harness = self._make_harness(first, rest)
            sends = _serve(harness)
            assert len(set(sends)) == 2, sends

    def test_last_target_that_leaves_is_not_used_for_want_of_others(
        self,
    ) -> None:
        """Guards against a fallback to targets that were ruled out."""
        harness = self._make_harness(LEAVING, SOUND)
        harness.targets.remove("i-2")
        assert _serve(harness) == ["i-1"]
        responder = RecordingResponder()
        anyio.run(harness.relay.serve, CALL, responder)
        assert isinstance(responder.verdict, NotRun)

    def test_streams_are_placed_by_the_entries_alone(self) -> None:
        """Guards against versions that instances choose differently."""
        harness = self._make_harness()
        for name, software in (("i-1", "v1"), ("i-2", "v2")):
            target = dataclasses.replace(make_target(name), software=software)
            harness.targets.put(target)
        attempts = [f"a{number}" for number in range(50)]

        def place() -> list[str | None]:
            choose = harness.timeline.choose
            return [choose("engine", attempt) for attempt in attempts]

        placed = place()
        leaving = harness.targets.find("i-1")
        assert leaving is not None
        harness.targets.note_leaving(leaving)
        assert place() == placed

    def test_peers_do_not_connect_to_it(self) -> None:
        """Guards against requests of others that arrive as if from here."""
        targets = TargetList(ManualClock())
        targets.put(TARGET)
        accepting = AcceptingTargets(targets)
        assert accepting.find(TARGET.name) == TARGET
        targets.note_leaving(TARGET)
        assert accepting.find(TARGET.name) is None
        assert not accepting.list_for(TARGET.service)


class LeavingNewsTest(unittest.TestCase):
    """What instances tell each other of leaving targets."""

    def test_all_instances_stop_soon_after_the_first_answer(self) -> None:
        """Guards against requests that reach a target through a peer."""
        fleet = RunnerFleet()
        rng = random.Random(1)

        async def script() -> None:
            leaving = next(iter(fleet.runners.values()))
            leaving.is_leaving = True
            for _ in range(400):
                await anyio.sleep(0.02)
                fleet.send(rng.choice(fleet.hosts))

        fleet.run(script)
        leaving = next(iter(fleet.runners.values()))
        first_ms = min(leaving.left_at_ms.values())
        late = [
            arrival
            for arrival in fleet.arrivals
            if arrival.runner == leaving.name
            and arrival.at_ms > first_ms + DRAIN_MS
        ]
        assert not late, late

    def test_news_end_after_some_time(self) -> None:
        """Guards against news that circulate for ever."""
        clock = ManualClock()
        first, second = TargetList(clock), TargetList(clock)
        first.note_leaving(TARGET)
        runs = first.list_leaving_for_digest()
        clock.advance(REPEAT_MS)
        second.merge_leaving(runs)
        first.merge_leaving(second.list_leaving_for_digest())
        clock.advance(REPEAT_MS + 1)
        assert not first.list_leaving_for_digest()
        assert not second.list_leaving_for_digest()

    def test_digests_of_an_older_build_are_read(self) -> None:
        """Guards against a field that one of two builds does not know."""
        digest = Digest(
            "e", 1, 1, "10.0.0.1", False, (), {}, {}, {}, leaving=(7, 2**32 - 1)
        )
        decoded = decode_digest(encode_digest(digest))
        assert decoded is not None and decoded.leaving == digest.leaving
        older = dataclasses.replace(digest, leaving=())
        decoded = decode_digest(encode_digest(older))
        assert decoded is not None and not decoded.leaving
