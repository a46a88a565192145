"""uvicorn connection with limits that are enforced before the application."""

import asyncio
from typing import Any

import httptools
from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)
from uvicorn.server import ServerState

from peridotbend.adapters.asgi import EMPTY_QUERY
from peridotbend.adapters.callermemory import (
    HEAD_COPIES,
    LINE_BYTES,
    REQUEST_BYTES,
    CallerMemory,
)
from peridotbend.adapters.closedelimited import CloseDelimitedApp
from peridotbend.adapters.connectionlimits import (
    MAX_REFUSED_CONNECTIONS,
    ConnectionLimits,
)
from peridotbend.adapters.connectionrefusals import make_refusal
from peridotbend.adapters.reading import (
    FOR_NEXT_REQUEST,
    ReadingFlow,
    ReadingTurns,
)
from peridotbend.adapters.requestcuts import (
    find_chunked_cut,
    find_cut,
    skip_empty_lines,
)
from peridotbend.adapters.requestheads import RequestHead
from peridotbend.adapters.turnedaway import Way
from peridotbend.adapters.waitingconnections import WaitingConnections
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason, Verdict

# More than the size line of a chunk and the end of its data take.
CHUNK_FRAMING_BYTES = 24
# Time for a caller to read an error response before the connection is closed,
# in which its body is read and discarded. Closing at once would reset the
# connection, and the caller could lose the response.
LINGERING_CLOSE_S = 1.0
# For calls whose headers were not read completely and may contain an ID.
EARLIER_CALL_NOTE = (
    " This call did not run; an earlier one with the same ID may have."
)
_KEY_HEADER = b"idempotency-key"
_LENGTH_HEADER = b"content-length"
# Longer lengths are refused by the parser.
_MAX_LENGTH_DIGITS = 18
# Header lines and chunks in one read that take longer to parse than several
# ordinary requests.
MAX_ITEMS_PER_TURN = 256
# The input of a refused connection is read in parts of this size.
DISCARD_BYTES = 65_536


class BoundedConnection(HttpToolsProtocol):
    """uvicorn's protocol with limits on headers, time and connections.

    uvicorn itself accepts headers of any size over any time, answers input
    that it can't parse with plain text, and waits indefinitely for a caller
    that does not read.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        waiting: WaitingConnections,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
        memory: CallerMemory | None = None,
        turns: ReadingTurns | None = None,
    ):
        super().__init__(config, server_state, app_state, _loop)
        self._limits = limits
        self._waiting = waiting
        self._memory = memory or CallerMemory()
        self._turns = turns or ReadingTurns()
        # Bytes that may belong to the next request, while one is served.
        self._kept = b""
        # Whether the parser is between two messages.
        self._is_message_over = True
        # Bytes of the body that are still to come, if its length is known.
        self._body_left = 0
        # Bytes of empty lines since the last message.
        self._empty_bytes = 0
        # Header lines of the current message; chunks and trailers of a read.
        self._lines = 0
        self._items = 0
        # Memory that is reserved for the head that is read, for requests, and
        # for the unread part of an answer.
        self._head_charge = 0
        self._charges: dict[RequestResponseCycle, int] = {}
        self._unread_charge = 0
        self._last_read = b""
        # Whether the current message began in it.
        self._began_in_last_read = False
        # Whether a message ended in it whose response was complete before.
        self._is_answered_message_over = False
        self._messages_started = 0
        self._reading_headers = False
        # Why the current message is refused; "" if it isn't or can't be parsed.
        self._problem = ""
        # Header bytes in reads after the one in which the headers started.
        self._header_bytes = 0
        # Bytes of the current body that are neither data nor chunk sizes.
        self._framing_bytes = 0
        # The request before the current one, if it is still being served.
        self._earlier_cycle: RequestResponseCycle | None = None
        # True once an error response was sent; further input is discarded.
        self._refused = False
        self._header_timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
        # Bytes of responses that the caller had not read when the keep-alive
        # timer was started.
        self._unread_bytes = 0

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Accepts a connection; above the limit, closes the longest waiting.

        If none can be closed, the connection is refused, or aborted if there
        are too many to refuse.
        """
        super().connection_made(transport)
        self._input = self.flow = ReadingFlow(transport)
        excess = len(self.connections) - self._limits.max_connections
        while excess > 0 and self._waiting.close_oldest():
            excess -= 1
        if excess > MAX_REFUSED_CONNECTIONS:
            transport.abort()
            return
        if excess > 0:
            # The application sends the refusal, because only it sees which
            # ID a call carries.
            self.app_state = {**self.app_state, "over_limit": True}
        self._waiting.wait_for_head(self)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timers and discards further input."""
        super().connection_lost(exc)
        self._waiting.remove(self)
        self._stop_header_timer()
        self._stop_stall_timer()
        self._refused = True
        self._kept = b""
        self._release_head()
        self._release_unread()
        for cycle, _ in self.pipeline:
            self._release_request(cycle)

    def count_plain_bytes(self) -> int:
        """Returns how many bytes will be discarded, or belong to a body."""
        return DISCARD_BYTES if self._refused else self._body_left

    def data_received(self, data: bytes) -> None:
        """Parses the data, unless an error response was sent."""
        if self._refused:
            return
        if self._kept:
            self._kept += data
            return
        self._last_read = data
        self._began_in_last_read = self._is_answered_message_over = False
        self._items = 0
        self._unset_keepalive_if_required()
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            self.send_400_response(str(error))
        self._last_read = b""
        if self._refused:
            return
        lines = self._lines if self._reading_headers else 0
        if self._items + lines > MAX_ITEMS_PER_TURN:
            self._turns.wait(self._input, self.loop)
        if self._is_serving_request():
            return
        if self._is_answered_message_over and not self._reading_headers:
            # The connection is idle from now on.
            self._start_keep_alive_timer()
        else:
            # Bytes that start no request, such as empty lines, start the timer
            # as well.
            self._start_header_timer()

    def _parse(self, data: bytes) -> None:
        """Parses data up to the end of a request that is not answered yet.

        Raises:
            HttpParserError: the data is not valid HTTP.
        """
        begin = 0
        while begin < len(data) and not self._refused:
            if self._is_message_over:
                left = len(data) - begin
                data = skip_empty_lines(data[begin:] if begin else data)
                begin = 0
                self._count_empty_lines(left - len(data))
                if not data or self._refused:
                    return
                if self._is_serving_request():
                    self._keep(data)
                    return
            end = self._find_cut(data, begin)
            part = data if end - begin == len(data) else data[begin:end]
            messages_before = self._messages_started
            self._framing_bytes += len(part)
            self._feed(part)
            begin = end
            if not self._refused and not self._is_message_over:
                is_same = messages_before == self._messages_started
                self._check_limits(len(part) if is_same else 0)

    def _find_cut(self, data: bytes, begin: int) -> int:
        if self._is_message_over or self._reading_headers:
            return find_cut(data, begin)
        if self._body_left:
            return min(len(data), begin + self._body_left)
        return find_chunked_cut(data, begin)

    def _check_limits(self, added_bytes: int) -> None:
        """Refuses a message that exceeds the limits.

        Args:
            added_bytes: bytes of a head that began before.
        """
        limit = self._limits.max_header_bytes
        if not self._reading_headers:
            self._framing_bytes = max(0, self._framing_bytes)
            if self._framing_bytes > limit:
                self._refuse_too_large(
                    "chunk extensions and trailers", Way.LARGE_FRAMING
                )
            return
        self._header_bytes += added_bytes
        if self._header_bytes > limit:
            self._refuse_too_large("headers", Way.LARGE_HEAD)
        elif self._charge_head(0):
            self._memory.hold_head(self)
        else:
            self.free_memory(Way.NO_MEMORY)

    def _count_empty_lines(self, size: int) -> None:
        self._empty_bytes += size
        if self._empty_bytes > self._limits.max_header_bytes:
            self._refuse_too_large("empty lines", Way.EMPTY_LINES)

    def _keep(self, data: bytes) -> None:
        """Keeps bytes behind a request until that was answered."""
        self._kept = data
        self._input.pause_for(FOR_NEXT_REQUEST)

    def _continue(self) -> None:
        """Parses what was kept, after the request before was answered."""
        data, self._kept = self._kept, b""
        if not self._refused and not self.transport.is_closing():
            self._input.resume_for(FOR_NEXT_REQUEST)
            self.data_received(data)

    def _feed(self, data: bytes) -> None:
        """Parses data and ignores offers to switch to another protocol.

        httptools takes all that follows an offer for the other protocol, and
        starts anew with the next packet. A server that ignores the offer has
        an ordinary request with a body (RFC 9110, 7.8).

        Raises:
            HttpParserError: the data is not valid HTTP.
        """
        rest = data
        while rest:
            try:
                self.parser.feed_data(rest)
            except httptools.HttpParserUpgrade as offer:
                rest = rest[offer.args[0] :]
                head = self._get_head().encode_without_offer()
                self.parser = self._make_parser()
                self.parser.feed_data(head)
            else:
                return

    def _get_head(self) -> RequestHead:
        return RequestHead(
            self.parser.get_method(),
            self.url,
            self.parser.get_http_version(),
            self.headers,
        )

    def _make_parser(self) -> httptools.HttpRequestParser:
        parser = httptools.HttpRequestParser(self)
        # As uvicorn sets it.
        parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return parser

    def on_message_begin(self) -> None:
        """Starts the header timer and the count of header bytes."""
        super().on_message_begin()
        self._messages_started += 1
        self._began_in_last_read = True
        self._is_message_over = False
        self._body_left = self._empty_bytes = self._lines = 0
        self._reading_headers = True
        self._header_bytes = 0
        if not self._is_serving_request():
            self._waiting.wait_for_head(self)
        self._start_header_timer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes over a header, but no trailer.

        uvicorn appends trailers to the headers, without a limit.
        """
        if not self._reading_headers:
            self._items += 1
            return
        self._lines += 1
        super().on_header(name, value)
        if len(name) == len(_LENGTH_HEADER):
            is_length = name.lower() == _LENGTH_HEADER
            if (
                is_length
                and value.isdigit()
                and len(value) <= _MAX_LENGTH_DIGITS
            ):
                self._body_left = int(value)

    def on_headers_complete(self) -> None:
        """Starts the request, or refuses it.

        Raises:
            HttpParserError: it is refused.
        """
        head = self._get_head()
        self._problem = head.find_problem() or ""
        if self.parser.should_upgrade() and not self._problem:
            # The head is parsed again.
            return
        self._reading_headers = False
        if self._problem:
            raise httptools.HttpParserError(self._problem)
        self._framing_bytes = 0
        self._stop_header_timer()
        if not self._charge_head(REQUEST_BYTES):
            self.free_memory(Way.NO_MEMORY)
            self.headers.clear()
            return
        if head.version == "1.0":
            # A caller of this version takes an interim answer for the answer.
            self.expect_100_continue = False
        is_serving = self._is_serving_request()
        self._earlier_cycle = self.cycle if is_serving else None
        super().on_headers_complete()
        self._memory.drop_head(self)
        self._charges[self.cycle], self._head_charge = self._head_charge, 0
        if self.url.endswith(b"?") and not self.scope["query_string"]:
            self.scope["state"][EMPTY_QUERY] = True
        if not is_serving:
            self._waiting.wait_for_body(self)

    def on_chunk_header(self) -> None:
        """Allows for the framing of one chunk."""
        self._items += 1
        self._framing_bytes -= CHUNK_FRAMING_BYTES

    def on_body(self, body: bytes) -> None:
        """Takes over a part of the body."""
        self._framing_bytes -= len(body)
        if self._body_left:
            self._body_left -= len(body)
        if not self._refused:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends the body, but not at an offer, whose head is parsed again."""
        if self.parser.should_upgrade():
            return
        self._is_message_over = True
        if self._refused:
            return
        super().on_message_complete()
        if self._is_serving_request():
            self._waiting.remove(self)
        else:
            self._is_answered_message_over = True
            self._stop_header_timer()

    def on_response_complete(self) -> None:
        """Continues with the next request.

        If the connection closes instead, unsent data is dropped after
        `write_stall_timeout_s`.
        """
        super().on_response_complete()
        self._unread_bytes = self.transport.get_write_buffer_size()
        if self.transport.is_closing():
            self._start_stall_timer()
        elif self._is_reading_body() and not self.pipeline:
            self._waiting.wait_for_body(self)
        elif not self._is_serving_request():
            self._waiting.wait_for_head(self)
        if self._kept and not self.transport.is_closing():
            self.loop.call_soon(self._continue)

    def free_memory(self, way: Way) -> None:
        """Refuses the request that is read, or drops the unread answer."""
        self._memory.turned_away.note(way)
        if way is Way.UNREAD_ANSWER:
            self._abort()
            return
        self._refuse(
            503,
            MayHaveRun(Reason.AT_CAPACITY),
            "This instance has too little memory; send the call again later."
            + EARLIER_CALL_NOTE,
        )

    def give_way(self) -> bool:
        """Closes the connection, unless an answer is still being sent."""
        is_reading_body = self._is_reading_body()
        if self.transport.get_write_buffer_size() or (
            is_reading_body and self.cycle.response_started
        ):
            return False
        # It takes up no place while its last bytes are sent.
        self.connections.discard(self)
        if not self._refused and (self._reading_headers or is_reading_body):
            self._refuse_slow()
        self.transport.close()
        return True

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection, even if the response was not read.

        One whose caller has read on meanwhile was not idle.
        """
        unread_bytes = self.transport.get_write_buffer_size()
        if unread_bytes < self._unread_bytes:
            self._unread_bytes = unread_bytes
            self._start_keep_alive_timer()
        elif unread_bytes:
            self.transport.abort()
        else:
            super().timeout_keep_alive_handler()

    def pause_writing(self) -> None:
        """Blocks the application's writes until the caller has read."""
        super().pause_writing()
        self._start_stall_timer()
        size = self.transport.get_write_buffer_size()
        self._unread_charge += self._memory.reserve_unread(self, size)
        self._memory.hold_unread(self)

    def resume_writing(self) -> None:
        """Unblocks the application's writes."""
        super().resume_writing()
        self._release_unread()
        if not self.transport.is_closing():
            self._stop_stall_timer()

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
            self.transport.close()
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
            self.transport.close()
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

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        if cycle.scope["http_version"] == "1.0":
            app = CloseDelimitedApp(app, cycle)
        task = self.loop.create_task(cycle.run_asgi(app))
        self.tasks.add(task)

        def end(_: asyncio.Task[None]) -> None:
            self.tasks.discard(task)
            self._release_request(cycle)

        task.add_done_callback(end)

    def _charge_head(self, extra_bytes: int) -> bool:
        """Reserves memory for what has arrived of a head, and for more."""
        total = extra_bytes + self._lines * LINE_BYTES
        total += self._header_bytes * HEAD_COPIES
        size = max(0, total - self._head_charge)
        if not self._memory.reserve_head(self, size, total):
            return False
        self._head_charge += size
        return True

    def _release_head(self) -> None:
        self._memory.drop_head(self)
        self._memory.budget.release(self._head_charge)
        self._head_charge = 0

    def _release_request(self, cycle: RequestResponseCycle) -> None:
        """Drops the head of a request that was answered."""
        self._memory.budget.release(self._charges.pop(cycle, 0))
        if not cycle.more_body:
            # The connection would otherwise keep it while it is idle.
            cycle.scope["headers"] = []
            if cycle is self.cycle and not self._reading_headers:
                self.headers = []

    def _release_unread(self) -> None:
        self._memory.drop_unread(self)
        self._memory.budget.release(self._unread_charge)
        self._unread_charge = 0

    def _choose_verdict(self, reason: Reason) -> Verdict:
        """Returns NotRun only if the request certainly contained no ID."""
        headers = self.headers or []
        has_key = any(name == _KEY_HEADER for name, _ in headers)
        has_key = has_key or _KEY_HEADER in self._last_read.lower()
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
        if self._reading_headers:
            # No request has them.
            self.headers.clear()
        self._release_head()
        self._drop_incomplete_request()
        if not self._end_request():
            return
        self.transport.write(make_refusal(status, verdict, message))
        self._stop_stall_timer()
        self._stall_timer = self.loop.call_later(LINGERING_CLOSE_S, self._abort)

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
            self.cycle = self._earlier_cycle  # type: ignore[assignment]

    def _start_header_timer(self) -> None:
        if self._header_timer is None:
            self._header_timer = self.loop.call_later(
                self._limits.header_timeout_s, self._handle_header_timeout
            )

    def _start_keep_alive_timer(self) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def _start_stall_timer(self) -> None:
        if self._stall_timer is None:
            self._stall_timer = self.loop.call_later(
                self._limits.write_stall_timeout_s,
                self._check_stall,
                self.transport.get_write_buffer_size(),
            )

    def _check_stall(self, unread_before: int) -> None:
        """Drops a connection whose caller has read nothing for too long."""
        self._stall_timer = None
        if self.transport.get_write_buffer_size() < unread_before:
            self._start_stall_timer()
        else:
            self._abort()

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
