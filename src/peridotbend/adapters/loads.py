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
# A poll costs about as much as a request; more targets are polled in turn.
MAX_POLLS_PER_ROUND = 64


class LoadPoller:
    """Asks each runner for its load, own zone first."""

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
        self._next = 0

    def apply_text(self, text: FleetConfig) -> None:
        """Takes the runners of a new text."""
        runners = [
            target
            for service in text.services
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
                for target in self._take_round():
                    tasks.start_soon(self._poll_bounded, target)
                await anyio.sleep(POLL_INTERVAL_S)

    def _take_round(self) -> list[Target]:
        runners = self._runners
        if len(runners) <= MAX_POLLS_PER_ROUND:
            return runners
        start = self._next % len(runners)
        self._next = start + MAX_POLLS_PER_ROUND
        return (runners + runners)[start : start + MAX_POLLS_PER_ROUND]

    async def _poll_bounded(self, target: Target) -> None:
        # The timeout of the call is for each read; a report that trickles in
        # would hold up the round of all targets.
        with anyio.move_on_after(POLL_TIMEOUT_MS / 1_000):
            await self._poll(target)

    async def _poll(self, target: Target) -> None:
        call = TargetCall("GET", "/v1/load", (), b"", POLL_TIMEOUT_MS)
        body = b""
        async with self._targets.open(target, call, lambda: True) as opened:
            if isinstance(opened, Err) or opened.ok_value.head.status != 200:
                return
            async for chunk in opened.ok_value.chunks():
                if isinstance(chunk, Err) or len(body) > MAX_REPORT_BYTES:
                    return
                if isinstance(chunk, Ok):
                    body += chunk.ok_value
        report = _parse_report(body)
        if report is not None:
            self._record(target.name, report)


def _parse_report(body: bytes) -> LoadReport | None:
    """Returns the report, or None when it is no report.

    The clocks of a target and of this process are not comparable, so the age
    is the difference of two times of the target's own clock.
    """
    try:
        document = json.loads(body)
        age_ms = int(document.get("now_ms", document["at_ms"]))
        return LoadReport(
            _bound(age_ms - int(document["at_ms"])),
            _bound(document["running"]),
            _bound(document["waiting_tokens"]),
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


def _bound(count: float) -> int:
    """Returns a count that the estimates can add up as numbers."""
    return min(max(0, int(count)), MAX_COUNT)
