"""Which software version of a service begins streams, now and earlier.

A stream may go on only at the version that began it. After a restart nobody
remembers which one that was, so new streams are placed by a function of the
attempt's ID and of the names of the targets that accept requests. Every
instance can compute it again for the time at which a stream may have begun.
"""

import collections
import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from peridotbend.domain.clock import Clock
from peridotbend.domain.rendezvous import choose, rank
from peridotbend.edge.callerlimits import CallerLimits
from peridotbend.edge.targets import EdgeTarget, TargetList

# How much later than this instance another one may learn of a change: one that
# stood still counts as lost after 1.5 s and the time until that is checked.
VIEW_LAG_MS = 2_000
# Bounds memory. The oldest state is dropped, and its time is then not covered.
MAX_STATES = 256
# Bounds memory: two generations of the targets of the largest fleet.
MAX_STARTS = 16_384
# Stands for the version of a target that left before its entry was read. The
# entry of a usable target names a version.
UNKNOWN_VERSION = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionMix:
    """The targets of a service that accept requests, with their software.

    An attempt begins at the version of the target that comes first in the
    order of rendezvous hashing. A target that joins or leaves moves no attempt
    but those for which it comes first, also if its version is not known.
    """

    # By name; UNKNOWN_VERSION for those that are gone and whose entries were
    # never read. If all have the same version, it stands under one empty name.
    software: Mapping[str, str]

    @property
    def versions(self) -> set[str]:
        """The versions, with UNKNOWN_VERSION if one is not known."""
        return set(self.software.values())

    def choose(self, attempt: str) -> str:
        """Returns the version that begins the stream of an attempt."""
        if len(self.software) == 1:
            return next(iter(self.software.values()))
        return self.software[choose(attempt.encode(), self.software)]


@dataclasses.dataclass(frozen=True, slots=True)
class PastMix:
    """A mix that was replaced."""

    mix: VersionMix
    # When it was replaced at the latest.
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PastLoss:
    """A target that was removed before this process listed the targets."""

    software: str
    # When it was removed at the latest.
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PastTargets:
    """What is known of a service before this process listed its targets."""

    # The mixes, the oldest first.
    mixes: tuple[PastMix, ...] = ()
    # The targets that changed their versions.
    changes: tuple["VersionChange", ...] = ()
    # The targets that were removed.
    losses: tuple[PastLoss, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class VersionChange:
    """A target that started again under its name with another version.

    It may have begun streams while its old entry still placed them.
    """

    before: str
    after: str
    # When its new entry was known at the latest.
    until_ms: int


class VersionTimeline:
    """The mixes of all services, for as long as streams may last.

    What is forgotten of a service ends the time for which it is known.
    """

    def __init__(self, clock: Clock, targets: TargetList, limits: CallerLimits):
        self._clock = clock
        self._limits = limits
        # Until when something was forgotten, by service.
        self._forgotten_ms: dict[str, int] = {}
        self._targets = targets
        self._current: dict[str, VersionMix] = {}
        self._past: dict[str, collections.deque[PastMix]] = {}
        self._changes: dict[str, collections.deque[VersionChange]] = {}
        # The list of targets from which each current mix was made.
        self._sources: dict[str, Sequence[EdgeTarget]] = {}
        # The software of each run of a target that is listed, by service. Those
        # that leave are included.
        self._runs: dict[str, dict[tuple[str, int], str]] = {}
        # The software of the last run of each target that is gone, and when it
        # went, by service and name; the one that went last at the end.
        self._gone: dict[tuple[str, str], tuple[str, int]] = {}
        # When a run of a target was last removed, by service and software.
        self._lost_at_ms: dict[tuple[str, str], int] = {}
        # Called with the service when new streams may be placed differently.
        self.on_change: Callable[[str], None] = lambda service: None
        # When each run of a target started, in the time of this process.
        self._starts: dict[int, int] = {}
        # Since when all changes are known; None before the first listing.
        self.covered_since_ms: int | None = None
        # Since when this process has seen all of them itself. The store may
        # have lost a part of its history.
        self.observed_since_ms: int | None = None

    def note_listing(self) -> None:
        """Records that a full copy of the list of targets has arrived."""
        if self.covered_since_ms is None:
            self.covered_since_ms = self._clock.now_ms()
            self.observed_since_ms = self.covered_since_ms

    def note_missed(self) -> None:
        """Records that changes up to now may have passed unseen."""
        if self.covered_since_ms is not None:
            self.covered_since_ms = self._clock.now_ms()
            self.observed_since_ms = self.covered_since_ms

    def find_covered_since(self, service: str) -> int | None:
        """Returns since when all changes of a service are known."""
        return self._find_known_since(service, self.covered_since_ms)

    def find_observed_since(self, service: str) -> int | None:
        """Returns since when this process has seen all of them itself."""
        return self._find_known_since(service, self.observed_since_ms)

    def _find_known_since(
        self, service: str, since_ms: int | None
    ) -> int | None:
        forgotten_ms = self._forgotten_ms.get(service)
        if since_ms is None or forgotten_ms is None:
            return since_ms
        return max(since_ms, forgotten_ms)

    def _forget(self, service: str, until_ms: int) -> None:
        """Records that something was forgotten that held until a time."""
        known_ms = self._forgotten_ms.get(service, until_ms)
        self._forgotten_ms[service] = max(known_ms, until_ms)

    def update(self, service: str) -> VersionMix:
        """Records which targets accept requests now, by their entries.

        What a target has told this instance alone must not move streams.
        """
        source = self._targets.list_listed(service)
        if self._sources.get(service) is source:
            return self._current[service]
        self._sources[service] = source
        self._update_runs(service)
        previous = self._current.get(service)
        mix = make_mix(source)
        now_ms = self._clock.now_ms()
        if previous is not None and mix != previous:
            self._append(service, PastMix(previous, now_ms))
        self._current[service] = mix
        if previous is not None and mix != previous:
            self.on_change(service)
        return mix

    def choose(self, service: str, attempt: str) -> str | None:
        """Returns the version that begins a new stream; None if none can."""
        mix = self.update(service)
        if not mix.software:
            return None
        return mix.choose(attempt)

    def list_choices(
        self, service: str, attempt: str, since_ms: int
    ) -> set[str]:
        """Returns the versions that an attempt since then may have begun at.

        UNKNOWN_VERSION is one of them if the attempt may have been placed at a
        target whose version is not known.
        """
        mixes = [m for m in self._list_mixes(service, since_ms) if m.software]
        names = set[str]().union(*(mix.software for mix in mixes))
        # Most mixes have the first of all names, so that few are looked up.
        order = rank(attempt.encode(), names, str)
        choices = {
            next(mix.software[name] for name in order if name in mix.software)
            for mix in mixes
        }
        for change in self._changes.get(service, ()):
            if change.until_ms >= since_ms and change.before in choices:
                choices.add(change.after)
        return choices

    def list_targets(self, service: str) -> list[EdgeTarget]:
        """Returns the listed targets of a service, also those that leave."""
        return [t for t in self._targets if t.service == service]

    def list_versions(self, service: str, since_ms: int) -> set[str]:
        """Returns all versions that have accepted requests since then."""
        return set[str]().union(
            *(mix.versions for mix in self._list_mixes(service, since_ms))
        )

    def has_versions(self, service: str) -> bool:
        """Tells whether a service has, or had lately, more than one version."""
        since_ms = self._clock.now_ms() - self._limits.kept_ms
        versions: set[str] = set()
        for mix in self._list_mixes(service, since_ms):
            versions |= mix.versions
            if len(versions) > 1:
                return True
        return False

    def has_lost_target(
        self, service: str, software: str, since_ms: int
    ) -> bool:
        """Tells whether a target is known to have gone since a time.

        What it kept, for example of a prompt, is gone with it.
        """
        self.update(service)
        lost_at_ms = self._lost_at_ms.get((service, software))
        return lost_at_ms is not None and lost_at_ms >= since_ms

    def insert_history(
        self, past_by_service: Mapping[str, PastTargets], covered_since_ms: int
    ) -> None:
        """Adds what happened before this process listed the targets.

        Args:
            past_by_service: the targets of each service.
            covered_since_ms: since when all changes are known.
        """
        for service, past in past_by_service.items():
            for change in past.changes:
                self._note_change(service, change)
            known = self._past.setdefault(service, collections.deque())
            known.extendleft(reversed(past.mixes))
            for loss in past.losses:
                key = service, loss.software
                known_ms = self._lost_at_ms.get(key, loss.until_ms)
                self._lost_at_ms[key] = max(known_ms, loss.until_ms)
        assert self.covered_since_ms is not None
        self.covered_since_ms = min(self.covered_since_ms, covered_since_ms)

    def find_start(self, target: EdgeTarget) -> int | None:
        """Returns when a target started, in the time of this process."""
        if not target.started_at_ms:
            return None
        start_ms = self._starts.get(target.run_hash)
        if start_ms is None:
            now_ms = self._clock.now_ms()
            age_ms = self._clock.wall_ms() - target.started_at_ms
            start_ms = now_ms - max(0, age_ms)
            if len(self._starts) >= MAX_STARTS:
                self._starts.clear()
            self._starts[target.run_hash] = start_ms
        return start_ms

    def _update_runs(self, service: str) -> None:
        """Records which runs of targets are no longer listed."""
        runs = {
            (target.name, target.started_at_ms): target.software
            for target in self._targets
            if target.service == service
        }
        now_ms = self._clock.now_ms()
        known = self._runs.get(service, {})
        for run, software in known.items():
            if run not in runs:
                self._lost_at_ms[service, software] = now_ms
                self._note_gone((service, run[0]), software)
        for run, after in runs.items():
            if run in known:
                continue
            # Its process may have begun streams before the old entry expired.
            before, _ = self._gone.pop((service, run[0]), (after, now_ms))
            if before != after:
                change = VersionChange(before, after, now_ms)
                self._note_change(service, change)
        self._runs[service] = runs

    def _note_gone(self, key: tuple[str, str], software: str) -> None:
        now_ms = self._clock.now_ms()
        self._gone.pop(key, None)
        self._gone[key] = software, now_ms
        oldest_ms = now_ms - self._limits.kept_ms
        while True:
            (service, name), (_, gone_ms) = next(iter(self._gone.items()))
            if gone_ms >= oldest_ms:
                break
            del self._gone[service, name]
            self._forget(service, gone_ms)

    def _note_change(self, service: str, change: VersionChange) -> None:
        changes = self._changes.setdefault(service, collections.deque())
        changes.append(change)
        if len(changes) > MAX_STATES:
            self._forget(service, changes.popleft().until_ms)

    def _list_mixes(self, service: str, since_ms: int) -> Iterable[VersionMix]:
        current = self.update(service)
        for past in self._past.get(service, ()):
            if past.until_ms >= since_ms:
                yield past.mix
        yield current

    def _append(self, service: str, past: PastMix) -> None:
        kept = self._past.setdefault(service, collections.deque())
        kept.append(past)
        oldest_ms = self._clock.now_ms() - self._limits.kept_ms
        while kept[0].until_ms < oldest_ms or len(kept) > MAX_STATES:
            self._forget(service, kept.popleft().until_ms)


def make_mix(
    targets: Iterable[EdgeTarget], unknown: Collection[str] = ()
) -> VersionMix:
    """Returns the mix of targets that accept requests.

    Args:
        targets: that accept requests.
        unknown: names of further targets whose version is not known.
    """
    software = {target.name: target.software for target in targets}
    if not unknown and len(set(software.values())) == 1:
        # Which target comes first does not matter.
        return VersionMix({"": next(iter(software.values()))})
    return VersionMix({**software, **dict.fromkeys(unknown, UNKNOWN_VERSION)})
