"""The ways to the targets that instances have and lend each other."""

import random

from peridotbend.adapters.pathclient import PathDialer
from peridotbend.adapters.pathserver import PathServer
from peridotbend.domain.clock import Clock
from peridotbend.domain.paths import (
    PathPeers,
    PeerChoice,
    TargetLookup,
    TargetPaths,
)
from peridotbend.domain.ports import EventLog


class PeerPaths:
    """Creates and connects what reaches targets, here and for peers."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        targets: TargetLookup,
        peers: PathPeers,
        log: EventLog,
        connect_timeout_s: float,
    ):
        self.state = TargetPaths(clock, log, targets)
        self.server = PathServer(targets, self.state, peers, connect_timeout_s)
        self.dialer = PathDialer(
            self.state, targets, peers, PeerChoice(clock, rng, peers), log
        )
