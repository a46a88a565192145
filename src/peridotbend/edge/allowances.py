"""Allowances of client accounts, shared by all instances."""

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping

from peridotbend.domain.clock import Clock
from peridotbend.edge.config import Account
from peridotbend.edge.settings import EdgeSettings

# Generations leave this share of a bucket to plain requests, which cost next
# to nothing and are never to be lost to the generations of their account.
PLAIN_RESERVE = 0.05
# The settings tell by how much all instances together may exceed an allowance
# within a window. A restart of all may use this part of it, since nobody
# knows then what was spent just before.
RESTART_PART = 0.4
# Where nothing may be exceeded a process starts with this share of the burst:
# an empty bucket would refuse all of its first requests.
MIN_START_SHARE = 0.1
# A partition may use this part; what is left covers digests under way.
PARTITION_PART = 0.4
# Within this time of its start a process takes the lowest level that a peer
# tells: some peers may have started with it and know as little.
SYNC_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceUse:
    """The use of one account as an instance sees it, in tokens."""

    # All that the instance spent since its start.
    spent: float
    # What it holds to be left.
    level: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    # What is left for all instances, as far as their spending is known.
    level: float
    refilled_at_ms: int
    # While some instances are not heard: what is left of the part of those
    # that are. The others may be spending theirs.
    part: float = 0.0
    # The instances that are heard, as a share of all.
    heard_share: float = 1.0
    # All that was spent here since the start of the process.
    spent: float = 0.0
    # When the level was first compared with a peer's; None before.
    synced_at_ms: int | None = None


class Allowances:
    """A token bucket for each account.

    What peers spend is taken out of the own buckets as their digests tell
    it. While some of the others are not heard, their part of the bucket and
    of its refill is withheld, since they may be spending it; when they are
    heard again, what they did spend is taken out instead.
    """

    def __init__(
        self,
        clock: Clock,
        settings: EdgeSettings,
        find_heard_share: Callable[[], float],
    ):
        """Creates buckets.

        Args:
            clock: source of time.
            settings: by how much the allowances may be exceeded in sum.
            find_heard_share: returns the instances heard of, the own one
                included, as a share of all that may take callers.
        """
        self._clock = clock
        self._settings = settings
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
        needed = min(needed, account.burst_tokens)
        lacking = needed - self._find_available(account, bucket)
        if lacking > 0:
            return math.ceil(lacking * 1_000 / account.tokens_per_s)
        bucket.level -= tokens
        bucket.part -= tokens
        bucket.spent += tokens
        return None

    def give_back(self, name: str, tokens: float) -> None:
        """Returns the tokens of a request that did not run."""
        bucket = self._buckets.get(name)
        account = self._accounts.get(name)
        if bucket is not None and account is not None:
            bucket.level = min(account.burst_tokens, bucket.level + tokens)
            bucket.part += tokens
            bucket.spent -= tokens

    def describe(self, name: str) -> dict[str, object]:
        """Returns what a decision on an account rests on, for logs."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return {}
        described: dict[str, object] = {
            "tokens_left": round(bucket.level),
            "heard_share": round(bucket.heard_share, 2),
        }
        if bucket.heard_share < 1:
            described["tokens_of_part"] = round(bucket.part)
        return described

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
        if known_incarnation != incarnation:
            # A restarted process counts from the start again.
            told = {}
        self._told[peer] = incarnation, told
        for name, use in uses.items():
            account = self._accounts.get(name)
            if account is None or account.tokens_per_s <= 0:
                continue
            bucket = self._refill(account)
            if name in told:
                spent = use.spent - told[name]
                bucket.level -= spent
                bucket.part -= spent
            else:
                # Also an account that came into force after the last digest:
                # what the peer spent of it before is in its level.
                self._sync(bucket, use)
            # Returned tokens may come back here, too.
            bucket.level = min(bucket.level, account.burst_tokens)
            told[name] = use.spent

    def _sync(self, bucket: _Bucket, use: AllowanceUse) -> None:
        """Takes over the level of a peer that is heard for the first time.

        Only a process that has just started does so: it does not know what
        the others spent before.
        """
        level = use.level - bucket.spent
        now_ms = self._clock.now_ms()
        if bucket.synced_at_ms is None:
            bucket.synced_at_ms = now_ms
            bucket.level = level
        elif now_ms - bucket.synced_at_ms < SYNC_MS:
            bucket.level = min(bucket.level, level)

    def _find_available(self, account: Account, bucket: _Bucket) -> float:
        """Returns what may be spent here."""
        if bucket.heard_share >= 1:
            return bucket.level
        tolerance = PARTITION_PART * self._find_tolerance(account)
        return min(bucket.level, bucket.part + bucket.heard_share * tolerance)

    def _find_tolerance(self, account: Account) -> float:
        """Returns by how much all may exceed the allowance in a window."""
        settings = self._settings
        refilled = account.tokens_per_s * settings.allowance_window_ms / 1_000
        full = account.burst_tokens + refilled
        return settings.allowance_overage * full + settings.allowance_slack

    def _refill(self, account: Account) -> _Bucket:
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            level = min(
                account.burst_tokens,
                max(
                    RESTART_PART * self._find_tolerance(account),
                    MIN_START_SHARE * account.burst_tokens,
                ),
            )
            bucket = self._buckets[account.name] = _Bucket(level, now_ms)
        elapsed_ms = now_ms - bucket.refilled_at_ms
        gained = account.tokens_per_s * elapsed_ms / 1_000
        bucket.level = min(account.burst_tokens, bucket.level + gained)
        bucket.refilled_at_ms = now_ms
        share = self._find_heard_share()
        if share != bucket.heard_share:
            whole = bucket.level if bucket.heard_share >= 1 else bucket.part
            bucket.part = whole * share / bucket.heard_share
            bucket.heard_share = share
        bucket.part = min(
            share * account.burst_tokens, bucket.part + share * gained
        )
        return bucket
