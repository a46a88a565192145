"""Targets and a store whose answers exceed the limits, beside a real daemon."""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable, Iterator

import anyio

from peridotbend.platform import wire
from peridotbend_emulator.launch import Child
from tests.edgefleet import (
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    make_order,
    run_with_fleet,
    wait_for_event,
)
from tests.halfopen import call_once
from tests.hostilecrowd import MEMORY_MB, MIB, read_peak_bytes, watch_files
from tests.troubledfleet import BOUNDS, NON_IDEMPOTENT_PATH, put_service

# Callers whose requests the target answers.
CROWD = 48
DURATION_S = 3.0
# A connection of each caller and of each send, as many that are being
# replaced, and 64 for peers, the store and listeners.
MAX_FILES = 4 * CROWD + 64
# At least so many answers have to be begun, or the test shows nothing.
MIN_ANSWERS = 8
LIMITS = {"max_fds": 4_100, "memory_mb": MEMORY_MB}

# Returns what one answer sends, given the attempt that it names.
MakeAnswer = Callable[[bytes], Iterator[bytes]]


class HostileServer:
    """Answers each request with bytes until the other side closes."""

    def __init__(self, make: MakeAnswer):
        self._make = make
        self.answers = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            request = await reader.readuntil(b"\r\n\r\n")
            self.answers += 1
            writing = asyncio.create_task(
                _write(writer, self._make(_find_attempt(request)))
            )
            closing = asyncio.create_task(_read_to_the_end(reader))
            try:
                await closing
            finally:
                writing.cancel()
                closing.cancel()
        writer.transport.abort()


def _find_attempt(request: bytes) -> bytes:
    name = f"{wire.ATTEMPT_ID}: ".lower().encode()
    for line in request.split(b"\r\n"):
        if line.lower().startswith(name):
            return line[len(name) :]
    return b"none"


async def _write(writer: asyncio.StreamWriter, pieces: Iterator[bytes]) -> None:
    with contextlib.suppress(OSError):
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            # Other connections go on in between.
            await asyncio.sleep(0.001)


async def _read_to_the_end(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            pass


async def _call(
    address: tuple[str, int], numbers: Iterator[int], timeout_s: float
) -> None:
    """Calls again and again, and reads what is answered."""
    while True:
        order = make_order(f"crowd-{next(numbers)}").replace(
            b"/orders/", NON_IDEMPOTENT_PATH.encode()
        )
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write(order)
                    while await reader.read(65_536):
                        pass
                finally:
                    writer.transport.abort()
        await asyncio.sleep(0.01)


async def _run_beside(child: Child, awaitables: list[Awaitable[None]]) -> int:
    """Runs for the time of a test; returns the most open descriptors."""
    files: list[int] = []
    tasks = [asyncio.ensure_future(a) for a in awaitables]
    tasks.append(asyncio.create_task(watch_files(child, files)))
    await asyncio.sleep(DURATION_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return max(files)


async def check_bounds(
    child: Child, address: tuple[str, int], most_files: int, answers: int
) -> None:
    """Checks memory and descriptors, and that a request is answered."""
    assert child.exit_code is None, child.output
    with anyio.fail_after(WAIT_TIMEOUT_S):
        for number in itertools.count():
            order = make_order(f"proper-{number}")
            if await call_once(address, order, WAIT_TIMEOUT_S) == b"200":
                break
            await asyncio.sleep(0.2)
    peak_bytes = read_peak_bytes(child)
    seen = (
        f"at most {peak_bytes / MIB:.0f} MB of {MEMORY_MB},"
        f" {most_files} descriptors of {MAX_FILES}, {answers} answers"
    )
    print(seen)
    assert child.exit_code is None, child.output
    assert peak_bytes < MEMORY_MB * MIB, seen
    assert most_files < MAX_FILES, seen
    assert answers >= MIN_ANSWERS, seen


def check_target(make: MakeAnswer) -> None:
    """Checks an instance whose callers are sent to a hostile target."""

    async def check(fleet: EdgeFleet) -> None:
        target = HostileServer(make)
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        async with server:
            put_service(fleet.store, server.sockets[0].getsockname()[1])
            child = fleet.spawn(HOSTS[0], bounds=BOUNDS, limits=LIMITS)
            await fleet.wait_ready(HOSTS[0])
            address = (HOSTS[0], fleet.ports["callers"])
            numbers = itertools.count()
            most_files = await _run_beside(
                child,
                [_call(address, numbers, DURATION_S) for _ in range(CROWD)],
            )
            await check_bounds(child, address, most_files, target.answers)
            fleet.kill_all()

    run_with_fleet(check)


def check_store(make: MakeAnswer) -> None:
    """Checks an instance whose store becomes hostile after the start."""

    async def check(fleet: EdgeFleet) -> None:
        child = fleet.spawn(HOSTS[0], seeds=[], limits=LIMITS)
        await fleet.wait_ready(HOSTS[0])
        store = HostileServer(make)
        server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            fleet.write_settings(
                HOSTS[0],
                seeds=[],
                limits=LIMITS,
                platform={"address": f"127.0.0.1:{port}"},
            )
            await wait_for_event(child, "settings-reloaded")
            address = (HOSTS[0], fleet.ports["callers"])
            most_files = await _run_beside(child, [])
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while store.answers < MIN_ANSWERS:
                    await asyncio.sleep(0.05)
            await check_bounds(child, address, most_files, store.answers)
            fleet.kill_all()

    run_with_fleet(check)
