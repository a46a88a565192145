"""Who goes first while room is short, in bursts that outlast a queue.

Instances see of each other's requests only how many are in flight, so a request
at one of them could take a slot for which a more important one waits at
another. While room is short for some requests, those behind them therefore
leave the last part of it.
"""

import dataclasses

from peridotbend.domain.clock import Clock

# Part of the room that is left to each group of requests that goes first, while
# room is short for it.
RESERVED_SHARE = 0.05
MAX_RESERVED_SHARE = 0.25
# Parts that a request that can't be on time leaves in any case, as a full batch
# makes others late.
LATE_STEPS = 2
# Part that an account over its share leaves in addition.
OVER_SHARE = 0.1
# For this long after a request had to wait, room counts as short for its group.
# Callers of one kind arrive at an instance every few hundred ms.
SHORTAGE_MS = 500


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Precedence:
    """The group of a request in the queue; the lowest goes first."""

    # Rank of the account, then of the route.
    rank: tuple[int, int]
    # Whether its account has had more than its share.
    is_over: bool
    # Whether it can't be on time.
    is_late: bool


class Shortages:
    """The groups of requests of one service for which room is short."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until_ms: dict[Precedence, int] = {}

    def note(self, precedence: Precedence) -> None:
        """Records that a request found no slot."""
        self._until_ms[precedence] = self._clock.now_ms() + SHORTAGE_MS

    def find_reserved_share(self, precedence: Precedence) -> float:
        """Returns the part of the room that a request has to leave."""
        now_ms = self._clock.now_ms()
        first = [
            other
            for other, until_ms in self._until_ms.items()
            if until_ms > now_ms and other < precedence
        ]
        steps = len(first)
        if any(group.is_late for group in (*first, precedence)):
            steps += LATE_STEPS
        reserved = min(MAX_RESERVED_SHARE, steps * RESERVED_SHARE)
        if precedence.is_over and first:
            reserved += OVER_SHARE
        return reserved
