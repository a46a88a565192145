"""Settings of an edge instance on the users' platform."""

import dataclasses

Address = tuple[str, int]

# Peers and the platform know a running process by these.
_FIXED_SETTINGS = (
    "name",
    "zone",
    "callers",
    "health",
    "peers",
    "digests",
    "origins",
)


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeSettings:
    """The contents of the settings file of a process."""

    name: str
    zone: str
    # Listening address for callers.
    callers: Address
    # Listening address for the readiness check of the platform.
    health: Address
    # Listening addresses for calls of peers, for their digests and for notices
    # on the origins of streams. The ports are the same on all instances.
    peers: Address
    digests: Address
    origins: Address
    # Peer addresses of some instances, not all of which have to be running.
    seeds: tuple[Address, ...]
    store: Address
    # Interval at which targets renew their entries in the store.
    heartbeat_ms: int
    # Time between SIGTERM and SIGKILL by the platform.
    grace_ms: int
    # Limit on the extra sends of all instances within the window: a share of
    # the requests plus a fixed number.
    resend_share: float
    resend_slack: float
    resend_window_ms: int
    # Limit on what all instances admit beyond the allowance of an account
    # within the window: a share of the allowance plus a fixed number of
    # tokens. It is needed since spending is reported to peers with a delay.
    allowance_window_ms: int
    allowance_overage: float
    allowance_slack: float
    # Limit on the requests that a cold target gets in a second from all
    # instances: a multiple of what it takes plus a fixed number. None for no
    # limit.
    cold_overage: float | None = None
    cold_slack: float = 0.0
    # File descriptors of the process; 0 if unknown.
    max_open_files: int = 0
    # Memory of the machine in MiB; 0 if unknown.
    memory_mb: int = 0

    def find_fixed_changes(self, changed: "EdgeSettings") -> tuple[str, ...]:
        """Returns the names of changed settings that need a restart."""
        return tuple(
            name
            for name in _FIXED_SETTINGS
            if getattr(self, name) != getattr(changed, name)
        )
