"""Channels, limits and message checks of the peer protocol."""

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

# Metadata key for the incarnation of the process that a call is addressed to.
# A process that was restarted on the same address refuses calls that were
# addressed to its predecessor.
INCARNATION_KEY = "peridotbend-incarnation"
MAX_CHANNELS = 1_024
STREAM_WINDOW_BYTES = 1_048_576


AnyStream = grpclib.server.Stream[Any, Any] | grpclib.client.Stream[Any, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLimits:
    """Sizes, counts and timeouts that the peer protocol enforces."""

    max_digest_bytes: int = 262_144
    max_forward_bytes: int = 16 * 1_048_576
    max_chunk_bytes: int = 262_144
    batch_bytes: int = 1_048_576
    # Limit of one batch message. A record larger than batch_bytes is sent in a
    # batch of its own.
    max_batch_bytes: int = 32 * 1_048_576
    max_text_bytes: int = 2 * 1_048_576
    max_small_message_bytes: int = 16_384
    max_forwards: int = 1_024
    max_streams: int = 1_024
    connect_timeout_s: float = 1.0
    unary_timeout_s: float = 1.0
    hand_over_timeout_s: float = 5.0
    # How long one message may be blocked by a peer that does not read.
    send_timeout_s: float = 30.0
    # Must exceed the time that overnight forecasts wait for spare capacity.
    forward_timeout_s: float = 24 * 3_600.0


class OversizedMessageError(Exception):
    """A peer announced a message larger than the limit."""


# Exceptions that a broken or hostile peer can cause; any other exception is a
# defect of this process. grpclib raises AssertionError for a truncated message
# and NotImplementedError for a compressed one.
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


class TrialRegistry(Protocol):
    """Grants trials for the fingerprints that this process owns.

    A trial is a single run of a request that is suspected of crashing its
    target.
    """

    def grant_trial(
        self, fingerprint: bytes, holder: str, permit_ms: int
    ) -> ports.TrialAnswer:
        """Grants or refuses permission to run a suspected request."""
        ...

    def finish_trial(self, fingerprint: bytes, crashed: bool) -> None:
        """Records whether the trial crashed its target."""
        ...

    def cancel_trial(self, fingerprint: bytes, holder: str) -> None:
        """Releases a permit whose trial gave no result."""
        ...


def finish_trial(
    registry: TrialRegistry,
    fingerprint: bytes,
    holder: str,
    outcome: ports.TrialOutcome,
) -> None:
    """Records the outcome of a trial."""
    if outcome is ports.TrialOutcome.INCONCLUSIVE:
        registry.cancel_trial(fingerprint, holder)
    else:
        crashed = outcome is ports.TrialOutcome.CRASHED
        registry.finish_trial(fingerprint, crashed)


class ChannelPool:
    """Holds one channel per peer address; a channel connects on first use."""

    def __init__(self, config: Configuration | None = None) -> None:
        self._config = config or make_http2_configuration()
        self._channels: dict[tuple[str, int], grpclib.client.Channel] = {}

    def open(self, host: str, port: int) -> grpclib.client.Channel:
        """Returns the channel to an address."""
        key = (host, port)
        channel = self._channels.pop(key, None)
        if channel is None:
            if len(self._channels) >= MAX_CHANNELS:
                oldest = next(iter(self._channels))
                self._channels.pop(oldest).close()
            channel = grpclib.client.Channel(host, port, config=self._config)
        # Reinsertion keeps the least recently used channel first.
        self._channels[key] = channel
        return channel

    def drop(self, host: str, port: int) -> None:
        """Closes the channel to an address; the next use reconnects."""
        channel = self._channels.pop((host, port), None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


def make_http2_configuration() -> Configuration:
    """Returns the HTTP/2 settings that clients and servers of peers use."""
    return Configuration(
        http2_connection_window_size=4 * STREAM_WINDOW_BYTES,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
    )


def limit_message_size(stream: AnyStream, max_bytes: int) -> None:
    """Refuses messages over the limit before they are buffered.

    grpclib reads a message of any announced length into memory and has no
    setting to limit it, so this wraps the read method of the inner stream.
    """
    inner = stream._stream
    read = inner.recv_data

    async def read_limited(size: int) -> bytes:
        if size > max_bytes:
            raise OversizedMessageError(
                f"message of {size} bytes exceeds the limit of {max_bytes}"
            )
        return await read(size)

    inner.recv_data = read_limited  # type: ignore[method-assign]
