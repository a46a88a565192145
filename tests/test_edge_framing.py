"""Real daemons that get requests cut at every byte, before a raw target."""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import AsyncIterator

import anyio

from peridotbend.platform import wire
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
)
from tests.rawmessages import RawMessage, read_messages
from tests.test_caller_framing import H2C, INNER, encode, encode_chunked
from tests.test_edge_platform import TARGET_ENTRY
from tests.troubledtargets import encode_report

# Connections at a time, of the number that the target accepts.
CONCURRENT_CALLS = 8
# Neither a fast machine meets an allowance, nor a slow one a time limit.
PATIENT_CONFIG = {
    **CONFIG,
    "tenants": [{**CONFIG["tenants"][0], "rate_per_s": 0, "burst": 0}],
    "routes": [{**r, "timeout_ms": 30_000} for r in CONFIG["routes"]],
    "limits": {**CONFIG["limits"], "header_timeout_ms": 30_000},
}


class RawTarget:
    """A target that reads requests by a reader of its own."""

    def __init__(self) -> None:
        self.ran: dict[str, RawMessage] = {}

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Runs the target; yields its address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield f"{host}:{port}"
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        data = b""
        with contextlib.suppress(ConnectionError):
            while received := await reader.read(65_536):
                data += received
                messages, is_malformed = read_messages(data)
                assert not is_malformed, data
                for message in messages:
                    data = b""
                    writer.write(self._run(message))
        writer.close()

    def _run(self, message: RawMessage) -> bytes:
        if message.target.startswith(b"/-/"):
            return encode_report()
        attempt = message.attempt.decode()
        assert attempt not in self.ran, "ran twice"
        self.ran[attempt] = message
        lines = (
            "HTTP/1.1 200 OK",
            f"{wire.ATTEMPT_ID}: {attempt}",
            f"{wire.SERVER_STAMP}: s",
            "Content-Length: 4",
        )
        return ("\r\n".join((*lines, "", "")) + "done").encode()


async def send(fleet: EdgeFleet, *packets: bytes) -> bytes:
    """Sends packets on a connection of their own; returns the answer."""
    reader, writer = await fleet.connect(HOSTS[0])
    writer.get_extra_info("socket").setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
    )
    for packet in packets:
        writer.write(packet)
        await writer.drain()
        # Lets the daemon read the packet before the next one is sent.
        await anyio.sleep(0.001)
    with anyio.fail_after(WAIT_TIMEOUT_S):
        try:
            answer = await reader.readuntil(b"done")
        except asyncio.IncompleteReadError as error:
            raise AssertionError(error.partial) from error
    writer.close()
    return answer


class CutTest(unittest.TestCase):
    """Requests whose bytes come in separate packets."""

    def _check(self, *requests: bytes) -> None:
        """Sends requests in any two packets, and byte by byte."""
        target = RawTarget()
        sent: dict[str, RawMessage] = {}

        async def check(fleet: EdgeFleet) -> None:
            async with target.serve() as address:
                entry = {**TARGET_ENTRY, "address": address}
                fleet.store.put("servers/i-1", entry)
                fleet.store.put("op/config", PATIENT_CONFIG)
                fleet.spawn(HOSTS[0])
                await fleet.wait_ready(HOSTS[0])
                limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)
                async with anyio.create_task_group() as tasks:
                    for number, request in enumerate(requests):
                        for place in range(len(request)):
                            attempt = f"{number:02x}-{place:04x}"
                            data = request.replace(b"00-0000", attempt.encode())
                            (sent[attempt],), _ = read_messages(data)
                            packets = (data[:place], data[place:])
                            tasks.start_soon(
                                self._send, limiter, fleet, *packets
                            )
                whole = requests[0].replace(b"00-0000", b"00-9999")
                (sent["00-9999"],), _ = read_messages(whole)
                await send(fleet, *(bytes((byte,)) for byte in whole))
            fleet.kill_all()

        run_with_fleet(check)
        for attempt, message in sent.items():
            ran = target.ran.pop(attempt)
            assert ran.method == message.method, (message, ran)
            assert ran.target == message.target, (message, ran)
            assert ran.body == message.body, (message, ran)
        assert not target.ran, target.ran

    async def _send(
        self, limiter: anyio.CapacityLimiter, fleet: EdgeFleet, *packets: bytes
    ) -> None:
        async with limiter:
            answer = await send(fleet, *(p for p in packets if p))
            assert answer.startswith(b"HTTP/1.1 200 "), answer
            assert answer.count(b"HTTP/1.1 ") == 1, answer

    def test_requests_with_an_offer_run_as_they_were_sent(self) -> None:
        """Guards against bodies that are lost, or run as requests."""
        key = "Authorization: Token key-1"
        headers = (key, f"{wire.DEADLINE_MS}: 30000", *H2C)
        path = "/orders/1"
        self._check(
            encode("00-0000", path, headers, INNER).replace(
                b"Host: x", b"Host: shop.example", 1
            ),
            encode_chunked(
                "00-0000", path, headers, (INNER[:9], INNER[9:])
            ).replace(b"Host: x", b"Host: shop.example", 1),
        )
