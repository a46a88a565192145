"""Drives edge relays by random steps and compares with what targets ran.

Targets answer, fail, reject, break off, hang or are gone; instances restart,
learn of configurations and of leaving targets in any order; callers leave.
After each step an oracle compares what callers were told with the runs.
"""

import contextlib
import dataclasses
import random
import unittest
from collections.abc import AsyncIterator, Callable

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from result import Err, Ok, Result

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import AnswerHead, CallError, CallFailure
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.edge.config import EdgeConfig
from peridotbend.edge.ports import (
    AnswerBrokenError,
    EdgeCall,
    Rejection,
    Reply,
    TargetSend,
)
from tests.edgefakes import (
    CALL,
    CONFIG,
    LOOKUPS,
    ORDERS,
    ROUTE,
    EdgeBench,
    RecordingResponder,
    make_event,
    make_target,
)

NODES = 2
EVENTS = 4
ENGINES = ("i-1", "i-2", "i-3")
SHOPS = tuple(f"s{name}" for name in ENGINES)
PATHS = {"quotes": "/quotes/1", "orders": "/orders/1", "lookups": "/lookups/1"}
# Lets all tasks that can go on do so.
SETTLE_S = 0.002


@dataclasses.dataclass(slots=True)
class _Attempt:
    """What is known of one attempt of a caller."""

    kind: str
    runs: int = 0
    # Runs that no answer, break or cancellation ended yet.
    running: int = 0
    most_running: int = 0
    out: RecordingResponder = dataclasses.field(
        default_factory=RecordingResponder
    )
    broken: bool = False
    left: bool = False


class _World:
    """All targets, and what they ran for whom."""

    def __init__(self) -> None:
        self.attempts: dict[str, _Attempt] = {}
        self.rng = random.Random()

    @contextlib.asynccontextmanager
    async def open(
        self,
        is_current: Callable[[TargetSend], bool],
        send: TargetSend,
        gate: Callable[[], bool],
    ) -> AsyncIterator[Reply]:
        """Answers a send in one of the ways that targets may."""
        attempt = self.attempts[send.call.attempt]
        if self.rng.random() < 0.1:
            yield CallError(CallFailure.CONNECT, False, "refused")
            return
        await anyio.sleep(0)
        if not gate():
            yield CallError(CallFailure.GATE, False)
            return
        assert is_current(send), "bytes went to a target that left"
        choice = self.rng.random()
        if choice < 0.1:
            yield Rejection.UNAVAILABLE
            return
        if choice < 0.15:
            yield Rejection.MISDIRECTED
            return
        attempt.runs += 1
        attempt.running += 1
        attempt.most_running = max(attempt.most_running, attempt.running)
        try:
            if choice < 0.25:
                yield CallError(CallFailure.BROKEN, True, "reset")
            elif choice < 0.3:
                await anyio.sleep_forever()
            else:
                yield _Answer(self.rng, send, attempt.kind)
        finally:
            attempt.running -= 1


class _Answer:
    """An answer that may break off or hang."""

    def __init__(self, rng: random.Random, send: TargetSend, kind: str):
        self._rng = rng
        self._first = int(send.last_event_id or 0) + 1
        self.is_event_stream = kind == "quotes"
        status = 500 if kind != "quotes" and rng.random() < 0.2 else 200
        self.head = AnswerHead(status, ())

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the events that the caller lacks, or a short body."""
        parts = [b"done"]
        if self.is_event_stream:
            parts = [make_event(n) for n in range(self._first, EVENTS + 1)]
        for part in parts:
            fate = self._rng.random()
            if fate < 0.1:
                # A target may stop in the middle of an event.
                yield Ok(part[: len(part) // 2])
                yield Err(CallError(CallFailure.BROKEN, True, "reset"))
                return
            if fate < 0.13:
                await anyio.sleep_forever()
            yield Ok(part)
            await anyio.sleep(0)


@dataclasses.dataclass(frozen=True, slots=True)
class _Client:
    """The world as one instance reaches it."""

    world: _World
    is_current: Callable[[TargetSend], bool]

    def open(
        self, send: TargetSend, gate: Callable[[], bool]
    ) -> contextlib.AbstractAsyncContextManager[Reply]:
        """Sends a request to the world."""
        return self.world.open(self.is_current, send, gate)


def _make_config(version: int) -> EdgeConfig:
    """Returns the one configuration of a version; some lack a route."""
    routes = (ROUTE, ORDERS, LOOKUPS)
    dropped = version % 4
    if dropped < len(routes):
        routes = tuple(r for r in routes if r is not routes[dropped])
    return dataclasses.replace(CONFIG, version=version, routes=routes)


class EdgeMachine(RuleBasedStateMachine):
    """Two instances, their targets and callers."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.world = _World()
        self.nodes = [self._start() for _ in range(NODES)]
        for bench in self.nodes:
            # A version with all routes.
            bench.holder.offer(_make_config(3))
        # The newest version that each start of an instance has shown.
        self.shown = [0] * NODES

    def _start(self) -> EdgeBench:
        client = _Client(
            self.world, lambda send: bench.targets.is_current(send.target)
        )
        bench = EdgeBench(config=None, clock=self.clock, client=client)
        return bench

    @rule(
        node=st.integers(0, NODES - 1),
        kinds=st.lists(st.sampled_from(sorted(PATHS)), min_size=2, max_size=6),
        seed=st.integers(0, 2**32),
        leaves=st.booleans(),
    )
    def serve(
        self, node: int, kinds: list[str], seed: int, leaves: bool
    ) -> None:
        """Callers come together; some leave, the others wait to the end."""
        self.world.rng.seed(seed)
        bench = self.nodes[node]
        started = []
        for kind in kinds:
            name = f"a{len(self.world.attempts)}"
            self.world.attempts[name] = _Attempt(kind)
            started.append(name)

        async def call(name: str) -> None:
            attempt = self.world.attempts[name]
            path = PATHS[attempt.kind]
            request = dataclasses.replace(CALL, attempt=name, path=path)
            await self._call(bench, request, attempt)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                for name in started:
                    group.start_soon(call, name)
                for _ in range(12):
                    await anyio.sleep(SETTLE_S)
                    self.clock.advance(250)
                    bench.stall_detector.check()
                    for service in ("engine", "shop"):
                        bench.backlog.grant_slots(service)
                for name in started:
                    attempt = self.world.attempts[name]
                    out = attempt.out
                    ended = out.verdict is not None or out.is_complete
                    attempt.left = not ended and not attempt.broken
                group.cancel_scope.cancel()

        anyio.run(run)
        self._judge(bench, started)

    async def _call(
        self, bench: EdgeBench, request: EdgeCall, attempt: _Attempt
    ) -> None:
        try:
            await bench.relay.serve(request, attempt.out)
        except AnswerBrokenError:
            attempt.broken = True

    def _judge(self, bench: EdgeBench, started: list[str]) -> None:
        config = bench.holder.config
        for name in started:
            attempt = self.world.attempts[name]
            verdict = attempt.out.verdict
            if config is None:
                assert verdict is not None
                assert verdict.reason is Reason.NO_TEXT
                continue
            routed = config.find_route(CALL.host, PATHS[attempt.kind])
            missing = routed is None
            refused = (
                verdict is not None and verdict.reason is Reason.UNKNOWN_KIND
            )
            assert missing is refused

    @rule(node=st.integers(0, NODES - 1), version=st.integers(1, 12))
    def offer(self, node: int, version: int) -> None:
        """An instance reads a version, old or new."""
        self.nodes[node].holder.offer(_make_config(version))

    @rule(
        node=st.integers(0, NODES - 1),
        name=st.sampled_from(ENGINES + SHOPS),
        leaving=st.booleans(),
        restarted=st.booleans(),
    )
    def change_target(
        self, node: int, name: str, leaving: bool, restarted: bool
    ) -> None:
        """An instance reads that a target leaves, restarted or is back."""
        target = make_target(name, "engine" if name in ENGINES else "shop")
        self.nodes[node].targets.put(
            dataclasses.replace(
                target,
                is_leaving=leaving,
                started_at_ms=int(restarted),
            )
        )

    @rule(node=st.integers(0, NODES - 1), name=st.sampled_from(ENGINES))
    def remove_target(self, node: int, name: str) -> None:
        """An instance reads that a target is gone."""
        self.nodes[node].targets.remove(name)

    @rule(ms=st.integers(1, 20_000))
    def wait(self, ms: int) -> None:
        """Time passes."""
        self.clock.advance(ms)

    @rule(node=st.integers(0, NODES - 1))
    def restart(self, node: int) -> None:
        """An instance is killed and starts with no state."""
        self.nodes[node] = self._start()
        self.shown[node] = 0

    @invariant()
    def configuration_only_advances(self) -> None:
        """No start of an instance goes back to an older version."""
        for number, bench in enumerate(self.nodes):
            config = bench.holder.config
            version = config.version if config else 0
            assert version >= self.shown[number]
            self.shown[number] = version

    @invariant()
    def callers_are_told_the_truth(self) -> None:
        """Compares verdicts and answers with the runs."""
        for attempt in self.world.attempts.values():
            assert attempt.running == 0, "a run outlived its request"
            assert attempt.most_running <= 1, "two runs at a time"
            if attempt.kind == "orders":
                assert attempt.runs <= 1, "an order ran twice"
            assert attempt.runs <= ROUTE.max_attempts
            out = attempt.out
            if isinstance(out.verdict, NotRun):
                assert attempt.runs == 0, "said not to have run"
            if out.is_complete:
                assert attempt.runs, "an answer without a run"
                if attempt.kind == "quotes":
                    whole = b"".join(map(make_event, range(1, EVENTS + 1)))
                    assert out.body == whole
                else:
                    assert out.body == b"done"
            if attempt.broken:
                assert not out.is_complete

    @invariant()
    def nothing_is_left_behind(self) -> None:
        """Places and queues are empty between the steps."""
        for bench in self.nodes:
            assert not bench.occupancy.own
            assert not bench.backlog.count_all()


class EdgeOracleTest(unittest.TestCase):
    """Relays under random steps, compared with an oracle."""

    def test_callers_learn_the_truth_whatever_happens(self) -> None:
        """Guards against orders that run twice and verdicts that are wrong."""
        run_state_machine_as_test(
            EdgeMachine,
            settings=settings(
                derandomize=True,
                max_examples=60,
                stateful_step_count=25,
                deadline=None,
                database=None,
            ),
        )
