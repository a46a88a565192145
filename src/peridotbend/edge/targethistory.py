"""What the store tells of targets before this process first listed them."""

import dataclasses
import itertools
from collections.abc import Callable, Collection, Iterable, Mapping

from result import Err, Result

from peridotbend.edge.evacuations import EvacuatedZones
from peridotbend.edge.ports import PublishedReader, StoreFailure
from peridotbend.edge.published import Changes, Item, Position
from peridotbend.edge.registrations import Registrations
from peridotbend.edge.targets import EdgeTarget
from peridotbend.edge.versions import (
    VIEW_LAG_MS,
    PastLoss,
    PastMix,
    PastTargets,
    VersionChange,
    VersionMix,
    VersionTimeline,
    make_mix,
)

# The search for the oldest kept revision doubles its distance up to this many
# revisions. Entries change when a target starts, drains or leaves.
MAX_DISTANCE = 65_536
# Bounds the combinations of zones for which past mixes are computed.
MAX_PAST_ZONES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A change of one target in the history."""

    name: str
    # None after its removal, or if the entry names no usable target.
    target: EdgeTarget | None
    # The latest time at which it may have happened.
    until_ms: int
    # Whether it created the entry.
    is_new: bool


class EvacuationHistory:
    """Reads which zones were evacuated before this process started."""

    def __init__(
        self,
        reader: PublishedReader,
        find_zone: Callable[[str], str],
        evacuated: EvacuatedZones,
    ):
        """Creates a reader.

        Args:
            reader: of the keys that operators write.
            find_zone: returns the zone that a key evacuates, or "".
            evacuated: the zones that are evacuated now.
        """
        self._reader = reader
        self._find_zone = find_zone
        self._evacuated = evacuated

    async def read(self, after: int) -> frozenset[str] | None:
        """Returns the zones that may have been evacuated since a revision.

        None if that is not known, or if there are too many.
        """
        result = await self._reader.watch(after, 0)
        if isinstance(result, Err):
            return None
        zones = set(self._evacuated)
        for item in result.ok_value.items:
            zones.add(self._find_zone(item.key))
        zones.discard("")
        return frozenset(zones) if len(zones) <= MAX_PAST_ZONES else None


class TargetHistory:
    """Reads the kept history of targets into the timeline of versions.

    The history has no times. Starts do, in the entries of the targets, and the
    other changes lie between those that come before and after them. So does the
    begin of the history, whatever the store promises to keep: it covers the
    time since the oldest start that is known to be part of it.
    """

    def __init__(
        self,
        reader: PublishedReader,
        decode: Callable[[str, bytes], Result[EdgeTarget, str]],
        timeline: VersionTimeline,
        find_name: Callable[[str], str],
        evacuations: EvacuationHistory | None = None,
    ):
        """Creates a reader.

        Args:
            reader: of the entries of targets.
            decode: decodes the entry of a key.
            timeline: gets what was read.
            find_name: returns the name of the target of a key.
            evacuations: what is kept of them; None if there are none.
        """
        self._evacuations = evacuations
        self._find_name = find_name
        self._reader = reader
        self._decode = decode
        self._timeline = timeline
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
        """Records a full copy of the list of targets, by key.

        That is the first one, or one after which the history is read again.
        """
        self._listed_at = position
        self._listed_targets = dict(targets)
        self.is_read = False
        self._timeline.note_listing()

    async def read(self) -> bool:
        """Reads the history once; tells whether it is known."""
        if self.is_read:
            return True
        if self._listed_at is None:
            return False
        found = await self._find_oldest(self._listed_at.revision)
        if found is None or self.is_read:
            return self.is_read
        after, changes = found
        if changes.position.era != self._listed_at.era:
            return False
        zones: frozenset[str] | None = frozenset()
        if self._evacuations is not None:
            zones = await self._evacuations.read(after)
        if zones is None or self.is_read:
            return self.is_read
        # Unlike a copy that came from a peer, it tells when keys were created.
        listing = await self._reader.list_items()
        if isinstance(listing, Err) or self.is_read:
            return self.is_read
        if listing.ok_value.position.era != self._listed_at.era:
            return False
        registrations = Registrations(
            self._decode,
            self._timeline.find_start,
            [*listing.ok_value.items, *changes.items],
        )
        self._insert(after, changes, registrations, zones)
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

    def _insert(
        self,
        after: int,
        changes: Changes,
        registrations: Registrations,
        zones: Collection[str],
    ) -> None:
        """Adds the history to the timeline.

        Args:
            after: the revision after which all changes are known.
            changes: of the targets.
            registrations: when targets registered.
            zones: that may have been evacuated at any time since then.
        """
        assert self._listed_at is not None
        listed_ms = self._timeline.covered_since_ms
        assert listed_ms is not None
        covered_since_ms = registrations.find_covered_since(after)
        if covered_since_ms is None:
            covered_since_ms = listed_ms
        items = sorted(
            (
                item
                for item in changes.items
                if item.position.revision <= self._listed_at.revision
            ),
            key=lambda item: item.position.revision,
        )
        steps = self._date(items, registrations)
        state = self._find_state_before(steps)
        mixes = {
            service: state.make_mixes(service, zones) for service in state.ready
        }
        # Those that are not known may have been all targets of a service.
        unseen = state.make_mixes("", zones)
        past: dict[str, list[PastMix]] = {}
        replaced: dict[str, list[VersionChange]] = {}
        losses: dict[str, list[PastLoss]] = {}
        for step in steps:
            change = state.find_change(step)
            if change is not None and step.target is not None:
                replaced.setdefault(step.target.service, []).append(change)
            lost = state.find_lost(step)
            changed = state.apply(step)
            if lost is not None:
                losses.setdefault(lost.service, []).append(
                    PastLoss(lost.software, step.until_ms)
                )
            for service in changed:
                previous = mixes.get(service, unseen)
                mixes[service] = state.make_mixes(service, zones)
                if mixes[service] != previous:
                    past.setdefault(service, []).extend(
                        PastMix(mix, step.until_ms) for mix in previous
                    )
        for service, possible in mixes.items():
            # The first is the one that was listed.
            past.setdefault(service, []).extend(
                PastMix(mix, listed_ms + VIEW_LAG_MS) for mix in possible[1:]
            )
        self._timeline.insert_history(
            {
                service: PastTargets(
                    tuple(past.get(service, ())),
                    tuple(replaced.get(service, ())),
                    tuple(losses.get(service, ())),
                )
                for service in past.keys() | replaced.keys() | losses.keys()
            },
            covered_since_ms,
        )

    def _date(
        self, items: list[Item], registrations: Registrations
    ) -> list[_Change]:
        """Returns the changes, each with its latest possible time."""
        listed_ms = self._timeline.covered_since_ms
        assert listed_ms is not None
        steps: list[_Change] = []
        for item in items:
            target = None
            if item.value is not None:
                target = self._decode(item.key, item.value).ok()
            registered_ms = registrations.find_latest(item)
            until_ms = listed_ms
            if registered_ms is not None:
                until_ms = min(listed_ms, registered_ms)
            is_new = item.created == item.position.revision
            steps.append(_Change(item.key, target, until_ms, is_new))
        latest_ms = listed_ms
        for index in reversed(range(len(steps))):
            latest_ms = min(latest_ms, steps[index].until_ms)
            steps[index] = dataclasses.replace(steps[index], until_ms=latest_ms)
        return steps

    def _find_state_before(self, steps: list[_Change]) -> "_State":
        """Returns the state before all changes."""
        first: dict[str, _Change] = {}
        for step in steps:
            first.setdefault(step.name, step)
        state = _State(self._find_name)
        for name, target in self._listed_targets.items():
            if name not in first and not target.is_leaving:
                state.add(name, target)
        for name, step in first.items():
            if step.target is None:
                state.unknown.add(name)
            elif step.target.is_leaving or not step.is_new:
                # No target registers as one that leaves.
                state.add(name, step.target)
        return state


class _State:
    """The targets that accept requests, at one point of the history."""

    def __init__(self, find_name: Callable[[str], str]) -> None:
        self._find_name = find_name
        # By service and key.
        self.ready: dict[str, dict[str, EdgeTarget]] = {}
        # Keys of targets that are removed later and whose entries are older
        # than the history, so that neither service nor version is known.
        self.unknown: set[str] = set()
        self._services: dict[str, str] = {}
        # The last entries of targets that were removed, by key.
        self._gone: dict[str, EdgeTarget] = {}
        # Their runs.
        self._lost: set[int] = set()

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

    def find_lost(self, step: _Change) -> EdgeTarget | None:
        """Returns the target whose process a step removes or replaces."""
        ready = self.ready.get(self._services.get(step.name, ""), {})
        before = ready.get(step.name) or self._gone.get(step.name)
        if before is None:
            return None
        after = step.target
        is_same = after and after.started_at_ms == before.started_at_ms
        if is_same or before.run_hash in self._lost:
            return None
        self._lost.add(before.run_hash)
        return before

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

    def make_mixes(
        self, service: str, zones: Collection[str]
    ) -> tuple[VersionMix, ...]:
        """Returns the mixes that a service may have had.

        Args:
            service: of the targets.
            zones: that may have been evacuated. The first mix is the one
                without any evacuation.
        """
        targets = self.ready.get(service, {}).values()
        # Those that are not known may be of any service and zone.
        unknown = {self._find_name(key) for key in self.unknown}
        mixes: list[VersionMix] = []
        for evacuated in _list_subsets(zones):
            mix = make_mix(
                (t for t in targets if t.zone not in evacuated), unknown
            )
            if mix not in mixes:
                mixes.append(mix)
        return tuple(mixes)


def _list_subsets(zones: Collection[str]) -> Iterable[tuple[str, ...]]:
    """Returns all subsets, the empty one first."""
    return itertools.chain.from_iterable(
        itertools.combinations(sorted(zones), count)
        for count in range(len(zones) + 1)
    )
