"""Tests of limits on the sum over all instances, while instances fail."""

import bisect
import dataclasses
import random
import unittest
from collections.abc import Callable

from peridotbend.domain.clock import ManualClock
from peridotbend.edge.allowances import Allowances
from peridotbend.edge.config import Account
from peridotbend.edge.crashes import CrashTracker
from peridotbend.edge.evidence import MAX_CRASHES
from peridotbend.edge.peers import Digest, PeerRegistry
from peridotbend.edge.sendbudget import SendBudget
from tests.edgefakes import SETTINGS, RecordingLog, note_death

ACCOUNT = Account("acme", frozenset(("k",)), None, 36_000.0, 70_000.0, 200.0)
STEP_MS = 50
HOSTS = tuple(f"10.0.0.{number}" for number in range(1, 9))
SEEDS = HOSTS[:3]
SERVICE = "engine"
# Probability that a request needs a second send: far above the bound.
RESEND_PROBABILITY = 0.5


class _Instance:
    """One run of a process, with the components that share state with peers."""

    def __init__(
        self, host: str, clock: ManualClock, rng: random.Random
    ) -> None:
        self.incarnation = rng.getrandbits(63)
        self.sequence = 0
        self.peer_registry = PeerRegistry(host, clock, RecordingLog(), rng)
        for seed in SEEDS:
            self.peer_registry.add_candidate(seed)
        self.allowances = Allowances(
            clock, SETTINGS, self.peer_registry.find_live_share
        )
        self.allowances.apply([ACCOUNT])
        self.budget = SendBudget(clock, SETTINGS)
        self.crashes = CrashTracker(clock, RecordingLog())

    def make_digest(self, host: str) -> Digest:
        """Returns the digest for the peers."""
        self.sequence += 1
        return Digest(
            name=host,
            incarnation=self.incarnation,
            sequence=self.sequence,
            host=host,
            is_draining=False,
            known_hosts=tuple(self.peer_registry.list_live_hosts()),
            feeds={},
            in_flight={},
            allowances=self.allowances.list_uses(),
            crashes=self.crashes.list_for_digest(),
        )

    def receive(self, digest: Digest) -> None:
        """Processes a digest of a peer."""
        if self.peer_registry.accept(digest):
            self.allowances.record_peer(
                digest.host, digest.incarnation, digest.allowances
            )
            self.crashes.merge(digest.crashes)


class _Cluster:
    """Instances that exchange digests; some may be down or partitioned."""

    def __init__(self, seed: int) -> None:
        self.clock = ManualClock()
        self._started_at_ms = self.clock.now_ms()
        self.rng = random.Random(seed)
        self.instances: dict[str, _Instance] = {}
        # Hosts of different groups cannot reach each other.
        self.group_by_host: dict[str, int] = dict.fromkeys(HOSTS, 0)
        # Time and tokens of each admitted request, in order of time.
        self.admissions: list[tuple[int, float]] = []
        self.request_times_ms: list[int] = []
        self.resend_times_ms: list[int] = []
        for host in HOSTS:
            self.start(host)

    @property
    def now_ms(self) -> int:
        """Time since the start of the simulation."""
        return self.clock.now_ms() - self._started_at_ms

    def start(self, host: str) -> None:
        """Starts a process without state, in place of a running one."""
        self.instances[host] = _Instance(host, self.clock, self.rng)

    def partition(self, group_count: int) -> None:
        """Assigns each host to a random group."""
        for host in HOSTS:
            self.group_by_host[host] = self.rng.randrange(group_count)

    def heal(self) -> None:
        """Ends the partition."""
        self.group_by_host = dict.fromkeys(HOSTS, 0)

    def step(self, requests: int, tokens: float) -> None:
        """Sends requests to random instances, then exchanges all digests."""
        self.clock.advance(STEP_MS)
        hosts = list(self.instances)
        for _ in range(requests if hosts else 0):
            self._request(self.instances[self.rng.choice(hosts)], tokens)
        digests = [
            instance.make_digest(host)
            for host, instance in self.instances.items()
        ]
        for digest in digests:
            for host, instance in self.instances.items():
                if self.group_by_host[host] == self.group_by_host[digest.host]:
                    instance.receive(digest)
        for instance in self.instances.values():
            instance.peer_registry.check(lambda host: None)

    def _request(self, instance: _Instance, tokens: float) -> None:
        now_ms = self.now_ms
        if instance.allowances.try_take(ACCOUNT.name, tokens) is not None:
            return
        self.admissions.append((now_ms, tokens))
        instance.budget.record_request(SERVICE)
        self.request_times_ms.append(now_ms)
        if self.rng.random() < RESEND_PROBABILITY and instance.budget.try_spend(
            SERVICE, instance.peer_registry.count_instances()
        ):
            self.resend_times_ms.append(now_ms)

    def find_max_window_tokens(self) -> float:
        """Returns the maximum number of tokens admitted within a window."""
        window_ms = SETTINGS.allowance_window_ms
        max_tokens = window_tokens = 0.0
        first = 0
        for at_ms, tokens in self.admissions:
            window_tokens += tokens
            while self.admissions[first][0] <= at_ms - window_ms:
                window_tokens -= self.admissions[first][1]
                first += 1
            max_tokens = max(max_tokens, window_tokens)
        return max_tokens

    def find_max_resend_excess(self) -> float:
        """Returns the maximum excess of extra sends over their bound."""
        window_ms = SETTINGS.resend_window_ms
        max_excess = float("-inf")
        for at_ms in self.resend_times_ms:
            resends = _count_within(self.resend_times_ms, at_ms, window_ms)
            requests = _count_within(self.request_times_ms, at_ms, window_ms)
            allowed = SETTINGS.resend_share * requests + SETTINGS.resend_slack
            max_excess = max(max_excess, resends - allowed)
        return max_excess


def _count_within(times_ms: list[int], at_ms: int, window_ms: int) -> int:
    """Counts the sorted times within the window that ends at `at_ms`."""
    before_window = bisect.bisect_right(times_ms, at_ms - window_ms)
    return bisect.bisect_right(times_ms, at_ms) - before_window


def _find_window_bound(account: Account) -> float:
    """Returns how many tokens the settings allow within a window."""
    refilled = account.tokens_per_s * SETTINGS.allowance_window_ms / 1_000
    full = refilled + account.burst_tokens
    return full * (1 + SETTINGS.allowance_overage) + SETTINGS.allowance_slack


def _no_fault(cluster: _Cluster) -> None:
    """Injects no fault."""


def _partition_in_two(cluster: _Cluster) -> None:
    if cluster.now_ms % 20_000 == 8_000:
        cluster.partition(2)
    if cluster.now_ms % 20_000 == 15_000:
        cluster.heal()


def _partition_in_four(cluster: _Cluster) -> None:
    if cluster.now_ms % 20_000 == 8_000:
        cluster.partition(4)
    if cluster.now_ms % 20_000 == 15_000:
        cluster.heal()


def _restart_all(cluster: _Cluster) -> None:
    if cluster.now_ms % 20_000 == 8_000:
        for host in HOSTS:
            cluster.start(host)


def _restart_one_each_second(cluster: _Cluster) -> None:
    if cluster.now_ms % 1_000 == 0:
        cluster.start(cluster.rng.choice(HOSTS))


def _restart_in_partition(cluster: _Cluster) -> None:
    at_ms = cluster.now_ms % 20_000
    if at_ms == 8_000:
        cluster.partition(2)
    if at_ms == 10_000:
        for host in HOSTS:
            if cluster.group_by_host[host]:
                cluster.start(host)
    if at_ms == 14_000:
        cluster.heal()


def _kill_some_for_3_s(cluster: _Cluster) -> None:
    at_ms = cluster.now_ms % 20_000
    if at_ms == 8_000:
        for host in cluster.rng.sample(HOSTS, 5):
            del cluster.instances[host]
    if at_ms == 11_000:
        for host in HOSTS:
            if host not in cluster.instances:
                cluster.start(host)


FAULTS: tuple[Callable[[_Cluster], None], ...] = (
    _no_fault,
    _partition_in_two,
    _partition_in_four,
    _restart_all,
    _restart_one_each_second,
    _restart_in_partition,
    _kill_some_for_3_s,
)
SEED_COUNT = 3
SIMULATION_MS = 45_000
# Three times the rate at which the allowance is refilled.
REQUESTS_PER_STEP = 3
TOKENS_PER_REQUEST = 1_800.0


def _simulate(fault: Callable[[_Cluster], None], seed: int) -> _Cluster:
    cluster = _Cluster(seed)
    while cluster.now_ms < SIMULATION_MS:
        fault(cluster)
        cluster.step(REQUESTS_PER_STEP, TOKENS_PER_REQUEST)
    return cluster


class AllowanceSumTest(unittest.TestCase):
    """The allowance of an account, summed over all instances."""

    def test_sum_stays_within_the_bound_under_faults(self) -> None:
        """Guards against instances that each grant the whole allowance."""
        for fault in FAULTS:
            for seed in range(SEED_COUNT):
                with self.subTest(fault=fault.__name__, seed=seed):
                    cluster = _simulate(fault, seed)
                    max_tokens = cluster.find_max_window_tokens()
                    assert max_tokens <= _find_window_bound(ACCOUNT), max_tokens

    def test_connected_instances_grant_the_whole_allowance(self) -> None:
        """Guards against refusing requests below the allowance."""
        cluster = _simulate(_no_fault, 1)
        granted = sum(
            t for at, t in cluster.admissions if at > SIMULATION_MS - 20_000
        )
        assert granted >= 0.95 * ACCOUNT.tokens_per_s * 20

    def test_allowance_is_granted_after_a_partition(self) -> None:
        """Guards against a bucket charged for the spending of both sides.

        During a partition each side refilled only its part. Afterwards it
        deducted all that the other side had spent, so that accounts were
        refused for seconds.
        """
        cluster = _simulate(_partition_in_two, 2)
        # From the second partition, at 28 s, to the end.
        granted = sum(t for at, t in cluster.admissions if at > 28_000)
        assert granted >= 0.9 * ACCOUNT.tokens_per_s * 17

    def test_restarted_instances_grant_what_refills(self) -> None:
        """Guards against refusing accounts after all instances restart."""
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                cluster = _simulate(_restart_all, seed)
                granted = sum(
                    t for at, t in cluster.admissions if 28_000 < at <= 30_000
                )
                assert granted >= 0.9 * ACCOUNT.tokens_per_s * 2

    def test_lowered_allowance_holds_after_one_window(self) -> None:
        """Guards against instances that continue to grant the old allowance."""
        cluster = _Cluster(4)
        lowered = dataclasses.replace(
            ACCOUNT, tokens_per_s=9_000.0, burst_tokens=18_000.0
        )
        while cluster.now_ms < SIMULATION_MS:
            if cluster.now_ms == 20_000:
                for instance in cluster.instances.values():
                    instance.allowances.apply([lowered])
            cluster.step(REQUESTS_PER_STEP, TOKENS_PER_REQUEST)
        window_ms = SETTINGS.allowance_window_ms
        cluster.admissions = [
            (at, t) for at, t in cluster.admissions if at > 20_000 + window_ms
        ]
        assert cluster.find_max_window_tokens() <= _find_window_bound(lowered)


class ResendSumTest(unittest.TestCase):
    """The extra sends, summed over all instances."""

    def test_sum_stays_within_the_bound_under_faults(self) -> None:
        """Guards against a retry storm of which each instance sends little."""
        for fault in FAULTS:
            with self.subTest(fault=fault.__name__):
                cluster = _simulate(fault, 1)
                assert cluster.resend_times_ms
                assert cluster.find_max_resend_excess() <= 0


class CrashSumTest(unittest.TestCase):
    """Requests that crash targets, counted over all instances."""

    def test_crashes_at_different_instances_add_up(self) -> None:
        """Guards against one crash per instance of a large fleet."""
        cluster = _Cluster(1)
        for host in HOSTS[:MAX_CRASHES]:
            crashes = cluster.instances[host].crashes
            assert not crashes.find_cause({7})
            note_death(crashes, f"i-{host}", {7: "request"})
            cluster.step(0, 0.0)
        for instance in cluster.instances.values():
            assert instance.crashes.find_cause({7})

    def test_new_process_learns_the_crashes_from_its_peers(self) -> None:
        """Guards against one more crash per restart of an instance."""
        cluster = _Cluster(1)
        for host in HOSTS[:MAX_CRASHES]:
            crashes = cluster.instances[host].crashes
            note_death(crashes, f"i-{host}", {7: "request"})
        cluster.start(HOSTS[-1])
        cluster.step(0, 0.0)
        assert cluster.instances[HOSTS[-1]].crashes.find_cause({7})
