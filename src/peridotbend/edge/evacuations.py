"""The availability zones whose targets get nothing new, as operators asked."""

from collections.abc import Iterator

from peridotbend.domain.clock import Clock


class EvacuatedZones:
    """The zones that operators have evacuated and not taken back.

    A store that is restored from an older copy may lack an evacuation that it
    has acknowledged. Such a one goes on for a time in which its operator can
    ask again, since sending there is what must not happen.
    """

    def __init__(self, clock: Clock, keep_ms: int = 0):
        """Creates an empty table.

        Args:
            clock: source of time.
            keep_ms: how long an evacuation goes on that a restored store lacks.
        """
        self._clock = clock
        self._keep_ms = keep_ms
        self._since_ms: dict[str, int] = {}
        # When the evacuations end that a restored store lacks.
        self._ends_due_ms: dict[str, int] = {}
        self._restored_at_ms: int | None = None

    def __bool__(self) -> bool:
        return bool(self._since_ms)

    def __contains__(self, zone: str) -> bool:
        return zone in self._since_ms

    def __iter__(self) -> Iterator[str]:
        return iter(self._since_ms)

    def __len__(self) -> int:
        return len(self._since_ms)

    def note_store_restored(self) -> None:
        """Records that the store came back from an older copy."""
        self._restored_at_ms = self._clock.now_ms()

    def put(self, zone: str) -> bool:
        """Records that a zone is evacuated; tells whether that is new."""
        self._ends_due_ms.pop(zone, None)
        if zone in self._since_ms:
            return False
        self._since_ms[zone] = self._clock.now_ms()
        return True

    def remove(self, zone: str) -> bool:
        """Records that a zone was taken back; tells whether it is now."""
        if zone not in self._since_ms:
            return False
        now_ms = self._clock.now_ms()
        if self._restored_at_ms is not None:
            due_ms = self._restored_at_ms + self._keep_ms
            if now_ms < due_ms:
                self._ends_due_ms[zone] = due_ms
                return False
        del self._since_ms[zone]
        return True

    def remove_overdue(self) -> list[str]:
        """Takes back the zones that nobody has evacuated again."""
        now_ms = self._clock.now_ms()
        ended = [
            zone
            for zone, due_ms in self._ends_due_ms.items()
            if due_ms <= now_ms
        ]
        for zone in ended:
            del self._ends_due_ms[zone]
            del self._since_ms[zone]
        return ended

    def dump(self) -> dict[str, int]:
        """Returns for how many ms each zone has been evacuated here."""
        now_ms = self._clock.now_ms()
        return {
            zone: now_ms - since_ms for zone, since_ms in self._since_ms.items()
        }
