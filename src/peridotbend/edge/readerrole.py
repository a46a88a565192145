"""Whether an instance reads the store itself or follows a relay."""

import random

import anyio

# Instances that lose their relays together start to read at random times within
# this one.
READER_JITTER_MS = 200


class ReaderRole:
    """Whether this instance reads the store itself or follows a relay."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._turn = anyio.Event()
        self._turn.set()
        self._is_reader = True

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the store itself."""
        return self._is_reader

    def assign(self, is_reader: bool) -> None:
        """Sets the role."""
        if is_reader is self._is_reader:
            return
        self._is_reader = is_reader
        if is_reader:
            self._turn.set()
        else:
            self._turn = anyio.Event()

    def choose_retry_delay_ms(self, backoff_ms: int) -> float:
        """Returns the time until a failed call is repeated.

        Instances that fail together would otherwise also call together.

        Args:
            backoff_ms: the longest time.
        """
        return self._rng.uniform(backoff_ms / 2, backoff_ms)

    async def wait_until_reader(self) -> None:
        """Returns when this instance has to read the store."""
        while not self._is_reader:
            await self._turn.wait()
            await anyio.sleep(self._rng.uniform(0, READER_JITTER_MS / 1_000))
