"""The instances on the users' platform, as ways to the targets."""

from peridotbend.edge.fleetstatus import FleetStatus
from peridotbend.edge.peers import PeerRegistry


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
