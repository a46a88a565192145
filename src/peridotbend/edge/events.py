"""Reads the events of a run from a stream of server-sent events."""

import re

# A target in trouble may send bytes without end that complete no event. A sound
# event holds a few tokens.
MAX_EVENT_BYTES = 262_144
# Longer numbers are no event IDs, and slow to parse.
MAX_ID_DIGITS = 18
# An empty line ends an event. Lines end with LF or CRLF.
_EVENT_END = re.compile(rb"\n\r?\n")
# Possessive, since repeats that keep their way back take memory for each line.
_EMPTY_BLOCKS = re.compile(rb"(?:(?::[^\r\n\0]*+\r?\n)*+\r?\n)++")
_LONE_CR = re.compile(rb"\r(?!\n)")
# Fields that an event may have besides its ID and its data.
_OTHER_FIELDS = frozenset((b"event", b"retry"))
_ID = re.compile(rb"[0-9]{1,%d}" % MAX_ID_DIGITS)


class EventSplitter:
    """Passes on the events of runs, and nothing else that targets send.

    An event of a run has data and one ID: a number, by one greater than that of
    the event before, across all runs that continue the stream. A target in
    trouble may send anything between its events, or break off inside of one.
    What is no event is dropped, and nothing after it in the same run is
    believed. The target that continues the stream sends the rest.
    """

    def __init__(self, last_event_id: str = "") -> None:
        """Creates the splitter.

        Args:
            last_event_id: the last event that the caller has, as it says.
        """
        # ID of the last event that was passed on; empty before the first.
        self.last_event_id = last_event_id
        # ID of the next event; None if the caller's ID does not tell.
        self._next_id: int | None = 1
        if last_event_id:
            is_number = _ID.fullmatch(last_event_id.encode())
            self._next_id = int(last_event_id) + 1 if is_number else None
        self._header = b""
        self._partial = b""
        # Whether comments or empty lines came after the last event.
        self._has_skipped = False
        # Why the rest of the run is not believed; empty while it is.
        self.problem = ""

    @property
    def has_trailing_bytes(self) -> bool:
        """Whether the run sent anything after its last event."""
        return self._has_skipped or bool(self._partial)

    def start_run(self, event_header: str = "") -> None:
        """Prepares for the stream of another run.

        Args:
            event_header: name of the header that the first line of an event
                may hold; empty if there is none.
        """
        self._header = event_header.encode()
        self._partial = b""
        self._has_skipped = False
        self.problem = ""

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the events that are now complete."""
        if self.problem:
            return b""
        if not self._partial and self._is_plain_event(data):
            self._note_passed()
            return data
        # What was searched before may hold the first half of a separator.
        searched = max(0, len(self._partial) - 2)
        data = self._partial + data
        events = bytearray()
        # The start of an incomplete block was looked at when it came.
        start = 0 if self._partial else self._skip_empty_blocks(data, 0)
        searched = max(searched, start)
        while not self.problem:
            match = _EVENT_END.search(data, searched)
            if match is None:
                break
            events += self._read_event(data[start : match.end()])
            start = searched = self._skip_empty_blocks(data, match.end())
        self._partial = b"" if self.problem else data[start:]
        if len(self._partial) > MAX_EVENT_BYTES:
            self._partial = b""
            self.problem = "event without an end"
        return bytes(events)

    def take_remainder(self) -> bytes:
        """Returns the incomplete event at the end of the stream."""
        rest, self._partial = self._partial, b""
        return rest

    def _skip_empty_blocks(self, data: bytes, start: int) -> int:
        """Returns where blocks of comments and empty lines end.

        A target in trouble may send nothing else. Taking each apart would keep
        the process from its other requests.
        """
        match = _EMPTY_BLOCKS.match(data, start)
        if match is None:
            return start
        self._has_skipped = True
        if not _is_text(match.group()):
            self.problem = "bytes that are no text"
        return match.end()

    def _is_plain_event(self, data: bytes) -> bool:
        """Tells whether data is the next event in the most common form.

        Saves the time to take it apart.
        """
        return (
            self._next_id is not None
            and data.startswith(b"id: %d\ndata: " % self._next_id)
            and data.endswith(b"\n\n")
            and data.count(b"\n") == 3
            and data.isascii()
            and b"\r" not in data
            and b"\0" not in data
        )

    def _read_event(self, block: bytes) -> bytes:
        """Returns the event that a block of lines holds.

        Comments and empty lines carry nothing and are left out. Returns b"" if
        nothing else is there, or if it is not the next event of the run.
        """
        if self._is_plain_event(block):
            self._note_passed()
            return block
        if not _is_text(block):
            self.problem = "bytes that are no text"
            return b""
        lines = [
            line
            for line in block.splitlines(keepends=True)
            if line.rstrip(b"\r\n") and not line.startswith(b":")
        ]
        if not lines:
            self._has_skipped = True
            return b""
        self.problem = self._find_problem([x.rstrip(b"\r\n") for x in lines])
        if self.problem:
            return b""
        self._note_passed()
        lines.append(b"\r\n" if block.endswith(b"\r\n") else b"\n")
        return b"".join(lines)

    def _find_problem(self, lines: list[bytes]) -> str:
        """Returns why lines are not the next event, or "" if they are."""
        fields = [line.partition(b":")[::2] for line in lines]
        if self._header and fields[0][0] == self._header:
            _, value = fields.pop(0)
            if not value.strip().isdigit():
                return "header line without a number"
        names = [name for name, _ in fields]
        if not _OTHER_FIELDS.issuperset(set(names) - {b"id", b"data"}):
            return "line that is no field"
        if names.count(b"id") != 1:
            return "event without one ID"
        if b"data" not in names:
            return "event without data"
        event_id = fields[names.index(b"id")][1].strip()
        if self._next_id is None and _ID.fullmatch(event_id):
            # Any number may begin the rest of a stream that the caller has
            # named by something else.
            self._next_id = int(event_id)
        if event_id != b"%d" % (self._next_id or 0):
            return "event ID that does not follow"
        return ""

    def _note_passed(self) -> None:
        assert self._next_id is not None, "an event without a known ID"
        self.last_event_id = str(self._next_id)
        self._next_id += 1
        self._has_skipped = False


def _is_text(block: bytes) -> bool:
    """Tells whether bytes are text with complete line ends."""
    if b"\0" in block or _LONE_CR.search(block):
        return False
    try:
        block.decode()
    except UnicodeDecodeError:
        return False
    return True
