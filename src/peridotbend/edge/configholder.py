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

    def offer(self, config: EdgeConfig) -> bool:
        """Activates a configuration if it is newer than the current one."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        for callback in self._callbacks:
            callback(config)
        return True
