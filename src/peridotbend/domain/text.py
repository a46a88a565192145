"""The operators' configuration, as parsed and immutable objects.

Logs, metrics and the peer protocol call the configuration "text". Adapters
parse the YAML source and build these objects; the domain never parses YAML.
All times are in milliseconds and all sizes in bytes.
"""

import dataclasses
import enum

# Tiers of one text, and those that digests name.
MAX_TIERS = 16


class EngineType(enum.StrEnum):
    """Type of the back ends of a service."""

    MODEL = "model"
    APPLICATION = "application"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account: credential, weight and limits."""

    name: str
    # Hex SHA-256 of the bearer key; empty only for `anonymous`.
    bearer_sha256: str = ""
    weight: int = 1
    # Sustained work units per second; 0 means no limit.
    work_per_s: int = 0
    # Limit on requests waiting or running on one entry instance; 0 means no
    # limit.
    max_concurrent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request to a service."""

    name: str
    service: str
    method: str
    path: str
    # Value of the body's `model` field that selects this kind, or "".
    model: str
    # Index into FleetConfig.tiers; 0 is the highest priority.
    tier: int
    idempotent: bool
    deadline_ms: int
    max_body_bytes: int
    max_answer_bytes: int
    # How long the request ID is valid and the answer can be fetched.
    keep_answer_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A back end listed in the configuration."""

    name: str
    service: str
    zone: str
    host: str
    port: int
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service: its request kinds, targets and dependencies."""

    name: str
    engine: EngineType
    depends_on: tuple[str, ...]
    kinds: tuple[Kind, ...]
    targets: tuple[Target, ...]
    # Work units that a new target may have in flight before the window adapts.
    initial_window: int
    # Bounds of the adaptive window, in work units.
    min_window: int
    max_window: int
    # Limit on requests of this service that wait on one entry instance.
    max_queue: int


@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfig:
    """One version of the whole configuration."""

    version: int
    tiers: tuple[str, ...]
    clients: tuple[ClientAccount, ...]
    services: tuple[Service, ...]
    # The YAML source and its SHA-256 digest, forwarded to peers unchanged.
    source: str = dataclasses.field(repr=False, default="")
    digest: bytes = b""

    def find_service(self, name: str) -> Service | None:
        """Returns the service with this name, or None."""
        return next((s for s in self.services if s.name == name), None)
