"""uvicorn connection whose requests and answers draw on a shared memory."""

import asyncio
from typing import Any

from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)
from uvicorn.server import ServerState

from peridotbend.adapters.callermemory import (
    HEAD_COPIES,
    LINE_BYTES,
    CallerMemory,
)
from peridotbend.adapters.closedelimited import CloseDelimitedApp
from peridotbend.adapters.turnedaway import Way

# Names the ID of a call, in lower case.
KEY_HEADER = b"idempotency-key"


class ChargedConnection(HttpToolsProtocol):
    """uvicorn's protocol with memory that is reserved before it is used."""

    def __init__(
        self,
        memory: CallerMemory,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        loop: asyncio.AbstractEventLoop | None,
    ):
        super().__init__(config, server_state, app_state, loop)
        self._memory = memory
        # Header lines of the current message.
        self._lines = 0
        # Header bytes in parts after the one in which the headers started.
        self._header_bytes = 0
        # Memory that is reserved for the head that is read, for requests, and
        # for the unread part of an answer.
        self._head_charge = 0
        self._charges: dict[RequestResponseCycle, int] = {}
        self._unread_charge = 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases what no running request holds, and ends those that run."""
        super().connection_lost(exc)
        self._release_head()
        self._release_unread()
        for cycle, _ in self.pipeline:
            self._release_request(cycle)
        # uvicorn tells it to the latest request only, which may be waiting.
        for cycle in self._charges:
            cycle.disconnected = not cycle.response_complete
            cycle.message_event.set()

    def free_memory(self, way: Way) -> None:
        """Refuses the request that is read, or drops the unread answer."""
        raise NotImplementedError

    def pause_writing(self) -> None:
        """Blocks the application's writes until the caller has read."""
        super().pause_writing()
        size = self.transport.get_write_buffer_size()
        self._unread_charge += self._memory.reserve_unread(self, size)
        self._memory.hold_unread(self)

    def resume_writing(self) -> None:
        """Unblocks the application's writes."""
        super().resume_writing()
        self._release_unread()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        if cycle.scope["http_version"] == "1.0":
            app = CloseDelimitedApp(app, cycle)
        task = self.loop.create_task(cycle.run_asgi(app))
        self.tasks.add(task)

        def end(_: asyncio.Task[None]) -> None:
            self.tasks.discard(task)
            self._release_request(cycle)

        task.add_done_callback(end)

    def _charge_head(self, extra_bytes: int) -> bool:
        """Reserves memory for what has arrived of a head, and for more."""
        total = extra_bytes + self._lines * LINE_BYTES
        total += self._header_bytes * HEAD_COPIES
        size = max(0, total - self._head_charge)
        if not self._memory.reserve_head(self, size, total):
            return False
        self._head_charge += size
        return True

    def _keep_charge(self) -> None:
        """Charges a request with its head, which is complete."""
        self._memory.drop_head(self)
        self._charges[self.cycle], self._head_charge = self._head_charge, 0

    def _drop_head(self) -> None:
        """Forgets the lines of a head, unless a request has them."""
        owner = self.cycle.scope if self.cycle is not None else None
        if self.headers and self.scope is not owner:
            self.headers.clear()
        self._release_head()

    def _release_head(self) -> None:
        self._memory.drop_head(self)
        self._memory.budget.release(self._head_charge)
        self._head_charge = 0

    def _release_request(self, cycle: RequestResponseCycle) -> None:
        """Drops the head of a request that was answered or refused.

        The connection would otherwise keep it while it is idle, or while the
        rest of the body is held back. A refusal of the rest still has to tell
        whether the request had a key.
        """
        self._memory.budget.release(self._charges.pop(cycle, 0))
        headers = cycle.scope["headers"]
        has_key = any(name == KEY_HEADER for name, _ in headers)
        cycle.scope["headers"] = []
        if cycle.scope is self.scope:
            is_refusable = cycle.more_body and has_key
            self.headers = [(KEY_HEADER, b"")] if is_refusable else []

    def _release_unread(self) -> None:
        self._memory.drop_unread(self)
        self._memory.budget.release(self._unread_charge)
        self._unread_charge = 0
