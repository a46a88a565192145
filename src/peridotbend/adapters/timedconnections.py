"""uvicorn connection whose callers have to send and to read in time."""

import asyncio
from typing import Any

from uvicorn.config import Config
from uvicorn.server import ServerState

from peridotbend.adapters.callermemory import CallerMemory
from peridotbend.adapters.chargedconnections import ChargedConnection
from peridotbend.adapters.connectionlimits import ConnectionLimits


class TimedConnection(ChargedConnection):
    """Connection with time limits on heads, idleness and unread answers."""

    def __init__(
        self,
        limits: ConnectionLimits,
        memory: CallerMemory,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        loop: asyncio.AbstractEventLoop | None,
    ):
        super().__init__(memory, config, server_state, app_state, loop)
        self._limits = limits
        self._header_timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
        # Bytes of responses that the caller had not read when the keep-alive
        # timer was started.
        self._unread_bytes = 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timers."""
        super().connection_lost(exc)
        self._stop_header_timer()
        self._stop_stall_timer()

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection, even if the response was not read.

        One whose caller has read on meanwhile was not idle.
        """
        unread_bytes = self.transport.get_write_buffer_size()
        if unread_bytes < self._unread_bytes:
            self._unread_bytes = unread_bytes
            self._start_keep_alive_timer()
        elif unread_bytes:
            self.transport.abort()
        else:
            super().timeout_keep_alive_handler()

    def pause_writing(self) -> None:
        """Blocks the application's writes until the caller has read."""
        super().pause_writing()
        self._start_stall_timer()

    def resume_writing(self) -> None:
        """Unblocks the application's writes."""
        super().resume_writing()
        if not self.transport.is_closing():
            self._stop_stall_timer()

    def _handle_header_timeout(self) -> None:
        raise NotImplementedError

    def _start_header_timer(self) -> None:
        if self._header_timer is None:
            self._header_timer = self.loop.call_later(
                self._limits.header_timeout_s, self._handle_header_timeout
            )

    def _start_keep_alive_timer(self) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def _start_stall_timer(self) -> None:
        if self._stall_timer is None:
            self._stall_timer = self.loop.call_later(
                self._limits.write_stall_timeout_s,
                self._check_stall,
                self.transport.get_write_buffer_size(),
            )

    def _check_stall(self, unread_before: int) -> None:
        """Drops a connection whose caller has read nothing for too long."""
        self._stall_timer = None
        if self.transport.get_write_buffer_size() < unread_before:
            self._start_stall_timer()
        else:
            self._abort()

    def _close(self) -> None:
        """Closes the connection, after a while even with unread answers."""
        self.transport.close()
        self._start_stall_timer()

    def _abort(self) -> None:
        self.transport.abort()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
