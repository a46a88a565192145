"""Tests of the copying of server-sent events."""

import unittest

from peridotbend.domain.answers import AnswerBuffer
from peridotbend.domain.ports import AnswerHead
from peridotbend.domain.streams import EventStream

HEAD = AnswerHead(
    200, (("Content-Type", "text/event-stream"), ("Engine-Stream", "s1"))
)
EVENTS = [f"id: {n}\ndata: word{n}\n\n".encode() for n in range(6)]
BODY = b"".join(EVENTS) + b"data: [DONE]\n\n"


class EventStreamTest(unittest.TestCase):
    """Event boundaries when the connection breaks at any byte."""

    def test_resume_after_a_cut_at_any_byte_gives_the_whole_answer(
        self,
    ) -> None:
        """Guards against lost or repeated events after a resume."""
        for cut in range(len(BODY)):
            answer = AnswerBuffer()
            stream = EventStream(answer, HEAD, True)
            for start in range(0, cut, 7):
                stream.feed(BODY[start : min(start + 7, cut)])
            stream.discard_partial()
            last = stream.last_event_id
            rest = EVENTS[int(last) + 1 :] if last else EVENTS
            stream.feed(b"".join(rest) + b"data: [DONE]\n\n")
            stream.finish()
            assert answer.content() == BODY, cut

    def test_resume_point_follows_each_whole_event(self) -> None:
        """Guards against repeated events when each arrives on its own."""
        answer = AnswerBuffer()
        stream = EventStream(answer, HEAD, True)
        for number, event in enumerate(EVENTS):
            stream.feed(event)
            assert stream.last_event_id == str(number)
            assert not stream.is_complete
        stream.feed(b"data: [DONE]\n\n")
        assert stream.is_complete and stream.last_event_id == "5"
        assert answer.content() == BODY

    def test_closing_event_completes_the_answer(self) -> None:
        """Guards against a resume that repeats the closing event."""
        stream = EventStream(AnswerBuffer(), HEAD, True)
        stream.feed(BODY[:-1])
        assert not stream.is_complete
        stream.feed(BODY[-1:])
        assert stream.is_complete

    def test_other_content_is_copied_unchanged(self) -> None:
        """Guards against delaying the bytes of a JSON answer."""
        answer = AnswerBuffer()
        stream = EventStream(answer, AnswerHead(200, ()), True)
        stream.feed(b'{"a"')
        stream.feed(b": 1}")
        assert answer.content() == b'{"a": 1}'
        assert not stream.can_resume
