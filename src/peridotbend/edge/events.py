"""Splits a stream of server-sent events at event boundaries."""

import re

# An empty line ends an event. Lines end with LF or CRLF.
SEPARATORS = (b"\n\n", b"\r\n\r\n")
# A target in trouble may send bytes without end that complete no event. A sound
# event holds a few tokens.
MAX_EVENT_BYTES = 262_144
# Names of the lines of an event; a comment has none.
_FIELD_NAMES = frozenset((b"", b"data", b"event", b"id", b"retry"))
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d\b")
_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")


class EventSplitter:
    """Passes on complete events only, so that a broken stream can be resumed.

    A target may fail in the middle of an event. The incomplete event is
    dropped, and the target that resumes the stream sends it again.
    """

    def __init__(self, last_event_id: str = "") -> None:
        self._partial = b""
        # ID of the last event that was passed on; empty before the first.
        self.last_event_id = last_event_id
        # Whether the stream holds the head of another answer.
        self.has_foreign_head = False

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the events that are now complete."""
        data = self._partial + data
        ends = (data.rfind(s) + len(s) for s in SEPARATORS if s in data)
        end = max(ends, default=0)
        whole, self._partial = data[:end], data[end:]
        if _STATUS_LINE.search(whole):
            whole = self._cut_foreign_head(whole)
        self._update_last_event_id(whole)
        return whole

    @staticmethod
    def has_data(events: bytes) -> bool:
        """Tells whether events carry data, and not only comments."""
        return events.startswith(b"data") or b"\ndata" in events

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event exceeds the limit."""
        return len(self._partial) > MAX_EVENT_BYTES

    def take_remainder(self) -> bytes:
        """Returns the data after the last event, at the end of the stream."""
        rest, self._partial = self._partial, b""
        return rest

    def drop_partial(self) -> None:
        """Drops what does not belong to the stream after it broke."""
        self._partial = b""
        self.has_foreign_head = False

    def _cut_foreign_head(self, whole: bytes) -> bytes:
        """Returns the events before the head of another answer, if any.

        A body without a length takes in whatever its sender writes next. The
        text of an event may also mention a status line, but has no headers.
        """
        start = 0
        for match in _EVENT_END.finditer(whole):
            event = whole[start : match.end()]
            if _STATUS_LINE.search(event) and _has_foreign_lines(event):
                self.has_foreign_head = True
                return whole[:start]
            start = match.end()
        return whole

    def _update_last_event_id(self, whole: bytes) -> None:
        start = whole.rfind(b"\nid:")
        if start >= 0:
            start += 1
        elif whole.startswith(b"id:"):
            start = 0
        else:
            return
        line = whole[start + 3 : whole.index(b"\n", start)]
        self.last_event_id = line.strip().decode("latin-1")


def _has_foreign_lines(event: bytes) -> bool:
    lines = event.splitlines()
    if not _STATUS_LINE.search(lines[0]):
        # The first line of an event may be a header of its target.
        lines = lines[1:]
    names = (line.partition(b":")[0] for line in lines)
    return not _FIELD_NAMES.issuperset(names)
