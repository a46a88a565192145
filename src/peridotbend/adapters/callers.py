"""The HTTP interface for callers, as a plain ASGI application."""

import dataclasses
import hashlib
import traceback
from collections.abc import AsyncGenerator
from typing import Protocol

import anyio
from result import Err, Result

from peridotbend.adapters.callerchecks import (
    find_header_problem,
    parse_reservation,
)
from peridotbend.adapters.exchanges import (
    CAPACITY_RETRY_MS,
    Exchange,
    Receive,
    Scope,
    Send,
)
from peridotbend.domain.answers import ByteBudget, SubBudget
from peridotbend.domain.events import Event
from peridotbend.domain.ports import AnswerPart, EventLog
from peridotbend.domain.records import CallerCall
from peridotbend.domain.requests import Reservation
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason, Verdict

RESERVATIONS_PATH = "/v1/reservations"
REQUESTS_PATH = "/v1/requests/"
MAX_RESERVATION_BYTES = 4_096
BODY_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """Limits towards callers."""

    max_header_bytes: int = 16_384
    body_timeout_s: float = BODY_TIMEOUT_S
    # Most bytes of bodies in memory, while they arrive and are answered.
    max_body_bytes: int = 32 << 20


class CallerService(Protocol):
    """What the interface needs of the request service."""

    def find_account(self, bearer_sha256: str) -> str:
        """Returns the client account of a bearer key's digest."""
        ...

    def find_body_limit(self, method: str, path: str) -> Result[int, Verdict]:
        """Returns the largest body accepted there, or a refusal."""
        ...

    def list_methods(self, path: str) -> tuple[str, ...]:
        """Returns the methods of a path."""
        ...

    def classify_refusal(self, key: str, refusal: Verdict) -> Verdict:
        """Returns what a refusal means for the request that a key names."""
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
        self.body_timeout_s = settings.body_timeout_s
        self.bodies = ByteBudget(settings.max_body_bytes)

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
            self._log.emit(Event.INTERNAL_ERROR, error=_locate(error))
            if exchange.began:
                # The broken-off response tells the caller to ask again.
                raise
            await exchange.refuse(MayHaveRun(Reason.INTERNAL_ERROR))

    async def _route(self, exchange: Exchange) -> None:
        limit = self._settings.max_header_bytes
        if exchange.header_bytes > limit:
            message = f"The headers are larger than {limit} bytes; send fewer."
            await self._refuse(exchange, Reason.TOO_LARGE, message, status=431)
        elif exchange.over_limit:
            refusal = NotRun(Reason.AT_CAPACITY, CAPACITY_RETRY_MS)
            await self._refuse_verdict(
                exchange,
                refusal,
                "This instance has too many connections; send the call again"
                " later, and use connections again.",
            )
        elif (problem := find_header_problem(exchange)) is not None:
            await self._refuse(exchange, Reason.BAD_INPUT, problem)
        elif exchange.path == RESERVATIONS_PATH:
            await self._reserve(exchange)
        elif exchange.path.startswith(REQUESTS_PATH):
            await self._fetch(exchange)
        else:
            await self._serve(exchange)

    def _find_account(self, exchange: Exchange) -> str:
        scheme, _, key = exchange.headers.get("authorization", "").partition(
            " "
        )
        if scheme.lower() != "bearer" or not key:
            return self._service.find_account("")
        digest = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
        return self._service.find_account(digest)

    async def _reserve(self, exchange: Exchange) -> None:
        if exchange.method != "POST":
            refusal = NotRun(Reason.WRONG_METHOD)
            await exchange.refuse(refusal, allow="POST")
            return
        body = await self._read_body(exchange, MAX_RESERVATION_BYTES)
        if body is None:
            return
        self.bodies.release(len(body))
        names = parse_reservation(body)
        if names is None:
            await exchange.refuse(
                NotRun(Reason.BAD_INPUT),
                'The body must be JSON like {"service": "...", "kind": "..."}.',
            )
            return
        reserved = self._service.reserve(self._find_account(exchange), *names)
        if isinstance(reserved, Err):
            unknown = reserved.err_value.reason is Reason.UNKNOWN_KIND
            message = (
                "The text in force has no such service and kind; correct them."
                if unknown
                else ""
            )
            await exchange.refuse(reserved.err_value, message)
            return
        reservation = reserved.ok_value
        await exchange.send_json(
            201,
            {
                "id": reservation.token,
                "expires_in_ms": reservation.expires_in_ms,
            },
            [
                ("Peridotbend-Request", reservation.token),
                ("Peridotbend-Verdict", "not-run"),
            ],
        )

    async def _fetch(self, exchange: Exchange) -> None:
        exchange.token = exchange.path.removeprefix(REQUESTS_PATH)
        if not exchange.token.isascii() or not exchange.token.isprintable():
            # A header cannot hold it; no ID has such characters.
            exchange.token = ""
        if exchange.method != "GET":
            refusal = MayHaveRun(Reason.WRONG_METHOD)
            await exchange.refuse(refusal, allow="GET")
            return
        offset = exchange.query_int("offset")
        if offset is None:
            await exchange.refuse(
                MayHaveRun(Reason.BAD_INPUT),
                "The offset must be a whole number of bytes, 0 or more.",
            )
            return
        account = self._find_account(exchange)
        parts = self._service.fetch(exchange.token, account, offset)
        await exchange.send_answer(parts)

    async def _serve(self, exchange: Exchange) -> None:
        path = exchange.path_and_query
        limit = self._service.find_body_limit(exchange.method, path)
        if isinstance(limit, Err):
            allow = ", ".join(self._service.list_methods(path))
            await self._refuse_verdict(exchange, limit.err_value, allow=allow)
            return
        deadline_ms = exchange.header_int("peridotbend-deadline-ms")
        if deadline_ms is None:
            message = "Peridotbend-Deadline-Ms must be a whole number above 0."
            await self._refuse(exchange, Reason.BAD_INPUT, message)
            return
        body = await self._read_body(exchange, limit.ok_value)
        if body is None:
            return
        call = CallerCall(
            self._find_account(exchange),
            exchange.method,
            path,
            exchange.forwarded_headers(),
            body,
            exchange.headers.get("idempotency-key", ""),
            deadline_ms,
        )
        try:
            await exchange.send_answer(self._service.serve(call))
        finally:
            # The body is referred to until the answer was sent.
            self.bodies.release(len(body))

    async def _read_body(self, exchange: Exchange, limit: int) -> bytes | None:
        """Returns the body, or None when a refusal was sent.

        The bytes of a body that is returned are still taken from the budget.
        """
        used = SubBudget(self.bodies)
        body = None
        try:
            with anyio.move_on_after(self.body_timeout_s) as scope:
                body = await exchange.read_body(limit, used)
        finally:
            if body is None or isinstance(body, Err):
                used.release(used.used_bytes)
        if scope.cancelled_caught:
            message = "The body did not arrive in time; send it faster."
            await self._refuse(exchange, Reason.BAD_INPUT, message, status=408)
            return None
        if isinstance(body, Err):
            message = ""
            if body.err_value.reason is Reason.TOO_LARGE:
                message = f"The body is larger than {limit} bytes; shorten it."
            await self._refuse_verdict(exchange, body.err_value, message)
            return None
        return body.ok_value if body is not None else None

    async def _refuse(
        self, exchange: Exchange, reason: Reason, message: str, status: int = 0
    ) -> None:
        await self._refuse_verdict(exchange, NotRun(reason), message, status)

    async def _refuse_verdict(
        self,
        exchange: Exchange,
        refusal: Verdict,
        message: str = "",
        status: int = 0,
        allow: str = "",
    ) -> None:
        """Refuses a call; what its ID did earlier stays open."""
        key = exchange.headers.get("idempotency-key", "")
        if exchange.path.startswith(REQUESTS_PATH):
            key = exchange.path.removeprefix(REQUESTS_PATH)
        verdict = self._service.classify_refusal(key, refusal)
        await exchange.refuse(verdict, message, status, allow)


def _locate(error: BaseException) -> str:
    """Returns the type and place of an error; its text may hold secrets."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__} at {place}"
