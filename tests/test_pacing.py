"""Tests of answers whose parts would keep the event loop from others."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator
from typing import Any

import anyio
import httpcore

from peridotbend.adapters.connections import Dialer
from peridotbend.adapters.pacing import (
    BURST_PARTS,
    PARTS_PER_S,
    SHARED_PARTS_PER_S,
    SOUND_PART_BYTES,
    TURN_PARTS,
    Turns,
)
from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.paths import Endpoint
from peridotbend.domain.ports import TargetCall
from peridotbend.domain.text import Target
from peridotbend.platform import wire
from peridotbend_emulator.virtualtime import run_virtual
from tests.edgefleet import CONFIG, HOSTS, EdgeFleet, run_with_fleet
from tests.test_edge_platform import TARGET_ENTRY

TARGET = Target("t", "engine", "zone-a", "127.0.0.1", 1)
CALL = TargetCall("GET", "/", (), b"", 1_000_000)
# A few times the bytes of one turn.
MAX_TURN_BYTES = 524_288
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _make_chunks(data: bytes, count: int) -> bytes:
    return (f"{len(data):x}\r\n".encode() + data + b"\r\n") * count


class _ReadyStream(httpcore.AsyncNetworkStream):
    """A connection on which more data has always arrived."""

    def __init__(self, data: bytes):
        self._data = data
        self._reads = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        self._reads += 1
        return HEAD if self._reads == 1 else self._data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        pass

    async def aclose(self) -> None:
        pass

    def get_extra_info(self, info: str) -> Any:
        return None


class _ReadyDialer(Dialer):

    def __init__(self, data: bytes):
        self._data = data

    def allows_reuse(self, target: Endpoint) -> bool:
        return False

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        return _ReadyStream(self._data)


async def _read_parts(client: HttpTargetClient) -> AsyncIterator[int]:
    """Yields the size of each part of an answer without end."""
    async with client.open(TARGET, CALL, lambda: True) as opened:
        chunks = opened.unwrap().chunks()
        async with contextlib.aclosing(chunks):  # type: ignore[type-var]
            async for chunk in chunks:
                yield len(chunk.unwrap())


class PacingTest(unittest.TestCase):
    """The work that connections make while data without end arrives."""

    def _count_parts(self, connections: int, seconds: float) -> int:
        """Returns how many 1-byte chunks are read in virtual time."""
        count = 0

        async def read(client: HttpTargetClient) -> None:
            nonlocal count
            async for _ in _read_parts(client):
                count += 1

        async def run() -> None:
            client = HttpTargetClient(
                dialer=_ReadyDialer(_make_chunks(b"x", 4_096))
            )
            with anyio.move_on_after(seconds):
                async with anyio.create_task_group() as tasks:
                    for _ in range(connections):
                        tasks.start_soon(read, client)

        run_virtual(ManualClock(), run())
        return count

    def test_other_tasks_run_between_parts(self) -> None:
        """Guards against an answer in tiny chunks that stops the instance.

        All requests of an instance, and its own tasks, hung while chunks of
        one byte arrived from one target.
        """
        for size in (1, SOUND_PART_BYTES):
            with self.subTest(size=size):
                longest = self._find_longest_run(_make_chunks(b"x" * size, 512))
                assert longest <= BURST_PARTS + 1, longest

    def test_connections_take_turns(self) -> None:
        """Guards against many connections that all read on in each turn.

        Seen on a slow instance with three targets in trouble: each of their
        answers gave way to others, but only after a burst, so that requests of
        others were late by a second.
        """
        for size in (1, SOUND_PART_BYTES, 16_384):
            with self.subTest(size=size):
                data = _make_chunks(b"x" * size, 64)
                longest = self._find_longest_run(data, connections=30)
                assert longest <= 2 * TURN_PARTS, longest
                assert longest * size <= MAX_TURN_BYTES, longest

    def test_cancelled_connection_gives_up_its_turn(self) -> None:
        """Guards against answers that wait for one that was cancelled."""

        async def run() -> None:
            turns = Turns()
            order: list[int] = []

            async def wait(number: int) -> None:
                await turns.wait()
                order.append(number)

            async with anyio.create_task_group() as tasks:
                with anyio.CancelScope() as scope:
                    scope.cancel()
                    await turns.wait()
                for number in range(3):
                    tasks.start_soon(wait, number)
            assert order == [0, 1, 2]

        anyio.run(run)

    def _find_longest_run(self, data: bytes, connections: int = 1) -> int:
        """Returns how many parts are read in a row, without other tasks.

        Args:
            data: what each connection has ready.
            connections: their number. What they read as they begin is left
                out.
        """
        longest = run = total = 0

        async def count_turns() -> None:
            nonlocal run
            while True:
                run = 0
                await anyio.sleep(0)

        async def read(client: HttpTargetClient) -> None:
            nonlocal longest, run, total
            async for _ in _read_parts(client):
                run += 1
                total += 1
                if connections == 1 or total > TURN_PARTS * connections:
                    longest = max(longest, run)
                if total >= max(4 * TURN_PARTS * connections, 8 * BURST_PARTS):
                    break

        async def main() -> None:
            client = HttpTargetClient(dialer=_ReadyDialer(data))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(count_turns)
                async with anyio.create_task_group() as readers:
                    for _ in range(connections):
                        readers.start_soon(read, client)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        return longest

    def test_parts_of_many_connections_are_bounded(self) -> None:
        """Guards against a bound for each connection alone.

        Their number grows with the targets in trouble.
        """
        seconds = 10.0
        for connections in (1, 30):
            own = connections * (BURST_PARTS + PARTS_PER_S * seconds)
            allowed = own + SHARED_PARTS_PER_S * seconds
            count = self._count_parts(connections, seconds)
            assert 0.1 * allowed < count <= allowed * 1.05, (count, allowed)

    def test_sound_answers_are_not_slowed(self) -> None:
        """Guards against a limit that sound targets reach."""

        async def read(data: bytes, parts: int) -> float:
            client = HttpTargetClient(dialer=_ReadyDialer(data))
            started_s = anyio.current_time()
            async for _ in _read_parts(client):
                parts -= 1
                if not parts:
                    break
            return anyio.current_time() - started_s

        for size, parts in ((1, 100), (SOUND_PART_BYTES, 5_000)):
            data = _make_chunks(b"x" * size, 512)
            took_s = run_virtual(ManualClock(), read(data, parts))
            assert took_s == 0.0, (size, took_s)


# What a target in trouble sends without end: status, type and data of a chunk.
ENDLESS_ANSWERS = (
    ("200 OK", "text/plain", b"x"),
    ("500 Oops", "text/plain", b"x"),
    ("200 OK", "text/event-stream", b"x"),
    ("200 OK", "text/event-stream", b"\n"),
    ("200 OK", "text/event-stream", b":\n\n"),
    ("200 OK", "text/event-stream", b"data:x\n\n"),
)


async def _serve_endless(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers a request with the form that its path names."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        request = await reader.readuntil(b"\r\n\r\n")
        lines = request.decode().split("\r\n")
        if lines[0].startswith("GET /-/"):
            # It is asked for its start before its first use.
            writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
            request = await reader.readuntil(b"\r\n\r\n")
            lines = request.decode().split("\r\n")
        number = int(lines[0].split(" ")[1].rsplit("/", 1)[1])
        headers = dict(line.lower().split(": ", 1) for line in lines[1:-2])
        status, kind, data = ENDLESS_ANSWERS[number]
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\n"
            f"{wire.ATTEMPT_ID}: {headers[wire.ATTEMPT_ID.lower()]}\r\n"
            f"{wire.SERVER_STAMP}: s\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        while True:
            writer.write(_make_chunks(data, 2_048))
            await writer.drain()
    writer.close()


class EndlessAnswerProcessTest(unittest.TestCase):
    """A real daemon while several targets send bytes without end."""

    def test_requests_of_others_are_served(self) -> None:
        """Guards against one target in trouble that stops an instance."""
        route = {
            **CONFIG["routes"][0],
            "name": "r-9",
            "path_prefix": "/endless/",
            "service": "trouble",
            "max_attempts": 1,
            "timeout_ms": 4_000,
        }
        config = {
            **CONFIG,
            "routes": [*CONFIG["routes"], route],
            "services": [*CONFIG["services"], {"name": "trouble"}],
        }

        async def check(fleet: EdgeFleet) -> None:
            server = await asyncio.start_server(_serve_endless, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            entry = {**TARGET_ENTRY, "service": "trouble"}
            entry["address"] = f"127.0.0.1:{port}"
            fleet.store.put("servers/i-9", entry)
            fleet.store.put("op/config", config)
            fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])

            async def call_endless(number: int, attempt: str) -> None:
                broken = (httpcore.NetworkError, httpcore.ProtocolError)
                with contextlib.suppress(*broken):
                    await fleet.call(HOSTS[0], f"/endless/{number}", attempt)

            async with anyio.create_task_group() as tasks:
                for number in range(len(ENDLESS_ANSWERS)):
                    tasks.start_soon(call_endless, number, f"e{number}")
                await anyio.sleep(0.3)
                for number in range(20):
                    # The timeout of the route.
                    with anyio.fail_after(5.0):
                        answer = await fleet.call(
                            HOSTS[0], "/orders/1", f"o{number}"
                        )
                    assert answer.status == 200
                tasks.cancel_scope.cancel()
            server.close()

        run_with_fleet(check)
