"""Settings of an entry instance on the users' platform."""

import dataclasses

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeSettings:
    """What a process learns from its settings file."""

    name: str
    zone: str
    # Where callers connect.
    callers: Address
    # Where the platform asks whether this instance takes callers.
    health: Address
    # Where other instances call, and where their digests arrive. The ports
    # are the same on all instances.
    peers: Address
    digests: Address
    # Peer addresses of some instances, which may be down.
    seeds: tuple[Address, ...]
    store: Address
    # From SIGTERM until the platform kills the process.
    grace_ms: int
    # Extra sends that all instances together may make in the window: a share
    # of the requests plus a fixed number.
    resend_share: float
    resend_slack: float
    resend_window_ms: int
    # What all instances together may admit beyond the allowance of an account
    # within the window, since each knows the spending of the others late: a
    # share of the allowance plus a fixed number of tokens.
    allowance_window_ms: int
    allowance_overage: float
    allowance_slack: float
