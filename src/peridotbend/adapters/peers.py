"""Channels and bounds of the peer protocol."""

import asyncio
import dataclasses
from typing import Any, Protocol

import grpclib.client
import grpclib.server
import h2.exceptions
from google.protobuf.message import DecodeError
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from peridotbend.domain import ports

# Names the process that a call is meant for. A process restarted on the same
# address refuses calls that were meant for the one before it.
INCARNATION_KEY = "peridotbend-incarnation"
MAX_CHANNELS = 1_024
WINDOW_BYTES = 1_048_576


AnyStream = grpclib.server.Stream[Any, Any] | grpclib.client.Stream[Any, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLimits:
    """Bounds of the peer protocol."""

    max_digest_bytes: int = 262_144
    max_forward_bytes: int = 16 * 1_048_576
    max_chunk_bytes: int = 262_144
    batch_bytes: int = 1_048_576
    # A record larger than a batch travels alone.
    max_batch_bytes: int = 32 * 1_048_576
    max_text_bytes: int = 2 * 1_048_576
    max_small_bytes: int = 16_384
    max_forwards: int = 1_024
    max_streams: int = 1_024
    connect_s: float = 1.0
    unary_s: float = 1.0
    hand_over_s: float = 5.0
    # How long a reader may stop reading.
    send_s: float = 30.0
    # Longer than the overnight forecasts wait for spare capacity.
    forward_s: float = 24 * 3_600.0


class OversizedMessageError(Exception):
    """A peer announced a message over the bound."""


# What a broken or hostile peer can cause; anything else is a fault here.
# grpclib reports a message cut short by AssertionError and a compressed one
# by NotImplementedError.
PEER_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    h2.exceptions.H2Error,
    DecodeError,
    OversizedMessageError,
    AssertionError,
    NotImplementedError,
    asyncio.TimeoutError,
)


class TrialKeeper(Protocol):
    """Grants trials at the owner of a fingerprint."""

    def grant_trial(
        self, fingerprint: bytes, holder: str, permit_ms: int
    ) -> ports.TrialAnswer:
        """Grants or refuses permission to run a suspect."""
        ...

    def finish_trial(self, fingerprint: bytes, crashed: bool) -> None:
        """Notes how the trial ended."""
        ...

    def cancel_trial(self, fingerprint: bytes, holder: str) -> None:
        """Takes back a permit that was not used."""
        ...


def finish_trial(
    keeper: TrialKeeper,
    fingerprint: bytes,
    holder: str,
    outcome: ports.TrialOutcome,
) -> None:
    """Tells the keeper how a trial ended."""
    if outcome is ports.TrialOutcome.INCONCLUSIVE:
        keeper.cancel_trial(fingerprint, holder)
    else:
        crashed = outcome is ports.TrialOutcome.CRASHED
        keeper.finish_trial(fingerprint, crashed)


class ChannelPool:
    """One channel for each peer address; connects when first used."""

    def __init__(self) -> None:
        self._channels: dict[tuple[str, int], grpclib.client.Channel] = {}

    def open(self, host: str, port: int) -> grpclib.client.Channel:
        """Returns the channel to an address."""
        key = (host, port)
        channel = self._channels.pop(key, None)
        if channel is None:
            if len(self._channels) >= MAX_CHANNELS:
                oldest = next(iter(self._channels))
                self._channels.pop(oldest).close()
            channel = grpclib.client.Channel(
                host, port, config=make_configuration()
            )
        # Reinsertion keeps the least recently used channel first.
        self._channels[key] = channel
        return channel

    def drop(self, host: str, port: int) -> None:
        """Closes the channel to an address, so that the next use connects."""
        channel = self._channels.pop((host, port), None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


def make_configuration() -> Configuration:
    """Returns the HTTP/2 settings of both sides."""
    return Configuration(
        http2_connection_window_size=4 * WINDOW_BYTES,
        http2_stream_window_size=WINDOW_BYTES,
    )


def bound_messages(stream: AnyStream, max_bytes: int) -> None:
    """Refuses messages over the bound before they are buffered.

    grpclib reads a message of any announced length into memory and has no
    setting against it, so the read of the inner stream is wrapped.
    """
    inner = stream._stream
    read = inner.recv_data

    async def read_bounded(size: int) -> bytes:
        if size > max_bytes:
            raise OversizedMessageError(f"{size} bytes, bound {max_bytes}")
        return await read(size)

    inner.recv_data = read_bounded  # type: ignore[method-assign]
