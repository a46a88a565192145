"""Connections that wait for their callers, in the order to close them in."""

from typing import Protocol

from peridotbend.domain.clock import Clock

# A connection that has waited for less is not closed to make room: what its
# caller has sent may not be read yet.
MIN_WAIT_MS = 100


class WaitingConnection(Protocol):
    """A connection that can be closed while it waits for its caller."""

    def give_way(self) -> bool:
        """Closes the connection, of whose request nothing has run.

        Returns:
            False if it can't be closed now; a time limit ends it later.
        """
        ...


class WaitingConnections:
    """The connections of one listener whose callers owe them bytes.

    Each is known since it began to wait, not since its last byte, so that a
    byte now and then gains a slow caller no time.
    """

    def __init__(self, clock: Clock):
        self.closed = 0
        self._clock = clock
        # In the order in which they began to wait.
        self._for_heads: dict[WaitingConnection, int] = {}
        self._for_bodies: dict[WaitingConnection, int] = {}

    def wait_for_head(self, connection: WaitingConnection) -> None:
        """Notes that a connection is idle, or has begun to read a head."""
        self.remove(connection)
        self._for_heads[connection] = self._clock.now_ms()

    def wait_for_body(self, connection: WaitingConnection) -> None:
        """Notes that a connection has read a head and waits for the body."""
        self.remove(connection)
        self._for_bodies[connection] = self._clock.now_ms()

    def remove(self, connection: WaitingConnection) -> None:
        """Notes that a connection waits no longer."""
        self._for_heads.pop(connection, None)
        self._for_bodies.pop(connection, None)

    def close_oldest(self) -> bool:
        """Closes the one that has waited longest, without a body if any.

        Returns:
            whether there was one.
        """
        latest_ms = self._clock.now_ms() - MIN_WAIT_MS
        for waiting in (self._for_heads, self._for_bodies):
            while waiting:
                connection, since_ms = next(iter(waiting.items()))
                if since_ms > latest_ms:
                    break
                del waiting[connection]
                if connection.give_way():
                    self.closed += 1
                    return True
        return False
