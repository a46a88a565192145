"""Numbered log events as JSON lines on standard error."""

import contextlib
import enum
import json
import logging
import os
import sys
from collections.abc import Mapping
from typing import TextIO, cast

import structlog

from peridotbend.domain.clock import Clock, SystemClock
from peridotbend.domain.events import Event

# Request IDs are secrets, because whoever knows one can fetch the answer. Only
# this prefix is logged.
REQUEST_PREFIX_LENGTH = 8
MAX_VALUE_LENGTH = 300
MAX_ENTRIES = 32
WITHHELD = "[withheld]"
# Enough for two lines for each of 100 requests a second; about 60 KB/s.
LINES_PER_S = 200

_REQUEST_FIELDS = frozenset(("request", "request_id", "requests"))
# Names that this module sets or that structlog's methods have as parameters.
_RESERVED_FIELDS = frozenset(
    ("event", "level", "method_name", "number", "timestamp")
)
# Fields whose value is withheld: those with one of these names, or whose name
# ends in an underscore and one of these.
_SECRET_NAMES = frozenset((
    "answer", "authorization", "bearer", "body", "cookie", "data", "headers",
    "key", "password", "prompt", "secret", "token",
))  # fmt: skip

_WARNING_EVENTS = frozenset(
    (
        Event.TEXT_REFUSED,
        Event.TEXT_CONFLICT,
        Event.PLATFORM_UNREACHABLE,
        Event.TARGET_FAILED,
        Event.OVERSIZED_ANSWER,
        Event.TARGET_LINKS_LOST,
        Event.TARGET_REPLACED,
        Event.SERVICE_BRITTLE,
        Event.TARGET_STRAGGLING,
        Event.SUSPECT_RECORDED,
        Event.SUSPECT_QUARANTINED,
        Event.CRASH_CAUSE_FOUND,
        Event.TARGET_LIMIT_NAMED,
        Event.PEER_LOST,
        Event.CONFIG_REFUSED,
        Event.ENTRY_SKIPPED,
        Event.ENTRY_FIELD_IGNORED,
        Event.STORE_RESTORED,
        Event.SETTINGS_REFUSED,
        Event.LINES_DROPPED,
        Event.MEMORY_REFUSED,
        Event.HEAD_GAVE_WAY,
        Event.UNREAD_ANSWER_CLOSED,
    )
)
_ERROR_EVENTS = frozenset((Event.HAND_OVER_FAILED, Event.INTERNAL_ERROR))
# Each request logs one or more of these, which is too much for a busy process.
_DEBUG_EVENTS = frozenset(
    (
        Event.REQUEST_DISPATCHED,
        Event.STREAM_TAKEN_UP,
        Event.SEND_STALLED,
        Event.FAILOVER_ENDED,
        Event.REQUEST_ENDED,
        Event.REQUEST_FORWARDED,
        Event.REQUEST_REFUSED,
        Event.STREAM_RESUMED,
        Event.CONNECT_RETRIED,
        Event.TARGET_REJECTED,
        Event.TARGET_CALL_FAILED,
        Event.TARGET_ASKED,
        Event.TARGET_RUN_JUDGED,
        Event.ANSWER_BROKEN,
        Event.CALLER_GONE,
    )
)


def find_level(event: Event) -> str:
    """Returns the level at which an event is logged."""
    if event in _ERROR_EVENTS:
        return "error"
    if event in _WARNING_EVENTS:
        return "warning"
    return "debug" if event in _DEBUG_EVENTS else "info"


class StructuredLog:
    """Event log that writes one JSON object a line."""

    def __init__(
        self,
        level: str = "info",
        stream: "TextIO | RateLimitedStream | None" = None,
        **context: object,
    ):
        """Creates a log.

        Args:
            level: the lowest level that is written.
            stream: the stream to write to; standard error by default.
            **context: fields to add to every line, such as `instance`.
        """
        minimum = logging.getLevelNamesMapping()[level.upper()]
        self._logger: structlog.typing.FilteringBoundLogger = (
            structlog.wrap_logger(
                structlog.WriteLogger(cast(TextIO, stream or sys.stderr)),
                processors=[
                    structlog.processors.add_log_level,
                    structlog.processors.TimeStamper(fmt="iso", utc=True),
                    structlog.processors.JSONRenderer(),
                ],
                wrapper_class=structlog.make_filtering_bound_logger(minimum),
            ).bind(**_clean_fields(context))
        )

    def emit(self, event: Event, **fields: object) -> None:
        """Writes an event, without bodies, secrets and full request IDs."""
        level = find_level(event)
        if not self._logger.is_enabled_for(
            logging.getLevelNamesMapping()[level.upper()]
        ):
            return
        cleaned = _clean_fields(fields)
        cleaned["number"] = event.value
        write = getattr(self._logger, level)
        # A closed or full pipe must not fail the request that is logged.
        with contextlib.suppress(OSError, ValueError):
            write(event.label, **cleaned)


def _clean_fields(fields: Mapping[str, object]) -> dict[str, object]:
    return {
        f"field_{name}"
        if name in _RESERVED_FIELDS
        else name: _clean_value(name, value)
        for name, value in list(fields.items())[:MAX_ENTRIES]
    }


def _clean_value(name: str, value: object) -> object:
    lowered = name.lower()
    if lowered in _REQUEST_FIELDS:
        return _truncate_request_id(value)
    if lowered.rpartition("_")[2] in _SECRET_NAMES:
        return WITHHELD
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, enum.Enum):
        return _clean_value(name, value.value)
    if isinstance(value, bytes | bytearray | memoryview):
        return WITHHELD
    if isinstance(value, Mapping):
        entries = list(value.items())[:MAX_ENTRIES]
        return {str(k)[:80]: _clean_value(str(k), v) for k, v in entries}
    if isinstance(value, list | tuple | set | frozenset):
        return [_clean_value(name, item) for item in list(value)[:MAX_ENTRIES]]
    return str(value)[:MAX_VALUE_LENGTH]


def _truncate_request_id(value: object) -> object:
    if value is None:
        return None
    if isinstance(value, list | tuple | set | frozenset):
        return [
            _truncate_request_id(item) for item in list(value)[:MAX_ENTRIES]
        ]
    text = (
        value.decode("ascii", "replace") if isinstance(value, bytes) else value
    )
    return str(text)[:REQUEST_PREFIX_LENGTH]


class RateLimitedStream:
    """Writes lines to a file descriptor without blocking.

    Lines over the rate, and those that don't fit into a full pipe, are dropped
    and counted. The next line is preceded by a `lines-dropped` event with
    their number.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: int = LINES_PER_S,
        clock: Clock | None = None,
    ):
        """Makes the descriptor non-blocking.

        Args:
            descriptor: the file descriptor to write to.
            lines_per_s: maximum average rate, and maximum size of a burst.
            clock: the source of time; the system clock by default.
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._available_lines = float(lines_per_s)
        self._clock = clock or SystemClock()
        self._refilled_at_ms = self._clock.now_ms()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Writes a line, or drops it."""
        now_ms = self._clock.now_ms()
        refilled = (now_ms - self._refilled_at_ms) * self._lines_per_s / 1_000
        self._available_lines = min(
            self._lines_per_s, self._available_lines + refilled
        )
        self._refilled_at_ms = now_ms
        if self._available_lines < 1:
            self.dropped += 1
            return len(text)
        self._available_lines -= 1
        line = text
        if self.dropped:
            notice = {"event": Event.LINES_DROPPED.label, "lines": self.dropped}
            notice["number"] = Event.LINES_DROPPED.value
            line = f"{json.dumps(notice)}\n{text}"
        try:
            os.write(self._descriptor, line.encode())
        except OSError:
            self.dropped += 1
        else:
            self.dropped = 0
        return len(text)

    def flush(self) -> None:
        """Does nothing, because lines are not buffered."""
