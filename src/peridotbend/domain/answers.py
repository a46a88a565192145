"""Keeps answers in bounded memory, so that callers can fetch them again."""

import asyncio
from collections.abc import AsyncIterator

from peridotbend.domain.ports import AnswerHead, AnswerPart
from peridotbend.domain.verdicts import Completed, Reason, Verdict


class ByteBudget:
    """A limit on bytes that are reserved by several owners."""

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserves `size` bytes; returns False if they are not available."""
        if self.used_bytes + size > self.limit_bytes:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Releases reserved bytes."""
        assert 0 <= size <= self.used_bytes, "released more than was reserved"
        self.used_bytes -= size


class SubBudget(ByteBudget):
    """The part of a shared budget that one owner has reserved."""

    def __init__(self, shared: ByteBudget, limit_bytes: int | None = None):
        """Creates a sub-budget.

        Args:
            shared: the budget of all owners.
            limit_bytes: limit on this part; by default that of `shared`.
        """
        super().__init__(
            shared.limit_bytes if limit_bytes is None else limit_bytes
        )
        self._shared = shared

    def reserve(self, size: int) -> bool:
        """Reserves bytes here and from the shared budget."""
        if self.used_bytes + size > self.limit_bytes:
            return False
        return self._shared.reserve(size) and super().reserve(size)

    def release(self, size: int) -> None:
        """Releases bytes here and to the shared budget."""
        super().release(size)
        self._shared.release(size)


class AnswerBuffer:
    """The part of an answer that has arrived so far."""

    def __init__(self) -> None:
        self.head: AnswerHead | None = None
        self.verdict: Verdict | None = None
        # Whether a caller has received the last byte.
        self.delivered = False
        # Whether the body was dropped to free memory.
        self.evicted = False
        self._evicted_bytes = 0
        self._data = bytearray()
        # Plain futures, because creating an anyio.Event costs ten times as
        # much and a stream needs one for each token.
        self._waiters: list[asyncio.Future[None]] = []

    def __len__(self) -> int:
        return len(self._data)

    @property
    def ended(self) -> bool:
        """Whether the verdict is final and no more bytes will arrive."""
        return self.verdict is not None

    def content(self) -> bytes:
        """Returns all bytes that have arrived."""
        return bytes(self._data)

    def begin(self, head: AnswerHead) -> None:
        """Sets the status and headers."""
        self.head = head
        self._wake()

    def append(self, data: bytes) -> None:
        """Appends bytes to the body."""
        self._data += data
        if self._waiters:
            self._wake()

    def end(self, verdict: Verdict) -> None:
        """Sets the verdict unless one was set before."""
        if self.verdict is None:
            self.verdict = verdict
            self._wake()

    def evict(self) -> int:
        """Drops the body of an ended answer and returns its size."""
        assert self.ended, "an answer cannot be evicted before it has ended"
        size = len(self._data)
        self._data = bytearray()
        self.evicted = True
        self._evicted_bytes = size
        return size

    async def read(self, offset: int = 0) -> AsyncIterator[AnswerPart]:
        """Yields the answer from an offset up to its verdict."""
        head_sent = False
        while True:
            head = None if head_sent else self.head
            # Copies only the new bytes, so that a long answer costs O(n).
            data = bytes(memoryview(self._data)[offset:])
            verdict = self.verdict
            if self.evicted and offset < self._evicted_bytes:
                verdict = self.find_evicted_verdict()
            if head is not None or data or verdict is not None:
                head_sent = head_sent or head is not None
                offset += len(data)
                yield AnswerPart(head, data, verdict)
                if verdict is not None:
                    # Not reached if the reader stops before the last part.
                    self.delivered = True
                    return
                continue
            await self.wait()

    def find_evicted_verdict(self) -> Verdict | None:
        """Returns the verdict for a reader that still needs evicted bytes."""
        if isinstance(self.verdict, Completed):
            return Completed(Reason.ANSWER_EVICTED)
        return self.verdict

    def count_waiting(self) -> int:
        """Returns the number of readers that wait for more."""
        return len(self._waiters)

    async def wait(self) -> None:
        """Waits until the head, bytes or the verdict is added."""
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
