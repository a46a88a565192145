"""How the runners of a soak answer, with the faults of single runs."""

import asyncio
import collections
import dataclasses
import json
from collections.abc import Callable, Iterator, Mapping, Sequence

from peridotbend.platform import wire
from peridotbend_emulator.soak.checks import (
    RunLedger,
    Stamp,
    StreamEvent,
    check_route,
    make_body,
)
from peridotbend_emulator.soak.faults import Choices
from peridotbend_emulator.soak.memory import PromptMemory
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
    Told,
    make_rejection,
)

SILENCE_S = (0.3, 1.2)
EVENT_SILENCE_SHARE = 0.003
BODY_PART_BYTES = 1_500
MAX_CALL_S = 0.1
# Longer than a run: runners close no idle connection for its age.
KEEP_ALIVE = "timeout=3600"
# Where runners pause beside a stop, streams last so long that they are under
# way when its grace period ends, and no event is late.
LONG_STREAM_S = (4.0, 9.0)
MAX_GAP_S = 0.25
# Share of the unframed streams that are reset between two events in a run in
# which peers connect for an instance.
PEER_RESET_SHARE = 0.5


@dataclasses.dataclass
class SoakBehaviour:
    """Answers streams and calls, and notes each run."""

    make_choices: Callable[[str], Choices]
    ledger: RunLedger
    record: Record

    def __post_init__(self) -> None:
        """Begins without runs."""
        # How often each attempt or question has arrived, since all differ.
        self._arrivals: collections.Counter[str] = collections.Counter()
        self._memory = PromptMemory()

    async def answer(self, connection: Connection, request: Request) -> bool:
        """Answers; tells whether the connection may be used again."""
        attempt = request.get(wire.ATTEMPT_ID)
        arrival = self._arrivals[attempt]
        choices = self.make_choices(f"run/{attempt}/{arrival}")
        self._arrivals[attempt] += 1
        start = connection.process.start
        is_rejected = choices.draw_fault("reject")
        if is_rejected or not self._memory.has_source(start, request):
            self.record.note_fault(f"reject at {start.name} of {attempt}")
            await connection.send(make_rejection(request))
            return True
        path, service = request.target, connection.process.service
        self.record.add_findings(self.ledger.note_run(path, attempt))
        self.record.add_findings(check_route(path, service))
        self.record.add_findings(self._memory.note_run(start, request))
        self.record.write(
            f"RUN {start.name} {start.software} {attempt} {request.target}"
            f" after {request.get(wire.LAST_EVENT_ID) or 0}"
        )
        run = _Run(
            connection, request, choices, self.record, self.ledger, arrival
        )
        with self.ledger.hold_work(attempt):
            is_kept = await run.answer()
        if is_kept and choices.draw_fault("length-close"):
            self.record.note_fault(f"length-close after run {attempt}")
            return False
        return is_kept

    def describe(self, start: Start, active: int, call: str) -> Told:
        """Returns the status and body with which a start tells of itself."""
        subject = f"{start.name}{call}"
        choices = self.make_choices(f"{subject}/{self._arrivals[subject]}")
        self._arrivals[subject] += 1
        born_ms = start.started_at_ms
        if choices.plan.has("mute"):
            return 404, b""
        if call == wire.PARTS_CALL:
            has_parts = choices.plan.has("kept")
            parts = self._memory.parts[start] if has_parts else {}
            return 200, json.dumps(make_part_list(born_ms, parts)).encode()
        if choices.draw_fault("bad-report"):
            body = choices.rng.choice(list_bad_reports(born_ms))
            self.record.note_fault(f"bad-report at {start.name}: {body!r}")
            return 200, body
        return 200, json.dumps(make_report(born_ms, 0, active)).encode()


@dataclasses.dataclass
class _Run:
    """One run of a request."""

    connection: Connection
    request: Request
    choices: Choices
    record: Record
    ledger: RunLedger
    # How often the attempt had arrived before.
    arrival: int

    def __post_init__(self) -> None:
        """Reads the request."""
        self._attempt = self.request.get(wire.ATTEMPT_ID)
        # The path says what to send, as /ROUTE/SERIAL/SIZE/PADDING.
        *_, size, padding = self.request.target.split("/")
        self._size, self._padding = int(size), int(padding)
        self._last = int(self.request.get(wire.LAST_EVENT_ID) or 0)
        self._name = f"{self._attempt}.{self.arrival}+{self._last}"
        self._is_unframed = self.choices.draw_fault("unframed")
        if self._is_unframed:
            self._note("unframed")

    async def answer(self) -> bool:
        """Answers; tells whether the connection may be used again."""
        await asyncio.sleep(self.choices.rng.uniform(0.005, 0.1))
        if self.choices.draw_fault("silence"):
            self._note("silence")
            await asyncio.sleep(self.choices.rng.uniform(*SILENCE_S))
        if self.request.get(wire.TOKEN_COUNT):
            is_whole = await self._send_stream()
        else:
            is_whole = await self._send_body()
        if not is_whole or self._is_unframed:
            return False
        if self.choices.draw_fault("extra"):
            await self._send_extra_answer()
        return True

    def _note(self, text: str) -> None:
        name = self.connection.process.start.name
        self.record.note_fault(f"{text} at {name} in run {self._attempt}")

    def _note_break(self, text: str) -> None:
        self.ledger.note_break(self._attempt)
        self._note(text)

    def _list_headers(self, status: int) -> Sequence[tuple[str, str]]:
        name = self.connection.process.start.name
        stamp = Stamp(name, self._attempt, status).encode()
        return (
            (wire.ATTEMPT_ID, self._attempt),
            (wire.SERVER_STAMP, stamp),
            ("Keep-Alive", KEEP_ALIVE),
        )

    async def _put(self, data: bytes) -> None:
        await self.connection.send(
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
        await self.connection.send(make_head("HTTP/1.1 200 OK", headers))

    async def _send_stream(self) -> bool:
        rng = self.choices.rng
        plan = self._plan_breaks()
        gap_s = rng.choice((0.0, 0.005, 0.03, 0.1))
        if self.choices.plan.has("still"):
            gap_s = min(rng.uniform(*LONG_STREAM_S) / self._size, MAX_GAP_S)
        await self._send_head("text/event-stream")
        for number in range(self._last + 1, self._size + 1):
            data = self._make_event(number)
            if number == plan["break"]:
                await self._stop_inside(data)
                return False
            if number == plan["reset"]:
                self._note_break(f"reset before event {number}")
                self.connection.reset()
                return False
            if number == plan["garble"]:
                self._note_break(f"foreign bytes before event {number}")
                await self._put(rng.choice(tuple(_list_foreign(number))))
            await self._put(data)
            # Drawn in any case, so that other choices stay the same.
            is_pausing = rng.random() < EVENT_SILENCE_SHARE
            if is_pausing and self.choices.plan.has("silence"):
                self._note(f"silence after event {number}")
                await asyncio.sleep(rng.uniform(*SILENCE_S))
            await asyncio.sleep(gap_s)
        if not self._is_unframed:
            await self.connection.send(make_chunk(b""))
        return True

    def _plan_breaks(self) -> Mapping[str, int]:
        """Chooses at which events faults strike; 0 for never."""
        choices = self.choices
        struck = {
            name: choices.draw_fault(name)
            for name in ("break", "reset", "garble")
        }
        if self._is_unframed and choices.plan.has("peer"):
            struck["reset"] |= choices.rng.random() < PEER_RESET_SHARE
        if self._last >= self._size:
            return dict.fromkeys(struck, 0)
        return {
            name: choices.rng.randint(self._last + 1, self._size) * is_struck
            for name, is_struck in struck.items()
        }

    def _make_event(self, number: int) -> bytes:
        event = StreamEvent(
            self.request.target,
            self.connection.process.start.software,
            self._name,
            "." * self._padding,
            number,
        )
        data = event.encode()
        if self.choices.draw_fault("weights"):
            self._note(f"weights in event {number}")
            version = self.choices.rng.randint(1, 9)
            data = f"{wire.WEIGHT_VERSIONS}: {version}\n".encode() + data
        return data

    async def _stop_inside(self, data: bytes) -> None:
        """Breaks off inside an event or a body."""
        size = self.choices.rng.randint(1, len(data) - 1)
        is_reset = self.choices.rng.random() < 0.5
        self._note_break(f"break inside, {'reset' if is_reset else 'closed'},")
        await self._put(data[:size])
        if is_reset:
            self.connection.reset()

    async def _send_body(self) -> bool:
        rng = self.choices.rng
        path, size = self.request.target, self._size
        has_failed = self.choices.draw_fault("fail")
        is_reset = self.choices.draw_fault("reset")
        is_broken = self.choices.draw_fault("break")
        has_length = rng.random() < 0.5
        body = make_body(path, self._attempt, size)
        if has_failed:
            self._note("status 500")
            headers = self._list_headers(500)
            await self.connection.send(make_answer(500, b"failed", headers))
            return True
        if is_reset:
            self._note_break("reset without an answer")
            self.connection.reset()
            return False
        if has_length and not self._is_unframed:
            headers = self._list_headers(200)
            data = make_answer(200, body, headers)
            if is_broken:
                self._note_break("break inside a body with a length")
                data = data[:-1]
            await self.connection.send(data)
            return not is_broken
        await self._send_head("application/octet-stream")
        parts = max(1, len(body) // BODY_PART_BYTES)
        for begin in range(0, len(body), BODY_PART_BYTES):
            await self._put(body[begin : begin + BODY_PART_BYTES])
            if is_broken:
                # Without a length, only a reset tells that this isn't all.
                self._note_break("break inside a body")
                self.connection.reset()
                return False
            await asyncio.sleep(rng.uniform(0, MAX_CALL_S / parts))
        if not self._is_unframed:
            await self.connection.send(make_chunk(b""))
        return True

    async def _send_extra_answer(self) -> None:
        if self.choices.rng.random() < 0.5:
            await asyncio.sleep(self.choices.rng.uniform(0, 0.05))
        self._note("an extra answer")
        event = StreamEvent("/none/0/0/0", "none", "none", "", 1).encode()
        headers = (
            ("Content-Type", "text/event-stream"),
            *self._list_headers(200),
        )
        await self.connection.send(make_answer(200, event, headers))


def _list_foreign(number: int) -> Iterator[bytes]:
    """Yields bytes that are no event that is due."""
    yield b"data: zz\n\n"
    yield f"id: {number - 1}\ndata: zz\n\n".encode()
    yield f"id: {number + 1}\ndata: zz\n\n".encode()
    yield b"\xff" * 40
    yield b"HTTP/1.1 200 OK\r\n\r\n"
