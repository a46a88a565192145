"""Judges from evidence which process of a target an answer came from."""

import dataclasses
import enum
from collections.abc import Awaitable, Callable, Collection, Iterable

import anyio

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import RESTART_MS, EventLog
from peridotbend.edge.runquestions import SURVEY_TTL_MS, RunQuestions
from peridotbend.edge.runrecords import RunRecords, RunState
from peridotbend.edge.targets import EdgeTarget, TargetList

# A caller that takes up a stream waits for the answers of all targets.
SURVEY_TIMEOUT_MS = 250
# Pause before the list is read again, as one that has just been read is not.
READ_AGAIN_MS = 250
# Limits the questions in the largest services; others are not asked.
MAX_SURVEYED = 256
# A process has answered that is not, or may not be, the listed run.
_OTHERS = frozenset((RunState.REPLACED, RunState.UNNAMED))


class BeginEvidence(enum.StrEnum):
    """What tells that a connection led to the listed run of a target."""

    # The entry outlived the connection's begin, or the target was asked.
    LISTING = "listing"
    # The target has named the listed start since, when it was asked.
    ANSWER = "answer"
    # It led to another run of the name, which has the same software.
    SOFTWARE = "software"
    # Another process may have had the name.
    NONE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class RunSurvey:
    """What some targets tell of their processes, by name."""

    # Those that are, or may be, other processes than the listed ones.
    others: tuple[str, ...]
    # Those that have not answered. One that is gone can't be told from one
    # that has crashed.
    unanswered: tuple[str, ...]


async def _trust_list() -> bool:
    """Stands for a list of targets that always lacks nothing."""
    return True


class TargetRuns:
    """Decides whether connections led to the listed runs of targets."""

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        targets: TargetList,
        records: RunRecords,
        questions: RunQuestions,
    ):
        """Creates the decisions, which keep nothing.

        Args:
            clock: source of time.
            log: receives the decisions.
            targets: those that are listed.
            records: what is known of the runs of targets.
            questions: asks targets.
        """
        self._clock = clock
        self._log = log
        self._targets = targets
        self._records = records
        self._questions = questions
        # Reads the list again, unless that was done just now.
        self.confirm_listing: Callable[[], Awaitable[bool]] = _trust_list

    @property
    def on_running(self) -> Callable[[EdgeTarget, Collection[str]], None]:
        """Called with the attempts that a listed run is at work on."""
        return self._questions.on_running

    @on_running.setter
    def on_running(
        self, on_running: Callable[[EdgeTarget, Collection[str]], None]
    ) -> None:
        self._questions.on_running = on_running

    def make_check(
        self,
        target: EdgeTarget,
        is_due: Callable[[], bool] = lambda: True,
        must_know: bool = True,
    ) -> "TargetRunCheck":
        """Returns the check of the connections of one send.

        Args:
            target: as it is listed.
            is_due: tells whether the target has to be asked, once there is a
                connection.
            must_know: whether the send needs an answer that names the start.
        """
        self._records.note_trial(target)
        return TargetRunCheck(
            self._records, self._questions, target, is_due, must_know
        )

    async def confirm_begin(
        self, target: EdgeTarget, connected_at_ms: int
    ) -> bool:
        """Tells whether what came over a connection was written by a run.

        If not, an unlisted process with the same name may have written it. A
        target that does not answer, or is gone, tells nothing: the one that
        stalled or died may have been such a process.
        """
        evidence = await self._find_evidence(target, connected_at_ms)
        self._log.emit(
            Event.TARGET_RUN_JUDGED,
            target=target.name,
            started_at_ms=target.started_at_ms,
            connected_ms=self._clock.now_ms() - connected_at_ms,
            evidence=evidence.value,
        )
        return evidence is not BeginEvidence.NONE

    async def _find_evidence(
        self, target: EdgeTarget, connected_at_ms: int
    ) -> BeginEvidence:
        if self._records.is_proven(target, connected_at_ms):
            return BeginEvidence.LISTING
        run = self._records.get(target)
        if connected_at_ms < run.since_ms:
            return self._compare_software(target, run.before, connected_at_ms)
        listed = self._targets.find(target.name)
        if listed is not None and listed.run_hash != target.run_hash:
            return self._compare_software(target, listed, connected_at_ms)
        state = await self._questions.ask_firmly(
            target, connected_at_ms, "origin"
        )
        # Its first answer says nothing of connections from before.
        is_its_own = connected_at_ms >= run.since_ms
        is_alive = state is RunState.LIVES and is_its_own
        return BeginEvidence.ANSWER if is_alive else BeginEvidence.NONE

    def _compare_software(
        self, target: EdgeTarget, other: EdgeTarget | None, connected_at_ms: int
    ) -> BeginEvidence:
        """Returns what another run of a name tells of a connection.

        Between two runs there may have been a process without an entry.
        """
        if other is None or other.software != target.software:
            return BeginEvidence.NONE
        is_proven = self._records.is_proven(other, connected_at_ms)
        return BeginEvidence.SOFTWARE if is_proven else BeginEvidence.NONE

    async def wait_proven(
        self, target: EdgeTarget, connected_at_ms: int, limit_ms: int
    ) -> bool:
        """Waits until the list can prove a connection; tells whether it does.

        Args:
            target: as it was listed.
            connected_at_ms: when the connection was established.
            limit_ms: the longest wait.
        """
        due_ms = connected_at_ms + self._records.lease_ms
        left_ms = due_ms - self._clock.now_ms()
        if left_ms > limit_ms:
            return False
        for wait_ms in (max(0, left_ms), READ_AGAIN_MS):
            await anyio.sleep(wait_ms / 1_000)
            listing_ms = self._records.find_listing_ms()
            is_old = listing_ms is None or listing_ms < due_ms
            if is_old and not await self.confirm_listing():
                break
            if not is_old or self._records.is_proven(target, connected_at_ms):
                break
        return self._records.is_proven(target, connected_at_ms)

    async def confirm_end(
        self, target: EdgeTarget, ended_at_ms: int, connected_at_ms: int
    ) -> bool:
        """Tells whether a run outlived the end of an answer.

        The connections of a process that dies may close in order as well, and
        another process may answer then.

        Args:
            target: as it is listed.
            ended_at_ms: when the answer ended.
            connected_at_ms: when the connection that it came over was
                established.
        """
        state = await self._questions.ask_firmly(target, ended_at_ms, "end")
        if not target.started_at_ms:
            # Where no start is listed, any answer is that of the target.
            return state is RunState.UNNAMED
        is_its_own = connected_at_ms >= self._records.get(target).since_ms
        return state is RunState.LIVES and is_its_own

    async def survey(self, targets: Iterable[EdgeTarget]) -> RunSurvey:
        """Asks targets which processes they are."""
        since_ms = self._clock.now_ms() - SURVEY_TTL_MS
        asked = [target for target in targets if target.started_at_ms]
        asked = asked[:MAX_SURVEYED]
        with anyio.move_on_after(SURVEY_TIMEOUT_MS / 1_000):
            async with anyio.create_task_group() as tasks:
                for target in asked:
                    tasks.start_soon(
                        self._questions.ask_firmly, target, since_ms, "take-up"
                    )
        states = {
            target.name: self._questions.find_state(target, since_ms)
            for target in asked
        }
        return RunSurvey(
            tuple(sorted(n for n, state in states.items() if state in _OTHERS)),
            tuple(
                sorted(
                    name
                    for name, state in states.items()
                    if state not in _OTHERS and state is not RunState.LIVES
                )
            ),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRunCheck:
    """Finds out whether a connection leads to the listed run of a target."""

    records: RunRecords
    questions: RunQuestions
    target: EdgeTarget
    is_due: Callable[[], bool]
    must_know: bool

    def is_needed(self, connected_at_ms: int) -> bool:
        """Tells whether the target has to be asked on a connection.

        Streams that break at the same moment share a question.
        """
        if not self.records.has_other(self.target):
            is_known = any(
                self.records.is_proven(self.target, at_ms)
                for at_ms in (connected_at_ms, connected_at_ms - RESTART_MS)
            )
            if is_known or not self.is_due():
                return False
        self.questions.note_first_question(self.target)
        return True

    def accepts(
        self, told_start_ms: int | None, connected_at_ms: int, asked_at_ms: int
    ) -> bool:
        """Tells whether a process is the listed run, by its own words."""
        state = self.questions.note_check(
            self.target, told_start_ms, connected_at_ms, asked_at_ms
        )
        if state is RunState.UNNAMED:
            # It does not speak against what another process has said.
            return not self.must_know and not self.records.has_other(
                self.target
            )
        return state is not RunState.REPLACED
