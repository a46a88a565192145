"""Connections to targets that peers hold."""

import contextlib
from collections.abc import Callable
from typing import Any

import anyio
import grpclib.client
import httpcore

from peridotbend.adapters.connections import PeerLostError
from peridotbend.adapters.pathserver import split_data
from peridotbend.adapters.peers import PEER_ERRORS
from peridotbend.wire import edge_pb2 as pb

PathStream = grpclib.client.Stream[pb.PathChunk, pb.PathChunk]


class RelayedStream(httpcore.AsyncNetworkStream):
    """A connection to a target that a peer holds."""

    def __init__(
        self, stream: PathStream, peer: str, on_close: Callable[[], None]
    ):
        self.peer = peer
        self._stream = stream
        self._on_close = on_close
        self._is_closed = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns the next data, or b"" at the end of the stream."""
        try:
            with anyio.fail_after(timeout):
                chunk = await self._stream.recv_message()
        except TimeoutError as error:
            raise httpcore.ReadTimeout(
                f"nothing arrived in {timeout} s"
            ) from error
        except PEER_ERRORS as error:
            raise PeerLostError(describe_error(error)) from error
        if chunk is None:
            raise PeerLostError("the peer ended the call")
        if chunk.state == pb.ENDED:
            return b""
        if chunk.state != pb.OPEN:
            raise httpcore.ReadError(chunk.detail)
        return chunk.data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes data, and waits while the peer does not take it."""
        try:
            with anyio.fail_after(timeout):
                for part in split_data(buffer):
                    await self._stream.send_message(pb.PathChunk(data=part))
        except TimeoutError as error:
            raise httpcore.WriteTimeout(
                f"the peer took nothing in {timeout} s"
            ) from error
        except PEER_ERRORS as error:
            raise httpcore.WriteError(describe_error(error)) from error

    async def aclose(self) -> None:
        """Ends the connection, which ends the request at the target."""
        if not self._is_closed:
            self._is_closed = True
            self._on_close()
            await reset_call(self._stream)

    def get_extra_info(self, info: str) -> Any:
        """Returns nothing; the connection is not kept."""
        return None


async def reset_call(stream: PathStream) -> None:
    """Ends a call at once, whatever its state."""
    error = ConnectionAbortedError()
    with contextlib.suppress(*PEER_ERRORS):
        await stream.__aexit__(type(error), error, None)


def describe_error(error: BaseException) -> str:
    """Returns what is known of an error."""
    return f"{type(error).__name__}: {error}"
