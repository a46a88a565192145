"""Splits a stream of server-sent events into whole events."""

# An empty line ends an event, whichever way its lines end.
SEPARATORS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Passes on whole events only, so that a broken stream can be resumed.

    A target may stop in the middle of an event; that part is dropped and
    comes again from the target that resumes the stream.
    """

    def __init__(self, last_event_id: str = "") -> None:
        self._partial = b""
        # ID of the last event that the caller has; empty before the first.
        self.last_event_id = last_event_id

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events that are there after these bytes."""
        data = self._partial + data
        ends = (data.rfind(s) + len(s) for s in SEPARATORS if s in data)
        end = max(ends, default=0)
        whole, self._partial = data[:end], data[end:]
        self._update_last_event_id(whole)
        return whole

    def take_remainder(self) -> bytes:
        """Returns what follows the last whole event at a proper end."""
        rest, self._partial = self._partial, b""
        return rest

    def drop_partial(self) -> None:
        """Drops the begun event of a stream that broke."""
        self._partial = b""

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
