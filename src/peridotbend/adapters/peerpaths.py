"""The ways to the targets that instances have and lend each other."""

import random

from peridotbend.adapters.pathclient import PathDialer
from peridotbend.adapters.pathserver import PathServer
from peridotbend.adapters.peers import ChannelPool
from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import EventLog
from peridotbend.edge.fleetstatus import FleetStatus
from peridotbend.edge.paths import PathPeers, TargetPaths
from peridotbend.edge.peers import PeerRegistry
from peridotbend.edge.settings import EdgeSettings
from peridotbend.edge.targets import TargetList


class PeerPaths:
    """Creates and connects what reaches targets, here and for peers."""

    def __init__(
        self,
        settings: EdgeSettings,
        clock: Clock,
        targets: TargetList,
        peers: PeerRegistry,
        status: FleetStatus,
        log: EventLog,
        rng: random.Random,
        connect_timeout_s: float,
    ):
        self.state = TargetPaths(clock, log, targets)
        self.channels = ChannelPool()
        self.server = PathServer(
            targets, self.state, peers.is_known, connect_timeout_s
        )
        chosen = PathPeers(
            clock,
            rng,
            settings.zone,
            status.list_recent_hosts,
            peers.find_zone,
        )
        self.dialer = PathDialer(
            self.state,
            chosen,
            targets,
            self.channels,
            settings.peers[1],
            log,
        )
