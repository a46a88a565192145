"""Admitted requests and the ports that are needed to run them."""

import dataclasses
from typing import Protocol

import xxhash

from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import (
    EventLog,
    LoadReader,
    Meter,
    PeerClient,
    TargetClient,
)
from peridotbend.domain.quarantine import SuspectTable
from peridotbend.domain.records import CallerCall, RequestRecord, RequestTable
from peridotbend.domain.retries import RetryBudget
from peridotbend.domain.scheduler import Scheduler
from peridotbend.domain.text import EngineType, Kind, Service
from peridotbend.domain.work import WorkEstimate


class TargetHealth(Protocol):
    """Tracks from the results of calls which targets are alive."""

    def record_target_failure(
        self, name: str, seen_at_ms: int | None = None
    ) -> None:
        """Records that a connection to the target failed, by default now."""
        ...

    def record_target_success(self, name: str) -> None:
        """Records that the target answered."""
        ...

    def find_target_incarnation(self, name: str) -> str:
        """Returns the last known incarnation of a target, or ""."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchPorts:
    """The ports and shared state that a dispatcher uses."""

    clock: Clock
    table: RequestTable
    scheduler: Scheduler
    targets: TargetClient
    loads: LoadReader
    health: TargetHealth
    suspects: SuspectTable
    peers: PeerClient
    retries: RetryBudget
    log: EventLog
    meter: Meter


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """An admitted request."""

    record: RequestRecord
    kind: Kind
    service: Service
    tier: str
    call: CallerCall
    work: WorkEstimate

    @property
    def has_prefill(self) -> bool:
        """Whether a model engine computes a prefill for the request."""
        return self.service.engine is EngineType.MODEL

    @property
    def fingerprint(self) -> bytes:
        """Hash that is equal for requests that a target handles alike."""
        hasher = xxhash.xxh3_128()
        for part in (self.service.name, self.kind.name, self.call.path):
            hasher.update(part.encode() + b"\0")
        hasher.update(self.call.body)
        return hasher.digest()
