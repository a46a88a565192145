"""Assembles an entry instance for the users' platform."""

import contextlib
import random
import secrets
from collections.abc import Callable

import anyio
import grpclib.server
from anyio.abc import TaskGroup
from result import Err

from peridotbend.adapters.answerlimits import AnswerLimit, OversizedAnswers
from peridotbend.adapters.callermemory import CallerMemory, find_limit
from peridotbend.adapters.connectionlimits import ConnectionLimits
from peridotbend.adapters.edgemetrics import EdgeMetrics
from peridotbend.adapters.gossip import Gossip
from peridotbend.adapters.originlink import OriginLink
from peridotbend.adapters.pathserver import make_path_configuration
from peridotbend.adapters.peerpaths import PeerPaths
from peridotbend.adapters.peers import ChannelPool
from peridotbend.adapters.publishedpeers import (
    PublishedFetcher,
    PublishedServer,
)
from peridotbend.adapters.registrypeers import RegistryPeers
from peridotbend.adapters.serving import HttpServer, listen
from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.adapters.turnedaway import TurnedAway, Way
from peridotbend.domain.clock import SystemClock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.domain.targetreach import FORMS
from peridotbend.edge.config import EdgeConfig
from peridotbend.edge.evacuationentries import EvacuationEntries
from peridotbend.edge.evacuations import EvacuatedZones
from peridotbend.edge.exchange import DigestExchange
from peridotbend.edge.feeds import Feed, RestoreRules
from peridotbend.edge.fleetstatus import FleetStatus
from peridotbend.edge.groups import GroupDirectory
from peridotbend.edge.originpeers import OriginPeers
from peridotbend.edge.parts import make_dependencies
from peridotbend.edge.peers import PeerRegistry
from peridotbend.edge.published import FeedState, Item, WriteOrder
from peridotbend.edge.readerrole import ReaderRole
from peridotbend.edge.relay import Relay
from peridotbend.edge.settings import EdgeSettings
from peridotbend.edge.sharedstate import (
    FeedStatus,
    InstanceIdentity,
    SharedState,
)
from peridotbend.edge.targethistory import EvacuationHistory, TargetHistory
from peridotbend.edge.targets import AcceptingTargets, TargetList
from peridotbend.platform import wire
from peridotbend.platform.documents import (
    decode_config,
    decode_evacuation,
    decode_target,
    find_evacuated_zone,
    read_config_order,
    read_target_order,
)
from peridotbend.platform.ingress import EdgeApp, HealthApp
from peridotbend.platform.reach import (
    PROBE_CALL,
    is_report,
    is_target_answer,
)
from peridotbend.platform.runners import PlatformTargetClient
from peridotbend.platform.store import StoreClient

# The platform sends new connections here until two health checks, one a second,
# have failed.
LEAVE_ROTATION_MS = 2_600
# Reserved at the end of the time that the platform allows for a shutdown.
EXIT_MARGIN_MS = 500
# Minimum time for sending completed answers, however little is left.
MIN_STOP_TIMEOUT_MS = 100
# Time for the refusals of requests that are still being served then.
REFUSAL_TIMEOUT_MS = 200
# Time for notices to reach the others before streams are ended.
NOTICE_TIME_MS = 50
# The platform removes the entry of a target after three silent intervals. What
# a restored store still lists after this time is kept up by a live target.
WITHHOLD_HEARTBEATS = 4
# Connecting to a live target takes milliseconds, even in another zone.
CONNECT_TIMEOUT_S = 0.25
# How long a new instance waits for the first answer of a peer before it is
# ready. Peers normally answer within 200 ms.
ASK_PEERS_TIMEOUT_MS = 1_000
# Applies until a configuration sets the limit.
DEFAULT_MAX_BODY_BYTES = 4 * 1_048_576


class EdgeNode:
    """An entry instance on the users' platform."""

    def __init__(
        self, settings: EdgeSettings, log: EventLog, metrics_port: int
    ):
        self._settings = settings
        self._metrics_port = metrics_port
        self._metrics = EdgeMetrics()
        self._log = log
        self._clock = SystemClock()
        self._rng = random.Random()
        self._incarnation = secrets.randbits(64)
        self._drain_requested = anyio.Event()
        self._is_started = False
        self._created_at_ms = self._clock.now_ms()
        self._has_asked = False
        host = settings.peers[0]
        self._peers = PeerRegistry(host, self._clock, log, self._rng)
        for seed_host, _ in settings.seeds:
            self._peers.add_candidate(seed_host)
        directory = GroupDirectory(
            host, settings.zone, self._peers, self._clock
        )
        self._status = status = FleetStatus(self._peers, directory)
        self._reader_role = ReaderRole(self._rng)
        self._withhold_ms = WITHHOLD_HEARTBEATS * settings.heartbeat_ms
        targets = TargetList(
            self._clock, EvacuatedZones(self._clock, self._withhold_ms)
        )
        self._paths = PeerPaths(
            self._clock,
            self._rng,
            AcceptingTargets(targets),
            RegistryPeers(
                self._peers, status, settings.zone, settings.peers[1]
            ),
            log,
            CONNECT_TIMEOUT_S,
            PROBE_CALL,
            is_report,
        )
        self._oversized = OversizedAnswers(log, self._clock)
        http_client = HttpTargetClient(
            CONNECT_TIMEOUT_S,
            self._paths.dialer,
            reach=self._paths.dialer,
            is_answer=is_target_answer,
            oversized=self._oversized,
        )
        self._dependencies = make_dependencies(
            settings,
            self._clock,
            PlatformTargetClient(http_client),
            status,
            log,
            self._metrics,
            self._rng,
            targets,
        )
        run_records = self._dependencies.run_records
        http_client.watch_idle(
            lambda target: run_records.note_early_close(target.name)
        )
        self._relay = Relay(self._dependencies)
        identity = InstanceIdentity(
            settings.name, host, settings.zone, self._incarnation
        )
        state = SharedState(
            identity,
            self._dependencies.occupancy,
            self._dependencies.prompt_tokens,
            self._dependencies.allowances,
            self._dependencies.crashes,
            self._dependencies.rate_limits,
            self._dependencies.brittle,
            targets,
            self._find_feed_status,
            self._drain_requested.is_set,
        )
        self._exchange = DigestExchange(
            state,
            self._peers,
            directory,
            status,
            self._clock,
            log,
            self._note_peer_state,
        )
        self._gossip = Gossip(
            settings.digests, self._exchange, self._update_feeds
        )
        self._dependencies.occupancy.on_change = self._gossip.note_change
        self._exchange.on_legacy_peer = (
            self._dependencies.origins.note_legacy_peer
        )
        witnesses = OriginPeers(
            settings.zone, self._peers, self._dependencies.records, self._rng
        )
        self._origin_link = OriginLink(settings.origins, witnesses)
        origins = self._dependencies.origins
        origins.witnesses = witnesses
        witnesses.is_certain = origins.is_certain
        witnesses.confirm_later = origins.confirm_later
        self._evacuations = EvacuationEntries(
            targets,
            decode_evacuation,
            find_evacuated_zone,
            log,
            self._update_services,
        )
        self._build_feeds()
        status.reaches_store = lambda: self._find_feed_status().reads_store
        self._dependencies.holder.subscribe(self._apply_limits)

    def start_drain(self) -> None:
        """Starts a graceful shutdown and returns at once."""
        self._drain_requested.set()
        self._gossip.note_change()

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        if not self._is_started:
            return {"started": False}
        config = self._dependencies.holder.config
        return {
            "started": True,
            "config": config.version if config else None,
            "revisions": {
                prefix: feed.items.position.revision
                for prefix, feed in self._feeds.items()
            },
            "eras": {
                prefix: feed.items.position.era
                for prefix, feed in self._feeds.items()
            },
            "targets": {
                target.name: {
                    "service": target.service,
                    "leaving": target.is_leaving,
                    "in_flight": self._dependencies.occupancy.count(
                        target.name
                    ),
                    "own": self._dependencies.occupancy.own.get(target.name, 0),
                }
                for target in self._dependencies.targets
            },
            "evacuated": self._dependencies.targets.evacuated.dump(),
            "health": self._dependencies.health.dump(),
            "work": self._dependencies.work.dump(),
            "peers": self._peers.dump(),
            "reads_store": self._reader_role.is_reader,
            "is_relay": self._exchange.is_relay,
            "waiting": self._dependencies.backlog.count_all(),
            "shares": self._dependencies.backlog.dump(),
            "active": self._app.active,
            "allowances": {
                n: round(use.level)
                for n, use in self._dependencies.allowances.list_uses().items()
            },
            "crashes": self._dependencies.crashes.dump(),
            "limits": self._dependencies.rate_limits.dump(),
            "brittle": self._dependencies.brittle.dump(),
            "cold": self._dependencies.cold.dump(),
            "pauses": self._dependencies.pauses.dump(),
            "paces": self._dependencies.paces.dump(),
            "lost_links": self._paths.state.list_lost(),
            "lost_targets": self._paths.state.describe_lost(),
            "relayed": self._paths.server.active,
        }

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Applies changed settings as a whole, or logs why it does not."""
        fixed = self._settings.find_fixed_changes(settings)
        if fixed:
            self._log.emit(
                Event.SETTINGS_REFUSED,
                problem=f"changing {', '.join(fixed)} needs a restart; all"
                " settings stay as they were",
            )
            return
        self._settings = settings
        for host, _ in settings.seeds:
            self._peers.add_candidate(host)
        self._store.set_address(settings.store)
        self._dependencies.allowances.apply_settings(settings)
        self._dependencies.budget.apply_settings(settings)
        self._dependencies.cold.apply_settings(settings)
        self._log.emit(Event.SETTINGS_RELOADED, seeds=len(settings.seeds))

    async def run(self) -> None:
        """Serves until drained."""
        async with (
            contextlib.AsyncExitStack() as stack,
            anyio.create_task_group() as tasks,
        ):
            await self._start(stack, tasks)
            self._is_started = True
            await self._drain_requested.wait()
            await self._finish_requests()
            tasks.cancel_scope.cancel()

    async def _start(
        self, stack: contextlib.AsyncExitStack, tasks: TaskGroup
    ) -> None:
        settings = self._settings
        memory = self._memory = CallerMemory(
            find_limit(settings.memory_mb), TurnedAway(self._log)
        )
        self._app = EdgeApp(
            self._relay, self._get_max_body_bytes, memory.budget
        )
        channels = ChannelPool()
        stack.callback(channels.close)
        stack.callback(self._paths.dialer.close)
        fetcher = PublishedFetcher(channels, settings.peers[1], self._log)
        self._server = HttpServer(
            self._app, listen(*settings.callers), _make_limits(settings), memory
        )
        # These share the memory, since anyone may reach them.
        health = HttpServer(
            HealthApp(self._is_ready), listen(*settings.health), memory=memory
        )
        metrics = HttpServer(
            self._metrics,
            listen(settings.peers[0], self._metrics_port),
            memory=memory,
        )
        self._add_gauges()
        peer_server = grpclib.server.Server(
            [PublishedServer(self._feeds), self._paths.server],
            config=make_path_configuration(),
        )
        await peer_server.start(*settings.peers)
        for task in (
            self._server.run,
            health.run,
            metrics.run,
            self._gossip.run,
            self._origin_link.run,
            self._dependencies.origins.run,
            self._paths.dialer.probe,
            self._dependencies.backlog.run,
            self._dependencies.stall_detector.run,
            *(feed.run for feed in self._feeds.values()),
        ):
            tasks.start_soon(task)
        for feed in self._feeds.values():
            tasks.start_soon(feed.catch_up, fetcher.fetch)
        self._log.emit(
            Event.PROCESS_STARTED,
            instance=settings.name,
            zone=settings.zone,
            incarnation=self._incarnation,
        )

    def _add_gauges(self) -> None:
        add_gauge = self._metrics.add_gauge
        add_gauge(
            "active_calls", "Calls being served.", lambda: self._app.active
        )
        add_gauge(
            "caller_connections",
            "Open connections of callers.",
            self._server.count_connections,
        )
        add_gauge(
            "closed_connections",
            "Connections closed as others needed their places.",
            self._server.count_closed,
        )
        self._metrics.add_gauges(
            "turned_away",
            "Clients refused or closed for what they sent, by the reason.",
            "way",
            [way.value for way in Way],
            self._memory.turned_away.count,
        )
        self._metrics.add_gauges(
            "oversized_answers",
            "Answers of targets and the store that exceeded a limit.",
            "limit",
            [limit.value for limit in AnswerLimit],
            self._oversized.count,
        )
        budget = self._memory.budget
        add_gauge(
            "caller_memory_bytes",
            "Memory reserved for what callers send and do not read.",
            lambda: budget.used_bytes,
        )
        add_gauge(
            "caller_memory_limit_bytes",
            "Most memory that is reserved for callers.",
            lambda: budget.limit_bytes,
        )
        add_gauge(
            "waiting_requests",
            "Requests that wait for a place at a target.",
            self._dependencies.backlog.count_all,
        )
        add_gauge(
            "live_peers",
            "Other instances heard of lately.",
            self._status.count_live_peers,
        )
        add_gauge(
            "listed_targets",
            "Known targets.",
            lambda: len(self._dependencies.targets),
        )
        add_gauge(
            "evacuated_zones",
            "Zones whose targets get nothing new.",
            lambda: len(self._dependencies.targets.evacuated),
        )
        add_gauge(
            "limited_targets",
            "Targets that name a limit on the rate of requests.",
            self._dependencies.rate_limits.count_limited,
        )
        add_gauge(
            "cold_targets",
            "Targets that say that they are cold, or have ended.",
            self._dependencies.cold.count,
        )
        add_gauge(
            "limited_starts",
            "Targets that are ramped up after a start, return or overload.",
            self._dependencies.paces.count,
        )
        add_gauge(
            "suspected_traits",
            "Requests and prompt parts in flight at a target when it died.",
            self._dependencies.crashes.count_suspects,
        )
        add_gauge(
            "crash_causes",
            "Requests and prompt parts that are refused as they crash targets.",
            self._dependencies.crashes.count_causes,
        )
        add_gauge(
            "lost_links",
            "Services whose targets are reached through peers only.",
            lambda: len(self._paths.state.list_lost()),
        )
        self._metrics.add_gauges(
            "lost_targets",
            "Targets reached through peers only, by the form of the cut.",
            "form",
            FORMS,
            self._paths.state.count_lost,
        )
        add_gauge(
            "relayed_connections",
            "Connections to targets that are held for peers.",
            lambda: self._paths.server.active,
        )
        add_gauge(
            "config_version",
            "Version of the configuration in force; 0 for none.",
            lambda: self._dependencies.holder.config.version
            if self._dependencies.holder.config
            else 0,
        )

    def _build_feeds(self) -> None:
        self._store = StoreClient(
            self._settings.store,
            HttpTargetClient(CONNECT_TIMEOUT_S, oversized=self._oversized),
        )
        self._feeds = {
            wire.CONFIG_PREFIX: self._make_feed(
                wire.CONFIG_PREFIX,
                read_config_order,
                self._apply_operator_items,
                is_versioned=True,
                unordered_prefix=wire.EVACUATION_PREFIX,
            ),
            wire.TARGET_PREFIX: self._make_feed(
                wire.TARGET_PREFIX,
                read_target_order,
                self._apply_target_items,
                is_versioned=False,
            ),
        }
        self._history = TargetHistory(
            self._store.make_prefix_reader(
                wire.TARGET_PREFIX, read_target_order
            ),
            lambda key, value: decode_target(_find_target_name(key), value),
            self._dependencies.timeline,
            _find_target_name,
            EvacuationHistory(
                self._store.make_prefix_reader(
                    wire.CONFIG_PREFIX, read_config_order
                ),
                find_evacuated_zone,
                self._dependencies.targets.evacuated,
            ),
        )
        self._dependencies.run_records.find_listing_ms = lambda: self._feeds[
            wire.TARGET_PREFIX
        ].known_as_of_ms
        self._dependencies.origins.history = self._history
        self._dependencies.runs.confirm_listing = self._feeds[
            wire.TARGET_PREFIX
        ].confirm
        self._dependencies.origins.confirm_targets = self._confirm_targets

    def _make_feed(
        self,
        prefix: str,
        read_order: Callable[[bytes], WriteOrder],
        apply: Callable[[list[Item]], None],
        is_versioned: bool,
        unordered_prefix: str = "",
    ) -> Feed:
        rules = RestoreRules(
            is_versioned,
            self._withhold_ms,
            self._dependencies.targets.note_store_restored,
            self._note_missed,
        )
        return Feed(
            prefix,
            self._store.make_prefix_reader(
                prefix, read_order, unordered_prefix
            ),
            apply,
            self._clock,
            self._log,
            self._note_feed_update,
            self._reader_role,
            rules,
        )

    def _note_listing(self) -> None:
        """Records the list of targets; the history tells what was before."""
        self._history.note_listing(
            self._feeds[wire.TARGET_PREFIX].items.position,
            {
                wire.TARGET_PREFIX + target.name: target
                for target in self._dependencies.targets
            },
        )

    def _note_missed(self) -> None:
        """Records that changes may have passed unseen."""
        if self._history.has_listing:
            self._dependencies.timeline.note_missed()
            self._note_listing()

    async def _confirm_targets(self) -> bool:
        """Tells whether nothing is missing that places streams by version.

        Evacuations matter only where there are several versions.
        """
        if not await self._feeds[wire.TARGET_PREFIX].confirm():
            return False
        timeline = self._dependencies.timeline
        if not any(map(timeline.has_versions, self._list_services())):
            return True
        return await self._feeds[wire.CONFIG_PREFIX].confirm()

    def _get_max_body_bytes(self) -> int:
        config = self._dependencies.holder.config
        return (
            config.limits.max_body_bytes if config else DEFAULT_MAX_BODY_BYTES
        )

    def _is_ready(self) -> bool:
        """Tells whether the instance can accept callers.

        An instance that has the configuration and the list of targets can give
        correct answers, even if the list is empty.
        """
        has_feeds = self._has_asked_others() and all(
            feed.items.is_known for feed in self._feeds.values()
        )
        has_config = self._dependencies.holder.config is not None
        return has_config and has_feeds and not self._drain_requested.is_set()

    def _has_asked_others(self) -> bool:
        """Tells whether the store and a peer were asked since the start.

        Either may be behind, and still have what was withdrawn.
        """
        if not self._has_asked:
            feeds = self._feeds.values()
            waited_ms = self._clock.now_ms() - self._created_at_ms
            self._has_asked = all(feed.has_asked_store for feed in feeds) and (
                all(feed.has_asked_peer for feed in feeds)
                or len(self._peers) == 0
                or waited_ms >= ASK_PEERS_TIMEOUT_MS
            )
        return self._has_asked

    def _note_feed_update(self) -> None:
        """Tells peers of changes, and of a store that was reached or lost."""
        self._record_store_reachability()
        self._gossip.note_change()

    def _record_store_reachability(self) -> None:
        if self._is_store_reachable():
            self._dependencies.targets.note_store_reachable()
        else:
            self._dependencies.targets.note_store_unreachable()

    def _apply_operator_items(self, items: list[Item]) -> None:
        self._evacuations.apply(
            item
            for item in items
            if item.key.startswith(wire.EVACUATION_PREFIX)
        )
        for item in items:
            if item.key != wire.CONFIG_KEY or item.value is None:
                continue
            decoded = decode_config(item.value)
            if isinstance(decoded, Err):
                self._log.emit(
                    Event.CONFIG_REFUSED,
                    revision=item.position.revision,
                    problem=decoded.err_value,
                )
                continue
            if self._dependencies.holder.offer(decoded.ok_value):
                self._log.emit(
                    Event.CONFIG_ACCEPTED,
                    version=decoded.ok_value.version,
                    revision=item.position.revision,
                )

    def _apply_limits(self, config: EdgeConfig) -> None:
        limits = config.limits
        self._server.apply_limits(
            limits.max_header_bytes,
            limits.header_timeout_ms / 1_000,
            limits.idle_timeout_ms / 1_000,
        )

    def _apply_target_items(self, items: list[Item]) -> None:
        for item in items:
            name = _find_target_name(item.key)
            if item.value is None:
                self._remove_target(name, item.position.revision)
                continue
            decoded = decode_target(name, item.value)
            if isinstance(decoded, Err):
                self._log.emit(
                    Event.ENTRY_SKIPPED,
                    entry=item.key,
                    revision=item.position.revision,
                    problem=decoded.err_value,
                )
                self._remove_target(name, item.position.revision)
                continue
            target = decoded.ok_value
            previous = self._dependencies.targets.find(name)
            if previous and previous.started_at_ms != target.started_at_ms:
                self._dependencies.health.forget(name)
                self._dependencies.work.forget(name)
                self._dependencies.crashes.note_target_dead(previous)
                self._dependencies.run_records.note_unlisted(previous)
            self._dependencies.run_records.note_listed(target)
            self._dependencies.cold.note_entry(target, previous)
            self._dependencies.paces.note_listed(
                name,
                target.service,
                target.started_at_ms,
                fresh=self._history.has_listing,
            )
            self._dependencies.targets.put(target)
            if previous is None:
                self._dependencies.crashes.note_target_listed(target)
            event = Event.TARGET_LISTED
            if target.is_leaving:
                event = Event.TARGET_LEAVING
            self._log.emit(
                event,
                target=name,
                revision=item.position.revision,
                service=target.service,
                software=target.software,
                started_at_ms=target.started_at_ms,
            )
        if not self._history.has_listing:
            self._note_listing()
        self._update_services()

    def _list_services(self) -> set[str]:
        return {target.service for target in self._dependencies.targets}

    def _update_services(self) -> None:
        """Applies which targets accept requests now."""
        for service in self._list_services():
            self._dependencies.timeline.update(service)
            self._dependencies.backlog.grant_slots(service)

    def _remove_target(self, name: str, revision: int) -> None:
        previous = self._dependencies.targets.find(name)
        if previous is not None:
            self._dependencies.run_records.note_unlisted(previous)
            self._dependencies.targets.remove(name)
            self._dependencies.occupancy.forget_target(name)
            self._dependencies.work.forget(name)
            self._dependencies.cold.note_removed(name)
            self._dependencies.paces.forget(name)
            if not previous.is_leaving:
                self._dependencies.crashes.note_target_removed(previous)
            self._log.emit(Event.TARGET_REMOVED, target=name, revision=revision)

    def _find_feed_status(self) -> FeedStatus:
        states = {
            prefix: feed.items.state for prefix, feed in self._feeds.items()
        }
        reads_store = self._reader_role.is_reader and all(
            feed.is_store_reachable for feed in self._feeds.values()
        )
        return FeedStatus(states, reads_store)

    def _is_store_reachable(self) -> bool:
        """Tells whether changes in the store arrive, directly or by a relay."""
        if not self._reader_role.is_reader:
            return True
        return all(feed.is_store_reachable for feed in self._feeds.values())

    def _note_peer_state(
        self, host: str, prefix: str, state: FeedState
    ) -> None:
        feed = self._feeds.get(prefix)
        if feed is not None:
            feed.note_peer(host, state)

    def _update_feeds(self) -> None:
        """Applies what is due after an exchange of digests."""
        self._apply_reader_role()
        self._dependencies.origins.note_fleet(
            self._status.find_live_share() >= 1
        )
        for feed in self._feeds.values():
            feed.release_withheld()
        self._evacuations.end_lost()
        self._dependencies.paces.check()

    def _apply_reader_role(self) -> None:
        """Reads the store, or stops it, as the relays are heard of."""
        is_reader = self._exchange.should_read_store()
        if is_reader is not self._reader_role.is_reader:
            self._log.emit(
                Event.STORE_READING_STARTED
                if is_reader
                else Event.STORE_READING_STOPPED,
                is_relay=self._exchange.is_relay,
            )
        is_substitute = is_reader and not self._exchange.is_designated_reader
        self._reader_role.assign(is_reader, is_substitute)
        self._record_store_reachability()

    async def _finish_requests(self) -> None:
        """Waits to leave the rotation, then finishes requests already read.

        Those that are not finished in time are told so, instead of being cut.
        """
        started_at_ms = self._clock.now_ms()
        self._log.emit(Event.DRAIN_STARTED, active=self._app.active)
        self._relay.note_drain()
        notices = self._dependencies.origins.notices
        notices.tell_all()
        self._app.is_closing = True
        self._paths.server.is_closing = True
        await anyio.sleep(LEAVE_ROTATION_MS / 1_000)
        self._app.is_refusing = True
        end_at_ms = started_at_ms + self._settings.grace_ms - EXIT_MARGIN_MS
        left_ms = max(
            MIN_STOP_TIMEOUT_MS,
            end_at_ms
            - REFUSAL_TIMEOUT_MS
            - NOTICE_TIME_MS
            - self._clock.now_ms(),
        )
        with anyio.move_on_after(left_ms / 1_000) as scope:
            await self._server.stop()
            await self._paths.server.wait_idle()
        cut = 0
        if scope.cancelled_caught:
            # Their callers take the streams up elsewhere.
            notices.tell_all()
            await anyio.sleep(NOTICE_TIME_MS / 1_000)
            cut = self._relay.end_all()
            with anyio.move_on_after(REFUSAL_TIMEOUT_MS / 1_000):
                await self._server.stop()
        self._log.emit(Event.DRAIN_FINISHED, active=self._app.active, cut=cut)


def _make_limits(settings: EdgeSettings) -> ConnectionLimits:
    limits = ConnectionLimits()
    if settings.max_open_files:
        return limits.cap_to(settings.max_open_files)
    return limits


def _find_target_name(key: str) -> str:
    return key.removeprefix(wire.TARGET_PREFIX)
