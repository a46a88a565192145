"""How the runners of a soak answer, with the faults of single runs."""

import asyncio
import collections
import dataclasses
import json
from collections.abc import Callable, Iterator, Sequence

from peridotbend.platform import wire
from peridotbend_emulator.soak.checks import (
    RunLedger,
    Stamp,
    StreamEvent,
    check_route,
    make_body,
    make_run_name,
)
from peridotbend_emulator.soak.faults import Choices
from peridotbend_emulator.soak.messages import (
    Request,
    make_answer,
    make_chunk,
    make_head,
)
from peridotbend_emulator.soak.platform.documents import (
    list_bad_reports,
    make_part_list,
    make_report,
)
from peridotbend_emulator.soak.record import Record
from peridotbend_emulator.soak.runners import (
    Connection,
    Start,
    make_rejection,
)

SILENCE_S = (0.3, 1.2)
EVENT_SILENCE_SHARE = 0.003
BODY_PART_BYTES = 1_500
MAX_CALL_S = 0.1
# Longer than a run: runners close no idle connection for its age.
KEEP_ALIVE = "timeout=3600"
# Share of the unframed streams that are reset between two events in a run in
# which peers connect for an instance.
PEER_RESET_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """What a request asks for; its path says it, as /ROUTE/SERIAL/SIZE/PAD."""

    size: int
    padding: int


def parse_subject(path: str) -> Subject:
    """Returns what a path asks for."""
    _, _, size, padding = path.strip("/").split("/")
    return Subject(int(size), int(padding))


@dataclasses.dataclass(frozen=True, slots=True)
class BreakPlan:
    """The events at which the faults of a stream strike; 0 for never."""

    stop: int = 0
    reset: int = 0
    garble: int = 0


class SoakBehaviour:
    """Answers streams and calls, and notes each run."""

    def __init__(
        self,
        make_choices: Callable[[str], Choices],
        ledger: RunLedger,
        record: Record,
    ):
        self._make_choices = make_choices
        self._ledger = ledger
        self._record = record
        # How often each attempt has arrived, since all sends differ.
        self._arrivals: collections.Counter[str] = collections.Counter()
        self._reports: collections.Counter[str] = collections.Counter()

    async def answer(self, connection: Connection, request: Request) -> bool:
        """Answers; tells whether the connection may be used again."""
        attempt = request.get(wire.ATTEMPT_ID)
        arrival = self._arrivals[attempt]
        choices = self._make_choices(f"run/{attempt}/{arrival}")
        self._arrivals[attempt] += 1
        if choices.draw_fault("reject"):
            name = connection.process.start.name
            self._record.note_fault(f"reject at {name} of {attempt}")
            await connection.send(make_rejection(request))
            return True
        for finding in (
            *self._ledger.note_run(request.target, attempt),
            *check_route(request.target, connection.process.service),
        ):
            self._record.add_finding(finding)
        start = connection.process.start
        self._record.write(
            f"RUN {start.name} {start.software} {attempt} {request.target}"
            f" after {request.get(wire.LAST_EVENT_ID) or 0}"
        )
        run = _Run(
            connection, request, choices, self._record, self._ledger, arrival
        )
        is_kept = await run.answer()
        if is_kept and choices.draw_fault("length-close"):
            self._record.note_fault(f"length-close after run {attempt}")
            return False
        return is_kept

    def report(self, start: Start, active: int) -> tuple[int, bytes]:
        """Returns the status and body with which a start tells of itself."""
        choices = self._make_choices(
            f"report/{start.name}/{self._reports[start.name]}"
        )
        self._reports[start.name] += 1
        if choices.plan.has("mute"):
            return 404, b""
        born_ms = start.started_at_ms
        if choices.draw_fault("bad-report"):
            body = choices.rng.choice(list_bad_reports(born_ms))
            self._record.note_fault(f"bad-report at {start.name}: {body!r}")
            return 200, body
        return 200, json.dumps(make_report(born_ms, 0, active)).encode()

    def list_parts(self, start: Start) -> tuple[int, bytes]:
        """Returns the same of the list of prompt parts that it keeps."""
        if self._make_choices("parts").plan.has("mute"):
            return 404, b""
        return 200, json.dumps(make_part_list(start.started_at_ms)).encode()


class _Run:
    """One run of a request."""

    def __init__(
        self,
        connection: Connection,
        request: Request,
        choices: Choices,
        record: Record,
        ledger: RunLedger,
        arrival: int,
    ):
        self._ledger = ledger
        self._connection = connection
        self._request = request
        self._choices = choices
        self._record = record
        self._attempt = request.get(wire.ATTEMPT_ID)
        self._subject = parse_subject(request.target)
        self._last = int(request.get(wire.LAST_EVENT_ID) or 0)
        self._name = make_run_name(self._attempt, arrival, self._last)
        self._is_unframed = choices.draw_fault("unframed")
        if self._is_unframed:
            self._note("unframed")

    async def answer(self) -> bool:
        """Answers; tells whether the connection may be used again."""
        await asyncio.sleep(self._choices.rng.uniform(0.005, 0.1))
        if self._choices.draw_fault("silence"):
            self._note("silence")
            await asyncio.sleep(self._choices.rng.uniform(*SILENCE_S))
        if self._request.get(wire.TOKEN_COUNT):
            is_whole = await self._send_stream()
        else:
            is_whole = await self._send_body()
        if not is_whole or self._is_unframed:
            return False
        if self._choices.draw_fault("extra"):
            await self._send_extra_answer()
        return True

    def _note(self, text: str) -> None:
        name = self._connection.process.start.name
        self._record.note_fault(f"{text} at {name} in run {self._attempt}")

    def _note_break(self, text: str) -> None:
        self._ledger.note_break(self._attempt)
        self._note(text)

    def _list_headers(self, status: int) -> Sequence[tuple[str, str]]:
        name = self._connection.process.start.name
        stamp = Stamp(name, self._attempt, status).encode()
        return (
            (wire.ATTEMPT_ID, self._attempt),
            (wire.SERVER_STAMP, stamp),
            ("Keep-Alive", KEEP_ALIVE),
        )

    async def _put(self, data: bytes) -> None:
        await self._connection.send(
            data if self._is_unframed else make_chunk(data)
        )

    async def _send_head(self, content_type: str) -> None:
        framing = ("Transfer-Encoding", "chunked")
        if self._is_unframed:
            framing = ("Connection", "close")
        headers = (
            ("Content-Type", content_type),
            *self._list_headers(200),
            framing,
        )
        await self._connection.send(make_head("HTTP/1.1 200 OK", headers))

    async def _send_stream(self) -> bool:
        rng = self._choices.rng
        last = self._last
        plan = self._plan_breaks(last)
        gap_s = rng.choice((0.0, 0.005, 0.03, 0.1))
        await self._send_head("text/event-stream")
        for number in range(last + 1, self._subject.size + 1):
            data = self._make_event(number)
            if number == plan.stop:
                await self._stop_inside(data)
                return False
            if number == plan.reset:
                self._note_break(f"reset before event {number}")
                self._connection.reset()
                return False
            if number == plan.garble:
                self._note_break(f"foreign bytes before event {number}")
                await self._put(rng.choice(tuple(_list_foreign(number))))
            await self._put(data)
            # Drawn in any case, so that other choices stay the same.
            is_pausing = rng.random() < EVENT_SILENCE_SHARE
            if is_pausing and self._choices.plan.has("silence"):
                self._note(f"silence after event {number}")
                await asyncio.sleep(rng.uniform(*SILENCE_S))
            await asyncio.sleep(gap_s)
        if not self._is_unframed:
            await self._connection.send(make_chunk(b""))
        return True

    def _plan_breaks(self, last: int) -> BreakPlan:
        """Chooses where faults strike, also if there is no event left."""
        choices, size = self._choices, self._subject.size
        struck = [
            choices.draw_fault(name) for name in ("break", "reset", "garble")
        ]
        if self._is_unframed and choices.plan.has("peer"):
            struck[1] |= choices.rng.random() < PEER_RESET_SHARE
        if last >= size:
            return BreakPlan()
        places = [choices.rng.randint(last + 1, size) for _ in struck]
        return BreakPlan(
            *(
                place if is_struck else 0
                for is_struck, place in zip(struck, places, strict=True)
            )
        )

    def _make_event(self, number: int) -> bytes:
        event = StreamEvent(
            self._request.target,
            self._connection.process.start.software,
            self._name,
            "." * self._subject.padding,
            number,
        )
        data = event.encode()
        if self._choices.draw_fault("weights"):
            self._note(f"weights in event {number}")
            version = self._choices.rng.randint(1, 9)
            data = f"{wire.WEIGHT_VERSIONS}: {version}\n".encode() + data
        return data

    async def _stop_inside(self, data: bytes) -> None:
        """Breaks off inside an event or a body."""
        size = self._choices.rng.randint(1, len(data) - 1)
        is_reset = self._choices.rng.random() < 0.5
        self._note_break(f"break inside, {'reset' if is_reset else 'closed'},")
        await self._put(data[:size])
        if is_reset:
            self._connection.reset()

    async def _send_body(self) -> bool:
        rng = self._choices.rng
        path, size = self._request.target, self._subject.size
        has_failed = self._choices.draw_fault("fail")
        is_reset, is_broken = self._choices.draw_fault(
            "reset"
        ), self._choices.draw_fault("break")
        has_length = rng.random() < 0.5
        body = make_body(path, self._attempt, size)
        if has_failed:
            self._note("status 500")
            headers = self._list_headers(500)
            await self._connection.send(make_answer(500, b"failed", headers))
            return True
        if is_reset:
            self._note_break("reset without an answer")
            self._connection.reset()
            return False
        if has_length and not self._is_unframed:
            headers = self._list_headers(200)
            data = make_answer(200, body, headers)
            if is_broken:
                self._note_break("break inside a body with a length")
                data = data[:-1]
            await self._connection.send(data)
            return not is_broken
        await self._send_head("application/octet-stream")
        parts = max(1, len(body) // BODY_PART_BYTES)
        for begin in range(0, len(body), BODY_PART_BYTES):
            await self._put(body[begin : begin + BODY_PART_BYTES])
            if is_broken:
                # Without a length, only a reset tells that this isn't all.
                self._note_break("break inside a body")
                self._connection.reset()
                return False
            await asyncio.sleep(rng.uniform(0, MAX_CALL_S / parts))
        if not self._is_unframed:
            await self._connection.send(make_chunk(b""))
        return True

    async def _send_extra_answer(self) -> None:
        if self._choices.rng.random() < 0.5:
            await asyncio.sleep(self._choices.rng.uniform(0, 0.05))
        self._note("an extra answer")
        event = StreamEvent("/none/0/0/0", "none", "none", "", 1).encode()
        headers = (
            ("Content-Type", "text/event-stream"),
            *self._list_headers(200),
        )
        await self._connection.send(make_answer(200, event, headers))


def _list_foreign(number: int) -> Iterator[bytes]:
    """Yields bytes that are no event that is due."""
    yield b"data: zz\n\n"
    yield f"id: {number - 1}\ndata: zz\n\n".encode()
    yield f"id: {number + 1}\ndata: zz\n\n".encode()
    yield b"\xff" * 40
    yield b"HTTP/1.1 200 OK\r\n\r\n"
