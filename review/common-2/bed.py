"""A small deployment on loopback addresses: store, runners, clients, edges.

The edges are the project's own programs, started with the commands of the
deploy file. Everything else is a stand-in of this file, as the users' pages
describe it.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent.parent
KEY = "key-of-acme-1"
TENANT = "acme"
HOST = "shop.example"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_bound_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 56,
    "quota_window_s": 8,
    "quota_overage": 0.25,
    "quota_slack": 140000,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 10,
}


def has_trouble() -> bool:
    """Tells whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_port(hosts: list[str]) -> int:
    """Returns a port that is free for TCP and UDP on all hosts."""
    while True:
        port = random.randrange(20_000, 60_000)
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return port


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, folder: pathlib.Path):
        self._path = folder / "record.txt"
        self._path.write_text("", encoding="utf-8")
        self._begun = time.monotonic()

    def note(self, text: str) -> None:
        """Adds a line with the seconds since the start."""
        line = f"{time.monotonic() - self._begun:8.3f} {text}"
        with self._path.open("a", encoding="utf-8") as file:
            print(line, file=file)

    def tell(self, text: str) -> None:
        """Adds a line, and prints it."""
        self.note(text)
        print(text, flush=True)


@dataclasses.dataclass
class Request:
    """A request as a server has read it."""

    method: str
    path: str
    # In the order of arrival; names in lower case.
    headers: list[tuple[str, str]]
    body: bytes = b""

    def find(self, name: str) -> str:
        """Returns the value of a header, or ""."""
        return next((v for n, v in self.headers if n == name), "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[Any]]:
    """Returns the first line and the headers of a message.

    Raises:
        asyncio.IncompleteReadError: the connection ended.
    """
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, [(n.lower(), v.strip(" \t")) for n, _, v in pairs]


async def read_body(
    reader: asyncio.StreamReader, headers: list[tuple[str, str]]
) -> bytes:
    """Returns the body of a request."""
    names = dict(headers)
    if "transfer-encoding" in names:
        body = b""
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return body
    return await reader.readexactly(int(names.get("content-length", "0")))


def encode_answer(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Returns a whole answer with its length."""
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's store, which the system reads."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 100
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        # Hosts of instances that the store turns away.
        self.turned_away: set[str] = set()

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, key: str, document: object) -> None:
        """Writes a key; the return is the acknowledgement."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self._items[key] = item
        self._append(item)

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        self._append({"key": key, "revision": self.revision, "deleted": True})

    def _append(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                first, _ = await read_head(reader)
                if peer in self.turned_away:
                    return
                url = urllib.parse.urlsplit(first.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                if url.path == "/-/kv-range":
                    page: dict[str, Any] = self._list(query["path_prefix"])
                elif url.path == "/-/kv-watch":
                    page = await self._watch(query)
                else:
                    writer.write(encode_answer(404, [], b""))
                    continue
                headers = [("Content-Type", "application/json")]
                body = json.dumps(page).encode()
                writer.write(encode_answer(200, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _list(self, prefix: str) -> dict[str, Any]:
        keys = sorted(k for k in self._items if k.startswith(prefix))
        return {
            "items": [self._items[key] for key in keys],
            "has_more": False,
            "store_revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after, prefix = int(query["after"]), query["path_prefix"]
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)
        return {"events": events, "store_revision": self.revision}


class Runner:
    """A runner or plain application that registers in the store."""

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        record: Record,
        slots: int = 6,
        zone: str = "zone-a",
        version: str = "v1",
    ):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.version = slots, version
        self.born = int(time.time() * 1000)
        # The requests that it began to work on, in order.
        self.ran: list[Request] = []
        self.address = ""
        # Serves a request that has begun to run.
        self.handle: Callable[
            [Request, asyncio.StreamWriter], Awaitable[bool]
        ] = self.answer_plainly
        self._store, self._record = store, record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat: asyncio.Task[None] | None = None
        self.state = "ready"
        self.work_s = 0.01
        # The last parts of the prompts that it has read, with their tokens.
        self.kept: dict[str, int] = {}

    async def start(self, host: str, port: int = 0) -> None:
        """Listens, and registers."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=8 * 1_048_576
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.register()

    def register(self) -> None:
        """Writes the entry in the store."""
        self._store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_left_ms": 0,
                "sequence": 1,
                "born": self.born,
            },
        )

    def crash(self) -> None:
        """Ends at once; its entry stays until the platform removes it."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def make_headers(self, request: Request) -> list[tuple[str, str]]:
        """Returns what all answers to a request bear."""
        return [
            ("X-Attempt-Id", request.find("x-attempt-id")),
            ("X-Server-Stamp", f"{self.name}.{len(self.ran)}"),
        ]

    async def answer_plainly(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers with a body; tells whether the connection is kept."""
        await asyncio.sleep(self.work_s)
        body = f"ran {request.find('x-attempt-id')}".encode().ljust(800)
        writer.write(encode_answer(200, self.make_headers(request), body))
        await writer.drain()
        return True

    async def answer_with_events(
        self,
        request: Request,
        writer: asyncio.StreamWriter,
        count: int,
        interval_s: float,
        has_chunks: bool = True,
    ) -> bool:
        """Streams events after the last one that the client has.

        Each names this runner and its version. Without chunks, the stream ends
        with its connection.
        """
        part, _, tokens = (
            request.find("x-prompt-prefix").rpartition(",")[2].partition(":")
        )
        if part:
            self.kept[part] = int(tokens or 0)
        last = int(request.find("last-event-id") or 0)
        lines = [f"{n}: {v}" for n, v in self.make_headers(request)]
        lines.append("Content-Type: text/event-stream")
        lines.append(
            "Transfer-Encoding: chunked" if has_chunks else "Connection: close"
        )
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
        writer.write(head.encode("latin-1"))
        for number in range(last + 1, count + 1):
            await asyncio.sleep(interval_s)
            data = f"{self.version} {self.name}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if has_chunks:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
        if has_chunks:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return has_chunks

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ", 2)
                request = Request(method, path, headers)
                if path == "/-/report":
                    report = {"born": self.born, "queued": 0, "active": 0}
                    head = [("Content-Type", "application/json")]
                    body = json.dumps(report).encode()
                    writer.write(encode_answer(200, head, body))
                    continue
                if path == "/-/kv-list":
                    held = [["", part, n, "m"] for part, n in self.kept.items()]
                    kept = {"born": self.born, "epoch": 1, "next": 0}
                    head = [("Content-Type", "application/json")]
                    body = json.dumps({**kept, "held": held}).encode()
                    writer.write(encode_answer(200, head, body))
                    continue
                if path.startswith("/-/"):
                    writer.write(encode_answer(404, [], b""))
                    continue
                expected = request.find("x-expect-instance")
                if expected and expected != self.name:
                    head = [("X-Instance-Id", self.name)]
                    writer.write(encode_answer(421, head, b""))
                    continue
                request.body = await read_body(reader, headers)
                self.ran.append(request)
                attempt = request.find("x-attempt-id")
                self._record.note(f"{self.name} runs {attempt} {path}")
                if not await self.handle(request, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclasses.dataclass
class Answer:
    """What a client has received; status 0 if the channel ended before."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    is_whole: bool
    error: str = ""

    def find(self, name: str) -> str:
        """Returns the value of a header, or ""."""
        return next((v for n, v in self.headers if n == name), "")


async def receive_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer; never raises for a connection that ends."""
    status, headers, body = 0, [], b""
    try:
        first, headers = await read_head(reader)
        status = int(first.split(" ")[1])
        names = dict(headers)
        if names.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        elif "content-length" in names:
            left = int(names["content-length"])
            while len(body) < left:
                part = await reader.read(left - len(body))
                if not part:
                    return Answer(status, headers, body, False, "cut")
                body += part
        return Answer(status, headers, body, True)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        return Answer(status, headers, body, False, repr(error))


async def exchange(
    host: str, port: int, raw: bytes, timeout_s: float = 20.0
) -> Answer:
    """Sends bytes on a channel of its own, and returns the answer."""
    try:
        reader, writer = await asyncio.open_connection(
            host, port, limit=8 * 1_048_576
        )
    except OSError as error:
        return Answer(0, [], b"", False, repr(error))
    try:
        writer.write(raw)
        return await asyncio.wait_for(receive_answer(reader), timeout_s)
    except TimeoutError:
        return Answer(0, [], b"", False, "no answer in time")
    finally:
        writer.transport.abort()


def make_attempt() -> str:
    """Returns a new ID of an attempt."""
    return f"{random.getrandbits(64):016x}"


def encode_request(
    method: str,
    path: str,
    attempt: str,
    *lines: str,
    body: bytes = b"",
    deadline_ms: int = 1500,
    key: str = KEY,
) -> bytes:
    """Returns a request as clients send it, with further header lines."""
    head = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {key}",
        *lines,
    ]
    if method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode("latin-1") + body


class Edge:
    """An edge machine with its process."""

    def __init__(self, bed: "Bed", host: str, zone: str):
        self.bed, self.host, self.zone = bed, host, zone
        self.process: subprocess.Popen[bytes] | None = None
        self.settings: dict[str, Any] = {}
        self.log_path = bed.folder / f"{host}.log"

    def write_settings(self, **changes: object) -> pathlib.Path:
        """Writes the settings file; `changes` hold until the next one."""
        ports = self.bed.ports
        self.settings = {
            "node_name": f"edge-{self.host}",
            "role": "edge",
            "machine_class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": self.host,
            "zone": self.zone,
            "region": "region-1",
            "listen": {
                "frontend": f"{self.host}:{ports['frontend']}",
                "ready": f"{self.host}:{ports['ready']}",
                "control_plane": f"{self.host}:{ports['control_plane']}",
            },
            "internal_ports": [ports["inner"], ports["inner"] + 15],
            "seeds": [
                f"{edge.host}:{ports['control_plane']}"
                for edge in self.bed.edges[:3]
            ],
            "first_start": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
            },
            "heartbeat_ms": 1200,
            "bounds": {**BOUNDS, **self.bed.bounds},
            "platform": {
                "address": self.bed.store.address,
                "form": "read",
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
            **changes,
        }
        # JSON is YAML as well. A file is replaced as a whole.
        path = self.bed.folder / f"{self.host}.yaml"
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(self.settings))
        new_path.replace(path)
        return path

    def start(self, **changes: object) -> None:
        """Starts the process as the deploy file says."""
        path = self.write_settings(**changes)
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = deploy["roles"]["edge"]["run"].split()
        environ = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environ["PERIDOTBEND_CONFIG"] = str(path)
        environ["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Tells whether the platform would put the machine into rotation."""
        raw = b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
        port = self.bed.ports["ready"]
        return (await exchange(self.host, port, raw, 1.0)).status == 200

    async def ask(self, raw: bytes, timeout_s: float = 20.0) -> Answer:
        """Sends a request on a channel of its own."""
        port = self.bed.ports["frontend"]
        return await exchange(self.host, port, raw, timeout_s)


class Bed:
    """Store, runners and edges of one case."""

    def __init__(self, folder: pathlib.Path, edges: int = 2, **bounds: object):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        if keep := os.environ.get("KEEP_LOGS"):
            self.folder = pathlib.Path(keep)
            self.folder.mkdir(parents=True, exist_ok=True)
        self.bounds = bounds
        net = f"127.{random.randrange(64, 120)}.{random.randrange(1, 250)}"
        self.hosts = [f"{net}.{n}" for n in range(11, 11 + edges)]
        self.runner_host = f"{net}.200"
        self.store_host = f"{net}.250"
        names = ("frontend", "ready", "control_plane")
        self.ports = {name: find_free_port(self.hosts) for name in names}
        self.ports["inner"] = find_free_port(self.hosts)
        self.store = Store()
        self.edges = [
            Edge(self, host, f"zone-{'ab'[n % 2]}")
            for n, host in enumerate(self.hosts)
        ]
        self.runners: list[Runner] = []

    async def add_runner(self, service: str, **kwargs: Any) -> Runner:
        """Starts a runner."""
        name = f"i-{random.getrandbits(32):08x}"
        runner = Runner(name, service, self.store, self.record, **kwargs)
        await runner.start(self.runner_host)
        self.runners.append(runner)
        return runner

    async def start(self, config: dict[str, Any]) -> None:
        """Starts store and edges.

        Raises:
            TimeoutError: an edge does not become ready.
        """
        await self.store.start(self.store_host)
        self.store.put("op/config", config)

    async def start_edges(self, **changes: object) -> None:
        """Starts all edges, and waits until they are ready."""
        for edge in self.edges:
            edge.start(**changes)
        for edge in self.edges:
            await self.wait_ready(edge)

    async def wait_ready(self, edge: Edge, timeout_s: float = 15.0) -> None:
        """Waits until an edge is ready.

        Raises:
            TimeoutError: it does not become ready.
        """
        until = time.monotonic() + timeout_s
        while not await edge.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f"{edge.host} is not ready")
            await asyncio.sleep(0.05)

    def close(self) -> None:
        """Ends all processes that the case started."""
        for edge in self.edges:
            if edge.process is not None and edge.process.poll() is None:
                edge.signal(signal.SIGCONT)
                edge.process.kill()
                edge.process.wait()
        self._temporary.cleanup()


def make_config(
    routes: list[dict[str, Any]], version: int = 7, **changes: Any
) -> dict[str, Any]:
    """Returns a configuration with one tenant."""
    services = {route["service"] for route in routes if "service" in route}
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 110}
            for name in sorted(services)
        ],
        "limits": LIMITS,
        "tenants": [
            {
                "name": TENANT,
                "api_keys": [KEY],
                "priority": 1,
                "unit": "token_stream",
                "uncached_tokens": 200,
                "rate_per_s": 10_000_000,
                "burst": 10_000_000,
            }
        ],
    }
    return {**document, **changes}


def make_route(name: str, prefix: str, kind: str, **changes: Any) -> Any:
    """Returns a route to the service `app`."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 1500,
        "goal_ms": 125,
        "priority": 2,
        "service": "app",
        "max_attempts": 2 if kind == "idempotent" else 1,
        "public": False,
        "sticky": False,
        **changes,
    }


def run_case(
    play: Callable[[pathlib.Path], Awaitable[bool]], path: str
) -> None:
    """Plays a case and exits: 1 broken, 0 held, 2 could not run."""
    folder = pathlib.Path(path).resolve().parent
    # The platform starts processes with the default action. nohup ignores the
    # signal, and what is ignored stays so in a program that is started.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        is_broken = asyncio.run(play(folder))
    except Exception as error:  # The case itself has failed.
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
