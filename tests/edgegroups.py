"""A fleet of instances that exchange digests, in virtual time."""

import dataclasses
import random

from result import Result

from peridotbend.adapters.digests import (
    decode_digest,
    encode_digest,
    encode_echo,
)
from peridotbend.domain.clock import ManualClock
from peridotbend.edge.allowances import Allowances
from peridotbend.edge.brittle import BrittleTargets
from peridotbend.edge.crashes import CrashTracker
from peridotbend.edge.exchange import DigestExchange
from peridotbend.edge.feeds import Feed, RestoreRules
from peridotbend.edge.fleetstatus import FleetStatus
from peridotbend.edge.groups import GroupDirectory
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.peers import PeerRegistry
from peridotbend.edge.ports import PublishedReader, StoreError
from peridotbend.edge.published import Changes, FeedState, Item, Position
from peridotbend.edge.ratelimits import RateLimits
from peridotbend.edge.readerrole import ReaderRole
from peridotbend.edge.sendbudget import SendBudget
from peridotbend.edge.sharedstate import (
    FeedStatus,
    InstanceIdentity,
    SharedState,
)
from peridotbend.edge.targets import TargetList
from tests.edgefakes import SETTINGS, RecordingLog

STEP_MS = 50
PREFIX = "op/"
WITHHOLD_MS = 4_800


class UnusedReader:
    """Stands for the store, which the fleet reads for its instances."""

    async def list_items(self) -> Result[Changes, StoreError]:
        """Is not called."""
        raise NotImplementedError

    async def watch(
        self, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Is not called."""
        raise NotImplementedError


class SingleKeyStore:
    """A store with one key, whose value has a version."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.version = 1

    def write(self, version: int) -> None:
        """Writes a version."""
        self.revision += 1
        self.version = version

    def restore(self, revision: int, version: int) -> None:
        """Goes back to an older copy."""
        self.era += 1
        self.revision = revision
        self.version = version

    def read(self) -> Changes:
        """Returns a full copy."""
        position = Position(self.era, self.revision)
        value = str(self.version).encode()
        item = Item(PREFIX + "key", position, value, (self.version, 0))
        return Changes((item,), position, is_whole=True)


class GroupInstance:
    """One run of a process, without sockets."""

    def __init__(
        self,
        host: str,
        zone: str,
        seeds: tuple[str, ...],
        clock: ManualClock,
        rng: random.Random,
        reader: PublishedReader | None = None,
    ) -> None:
        self.host = host
        self.zone = zone
        self.clock = clock
        self.role = ReaderRole(rng)
        self.feed = Feed(
            PREFIX,
            reader or UnusedReader(),
            lambda items: None,
            clock,
            RecordingLog(),
            self.note_change,
            self.role,
            RestoreRules(True, WITHHOLD_MS, lambda: None),
        )
        self.can_reach_store = True
        self.is_draining = False
        self.peers = PeerRegistry(host, clock, RecordingLog(), rng)
        for seed in seeds:
            self.peers.add_candidate(seed)
        self.directory = GroupDirectory(host, zone, self.peers, clock)
        self.status = FleetStatus(self.peers, self.directory)
        self.occupancy = Occupancy(clock)
        self.tokens = Occupancy(clock)
        self.allowances = Allowances(
            clock, SETTINGS, self.status.find_live_share
        )
        self.budget = SendBudget(clock, SETTINGS)
        self.crashes = CrashTracker(clock, RecordingLog())
        self.targets = TargetList(clock)
        state = SharedState(
            InstanceIdentity(host, host, zone, rng.getrandbits(63)),
            self.occupancy,
            self.tokens,
            self.allowances,
            self.crashes,
            RateLimits(clock, RecordingLog(), host, list),
            BrittleTargets(clock, RecordingLog(), host, list),
            self.targets,
            self._find_feed_status,
            lambda: self.is_draining,
        )
        self.exchange = DigestExchange(
            state,
            self.peers,
            self.directory,
            self.status,
            clock,
            RecordingLog(),
            self._note_state,
        )
        self._next_ms = clock.now_ms() + rng.randrange(300)

    @property
    def revision(self) -> int:
        """The revision up to which the instance knows the store."""
        return self.feed.items.position.revision

    @property
    def version(self) -> int:
        """The highest version that the instance knows."""
        return self.feed.items.state.version

    @property
    def is_reader(self) -> bool:
        """Whether the instance reads the store."""
        return self.exchange.should_read_store()

    def is_due(self) -> bool:
        """Tells whether the instance collects its digests in this step."""
        if self.clock.now_ms() < self._next_ms:
            return False
        interval_ms = self.exchange.find_min_interval_ms()
        self._next_ms = self.clock.now_ms() + interval_ms
        return True

    def note_change(self) -> None:
        """Makes digests due; a fleet in steps collects them anyway."""

    def _find_feed_status(self) -> FeedStatus:
        reads_store = self.is_reader and self.can_reach_store
        return FeedStatus({PREFIX: self.feed.items.state}, reads_store)

    def _note_state(self, host: str, prefix: str, state: FeedState) -> None:
        self.feed.note_peer(host, state)


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes and datagrams of one instance."""

    sent_bytes: int = 0
    received_bytes: int = 0
    datagrams: int = 0


class GroupFleet:
    """Instances in zones; zones and instances can be cut off."""

    def __init__(
        self,
        zones: int,
        per_zone: int,
        seed: int = 1,
        clock: ManualClock | None = None,
    ) -> None:
        self.clock = clock or ManualClock()
        self.rng = random.Random(seed)
        self.instances: dict[str, GroupInstance] = {}
        self.traffic: dict[str, Traffic] = {}
        # Zones of different sides cannot reach each other.
        self.side_by_zone: dict[str, int] = {}
        # Hosts that reach nobody.
        self.cut_hosts: set[str] = set()
        self.store = SingleKeyStore()
        self.loss = 0.0
        hosts = [
            (f"10.{zone + 1}.0.{number + 1}", f"zone-{zone}")
            for zone in range(zones)
            for number in range(per_zone)
        ]
        self.seeds = tuple(host for host, _ in hosts[:: max(1, per_zone)][:3])
        for host, zone in hosts:
            self.start(host, zone)

    def make_instance(self, host: str, zone: str) -> GroupInstance:
        """Returns a process that has not been started."""
        return GroupInstance(host, zone, self.seeds, self.clock, self.rng)

    def start(self, host: str, zone: str) -> GroupInstance:
        """Starts a process without state, in place of a running one."""
        instance = self.make_instance(host, zone)
        self.instances[host] = instance
        self.traffic.setdefault(host, Traffic())
        return instance

    def run(self, duration_ms: int) -> None:
        """Exchanges digests for some time."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.step()

    def step(self) -> None:
        """Lets all instances that are due exchange their digests."""
        self.clock.advance(STEP_MS)
        for instance in list(self.instances.values()):
            instance.role.assign(instance.is_reader)
            if instance.is_reader and instance.can_reach_store:
                instance.feed.merge(self.store.read())
            self._fetch(instance)
            if instance.is_due():
                self.send_all(instance)

    def _fetch(self, instance: GroupInstance) -> None:
        """Fetches changes from a peer, if one is ahead."""
        host = instance.feed.take_peer_ahead()
        peer = self.instances.get(host)
        if peer is None or not self.are_linked(instance, peer):
            return
        after = instance.feed.find_fetch_state()
        changes = peer.feed.items.list_changes(after)
        instance.feed.merge_fetched(host, changes)

    def are_linked(self, first: GroupInstance, second: GroupInstance) -> bool:
        """Tells whether two instances reach each other."""
        if self.cut_hosts & {first.host, second.host}:
            return False
        sides = self.side_by_zone
        return sides.get(first.zone, 0) == sides.get(second.zone, 0)

    def reset_traffic(self) -> None:
        """Starts to count bytes from zero."""
        for host in self.traffic:
            self.traffic[host] = Traffic()

    def send_all(self, sender: GroupInstance) -> None:
        """Sends the digests of an instance that are due."""
        for outgoing in sender.exchange.collect():
            data = encode_digest(outgoing.digest)
            for index, host in enumerate(outgoing.hosts):
                echo = b""
                if outgoing.echoes:
                    echo = encode_echo(outgoing.echoes[index])
                self._deliver(sender, host, data + echo)

    def _deliver(self, sender: GroupInstance, host: str, data: bytes) -> None:
        traffic = self.traffic[sender.host]
        traffic.sent_bytes += len(data)
        traffic.datagrams += 1
        receiver = self.instances.get(host)
        if receiver is None or self.rng.random() < self.loss:
            return
        if not self.are_linked(sender, receiver):
            return
        digest = decode_digest(data)
        assert digest is not None
        self.traffic[host].received_bytes += len(data)
        self.traffic[host].datagrams += 1
        if receiver.exchange.receive(digest):
            receiver.note_change()
