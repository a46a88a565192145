"""Tests of what callers receive while a real daemon is stopped."""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import AsyncIterator

import anyio

from peridotbend.platform import wire
from peridotbend_emulator.launch import Child
from tests.edgefleet import (
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    make_order,
    run_with_fleet,
    serve_app,
)
from tests.edgestandins import FakeTarget, Send
from tests.test_edge_platform import TARGET_ENTRY

EVENT_BYTES = 500
# Some 1 MB, which fits into the buffers of the kernel.
EVENTS = 2_000
# Read at most at once, some 50 times a second.
PART_BYTES = 20_000
PART_GAP_S = 0.02
# More than the daemon reads of a request while another is being answered.
UNREAD_BYTES = 30_000
# Ends after idle connections were closed, and long before the grace period.
RUN_S = 3.5
# Between requests that come while the one before them runs.
NEXT_GAP_S = 0.7
# Kept connections, one of which is used every 10 ms around the close.
KEPT = 120
FIRST_USE_S = 2.0
USE_GAP_S = 0.01
STREAM_END = b"0\r\n\r\n"


class WordyTarget(FakeTarget):
    """A target whose events are large, and come at once."""

    async def _stream(
        self,
        send: Send,
        answer_headers: tuple[tuple[str, str], ...],
        first_event: int,
    ) -> None:
        raw = [(n.encode(), v.encode()) for n, v in answer_headers]
        raw.append((b"content-type", b"text/event-stream"))
        await send(
            {"type": "http.response.start", "status": 200, "headers": raw}
        )
        data = "x" * EVENT_BYTES
        for number in range(first_event, EVENTS + 1):
            event = f"id: {number}\ndata: {data}\n\n".encode()
            await send(
                {"type": "http.response.body", "body": event, "more_body": True}
            )
        await send({"type": "http.response.body", "body": b""})


@contextlib.asynccontextmanager
async def serve_wordy(fleet: EdgeFleet) -> AsyncIterator[WordyTarget]:
    """Lists a target with large events in place of the usual one."""
    target = WordyTarget("i-1")
    async with serve_app(target) as address:
        fleet.store.put("servers/i-1", {**TARGET_ENTRY, "address": address})
        yield target


def make_call(path: str, attempt: str, body: bytes = b"body") -> bytes:
    """Returns a request with a time limit that no test reaches."""
    lines = (
        f"POST {path} HTTP/1.1",
        "Host: shop.example",
        "Authorization: Token key-1",
        f"{wire.ATTEMPT_ID}: {attempt}",
        f"{wire.DEADLINE_MS}: 30000",
        f"Content-Length: {len(body)}",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Caller:
    """A connection whose bytes are read only when a test asks for them."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self.received = b""
        # Whether the other side has reset the connection.
        self.is_reset = False

    async def open(self, fleet: EdgeFleet, buffer_bytes: int = 0) -> None:
        """Connects to the first instance."""
        if buffer_bytes:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes
            )
        address = HOSTS[0], fleet.ports["callers"]
        await self._loop.sock_connect(self._socket, address)

    async def send(self, data: bytes) -> bool:
        """Sends bytes; tells whether the connection was still open."""
        try:
            await self._loop.sock_sendall(self._socket, data)
        except ConnectionError:
            self.is_reset = True
        return not self.is_reset

    async def read_until(self, end: bytes) -> None:
        """Reads until some bytes have come."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while end not in self.received and await self._read(PART_BYTES):
                pass

    async def read_all(self, part_gap_s: float = 0.0) -> None:
        """Reads until the connection ends, in parts if a gap is given."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while await self._read(PART_BYTES):
                await asyncio.sleep(part_gap_s)
        self._socket.close()

    async def _read(self, size: int) -> bool:
        try:
            data = await self._loop.sock_recv(self._socket, size)
        except ConnectionError:
            self.is_reset = True
            return False
        self.received += data
        return bool(data)


async def start(fleet: EdgeFleet) -> Child:
    """Starts an instance, and waits until it serves."""
    child = fleet.spawn(HOSTS[0])
    await fleet.wait_ready(HOSTS[0])
    return child


async def wait_whole(target: FakeTarget, runs: int) -> None:
    """Waits until the target has ended so many runs in order."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while target.end_counts["whole"] < runs:
            await anyio.sleep(0.01)


class SlowReaderTest(unittest.TestCase):
    """Callers that read an answer later than its run ends."""

    def test_exit_does_not_cut_an_answer_that_is_not_read_yet(self) -> None:
        """Guards against an exit that drops the end of a sent answer."""

        async def check(fleet: EdgeFleet) -> None:
            async with serve_wordy(fleet) as target:
                child = await start(fleet)
                caller = Caller()
                await caller.open(fleet)
                await caller.send(make_call("/quotes/1", "a1"))
                await wait_whole(target, 1)
                child.terminate()
                code = await anyio.to_thread.run_sync(
                    child.wait, WAIT_TIMEOUT_S
                )
                assert code == 0
                await caller.read_all()
                assert caller.received.count(b"\ndata: ") == EVENTS
                assert caller.received.endswith(STREAM_END)

        run_with_fleet(check)

    def test_stop_does_not_reset_an_answer_before_an_unread_body(self) -> None:
        """Guards against a close that resets what the caller still reads.

        The kernel drops what it has not sent if a connection is closed with
        bytes that were not read, such as the body of a next request.
        """

        async def check(fleet: EdgeFleet) -> None:
            async with serve_wordy(fleet) as target:
                child = await start(fleet)
                child.terminate()
                caller = Caller()
                await caller.open(fleet, buffer_bytes=4_096)
                await caller.send(
                    make_call("/quotes/1", "a1")
                    + make_call("/orders/1", "a2", b"x" * UNREAD_BYTES)
                )
                await wait_whole(target, 1)
                await caller.read_all(PART_GAP_S)
                events = caller.received.count(b"\ndata: ")
                assert events == EVENTS, (events, caller.is_reset)

        run_with_fleet(check)


class NextRequestTest(unittest.TestCase):
    """Requests on a connection that a stop is about to close."""

    def test_answer_is_whole_when_a_next_request_waits(self) -> None:
        """Guards against a close that cuts the answer before a request.

        The request behind it may run only if it is answered.
        """

        async def check(fleet: EdgeFleet) -> None:
            fleet.target.delay_s = RUN_S
            child = await start(fleet)
            callers = [Caller() for _ in range(4)]
            for number, caller in enumerate(callers):
                await caller.open(fleet)
                await caller.send(make_order(f"a{number}"))
            await fleet.wait_started(len(callers))
            child.terminate()
            for number, caller in enumerate(callers):
                await asyncio.sleep(NEXT_GAP_S)
                await caller.send(make_order(f"b{number}"))
            for caller in callers:
                await caller.read_all()
            ran = fleet.target.started_attempts
            for number, caller in enumerate(callers):
                answers = caller.received.count(b"\r\n\r\ndone")
                assert answers == 1 + (f"b{number}" in ran), caller.received

        run_with_fleet(check)

    def test_next_request_that_was_read_is_answered(self) -> None:
        """Guards against a stop that drops a request which it has read.

        The connection ends in order, which shows that all was read.
        """

        async def check(fleet: EdgeFleet) -> None:
            fleet.target.delay_s = RUN_S
            child = await start(fleet)
            caller = Caller()
            await caller.open(fleet)
            await caller.send(make_order("a1"))
            await fleet.wait_started(1)
            await caller.send(make_order("a2"))
            child.terminate()
            await caller.read_all()
            answers = caller.received.count(b"HTTP/1.1 ")
            assert caller.is_reset or answers == 2, caller.received

        run_with_fleet(check)

    def test_kept_connections_end_without_a_run_or_with_an_answer(self) -> None:
        """Guards against requests that are read as a stop closes connections.

        They come one after the other until idle connections are closed.
        """

        async def check(fleet: EdgeFleet) -> None:
            child = await start(fleet)
            callers = [Caller() for _ in range(KEPT)]
            for number, caller in enumerate(callers):
                await caller.open(fleet)
                await caller.send(make_order(f"kept{number}"))
                await caller.read_until(b"done")
                caller.received = b""
            fleet.target.started_attempts.clear()
            child.terminate()
            await asyncio.sleep(FIRST_USE_S)
            for number, caller in enumerate(callers):
                await caller.send(make_order(f"late{number}"))
                await asyncio.sleep(USE_GAP_S)
            ran = fleet.target.started_attempts
            answered = 0
            for number, caller in enumerate(callers):
                await caller.read_all()
                end = b"\r\n\r\n"
                if caller.received.startswith(b"HTTP/1.1 200 "):
                    end += b"done"
                is_whole = caller.received.endswith(end)
                answered += is_whole
                assert is_whole or f"late{number}" not in ran, number
                assert is_whole or not caller.received, caller.received
            # Otherwise the close was not met.
            assert 0 < answered < KEPT, answered

        run_with_fleet(check)
