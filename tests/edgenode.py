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
from tests.peernodes import RecordingLog, make_entry

BOUND_S = 30.0
MAX_BODY = 8_192
EVENT = b'id: %d\ndata: {"n": %d}\n\n'
KEY_SHA256 = "44cfdcdd88354fa1412781f5a01a901c9112db33bfa8b165fbec9b618d9cf112"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """One HTTP answer as it came."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict[str, Any]:
        """The error of a refusal."""
        error: dict[str, Any] = json.loads(self.body)["error"]
        return error

    @property
    def verdict(self) -> str:
        """The verdict in the header."""
        return self.headers.get("peridotbend-verdict", "")

    @property
    def token(self) -> str:
        """The ID of the request."""
        return self.headers.get("peridotbend-request", "")


def write_call(
    method: str, path: str, body: bytes = b"", *headers: str
) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: x", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def write_chat(stream: bool, prompt: str = "hello") -> bytes:
    """Returns the body of a chat completion."""
    messages = [{"role": "user", "content": prompt}]
    return json.dumps(
        {"model": "m", "stream": stream, "messages": messages}
    ).encode()


async def read_reply(
    reader: asyncio.StreamReader, head_only: bool = False
) -> Reply:
    """Reads one whole answer."""
    lines = (
        (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    )
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:-2])
    }
    assert len(headers) == len(lines) - 3, f"a header came twice: {lines}"
    body = b""
    if "transfer-encoding" in headers:
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif not head_only:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Reply(int(lines[0].split()[1]), headers, body)


class ScriptedTarget:
    """Serves a model and an application; a test holds and breaks it."""

    def __init__(self) -> None:
        # Calls that ran, by path.
        self.ran: list[str] = []
        self.go_on = asyncio.Event()
        self.go_on.set()
        self.event_count = 5
        # True closes the connection after the first event of a stream.
        self.breaks = False

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
                await self._answer(
                    path, await reader.readexactly(length), writer
                )
        writer.close()

    async def _answer(
        self, path: str, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if path == "/v1/load":
            report = {"at_ms": 1, "running": 0, "waiting_tokens": 0}
            self._write(writer, {**report, "incarnation": "1"})
            return
        self.ran.append(path)
        if b'"stream": true' in body:
            await self._stream(writer)
        else:
            await self.go_on.wait()
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
        events = [EVENT % (n, n) for n in range(self.event_count)]
        content = b"".join(events)
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"content-length: %d\r\n\r\n" % len(content)
        )
        writer.write(events[0])
        await self.go_on.wait()
        if self.breaks:
            writer.close()
            raise ConnectionError
        writer.write(b"".join(events[1:]))
        await writer.drain()


class EdgeNode:
    """The node under test and ways to call it."""

    def __init__(self, node: Node, log: RecordingLog, target: ScriptedTarget):
        self.node = node
        self.log = log
        self.target = target

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection for callers."""
        return await asyncio.open_connection(
            "127.0.0.1", self.node.ports.caller
        )

    async def send(self, data: bytes, head_only: bool = False) -> Reply:
        """Sends bytes on a connection of their own; reads one answer."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            return await read_reply(reader, head_only)
        finally:
            writer.close()

    async def call(
        self, method: str, path: str, body: bytes = b"", *headers: str
    ) -> Reply:
        """Sends one request."""
        return await self.send(write_call(method, path, body, *headers))

    async def reserve(self, kind: str = "confirm") -> str:
        """Reserves an ID for an order."""
        body = json.dumps({"service": "orders", "kind": kind}).encode()
        reply = await self.call("POST", "/v1/reservations", body)
        assert reply.status == 201, reply
        return reply.token

    async def wait_for(self, reached: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        while not reached():
            await anyio.sleep(0.005)

    async def check_nothing_leaked(self) -> None:
        """Waits until the callers are gone; nothing of them may be left."""
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
            "POST", "/v1/chat/completions", write_chat(False)
        )
        assert reply.status == 200, reply


@contextlib.asynccontextmanager
async def start_edge_node(**settings: object) -> AsyncIterator[EdgeNode]:
    """Starts a node with both services on one scripted target."""
    target, log = ScriptedTarget(), RecordingLog()
    servers = [
        await asyncio.start_server(target.serve, "127.0.0.1", 0)
        for _ in range(2)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "text.yaml"
        path.write_text(yaml.safe_dump(make_text_document(*ports)))
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
            yield EdgeNode(node, log, target)
            node.start_drain()
    for server in servers:
        server.close()


@contextlib.asynccontextmanager
async def start_edge_pair() -> AsyncIterator[tuple[EdgeNode, EdgeNode]]:
    """Starts two nodes that know each other and use the first's target."""
    async with start_edge_node() as first:
        text_file = first.node.settings.text_file
        async with start_edge_node(name="e2", text_file=text_file) as second:
            both = (first, second)
            lines = [
                make_entry(edge.node.settings.name, edge.node.ports.peer)
                for edge in both
            ]
            for edge in both:
                edge.node.roster.apply_list(lines)
            for edge in both:
                await edge.wait_for(has_live_peer(edge))
            yield both


def has_live_peer(edge: EdgeNode) -> Callable[[], bool]:
    """Returns a check that the node hears from another one."""
    return lambda: edge.node.roster.count_live_peers() > 1


def make_text_document(runner_port: int, orders_port: int) -> dict[str, object]:
    """Returns a text with a model and an application on one address each."""

    def make_kind(method: str, path: str, **more: object) -> dict[str, object]:
        return {
            "tier": "high",
            "idempotent": True,
            "deadline": "20s",
            "route": {"method": method, "path": path},
            "max_body": f"{MAX_BODY}B",
            "max_answer": "1MiB",
            **more,
        }

    chat = make_kind("POST", "/v1/chat/completions")
    confirm = make_kind("POST", "/v1/orders", idempotent=False)
    status = make_kind("GET", "/v1/orders/*")
    return {
        "version": 1,
        "tiers": ["high", "low"],
        "clients": {"shop": {"bearer_sha256": KEY_SHA256}},
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
                # A second order waits while one runs.
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


def run_edge(
    test: Callable[[EdgeNode], Awaitable[None]], **settings: object
) -> None:
    """Runs a test against a node and checks what it left behind."""

    async def run_bounded() -> None:
        with anyio.fail_after(BOUND_S):
            async with start_edge_node(**settings) as edge:
                await test(edge)
                await edge.check_nothing_leaked()

    anyio.run(run_bounded, backend_options=BACKEND_OPTIONS)
