"""Real daemons beside callers that exceed the limits or use them up.

Each test guards against a process that runs out of the memory of its machine,
or answers nobody afterwards.
"""

import itertools
import unittest

from tests.edgefleet import CONFIG
from tests.hostilecrowd import (
    add_lines,
    check_served,
    check_survives,
    make_head,
    repeat,
)

REQUEST_LINE = b"POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
CHUNKED = b"Transfer-Encoding: chunked"
LAST_CHUNK = b"\r\n\r\n1\r\nx\r\n0\r\n"
LENGTH = b"Content-Length: 4"
MAX_BODY_BYTES = CONFIG["limits"]["max_body_bytes"]
LARGE_LENGTH = b"Content-Length: %d" % MAX_BODY_BYTES


def make_distinct(number: int) -> bytes:
    """Returns a short line whose name no other line has."""
    return b"%x:\r\n" % number


def make_equal(number: int) -> bytes:
    """Returns the shortest line."""
    return b"a:\r\n"


def make_odd(number: int) -> bytes:
    """Returns a short line that looks malformed, but is legal."""
    return (b"!:  \r\n", b"|:\t:\r\n", b"':,\r\n", b"~:=\r\n")[number % 4]


class LegalHeadTest(unittest.TestCase):
    """Heads within the limit, of as many lines as it allows."""

    def test_distinct_names(self) -> None:
        """Lines with distinct names, behind which a body is missing."""
        check_survives(
            lambda serial: iter([make_head(serial, make_distinct, LENGTH)])
        )

    def test_equal_names(self) -> None:
        """Lines with the same name, behind which a body is missing."""
        check_survives(
            lambda serial: iter([make_head(serial, make_equal, LENGTH)])
        )

    def test_odd_lines(self) -> None:
        """Lines that look malformed, behind which a body is missing."""
        check_survives(
            lambda serial: iter([make_head(serial, make_odd, LENGTH)])
        )

    def test_distinct_names_without_body(self) -> None:
        """Lines with distinct names of requests that are sent on."""
        check_survives(lambda serial: iter([make_head(serial, make_distinct)]))

    def test_equal_names_without_body(self) -> None:
        """Lines with the same name of requests that are sent on."""
        check_survives(lambda serial: iter([make_head(serial, make_equal)]))

    def test_odd_lines_without_body(self) -> None:
        """Lines that look malformed, of requests that are sent on."""
        check_survives(lambda serial: iter([make_head(serial, make_odd)]))


class LegalRequestTest(unittest.TestCase):
    """Requests of the largest size while the instance is calm."""

    def test_largest_request(self) -> None:
        """A full head of short lines with the largest body."""
        head = make_head(1, lambda _: b"a: b\r\n", LARGE_LENGTH)
        check_served(head + b"x" * MAX_BODY_BYTES, 1)

    def test_full_heads_in_a_row(self) -> None:
        """Full heads of short lines, sent without a wait for answers."""
        heads = [make_head(n, lambda _: b"a: b\r\n", LENGTH) for n in range(8)]
        check_served(b"body".join((*heads, b"")), len(heads))


class EndlessHeadTest(unittest.TestCase):
    """Heads above the limit."""

    def test_lines_without_end(self) -> None:
        """Short lines without end."""
        check_survives(lambda serial: add_lines(REQUEST_LINE))

    def test_line_without_end(self) -> None:
        """One line without end."""
        check_survives(
            lambda serial: itertools.chain(
                [REQUEST_LINE + b"x: "], repeat(b"x")
            )
        )

    def test_head_over_the_limit(self) -> None:
        """Whole heads of four times the limit."""
        lines = b"".join(b"%x:\r\n" % n for n in range(11_000))
        check_survives(lambda serial: iter([REQUEST_LINE + lines + b"\r\n"]))

    def test_empty_lines(self) -> None:
        """Empty lines without end before a request."""
        check_survives(lambda serial: repeat(b"\r\n"))


class BodyTest(unittest.TestCase):
    """Bodies and what follows them."""

    def test_distinct_trailers(self) -> None:
        """Trailers with distinct names without end."""
        check_survives(
            lambda serial: add_lines(REQUEST_LINE + CHUNKED + LAST_CHUNK)
        )

    def test_equal_trailers(self) -> None:
        """Trailers with the same name without end."""
        check_survives(
            lambda serial: itertools.chain(
                [REQUEST_LINE + CHUNKED + LAST_CHUNK],
                repeat(b"a:\r\n"),
            )
        )

    def test_chunks_of_one_byte(self) -> None:
        """Bodies in chunks of one byte without end."""
        check_survives(
            lambda serial: itertools.chain(
                [make_head(serial, lambda _: b"x" * 16_384, CHUNKED)],
                repeat(b"1\r\nx\r\n"),
            )
        )

    def test_pipelined_requests(self) -> None:
        """Legal requests without a wait, whose answers are not read."""
        check_survives(
            lambda serial: repeat(
                b"GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"
            )
        )

    def test_pipelined_short_requests(self) -> None:
        """The shortest legal requests, whose answers are not read."""
        check_survives(
            lambda serial: repeat(b"GET / HTTP/1.1\r\nHost:\r\n\r\n")
        )
