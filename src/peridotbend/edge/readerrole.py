"""Whether an instance reads the store itself or follows a relay."""

import random

import anyio

# Instances that lose their relays together start to read at random times within
# this one.
READER_JITTER_MS = 200
# Substitutes for the reader of a group wait this long, at random, before they
# call a store again that did not answer: there may be hundreds of them, and the
# reader itself goes on calling.
SUBSTITUTE_RETRY_MS = (2_000, 4_000)


class ReaderRole:
    """Whether this instance reads the store itself or follows a relay."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._turn = anyio.Event()
        self._turn.set()
        self._is_reader = True
        self._is_substitute = False

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the store itself."""
        return self._is_reader

    def assign(self, is_reader: bool, is_substitute: bool = False) -> None:
        """Sets the role.

        Args:
            is_reader: whether this instance reads the store.
            is_substitute: whether it does so in place of the reader of its
                group.
        """
        self._is_substitute = is_substitute
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
            backoff_ms: the longest time for an instance that is to read.
        """
        if self._is_substitute:
            return self._rng.uniform(*SUBSTITUTE_RETRY_MS)
        return self._rng.uniform(backoff_ms / 2, backoff_ms)

    async def wait_until_reader(self) -> None:
        """Returns when this instance has to read the store."""
        while not self._is_reader:
            await self._turn.wait()
            await anyio.sleep(self._rng.uniform(0, READER_JITTER_MS / 1_000))
