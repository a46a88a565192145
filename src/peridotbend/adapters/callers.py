"""The HTTP interface for callers, as a plain ASGI application."""

import contextlib
import dataclasses
import hashlib
import json
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    MutableMapping,
)
from typing import Any, Protocol

import anyio
from result import Err, Result

from peridotbend.adapters.messages import explain_reason
from peridotbend.domain.events import Event
from peridotbend.domain.ports import AnswerHead, AnswerPart, EventLog
from peridotbend.domain.records import CallerCall
from peridotbend.domain.requests import Reservation
from peridotbend.domain.streams import is_event_stream
from peridotbend.domain.verdicts import (
    STATUS_BY_REASON,
    Completed,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

RESERVATIONS_PATH = "/v1/reservations"
REQUESTS_PATH = "/v1/requests/"
MAX_RESERVATION_BYTES = 4_096
BODY_TIMEOUT_S = 10.0
VERDICT_EVENT = "peridotbend-verdict"
# Headers that end here and are not passed to a target or to a caller.
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
_OWN_ANSWER_HEADERS = frozenset(
    {
        "content-length",
        "date",
        "engine-stream",
        "server",
        "transfer-encoding",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """Limits towards callers."""

    max_header_bytes: int = 16_384
    body_timeout_s: float = BODY_TIMEOUT_S


class CallerService(Protocol):
    """What the interface needs of the request service."""

    def find_account(self, bearer_sha256: str) -> str:
        """Returns the client account of a bearer key's digest."""
        ...

    def max_body_bytes(self, path: str) -> int:
        """Returns the largest body that any kind on this path accepts."""
        ...

    def reserve(
        self, account: str, service: str, kind_name: str
    ) -> Result[Reservation, Verdict]:
        """Mints an ID for one later call."""
        ...

    def serve(self, call: CallerCall) -> AsyncGenerator[AnswerPart]:
        """Serves a request."""
        ...

    def fetch(
        self, token: str, account: str, offset: int
    ) -> AsyncGenerator[AnswerPart]:
        """Yields the answer of an earlier request."""
        ...


class CallerApp:
    """ASGI application that callers talk to."""

    def __init__(
        self, service: CallerService, settings: CallerSettings, log: EventLog
    ):
        self._service = service
        self._settings = settings
        self._log = log

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one HTTP request."""
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        try:
            await self._route(exchange)
        except Exception as error:
            self._log.emit(
                Event.INTERNAL_ERROR,
                path=exchange.path,
                error=f"{type(error).__name__}: {error}",
            )
            if exchange.began:
                # The broken-off response tells the caller to ask again.
                raise
            await exchange.refuse(
                500,
                MayHaveRun(Reason.INTERNAL_ERROR),
                "An internal error; ask for the outcome by the request's ID.",
            )

    async def _route(self, exchange: "Exchange") -> None:
        if exchange.header_bytes > self._settings.max_header_bytes:
            limit = self._settings.max_header_bytes
            await exchange.refuse(
                431,
                NotRun(Reason.TOO_LARGE),
                f"The headers are larger than {limit} bytes; send fewer.",
            )
        elif exchange.path == RESERVATIONS_PATH:
            await self._reserve(exchange)
        elif exchange.path.startswith(REQUESTS_PATH):
            await self._fetch(exchange)
        else:
            await self._serve(exchange)

    def _find_account(self, exchange: "Exchange") -> str:
        scheme, _, key = exchange.headers.get("authorization", "").partition(
            " "
        )
        if scheme.lower() != "bearer" or not key:
            return self._service.find_account("")
        digest = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
        return self._service.find_account(digest)

    async def _reserve(self, exchange: "Exchange") -> None:
        if exchange.method != "POST":
            await exchange.refuse_verdict(NotRun(Reason.WRONG_METHOD))
            return
        body = await self._read_body(exchange, MAX_RESERVATION_BYTES)
        if body is None:
            return
        names = _parse_reservation(body)
        if names is None:
            await exchange.refuse(
                400,
                NotRun(Reason.BAD_INPUT),
                'The body must be JSON like {"service": "...", "kind": "..."}.',
            )
            return
        reserved = self._service.reserve(self._find_account(exchange), *names)
        if isinstance(reserved, Err):
            await exchange.refuse_verdict(reserved.err_value)
            return
        reservation = reserved.ok_value
        await exchange.send_json(
            201,
            {
                "id": reservation.token,
                "expires_in_ms": reservation.expires_in_ms,
            },
            [("Peridotbend-Request", reservation.token)],
        )

    async def _fetch(self, exchange: "Exchange") -> None:
        if exchange.method != "GET":
            await exchange.refuse_verdict(NotRun(Reason.WRONG_METHOD))
            return
        offset = exchange.query_int("offset")
        if offset is None:
            await exchange.refuse(
                400,
                NotRun(Reason.BAD_INPUT),
                "The offset must be a whole number of bytes, 0 or more.",
            )
            return
        token = exchange.path.removeprefix(REQUESTS_PATH)
        parts = self._service.fetch(token, self._find_account(exchange), offset)
        await exchange.send_answer(parts, token)

    async def _serve(self, exchange: "Exchange") -> None:
        limit = self._service.max_body_bytes(exchange.path)
        body = await self._read_body(exchange, limit or MAX_RESERVATION_BYTES)
        if body is None:
            return
        deadline_ms = exchange.header_int("peridotbend-deadline-ms")
        if deadline_ms is None:
            await exchange.refuse(
                400,
                NotRun(Reason.BAD_INPUT),
                "Peridotbend-Deadline-Ms must be a whole number above 0.",
            )
            return
        call = CallerCall(
            self._find_account(exchange),
            exchange.method,
            exchange.path_and_query,
            exchange.forwarded_headers(),
            body,
            exchange.headers.get("idempotency-key", ""),
            deadline_ms,
        )
        await exchange.send_answer(self._service.serve(call), call.key)

    async def _read_body(
        self, exchange: "Exchange", limit: int
    ) -> bytes | None:
        """Returns the body, or None when a refusal was sent."""
        with anyio.move_on_after(self._settings.body_timeout_s):
            body = await exchange.read_body(limit)
            if body is None and not exchange.caller_gone:
                await exchange.refuse(
                    413,
                    NotRun(Reason.TOO_LARGE),
                    f"The body is larger than {limit} bytes.",
                )
            return body
        await exchange.refuse(
            408,
            NotRun(Reason.BAD_INPUT),
            "The body did not arrive in time; send it faster.",
        )
        return None


class Exchange:
    """One HTTP request of a caller and the answer to it."""

    def __init__(self, scope: Scope, receive: Receive, send: Send):
        self._scope = scope
        self._receive = receive
        self._send = send
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.caller_gone = False
        # True once the status line was sent.
        self.began = False
        raw: list[tuple[bytes, bytes]] = list(scope["headers"])
        self.header_bytes = sum(len(n) + len(v) + 4 for n, v in raw)
        self._raw_headers = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in raw
        ]
        self.headers = dict(self._raw_headers)

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
            for item in self._raw_headers
            if item[0] not in _OWN_REQUEST_HEADERS
        )

    def query_int(self, name: str) -> int | None:
        """Returns a number of the query string, 0 without, None when bad."""
        query: str = self._scope["query_string"].decode("latin-1")
        for item in query.split("&"):
            key, _, value = item.partition("=")
            if key == name:
                return int(value) if _is_number(value) else None
        return 0

    def header_int(self, name: str) -> int | None:
        """Returns a number of a header, 0 without, None when bad."""
        value = self.headers.get(name)
        if value is None:
            return 0
        return int(value) if _is_number(value) and int(value) > 0 else None

    async def read_body(self, limit: int) -> bytes | None:
        """Returns the body, or None when it is too large or the caller left."""
        declared = self.headers.get("content-length", "0")
        if _is_number(declared) and int(declared) > limit:
            return None
        body = bytearray()
        while True:
            message = await self._receive()
            if message["type"] != "http.request":
                self.caller_gone = True
                return None
            body += message.get("body", b"")
            if len(body) > limit:
                return None
            if not message.get("more_body", False):
                return bytes(body)

    async def send_answer(
        self, parts: AsyncGenerator[AnswerPart], token: str
    ) -> None:
        """Sends an answer and stops when the caller has gone."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_caller, tasks.cancel_scope)
            async with contextlib.aclosing(parts):
                await self._send_parts(parts, token)
            tasks.cancel_scope.cancel()

    async def _watch_caller(self, scope: anyio.CancelScope) -> None:
        """Cancels the sending of an answer that nobody reads any more."""
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self.caller_gone = True
        scope.cancel()

    async def _send_parts(
        self, parts: AsyncIterator[AnswerPart], token: str
    ) -> None:
        """Streams event streams; sends any other answer whole."""
        head: AnswerHead | None = None
        collected = bytearray()
        streaming = False
        async for part in parts:
            token = part.request_id or token
            if part.head is not None:
                head = part.head
                streaming = is_event_stream(head)
                if streaming:
                    await self._begin(head.status, _stream_headers(head, token))
            if streaming:
                await self._send_stream_part(part)
            else:
                collected += part.data
            if part.verdict is None:
                continue
            if not streaming:
                await self._send_whole(head, part.verdict, collected, token)

    async def _send_stream_part(self, part: AnswerPart) -> None:
        data = part.data
        if part.verdict is not None:
            data += _format_verdict_event(part.verdict)
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
        token: str,
    ) -> None:
        if head is None or not isinstance(verdict, Completed):
            await self.refuse_verdict(verdict, token)
            return
        headers = [
            *_answer_headers(head),
            ("Peridotbend-Request", token),
            ("Peridotbend-Verdict", verdict.label),
            ("Content-Length", str(len(data))),
        ]
        await self._begin(head.status, headers)
        await self._send({"type": "http.response.body", "body": bytes(data)})

    async def refuse_verdict(self, verdict: Verdict, token: str = "") -> None:
        """Sends the refusal that belongs to a verdict."""
        if isinstance(verdict, Completed):
            # Only an answer without a head gets here.
            await self.refuse(502, verdict, "The target gave no answer.", token)
            return
        status = STATUS_BY_REASON[verdict.reason]
        await self.refuse(
            status, verdict, explain_reason(verdict.reason), token
        )

    async def refuse(
        self, status: int, verdict: Verdict, message: str, token: str = ""
    ) -> None:
        """Sends an error with its verdict."""
        reason = getattr(verdict, "reason", None)
        retry_after_ms = getattr(verdict, "retry_after_ms", 0)
        headers = [("Peridotbend-Verdict", verdict.label)]
        if token:
            headers.append(("Peridotbend-Request", token))
        if retry_after_ms or status in (429, 503):
            seconds = max(1, -(-retry_after_ms // 1000))
            headers.append(("Retry-After", str(seconds)))
        error = {
            "code": reason.value if reason else "no-answer",
            "message": message,
            "verdict": verdict.label,
            "request": token or None,
            "retry_after_ms": retry_after_ms,
        }
        await self.send_json(status, {"error": error}, headers)

    async def send_json(
        self, status: int, document: object, headers: list[tuple[str, str]]
    ) -> None:
        """Sends a JSON document."""
        body = json.dumps(document).encode()
        await self._begin(
            status,
            [
                *headers,
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        await self._send({"type": "http.response.body", "body": body})

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


def _parse_reservation(body: bytes) -> tuple[str, str] | None:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(document, dict):
        return None
    service, kind = document.get("service"), document.get("kind")
    if isinstance(service, str) and isinstance(kind, str):
        return service, kind
    return None


def _answer_headers(head: AnswerHead) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in head.headers
        if name.lower() not in _OWN_ANSWER_HEADERS
    ]


def _stream_headers(head: AnswerHead, token: str) -> list[tuple[str, str]]:
    return [
        *_answer_headers(head),
        ("Peridotbend-Request", token),
        ("Cache-Control", "no-store"),
    ]


def _format_verdict_event(verdict: Verdict) -> bytes:
    reason = getattr(verdict, "reason", None)
    document = {
        "verdict": verdict.label,
        "code": reason.value if reason else "ok",
    }
    return f"event: {VERDICT_EVENT}\ndata: {json.dumps(document)}\n\n".encode()


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 16
