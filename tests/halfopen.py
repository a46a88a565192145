"""Callers that open connections to an instance and never finish a request.

`python -m tests.halfopen --count 10000` opens that many to a real daemon and
prints what proper callers, operators and the memory of the daemon show.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import statistics
import sys
from collections.abc import Awaitable, Callable, Sequence

from peridotbend.domain.clock import SystemClock
from peridotbend.edgedaemon import DEFAULT_METRICS_PORT
from peridotbend.platform import wire
from peridotbend_emulator.launch import Child, Launcher
from peridotbend_emulator.procstat import (
    parse_resident_bytes,
    read_process_sample,
)
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    EdgeFleet,
    make_order,
    run_with_fleet,
)

# Opened at a time, far fewer than the queue of a listener holds.
BATCH_SIZE = 50
DRIP_INTERVAL_S = 0.5
SLOW_BODY_HEAD = (
    "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
    "Authorization: Token key-1\r\n"
    f"{wire.ATTEMPT_ID}: slow-SERIAL\r\n{wire.DEADLINE_MS}: 600000\r\n"
    "Content-Length: 100000\r\n\r\n"
).encode()
IDLE = b""
EMPTY_LINE = b"\r\n"
PART_OF_A_HEAD = b"POST /orders/1 HTTP/1.1\r\nX-Slow: "
PART_OF_A_BODY = SLOW_BODY_HEAD + b"x"
STARTS = {
    "idle": IDLE,
    "line": EMPTY_LINE,
    "head": PART_OF_A_HEAD,
    "body": PART_OF_A_BODY,
}


class HalfOpenConnection(asyncio.Protocol):
    """A connection that sends a part of a request, then a byte now and then."""

    def __init__(self, serial: int, start: bytes):
        self.serial = serial
        self.is_open = True
        self.received = b""
        self._start = start
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the part of a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        start = self._start.replace(b"SERIAL", str(self.serial).encode())
        transport.write(start)

    def data_received(self, data: bytes) -> None:
        """Keeps an answer."""
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes that the instance has closed the connection."""
        self.is_open = False

    def drip(self) -> None:
        """Sends one more byte, if a request has begun."""
        if self.is_open and len(self._start) > len(EMPTY_LINE):
            assert self._transport is not None
            self._transport.write(b"x")

    def close(self) -> None:
        """Closes the connection without a wait."""
        if self._transport is not None:
            self._transport.abort()


async def open_half(
    address: tuple[str, int], serial: int, start: bytes
) -> HalfOpenConnection:
    """Opens a connection; one that fails counts as closed."""
    connection = HalfOpenConnection(serial, start)
    loop = asyncio.get_running_loop()
    try:
        await loop.create_connection(lambda: connection, *address)
    except OSError:
        connection.is_open = False
    return connection


async def drip_all(connections: Sequence[HalfOpenConnection]) -> None:
    """Sends bytes on all connections until it is cancelled."""
    while True:
        await asyncio.sleep(DRIP_INTERVAL_S)
        for connection in connections:
            connection.drip()


async def call_once(
    address: tuple[str, int], request: bytes, timeout_s: float
) -> bytes:
    """Sends a request on a new connection; returns the status or the error."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(request)
                line = await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError) as error:
        return type(error).__name__.encode()
    return line.split(b" ")[1] if line.count(b" ") else b"closed"


def make_get(path: str) -> bytes:
    """Returns a request for a page."""
    lines = (f"GET {path} HTTP/1.1", "Host: x", "Connection: close", "", "")
    return "\r\n".join(lines).encode()


async def _hold(host: str, port: int, count: int, kinds: str) -> None:
    """Opens connections, reports on standard output, and holds them."""
    starts = [STARTS[kind] for kind in kinds.split(",")]
    connections: list[HalfOpenConnection] = []
    dripping = asyncio.create_task(drip_all(connections))
    for begin in range(0, count, BATCH_SIZE):
        serials = range(begin, min(count, begin + BATCH_SIZE))
        connections += await asyncio.gather(
            *(
                open_half((host, port), s, starts[s % len(starts)])
                for s in serials
            )
        )
        if begin % 1_000 == 0:
            _report(connections)
    while True:
        _report(connections)
        await asyncio.sleep(1.0)
        assert not dripping.done()


def _report(connections: Sequence[HalfOpenConnection]) -> None:
    held = sum(connection.is_open for connection in connections)
    line = {"opened": len(connections), "open": held}
    print(json.dumps(line), flush=True)


class Probe:
    """Calls again and again, and keeps statuses and times."""

    def __init__(self, address: tuple[str, int], make: Callable[[int], bytes]):
        self._address = address
        self._make = make
        self._clock = SystemClock()
        self.statuses: list[bytes] = []
        self.took_ms: list[int] = []

    async def run(self) -> None:
        """Calls until it is cancelled."""
        while True:
            began_ms = self._clock.now_ms()
            request = self._make(len(self.statuses))
            self.statuses.append(await call_once(self._address, request, 10.0))
            self.took_ms.append(self._clock.now_ms() - began_ms)
            await asyncio.sleep(0.02)

    def describe(self) -> dict[str, object]:
        """Returns counts of statuses, and times in ms."""
        counts = collections.Counter(s.decode() for s in self.statuses)
        times = sorted(self.took_ms) or [0]
        return {
            "statuses": counts,
            "p50_ms": statistics.median(times),
            "p99_ms": times[len(times) * 99 // 100],
            "max_ms": times[-1],
        }


async def _measure(
    fleet: EdgeFleet, count: int, hold_s: float, kinds: str
) -> None:
    fleet.store.put("op/config", CONFIG)
    child = fleet.spawn(HOSTS[0])
    await fleet.wait_ready(HOSTS[0])
    address = (HOSTS[0], fleet.ports["callers"])
    probes = {
        "callers": Probe(address, lambda n: make_order(f"proper-{n}")),
        "ready": Probe(
            (HOSTS[0], fleet.ports["health"]),
            lambda n: make_get(wire.READY_PATH),
        ),
        "metrics": Probe(
            (HOSTS[0], DEFAULT_METRICS_PORT), lambda n: make_get("/metrics")
        ),
    }
    before = read_process_sample(child.pid)
    files_before = count_files(child)
    most_bytes, most_files = before.resident_bytes, files_before
    with Launcher() as launcher:
        tasks = [asyncio.create_task(p.run()) for p in probes.values()]
        holder = launcher.spawn(
            "tests.halfopen",
            "--hold",
            address[0],
            str(address[1]),
            "--count",
            str(count),
            "--kinds",
            kinds,
        )
        clock = SystemClock()
        began_ms = clock.now_ms()
        while clock.now_ms() - began_ms < hold_s * 1_000:
            await asyncio.sleep(0.05)
            most_bytes = max(most_bytes, read_resident_bytes(child))
            most_files = max(most_files, count_files(child))
        for task in tasks:
            task.cancel()
        print("holder", holder.output.splitlines()[-1:])
    after = read_process_sample(child.pid)
    print("daemon exit", child.exit_code)
    print("resident KiB", before.resident_bytes >> 10, most_bytes >> 10)
    print("descriptors", files_before, most_files)
    print("cpu s", round(after.cpu_s - before.cpu_s, 2), "of", hold_s)
    for name, probe in probes.items():
        print(name, json.dumps(probe.describe()))
    fleet.kill_all()


def read_resident_bytes(child: Child) -> int:
    """Returns the resident memory of a daemon."""
    status = pathlib.Path(f"/proc/{child.pid}/status")
    return parse_resident_bytes(status.read_text())


def count_files(child: Child) -> int:
    """Returns the number of open descriptors of a daemon."""
    return sum(1 for _ in pathlib.Path(f"/proc/{child.pid}/fd").iterdir())


def main() -> None:
    """Measures a daemon under half-open connections, or holds them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=10_000)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--hold", nargs=2, metavar=("HOST", "PORT"))
    parser.add_argument("--kinds", default=",".join(STARTS))
    options = parser.parse_args()
    if options.hold:
        host, port = options.hold
        asyncio.run(_hold(host, int(port), options.count, options.kinds))
        sys.exit()

    def check(fleet: EdgeFleet) -> Awaitable[None]:
        return _measure(fleet, options.count, options.seconds, options.kinds)

    run_with_fleet(check)


if __name__ == "__main__":
    main()
