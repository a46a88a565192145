"""A connection of a caller: bounds and refusals below the application."""

import asyncio
import dataclasses
import json
import resource
from typing import Any

from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason, Verdict

# Connections above the limit that are kept for the time of one refusal; those
# above both are closed without an answer.
MAX_OVER_LIMIT = 256
# Files that are left to peers, targets and the platform.
OTHER_FILES = 256
# Time for a caller to read a refusal before the connection is closed.
LINGER_S = 1.0
# For calls whose headers were not all seen, so that they may carry an ID.
EARLIER_CALL = (
    " This call did not run; an earlier one with the same ID may have."
)
_KEY_HEADER = b"idempotency-key"
_PHRASES = {
    400: "Bad Request",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
}


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Bounds of the connections of one listener."""

    # About 7 KB of memory each while idle, 11 KB with one answered request.
    max_connections: int = 2_048
    max_header_bytes: int = 16_384
    # From the first byte, or from the connect, to the end of the headers.
    header_timeout_s: float = 10.0
    # How long a caller may read nothing of an answer.
    write_stall_s: float = 30.0

    def fit_open_files(self) -> "ConnectionLimits":
        """Returns limits that the process has file descriptors for."""
        files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        room = max(1, files - MAX_OVER_LIMIT - OTHER_FILES)
        if files == resource.RLIM_INFINITY or room >= self.max_connections:
            return self
        return dataclasses.replace(self, max_connections=room)


class BoundedConnection(HttpToolsProtocol):
    """uvicorn's protocol with bounds on headers, time and connections.

    uvicorn itself reads headers of any size for any time, answers what it
    cannot parse in plain text, and waits for ever for a caller that does not
    read.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ):
        super().__init__(config, server_state, app_state, _loop)
        self._limits = limits
        self._last_read = b""
        self._messages_begun = 0
        self._in_headers = False
        # Bytes of headers from reads after the one in which they began.
        self._header_bytes = 0
        # True once a refusal was sent and the rest of the input is dropped.
        self._refused = False
        self._header_timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Takes a connection, or closes it far above the limit."""
        super().connection_made(transport)
        excess = len(self.connections) - self._limits.max_connections
        if excess > MAX_OVER_LIMIT:
            transport.abort()
            return
        if excess > 0:
            # The application refuses: only it sees which ID a call carries.
            self.app_state = {**self.app_state, "over_limit": True}
        self._watch_headers()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        super().connection_lost(exc)
        self._stop_header_timer()
        self._stop_stall_timer()
        self._refused = True

    def data_received(self, data: bytes) -> None:
        """Parses what arrived, unless the connection was refused."""
        if self._refused:
            return
        counted = self._messages_begun if self._in_headers else 0
        self._last_read = data
        super().data_received(data)
        self._last_read = b""
        if self._in_headers and counted == self._messages_begun:
            self._header_bytes += len(data)
            if self._header_bytes > self._limits.max_header_bytes:
                self._refuse_headers()
        elif not self._is_busy():
            # Bytes that begin no request, such as empty lines, count as one.
            self._watch_headers()

    def on_message_begin(self) -> None:
        """Notes that headers begin."""
        super().on_message_begin()
        self._messages_begun += 1
        self._in_headers = True
        self._header_bytes = 0
        self._watch_headers()

    def on_headers_complete(self) -> None:
        """Starts the request."""
        self._in_headers = False
        self._stop_header_timer()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Goes on with the next request, or sees the connection closed."""
        super().on_response_complete()
        if self.transport.is_closing():
            self._watch_reader()

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection, also when the answer was not read."""
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            super().timeout_keep_alive_handler()

    def pause_writing(self) -> None:
        """Stops the application until the caller has read."""
        super().pause_writing()
        self._watch_reader()

    def resume_writing(self) -> None:
        """Lets the application send again."""
        super().resume_writing()
        if not self.transport.is_closing():
            self._stop_stall_timer()

    def send_400_response(self, msg: str) -> None:
        """Refuses what is no HTTP."""
        verdict = self._judge(Reason.BAD_INPUT)
        message = (
            "This is no valid HTTP/1.1 request; correct its request line,"
            " headers or framing."
        )
        if isinstance(verdict, MayHaveRun):
            message += EARLIER_CALL
        self._refuse(400, verdict, message)

    def _refuse_headers(self) -> None:
        limit = self._limits.max_header_bytes
        self._refuse(
            431,
            MayHaveRun(Reason.TOO_LARGE),
            f"The headers are larger than {limit} bytes; send fewer."
            + EARLIER_CALL,
        )

    def _end_slow_headers(self) -> None:
        self._header_timer = None
        if not self._in_headers and not self._is_busy():
            self.transport.close()
            return
        self._refuse(
            408,
            MayHaveRun(Reason.BAD_INPUT),
            "The headers did not arrive in time; send them faster."
            + EARLIER_CALL,
        )

    def _judge(self, reason: Reason) -> Verdict:
        """Returns "not run" only when surely no ID was sent."""
        headers = self.headers or []
        named = any(name == _KEY_HEADER for name, _ in headers)
        named = named or _KEY_HEADER in self._last_read.lower()
        ended = b"\n\r\n" in self._last_read or b"\n\n" in self._last_read
        if named or (self._in_headers and not ended):
            return MayHaveRun(reason)
        return NotRun(reason)

    def _is_busy(self) -> bool:
        cycle = self.cycle
        return cycle is not None and not cycle.response_complete

    def _refuse(self, status: int, verdict: Verdict, message: str) -> None:
        """Answers in place of the application and closes the connection."""
        self._refused = True
        self._stop_header_timer()
        cycle = self.cycle
        if self._is_busy():
            # Anything written now would be taken for the answer of the
            # request before, unless that one still sends its body.
            if self.pipeline or not cycle.more_body or cycle.response_started:
                cycle.keep_alive = False
                return
            cycle.disconnected = True
            cycle.message_event.set()
        assert verdict.reason is not None
        error = {
            "code": verdict.reason.value,
            "message": message,
            "verdict": verdict.label,
            "request": None,
            "retry_after_ms": 0,
        }
        body = json.dumps({"error": error}).encode()
        head = (
            f"HTTP/1.1 {status} {_PHRASES[status]}\r\n"
            f"peridotbend-verdict: {verdict.label}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n"
            "connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self._stop_stall_timer()
        self._stall_timer = self.loop.call_later(LINGER_S, self._abort)

    def _watch_headers(self) -> None:
        if self._header_timer is None:
            self._header_timer = self.loop.call_later(
                self._limits.header_timeout_s, self._end_slow_headers
            )

    def _watch_reader(self) -> None:
        if self._stall_timer is None:
            self._stall_timer = self.loop.call_later(
                self._limits.write_stall_s, self._abort
            )

    def _abort(self) -> None:
        self.transport.abort()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
