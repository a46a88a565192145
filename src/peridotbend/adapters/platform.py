"""Reads the text and the instance list from the platform over HTTP."""

import json
from collections import deque
from collections.abc import Mapping

import anyio
import httpcore
from result import Err, Ok, Result

from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import (
    InstanceInfo,
    InstanceRole,
    PlatformError,
)

CONNECT_TIMEOUT_S = 1.0
# On top of the wait that was asked for.
READ_SLACK_S = 2.0
MAX_TEXT_BYTES = 1_048_576
# 8,000 targets and 720 entry instances at about 200 bytes a line.
MAX_LIST_BYTES = 8 * 1_048_576
MAX_INSTANCES = 16_384
RATE_WINDOW_MS = 10_000
# Bounds the memory of the rate; more calls than this are reported as this.
MAX_RATE_CALLS = 4_096
ABSENT_WAIT_MS = 1_000


class HttpPlatform:
    """PlatformReader over HTTP; counts its calls."""

    def __init__(self, base_url: str, clock: Clock):
        self._base_url = base_url.rstrip("/")
        self._clock = clock
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4, keepalive_expiry=60.0
        )
        self._calls = 0
        self._recent: deque[int] = deque(maxlen=MAX_RATE_CALLS)

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    def count_calls(self) -> int:
        """Returns the number of calls since the start."""
        return self._calls

    def calls_per_s(self) -> float:
        """Returns the mean rate of calls over the last 10 s."""
        since = self._clock.now_ms() - RATE_WINDOW_MS
        while self._recent and self._recent[0] <= since:
            self._recent.popleft()
        return len(self._recent) * 1_000 / RATE_WINDOW_MS

    async def watch_config(
        self, newer_than: int, wait_ms: int
    ) -> Result[str | None, PlatformError]:
        """Returns a text published after that version, or None at the end."""
        path = f"/v1/text?after={newer_than}&wait_ms={wait_ms}"
        body = await self._get(path, wait_ms, MAX_TEXT_BYTES)
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
        self, path: str, wait_ms: int, max_bytes: int
    ) -> Result[bytes | None, PlatformError]:
        self._calls += 1
        self._recent.append(self._clock.now_ms())
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "read": wait_ms / 1_000 + READ_SLACK_S,
            "write": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
        }
        try:
            async with self._pool.stream(
                "GET", self._base_url + path, extensions={"timeout": timeouts}
            ) as response:
                return await _read(response, max_bytes)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            OSError,
        ) as error:
            return Err(PlatformError(f"{type(error).__name__}: {error}"))


def parse_instances(body: bytes) -> tuple[int, tuple[InstanceInfo, ...]]:
    """Parses the platform's list.

    Raises:
        ValueError: a line is not what the protocol says.
        KeyError: a field is missing.
        TypeError: a field has the wrong type.
    """
    document = json.loads(body)
    lines = document["instances"]
    if not isinstance(lines, list) or len(lines) > MAX_INSTANCES:
        raise ValueError(f"expected a list of at most {MAX_INSTANCES}")
    revision = document["revision"]
    if not isinstance(revision, int):
        raise TypeError("the revision is no integer")
    return revision, tuple(_parse_instance(line) for line in lines)


def _parse_instance(line: Mapping[str, object]) -> InstanceInfo:
    host, port = _split_address(line.get("address"))
    peer_host, peer_port = _split_address(line.get("peer_address"))
    role = InstanceRole(_read_string(line["role"]))
    if role is InstanceRole.ENTRY and peer_port:
        host = peer_host
    if line["state"] not in ("live", "leaving"):
        raise ValueError(f"unknown state {line['state']!r}")
    return InstanceInfo(
        name=_read_string(line["name"]),
        role=role,
        zone=_read_string(line["zone"]),
        host=host,
        port=port,
        peer_port=peer_port,
        incarnation=_read_string(line.get("incarnation", "")),
        leaving=line["state"] == "leaving",
    )


def _split_address(value: object) -> tuple[str, int]:
    if value in (None, ""):
        return "", 0
    host, _, port = _read_string(value).rpartition(":")
    number = int(port)
    if not host or not 0 < number < 65_536:
        raise ValueError(f"address {value!r} is not ip:port")
    return host.strip("[]"), number


def _read_string(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no string")
    return value


async def _read(
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
            return Err(PlatformError(f"answer is over {max_bytes} bytes"))
    return Ok(bytes(body))


class AbsentPlatform:
    """PlatformReader of a process that is set up without a platform."""

    def calls_per_s(self) -> float:
        """Returns 0: nothing is called."""
        return 0.0

    async def watch_config(
        self, newer_than: int, wait_ms: int
    ) -> Result[str | None, PlatformError]:
        """Returns None when the wait ends."""
        del newer_than
        await anyio.sleep(max(wait_ms, ABSENT_WAIT_MS) / 1_000)
        return Ok(None)

    async def watch_instances(
        self, after_revision: int, wait_ms: int
    ) -> Result[tuple[int, tuple[InstanceInfo, ...]] | None, PlatformError]:
        """Returns None when the wait ends; a read has no wait."""
        del after_revision
        await anyio.sleep(wait_ms / 1_000)
        return Ok(None)


def make_platform(base_url: str, clock: Clock) -> HttpPlatform | AbsentPlatform:
    """Returns the reader for a URL, or one that reads nothing without it."""
    return HttpPlatform(base_url, clock) if base_url else AbsentPlatform()
