"""Assembles an entry instance from the domain and the adapters."""

import contextlib
import dataclasses
import random
from collections.abc import Sequence

import anyio
from anyio.abc import TaskGroup

from peridotbend.adapters.answerlimits import OversizedAnswers
from peridotbend.adapters.callermemory import CallerMemory
from peridotbend.adapters.callers import CallerApp, CallerSettings
from peridotbend.adapters.connectionlimits import ConnectionLimits
from peridotbend.adapters.loads import LoadPoller
from peridotbend.adapters.metrics import PrometheusMeter
from peridotbend.adapters.operators import OperatorApp
from peridotbend.adapters.peerclient import GrpcPeerClient
from peridotbend.adapters.peerdigest import (
    DigestSink,
    DigestSource,
    ExchangeHooks,
)
from peridotbend.adapters.peerlinks import PeerLinks
from peridotbend.adapters.peerpaths import PeerPaths
from peridotbend.adapters.peers import ChannelPool, PeerLimits
from peridotbend.adapters.peerserver import PeerServer
from peridotbend.adapters.platform import make_platform
from peridotbend.adapters.rosterpeers import RosterPeers
from peridotbend.adapters.serving import HttpServer, listen
from peridotbend.adapters.settings import NodeSettings
from peridotbend.adapters.targets import CONNECT_TIMEOUT_S, HttpTargetClient
from peridotbend.adapters.textcache import TextParser
from peridotbend.adapters.textsync import TextSync
from peridotbend.adapters.turnedaway import TurnedAway
from peridotbend.domain.clock import SystemClock
from peridotbend.domain.dispatch import Dispatcher
from peridotbend.domain.events import Event
from peridotbend.domain.handover import RecordTransfer
from peridotbend.domain.jobs import DispatchPorts
from peridotbend.domain.keys import MintedKeyPolicy
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import Peer
from peridotbend.domain.ports import EventLog, LoadReport, Share
from peridotbend.domain.quarantine import SuspectTable
from peridotbend.domain.records import RequestTable
from peridotbend.domain.requestids import IdMinter, make_incarnation
from peridotbend.domain.requests import RequestService
from peridotbend.domain.retries import RetryBudget
from peridotbend.domain.routing import Router
from peridotbend.domain.scheduler import Scheduler, SchedulerLimits
from peridotbend.domain.targetindex import TargetIndex
from peridotbend.domain.text import FleetConfig, Target
from peridotbend.domain.textstore import ConfigStore
from peridotbend.domain.windows import WindowDivider
from peridotbend.inspection import make_operator_hooks

PEER_LIMITS = PeerLimits()
EXPIRY_INTERVAL_S = 1.0
DIVIDE_INTERVAL_S = 0.2
DRAIN_POLL_INTERVAL_S = 0.05
CLOSE_TIMEOUT_S = 5.0


class TextFileError(Exception):
    """The configuration file named in the settings cannot be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListenPorts:
    """The ports that a node listens on."""

    caller: int
    operator: int
    peer: int


class Node:
    """One entry instance."""

    def __init__(self, settings: NodeSettings, log: EventLog):
        self.settings = settings
        self._log = log
        self.clock = SystemClock()
        self._rng = random.Random()
        self.incarnation = make_incarnation(self.clock.wall_ms())
        self.meter = PrometheusMeter(self.clock)
        own = Peer(
            settings.name,
            self.incarnation,
            settings.zone,
            settings.peer_host,
            settings.peer_port,
        )
        self.roster = Roster(own, self.clock, log, self._rng)
        self.config_store = ConfigStore(self.clock, log)
        self.suspects = SuspectTable(self.clock)
        self.suspects.subscribe(self.roster.notify_urgent)
        self.router = Router(self.clock, settings.zone)
        self.scheduler = Scheduler(
            self.clock,
            self.roster,
            self.router,
            SchedulerLimits(max_waiting=settings.max_waiting),
            log,
            self.meter,
        )
        self.window_divider = WindowDivider(self.clock)
        self.records = RequestTable(
            self.clock, settings.max_records, settings.max_answer_bytes
        )
        self.target_index = TargetIndex()
        # Work by tier, by divider and target, at the last division.
        self._demand_by_divider: dict[str, dict[str, Sequence[float]]] = {}
        # Shares by peer, for the targets whose windows this process divides.
        self._shares_by_peer: dict[str, list[Share]] = {}
        self._drain_requested = anyio.Event()

    async def run(self, started: anyio.Event | None = None) -> None:
        """Serves until drained."""
        stack = contextlib.AsyncExitStack()
        try:
            async with anyio.create_task_group() as tasks:
                await self._start(stack, tasks)
                is_draining = self._drain_requested.is_set()
                if started is not None and not is_draining:
                    started.set()
                await self._drain_requested.wait()
                await self._drain_requests()
                tasks.cancel_scope.cancel()
        finally:
            # Closing the stack while its task is being cancelled makes an
            # exception its own context, and anyio follows that chain
            # forever.
            with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await stack.aclose()

    @property
    def targets(self) -> tuple[Target, ...]:
        """The targets of the configuration in force."""
        return self.target_index.list_all()

    def start_drain(self) -> None:
        """Starts a graceful shutdown and returns at once."""
        self._drain_requested.set()

    async def _start(
        self, stack: contextlib.AsyncExitStack, tasks: TaskGroup
    ) -> None:
        self._build_service(stack, tasks)
        caller_socket = listen(
            self.settings.caller_host, self.settings.caller_port
        )
        operator_socket = listen(
            self.settings.operator_host, self.settings.operator_port
        )
        peer_port = await self._server.start(
            self.settings.peer_host, self.settings.peer_port
        )
        stack.push_async_callback(self._server.stop)
        self.roster.set_address(self.settings.peer_host, peer_port)
        self.ports = ListenPorts(
            caller_socket.getsockname()[1],
            operator_socket.getsockname()[1],
            peer_port,
        )
        await self._load_text_file()
        self.caller_app = CallerApp(
            self.service,
            CallerSettings(
                max_header_bytes=self.settings.max_header_bytes,
                max_body_bytes=self.settings.max_body_bytes,
            ),
            self._log,
        )
        operator_app = OperatorApp(make_operator_hooks(self))
        memory = CallerMemory(turned_away=TurnedAway(self._log))
        self.caller_server = HttpServer(
            self.caller_app,
            caller_socket,
            ConnectionLimits(
                max_connections=self.settings.max_connections,
                max_header_bytes=self.settings.max_header_bytes,
            ),
            memory,
        )
        operator_server = HttpServer(
            operator_app, operator_socket, memory=memory
        )
        tasks.start_soon(self.caller_server.run)
        tasks.start_soon(operator_server.run)
        tasks.start_soon(self.peer_links.run)
        tasks.start_soon(self.text_sync.run)
        tasks.start_soon(self.scheduler.run)
        tasks.start_soon(self.load_poller.run)
        tasks.start_soon(self.paths.dialer.probe)
        tasks.start_soon(self._divide_windows)
        tasks.start_soon(self._expire_records)
        self._log.emit(
            Event.PROCESS_STARTED,
            instance=self.settings.name,
            zone=self.settings.zone,
            incarnation=self.incarnation,
            **dataclasses.asdict(self.ports),
        )

    def _build_service(
        self, stack: contextlib.AsyncExitStack, tasks: TaskGroup
    ) -> None:
        self.paths = PeerPaths(
            self.clock,
            self._rng,
            self.target_index,
            RosterPeers(self.roster),
            self._log,
            CONNECT_TIMEOUT_S,
        )
        stack.callback(self.paths.dialer.close)
        self.target_client = targets = HttpTargetClient(
            CONNECT_TIMEOUT_S,
            self.paths.dialer,
            reach=self.paths.dialer,
            oversized=OversizedAnswers(self._log, self.clock),
        )
        stack.push_async_callback(targets.aclose)
        self.load_poller = LoadPoller(
            targets, self.clock, self.settings.zone, self._record_load
        )
        channels = ChannelPool()
        stack.callback(channels.close)
        self.peer_client = GrpcPeerClient(
            self.roster,
            channels,
            self.suspects,
            self._log,
            PEER_LIMITS,
        )
        self.dispatcher = Dispatcher(
            DispatchPorts(
                self.clock,
                self.records,
                self.scheduler,
                targets,
                self.load_poller,
                self.roster,
                self.suspects,
                self.peer_client,
                RetryBudget(),
                self._log,
                self.meter,
            )
        )
        self.service = RequestService(
            IdMinter(self.settings.name, self.incarnation),
            MintedKeyPolicy(),
            self.dispatcher,
            tasks,
        )
        self.record_transfer = RecordTransfer(
            self.service, self.records, self.clock
        )
        self.peer_client.attach_handler(self.record_transfer)
        self._build_links(channels)
        self.config_store.subscribe(self._apply_config)

    def _build_links(self, channels: ChannelPool) -> None:
        hooks = ExchangeHooks(
            export_fingerprints=self.suspects.export,
            merge_fingerprints=self.suspects.merge,
            find_demand=lambda peer: self._demand_by_divider.get(peer, {}),
            record_demand=self.window_divider.record_demand,
            find_shares=lambda peer: self._shares_by_peer.get(peer, ()),
            update_shares=self.scheduler.update_shares,
            list_dividers=lambda: self._demand_by_divider,
        )
        platform = make_platform(self.settings.platform_url, self.clock)
        self.platform = platform
        self.text_sync = TextSync(
            self.config_store,
            self.roster,
            platform,
            self.peer_client.fetch_text,
            TextParser().parse,
            self.clock,
            self._rng,
            self._log,
        )
        self.peer_links = PeerLinks(
            self.roster,
            DigestSource(self.roster, self.config_store, hooks),
            DigestSink(self.roster, hooks, self.text_sync.record_peer_text),
            channels,
            self.clock,
            self._rng,
            PEER_LIMITS,
        )
        self._server = PeerServer(
            self.roster,
            self.config_store,
            self.record_transfer,
            self.suspects,
            self.peer_links,
            self._log,
            PEER_LIMITS,
            self.paths.server,
        )

    async def _load_text_file(self) -> None:
        """Loads the file in the settings, to start without the platform."""
        if not self.settings.text_file:
            return
        path = anyio.Path(self.settings.text_file)
        try:
            source = await path.read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise TextFileError(
                f"text_file: {path} cannot be read: {error}; pass the path of"
                " a readable UTF-8 file"
            ) from error
        await self.text_sync.offer_source(source)

    def _apply_config(self, config: FleetConfig) -> None:
        self.scheduler.apply_config(config)
        self.service.apply_config(config)
        self.load_poller.apply_config(config)
        self.meter.record_text(config.version)
        self.target_index.apply_config(config)

    def _record_load(self, target: str, report: LoadReport) -> None:
        self.router.record_load(target, report)
        self.roster.record_target_incarnation(target, report.incarnation)

    async def _divide_windows(self) -> None:
        """Divides the windows of the targets assigned to this process.

        Each target has one divider, an instance that divides the target's
        window among all instances by their demand.
        """
        own = self.settings.name
        while True:
            demand: dict[str, dict[str, Sequence[float]]] = {}
            for name, work in self.scheduler.find_active_demand().items():
                divider = self._find_divider(name)
                demand.setdefault(divider, {})[name] = work
            self._demand_by_divider = demand
            for target, work_by_tier in demand.get(own, {}).items():
                self.window_divider.record_demand(own, target, work_by_tier)
            live = [own, *(peer.name for peer in self.roster.list_live_peers())]
            self._shares_by_peer = self.window_divider.divide(
                self._find_divided_windows(own), live
            )
            self.scheduler.update_shares(self._shares_by_peer.get(own, ()))
            await anyio.sleep(DIVIDE_INTERVAL_S)

    def _find_divided_windows(self, own: str) -> dict[str, float]:
        """Returns the sizes of the windows in demand that we divide."""
        sizes: dict[str, float] = {}
        for name in self.window_divider.find_targets():
            size = self.scheduler.find_window_size(name)
            if size is not None and self._find_divider(name) == own:
                sizes[name] = size
        return sizes

    def _find_divider(self, target_name: str) -> str:
        target = self.target_index.find(target_name)
        return self.roster.find_window_divider(target) if target else ""

    async def _expire_records(self) -> None:
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_S)
            self.service.remove_expired()

    async def _drain_requests(self) -> None:
        """Hands over waiting requests and finishes dispatched ones.

        Then copies the ended records to successors and waits for callers.
        """
        self._log.emit(Event.DRAIN_STARTED, records=len(self.records))
        self.service.draining = True
        self.paths.server.is_closing = True
        self.roster.set_draining()
        timeout_s = self.settings.drain_timeout_ms / 1_000
        with anyio.move_on_after(timeout_s) as scope:
            if self._has_successor():
                await self.record_transfer.hand_over_undispatched(
                    self.peer_client.hand_over
                )
            while self.record_transfer.count_unfinished():
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
            if self._has_successor():
                await self.record_transfer.copy_ended(
                    self.peer_client.hand_over
                )
            # Waits for callers that are still reading their answers, here and
            # at the instances that reach targets through this one.
            await self.caller_server.stop()
            await self.paths.server.wait_idle()
        self._log.emit(
            Event.DRAIN_FINISHED,
            unfinished=self.record_transfer.count_unfinished(),
            timed_out=scope.cancelled_caught,
        )

    def _has_successor(self) -> bool:
        own = self.roster.own
        return bool(self.roster.rank_successors(own.name, own.incarnation))
