"""Real daemons beside others that send bytes without end which are no message.

They come from targets, callers, the store and peers, until the daemon closes.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import pathlib
import socket
import unittest
from collections.abc import AsyncIterator, Iterator

import anyio

from peridotbend.platform import wire
from peridotbend.wire import edge_pb2 as pb
from peridotbend_emulator.launch import Child
from peridotbend_emulator.procstat import parse_resident_bytes
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
    wait_for_event,
)
from tests.troubledfleet import (
    IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    SLOW_ONCE_PATH,
    SLOW_PATH,
    TroubledFleet,
    run_with_child,
)
from tests.troubledtargets import WHOLE, Place, TroubledAnswer

# Far more than a daemon may buffer of one connection, and far less than what
# it is sent here.
MAX_GROWTH_BYTES = 32 * 1_048_576
MAX_SENT_BYTES = 256 * 1_048_576
PIECE = b"x" * 4_096
TARGET_HEAD = (
    "HTTP/1.1 200 OK\r\n"
    f"{wire.ATTEMPT_ID}: ATTEMPT\r\n{wire.SERVER_STAMP}: s\r\n"
    "Content-Type: text/event-stream\r\n"
).encode()
TARGET_CHUNKS = TARGET_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
STORE_HEAD = f"HTTP/1.1 200 OK\r\n{wire.STORE_ERA}: 1\r\n".encode()
STORE_CHUNKS = STORE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CALLER_HEAD = (
    "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
    "Authorization: Token key-1\r\n"
    f"{wire.ATTEMPT_ID}: endless\r\n{wire.DEADLINE_MS}: 20000\r\n"
).encode()
CALLER_CHUNKS = CALLER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
HEADER_LINES = b"a: b\r\n" * 500


def _make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@dataclasses.dataclass(frozen=True, slots=True)
class EndlessBytes:
    """Bytes that go on for as long as they are read."""

    name: str
    start: bytes
    piece: bytes = PIECE

    def list_all(self) -> Iterator[bytes]:
        """Yields the bytes."""
        return itertools.chain((self.start,), itertools.repeat(self.piece))

    async def list_pieces(self, attempt: str) -> AsyncIterator[bytes]:
        """Yields the bytes as the answer to an attempt."""
        yield self.start.replace(b"ATTEMPT", attempt.encode())
        while True:
            yield self.piece
            await asyncio.sleep(0)


FROM_TARGETS: list[TroubledAnswer] = [
    EndlessBytes("no HTTP", b""),
    EndlessBytes("header line", TARGET_HEAD + b"a: "),
    EndlessBytes("header lines", TARGET_HEAD, HEADER_LINES),
    EndlessBytes("interim answers", b"", b"HTTP/1.1 103 Early\r\n\r\n" * 200),
    EndlessBytes("chunk size", TARGET_CHUNKS, b"1" * 4_096),
    EndlessBytes("zeros of a chunk size", TARGET_CHUNKS, b"0" * 4_096),
    EndlessBytes("chunk extension", TARGET_CHUNKS + b"5;a="),
    EndlessBytes("trailer", TARGET_CHUNKS + b"0\r\na: "),
    EndlessBytes("trailers", TARGET_CHUNKS + b"0\r\n", HEADER_LINES),
    EndlessBytes("event", TARGET_CHUNKS, _make_chunk(b"data: " + PIECE)),
    EndlessBytes("comments", TARGET_CHUNKS, _make_chunk(b": x\n\n" * 800)),
    EndlessBytes("empty lines", TARGET_CHUNKS, _make_chunk(b"\n" * 4_096)),
    EndlessBytes("data", TARGET_CHUNKS, _make_chunk(b"data: x\n\n" * 400)),
    EndlessBytes(
        "body with a length",
        TARGET_HEAD + b"Content-Length: 1000000000000\r\n\r\n",
        b": x\n\n" * 800,
    ),
    EndlessBytes(
        "body that ends with its connection", TARGET_HEAD + b"\r\n", b"\xff\n"
    ),
]
FROM_CALLERS = (
    EndlessBytes("no HTTP", b"", b"\xff" * 4_096),
    EndlessBytes("empty lines", b"", b"\r\n" * 2_048),
    EndlessBytes("request line", b"GET /"),
    EndlessBytes("header line", CALLER_HEAD + b"a: "),
    EndlessBytes("header lines", CALLER_HEAD, HEADER_LINES),
    EndlessBytes("chunk size", CALLER_CHUNKS, b"1" * 4_096),
    EndlessBytes("zeros of a chunk size", CALLER_CHUNKS, b"0" * 4_096),
    EndlessBytes("chunk extension", CALLER_CHUNKS + b"4;a="),
    EndlessBytes(
        "chunk extensions", CALLER_CHUNKS, b"1;" + PIECE + b"\r\nx\r\n"
    ),
    EndlessBytes("trailer", CALLER_CHUNKS + b"4\r\nbody\r\n0\r\na: "),
    EndlessBytes(
        "trailers", CALLER_CHUNKS + b"4\r\nbody\r\n0\r\n", HEADER_LINES
    ),
    EndlessBytes("body", CALLER_CHUNKS, _make_chunk(PIECE * 16)),
)
FROM_THE_STORE = (
    EndlessBytes("no HTTP", b""),
    EndlessBytes("header lines", STORE_HEAD, HEADER_LINES),
    EndlessBytes("chunk extension", STORE_CHUNKS + b"5;a="),
    EndlessBytes("trailers", STORE_CHUNKS + b"0\r\n", HEADER_LINES),
    EndlessBytes("body", STORE_CHUNKS + _make_chunk(b'{"items": ['), b"[" * 99),
    EndlessBytes("text", STORE_CHUNKS, _make_chunk(b" " * 4_096)),
)
# The start of a connection with HTTP/2: preface and empty settings.
_SETTINGS = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
HTTP2_START = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + _SETTINGS
# Header frames of stream 1 that never end the headers.
HEADERS = b"\x00\x00\x01\x01\x00\x00\x00\x00\x01\x88"
CONTINUATION = b"\x00\x10\x00\x09\x00\x00\x00\x00\x01" + b"\x00" * 4_096
FROM_PEERS = (
    EndlessBytes("no HTTP/2", b""),
    EndlessBytes("frames of no type", HTTP2_START, b"\x00\x00\x00\xee" * 999),
    EndlessBytes("headers", HTTP2_START + HEADERS, CONTINUATION),
)
FROM_CALLED_PEERS = (
    EndlessBytes("no HTTP/2", b""),
    EndlessBytes("headers", _SETTINGS + HEADERS, CONTINUATION),
)


async def _send_until_closed(
    endless: EndlessBytes,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> int:
    """Sends until the other side closes; returns the number of bytes."""
    sent = 0
    closing = asyncio.create_task(_read_to_the_end(reader))
    try:
        for piece in endless.list_all():
            if closing.done():
                break
            if sent < MAX_SENT_BYTES:
                writer.write(piece)
                sent += len(piece)
                await writer.drain()
            # Lets the other tasks run, which the other side relies on.
            await asyncio.sleep(0 if sent < MAX_SENT_BYTES else 0.01)
    except OSError:
        pass
    finally:
        closing.cancel()
        writer.close()
    return sent


async def _read_to_the_end(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            pass


@contextlib.asynccontextmanager
async def _check_memory(child: Child) -> AsyncIterator[None]:
    """Checks that the memory of a daemon stays bounded in the meantime."""
    status = pathlib.Path(f"/proc/{child.pid}/status")
    before = most = parse_resident_bytes(status.read_text())

    async def watch() -> None:
        nonlocal most
        while True:
            most = max(most, parse_resident_bytes(status.read_text()))
            await anyio.sleep(0.02)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        yield
        tasks.cancel_scope.cancel()
    assert child.exit_code is None, child.output
    assert most - before < MAX_GROWTH_BYTES, (before, most)


class _EndlessServer:
    """Answers each connection with endless bytes."""

    def __init__(self, endless: EndlessBytes) -> None:
        self._endless = endless
        self.connections = 0
        # Connections that the other side has not closed yet.
        self.active = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.connections += 1
        self.active += 1
        try:
            await _send_until_closed(self._endless, reader, writer)
        finally:
            self.active -= 1


class EndlessTargetTest(unittest.TestCase):
    """Targets that send bytes without end in place of an answer."""

    def test_sends_end_and_other_callers_are_served(self) -> None:
        """Guards against memory that grows, and callers that wait in vain.

        A caller whose stream may go on gets it from another target; one whose
        request may have run is told so.
        """

        async def check(troubled: TroubledFleet, child: Child) -> None:
            problems: list[str] = []
            served: list[str] = []

            async def call(prefix: str, *places: Place) -> None:
                problems.extend(await troubled.list_problems(prefix, *places))

            async def call_beside() -> None:
                while True:
                    path = f"{RESUMABLE_PATH}0/none/{len(served)}"
                    answer = await troubled.call(path)
                    assert answer is not None, path
                    assert (answer.status, answer.content) == (200, WHOLE)
                    served.append(path)

            async with _check_memory(child):
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    async with anyio.create_task_group() as beside:
                        beside.start_soon(call_beside)
                        async with anyio.create_task_group() as tasks:
                            tasks.start_soon(
                                call, SLOW_PATH, Place.FIRST, Place.RESUMED
                            )
                            tasks.start_soon(call, SLOW_ONCE_PATH, Place.FIRST)
                        beside.cancel_scope.cancel()
                    assert not problems, "\n".join(problems)
                    assert len(served) > len(FROM_TARGETS)
                    while troubled.target.active:
                        await anyio.sleep(0.02)
            troubled.fleet.kill_all()

        run_with_child(FROM_TARGETS, check)

    def test_bytes_after_a_whole_answer_reach_nobody(self) -> None:
        """Guards against a connection that is used again for such bytes."""
        body = b"whole"
        start = (
            TARGET_HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        answers: list[TroubledAnswer] = [
            EndlessBytes("no HTTP", start),
            EndlessBytes("answers", start, start),
        ]

        async def check(troubled: TroubledFleet, child: Child) -> None:
            async with _check_memory(child):
                for number in range(20):
                    path = f"{IDEMPOTENT_PATH}{number % 2}/first/{number}"
                    answer = await troubled.call(path)
                    assert answer is not None, path
                    assert (answer.status, answer.content) == (200, body)
                    assert troubled.target.sends[path] == 1
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    while troubled.target.active:
                        await anyio.sleep(0.02)
            troubled.fleet.kill_all()

        run_with_child(answers, check)


class EndlessCallerTest(unittest.TestCase):
    """Callers that send bytes without end."""

    def test_connections_are_closed_and_nothing_runs(self) -> None:
        """Guards against memory that grows with what a caller sends.

        Trailers were kept like headers, without a limit: 60 MB of them took
        1.1 GB.
        """

        async def check(fleet: EdgeFleet) -> None:
            limits = {**CONFIG["limits"], "header_timeout_ms": 1_000}
            fleet.store.put("op/config", {**CONFIG, "limits": limits})
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            ended: list[str] = []

            async def send(endless: EndlessBytes) -> None:
                reader, writer = await fleet.connect(HOSTS[0])
                await _send_until_closed(endless, reader, writer)
                ended.append(endless.name)

            async with _check_memory(child):
                # Far less than the deadline of the requests.
                with anyio.move_on_after(5.0):
                    async with anyio.create_task_group() as tasks:
                        for endless in FROM_CALLERS:
                            tasks.start_soon(send, endless)
                missing = {e.name for e in FROM_CALLERS} - set(ended)
                assert not missing, missing
            assert not fleet.target.started_attempts
            answer = await fleet.call(HOSTS[0], "/orders/1", "a1")
            assert answer.status == 200
            fleet.kill_all()

        run_with_fleet(check)

    def test_sound_chunks_and_trailers_are_served(self) -> None:
        """Guards against limits that sound requests exceed.

        No trailer is taken for a header.
        """
        chunks = (b"1;a=b\r\nx\r\n" * 500) + (_make_chunk(b"x") * 5_000)
        body = chunks + f"0\r\n{wire.ATTEMPT_ID}: other\r\n\r\n".encode()

        async def check(fleet: EdgeFleet) -> None:
            fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            reader, writer = await fleet.connect(HOSTS[0])
            writer.write(CALLER_CHUNKS + body)
            with anyio.fail_after(WAIT_TIMEOUT_S):
                answer = await reader.readuntil(b"done")
            assert answer.startswith(b"HTTP/1.1 200 "), answer
            assert fleet.target.started_attempts == ["endless"]
            writer.close()
            fleet.kill_all()

        run_with_fleet(check)


class EndlessStoreTest(unittest.TestCase):
    """A store that sends bytes without end."""

    def test_instance_serves_on_and_returns_to_the_store(self) -> None:
        """Guards against a store that fills the memory or ends the process."""

        async def check(fleet: EdgeFleet) -> None:
            endless = EndlessBytes("", b"")
            servers: list[_EndlessServer] = []

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                servers.append(_EndlessServer(endless))
                await servers[-1].serve(reader, writer)

            child = fleet.spawn(HOSTS[0], seeds=[])
            await fleet.wait_ready(HOSTS[0])
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            async with server, _check_memory(child):
                address = f"127.0.0.1:{port}"
                fleet.write_settings(
                    HOSTS[0], seeds=[], platform={"address": address}
                )
                await wait_for_event(child, "settings-reloaded")
                for number, endless in enumerate(FROM_THE_STORE):
                    before = len(servers)
                    with anyio.fail_after(WAIT_TIMEOUT_S):
                        while len(servers) < before + 2:
                            await anyio.sleep(0.02)
                    attempt = f"a{number}"
                    answer = await fleet.call(HOSTS[0], "/orders/1", attempt)
                    assert answer.status == 200, endless.name
                fleet.write_settings(HOSTS[0], seeds=[])
                fleet.store.put("op/config", {**CONFIG, "version": 9})
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    while '"version": 9' not in child.output:
                        await anyio.sleep(0.02)
                    while any(s.active for s in servers):
                        await anyio.sleep(0.02)
            fleet.kill_all()

        run_with_fleet(check)


class EndlessPeerTest(unittest.TestCase):
    """Peers that send bytes without end."""

    def test_bytes_to_the_port_for_peers(self) -> None:
        """Guards against memory that grows with what a peer sends."""

        async def check(fleet: EdgeFleet) -> None:
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])

            async def send(endless: EndlessBytes) -> None:
                reader, writer = await asyncio.open_connection(
                    HOSTS[0], fleet.ports["peers"]
                )
                await _send_until_closed(endless, reader, writer)

            async with _check_memory(child):
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    async with anyio.create_task_group() as tasks:
                        for endless in FROM_PEERS:
                            tasks.start_soon(send, endless)
            answer = await fleet.call(HOSTS[0], "/orders/1", "a1")
            assert answer.status == 200
            fleet.kill_all()

        run_with_fleet(check)

    def test_answers_of_a_peer_that_is_ahead(self) -> None:
        """Guards against a fetch of changes that never ends."""

        async def check(fleet: EdgeFleet) -> None:
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            digest = pb.UseDigest(
                name="peer",
                incarnation=1,
                host=HOSTS[1],
                zone="zone-a",
                feeds=[pb.FeedState(prefix="op/", revision=999, era=1)],
            )
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.bind((HOSTS[1], fleet.ports["digests"]))
                async with _check_memory(child):
                    for endless in FROM_CALLED_PEERS:
                        peer = _EndlessServer(endless)
                        server = await asyncio.start_server(
                            peer.serve, HOSTS[1], fleet.ports["peers"]
                        )
                        async with server:
                            with anyio.fail_after(WAIT_TIMEOUT_S):
                                while peer.connections < 2 or peer.active:
                                    digest.sequence += 1
                                    sender.sendto(
                                        digest.SerializeToString(),
                                        (HOSTS[0], fleet.ports["digests"]),
                                    )
                                    await anyio.sleep(0.1)
            answer = await fleet.call(HOSTS[0], "/orders/1", "a1")
            assert answer.status == 200
            fleet.kill_all()

        run_with_fleet(check)
