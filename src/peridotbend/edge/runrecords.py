"""What is known of which process answers under the name of a target.

A name outlives its process. One that starts again under the name takes what
was meant for the process before it, and its entry may come later than its
first request. So an entry only tells who had the name some time before it was
read, and a connection leads to one process for as long as it lasts. Once it
has ended, nothing tells who answers next, unless the target is asked.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.targets import EdgeTarget, TargetList

# The platform removes an entry after three heartbeats without a write, so the
# writer of a listed entry was alive that long before.
LEASE_HEARTBEATS = 3
# Time for a write to reach the store, and for the store to remove the entry.
LEASE_MARGIN_MS = 500
# Questions to a target whose answers tell nothing, as they are damaged or its
# connection fails.
MAX_QUESTIONS = 3
# How long a target gets no streams after another process has answered. One of
# them asks it again then, so that a service is not lost; only the listed start
# ends what is known.
REPLACED_TTL_MS = 1_000
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


@dataclasses.dataclass(slots=True)
class RunRecord:
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


class RunRecords:
    """The runs of targets, by what they and their connections tell."""

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        targets: TargetList,
        heartbeat_ms: int,
    ):
        """Creates the table.

        Args:
            clock: source of time.
            log: receives what targets tell.
            targets: those that are listed.
            heartbeat_ms: how often a target writes its entry.
        """
        self._clock = clock
        self._log = log
        self._targets = targets
        # A listed target was alive within this time before the list was read.
        self.lease_ms = LEASE_HEARTBEATS * heartbeat_ms + LEASE_MARGIN_MS
        # Returns the time as of which the list of targets is known.
        self.find_listing_ms: Callable[[], int | None] = lambda: None
        # By the hash of the run, the one that changed last at the end.
        self._runs: collections.OrderedDict[int, RunRecord] = (
            collections.OrderedDict()
        )
        # By name, the last run that is no longer listed, the latest at the end.
        self._unlisted: collections.OrderedDict[str, EdgeTarget] = (
            collections.OrderedDict()
        )

    def note_end(self, target: EdgeTarget) -> None:
        """Records that a connection to a target ended unexpectedly."""
        if self._find_ended_ms(target) is None:
            self.get(target).ended_ms = self._clock.now_ms()

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
            run = self.get(target)
            run.awaits_name = bool(target.started_at_ms)
            run.since_ms = self._clock.now_ms()

    def note_taken_over(self, target: EdgeTarget, before: EdgeTarget) -> None:
        """Records that a run is listed under the name of another one.

        The old process may still answer, or the new one not yet.
        """
        run = self.get(target)
        run.before = before
        run.since_ms = run.ended_ms = self._clock.now_ms()
        run.awaits_name = bool(target.started_at_ms)
        run.first_questions = 0

    def note_unlisted(self, target: EdgeTarget) -> None:
        """Records that a run is no longer listed, or is about to be."""
        self.get(target).proven_ms = self._find_proven_ms(target)
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
        run = self.get(target)
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
            self.get(target).proven_ms = sent_at_ms

    def note_trial(self, target: EdgeTarget) -> None:
        """Records that a stream is about to ask a target that was replaced."""
        run = self._runs.get(target.run_hash)
        if run is not None and run.other_ms is not None:
            run.replaced_ms = self._clock.now_ms()

    def note_untold(self, target: EdgeTarget) -> None:
        """Records that a send to a target failed, and with it its question."""
        run = self._runs.get(target.run_hash)
        if run is not None and run.awaits_name:
            run.first_questions += 1

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
        listed_ms = listing_ms - self.lease_ms
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

    def get(self, target: EdgeTarget) -> RunRecord:
        """Returns the record of a run; creates it if there is none."""
        key = target.run_hash
        run = self._runs.get(key)
        if run is None:
            run = self._runs[key] = RunRecord()
            if len(self._runs) > MAX_RUNS:
                self._runs.popitem(last=False)
        return run
