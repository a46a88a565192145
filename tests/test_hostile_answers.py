"""Real daemons beside targets and a store whose answers exceed the limits.

Each test guards against a process that runs out of the memory of its machine,
or answers nobody afterwards. The HTTP library takes 100 KB of a head, and what
one read holds beyond, with any number of lines.
"""

import itertools
import unittest
from collections.abc import Callable, Iterator

from peridotbend.platform import wire
from tests.hostileanswers import MakeAnswer, check_store, check_target

CHUNKED = b"Transfer-Encoding: chunked\r\n"
UNFINISHED = b"Content-Length: 1000\r\n"
LAST_CHUNK = b"1\r\nx\r\n0\r\n"
EMPTY = b"Content-Length: 0\r\n"
# Less than 100 KB, so that the HTTP library takes them as one head.
LINES = 16_000
DISTINCT = b"".join(b"%x:\r\n" % number for number in range(LINES))
EQUAL = b"a:\r\n" * LINES
LONG_PIECE = b"x" * 65_536


def _make_start(attempt: bytes) -> bytes:
    """Returns the head of a sound answer, without its end."""
    names = wire.ATTEMPT_ID.encode(), wire.SERVER_STAMP.encode()
    return b"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n" % (
        names[0],
        attempt,
        names[1],
    )


def _answer_once(*parts: bytes) -> MakeAnswer:
    """Returns answers that stop after some bytes."""
    return lambda attempt: iter([_make_start(attempt) + b"".join(parts)])


def _answer_without_end(start: bytes, piece: bytes) -> MakeAnswer:
    """Returns answers that go on for good."""

    def make(attempt: bytes) -> Iterator[bytes]:
        return itertools.chain(
            [_make_start(attempt) + start], itertools.repeat(piece)
        )

    return make


def _repeat_interim(lines: bytes) -> MakeAnswer:
    """Returns interim answers without end."""
    interim = b"HTTP/1.1 103 Early Hints\r\n" + lines + b"\r\n"
    return lambda _: itertools.repeat(interim)


class _AnswerTests:
    """The forms of answers, for each kind of server that sends them."""

    check: Callable[[MakeAnswer], None]

    def test_distinct_lines(self) -> None:
        """Heads of many short lines, whose bodies never come."""
        self.check(_answer_once(UNFINISHED, DISTINCT, b"\r\n"))

    def test_equal_lines(self) -> None:
        """Heads of many equal lines, whose bodies never come."""
        self.check(_answer_once(UNFINISHED, EQUAL, b"\r\n"))

    def test_whole_answers(self) -> None:
        """Heads of many short lines, complete without a body."""
        self.check(_answer_once(EMPTY, DISTINCT, b"\r\n"))

    def test_lines_without_end(self) -> None:
        """Short lines without end."""
        self.check(_answer_without_end(b"", DISTINCT))

    def test_line_without_end(self) -> None:
        """One line without end."""
        self.check(_answer_without_end(b"a: ", LONG_PIECE))

    def test_interim_answers(self) -> None:
        """The shortest interim answers without end."""
        self.check(_repeat_interim(b""))

    def test_interim_answers_with_lines(self) -> None:
        """Interim answers without end, each with many lines."""
        self.check(_repeat_interim(DISTINCT))

    def test_trailers_without_end(self) -> None:
        """Trailers without end."""
        self.check(
            _answer_without_end(CHUNKED + b"\r\n" + LAST_CHUNK, DISTINCT)
        )

    def test_whole_trailers(self) -> None:
        """Many trailers that arrive with the last chunk."""
        self.check(
            _answer_once(CHUNKED, b"\r\n", LAST_CHUNK, DISTINCT, b"\r\n")
        )

    def test_chunk_extensions(self) -> None:
        """An extension of a chunk without end."""
        self.check(_answer_without_end(CHUNKED + b"\r\n5;a=", LONG_PIECE))


class TargetTest(_AnswerTests, unittest.TestCase):
    """Answers of targets."""

    check = staticmethod(check_target)


class StoreTest(_AnswerTests, unittest.TestCase):
    """Answers of the store."""

    check = staticmethod(check_store)
