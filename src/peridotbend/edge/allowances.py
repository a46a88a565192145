"""Allowances of client accounts, shared by all instances."""

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping

from peridotbend.domain.clock import Clock
from peridotbend.edge.config import Account

# Generations leave this share of a bucket to plain requests, which cost next
# to nothing and are never to be lost to the generations of their account.
PLAIN_RESERVE = 0.05
# A bucket starts nearly empty: all instances may start at once after an
# outage, with an allowance that was spent just before.
INITIAL_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceUse:
    """The use of one account as an instance sees it, in tokens."""

    # All that the instance spent since its start.
    spent: float
    # What it holds to be left.
    level: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    refilled_at_ms: int
    # All that was spent here since the start of the process.
    spent: float = 0.0
    # Whether the level was compared with a peer's since the start.
    is_synced: bool = False


class Allowances:
    """A token bucket for each account.

    What peers spend is taken out of the own buckets as their digests tell
    it. An instance that does not hear some of the others uses only its part
    of the allowance, since they spend from the same.
    """

    def __init__(self, clock: Clock, find_heard_share: Callable[[], float]):
        """Creates buckets.

        Args:
            clock: source of time.
            find_heard_share: returns the instances heard of, the own one
                included, as a share of all that may take callers.
        """
        self._clock = clock
        self._find_heard_share = find_heard_share
        self._accounts: dict[str, Account] = {}
        self._buckets: dict[str, _Bucket] = {}
        # Incarnation of each peer and what it told last.
        self._told: dict[str, tuple[int, dict[str, float]]] = {}

    def apply(self, accounts: Iterable[Account]) -> None:
        """Puts the allowances of a new configuration in force."""
        for account in self._accounts.values():
            # The old rate holds until now.
            self._refill(account)
        self._accounts = {account.name: account for account in accounts}
        for account in self._accounts.values():
            bucket = self._refill(account)
            bucket.level = min(bucket.level, account.burst_tokens)

    def try_take(
        self, name: str, tokens: float, is_generation: bool = False
    ) -> int | None:
        """Takes tokens; returns in how many ms they are there, or None.

        A request larger than the whole bucket is admitted by a full one.
        """
        account = self._accounts.get(name)
        if account is None or account.tokens_per_s <= 0:
            return None
        bucket = self._refill(account)
        needed = tokens
        if is_generation:
            needed += PLAIN_RESERVE * account.burst_tokens
        lacking = min(needed, account.burst_tokens) - bucket.level
        if lacking > 0:
            return math.ceil(lacking * 1_000 / account.tokens_per_s)
        bucket.level -= tokens
        bucket.spent += tokens
        return None

    def give_back(self, name: str, tokens: float) -> None:
        """Returns the tokens of a request that did not run."""
        bucket = self._buckets.get(name)
        account = self._accounts.get(name)
        if bucket is not None and account is not None:
            bucket.level = min(account.burst_tokens, bucket.level + tokens)
            bucket.spent -= tokens

    def list_uses(self) -> dict[str, AllowanceUse]:
        """Returns what peers are told of the own buckets."""
        return {
            name: AllowanceUse(bucket.spent, bucket.level)
            for name, bucket in self._buckets.items()
        }

    def record_peer(
        self, peer: str, incarnation: int, uses: Mapping[str, AllowanceUse]
    ) -> None:
        """Takes out what a peer spent since its last digest."""
        known_incarnation, told = self._told.get(peer, (None, {}))
        is_known = known_incarnation == incarnation
        if not is_known:
            # A restarted process counts from the start again.
            told = {}
        self._told[peer] = incarnation, told
        for name, use in uses.items():
            account = self._accounts.get(name)
            if account is None or account.tokens_per_s <= 0:
                continue
            bucket = self._refill(account)
            if not bucket.is_synced:
                # A process that has just started goes on from the level that
                # the others have.
                bucket.is_synced = True
                bucket.level = max(bucket.level, use.level - bucket.spent)
            if is_known:
                bucket.level -= use.spent - told.get(name, 0.0)
            # Returned tokens may come back here, too.
            bucket.level = min(bucket.level, account.burst_tokens)
            told[name] = use.spent

    def _refill(self, account: Account) -> _Bucket:
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            level = account.burst_tokens * INITIAL_SHARE
            bucket = self._buckets[account.name] = _Bucket(level, now_ms)
        elapsed_ms = now_ms - bucket.refilled_at_ms
        if elapsed_ms > 0:
            rate = account.tokens_per_s * self._find_heard_share()
            gained = rate * elapsed_ms / 1_000
            bucket.level = min(account.burst_tokens, bucket.level + gained)
            bucket.refilled_at_ms = now_ms
        return bucket
