"""Answers kept in bounded memory so that callers can fetch them again."""

import asyncio
from collections.abc import AsyncIterator

from peridotbend.domain.ports import AnswerHead, AnswerPart
from peridotbend.domain.verdicts import Completed, Reason, Verdict


class ByteBudget:
    """A bound on bytes that several owners reserve from."""

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def reserve(self, size: int) -> bool:
        """Takes `size` bytes, or nothing when they do not fit."""
        if self.used_bytes + size > self.limit_bytes:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Gives back bytes that were reserved."""
        assert 0 <= size <= self.used_bytes, "released more than was reserved"
        self.used_bytes -= size


class SubBudget(ByteBudget):
    """What one owner took from a budget that several share."""

    def __init__(self, shared: ByteBudget, limit_bytes: int | None = None):
        """Creates a part.

        Args:
            shared: the budget of all owners.
            limit_bytes: bound on this part; that of all if not given.
        """
        super().__init__(
            shared.limit_bytes if limit_bytes is None else limit_bytes
        )
        self._shared = shared

    def reserve(self, size: int) -> bool:
        """Takes bytes from the shared budget and notes them."""
        if self.used_bytes + size > self.limit_bytes:
            return False
        return self._shared.reserve(size) and super().reserve(size)

    def release(self, size: int) -> None:
        """Gives bytes back to the shared budget."""
        super().release(size)
        self._shared.release(size)


class AnswerBuffer:
    """The answer to one request, as far as it has arrived."""

    def __init__(self) -> None:
        self.head: AnswerHead | None = None
        self.verdict: Verdict | None = None
        # True once a caller has received the last byte.
        self.delivered = False
        # True when the bytes were dropped to make room.
        self.evicted = False
        self._evicted_bytes = 0
        self._data = bytearray()
        # Bare futures: an event of anyio costs ten times as much to make,
        # and a stream needs one for each token.
        self._waiters: list[asyncio.Future[None]] = []

    def __len__(self) -> int:
        return len(self._data)

    @property
    def ended(self) -> bool:
        """Whether the verdict stands and no more bytes will come."""
        return self.verdict is not None

    def content(self) -> bytes:
        """Returns all bytes that have arrived."""
        return bytes(self._data)

    def begin(self, head: AnswerHead) -> None:
        """Records the status and the headers."""
        self.head = head
        self._wake()

    def append(self, data: bytes) -> None:
        """Adds bytes to the body."""
        self._data += data
        if self._waiters:
            self._wake()

    def end(self, verdict: Verdict) -> None:
        """Records the verdict; the first one stands."""
        if self.verdict is None:
            self.verdict = verdict
            self._wake()

    def evict(self) -> int:
        """Drops the body of an ended answer and returns its size."""
        assert self.ended, "an answer that still grows cannot be evicted"
        size = len(self._data)
        self._data = bytearray()
        self.evicted = True
        self._evicted_bytes = size
        return size

    async def read(self, offset: int = 0) -> AsyncIterator[AnswerPart]:
        """Yields the answer from an offset until its verdict."""
        head_sent = False
        while True:
            head = None if head_sent else self.head
            # A copy of the new part only, so that a long answer costs O(n).
            data = bytes(memoryview(self._data)[offset:])
            verdict = self.verdict
            if self.evicted and offset < self._evicted_bytes:
                verdict = self.find_evicted_verdict()
            if head is not None or data or verdict is not None:
                head_sent = head_sent or head is not None
                offset += len(data)
                yield AnswerPart(head, data, verdict)
                if verdict is not None:
                    # Not reached when the reader left before the last part.
                    self.delivered = True
                    return
                continue
            await self.wait()

    def find_evicted_verdict(self) -> Verdict | None:
        """Returns the verdict for a reader that has not got all bytes."""
        if isinstance(self.verdict, Completed):
            return Completed(Reason.ANSWER_EVICTED)
        return self.verdict

    def count_waiting(self) -> int:
        """Counts the readers that wait for more."""
        return len(self._waiters)

    async def wait(self) -> None:
        """Waits until something was added."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        finally:
            if waiter.cancelled() and waiter in self._waiters:
                self._waiters.remove(waiter)

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
