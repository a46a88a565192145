"""Lightweight target: `python -m peridotbend_emulator.costtarget`.

It does almost no computation, so that it is never the bottleneck of a cost run.
"""

import asyncio
import json
import os
import socket
from typing import cast

# Disables io_uring in libuv, which reads this before the first loop starts.
os.environ["UV_USE_IO_URING"] = "0"

import click
import uvloop

EVENT_BYTES = 84
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Engine-Stream: cost\r\nTransfer-Encoding: chunked\r\n\r\n"
)
LOAD_REPORT = {
    "at_ms": 0,
    "running": 0,
    "waiting_tokens": 0,
    "incarnation": "cost",
}


def make_event(number: int) -> bytes:
    """Returns a server-sent event of EVENT_BYTES bytes."""
    start = f'id: {number}\ndata: {{"choices":[{{"delta":{{"content":"'
    end = '"}}]}\n\n'
    return (start + "x" * (EVENT_BYTES - len(start) - len(end)) + end).encode()


def make_chunk(data: bytes) -> bytes:
    """Returns the data as one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_response(body: bytes) -> bytes:
    """Returns a complete HTTP response with a JSON body."""
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    )


class TargetProtocol(asyncio.Protocol):
    """Serves one connection; the request body selects the response."""

    def __init__(self) -> None:
        self._buffer = b""
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Responds to each complete request."""
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            head, end = self._buffer[:end].lower(), end + 4
            _, found, tail = head.partition(b"content-length:")
            length = int(tail.split(b"\r\n", 1)[0]) if found else 0
            if len(self._buffer) < end + length:
                return
            body = self._buffer[end : end + length]
            self._buffer = self._buffer[end + length :]
            self._respond(json.loads(body) if body else {})

    def _respond(self, fields: dict[str, object]) -> None:
        if fields.get("stream") is True:
            self._write(STREAM_HEAD)
            count, gap_ms = fields["max_tokens"], fields["gap_ms"]
            assert isinstance(count, int) and isinstance(gap_ms, int)
            self._send_event(1, count, gap_ms / 1000, self._loop.time())
            return
        size, hold_ms = fields.get("answer_bytes", 0), fields.get("hold_ms", 0)
        assert isinstance(size, int) and isinstance(hold_ms, int)
        payload = json.dumps({**LOAD_REPORT, "content": "x" * size}).encode()
        self._loop.call_later(
            hold_ms / 1000, self._write, make_response(payload)
        )

    def _send_event(
        self, number: int, count: int, gap_s: float, due_at_s: float
    ) -> None:
        if number > count:
            self._write(make_chunk(b"data: [DONE]\n\n") + make_chunk(b""))
            return
        self._write(make_chunk(make_event(number)))
        due_at_s += gap_s
        self._loop.call_at(
            due_at_s, self._send_event, number + 1, count, gap_s, due_at_s
        )

    def _write(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)


async def run(count: int) -> None:
    """Listens on `count` loopback addresses, one for each target."""
    loop = asyncio.get_running_loop()
    addresses = []
    for index in range(count):
        host = f"127.0.{1 + index // 250}.{1 + index % 250}"
        listener = socket.create_server((host, 0), backlog=2_048)
        addresses.append(f"{host}:{listener.getsockname()[1]}")
        await loop.create_server(TargetProtocol, sock=listener)
    print(json.dumps({"ready": True, "addresses": addresses}), flush=True)
    await asyncio.Event().wait()


@click.command()
@click.option("--count", default=1, type=click.IntRange(1, 1_000))
def main(count: int) -> None:
    """Runs the targets until the process is stopped."""
    uvloop.run(run(count))


if __name__ == "__main__":
    main()
