"""What the store tells of targets before this process first listed them."""

import dataclasses
from collections.abc import Callable, Mapping

from result import Err, Result

from peridotbend.domain.clock import Clock
from peridotbend.edge.ports import PublishedReader, StoreFailure
from peridotbend.edge.published import Changes, Item, Position
from peridotbend.edge.targets import EdgeTarget
from peridotbend.edge.versions import (
    PastMix,
    VersionChange,
    VersionMix,
    VersionTimeline,
    make_mix,
)

# A target registers this long after its start at the latest, while the store
# responds.
REGISTER_MS = 500
# The search for the oldest kept revision doubles its distance up to this many
# revisions. Entries change when a target starts, drains or leaves.
MAX_DISTANCE = 65_536
# Before any time that a clock gives.
_ALWAYS_MS = -(2**62)


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A change of one target in the history."""

    name: str
    # None after its removal, or if the entry names no usable target.
    target: EdgeTarget | None
    # The latest time at which it may have happened.
    until_ms: int


class TargetHistory:
    """Reads the kept history of targets into the timeline of versions.

    The history has no times. Starts do, in the entries of the targets, and the
    other changes lie between those that come before and after them.
    """

    def __init__(
        self,
        reader: PublishedReader,
        decode: Callable[[str, bytes], Result[EdgeTarget, str]],
        timeline: VersionTimeline,
        clock: Clock,
        kept_ms: int,
    ):
        """Creates a reader.

        Args:
            reader: of the entries of targets.
            decode: decodes the entry of a key.
            timeline: gets what was read.
            clock: source of time.
            kept_ms: how long the store keeps its history; 0 if unknown.
        """
        self._reader = reader
        self._decode = decode
        self._timeline = timeline
        self._clock = clock
        self._kept_ms = kept_ms
        self._listed_at: Position | None = None
        self._listed_targets: dict[str, EdgeTarget] = {}
        self.is_read = False

    @property
    def has_listing(self) -> bool:
        """Whether the first full copy has arrived."""
        return self._listed_at is not None

    def note_listing(
        self, position: Position, targets: Mapping[str, EdgeTarget]
    ) -> None:
        """Records the first full copy of the list of targets, by key."""
        self._listed_at = position
        self._listed_targets = dict(targets)
        self._timeline.note_listing()

    async def read(self) -> bool:
        """Reads the history once; tells whether it is known."""
        if self.is_read:
            return True
        if self._listed_at is None or not self._kept_ms:
            return False
        asked_at_ms = self._clock.now_ms()
        found = await self._find_oldest(self._listed_at.revision)
        if found is None or self.is_read:
            return self.is_read
        after, changes = found
        if changes.position.era != self._listed_at.era:
            return False
        covered_since_ms = asked_at_ms - self._kept_ms
        if not after:
            covered_since_ms = _ALWAYS_MS
        self._insert(changes, covered_since_ms)
        self.is_read = True
        return True

    async def _find_oldest(self, last: int) -> tuple[int, Changes] | None:
        """Returns the longest history before a revision, and its start."""
        best: tuple[int, Changes] | None = None
        lost = -1
        distance = 1
        while True:
            if lost < 0:
                after = max(0, last - distance)
                distance *= 2
            elif best is None:
                after = last
            else:
                after = (lost + best[0]) // 2
            result = await self._reader.watch(after, 0)
            if isinstance(result, Err):
                if result.err_value.failure is not StoreFailure.COMPACTED:
                    return None
                if after == last:
                    return None
                lost = after
            else:
                best = after, result.ok_value
                if not after or distance > MAX_DISTANCE:
                    return best
            if lost >= 0 and best is not None and best[0] - lost <= 1:
                return best

    def _insert(self, changes: Changes, covered_since_ms: int) -> None:
        assert self._listed_at is not None
        items = sorted(
            (
                item
                for item in changes.items
                if item.position.revision <= self._listed_at.revision
            ),
            key=lambda item: item.position.revision,
        )
        steps = self._date(items, covered_since_ms)
        state = self._find_state_before(steps, covered_since_ms)
        mixes = {service: state.make_mix(service) for service in state.ready}
        past: dict[str, list[PastMix]] = {}
        replaced: dict[str, list[VersionChange]] = {}
        for step in steps:
            change = state.find_change(step)
            if change is not None and step.target is not None:
                replaced.setdefault(step.target.service, []).append(change)
            for service in state.apply(step):
                previous = mixes.get(service)
                mixes[service] = state.make_mix(service)
                if previous is not None and mixes[service] != previous:
                    entry = PastMix(previous, step.until_ms)
                    past.setdefault(service, []).append(entry)
        self._timeline.insert_history(past, covered_since_ms, replaced)

    def _date(self, items: list[Item], covered_since_ms: int) -> list[_Change]:
        """Returns the changes, each with its latest possible time."""
        listed_ms = self._timeline.covered_since_ms
        assert listed_ms is not None
        steps: list[_Change] = []
        seen: set[str] = set()
        for item in items:
            target = None
            if item.value is not None:
                target = self._decode(item.key, item.value).ok()
            until_ms = listed_ms
            start_ms = None
            is_first = item.key not in seen
            if target is not None and is_first and not target.is_leaving:
                start_ms = self._timeline.find_start(target)
            # The first entry of a target that started within the history.
            if start_ms is not None and start_ms >= covered_since_ms:
                until_ms = min(listed_ms, start_ms + REGISTER_MS)
            seen.add(item.key)
            steps.append(_Change(item.key, target, until_ms))
        latest_ms = listed_ms
        for index in reversed(range(len(steps))):
            latest_ms = min(latest_ms, steps[index].until_ms)
            steps[index] = dataclasses.replace(steps[index], until_ms=latest_ms)
        return steps

    def _find_state_before(
        self, steps: list[_Change], covered_since_ms: int
    ) -> "_State":
        """Returns the state before all changes."""
        first: dict[str, _Change] = {}
        for step in steps:
            first.setdefault(step.name, step)
        state = _State()
        for name, target in self._listed_targets.items():
            if name not in first and not target.is_leaving:
                state.add(name, target)
        for name, step in first.items():
            if step.target is None:
                state.unknown.add(name)
                continue
            start_ms = self._timeline.find_start(step.target)
            # The start of one that leaves is older than the kept history.
            is_older = start_ms is None or start_ms < covered_since_ms
            if is_older or step.target.is_leaving:
                state.add(name, step.target)
        return state


class _State:
    """The targets that accept requests, at one point of the history."""

    def __init__(self) -> None:
        # By service and key.
        self.ready: dict[str, dict[str, EdgeTarget]] = {}
        # Keys of targets that are removed later and whose entries are older
        # than the history, so that neither service nor version is known.
        self.unknown: set[str] = set()
        self._services: dict[str, str] = {}
        # The last entries of targets that were removed, by key.
        self._gone: dict[str, EdgeTarget] = {}

    def add(self, name: str, target: EdgeTarget) -> None:
        """Adds a target that accepts requests."""
        self.ready.setdefault(target.service, {})[name] = target
        self._services[name] = target.service

    def find_change(self, step: _Change) -> VersionChange | None:
        """Returns the change of version that a step makes under one name."""
        ready = self.ready.get(self._services.get(step.name, ""), {})
        before = ready.get(step.name) or self._gone.get(step.name)
        after = step.target
        if before is None or after is None or before.software == after.software:
            return None
        return VersionChange(before.software, after.software, step.until_ms)

    def apply(self, step: _Change) -> set[str]:
        """Applies a change; returns the services whose targets it changes."""
        was_unknown = step.name in self.unknown
        self.unknown.discard(step.name)
        service = self._services.pop(step.name, None)
        if service is not None:
            self._gone[step.name] = self.ready[service].pop(step.name)
        target = step.target
        if target is not None and not target.is_leaving:
            self.add(step.name, target)
        if was_unknown:
            return set(self.ready)
        return {
            name
            for name in (service, self._services.get(step.name))
            if name is not None
        }

    def make_mix(self, service: str) -> VersionMix:
        """Returns the mix of a service."""
        targets = self.ready.get(service, {}).values()
        # Those that are not known may be of any service.
        slots = max((target.slots for target in targets), default=0)
        return make_mix(targets, len(self.unknown) * slots)
