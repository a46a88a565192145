"""Tests of the memory that callers share, and of requests in a row."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import cast
from unittest import mock

import anyio
from uvicorn.config import Config
from uvicorn.server import ServerState

from peridotbend.adapters.boundedconnections import (
    MAX_ITEMS_PER_TURN,
    BoundedConnection,
)
from peridotbend.adapters.callermemory import (
    HEADROOM,
    MAX_ORDINARY_BYTES,
    MIB,
    MIN_LIMIT_BYTES,
    MIN_UNREAD_MS,
    REQUEST_BYTES,
    CallerMemory,
    find_limit,
)
from peridotbend.adapters.connectionlimits import ConnectionLimits
from peridotbend.adapters.exchanges import Receive, Scope, Send
from peridotbend.adapters.reading import (
    BODY_READ_BYTES,
    READ_BYTES,
    BufferedReader,
    ReadingTurns,
)
from peridotbend.adapters.serving import HttpServer
from peridotbend.adapters.turnedaway import (
    MIN_LOG_INTERVAL_MS,
    TurnedAway,
    Way,
)
from peridotbend.adapters.waitingconnections import WaitingConnections
from peridotbend.domain.clock import ManualClock, SystemClock
from tests.fedconnections import ROUNDS, RecordingTransport
from tests.test_serving import run_with_server, serve_nothing

COUNT = 500


class _Holder:
    """Frees its memory when it is told to."""

    def __init__(self, memory: CallerMemory, size: int):
        self.ways: list[Way] = []
        self._memory = memory
        self._size = size
        memory.budget.reserve(size)

    def free_memory(self, way: Way) -> None:
        """Notes why."""
        self.ways.append(way)
        self._memory.budget.release(self._size)


async def _echo(scope: Scope, receive: Receive, send: Send) -> None:
    """Answers with the body of the request."""
    del scope
    body, has_more = b"", True
    while has_more:
        message = await receive()
        body += message["body"]
        has_more = message["more_body"]
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", str(len(body)).encode())],
        }
    )
    await send({"type": "http.response.body", "body": body})


class CallerMemoryTest(unittest.TestCase):
    """Who gets memory if it is short."""

    def setUp(self) -> None:
        """Creates a memory of 1,000 bytes."""
        self.clock = ManualClock()
        self.memory = CallerMemory(1_000, clock=self.clock)

    def test_large_requests_are_refused_first(self) -> None:
        """Guards against large heads that use up what ordinary ones need."""
        large = _Holder(self.memory, 0)
        size = 1_000 // (HEADROOM + 1)
        assert self.memory.reserve_head(large, size, size)
        assert not self.memory.reserve_head(large, size, size)
        assert self.memory.reserve_head(large, 50, 50)

    def test_incomplete_heads_give_way(self) -> None:
        """Guards against heads that are held back to keep others out."""
        held, asking = _Holder(self.memory, 800), _Holder(self.memory, 0)
        self.memory.hold_head(held)
        assert not self.memory.reserve_head(asking, 100, 100)
        self.clock.advance(MIN_UNREAD_MS)
        assert self.memory.reserve_head(asking, 100, 100)
        assert held.ways == [Way.HEAD_GAVE_WAY]

    def test_unread_answers_give_way(self) -> None:
        """Guards against callers that read nothing and keep others out."""
        held, asking = _Holder(self.memory, 800), _Holder(self.memory, 0)
        self.memory.hold_unread(held)
        self.clock.advance(MIN_UNREAD_MS)
        assert self.memory.reserve_unread(asking, 400) == 400
        assert held.ways == [Way.UNREAD_ANSWER]

    def test_answers_do_not_give_way_to_large_requests(self) -> None:
        """Guards against an answer that is lost to a head of many lines."""
        memory = CallerMemory(10 * MAX_ORDINARY_BYTES, clock=self.clock)
        held = _Holder(memory, 6 * MAX_ORDINARY_BYTES)
        asking = _Holder(memory, 0)
        memory.hold_unread(held)
        self.clock.advance(MIN_UNREAD_MS)
        size = 2 * MAX_ORDINARY_BYTES
        assert not memory.reserve_head(asking, size, size)
        assert not held.ways
        size = MAX_ORDINARY_BYTES
        assert memory.reserve_head(asking, size, size)
        assert held.ways == [Way.UNREAD_ANSWER]

    def test_unread_answers_never_exceed_the_limit(self) -> None:
        """Guards against a charge that is released but was never made."""
        asking = _Holder(self.memory, 900)
        assert self.memory.reserve_unread(asking, 400) == 100

    def test_limit_follows_the_machine(self) -> None:
        """Guards against a limit above what the process leaves."""
        assert find_limit(40) == MIN_LIMIT_BYTES
        assert 60 * MIB < find_limit(200) < 100 * MIB
        assert find_limit(300) < 150 * MIB

    def test_log_lines_are_few(self) -> None:
        """Guards against clients that fill the log."""
        log = mock.Mock()
        turned_away = TurnedAway(log, self.clock)
        for _ in range(3):
            turned_away.note(Way.SLOW)
        self.clock.advance(MIN_LOG_INTERVAL_MS)
        turned_away.note(Way.SLOW)
        assert turned_away.count("slow") == 4
        counts = [call.kwargs["count"] for call in log.emit.call_args_list]
        assert counts == [1, 3], counts


class RequestsInARowTest(unittest.TestCase):
    """Requests that are sent without a wait for answers."""

    def test_all_are_answered(self) -> None:
        """Guards against polite callers that lose requests to the bounds.

        Cut anywhere, with empty lines, chunks and blank lines in bodies.
        """
        head = b"POST / HTTP/1.1\r\nHost: x\r\n"
        requests = (
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            head + b"Content-Length: 9\r\n\r\n\r\n\r\n\n\n\r\nx",
            head + b"Transfer-Encoding: chunked\r\n\r\n"
            b"4\r\n\r\n\r\n\r\n0\r\na: b\r\n\r\n\r\n",
        )

        async def test(server: HttpServer, port: int) -> None:
            del server
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"".join(requests) * COUNT)
            writer.write(
                b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            answers = await reader.read(-1)
            writer.close()
            assert answers.count(b"HTTP/1.1 200 ") == 3 * COUNT + 1
            assert answers.count(b"\r\n\r\n\r\n\r\n\n\n\r\nx") == COUNT
            assert answers.count(b": 4\r\n\r\n\r\n\r\nHTTP") == COUNT

        run_with_server(test, ConnectionLimits(), _echo)


CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
# A whole request and, in the same packet, the head of one behind it: a body in
# chunks has no end that is known before it is parsed.
TWO_REQUESTS = CHUNKED_HEAD + b"\r\n0\r\n\r\n" + CHUNKED_HEAD + b"\r\n"
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class ConnectionChargesTest(unittest.TestCase):
    """What a connection still holds after its requests or its caller."""

    def setUp(self) -> None:
        """Creates a memory and a transport that records."""
        self.memory = CallerMemory()
        self.transport = RecordingTransport()

    def _connect(
        self,
        app: App,
        limits: ConnectionLimits | None = None,
        turns: ReadingTurns | None = None,
        transport: RecordingTransport | None = None,
    ) -> BoundedConnection:
        config = Config(app, lifespan="off", log_config=None, ws="none")
        config.load()
        connection = BoundedConnection(
            limits or ConnectionLimits(),
            WaitingConnections(SystemClock()),
            config,
            ServerState(),
            {},
            memory=self.memory,
            turns=turns,
        )
        connection.connection_made(transport or self.transport)
        return connection

    def test_requests_behind_another_are_not_parsed(self) -> None:
        """Guards against thousands of requests that one read makes objects.

        They wait as bytes, and no more of them is read.
        """

        async def test() -> None:
            connection = self._connect(serve_nothing)
            connection.data_received(b"GET / HTTP/1.1\r\nHost:\r\n\r\n" * 100)
            assert len(connection.tasks) == 1
            assert not connection.pipeline
            assert self.memory.budget.used_bytes < 2 * REQUEST_BYTES
            assert self.transport.is_paused
            connection.connection_lost(ConnectionResetError())
            with anyio.fail_after(20):
                while connection.tasks:
                    await anyio.sleep(0)

        anyio.run(test)

    def test_reads_are_small_unless_a_body_has_a_length(self) -> None:
        """Guards against reads whose contents exceed every limit at once."""
        plain_bytes = [0, READ_BYTES, 10 * READ_BYTES, 10 * BODY_READ_BYTES]
        reader = BufferedReader(
            mock.Mock(),
            lambda: plain_bytes.pop(0),
            memoryview(bytearray(BODY_READ_BYTES)),
        )
        sizes = [len(reader.get_buffer(-1)) for _ in range(4)]
        assert sizes == [
            READ_BYTES,
            READ_BYTES,
            10 * READ_BYTES,
            BODY_READ_BYTES,
        ]

    def test_laborious_reads_take_turns(self) -> None:
        """Guards against many such reads before one of an ordinary caller."""
        turns = ReadingTurns()
        transports = [RecordingTransport() for _ in range(3)]
        chunks = b"1\r\nx\r\n" * (MAX_ITEMS_PER_TURN + 1)

        async def test() -> None:
            connections = [
                self._connect(serve_nothing, turns=turns, transport=transport)
                for transport in transports
            ]
            for connection in connections:
                connection.data_received(CHUNKED_HEAD + b"\r\n" + chunks)
            paused = []
            for _ in range(len(transports) + 1):
                paused.append(sum(each.is_paused for each in transports))
                await anyio.lowlevel.checkpoint()
            assert paused == [3, 2, 1, 0]
            for connection in connections:
                connection.connection_lost(ConnectionResetError())
            with anyio.fail_after(20):
                while any(each.tasks for each in connections):
                    await anyio.sleep(0)

        anyio.run(test)

    def test_refused_request_behind_another_is_given_back(self) -> None:
        """Guards against memory that is lost with each refused request."""

        async def test() -> None:
            connection = self._connect(_echo)
            connection.data_received(TWO_REQUESTS + b"no size\r\n")
            with anyio.fail_after(20):
                while connection.tasks:
                    await anyio.sleep(0)
            connection.connection_lost(None)

        anyio.run(test)
        assert self.memory.budget.used_bytes == 0

    def test_caller_that_leaves_ends_all_its_requests(self) -> None:
        """Guards against a request that goes on if another waits behind it."""

        async def test() -> None:
            connection = self._connect(serve_nothing)
            connection.data_received(TWO_REQUESTS + b"0\r\n\r\n")
            assert len(connection.pipeline) == 1
            # The application waits for what follows.
            for _ in range(ROUNDS):
                await anyio.lowlevel.checkpoint()
            connection.connection_lost(ConnectionResetError())
            with anyio.fail_after(20):
                while connection.tasks:
                    await anyio.sleep(0.001)

        anyio.run(test)
        assert self.memory.budget.used_bytes == 0

    def test_answered_head_is_dropped_before_its_body(self) -> None:
        """Guards against uncharged heads while bodies are held back."""
        scopes: list[Scope] = []

        async def answer_early(
            scope: Scope, receive: Receive, send: Send
        ) -> None:
            del receive
            scopes.append(scope)
            await send({"type": "http.response.start", "status": 200})
            await send({"type": "http.response.body"})

        async def test() -> None:
            connection = self._connect(cast(App, answer_early))
            connection.data_received(
                CHUNKED_HEAD + b"Idempotency-Key: k\r\n" * 2 + b"\r\n"
            )
            with anyio.fail_after(20):
                while connection.tasks:
                    await anyio.sleep(0)
            assert not scopes[0]["headers"]
            assert len(connection.headers) == 1
            # The request has run, and the caller may have sent it before.
            connection.data_received(b"no size\r\n")
            connection.connection_lost(None)

        anyio.run(test)
        assert b"verdict: may-have-run" in self.transport.written
        assert self.memory.budget.used_bytes == 0

    def test_caller_that_reads_late_does_not_keep_its_connection(self) -> None:
        """Guards against refused connections that are never closed."""

        async def test() -> None:
            connection = self._connect(_echo)
            connection.data_received(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            with anyio.fail_after(20):
                while connection.tasks:
                    await anyio.sleep(0)
                connection.pause_writing()
                connection.data_received(b"nonsense\r\n\r\n")
                connection.resume_writing()
                while not self.transport.is_aborted:
                    await anyio.sleep(0.01)
            connection.connection_lost(None)

        anyio.run(test)

    def test_unread_bytes_do_not_keep_a_connection_that_closes(self) -> None:
        """Guards against callers that read nothing, and send empty lines."""
        limits = ConnectionLimits(
            max_header_bytes=10,
            header_timeout_s=0.01,
            write_stall_timeout_s=0.01,
        )
        self.transport.unread_bytes = 100

        async def test(sent: bytes) -> None:
            connection = self._connect(_echo, limits)
            connection.data_received(sent)
            with anyio.fail_after(20):
                while not self.transport.is_aborted:
                    await anyio.sleep(0.01)
            connection.connection_lost(None)

        for sent in (b"\r\n", b"\r\n" * 6):
            with self.subTest(sent=sent):
                self.transport.is_aborted = False
                anyio.run(test, sent)
