"""Copies server-sent events from a target into an answer."""

import json
import re

from peridotbend.domain.answers import AnswerBuffer
from peridotbend.domain.ports import AnswerHead

SEPARATOR = b"\n\n"
# The usage is at the end of an answer, so only this much of it is searched.
USAGE_TAIL_BYTES = 1_024
# Quotes within JSON strings are escaped, so generated text cannot match this.
_COMPLETION_TOKENS = re.compile(rb'"completion_tokens"\s*:\s*(\d{1,9})\b')
# The empty name stands for comments and empty lines.
_FIELDS = frozenset((b"data", b"id", b"event", b"retry", b""))
_COMMON_EVENT = re.compile(rb"id: ([0-9]{1,18})\ndata: [^\n]*+\n\n")
_EVENT_ID = re.compile(rb"[0-9]{1,18}")
# Larger bodies are not parsed, since that would delay other requests.
MAX_PARSED_BYTES = 262_144
_STATUSES_WITHOUT_BODY = frozenset((204, 205, 304))
_NUMBER_STARTS = frozenset(bytes((byte,)) for byte in b"-0123456789")
EVENT_STREAM_TYPE = "text/event-stream"
CLOSING_EVENT = b"data: [DONE]\n\n"
_CLOSING_LINE = b"\n" + CLOSING_EVENT


def find_header(head: AnswerHead, name: str) -> str:
    """Returns the value of a header, or "" if it is missing."""
    return next(iter(list_header_values(head, name)), "")


def list_header_values(head: AnswerHead, name: str) -> list[str]:
    """Returns the values of all headers with a name."""
    name = name.lower()
    return [v for n, v in head.headers if n.lower() == name]


def count_output_tokens(head: AnswerHead, content: bytes) -> int | None:
    """Returns the number of tokens of a complete answer, or None if unknown.

    A stream has about one event for each token. Other answers contain the
    number.
    """
    if is_event_stream(head):
        return content.count(SEPARATOR)
    reported = _COMPLETION_TOKENS.findall(content[-USAGE_TAIL_BYTES:])
    return int(reported[-1]) if reported else None


def is_event_stream(head: AnswerHead) -> bool:
    """Tells whether an answer consists of server-sent events."""
    if head.status in _STATUSES_WITHOUT_BODY:
        return False
    types = list_header_values(head, "content-type")
    return bool(types) and all(map(_is_event_stream_type, types))


def _is_event_stream_type(content_type: str) -> bool:
    # Types are compared without case, and parameters may follow.
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE


class EventStream:
    """Appends only whole events, so that a broken stream can be resumed.

    Answers with other content types are copied unchanged.
    """

    def __init__(self, answer: AnswerBuffer, head: AnswerHead, is_engine: bool):
        """Creates a stream without events.

        Args:
            answer: what the events are appended to.
            head: of the answer that begins the stream.
            is_engine: whether a model engine gives the answer.
        """
        self._answer = answer
        self.is_events = is_event_stream(head)
        self.stream_id = find_header(head, "engine-stream")
        # Errors are no streams of an engine, whatever their type.
        self._is_engine_stream = (
            self.is_events
            and 200 <= head.status < 300
            and (is_engine or bool(self.stream_id))
        )
        # Whether the target offered to continue the stream.
        self.can_resume = self._is_engine_stream and bool(self.stream_id)
        self._partial = b""
        self._last_number = -1
        # Whether an event without an ID came last, which a resumed stream
        # would repeat.
        self._has_unnumbered_end = False
        # Whether the closing event has arrived.
        self.is_complete = False

    @property
    def is_after_numbered_event(self) -> bool:
        """Whether the next event is the one after `last_event_id`."""
        return not self._has_unnumbered_end

    @property
    def partial_bytes(self) -> int:
        """The size of the event that is incomplete so far."""
        return len(self._partial)

    @property
    def has_ended(self) -> bool:
        """Whether any further bytes belong to no run."""
        return self._is_engine_stream and self.is_complete

    @property
    def last_event_id(self) -> str:
        """The ID of the last event that has one, or "" if there is none."""
        return "" if self._last_number < 0 else str(self._last_number)

    def is_resumed_by(self, head: AnswerHead) -> bool:
        """Tells whether an answer with this head may continue the stream."""
        stream_id = find_header(head, "engine-stream")
        return (
            head.status == 200
            and is_event_stream(head)
            and stream_id in ("", self.stream_id)
        )

    def is_cut(self, head: AnswerHead) -> bool:
        """Tells whether an answer that ended here was broken off.

        Only the closing event shows that a stream of an engine is whole,
        since a target in trouble may also end its body in order. For other
        answers, the end of a connection without a length or chunks says
        nothing.

        Args:
            head: of the answer that ended, which may resume an earlier one.
        """
        if self._partial.strip():
            return True
        if not self.is_events or self.is_complete:
            return False
        if self._is_engine_stream:
            return True
        return not head.is_delimited and len(self._answer) == 0

    def shows_end(self, head: AnswerHead) -> bool:
        """Tells whether the answer itself shows that nothing is missing.

        The connection of a body without a length or chunks also ends with
        the process that sends it.
        """
        if head.is_delimited:
            return True
        if self.is_events:
            return self.is_complete
        return self._is_json(head) and self._is_whole_json()

    def shows_cut(self, head: AnswerHead) -> bool:
        """Tells whether the answer itself shows that something is missing."""
        if self.is_events or self.shows_end(head):
            return False
        return self._is_json(head)

    def _is_json(self, head: AnswerHead) -> bool:
        """Tells whether parts of the body are known not to be valid."""
        if len(self._answer) > MAX_PARSED_BYTES:
            return False
        if list_header_values(head, "content-encoding"):
            return False
        types = list_header_values(head, "content-type")
        name = types[0].partition(";")[0].strip().lower() if types else ""
        if name != "application/json" and not name.endswith("+json"):
            return False
        # A part of a number may be a number.
        return self._answer.content().lstrip()[:1] not in _NUMBER_STARTS

    def _is_whole_json(self) -> bool:
        try:
            json.loads(self._answer.content())
        except (ValueError, RecursionError):
            return False
        return True

    def feed(self, data: bytes) -> str:
        """Processes a chunk of the body.

        Returns why no run gives the events in it, or "". Nothing of a chunk
        that no run gives is appended.
        """
        if not self.is_events:
            self._answer.append(data)
            return ""
        data = self._partial + data if self._partial else data
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._partial = data
            return ""
        end += len(SEPARATOR)
        whole, self._partial = data[:end], data[end:]
        end = _find_end(whole)
        if self._is_engine_stream:
            if end:
                whole, self._partial = whole[:end], b""
            problem = self._read_events(whole)
            if problem:
                return problem
        self.is_complete = end == len(whole)
        self._answer.append(whole)
        return ""

    def _read_events(self, whole: bytes) -> str:
        """Reads whole events; returns why they are foreign, or ""."""
        if b"\0" in whole or not _is_text(whole):
            return "an event is no text"
        # Fast path for the most common case: a chunk that is one event.
        common = _COMMON_EVENT.fullmatch(whole)
        if common and (number := int(common[1])) > self._last_number:
            self._last_number = number
            self._has_unnumbered_end = False
            return ""
        last_number = self._last_number
        has_data = has_id = False
        has_unnumbered_end = self._has_unnumbered_end
        for line in whole.split(b"\n"):
            if not line and has_data:
                has_unnumbered_end = not has_id
                has_data = has_id = False
            field, _, value = line.partition(b":")
            has_data = has_data or field == b"data"
            event_id = value.strip()
            if field == b"id" and event_id and self.can_resume:
                if not _EVENT_ID.fullmatch(event_id):
                    return "an event has an ID that is no number"
                if int(event_id) <= last_number:
                    return f"event {int(event_id)} follows {last_number}"
                last_number = int(event_id)
                has_id = True
            elif field not in _FIELDS:
                return "a line is no field of an event"
        self._last_number = last_number
        self._has_unnumbered_end = has_unnumbered_end
        return ""

    def discard_partial(self) -> None:
        """Drops an incomplete event, which a resumed stream sends again."""
        self._partial = b""

    def finish(self) -> None:
        """Appends remaining bytes after the body has ended normally."""
        if self._partial:
            self._answer.append(self._partial)
            self._partial = b""


def _find_end(whole: bytes) -> int:
    """Returns where the closing event ends, or 0 if there is none."""
    if whole.startswith(CLOSING_EVENT):
        return len(CLOSING_EVENT)
    at = whole.find(_CLOSING_LINE)
    return at + len(_CLOSING_LINE) if at >= 0 else 0


def _is_text(data: bytes) -> bool:
    if data.isascii():
        return True
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True
