"""Tests of the limits on what surrounds the bodies of answers."""

import unittest
from collections.abc import Iterable, Iterator
from typing import Any
from unittest import mock

import anyio
import httpcore
from result import Err

from peridotbend.adapters.answerlimits import (
    MAX_CHUNK_LINE_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    MAX_INTERIM_ANSWERS,
    MIN_LOG_INTERVAL_MS,
    AnswerLimit,
    ChunkMeter,
    LineMeter,
    OversizedAnswers,
)
from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.paths import Endpoint
from peridotbend.domain.ports import CallError, CallFailure, TargetCall
from peridotbend.domain.text import Target

TARGET = Target("t", "engine", "zone-a", "127.0.0.1", 1)
CALL = TargetCall("GET", "/", (), b"", 10_000)
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
BODY = b"body"
CHUNKS = b"4\r\nbody\r\n0\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n"
MAX_LINES = b"a:\r\n" * (MAX_HEAD_LINES - 2)


class _FixedStream(httpcore.AsyncNetworkStream):
    """A connection that brings some bytes in parts, and then ends."""

    def __init__(self, parts: Iterable[bytes]):
        self._parts = iter(parts)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        return next(self._parts, b"")

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        pass

    async def aclose(self) -> None:
        pass

    def get_extra_info(self, info: str) -> Any:
        return None


class _FixedDialer:

    def __init__(self, parts: Iterable[bytes]):
        self._parts = parts

    def allows_reuse(self, target: Endpoint) -> bool:
        return False

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        return _FixedStream(self._parts)


def _split(data: bytes, size: int) -> Iterator[bytes]:
    return (data[i : i + size] for i in range(0, len(data), size))


def _read(parts: Iterable[bytes], oversized: OversizedAnswers) -> object:
    """Returns the body of an answer that arrives in parts, or its error."""

    async def run() -> object:
        client = HttpTargetClient(
            dialer=_FixedDialer(parts), oversized=oversized
        )
        body = b""
        async with client.open(TARGET, CALL, lambda: True) as opened:
            if isinstance(opened, Err):
                return opened.err_value
            async for chunk in opened.ok_value.chunks():
                if isinstance(chunk, Err):
                    return chunk.err_value
                body += chunk.ok_value
        return body

    return anyio.run(run)


class AnswerTest(unittest.TestCase):
    """Answers at the limits and beyond."""

    def _check_served(self, answer: bytes) -> None:
        for size in (1, 7, 65_536):
            oversized = OversizedAnswers()
            found = _read(_split(answer, size), oversized)
            assert found == BODY, (size, found)
            for limit in AnswerLimit:
                assert not oversized.count(limit.value), (size, limit)

    def _check_damaged(self, answer: bytes, limit: AnswerLimit) -> None:
        for size in (1, 7, 65_536):
            oversized = OversizedAnswers()
            found = _read(_split(answer, size), oversized)
            assert isinstance(found, CallError), (size, found)
            assert found.failure is CallFailure.BROKEN, found
            assert found.written
            assert found.blames_target
            assert limit.value in found.detail, (size, found)
            assert oversized.count(limit.value) == 1

    def test_answers_at_the_limits_are_served(self) -> None:
        """Guards against limits that refuse what they should let pass."""
        for answer in (
            STATUS_LINE + LENGTH + MAX_LINES + b"\r\n" + BODY,
            STATUS_LINE + CHUNKED + MAX_LINES + b"\r\n" + CHUNKS + b"\r\n",
            STATUS_LINE
            + CHUNKED
            + b"\r\n"
            + CHUNKS
            + b"a: b\r\n" * MAX_HEAD_LINES
            + b"\r\n",
            INTERIM * MAX_INTERIM_ANSWERS
            + STATUS_LINE
            + LENGTH
            + b"\r\n"
            + BODY,
        ):
            self._check_served(answer)

    def test_head_of_the_largest_size_is_served(self) -> None:
        """Guards against a limit below the one that is documented."""
        start = STATUS_LINE + LENGTH + b"a: "
        rest = MAX_HEAD_BYTES - len(start) - len(b"\r\n\r\n")
        answer = start + b"x" * rest + b"\r\n\r\n"
        assert len(answer) == MAX_HEAD_BYTES
        self._check_served(answer + BODY)
        longer = start + b"x" * (rest + 1) + b"\r\n\r\n"
        self._check_damaged(longer + BODY, AnswerLimit.HEAD_BYTES)

    def test_lines_of_bodies_are_not_counted(self) -> None:
        """Guards against bodies of many lines that are taken for heads."""
        lines = b"a:\n" * 1_000
        for head, body in (
            (b"Content-Length: %d\r\n" % len(lines), lines),
            (b"", lines),
            (CHUNKED, b"%x\r\n%s\r\n0\r\n\r\n" % (len(lines), lines)),
        ):
            answer = STATUS_LINE + head + b"\r\n" + body
            assert _read([answer], OversizedAnswers()) == lines

    def test_lines_of_a_head(self) -> None:
        """Guards against heads whose lines take far more than their bytes."""
        answer = STATUS_LINE + LENGTH + MAX_LINES + b"a:\r\n\r\n" + BODY
        self._check_damaged(answer, AnswerLimit.HEAD_LINES)

    def test_lines_of_an_interim_answer(self) -> None:
        """Guards against lines that the library reads and drops."""
        interim = INTERIM[:-2] + MAX_LINES + b"a:\r\n\r\n"
        answer = interim + STATUS_LINE + LENGTH + b"\r\n" + BODY
        self._check_damaged(answer, AnswerLimit.HEAD_LINES)
        self._check_damaged(INTERIM + answer, AnswerLimit.HEAD_LINES)

    def test_interim_answers(self) -> None:
        """Guards against interim answers that are read to the deadline."""
        interim = INTERIM * (MAX_INTERIM_ANSWERS + 1)
        answer = interim + STATUS_LINE + LENGTH + b"\r\n" + BODY
        self._check_damaged(answer, AnswerLimit.INTERIM_ANSWERS)

    def test_trailers(self) -> None:
        """Guards against trailers without a limit on their lines."""
        head = STATUS_LINE + CHUNKED + b"\r\n"
        trailers = b"a: b\r\n" * (MAX_HEAD_LINES + 1)
        self._check_damaged(
            head + CHUNKS + trailers + b"\r\n", AnswerLimit.TRAILERS
        )
        self._check_damaged(
            head + CHUNKS + b"a: " + b"x" * MAX_HEAD_BYTES,
            AnswerLimit.TRAILERS,
        )

    def test_line_before_a_chunk(self) -> None:
        """Guards against extensions of chunks that fill the memory."""
        head = STATUS_LINE + CHUNKED + b"\r\n"
        self._check_damaged(
            head + b"4;a=" + b"x" * MAX_CHUNK_LINE_BYTES,
            AnswerLimit.CHUNK_LINE,
        )

    def test_chunks_that_are_none_are_damaged(self) -> None:
        """Guards against a meter that fails where the library refuses."""
        for line in (b"\r\n", b"x\r\n", b"-1\r\n", b"0" * 30 + b"\r\n"):
            answer = STATUS_LINE + CHUNKED + b"\r\n" + line + BODY
            found = _read([answer], OversizedAnswers())
            assert isinstance(found, CallError), line
            assert found.failure is CallFailure.BROKEN, line


class MeterTest(unittest.TestCase):
    """What the meters follow, however it is split."""

    def test_blank_line_in_two_parts(self) -> None:
        """Guards against a head whose end is not found."""
        head = b"a\r\nb\r\n\r\n"
        for end in range(len(head) + 1):
            meter = LineMeter()
            meter.feed(head[:end])
            assert meter.is_ended == (end == len(head))
            meter.feed(head[end:])
            assert meter.is_ended

    def test_what_follows_a_head_is_not_counted(self) -> None:
        """Guards against a body that arrives with its head."""
        meter = LineMeter()
        data = b"a\r\n\r\n" + b"\n" * MAX_HEAD_BYTES
        assert meter.feed(data) is None
        assert meter.feed(data) is None

    def test_sizes_with_extensions(self) -> None:
        """Guards against chunks whose end is sought in their data."""
        data = b"5;a=b\r\n0\r\n\r\n\r\n" + b"A\r\n" + b"0\r\n" * 3 + b"x\r\n"
        for size in (1, 2, 5, 100):
            meter = ChunkMeter()
            for part in _split(data + b"0\r\n", size):
                assert meter.feed(part) is None
            exceeded = meter.feed(b"a:\r\n" * (MAX_HEAD_LINES + 1))
            assert exceeded is AnswerLimit.TRAILERS


class OversizedAnswersTest(unittest.TestCase):
    """The lines in the log."""

    def test_each_limit_is_logged_once_a_second(self) -> None:
        """Guards against a target that fills the log."""
        log = mock.Mock()
        clock = ManualClock()
        answers = OversizedAnswers(log, clock)
        for _ in range(3):
            answers.note(AnswerLimit.TRAILERS, "t")
        answers.note(AnswerLimit.HEAD_LINES, "u")
        clock.advance(MIN_LOG_INTERVAL_MS)
        answers.note(AnswerLimit.TRAILERS, "v")
        found = [call.kwargs for call in log.emit.call_args_list]
        assert [(x["limit"], x["target"], x["count"]) for x in found] == [
            ("trailers", "t", 1),
            ("head-lines", "u", 1),
            ("trailers", "v", 3),
        ]
        assert answers.count("trailers") == 4
