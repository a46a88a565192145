"""Sends to a second target while the first one is silent."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import anyio
from result import Result

from peridotbend.domain.ports import CallError
from peridotbend.edge.ports import EdgeAnswer, Reply
from peridotbend.edge.slots import Slot


class ReadAnswer:
    """An answer of which the first parts have been read."""

    def __init__(
        self,
        answer: EdgeAnswer,
        read: list[Result[bytes, CallError]],
        rest: AsyncIterator[Result[bytes, CallError]],
    ):
        self.head = answer.head
        self.is_event_stream = answer.is_event_stream
        self.event_header = answer.event_header
        self._read = read
        self._rest = rest

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the body; an Err is the last item when the call breaks."""
        for chunk in self._read:
            yield chunk
        async for chunk in self._rest:
            yield chunk


@dataclasses.dataclass(eq=False, slots=True)
class Takeover:
    """A send to another target while the first one is silent."""

    slot: Slot
    begun_at_ms: int
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    # Whether the first target has been left.
    has_left: bool = False
    # The answer of the other target, once it goes on with the request.
    answer: EdgeAnswer | None = None
    # Set once it is known whether it does.
    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    # Set once the answer has been delivered or is not needed.
    finished: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[Reply]:
        """Yields the answer; its connection is released afterwards."""
        assert self.answer is not None, "the target has not answered"
        try:
            yield self.answer
        finally:
            self.finished.set()
