"""Limits the work that connections make for the event loop."""

import asyncio
from collections import deque

import anyio

# Parts of answers that a connection may bring at once, and a second. A sound
# stream has some 30 events a second, and some 100 wait after a pause.
BURST_PARTS = 128
PARTS_PER_S = 200.0
# Parts beyond that which all connections together may bring in a second.
SHARED_PARTS_PER_S = 1_000.0
# Parts that are read after each wait.
BATCH_PARTS = 32
# A part of so many bytes is not counted against the rates: it is worth its
# work. Its connection still takes turns with the others.
SOUND_PART_BYTES = 256
# Work of a connection between two of its turns, in parts. So many bytes count
# as one more part, since large parts take time to copy.
TURN_PARTS = 32
COUNTED_PART_BYTES = 4_096


class Turns:
    """Lets one of the connections that wait read on in each run of the loop.

    The loop serves whatever else is ready before the next turn, however many
    connections have data without end.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self) -> None:
        """Returns when it is the caller's turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._give, loop)
        await turn

    def _give(self, loop: asyncio.AbstractEventLoop) -> None:
        """Gives a turn to the one that has waited longest and still waits."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            loop.call_soon(self._give, loop)


class SharedPace:
    """Divides time for further parts among the connections that want it."""

    def __init__(self) -> None:
        self.turns = Turns()
        self._free_at_s = 0.0

    def reserve(self) -> float:
        """Reserves time for a batch; returns the s until that time is over."""
        now_s = anyio.current_time()
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + BATCH_PARTS / SHARED_PARTS_PER_S
        return self._free_at_s - now_s


class ConnectionPace:
    """Slows a connection down that brings more parts than a sound one.

    The data that has arrived may hold thousands of tiny parts. Reading them
    never waits, so that nothing else would run meanwhile.
    """

    def __init__(self, shared: SharedPace):
        self._shared = shared
        self._left = float(BURST_PARTS)
        self._updated_at_s = anyio.current_time()
        # Work since the last turn, in parts.
        self._work = 0

    async def wait_turn(self) -> None:
        """Returns when the next part may be read."""
        self._work += 1
        self._left -= 1.0
        if self._left < 0.0:
            self._earn()
        if self._left < 0.0:
            await anyio.sleep(self._shared.reserve())
            self._left += BATCH_PARTS
        elif self._work <= TURN_PARTS:
            return
        await self._shared.turns.wait()
        self._work = 0

    def note_size(self, part_bytes: int) -> None:
        """Records the size of the part that was read."""
        self._work += part_bytes // COUNTED_PART_BYTES
        if part_bytes >= SOUND_PART_BYTES:
            self._left += 1.0

    def _earn(self) -> None:
        now_s = anyio.current_time()
        earned = PARTS_PER_S * (now_s - self._updated_at_s)
        self._updated_at_s = now_s
        self._left = min(float(BURST_PARTS), self._left + earned)
