"""One HTTP exchange with a caller, over ASGI."""

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
from peridotbend.adapters.messages import explain_reason
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

# How long a refused body is read and dropped. Closing at once would reset the
# connection, and the caller could lose the refusal with it.
LINGERING_CLOSE_S = 1.0
CAPACITY_RETRY_MS = 1_000
# Larger numbers than this mean the same as this.
MAX_NUMBER = 10**15
# Headers that end here and are not passed to a target.
_OWN_REQUEST_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "peridotbend-deadline-ms",
        "peridotbend-request",
    }
)


class Exchange:
    """One HTTP request of a caller and the answer to it."""

    def __init__(self, scope: Scope, receive: Receive, send: Send):
        self._scope = scope
        self._receive = receive
        self._send = send
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        # The ID of the request, once it is known.
        self.token = ""
        # True once the status line was sent.
        self.began = False
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
        """Whether the process has more connections than it should."""
        return bool(self._scope.get("state", {}).get("over_limit"))

    @property
    def path_and_query(self) -> str:
        """The path as it was sent, with the query string."""
        path: bytes = self._scope.get("raw_path") or self.path.encode()
        query: bytes = self._scope["query_string"]
        return (path + b"?" + query if query else path).decode("latin-1")

    def forwarded_headers(self) -> tuple[tuple[str, str], ...]:
        """Returns the headers that go on to a target."""
        return tuple(
            item
            for item in self.raw_headers
            if item[0] not in _OWN_REQUEST_HEADERS
        )

    def query_int(self, name: str) -> int | None:
        """Returns a number of the query string, 0 without, None when bad."""
        query: str = self._scope["query_string"].decode("latin-1")
        for item in query.split("&"):
            key, _, value = item.partition("=")
            if key == name:
                return _parse_number(value)
        return 0

    def header_int(self, name: str) -> int | None:
        """Returns a number of a header, 0 without, None when bad."""
        value = self.headers.get(name)
        return 0 if value is None else _parse_number(value) or None

    async def read_body(
        self, limit: int, budget: ByteBudget
    ) -> Result[bytes, NotRun] | None:
        """Returns the body or a refusal, or None when the caller left.

        What arrives is taken from the budget; the caller of this method gives
        it back. A declared length takes nothing yet, or callers could use up
        the budget without sending a byte.
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
        """Sends an answer and stops when the caller has gone."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_caller, tasks.cancel_scope)
            async with contextlib.aclosing(parts):
                await self._send_parts(parts)
            tasks.cancel_scope.cancel()

    async def _watch_caller(self, scope: anyio.CancelScope) -> None:
        """Cancels the sending of an answer that nobody reads any more."""
        while (await self._receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def _send_parts(self, parts: AsyncIterator[AnswerPart]) -> None:
        """Streams event streams; sends any other answer whole."""
        head: AnswerHead | None = None
        collected = bytearray()
        streaming = False
        async for part in parts:
            self.token = part.request_id or self.token
            if part.head is not None:
                head = part.head
                streaming = is_event_stream(head)
                if streaming:
                    await self._begin(
                        answerheads.find_status(head),
                        answerheads.list_stream_headers(head, self.token),
                    )
            if streaming:
                await self._send_stream_part(part)
            else:
                collected += part.data
                if part.verdict is not None:
                    await self._send_whole(head, part.verdict, collected)

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

    async def _send_whole(
        self,
        head: AnswerHead | None,
        verdict: Verdict,
        data: bytes | bytearray,
    ) -> None:
        is_whole = isinstance(verdict, Completed) and verdict.reason is None
        if head is None or not is_whole:
            await self.refuse(verdict)
            return
        headers = [
            *answerheads.list_headers(head, self.token),
            ("Peridotbend-Verdict", verdict.label),
            ("Content-Length", str(len(data))),
        ]
        await self._begin(answerheads.find_status(head), headers)
        await self._send({"type": "http.response.body", "body": bytes(data)})

    async def refuse(
        self,
        verdict: Verdict,
        message: str = "",
        status: int = 0,
        allow: str = "",
    ) -> None:
        """Sends an error with its verdict.

        Args:
            verdict: its reason gives the code and the defaults.
            message: what was wrong and what to do.
            status: of HTTP.
            allow: the methods to name in a refusal with 405.
        """
        reason = verdict.reason
        if reason is None:
            # The target completed and gave no head, so nothing can be sent.
            status, code, text = 502, "no-answer", "The target gave no answer."
        else:
            status = status or STATUS_BY_REASON[reason]
            code, text = reason.value, message or explain_reason(reason)
        retry_after_ms = getattr(verdict, "retry_after_ms", 0)
        headers = [("Peridotbend-Verdict", verdict.label)]
        if self.token:
            headers.append(("Peridotbend-Request", self.token))
        if allow:
            headers.append(("Allow", allow))
        if retry_after_ms or status in (429, 503):
            seconds = max(1, -(-retry_after_ms // 1000))
            headers.append(("Retry-After", str(seconds)))
        error = {
            "code": code,
            "message": text,
            "verdict": verdict.label,
            "request": self.token or None,
            "retry_after_ms": retry_after_ms,
        }
        await self.send_json(status, {"error": error}, headers)

    async def send_json(
        self, status: int, document: object, headers: list[tuple[str, str]]
    ) -> None:
        """Sends a JSON document."""
        body = json.dumps(document).encode()
        close = self._body_pending or self.over_limit
        await self._begin(
            status,
            [
                *headers,
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                *([("Connection", "close")] if close else []),
            ],
        )
        message = {"type": "http.response.body", "body": body}
        if self._body_pending:
            await self._send({**message, "more_body": True})
            await self._drop_body()
            message["body"] = b""
        await self._send(message)

    async def _drop_body(self) -> None:
        with anyio.move_on_after(LINGERING_CLOSE_S):
            while self._body_pending:
                received = await self._receive()
                self._body_pending = received.get("more_body", False)

    async def _begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.began = True
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
    return int(digits) if len(digits) < 16 else MAX_NUMBER
