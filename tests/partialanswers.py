"""A target that sends parts of answers, and callers of several kinds."""

import asyncio
import contextlib
import dataclasses
import enum
import itertools
import socket
import struct
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable

import anyio.to_thread

from peridotbend.adapters.sockets import RESET_WAIT_S
from peridotbend.platform import wire
from tests.troubledtargets import (
    EVENTS,
    EVENTS_BEFORE_CUT,
    Place,
    encode_report,
    make_events,
)

# Longer than what the kernel holds for a target that does not read.
LONG_UPLOAD = b"u" * 3_000_000
SHORT_UPLOAD = b"u" * 300
PART = b"part of a body"
# The target reads little at a time, so that long uploads stay unwritten.
RECEIVE_BUFFER_BYTES = 4_096
CALL_TIMEOUT_S = 20.0
# Lets the instance read what was sent before.
PAUSE_S = 0.05
# Time between the end of the data and a reset behind it.
RESET_PAUSE_S = 0.002
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Moment(enum.Enum):
    """How much of the upload the target has read when it answers."""

    HEAD = "head"
    BUT_ONE_BYTE = "all but one byte"
    WHOLE = "whole"


class Framing(enum.Enum):
    """How the end of the body would be told."""

    NEITHER = "neither"
    LENGTH = "one byte too few"
    CHUNKS = "no last chunk"


class Ending(enum.Enum):
    """How the connection ends behind the part."""

    RESET = "reset"
    FIN_RESET = "FIN, reset"
    FIN = "FIN"


@dataclasses.dataclass(frozen=True, slots=True)
class PartialAnswer:
    """A part of an answer, at some moment of the upload."""

    moment: Moment = Moment.WHOLE
    framing: Framing = Framing.NEITHER
    ending: Ending = Ending.RESET
    status: str = "200 OK"
    body: bytes = PART
    content_type: str = "text/plain"
    # Whether the end follows at once, and not after a pause.
    ends_at_once: bool = False

    @property
    def name(self) -> str:
        """Names the answer in a report."""
        at_once = ", at once" if self.ends_at_once else ""
        return (
            f"{self.status}, upload: {self.moment.value}, framing:"
            f" {self.framing.value}, end: {self.ending.value}{at_once}"
        )

    def encode(self, attempt: str) -> bytes:
        """Returns the bytes of the part."""
        lines = [
            f"HTTP/1.1 {self.status}",
            f"{wire.ATTEMPT_ID}: {attempt}",
            f"{wire.SERVER_STAMP}: s",
            f"Content-Type: {self.content_type}",
        ]
        body = self.body
        if self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {len(body) + 1}")
        elif self.framing is Framing.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
            body = b"%x\r\n%s\r\n" % (len(body), body)
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that is complete, at some moment of the upload."""

    moment: Moment = Moment.HEAD
    status: str = "403 Forbidden"
    body: bytes = b"whole"
    content_type: str = "text/plain"
    # Whether the target reads the rest of the upload.
    reads_on: bool = True

    @property
    def name(self) -> str:
        """Names the answer in a report."""
        return f"whole {self.status}, upload: {self.moment.value}"

    def encode(self, attempt: str) -> bytes:
        """Returns the bytes of the answer."""
        lines = (
            f"HTTP/1.1 {self.status}",
            f"{wire.ATTEMPT_ID}: {attempt}",
            f"{wire.SERVER_STAMP}: s",
            f"Content-Type: {self.content_type}",
            f"Content-Length: {len(self.body)}",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.body


SOUND = WholeAnswer(Moment.WHOLE, "200 OK", b"sound")
# Of the routes whose answers are streams.
STREAM_PREFIXES = ("trouble", "once")


def list_partial_answers() -> list[PartialAnswer]:
    """Returns parts in all framings, at all moments, with all ends.

    A body without length and chunks that ends in order is whole.
    """
    return [
        PartialAnswer(moment, framing, ending, ends_at_once=at_once)
        for moment, framing, ending, at_once in itertools.product(
            Moment, Framing, Ending, (False, True)
        )
        if framing is not Framing.NEITHER or ending is not Ending.FIN
    ]


class PartialTarget:
    """Answers with the part that the path names; `sound` is answered wholly."""

    def __init__(self, answers: list[PartialAnswer | WholeAnswer]) -> None:
        self.answers = answers
        # The number of sends of each attempt.
        self.sends: Counter[str] = Counter()
        # Attempts whose connection was reset later behind the end of the answer
        # than an instance waits for it. Nothing tells such a part from a whole
        # body. The machine's load decides this: the delay was 2 ms mostly, and
        # up to 32 ms with twice as many busy processes as cores.
        self.late: set[str] = set()

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[int]:
        """Runs the target and yields its port."""
        listener = socket.socket()
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(
            self.serve, sock=listener, limit=RECEIVE_BUFFER_BYTES
        )
        try:
            yield listener.getsockname()[1]
        finally:
            server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._answer(reader, writer):
                pass
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers one request; tells whether the connection is kept."""
        request = await reader.readuntil(b"\r\n\r\n")
        lines = request.decode().split("\r\n")
        path = lines[0].split()[1]
        if path.startswith("/-/"):
            writer.write(encode_report())
            await writer.drain()
            return False
        headers = dict(line.lower().split(": ", 1) for line in lines[1:-2])
        attempt = headers[wire.ATTEMPT_ID]
        left = int(headers.get("content-length", "0"))
        send = self.sends[attempt]
        self.sends[attempt] += 1
        first_event = int(headers.get(wire.LAST_EVENT_ID, "0")) + 1
        answer = self._choose(path, send, first_event)
        if answer.moment is Moment.BUT_ONE_BYTE:
            await _read(reader, left - 1)
            left = 1
        elif answer.moment is Moment.WHOLE:
            await _read(reader, left)
            left = 0
        writer.write(answer.encode(attempt))
        await writer.drain()
        if isinstance(answer, WholeAnswer):
            if answer.reads_on:
                await _read(reader, left)
            return answer.reads_on
        if not answer.ends_at_once:
            await asyncio.sleep(PAUSE_S)
        _end(writer, answer, lambda: self.late.add(attempt))
        return False

    def _choose(
        self, path: str, send: int, first_event: int
    ) -> PartialAnswer | WholeAnswer:
        """Returns the answer to a send of an attempt, which counts from 0."""
        _, prefix, number, place, *_ = path.split("/")
        is_sound = place == Place.NONE.value
        if prefix not in STREAM_PREFIXES:
            return SOUND if is_sound else self.answers[int(number)]
        is_resumed = place == Place.RESUMED.value
        if is_resumed and send == 0:
            # It breaks off between two events.
            cut = PartialAnswer(framing=Framing.CHUNKS)
            return _fill(cut, 1, EVENTS_BEFORE_CUT)
        if not is_sound and send == is_resumed:
            return _fill(self.answers[int(number)], first_event, first_event)
        whole = WholeAnswer(Moment.WHOLE, "200 OK")
        return _fill(whole, first_event, EVENTS)


def _fill(
    answer: PartialAnswer | WholeAnswer, first: int, last: int
) -> PartialAnswer | WholeAnswer:
    """Returns an answer with events as its body."""
    return dataclasses.replace(
        answer,
        body=make_events(first, last),
        content_type="text/event-stream",
    )


async def _read(reader: asyncio.StreamReader, size: int) -> None:
    while size:
        data = await reader.read(min(size, 65_536))
        if not data:
            raise ConnectionError
        size -= len(data)


def _end(
    writer: asyncio.StreamWriter,
    answer: PartialAnswer,
    note_late: Callable[[], None],
) -> None:
    """Ends an answer; reports a reset that comes too late behind an end."""
    if answer.ending is Ending.FIN:
        writer.close()
        return
    connection = writer.get_extra_info("socket")
    loop = asyncio.get_running_loop()
    ended_at_s = loop.time()

    def end_in_order() -> None:
        nonlocal ended_at_s
        ended_at_s = loop.time()
        connection.shutdown(socket.SHUT_WR)
        if not answer.ends_at_once:
            time.sleep(RESET_PAUSE_S)

    def check_time() -> None:
        if loop.time() - ended_at_s >= RESET_WAIT_S:
            note_late()

    # The loop runs these right before and after the callback that closes the
    # socket.
    if answer.ending is Ending.FIN_RESET:
        loop.call_soon(end_in_order)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
    if answer.ending is Ending.FIN_RESET:
        loop.call_soon(check_time)


class CallerKind(enum.Enum):
    """How a caller sends its request."""

    KEEP = "keeps its connection"
    HTTP_1_0 = "HTTP/1.0"
    EXPECT = "expects 100"
    CHUNKED = "sends chunks"


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """What a caller received."""

    status: int
    body: bytes
    is_whole: bool


def encode_call(
    path: str, attempt: str, upload: bytes, kind: CallerKind
) -> tuple[bytes, bytes]:
    """Returns the head and the body of a request."""
    version = "1.0" if kind is CallerKind.HTTP_1_0 else "1.1"
    lines = [
        f"POST {path} HTTP/{version}",
        "Host: shop.example",
        "Authorization: Token key-1",
        f"{wire.ATTEMPT_ID}: {attempt}",
        f"{wire.DEADLINE_MS}: 15000",
    ]
    if kind is CallerKind.CHUNKED:
        lines.append("Transfer-Encoding: chunked")
        upload = b"".join(
            b"%x\r\n%s\r\n" % (len(piece), piece)
            for piece in (upload[:100], upload[100:])
        )
        upload += b"0\r\n\r\n"
    else:
        lines.append(f"Content-Length: {len(upload)}")
    if kind is CallerKind.EXPECT:
        lines.append("Expect: 100-continue")
    return ("\r\n".join(lines) + "\r\n\r\n").encode(), upload


class RawCaller:
    """A caller with one connection, which reads answers strictly."""

    def __init__(self, host: str, port: int) -> None:
        self._socket = socket.create_connection((host, port), CALL_TIMEOUT_S)
        self._data = b""

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()

    def call(
        self, path: str, attempt: str, upload: bytes, kind: CallerKind
    ) -> Received:
        """Sends a request and reads the answer."""
        head, body = encode_call(path, attempt, upload, kind)
        try:
            self._socket.sendall(head)
            if kind is CallerKind.EXPECT:
                interim = self._read_until(b"\r\n\r\n")
                if not interim.startswith(b"HTTP/1.1 100 "):
                    return self._read_answer(interim)
            self._socket.sendall(body)
            return self._read_answer(self._read_until(b"\r\n\r\n"))
        except (ConnectionError, EOFError):
            return Received(0, b"", False)

    def _read_answer(self, head: bytes) -> Received:
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:-2])
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        status = int(lines[0].split(" ")[1])
        body = b""
        try:
            if "transfer-encoding" in headers:
                while size := int(self._read_until(b"\r\n"), 16):
                    body += self._read(size + 2)[:-2]
                self._read_until(b"\r\n")
            elif "content-length" in headers:
                body = self._read(int(headers["content-length"]))
            else:
                while True:
                    body += self._data
                    self._data = b""
                    try:
                        self._receive()
                    except EOFError:
                        break
        except (ConnectionError, EOFError):
            return Received(status, body, False)
        return Received(status, body, True)

    def _read_until(self, separator: bytes) -> bytes:
        while separator not in self._data:
            self._receive()
        end = self._data.index(separator) + len(separator)
        found, self._data = self._data[:end], self._data[end:]
        return found

    def _read(self, size: int) -> bytes:
        while len(self._data) < size:
            self._receive()
        found, self._data = self._data[:size], self._data[size:]
        return found

    def _receive(self) -> None:
        data = self._socket.recv(65_536)
        if not data:
            raise EOFError
        self._data += data


async def call_once(
    host: str,
    port: int,
    path: str,
    upload: bytes = SHORT_UPLOAD,
    kind: CallerKind = CallerKind.KEEP,
) -> tuple[Received, Received | None]:
    """Sends a call, and a sound one behind it if the connection is kept."""

    def run() -> tuple[Received, Received | None]:
        caller = RawCaller(host, port)
        try:
            first = caller.call(path, path, upload, kind)
            if kind is CallerKind.HTTP_1_0 or not first.is_whole:
                return first, None
            _, prefix, number, *_ = path.split("/")
            sound = f"/{prefix}/{number}/none/{path.replace('/', '-')}"
            return first, caller.call(sound, sound, SHORT_UPLOAD, kind)
        finally:
            caller.close()

    # Event loops may report a reset behind data as an ordinary end.
    return await anyio.to_thread.run_sync(run)
