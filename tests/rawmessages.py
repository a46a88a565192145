"""Requests as bytes, and a reader that tells which requests bytes hold."""

import dataclasses
import re

from peridotbend.platform import wire

_REQUEST_LINE = re.compile(rb"([A-Z]+) +([!-~]+) +HTTP/1\.([01])")
_METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t -~\x80-\xff]*)")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]+)(;[\t -~\x80-\xff]*)?")


class BadMessageError(Exception):
    """Bytes that are no request."""


class CutMessageError(Exception):
    """A request whose end is missing."""


@dataclasses.dataclass(frozen=True, slots=True)
class RawMessage:
    """A request as read from bytes."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    # Whether the connection ends with the answer.
    is_last: bool

    def get(self, name: str) -> bytes:
        """Returns the last value of a header, or nothing."""
        return dict(self.headers).get(name.lower().encode(), b"")

    @property
    def attempt(self) -> bytes:
        """The ID; a request without one is refused."""
        return self.get(wire.ATTEMPT_ID)


def read_messages(data: bytes) -> tuple[list[RawMessage], bool]:
    """Reads requests as RFC 9112 defines them.

    Returns:
        the requests before the first that is malformed or cut, and whether
        there is a malformed one.
    """
    messages: list[RawMessage] = []
    while data := data.lstrip(b"\r\n"):
        try:
            message, data = _read_message(data)
        except BadMessageError:
            return messages, True
        except CutMessageError:
            return messages, False
        messages.append(message)
        if message.is_last:
            break
    return messages, False


def _read_message(data: bytes) -> tuple[RawMessage, bytes]:
    line, rest = _read_line(data)
    matched = _REQUEST_LINE.fullmatch(line)
    if not matched or matched[1] not in _METHODS or b"#" in matched[2]:
        raise BadMessageError
    fields, rest = _read_fields(rest)
    is_old = matched[3] == b"0"
    body, rest = _read_body(fields, rest, is_old)
    options = b",".join(v for n, v in fields if n == b"connection").lower()
    is_closing = b"close" in options.replace(b" ", b"").split(b",")
    message = RawMessage(
        matched[1], matched[2], fields, body, is_old or is_closing
    )
    return message, rest


def _read_line(data: bytes) -> tuple[bytes, bytes]:
    line, end, rest = data.partition(b"\n")
    if not end:
        raise CutMessageError
    if not line.endswith(b"\r"):
        raise BadMessageError
    return line[:-1], rest


def _read_fields(
    data: bytes,
) -> tuple[tuple[tuple[bytes, bytes], ...], bytes]:
    fields = []
    while True:
        line, data = _read_line(data)
        if not line:
            return tuple(fields), data
        matched = _FIELD.fullmatch(line)
        if not matched:
            raise BadMessageError
        fields.append((matched[1].lower(), matched[2].strip(b" \t")))


def _read_body(
    fields: tuple[tuple[bytes, bytes], ...], data: bytes, is_old: bool
) -> tuple[bytes, bytes]:
    lengths = [value for name, value in fields if name == b"content-length"]
    codings = [v.lower() for n, v in fields if n == b"transfer-encoding"]
    if codings:
        if codings != [b"chunked"] or lengths or is_old:
            raise BadMessageError
        return _read_chunks(data)
    if not lengths:
        return b"", data
    if len(lengths) > 1 or not re.fullmatch(rb"[0-9]+", lengths[0]):
        raise BadMessageError
    size = int(lengths[0])
    if len(data) < size:
        raise CutMessageError
    return data[:size], data[size:]


def _read_chunks(data: bytes) -> tuple[bytes, bytes]:
    body = b""
    while True:
        line, data = _read_line(data)
        matched = _CHUNK_SIZE.fullmatch(line)
        if not matched:
            raise BadMessageError
        size = int(matched[1], 16)
        if not size:
            _, data = _read_fields(data)
            return body, data
        if len(data) < size + 2:
            raise CutMessageError
        if data[size : size + 2] != b"\r\n":
            raise BadMessageError
        body, data = body + data[:size], data[size + 2 :]
