"""Sends to a second target while the first one is silent."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import anyio

from peridotbend.edge.ports import EdgeAnswer, Reply
from peridotbend.edge.slots import Slot


@dataclasses.dataclass(eq=False, slots=True)
class Takeover:
    """A send to another target while the first one is silent."""

    slot: Slot
    begun_at_ms: int
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    # What the other target answers, from the moment on at which it does.
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
