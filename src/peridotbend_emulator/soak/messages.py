"""HTTP messages, as little of them as the stand-ins and callers need."""

import asyncio
import dataclasses
from collections.abc import Sequence

Headers = tuple[tuple[str, str], ...]
HEAD_END = b"\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as it arrived."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""

    def get(self, name: str) -> str:
        """Returns the value of a header, or an empty string."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller saw of the answer to one attempt."""

    # 0 if no answer began.
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    # Whether the answer ended as its framing says.
    is_complete: bool = False
    # "complete", "closed", "reset", "refused" or "timeout"; "left" or
    # "abandoned" if the caller had enough.
    outcome: str = ""

    def get(self, name: str) -> str:
        """Returns the value of a header, or an empty string."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: str) -> str:
    """Returns the value of a header, or an empty string."""
    name = name.lower()
    return next((v for n, v in headers if n.lower() == name), "")


def is_framed(answer: Answer) -> bool:
    """Tells whether an answer has chunks or a length."""
    return bool(answer.get("transfer-encoding") or answer.get("content-length"))


def split_lines(block: bytes) -> list[str]:
    """Returns the lines of an event."""
    return block.decode("latin-1").replace("\r\n", "\n").split("\n")


def parse_head(head: bytes) -> tuple[str, Headers]:
    """Returns the first line and the headers of a message."""
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, tuple((name, value.strip()) for name, _, value in pairs)


def make_head(first: str, headers: Sequence[tuple[str, str]]) -> bytes:
    """Returns the head of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + HEAD_END


def make_answer(
    status: int, body: bytes = b"", headers: Sequence[tuple[str, str]] = ()
) -> bytes:
    """Returns a whole answer with a length."""
    length = ("Content-Length", str(len(body)))
    return make_head(f"HTTP/1.1 {status} X", [*headers, length]) + body


def make_chunk(data: bytes) -> bytes:
    """Returns a chunk of a body; the last one is empty."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request; None at the end of the connection."""
    try:
        head = await reader.readuntil(HEAD_END)
        first, headers = parse_head(head)
        method, target, _ = first.split(" ", 2)
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    size = find_header(headers, "content-length")
    if size:
        return await reader.readexactly(int(size))
    body = b""
    if "chunked" in find_header(headers, "transfer-encoding").lower():
        while length := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(length)
            await reader.readline()
        await reader.readuntil(b"\r\n")
    return body
