"""HTTP interface for callers, as an ASGI application without a framework."""

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
    """Limits on what callers send."""

    max_header_bytes: int = 16_384
    body_timeout_s: float = BODY_TIMEOUT_S
    # Maximum total size of request bodies in memory, from their arrival until
    # their calls are answered.
    max_body_bytes: int = 32 << 20


class CallerService(Protocol):
    """The operations of the request service that the interface uses."""

    def find_account(self, bearer_sha256: str) -> str:
        """Returns the client account whose bearer key has this digest."""
        ...

    def find_body_limit(self, method: str, path: str) -> Result[int, Verdict]:
        """Returns the maximum body size of a route, or a refusal."""
        ...

    def list_methods(self, path: str) -> tuple[str, ...]:
        """Returns the methods that a path accepts."""
        ...

    def classify_refusal(self, key: str, refusal: Verdict) -> Verdict:
        """Returns the verdict to send, given the request that a key names.

        A call may be refused although an earlier call with the key ran.
        """
        ...

    def reserve(
        self, account: str, service: str, kind_name: str
    ) -> Result[Reservation, Verdict]:
        """Creates a request ID for one later call."""
        ...

    def serve(self, call: CallerCall) -> AsyncGenerator[AnswerPart]:
        """Yields the answer to a call."""
        ...

    def fetch(
        self, token: str, account: str, offset: int
    ) -> AsyncGenerator[AnswerPart]:
        """Yields the answer of an earlier request."""
        ...


class CallerApp:
    """ASGI application that serves callers."""

    def __init__(
        self, service: CallerService, settings: CallerSettings, log: EventLog
    ):
        self._service = service
        self._settings = settings
        self._log = log
        self.body_timeout_s = settings.body_timeout_s
        self.body_budget = ByteBudget(settings.max_body_bytes)

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
            self._log.emit(Event.INTERNAL_ERROR, error=_describe_error(error))
            if exchange.response_started:
                # A response that is cut off tells the caller to ask again.
                raise
            await exchange.refuse(MayHaveRun(Reason.INTERNAL_ERROR))

    async def _route(self, exchange: Exchange) -> None:
        limit = self._settings.max_header_bytes
        if exchange.header_bytes > limit:
            message = f"The headers are larger than {limit} bytes; send fewer."
            await self._refuse(exchange, Reason.TOO_LARGE, message, status=431)
        elif exchange.over_limit:
            refusal = NotRun(Reason.AT_CAPACITY, CAPACITY_RETRY_MS)
            await self._send_refusal(
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
        self.body_budget.release(len(body))
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
        exchange.request_id = exchange.path.removeprefix(REQUESTS_PATH)
        if (
            not exchange.request_id.isascii()
            or not exchange.request_id.isprintable()
        ):
            # Such text can't be sent in a header, and no ID contains it.
            exchange.request_id = ""
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
        parts = self._service.fetch(exchange.request_id, account, offset)
        await exchange.send_answer(parts)

    async def _serve(self, exchange: Exchange) -> None:
        path = exchange.path_and_query
        limit = self._service.find_body_limit(exchange.method, path)
        if isinstance(limit, Err):
            allow = ", ".join(self._service.list_methods(path))
            await self._send_refusal(exchange, limit.err_value, allow=allow)
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
            # The body stays in memory until the answer was sent.
            self.body_budget.release(len(body))

    async def _read_body(self, exchange: Exchange, limit: int) -> bytes | None:
        """Returns the body, or None if a refusal was sent.

        The bytes of a returned body are still reserved in `body_budget`.
        """
        budget_part = SubBudget(self.body_budget)
        body = None
        try:
            with anyio.move_on_after(self.body_timeout_s) as scope:
                body = await exchange.read_body(limit, budget_part)
        finally:
            if body is None or isinstance(body, Err):
                budget_part.release(budget_part.used_bytes)
        if scope.cancelled_caught:
            message = "The body did not arrive in time; send it faster."
            await self._refuse(exchange, Reason.BAD_INPUT, message, status=408)
            return None
        if isinstance(body, Err):
            message = ""
            if body.err_value.reason is Reason.TOO_LARGE:
                message = f"The body is larger than {limit} bytes; shorten it."
            await self._send_refusal(exchange, body.err_value, message)
            return None
        return body.ok_value if body is not None else None

    async def _refuse(
        self, exchange: Exchange, reason: Reason, message: str, status: int = 0
    ) -> None:
        await self._send_refusal(exchange, NotRun(reason), message, status)

    async def _send_refusal(
        self,
        exchange: Exchange,
        refusal: Verdict,
        message: str = "",
        status: int = 0,
        allow: str = "",
    ) -> None:
        """Refuses a call; the verdict covers earlier calls with its ID."""
        key = exchange.headers.get("idempotency-key", "")
        if exchange.path.startswith(REQUESTS_PATH):
            key = exchange.path.removeprefix(REQUESTS_PATH)
        verdict = self._service.classify_refusal(key, refusal)
        await exchange.refuse(verdict, message, status, allow)


def _describe_error(error: BaseException) -> str:
    """Returns an error's type and location.

    The message is left out, because it may contain secrets.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__} at {place}"
