"""HTTP client for targets, built on httpcore."""

import contextlib
import re
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import httpcore
from result import Err, Ok, Result

from peridotbend.adapters.answerlimits import OversizedAnswers
from peridotbend.adapters.answerwatch import (
    AnswerCheck,
    AnswerWatch,
    ReachSink,
    is_no_gateway_answer,
)
from peridotbend.adapters.connections import (
    Connection,
    ConnectionPool,
    Dialer,
    DirectDialer,
    ForeignBytesError,
    PeerLostError,
    is_connection_refused,
)
from peridotbend.adapters.sockets import TargetStream
from peridotbend.domain.clock import Clock, SystemClock
from peridotbend.domain.paths import Endpoint
from peridotbend.domain.ports import (
    RESTART_MS,
    AnswerHead,
    CallError,
    CallFailure,
    ConnectionCheck,
    TargetAnswer,
    TargetCall,
)
from peridotbend.domain.text import Target

CONNECT_TIMEOUT_S = 1.0
# What a target says of itself grows with the requests that it runs.
MAX_QUESTION_BYTES = 262_144
# Within this time the kernel has closed all sockets of a process that ended.
LISTENER_CLOSE_S = 0.05
# Trace event that httpcore emits immediately before it writes the first byte.
REQUEST_WRITE_STARTED = "http11.send_request_headers.started"
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# The chunks tell the length; one that is named beside them is void.
_DROPPED_WITH_CHUNKS = _HOP_BY_HOP | {"content-length"}
# A body with one of these does not end with its connection.
_DELIMITERS = frozenset((b"content-length", b"transfer-encoding"))
_STATUSES_WITHOUT_BODY = frozenset((204, 304))


_UNANSWERED = CallError(
    CallFailure.CONNECT, False, "asked who it is: no answer in time"
)


class GateClosedError(Exception):
    """The gate callback denied the call before any byte was written."""


class _WriteGate:
    """httpcore trace hook that asks the gate before the first byte is written.

    `written` is True once the gate has allowed the write.
    """

    def __init__(self, gate: Callable[[], bool]):
        self._gate = gate
        self.written = False

    async def trace(self, event_name: str, info: dict[str, Any]) -> None:
        if event_name != REQUEST_WRITE_STARTED:
            return
        # Writing a call twice could execute it twice.
        assert not self.written, "a call was about to be written twice"
        if not self._gate():
            raise GateClosedError
        self.written = True


class HttpAnswer:
    """A target's response, whose body is read as it arrives."""

    def __init__(
        self,
        response: httpcore.Response,
        is_reused: bool,
        connected_at_ms: int = 0,
        method: str = "GET",
        watch: AnswerWatch | None = None,
        link: httpcore.AsyncNetworkStream | None = None,
    ):
        self._link = link
        self._response = response
        self._watch = watch
        has_body = (
            method != "HEAD" and response.status not in _STATUSES_WITHOUT_BODY
        )
        names = {name.lower() for name, _ in response.headers}
        has_chunks = b"transfer-encoding" in names
        dropped = _DROPPED_WITH_CHUNKS if has_chunks else _HOP_BY_HOP
        self.head = AnswerHead(
            response.status,
            tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in response.headers
                if name.lower().decode("latin-1") not in dropped
            ),
            is_delimited=not has_body or not names.isdisjoint(_DELIMITERS),
            is_reused_connection=is_reused,
            connected_at_ms=connected_at_ms,
        )

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the body in chunks; an Err comes last if the call fails."""
        try:
            async for chunk in self._response.aiter_stream():
                if self._watch is not None:
                    self._watch.note_data()
                yield Ok(chunk)
            # A peer waits for a reset itself, behind the end of any connection.
            if not self.head.is_delimited and isinstance(
                self._link, TargetStream
            ):
                await self._link.confirm_end()
            if self._watch is not None:
                self._watch.note_data()
        except httpcore.TimeoutException as error:
            self._note_error(error)
            yield Err(_make_error(CallFailure.TIMEOUT, True, error))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            self._note_error(error)
            yield Err(_make_error(CallFailure.BROKEN, True, error))

    def _note_error(self, error: Exception) -> None:
        if self._watch is not None:
            self._watch.note_error(error)


class HttpTargetClient:
    """Sends calls to targets and tracks whether any byte was written."""

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        dialer: Dialer | None = None,
        clock: Clock | None = None,
        reach: ReachSink | None = None,
        is_answer: AnswerCheck = is_no_gateway_answer,
        oversized: OversizedAnswers | None = None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._dialer = dialer or DirectDialer()
        self._pool = ConnectionPool(self._dialer, self._clock, oversized)
        self._reach = reach
        self._is_answer = is_answer
        self._connect_timeout_s = connect_timeout_s

    def watch_idle(self, on_early_close: Callable[[Endpoint], None]) -> None:
        """Sets what is called with targets that close connections early."""
        self._pool.on_early_close = on_early_close

    async def aclose(self) -> None:
        """Closes all idle connections."""
        await self._pool.aclose()

    async def close_idle(self, target: Target) -> None:
        """Closes the idle connections to a target."""
        with anyio.CancelScope(shield=True):
            await self._pool.close_idle(_make_url(target, "/").origin)

    @contextlib.asynccontextmanager
    async def open(
        self, target: Target, call: TargetCall, gate: Callable[[], bool]
    ) -> AsyncIterator[Result[TargetAnswer, CallError]]:
        """Sends a call and waits for the status and headers of the response."""
        write_gate = _WriteGate(gate)
        request = _make_request(
            target, call, write_gate, self._connect_timeout_s
        )
        acquired = await self._acquire(target, call, request)
        if isinstance(acquired, Err):
            yield acquired
            return
        connection = acquired.ok_value
        watch = AnswerWatch(self._reach, self._is_answer, target, connection)
        try:
            opened = await _send(connection, request, write_gate, watch)
            try:
                if isinstance(opened, Err):
                    yield opened
                    return
                answer = HttpAnswer(
                    opened.ok_value,
                    connection.is_reused,
                    connection.connected_at_ms,
                    call.method,
                    watch,
                    connection.link,
                )
                watch.note_head(call, answer.head)
                yield Ok(answer)
            finally:
                if isinstance(opened, Ok):
                    with anyio.CancelScope(shield=True):
                        await opened.ok_value.aclose()
        finally:
            watch.close()
            await self._release(connection, call, request)

    async def _acquire(
        self, target: Target, call: TargetCall, request: httpcore.Request
    ) -> Result[Connection, CallError]:
        """Returns a connection on which the call may be sent."""
        opened = await self._connect(target, call, request)
        if isinstance(opened, Err) or call.check is None:
            return opened
        connection = opened.ok_value
        is_usable = False
        try:
            problem = await self._check(connection, target, call.check)
            answered_at_ms = self._clock.now_ms()
            # Some targets close a connection after any answer.
            is_usable = problem is None and not connection.is_closed()
        finally:
            if not is_usable:
                await self._release(connection, call, request)
        if problem is not None:
            return Err(problem)
        if is_usable:
            return Ok(connection)
        opened = await self._connect(target, call, request)
        if isinstance(opened, Err):
            return opened
        connection = opened.ok_value
        if connection.connected_at_ms - answered_at_ms <= RESTART_MS:
            return Ok(connection)
        await self._release(connection, call, request)
        return Err(_UNANSWERED)

    async def _connect(
        self, target: Target, call: TargetCall, request: httpcore.Request
    ) -> Result[Connection, CallError]:
        # The target may have closed an idle connection without this process
        # having noticed; a write to it fails with an unknown outcome. Calls
        # that must not be repeated therefore open a new connection.
        try:
            connection = await self._pool.acquire(
                request.url.origin,
                call.reuse_connection,
                request.extensions["timeout"]["connect"],
                target,
            )
        except (httpcore.TimeoutException, httpcore.NetworkError) as error:
            return Err(_make_connect_error(error))
        return Ok(connection)

    async def _release(
        self,
        connection: Connection,
        call: TargetCall,
        request: httpcore.Request,
    ) -> None:
        with anyio.CancelScope(shield=True):
            await self._pool.release(
                connection, request.url.origin, call.reuse_connection
            )

    async def _check(
        self, connection: Connection, target: Target, check: ConnectionCheck
    ) -> CallError | None:
        """Asks who answers on a connection, if that is not known."""
        if not check.is_needed(connection.connected_at_ms):
            return None
        # The timeouts of the connection start anew with each byte.
        with anyio.move_on_after(check.question.timeout_ms / 1_000):
            return await self._ask(connection, target, check)
        return _UNANSWERED

    async def _ask(
        self, connection: Connection, target: Target, check: ConnectionCheck
    ) -> CallError | None:
        asked_at_ms = self._clock.now_ms()
        gate = _WriteGate(lambda: True)
        request = _make_request(
            target, check.question, gate, self._connect_timeout_s
        )
        watch = AnswerWatch(self._reach, self._is_answer, target, connection)
        body = bytearray()
        try:
            opened = await _send(connection, request, gate, watch)
            if isinstance(opened, Err):
                return _make_question_error(opened.err_value)
            answer = HttpAnswer(
                opened.ok_value,
                connection.is_reused,
                connection.connected_at_ms,
                watch=watch,
            )
            watch.note_head(check.question, answer.head)
            try:
                async for chunk in answer.chunks():
                    if isinstance(chunk, Err):
                        return _make_question_error(chunk.err_value)
                    body += chunk.ok_value
                    if len(body) > MAX_QUESTION_BYTES:
                        break
            finally:
                with anyio.CancelScope(shield=True):
                    await opened.ok_value.aclose()
        finally:
            watch.close()
        problem = check.find_problem(
            answer.head.status,
            bytes(body),
            connection.connected_at_ms,
            asked_at_ms,
        )
        if problem:
            return CallError(
                CallFailure.REPLACED, False, problem, blames_target=False
            )
        connection.is_reused = True
        return None

    async def check_listening(self, target: Target) -> CallError | None:
        """Connects to a target, and returns why that failed, if it did.

        The kernel closes the connections of a dead process before or after
        the socket on which it listened. A connection made in between is reset.
        """
        try:
            stream = await self._dialer.connect(target, self._connect_timeout_s)
        except (httpcore.TimeoutException, httpcore.NetworkError) as error:
            return _make_connect_error(error)
        try:
            if await stream.read(1, LISTENER_CLOSE_S):
                return None
        except httpcore.ReadTimeout:
            return None
        except httpcore.NetworkError as error:
            is_reset = not isinstance(error, PeerLostError)
            failure = CallFailure.REFUSED if is_reset else CallFailure.CONNECT
            return _make_error(failure, False, error)
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()
        return CallError(CallFailure.CONNECT, False, "closed unused")


async def _send(
    connection: httpcore.AsyncHTTP11Connection,
    request: httpcore.Request,
    write_gate: _WriteGate,
    watch: AnswerWatch,
) -> Result[httpcore.Response, CallError]:
    try:
        response = await connection.handle_async_request(request)
    except GateClosedError as error:
        return Err(_make_error(CallFailure.GATE, False, error))
    except (
        httpcore.TimeoutException,
        httpcore.NetworkError,
        httpcore.ProtocolError,
    ) as error:
        failure = CallFailure.BROKEN
        if isinstance(error, httpcore.TimeoutException):
            failure = CallFailure.TIMEOUT
        if not write_gate.written:
            failure = CallFailure.CONNECT
        watch.note_error(error)
        return Err(_make_error(failure, write_gate.written, error))
    # h11 lets these pass, but they could not be sent to a caller.
    if any(_CONTROL_CHARACTER.search(value) for _, value in response.headers):
        problem = "a header holds a control character"
        return Err(CallError(CallFailure.FOREIGN, True, problem))
    return Ok(response)


def _make_request(
    target: Target,
    call: TargetCall,
    write_gate: _WriteGate,
    connect_timeout_s: float,
) -> httpcore.Request:
    timeout_s = max(call.timeout_ms, 1) / 1000
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in call.headers
        if name.lower() not in _HOP_BY_HOP
    ]
    if not any(name.lower() == b"host" for name, _ in headers):
        headers.append((b"Host", f"{target.host}:{target.port}".encode()))
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        headers.append((b"Content-Length", str(len(call.body)).encode()))
    return httpcore.Request(
        method=call.method,
        url=_make_url(target, call.path),
        headers=headers,
        content=call.body,
        extensions={
            "trace": write_gate.trace,
            "timeout": {
                "connect": min(connect_timeout_s, timeout_s),
                "read": timeout_s,
                "write": timeout_s,
            },
        },
    )


def _make_url(target: Target, path: str) -> httpcore.URL:
    return httpcore.URL(
        scheme=b"http",
        host=target.host.encode(),
        port=target.port,
        target=path.encode("latin-1"),
    )


def _make_question_error(error: CallError) -> CallError:
    return CallError(
        CallFailure.CONNECT, False, f"asked who it is: {error.detail}"
    )


def _make_connect_error(error: Exception) -> CallError:
    is_refused = is_connection_refused(error)
    failure = CallFailure.REFUSED if is_refused else CallFailure.CONNECT
    return _make_error(failure, False, error)


def _make_error(
    failure: CallFailure, written: bool, error: Exception
) -> CallError:
    return CallError(
        failure,
        written,
        f"{type(error).__name__}: {error}",
        blames_target=not isinstance(error, PeerLostError),
        is_garbled=isinstance(error, ForeignBytesError),
    )
