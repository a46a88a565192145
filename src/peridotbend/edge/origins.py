"""Finds out at which software version a stream began that is taken up."""

import dataclasses
from collections.abc import Awaitable, Callable, Collection
from typing import Protocol

import anyio

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.callerlimits import RETURN_MS, CallerLimits
from peridotbend.edge.config import Route
from peridotbend.edge.fleetgaps import FleetGaps
from peridotbend.edge.originbasis import OriginBasis
from peridotbend.edge.ports import EdgeCall
from peridotbend.edge.promptparts import PartSurvey, PromptParts
from peridotbend.edge.runrecords import RunRecords
from peridotbend.edge.streamnotices import INTERVAL_MS, StreamNotices
from peridotbend.edge.streamrecords import (
    BegunStream,
    StreamRecords,
    hash_attempt,
)
from peridotbend.edge.targetruns import RunSurvey, TargetRuns
from peridotbend.edge.targets import EdgeTarget
from peridotbend.edge.versions import (
    UNKNOWN_VERSION,
    VIEW_LAG_MS,
    VersionTimeline,
)

# Streams of an older version of this program may go on for this long after it
# was replaced.
DISTRUST_MS = 30_000
# How long a caller that takes up a stream waits for the end of a doubt, in
# which the list of targets may come to prove who began it.
TAKE_UP_WAIT_MS = 2_000
# Pause between questions to the other instances meanwhile.
ASK_AGAIN_MS = 250
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


class OriginWitnesses(Protocol):
    """The other instances, which have seen streams begin."""

    async def ask(self, attempt: str, is_repeated: bool = False) -> str | None:
        """Returns the version at which a stream began; None if not known.

        Args:
            attempt: that began it.
            is_repeated: whether a doubt that others told may be over.
        """
        ...

    async def ask_live(self, attempt: str, limit_ms: int) -> bool:
        """Tells whether all live instances answered in time, or one knows."""
        ...

    def tell(self, stream: BegunStream) -> None:
        """Tells others of a stream of this instance."""
        ...


class NoWitnesses:
    """There are no other instances."""

    async def ask(self, attempt: str, is_repeated: bool = False) -> str | None:
        """Returns None."""
        return None

    async def ask_live(self, attempt: str, limit_ms: int) -> bool:
        """Returns True."""
        return True

    def tell(self, stream: BegunStream) -> None:
        """Does nothing."""


async def _trust_list() -> bool:
    """Stands for a list of targets that always lacks nothing."""
    return True


@dataclasses.dataclass(frozen=True, slots=True)
class _Finding:
    """What is found out of the version of a stream."""

    # The versions that have served since it may have begun, and those of them
    # at which its attempt may have been placed.
    versions: set[str]
    placed: set[str]
    # Those that are left.
    choices: set[str]
    # Whether all live instances have answered that were asked, and the version
    # that they told or that a target at work on it has.
    is_answered: bool = True
    told: str | None = None
    # What the targets keep of its prompt; None if they were not asked.
    survey: PartSurvey | None = None

    def describe(self) -> dict[str, object]:
        """Returns the fields of a log line."""
        survey = self.survey
        return {
            "versions": sorted(self.versions),
            "placed": sorted(self.placed),
            "is_answered": self.is_answered,
            "recorded": self.told,
            "holders": sorted(survey.holders) if survey else None,
            "possible": sorted(survey.possible) if survey else None,
        }


class StreamOrigins:
    """The versions at which streams began, as far as they can be known.

    An instance remembers its own streams. Of others it asks all instances, if
    their service has several versions or if this process has not seen all that
    changed since they may have begun: the one that began a stream knows, and
    has told others of it. If none of them knows, a target may still be at work
    on the attempt, which was sent to one version only. Otherwise the instance
    computes where the stream was placed. If that is not the same for all times
    at which it may have begun, the targets tell which of them keep the prompt.
    A target may keep it from an earlier request, so the other versions have to
    be ruled out.
    """

    def __init__(
        self,
        clock: Clock,
        timeline: VersionTimeline,
        records: StreamRecords,
        parts: PromptParts,
        run_records: RunRecords,
        runs: TargetRuns,
        limits: CallerLimits,
        log: EventLog,
    ):
        self._clock = clock
        self._run_records = run_records
        self._runs = runs
        self._parts = parts
        self._timeline = timeline
        self._log = log
        self._records = records
        self.history: History = NoHistory()
        self.witnesses: OriginWitnesses = NoWitnesses()
        # Tells whether the list of targets lacks nothing, after it has been
        # read again if need be.
        self.confirm_targets: Callable[[], Awaitable[bool]] = _trust_list
        self.limits = limits
        self.notices = StreamNotices(clock, timeline, limits)
        self.notices.tell = self._tell_certain
        self._gaps = FleetGaps(clock)
        self._legacy_until_ms: int | None = None
        # Own streams of which others ask, or are to be told, by attempt.
        self._unconfirmed: dict[str, tuple[BegunStream, bool]] = {}
        self._has_unconfirmed = anyio.Event()
        self._reading = anyio.Lock()
        self._read_after_ms = 0
        timeline.on_change = self._tell_moved
        runs.on_running = self._note_running

    def note_call(self, call: EdgeCall, route: Route) -> None:
        """Records how long callers of a route are ready to wait."""
        self.limits.note_call(call, route)

    def note_begun(
        self, call: EdgeCall, target: EdgeTarget, connected_at_ms: int = 0
    ) -> BegunStream:
        """Records what sent the first event of the stream of a call.

        Args:
            call: that the target answers.
            target: as it is listed.
            connected_at_ms: when the connection to it was established.
        """
        attempt = call.resumes or call.attempt
        stream = self._records.note_begun(
            attempt, target.service, target.software, target, connected_at_ms
        )
        self.notices.note_begun(stream)
        age_ms = self.limits.longest_ms + RETURN_MS
        since_ms = self._clock.now_ms() - age_ms - VIEW_LAG_MS
        choices = self._timeline.list_choices(target.service, attempt, since_ms)
        if choices != {target.software}:
            self._tell(stream)
        return stream

    async def confirm(self, stream: BegunStream) -> bool:
        """Tells whether an own stream began at the version that is recorded.

        Others are told if nobody can know.
        """
        if self.is_certain(stream):
            if stream.is_uncertain:
                # The list has proven its connection since.
                self.witnesses.tell(self._records.note_outcome(stream, True))
            return True
        if stream.is_uncertain:
            return False
        assert stream.target is not None, "others are certain"
        is_right = await self._runs.confirm_begin(
            stream.target, stream.connected_at_ms
        )
        outcome = self._records.note_outcome(stream, is_right)
        if is_right:
            return True
        self._log.emit(
            Event.STREAM_ORIGIN_UNCERTAIN,
            attempt=stream.attempt,
            target=stream.target.name,
            software=stream.software,
            started_at_ms=stream.target.started_at_ms,
        )
        self.witnesses.tell(outcome)
        return False

    async def wait_confirmed(self, stream: BegunStream, limit_ms: int) -> bool:
        """Confirms a stream as soon as the list of targets may prove it."""
        until_ms = self._clock.now_ms() + limit_ms
        if await self.confirm(stream):
            return True
        assert stream.target is not None, "others are certain"
        # The questions may have taken most of the time.
        left_ms = until_ms - self._clock.now_ms()
        return await self._runs.wait_proven(
            stream.target, stream.connected_at_ms, left_ms
        ) and await self.confirm(self.find_own(stream))

    async def prove(self, stream: BegunStream) -> None:
        """Asks who began an own stream that still runs.

        Unlike `confirm`, it takes no answer as no evidence against it.
        """
        own = self.find_own(stream)
        if own.target is None or self.is_certain(own):
            return
        if await self._runs.confirm_begin(own.target, own.connected_at_ms):
            self._records.note_outcome(own, True)

    def find_own(self, stream: BegunStream) -> BegunStream:
        """Returns what is recorded now of an own stream."""
        return self._records.find_begun(hash_attempt(stream.attempt)) or stream

    def is_certain(self, stream: BegunStream) -> bool:
        """Tells whether the version of an own stream is known to be right."""
        return (
            stream.target is None
            or stream.is_confirmed
            or self._run_records.is_proven(
                stream.target, stream.connected_at_ms
            )
        )

    def confirm_later(self, stream: BegunStream) -> None:
        """Finds out whether the version of an own stream is right."""
        self._unconfirmed.setdefault(stream.attempt, (stream, False))
        self._has_unconfirmed.set()

    async def run(self) -> None:
        """Confirms the streams that others need to know, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tell_lasting)
            while True:
                await self._has_unconfirmed.wait()
                self._has_unconfirmed = anyio.Event()
                due, self._unconfirmed = self._unconfirmed, {}
                for stream, is_told in due.values():
                    tasks.start_soon(self._confirm_and_tell, stream, is_told)

    async def _tell_lasting(self) -> None:
        while True:
            await anyio.sleep(INTERVAL_MS / 1_000)
            self.notices.tell_lasting()

    def _tell_certain(self, stream: BegunStream) -> bool:
        """Tells others of an own stream if its version is known."""
        own = self.find_own(stream)
        if own.is_uncertain or not self.is_certain(own):
            return False
        self.witnesses.tell(own)
        return True

    def _tell(self, stream: BegunStream) -> None:
        """Tells others of an own stream once its version is known."""
        if self.is_certain(stream):
            self.witnesses.tell(stream)
            return
        self._unconfirmed[stream.attempt] = (stream, True)
        self._has_unconfirmed.set()

    async def _confirm_and_tell(
        self, stream: BegunStream, is_told: bool
    ) -> None:
        if await self.confirm(stream) and is_told:
            self.witnesses.tell(stream)

    def _tell_moved(self, service: str) -> None:
        """Tells others of the streams that would now be placed elsewhere."""
        age_ms = self.limits.longest_ms + RETURN_MS
        since_ms = self._clock.now_ms() - age_ms
        for stream in self._records.list_begun(service, since_ms):
            chosen = self._timeline.choose(service, stream.attempt)
            if chosen != stream.software and not stream.is_uncertain:
                self._tell(stream)

    def _note_running(
        self, target: EdgeTarget, attempts: Collection[str]
    ) -> None:
        """Records the attempts that a target was seen at work on."""
        for attempt in attempts:
            self._records.note_running(hash_attempt(attempt), target.software)

    def note_fleet(self, is_whole: bool) -> None:
        """Records whether all other instances are heard of."""
        self._gaps.note_fleet(is_whole)

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
        # What the caller has left was true before the questions that follow.
        asked_at_ms = self._clock.now_ms()
        key = hash_attempt(call.resumes)
        await self._settle(key, call)
        known = self._records.find(key)
        if known is not None or self._records.is_uncertain(key):
            self._log.emit(
                Event.STREAM_TAKEN_UP,
                attempt=call.attempt,
                resumes=call.resumes,
                last_event=call.last_event_id,
                recorded=known,
            )
            return known
        basis = await self._find_basis(call, route, service, asked_at_ms)
        finding = await self._investigate(key, call, service, basis)
        choices = finding.choices
        if UNKNOWN_VERSION in choices:
            choices = set()
        runs = RunSurvey((), ())
        if len(choices) == 1:
            # The list of targets may lag behind one that began the stream.
            (chosen,) = choices
            runs = await self._survey_runs(service, chosen)
            is_open = bool(runs.unanswered) or self._timeline.has_lost_target(
                service, chosen, basis.placed_since_ms
            )
            if runs.others:
                choices = set()
            elif is_open and call.resumes and finding.told is None:
                choices = await self._narrow_by_witnesses(key, call, choices)
        self._log.emit(
            Event.STREAM_TAKEN_UP,
            attempt=call.attempt,
            resumes=call.resumes,
            last_event=call.last_event_id,
            **basis.describe(),
            **finding.describe(),
            running=self._records.find_running(key),
            replaced=list(runs.others),
            unanswered=list(runs.unanswered),
            choices=sorted(choices),
        )
        return next(iter(choices)) if len(choices) == 1 else None

    async def _investigate(
        self, key: int, call: EdgeCall, service: str, basis: OriginBasis
    ) -> _Finding:
        """Returns what the placement, other instances and targets tell."""
        since_ms = basis.placed_since_ms
        versions = self._timeline.list_versions(service, since_ms)
        placed = versions
        if call.resumes and not self.has_legacy_peers():
            placed = self._timeline.list_choices(
                service, call.resumes, since_ms
            )
        is_known = basis.is_covered and basis.is_observed
        if is_known and not self._timeline.has_versions(service):
            return _Finding(versions, placed, placed)
        # The instance that began the stream knows, however it placed it.
        is_answered = not call.resumes or await self.witnesses.ask_live(
            call.resumes, TAKE_UP_WAIT_MS
        )
        told = self._records.find(key) if call.resumes else None
        if told is not None:
            return _Finding(versions, placed, {told}, is_answered, told)
        if self._records.is_uncertain(key) or not is_answered:
            # Its own instance says that nobody can know, or may know it.
            return _Finding(versions, placed, set(), is_answered)
        if len(placed) == 1 and is_known:
            return _Finding(versions, placed, placed)
        if call.resumes:
            await self._runs.survey(self._timeline.list_targets(service))
            running = self._records.find(key)
            if running is not None:
                return _Finding(versions, placed, {running}, told=running)
        if not basis.is_covered:
            # A version that has gone unseen may have begun it.
            return _Finding(versions, placed, set())
        survey = await self._parts.find_holders(service, call.session)
        choices = self._narrow(placed, survey, service, since_ms)
        return _Finding(versions, placed, choices, survey=survey)

    async def _settle(self, key: int, call: EdgeCall) -> None:
        """Waits for the end of a doubt about a stream, if it may end soon."""
        begun = self._records.find_begun(key)
        if begun is not None:
            await self.wait_confirmed(begun, TAKE_UP_WAIT_MS)
            return
        until_ms = self._clock.now_ms() + TAKE_UP_WAIT_MS
        while (
            self._records.is_uncertain(key) and self._clock.now_ms() < until_ms
        ):
            await anyio.sleep(ASK_AGAIN_MS / 1_000)
            await self.witnesses.ask(call.resumes, is_repeated=True)

    async def _survey_runs(self, service: str, software: str) -> RunSurvey:
        """Asks the targets of a version which processes they are now."""
        return await self._runs.survey(
            target
            for target in self._timeline.list_targets(service)
            if target.software == software
        )

    async def _narrow_by_witnesses(
        self, key: int, call: EdgeCall, choices: set[str]
    ) -> set[str]:
        """Returns the versions that the instance that began a stream allows."""
        if not await self.witnesses.ask_live(call.resumes, TAKE_UP_WAIT_MS):
            # The one that began it may be asking what is left of its target.
            return set()
        await self._settle(key, call)
        told = self._records.find(key)
        if told is None and not self._records.is_uncertain(key):
            return choices
        return choices & {told}

    def _narrow(
        self,
        placed: set[str],
        survey: PartSurvey | None,
        service: str,
        since_ms: int,
    ) -> set[str]:
        """Returns the versions that what the targets keep leaves possible.

        A version is ruled out if all of its targets have answered and do not
        keep the prompt, and none went since the stream may have begun. A target
        that keeps it may have read it for another request of the session, so
        that it proves nothing. A version that is not known can't be ruled out.
        """
        if survey is None or UNKNOWN_VERSION in placed:
            return placed
        left = {
            version
            for version in placed
            if version in survey.possible
            or self._timeline.has_lost_target(service, version, since_ms)
        }
        return left if len(left) > 1 else left & survey.holders.keys()

    async def _find_basis(
        self, call: EdgeCall, route: Route, service: str, asked_at_ms: int
    ) -> OriginBasis:
        """Returns what can be known of the begin of a stream."""
        # An instance that is cut off, or stood still, lacks what others know.
        is_current = await self.confirm_targets()
        basis = self._make_basis(call, route, service, asked_at_ms, is_current)
        if not basis.is_covered or basis.oldest_view_ms is None:
            await self._read_history()
            basis = self._make_basis(
                call, route, service, asked_at_ms, is_current
            )
        return basis

    def _make_basis(
        self,
        call: EdgeCall,
        route: Route,
        service: str,
        asked_at_ms: int,
        is_current: bool,
    ) -> OriginBasis:
        limit_ms = self.limits.find_longest_ms(route)
        stated_ms = asked_at_ms - self.limits.find_age_ms(call, route)
        stated_view_ms = self._gaps.find_oldest_view(stated_ms)
        begin_ms = asked_at_ms - limit_ms - RETURN_MS
        return OriginBasis(
            self._clock.now_ms(),
            stated_ms if stated_view_ms is None else stated_view_ms,
            begin_ms,
            limit_ms,
            call.deadline_ms,
            self._gaps.find_oldest_view(begin_ms),
            self._timeline.find_covered_since(service),
            self._timeline.find_observed_since(service),
            is_current,
        )

    async def _read_history(self) -> None:
        async with self._reading:
            if self._clock.now_ms() < self._read_after_ms:
                return
            if not await self.history.read():
                self._read_after_ms = self._clock.now_ms() + READ_RETRY_MS
