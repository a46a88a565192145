"""Asks targets over the network which processes they are."""

from collections.abc import Callable, Collection

import anyio
from result import Ok

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import CallFailure, EventLog
from peridotbend.edge.ports import EdgeTargetClient
from peridotbend.edge.runrecords import (
    MAX_QUESTIONS,
    RunRecord,
    RunRecords,
    RunState,
)
from peridotbend.edge.targets import EdgeTarget

# A live target answers within milliseconds, but may be busy. Callers abandon a
# stream after a gap of two seconds at the earliest.
ASK_TIMEOUT_MS = 1_500
# Limits what a short request waits for the answer of a target that is new.
FIRST_QUESTION_TIMEOUT_MS = 250
# All streams that are taken up within this time share the questions, and all
# that broke share those that were not answered.
SURVEY_TTL_MS = 500

_STATE_BY_FAILURE = {
    CallFailure.REFUSED: RunState.GONE,
    CallFailure.TIMEOUT: RunState.SILENT,
}
_UNANSWERED = frozenset((RunState.SILENT, RunState.UNREACHABLE))
_UNTOLD = frozenset((RunState.UNNAMED, RunState.UNREACHABLE))


class RunQuestions:
    """Asks targets for their starts; requests share the answers."""

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        records: RunRecords,
        client: EdgeTargetClient,
    ):
        """Creates the questions, none of which is under way.

        Args:
            clock: source of time.
            log: receives the answers.
            records: what is known of the runs of targets.
            client: asks targets.
        """
        self._clock = clock
        self._log = log
        self._records = records
        self._client = client
        # Called with the attempts that a listed run is at work on.
        self.on_running: Callable[[EdgeTarget, Collection[str]], None] = (
            lambda target, attempts: None
        )
        # Set when the question that is under way to a run has ended.
        self._asking: dict[int, anyio.Event] = {}

    async def ask_first(self, target: EdgeTarget) -> None:
        """Asks a target before its first use for requests that may not wait.

        What it answers decides later whether an answer that has neither length
        nor chunks is whole.
        """
        if not self._records.awaits_name(target):
            return
        self.note_first_question(target)
        with anyio.move_on_after(FIRST_QUESTION_TIMEOUT_MS / 1_000):
            await self._ask_together(target, self._records.get(target), "first")

    def note_first_question(self, target: EdgeTarget) -> None:
        """Records that a target is asked before its first use.

        Sends that begin at the same moment count once.
        """
        run, now_ms = self._records.get(target), self._clock.now_ms()
        if run.awaits_name and now_ms >= run.first_asked_ms + ASK_TIMEOUT_MS:
            run.first_asked_ms = now_ms
            run.first_questions += 1

    def note_check(
        self,
        target: EdgeTarget,
        told_ms: int | None,
        connected_at_ms: int,
        asked_at_ms: int,
    ) -> RunState:
        """Records the answer on the connection of a send, before it is sent."""
        state = self._records.note_start(
            target, told_ms, asked_at_ms, connected_at_ms
        )
        if state is RunState.UNNAMED:
            self._records.get(target).first_questions += 1
        self._log_asked(target, "send", state, told_ms, asked_at_ms)
        return state

    async def ask_firmly(
        self, target: EdgeTarget, since_ms: int, purpose: str
    ) -> RunState:
        """Returns what a target has answered since a time; asks if need be.

        Asks again if the answer tells nothing.
        A kept connection may have been about to be reset, and a target in
        trouble may send a damaged answer now and then.
        """
        state = await self._ask_since(target, since_ms, purpose)
        run = self._records.get(target)
        for _ in range(MAX_QUESTIONS - 1):
            if state not in _UNTOLD:
                break
            await self._ask_together(target, run, purpose)
            state = run.state or state
        return state

    def find_state(self, target: EdgeTarget, since_ms: int) -> RunState:
        """Returns what a target has answered since a time, without asking."""
        run = self._records.get(target)
        if run.state is None or run.asked_ms < since_ms:
            return RunState.SILENT
        return run.state

    async def _ask_since(
        self, target: EdgeTarget, since_ms: int, purpose: str
    ) -> RunState:
        """Returns the first answer of a target since a time.

        One that did not answer may do so soon after.
        """
        run = self._records.get(target)
        if run.state in _UNANSWERED:
            since_ms = max(since_ms, self._clock.now_ms() - SURVEY_TTL_MS)
        while run.state is None or run.asked_ms < since_ms:
            await self._ask_together(target, run, purpose)
        return run.state

    async def _ask_together(
        self, target: EdgeTarget, run: RunRecord, purpose: str
    ) -> None:
        """Asks a target, or waits for the question that is under way.

        Requests that need to know at the same moment share a question.
        """
        done = self._asking.get(target.run_hash)
        if done is not None:
            await done.wait()
            return
        done = self._asking[target.run_hash] = anyio.Event()
        try:
            await self._ask(target, run, purpose)
        finally:
            del self._asking[target.run_hash]
            done.set()

    async def _ask(
        self, target: EdgeTarget, run: RunRecord, purpose: str
    ) -> None:
        asked_at_ms = self._clock.now_ms()
        told = await self._client.read_report(target, ASK_TIMEOUT_MS)
        told_start_ms: int | None = None
        if isinstance(told, Ok):
            told_start_ms = told.ok_value.started_at_ms
            state = self._records.note_start(target, told_start_ms, asked_at_ms)
            if state is RunState.LIVES and target.started_at_ms:
                self.on_running(target, told.ok_value.attempts)
        else:
            state = _STATE_BY_FAILURE.get(
                told.err_value.failure, RunState.UNREACHABLE
            )
        run.asked_ms, run.state = asked_at_ms, state
        self._log_asked(target, purpose, state, told_start_ms, asked_at_ms)

    def _log_asked(
        self,
        target: EdgeTarget,
        purpose: str,
        state: RunState,
        told_ms: int | None,
        asked_at_ms: int,
    ) -> None:
        self._log.emit(
            Event.TARGET_ASKED,
            target=target.name,
            purpose=purpose,
            state=state.value,
            started_at_ms=target.started_at_ms,
            told_start_ms=told_ms,
            took_ms=self._clock.now_ms() - asked_at_ms,
        )
