"""Log lines and metrics of requests."""

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import AnswerHead, EventLog
from peridotbend.domain.streams import find_header
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason
from peridotbend.edge.activerequests import ActiveRequest
from peridotbend.edge.configholder import ConfigHolder
from peridotbend.edge.ports import EdgeCall, EdgeMeter

# Bounds a log line.
MAX_LOGGED_TYPE = 64


class RequestReporter:
    """Logs events of requests and counts their outcomes."""

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

    def log(
        self, event: Event, request: ActiveRequest, **fields: object
    ) -> None:
        """Logs an event of an admitted request."""
        now_ms = self._clock.now_ms()
        self._log.emit(
            event,
            attempt=request.call.attempt,
            route=request.route.name,
            spent_ms=now_ms - request.started_at_ms,
            left_ms=request.deadline_at_ms - now_ms,
            config=self._get_config_version(),
            **fields,
        )

    def note_end(
        self, request: ActiveRequest, status: int, **fields: object
    ) -> None:
        """Records that the answer of a target was delivered."""
        self.observe(request, f"status-{status}")
        self.log(Event.REQUEST_ENDED, request, status=status, **fields)

    def note_refusal(
        self,
        call: EdgeCall,
        verdict: NotRun | MayHaveRun,
        request: ActiveRequest | None,
        **cause: object,
    ) -> None:
        """Records a refusal by this process.

        `request` is None if the call was not admitted.
        """
        refusal = {
            "verdict": verdict.label,
            "reason": verdict.reason,
            "retry_after_ms": verdict.retry_after_ms,
            **cause,
        }
        if request is not None:
            self.observe(request, verdict.reason.value)
            if request.account:
                refusal["account"] = request.account.name
            self.log(Event.REQUEST_REFUSED, request, **refusal)
            return
        self._meter.observe_end("none", verdict.reason.value, 0)
        self._log.emit(
            Event.REQUEST_REFUSED,
            attempt=call.attempt,
            config=self._get_config_version(),
            **refusal,
        )

    def note_broken(
        self,
        request: ActiveRequest,
        reason: Reason | None,
        drain_ms: int | None,
    ) -> None:
        """Records that an answer had begun and cannot be completed.

        Args:
            request: whose answer it is.
            reason: why it was not sent again.
            drain_ms: time since the shutdown began; None if it has not.
        """
        self.observe(request, "broken")
        self._meter.count_broken(request.phase.value, drain_ms is not None)
        self.log(
            Event.ANSWER_BROKEN,
            request,
            reason=reason,
            phase=request.phase.value,
            phase_ms=self._clock.now_ms() - request.phase_since_ms,
            sends=request.sends,
            last_event=request.events.last_event_id,
            drain_ms=drain_ms,
        )

    def observe(self, request: ActiveRequest, outcome: str) -> None:
        """Counts the outcome of an admitted request."""
        duration_ms = self._clock.now_ms() - request.started_at_ms
        self._meter.observe_end(request.route.kind.value, outcome, duration_ms)

    def _get_config_version(self) -> int | None:
        config = self._holder.config
        return config.version if config else None


def describe_type(head: AnswerHead) -> str:
    """Returns the content type of an answer for a log line."""
    return find_header(head, "content-type")[:MAX_LOGGED_TYPE]
