"""Real daemons in the situations that hurt operators of similar systems.

Malformed messages and restarts are in test_stories_processes.py.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
import unittest
from collections import Counter
from collections.abc import AsyncIterator

import anyio

from peridotbend.platform import wire
from peridotbend_emulator.launch import Child
from tests.edgefakes import make_event
from tests.edgefleet import (
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    make_order,
    run_with_fleet,
)
from tests.test_edge_platform import TARGET_ENTRY
from tests.troubledfleet import (
    BOUNDS,
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    SINGLE_RUN_PATH,
    SLOW_ONCE_PATH,
    SLOW_PATH,
    TroubledFleet,
    put_service,
    run_with_child,
)
from tests.troubledtargets import (
    EVENTS,
    WHOLE,
    EndlessAnswer,
    TroubledAnswer,
    make_events,
)

# Callers take these for a promise that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
STOP_CALLERS = 24
REQUESTS_PER_CONNECTION = 3
COPIED_CALLS = 24
COPY_DELAY_S = 0.02
SLOW_GAP_S = 0.5


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, str]:
    """Returns the path and the attempt of a request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:-2])
    await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0].split()[1], headers.get(wire.ATTEMPT_ID, "")


def _encode_answer(attempt: str, *headers: str, body: bytes = b"") -> bytes:
    lines = (
        f"{wire.ATTEMPT_ID}: {attempt}",
        f"{wire.SERVER_STAMP}: s",
        *headers,
        f"Content-Length: {len(body)}",
    )
    return ("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines)).encode() + (
        b"\r\n\r\n" + body
    )


class _CopyingTarget:
    """Keeps connections, and sends each answer a second time."""

    def __init__(self) -> None:
        self.connections = 0
        # Copies that came where the answer to another attempt was expected.
        self.late_copies = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection; the first sends copies as late as it can."""
        kind = self.connections % 3
        self.connections += 1
        previous = b""
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                path, attempt = await _read_request(reader)
                if previous:
                    self.late_copies += 1
                    writer.write(previous)
                    await asyncio.sleep(COPY_DELAY_S)
                answer = self._answer(path, attempt)
                writer.write(answer)
                if kind == 0:
                    previous = answer
                elif kind == 1:
                    writer.write(answer)
                else:
                    await asyncio.sleep(COPY_DELAY_S)
                    writer.write(answer)
        writer.close()

    def _answer(self, path: str, attempt: str) -> bytes:
        if not path.startswith(RESUMABLE_PATH):
            return _encode_answer(attempt, body=attempt.encode())
        stream = f"id: 1\ndata: {attempt}\n\n".encode()
        return _encode_answer(
            attempt, "Content-Type: text/event-stream", body=stream
        )


class SecondCopyTest(unittest.TestCase):
    """Second copies of answers on connections that are in use again."""

    def test_no_caller_gets_the_answer_of_another(self) -> None:
        """Guards against an answer that belongs to an earlier request."""

        async def check(fleet: EdgeFleet) -> None:
            target = _CopyingTarget()
            server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
            async with server:
                put_service(fleet.store, server.sockets[0].getsockname()[1])
                child = fleet.spawn(HOSTS[0], bounds=BOUNDS)
                await fleet.wait_ready(HOSTS[0])
                statuses: Counter[int] = Counter()
                for number in range(COPIED_CALLS):
                    prefix = (IDEMPOTENT_PATH, RESUMABLE_PATH)[number % 2]
                    attempt = f"own-{number}"
                    answer = await fleet.call(
                        HOSTS[0], f"{prefix}{number}", attempt
                    )
                    statuses[answer.status] += 1
                    if answer.status == 200:
                        assert attempt in answer.content.decode(), answer
                    else:
                        assert answer.status == 502, answer
                assert statuses[200] > COPIED_CALLS // 2, statuses
                assert target.late_copies, target.connections
                assert child.exit_code is None
                fleet.kill_all()

        run_with_fleet(check)


class PlannedStopTest(unittest.TestCase):
    """A planned stop while callers go on sending."""

    def test_no_accepted_request_is_cut(self) -> None:
        """Guards against requests that ran and were never answered."""

        async def check(fleet: EdgeFleet) -> None:
            fleet.target.delay_s = 0.2
            entry = {
                **TARGET_ENTRY,
                "slots": 2 * STOP_CALLERS,
                "address": f"127.0.0.1:{fleet.ports['target']}",
            }
            fleet.store.put("servers/i-1", entry)
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            statuses: dict[str, int] = {}
            cut: list[str] = []
            is_stopping = False
            served_late = 0

            async def send(caller: int) -> None:
                """Sends until no new connection is accepted."""
                nonlocal served_late
                number = 0
                while True:
                    try:
                        reader, writer = await fleet.connect(HOSTS[0])
                    except ConnectionRefusedError:
                        return
                    for _ in range(REQUESTS_PER_CONNECTION):
                        number += 1
                        attempt = f"{caller}-{number}"
                        was_stopping = is_stopping
                        try:
                            writer.write(make_order(attempt))
                            status, is_kept = await _read_answer(reader)
                        except (OSError, asyncio.IncompleteReadError):
                            cut.append(attempt)
                            break
                        statuses[attempt] = status
                        served_late += was_stopping and status == 200
                        if not is_kept:
                            break
                    writer.close()

            with anyio.fail_after(WAIT_TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    for caller in range(STOP_CALLERS):
                        tasks.start_soon(send, caller)
                    await fleet.wait_started(2 * STOP_CALLERS)
                    child.terminate()
                    is_stopping = True
            started = Counter(fleet.target.started_attempts)
            assert not started.keys() & set(cut), started.keys() & set(cut)
            assert set(statuses.values()) <= {200, 503}, statuses
            for attempt, status in statuses.items():
                assert started[attempt] == (status == 200), (attempt, status)
            assert served_late > STOP_CALLERS, served_late
            code = await anyio.to_thread.run_sync(child.wait, WAIT_TIMEOUT_S)
            assert code == 0, child.output

        run_with_fleet(check)


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Returns the status, and whether the connection is kept."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    lines = head.split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:-2])
    await reader.readexactly(int(headers["content-length"]))
    return int(lines[0].split()[1]), headers.get("connection") != "close"


@dataclasses.dataclass(frozen=True, slots=True)
class _SlowAnswer:
    """A whole stream whose events come slowly."""

    name: str = "slow"

    async def list_pieces(self, attempt: str) -> AsyncIterator[bytes]:
        """Yields the events, with pauses in between."""
        yield CHUNKS.replace(b"ATTEMPT", attempt.encode())
        for number in range(1, EVENTS + 1):
            yield _encode_chunk(make_event(number))
            await asyncio.sleep(SLOW_GAP_S)
        yield b"0\r\n\r\n"


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


CHUNKS = (
    "HTTP/1.1 200 OK\r\n"
    f"{wire.ATTEMPT_ID}: ATTEMPT\r\n{wire.SERVER_STAMP}: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
).encode()
_BEGUN = CHUNKS + _encode_chunk(make_events(1, 3))
# Nothing of what these send now and then is an event.
NEVER_BEGUN = (
    EndlessAnswer("comments", CHUNKS, _encode_chunk(b": x\n\n")),
    EndlessAnswer("bytes of an event", CHUNKS, _encode_chunk(b"d")),
    EndlessAnswer("chunk extension", CHUNKS + b"5;a=", b"b"),
)
BEGUN = (
    EndlessAnswer("comments after events", _BEGUN, _encode_chunk(b":\n")),
    EndlessAnswer("empty lines after events", _BEGUN, _encode_chunk(b"\n")),
    EndlessAnswer("chunk size after events", _BEGUN, b"0"),
)


class StreamPaceTest(unittest.TestCase):
    """Slow but sound streams, and stalled ones that send a byte at times."""

    def test_slow_streams_are_whole_and_stalled_ones_end(self) -> None:
        """Guards against telling the two apart by the bytes alone."""
        answers: list[TroubledAnswer] = [_SlowAnswer(), *NEVER_BEGUN, *BEGUN]

        async def check(troubled: TroubledFleet, child: Child) -> None:
            async def check_slow(prefix: str) -> None:
                path = f"{prefix}0/first/slow"
                answer = await troubled.call(path)
                assert answer is not None, prefix
                assert (answer.status, answer.content) == (200, WHOLE), answer
                assert troubled.target.sends[path] == 1, prefix

            async def check_stalled(number: int) -> None:
                name = answers[number].name
                path = f"{SLOW_PATH}{number}/first/x"
                answer = await troubled.call(path)
                assert answer is not None, name
                assert (answer.status, answer.content) == (200, WHOLE), name

            async def check_single(number: int) -> None:
                path = f"{SLOW_ONCE_PATH}{number}/first/x"
                answer = await troubled.call(path)
                if number > len(NEVER_BEGUN):
                    assert answer is None, answer
                else:
                    assert answer is not None
                    assert answer.status in (502, 504), answer
                assert troubled.target.sends[path] == 1

            with anyio.fail_after(WAIT_TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    for prefix in (RESUMABLE_PATH, SINGLE_RUN_PATH):
                        tasks.start_soon(check_slow, prefix)
                    for number in range(1, len(answers)):
                        tasks.start_soon(check_stalled, number)
                        tasks.start_soon(check_single, number)
                while troubled.target.active:
                    await anyio.sleep(0.02)
            assert child.exit_code is None
            troubled.fleet.kill_all()

        run_with_child(answers, check)


class _LosingTarget:
    """Loses answers as the path says, one word for each send of an attempt."""

    def __init__(self) -> None:
        self.sends: Counter[str] = Counter()
        # How often each attempt ran.
        self.runs: Counter[str] = Counter()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one request and closes the connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            path, attempt = await _read_request(reader)
            if attempt:
                words = path.split("/")[2].split(".")
                word = words[min(self.sends[attempt], len(words) - 1)]
                self.sends[attempt] += 1
                self.runs[attempt] += word != "reject"
                await self._answer(word, attempt, reader, writer)
        writer.close()

    async def _answer(
        self,
        word: str,
        attempt: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        whole = _encode_answer(attempt, "Connection: close", body=b"whole")
        if word == "reject":
            head = whole.replace(b"200 OK", b"503 Busy", 1)
            writer.write(head.replace(b"\r\n", b"\r\nX-Not-Executed: 1\r\n", 1))
        elif word == "reset":
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        elif word == "silent":
            await reader.read()
        else:
            writer.write(
                {
                    "whole": whole,
                    "close": b"",
                    "head": whole[:30],
                    "body": whole[:-2],
                    "foreign": b"\xff\xfe\r\n\r\n" * 9,
                }[word]
            )
        await writer.drain()


class LostAnswerTest(unittest.TestCase):
    """Answers that are lost after the request has run."""

    def test_nothing_runs_twice_or_is_called_not_run(self) -> None:
        """Guards against a second run, and a false promise of none."""
        losses = ("close", "reset", "head", "body", "foreign", "silent")
        single = [f"{loss}.whole" for loss in losses]
        single += ["reject.close.whole", "reject", "reject.whole"]
        repeated = [f"{loss}.reject" for loss in losses]
        repeated += ["reject.reset.reject", "close.whole", "reject"]

        async def check(fleet: EdgeFleet) -> None:
            target = _LosingTarget()

            async def call(prefix: str, script: str) -> None:
                attempt = f"{prefix}{script}"
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    # Refused at first if other calls take all the places.
                    while True:
                        answer = await fleet.call(
                            HOSTS[0],
                            f"{prefix}{script}/x",
                            attempt,
                            deadline_ms=2_000,
                        )
                        if target.sends[attempt] or answer.status != 503:
                            break
                        await anyio.sleep(0.1)
                runs = target.runs[attempt]
                if runs:
                    assert answer.status not in NOT_RUN_STATUSES, (
                        attempt,
                        answer,
                    )
                if prefix == NON_IDEMPOTENT_PATH:
                    assert runs <= 1, (attempt, runs)
                if answer.status == 200:
                    assert answer.content == b"whole", attempt
                else:
                    assert answer.status in (502, 503, 504), (attempt, answer)

            server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
            async with server:
                put_service(fleet.store, server.sockets[0].getsockname()[1])
                fleet.spawn(HOSTS[0], bounds=BOUNDS)
                await fleet.wait_ready(HOSTS[0])
                async with anyio.create_task_group() as tasks:
                    for script in single:
                        tasks.start_soon(call, NON_IDEMPOTENT_PATH, script)
                    for script in repeated:
                        tasks.start_soon(call, IDEMPOTENT_PATH, script)
                fleet.kill_all()

        run_with_fleet(check)
