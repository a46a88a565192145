"""Applies the entries by which operators evacuate zones."""

from collections.abc import Callable, Iterable

from result import Err, Result

from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edge.published import Item
from peridotbend.edge.targets import TargetList


class EvacuationEntries:
    """Keeps the evacuated zones of a list of targets as the store has them."""

    def __init__(
        self,
        targets: TargetList,
        decode: Callable[[str, bytes], Result[str, str]],
        find_zone: Callable[[str], str],
        log: EventLog,
        on_change: Callable[[], None],
    ):
        """Creates the link between entries and targets.

        Args:
            targets: of all zones.
            decode: returns the zone that an entry evacuates.
            find_zone: returns the zone that a key stands for, or "".
            log: receives what changes, and entries that name no zone.
            on_change: called after other targets accept requests.
        """
        self._targets = targets
        self._decode = decode
        self._find_zone = find_zone
        self._log = log
        self._on_change = on_change

    def apply(self, items: Iterable[Item]) -> None:
        """Applies changed entries; one that is odd changes nothing."""
        changes = [self._apply_one(item) for item in items]
        if any(changes):
            self._on_change()

    def end_lost(self) -> None:
        """Ends the evacuations that a restored store lacks, after some time."""
        ended = self._targets.readmit_overdue()
        for zone in ended:
            self._log.emit(Event.ZONE_READMITTED, zone=zone, revision=None)
        if ended:
            self._on_change()

    def _apply_one(self, item: Item) -> bool:
        """Applies an entry; tells whether it changes what holds."""
        revision = item.position.revision
        if item.value is None:
            zone = self._find_zone(item.key)
            if not self._targets.readmit(zone):
                return False
            self._log.emit(Event.ZONE_READMITTED, zone=zone, revision=revision)
            return True
        decoded = self._decode(item.key, item.value)
        if isinstance(decoded, Err):
            self._log.emit(
                Event.ENTRY_SKIPPED,
                entry=item.key,
                revision=revision,
                problem=decoded.err_value,
            )
            return False
        zone = decoded.ok_value
        if not self._targets.evacuate(zone):
            return False
        self._log.emit(Event.ZONE_EVACUATED, zone=zone, revision=revision)
        return True
