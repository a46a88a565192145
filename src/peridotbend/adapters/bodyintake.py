"""Memory for the bodies of requests while they arrive and wait."""

from collections.abc import Awaitable, Callable

import anyio

from peridotbend.domain.answers import ByteBudget, SubBudget
from peridotbend.domain.clock import Clock
from peridotbend.domain.verdicts import NotRun, Reason

# A body that has been arriving for longer gives way if the memory is full.
MIN_ARRIVAL_MS = 1_000

# Returns the next part of a body, and whether there are more.
PartReader = Callable[[], Awaitable[tuple[bytes, bool]]]


class BodyIntake:
    """The memory for all bodies of a listener, and those still arriving.

    Callers that send a part of a large body and then nothing would otherwise
    hold the memory that the bodies of others need.
    """

    def __init__(
        self, limit_bytes: int, clock: Clock, memory: ByteBudget | None = None
    ):
        """Creates an intake.

        Args:
            limit_bytes: limit on all bodies together.
            clock: tells how long bodies have been arriving.
            memory: a larger limit that bodies share with others.
        """
        self._memory = memory or ByteBudget(limit_bytes)
        self.budget = SubBudget(self._memory, limit_bytes)
        self._clock = clock
        # In the order in which they began.
        self._arriving: dict[IncomingBody, int] = {}

    def begin(self, body: "IncomingBody") -> None:
        """Notes that a body begins to arrive."""
        self._arriving[body] = self._clock.now_ms()

    def end(self, body: "IncomingBody") -> None:
        """Notes that a body has arrived, or never will."""
        self._arriving.pop(body, None)

    def make_room(self, size: int, other: "IncomingBody") -> bool:
        """Refuses the slowest bodies that arrive, if that frees the memory."""
        latest_ms = self._clock.now_ms() - MIN_ARRIVAL_MS
        free_bytes = min(
            self.budget.limit_bytes - self.budget.used_bytes,
            self._memory.limit_bytes - self._memory.used_bytes,
        )
        slowest: list[IncomingBody] = []
        for body, since_ms in self._arriving.items():
            if free_bytes >= size or since_ms > latest_ms:
                break
            if body is not other and body.used_bytes:
                slowest.append(body)
                free_bytes += body.used_bytes
        if free_bytes < size:
            return False
        for body in slowest:
            body.give_way()
        return True


class IncomingBody:
    """The body of one request, with the memory reserved for it."""

    def __init__(self, intake: BodyIntake, limit_bytes: int):
        self._intake = intake
        self._reserved = SubBudget(intake.budget, limit_bytes)
        # Set while the body arrives.
        self._scope: anyio.CancelScope | None = None

    @property
    def used_bytes(self) -> int:
        """The size of the reserved memory."""
        return self._reserved.used_bytes

    async def collect(self, read_part: PartReader) -> bytes | NotRun:
        """Reads the whole body; returns a refusal if there is no memory."""
        # Parts of a few bytes each would take up far more than they hold.
        data = bytearray()
        self._intake.begin(self)
        try:
            with anyio.CancelScope() as self._scope:
                has_more = True
                while has_more:
                    part, has_more = await read_part()
                    refusal = self.take(len(part))
                    if refusal is not None:
                        return refusal
                    data += part
                return bytes(data)
        finally:
            self._intake.end(self)
        return NotRun(Reason.AT_CAPACITY)

    def take(self, size: int) -> NotRun | None:
        """Reserves memory for a part; returns a refusal if there is none."""
        if self._reserved.used_bytes + size > self._reserved.limit_bytes:
            return NotRun(Reason.TOO_LARGE)
        if not self._intake.make_room(size, self):
            return NotRun(Reason.AT_CAPACITY)
        is_reserved = self._reserved.reserve(size)
        assert is_reserved, "no room was made"
        return None

    def give_way(self) -> None:
        """Frees the memory at once, and refuses the request."""
        self._intake.end(self)
        self.release()
        if self._scope is not None:
            self._scope.cancel()

    def release(self) -> None:
        """Releases the reserved memory."""
        self._reserved.release(self._reserved.used_bytes)
