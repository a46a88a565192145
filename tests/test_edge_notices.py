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
from tests.edgerunners import Runner, RunnerFleet

# An instance sends a leaving target nothing later than this after it passed on
# an answer that says so.
DRAIN_MS = 2_000
# A paused target gets at most this many requests of an instance from this time
# after it was turned away, until the pause ends.
MAX_PAUSED_ARRIVALS = 2
PAUSE_NOTICE_MS = 500
PAUSE_MS = 3_000
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


def _open(head: AnswerHead, **callbacks: Callable[..., None]) -> None:
    """Opens a send whose answer has a head."""
    client = PlatformTargetClient(_FixedClient(head))  # type: ignore[arg-type]
    send = TargetSend(CALL, TARGET, "acme", 1_000, "", True, **callbacks)

    async def run() -> None:
        async with client.open(send, lambda: True):
            pass

    anyio.run(run)


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
        noted: list[bool] = []
        _open(head, note_leaving=lambda: noted.append(True))
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
            # The others have no answer of their own that tells them.
            while not leaving.left_at_ms:
                fleet.send(fleet.hosts[0])
                await anyio.sleep(0.05)
            await anyio.sleep(DRAIN_MS / 1_000)
            for _ in range(200):
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


class PauseHeaderTest(unittest.TestCase):
    """The header by which a target names a pause."""

    def _read_pause(self, status: int, value: str) -> list[int]:
        headers = (
            (wire.ATTEMPT_ID, CALL.attempt),
            (wire.SERVER_STAMP, "stamp"),
            (wire.NOT_EXECUTED, "1"),
            (wire.RETRY_AFTER, value),
        )
        noted: list[int] = []
        _open(AnswerHead(status, headers), note_pause=noted.append)
        return noted

    def test_seconds_of_a_refusal_are_read(self) -> None:
        """Guards against fractions that are lost, and against other answers."""
        assert self._read_pause(503, "2.5") == [2_500]
        for value in ("", "0", "soon", "-1", "inf", "nan"):
            assert not self._read_pause(503, value), value
        assert not self._read_pause(429, "2.5")


class PausedTargetTest(unittest.TestCase):
    """Targets that want nothing from this instance for some time."""

    def test_paused_target_gets_nothing_until_the_pause_ends(self) -> None:
        """Guards against the next request, which would be turned away."""
        paused = dataclasses.replace(REJECTED, pause_ms=PAUSE_MS)
        harness = RelayHarness(paused, *[SOUND] * 40)
        harness.targets.remove("i-3")
        first, second = _serve(harness)
        assert first != second
        harness.clock.advance(PAUSE_MS - 1)
        assert first not in _serve(harness, 10)
        harness.clock.advance(1)
        harness.targets.remove(second)
        assert _serve(harness) == [first]

    def test_callers_are_told_when_a_target_takes_requests_again(self) -> None:
        """Guards against callers that come back too early, or wait in vain."""
        paused = dataclasses.replace(REJECTED, pause_ms=PAUSE_MS)
        harness = RelayHarness(paused)
        for name in ("i-2", "i-3"):
            harness.targets.remove(name)
        started_ms = harness.clock.now_ms()
        responder = RecordingResponder()
        anyio.run(harness.relay.serve, CALL, responder)
        assert isinstance(responder.verdict, NotRun)
        assert responder.verdict.retry_after_ms == PAUSE_MS
        assert harness.clock.now_ms() == started_ms, "answered at once"

    def test_request_that_has_its_slot_is_not_written(self) -> None:
        """Guards against all requests that were placed before the answer."""
        harness = RelayHarness(*[SOUND] * 2)

        def pause() -> None:
            target = harness.client.sends[0].target
            harness.pauses.note(target, PAUSE_MS)
            harness.client.before_gate = lambda: None

        harness.client.before_gate = pause
        (written,) = _serve(harness)
        assert written != harness.client.sends[0].target.name

    def test_target_that_started_again_is_not_paused(self) -> None:
        """Guards against a pause that another run has asked for."""
        harness = RelayHarness(SOUND)
        for name in ("i-2", "i-3"):
            harness.targets.remove(name)
        target = harness.targets.find("i-1")
        assert target is not None
        harness.pauses.note(target, PAUSE_MS)
        restarted = dataclasses.replace(target, started_at_ms=9)
        harness.targets.put(restarted)
        assert _serve(harness) == ["i-1"]

    def test_instances_that_are_turned_away_stay_away(self) -> None:
        """Guards against a burst at targets that are full."""
        fleet = RunnerFleet(runners=3)
        rng = random.Random(2)

        def prepare(runner: Runner) -> None:
            runner.slots = 4
            runner.pause_ms = PAUSE_MS

        fleet.prepare_runner = prepare

        async def script() -> None:
            for _ in range(600):
                await anyio.sleep(0.02)
                fleet.send(rng.choice(fleet.hosts))

        fleet.run(script)
        pauses = 0
        for runner in fleet.runners.values():
            for host, at_ms in runner.paused_at_ms:
                pauses += 1
                arrived = sum(
                    arrival.host == host
                    and arrival.runner == runner.name
                    and at_ms + PAUSE_NOTICE_MS
                    < arrival.at_ms
                    < at_ms + PAUSE_MS
                    for arrival in fleet.arrivals
                )
                assert arrived <= MAX_PAUSED_ARRIVALS, (host, at_ms, arrived)
        assert pauses > 10, "the targets were full"
