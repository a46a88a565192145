"""Polls the load reports of model runners."""

import json
from collections.abc import Callable

import anyio
from result import Err, Ok

from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import LoadReport, TargetCall, TargetClient
from peridotbend.domain.text import EngineType, FleetConfig, Target

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_MS = 800
MAX_COUNT = 10**9
MAX_REPORT_BYTES = 4_096
# A poll costs about as much as a request. Above this number, the targets are
# polled in rotation.
MAX_POLLS_PER_ROUND = 64


class LoadPoller:
    """Polls the load of each runner, those of its own zone first."""

    def __init__(
        self,
        targets: TargetClient,
        clock: Clock,
        zone: str,
        record: Callable[[str, LoadReport], None],
    ):
        self._targets = targets
        self._clock = clock
        self._zone = zone
        self._record = record
        self._runners: list[Target] = []
        self._next_index = 0

    def apply_config(self, config: FleetConfig) -> None:
        """Updates the list of runners from a new configuration."""
        runners = [
            target
            for service in config.services
            if service.engine is EngineType.MODEL
            for target in service.targets
        ]
        runners.sort(
            key=lambda target: (target.zone != self._zone, target.name)
        )
        self._runners = runners

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            async with anyio.create_task_group() as tasks:
                for target in self._select_round():
                    tasks.start_soon(self.read_report, target)
                await anyio.sleep(POLL_INTERVAL_S)

    def _select_round(self) -> list[Target]:
        runners = self._runners
        if len(runners) <= MAX_POLLS_PER_ROUND:
            return runners
        start = self._next_index % len(runners)
        self._next_index = start + MAX_POLLS_PER_ROUND
        return (runners + runners)[start : start + MAX_POLLS_PER_ROUND]

    async def read_report(self, target: Target) -> LoadReport | None:
        """Asks a runner for its report and records it."""
        # The timeout of the call applies to each read, so a report that arrives
        # slowly would delay the polls of all other targets.
        with anyio.move_on_after(POLL_TIMEOUT_MS / 1_000):
            report = await self._read_report(target)
            if report is not None:
                self._record(target.name, report)
            return report
        return None

    async def _read_report(self, target: Target) -> LoadReport | None:
        call = TargetCall("GET", "/v1/load", (), b"", POLL_TIMEOUT_MS)
        body = b""
        async with self._targets.open(target, call, lambda: True) as opened:
            if isinstance(opened, Err) or opened.ok_value.head.status != 200:
                return None
            async for chunk in opened.ok_value.chunks():
                if isinstance(chunk, Err) or len(body) > MAX_REPORT_BYTES:
                    return None
                if isinstance(chunk, Ok):
                    body += chunk.ok_value
        return _parse_report(body)


def _parse_report(body: bytes) -> LoadReport | None:
    """Returns the report, or None if it is invalid.

    The clocks of the target and of this process are not comparable, so the
    age is computed from two times of the target's clock.
    """
    try:
        document = json.loads(body)
        age_ms = int(document.get("now_ms", document["at_ms"]))
        return LoadReport(
            _clamp_count(age_ms - int(document["at_ms"])),
            _clamp_count(document["running"]),
            _clamp_count(document["waiting_tokens"]),
            str(document["incarnation"]),
        )
    except (
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ):
        return None


def _clamp_count(count: float) -> int:
    """Returns a count within the range that the estimates accept."""
    return min(max(0, int(count)), MAX_COUNT)
