"""Tests of what is believed of the bytes of an event stream."""

import asyncio
import contextlib
import time
import unittest

import anyio

from peridotbend.edge.events import MAX_EVENT_BYTES, EventSplitter
from peridotbend.platform import wire
from tests.edgefakes import EVENT_HEADER, make_event
from tests.edgefleet import CONFIG, HOSTS, EdgeFleet, run_with_fleet
from tests.test_edge_platform import SETTINGS_DOCUMENT, TARGET_ENTRY
from tests.troubledtargets import encode_report

# An event has to reach its caller within this time of its target.
MAX_FEED_S = 0.12
NOISE = bytes(range(128, 256)) + b"no answer at all"
# What a target in trouble may send in place of its next event, the fourth.
FOREIGN_BLOCKS = {
    "noise": NOISE + b"\n\n",
    "noise with CRLF": NOISE + b"\r\n\r\n",
    "noise with an empty line inside": b"ab\n\ncd",
    "noise before an event": b"ab" + make_event(4),
    "line before an event": b"ab\n" + make_event(4),
    "text": b"Internal Server Error\n\n",
    "text with a colon": b"error: out of memory\n\n",
    "JSON": b'{"error": 5}\n\n',
    "JSON of several lines": b'{\n"data": 5,\n"id": 4\n}\n\n',
    "NUL bytes": b"\0" * 64 + b"\n\n",
    "NUL bytes inside an event": b"id: 4\ndata: \0\0\n\n",
    "data without an ID": b"data: x\n\n",
    "data of two lines without an ID": b"data: x\ndata: y\n\n",
    "empty ID": b"id: \ndata: x\n\n",
    "ID without a value": b"id\ndata: x\n\n",
    "ID that is no number": b"id: x4\ndata: x\n\n",
    "ID with a sign": b"id: +4\ndata: x\n\n",
    "ID in other digits": "id: \u0664\ndata: x\n\n".encode(),
    "ID of 400 digits": b"id: " + b"9" * 400 + b"\ndata: x\n\n",
    "ID far ahead": b"id: 999\ndata: x\n\n",
    "ID of the next event but one": make_event(5),
    "ID that came before": make_event(3),
    "two IDs": b"id: 4\nid: 4\ndata: x\n\n",
    "ID without data": b"id: 4\n\n",
    "event alone": b"event: x\n\n",
    "retry alone": b"retry: 5\n\n",
    "unknown field in an event": b"id: 4\ndata: x\nfoo: 1\n\n",
    "other header before an event": b"x-other: 7\n" + make_event(4),
    "header without a number": f"{EVENT_HEADER}: x\n".encode() + make_event(4),
    "header alone": f"{EVENT_HEADER}: 7\n\n".encode(),
    "header within an event": f"id: 4\n{EVENT_HEADER}: 7\ndata: x\n\n".encode(),
    "carriage return in a line": b"id: 4\ndata: x\ry\n\n",
    "half an event and noise": b"id: 4\nda" + NOISE + b"\n\n",
    "half its data and noise": b"id: 4\ndata: pie" + NOISE + b"\n\n",
    "head of an answer": b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    "garbled head": b"HTP/9 what\r\nContent-Length: 0\r\n\r\n",
}


def _feed_in_parts(
    splitter: EventSplitter, stream: bytes, size: int
) -> list[bytes]:
    """Returns the results for a stream that arrives in parts of a size."""
    return [
        splitter.feed(stream[start : start + size])
        for start in range(0, len(stream), size)
    ]


class EventSplitterTest(unittest.TestCase):
    """Splitting of a stream into complete events."""

    def test_events_pass_whole_for_any_chunk_size(self) -> None:
        """Guards against passing on a partial event before a resume.

        Both line endings are accepted: when only one was, a stream with the
        other was held back until its end.
        """
        for end in (b"\n", b"\r\n"):
            events = [
                b"id: %d" % number + end + b"data: x" + end + end
                for number in (1, 2, 3)
            ]
            stream = b"".join(events)
            for size in range(1, len(stream)):
                splitter = EventSplitter()
                received = b""
                for part in _feed_in_parts(splitter, stream, size):
                    assert len(part) % len(events[0]) == 0
                    received += part
                assert received == stream
                assert splitter.last_event_id == "3"
                assert splitter.take_remainder() == b""

    def test_each_event_passes_as_soon_as_it_is_complete(self) -> None:
        """Guards against an event that is held until the next one arrives."""
        splitter = EventSplitter()
        for number in range(1, 30):
            event = make_event(number)
            assert splitter.feed(event[:7]) == b""
            assert splitter.feed(event[7:]) == event
        assert splitter.feed(make_event(30) + make_event(31)) == make_event(
            30
        ) + make_event(31)

    def test_all_forms_of_an_event_pass_unchanged(self) -> None:
        """Guards against breaking off a sound stream for its form."""
        for event in (
            b"id: 1\ndata: x\n\n",
            b"id:1\ndata:x\n\n",
            b"data: x\nid: 1\n\n",
            b"id: 1\ndata: x\ndata: y\n\n",
            b"id: 1\ndata\n\n",
            b"event: token\nid: 1\nretry: 5\ndata: x\n\n",
            b"id: 1\r\ndata: x\r\n\r\n",
            b"id: 1\ndata: x\n\r\n",
            "id: 1\ndata: Thảm cao su: 20 mm\n\n".encode(),
            b"id: 1\ndata: HTTP/1.1 404 means id: 7\n\n",
            *(
                f"{EVENT_HEADER}:{blank}7\nid: 1\ndata: x\n\n".replace(
                    "\n", end
                ).encode()
                for blank in ("", " ")
                for end in ("\n", "\r\n")
            ),
        ):
            for size in (1, 7, len(event)):
                with self.subTest(event=event, size=size):
                    splitter = EventSplitter()
                    splitter.start_run(EVENT_HEADER)
                    parts = _feed_in_parts(splitter, event, size)
                    assert b"".join(parts) == event
                    assert splitter.feed(make_event(2)) == make_event(2)
                    assert not splitter.problem

    def test_comments_and_empty_lines_are_left_out(self) -> None:
        """Guards against pieces that hold nothing, and cuts because of them."""
        stream = (
            b": alive\n\n\n\r\n\n" + make_event(1) + b": x\n" + make_event(2)
        )
        for size in (1, 5, len(stream)):
            splitter = EventSplitter()
            received = b"".join(_feed_in_parts(splitter, stream, size))
            assert received == make_event(1) + make_event(2)
            assert not splitter.problem

    def test_stream_goes_on_after_the_event_that_the_caller_has(self) -> None:
        """Guards against a repeated or a missing event after a take-up."""
        for last, first in (("12", 13), ("", 1), ("0", 1)):
            splitter = EventSplitter(last)
            assert splitter.feed(make_event(first)) == make_event(first)
            for wrong in {1, 2, 12, 14} - {first}:
                splitter = EventSplitter(last)
                assert splitter.feed(make_event(wrong)) == b""
                assert splitter.problem
                assert splitter.last_event_id == last

    def test_id_of_a_caller_that_is_no_number_ends_nothing(self) -> None:
        """Guards against a header of a caller that ends its request."""
        for last in ("abc", "9" * 5_000, "-1", "\xb2", "1.5"):
            splitter = EventSplitter(last)
            assert splitter.feed(make_event(7)) == make_event(7)
            assert splitter.feed(make_event(8)) == make_event(8)
            assert splitter.feed(make_event(8)) == b""
            assert splitter.last_event_id == "8"


class ForeignBytesTest(unittest.TestCase):
    """Bytes of a target in trouble that are no event of its run."""

    def test_no_piece_and_no_id_comes_from_foreign_bytes(self) -> None:
        """Guards against a piece that no run made, and against its ID.

        The runs after it go on at the last event of a run.
        """
        before = b"".join(map(make_event, (1, 2, 3)))
        for name, block in FOREIGN_BLOCKS.items():
            stream = before + block + b"".join(map(make_event, (4, 5)))
            for size in (1, 10, len(stream)):
                with self.subTest(block=name, size=size):
                    splitter = EventSplitter()
                    splitter.start_run(EVENT_HEADER)
                    parts = _feed_in_parts(splitter, stream, size)
                    assert b"".join(parts) == before
                    assert splitter.last_event_id == "3"
                    assert splitter.problem
                    splitter.start_run(EVENT_HEADER)
                    assert splitter.feed(make_event(4)) == make_event(4)

    def test_nothing_is_believed_after_foreign_bytes(self) -> None:
        """Guards against the next ID with the data of nobody knows whom."""
        for name, block in FOREIGN_BLOCKS.items():
            with self.subTest(block=name):
                splitter = EventSplitter()
                for number in (1, 2, 3):
                    splitter.feed(make_event(number))
                forged = b"id: 4\ndata: of another stream\n\n"
                assert splitter.feed(block + forged) == b""
                assert splitter.feed(forged) == b""

    def test_foreign_bytes_before_the_first_event_are_dropped(self) -> None:
        """Guards against a stream that begins with a piece of no run."""
        for name, block in FOREIGN_BLOCKS.items():
            with self.subTest(block=name):
                splitter = EventSplitter()
                splitter.start_run(EVENT_HEADER)
                assert splitter.feed(block) == b""
                assert splitter.feed(make_event(1)) == b""
                assert splitter.last_event_id == ""

    def test_event_without_an_end_is_given_up(self) -> None:
        """Guards against bytes without end that fill the memory."""
        splitter = EventSplitter()
        for _ in range(0, MAX_EVENT_BYTES + 1, 1_024):
            assert splitter.feed(b"x" * 1_024) == b""
        assert splitter.problem
        assert splitter.take_remainder() == b""

    def test_empty_lines_and_comments_do_not_hold_the_process(self) -> None:
        """Guards against a flood of them that keeps other callers waiting.

        One read of 256 KB took 260 ms.
        """
        for piece in (b"\n", b"\r\n", b": x\n\n", b":\r\n: y\r\n\r\n"):
            data = piece * (262_144 // len(piece))
            splitter = EventSplitter()
            splitter.start_run()
            started_s = time.process_time()
            assert splitter.feed(data) == b""
            took_s = time.process_time() - started_s
            assert took_s < MAX_FEED_S, (piece, took_s)
            assert splitter.has_trailing_bytes
            assert splitter.feed(make_event(1)) == make_event(1)


EVENTS = 6
# Where foreign bytes go into a stream: before these events.
FOREIGN_PLACES = (1, 4)


class _ForeignTarget:
    """Puts foreign bytes into the first run of each attempt.

    The path names the block and the place, and whether the answer has chunks.
    """

    def __init__(self) -> None:
        self._seen: set[str] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one request."""
        request = await reader.readuntil(b"\r\n\r\n")
        lines = request.decode().split("\r\n")
        if lines[0].split()[1] == wire.REPORT_CALL:
            writer.write(encode_report())
            writer.close()
            return
        block_number, place, has_chunks = map(int, lines[0].split("/")[2:5])
        headers = dict(line.lower().split(": ", 1) for line in lines[1:-2])
        block = list(FOREIGN_BLOCKS.values())[block_number]
        attempt = headers[wire.ATTEMPT_ID]
        framing = "Transfer-Encoding: chunked" if has_chunks else "X-Note: none"
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"{wire.ATTEMPT_ID}: {attempt}\r\n"
                f"{wire.SERVER_STAMP}: s\r\n{framing}\r\n\r\n"
            ).encode()
        )
        is_first = attempt not in self._seen
        self._seen.add(attempt)
        first_event = int(headers.get(wire.LAST_EVENT_ID, "0")) + 1
        with contextlib.suppress(OSError):
            for number in range(first_event, EVENTS + 1):
                data = make_event(number)
                if is_first and number == place:
                    data = block + data
                writer.write(
                    b"%x\r\n%s\r\n" % (len(data), data) if has_chunks else data
                )
                await writer.drain()
                await asyncio.sleep(0.002)
            if has_chunks:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
        writer.close()


class ForeignBytesProcessTest(unittest.TestCase):
    """A real daemon and a target that puts foreign bytes into streams."""

    def test_callers_get_the_events_of_runs_only(self) -> None:
        """Guards against a piece that no run made, on real connections.

        Callers got blocks like these as events of their streams.
        """
        route = {
            **CONFIG["routes"][0],
            "name": "r-9",
            "path_prefix": "/foreign/",
            "service": "trouble",
            "max_attempts": 2,
            "resumable": True,
        }
        config = {
            **CONFIG,
            "routes": [*CONFIG["routes"], route],
            "services": [*CONFIG["services"], {"name": "trouble"}],
        }
        whole = b"".join(make_event(n) for n in range(1, EVENTS + 1))

        async def check(fleet: EdgeFleet) -> None:
            server = await asyncio.start_server(
                _ForeignTarget().serve, "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            entry = {**TARGET_ENTRY, "service": "trouble"}
            entry["address"] = f"127.0.0.1:{port}"
            fleet.store.put("servers/i-9", entry)
            fleet.store.put("op/config", config)
            # All attempts are sent twice within seconds.
            bounds = {**SETTINGS_DOCUMENT["bounds"], "retry_slack": 1_000}
            fleet.spawn(HOSTS[0], bounds=bounds)
            await fleet.wait_ready(HOSTS[0])

            async def call(path: str) -> None:
                answer = await fleet.call(HOSTS[0], path, path)
                assert answer.status == 200, (path, answer.status)
                assert answer.content == whole, (path, answer.content)

            for number, _ in enumerate(FOREIGN_BLOCKS):
                async with anyio.create_task_group() as tasks:
                    for place in FOREIGN_PLACES:
                        tasks.start_soon(call, f"/foreign/{number}/{place}/1/x")
                        tasks.start_soon(call, f"/foreign/{number}/{place}/0/x")
            server.close()

        run_with_fleet(check)
