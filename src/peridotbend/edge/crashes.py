"""Detection of requests that crash their targets, across all instances."""

import collections
import dataclasses
from collections.abc import Collection, Mapping, Sequence
from typing import Any

import xxhash

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.evidence import (
    EVIDENCE_TTL_MS,
    MAX_DIGEST_TRAITS,
    REFRESH_INTERVAL_MS,
    EvidenceTable,
    Suspicion,
)
from peridotbend.edge.ports import EdgeCall
from peridotbend.edge.targets import EdgeTarget

# A broken connection is attributed to the death of the target if that is
# detected within this time. The platform drops the entry of a dead target after
# three missed heartbeats.
CONFIRMATION_WINDOW_MS = 6_000
# An answer shows that its target lives only if it ends this long after the
# break: answers that were complete before a crash may be read after it.
ALIVE_MARGIN_MS = 1_000
# A request crashes its target when its answer begins. One whose answer goes on
# for this time after its first event does not.
SURVIVAL_MS = 500
MAX_BROKEN = 2_048
# Bounds on memory: requests that were answered, their parts, and targets.
MAX_SOUND_REQUESTS = 8_192
MAX_SOUND_TRAITS = 4_096
MAX_TARGETS = 8_192
# Label of the trait that only exact repeats of a request share.
FINGERPRINT_LABEL = "request"


def make_traits(call: EdgeCall, account: str) -> dict[int, str]:
    """Returns the traits by which a request that crashes targets is known.

    These are the request as a whole, for repeats of it, and the parts of its
    prompt that other requests share. The values are labels for logs.
    """
    fingerprint = xxhash.xxh3_64(call.body)
    for field in (account, call.method, call.host, call.path):
        fingerprint.update(field.encode("latin-1", "replace") + b"\0")
    traits = {fingerprint.intdigest(): FINGERPRINT_LABEL}
    for part in call.shared_parts:
        traits[_hash_part(part)] = part
    return traits


def _hash_part(part: str) -> int:
    return xxhash.xxh3_64_intdigest(b"part\0" + part.encode("utf-8", "replace"))


@dataclasses.dataclass(frozen=True, slots=True)
class _BrokenConnection:
    at_ms: int
    target: EdgeTarget
    # Of the request, with their labels.
    traits: Mapping[int, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Answered:
    """A complete answer of a target, which lived for the time that it names."""

    target: EdgeTarget
    since_ms: int
    until_ms: int

    def refutes(self, died_at_ms: int) -> bool:
        """Tells whether the target was alive after it is said to have died."""
        return self.since_ms <= died_at_ms < self.until_ms


class CrashTracker:
    """Finds what the requests have in common under which targets die.

    A broken connection does not prove a crash. It is counted once the target
    refuses connections, restarts, is no longer listed, or is dead according to
    another instance. A network partition can look the same, so the evidence is
    withdrawn when the same target turns out to be alive.
    """

    def __init__(self, clock: Clock, log: EventLog):
        self._clock = clock
        self._log = log
        self._evidence = EvidenceTable(clock)
        # By the target's hash.
        self._broken: dict[int, list[_BrokenConnection]] = {}
        # Its last complete answer, by the target's hash.
        self._alive: collections.OrderedDict[int, _Answered] = (
            collections.OrderedDict()
        )
        # Targets taken for dead because their entry was removed.
        self._removed: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        # When a request with each prompt part was last answered.
        self._sound_at_ms: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        # The same for whole requests, which are many and would push out parts.
        self._answered_at_ms: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._known_causes: set[frozenset[int]] = set()
        self._refreshed_at_ms = clock.now_ms() - REFRESH_INTERVAL_MS
        # Selects the part of the evidence in the next digest.
        self._cursor = 0

    def note_broken_connection(
        self, target: EdgeTarget, traits: Mapping[int, str]
    ) -> None:
        """Records a connection that broke before or as an answer began."""
        broken = self._broken.setdefault(target.run_hash, [])
        broken.append(_BrokenConnection(self._clock.now_ms(), target, traits))
        del broken[:-MAX_BROKEN]

    def note_target_dead(self, target: EdgeTarget) -> None:
        """Records that a target refuses connections or was replaced."""
        self._confirm_death(target.run_hash)

    def note_target_removed(self, target: EdgeTarget) -> None:
        """Records that the entry of a target is gone.

        That also happens to a target that cannot reach the platform.
        """
        key = target.run_hash
        self._removed[key] = None
        _trim(self._removed, MAX_TARGETS)
        self._confirm_death(key)

    def note_target_listed(self, target: EdgeTarget) -> None:
        """Records that a target is listed; it lives if it was not before."""
        key = target.run_hash
        if key in self._removed:
            del self._removed[key]
            self._note_alive(target, self._clock.now_ms())

    def note_target_alive(self, target: EdgeTarget, since_ms: int = 0) -> None:
        """Records a complete answer of a target.

        Args:
            target: as it is listed.
            since_ms: when the process that answered was first seen; 0 if it is
                known to be the listed one. A process that has started again
                tells nothing of the one before.
        """
        key = target.run_hash
        until_ms = self._clock.now_ms() - ALIVE_MARGIN_MS
        answered = _Answered(target, since_ms, until_ms)
        self._alive[key] = answered
        self._alive.move_to_end(key)
        _trim(self._alive, MAX_TARGETS)
        self._note_alive(target, until_ms, since_ms)

    def note_sound(self, traits: Mapping[int, str]) -> None:
        """Records that a request was answered, so that it crashes nothing."""
        now_ms = self._clock.now_ms()
        for trait, label in traits.items():
            self._evidence.note_sound(trait, now_ms)
            is_request = label == FINGERPRINT_LABEL
            table = self._answered_at_ms if is_request else self._sound_at_ms
            table[trait] = now_ms
            table.move_to_end(trait)
        _trim(self._answered_at_ms, MAX_SOUND_REQUESTS)
        _trim(self._sound_at_ms, MAX_SOUND_TRAITS)
        self._log_changed_causes()

    def find_cause(self, traits: Collection[int]) -> frozenset[int] | None:
        """Returns which traits of a request crash targets; None if none do."""
        return self._evidence.find_cause(traits)

    def count_targets(self, cause: frozenset[int]) -> int:
        """Returns how many targets died under a cause."""
        return max(len(self._evidence.list_dead_targets(t)) for t in cause)

    def count_suspects(self) -> int:
        """Returns how many traits were in flight at the death of a target."""
        return len(self._evidence)

    def count_causes(self) -> int:
        """Returns how many causes of crashes are known."""
        return len(self._evidence.list_causes())

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "suspects": self.count_suspects(),
            "causes": [
                {
                    "traits": list(map(_format_trait, sorted(cause))),
                    "targets": self.count_targets(cause),
                }
                for cause in self._evidence.list_causes()
            ],
        }

    def list_for_digest(self) -> tuple[Suspicion, ...]:
        """Returns the evidence that is due for the next digest."""
        now_ms = self._clock.now_ms()
        refresh = now_ms - self._refreshed_at_ms >= REFRESH_INTERVAL_MS
        selected = self._evidence.select(self._cursor, refresh)
        # A datagram may not hold all that was selected.
        self._cursor += MAX_DIGEST_TRAITS // 4
        if refresh:
            self._refreshed_at_ms = now_ms
        return tuple(selected)

    def merge(self, suspicions: Sequence[Suspicion]) -> None:
        """Adds the evidence of another instance."""
        if not suspicions:
            return
        now_ms = self._clock.now_ms()
        for suspicion in suspicions:
            self._evidence.merge(suspicion)
            self._apply_own_answers(suspicion.trait)
            for death in suspicion.deaths:
                answered = self._alive.get(death.target)
                died_at_ms = now_ms - death.age_ms
                if answered and answered.refutes(died_at_ms):
                    self._note_alive(
                        answered.target, answered.until_ms, answered.since_ms
                    )
                elif not death.is_withdrawn and death.target in self._broken:
                    self._confirm_death(death.target)
        self._log_changed_causes()

    def _confirm_death(self, target: int) -> None:
        oldest_ms = self._clock.now_ms() - CONFIRMATION_WINDOW_MS
        for broken in self._broken.pop(target, ()):
            if broken.at_ms < oldest_ms:
                continue
            for trait in broken.traits:
                self._evidence.add_death(trait, target, broken.at_ms)
                self._apply_own_answers(trait)
            self._log.emit(
                Event.SUSPECT_RECORDED,
                target=broken.target.name,
                traits={
                    label: _format_trait(trait)
                    for trait, label in broken.traits.items()
                },
            )
        self._log_changed_causes()

    def _apply_own_answers(self, trait: int) -> None:
        """Clears a trait if a request with it was answered after the deaths."""
        sound_at_ms = self._sound_at_ms.get(
            trait, self._answered_at_ms.get(trait)
        )
        oldest_ms = self._clock.now_ms() - EVIDENCE_TTL_MS
        if sound_at_ms is not None and sound_at_ms >= oldest_ms:
            self._evidence.note_sound(trait, sound_at_ms)

    def _note_alive(
        self, target: EdgeTarget, before_ms: int, since_ms: int = 0
    ) -> None:
        """Clears what is blamed on the death of a target within some time."""
        key = target.run_hash
        broken = [
            broken
            for broken in self._broken.pop(key, ())
            if not since_ms <= broken.at_ms <= before_ms
        ]
        if broken:
            self._broken[key] = broken
        withdrawn = self._evidence.withdraw_target(key, before_ms, since_ms)
        if withdrawn:
            self._log.emit(
                Event.SUSPECT_WITHDRAWN,
                target=target.name,
                traits=list(map(_format_trait, withdrawn)),
            )
            self._log_changed_causes()

    def _log_changed_causes(self) -> None:
        causes = set(self._evidence.list_causes())
        for event, changed in (
            (Event.CRASH_CAUSE_FOUND, causes - self._known_causes),
            (Event.CRASH_CAUSE_DROPPED, self._known_causes - causes),
        ):
            for cause in changed:
                self._log.emit(
                    event,
                    traits=list(map(_format_trait, sorted(cause))),
                    targets=self.count_targets(cause),
                )
        self._known_causes = causes


def _format_trait(trait: int) -> str:
    return f"{trait:016x}"


def _trim(table: "collections.OrderedDict[int, Any]", size: int) -> None:
    while len(table) > size:
        table.popitem(last=False)
