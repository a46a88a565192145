"""Connections of callers, which tell an orderly end from a reset."""

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import Callable

from peridotbend_emulator.soak.messages import (
    HEAD_END,
    Answer,
    Headers,
    find_header,
    parse_head,
)

# Small buffers, so that an instance notices a slow reader soon.
SLOW_BUFFER_BYTES = 4_096
SLOW_READ_PAUSE_S = 0.02
MAX_STATUS_LINE_CHARS = 60


class ChannelEndedError(Exception):
    """The connection ended before the bytes that were due."""


class BadAnswerError(Exception):
    """Bytes came that are no answer in the protocol."""


class Channel(asyncio.Protocol):
    """A connection to an entry instance, kept for several attempts."""

    def __init__(self, is_slow: bool):
        self.is_slow = is_slow
        # "" while the connection is open, else "closed" or "reset".
        self.end = ""
        self._data = bytearray()
        self._changed = asyncio.Event()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Keeps data for the reader."""
        self._data += data
        self._changed.set()
        if self.is_slow and self._transport is not None:
            self._transport.pause_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Notes how the connection ended."""
        self.end = "reset" if error else "closed"
        self._changed.set()

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and nothing came unasked."""
        return not self.end and not self._data

    @property
    def unread(self) -> bytes:
        """Bytes that came and belong to no answer so far."""
        return bytes(self._data)

    def write(self, data: bytes) -> None:
        """Writes a request."""
        assert self._transport is not None
        self._transport.write(data)

    def close(self) -> None:
        """Closes the connection."""
        if self._transport is not None:
            self._transport.close()

    async def read_until(self, separator: bytes) -> bytes:
        """Reads up to a separator and through it.

        Raises:
            ChannelEndedError: the connection ended before it.
        """
        while (index := self._data.find(separator)) < 0:
            await self._wait_for_data()
        return self._take(index + len(separator))

    async def read_some(self, limit: int) -> bytes:
        """Reads at least one byte.

        Raises:
            ChannelEndedError: the connection ended before it.
        """
        while not self._data:
            await self._wait_for_data()
        return self._take(min(limit, len(self._data)))

    def _take(self, size: int) -> bytes:
        data = bytes(self._data[:size])
        del self._data[:size]
        return data

    async def _wait_for_data(self) -> None:
        if self.end:
            raise ChannelEndedError(self.end)
        self._changed.clear()
        if self.is_slow and self._transport is not None:
            await asyncio.sleep(SLOW_READ_PAUSE_S)
            self._transport.resume_reading()
        if not self.end and not self._changed.is_set():
            await self._changed.wait()


async def open_channel(address: tuple[str, int], is_slow: bool) -> Channel:
    """Connects to an instance.

    Raises:
        OSError: the connection failed.
    """
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    try:
        connection.setblocking(False)
        if is_slow:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
            )
        await loop.sock_connect(connection, address)
        _, channel = await loop.create_connection(
            lambda: Channel(is_slow), sock=connection
        )
    except BaseException:
        connection.close()
        raise
    return channel


async def ask_status(
    address: tuple[str, int], request: bytes, timeout_s: float
) -> int:
    """Sends a request on a connection of its own; returns 0 if it fails."""
    reader = AnswerReader(lambda data: None)
    with contextlib.suppress(
        OSError, TimeoutError, ChannelEndedError, BadAnswerError
    ):
        async with asyncio.timeout(timeout_s):
            channel = await open_channel(address, is_slow=False)
            with contextlib.closing(channel):
                channel.write(request)
                await reader.read(channel)
    return reader.status


@dataclasses.dataclass(slots=True)
class AnswerReader:
    """Reads one answer; what was read so far stays if it is cut off."""

    on_body: Callable[[bytes], None]
    status: int = 0
    headers: Headers = ()
    body: bytes = b""

    async def read(self, channel: Channel) -> None:
        """Reads the answer to its end.

        Raises:
            ChannelEndedError: the answer isn't complete.
            BadAnswerError: it is none.
        """
        first, self.headers = parse_head(await channel.read_until(HEAD_END))
        words = first.split(" ")
        is_http = words[0].startswith("HTTP/1.")
        if not is_http or not "".join(words[1:2]).isdecimal():
            raise BadAnswerError(first[:MAX_STATUS_LINE_CHARS])
        self.status = int(words[1])
        size = find_header(self.headers, "content-length")
        if "chunked" in find_header(self.headers, "transfer-encoding").lower():
            await self._read_chunks(channel)
        elif size:
            await self._read_sized(channel, int(size))
        else:
            await self._read_to_end(channel)

    def make_answer(self, outcome: str) -> Answer:
        """Returns the answer as far as it was read."""
        is_complete = outcome == "complete"
        return Answer(
            self.status, self.headers, self.body, is_complete, outcome
        )

    async def _read_chunks(self, channel: Channel) -> None:
        while True:
            line = await channel.read_until(b"\r\n")
            try:
                size = int(line.split(b";")[0], 16)
            except ValueError as error:
                raise BadAnswerError(f"size of a chunk {line!r}") from error
            if not size:
                break
            await self._read_sized(channel, size)
            await channel.read_until(b"\r\n")
        await channel.read_until(b"\r\n")

    async def _read_sized(self, channel: Channel, size: int) -> None:
        while size:
            data = await channel.read_some(size)
            size -= len(data)
            self._add(data)

    async def _read_to_end(self, channel: Channel) -> None:
        while True:
            try:
                data = await channel.read_some(65_536)
            except ChannelEndedError:
                if channel.end == "closed":
                    return
                raise
            self._add(data)

    def _add(self, data: bytes) -> None:
        self.body += data
        self.on_body(data)
