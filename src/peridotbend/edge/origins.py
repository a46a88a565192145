"""Finds out at which software version a stream began that is taken up."""

import collections
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.config import Route
from peridotbend.edge.ports import EdgeCall
from peridotbend.edge.promptparts import PromptParts
from peridotbend.edge.versions import KEPT_MS, VIEW_LAG_MS, VersionTimeline

# Bounds memory, at about 220 bytes each.
MAX_ATTEMPTS = 20_000
# Streams of an instance that was not heard of, or of an older version of this
# program, may go on for this long after it is heard of or was replaced.
DISTRUST_MS = 30_000
# Another instance counts as lost only this long after its last digest.
LOSS_NOTICE_MS = 2_000
# Pause after a failed attempt to read the history.
READ_RETRY_MS = 500


class History(Protocol):
    """Reads what happened before this process started."""

    async def read(self) -> bool:
        """Reads it once; tells whether it is known."""
        ...


class NoHistory:
    """There is nothing to read."""

    async def read(self) -> bool:
        """Returns False."""
        return False


async def _trust_list() -> bool:
    """Stands for a list of targets that always lacks nothing."""
    return True


class StreamOrigins:
    """The versions at which streams began, as far as they can be known.

    An instance remembers its own streams. For others it computes where they
    were placed. If the result is not the same for all times at which they may
    have begun, or if this process has not seen all that changed since then,
    the targets tell which of them have read the prompt.
    """

    def __init__(
        self,
        clock: Clock,
        timeline: VersionTimeline,
        parts: PromptParts,
        log: EventLog,
    ):
        self._clock = clock
        self._parts = parts
        self._timeline = timeline
        self._log = log
        self.history: History = NoHistory()
        # Tells whether the list of targets lacks nothing, after it has been
        # read again if need be.
        self.confirm_targets: Callable[[], Awaitable[bool]] = _trust_list
        # Version and time of the own streams, the oldest first.
        self._begun: collections.OrderedDict[str, tuple[str, int]] = (
            collections.OrderedDict()
        )
        # The longest time that a caller of each route was ready to wait.
        self._longest_ms: dict[str, int] = {}
        self._is_whole = False
        # While not all instances are heard of, and for some time after, one of
        # them may place streams as of this time.
        self._lost_at_ms: int | None = None
        self._distrust_until_ms = 0
        self._legacy_until_ms: int | None = None
        self._reading = anyio.Lock()
        self._read_after_ms = 0

    def note_call(self, call: EdgeCall, route: Route) -> None:
        """Records how long callers of a route are ready to wait."""
        if call.deadline_ms is not None:
            longest_ms = self._longest_ms.get(route.name, 0)
            self._longest_ms[route.name] = max(longest_ms, call.deadline_ms)

    def note_begun(self, call: EdgeCall, software: str) -> None:
        """Records the version at which the stream of a call began."""
        now_ms = self._clock.now_ms()
        attempt = call.resumes or call.attempt
        self._begun[attempt] = software, now_ms
        self._begun.move_to_end(attempt)
        while self._begun:
            oldest = next(iter(self._begun))
            is_old = self._begun[oldest][1] < now_ms - KEPT_MS
            if not is_old and len(self._begun) <= MAX_ATTEMPTS:
                return
            del self._begun[oldest]

    def note_fleet(self, is_whole: bool) -> None:
        """Records whether all other instances are heard of."""
        now_ms = self._clock.now_ms()
        if is_whole:
            if not self._is_whole and self._lost_at_ms is not None:
                self._distrust_until_ms = now_ms + DISTRUST_MS
        elif self._is_whole and now_ms >= self._distrust_until_ms:
            self._lost_at_ms = now_ms - LOSS_NOTICE_MS
        self._is_whole = is_whole

    def note_legacy_peer(self) -> None:
        """Records a peer that places streams without regard to versions."""
        self._legacy_until_ms = self._clock.now_ms() + DISTRUST_MS

    def has_legacy_peers(self) -> bool:
        """Tells whether such a peer was heard of lately."""
        until_ms = self._legacy_until_ms
        return until_ms is not None and self._clock.now_ms() < until_ms

    async def find(
        self, call: EdgeCall, route: Route, service: str
    ) -> str | None:
        """Returns the version at which a stream began, None if not certain."""
        known = self._begun.get(call.resumes)
        if known is not None:
            return known[0]
        # An instance that is cut off, or stood still, lacks what others know.
        is_current = await self.confirm_targets()
        since_ms = self._find_earliest_begin(call, route)
        covered_ms = self._timeline.covered_since_ms
        if covered_ms is None or covered_ms > since_ms:
            await self._read_history()
            covered_ms = self._timeline.covered_since_ms
        is_covered = covered_ms is not None and covered_ms <= since_ms
        versions = self._timeline.list_versions(service, since_ms)
        choices = versions
        if call.resumes and not self.has_legacy_peers():
            choices = self._timeline.list_choices(
                service, call.resumes, since_ms
            )
        placed = sorted(choices)
        is_observed = is_current and self._is_observed(since_ms)
        holders: set[str] | None = None
        if len(choices) != 1 or not is_observed:
            holders = await self._parts.find_versions(service, call.session)
        if holders is not None:
            choices = holders & choices if is_covered else holders
        elif not is_covered:
            choices = set()
        self._log.emit(
            Event.STREAM_TAKEN_UP,
            attempt=call.attempt,
            resumes=call.resumes,
            last_event=call.last_event_id,
            window_ms=self._clock.now_ms() - since_ms,
            is_covered=is_covered,
            versions=sorted(versions),
            placed=placed,
            is_observed=is_observed,
            holders=None if holders is None else sorted(holders),
            choices=sorted(choices),
        )
        return choices.pop() if len(choices) == 1 else None

    def _is_observed(self, since_ms: int) -> bool:
        """Tells whether this process has seen all changes since then itself."""
        observed_ms = self._timeline.observed_since_ms
        return observed_ms is not None and observed_ms <= since_ms

    def _find_earliest_begin(self, call: EdgeCall, route: Route) -> int:
        now_ms = self._clock.now_ms()
        longest_ms = max(route.timeout_ms, self._longest_ms.get(route.name, 0))
        age_ms = max(0, longest_ms - (call.deadline_ms or 0))
        since_ms = now_ms - age_ms
        is_distrusted = not self._is_whole or now_ms < self._distrust_until_ms
        if is_distrusted and self._lost_at_ms is not None:
            since_ms = min(since_ms, self._lost_at_ms)
        return since_ms - VIEW_LAG_MS

    async def _read_history(self) -> None:
        async with self._reading:
            if self._clock.now_ms() < self._read_after_ms:
                return
            if not await self.history.read():
                self._read_after_ms = self._clock.now_ms() + READ_RETRY_MS
