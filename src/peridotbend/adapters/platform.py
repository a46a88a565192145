"""Reads the text and the instance list from the platform over HTTP."""

import json
from collections import deque
from collections.abc import Mapping

import anyio
import httpcore
from result import Err, Ok, Result

from peridotbend.adapters.peerdigest import MAX_NAME_CHARS
from peridotbend.adapters.peerwire import split_address
from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import (
    InstanceInfo,
    InstanceRole,
    PlatformError,
)

CONNECT_TIMEOUT_S = 0.5
# Added to the requested wait.
READ_TIMEOUT_MARGIN_S = 0.5
MAX_TEXT_BYTES = 1_048_576
# Enough for 8,000 targets and 720 entry instances at about 200 bytes each.
MAX_LIST_BYTES = 8 * 1_048_576
MAX_INSTANCES = 16_384
RATE_WINDOW_MS = 10_000
# Limits the memory used to measure the rate; a higher number of calls in the
# window is reported as this number.
MAX_RATE_CALLS = 4_096
ABSENT_MIN_WAIT_MS = 1_000
# A body with one of these does not end with its connection.
_DELIMITERS = frozenset((b"content-length", b"transfer-encoding"))


class HttpPlatform:
    """Implements PlatformReader over HTTP and measures its call rate."""

    def __init__(self, base_url: str, clock: Clock):
        self._base_url = base_url.rstrip("/")
        self._clock = clock
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4, keepalive_expiry=60.0
        )
        self._call_count = 0
        self._recent_calls_ms: deque[int] = deque(maxlen=MAX_RATE_CALLS)

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    def count_calls(self) -> int:
        """Returns the number of calls since the start."""
        return self._call_count

    def calls_per_s(self) -> float:
        """Returns the mean call rate over the last 10 s."""
        window_start_ms = self._clock.now_ms() - RATE_WINDOW_MS
        while (
            self._recent_calls_ms
            and self._recent_calls_ms[0] <= window_start_ms
        ):
            self._recent_calls_ms.popleft()
        return len(self._recent_calls_ms) * 1_000 / RATE_WINDOW_MS

    async def watch_config(
        self, newer_than: int, wait_ms: int
    ) -> Result[str | None, PlatformError]:
        """Returns a text newer than the version, or None when the wait ends."""
        path = f"/v1/text?after={newer_than}&wait_ms={wait_ms}"
        # A part of a text may be a valid text with fewer services.
        body = await self._get(
            path, wait_ms, MAX_TEXT_BYTES, must_be_delimited=True
        )
        if isinstance(body, Err):
            return body
        if body.ok_value is None:
            return Ok(None)
        try:
            return Ok(body.ok_value.decode())
        except UnicodeDecodeError as error:
            return Err(PlatformError(f"the text is not UTF-8: {error}"))

    async def watch_instances(
        self, after_revision: int, wait_ms: int
    ) -> Result[tuple[int, tuple[InstanceInfo, ...]] | None, PlatformError]:
        """Returns a newer revision of the list, or None when the wait ends."""
        path = f"/v1/instances?after={after_revision}&wait_ms={wait_ms}"
        body = await self._get(path, wait_ms, MAX_LIST_BYTES)
        if isinstance(body, Err):
            return body
        if body.ok_value is None:
            return Ok(None)
        try:
            return Ok(parse_instances(body.ok_value))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            return Err(PlatformError(f"malformed instance list: {error!r}"))

    async def _get(
        self,
        path: str,
        wait_ms: int,
        max_bytes: int,
        must_be_delimited: bool = False,
    ) -> Result[bytes | None, PlatformError]:
        self._call_count += 1
        self._recent_calls_ms.append(self._clock.now_ms())
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "read": wait_ms / 1_000 + READ_TIMEOUT_MARGIN_S,
            "write": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
        }
        try:
            async with self._pool.stream(
                "GET", self._base_url + path, extensions={"timeout": timeouts}
            ) as response:
                if must_be_delimited and not _is_delimited(response):
                    problem = "the answer has neither a length nor chunks"
                    return Err(PlatformError(problem))
                return await _read_body(response, max_bytes)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            OSError,
        ) as error:
            return Err(PlatformError(f"{type(error).__name__}: {error}"))


def parse_instances(body: bytes) -> tuple[int, tuple[InstanceInfo, ...]]:
    """Parses the platform's list of instances.

    Raises:
        ValueError: the list or an entry breaks the protocol.
        KeyError: a field is missing.
        TypeError: a field has the wrong type.
    """
    document = json.loads(body)
    entries = document["instances"]
    if not isinstance(entries, list) or len(entries) > MAX_INSTANCES:
        raise ValueError(
            f"instances must be a list of at most {MAX_INSTANCES} entries"
        )
    revision = document["revision"]
    if not isinstance(revision, int):
        raise TypeError("the revision is not an integer")
    return revision, tuple(_parse_instance(entry) for entry in entries)


def _parse_instance(entry: Mapping[str, object]) -> InstanceInfo:
    host, port = _split_address(entry.get("address"))
    peer_host, peer_port = _split_address(entry.get("peer_address"))
    role = InstanceRole(_read_string(entry["role"]))
    if role is InstanceRole.ENTRY and peer_port:
        host = peer_host
    if entry["state"] not in ("live", "leaving"):
        raise ValueError(f"unknown state {entry['state']!r}")
    return InstanceInfo(
        name=_read_string(entry["name"]),
        role=role,
        zone=_read_string(entry["zone"]),
        host=host,
        port=port,
        peer_port=peer_port,
        incarnation=_read_string(entry.get("incarnation", "")),
        leaving=entry["state"] == "leaving",
    )


def _split_address(value: object) -> tuple[str, int]:
    if value in (None, ""):
        return "", 0
    address = split_address(_read_string(value))
    if address is None:
        raise ValueError(f"address {value!r} is not ip:port")
    return address


def _read_string(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    if len(value) > MAX_NAME_CHARS:
        raise ValueError(f"{value[:60]!r}... is too long for a digest")
    value.encode()  # Raises ValueError for half a character, as JSON may hold.
    return value


def _is_delimited(response: httpcore.Response) -> bool:
    names = {name.lower() for name, _ in response.headers}
    return response.status != 200 or not names.isdisjoint(_DELIMITERS)


async def _read_body(
    response: httpcore.Response, max_bytes: int
) -> Result[bytes | None, PlatformError]:
    if response.status == 304:
        return Ok(None)
    if response.status != 200:
        return Err(PlatformError(f"status {response.status}"))
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > max_bytes:
            return Err(PlatformError(f"the answer exceeds {max_bytes} bytes"))
    return Ok(bytes(body))


class AbsentPlatform:
    """Implements PlatformReader for a process without a platform."""

    def calls_per_s(self) -> float:
        """Returns 0, since no calls are made."""
        return 0.0

    async def watch_config(
        self, newer_than: int, wait_ms: int
    ) -> Result[str | None, PlatformError]:
        """Returns None when the wait ends."""
        del newer_than
        await anyio.sleep(max(wait_ms, ABSENT_MIN_WAIT_MS) / 1_000)
        return Ok(None)

    async def watch_instances(
        self, after_revision: int, wait_ms: int
    ) -> Result[tuple[int, tuple[InstanceInfo, ...]] | None, PlatformError]:
        """Returns None when the wait ends, at once if `wait_ms` is 0."""
        del after_revision
        await anyio.sleep(wait_ms / 1_000)
        return Ok(None)


def make_platform(base_url: str, clock: Clock) -> HttpPlatform | AbsentPlatform:
    """Returns a reader for the URL, or an AbsentPlatform if it is empty."""
    return HttpPlatform(base_url, clock) if base_url else AbsentPlatform()
