"""The active configuration."""

from collections.abc import Callable

from peridotbend.edge.config import EdgeConfig


class ConfigHolder:
    """Holds the newest configuration.

    The version never decreases during the lifetime of a process.
    """

    def __init__(self) -> None:
        self.config: EdgeConfig | None = None
        self._callbacks: list[Callable[[EdgeConfig], None]] = []

    def subscribe(self, callback: Callable[[EdgeConfig], None]) -> None:
        """Calls `callback` with each configuration that becomes active."""
        self._callbacks.append(callback)

    def is_generating(self, service: str) -> bool:
        """Tells whether generations are sent to a service."""
        routes = self.config.routes if self.config is not None else ()
        return any(
            route.is_generation
            and any(used.name == service for used in route.services)
            for route in routes
        )

    def offer(self, config: EdgeConfig) -> bool:
        """Activates a configuration if it is newer than the current one."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        for callback in self._callbacks:
            callback(config)
        return True
