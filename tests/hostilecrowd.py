"""Callers that send what no proper caller sends, to a real edge daemon."""

import asyncio
import contextlib
import itertools
import pathlib
import re
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
)
from tests.halfopen import call_once, count_files

MIB = 1_048_576
# The machine of the settings: the resident memory may not exceed it.
MEMORY_MB = 72
CROWD = 96
DURATION_S = 3.0
# A connection of each caller, as many that are being replaced, and 64 for
# targets, peers and the store.
MAX_FILES = 2 * CROWD + 64
MAX_HEAD_BYTES = 16_384
PART_BYTES = 65_536
_LINES = b"".join(b"%x:\r\n" % number for number in range(8_192))

# Returns what one connection sends, given its number.
MakeInput = Callable[[int], Iterator[bytes]]


def make_head(
    serial: int, make_line: Callable[[int], bytes], *lines: bytes
) -> bytes:
    """Returns a head of legal size, filled up with short lines."""
    head = b"\r\n".join(
        (
            b"POST /orders/1 HTTP/1.1",
            b"Host: shop.example",
            b"Authorization: Token key-1",
            f"{wire.ATTEMPT_ID}: crowd-{serial}".encode(),
            f"{wire.DEADLINE_MS}: 30000".encode(),
            *lines,
            b"",
        )
    )
    added: list[bytes] = []
    left = MAX_HEAD_BYTES - len(head) - 2
    for number in itertools.count():
        line = make_line(number)
        left -= len(line)
        if left < 0:
            return head + b"".join(added) + b"\r\n"
        added.append(line)
    raise AssertionError


def repeat(part: bytes) -> Iterator[bytes]:
    """Yields the same part without end, in large pieces."""
    return itertools.repeat(part * max(1, PART_BYTES // len(part)))


def add_lines(start: bytes) -> Iterator[bytes]:
    """Yields a start with header lines without end, few of the same name."""
    yield start + _LINES
    yield from itertools.repeat(_LINES)


async def flood(
    address: tuple[str, int], make: MakeInput, numbers: Iterator[int]
) -> None:
    """Sends on one connection after the other, and reads nothing."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address, limit=1)
            try:
                for part in make(next(numbers)):
                    writer.write(part)
                    await writer.drain()
                # The connection stays until the instance closes it.
                await reader.read()
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.01)


async def watch_files(child: Child, most: list[int]) -> None:
    """Adds the number of open descriptors again and again."""
    while True:
        most.append(count_files(child))
        await asyncio.sleep(0.05)


def read_peak_bytes(child: Child) -> int:
    """Returns the most memory that was resident so far."""
    status = pathlib.Path(f"/proc/{child.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) * 1_024


async def _attack(fleet: EdgeFleet, make: MakeInput) -> None:
    child = fleet.spawn(
        HOSTS[0], limits={"max_fds": 4_100, "memory_mb": MEMORY_MB}
    )
    await fleet.wait_ready(HOSTS[0])
    address = (HOSTS[0], fleet.ports["callers"])
    rest_bytes = read_peak_bytes(child)
    files: list[int] = []
    numbers = itertools.count()
    tasks = [
        asyncio.create_task(flood(address, make, numbers)) for _ in range(CROWD)
    ]
    tasks.append(asyncio.create_task(watch_files(child, files)))
    await asyncio.sleep(DURATION_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert child.exit_code is None, child.output
    with anyio.fail_after(WAIT_TIMEOUT_S):
        # What the crowd has sent may still be in work.
        for number in itertools.count():
            order = make_order(f"proper-{number}")
            if await call_once(address, order, WAIT_TIMEOUT_S) == b"200":
                break
            await asyncio.sleep(0.2)
    peak_bytes = read_peak_bytes(child)
    seen = (
        f"{rest_bytes / MIB:.0f} MB at rest, at most {peak_bytes / MIB:.0f} MB"
        f" of {MEMORY_MB}, {max(files)} descriptors of {MAX_FILES}"
    )
    print(seen)
    assert child.exit_code is None, child.output
    assert peak_bytes < MEMORY_MB * MIB, seen
    assert max(files) < MAX_FILES, seen
    fleet.kill_all()


def check_survives(make: MakeInput) -> None:
    """Checks memory and descriptors beside a crowd, and a call after it."""

    def check(fleet: EdgeFleet) -> Awaitable[None]:
        return _attack(fleet, make)

    run_with_fleet(check)


def check_served(requests: bytes, count: int) -> None:
    """Checks that a calm instance answers all requests of one caller."""

    async def check(fleet: EdgeFleet) -> None:
        fleet.spawn(HOSTS[0], limits={"max_fds": 4_100, "memory_mb": MEMORY_MB})
        await fleet.wait_ready(HOSTS[0])
        reader, writer = await fleet.connect(HOSTS[0])
        writer.write(requests)
        answers = b""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while answers.count(b"HTTP/1.1 ") < count:
                answers += await reader.read(PART_BYTES) or b"HTTP/1.1 closed"
        writer.close()
        assert answers.count(b"HTTP/1.1 200 ") == count, answers[:1_000]
        fleet.kill_all()

    run_with_fleet(check)
