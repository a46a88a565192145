"""uvicorn connection that refuses requests in place of the application."""

import asyncio
from typing import Any

from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle
from uvicorn.server import ServerState

from peridotbend.adapters.callermemory import CallerMemory
from peridotbend.adapters.chargedconnections import KEY_HEADER
from peridotbend.adapters.connectionlimits import ConnectionLimits
from peridotbend.adapters.connectionrefusals import make_refusal
from peridotbend.adapters.timedconnections import TimedConnection
from peridotbend.adapters.turnedaway import Way
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason, Verdict

# Time for a caller to read an error response before the connection is closed,
# in which its body is read and discarded. Closing at once would reset the
# connection, and the caller could lose the response.
LINGERING_CLOSE_S = 1.0
# For calls whose headers were not read completely and may contain an ID.
EARLIER_CALL_NOTE = (
    " This call did not run; an earlier one with the same ID may have."
)


class RefusingConnection(TimedConnection):
    """Connection that refuses what it can't or won't read."""

    def __init__(
        self,
        limits: ConnectionLimits,
        memory: CallerMemory,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        loop: asyncio.AbstractEventLoop | None,
    ):
        super().__init__(limits, memory, config, server_state, app_state, loop)
        self._last_read = b""
        # Whether the current message began in it.
        self._began_in_last_read = False
        # Bytes that may belong to the next request, while one is served.
        self._kept = b""
        self._reading_headers = False
        # Why the current message is refused; "" if it isn't or can't be parsed.
        self._problem = ""
        # The request before the current one, if it is still being served.
        self._earlier_cycle: RequestResponseCycle | None = None
        # True once an error response was sent; further input is discarded.
        self._refused = False
        self._linger_timer: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timer of the refusal."""
        super().connection_lost(exc)
        if self._linger_timer is not None:
            self._linger_timer.cancel()

    def free_memory(self, way: Way) -> None:
        """Refuses the request that is read, or drops the unread answer."""
        self._memory.turned_away.note(way)
        if way is Way.UNREAD_ANSWER:
            self._release_unread()
            self._abort()
            return
        self._refuse(
            503,
            MayHaveRun(Reason.AT_CAPACITY),
            "This instance has too little memory; send the call again later."
            + EARLIER_CALL_NOTE,
        )

    def send_400_response(self, msg: str) -> None:
        """Refuses input that is not valid HTTP, or not served."""
        verdict = self._choose_verdict(Reason.BAD_INPUT)
        message = self._problem or (
            "This is no valid HTTP/1.1 request; correct its request line,"
            " headers or framing."
        )
        if isinstance(verdict, MayHaveRun):
            message += EARLIER_CALL_NOTE
        self._refuse(400, verdict, message)

    def _refuse_too_large(self, part: str, way: Way) -> None:
        self._memory.turned_away.note(way)
        limit = self._limits.max_header_bytes
        if not self._reading_headers and not self._is_serving_request():
            # The caller has its answer, or has asked for nothing.
            self._refused = True
            self._close()
            return
        self._refuse(
            431,
            MayHaveRun(Reason.TOO_LARGE),
            f"The {part} are larger than {limit} bytes; send fewer."
            + EARLIER_CALL_NOTE,
        )

    def _handle_header_timeout(self) -> None:
        self._header_timer = None
        if not self._reading_headers and not self._is_serving_request():
            self._close()
            return
        self._refuse_slow()

    def _refuse_slow(self) -> None:
        self._memory.turned_away.note(Way.SLOW)
        part = "headers" if self._reading_headers else "body"
        self._refuse(
            408,
            MayHaveRun(Reason.BAD_INPUT),
            f"The {part} did not arrive in time; send it faster."
            + EARLIER_CALL_NOTE,
        )

    def _choose_verdict(self, reason: Reason) -> Verdict:
        """Returns NotRun only if the request certainly contained no ID."""
        headers = self.headers or []
        has_key = any(name == KEY_HEADER for name, _ in headers)
        has_key = has_key or KEY_HEADER in self._last_read.lower()
        headers_ended = (
            b"\n\r\n" in self._last_read or b"\n\n" in self._last_read
        )
        # The parser withholds the last header before an error, part of which
        # may have been in an earlier read.
        is_all_read = headers_ended and self._began_in_last_read
        if has_key or (self._reading_headers and not is_all_read):
            return MayHaveRun(reason)
        return NotRun(reason)

    def _is_reading_body(self) -> bool:
        if self._reading_headers or not self._is_serving_request():
            return False
        return bool(self.cycle.more_body)

    def _is_serving_request(self) -> bool:
        cycle = self.cycle
        return cycle is not None and not cycle.response_complete

    def _refuse(self, status: int, verdict: Verdict, message: str) -> None:
        """Sends an error in place of the application, then closes."""
        self._refused = True
        self._stop_header_timer()
        self._kept = b""
        self._drop_head()
        self._drop_incomplete_request()
        if not self._end_request():
            return
        self.transport.write(make_refusal(status, verdict, message))
        # Not the timer of unread answers, which ends once the caller reads.
        self._linger_timer = self.loop.call_later(
            LINGERING_CLOSE_S, self._abort
        )

    def _end_request(self) -> bool:
        """Ends the request that is being read; tells if it can be answered."""
        if not self._is_serving_request():
            return True
        cycle = self.cycle
        # The caller would take anything written now for the response to the
        # previous request, unless it is still sending that request's body.
        if self.pipeline or not cycle.more_body or cycle.response_started:
            cycle.keep_alive = False
            return False
        cycle.disconnected = True
        cycle.message_event.set()
        return True

    def _drop_incomplete_request(self) -> None:
        """Drops a waiting request the rest of whose body is discarded."""
        if self.pipeline and self.cycle.more_body:
            self.pipeline.popleft()
            self._release_request(self.cycle)
            self.cycle = self._earlier_cycle  # type: ignore[assignment]
