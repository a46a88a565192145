"""An HTTP request of a caller and the response to it, over ASGI."""

import contextlib
import json
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    MutableMapping,
)
from typing import Any

import anyio
from result import Err, Ok, Result

from peridotbend.adapters import answerheads
from peridotbend.adapters.asgi import find_connection_options, find_target
from peridotbend.adapters.messages import explain_reason
from peridotbend.adapters.refusingconnections import LINGERING_CLOSE_S
from peridotbend.domain.answers import ByteBudget
from peridotbend.domain.ports import AnswerHead, AnswerPart
from peridotbend.domain.streams import is_event_stream
from peridotbend.domain.verdicts import (
    STATUS_BY_REASON,
    Completed,
    NotRun,
    Reason,
    Verdict,
)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

CAPACITY_RETRY_MS = 1_000
# Numbers with more than 15 digits are parsed as this value.
MAX_PARSED_NUMBER = 10**15
# Request headers that this process consumes instead of forwarding them.
_CONSUMED_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "expect",
        "host",
        "http2-settings",
        "idempotency-key",
        "peridotbend-deadline-ms",
        "peridotbend-request",
    }
)


class Exchange:
    """One HTTP request of a caller and the response to it."""

    def __init__(self, scope: Scope, receive: Receive, send: Send):
        self._scope = scope
        self._receive = receive
        self._send = send
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        # Empty until it is known.
        self.request_id = ""
        self.response_started = False
        raw: list[tuple[bytes, bytes]] = list(scope["headers"])
        self.header_bytes = sum(len(n) + len(v) + 4 for n, v in raw)
        self.raw_headers = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in raw
        ]
        self.headers = dict(self.raw_headers)
        self._body_pending = (
            self.headers.get("content-length", "0") != "0"
            or "transfer-encoding" in self.headers
        )

    @property
    def over_limit(self) -> bool:
        """Whether this connection exceeds the limit on connections."""
        return bool(self._scope.get("state", {}).get("over_limit"))

    @property
    def path_and_query(self) -> str:
        """The path as received, not unquoted, with the query string."""
        return find_target(self._scope)

    def forwarded_headers(self) -> tuple[tuple[str, str], ...]:
        """Returns the headers to forward to a target."""
        dropped = _CONSUMED_HEADERS | find_connection_options(self.raw_headers)
        return tuple(i for i in self.raw_headers if i[0] not in dropped)

    def query_int(self, name: str) -> int | None:
        """Returns a query parameter; 0 if it is absent, None if invalid."""
        query: str = self._scope["query_string"].decode("latin-1")
        for item in query.split("&"):
            key, _, value = item.partition("=")
            if key == name:
                return _parse_number(value)
        return 0

    def header_int(self, name: str) -> int | None:
        """Returns a header's value; 0 if it is absent, None if invalid or 0."""
        value = self.headers.get(name)
        return 0 if value is None else _parse_number(value) or None

    async def read_body(
        self, limit: int, budget: ByteBudget
    ) -> Result[bytes, NotRun] | None:
        """Returns the body or a refusal, or None if the caller disconnected.

        Bytes are reserved from the budget as they arrive, and whoever calls
        this method must release them. The declared length reserves nothing,
        since callers could otherwise exhaust the budget without sending a
        byte.
        """
        declared = _parse_number(self.headers.get("content-length", "0"))
        if declared is None or declared > limit:
            return Err(NotRun(Reason.TOO_LARGE))
        body = bytearray()
        while True:
            message = await self._receive()
            if message["type"] != "http.request":
                return None
            self._body_pending = message.get("more_body", False)
            data = message.get("body", b"")
            if len(body) + len(data) > limit:
                return Err(NotRun(Reason.TOO_LARGE))
            if not budget.reserve(len(data)):
                return Err(NotRun(Reason.AT_CAPACITY, CAPACITY_RETRY_MS))
            body += data
            if not self._body_pending:
                return Ok(bytes(body))

    async def send_answer(self, parts: AsyncGenerator[AnswerPart]) -> None:
        """Sends an answer, or stops early if the caller disconnects."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_disconnect, tasks.cancel_scope)
            async with contextlib.aclosing(parts):
                await self._send_parts(parts)
            tasks.cancel_scope.cancel()

    async def _cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancels the scope when the caller disconnects."""
        while (await self._receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def _send_parts(self, parts: AsyncIterator[AnswerPart]) -> None:
        """Sends event streams as they arrive, other answers once complete."""
        head: AnswerHead | None = None
        collected = bytearray()
        streaming = False
        async for part in parts:
            self.request_id = part.request_id or self.request_id
            if part.head is not None:
                head = part.head
                streaming = is_event_stream(head)
                if streaming:
                    await self._start_response(
                        answerheads.find_status(head),
                        answerheads.list_stream_headers(head, self.request_id),
                    )
            if streaming:
                await self._send_stream_part(part)
            else:
                collected += part.data
                if part.verdict is not None:
                    await self._send_buffered(head, part.verdict, collected)

    async def _send_stream_part(self, part: AnswerPart) -> None:
        data = part.data
        if part.verdict is not None:
            data += answerheads.format_verdict_event(part.verdict)
        await self._send(
            {
                "type": "http.response.body",
                "body": data,
                "more_body": part.verdict is None,
            }
        )

    async def _send_buffered(
        self,
        head: AnswerHead | None,
        verdict: Verdict,
        data: bytes | bytearray,
    ) -> None:
        is_complete = isinstance(verdict, Completed) and verdict.reason is None
        if head is None or not is_complete:
            await self.refuse(verdict)
            return
        headers = [
            *answerheads.list_headers(head, self.request_id),
            ("Peridotbend-Verdict", verdict.label),
            ("Content-Length", str(len(data))),
        ]
        await self._start_response(answerheads.find_status(head), headers)
        await self._send({"type": "http.response.body", "body": bytes(data)})

    async def refuse(
        self,
        verdict: Verdict,
        message: str = "",
        status: int = 0,
        allow: str = "",
    ) -> None:
        """Sends an error response.

        Args:
            verdict: its reason determines the error code and the defaults.
            message: what is wrong and how to correct it.
            status: the HTTP status; 0 uses the one of the reason.
            allow: the value of the Allow header of a 405 response.
        """
        reason = verdict.reason
        if reason is None:
            # The target completed without a response head, so there is no
            # status to send.
            status, code, text = 502, "no-answer", "The target gave no answer."
        else:
            status = status or STATUS_BY_REASON[reason]
            code, text = reason.value, message or explain_reason(reason)
        retry_after_ms = getattr(verdict, "retry_after_ms", 0)
        headers = [("Peridotbend-Verdict", verdict.label)]
        if self.request_id:
            headers.append(("Peridotbend-Request", self.request_id))
        if allow:
            headers.append(("Allow", allow))
        if retry_after_ms or status in (429, 503):
            seconds = max(1, -(-retry_after_ms // 1000))
            headers.append(("Retry-After", str(seconds)))
        error = {
            "code": code,
            "message": text,
            "verdict": verdict.label,
            "request": self.request_id or None,
            "retry_after_ms": retry_after_ms,
        }
        await self.send_json(status, {"error": error}, headers)

    async def send_json(
        self, status: int, document: object, headers: list[tuple[str, str]]
    ) -> None:
        """Sends a JSON document."""
        body = json.dumps(document).encode()
        close_connection = self._body_pending or self.over_limit
        await self._start_response(
            status,
            [
                *headers,
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                *([("Connection", "close")] if close_connection else []),
            ],
        )
        message = {"type": "http.response.body", "body": body}
        if self._body_pending:
            await self._send({**message, "more_body": True})
            await self._discard_body()
            message["body"] = b""
        await self._send(message)

    async def _discard_body(self) -> None:
        with anyio.move_on_after(LINGERING_CLOSE_S):
            while self._body_pending:
                received = await self._receive()
                self._body_pending = received.get("more_body", False)

    async def _start_response(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        self.response_started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (name.lower().encode("latin-1"), value.encode("latin-1"))
                    for name, value in headers
                ],
            }
        )


def _parse_number(text: str) -> int | None:
    if not text.isascii() or not text.isdigit():
        return None
    digits = text.lstrip("0") or "0"
    return int(digits) if len(digits) < 16 else MAX_PARSED_NUMBER
