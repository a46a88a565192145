"""How many instances serve callers, and which ones."""

from collections.abc import Callable

from peridotbend.edge.groups import GroupDirectory
from peridotbend.edge.peers import PeerRegistry


class FleetStatus:
    """How many instances serve callers, as far as this one knows."""

    def __init__(self, peers: PeerRegistry, directory: GroupDirectory):
        self._peers = peers
        self._directory = directory
        self._live = 1
        self._expected = 1
        # Tells whether this instance reads the platform's store itself.
        self.reaches_store: Callable[[], bool] = lambda: True

    def set_counts(self, live: int, expected: int) -> None:
        """Sets the numbers of live and expected instances of all groups."""
        self._live = live
        self._expected = max(1, live, expected)

    def count_live_peers(self) -> int:
        """Returns how many other instances are live."""
        if self._directory.is_mesh:
            return len(self._peers.list_live_hosts())
        return self._live - 1

    def list_recent_hosts(self) -> list[str]:
        """Returns the hosts of other instances that may serve callers now."""
        return self._peers.list_recent_hosts()

    def list_possible_hosts(self) -> list[str]:
        """Returns the hosts of other instances that may run, reachable or not.

        Includes those that have only been named.
        """
        return self._peers.list_possible_hosts()

    def knows_fleet(self) -> bool:
        """Tells whether this process has learned of the other instances."""
        return self._peers.contact.knows_fleet(len(self._peers) > 0)

    def is_informed(self) -> bool:
        """Tells whether news of the platform reach this instance."""
        contact = self._peers.contact
        if contact.was_suspended():
            return False
        return contact.hears_fleet() or self.reaches_store()

    def count_instances(self) -> int:
        """Returns how many instances may serve callers, including this one."""
        return max(self._expected, self._peers.count_instances())

    def find_live_share(self) -> float:
        """Returns the live instances as a fraction of all expected ones."""
        if self._directory.is_mesh:
            return self._peers.find_live_share()
        return self._live / self._expected
