"""What logs and metrics are told of requests."""

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.domain.verdicts import MayHaveRun, NotRun
from peridotbend.edge.configholder import ConfigHolder
from peridotbend.edge.ports import EdgeCall, EdgeMeter
from peridotbend.edge.runs import Run


class RunReport:
    """Writes the log lines of requests, and counts their ends."""

    def __init__(
        self,
        clock: Clock,
        holder: ConfigHolder,
        log: EventLog,
        meter: EdgeMeter,
    ):
        self._clock = clock
        self._holder = holder
        self._log = log
        self._meter = meter

    def log(self, event: Event, run: Run, **fields: object) -> None:
        """Writes a line of an admitted request."""
        now_ms = self._clock.now_ms()
        self._log.emit(
            event,
            attempt=run.call.attempt,
            route=run.route.name,
            spent_ms=now_ms - run.started_at_ms,
            left_ms=run.end_at_ms - now_ms,
            config=self._find_version(),
            **fields,
        )

    def note_end(self, run: Run, status: int, **fields: object) -> None:
        """Notes an answer of a target that reached its caller."""
        self.observe(run, f"status-{status}")
        self.log(Event.REQUEST_ENDED, run, status=status, **fields)

    def note_refusal(
        self,
        call: EdgeCall,
        verdict: NotRun | MayHaveRun,
        run: Run | None,
        **cause: object,
    ) -> None:
        """Notes an answer of this process; `run` is None before admission."""
        refusal = {
            "verdict": verdict.label,
            "reason": verdict.reason,
            "retry_after_ms": verdict.retry_after_ms,
            **cause,
        }
        if run is not None:
            self.observe(run, verdict.reason.value)
            if run.account:
                refusal["account"] = run.account.name
            self.log(Event.REQUEST_REFUSED, run, **refusal)
            return
        self._meter.observe_end("none", verdict.reason.value, 0)
        self._log.emit(
            Event.REQUEST_REFUSED,
            attempt=call.attempt,
            config=self._find_version(),
            **refusal,
        )

    def observe(self, run: Run, outcome: str) -> None:
        """Counts the end of an admitted request."""
        took_ms = self._clock.now_ms() - run.started_at_ms
        self._meter.observe_end(run.route.kind.value, outcome, took_ms)

    def _find_version(self) -> int | None:
        config = self._holder.config
        return config.version if config else None
