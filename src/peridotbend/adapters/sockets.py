"""TCP streams to targets with little overhead per read."""

import asyncio
import os
from collections.abc import Callable
from socket import (
    IPPROTO_TCP,
    SO_ERROR,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
)
from typing import Any, cast

import anyio
import httpcore

# Above this, reading from the socket pauses, so that TCP flow control slows a
# target whose response is read slowly.
MAX_BUFFERED_BYTES = 262_144
# Bytes of one read. uvloop allocates 250 KB for each read of a protocol without
# a buffer of its own, however little arrives.
READ_BYTES = 65_536
# A process that fails may end its data in order and reset the connection then.
# Both follow each other within a few ms; an answer whose end only its
# connection tells waits for that long.
RESET_WAIT_S = 0.02
RESET_CHECK_S = 0.002
# The kernel asks a silent host after 3 s, and ends the connection if it does
# not answer three times within 3 s. That of a process that is silent answers.
KEEPALIVE_OPTIONS = (
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, 3),
    (IPPROTO_TCP, TCP_KEEPINTVL, 1),
    (IPPROTO_TCP, TCP_KEEPCNT, 3),
)


# Shared by all connections: what was read is copied before the next read.
_read_buffer = memoryview(bytearray(READ_BYTES))


class TargetStream(asyncio.BufferedProtocol, httpcore.AsyncNetworkStream):
    """Network stream for httpcore whose reads return all buffered data.

    The stream of httpcore's own backend creates a timer, a cancel scope and
    three context managers for each read, and registers and unregisters the
    socket with the event loop each time.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._received: list[bytes] = []
        self._received_bytes = 0
        self._paused = False
        self._ended = False
        # Whether this side has closed the connection.
        self._is_aborted = False
        self._error: Exception | None = None
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._read_deadline = 0.0
        self._timer_deadline = 0.0
        self._timer: asyncio.TimerHandle | None = None
        # Called when data arrives or the other side closes, while set.
        self.on_input: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast(asyncio.Transport, transport)
        socket = transport.get_extra_info("socket")
        if socket is not None:
            for level, option, value in KEEPALIVE_OPTIONS:
                socket.setsockopt(level, option, value)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where to read to."""
        del sizehint
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Keeps what was read for the next read."""
        self._received.append(bytes(_read_buffer[:nbytes]))
        self._received_bytes += nbytes
        if self._received_bytes > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake_read()
        if self.on_input is not None:
            self.on_input()

    def eof_received(self) -> bool:
        """Records the end of the data; aclose closes the transport."""
        # libuv reports a connection reset that follows data as an end of file.
        # Only the socket's pending error still shows that the response was cut.
        self._note_pending_error()
        self._note_end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes pending reads and writes."""
        if self._ended and not self._is_aborted:
            # The connection stays behind the end of the data, unless it is
            # reset; event loops may not tell that.
            exc = exc or ConnectionResetError("reset behind the end")
        self._error = self._error or exc
        self._note_end()
        self.resume_writing()
        self._stop_timer()

    def pause_writing(self) -> None:
        """Makes writes wait until the transport's buffer has drained."""
        self._write_waiter = self._loop.create_future()

    def resume_writing(self) -> None:
        """Wakes a pending write."""
        waiter, self._write_waiter = self._write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns all buffered data, or b"" at the end of the stream.

        `max_bytes` is ignored, because the data is in memory already.
        """
        if not self._received and not self._ended:
            await self._wait_for_data(timeout)
        if self._received:
            data = (
                self._received[0]
                if len(self._received) == 1
                else b"".join(self._received)
            )
            self._received.clear()
            self._received_bytes = 0
            if self._paused:
                self._paused = False
                self._transport.resume_reading()
            return data
        if self._error is not None:
            raise httpcore.ReadError(str(self._error)) from self._error
        if not self._ended:
            raise httpcore.ReadTimeout(f"nothing arrived in {timeout} s")
        return b""

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes the data, then waits while the transport's buffer is full."""
        if self._ended and self._transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        if not buffer:
            return
        self._transport.write(buffer)
        if self._write_waiter is None:
            return
        try:
            with anyio.fail_after(timeout):
                await self._write_waiter
        except TimeoutError as error:
            raise httpcore.WriteTimeout(
                f"the send buffer did not drain within {timeout} s"
            ) from error
        if self._error is not None:
            raise httpcore.WriteError(str(self._error)) from self._error

    async def confirm_end(self) -> None:
        """Waits for a reset behind the end of the data.

        Raises:
            httpcore.ReadError: the connection was reset.
        """
        deadline = self._loop.time() + RESET_WAIT_S
        while True:
            self._note_pending_error()
            if self._error is not None:
                raise httpcore.ReadError(str(self._error)) from self._error
            if self._loop.time() >= deadline:
                return
            await asyncio.sleep(RESET_CHECK_S)

    def _note_pending_error(self) -> None:
        """Records an error of the socket that was not told yet."""
        if self._error is not None or self._transport.is_closing():
            return
        socket = self._transport.get_extra_info("socket")
        code = socket.getsockopt(SOL_SOCKET, SO_ERROR) if socket else 0
        if code:
            self._error = ConnectionResetError(code, os.strerror(code))

    @property
    def has_ended(self) -> bool:
        """Whether the other side has closed."""
        return self._ended

    async def aclose(self) -> None:
        """Closes the connection and discards unsent data."""
        self.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._is_aborted = True
        self.on_input = None
        self._stop_timer()
        self._transport.abort()

    def get_extra_info(self, info: str) -> Any:
        """Returns the socket, or for `is_readable` if a read does not block."""
        if info == "socket":
            return self._transport.get_extra_info("socket")
        if info == "is_readable":
            return bool(self._received) or self._ended
        return None

    async def _wait_for_data(self, timeout_s: float | None) -> None:
        self._read_waiter = self._loop.create_future()
        if timeout_s is not None:
            self._read_deadline = self._loop.time() + timeout_s
            if (
                self._timer is None
                or self._read_deadline < self._timer_deadline
            ):
                self._start_timer()
        try:
            await self._read_waiter
        finally:
            self._read_waiter = None

    def _note_end(self) -> None:
        has_ended, self._ended = self._ended, True
        self._wake_read()
        if not has_ended and self.on_input is not None:
            self.on_input()

    def _wake_read(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    def _start_timer(self) -> None:
        self._stop_timer()
        self._timer_deadline = self._read_deadline
        self._timer = self._loop.call_at(
            self._timer_deadline, self._check_timeout
        )

    def _check_timeout(self) -> None:
        """Wakes a read whose deadline has passed.

        One timer serves all reads of a connection: if a newer read has a later
        deadline, the timer is started again for that one.
        """
        self._timer = None
        if self._read_waiter is None:
            return
        if self._loop.time() < self._read_deadline:
            self._start_timer()
        else:
            self._wake_read()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


async def connect(host: str, port: int, timeout_s: float) -> TargetStream:
    """Connects to a target.

    Raises:
        httpcore.ConnectTimeout: the connection was not established in time.
        httpcore.ConnectError: the connection failed or was refused.
    """
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(timeout_s):
            _, stream = await loop.create_connection(TargetStream, host, port)
    except TimeoutError as error:
        raise httpcore.ConnectTimeout(
            f"the connection was not established within {timeout_s} s"
        ) from error
    except OSError as error:
        raise httpcore.ConnectError(str(error)) from error
    return stream
