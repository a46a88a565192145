"""A target in trouble, which answers with bytes that no run gives."""

import asyncio
import contextlib
import dataclasses
import enum
import itertools
import socket
import struct
from collections import Counter

from peridotbend.platform import wire
from tests.edgefakes import make_event

EVENTS = 8
# Events before a sound run breaks off.
EVENTS_BEFORE_CUT = 3
WHOLE = b"".join(make_event(number) for number in range(1, EVENTS + 1))
NOISE = b"\xff\xfe\x00\x9c" * 16


class Framing(enum.Enum):
    """How the end of a body is told."""

    CHUNKS = "chunks"
    LENGTH = "length"
    # Neither; the body ends with its connection.
    CONNECTION = "connection"


class Place(enum.Enum):
    """Which send of an attempt gets the foreign answer."""

    FIRST = "first"
    # The first send gets three events and a reset.
    RESUMED = "resumed"


@dataclasses.dataclass(frozen=True, slots=True)
class ForeignAnswer:
    """An answer with bytes that no run gives."""

    name: str
    status: str = "200 OK"
    # Besides attempt ID and stamp.
    headers: tuple[str, ...] = ()
    body: bytes = b""
    framing: Framing = Framing.CHUNKS

    def encode(self, attempt: str) -> bytes:
        """Returns the bytes of the answer to an attempt."""
        return _encode_head(
            self.status, attempt, *self.headers, *self._list_framing()
        ) + _encode_body(self.body, self.framing)

    def _list_framing(self) -> tuple[str, ...]:
        if self.framing is Framing.LENGTH:
            return (f"Content-Length: {len(self.body)}",)
        if self.framing is Framing.CHUNKS:
            return ("Transfer-Encoding: chunked",)
        return ()


# Heads of successes and redirections that are not those of an event stream.
FOREIGN_HEADS: dict[str, tuple[str, tuple[str, ...]]] = {
    "no type": ("200 OK", ()),
    "empty type": ("200 OK", ("Content-Type:",)),
    "text/plain": ("200 OK", ("Content-Type: text/plain",)),
    "JSON": ("200 OK", ("Content-Type: application/json",)),
    "type that begins alike": (
        "200 OK",
        ("Content-Type: text/event-stream-2",),
    ),
    "list of types": (
        "200 OK",
        ("Content-Type: text/event-stream, text/plain",),
    ),
    "two types": (
        "200 OK",
        ("Content-Type: text/event-stream", "Content-Type: text/plain"),
    ),
    "201, no type": ("201 Created", ()),
    "206, text/plain": ("206 Partial Content", ("Content-Type: text/plain",)),
    "299, no type": ("299 OK", ()),
    "302, text/plain": (
        "302 Found",
        ("Content-Type: text/plain", "Location: /elsewhere"),
    ),
    "status of no class": ("700 OK", ("Content-Type: text/plain",)),
    "status of no class, stream": (
        "999 OK",
        ("Content-Type: text/event-stream",),
    ),
    "switched protocols": (
        "101 Switching Protocols",
        ("Upgrade: h2c",),
    ),
    "compressed": (
        "200 OK",
        ("Content-Type: text/event-stream", "Content-Encoding: gzip"),
    ),
}
# Heads of event streams in other words; what is foreign is in the body.
STREAM_HEADS: dict[str, tuple[str, tuple[str, ...]]] = {
    "stream": ("200 OK", ("Content-Type: text/event-stream",)),
    "stream in capitals": (
        "200 OK",
        ("content-type: TEXT/Event-Stream; charset=utf-8",),
    ),
    "201, stream": ("201 Created", ("Content-Type: text/event-stream",)),
}
_EVENTS_BEFORE = b"".join(make_event(number) for number in (1, 2, 3))
FOREIGN_BODIES: dict[str, bytes] = {
    "nothing": b"",
    "data without an ID": b"data: x\n\n",
    "text": b"Internal Server Error\n",
    "noise": NOISE,
    "data without an ID after events": _EVENTS_BEFORE + b"data: x\n\n",
    "noise after events": _EVENTS_BEFORE + NOISE + b"\n\n",
}


def list_foreign_answers() -> list[ForeignAnswer]:
    """Returns all combinations of heads, bodies and framings."""
    heads = FOREIGN_HEADS | STREAM_HEADS
    return [
        ForeignAnswer(
            f"{head}; {body}; {framing.value}",
            *heads[head],
            FOREIGN_BODIES[body],
            framing,
        )
        for head, body, framing in itertools.product(
            heads, FOREIGN_BODIES, Framing
        )
    ]


class TroubledTarget:
    """Serves streams of which one send gets a foreign answer.

    The path names the answer and the place. All other sends are sound.
    """

    def __init__(self, answers: list[ForeignAnswer]) -> None:
        self._answers = answers
        # The number of sends of each attempt.
        self.sends: Counter[str] = Counter()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one request and closes the connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self._serve(reader, writer)
        writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await reader.readuntil(b"\r\n\r\n")
        lines = request.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:-2])
        await reader.readexactly(int(headers["content-length"]))
        number, place_name = lines[0].split("/")[2:4]
        attempt = headers[wire.ATTEMPT_ID]
        place = Place(place_name)
        send = self.sends[attempt]
        self.sends[attempt] += 1
        first_event = int(headers.get(wire.LAST_EVENT_ID, "0")) + 1
        if send == (place is Place.RESUMED):
            writer.write(self._answers[int(number)].encode(attempt))
            await writer.drain()
        elif place is Place.RESUMED and send == 0:
            writer.write(_encode_sound(attempt, 1, EVENTS_BEFORE_CUT)[:-5])
            await writer.drain()
            # Lets the instance read the events before the reset.
            await asyncio.sleep(0.02)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        else:
            writer.write(_encode_sound(attempt, first_event, EVENTS))
            await writer.drain()


def _encode_sound(attempt: str, first: int, last: int) -> bytes:
    head = _encode_head(
        "200 OK",
        attempt,
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    )
    events = b"".join(make_event(number) for number in range(first, last + 1))
    return head + _encode_body(events, Framing.CHUNKS)


def _encode_head(status: str, attempt: str, *headers: str) -> bytes:
    lines = (
        f"HTTP/1.1 {status}",
        f"{wire.ATTEMPT_ID}: {attempt}",
        f"{wire.SERVER_STAMP}: s",
        "Connection: close",
        *headers,
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _encode_body(body: bytes, framing: Framing) -> bytes:
    if framing is not Framing.CHUNKS:
        return body
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return chunk + b"0\r\n\r\n"
