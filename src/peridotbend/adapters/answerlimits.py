"""Limits on what surrounds the bodies of answers of targets and the store.

The HTTP library keeps each line as several objects: 110 to 150 bytes were
measured for a line of 4 to 7 bytes, and 230 to 280 while it is parsed. It takes
100 KB of them at once, with what a read holds beyond. What arrives is therefore
measured before it is parsed.
"""

import enum
import re

from peridotbend.domain.clock import Clock, SystemClock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog

# Bytes of a head, and of the trailers of a body. Common proxies and servers
# take 4 to 16 KB of an answer's head.
MAX_HEAD_BYTES = 32_768
# Lines of a head, and of the trailers of a body. Common proxies take 100 or
# 101 lines of an answer's head.
MAX_HEAD_LINES = 128
# Bytes of the line before a chunk. Its size has a few digits, and signatures
# in its extension have about 100.
MAX_CHUNK_LINE_BYTES = 4_096
# Sound targets send at most one interim answer, such as 100 or 103.
MAX_INTERIM_ANSWERS = 8
# Digits of a chunk size that the HTTP library takes; a longer one is refused.
MAX_SIZE_DIGITS = 20
# A target that exceeds limits again and again would otherwise fill the log.
MIN_LOG_INTERVAL_MS = 1_000
# As the HTTP library finds the end of a head.
_BLANK_LINE = re.compile(rb"\n\r?\n")


class AnswerLimit(enum.Enum):
    """A limit that an answer exceeds; the value labels metrics."""

    HEAD_BYTES = "head-bytes"
    HEAD_LINES = "head-lines"
    INTERIM_ANSWERS = "interim-answers"
    TRAILERS = "trailers"
    CHUNK_LINE = "chunk-line"


class LineMeter:
    """Counts what arrives up to the next blank line."""

    def __init__(self) -> None:
        self.is_ended = False
        self._bytes = 0
        self._lines = 0
        # The end of what was searched; a blank line may come at the start.
        self._tail = b"\n"

    def feed(self, data: bytes) -> AnswerLimit | None:
        """Adds data; returns the limit that is exceeded, if any."""
        if self.is_ended:
            return None
        joined = self._tail + data
        match = _BLANK_LINE.search(joined)
        self.is_ended = match is not None
        end = match.end() - len(self._tail) if match else len(data)
        self._tail = joined[-2:]
        self._bytes += end
        self._lines += data.count(b"\n", 0, end)
        if self._bytes > MAX_HEAD_BYTES:
            return AnswerLimit.HEAD_BYTES
        # The blank line is none of them.
        if self._lines - self.is_ended > MAX_HEAD_LINES:
            return AnswerLimit.HEAD_LINES
        return None


class ChunkMeter:
    """Follows the chunks of a body up to its trailers, and measures these."""

    def __init__(self) -> None:
        # Bytes of the current chunk and of the line end behind it, to come.
        self._left_bytes = 0
        self._line = b""
        self._trailers: LineMeter | None = None
        # What is no chunk is refused by the HTTP library.
        self._is_void = False

    def feed(self, data: bytes) -> AnswerLimit | None:
        """Adds data; returns the limit that is exceeded, if any."""
        position = 0
        while position < len(data) and not self._is_void:
            if self._trailers is not None:
                exceeded = self._trailers.feed(data[position:])
                return AnswerLimit.TRAILERS if exceeded else None
            if self._left_bytes:
                step = min(self._left_bytes, len(data) - position)
                self._left_bytes -= step
                position += step
                continue
            end = data.find(b"\n", position) + 1 or len(data)
            self._line += data[position:end]
            position = end
            if len(self._line) > MAX_CHUNK_LINE_BYTES:
                return AnswerLimit.CHUNK_LINE
            if self._line.endswith(b"\n"):
                self._read_line()
        return None

    def _read_line(self) -> None:
        line, self._line = self._line, b""
        digits = line.partition(b";")[0].strip()
        try:
            size = int(digits, 16) if len(digits) <= MAX_SIZE_DIGITS else -1
        except ValueError:
            size = -1
        if size > 0:
            self._left_bytes = size + len(b"\r\n")
        elif size == 0:
            self._trailers = LineMeter()
        else:
            self._is_void = True


class AnswerMeter:
    """Measures the answers on one connection as they arrive."""

    def __init__(self) -> None:
        # None while nothing is measured.
        self._part: LineMeter | ChunkMeter | None = None
        self._interim_answers = 0

    def start(self) -> None:
        """Begins with the head of another answer."""
        self._interim_answers = 0
        self._part = LineMeter()

    def feed(self, data: bytes) -> AnswerLimit | None:
        """Adds data; returns the limit that is exceeded, if any."""
        return None if self._part is None else self._part.feed(data)

    def start_next_head(self, rest: bytes) -> AnswerLimit | None:
        """Begins with the head behind an interim answer.

        Args:
            rest: what has arrived of it already.
        """
        self._interim_answers += 1
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            return AnswerLimit.INTERIM_ANSWERS
        self._part = LineMeter()
        return self._part.feed(rest)

    def start_chunks(self, rest: bytes) -> AnswerLimit | None:
        """Begins with a body in chunks; `rest` has arrived already."""
        self._part = ChunkMeter()
        return self._part.feed(rest)

    def stop(self) -> None:
        """Measures nothing until the next answer."""
        self._part = None


class OversizedAnswers:
    """Counts answers that exceed a limit, and logs each limit once a second."""

    def __init__(self, log: EventLog | None = None, clock: Clock | None = None):
        self._log = log
        self._clock = clock or SystemClock()
        self._counts = dict.fromkeys(AnswerLimit, 0)
        self._logged_counts = dict.fromkeys(AnswerLimit, 0)
        self._logged_ms: dict[AnswerLimit, int] = {}

    def note(self, limit: AnswerLimit, target: str) -> None:
        """Counts an answer of a target, or of the store."""
        self._counts[limit] += 1
        now_ms = self._clock.now_ms()
        last_ms = self._logged_ms.get(limit)
        if self._log is None or (
            last_ms is not None and now_ms - last_ms < MIN_LOG_INTERVAL_MS
        ):
            return
        self._logged_ms[limit] = now_ms
        count = self._counts[limit] - self._logged_counts[limit]
        self._logged_counts[limit] = self._counts[limit]
        self._log.emit(
            Event.OVERSIZED_ANSWER,
            limit=limit.value,
            target=target,
            count=count,
        )

    def count(self, label: str) -> int:
        """Returns how many there were so far, by the value of a limit."""
        return self._counts[AnswerLimit(label)]
