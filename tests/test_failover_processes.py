"""Tests of silent targets while real daemons are stopped."""

import asyncio
import unittest
from typing import Any

from peridotbend.platform import wire
from tests.edgerestarts import (
    RestartableTarget,
    RestartFleet,
    run_with_targets,
)

EVENT_GAP_S = 0.05
# Some 2 s, and longer than any grace period.
SHORT_STREAM = 40
LONG_STREAM = 1_000
# "For a second or so", and longer than a silent target is waited for.
SILENCE_S = 1.1
WAIT_TIMEOUT_S = 10.0


class QueueingTarget(RestartableTarget):
    """A target with one slot, which queues what comes meanwhile."""

    def __init__(self, name: str):
        super().__init__(name)
        self.events = 1
        self.sent = 0
        self._slot = asyncio.Lock()
        self._flows = asyncio.Event()
        self._flows.set()

    def describe(self) -> dict[str, Any]:
        """Returns the entry in the store."""
        return {**super().describe(), "slots": 1}

    async def be_silent(self) -> None:
        """Sends nothing for a while."""
        self._flows.clear()
        await asyncio.sleep(SILENCE_S)
        self._flows.set()

    async def wait_sent(self, events: int) -> None:
        """Waits until so many events have been sent."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while self.sent < events:
                await asyncio.sleep(0.01)

    async def _answer(
        self, call: tuple[str, dict[str, str]], writer: asyncio.StreamWriter
    ) -> bool:
        path, headers = call
        if not path.startswith("/quotes/"):
            return await super()._answer(call, writer)
        async with self._slot:
            attempt = headers[wire.ATTEMPT_ID]
            self.ran.append(attempt)
            writer.write(self._make_answer_head(attempt, is_stream=True))
            number = int(headers.get(wire.LAST_EVENT_ID, "0"))
            while number < self.events:
                number += 1
                await self._flows.wait()
                event = f"id: {number}\ndata: {self.software}\n\n"
                writer.write(b"%x\r\n%b\r\n" % (len(event), event.encode()))
                await writer.drain()
                self.sent += 1
                await asyncio.sleep(EVENT_GAP_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return True


class StoppedInstanceTest(unittest.TestCase):
    """An instance that gets SIGTERM while a sound target is silent."""

    def test_stop_does_not_cut_a_stream_whose_target_pauses(self) -> None:
        """Guards against streams that wait in a queue as the process exits.

        Seen as LOST around SIGTERM: the request had one run, which its instance
        had left in a silence, and its connection was closed.
        """
        one, other = QueueingTarget("i-1"), QueueingTarget("i-2")

        async def check(fleet: RestartFleet) -> None:
            await fleet.use_targets()
            one.sent = other.sent = 0
            one.events = other.events = SHORT_STREAM
            long = asyncio.create_task(fleet.call("/quotes/long"))
            while not one.ran and not other.ran:
                await asyncio.sleep(0.01)
            busy, paused = (one, other) if one.ran else (other, one)
            busy.events = LONG_STREAM
            call = asyncio.create_task(fleet.call("/quotes/1"))
            await paused.wait_sent(1)
            fleet.stop()
            await paused.be_silent()
            answer = await call
            assert answer.is_whole, answer
            assert len(answer.software) == SHORT_STREAM, answer
            long.cancel()

        run_with_targets([one, other], check)
