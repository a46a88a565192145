"""Waiting requests and the targets granted to them."""

import dataclasses
from collections.abc import Callable

import anyio
from result import Result

from peridotbend.domain.accounts import AccountHold
from peridotbend.domain.clock import Clock
from peridotbend.domain.ordering import QueueEntry
from peridotbend.domain.pauses import PauseDetector
from peridotbend.domain.placement import RoutingPolicy
from peridotbend.domain.targetuse import TargetUse
from peridotbend.domain.text import Target
from peridotbend.domain.verdicts import NotRun
from peridotbend.domain.work import GrantOutcome, WorkItem

# Outcomes that mean that nothing was written to the target.
UNSENT_OUTCOMES = (GrantOutcome.NOT_WRITTEN, GrantOutcome.CONNECT_FAILED)


class Grant:
    """The right of one request to use a target; `finish` ends it once."""

    def __init__(
        self,
        target: Target,
        item: WorkItem,
        hold: AccountHold,
        use: TargetUse,
        router: RoutingPolicy,
        clock: Clock,
        pauses: PauseDetector,
        release: Callable[["Grant", GrantOutcome], None],
    ):
        self.target = target
        self.item = item
        self.hold = hold
        self.use = use
        self._router = router
        self._clock = clock
        self._pauses = pauses
        self._release = release
        self._granted_at_ms = clock.now_ms()
        self._in_flight_before = use.in_flight_work
        self._allowance = use.allowance
        self._had_first_output = False
        self._finished = False
        use.add(item)
        router.record_dispatch(target.name, item)

    def record_first_output(self) -> None:
        """Records the first output; later calls have no effect."""
        if self._had_first_output or self._finished:
            return
        self._had_first_output = True
        if self._pauses.paused_since(self._granted_at_ms):
            return
        elapsed_ms = self._clock.now_ms() - self._granted_at_ms
        self.use.window.record_first_output(
            self.item.work.prompt_tokens,
            elapsed_ms,
            self._in_flight_before,
            self._granted_at_ms,
            self._allowance,
        )
        self._router.record_first_output(
            self.target.name, self.item, elapsed_ms
        )

    def finish(self, outcome: GrantOutcome, output_tokens: int = 0) -> None:
        """Releases the target and reports the outcome of the request.

        Raises:
            RuntimeError: the grant is already finished.
        """
        if self._finished:
            raise RuntimeError(
                f"the grant of {self.target.name} to request {self.item.key}"
                " was finished twice; finish each grant once"
            )
        self._finished = True
        self._report(outcome, output_tokens)
        self._release(self, outcome)

    def _report(self, outcome: GrantOutcome, output_tokens: int) -> None:
        name, now_ms = self.target.name, self._clock.now_ms()
        paused = self._pauses.paused_since(self._granted_at_ms)
        if outcome is GrantOutcome.COMPLETED and not paused:
            elapsed_ms = now_ms - self._granted_at_ms
            self._router.record_finish(
                name, self.item, output_tokens, elapsed_ms
            )
        elif outcome in (GrantOutcome.NOT_WRITTEN, GrantOutcome.COMPLETED):
            # The outcome tells nothing about the speed of the target.
            self._router.record_unsent(name, self.item)
        else:
            self._router.record_failure(name, self.item)
        if outcome is GrantOutcome.TIMED_OUT and not paused:
            self.use.window.record_timeout(self._granted_at_ms, now_ms)


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class Waiter(QueueEntry):
    """A request waiting in `Scheduler.acquire`; `result` is set only once."""

    hold: AccountHold
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    result: Result[Grant, NotRun] | None = None

    def resolve(self, result: Result[Grant, NotRun]) -> None:
        """Sets the result and wakes the caller."""
        assert self.result is None, "a waiting request is resolved only once"
        self.result = result
        self.done.set()
