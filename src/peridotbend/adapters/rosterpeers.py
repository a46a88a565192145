"""The instances of the product's own interface, as ways to the targets."""

from peridotbend.domain.membership import Roster


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
