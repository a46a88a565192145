"""Tests that one message of a caller is one request, however it is cut."""

import asyncio
import unittest
from collections.abc import Iterable

from hypothesis import given, settings
from hypothesis import strategies as st

from peridotbend.adapters.connectionlimits import ConnectionLimits
from peridotbend.edge.ports import EdgeCall
from peridotbend.platform import wire
from tests.fedconnections import Feeder, Outcome, feed
from tests.rawmessages import RawMessage, read_messages

# As a caller may paste it into a body.
INNER = (
    f"GET /inner HTTP/1.1\r\nHost: x\r\n{wire.ATTEMPT_ID}: inner\r\n\r\n"
).encode()
BODIES = (b"", b"x", b'{"order": 1}', b"0\r\n\r\n", INNER, b"\r\n" + INNER)
H2C = (
    "Connection: Upgrade, HTTP2-Settings",
    "Upgrade: h2c",
    "HTTP2-Settings: AAMAAABkAAQBAAAAAAIAAAAA",
)
# Headers beside which a request is an ordinary one with its body.
OFFERS: tuple[tuple[str, ...], ...] = (
    (),
    H2C,
    ("Upgrade: h2c",),
    ("Connection: Upgrade", "Upgrade: websocket"),
    ("Upgrade: TLS/1.2, h2c", "connection: keep-alive, upgrade"),
    ("Connection: keep-alive", "Connection: upgrade", "Upgrade: any"),
    ("Proxy-Connection: Upgrade", "Upgrade: h2c"),
    ("Connection: Upgrade",),
    ("HTTP2-Settings: AAMAAABkAAQBAAAAAAIAAAAA",),
    ("Expect: 100-continue",),
    ("Expect: 100-continue", *H2C),
)
TARGETS = ("/a", "/a/b?c=1&d", "/a/%2F/2f", "/a?", "/a??", "//a/?b?")
TRAILERS: tuple[tuple[str, ...], ...] = (
    (),
    (f"{wire.ATTEMPT_ID}: trailer", "X-Model: trailer"),
    ("Connection: Upgrade", "Upgrade: h2c"),
    ("Host: trailer", "Expect: 100-continue"),
)


def encode(
    attempt: str,
    target: str,
    headers: Iterable[str],
    body: bytes | None,
    method: str = "POST",
    version: str = "1.1",
) -> bytes:
    """Returns a request, with a length if it has a body."""
    lines = [
        f"{method} {target} HTTP/{version}",
        "Host: x",
        *headers,
        f"{wire.ATTEMPT_ID}: {attempt}",
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + (body or b"")


def encode_chunked(
    attempt: str,
    target: str,
    headers: Iterable[str],
    chunks: Iterable[bytes],
    trailers: Iterable[str] = (),
) -> bytes:
    """Returns a request whose body comes in chunks."""
    head = encode(
        attempt, target, (*headers, "Transfer-Encoding: chunked"), None
    )
    parts = [b"%x;a=b\r\n%s\r\n" % (len(c), c) for c in chunks if c]
    end = "\r\n".join(("0", *trailers, "", "")).encode()
    return head + b"".join(parts) + end


@st.composite
def draw_requests(draw: st.DrawFn) -> bytes:
    """Draws one to three valid requests on one connection.

    The last one may end the connection, with a request behind it.
    """
    requests = []
    for number in range(draw(st.integers(1, 2))):
        attempt = f"a{number}"
        target = draw(st.sampled_from(TARGETS))
        offer = draw(st.sampled_from(OFFERS))
        body = draw(st.sampled_from(BODIES))
        framing = draw(st.sampled_from(("length", "chunks", "none")))
        if framing == "none":
            requests.append(encode(attempt, target, offer, None, "GET"))
        elif framing == "length":
            requests.append(encode(attempt, target, offer, body))
        else:
            middle = draw(st.integers(0, len(body)))
            chunks = (body[:middle], body[middle:])
            trailers = draw(st.sampled_from(TRAILERS))
            requests.append(
                encode_chunked(attempt, target, offer, chunks, trailers)
            )
    last = draw(st.sampled_from(("", "1.0", "close")))
    if last:
        offer = draw(st.sampled_from(OFFERS))
        if last == "close":
            offer = (*offer, "Connection: close")
        version = "1.0" if last == "1.0" else "1.1"
        requests += [
            encode("last", "/a", offer, INNER, version=version),
            draw(st.sampled_from((b"", INNER))),
        ]
    return b"".join(requests)


@st.composite
def draw_damaged(draw: st.DrawFn) -> bytes:
    """Draws requests with a byte more, less or changed."""
    data = draw(draw_requests())
    place = draw(st.integers(0, len(data) - 1))
    new = draw(
        st.sampled_from((b"", b"\r", b"\n", b"\0", b" ", b":", b"0", b"7"))
    )
    skipped = draw(st.integers(0, 1))
    return data[:place] + new + data[place + skipped :]


def describe_call(call: EdgeCall) -> tuple[str, str, str, bytes]:
    """Returns what must be as it was sent."""
    return call.attempt, call.method, call.path, call.body


def describe_message(message: RawMessage) -> tuple[str, str, str, bytes]:
    """Returns the same of a message."""
    return (
        message.attempt.decode("latin-1"),
        message.method.decode(),
        message.target.decode(),
        message.body,
    )


def list_cuts(data: bytes) -> list[list[bytes]]:
    """Returns the data in one packet, in any two, and byte by byte."""
    halves = [[data[:place], data[place:]] for place in range(1, len(data))]
    single = [data[place : place + 1] for place in range(len(data))]
    return [[data], *halves, single]


def feed_all_cuts(data: bytes) -> list[Outcome]:
    """Feeds the data in all cuts, each on a connection of its own."""

    async def run() -> list[Outcome]:
        feeder = Feeder()
        return [await feeder.feed(packets) for packets in list_cuts(data)]

    return asyncio.run(run())


class CutTest(unittest.TestCase):
    """Requests that are cut at every byte."""

    @settings(derandomize=True, database=None, max_examples=40, deadline=None)
    @given(draw_requests())
    def test_valid_requests_run_as_they_were_sent(self, data: bytes) -> None:
        """Guards against bodies that are lost, changed or run."""
        messages, _ = read_messages(data)
        sent = [describe_message(message) for message in messages]
        for outcome in feed_all_cuts(data):
            ran = [describe_call(call) for call in outcome.calls]
            assert ran == sent, (ran, sent)
            assert outcome.statuses == [200] * len(sent), outcome.written

    @settings(derandomize=True, database=None, max_examples=100, deadline=None)
    @given(draw_damaged())
    def test_damaged_requests_run_whole_or_not(self, data: bytes) -> None:
        """Guards against runs of what no caller sent."""
        messages, is_malformed = read_messages(data)
        sent = [describe_message(m) for m in messages if m.attempt]
        outcomes = feed_all_cuts(data)
        for outcome in outcomes:
            ran = [describe_call(call) for call in outcome.calls]
            assert ran == sent[: len(ran)], (ran, sent)
            assert ran == [describe_call(c) for c in outcomes[0].calls]
            if is_malformed or len(ran) < len(sent):
                assert outcome.is_closed, (ran, outcome.written)


class OfferTest(unittest.TestCase):
    """Requests with an offer to switch to another protocol."""

    def test_offer_is_ignored(self) -> None:
        """Guards against requests that run without the body they came with."""
        for number, offer in enumerate(OFFERS):
            for body in BODIES:
                data = encode("a1", "/a", offer, body)
                with self.subTest(offer=number, body=body):
                    for outcome in feed_all_cuts(data):
                        (call,) = outcome.calls
                        assert call.body == body, call
                        assert outcome.statuses == [200]

    def test_offer_is_not_passed_on(self) -> None:
        """Guards against targets that take the offer for the system's."""
        for offer in OFFERS:
            outcome = asyncio.run(feed([encode("a1", "/a", offer, b"x")]))
            names = {name for name, _ in outcome.calls[0].headers}
            assert names == {"host"}, names

    def test_connect_is_refused(self) -> None:
        """Guards against bytes of a tunnel that are taken for requests."""
        for target in ("x:80", "/a"):
            data = encode("a1", target, (), INNER, "CONNECT")
            for outcome in feed_all_cuts(data):
                assert not outcome.calls, outcome
                assert outcome.statuses == [400], outcome.written
                assert outcome.is_closed


class TargetTest(unittest.TestCase):
    """Path and query of requests."""

    def test_target_is_passed_on_as_it_came(self) -> None:
        """Guards against an empty query that is dropped."""
        for target in (*TARGETS, "/?", "/a/?"):
            outcome = asyncio.run(feed([encode("a1", target, (), b"x")]))
            assert [call.path for call in outcome.calls] == [target]

    def test_absolute_target_is_an_ordinary_one(self) -> None:
        """Guards against proxies' callers that are refused."""
        data = encode("a1", "http://X/a?b=1", (), b"x")
        outcome = asyncio.run(feed([data]))
        assert [call.path for call in outcome.calls] == ["/a?b=1"]


class AmbiguousHeadTest(unittest.TestCase):
    """Heads that two readers may understand in two ways."""

    def _check(self, data: bytes, status: int = 400) -> None:
        """Sends a request and one behind it, in all cuts; neither may run."""
        for outcome in feed_all_cuts(data + INNER):
            assert not outcome.calls, (data, outcome.calls)
            assert outcome.statuses == [status], (data, outcome.written)
            assert outcome.is_closed, data

    def test_codings_of_the_body_are_refused(self) -> None:
        """Guards against bodies that are passed on undecoded."""
        for value in ("gzip, chunked", ",chunked", "chunked,", "gzip", ""):
            with self.subTest(value):
                line = f"Transfer-Encoding: {value}"
                data = encode("a1", "/a", (line,), None)
                self._check(data + b"0\r\n\r\n")

    def test_chunks_over_http_1_0_are_refused(self) -> None:
        """Guards against bodies that HTTP/1.0 ends elsewhere (RFC 9112)."""
        line = "Transfer-Encoding: chunked"
        data = encode("a1", "/a", (line,), None, version="1.0")
        self._check(data + b"0\r\n\r\n")

    def test_two_lengths_are_refused(self) -> None:
        """Guards against bodies that are run as requests."""
        for lines in (
            ("Content-Length: 0",),
            ("Content-Length: 1",),
            ("Transfer-Encoding: chunked",),
            ("Transfer-Encoding: chunked", *H2C),
            ("Content-Length: 0", *H2C),
        ):
            with self.subTest(lines):
                self._check(encode("a1", "/a", lines, b"x"))

    def test_two_hosts_are_refused(self) -> None:
        """Guards against a route by one host and a run by another."""
        self._check(encode("a1", "/a", ("Host: y",), None))
        for target in ("http://y/a", "http://u@x/a", "http://x:1/a"):
            with self.subTest(target):
                self._check(encode("a1", target, (), None))

    def test_fragment_is_refused(self) -> None:
        """Guards against a part of the target that is dropped."""
        for target in ("/a#b", "/a?b#", "http://x/a#b"):
            with self.subTest(target):
                self._check(encode("a1", target, (), None))

    def test_other_versions_are_refused(self) -> None:
        """Guards against answers in a version that the caller doesn't read."""
        for version in ("0.9", "2.0", "1.2"):
            with self.subTest(version):
                self._check(encode("a1", "/a", (), None, version=version))
        with self.subTest("none"):
            data = encode("a1", "/a", (), None)
            self._check(data.replace(b" HTTP/1.1", b"", 1))


class RefusalTest(unittest.TestCase):
    """Messages with more than one fault."""

    def test_invalid_and_too_large_message_gets_one_answer(self) -> None:
        """Guards against a second answer after the one that refuses."""
        limit = ConnectionLimits().max_header_bytes
        chunked = encode("a1", "/a", ("Transfer-Encoding: chunked",), None)
        for size, status in ((2 * limit, 431), (limit + 16, 400)):
            # What follows a fault is not parsed: the first one is answered,
            # or the invalid one of two that are in the same part.
            padding = b"x" * size
            for packets in (
                (b"GET / HTTP/1.1\r\n", b"X: " + padding + b"\r\nb d: e\r\n"),
                (chunked, b"1;" + padding + b"\r\nx\r\nz\r\n"),
            ):
                with self.subTest(size=size, start=packets[0]):
                    statuses = asyncio.run(feed(packets)).statuses
                    assert statuses == [status], statuses


class VerdictTest(unittest.TestCase):
    """What a refusal of malformed headers says of earlier calls."""

    def test_id_that_is_cut_is_noticed(self) -> None:
        """Guards against "not run" for an ID with which a call may have run."""
        lines = (b"POST /a HTTP/1.1", b"Idempotency-Key: abc", b"no colon")
        for outcome in feed_all_cuts(b"\r\n".join((*lines, b"", b""))):
            assert outcome.statuses == [400]
            assert b"verdict: may-have-run" in outcome.written, outcome
