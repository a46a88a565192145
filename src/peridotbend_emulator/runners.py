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
from peridotbend_emulator.workload import Offer

LOAD_LAG_MS = 2_000
NETWORK_DELAY_S = 0.001


@dataclasses.dataclass(slots=True)
class Trace:
    """What became of one request; times are of the clock."""

    offer: Offer
    entry: int
    arrived_at_ms: int
    deadline_at_ms: int
    # One of the OUTCOMES below, "" while it is under way.
    outcome: str = ""
    target: str = ""
    started_at_ms: int | None = None
    first_at_ms: int | None = None
    ended_at_ms: int | None = None
    # Prompt tokens computed for it, over all tries.
    computed_tokens: int = 0
    # Of these, in tries that broke.
    broken_tokens: int = 0
    # Shared prefix computed again although an engine had computed it.
    repeated_tokens: int = 0
    lower_waited: bool = False


ON_TIME, LATE, SHED, EXPIRED, BROKEN, REFUSED = (
    "on-time", "late", "shed", "expired", "broken", "refused",
)  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call to a runner ended."""

    complete: bool
    prefill_tokens: int


class Call:
    """A request at a runner."""

    def __init__(self, offer: Offer):
        self.offer = offer
        # False when the call ended without output.
        self.first: asyncio.Future[bool] = asyncio.Future()
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
        # Prefill of requests that end with the step under way.
        self._ending: dict[str, int] = {}
        self._submitted = asyncio.Event()
        self.alive = True
        self._model = EngineModel(self._settings, clock)

    async def run(self) -> None:
        """Runs steps until cancelled."""
        while True:
            model = self._model
            if not self.alive or model.is_idle:
                self._submitted.clear()
                await self._submitted.wait()
                continue
            result = model.step()
            self._ending = {
                event.request_id: event.prefill_tokens
                for event in result.events
                if event.kind is EventKind.FINISHED
            }
            await asyncio.sleep(result.elapsed_ms / 1_000)
            if model is self._model:
                self.busy_ms += result.elapsed_ms
                for event in result.events:
                    self._deliver(event)

    async def open(self, key: str, offer: Offer) -> Call | None:
        """Sends a request; None when the connection is refused."""
        await asyncio.sleep(NETWORK_DELAY_S)
        if not self.alive:
            return None
        call = self._calls[key] = Call(offer)
        self._model.submit(
            key,
            offer.prompt_tokens,
            offer.work.prefix_hashes,
            offer.output_tokens,
        )
        self._submitted.set()
        return call

    def cancel(self, key: str) -> None:
        """Drops a request; its call ends incomplete."""
        thrown_away = self.drop(key)
        call = self._calls.pop(key, None)
        if call is not None:
            if not call.first.done():
                call.first.set_result(False)
            call.end.set_result(CallEnd(False, thrown_away))

    def drop(self, key: str) -> int:
        """Drops a request when the run is over; returns its prefill."""
        before = self._model.stats.thrown_away
        if not self._model.cancel(key):
            return self._ending.pop(key, 0)
        return self._model.stats.thrown_away - before

    def set_slowdown(self, factor: float) -> None:
        """Makes the runner slower than its own speed by a factor."""
        self._model.set_speed(self.speed / factor)

    def kill(self) -> None:
        """Breaks all requests and refuses new ones."""
        self.alive = False
        for key in list(self._calls):
            self.cancel(key)

    def restart(self) -> None:
        """Starts again with an empty cache."""
        self.alive = True
        self._incarnation += 1
        self._model = EngineModel(self._settings, self._clock)
        self._submitted.set()

    def report_load(self) -> LoadReport | None:
        """Returns the load as it was seconds ago, None when dead."""
        if not self.alive:
            return None
        load = self._model.load()
        # Both times are of the engine's clock, as `LoadPoller` reads them.
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
            call.first.set_result(True)
        elif event.kind is EventKind.FINISHED:
            del self._calls[event.request_id]
            call.end.set_result(CallEnd(True, event.prefill_tokens))
