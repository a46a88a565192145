"""The text: the operators' configuration, parsed and frozen.

Adapters read YAML and build these objects; the domain never sees YAML.
All times are in milliseconds and all sizes in bytes.
"""

import dataclasses
import enum


class EngineType(enum.StrEnum):
    """What stands behind the targets of a service."""

    MODEL = "model"
    APPLICATION = "application"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account: its credential, its weight and its limits."""

    name: str
    # Hex SHA-256 of the bearer key; empty only for `anonymous`.
    bearer_sha256: str = ""
    weight: int = 1
    # Sustained work units per second; 0 means no limit.
    work_per_s: int = 0
    # Most requests waiting or running at one entry instance; 0 is no limit.
    max_concurrent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request to one service."""

    name: str
    service: str
    method: str
    path: str
    # Value of the `model` field in the body that selects this kind, or "".
    model: str
    # Index into FleetConfig.tiers; 0 is the highest.
    tier: int
    idempotent: bool
    deadline_ms: int
    max_body_bytes: int
    max_answer_bytes: int
    # How long the ID is valid and the answer can be fetched.
    keep_answer_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A back end as the text lists it."""

    name: str
    service: str
    zone: str
    host: str
    port: int
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service: its kinds, its targets and what it depends on."""

    name: str
    engine: EngineType
    depends_on: tuple[str, ...]
    kinds: tuple[Kind, ...]
    targets: tuple[Target, ...]
    # Work units that one target may have in flight before anything is learnt.
    initial_window: int
    # Bounds of the adaptive window, in work units.
    min_window: int
    max_window: int
    # Most requests of this service that wait at one entry instance.
    max_queue: int


@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfig:
    """One accepted version of the text."""

    version: int
    tiers: tuple[str, ...]
    clients: tuple[ClientAccount, ...]
    services: tuple[Service, ...]
    # The YAML source and its SHA-256, passed on to peers unchanged.
    source: str = dataclasses.field(repr=False, default="")
    digest: bytes = b""

    def find_service(self, name: str) -> Service | None:
        """Returns the service of that name, if the text has it."""
        return next((s for s in self.services if s.name == name), None)
