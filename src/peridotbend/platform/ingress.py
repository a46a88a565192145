"""ASGI applications for callers and for the platform's readiness check."""

import dataclasses
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio

from peridotbend.adapters.asgi import (
    Send,
    find_connection_options,
    find_target,
    respond,
)
from peridotbend.adapters.bodyintake import BodyIntake, IncomingBody
from peridotbend.domain.answers import ByteBudget
from peridotbend.domain.clock import SystemClock
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
from peridotbend.platform.fields import MAX_NUMBER

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]

# Hop-by-hop headers, and Content-Length, since the framing is created anew for
# the target.
_CONNECTION_HEADERS = frozenset((
    "connection", "content-length", "expect", "http2-settings", "keep-alive",
    "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
    "trailer", "transfer-encoding", "upgrade",
))  # fmt: skip
# Decoded into fields of the call, from which each send sets its own headers.
_DECODED_HEADERS = frozenset((wire.ATTEMPT_ID, wire.LAST_EVENT_ID))
# Headers that are not forwarded. The key in Authorization is for this system
# only.
_DROPPED_HEADERS = (
    _CONNECTION_HEADERS
    | _DECODED_HEADERS
    | wire.SYSTEM_HEADERS
    | {"authorization"}
)
_KEY_SCHEME = "token "
# Limits on the total size of all request bodies: bytes, and a share of the
# memory for callers. With three quarters, bodies of 600 callers took up 137 MB
# beyond the process at rest where 48 MB were reserved, as each part is copied.
MAX_BODIES_BYTES = 48 * 1_048_576
MAX_BODIES_SHARE = 0.5
# For bodies of requests that no route gives a time.
DEFAULT_BODY_TIMEOUT_MS = 10_000
# Used for refusals that specify no Retry-After of their own.
DEFAULT_RETRY_AFTER_MS = 1_000
# More tokens than any prompt or answer has.
MAX_TOKENS = 2**31 - 1


class CallerGoneError(Exception):
    """The caller closed its connection."""


class EdgeApp:
    """ASGI application for callers."""

    def __init__(
        self,
        relay: Relay,
        find_body_limit: Callable[[], int],
        memory: ByteBudget | None = None,
    ):
        self._relay = relay
        self._find_body_limit = find_body_limit
        self._clock = SystemClock()
        limit_bytes = MAX_BODIES_BYTES
        if memory is not None:
            share_bytes = int(MAX_BODIES_SHARE * memory.limit_bytes)
            limit_bytes = min(limit_bytes, share_bytes)
        self._intake = BodyIntake(limit_bytes, self._clock, memory)
        # Set when shutdown begins; answers then close their connections.
        self.is_closing = False
        # Set when what comes now could not be completed any more.
        self.is_refusing = False
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
        responder = AsgiResponder(send, self)
        incoming = IncomingBody(self._intake, self._find_body_limit())
        begun_ms = self._clock.now_ms()
        try:
            body = await self._read_body(scope, receive, incoming)
            if isinstance(body, NotRun):
                await responder.refuse(body)
            elif self.is_refusing:
                await responder.refuse(NotRun(Reason.DRAINING))
            else:
                call = decode_call(scope, body)
                if call is not None and call.deadline_ms is not None:
                    # It counts from the request, not from the end of its body.
                    left_ms = begun_ms + call.deadline_ms - self._clock.now_ms()
                    call = dataclasses.replace(
                        call, deadline_ms=max(0, left_ms)
                    )
                await self._answer(call, receive, responder)
        except CallerGoneError:
            return
        finally:
            incoming.release()

    async def _read_body(
        self, scope: Scope, receive: Receive, incoming: IncomingBody
    ) -> bytes | NotRun:
        """Returns the body, or a refusal if it takes too long or much."""
        with anyio.move_on_after(self._find_body_time_s(scope)):
            return await incoming.collect(lambda: _read_part(receive))
        return NotRun(Reason.DEADLINE)

    def _find_body_time_s(self, scope: Scope) -> float:
        """Returns the time limit of a request, which its body has to keep."""
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        host = headers.get("host", "").partition(":")[0]
        path = scope["raw_path"].decode("latin-1")
        limit_ms = self._relay.find_time_limit_ms(host, path)
        if limit_ms is None:
            limit_ms = DEFAULT_BODY_TIMEOUT_MS
        stated_ms = _parse_deadline(headers)
        if stated_ms is not None:
            limit_ms = min(limit_ms, stated_ms)
        return limit_ms / 1_000

    async def _answer(
        self,
        call: EdgeCall | None,
        receive: Receive,
        responder: "AsgiResponder",
    ) -> None:
        if call is None:
            await responder.refuse(NotRun(Reason.BAD_INPUT))
            return

        async def watch_caller() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(watch_caller)
                await self._relay.serve(call, responder)
                group.cancel_scope.cancel()
        except* AnswerBrokenError:
            # uvicorn closes the connection of an answer that has begun and
            # whose application ends without its last part.
            pass


class AsgiResponder:
    """Writes the answer to one call."""

    def __init__(self, send: Send, app: EdgeApp):
        self._send = send
        self._app = app
        self.is_finished = False

    async def start(self, head: AnswerHead) -> None:
        """Sends the status and headers of the answer of a target."""
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
        """Sends a refusal by this process."""
        status, retry_after_ms = map_verdict_to_status(verdict)
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


def map_verdict_to_status(verdict: Verdict) -> tuple[int, int]:
    """Returns the HTTP status and Retry-After in ms of a refusal.

    The platform's callers take 429 and 503 as a guarantee that the request
    has not run and never will; 502 and 504 guarantee nothing.
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
    """Decodes a call; returns None if the attempt ID is missing."""
    raw = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]
    headers = dict(raw)
    attempt = headers.get(wire.ATTEMPT_ID, "")
    if not attempt:
        return None
    authorization = headers.get("authorization", "")
    has_key = authorization.lower().startswith(_KEY_SCHEME)
    tokens = _parse_token_counts(headers.get(wire.TOKEN_COUNT, ""))
    parts = _parse_prompt_parts(headers.get(wire.PROMPT_PREFIX, ""))
    return EdgeCall(
        attempt=attempt,
        method=scope["method"],
        host=headers.get("host", "").partition(":")[0],
        path=find_target(scope),
        headers=_select_headers(raw),
        body=body,
        key=authorization[len(_KEY_SCHEME) :].strip() if has_key else "",
        deadline_ms=_parse_deadline(headers),
        prompt_tokens=tokens[0] if tokens else None,
        max_output_tokens=tokens[1] if tokens else 0,
        session=parts[-1],
        shared_parts=tuple(parts[:-1]),
        last_event_id=headers.get(wire.LAST_EVENT_ID, ""),
        resumes=headers.get(wire.RESUMES, ""),
    )


def _select_headers(
    raw: list[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that are forwarded to a target."""
    connection_options = find_connection_options(raw)
    # Targets need Host, even if Connection lists it as hop-by-hop.
    connection_options.discard("host")
    return tuple(
        (name, value)
        for name, value in raw
        if name not in _DROPPED_HEADERS and name not in connection_options
    )


async def _read_part(receive: Receive) -> tuple[bytes, bool]:
    """Returns the next part of a body, and whether there are more."""
    message = await receive()
    if message["type"] == "http.disconnect":
        raise CallerGoneError
    return message.get("body", b""), bool(message.get("more_body"))


def _parse_prompt_parts(prefix: str) -> list[str]:
    """Returns the IDs of a prompt prefix in the form ID:TOKENS,..."""
    return [part.partition(":")[0].strip() for part in prefix.split(",")]


def _parse_token_counts(text: str) -> tuple[int, int] | None:
    first, _, second = text.partition(",")
    prompt = _parse_number(first, MAX_TOKENS)
    output = _parse_number(second, MAX_TOKENS)
    if prompt is None or output is None:
        return None
    return prompt, output


def _parse_deadline(headers: Mapping[str, str]) -> int | None:
    return _parse_number(headers.get(wire.DEADLINE_MS, ""), MAX_NUMBER)


def _parse_number(text: str, maximum: int) -> int | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return round(number) if 0 <= number <= maximum else None


class HealthApp:
    """ASGI application for the platform's readiness check."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers 200 while callers may connect, otherwise 503."""
        if scope["type"] != "http":
            return
        status = 404
        if scope["path"] == wire.READY_PATH:
            status = 200 if self._is_ready() else 503
        await respond(send, status, [(b"content-length", b"0")], b"")
