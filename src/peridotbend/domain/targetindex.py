"""The targets of the configuration in force, by name and by service."""

from collections.abc import Sequence

from peridotbend.domain.text import FleetConfig, Target


class TargetIndex:
    """Finds targets; it is empty until the first configuration."""

    def __init__(self) -> None:
        self._by_name: dict[str, Target] = {}
        self._by_service: dict[str, Sequence[Target]] = {}

    def apply_config(self, config: FleetConfig) -> None:
        """Takes over the targets of a configuration."""
        self._by_service = {
            service.name: service.targets for service in config.services
        }
        self._by_name = {
            target.name: target
            for targets in self._by_service.values()
            for target in targets
        }

    def find(self, name: str) -> Target | None:
        """Returns a target by name."""
        return self._by_name.get(name)

    def list_for(self, service: str) -> Sequence[Target]:
        """Returns the targets of a service."""
        return self._by_service.get(service, ())

    def list_all(self) -> tuple[Target, ...]:
        """Returns the targets of all services."""
        return tuple(self._by_name.values())
