"""Serves callers: their headers to a call, and a verdict to a status."""

import math
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from peridotbend.adapters.asgi import Send, respond
from peridotbend.domain.answers import ByteBudget, SubBudget
from peridotbend.domain.ports import AnswerHead
from peridotbend.domain.verdicts import (
    STATUS_BY_REASON,
    NotRun,
    Reason,
    Verdict,
)
from peridotbend.edge.ports import AnswerBrokenError, EdgeCall
from peridotbend.edge.relay import Relay
from peridotbend.platform import wire

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]

# Headers that concern one connection, and the framing that is made anew.
_CONNECTION_HEADERS = frozenset((
    "connection", "content-length", "expect", "keep-alive",
    "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
    "trailer", "transfer-encoding", "upgrade",
))  # fmt: skip
# Read into fields of the call, which the sends are made from.
_DECODED_HEADERS = frozenset((wire.ATTEMPT_ID, wire.LAST_EVENT_ID))
# The key is for this system only.
_DROPPED_HEADERS = (
    _CONNECTION_HEADERS
    | _DECODED_HEADERS
    | wire.SYSTEM_HEADERS
    | {"authorization"}
)
_KEY_SCHEME = "token "
# All bodies together; the smallest machines have 150 MB.
MAX_BODIES_BYTES = 48 * 1_048_576
# Used where a request that has not run gets no better advice.
DEFAULT_RETRY_AFTER_MS = 1_000


class CallerGoneError(Exception):
    """The caller closed its connection."""


class EdgeApp:
    """ASGI application for callers."""

    def __init__(self, relay: Relay, find_body_limit: Callable[[], int]):
        self._relay = relay
        self._find_body_limit = find_body_limit
        self._bodies = ByteBudget(MAX_BODIES_BYTES)
        # Set when the process ends: answers then close their connections.
        self.is_closing = False
        self.active = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        self.active += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.active -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        out = AsgiResponder(send, self)
        taken = BodyBytes(self._bodies, self._find_body_limit())
        try:
            body = await _read_body(receive, taken)
            if isinstance(body, NotRun):
                await out.refuse(body)
            else:
                await self._answer(scope, body, receive, out)
        except CallerGoneError:
            return
        finally:
            taken.release()

    async def _answer(
        self, scope: Scope, body: bytes, receive: Receive, out: "AsgiResponder"
    ) -> None:
        call = decode_call(scope, body)
        if call is None:
            await out.refuse(NotRun(Reason.BAD_INPUT))
            return

        async def watch_caller() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(watch_caller)
                await self._relay.serve(call, out)
                group.cancel_scope.cancel()
        except* AnswerBrokenError:
            # uvicorn closes the connection of an answer that has begun and
            # whose application ends without its last part.
            pass


class AsgiResponder:
    """Writes one answer."""

    def __init__(self, send: Send, app: EdgeApp):
        self._send = send
        self._app = app
        self.is_finished = False

    async def start(self, head: AnswerHead) -> None:
        """Sends the status and headers of a target."""
        headers = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in head.headers
        ]
        await self._start(head.status, headers)

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """Ends the body."""
        self.is_finished = True
        await self._send({"type": "http.response.body", "body": b""})

    async def refuse(self, verdict: Verdict) -> None:
        """Sends an answer of this process."""
        status, retry_after_ms = judge_status(verdict)
        headers = [(b"content-length", b"0")]
        if retry_after_ms:
            seconds = f"{retry_after_ms / 1_000:.3f}"
            headers.append((b"retry-after", seconds.encode()))
        await self._start(status, headers)
        await self.finish()

    async def _start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        if self._app.is_closing:
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )


def judge_status(verdict: Verdict) -> tuple[int, int]:
    """Returns the status and Retry-After in ms of a refusal.

    The platform's callers take 429 and 503 as a promise that the request has
    not run and never will; 502 and 504 promise nothing.
    """
    assert verdict.reason is not None
    status = STATUS_BY_REASON[verdict.reason]
    if not isinstance(verdict, NotRun):
        return (status if status in (502, 504) else 502), 0
    if verdict.reason is Reason.DEADLINE:
        status = 503
    if status not in (429, 503):
        return status, 0
    return status, verdict.retry_after_ms or DEFAULT_RETRY_AFTER_MS


def decode_call(scope: Scope, body: bytes) -> EdgeCall | None:
    """Returns the call, or None if it does not name its attempt."""
    raw = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]
    table = dict(raw)
    attempt = table.get(wire.ATTEMPT_ID, "")
    if not attempt:
        return None
    path = scope["raw_path"].decode("latin-1")
    if scope["query_string"]:
        path = f"{path}?{scope['query_string'].decode('latin-1')}"
    key = table.get("authorization", "")
    has_key = key.lower().startswith(_KEY_SCHEME)
    tokens = _read_pair(table.get(wire.TOKEN_COUNT, ""))
    return EdgeCall(
        attempt=attempt,
        method=scope["method"],
        host=table.get("host", "").partition(":")[0],
        path=path,
        headers=_select_headers(raw),
        body=body,
        key=key[len(_KEY_SCHEME) :].strip() if has_key else "",
        deadline_ms=_read_number(table.get(wire.DEADLINE_MS, "")),
        prompt_tokens=tokens[0] if tokens else None,
        max_output_tokens=tokens[1] if tokens else 0,
        session=_read_session(table.get(wire.PROMPT_PREFIX, "")),
        last_event_id=table.get(wire.LAST_EVENT_ID, ""),
    )


def _select_headers(
    raw: list[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that go on to a target."""
    named = {
        part.strip().lower()
        for name, value in raw
        if name == "connection"
        for part in value.split(",")
    }
    # Targets need to know the host whatever a caller says of it.
    named.discard("host")
    return tuple(
        (name, value)
        for name, value in raw
        if name not in _DROPPED_HEADERS and name not in named
    )


class BodyBytes:
    """The memory that one body takes."""

    def __init__(self, budget: ByteBudget, limit_bytes: int):
        self._part = SubBudget(budget, limit_bytes)

    def take(self, size: int) -> NotRun | None:
        """Takes memory for a part of the body, or tells why not."""
        if self._part.used_bytes + size > self._part.limit_bytes:
            return NotRun(Reason.TOO_LARGE)
        if not self._part.reserve(size):
            return NotRun(Reason.AT_CAPACITY)
        return None

    def release(self) -> None:
        """Gives the memory back."""
        self._part.release(self._part.used_bytes)


async def _read_body(receive: Receive, taken: BodyBytes) -> bytes | NotRun:
    """Returns the body, or a refusal if there is no room for it."""
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        parts.append(message.get("body", b""))
        refusal = taken.take(len(parts[-1]))
        if refusal is not None:
            return refusal
        if not message.get("more_body"):
            return b"".join(parts)


def _read_session(prefix: str) -> str:
    """Returns the ID of the last part of a prompt, as ID:TOKENS,..."""
    return prefix.rpartition(",")[2].partition(":")[0].strip()


def _read_pair(text: str) -> tuple[int, int] | None:
    first, _, second = text.partition(",")
    numbers = _read_number(first), _read_number(second)
    if numbers[0] is None or numbers[1] is None:
        return None
    return numbers[0], numbers[1]


def _read_number(text: str) -> int | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return round(number) if math.isfinite(number) and number >= 0 else None


class HealthApp:
    """ASGI application for the platform's check."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers 200 while callers may come."""
        if scope["type"] != "http":
            return
        status = 404
        if scope["path"] == wire.READY_PATH:
            status = 200 if self._is_ready() else 503
        await respond(send, status, [(b"content-length", b"0")], b"")
