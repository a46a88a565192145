"""Limits the work that one connection makes for the event loop."""

import anyio

# Parts of answers that a connection may bring at once, and a second. A sound
# stream has some 30 events a second, and some 100 wait after a pause.
BURST_PARTS = 128
PARTS_PER_S = 200.0
# Parts beyond that which all connections together may bring in a second.
SHARED_PARTS_PER_S = 1_000.0
# Parts that are read after each wait.
BATCH_PARTS = 32
# A part of so many bytes is not counted: it is worth its work. Others still run
# after each burst.
SOUND_PART_BYTES = 256


class SharedPace:
    """Divides time for further parts among the connections that want it."""

    def __init__(self) -> None:
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
        # Parts since other tasks have last run for sure.
        self._unbroken = 0

    async def wait_turn(self) -> None:
        """Returns when the next part may be read."""
        self._unbroken += 1
        self._left -= 1.0
        if self._left < 0.0:
            self._earn()
        if self._left < 0.0:
            await anyio.sleep(self._shared.reserve())
            self._left += BATCH_PARTS
        elif self._unbroken > BURST_PARTS:
            await anyio.sleep(0)
        else:
            return
        self._unbroken = 0

    def note_size(self, part_bytes: int) -> None:
        """Records the size of the part that was read."""
        if part_bytes >= SOUND_PART_BYTES:
            self._left += 1.0

    def _earn(self) -> None:
        now_s = anyio.current_time()
        earned = PARTS_PER_S * (now_s - self._updated_at_s)
        self._updated_at_s = now_s
        self._left = min(float(BURST_PARTS), self._left + earned)
