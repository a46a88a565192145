"""One limit on the memory that callers can make the process hold."""

from typing import Protocol

from peridotbend.adapters.turnedaway import TurnedAway, Way
from peridotbend.domain.answers import ByteBudget
from peridotbend.domain.clock import Clock, SystemClock

MIB = 1_048_576
# What a process takes without callers; 45 to 46 MB were measured at rest.
REST_BYTES = 48 * MIB
# Less would not hold one body of 4 MiB beside a head of the shortest lines.
MIN_LIMIT_BYTES = 12 * MIB
# For processes whose settings don't tell the memory of the machine.
DEFAULT_LIMIT_BYTES = 96 * MIB
# A header line is held as several objects: 215 to 300 bytes were measured for
# each line of a request that waits, and more while it is sent.
LINE_BYTES = 512
# The bytes of a head are held as they came, decoded, and encoded for a target.
HEAD_COPIES = 3
# Objects of a request that do not depend on its size.
REQUEST_BYTES = 8_192
# What must stay free, in multiples of a request's own memory. Large requests
# are thereby refused first, and ordinary ones go on.
HEADROOM = 4
# Larger requests are refused rather than close a connection whose caller is
# owed an answer. A full head of 100 lines takes up 97 KB with its request.
MAX_ORDINARY_BYTES = 131_072
# Time for which memory is held before its holder is closed for others. Proper
# callers send a head at once; they may read an answer over a slow link.
MIN_HEAD_MS = 250
MIN_UNREAD_MS = 2_000


class Holder(Protocol):
    """A connection whose memory can be freed by closing it."""

    def free_memory(self, way: Way) -> None:
        """Refuses the request that is read, or drops the unread answer."""
        ...


class CallerMemory:
    """The memory for heads, bodies, waiting requests and unread answers."""

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        turned_away: TurnedAway | None = None,
        clock: Clock | None = None,
    ):
        self.budget = ByteBudget(limit_bytes)
        self.turned_away = turned_away or TurnedAway()
        self._clock = clock or SystemClock()
        # Incomplete heads and unread answers by the time since when they are
        # held, the oldest first.
        self._heads: dict[Holder, int] = {}
        self._unread: dict[Holder, int] = {}

    def reserve_head(self, holder: Holder, size: int, total: int) -> bool:
        """Reserves more memory for a head.

        Args:
            holder: the connection that reads it.
            size: the bytes to reserve.
            total: the bytes of the whole request, including `size`.

        Returns:
            False if there is too little, even after others gave way.
        """
        asked = size + HEADROOM * total
        closes_answers = total <= MAX_ORDINARY_BYTES
        return self._make_room(holder, asked, closes_answers) and (
            self.budget.reserve(size)
        )

    def reserve_unread(self, holder: Holder, size: int) -> int:
        """Reserves memory that the unread part of an answer takes already.

        Others that have held theirs for longer are closed if it is short.

        Returns:
            the reserved bytes, fewer if there are not as many left.
        """
        if not self._make_room(holder, size, closes_answers=True):
            size = self.budget.limit_bytes - self.budget.used_bytes
        self.budget.reserve(size)
        return size

    def hold_head(self, holder: Holder) -> None:
        """Notes that memory is held for a head that is incomplete."""
        self._heads.setdefault(holder, self._clock.now_ms())

    def hold_unread(self, holder: Holder) -> None:
        """Notes that memory is held for an answer that is not read."""
        self._unread.setdefault(holder, self._clock.now_ms())

    def drop_head(self, holder: Holder) -> None:
        """Notes that the head is complete, or never will be."""
        self._heads.pop(holder, None)

    def drop_unread(self, holder: Holder) -> None:
        """Notes that the caller reads on, or is gone."""
        self._unread.pop(holder, None)

    def _make_room(
        self, asking: Holder, size: int, closes_answers: bool
    ) -> bool:
        budget = self.budget
        if budget.used_bytes + size <= budget.limit_bytes:
            return True
        now_ms = self._clock.now_ms()
        ways = [(self._heads, Way.HEAD_GAVE_WAY, MIN_HEAD_MS)]
        if closes_answers:
            ways.append((self._unread, Way.UNREAD_ANSWER, MIN_UNREAD_MS))
        for held, way, min_ms in ways:
            while held and budget.used_bytes + size > budget.limit_bytes:
                holder, since_ms = next(iter(held.items()))
                if holder is asking or now_ms - since_ms < min_ms:
                    break
                del held[holder]
                holder.free_memory(way)
        return budget.used_bytes + size <= budget.limit_bytes


def find_limit(memory_mb: int) -> int:
    """Returns the limit in bytes for a machine; 0 is an unknown size.

    Half of what the process leaves: the other half is for answers on their
    way, copies while bodies are sent, and memory between objects.
    """
    if not memory_mb:
        return DEFAULT_LIMIT_BYTES
    return max(MIN_LIMIT_BYTES, (memory_mb * MIB - REST_BYTES) // 2)
