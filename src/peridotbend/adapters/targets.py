"""HTTP client for targets, built on httpcore."""

import contextlib
import re
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import httpcore
from result import Err, Ok, Result

from peridotbend.adapters.answerwatch import (
    AnswerCheck,
    AnswerWatch,
    ReachSink,
    is_no_gateway_answer,
)
from peridotbend.adapters.connections import (
    ConnectionPool,
    Dialer,
    ForeignBytesError,
    PeerLostError,
    is_connection_refused,
)
from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
    TargetAnswer,
    TargetCall,
)
from peridotbend.domain.text import Target

CONNECT_TIMEOUT_S = 1.0
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
        watch: AnswerWatch | None = None,
    ):
        self._response = response
        self._watch = watch
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
            is_delimited=not names.isdisjoint(_DELIMITERS),
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
    ) -> None:
        self._pool = ConnectionPool(dialer, clock)
        self._reach = reach
        self._is_answer = is_answer
        self._connect_timeout_s = connect_timeout_s

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
        origin = request.url.origin
        # The target may have closed an idle connection without this process
        # having noticed; a write to it fails with an unknown outcome. Calls
        # that must not be repeated therefore open a new connection.
        reuse = call.reuse_connection
        try:
            connection = await self._pool.acquire(
                origin, reuse, request.extensions["timeout"]["connect"], target
            )
        except (httpcore.TimeoutException, httpcore.NetworkError) as error:
            failure = CallFailure.CONNECT
            if is_connection_refused(error):
                failure = CallFailure.REFUSED
            yield Err(_make_error(failure, False, error))
            return
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
                    watch,
                )
                watch.note_head(call, answer.head)
                yield Ok(answer)
            finally:
                if isinstance(opened, Ok):
                    with anyio.CancelScope(shield=True):
                        await opened.ok_value.aclose()
        finally:
            watch.close()
            with anyio.CancelScope(shield=True):
                await self._pool.release(connection, origin, reuse)


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
