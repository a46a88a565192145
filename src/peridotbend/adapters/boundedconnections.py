"""uvicorn connection with limits that are enforced before the application."""

import asyncio
from typing import Any

import httptools
from uvicorn.config import Config
from uvicorn.server import ServerState

from peridotbend.adapters.asgi import EMPTY_QUERY
from peridotbend.adapters.callermemory import REQUEST_BYTES, CallerMemory
from peridotbend.adapters.connectionlimits import (
    MAX_REFUSED_CONNECTIONS,
    ConnectionLimits,
)
from peridotbend.adapters.reading import (
    FOR_NEXT_REQUEST,
    ReadingFlow,
    ReadingTurns,
)
from peridotbend.adapters.refusingconnections import RefusingConnection
from peridotbend.adapters.requestcuts import (
    find_chunked_cut,
    find_cut,
    skip_empty_lines,
)
from peridotbend.adapters.requestheads import RequestHead
from peridotbend.adapters.turnedaway import Way
from peridotbend.adapters.waitingconnections import WaitingConnections

# More than the size line of a chunk and the end of its data take.
CHUNK_FRAMING_BYTES = 24
_LENGTH_HEADER = b"content-length"
# Longer lengths are refused by the parser.
_MAX_LENGTH_DIGITS = 18
# Header lines and chunks in one read that take longer to parse than several
# ordinary requests.
MAX_ITEMS_PER_TURN = 256
# The input of a refused connection is read in parts of this size.
DISCARD_BYTES = 65_536


class BoundedConnection(RefusingConnection):
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
        memory = memory or CallerMemory()
        super().__init__(limits, memory, config, server_state, app_state, _loop)
        self._waiting = waiting
        self._turns = turns or ReadingTurns()
        # Whether the parser is between two messages.
        self._is_message_over = True
        # Bytes of the body that are still to come, if its length is known.
        self._body_left = 0
        # Bytes of empty lines since the last message.
        self._empty_bytes = 0
        # Chunks and trailers of a read.
        self._items = 0
        # Whether a message ended in it whose response was complete before.
        self._is_answered_message_over = False
        self._messages_started = 0
        # Bytes of the current body that are neither data nor chunk sizes.
        self._framing_bytes = 0

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
        """Discards further input."""
        super().connection_lost(exc)
        self._waiting.remove(self)
        self._refused = True
        self._kept = b""

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
            return
        if head.version == "1.0":
            # A caller of this version takes an interim answer for the answer.
            self.expect_100_continue = False
        is_serving = self._is_serving_request()
        self._earlier_cycle = self.cycle if is_serving else None
        super().on_headers_complete()
        self._keep_charge()
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
