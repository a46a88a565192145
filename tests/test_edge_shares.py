"""Tests of what several instances may do in sum, whatever befalls them."""

import bisect
import dataclasses
import random
import unittest
from collections.abc import Callable

from peridotbend.domain.clock import ManualClock
from peridotbend.edge.allowances import Allowances
from peridotbend.edge.config import Account
from peridotbend.edge.crashes import MAX_CRASHES, CrashTracker
from peridotbend.edge.peers import Digest, PeerBook
from peridotbend.edge.sendbudget import SendBudget
from tests.edgefakes import SETTINGS, RecordingLog

ACCOUNT = Account("acme", frozenset(("k",)), None, 36_000.0, 70_000.0, 200.0)
STEP_MS = 50
HOSTS = tuple(f"10.0.0.{number}" for number in range(1, 9))
SEEDS = HOSTS[:3]
SERVICE = "engine"
# Share of the requests that ask for a second send: far more than the bound.
WANTS_RESEND = 0.5


class _Instance:
    """One start of a process, with the parts that share something."""

    def __init__(
        self, host: str, clock: ManualClock, rng: random.Random
    ) -> None:
        self.incarnation = rng.getrandbits(63)
        self.sequence = 0
        self.book = PeerBook(host, clock, RecordingLog(), rng)
        for seed in SEEDS:
            self.book.add_candidate(seed)
        self.allowances = Allowances(clock, SETTINGS, self.book.find_live_share)
        self.allowances.apply([ACCOUNT])
        self.budget = SendBudget(clock, SETTINGS)
        self.crashes = CrashTracker(clock)

    def make_digest(self, host: str) -> Digest:
        """Returns what the others are told."""
        self.sequence += 1
        return Digest(
            name=host,
            incarnation=self.incarnation,
            sequence=self.sequence,
            host=host,
            is_draining=False,
            known_hosts=tuple(self.book.list_live_hosts()),
            revisions={},
            in_flight={},
            allowances=self.allowances.list_uses(),
            crashes=self.crashes.list_for_digest(),
        )

    def take(self, digest: Digest) -> None:
        """Takes a digest of a peer."""
        if self.book.accept(digest):
            self.allowances.record_peer(
                digest.host, digest.incarnation, digest.allowances
            )
            self.crashes.record_peer(digest.host, digest.crashes)


class _Cluster:
    """Instances that exchange digests; some may be dead or cut off."""

    def __init__(self, seed: int) -> None:
        self.clock = ManualClock()
        self._started_at_ms = self.clock.now_ms()
        self.rng = random.Random(seed)
        self.live: dict[str, _Instance] = {}
        # Hosts of different groups do not reach each other.
        self.groups: dict[str, int] = dict.fromkeys(HOSTS, 0)
        # Tokens admitted, requests and extra sends, by time.
        self.spent: list[tuple[int, float]] = []
        self.requests: list[int] = []
        self.resends: list[int] = []
        for host in HOSTS:
            self.start(host)

    @property
    def now_ms(self) -> int:
        """Time since the start of the play."""
        return self.clock.now_ms() - self._started_at_ms

    def start(self, host: str) -> None:
        """Starts a process that knows nothing."""
        self.live[host] = _Instance(host, self.clock, self.rng)

    def cut(self, parts: int) -> None:
        """Splits the hosts at random."""
        for host in HOSTS:
            self.groups[host] = self.rng.randrange(parts)

    def heal(self) -> None:
        """Lets all hosts reach each other."""
        self.groups = dict.fromkeys(HOSTS, 0)

    def step(self, requests: int, tokens: float) -> None:
        """Sends requests to random instances, then all digests."""
        self.clock.advance(STEP_MS)
        hosts = list(self.live)
        for _ in range(requests if hosts else 0):
            self._request(self.live[self.rng.choice(hosts)], tokens)
        digests = [
            instance.make_digest(host) for host, instance in self.live.items()
        ]
        for digest in digests:
            for host, instance in self.live.items():
                if self.groups[host] == self.groups[digest.host]:
                    instance.take(digest)
        for instance in self.live.values():
            instance.book.check(lambda host: None)

    def _request(self, instance: _Instance, tokens: float) -> None:
        now_ms = self.now_ms
        if instance.allowances.try_take(ACCOUNT.name, tokens) is not None:
            return
        self.spent.append((now_ms, tokens))
        instance.budget.record_request(SERVICE)
        self.requests.append(now_ms)
        if self.rng.random() < WANTS_RESEND and instance.budget.try_spend(
            SERVICE, instance.book.count_instances()
        ):
            self.resends.append(now_ms)

    def find_worst_sum(self) -> float:
        """Returns the most tokens admitted within any window."""
        window_ms = SETTINGS.allowance_window_ms
        worst = held = 0.0
        first = 0
        for at_ms, tokens in self.spent:
            held += tokens
            while self.spent[first][0] <= at_ms - window_ms:
                held -= self.spent[first][1]
                first += 1
            worst = max(worst, held)
        return worst

    def find_worst_resends(self) -> float:
        """Returns by how much extra sends exceeded their bound, at worst."""
        window_ms = SETTINGS.resend_window_ms
        worst = float("-inf")
        for at_ms in self.resends:
            resends = _count_within(self.resends, at_ms, window_ms)
            requests = _count_within(self.requests, at_ms, window_ms)
            allowed = SETTINGS.resend_share * requests + SETTINGS.resend_slack
            worst = max(worst, resends - allowed)
        return worst


def _count_within(times_ms: list[int], at_ms: int, window_ms: int) -> int:
    """Counts sorted times within the window that ends at one of them."""
    oldest = bisect.bisect_right(times_ms, at_ms - window_ms)
    return bisect.bisect_right(times_ms, at_ms) - oldest


def _find_bound(account: Account) -> float:
    """Returns the most tokens that a window may hold by the settings."""
    refilled = account.tokens_per_s * SETTINGS.allowance_window_ms / 1_000
    full = refilled + account.burst_tokens
    return full * (1 + SETTINGS.allowance_overage) + SETTINGS.allowance_slack


def _calm(cluster: _Cluster) -> None:
    """Nothing fails."""


def _cut_in_two(cluster: _Cluster) -> None:
    if cluster.now_ms % 20_000 == 8_000:
        cluster.cut(2)
    if cluster.now_ms % 20_000 == 15_000:
        cluster.heal()


def _cut_in_four(cluster: _Cluster) -> None:
    if cluster.now_ms % 20_000 == 8_000:
        cluster.cut(4)
    if cluster.now_ms % 20_000 == 15_000:
        cluster.heal()


def _restart_all(cluster: _Cluster) -> None:
    if cluster.now_ms % 20_000 == 8_000:
        for host in HOSTS:
            cluster.start(host)


def _restart_some_often(cluster: _Cluster) -> None:
    if cluster.now_ms % 1_000 == 0:
        cluster.start(cluster.rng.choice(HOSTS))


def _restart_behind_a_cut(cluster: _Cluster) -> None:
    at_ms = cluster.now_ms % 20_000
    if at_ms == 8_000:
        cluster.cut(2)
    if at_ms == 10_000:
        for host in HOSTS:
            if cluster.groups[host]:
                cluster.start(host)
    if at_ms == 14_000:
        cluster.heal()


def _kill_for_a_while(cluster: _Cluster) -> None:
    at_ms = cluster.now_ms % 20_000
    if at_ms == 8_000:
        for host in cluster.rng.sample(HOSTS, 5):
            del cluster.live[host]
    if at_ms == 11_000:
        for host in HOSTS:
            if host not in cluster.live:
                cluster.start(host)


TROUBLES: tuple[Callable[[_Cluster], None], ...] = (
    _calm,
    _cut_in_two,
    _cut_in_four,
    _restart_all,
    _restart_some_often,
    _restart_behind_a_cut,
    _kill_for_a_while,
)
SEED_COUNT = 3
DAY_MS = 45_000
# Three times what is refilled.
REQUESTS_PER_STEP = 3
TOKENS = 1_800.0


def _play(trouble: Callable[[_Cluster], None], seed: int) -> _Cluster:
    cluster = _Cluster(seed)
    while cluster.now_ms < DAY_MS:
        trouble(cluster)
        cluster.step(REQUESTS_PER_STEP, TOKENS)
    return cluster


class AllowanceSumTest(unittest.TestCase):
    """The allowance of an account, summed over all instances."""

    def test_no_trouble_lets_the_sum_exceed_the_bound(self) -> None:
        """Guards against instances that each grant the whole allowance."""
        for trouble in TROUBLES:
            for seed in range(SEED_COUNT):
                with self.subTest(trouble=trouble.__name__, seed=seed):
                    cluster = _play(trouble, seed)
                    worst = cluster.find_worst_sum()
                    assert worst <= _find_bound(ACCOUNT), worst

    def test_calm_instances_grant_the_whole_allowance(self) -> None:
        """Guards against refusals below the allowance."""
        cluster = _play(_calm, 1)
        granted = sum(t for at, t in cluster.spent if at > DAY_MS - 20_000)
        assert granted >= 0.95 * ACCOUNT.tokens_per_s * 20

    def test_healed_instances_go_on_with_the_allowance(self) -> None:
        """Guards against a bucket that pays for the spending of both sides.

        Each side refilled its part only, then took out all that the other
        had spent; accounts were refused for seconds after a cut.
        """
        cluster = _play(_cut_in_two, 2)
        # From the second cut, at 28 s, to the end.
        granted = sum(t for at, t in cluster.spent if at > 28_000)
        assert granted >= 0.9 * ACCOUNT.tokens_per_s * 17

    def test_restarted_instances_grant_what_refills(self) -> None:
        """Guards against accounts that a restart of all leaves refused."""
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                cluster = _play(_restart_all, seed)
                granted = sum(
                    t for at, t in cluster.spent if 28_000 < at <= 30_000
                )
                assert granted >= 0.9 * ACCOUNT.tokens_per_s * 2

    def test_lowered_allowance_binds_all_within_a_window(self) -> None:
        """Guards against instances that go on by the old allowance."""
        cluster = _Cluster(4)
        lower = dataclasses.replace(
            ACCOUNT, tokens_per_s=9_000.0, burst_tokens=18_000.0
        )
        while cluster.now_ms < DAY_MS:
            if cluster.now_ms == 20_000:
                for instance in cluster.live.values():
                    instance.allowances.apply([lower])
            cluster.step(REQUESTS_PER_STEP, TOKENS)
        window_ms = SETTINGS.allowance_window_ms
        cluster.spent = [
            (at, t) for at, t in cluster.spent if at > 20_000 + window_ms
        ]
        assert cluster.find_worst_sum() <= _find_bound(lower)


class ResendSumTest(unittest.TestCase):
    """Extra sends, summed over all instances."""

    def test_no_trouble_lets_the_sum_exceed_the_bound(self) -> None:
        """Guards against a retry storm that each instance finds modest."""
        for trouble in TROUBLES:
            with self.subTest(trouble=trouble.__name__):
                cluster = _play(trouble, 1)
                assert cluster.resends
                assert cluster.find_worst_resends() <= 0


class CrashSumTest(unittest.TestCase):
    """Requests that crash targets, counted over all instances."""

    def test_crashes_at_different_instances_add_up(self) -> None:
        """Guards against one crash for each instance of a large fleet."""
        cluster = _Cluster(1)
        for host in HOSTS[:MAX_CRASHES]:
            crashes = cluster.live[host].crashes
            assert not crashes.is_quarantined(7)
            crashes.note_broken_connection(f"i-{host}", 7)
            crashes.note_target_dead(f"i-{host}")
            cluster.step(0, 0.0)
        for instance in cluster.live.values():
            assert instance.crashes.is_quarantined(7)

    def test_new_process_knows_what_its_peers_know(self) -> None:
        """Guards against a crash more for each restart."""
        cluster = _Cluster(1)
        for host in HOSTS[:MAX_CRASHES]:
            cluster.live[host].crashes.note_broken_connection(f"i-{host}", 7)
            cluster.live[host].crashes.note_target_dead(f"i-{host}")
        cluster.start(HOSTS[-1])
        cluster.step(0, 0.0)
        assert cluster.live[HOSTS[-1]].crashes.is_quarantined(7)
