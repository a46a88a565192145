"""Documents of the platform: configuration, settings file and entries."""

import dataclasses
import enum
import json
from collections.abc import Mapping
from typing import Any

HOST_NAME = "shop.example"
KEY = "key-of-acme"
STREAM_SERVICE = "peridot-pool"
CALL_SERVICE = "peridot-app"
ZONE = "zone-a"
OTHER_ZONE = "zone-b"
DRAIN_S = 2.0
GRACE_S = 8.0
HEARTBEAT_S = 1.2
# An address may have another runner so long after the last one has ended.
REUSE_AFTER_S = 1.0
CONTACT_MS = 3_000
LOSS_SLACK_MS = 200
ROLLBACK_SLACK_MS = 250
MEMORY_MB = 300
MAX_FILES = 4_100
FIRST_VERSION = 7


# Changes of the settings file of a running instance: one that it applies, one
# that needs a restart, one that is not valid, and one that it doesn't know.
SETTINGS_CHANGES: dict[str, dict[str, Any]] = {
    "no seeds": {"seeds": []},
    "another zone": {"zone": "zone-b"},
    "no address": {"listen": {}},
    "a new field": {"a_new_field": [1]},
}


class Kind(enum.Enum):
    """What a route says of repeating its requests."""

    STREAM = "streaming"
    IDEMPOTENT = "idempotent"
    SINGLE = "non_idempotent"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the soak."""

    prefix: str
    kind: Kind
    timeout_ms: int
    objective_ms: int
    max_attempts: int = 2
    is_resumable: bool = False
    # Range of the number of events, or of the bytes of a body.
    sizes: tuple[int, int] = (9, 60)

    @property
    def service(self) -> str:
        """The service whose runners may run its requests."""
        is_stream = self.kind is Kind.STREAM
        return STREAM_SERVICE if is_stream else CALL_SERVICE

    @property
    def runs_once(self) -> bool:
        """Whether an attempt may run once at most."""
        if self.kind is Kind.STREAM:
            return not self.is_resumable
        return self.kind is Kind.SINGLE


ROUTES = (
    Route("/r/", Kind.STREAM, 12_000, 800, is_resumable=True),
    Route("/s/", Kind.STREAM, 3_000, 500, is_resumable=True, sizes=(1, 8)),
    Route("/p/", Kind.STREAM, 3_000, 500, sizes=(1, 8)),
    Route("/q/", Kind.STREAM, 12_000, 400, max_attempts=1),
    Route("/i/", Kind.IDEMPOTENT, 1_500, 125, sizes=(0, 9_000)),
    Route("/n/", Kind.SINGLE, 1_500, 125, sizes=(0, 9_000)),
)


def make_key(version: int) -> str:
    """Returns the key that only one version of the configuration has."""
    return f"{KEY}-{version}"


def make_config(version: int = FIRST_VERSION) -> dict[str, Any]:
    """Returns the configuration that the operator writes."""
    return {
        "version": version,
        "routes": [_describe_route(route) for route in ROUTES],
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 370}
            for name in (STREAM_SERVICE, CALL_SERVICE)
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {
                "name": "acme",
                "api_keys": [KEY, make_key(version)],
                "priority": 1,
                "unit": "token_stream",
                "uncached_tokens": 200,
                "rate_per_s": 0,
                "burst": 0,
            }
        ],
    }


def _describe_route(route: Route) -> dict[str, Any]:
    is_stream = route.kind is Kind.STREAM
    return {
        "name": f"r-{route.prefix.strip('/')}",
        "host": HOST_NAME,
        "path_prefix": route.prefix,
        "route_kind": route.kind.value,
        "timeout_ms": route.timeout_ms,
        "goal_ms": route.objective_ms,
        "priority": 2,
        "service": route.service,
        "max_attempts": route.max_attempts,
        "public": False,
        "sticky": is_stream,
        "resumable": route.is_resumable,
        "gap_goal_ms": 400 if is_stream else 0,
    }


@dataclasses.dataclass(frozen=True, slots=True)
class InstancePorts:
    """Ports of an instance; all instances use the same ones."""

    callers: int
    health: int
    peers: int
    # The first of some internal ports.
    internal: int


def make_settings(
    name: str,
    host: str,
    ports: InstancePorts,
    seed_hosts: tuple[str, ...],
    store_address: str,
    zone: str = ZONE,
) -> dict[str, Any]:
    """Returns the settings file of an instance."""
    return {
        "node_name": name,
        "role": "edge",
        "serves": ["edge", "control_plane"],
        "ip": host,
        "zone": zone,
        "region": "r",
        "zones": {ZONE: "r", OTHER_ZONE: "r"},
        "listen": {
            "frontend": f"{host}:{ports.callers}",
            "ready": f"{host}:{ports.health}",
            "control_plane": f"{host}:{ports.peers}",
        },
        "internal_ports": [ports.internal, ports.internal + 1],
        "seeds": [f"{seed}:{ports.peers}" for seed in seed_hosts],
        "limits": {
            "max_fds": MAX_FILES,
            "memory_mb": MEMORY_MB,
            "cores": 2,
        },
        "heartbeat_ms": round(HEARTBEAT_S * 1_000),
        "bounds": {
            "contact_ms": CONTACT_MS,
            "drain_ms": round(DRAIN_S * 1_000),
            "grace_s": GRACE_S,
            "config_apply_ms": 2_000,
            "retry_budget_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 56,
            "quota_window_s": 8,
            "quota_overage": 0.25,
            "quota_slack": 140_000,
        },
        "platform": {
            "address": store_address,
            "form": "read",
            "reads_per_s": 2_000,
            "history_s": 20,
        },
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The entry of a runner, the same for all instances but its address."""

    service: str
    zone: str
    software: str
    slots: int
    started_at_ms: int
    sequence: int
    is_leaving: bool = False

    def describe(self, address: str) -> dict[str, Any]:
        """Returns the document for an instance that uses an address."""
        return {
            "service": self.service,
            "address": address,
            "zone": self.zone,
            "version": self.software,
            "slots": self.slots,
            "state": "draining" if self.is_leaving else "ready",
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.started_at_ms,
        }


def make_report(
    started_at_ms: int, sequence: int, active: int
) -> dict[str, Any]:
    """Returns what a runner says of itself."""
    return {
        "stage": "hybrid",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "busy": False,
        "sequence": sequence,
        "queued": 0,
        "active": active,
        "kv_used": 0,
        "kv_total": 90_000,
        "kv_handles": 0,
        "pinned": 0,
        "held": 0,
        "next": 0,
        "runs": [],
        "born": started_at_ms,
    }


def list_bad_reports(started_at_ms: int) -> tuple[bytes, ...]:
    """Returns reports that are cut, empty, no object, or name no start."""
    report = make_report(started_at_ms, 0, 0)
    whole = json.dumps(report).encode()
    bad_starts = str(started_at_ms), 1e300, 1 << 70, -1
    return (
        whole[: len(whole) // 2],
        b"",
        b"[1]",
        b"{}",
        *(json.dumps({**report, "born": bad}).encode() for bad in bad_starts),
    )


def make_part_list(born_ms: int, parts: Mapping[str, int]) -> dict[str, Any]:
    """Returns the list of the prompt parts that a runner keeps."""
    return {
        "epoch": born_ms,
        "next": 1,
        "held": [["", name, tokens, "m"] for name, tokens in parts.items()],
        "born": born_ms,
    }
