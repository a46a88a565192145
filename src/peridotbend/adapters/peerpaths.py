"""The ways to the targets that instances have and lend each other."""

import random

from peridotbend.adapters.pathclient import PathDialer
from peridotbend.adapters.pathserver import PathServer
from peridotbend.domain.clock import Clock
from peridotbend.domain.membership import Roster
from peridotbend.domain.paths import (
    PathPeers,
    PeerChoice,
    TargetLookup,
    TargetPaths,
)
from peridotbend.domain.ports import EventLog
from peridotbend.edge.fleetstatus import FleetStatus
from peridotbend.edge.peers import PeerRegistry


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


class RegistryPeers:
    """The instances on the users' platform, by host."""

    def __init__(
        self, registry: PeerRegistry, status: FleetStatus, zone: str, port: int
    ):
        """Creates the view.

        Args:
            registry: all known instances.
            status: which of them serve callers.
            zone: of this instance.
            port: on which all instances serve their peers.
        """
        self._registry = registry
        self._status = status
        self._zone = zone
        self._port = port

    def list_serving(self) -> list[str]:
        """Returns the instances that may serve callers now."""
        return self._status.list_recent_hosts()

    def is_near(self, peer: str) -> bool:
        """Tells whether an instance is in the same zone."""
        return self._registry.find_zone(peer) == self._zone

    def locate(self, peer: str) -> tuple[str, int]:
        """Returns the address at which an instance serves its peers."""
        return peer, self._port

    def is_instance(self, host: str) -> bool:
        """Tells whether a host is that of an instance."""
        return self._registry.is_known(host)


class RosterPeers:
    """The instances of the product's own interface, by name."""

    def __init__(self, roster: Roster):
        self._roster = roster

    def list_serving(self) -> list[str]:
        """Returns the instances that may serve callers now."""
        return [
            peer.name
            for peer in self._roster.list_live_peers()
            if not peer.draining
        ]

    def is_near(self, peer: str) -> bool:
        """Tells whether an instance is in the same zone."""
        found = self._roster.find_peer(peer)
        return found is not None and found.zone == self._roster.own.zone

    def locate(self, peer: str) -> tuple[str, int]:
        """Returns the address at which an instance serves its peers."""
        found = self._roster.find_peer(peer)
        return (found.host, found.port) if found else ("", 0)

    def is_instance(self, host: str) -> bool:
        """Tells whether a host is that of an instance."""
        return any(
            peer.host == host for peer in self._roster.list_known_peers()
        )
