"""Token allowances of client accounts, shared by all instances."""

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping

from peridotbend.domain.clock import Clock
from peridotbend.edge.config import Account
from peridotbend.edge.hashes import hash_name
from peridotbend.edge.settings import EdgeSettings

# Fraction of a bucket that is reserved for requests other than generations.
# They cost almost nothing and must never be refused because of the generations
# of the same account.
NON_GENERATION_RESERVE = 0.05
# The settings limit by how much all instances together may exceed an allowance
# within a window. This fraction of that overage is granted after a restart of
# all instances, when the recent spending is unknown.
RESTART_OVERAGE_SHARE = 0.4
# Minimum initial level of a bucket, as a fraction of the burst. It applies
# where no overage is allowed: an empty bucket would refuse all requests at
# first.
MIN_START_SHARE = 0.1
# Fraction of the allowed overage that is granted during a network partition.
# The rest covers spending that is reported in digests still in transit.
PARTITION_OVERAGE_SHARE = 0.4
# For this long after its first sync, a bucket takes the lowest level reported
# by any peer: some peers may have just started too and not know the spending.
LEVEL_SYNC_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceUse:
    """The use of one account as seen by one instance, in tokens."""

    # Total spent by the instance since its start.
    spent: float
    # Tokens left for all instances, as estimated by the instance.
    level: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    # Tokens left for all instances, as far as their spending is known.
    level: float
    refilled_at_ms: int
    # Tokens left of the live instances' part; used while some instances are
    # not live, since those may be spending their own part.
    partition_level: float = 0.0
    # Live instances as a fraction of all.
    live_share: float = 1.0
    # Total spent by this instance since the start of the process.
    spent: float = 0.0
    # Total spent by the instances of the group, as far as reported here.
    group_spent: float = 0.0
    # When the level was first synced with a peer; None before that.
    synced_at_ms: int | None = None


class Allowances:
    """A token bucket for each account.

    The spending that peers report in their digests is deducted from the
    buckets of this instance. While some peers are not live, their part of
    each bucket and of its refill is withheld, since they may be spending it.
    Once they are live again, their actual spending is deducted instead.
    """

    def __init__(
        self,
        clock: Clock,
        settings: EdgeSettings,
        find_live_share: Callable[[], float],
    ):
        """Creates buckets.

        Args:
            clock: source of time.
            settings: limits on the total by which allowances may be exceeded.
            find_live_share: returns the live instances, including this one,
                as a fraction of all that may be serving callers.
        """
        self._clock = clock
        self._settings = settings
        self._find_live_share = find_live_share
        self._accounts: dict[str, Account] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._names_by_hash: dict[int, str] = {}
        # Incarnation and last reported spending by account, for each peer.
        self._reported_by_peer: dict[str, tuple[int, dict[str, float]]] = {}

    def apply(self, accounts: Iterable[Account]) -> None:
        """Applies the allowances of a new configuration."""
        for account in self._accounts.values():
            # The old rate applies up to now.
            self._refill(account)
        self._accounts = {account.name: account for account in accounts}
        self._names_by_hash = {hash_name(name): name for name in self._accounts}
        for account in self._accounts.values():
            bucket = self._refill(account)
            bucket.level = min(bucket.level, account.burst_tokens)

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Applies changed limits on exceeding the allowances."""
        self._settings = settings

    def try_take(
        self, name: str, tokens: float, is_generation: bool = False
    ) -> int | None:
        """Takes tokens from the bucket of an account.

        A request larger than the burst is admitted when the bucket is full.

        Returns:
            None if the tokens were taken, otherwise the time in ms until
            enough of them are available.
        """
        account = self._accounts.get(name)
        if account is None or account.tokens_per_s <= 0:
            return None
        bucket = self._refill(account)
        needed = tokens
        if is_generation:
            needed += NON_GENERATION_RESERVE * account.burst_tokens
        needed = min(needed, account.burst_tokens)
        shortfall = needed - self._find_available(account, bucket)
        if shortfall > 0:
            return math.ceil(shortfall * 1_000 / account.tokens_per_s)
        bucket.level -= tokens
        bucket.partition_level -= tokens
        bucket.spent += tokens
        bucket.group_spent += tokens
        return None

    def refund(self, name: str, tokens: float) -> None:
        """Puts back the tokens of a request that did not run."""
        bucket = self._buckets.get(name)
        account = self._accounts.get(name)
        if bucket is not None and account is not None:
            bucket.level = min(account.burst_tokens, bucket.level + tokens)
            bucket.partition_level = min(
                bucket.live_share * account.burst_tokens,
                bucket.partition_level + tokens,
            )
            bucket.spent -= tokens
            bucket.group_spent -= tokens

    def describe(self, name: str) -> dict[str, object]:
        """Returns the state behind a decision on an account, for logs."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return {}
        described: dict[str, object] = {
            "tokens_left": round(bucket.level),
            "heard_share": round(bucket.live_share, 2),
        }
        if bucket.live_share < 1:
            described["tokens_of_part"] = round(bucket.partition_level)
        return described

    def list_uses(self) -> dict[str, AllowanceUse]:
        """Returns the use of each bucket, for the digest to peers."""
        return {
            name: AllowanceUse(bucket.spent, bucket.level)
            for name, bucket in self._buckets.items()
        }

    def list_levels(self) -> dict[int, float]:
        """Returns the tokens left by hash of the account, for the members."""
        return {
            hash_name(name): self._find_available(
                account, self._refill(account)
            )
            for name, account in self._accounts.items()
            if account.tokens_per_s > 0
        }

    def list_group_spent(self) -> dict[int, float]:
        """Returns the spending of the group by hash of the account."""
        return {
            hash_name(name): bucket.group_spent
            for name, bucket in self._buckets.items()
            if name in self._accounts
        }

    def adopt_levels(
        self, levels: Mapping[int, float], included: Mapping[str, float]
    ) -> None:
        """Adopts the levels of a relay.

        Args:
            levels: tokens left for all instances by hash of the account.
            included: total spending of this instance that they include.
        """
        for hashed, left in levels.items():
            name = self._names_by_hash.get(hashed)
            if name is None:
                continue
            account = self._accounts[name]
            bucket = self._refill(account)
            level = left - (bucket.spent - included.get(name, 0.0))
            bucket.level = min(account.burst_tokens, level)
            bucket.partition_level = bucket.level
            if bucket.synced_at_ms is None:
                bucket.synced_at_ms = self._clock.now_ms()

    def record_group(
        self, source: str, incarnation: int, spent: Mapping[int, float]
    ) -> None:
        """Deducts what another group has spent since its last digest."""
        uses = {
            self._names_by_hash[hashed]: AllowanceUse(total, math.inf)
            for hashed, total in spent.items()
            if hashed in self._names_by_hash
        }
        self._record(source, incarnation, uses, is_own_group=False)

    def record_peer(
        self, peer: str, incarnation: int, uses: Mapping[str, AllowanceUse]
    ) -> None:
        """Deducts what a peer has spent since its last digest."""
        self._record(peer, incarnation, uses, is_own_group=True)

    def _record(
        self,
        peer: str,
        incarnation: int,
        uses: Mapping[str, AllowanceUse],
        is_own_group: bool,
    ) -> None:
        known_incarnation, reported = self._reported_by_peer.get(
            peer, (None, {})
        )
        if known_incarnation != incarnation:
            # The spending of a restarted process starts again at zero.
            reported = {}
        self._reported_by_peer[peer] = incarnation, reported
        for name, use in uses.items():
            account = self._accounts.get(name)
            if account is None or account.tokens_per_s <= 0:
                continue
            bucket = self._refill(account)
            if name in reported:
                spent = use.spent - reported[name]
                bucket.level -= spent
                bucket.partition_level -= spent
                if is_own_group:
                    bucket.group_spent += spent
            elif is_own_group:
                # The first report for this account. It may have been added to
                # the configuration after the last digest; the level of the
                # peer then includes what the peer spent before.
                self._adopt_level(bucket, use)
            # The spending of a peer decreases when it refunds tokens.
            bucket.level = min(bucket.level, account.burst_tokens)
            reported[name] = use.spent

    def _adopt_level(self, bucket: _Bucket, use: AllowanceUse) -> None:
        """Adopts the level in the first report of a peer.

        Only a process that has just started does so, since it does not know
        what the other instances spent before.
        """
        level = use.level - bucket.spent
        now_ms = self._clock.now_ms()
        if bucket.synced_at_ms is None:
            bucket.synced_at_ms = now_ms
            bucket.level = level
        elif now_ms - bucket.synced_at_ms < LEVEL_SYNC_MS:
            bucket.level = min(bucket.level, level)

    def _find_available(self, account: Account, bucket: _Bucket) -> float:
        """Returns how many tokens this instance may spend now."""
        if bucket.live_share >= 1:
            return bucket.level
        overage = PARTITION_OVERAGE_SHARE * self._find_allowed_overage(account)
        return min(
            bucket.level, bucket.partition_level + bucket.live_share * overage
        )

    def _find_allowed_overage(self, account: Account) -> float:
        """Returns the overage allowed to all instances within the window."""
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
                    RESTART_OVERAGE_SHARE * self._find_allowed_overage(account),
                    MIN_START_SHARE * account.burst_tokens,
                ),
            )
            bucket = self._buckets[account.name] = _Bucket(level, now_ms)
        elapsed_ms = now_ms - bucket.refilled_at_ms
        refilled = account.tokens_per_s * elapsed_ms / 1_000
        bucket.level = min(account.burst_tokens, bucket.level + refilled)
        bucket.refilled_at_ms = now_ms
        share = self._find_live_share()
        if share != bucket.live_share:
            previous_level = (
                bucket.level
                if bucket.live_share >= 1
                else bucket.partition_level
            )
            bucket.partition_level = previous_level * share / bucket.live_share
            bucket.live_share = share
        bucket.partition_level = min(
            share * account.burst_tokens,
            bucket.partition_level + share * refilled,
        )
        return bucket
