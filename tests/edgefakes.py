"""Stand-ins for the ports of the edge package."""

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Callable, Sequence

import anyio
from result import Err, Ok, Result

from peridotbend.domain.clock import ManualClock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import AnswerHead, CallError, CallFailure
from peridotbend.domain.verdicts import Verdict
from peridotbend.edge.config import (
    Account,
    CallerLimits,
    EdgeConfig,
    Route,
    RouteKind,
    WeightedService,
)
from peridotbend.edge.parts import make_parts
from peridotbend.edge.ports import (
    EdgeCall,
    EdgeTargetClient,
    Rejection,
    Reply,
    TargetSend,
)
from peridotbend.edge.relay import Relay
from peridotbend.edge.settings import EdgeSettings
from peridotbend.edge.targets import EdgeTarget

ROUTE = Route(
    name="quotes",
    host="shop.example",
    prefix="/quotes/",
    kind=RouteKind.STREAM,
    services=(WeightedService("engine", 1.0),),
    max_attempts=2,
    timeout_ms=15_000,
    objective_ms=800,
    gap_objective_ms=400,
    rank=0,
    is_public=False,
    is_generation=True,
    can_resume=True,
)
ORDERS = dataclasses.replace(
    ROUTE,
    name="orders",
    prefix="/orders/",
    kind=RouteKind.NON_IDEMPOTENT,
    services=(WeightedService("shop", 1.0),),
    max_attempts=1,
    timeout_ms=800,
    objective_ms=100,
    is_generation=False,
    can_resume=False,
)
LOOKUPS = dataclasses.replace(
    ORDERS,
    name="lookups",
    prefix="/lookups/",
    kind=RouteKind.IDEMPOTENT,
    max_attempts=2,
)
ACCOUNT = Account("acme", frozenset(("key-1",)), None, 0.0, 0.0, 200.0)
LIMITS = CallerLimits(16_384, 4_194_304, 3_000, 15_000)
CONFIG = EdgeConfig(
    version=3,
    routes=(ROUTE, ORDERS, LOOKUPS),
    accounts=(ACCOUNT,),
    limits=LIMITS,
)
TARGET = EdgeTarget("i-1", "engine", "127.0.0.1", 8_000, "zone-a", 10, False, 0)
SETTINGS = EdgeSettings(
    name="edge-1",
    zone="zone-a",
    callers=("127.0.0.1", 8_221),
    health=("127.0.0.1", 8_224),
    peers=("127.0.0.1", 8_229),
    digests=("127.0.0.1", 7_600),
    seeds=(),
    store=("127.0.0.1", 8_225),
    grace_ms=8_000,
    resend_share=0.2,
    resend_slack=56.0,
    resend_window_ms=10_000,
    allowance_window_ms=8_000,
    allowance_overage=0.25,
    allowance_slack=140_000.0,
)
CALL = EdgeCall(
    attempt="attempt-1",
    method="POST",
    host="shop.example",
    path="/quotes/2f",
    headers=(("host", "shop.example"),),
    body=b"plan",
    key="key-1",
    deadline_ms=15_000,
    prompt_tokens=1_000,
    max_output_tokens=100,
)


def make_target(name: str, service: str = "engine") -> EdgeTarget:
    """Returns a ready target."""
    return dataclasses.replace(TARGET, name=name, service=service)


def make_event(number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class RecordingLog:
    """Keeps the events that were logged."""

    def __init__(self) -> None:
        self.events: list[tuple[Event, dict[str, object]]] = []

    def emit(self, event: Event, **fields: object) -> None:
        """Keeps an event."""
        self.events.append((event, fields))

    def count(self, event: Event) -> int:
        """Returns how often an event was logged."""
        return sum(found is event for found, _ in self.events)


class RecordingMeter:
    """Keeps the outcomes that were counted."""

    def __init__(self) -> None:
        self.ends: list[tuple[str, str]] = []
        self.sends: list[str] = []

    def observe_end(self, kind: str, outcome: str, took_ms: int) -> None:
        """Keeps the end of a request."""
        assert took_ms >= 0
        self.ends.append((kind, outcome))

    def count_send(self, outcome: str) -> None:
        """Keeps the end of a send."""
        self.sends.append(outcome)


class RecordingResponder:
    """Keeps what a caller would get."""

    def __init__(self) -> None:
        self.head: AnswerHead | None = None
        self.body = b""
        self.is_complete = False
        self.verdict: Verdict | None = None

    async def start(self, head: AnswerHead) -> None:
        """Keeps the head, which comes once."""
        assert self.head is None, "the answer was started twice"
        self.head = head

    async def send(self, data: bytes) -> None:
        """Keeps a part of the body."""
        assert self.head is not None
        self.body += data

    async def finish(self) -> None:
        """Notes the proper end."""
        self.is_complete = True

    async def refuse(self, verdict: Verdict) -> None:
        """Keeps the refusal."""
        assert self.head is None, "a refusal after the head"
        self.verdict = verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """How a target answers one request."""

    reply: Rejection | CallError | None = None
    status: int = 200
    chunks: Sequence[bytes] = ()
    # Whether the connection breaks after the chunks.
    breaks: bool = False
    # Whether nothing more arrives after the chunks.
    hangs: bool = False
    is_event_stream: bool = True
    # Whether the request never got a byte out.
    unsent: bool = False


class _Answer:
    """The answer of a script."""

    def __init__(self, script: Script, target: str):
        self._script = script
        self.is_event_stream = script.is_event_stream
        self.head = AnswerHead(script.status, (("made-by", target),))

    async def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the chunks of the script."""
        for chunk in self._script.chunks:
            yield Ok(chunk)
        if self._script.hangs:
            await anyio.sleep_forever()
        if self._script.breaks:
            yield Err(CallError(CallFailure.BROKEN, True, "reset"))


class ScriptedTargets:
    """A client whose targets answer by scripts, in the order of the sends."""

    def __init__(self, *scripts: Script):
        self._scripts = list(scripts)
        self.sends: list[TargetSend] = []
        # Sends whose gate opened, so that bytes may have left.
        self.written: list[TargetSend] = []
        self.before_gate: Callable[[], None] = lambda: None
        # Sends whose connection is open, and the most there were at once.
        self.open_now = 0
        self.most_open = 0

    @contextlib.asynccontextmanager
    async def open(
        self, send: TargetSend, gate: Callable[[], bool]
    ) -> AsyncIterator[Reply]:
        """Answers with the next script."""
        self.sends.append(send)
        self.open_now += 1
        self.most_open = max(self.most_open, self.open_now)
        try:
            async with self._answer(send, gate) as reply:
                yield reply
        finally:
            self.open_now -= 1

    @contextlib.asynccontextmanager
    async def _answer(
        self, send: TargetSend, gate: Callable[[], bool]
    ) -> AsyncIterator[Reply]:
        script = self._scripts.pop(0)
        if script.unsent:
            yield CallError(CallFailure.CONNECT, False, "refused")
            return
        self.before_gate()
        if not gate():
            yield CallError(CallFailure.GATE, False)
            return
        self.written.append(send)
        if script.reply is not None:
            yield script.reply
        else:
            yield _Answer(script, send.target.name)


class LoneFleet:
    """A fleet of one instance."""

    def count_instances(self) -> int:
        """Returns 1."""
        return 1

    def find_live_share(self) -> float:
        """Returns 1."""
        return 1.0


class EdgeBench:
    """A relay with scripted targets."""

    def __init__(
        self,
        *scripts: Script,
        config: EdgeConfig | None = CONFIG,
        clock: ManualClock | None = None,
        client: EdgeTargetClient | None = None,
    ) -> None:
        self.clock = clock or ManualClock()
        self.log = RecordingLog()
        self.meter = RecordingMeter()
        self.client = ScriptedTargets(*scripts)
        parts = make_parts(
            SETTINGS,
            self.clock,
            client or self.client,
            LoneFleet(),
            self.log,
            self.meter,
            random.Random(1),
        )
        self.holder = parts.holder
        self.targets = parts.targets
        self.occupancy = parts.occupancy
        self.health = parts.health
        self.crashes = parts.crashes
        self.stall_detector = parts.stall_detector
        self.allowances = parts.allowances
        self.backlog = parts.backlog
        self.relay = Relay(parts)
        if config is not None:
            self.holder.offer(config)
        for name in ("i-1", "i-2", "i-3"):
            self.targets.put(make_target(name))
            self.targets.put(make_target(f"s{name}", "shop"))

    async def serve(self, call: EdgeCall = CALL) -> RecordingResponder:
        """Serves one call to its end."""
        out = RecordingResponder()
        await self.relay.serve(call, out)
        return out
