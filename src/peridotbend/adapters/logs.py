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

# Request IDs are secrets: whoever knows one can fetch the answer.
REQUEST_PREFIX_LENGTH = 8
MAX_VALUE_LENGTH = 300
MAX_ENTRIES = 32
WITHHELD = "[withheld]"
# About 60 KB/s, and two lines for each of 100 requests a second.
LINES_PER_S = 200

_REQUEST_FIELDS = frozenset(("request", "request_id", "requests"))
# Set by this module, or a parameter of structlog's own methods.
_RESERVED = frozenset(("event", "level", "method_name", "number", "timestamp"))
# Names, and ends of names after an underscore, of fields that stay out.
_SECRET_NAMES = frozenset((
    "answer", "authorization", "bearer", "body", "cookie", "data", "headers",
    "key", "password", "prompt", "secret", "token",
))  # fmt: skip

_WARNINGS = frozenset(
    (
        Event.TEXT_REFUSED,
        Event.TEXT_CONFLICT,
        Event.PLATFORM_UNREACHABLE,
        Event.TARGET_FAILED,
        Event.TARGET_STRAGGLING,
        Event.SUSPECT_RECORDED,
        Event.SUSPECT_QUARANTINED,
        Event.PEER_LOST,
        Event.CONFIG_REFUSED,
        Event.ENTRY_SKIPPED,
        Event.SETTINGS_REFUSED,
        Event.LINES_DROPPED,
    )
)
_ERRORS = frozenset((Event.HAND_OVER_FAILED, Event.INTERNAL_ERROR))
# One or more of these for each request: too many for a busy process.
_DETAILS = frozenset(
    (
        Event.REQUEST_DISPATCHED,
        Event.REQUEST_ENDED,
        Event.REQUEST_FORWARDED,
        Event.REQUEST_REFUSED,
        Event.STREAM_RESUMED,
        Event.CONNECT_RETRIED,
        Event.TARGET_REJECTED,
        Event.TARGET_CALL_FAILED,
        Event.ANSWER_BROKEN,
        Event.CALLER_GONE,
    )
)


def find_level(event: Event) -> str:
    """Returns the level that an event is logged at."""
    if event in _ERRORS:
        return "error"
    if event in _WARNINGS:
        return "warning"
    return "debug" if event in _DETAILS else "info"


class StructuredLog:
    """Event log that writes one JSON object a line."""

    def __init__(
        self,
        level: str = "info",
        stream: "TextIO | BoundedStream | None" = None,
        **context: object,
    ):
        """Creates a log.

        Args:
            level: lowest level that is written.
            stream: where to write; standard error by default.
            **context: fields of every line, such as `instance`.
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
        """Writes one event with its fields, without bodies and secrets."""
        level = find_level(event)
        if not self._logger.is_enabled_for(
            logging.getLevelNamesMapping()[level.upper()]
        ):
            return
        cleaned = _clean_fields(fields)
        cleaned["number"] = event.value
        write = getattr(self._logger, level)
        # A closed or full pipe must not end the request that is logged.
        with contextlib.suppress(OSError, ValueError):
            write(event.label, **cleaned)


def _clean_fields(fields: Mapping[str, object]) -> dict[str, object]:
    return {
        f"field_{name}" if name in _RESERVED else name: _clean(name, value)
        for name, value in list(fields.items())[:MAX_ENTRIES]
    }


def _clean(name: str, value: object) -> object:
    lowered = name.lower()
    if lowered in _REQUEST_FIELDS:
        return _cut_request(value)
    if lowered.rpartition("_")[2] in _SECRET_NAMES:
        return WITHHELD
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, enum.Enum):
        return _clean(name, value.value)
    if isinstance(value, bytes | bytearray | memoryview):
        return WITHHELD
    if isinstance(value, Mapping):
        entries = list(value.items())[:MAX_ENTRIES]
        return {str(k)[:80]: _clean(str(k), v) for k, v in entries}
    if isinstance(value, list | tuple | set | frozenset):
        return [_clean(name, item) for item in list(value)[:MAX_ENTRIES]]
    return str(value)[:MAX_VALUE_LENGTH]


def _cut_request(value: object) -> object:
    if value is None:
        return None
    if isinstance(value, list | tuple | set | frozenset):
        return [_cut_request(item) for item in list(value)[:MAX_ENTRIES]]
    text = (
        value.decode("ascii", "replace") if isinstance(value, bytes) else value
    )
    return str(text)[:REQUEST_PREFIX_LENGTH]


class BoundedStream:
    """Writes lines to a file descriptor without ever waiting.

    Lines over the rate, and those that a full pipe does not take, are dropped
    and counted; the next line that is written tells how many.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: int = LINES_PER_S,
        clock: Clock | None = None,
    ):
        """Makes the descriptor non-blocking.

        Args:
            descriptor: where to write.
            lines_per_s: lines that are written at most, on average; a burst
                may have as many at once.
            clock: source of time; that of the system by default.
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rate = lines_per_s
        self._room = float(lines_per_s)
        self._clock = clock or SystemClock()
        self._refilled_at_ms = self._clock.now_ms()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Writes a line, or drops it."""
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._refilled_at_ms) * self._rate / 1_000
        self._room = min(self._rate, self._room + gained)
        self._refilled_at_ms = now_ms
        if self._room < 1:
            self.dropped += 1
            return len(text)
        self._room -= 1
        line = text
        if self.dropped:
            note = {"event": Event.LINES_DROPPED.label, "lines": self.dropped}
            note["number"] = Event.LINES_DROPPED.value
            line = f"{json.dumps(note)}\n{text}"
        try:
            os.write(self._descriptor, line.encode())
        except OSError:
            self.dropped += 1
        else:
            self.dropped = 0
        return len(text)

    def flush(self) -> None:
        """Does nothing: each line is written at once."""
