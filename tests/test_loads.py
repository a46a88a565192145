"""Tests of the polling of load reports."""

import contextlib
import dataclasses
import unittest
from collections.abc import AsyncIterator, Callable

import anyio
from result import Err, Ok, Result

from peridotbend.adapters.loads import MAX_POLLS_PER_ROUND, LoadPoller
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
    LoadReport,
    TargetAnswer,
    TargetCall,
)
from peridotbend.domain.text import EngineType, FleetConfig, Service, Target
from tests.scheduling import make_service

VALID_REPORT = (
    b'{"at_ms": 5, "running": 2, "waiting_tokens": 30, "incarnation": "i"}'
)


@dataclasses.dataclass(frozen=True, slots=True)
class FakeAnswer:
    """A target's answer in one chunk."""

    content: bytes

    @property
    def head(self) -> AnswerHead:
        """A successful response head."""
        return AnswerHead(200, ())

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the body."""
        yield Ok(self.content)


class FakeTargetClient:
    """TargetClient whose targets send scripted load reports."""

    def __init__(self, contents: dict[str, bytes | None]):
        self._contents = contents
        self.polled: list[str] = []

    @contextlib.asynccontextmanager
    async def open(
        self, target: Target, call: TargetCall, gate: Callable[[], bool]
    ) -> AsyncIterator[Result[TargetAnswer, CallError]]:
        """Answers a poll with the scripted content or a connection error."""
        del call, gate
        self.polled.append(target.name)
        content = self._contents.get(target.name, VALID_REPORT)
        if content is None:
            yield Err(CallError(CallFailure.CONNECT, False))
        else:
            yield Ok(FakeAnswer(content))

    async def check_listening(self, target: Target) -> CallError | None:
        """Tells that every target listens."""
        return None


def poll(
    contents: dict[str, bytes | None], text: FleetConfig, rounds: int = 1
) -> tuple[dict[str, LoadReport], list[str]]:
    """Polls all targets; returns the reports and the polled targets."""
    reports: dict[str, LoadReport] = {}
    targets = FakeTargetClient(contents)
    poller = LoadPoller(targets, ManualClock(), "z1", reports.__setitem__)
    poller.apply_config(text)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poller.run)
            for _ in range(100):
                await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()

    for _ in range(rounds):
        anyio.run(run)
    return reports, targets.polled


def make_config(*services: Service) -> FleetConfig:
    """Returns a configuration with these services."""
    return FleetConfig(1, ("high",), (), services)


class LoadPollerTest(unittest.TestCase):
    """Polling the load reports of runners."""

    def test_bad_reports_are_left_out(self) -> None:
        """Guards against a malformed report that raises in the poller."""
        contents: dict[str, bytes | None] = {
            "refused": None,
            "text": b"hello",
            "list": b"[]",
            "part": b'{"running": 1}',
            "deep": b"[" * 4_000,
            "endless": VALID_REPORT.replace(b"30", b"1e999"),
            "null": VALID_REPORT.replace(b"30", b"null"),
            "negative": VALID_REPORT.replace(b"30", b"-7"),
            "huge": VALID_REPORT.replace(b"30", b"9" * 400),
        }
        service = make_service(targets=(*contents, "good"))
        reports, _ = poll(contents, make_config(service))
        waiting = {name: r.waiting_tokens for name, r in reports.items()}
        assert waiting == {"good": 30, "negative": 0, "huge": 10**9}

    def test_only_runners_are_polled(self) -> None:
        """Guards against polling applications, which count polls as calls."""
        application = dataclasses.replace(
            make_service("shop", ("shop-1",)), engine=EngineType.APPLICATION
        )
        _, polled = poll({}, make_config(application, make_service()))
        assert polled == ["t1"]

    def test_all_are_polled_in_turn(self) -> None:
        """Guards against runners that are never polled in a large fleet."""
        names = [f"t{number:03}" for number in range(MAX_POLLS_PER_ROUND * 2)]
        text = make_config(make_service(targets=names))
        _, polled = poll({}, text, rounds=2)
        assert sorted(polled) == names
