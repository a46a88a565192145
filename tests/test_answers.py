"""Tests of stored answers."""

import unittest

import anyio

from peridotbend.domain.answers import AnswerBuffer, ByteBudget
from peridotbend.domain.ports import AnswerHead, AnswerPart
from peridotbend.domain.verdicts import Completed, MayHaveRun, Reason


async def _collect(answer: AnswerBuffer, offset: int) -> list[AnswerPart]:
    return [part async for part in answer.read(offset)]


class AnswerBufferTest(unittest.TestCase):
    """Reading an answer during and after its arrival."""

    def test_readers_from_any_offset_get_the_rest(self) -> None:
        """Guards against lost or repeated bytes in a read from an offset."""

        async def run() -> None:
            answer = AnswerBuffer()
            parts: dict[int, list[AnswerPart]] = {}

            async def read(offset: int) -> None:
                parts[offset] = await _collect(answer, offset)

            async with anyio.create_task_group() as tasks:
                for offset in (0, 3, 11):
                    tasks.start_soon(read, offset)
                await anyio.lowlevel.checkpoint()
                answer.begin(AnswerHead(200, ()))
                for chunk in (b"hello", b" ", b"world"):
                    answer.append(chunk)
                    await anyio.lowlevel.checkpoint()
                answer.end(Completed())
            for offset, got in parts.items():
                whole = b"".join(part.data for part in got)
                assert whole == b"hello world"[offset:], offset
                assert got[-1].verdict == Completed()

        anyio.run(run)

    def test_reader_that_left_leaves_nothing_behind(self) -> None:
        """Guards against memory retained for callers that have disconnected."""

        async def run() -> None:
            answer = AnswerBuffer()
            for _ in range(3):
                with anyio.move_on_after(0):
                    await answer.wait()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(answer.wait)
                await anyio.lowlevel.checkpoint()
                assert answer.count_waiting() == 1
                answer.append(b"x")

        anyio.run(run)

    def test_first_verdict_stands(self) -> None:
        """Guards against a verdict that changes after a caller saw it."""
        answer = AnswerBuffer()
        answer.end(MayHaveRun(Reason.EXPIRED))
        answer.end(Completed())
        assert answer.verdict == MayHaveRun(Reason.EXPIRED)

    def test_left_reader_does_not_mark_delivery(self) -> None:
        """Guards against evicting an answer that no caller has received.

        A reader that closes early must not mark the answer as delivered.
        """

        async def run() -> None:
            answer = AnswerBuffer()
            answer.begin(AnswerHead(200, ()))
            answer.end(Completed())
            reader = answer.read()
            await anext(reader)
            await reader.aclose()  # type: ignore[attr-defined]
            assert not answer.delivered
            await _collect(answer, 0)
            assert answer.delivered

        anyio.run(run)


class ByteBudgetTest(unittest.TestCase):
    """The limit on the bytes of stored answers."""

    def test_reserve_refuses_over_the_limit(self) -> None:
        """Guards against reservations beyond the limit."""
        budget = ByteBudget(10)
        assert budget.reserve(6) and not budget.reserve(5)
        budget.release(6)
        assert budget.reserve(10)
