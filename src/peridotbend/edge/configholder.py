"""The configuration in force."""

from collections.abc import Callable

from peridotbend.edge.config import EdgeConfig


class ConfigHolder:
    """Keeps the newest configuration; versions only grow in one process."""

    def __init__(self) -> None:
        self.config: EdgeConfig | None = None
        self._callbacks: list[Callable[[EdgeConfig], None]] = []

    def subscribe(self, callback: Callable[[EdgeConfig], None]) -> None:
        """Calls `callback` with each configuration that comes into force."""
        self._callbacks.append(callback)

    def offer(self, config: EdgeConfig) -> bool:
        """Puts a configuration in force if it is newer."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        for callback in self._callbacks:
            callback(config)
        return True
