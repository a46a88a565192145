"""Evidence that requests with a common trait crash their targets.

The evidence is a set of deaths by trait. Instances exchange it and keep what
they hear, so that it outlives the instance that saw a death. A merge is
idempotent, whichever way a report arrives.
"""

import collections
import dataclasses
import itertools
from collections.abc import Collection, Iterable, Mapping

from peridotbend.domain.clock import Clock

# A trait is a cause of crashes if this many targets died with it in flight.
MAX_CRASHES = 3
# A trait of requests that were answered earlier needs more deaths, at several
# moments: the loss of a rack ends many targets at once, with common traits in
# flight at most of them.
MAX_CRASHES_IF_SOUND = 5
MIN_MOMENTS_IF_SOUND = 3
# Deaths that are further apart belong to different moments.
MOMENT_MS = 1_000
# Evidence expires after this time, so that requests are sent again once a
# target has been repaired.
EVIDENCE_TTL_MS = 600_000
MAX_TRAITS = 2_048
# More deaths of one trait tell nothing new.
MAX_DEATHS = 16
# Traits in one digest; the others follow in the next ones.
MAX_DIGEST_TRAITS = 20
# Changes are repeated in all digests for this time, as datagrams get lost. It
# exceeds the longest interval between digests.
REPEAT_MS = 500
# Interval at which all evidence is sent in turn, for instances that are new or
# were cut off.
REFRESH_INTERVAL_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Death:
    """The death of a target while a request with some trait was in flight."""

    # Hash of the target's name.
    target: int
    age_ms: int
    # Whether the trait or the target has been cleared since. Takes precedence
    # in a merge, and is never undone.
    is_withdrawn: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """What is known of one trait, as instances tell each other."""

    trait: int
    deaths: tuple[Death, ...]
    # Whether a request with the trait was ever answered.
    was_sound: bool


@dataclasses.dataclass(slots=True)
class _Death:
    at_ms: int
    is_withdrawn: bool = False


@dataclasses.dataclass(slots=True)
class _Record:
    changed_at_ms: int
    was_sound: bool = False
    # By the hash of one run of the target.
    deaths: dict[int, _Death] = dataclasses.field(default_factory=dict)

    def make_room(self) -> bool:
        """Makes room for a death in place of a cleared one, if it is needed."""
        if len(self.deaths) < MAX_DEATHS:
            return True
        cleared = [t for t, death in self.deaths.items() if death.is_withdrawn]
        if not cleared:
            return False
        del self.deaths[min(cleared, key=lambda t: self.deaths[t].at_ms)]
        return True

    def list_open(self, oldest_ms: int) -> dict[int, int]:
        """Returns the times of the deaths that count, by target."""
        return {
            target: death.at_ms
            for target, death in self.deaths.items()
            if not death.is_withdrawn and death.at_ms >= oldest_ms
        }


class EvidenceTable:
    """The deaths by trait, and the traits that explain them."""

    def __init__(self, clock: Clock):
        self._clock = clock
        # By trait, the last changed one last.
        self._records: collections.OrderedDict[int, _Record] = (
            collections.OrderedDict()
        )
        # Targets with deaths that count. Every answer of a target asks for its
        # deaths, and nearly always there are none.
        self._blamed_targets: set[int] = set()
        # Changes with every change of the evidence.
        self.version = 0
        self._causes: list[frozenset[int]] = []
        self._causes_version = -1
        self._causes_expire_ms = 0

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, trait: int) -> bool:
        return trait in self._records

    def add_death(self, trait: int, target: int, at_ms: int) -> None:
        """Records that a target died with the trait in flight."""
        self._drop_expired()
        record = self._get_record(trait)
        if target not in record.deaths and record.make_room():
            record.deaths[target] = _Death(at_ms)
            self._blamed_targets.add(target)
            self._note_change(trait, record)

    def note_sound(self, trait: int, answered_at_ms: int) -> None:
        """Records that a request with the trait was answered.

        Deaths before the answer no longer count.
        """
        record = self._records.get(trait)
        if record is None:
            return
        is_changed = not record.was_sound
        record.was_sound = True
        for death in record.deaths.values():
            if not death.is_withdrawn and death.at_ms <= answered_at_ms:
                death.is_withdrawn = True
                is_changed = True
        if is_changed:
            self._note_change(trait, record)

    def withdraw_target(
        self, target: int, before_ms: int, since_ms: int = 0
    ) -> list[int]:
        """Clears the deaths of a target that lives; returns their traits.

        Args:
            target: the hash of its run.
            before_ms: until when it is known to have lived.
            since_ms: since when.
        """
        if target not in self._blamed_targets:
            return []
        self._blamed_targets.discard(target)
        withdrawn = []
        for trait, record in list(self._records.items()):
            death = record.deaths.get(target)
            if death is None or death.is_withdrawn:
                continue
            if not since_ms <= death.at_ms <= before_ms:
                self._blamed_targets.add(target)
                continue
            death.is_withdrawn = True
            withdrawn.append(trait)
            self._note_change(trait, record)
        return withdrawn

    def merge(self, suspicion: Suspicion) -> None:
        """Adds what another instance knows of a trait."""
        self._drop_expired()
        now_ms = self._clock.now_ms()
        record = self._records.get(suspicion.trait) or _Record(now_ms)
        is_changed = suspicion.was_sound and not record.was_sound
        record.was_sound = record.was_sound or suspicion.was_sound
        for reported in suspicion.deaths:
            at_ms = now_ms - reported.age_ms
            if reported.age_ms >= EVIDENCE_TTL_MS:
                continue
            death = record.deaths.get(reported.target)
            if death is None:
                # Cleared deaths replace no others: two instances that keep
                # different ones would go on exchanging them.
                has_room = len(record.deaths) < MAX_DEATHS
                if not has_room and reported.is_withdrawn:
                    continue
                if not record.make_room():
                    continue
                death = record.deaths[reported.target] = _Death(at_ms)
                self._blamed_targets.add(reported.target)
                is_changed = True
            if reported.is_withdrawn and not death.is_withdrawn:
                death.is_withdrawn = True
                is_changed = True
            # Each hop adds its delay to the age that it reports, so the
            # greatest age is the right one and a death is never renewed.
            death.at_ms = min(death.at_ms, at_ms)
        if is_changed:
            self._note_change(suspicion.trait, record)

    def select(self, cursor: int, refresh: bool) -> list[Suspicion]:
        """Returns evidence for a digest.

        Args:
            cursor: selects the part of the evidence that is refreshed.
            refresh: whether to include evidence that did not change lately.
        """
        self._drop_expired()
        recent = self._list_recent()
        # Those that are closest to a decision come first.
        chosen = dict.fromkeys(
            trait for trait in recent if len(self._records[trait].deaths) > 1
        )
        if refresh:
            chosen.update(dict.fromkeys(self._list_cause_traits()))
        chosen.update(dict.fromkeys(_rotate(recent, cursor)))
        if refresh:
            chosen.update(dict.fromkeys(_rotate(list(self._records), cursor)))
        return [
            self._describe(trait)
            for trait in itertools.islice(chosen, MAX_DIGEST_TRAITS)
        ]

    def list_causes(self) -> list[frozenset[int]]:
        """Returns the sets of traits that crash targets.

        Traits that were in flight at the same deaths cannot be told apart, and
        form one set; only a request with all of them is known to be bad.
        """
        now_ms = self._clock.now_ms()
        is_current = self._causes_version == self.version
        if not is_current or now_ms >= self._causes_expire_ms:
            self._causes = self._find_causes(now_ms - EVIDENCE_TTL_MS)
            self._causes_version = self.version
            self._causes_expire_ms = now_ms + REFRESH_INTERVAL_MS
        return self._causes

    def find_cause(self, traits: Collection[int]) -> frozenset[int] | None:
        """Returns the known cause of crashes among the traits of a request."""
        for cause in self.list_causes():
            if cause.issubset(traits):
                return cause
        return None

    def list_dead_targets(self, trait: int) -> list[int]:
        """Returns the targets that died with a trait in flight."""
        record = self._records.get(trait)
        if record is None:
            return []
        return list(record.list_open(self._clock.now_ms() - EVIDENCE_TTL_MS))

    def _find_causes(self, oldest_ms: int) -> list[frozenset[int]]:
        """Attributes each death to the trait that explains the most deaths.

        Traits that no request was answered with come first, since a bad one is
        never answered. What they explain does not count against the traits
        beside them in the same requests.
        """
        unexplained = {
            trait: open_deaths
            for trait, record in self._records.items()
            if len(open_deaths := record.list_open(oldest_ms)) >= MAX_CRASHES
        }
        causes: list[frozenset[int]] = []
        for was_sound in (False, True):
            while True:
                found = {
                    trait: deaths
                    for trait, deaths in unexplained.items()
                    if self._records[trait].was_sound is was_sound
                    and _is_sufficient(deaths, was_sound)
                }
                if not found:
                    break
                most = max(len(deaths) for deaths in found.values())
                by_deaths: dict[frozenset[int], list[int]] = {}
                for trait, deaths in found.items():
                    if len(deaths) == most:
                        by_deaths.setdefault(frozenset(deaths), []).append(
                            trait
                        )
                causes.extend(map(frozenset, by_deaths.values()))
                explained = frozenset().union(*by_deaths)
                unexplained = {
                    trait: {
                        target: at_ms
                        for target, at_ms in deaths.items()
                        if target not in explained
                    }
                    for trait, deaths in unexplained.items()
                }
        return causes

    def _list_recent(self) -> list[int]:
        """Returns the traits that changed lately, the newest first."""
        oldest_ms = self._clock.now_ms() - REPEAT_MS
        return list(
            itertools.takewhile(
                lambda trait: self._records[trait].changed_at_ms >= oldest_ms,
                reversed(self._records),
            )
        )

    def _list_cause_traits(self) -> list[int]:
        return [trait for cause in self.list_causes() for trait in cause]

    def _describe(self, trait: int) -> Suspicion:
        now_ms = self._clock.now_ms()
        record = self._records[trait]
        deaths = tuple(
            Death(target, now_ms - death.at_ms, death.is_withdrawn)
            for target, death in record.deaths.items()
        )
        return Suspicion(trait, deaths, record.was_sound)

    def _get_record(self, trait: int) -> _Record:
        return self._records.get(trait) or _Record(self._clock.now_ms())

    def _note_change(self, trait: int, record: _Record) -> None:
        self.version += 1
        record.changed_at_ms = self._clock.now_ms()
        self._records[trait] = record
        self._records.move_to_end(trait)
        if len(self._records) > MAX_TRAITS:
            causes = frozenset().union(*self._causes)
            del self._records[
                next(oldest for oldest in self._records if oldest not in causes)
            ]

    def _drop_expired(self) -> None:
        if not self._records:
            self._blamed_targets.clear()
        oldest_ms = self._clock.now_ms() - EVIDENCE_TTL_MS
        while self._records:
            trait, record = next(iter(self._records.items()))
            if record.changed_at_ms >= oldest_ms:
                return
            del self._records[trait]
            self.version += 1


def _rotate(traits: list[int], cursor: int) -> list[int]:
    start = cursor % len(traits) if traits else 0
    return traits[start:] + traits[:start]


def _is_sufficient(deaths: Mapping[int, int], was_sound: bool) -> bool:
    if not was_sound:
        return len(deaths) >= MAX_CRASHES
    return (
        len(deaths) >= MAX_CRASHES_IF_SOUND
        and _count_moments(deaths.values()) >= MIN_MOMENTS_IF_SOUND
    )


def _count_moments(times_ms: Iterable[int]) -> int:
    """Returns into how many moments some times fall."""
    count = 0
    last_ms: int | None = None
    for at_ms in sorted(times_ms):
        if last_ms is None or at_ms - last_ms >= MOMENT_MS:
            count += 1
            last_ms = at_ms
    return count
