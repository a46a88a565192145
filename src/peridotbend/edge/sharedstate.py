"""The state that instances share, as contents of digests."""

import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

from peridotbend.edge.allowances import Allowances
from peridotbend.edge.brittle import BrittleTargets
from peridotbend.edge.crashes import CrashTracker
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.peers import Digest, Scope
from peridotbend.edge.published import FeedState
from peridotbend.edge.ratelimits import RateLimits
from peridotbend.edge.targets import TargetList

# Entries in one digest, so that it fits into one packet. The remaining ones
# follow in the next digests.
MAX_COUNTS = 128
# The same for targets with their outstanding prompt tokens.
MAX_COUNTS_AND_TOKENS = 96
MAX_ACCOUNTS = 24
# An answer of a relay refers to one of the last few digests.
MAX_KEPT_DIGESTS = 64

Value = TypeVar("Value", int, float)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceIdentity:
    """What identifies one run of a process to its peers."""

    name: str
    host: str
    zone: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class FeedStatus:
    """What this instance knows of the platform's store."""

    # How far each prefix is known.
    states: Mapping[str, FeedState]
    # Whether this instance reads the store itself, and reaches it.
    reads_store: bool


class _Rotation:
    """Selects a part of a table at a time, and all of it in turn."""

    def __init__(self) -> None:
        self._cursor = 0

    def select(self, table: Mapping[int, Value], size: int) -> dict[int, Value]:
        """Returns the next part, of at most `size` entries."""
        if len(table) <= size:
            return dict(table)
        keys = sorted(table)
        start = self._cursor % len(keys)
        self._cursor = start + size
        chosen = itertools.islice(itertools.cycle(keys), start, start + size)
        return {key: table[key] for key in chosen}


class SharedState:
    """Reads and updates the components that digests describe."""

    def __init__(
        self,
        identity: InstanceIdentity,
        occupancy: Occupancy,
        tokens: Occupancy,
        allowances: Allowances,
        crashes: CrashTracker,
        rate_limits: RateLimits,
        brittle: BrittleTargets,
        targets: TargetList,
        find_feed_status: Callable[[], FeedStatus],
        is_draining: Callable[[], bool],
    ):
        self._identity = identity
        self._occupancy = occupancy
        # The outstanding prompt tokens.
        self._tokens = tokens
        self._allowances = allowances
        self._crashes = crashes
        self._rate_limits = rate_limits
        self._brittle = brittle
        self._targets = targets
        self._find_feed_status = find_feed_status
        self._is_draining = is_draining
        # The latest own digests by sequence, to subtract what a relay includes.
        self._own: collections.OrderedDict[int, Digest] = (
            collections.OrderedDict()
        )
        # Targets with a count lately: a partial digest has to say which counts
        # have become zero.
        self._counted: dict[Scope, dict[int, int]] = {
            Scope.GROUP: {},
            Scope.FLEET: {},
        }
        self._count_rotations = {scope: _Rotation() for scope in self._counted}
        self._account_rotations = {
            scope: _Rotation() for scope in self._counted
        }
        self._view: dict[int, int] = {}
        self._group_counts: dict[str, dict[int, int]] = {}
        # The same for the outstanding prompt tokens.
        self._token_view: dict[int, int] = {}
        self._group_tokens: dict[str, dict[int, int]] = {}

    @property
    def identity(self) -> InstanceIdentity:
        """The identity of this run of the process."""
        return self._identity

    def describe_news(self, sequence: int) -> Digest | None:
        """Returns what every instance passes on; None if nothing is due.

        It is merged, not summed up, so it may reach an instance in many ways.
        """
        crashes = self._crashes.list_for_digest()
        limits = self._rate_limits.list_for_digest()
        brittle = self._brittle.list_for_digest()
        leaving = self._targets.list_leaving_for_digest()
        if not (crashes or limits or brittle or leaving):
            return None
        return dataclasses.replace(
            self._make_base(sequence),
            scope=Scope.NEWS,
            crashes=crashes,
            limits=limits,
            brittle=brittle,
            leaving=leaving,
        )

    def apply_news(self, digest: Digest) -> None:
        """Applies what another instance passes on."""
        self._crashes.merge(digest.crashes)
        self._rate_limits.merge(digest.limits)
        self._brittle.merge(digest.brittle)
        self._targets.merge_leaving(digest.leaving)

    def describe_own(self, sequence: int) -> Digest:
        """Returns the digest of this instance alone."""
        digest = dataclasses.replace(
            self._make_base(sequence),
            in_flight=dict(self._occupancy.own),
            prompt_tokens=dict(self._tokens.own),
            allowances=self._allowances.list_uses(),
        )
        self._own[sequence] = digest
        if len(self._own) > MAX_KEPT_DIGESTS:
            self._own.popitem(last=False)
        return digest

    def describe_group(
        self, sequence: int, members: set[str], live: int
    ) -> Digest:
        """Returns the sums over the group, for relays of other groups."""
        tokens = self._tokens.list_sum(members)
        counts, is_partial = self._select_counts(
            Scope.GROUP, self._occupancy.list_sum(members), bool(tokens)
        )
        return dataclasses.replace(
            self._make_base(sequence),
            scope=Scope.GROUP,
            live_instances=live,
            target_counts=counts,
            target_prompt_tokens=_pick(tokens, counts),
            is_partial=is_partial,
            account_spent=self._account_rotations[Scope.GROUP].select(
                self._allowances.list_group_spent(), MAX_ACCOUNTS
            ),
        )

    def describe_fleet(self, sequence: int, live: int, expected: int) -> Digest:
        """Returns the totals over all groups, for the members of the own."""
        tokens = self._tokens.list_totals()
        counts, is_partial = self._select_counts(
            Scope.FLEET, self._occupancy.list_totals(), bool(tokens)
        )
        return dataclasses.replace(
            self._make_base(sequence),
            scope=Scope.FLEET,
            live_instances=live,
            expected_instances=expected,
            target_counts=counts,
            target_prompt_tokens=_pick(tokens, counts),
            is_partial=is_partial,
            account_levels=self._account_rotations[Scope.FLEET].select(
                self._allowances.list_levels(), MAX_ACCOUNTS
            ),
        )

    def apply_own(self, digest: Digest) -> None:
        """Applies the digest of another instance."""
        self._occupancy.record_peer(digest.host, digest.in_flight)
        self._tokens.record_peer(digest.host, digest.prompt_tokens)
        self._allowances.record_peer(
            digest.host, digest.incarnation, digest.allowances
        )

    def apply_group(self, source: str, digest: Digest) -> None:
        """Applies the sums of another group."""
        counts = _merge_counts(
            self._group_counts.get(source, {}), digest.target_counts, digest
        )
        tokens = _merge_counts(
            self._group_tokens.get(source, {}),
            digest.target_prompt_tokens,
            digest,
        )
        self._group_counts[source] = counts
        self._group_tokens[source] = tokens
        self._occupancy.record_group(source, counts)
        self._tokens.record_group(source, tokens)
        self._allowances.record_group(
            source, digest.incarnation, digest.account_spent
        )

    def apply_fleet(self, digest: Digest) -> None:
        """Applies the totals of a relay in place of all other reports."""
        incarnation, sequence = digest.echo
        included = None
        if incarnation == self._identity.incarnation:
            included = self._own.get(sequence)
        self._view = _merge_counts(self._view, digest.target_counts, digest)
        self._token_view = _merge_counts(
            self._token_view, digest.target_prompt_tokens, digest
        )
        counts, tokens = dict(self._view), dict(self._token_view)
        spent: dict[str, float] = {}
        if included is not None:
            spent = {n: use.spent for n, use in included.allowances.items()}
            self._subtract(counts, included.in_flight)
            self._subtract(tokens, included.prompt_tokens)
        self._occupancy.set_view(counts)
        self._tokens.set_view(tokens)
        self._allowances.adopt_levels(digest.account_levels, spent)

    def drop_fleet(self) -> None:
        """Returns to the reports of instances and groups."""
        self._view, self._token_view = {}, {}
        self._occupancy.set_view(None)
        self._tokens.set_view(None)

    def drop_source(self, source: str) -> None:
        """Drops the state of an instance or a group that is not heard of."""
        self._group_counts.pop(source, None)
        self._group_tokens.pop(source, None)
        self._occupancy.forget_peer(source)
        self._tokens.forget_peer(source)

    def _subtract(
        self, totals: dict[int, int], included: Mapping[str, int]
    ) -> None:
        """Takes what an own digest told out of the totals that include it."""
        for name, amount in included.items():
            target = self._occupancy.find_hash(name)
            totals[target] = totals.get(target, 0) - amount

    def _make_base(self, sequence: int) -> Digest:
        feeds = self._find_feed_status()
        return Digest(
            name=self._identity.name,
            incarnation=self._identity.incarnation,
            sequence=sequence,
            host=self._identity.host,
            is_draining=self._is_draining(),
            known_hosts=(),
            feeds=feeds.states,
            in_flight={},
            allowances={},
            zone=self._identity.zone,
            is_store_reachable=feeds.reads_store,
        )

    def _select_counts(
        self, scope: Scope, counts: Mapping[int, int], has_tokens: bool
    ) -> tuple[dict[int, int], bool]:
        """Returns the counts for a digest, and whether they are only a part."""
        counted = self._counted[scope]
        size = MAX_COUNTS_AND_TOKENS if has_tokens else MAX_COUNTS
        if len(counts) <= size and len(counted) <= size:
            self._counted[scope] = dict.fromkeys(counts, 0)
            return dict(counts), False
        table = {**counted, **counts}
        chosen = self._count_rotations[scope].select(table, size)
        # A target whose zero is included now need not be listed again.
        self._counted[scope] = {
            target: 0
            for target in table
            if target in counts or target not in chosen
        }
        return chosen, True


def _pick(tokens: Mapping[int, int], counts: Iterable[int]) -> dict[int, int]:
    """Returns the tokens of the targets in `counts`, none if all are 0."""
    if not tokens:
        return {}
    return {target: tokens.get(target, 0) for target in counts}


def _merge_counts(
    previous: Mapping[int, int], told: Mapping[int, int], digest: Digest
) -> dict[int, int]:
    """Returns the amounts after a digest that told some or all of them."""
    if not digest.is_partial:
        return dict(told)
    # A target whose count is told and whose amount is not has none.
    merged = {**previous, **dict.fromkeys(digest.target_counts, 0), **told}
    return {target: amount for target, amount in merged.items() if amount}
