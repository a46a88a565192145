"""Reads from callers in small steps, so that none holds up the others."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

from uvicorn.protocols.http.flow_control import FlowControl

# Heads of proper callers fit into one read. uvloop reads up to 250 KB at once
# otherwise, whose header lines or requests take up many times as much.
READ_BYTES = 4_096
# Bodies with a length need no parsing.
BODY_READ_BYTES = 65_536
# Buffered answers above this size pause what writes them; the kernel buffers
# more.
MAX_UNSENT_BYTES = 16_384

# Reasons to pause reading, combined by bits.
FOR_SERVER = 1
FOR_TURN = 2
FOR_NEXT_REQUEST = 4


class ReadingFlow(FlowControl):
    """uvicorn's flow control with several reasons to pause reading."""

    def __init__(self, transport: asyncio.Transport):
        super().__init__(transport)
        self._reasons = 0

    def pause_reading(self) -> None:
        """Pauses reading as uvicorn asks for it."""
        self.pause_for(FOR_SERVER)

    def resume_reading(self) -> None:
        """Resumes reading unless there is another reason to pause."""
        self.resume_for(FOR_SERVER)

    def pause_for(self, reason: int) -> None:
        """Pauses reading until the same reason is resumed."""
        self._reasons |= reason
        super().pause_reading()

    def resume_for(self, reason: int) -> None:
        """Ends one reason to pause."""
        if self._reasons & reason:
            self._reasons &= ~reason
            if not self._reasons and not self._transport.is_closing():
                super().resume_reading()


class ReadingTurns:
    """Lets connections whose input is laborious to parse read in turn.

    One of them reads in each round of the event loop.
    """

    def __init__(self) -> None:
        self._waiting: deque[ReadingFlow] = deque()

    def wait(self, flow: ReadingFlow, loop: asyncio.AbstractEventLoop) -> None:
        """Pauses reading until it is the turn of the connection."""
        flow.pause_for(FOR_TURN)
        self._waiting.append(flow)
        if len(self._waiting) == 1:
            loop.call_soon(self._resume_next, loop)

    def _resume_next(self, loop: asyncio.AbstractEventLoop) -> None:
        self._waiting.popleft().resume_for(FOR_TURN)
        if self._waiting:
            loop.call_soon(self._resume_next, loop)


class BufferedReader(asyncio.BufferedProtocol):
    """Gives a connection what arrives, in parts of limited size."""

    def __init__(
        self,
        connection: asyncio.Protocol,
        count_plain_bytes: Callable[[], int],
        buffer: memoryview,
    ):
        """Creates a reader.

        Args:
            connection: takes over what is read.
            count_plain_bytes: tells how much will come that needs no parsing.
            buffer: of BODY_READ_BYTES; it may be shared by all readers of an
                event loop, since each read is taken over at once.
        """
        self._connection = connection
        self._count_plain_bytes = count_plain_bytes
        self._large = buffer
        self._small = buffer[:READ_BYTES]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes the transport on."""
        # uvloop's transports don't derive from asyncio's.
        cast(asyncio.Transport, transport).set_write_buffer_limits(
            MAX_UNSENT_BYTES
        )
        self._connection.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes the end on."""
        self._connection.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where to read to, as large as the next read may be."""
        del sizehint
        plain_bytes = self._count_plain_bytes()
        if plain_bytes > READ_BYTES:
            # Not beyond, since what follows may have to be kept.
            return self._large[:plain_bytes]
        return self._small

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what was read."""
        self._connection.data_received(bytes(self._large[:nbytes]))

    def eof_received(self) -> None:
        """Passes the end of the input on."""
        self._connection.eof_received()

    def pause_writing(self) -> None:
        """Passes on that the caller does not read."""
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the caller has read."""
        self._connection.resume_writing()
