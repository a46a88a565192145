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

GOOD = b'{"at_ms": 5, "running": 2, "waiting_tokens": 30, "incarnation": "i"}'


@dataclasses.dataclass(frozen=True, slots=True)
class FakeAnswer:
    """An answer with one chunk."""

    content: bytes

    @property
    def head(self) -> AnswerHead:
        """A good status."""
        return AnswerHead(200, ())

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the body."""
        yield Ok(self.content)


class FakeTargets:
    """TargetClient whose targets answer as a test says."""

    def __init__(self, contents: dict[str, bytes | None]):
        self._contents = contents
        self.polled: list[str] = []

    @contextlib.asynccontextmanager
    async def open(
        self, target: Target, call: TargetCall, gate: Callable[[], bool]
    ) -> AsyncIterator[Result[TargetAnswer, CallError]]:
        """Answers a poll."""
        del call, gate
        self.polled.append(target.name)
        content = self._contents.get(target.name, GOOD)
        if content is None:
            yield Err(CallError(CallFailure.CONNECT, False))
        else:
            yield Ok(FakeAnswer(content))


def poll(
    contents: dict[str, bytes | None], text: FleetConfig, rounds: int = 1
) -> tuple[dict[str, LoadReport], list[str]]:
    """Polls and returns the reports and the targets that were asked."""
    reports: dict[str, LoadReport] = {}
    targets = FakeTargets(contents)
    poller = LoadPoller(targets, ManualClock(), "z1", reports.__setitem__)
    poller.apply_text(text)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poller.run)
            for _ in range(100):
                await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()

    for _ in range(rounds):
        anyio.run(run)
    return reports, targets.polled


def make_text(*services: Service) -> FleetConfig:
    """Returns a text with these services."""
    return FleetConfig(1, ("high",), (), services)


class LoadPollerTest(unittest.TestCase):
    """Reports of model runners."""

    def test_bad_reports_are_left_out(self) -> None:
        """Guards against a report that ends the process of its reader."""
        contents: dict[str, bytes | None] = {
            "refused": None,
            "text": b"hello",
            "list": b"[]",
            "part": b'{"running": 1}',
            "deep": b"[" * 4_000,
            "endless": GOOD.replace(b"30", b"1e999"),
            "null": GOOD.replace(b"30", b"null"),
            "negative": GOOD.replace(b"30", b"-7"),
            "huge": GOOD.replace(b"30", b"9" * 400),
        }
        service = make_service(targets=(*contents, "good"))
        reports, _ = poll(contents, make_text(service))
        waiting = {name: r.waiting_tokens for name, r in reports.items()}
        assert waiting == {"good": 30, "negative": 0, "huge": 10**9}

    def test_only_runners_are_polled(self) -> None:
        """Guards against polls that an application counts as calls."""
        application = dataclasses.replace(
            make_service("shop", ("shop-1",)), engine=EngineType.APPLICATION
        )
        _, polled = poll({}, make_text(application, make_service()))
        assert polled == ["t1"]

    def test_all_are_polled_in_turn(self) -> None:
        """Guards against runners that a large text leaves out."""
        names = [f"t{number:03}" for number in range(MAX_POLLS_PER_ROUND * 2)]
        text = make_text(make_service(targets=names))
        _, polled = poll({}, text, rounds=2)
        assert sorted(polled) == names
