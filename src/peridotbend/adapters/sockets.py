"""TCP streams towards targets that cost little for each small read."""

import asyncio
import os
from socket import SO_ERROR, SOL_SOCKET
from typing import Any, cast

import anyio
import httpcore

# More than this waits in the kernel, so that a slow reader slows the target.
MAX_BUFFERED_BYTES = 262_144


class TargetStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """Buffers what arrives and hands all of it to the next read.

    The stream of httpcore's own backend sets up a timer, a cancel scope and
    three context managers for each read, and switches the polling of the
    socket on and off.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._received: list[bytes] = []
        self._received_bytes = 0
        self._paused = False
        self._ended = False
        self._error: Exception | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._read_until = 0.0
        self._timer_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Keeps the data for the next read."""
        self._received.append(data)
        self._received_bytes += len(data)
        if self._received_bytes > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Keeps the transport open until it is closed here."""
        # libuv reports a reset that follows data as an end of file; only the
        # socket still tells that the target did not end the answer.
        socket = self._transport.get_extra_info("socket")
        code = socket.getsockopt(SOL_SOCKET, SO_ERROR) if socket else 0
        if code:
            self._error = ConnectionResetError(code, os.strerror(code))
        self._ended = True
        self._wake_reader()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the reads and writes that wait."""
        self._ended = True
        self._error = self._error or exc
        self._wake_reader()
        self.resume_writing()
        self._stop_timer()

    def pause_writing(self) -> None:
        """Makes writes wait."""
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        """Ends the wait of a write."""
        writable, self._writable = self._writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns what has arrived, b"" at the end.

        `max_bytes` is no bound: what arrived is in memory already.
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
        """Writes at once and waits while too much is unsent."""
        if self._ended and self._transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        if not buffer:
            return
        self._transport.write(buffer)
        if self._writable is None:
            return
        try:
            with anyio.fail_after(timeout):
                await self._writable
        except TimeoutError as error:
            raise httpcore.WriteTimeout(
                f"nothing was sent in {timeout} s"
            ) from error
        if self._error is not None:
            raise httpcore.WriteError(str(self._error)) from self._error

    async def aclose(self) -> None:
        """Closes the connection; bytes that were not sent are dropped."""
        self._stop_timer()
        self._transport.abort()

    def get_extra_info(self, info: str) -> Any:
        """Tells whether data or the end has arrived."""
        if info == "is_readable":
            return bool(self._received) or self._ended
        return None

    async def _wait_for_data(self, timeout_s: float | None) -> None:
        self._reader = self._loop.create_future()
        if timeout_s is not None:
            self._read_until = self._loop.time() + timeout_s
            if self._timer is None or self._read_until < self._timer_at:
                self._start_timer()
        try:
            await self._reader
        finally:
            self._reader = None

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    def _start_timer(self) -> None:
        self._stop_timer()
        self._timer_at = self._read_until
        self._timer = self._loop.call_at(self._timer_at, self._check_timeout)

    def _check_timeout(self) -> None:
        """Ends a read that is late.

        One timer serves all reads of a connection: it looks again later when
        a newer read has more time.
        """
        self._timer = None
        if self._reader is None:
            return
        if self._loop.time() < self._read_until:
            self._start_timer()
        else:
            self._wake_reader()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


async def connect(host: str, port: int, timeout_s: float) -> TargetStream:
    """Connects to a target.

    Raises:
        httpcore.ConnectTimeout: no connection in time.
        httpcore.ConnectError: the target refused the connection.
    """
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(timeout_s):
            _, stream = await loop.create_connection(TargetStream, host, port)
    except TimeoutError as error:
        raise httpcore.ConnectTimeout(f"no answer in {timeout_s} s") from error
    except OSError as error:
        raise httpcore.ConnectError(str(error)) from error
    return stream
