"""Real daemons beside clients of their other listeners that exceed limits.

Each test guards against a process that runs out of the memory of its machine,
or answers nobody afterwards.
"""

import asyncio
import itertools
import pathlib
import tempfile
import unittest
from collections.abc import Iterator

import anyio
import yaml

from peridotbend.edgedaemon import DEFAULT_METRICS_PORT
from peridotbend.platform import wire
from peridotbend_emulator.launch import Child, Launcher
from tests.edgefleet import HOSTS, WAIT_TIMEOUT_S, EdgeFleet, run_with_fleet
from tests.halfopen import call_once, make_get
from tests.hostilecrowd import (
    CROWD,
    DURATION_S,
    MAX_FILES,
    MEMORY_MB,
    MIB,
    MakeInput,
    add_lines,
    flood,
    read_peak_bytes,
    repeat,
    watch_files,
)
from tests.test_daemon import CONFIG_PATH, DAEMON_MODULE

# Of a machine for a daemon of the product's own interface, whose settings don't
# tell its memory: 48 MiB at rest, and twice the budget of 96 MiB for callers.
OWN_MEMORY_MB = 240
REQUEST_LINE = b"GET / HTTP/1.1\r\nHost: x\r\n"
POST_LINE = b"POST /v1/reservations HTTP/1.1\r\nHost: x\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LINES = b"".join(b"%x:\r\n" % number for number in range(2_500))
RESERVATION = b'{"service": "payments", "kind": "payment"}'

Address = tuple[str, int]
# An address and an ordinary request to it, with the status of its answer.
Listener = tuple[Address, bytes, bytes]


def _send_heads(serial: int) -> Iterator[bytes]:
    """Yields a head of legal size, behind which a body is missing."""
    return iter([POST_LINE + b"Content-Length: 4\r\n" + LINES + b"\r\n"])


def _send_lines(serial: int) -> Iterator[bytes]:
    """Yields lines of a head without end."""
    return add_lines(REQUEST_LINE)


def _send_long_line(serial: int) -> Iterator[bytes]:
    """Yields one line of a head without end."""
    return itertools.chain([REQUEST_LINE + b"x: "], repeat(b"x"))


def _send_empty_lines(serial: int) -> Iterator[bytes]:
    """Yields empty lines without end."""
    return repeat(b"\r\n")


def _send_trailers(serial: int) -> Iterator[bytes]:
    """Yields trailers without end."""
    return add_lines(POST_LINE + CHUNKED + b"1\r\nx\r\n0\r\n")


def _send_chunks(serial: int) -> Iterator[bytes]:
    """Yields chunks of one byte without end."""
    return itertools.chain([POST_LINE + CHUNKED], repeat(b"1\r\nx\r\n"))


def _send_requests(serial: int) -> Iterator[bytes]:
    """Yields requests without a wait, whose answers are not read."""
    return repeat(REQUEST_LINE + b"\r\n")


async def _attack(
    child: Child, listeners: list[Listener], make: MakeInput, memory_mb: int
) -> None:
    """Sends to all listeners at once, and checks bounds and an answer."""
    files: list[int] = []
    numbers = itertools.count()
    addresses = itertools.cycle(address for address, _, _ in listeners)
    tasks = [
        asyncio.create_task(flood(next(addresses), make, numbers))
        for _ in range(CROWD)
    ]
    tasks.append(asyncio.create_task(watch_files(child, files)))
    await asyncio.sleep(DURATION_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert child.exit_code is None, child.output
    for address, request, status in listeners:
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while await call_once(address, request, WAIT_TIMEOUT_S) != status:
                await asyncio.sleep(0.2)
    peak_bytes = read_peak_bytes(child)
    seen = (
        f"at most {peak_bytes / MIB:.0f} MB of {memory_mb},"
        f" {max(files)} descriptors of {MAX_FILES}"
    )
    print(seen)
    assert child.exit_code is None, child.output
    assert peak_bytes < memory_mb * MIB, seen
    assert max(files) < MAX_FILES, seen


def _check_edge(make: MakeInput) -> None:
    """Checks an edge daemon whose health and metrics are called."""

    async def check(fleet: EdgeFleet) -> None:
        child = fleet.spawn(
            HOSTS[0], limits={"max_fds": 4_100, "memory_mb": MEMORY_MB}
        )
        await fleet.wait_ready(HOSTS[0])
        health = (HOSTS[0], fleet.ports["health"])
        metrics = (HOSTS[0], DEFAULT_METRICS_PORT)
        await _attack(
            child,
            [
                (health, make_get(wire.READY_PATH), b"200"),
                (metrics, make_get("/metrics"), b"200"),
            ],
            make,
            MEMORY_MB,
        )
        fleet.kill_all()

    run_with_fleet(check)


def _check_own_interface(make: MakeInput, name: str) -> None:
    """Checks a daemon of the product's own interface, at one listener."""
    with tempfile.TemporaryDirectory() as folder, Launcher() as launcher:
        path = pathlib.Path(folder) / "node.yaml"
        settings = {
            "name": "e1",
            "zone": "a",
            "text_file": str(CONFIG_PATH),
            "caller_port": 0,
            "operator_port": 0,
            "peer_port": 0,
        }
        path.write_text(yaml.safe_dump(settings))
        child = launcher.spawn(DAEMON_MODULE, "--settings", str(path))
        child.wait_ready()
        reservation = (
            POST_LINE
            + b"Content-Length: %d\r\n\r\n" % len(RESERVATION)
            + RESERVATION
        )
        requests = {
            "caller": (reservation, b"201"),
            "operator": (make_get("/readyz"), b"200"),
        }
        address = ("127.0.0.1", int(child.ready_info[name]))
        anyio.run(
            _attack, child, [(address, *requests[name])], make, OWN_MEMORY_MB
        )
        child.kill()


class _ListenerTests:
    """The forms of input, for each kind of listener."""

    def check(self, make: MakeInput) -> None:
        """Runs a test with what each connection sends."""
        raise NotImplementedError

    def test_heads_of_legal_size(self) -> None:
        """Heads of many short lines, behind which a body is missing."""
        self.check(_send_heads)

    def test_lines_without_end(self) -> None:
        """Short lines without end."""
        self.check(_send_lines)

    def test_line_without_end(self) -> None:
        """One line without end."""
        self.check(_send_long_line)

    def test_empty_lines(self) -> None:
        """Empty lines without end."""
        self.check(_send_empty_lines)

    def test_trailers(self) -> None:
        """Trailers without end."""
        self.check(_send_trailers)

    def test_chunks_of_one_byte(self) -> None:
        """Chunks of one byte without end."""
        self.check(_send_chunks)

    def test_requests_without_a_wait(self) -> None:
        """Requests whose answers are not read."""
        self.check(_send_requests)


class EdgeListenerTest(_ListenerTests, unittest.TestCase):
    """The listeners of an edge daemon for health and metrics."""

    def check(self, make: MakeInput) -> None:
        """Runs a test with what each connection sends."""
        _check_edge(make)


class OwnCallerTest(_ListenerTests, unittest.TestCase):
    """The listener of the product's own interface for callers."""

    def check(self, make: MakeInput) -> None:
        """Runs a test with what each connection sends."""
        _check_own_interface(make, "caller")


class OwnOperatorTest(_ListenerTests, unittest.TestCase):
    """The listener of the product's own interface for operators."""

    def check(self, make: MakeInput) -> None:
        """Runs a test with what each connection sends."""
        _check_own_interface(make, "operator")
