"""Targets that die, and start again under their name, for real daemons."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

from peridotbend.platform import wire
from peridotbend_emulator.launch import Child
from tests.edgefleet import CONFIG, HOSTS, EdgeFleet, run_with_fleet
from tests.test_edge_platform import TARGET_ENTRY

# The start that entries name, as Unix time in ms.
FIRST_START_MS = 1_790_000_000_000
SERVICE = "engine"
EVENTS = 6
# After three heartbeats of 2 s, 0.5 s and the time of a watch, an entry that is
# still listed tells who lived before.
LEASE_S = 8.0
# Calls that come at the same moment.
TOGETHER = 6
# Calls that come together use all targets within so many rounds. Calls in turn
# need not: of idle targets the one is chosen whose events came faster before.
MAX_ROUNDS = 10
# Longer than any call may take.
CALL_TIMEOUT_S = 15.0
# An answer that is ended at the time limit of its call comes within this time.
LATE_S = 2.0
# Long enough that a stream has events under way when a test interferes.
EVENT_GAP_S = 0.02


class RestartableTarget:
    """A target of streams and of short requests, which names its software."""

    def __init__(self, name: str, software: str = "v1"):
        self.name = name
        self.software = software
        self.started_at_ms = FIRST_START_MS
        # Whether answers have neither length nor chunks.
        self.is_unframed = False
        # After so many events the process breaks off each stream with a reset;
        # 0 for never.
        self.resets_after = 0
        # After so many events, or parts of a body, the process dies and the
        # kernel closes its connections in order; 0 for never.
        self.dies_after = 0
        # After so many events the process falls silent, also when it is asked;
        # 0 for never.
        self.stalls_after = 0
        # Statuses and bodies that it answers in turn when it is asked who it
        # is; its start if there are none.
        self.reports: Sequence[tuple[int, bytes]] = ()
        # Whether another process listens as soon as one has died.
        self.returns_at_once = False
        # For how long it says that it keeps idle connections; 0 if it doesn't.
        self.keep_alive_s = 0
        self._is_silent = False
        # Size of the parts of a body, filled up; 0 for as long as they are.
        self.part_bytes = 0
        # Attempts in order of arrival.
        self.ran: list[str] = []
        self.asked = 0
        self.connected = 0
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def is_dead(self) -> bool:
        """Whether there is no process."""
        return self._server is None

    async def start(self) -> None:
        """Listens, at the same address after a restart."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Ends as a killed process does: connections close in order."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self, software: str) -> None:
        """Starts again under its name, before any entry says so."""
        self.die()
        self.software = software
        self.started_at_ms += 60_000
        await self.start()

    def describe(self) -> dict[str, Any]:
        """Returns the entry in the store."""
        return {
            **TARGET_ENTRY,
            "service": SERVICE,
            "address": f"127.0.0.1:{self._port}",
            "version": self.software,
            "born": self.started_at_ms,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.connected += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._answer(await _read_call(reader), writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self, call: tuple[str, dict[str, str]], writer: asyncio.StreamWriter
    ) -> bool:
        """Answers one call; tells whether the connection may be kept."""
        path, headers = call
        if self._is_silent:
            await asyncio.sleep(CALL_TIMEOUT_S)
        if path == wire.REPORT_CALL:
            self.asked += 1
            status, body = (
                200,
                json.dumps({"born": self.started_at_ms}).encode(),
            )
            if self.reports:
                status, body = self.reports[self.asked % len(self.reports)]
            writer.write(_make_head(status, {"Content-Length": str(len(body))}))
            writer.write(body)
            return True
        if path.startswith("/-/"):
            writer.write(_make_head(404, {"Content-Length": "0"}))
            return True
        if headers.get(wire.EXPECT_INSTANCE) != self.name:
            writer.write(_make_head(421, {"Content-Length": "0"}))
            return True
        attempt = headers[wire.ATTEMPT_ID]
        self.ran.append(attempt)
        is_stream = path.startswith("/quotes/")
        writer.write(self._make_answer_head(attempt, is_stream))
        parts = self._list_parts(headers, is_stream)
        for count, part in enumerate(parts):
            if count and count == self.resets_after:
                _reset(writer)
                return False
            if count and count == self.stalls_after:
                self._is_silent = True
                await asyncio.sleep(CALL_TIMEOUT_S)
            if count and count == self.dies_after:
                self.die()
                if self.returns_at_once:
                    await self.start()
                return False
            writer.write(part if self.is_unframed else _make_chunk(part))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        if not self.is_unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return not self.is_unframed

    def _list_parts(
        self, headers: dict[str, str], is_stream: bool
    ) -> list[bytes]:
        """Returns the events of a run, or the parts of another body."""
        if not is_stream:
            return [
                f"{self.software}-{number};".encode().ljust(self.part_bytes)
                for number in range(EVENTS)
            ]
        first = int(headers.get(wire.LAST_EVENT_ID, "0")) + 1
        return [
            f"id: {number}\ndata: {self.software}\n\n".encode()
            for number in range(first, EVENTS + 1)
        ]

    def _make_answer_head(self, attempt: str, is_stream: bool) -> bytes:
        kind = "text/event-stream" if is_stream else "text/plain"
        framing = {"Transfer-Encoding": "chunked"}
        if self.keep_alive_s:
            framing["Keep-Alive"] = f"timeout={self.keep_alive_s}"
        if self.is_unframed:
            framing = {"Connection": "close"}
        return _make_head(
            200,
            {
                "Content-Type": kind,
                wire.ATTEMPT_ID: attempt,
                wire.SERVER_STAMP: f"{self.name}.{attempt}",
                **framing,
            },
        )


def _make_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def _read_call(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    await reader.readexactly(int(headers.get("content-length", "0")))
    return first.split(" ")[1], headers


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection instead of closing it in order."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    writer.transport.abort()


class RestartFleet:
    """Real daemons in front of targets that can be restarted."""

    def __init__(self, fleet: EdgeFleet, targets: Sequence[RestartableTarget]):
        self._fleet = fleet
        self.targets = targets
        self._attempts = 0
        # When each attempt began, or the one that it resumes.
        self._begun_s: dict[str, float] = {}
        self._children: list[Child] = []
        self.host = HOSTS[0]

    async def start(self, count: int) -> None:
        """Lists the targets and starts so many daemons."""
        # Its process is not the one that the tests are about.
        self._fleet.store.delete("servers/i-1")
        route = CONFIG["routes"][0]
        extra = {
            "name": "r-lookups",
            "host": route["host"],
            "path_prefix": "/lookups/",
            "route_kind": "idempotent",
            "timeout_ms": 5_000,
            "service": SERVICE,
            "max_attempts": 2,
        }
        config = {**CONFIG, "version": CONFIG["version"] + 1}
        config["routes"] = [*CONFIG["routes"], extra]
        self._fleet.store.put("op/config", config)
        for target in self.targets:
            await target.start()
            self.list_target(target)
        for host in HOSTS[:count]:
            self._children.append(self._fleet.spawn(host))
        for host in HOSTS[:count]:
            await self._fleet.wait_ready(host)

    def stop(self) -> None:
        """Begins the planned stop of the first daemon."""
        self._children[0].terminate()

    async def use_targets(self) -> None:
        """Uses all targets, so that each has been asked for its start.

        What they have counted until then is forgotten.
        """
        for _ in range(MAX_ROUNDS):
            await self.call_together()
            if all(target.ran for target in self.targets):
                break
        for target in self.targets:
            assert target.ran, target.name
            target.ran.clear()
            target.asked = target.connected = 0

    async def prove_connections(self) -> None:
        """Waits until the list proves a kept connection to each target."""
        for _ in range(MAX_ROUNDS):
            await self.call_together()
            if all(target.ran for target in self.targets):
                break
        await asyncio.sleep(LEASE_S)

    async def call_together(
        self, on_data: Callable[[bytes], None] = lambda body: None
    ) -> list["CallerAnswer"]:
        """Sends calls that come at the same moment."""
        calls = (
            self.call(f"/quotes/{n}", on_data=on_data) for n in range(TOGETHER)
        )
        return await asyncio.gather(*calls)

    async def call_until_used(
        self,
        target: RestartableTarget,
        on_data: Callable[[bytes], None] = lambda body: None,
    ) -> list["CallerAnswer"]:
        """Sends calls that come together, until one has reached a target."""
        answers: list[CallerAnswer] = []
        for _ in range(MAX_ROUNDS):
            answers += await self.call_together(on_data)
            if target.ran:
                break
        assert target.ran, target.name
        return answers

    def list_target(self, target: RestartableTarget) -> None:
        """Writes the entry of a target as it is now."""
        self._fleet.store.put(f"servers/{target.name}", target.describe())

    async def remove_target(self, target: RestartableTarget) -> None:
        """Removes the entry of a target, and waits until all daemons know."""
        self._fleet.store.delete(f"servers/{target.name}")
        name = f'"target": "{target.name}"'
        async with asyncio.timeout(CALL_TIMEOUT_S):
            for child in self._children:
                while not any(
                    name in line and '"target-removed"' in line
                    for line in child.output.splitlines()
                ):
                    await asyncio.sleep(0.02)

    async def wait_listed(self, target: RestartableTarget) -> None:
        """Waits until all daemons know the entry of a target as it is now."""
        start = f'"started_at_ms": {target.started_at_ms}'
        async with asyncio.timeout(CALL_TIMEOUT_S):
            for child in self._children:
                while not any(
                    start in line and '"target-listed"' in line
                    for line in child.output.splitlines()
                ):
                    await asyncio.sleep(0.02)

    async def call(
        self,
        path: str,
        host: str = "",
        last_event: int = 0,
        resumes: str = "",
        on_data: Callable[[bytes], None] = lambda body: None,
    ) -> "CallerAnswer":
        """Sends a call, or takes a stream up that an attempt began."""
        self._attempts += 1
        attempt = f"t{self._attempts}"
        now_s = asyncio.get_running_loop().time()
        # A caller that takes a stream up has the rest of its time left.
        begun_s = self._begun_s.get(resumes, now_s)
        self._begun_s[attempt] = begun_s
        left_ms = round((CALL_TIMEOUT_S - (now_s - begun_s)) * 1_000)
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: shop.example",
            "Authorization: Token key-1",
            f"{wire.ATTEMPT_ID}: {attempt}",
            f"{wire.DEADLINE_MS}: {left_ms}",
            "Content-Length: 4",
        ]
        if resumes:
            lines.append(f"{wire.RESUMES}: {resumes}")
            lines.append(f"{wire.LAST_EVENT_ID}: {last_event}")
        reader, writer = await self._fleet.connect(host or self.host)
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\nbody").encode())
            async with asyncio.timeout(CALL_TIMEOUT_S + LATE_S):
                return await _read_caller_answer(reader, path, attempt, on_data)
        finally:
            writer.close()

    async def begin_streams(
        self, target: RestartableTarget
    ) -> list["CallerAnswer"]:
        """Begins streams and leaves them, until one began at a target."""

        def leave(body: bytes) -> None:
            if body.count(b"\n\n") == 2:
                raise ConnectionAbortedError

        return await self.call_until_used(target, leave)

    async def call_until_killed(
        self, target: RestartableTarget, events: int
    ) -> list["CallerAnswer"]:
        """Calls until the instance is killed after so many events of a target.

        Returns the answers that hold events of this target.
        """

        def kill(body: bytes) -> None:
            is_there = f"data: {target.software}\n".encode() in body
            if is_there and body.count(b"\n\n") == events:
                self._children[0].kill()

        answers = await self.call_until_used(target, kill)
        cut = [a for a in answers if target.software in a.software]
        assert cut, answers
        return cut


class CallerAnswer:
    """What a caller received."""

    def __init__(
        self, path: str, attempt: str, status: int, body: bytes, is_whole: bool
    ):
        self.path = path
        self.attempt = attempt
        self.status = status
        self.body = body
        self.is_whole = is_whole

    def __repr__(self) -> str:
        return f"{self.status} {self.body!r} whole={self.is_whole}"

    @property
    def software(self) -> list[str]:
        """The version that wrote each event."""
        return [
            line.removeprefix("data: ")
            for line in self.body.decode().split("\n")
            if line.startswith("data: ")
        ]


async def _read_caller_answer(
    reader: asyncio.StreamReader,
    path: str,
    attempt: str,
    on_data: Callable[[bytes], None],
) -> CallerAnswer:
    status, headers, body = 0, {}, b""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")[:-2]
        status = int(first.split(" ")[1])
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        if "transfer-encoding" not in headers:
            body = await reader.readexactly(
                int(headers.get("content-length", "0"))
            )
            return CallerAnswer(path, attempt, status, body, True)
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
            on_data(body)
        await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return CallerAnswer(path, attempt, status, body, False)
    return CallerAnswer(path, attempt, status, body, True)


def run_with_targets(
    targets: Sequence[RestartableTarget],
    check: Callable[[RestartFleet], Awaitable[None]],
    instances: int = 1,
) -> None:
    """Runs a check with real daemons and targets."""

    @contextlib.asynccontextmanager
    async def serve(fleet: EdgeFleet) -> AsyncIterator[RestartFleet]:
        restarts = RestartFleet(fleet, targets)
        try:
            await restarts.start(instances)
            yield restarts
        finally:
            for target in targets:
                target.die()

    async def run(fleet: EdgeFleet) -> None:
        async with serve(fleet) as restarts:
            await check(restarts)

    run_with_fleet(run)
