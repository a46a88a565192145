"""What an instance knows of the process behind the name of a target.

A name outlives its process. One that starts again under the name takes what
was meant for the process before it, and its entry may come later than its
first request. So an entry only tells who had the name some time before it was
read, and a connection leads to one process for as long as it lasts. Once it
has ended, nothing tells who answers next, unless the target is asked.
"""

import enum

from result import Ok

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import CallFailure, EventLog
from peridotbend.edge.ports import EdgeTargetClient
from peridotbend.edge.targets import EdgeTarget

# A live target answers within milliseconds, also in another zone.
ASK_TIMEOUT_MS = 250


class RunState(enum.StrEnum):
    """What a target tells of the process that is listed under its name."""

    # The listed process has answered.
    LIVES = "lives"
    # Another one has.
    REPLACED = "replaced"
    # A process has answered that does not name its start.
    UNNAMED = "unnamed"
    # Nothing listens there.
    GONE = "gone"
    # No answer, which tells nothing.
    UNREACHABLE = "unreachable"


class TargetRuns:
    """The runs of targets, by what they and their connections tell."""

    def __init__(self, clock: Clock, log: EventLog, client: EdgeTargetClient):
        self._clock = clock
        self._log = log
        self._client = client

    async def ask(self, target: EdgeTarget, purpose: str) -> RunState:
        """Asks a target who it is."""
        asked_at_ms = self._clock.now_ms()
        told = await self._client.read_start(target, ASK_TIMEOUT_MS)
        told_start_ms: int | None = None
        if isinstance(told, Ok):
            told_start_ms = told.ok_value
            state = _compare_starts(target, told_start_ms)
        elif told.err_value.failure is CallFailure.REFUSED:
            state = RunState.GONE
        else:
            state = RunState.UNREACHABLE
        self._log.emit(
            Event.TARGET_ASKED,
            target=target.name,
            purpose=purpose,
            state=state.value,
            started_at_ms=target.started_at_ms,
            told_start_ms=told_start_ms,
            took_ms=self._clock.now_ms() - asked_at_ms,
        )
        return state


def _compare_starts(target: EdgeTarget, told_start_ms: int | None) -> RunState:
    if told_start_ms is None or not target.started_at_ms:
        return RunState.UNNAMED
    if told_start_ms == target.started_at_ms:
        return RunState.LIVES
    return RunState.REPLACED
