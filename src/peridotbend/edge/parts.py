"""Creates and connects the components of one instance."""

import dataclasses
import random
from typing import Protocol

from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import EventLog
from peridotbend.edge.allowances import Allowances
from peridotbend.edge.backlog import Backlog
from peridotbend.edge.brittle import BrittleTargets
from peridotbend.edge.callerlimits import CallerLimits
from peridotbend.edge.coldtargets import ColdTargets, FleetView
from peridotbend.edge.configholder import ConfigHolder
from peridotbend.edge.crashes import CrashTracker
from peridotbend.edge.health import TargetHealth
from peridotbend.edge.inflight import StallDetector
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.origins import StreamOrigins
from peridotbend.edge.ports import EdgeMeter, EdgeTargetClient
from peridotbend.edge.promptparts import PromptParts
from peridotbend.edge.ratelimits import RateLimits
from peridotbend.edge.runquestions import RunQuestions
from peridotbend.edge.runrecords import RunRecords
from peridotbend.edge.selection import Selector
from peridotbend.edge.sendbudget import SendBudget
from peridotbend.edge.settings import EdgeSettings
from peridotbend.edge.streamrecords import StreamRecords
from peridotbend.edge.targetpauses import TargetPauses
from peridotbend.edge.targetruns import TargetRuns
from peridotbend.edge.targets import TargetList
from peridotbend.edge.versions import VersionTimeline
from peridotbend.load.pace import TargetPaces
from peridotbend.load.work import TargetWork


class Fleet(Protocol):
    """What shared budgets need to know about the other instances."""

    def count_instances(self) -> int:
        """Returns how many instances may serve callers, including this one."""
        ...

    def find_live_share(self) -> float:
        """Returns the live instances as a fraction of all expected ones."""
        ...

    def list_recent_hosts(self) -> list[str]:
        """Returns the hosts of other instances that may serve callers now."""
        ...

    def list_possible_hosts(self) -> list[str]:
        """Returns the hosts of other instances that may run, if cut off."""
        ...

    def knows_fleet(self) -> bool:
        """Tells whether this process has learned of the other instances."""
        ...

    def is_informed(self) -> bool:
        """Tells whether news of the platform reach this instance."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class RelayDependencies:
    """The components that a relay uses."""

    clock: Clock
    holder: ConfigHolder
    targets: TargetList
    backlog: Backlog
    occupancy: Occupancy
    health: TargetHealth
    prompt_tokens: Occupancy
    work: TargetWork
    crashes: CrashTracker
    rate_limits: RateLimits
    brittle: BrittleTargets
    cold: ColdTargets
    pauses: TargetPauses
    paces: TargetPaces
    run_records: RunRecords
    run_questions: RunQuestions
    runs: TargetRuns
    stall_detector: StallDetector
    timeline: VersionTimeline
    records: StreamRecords
    origins: StreamOrigins
    allowances: Allowances
    budget: SendBudget
    client: EdgeTargetClient
    log: EventLog
    meter: EdgeMeter
    rng: random.Random
    fleet: Fleet


def make_dependencies(
    settings: EdgeSettings,
    clock: Clock,
    client: EdgeTargetClient,
    fleet: Fleet,
    log: EventLog,
    meter: EdgeMeter,
    rng: random.Random,
    targets: TargetList | None = None,
) -> RelayDependencies:
    """Returns the components of an instance, without any state.

    Args:
        settings: of the process.
        clock: source of time.
        client: sends requests to targets.
        fleet: what is known of the other instances.
        log: receives events.
        meter: counts outcomes.
        rng: source of randomness.
        targets: the list of targets, if the client uses it as well.
    """
    holder = ConfigHolder()
    if targets is None:
        targets = TargetList(clock)
    occupancy = Occupancy(clock)
    health = TargetHealth(clock)
    prompt_tokens = Occupancy(clock)
    work = TargetWork(clock, prompt_tokens, health.find_pace_ms)
    holder.subscribe(lambda config: work.apply_services(config.services))
    limits = CallerLimits()
    holder.subscribe(lambda config: limits.note_routes(config.routes))
    timeline = VersionTimeline(clock, targets, limits)
    allowances = Allowances(clock, settings, fleet.find_live_share)
    holder.subscribe(lambda config: allowances.apply(config.accounts))
    rate_limits = RateLimits(
        clock, log, settings.peers[0], fleet.list_recent_hosts
    )
    brittle = BrittleTargets(
        clock, log, settings.peers[0], fleet.list_recent_hosts
    )
    cold = ColdTargets(
        clock,
        log,
        settings,
        FleetView(
            fleet.list_possible_hosts, fleet.knows_fleet, fleet.is_informed
        ),
    )
    holder.subscribe(lambda config: cold.apply_services(config.services))
    pauses = TargetPauses(clock)
    paces = TargetPaces(
        clock,
        log,
        occupancy,
        settings.peers[0],
        fleet.count_instances,
        holder.is_generating,
    )
    records = StreamRecords(clock, limits)
    run_records = RunRecords(clock, log, targets, settings.heartbeat_ms)
    run_questions = RunQuestions(clock, log, run_records, client)
    runs = TargetRuns(clock, log, targets, run_records, run_questions)
    selector = Selector(
        settings.zone,
        occupancy,
        health,
        rate_limits,
        brittle,
        cold,
        pauses,
        run_records.is_replaced,
        work,
        rng,
        paces.find_limit,
    )
    backlog = Backlog(
        clock, targets, occupancy, rate_limits, brittle, cold, selector, rng
    )
    holder.subscribe(lambda config: backlog.apply_accounts(config.accounts))
    holder.subscribe(lambda config: backlog.apply_routes(config.routes))
    origins = StreamOrigins(
        clock,
        timeline,
        records,
        PromptParts(clock, targets, client, pauses),
        run_records,
        runs,
        limits,
        log,
    )
    return RelayDependencies(
        clock=clock,
        holder=holder,
        targets=targets,
        backlog=backlog,
        occupancy=occupancy,
        health=health,
        prompt_tokens=prompt_tokens,
        work=work,
        crashes=CrashTracker(clock, log),
        rate_limits=rate_limits,
        brittle=brittle,
        cold=cold,
        pauses=pauses,
        paces=paces,
        run_records=run_records,
        run_questions=run_questions,
        runs=runs,
        stall_detector=StallDetector(clock, health),
        timeline=timeline,
        records=records,
        origins=origins,
        allowances=allowances,
        budget=SendBudget(clock, settings),
        client=client,
        log=log,
        meter=meter,
        rng=rng,
        fleet=fleet,
    )
