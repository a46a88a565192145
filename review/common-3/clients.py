"""Callers of the scripts: requests one after the other on kept channels."""

import asyncio
import random

from fleet import read_head

READ_BYTES = 16_384
KEPT_BYTES = 65_536


class Channel:
    """A channel of one caller to an instance, kept for many requests."""

    def __init__(self, host, port, bytes_per_s=0):
        self._address = host, port
        # Speed of the caller's link; 0 is that of the machine.
        self._bytes_per_s = bytes_per_s
        self.reader = self.writer = None
        # Whether a request was answered on it before.
        self.is_kept = False

    async def open(self):
        """Connects, unless the channel is open."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                *self._address
            )
            self.is_kept = False

    def close(self):
        """Closes the channel."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    def send(self, path, attempt, deadline_ms, headers=(), body=b"hi"):
        """Sends a request."""
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: shop.example",
            "Authorization: Token key-1",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {deadline_ms}",
            *(f"{name}: {value}" for name, value in headers),
            f"Content-Length: {len(body)}",
        ]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def receive(self):
        """Returns status, headers and body of an answer.

        Raises:
            EOFError: the channel ended; `partial` tells of what came.
        """
        line, headers = await read_head(self.reader)
        status = int(line.split(" ")[1])
        if "content-length" in headers:
            body = await self.reader.readexactly(int(headers["content-length"]))
        else:
            body = b""
            async for data in self._read_chunks():
                # The rest of a body without end is read and dropped.
                body = (body + data)[:KEPT_BYTES]
        self.is_kept = True
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, headers, body

    async def _read_chunks(self):
        """Yields a body in chunks, at the speed of the link."""
        while True:
            line = await self.reader.readuntil(b"\r\n")
            left = int(line.split(b";")[0], 16)
            if not left:
                await self.reader.readuntil(b"\r\n")
                return
            while left:
                data = await self.reader.read(min(left, READ_BYTES))
                if not data:
                    raise asyncio.IncompleteReadError(b"", None)
                left -= len(data)
                yield data
                if self._bytes_per_s:
                    await asyncio.sleep(len(data) / self._bytes_per_s)
            await self.reader.readexactly(2)


def make_attempt():
    """Returns a new attempt ID."""
    return f"{random.getrandbits(64):016x}"


async def pause(seconds):
    """Waits; some time apart for each caller."""
    await asyncio.sleep(seconds * random.uniform(0.5, 1.5))
