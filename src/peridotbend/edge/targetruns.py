"""What an instance knows of the process behind the name of a target.

A name outlives its process. One that starts again under the name takes what
was meant for the process before it, and its entry may come later than its
first request. So an entry only tells who had the name some time before it was
read, and a connection leads to one process for as long as it lasts. Once it
has ended, nothing tells who answers next, unless the target is asked.
"""

import collections
import dataclasses
import enum
from collections.abc import Awaitable, Callable, Iterable

import anyio
from result import Ok

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import RESTART_MS, CallFailure, EventLog
from peridotbend.edge.ports import EdgeTargetClient
from peridotbend.edge.targets import EdgeTarget, TargetList

# A live target answers within milliseconds, but may be busy. Callers abandon a
# stream after a gap of two seconds at the earliest.
ASK_TIMEOUT_MS = 1_500
# A caller that takes up a stream waits for the answers of all targets.
SURVEY_TIMEOUT_MS = 250
# The platform removes an entry after three heartbeats without a write, so the
# writer of a listed entry was alive that long before.
LEASE_HEARTBEATS = 3
# Time for a write to reach the store, and for the store to remove the entry.
LEASE_MARGIN_MS = 500
# Limits what a short request waits for the answer of a target that is new.
FIRST_QUESTION_TIMEOUT_MS = 250
# Questions to a target whose answers tell nothing, as they are damaged or its
# connection fails.
MAX_QUESTIONS = 3
# Pause before the list is read again, as one that has just been read is not.
READ_AGAIN_MS = 250
# How long a target gets no streams after another process has answered. One of
# them asks it again then, so that a service is not lost; only the listed start
# ends what is known.
REPLACED_TTL_MS = 1_000
# All streams that are taken up within this time share the questions, and all
# that broke share those that were not answered.
SURVEY_TTL_MS = 500
# Limits the questions in the largest services; others are not asked.
MAX_SURVEYED = 256
# Bounds memory: two generations of the targets of the largest fleet.
MAX_RUNS = 16_384


class RunState(enum.StrEnum):
    """What a target tells of the process that is listed under its name."""

    # The listed process has answered.
    LIVES = "lives"
    # Another one has.
    REPLACED = "replaced"
    # A process has answered that does not name its start, which tells nothing.
    UNNAMED = "unnamed"
    # Nothing listens there.
    GONE = "gone"
    # No answer in time, which tells nothing.
    SILENT = "silent"
    # The connection failed, which tells nothing.
    UNREACHABLE = "unreachable"


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


_STATE_BY_FAILURE = {
    CallFailure.REFUSED: RunState.GONE,
    CallFailure.TIMEOUT: RunState.SILENT,
}
_UNANSWERED = frozenset((RunState.SILENT, RunState.UNREACHABLE))
_UNTOLD = frozenset((RunState.UNNAMED, RunState.UNREACHABLE))
# A process has answered that is not, or may not be, the listed run.
_OTHERS = frozenset((RunState.REPLACED, RunState.UNNAMED))


@dataclasses.dataclass(frozen=True, slots=True)
class RunSurvey:
    """What some targets tell of their processes, by name."""

    # Those that are, or may be, other processes than the listed ones.
    others: tuple[str, ...]
    # Those that have not answered. One that is gone can't be told from one
    # that has crashed.
    unanswered: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Run:
    """What is known of one run of a target.

    Connections that were established between `since_ms` and `proven_ms` lead
    to it.
    """

    # The run that had the name before, if it is known, and since when this one
    # may have it; 0 if no other is known of.
    before: EdgeTarget | None = None
    since_ms: int = 0
    # The latest time at which it is known to have had its name.
    proven_ms: int | None = None
    # When a connection to it first ended since then.
    ended_ms: int | None = None
    # Since when another process is known to have the name, until the listed
    # start is named again; and when it last said so, or was to be asked.
    other_ms: int | None = None
    replaced_ms: int | None = None
    # Whether it has yet to name its start, since it was listed. Until then the
    # process before may still answer, though the entry is there.
    awaits_name: bool = False
    # Questions before its first use that told nothing, and when the last one
    # was begun.
    first_questions: int = 0
    first_asked_ms: int = 0
    # When the target was last asked, and what followed.
    asked_ms: int = 0
    state: RunState | None = None


async def _trust_list() -> bool:
    """Stands for a list of targets that always lacks nothing."""
    return True


class TargetRuns:
    """The runs of targets, by what they and their connections tell."""

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        targets: TargetList,
        client: EdgeTargetClient,
        heartbeat_ms: int,
    ):
        """Creates the table.

        Args:
            clock: source of time.
            log: receives what targets tell.
            targets: those that are listed.
            client: asks targets.
            heartbeat_ms: how often a target writes its entry.
        """
        self._clock = clock
        self._log = log
        self._targets = targets
        self._client = client
        self._lease_ms = LEASE_HEARTBEATS * heartbeat_ms + LEASE_MARGIN_MS
        # Returns the time as of which the list of targets is known.
        self.find_listing_ms: Callable[[], int | None] = lambda: None
        # Reads the list again, unless that was done just now.
        self.confirm_listing: Callable[[], Awaitable[bool]] = _trust_list
        # By the hash of the run, the one that changed last at the end.
        self._runs: collections.OrderedDict[int, _Run] = (
            collections.OrderedDict()
        )
        # By name, the last run that is no longer listed, the latest at the end.
        self._unlisted: collections.OrderedDict[str, EdgeTarget] = (
            collections.OrderedDict()
        )
        # Set when the question that is under way to a run has ended.
        self._asking: dict[int, anyio.Event] = {}

    def note_end(self, target: EdgeTarget) -> None:
        """Records that a connection to a target ended unexpectedly."""
        if self._find_ended_ms(target) is None:
            self._get_run(target).ended_ms = self._clock.now_ms()

    def note_early_close(self, name: str) -> None:
        """Records that a target closed an idle connection before its time.

        The connections of a process that ends are closed.
        """
        target = self._targets.find(name)
        if target is not None:
            self.note_end(target)

    def note_listed(self, target: EdgeTarget) -> None:
        """Records that a run is listed, perhaps after another of its name."""
        before = self._unlisted.pop(target.name, None)
        listed = self._targets.find(target.name)
        if before is not None and before.run_hash != target.run_hash:
            self.note_taken_over(target, before)
        elif target.run_hash not in self._runs and (
            listed is None or listed.run_hash != target.run_hash
        ):
            # This process has not seen who had the name before.
            run = self._get_run(target)
            run.awaits_name = bool(target.started_at_ms)
            run.since_ms = self._clock.now_ms()

    def note_taken_over(self, target: EdgeTarget, before: EdgeTarget) -> None:
        """Records that a run is listed under the name of another one.

        The old process may still answer, or the new one not yet.
        """
        run = self._get_run(target)
        run.before = before
        run.since_ms = run.ended_ms = self._clock.now_ms()
        run.awaits_name = bool(target.started_at_ms)
        run.first_questions = 0

    def note_unlisted(self, target: EdgeTarget) -> None:
        """Records that a run is no longer listed, or is about to be."""
        self._get_run(target).proven_ms = self._find_proven_ms(target)
        self._unlisted.pop(target.name, None)
        self._unlisted[target.name] = target
        if len(self._unlisted) > MAX_RUNS:
            self._unlisted.popitem(last=False)

    def note_start(
        self,
        target: EdgeTarget,
        told_ms: int | None,
        asked_at_ms: int,
        connected_at_ms: int | None = None,
    ) -> RunState:
        """Records the start that the process at a target's address names.

        Args:
            target: as it is listed.
            told_ms: the start; None if the process names none.
            asked_at_ms: when it was asked.
            connected_at_ms: when the connection was established on which it
                was asked, if that is known.
        """
        run = self._get_run(target)
        if told_ms is None or not target.started_at_ms:
            return RunState.UNNAMED
        if told_ms == target.started_at_ms:
            run.proven_ms = max(run.proven_ms or 0, asked_at_ms)
            run.replaced_ms = run.other_ms = None
            if run.awaits_name:
                # Connections from before may lead to the process before.
                run.awaits_name = False
                run.since_ms = (
                    asked_at_ms if connected_at_ms is None else connected_at_ms
                )
            elif connected_at_ms is not None:
                run.since_ms = min(run.since_ms, connected_at_ms)
            if run.ended_ms is not None and run.ended_ms <= asked_at_ms:
                run.ended_ms = None
            return RunState.LIVES
        if told_ms < target.started_at_ms:
            # The process before still answers, though this one is listed.
            run.since_ms = self._clock.now_ms()
        is_known = run.other_ms is not None
        run.replaced_ms = self._clock.now_ms()
        run.other_ms = min(
            asked_at_ms if connected_at_ms is None else connected_at_ms,
            asked_at_ms if run.other_ms is None else run.other_ms,
        )
        self.note_end(target)
        if not is_known:
            self._log.emit(
                Event.TARGET_REPLACED,
                target=target.name,
                service=target.service,
                software=target.software,
                started_at_ms=target.started_at_ms,
                told_start_ms=told_ms,
            )
        return RunState.REPLACED

    def note_answered(
        self, target: EdgeTarget, connected_at_ms: int, sent_at_ms: int
    ) -> None:
        """Records that a request was answered.

        A run that answers lived when the request was sent, so connections that
        were established before lead to it as well.

        Args:
            target: as it is listed.
            connected_at_ms: when the connection was established.
            sent_at_ms: when the request was about to be sent, at the latest.
        """
        if not target.started_at_ms or sent_at_ms <= connected_at_ms:
            return
        proven_ms = self._find_proven_ms(target)
        if proven_ms is not None and proven_ms >= sent_at_ms:
            return
        if self.is_proven(target, connected_at_ms):
            self._get_run(target).proven_ms = sent_at_ms

    def is_proven(self, target: EdgeTarget, connected_at_ms: int) -> bool:
        """Tells whether a connection is known to lead to a run.

        The run had its name after the connection was established.
        """
        if not target.started_at_ms:
            # Its runs can't be told apart.
            return True
        run = self._runs.get(target.run_hash)
        if run is not None and connected_at_ms < run.since_ms:
            return False
        proven_ms = self._find_proven_ms(target)
        return proven_ms is not None and proven_ms >= connected_at_ms

    def is_replaced(self, target: EdgeTarget) -> bool:
        """Tells whether a target gets no streams, as another one has its name.

        That ends now and then, so that the target is asked again.
        """
        if not self._runs:
            return False
        run = self._runs.get(target.run_hash)
        if run is None or run.replaced_ms is None:
            return False
        return self._clock.now_ms() < run.replaced_ms + REPLACED_TTL_MS

    def has_other(self, target: EdgeTarget) -> bool:
        """Tells whether another process was the last that named its start."""
        run = self._runs.get(target.run_hash)
        return run is not None and run.other_ms is not None

    def note_trial(self, target: EdgeTarget) -> None:
        """Records that a stream is about to ask a target that was replaced."""
        run = self._runs.get(target.run_hash)
        if run is not None and run.other_ms is not None:
            run.replaced_ms = self._clock.now_ms()

    def is_doubtful(self, target: EdgeTarget) -> bool:
        """Tells whether a connection has ended since a run was last proven."""
        return self._find_ended_ms(target) is not None

    def awaits_name(self, target: EdgeTarget) -> bool:
        """Tells whether a run has to name its start before it is used.

        One whose answers tell nothing is used all the same.
        """
        run = self._runs.get(target.run_hash)
        if run is None or not run.awaits_name:
            return False
        return run.first_questions < MAX_QUESTIONS

    def tells_nothing(self, target: EdgeTarget) -> bool:
        """Tells whether a run has been asked in vain since it was listed."""
        run = self._runs.get(target.run_hash)
        return (
            run is not None
            and run.awaits_name
            and run.first_questions >= MAX_QUESTIONS
        )

    def note_first_question(self, target: EdgeTarget) -> None:
        """Records that a target is asked before its first use.

        Sends that begin at the same moment count once.
        """
        run, now_ms = self._get_run(target), self._clock.now_ms()
        if run.awaits_name and now_ms >= run.first_asked_ms + ASK_TIMEOUT_MS:
            run.first_asked_ms = now_ms
            run.first_questions += 1

    def note_untold(self, target: EdgeTarget) -> None:
        """Records that a send to a target failed, and with it its question."""
        run = self._runs.get(target.run_hash)
        if run is not None and run.awaits_name:
            run.first_questions += 1

    async def ask_first(self, target: EdgeTarget) -> None:
        """Asks a target before its first use for requests that may not wait.

        What it answers decides later whether an answer that has neither length
        nor chunks is whole.
        """
        if not self.awaits_name(target):
            return
        self.note_first_question(target)
        with anyio.move_on_after(FIRST_QUESTION_TIMEOUT_MS / 1_000):
            await self._ask_together(target, self._get_run(target), "first")

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
        self.note_trial(target)
        return TargetRunCheck(self, target, is_due, must_know)

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
        if self.is_proven(target, connected_at_ms):
            return BeginEvidence.LISTING
        run = self._get_run(target)
        if connected_at_ms < run.since_ms:
            return self._compare_software(target, run.before, connected_at_ms)
        listed = self._targets.find(target.name)
        if listed is not None and listed.run_hash != target.run_hash:
            return self._compare_software(target, listed, connected_at_ms)
        state = await self._ask_firmly(target, connected_at_ms, "origin")
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
        is_proven = self.is_proven(other, connected_at_ms)
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
        due_ms = connected_at_ms + self._lease_ms
        left_ms = due_ms - self._clock.now_ms()
        if left_ms > limit_ms:
            return False
        for wait_ms in (max(0, left_ms), READ_AGAIN_MS):
            await anyio.sleep(wait_ms / 1_000)
            listing_ms = self.find_listing_ms()
            is_old = listing_ms is None or listing_ms < due_ms
            if is_old and not await self.confirm_listing():
                break
            if not is_old or self.is_proven(target, connected_at_ms):
                break
        return self.is_proven(target, connected_at_ms)

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
        state = await self._ask_firmly(target, ended_at_ms, "end")
        if not target.started_at_ms:
            # Where no start is listed, any answer is that of the target.
            return state is RunState.UNNAMED
        is_its_own = connected_at_ms >= self._get_run(target).since_ms
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
                        self._ask_firmly, target, since_ms, "take-up"
                    )
        states = {
            target.name: self._find_state(target, since_ms) for target in asked
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

    def _find_state(self, target: EdgeTarget, since_ms: int) -> RunState:
        """Returns what a target has answered since a time."""
        run = self._get_run(target)
        if run.state is None or run.asked_ms < since_ms:
            return RunState.SILENT
        return run.state

    async def _ask_firmly(
        self, target: EdgeTarget, since_ms: int, purpose: str
    ) -> RunState:
        """Asks as `_ask_since`, and again if the answer tells nothing.

        A kept connection may have been about to be reset, and a target in
        trouble may send a damaged answer now and then.
        """
        state = await self._ask_since(target, since_ms, purpose)
        run = self._get_run(target)
        for _ in range(MAX_QUESTIONS - 1):
            if state not in _UNTOLD:
                break
            await self._ask_together(target, run, purpose)
            state = run.state or state
        return state

    async def _ask_since(
        self, target: EdgeTarget, since_ms: int, purpose: str
    ) -> RunState:
        """Returns what a target has answered since a time; asks if need be.

        One that did not answer may do so soon after.
        """
        run = self._get_run(target)
        if run.state in _UNANSWERED:
            since_ms = max(since_ms, self._clock.now_ms() - SURVEY_TTL_MS)
        while run.state is None or run.asked_ms < since_ms:
            await self._ask_together(target, run, purpose)
        return run.state

    async def _ask_together(
        self, target: EdgeTarget, run: _Run, purpose: str
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

    def note_check(
        self,
        target: EdgeTarget,
        told_ms: int | None,
        connected_at_ms: int,
        asked_at_ms: int,
    ) -> RunState:
        """Records the answer on the connection of a send, before it is sent."""
        state = self.note_start(target, told_ms, asked_at_ms, connected_at_ms)
        if state is RunState.UNNAMED:
            self._get_run(target).first_questions += 1
        self._log_asked(target, "send", state, told_ms, asked_at_ms)
        return state

    async def _ask(self, target: EdgeTarget, run: _Run, purpose: str) -> None:
        asked_at_ms = self._clock.now_ms()
        told = await self._client.read_start(target, ASK_TIMEOUT_MS)
        told_start_ms: int | None = None
        if isinstance(told, Ok):
            told_start_ms = told.ok_value
            state = self.note_start(target, told_start_ms, asked_at_ms)
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

    def _find_proven_ms(self, target: EdgeTarget) -> int | None:
        """Returns the latest time at which a run is known to have its name.

        Neither its entry nor an old connection tells of a time at which another
        process had answered.
        """
        proven_ms = self._find_shown_ms(target)
        run = self._runs.get(target.run_hash)
        if proven_ms is None or run is None or run.other_ms is None:
            return proven_ms
        return min(proven_ms, run.other_ms - 1)

    def _find_shown_ms(self, target: EdgeTarget) -> int | None:
        run = self._runs.get(target.run_hash)
        proven_ms = run.proven_ms if run is not None else None
        listed = self._targets.find(target.name)
        listing_ms = self.find_listing_ms()
        if listed is None or listing_ms is None:
            return proven_ms
        if listed.run_hash != target.run_hash:
            return proven_ms
        if not self._targets.has_entry(target.name):
            return proven_ms
        listed_ms = listing_ms - self._lease_ms
        return listed_ms if proven_ms is None else max(proven_ms, listed_ms)

    def _find_ended_ms(self, target: EdgeTarget) -> int | None:
        """Returns when a connection first ended since the latest proof."""
        run = self._runs.get(target.run_hash)
        if run is None or run.ended_ms is None:
            return None
        proven_ms = self._find_proven_ms(target)
        if proven_ms is not None and proven_ms >= run.ended_ms:
            return None
        return run.ended_ms

    def _get_run(self, target: EdgeTarget) -> _Run:
        key = target.run_hash
        run = self._runs.get(key)
        if run is None:
            run = self._runs[key] = _Run()
            if len(self._runs) > MAX_RUNS:
                self._runs.popitem(last=False)
        return run


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRunCheck:
    """Finds out whether a connection leads to the listed run of a target."""

    runs: TargetRuns
    target: EdgeTarget
    is_due: Callable[[], bool]
    must_know: bool

    def is_needed(self, connected_at_ms: int) -> bool:
        """Tells whether the target has to be asked on a connection.

        Streams that break at the same moment share a question.
        """
        if not self.runs.has_other(self.target):
            is_known = any(
                self.runs.is_proven(self.target, at_ms)
                for at_ms in (connected_at_ms, connected_at_ms - RESTART_MS)
            )
            if is_known or not self.is_due():
                return False
        self.runs.note_first_question(self.target)
        return True

    def accepts(
        self, told_start_ms: int | None, connected_at_ms: int, asked_at_ms: int
    ) -> bool:
        """Tells whether a process is the listed run, by its own words."""
        state = self.runs.note_check(
            self.target, told_start_ms, connected_at_ms, asked_at_ms
        )
        if state is RunState.UNNAMED:
            # It does not speak against what another process has said.
            return not self.must_know and not self.runs.has_other(self.target)
        return state is not RunState.REPLACED
