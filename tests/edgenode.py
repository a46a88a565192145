"""A whole entry instance in this process, with a scripted target."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import yaml

from peridotbend.adapters.settings import load_settings
from peridotbend.daemon import BACKEND_OPTIONS
from peridotbend.node import Node
from tests.peernodes import RecordingLog, make_entry_info

TEST_TIMEOUT_S = 30.0
MAX_BODY_BYTES = 8_192
EVENT_FORMAT = b'id: %d\ndata: {"n": %d}\n\n'
CLOSING_EVENT = b"data: [DONE]\n\n"
SHOP_KEY_SHA256 = (
    "44cfdcdd88354fa1412781f5a01a901c9112db33bfa8b165fbec9b618d9cf112"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response as received."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict[str, Any]:
        """The error object in the body of an error response."""
        error: dict[str, Any] = json.loads(self.body)["error"]
        return error

    @property
    def verdict(self) -> str:
        """The verdict header, or an empty string."""
        return self.headers.get("peridotbend-verdict", "")

    @property
    def token(self) -> str:
        """The request ID header, or an empty string."""
        return self.headers.get("peridotbend-request", "")


def encode_request(
    method: str, path: str, body: bytes = b"", *headers: str
) -> bytes:
    """Returns an HTTP/1.1 request as bytes."""
    lines = [f"{method} {path} HTTP/1.1", "Host: x", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_chat_body(stream: bool, prompt: str = "hello") -> bytes:
    """Returns the JSON body of a chat completion request."""
    messages = [{"role": "user", "content": prompt}]
    return json.dumps(
        {"model": "m", "stream": stream, "messages": messages}
    ).encode()


async def read_reply(
    reader: asyncio.StreamReader, head_only: bool = False
) -> Reply:
    """Reads one complete HTTP response."""
    lines = (
        (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    )
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:-2])
    }
    assert len(headers) == len(lines) - 3, f"duplicate header: {lines}"
    body = b""
    if "transfer-encoding" in headers:
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif not head_only:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Reply(int(lines[0].split()[1]), headers, body)


class ScriptedTarget:
    """Target of both services whose answers a test can block or break."""

    def __init__(self) -> None:
        # Paths of the requests that ran, in order of arrival.
        self.ran: list[str] = []
        # Their heads and bodies.
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []
        # While it is cleared, answers and the rest of streams are held back.
        self.unblocked = asyncio.Event()
        self.unblocked.set()
        self.event_count = 5
        # True closes the connection after the first event of a stream.
        self.breaks_streams = False
        # If set, what requests are answered with; the connection is closed.
        self.reply = b""
        # Answers to the next requests, each in place of `reply`.
        self.next_replies: list[bytes] = []
        self.incarnation = "1"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                _, path, _ = head.split(b"\r\n")[0].decode().split()
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line[15:])
                body = await reader.readexactly(length)
                if path != "/v1/load":
                    self.heads.append(head)
                await self._answer(path, body, writer)
        writer.close()

    async def _answer(
        self, path: str, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if path == "/v1/load":
            report = {"at_ms": 1, "running": 0, "waiting_tokens": 0}
            self._write(writer, {**report, "incarnation": self.incarnation})
            return
        self.ran.append(path)
        self.bodies.append(body)
        reply = self.next_replies.pop(0) if self.next_replies else self.reply
        if reply:
            writer.write(reply)
            await writer.drain()
            raise ConnectionError
        if b'"stream": true' in body:
            await self._stream(writer)
        else:
            await self.unblocked.wait()
            usage = {"completion_tokens": 16}
            self._write(writer, {"path": path, "usage": usage})

    def _write(self, writer: asyncio.StreamWriter, value: object) -> None:
        content = json.dumps(value).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            b"peridotbend-verdict: not-run\r\n"
            b"content-length: %d\r\n\r\n%s" % (len(content), content)
        )

    async def _stream(self, writer: asyncio.StreamWriter) -> None:
        events = [EVENT_FORMAT % (n, n) for n in range(self.event_count)]
        events.append(CLOSING_EVENT)
        content = b"".join(events)
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"content-length: %d\r\n\r\n" % len(content)
        )
        writer.write(events[0])
        await self.unblocked.wait()
        if self.breaks_streams:
            writer.close()
            raise ConnectionError
        writer.write(b"".join(events[1:]))
        await writer.drain()


class EntryNode:
    """An entry instance under test, with helpers that send requests to it."""

    def __init__(self, node: Node, log: RecordingLog, target: ScriptedTarget):
        self.node = node
        self.log = log
        self.target = target

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection to the port for callers."""
        return await asyncio.open_connection(
            "127.0.0.1", self.node.ports.caller
        )

    async def send(self, data: bytes, head_only: bool = False) -> Reply:
        """Sends bytes on a new connection and reads one response."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            return await read_reply(reader, head_only)
        finally:
            writer.close()

    async def call(
        self, method: str, path: str, body: bytes = b"", *headers: str
    ) -> Reply:
        """Sends one request on a new connection."""
        return await self.send(encode_request(method, path, body, *headers))

    async def reserve(self, kind: str = "confirm") -> str:
        """Reserves a request ID for an order."""
        body = json.dumps({"service": "orders", "kind": kind}).encode()
        reply = await self.call("POST", "/v1/reservations", body)
        assert reply.status == 201, reply
        return reply.token

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        while not condition():
            await anyio.sleep(0.005)

    async def check_no_leaks(self) -> None:
        """Waits until all callers are gone, then checks for leaks."""
        server = self.node.caller_server
        await self.wait_for(
            lambda: not server.count_connections() and not server.count_tasks()
        )
        await self.wait_for(
            lambda: not self.node.record_transfer.count_unfinished()
        )
        records = self.node.records
        assert self.node.caller_app.body_budget.used_bytes == 0
        assert not self.node.dispatcher.in_flight.count()
        kept = sum(len(record.answer) for record in records)
        assert records.budget.used_bytes == kept, "answer bytes leaked"
        reply = await self.call(
            "POST", "/v1/chat/completions", encode_chat_body(False)
        )
        assert reply.status == 200, reply


@contextlib.asynccontextmanager
async def start_entry(**settings: object) -> AsyncIterator[EntryNode]:
    """Starts an entry instance with two services on one scripted target."""
    target, log = ScriptedTarget(), RecordingLog()
    servers = [
        await asyncio.start_server(target.serve, "127.0.0.1", 0)
        for _ in range(2)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "text.yaml"
        path.write_text(yaml.safe_dump(make_config_document(*ports)))
        environ = {
            "PERIDOTBEND_NAME": "e1",
            "PERIDOTBEND_ZONE": "a",
            "PERIDOTBEND_TEXT_FILE": str(path),
            "PERIDOTBEND_CALLER_PORT": "0",
            "PERIDOTBEND_OPERATOR_PORT": "0",
            "PERIDOTBEND_PEER_PORT": "0",
        }
        loaded = load_settings(None, environ)
        settings.setdefault("drain_timeout_ms", 1_000)
        node = Node(
            dataclasses.replace(loaded.unwrap(), **settings),  # type: ignore[arg-type]
            log,
        )
        started = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.run, started)
            await started.wait()
            yield EntryNode(node, log, target)
            node.start_drain()
    for server in servers:
        server.close()


@contextlib.asynccontextmanager
async def start_entry_pair() -> AsyncIterator[tuple[EntryNode, EntryNode]]:
    """Starts two connected entry instances that use the first one's target."""
    async with start_entry() as first:
        text_file = first.node.settings.text_file
        async with start_entry(name="e2", text_file=text_file) as second:
            both = (first, second)
            lines = [
                make_entry_info(entry.node.settings.name, entry.node.ports.peer)
                for entry in both
            ]
            for entry in both:
                entry.node.roster.apply_list(lines)
            for entry in both:
                await entry.wait_for(has_live_peer(entry))
            yield both


def has_live_peer(entry: EntryNode) -> Callable[[], bool]:
    """Returns a condition that holds once another instance is live."""
    return lambda: entry.node.roster.count_live_peers() > 1


def make_config_document(
    runner_port: int, orders_port: int
) -> dict[str, object]:
    """Returns a configuration with a model and an application service."""

    def make_kind(method: str, path: str, **more: object) -> dict[str, object]:
        return {
            "tier": "high",
            "idempotent": True,
            "deadline": "20s",
            "route": {"method": method, "path": path},
            "max_body": f"{MAX_BODY_BYTES}B",
            "max_answer": "1MiB",
            **more,
        }

    chat = make_kind("POST", "/v1/chat/completions")
    confirm = make_kind("POST", "/v1/orders", idempotent=False)
    status = make_kind("GET", "/v1/orders/*")
    return {
        "version": 1,
        "tiers": ["high", "low"],
        "clients": {"shop": {"bearer_sha256": SHOP_KEY_SHA256}},
        "services": {
            "assistant": {
                "engine": "model",
                "kinds": {"chat": chat},
                "targets": {
                    "a": [
                        {
                            "name": "runner",
                            "address": f"127.0.0.1:{runner_port}",
                        }
                    ]
                },
            },
            "orders": {
                "engine": "application",
                # The window admits one order at a time; a second one waits.
                "window": {"initial": 1, "min": 1, "max": 1},
                "kinds": {"confirm": confirm, "status": status},
                "targets": {
                    "a": [
                        {
                            "name": "orders",
                            "address": f"127.0.0.1:{orders_port}",
                            "checks_fencing": True,
                        }
                    ]
                },
            },
        },
    }


def run_with_entry(
    test: Callable[[EntryNode], Awaitable[None]], **settings: object
) -> None:
    """Runs a test against an entry instance and then checks for leaks."""

    async def run_with_timeout() -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with start_entry(**settings) as entry:
                await test(entry)
                await entry.check_no_leaks()

    anyio.run(run_with_timeout, backend_options=BACKEND_OPTIONS)
