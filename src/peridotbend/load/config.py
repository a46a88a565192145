"""What the decisions under load need of the configuration."""

from typing import Protocol


class Service(Protocol):
    """The properties of a service that all its targets share."""

    @property
    def name(self) -> str:
        """Name of the service."""
        ...

    @property
    def has_engine(self) -> bool:
        """Whether its targets read prompts, which takes long for long ones."""
        ...


class Route(Protocol):
    """How requests of one kind are served."""

    @property
    def name(self) -> str:
        """Name of the route."""
        ...

    @property
    def timeout_ms(self) -> int:
        """Time limit of a request."""
        ...

    @property
    def objective_ms(self) -> int:
        """Response-time objective; for streams, of the first event."""
        ...

    @property
    def caller_timeout_ms(self) -> int:
        """How long callers wait for the next event or a complete answer."""
        ...
