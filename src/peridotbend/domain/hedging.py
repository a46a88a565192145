"""Attempts at equal peers, none of which is waited for alone."""

from collections.abc import Awaitable, Callable, Collection

import anyio


async def try_in_turn(
    choose: Callable[[Collection[str]], str],
    attempt: Callable[[str], Awaitable[bool]],
    delay_ms: int,
    max_attempts: int,
) -> bool:
    """Tries peers until one succeeds; tells whether one did.

    The next one is tried when an attempt has failed, or takes longer than the
    delay. The other attempts are cancelled when one succeeds.

    Args:
        choose: returns a peer, given those that were tried, or "".
        attempt: tells whether a peer succeeded.
        delay_ms: after which a silent peer is not waited for alone.
        max_attempts: peers that are tried.
    """
    tried: set[str] = set()
    has_succeeded = False
    ended = anyio.Event()

    async def run(peer: str) -> None:
        nonlocal has_succeeded
        if await attempt(peer):
            has_succeeded = True
            tasks.cancel_scope.cancel()
        ended.set()

    async with anyio.create_task_group() as tasks:
        while len(tried) < max_attempts and (peer := choose(tried)):
            tried.add(peer)
            ended = anyio.Event()
            tasks.start_soon(run, peer)
            with anyio.move_on_after(delay_ms / 1_000):
                await ended.wait()
    return has_succeeded
