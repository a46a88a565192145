"""Emulated runners in virtual time, and the trace of each request."""

import asyncio
import dataclasses

from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import LoadReport
from peridotbend.domain.text import Target
from peridotbend_emulator.enginemodel import (
    EngineEvent,
    EngineModel,
    EngineSettings,
    EventKind,
)
from peridotbend_emulator.workload import Request

LOAD_LAG_MS = 2_000
NETWORK_DELAY_S = 0.001


@dataclasses.dataclass(slots=True)
class Trace:
    """Record of one request; times are those of the trial's clock."""

    request: Request
    entry_number: int
    arrived_at_ms: int
    deadline_at_ms: int
    # One of the outcomes below, "" while the request is in progress.
    outcome: str = ""
    target_name: str = ""
    started_at_ms: int | None = None
    first_token_at_ms: int | None = None
    ended_at_ms: int | None = None
    # Prompt tokens that engines computed for it, over all attempts.
    computed_tokens: int = 0
    # Part of them in attempts whose answer broke.
    failed_attempt_tokens: int = 0
    # Tokens of a shared prefix that had been computed for an earlier request.
    recomputed_tokens: int = 0
    # Whether a request of a lower tier waited at any entry when this one ended.
    lower_tier_waited: bool = False


ON_TIME, LATE, SHED, EXPIRED, BROKEN, REFUSED = (
    "on-time", "late", "shed", "expired", "broken", "refused",
)  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call to a runner ended."""

    is_complete: bool
    prefill_tokens: int


class Call:
    """A request that was sent to a runner."""

    def __init__(self, request: Request):
        self.request = request
        # Set to False if the call ends without output.
        self.first_token: asyncio.Future[bool] = asyncio.Future()
        self.end: asyncio.Future[CallEnd] = asyncio.Future()


class Runner:
    """A model engine that can be slowed down, killed and restarted."""

    def __init__(self, target: Target, speed: float, clock: Clock):
        self.target = target
        self.speed = speed
        self.busy_ms = 0.0
        self._clock = clock
        self._settings = EngineSettings(speed=speed, load_lag_ms=LOAD_LAG_MS)
        self._incarnation = 1
        self._calls: dict[str, Call] = {}
        # Prefill tokens of the requests that finish in the current step.
        self._finishing_prefill: dict[str, int] = {}
        self._submitted = asyncio.Event()
        self.is_alive = True
        self._model = EngineModel(self._settings, clock)

    async def run(self) -> None:
        """Runs steps until cancelled."""
        while True:
            model = self._model
            if not self.is_alive or model.is_idle:
                self._submitted.clear()
                await self._submitted.wait()
                continue
            result = model.step()
            self._finishing_prefill = {
                event.request_id: event.prefill_tokens
                for event in result.events
                if event.kind is EventKind.FINISHED
            }
            await asyncio.sleep(result.elapsed_ms / 1_000)
            if model is self._model:
                self.busy_ms += result.elapsed_ms
                for event in result.events:
                    self._deliver(event)

    async def open(self, key: str, request: Request) -> Call | None:
        """Sends a request; returns None if the connection is refused."""
        await asyncio.sleep(NETWORK_DELAY_S)
        if not self.is_alive:
            return None
        call = self._calls[key] = Call(request)
        self._model.submit(
            key,
            request.prompt_tokens,
            request.work_estimate.prefix_hashes,
            request.output_tokens,
        )
        self._submitted.set()
        return call

    def cancel(self, key: str) -> None:
        """Cancels a request; its call ends incomplete."""
        wasted_tokens = self.drop(key)
        call = self._calls.pop(key, None)
        if call is not None:
            if not call.first_token.done():
                call.first_token.set_result(False)
            call.end.set_result(CallEnd(False, wasted_tokens))

    def drop(self, key: str) -> int:
        """Drops a request without ending its call; returns its prefill tokens.

        Used directly when the run is over.
        """
        wasted_before = self._model.stats.wasted
        if not self._model.cancel(key):
            return self._finishing_prefill.pop(key, 0)
        return self._model.stats.wasted - wasted_before

    def set_slowdown(self, factor: float) -> None:
        """Divides the speed of the runner by a factor."""
        self._model.set_speed(self.speed / factor)

    def kill(self) -> None:
        """Breaks all requests and refuses new ones."""
        self.is_alive = False
        for key in list(self._calls):
            self.cancel(key)

    def restart(self) -> None:
        """Accepts requests again, with an empty prefix cache."""
        self.is_alive = True
        self._incarnation += 1
        self._model = EngineModel(self._settings, self._clock)
        self._submitted.set()

    def report_load(self) -> LoadReport | None:
        """Returns the load of `LOAD_LAG_MS` ago, or None while it is killed."""
        if not self.is_alive:
            return None
        load = self._model.load()
        # The age is the difference of two times of the engine's clock, as
        # `LoadPoller` computes it.
        return LoadReport(
            self._clock.now_ms() - load.at_ms,
            load.running,
            load.waiting_tokens,
            str(self._incarnation),
        )

    def _deliver(self, event: EngineEvent) -> None:
        call = self._calls.get(event.request_id)
        if call is None:
            return
        if event.kind is EventKind.FIRST_TOKEN:
            call.first_token.set_result(True)
        elif event.kind is EventKind.FINISHED:
            del self._calls[event.request_id]
            call.end.set_result(CallEnd(True, event.prefill_tokens))
