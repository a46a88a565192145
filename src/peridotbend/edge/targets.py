"""The targets listed by the platform, and which of them accept requests."""

import dataclasses
from collections.abc import Iterable, Iterator, Sequence

from peridotbend.domain.clock import Clock
from peridotbend.edge.evacuations import EvacuatedZones
from peridotbend.edge.hashes import hash_name
from peridotbend.edge.leavingruns import LeavingRuns

# Entries can expire while the store is down, and the platform restores them
# within about 2 s after the store recovers. The grace period is a little
# shorter, to stay within the limit on sending to removed targets.
REMOVAL_GRACE_MS = 1_800


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeTarget:
    """One incarnation of a target, as listed by the platform."""

    # Sent with each request, so that another process that has taken over the
    # address does not run it.
    name: str
    service: str
    host: str
    port: int
    zone: str
    # Number of requests that the target processes concurrently.
    slots: int
    is_leaving: bool
    # Unix time of the start; changes when a target restarts under its name.
    started_at_ms: int
    # Version of the target's software. What two versions write does not fit
    # together in one stream. Empty if unknown.
    software: str = ""
    # How long the target stays cold, as of its entry; None if not told. Each
    # entry of a cold target says something else, so that it is not compared.
    cold_left_ms: int | None = dataclasses.field(default=None, compare=False)
    # Why the entry does not tell although it has the field.
    cold_problem: str = dataclasses.field(default="", compare=False)

    @property
    def run_hash(self) -> int:
        """The hash that stands for this run of the target in digests."""
        return hash_name(f"{self.name}/{self.started_at_ms}")


class TargetList:
    """All listed targets, indexed by name and service.

    A target accepts requests unless its entry or its own answers say that it
    leaves, or its zone is evacuated. While the store is unreachable, and for a
    grace period after it recovers, a removal may only mean that the entry
    expired, so it is deferred.
    """

    def __init__(self, clock: Clock, evacuated: EvacuatedZones | None = None):
        self._clock = clock
        if evacuated is None:
            evacuated = EvacuatedZones(clock)
        self.evacuated = evacuated
        self._targets: dict[str, EdgeTarget] = {}
        # Time at which each deferred removal takes effect, by target name.
        self._removals_due_ms: dict[str, int] = {}
        # By service, those that accept requests, and those that do as far as
        # the store tells.
        self._by_service: dict[str, list[EdgeTarget]] = {}
        self._listed_by_service: dict[str, list[EdgeTarget]] = {}
        self._leaving_runs = LeavingRuns(clock)
        self._store_recovered_at_ms: int | None = None
        self._is_store_unreachable = False

    def note_store_unreachable(self) -> None:
        """Records that the store does not respond."""
        self._is_store_unreachable = True

    def note_store_reachable(self) -> None:
        """Records that the store responds.

        After an outage, entries may be missing for a short time.
        """
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            self._store_recovered_at_ms = self._clock.now_ms()

    def note_store_restored(self) -> None:
        """Records that the store came back from an older copy.

        Entries that are missing in it are written again.
        """
        self._store_recovered_at_ms = self._clock.now_ms()
        self.evacuated.note_store_restored()

    def evacuate(self, zone: str) -> bool:
        """Sends nothing new to a zone from now on; tells if that is new."""
        self._clear_indexes()
        return self.evacuated.put(zone)

    def readmit(self, zone: str) -> bool:
        """Takes an evacuation back; tells whether it has ended."""
        self._clear_indexes()
        return self.evacuated.remove(zone)

    def readmit_overdue(self) -> list[str]:
        """Ends the evacuations that a restored store lacks, after some time."""
        ended = self.evacuated.remove_overdue()
        if ended:
            self._clear_indexes()
        return ended

    def is_evacuated(self, service: str) -> bool:
        """Tells whether evacuations leave a service without any target."""
        return (
            bool(self.evacuated)
            and not self.list_listed(service)
            and any(
                target.service == service and not target.is_leaving
                for target in self._targets.values()
            )
        )

    def note_leaving(self, target: EdgeTarget) -> bool:
        """Records that a target said that it leaves; tells if it is new."""
        self._by_service.clear()
        return self._leaving_runs.add(target.run_hash)

    def merge_leaving(self, runs: Iterable[int]) -> None:
        """Records the targets that told another instance that they leave."""
        if self._leaving_runs.merge(runs):
            self._by_service.clear()

    def list_leaving_for_digest(self) -> tuple[int, ...]:
        """Returns the runs that other instances should learn of."""
        return self._leaving_runs.list_for_digest()

    def put(self, target: EdgeTarget) -> EdgeTarget:
        """Adds or updates a target; returns it as it is used.

        A process keeps its software. An entry that names another version for
        the same run was changed before its process was.
        """
        known = self._targets.get(target.name)
        is_same_run = (
            known is not None
            and known.started_at_ms == target.started_at_ms
            and bool(target.started_at_ms)
        )
        if known is not None and is_same_run:
            target = dataclasses.replace(target, software=known.software)
        self._targets[target.name] = target
        self._removals_due_ms.pop(target.name, None)
        self._clear_indexes()
        return target

    def remove(self, name: str) -> None:
        """Removes a target; deferred if its entry may only have expired."""
        target = self._targets.get(name)
        if target is None:
            return
        due_ms = self._find_grace_end()
        if due_ms is not None and not target.is_leaving:
            self._removals_due_ms.setdefault(name, due_ms)
            return
        del self._targets[name]
        self._removals_due_ms.pop(name, None)
        self._clear_indexes()

    def find(self, name: str) -> EdgeTarget | None:
        """Returns a target by name."""
        self._remove_overdue()
        return self._targets.get(name)

    def has_entry(self, name: str) -> bool:
        """Tells whether a target is listed, and not kept without its entry."""
        return name in self._targets and name not in self._removals_due_ms

    def list_for(self, service: str) -> list[EdgeTarget]:
        """Returns the targets of a service that accept new requests."""
        self._remove_overdue()
        found = self._by_service.get(service)
        if found is None:
            found = [
                target
                for target in self.list_listed(service)
                if not self._has_said_leaving(target)
            ]
            self._by_service[service] = found
        return found

    def list_listed(self, service: str) -> list[EdgeTarget]:
        """Returns the targets of a service that the store lets have requests.

        They do not leave, and their zones are not evacuated. All instances
        that read the store have the same.
        """
        self._remove_overdue()
        found = self._listed_by_service.get(service)
        if found is None:
            evacuated = frozenset(self.evacuated)
            found = [
                target
                for target in self._targets.values()
                if target.service == service
                and not target.is_leaving
                and target.zone not in evacuated
            ]
            self._listed_by_service[service] = found
        return found

    def is_current(self, target: EdgeTarget) -> bool:
        """Tells whether this incarnation still accepts requests."""
        known = self.find(target.name)
        return (
            known is not None
            and not known.is_leaving
            and known.zone not in self.evacuated
            and known.started_at_ms == target.started_at_ms
            and known.software == target.software
            and not self._has_said_leaving(target)
        )

    def __len__(self) -> int:
        return len(self._targets)

    def __iter__(self) -> Iterator[EdgeTarget]:
        return iter(self._targets.values())

    def _has_said_leaving(self, target: EdgeTarget) -> bool:
        runs = self._leaving_runs
        return bool(runs) and target.run_hash in runs

    def _clear_indexes(self) -> None:
        self._by_service.clear()
        self._listed_by_service.clear()

    def _find_grace_end(self) -> int | None:
        now_ms = self._clock.now_ms()
        if self._is_store_unreachable:
            return now_ms + REMOVAL_GRACE_MS
        if self._store_recovered_at_ms is None:
            return None
        end_ms = self._store_recovered_at_ms + REMOVAL_GRACE_MS
        return end_ms if end_ms > now_ms else None

    def _remove_overdue(self) -> None:
        if not self._removals_due_ms:
            return
        now_ms = self._clock.now_ms()
        for name, due_ms in list(self._removals_due_ms.items()):
            if due_ms <= now_ms:
                del self._removals_due_ms[name]
                self._targets.pop(name, None)
                self._clear_indexes()


class AcceptingTargets:
    """The targets to which peers may connect through this instance.

    A target counts what arrives over such a connection as coming from here.
    """

    def __init__(self, targets: TargetList):
        self._targets = targets

    def find(self, name: str) -> EdgeTarget | None:
        """Returns a target that accepts requests."""
        target = self._targets.find(name)
        is_accepting = target is not None and self._targets.is_current(target)
        return target if is_accepting else None

    def list_for(self, service: str) -> Sequence[EdgeTarget]:
        """Returns the targets of a service that accept requests."""
        return self._targets.list_for(service)
