"""What tells an instance whether its knowledge of the fleet is current."""

from peridotbend.domain.clock import Clock

# A process that has just started learns of the other instances by digests of
# others. It takes its list for complete when the list has not grown for this
# time, which covers several rounds of digests.
SETTLE_MS = 3_000
# Digests are exchanged at least every 400 ms. An instance that exchanged none
# for this long was suspended, and one that got none is cut off.
SILENCE_MS = 1_500
# An instance that was suspended or cut off has the news of the others after
# this time.
CATCH_UP_MS = 1_000


class FleetContact:
    """When this instance exchanged digests with others."""

    def __init__(self, clock: Clock):
        self._clock = clock
        now_ms = clock.now_ms()
        self._grown_at_ms = now_ms
        self._turned_at_ms = now_ms
        # None before the first digest.
        self._heard_at_ms: int | None = None
        self._caught_up_at_ms = now_ms
        self._has_settled = False

    def note_new_host(self) -> None:
        """Records that an instance became known."""
        self._grown_at_ms = self._clock.now_ms()

    def note_turn(self) -> None:
        """Records that this instance takes part in an exchange of digests."""
        self._note_gap(self._turned_at_ms)
        self._turned_at_ms = self._clock.now_ms()

    def note_heard(self) -> None:
        """Records that a digest of another instance arrived."""
        if self._heard_at_ms is not None:
            self._note_gap(self._heard_at_ms)
        self._heard_at_ms = self._clock.now_ms()

    def knows_fleet(self, has_peers: bool) -> bool:
        """Tells whether the list of instances was complete at any time.

        Args:
            has_peers: whether there are others, as far as is known.
        """
        if not self._has_settled:
            is_alone = self._heard_at_ms is None and has_peers
            settled_ms = self._clock.now_ms() - self._grown_at_ms
            self._has_settled = not is_alone and settled_ms >= SETTLE_MS
        return self._has_settled

    def was_suspended(self) -> bool:
        """Tells whether news of the time of a pause may be missing here."""
        now_ms = self._clock.now_ms()
        return (
            now_ms - self._turned_at_ms > SILENCE_MS
            or now_ms < self._caught_up_at_ms
        )

    def hears_fleet(self) -> bool:
        """Tells whether a digest arrived lately."""
        if self._heard_at_ms is None:
            return False
        return self._clock.now_ms() - self._heard_at_ms <= SILENCE_MS

    def _note_gap(self, last_ms: int) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - last_ms > SILENCE_MS:
            self._caught_up_at_ms = now_ms + CATCH_UP_MS
