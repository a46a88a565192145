"""Plays a soak from its seed."""

import asyncio
import collections
import contextlib
import dataclasses
import functools
from collections.abc import (
    AsyncIterator,
    Callable,
    Coroutine,
    Iterable,
    Iterator,
)

from peridotbend.domain.clock import SystemClock
from peridotbend_emulator.soak.behaviours import SoakBehaviour
from peridotbend_emulator.soak.callers import (
    Caller,
    CallerContext,
    ChannelPool,
    Job,
)
from peridotbend_emulator.soak.checks import FirstTries, RunLedger
from peridotbend_emulator.soak.disturbances import DisturbanceSeries
from peridotbend_emulator.soak.faults import Choices
from peridotbend_emulator.soak.fleet import SoakFleet, run_fleet
from peridotbend_emulator.soak.fleetchecks import LateCheck, TouchLog
from peridotbend_emulator.soak.links import PARTIAL_CUTS
from peridotbend_emulator.soak.operator import Operator
from peridotbend_emulator.soak.platform.documents import CONTACT_MS, ROUTES
from peridotbend_emulator.soak.record import Finding, Record
from peridotbend_emulator.soak.seriescontext import Occupation, SeriesContext
from peridotbend_emulator.soak.settings import SoakSettings

ChoicesMaker = Callable[[str], Choices]
SERIES_COUNT = 2
# Streams matter most, and those that can be resumed meet most mechanisms.
# A cut that lasts to the end begins this long after the first call.
CUT_AFTER_MS = 2_000
ROUTE_WEIGHTS = (9, 4, 4, 3, 2, 2)


@dataclasses.dataclass(frozen=True, slots=True)
class SoakResult:
    """What a run found."""

    calls: int
    # Calls answered as complete.
    served: int
    # Calls sent more than once.
    repeated: int
    findings: tuple[Finding, ...]
    # Versions of the configuration that were seen in force.
    versions: frozenset[int]
    # Served and all first tries by instance.
    first_tries: str

    def describe(self) -> str:
        """Returns a line on the run."""
        counts = collections.Counter(f.rule.value for f in self.findings)
        found = " ".join(f"{rule}={n}" for rule, n in sorted(counts.items()))
        return (
            f"{self.calls} calls, {self.served} served, {self.repeated} sent"
            f" again, first tries served: {self.first_tries},"
            f" {len(self.findings)} findings {found}".rstrip()
        )


def run_soak(settings: SoakSettings) -> SoakResult:
    """Plays a soak, and leaves its record in the folder of the settings."""
    settings.folder.mkdir(parents=True, exist_ok=True)
    record = Record(settings.folder, SystemClock())
    try:
        return asyncio.run(_play(settings, record))
    finally:
        record.close()


async def _play(settings: SoakSettings, record: Record) -> SoakResult:
    clock = SystemClock()
    ledger = RunLedger(clock)

    def make_choices(subject: str) -> Choices:
        return Choices(settings.faults, settings.seed, subject)

    behaviour = SoakBehaviour(make_choices, ledger, record)
    fleet = SoakFleet(settings, behaviour, clock)
    pool, touch, late = ChannelPool(), TouchLog(clock), LateCheck()
    first_tries = FirstTries()
    operator = Operator(fleet, record, clock, make_choices("operator").rng)
    async with run_fleet(fleet):
        tasks = [
            *_make_series(fleet, make_choices, record, touch),
            operator.watch_resources(),
        ]
        if settings.faults.has("config"):
            tasks.append(operator.watch_config())
        context = CallerContext(
            fleet.instances,
            pool,
            ledger,
            first_tries,
            clock.now_ms() + CUT_AFTER_MS + CONTACT_MS,
            record,
            clock,
            settings.seed,
            touch,
            late,
        )
        async with _run_beside(tasks):
            cutting = asyncio.create_task(_cut_some_links(fleet))
            callers = await _call(context, settings, make_choices)
            await cutting
    findings = [*pool.close(), *late.end()]
    if any(map(settings.faults.has, PARTIAL_CUTS)):
        findings += first_tries.check(0)
    record.add_findings(findings)
    return SoakResult(
        calls=len(callers),
        served=sum(caller.is_served for caller in callers),
        repeated=sum(caller.tries > 1 for caller in callers),
        findings=tuple(record.findings),
        versions=frozenset(operator.versions_seen),
        first_tries=first_tries.describe(),
    )


async def _cut_some_links(fleet: SoakFleet) -> None:
    """Begins a cut once the instances hold connections to runners."""
    await asyncio.sleep(CUT_AFTER_MS / 1_000)
    await fleet.cut_some_links()


def _make_series(
    fleet: SoakFleet,
    make_choices: ChoicesMaker,
    record: Record,
    touch: TouchLog,
) -> Iterator[Coroutine[None, None, None]]:
    """Yields the series of faults."""
    occupation = Occupation()

    def make(number: int, fault: int) -> Choices:
        return make_choices(f"series/{number}/{fault}")

    for number in range(SERIES_COUNT):
        make_own = functools.partial(make, number)
        context = SeriesContext(fleet, make_own, record, occupation, touch)
        yield DisturbanceSeries(context).run()


@contextlib.asynccontextmanager
async def _run_beside(
    coroutines: Iterable[Coroutine[None, None, None]],
) -> AsyncIterator[None]:
    """Runs what goes on beside the callers until they have ended."""
    tasks = [asyncio.create_task(one) for one in coroutines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            # An error in a series would leave the run without its faults.
            if isinstance(result, Exception):
                raise result


async def _call(
    context: CallerContext, settings: SoakSettings, make_choices: ChoicesMaker
) -> list[Caller]:
    """Sends calls until the time is over, and waits for their ends."""
    end_ms = context.clock.now_ms() + round(settings.duration_s * 1_000)
    pace = make_choices("pace").rng
    callers: list[Caller] = []
    async with asyncio.TaskGroup() as tasks:
        while context.clock.now_ms() < end_ms:
            choices = make_choices(f"caller/{len(callers)}")
            caller = Caller(context, _make_job(len(callers), choices), choices)
            callers.append(caller)
            tasks.create_task(caller.run())
            await asyncio.sleep(pace.expovariate(settings.calls_per_s))
    return callers


def _make_job(serial: int, choices: Choices) -> Job:
    route = choices.rng.choices(ROUTES, ROUTE_WEIGHTS)[0]
    if choices.plan.has("once"):
        route = choices.rng.choice([r for r in ROUTES if r.runs_once])
    return Job(
        serial=serial,
        route=route,
        size=choices.rng.randint(*route.sizes),
        is_slow=choices.draw_fault("slow"),
        is_http10=choices.draw_fault("http10"),
    )
