"""Rounds of probes that go on for as long as they find something."""

from collections.abc import Awaitable, Callable, Iterable

import anyio

from peridotbend.domain.paths import Endpoint

# Targets that are asked at the same time in a round.
PROBE_WIDTH = 8


async def probe_while_useful(
    targets: Iterable[Endpoint],
    ask: Callable[[Endpoint], Awaitable[bool]],
    allowance: int,
    gain: int,
) -> int:
    """Asks targets, and returns how many were asked in vain.

    Args:
        targets: to ask, in this order.
        ask: asks a target, and tells whether that was of use.
        allowance: how many may be asked in vain.
        gain: how many more for each that was of use.
    """
    remaining = iter(targets)
    asking = 0
    in_vain = 0

    def ask_more() -> None:
        nonlocal allowance, asking
        while asking < min(PROBE_WIDTH, allowance):
            target = next(remaining, None)
            if target is None:
                return
            asking += 1
            tasks.start_soon(ask_one, target)

    async def ask_one(target: Endpoint) -> None:
        nonlocal allowance, asking, in_vain
        is_useful = await ask(target)
        asking -= 1
        if is_useful:
            allowance += gain
        else:
            allowance -= 1
            in_vain += 1
        ask_more()

    async with anyio.create_task_group() as tasks:
        ask_more()
    return in_vain
