"""Finds the kind of a request from its method, path and model."""

import json
from collections import defaultdict

from result import Err, Ok, Result

from peridotbend.domain.text import FleetConfig, Kind, Service
from peridotbend.domain.verdicts import Reason


class KindIndex:
    """Index of the routes of one configuration."""

    def __init__(self, config: FleetConfig):
        self._exact: dict[str, list[Kind]] = defaultdict(list)
        self._prefixes: list[tuple[str, Kind]] = []
        self._services = {service.name: service for service in config.services}
        self._kinds: dict[tuple[str, str], Kind] = {}
        for service in config.services:
            for kind in service.kinds:
                self._add(kind)
        # The longest matching prefix takes precedence.
        self._prefixes.sort(key=lambda item: -len(item[0]))

    def _add(self, kind: Kind) -> None:
        self._kinds[kind.service, kind.name] = kind
        if kind.path.endswith("*"):
            self._prefixes.append((kind.path[:-1], kind))
        else:
            self._exact[kind.path].append(kind)

    def find(self, service: str, kind: str) -> Kind | None:
        """Returns a kind by the names of its service and itself."""
        return self._kinds.get((service, kind))

    def find_service(self, kind: Kind) -> Service:
        """Returns the service of a kind of this configuration."""
        return self._services[kind.service]

    def find_body_limit(self, method: str, path: str) -> Result[int, Reason]:
        """Returns the largest body that any kind of a route accepts."""
        return self._find_by_route(method, path).map(
            lambda kinds: max(kind.max_body_bytes for kind in kinds)
        )

    def list_methods(self, path: str) -> tuple[str, ...]:
        """Returns the methods of a path."""
        return tuple(sorted({kind.method for kind in self._find_by_path(path)}))

    def match(
        self, method: str, path: str, body: bytes
    ) -> Result[Kind, Reason]:
        """Returns the kind that a call belongs to, or why there is none."""
        found = self._find_by_route(method, path)
        if isinstance(found, Err):
            return found
        kinds = found.ok_value
        if any(kind.model for kind in kinds):
            matched = _match_model(kinds, body)
        else:
            matched = Ok(kinds[0])
        return matched.and_then(lambda kind: _check_size(kind, body))

    def _find_by_route(
        self, method: str, path: str
    ) -> Result[list[Kind], Reason]:
        kinds = self._find_by_path(path)
        if not kinds:
            return Err(Reason.UNKNOWN_KIND)
        kinds = [kind for kind in kinds if kind.method == method]
        return Ok(kinds) if kinds else Err(Reason.WRONG_METHOD)

    def _find_by_path(self, path: str) -> list[Kind]:
        path = path.partition("?")[0]
        return self._exact.get(path) or [
            kind for prefix, kind in self._prefixes if path.startswith(prefix)
        ]


def _check_size(kind: Kind, body: bytes) -> Result[Kind, Reason]:
    if len(body) > kind.max_body_bytes:
        return Err(Reason.TOO_LARGE)
    return Ok(kind)


def _match_model(kinds: list[Kind], body: bytes) -> Result[Kind, Reason]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return Err(Reason.BAD_INPUT)
    model = document.get("model") if isinstance(document, dict) else None
    for kind in kinds:
        if kind.model == model:
            return Ok(kind)
    fallback = next((kind for kind in kinds if not kind.model), None)
    return Ok(fallback) if fallback else Err(Reason.UNKNOWN_KIND)
