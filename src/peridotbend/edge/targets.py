"""The targets that the platform lists, and which of them take requests."""

import dataclasses
from collections.abc import Iterator

from peridotbend.domain.clock import Clock

# The platform brings back entries that lapsed during an outage of its store
# within about 2 s of its return; a little less keeps the bound on sending to
# targets that are gone.
LAPSE_GRACE_MS = 1_800


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeTarget:
    """One start of a target as the platform lists it."""

    # Names the target in requests, so that no other process on its address
    # runs them.
    name: str
    service: str
    host: str
    port: int
    zone: str
    # Requests that it works on at once.
    slots: int
    is_leaving: bool
    # Unix time of its start; tells a restart under the same name.
    started_at_ms: int


class TargetList:
    """All listed targets by service."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._targets: dict[str, EdgeTarget] = {}
        # Removed targets that are kept until then.
        self._lapsed: dict[str, int] = {}
        self._by_service: dict[str, list[EdgeTarget]] = {}
        self._store_back_at_ms: int | None = None
        self._store_away = False

    def note_store_away(self) -> None:
        """Notes that the store does not answer."""
        self._store_away = True

    def note_store_back(self) -> None:
        """Notes that the store answers; entries may lack for a moment."""
        if self._store_away:
            self._store_away = False
            self._store_back_at_ms = self._clock.now_ms()

    def put(self, target: EdgeTarget) -> None:
        """Adds or updates a target."""
        self._targets[target.name] = target
        self._lapsed.pop(target.name, None)
        self._by_service.clear()

    def remove(self, name: str) -> None:
        """Removes a target, later if its entry may only have lapsed."""
        target = self._targets.get(name)
        if target is None:
            return
        keep_until_ms = self._find_grace_end()
        if keep_until_ms is not None and not target.is_leaving:
            self._lapsed.setdefault(name, keep_until_ms)
            return
        del self._targets[name]
        self._lapsed.pop(name, None)
        self._by_service.clear()

    def find(self, name: str) -> EdgeTarget | None:
        """Returns a target by name."""
        self._expire()
        return self._targets.get(name)

    def list_for(self, service: str) -> list[EdgeTarget]:
        """Returns the targets of a service that take new requests."""
        self._expire()
        found = self._by_service.get(service)
        if found is None:
            found = [
                target
                for target in self._targets.values()
                if target.service == service and not target.is_leaving
            ]
            self._by_service[service] = found
        return found

    def is_current(self, target: EdgeTarget) -> bool:
        """Tells whether that start of a target still takes requests."""
        known = self.find(target.name)
        return (
            known is not None
            and not known.is_leaving
            and known.started_at_ms == target.started_at_ms
        )

    def __len__(self) -> int:
        return len(self._targets)

    def __iter__(self) -> Iterator[EdgeTarget]:
        return iter(self._targets.values())

    def _find_grace_end(self) -> int | None:
        now_ms = self._clock.now_ms()
        if self._store_away:
            return now_ms + LAPSE_GRACE_MS
        if self._store_back_at_ms is None:
            return None
        end_ms = self._store_back_at_ms + LAPSE_GRACE_MS
        return end_ms if end_ms > now_ms else None

    def _expire(self) -> None:
        if not self._lapsed:
            return
        now_ms = self._clock.now_ms()
        for name, until_ms in list(self._lapsed.items()):
            if until_ms <= now_ms:
                del self._lapsed[name]
                self._targets.pop(name, None)
                self._by_service.clear()
