"""A target in trouble, which answers with bytes that no run gives."""

import asyncio
import contextlib
import dataclasses
import enum
import itertools
import json
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Protocol

from peridotbend.platform import wire
from tests.edgefakes import make_event

EVENTS = 8
# As its entries say.
STARTED_AT_MS = 1_782_800_000_000
# Events before a sound run breaks off.
EVENTS_BEFORE_CUT = 3


def make_events(first: int, last: int) -> bytes:
    """Returns the events of a run from one to another."""
    return b"".join(make_event(number) for number in range(first, last + 1))


WHOLE = make_events(1, EVENTS)
# Gaps inside an answer that comes byte by byte, and longer ones after each line
# of its head.
BYTE_GAP_S = 0.001
LINE_GAP_S = 0.03
DRIP_GAP_S = 0.02
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
    # None; all are sound.
    NONE = "none"


class TroubledAnswer(Protocol):
    """What the target sends in place of a sound answer."""

    @property
    def name(self) -> str:
        """Names the answer in a report."""
        ...

    def list_pieces(self, attempt: str) -> AsyncIterator[bytes]:
        """Yields the bytes for an attempt, with pauses in between."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ForeignAnswer:
    """An answer with bytes that no run gives."""

    name: str
    status: str = "200 OK"
    # Besides attempt ID and stamp.
    headers: tuple[str, ...] = ()
    body: bytes = b""
    framing: Framing = Framing.CHUNKS
    # Whether each byte comes by itself.
    is_slow: bool = False

    async def list_pieces(self, attempt: str) -> AsyncIterator[bytes]:
        """Yields the answer, in one piece or byte by byte."""
        data = self.encode(attempt)
        if not self.is_slow:
            yield data
            return
        body_start = data.index(b"\r\n\r\n") + 4
        for position, byte in enumerate(data):
            yield bytes((byte,))
            is_line_end = byte == ord("\n") and position < body_start
            await asyncio.sleep(LINE_GAP_S if is_line_end else BYTE_GAP_S)

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


@dataclasses.dataclass(frozen=True, slots=True)
class UnframedReset:
    """A stream without length and chunks, reset between two events."""

    name: str = "unframed stream, reset between events"

    async def list_pieces(self, attempt: str) -> AsyncIterator[bytes]:
        """Yields the head and the first events."""
        yield _encode_head(
            "200 OK", attempt, "Content-Type: text/event-stream"
        ) + make_events(1, EVENTS_BEFORE_CUT)
        # Lets the instance read the events before the reset.
        await asyncio.sleep(0.05)


@dataclasses.dataclass(frozen=True, slots=True)
class PausedAnswer:
    """A sound answer of any type, in the middle of which the target pauses."""

    name: str
    body: bytes
    pause_s: float

    async def list_pieces(self, attempt: str) -> AsyncIterator[bytes]:
        """Yields the answer with a pause before its last byte."""
        head = _encode_head("200 OK", attempt, "Transfer-Encoding: chunked")
        data = _encode_body(self.body, Framing.CHUNKS)
        yield head + data[: len(self.body)]
        await asyncio.sleep(self.pause_s)
        yield data[len(self.body) :]


@dataclasses.dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """An answer that never ends."""

    name: str
    start: bytes
    # Sent again and again; nothing more is sent if it is empty.
    drip: bytes = b""

    async def list_pieces(self, attempt: str) -> AsyncIterator[bytes]:
        """Yields bytes until the caller closes."""
        yield self.start.replace(b"ATTEMPT", attempt.encode())
        while self.drip:
            await asyncio.sleep(DRIP_GAP_S)
            yield self.drip
        await asyncio.Event().wait()


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
_EVENTS_BEFORE = make_events(1, 3)
FOREIGN_BODIES: dict[str, bytes] = {
    "nothing": b"",
    "data without an ID": b"data: x\n\n",
    "text": b"Internal Server Error\n",
    "noise": NOISE,
    "data without an ID after events": _EVENTS_BEFORE + b"data: x\n\n",
    "noise after events": _EVENTS_BEFORE + NOISE + b"\n\n",
}


# The event after which callers take up a stream.
TAKEN_UP_AFTER = 3
_EVENTS_NEXT = make_events(4, 6)
# Answers to a caller that has the first three events.
TAKE_UP_BODIES: dict[str, bytes] = {
    "nothing": b"",
    "data without an ID": b"data: x\n\n",
    "text": b"Internal Server Error\n",
    "noise": NOISE,
    "data without an ID after events": _EVENTS_NEXT + b"data: x\n\n",
    "noise after events": _EVENTS_NEXT + NOISE + b"\n\n",
    "events from the first": WHOLE,
}
_HEAD_START = (
    b"HTTP/1.1 200 OK\r\n"
    + f"{wire.ATTEMPT_ID}: ATTEMPT\r\n{wire.SERVER_STAMP}: s\r\n".encode()
)
ENDLESS_HEADS: list[TroubledAnswer] = [
    EndlessAnswer("no byte", b""),
    EndlessAnswer("half of a status line", b"HTTP/1.1 20"),
    EndlessAnswer("half of a header line", _HEAD_START + b"Content-Ty"),
    EndlessAnswer("no empty line", _HEAD_START),
    EndlessAnswer("status line without end", b"HTTP/1.1 200 ", b"O"),
    EndlessAnswer("header line without end", _HEAD_START + b"a: ", b"b"),
    EndlessAnswer("header lines without end", _HEAD_START, b"a: b\r\n"),
    EndlessAnswer("line without end, no HTTP", b"", b"\xff"),
]


def list_foreign_answers(
    bodies: Mapping[str, bytes] = FOREIGN_BODIES,
) -> list[ForeignAnswer]:
    """Returns all combinations of heads, bodies and framings."""
    heads = FOREIGN_HEADS | STREAM_HEADS
    return [
        ForeignAnswer(
            f"{head}; {body}; {framing.value}",
            *heads[head],
            bodies[body],
            framing,
        )
        for head, body, framing in itertools.product(heads, bodies, Framing)
    ]


def list_fewer_answers(bodies: Mapping[str, bytes]) -> list[ForeignAnswer]:
    """Returns all combinations of heads and bodies, each in one framing.

    Each head and each body comes in all framings.
    """
    answers = list_foreign_answers(bodies)
    # Those of one head follow each other, and so do those of one body in it.
    per_head = len(bodies) * len(Framing)
    return [
        answer
        for number, answer in enumerate(answers)
        if (number // per_head + number // len(Framing) + number) % len(Framing)
        == 0
    ]


class TroubledTarget:
    """Serves streams of which one send gets a foreign answer.

    The path names the answer and the place. All other sends are sound.
    """

    def __init__(self, answers: Sequence[TroubledAnswer]) -> None:
        self._answers = answers
        # The number of sends of each attempt.
        self.sends: Counter[str] = Counter()
        # Connections on which an answer is being sent.
        self.active = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one request and closes the connection."""
        self.active += 1
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._serve(reader, writer)
        finally:
            self.active -= 1
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await reader.readuntil(b"\r\n\r\n")
        lines = request.decode().split("\r\n")
        if lines[0].split()[1] == wire.REPORT_CALL:
            writer.write(encode_report())
            await writer.drain()
            return
        if lines[0].startswith("GET /-/"):
            writer.write(
                b"HTTP/1.1 404 Not Found\r\nConnection: close\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            await writer.drain()
            return
        headers = dict(line.lower().split(": ", 1) for line in lines[1:-2])
        await reader.readexactly(int(headers["content-length"]))
        number, place_name = lines[0].split("/")[2:4]
        attempt = headers[wire.ATTEMPT_ID]
        place = Place(place_name)
        send = self.sends[attempt]
        self.sends[attempt] += 1
        first_event = int(headers.get(wire.LAST_EVENT_ID, "0")) + 1
        if place is not Place.NONE and send == (place is Place.RESUMED):
            answer = self._answers[int(number)]
            pieces = answer.list_pieces(attempt)
            await _write_until_closed(pieces, reader, writer)
            if isinstance(answer, UnframedReset):
                _reset_when_closed(writer)
        elif place is Place.RESUMED and send == 0:
            last_event = first_event + EVENTS_BEFORE_CUT - 1
            writer.write(_encode_sound(attempt, first_event, last_event)[:-5])
            await writer.drain()
            # Lets the instance read the events before the reset.
            await asyncio.sleep(0.02)
            _reset_when_closed(writer)
        else:
            writer.write(_encode_sound(attempt, first_event, EVENTS))
            await writer.drain()


def _reset_when_closed(writer: asyncio.StreamWriter) -> None:
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )


async def _write_until_closed(
    pieces: AsyncIterator[bytes],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Writes pieces to their end, or until the other side closes."""

    async def write() -> None:
        async for piece in pieces:
            writer.write(piece)
            await writer.drain()

    writing = asyncio.create_task(write())
    closing = asyncio.create_task(reader.read(1))
    try:
        await asyncio.wait(
            (writing, closing), return_when=asyncio.FIRST_COMPLETED
        )
        if writing.done():
            await writing
    finally:
        writing.cancel()
        closing.cancel()


def encode_report() -> bytes:
    """Returns what a target says of itself, in accord with its entry."""
    body = json.dumps({"born": STARTED_AT_MS}).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
    return f"{head}Connection: close\r\n\r\n".encode() + body


def _encode_sound(attempt: str, first: int, last: int) -> bytes:
    head = _encode_head(
        "200 OK",
        attempt,
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    )
    return head + _encode_body(make_events(first, last), Framing.CHUNKS)


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
