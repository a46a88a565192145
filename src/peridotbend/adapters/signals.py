"""Signals that a daemon receives, from its first line until its exit.

The signals are caught, not blocked: child processes inherit a blocked mask, and
so do threads, while the handlers of a process are replaced by the default
actions when a child runs another program. A blocked mask of one thread also
protects nothing while another thread accepts the signal.

Only what the start of every Python program needs is imported here, because the
default actions end the process until `take` has run.
"""

import atexit
import signal
from collections.abc import AsyncIterator, Callable
from types import FrameType

_ENDING = frozenset((signal.SIGTERM, signal.SIGINT))
_TAKEN = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)

# Each signal is kept once, as the kernel does with pending signals.
_kept: dict[int, None] = {}
_wake: Callable[[], object] | None = None


def take() -> None:
    """Keeps the signals for `receive`; called first by each program."""
    for number in _TAKEN:
        signal.signal(number, _keep)
    # The interpreter restores the default actions before it has ended.
    atexit.register(_ignore)


def is_end_requested() -> bool:
    """Tells whether a signal that ends the process waits for `receive`."""
    return not _ENDING.isdisjoint(_kept)


async def receive() -> AsyncIterator[int]:
    """Yields the signals kept so far and those that arrive.

    Signals that arrive after the iteration has ended have no effect. Runs in
    the main thread; also takes the signals, for programs that have not.
    """
    take()
    # Slow to import, so not before the signals are taken.
    import asyncio

    global _wake
    loop = asyncio.get_running_loop()
    arrived = asyncio.Event()
    _wake = lambda: loop.call_soon_threadsafe(arrived.set)  # noqa: E731
    try:
        while True:
            arrived.clear()
            while _kept:
                number = next(iter(_kept))
                del _kept[number]
                yield number
            await arrived.wait()
    finally:
        _wake = None


def _keep(number: int, _frame: FrameType | None) -> None:
    _kept[number] = None
    if _wake is not None:
        _wake()


def _ignore() -> None:
    # A signal that has arrived when its handler changes prints a traceback.
    signal.pthread_sigmask(signal.SIG_BLOCK, _TAKEN)
    for number in _TAKEN:
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _TAKEN)
