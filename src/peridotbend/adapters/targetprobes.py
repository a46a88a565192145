"""Asks targets whether they answer over a new connection."""

from collections.abc import Callable

from result import Err

from peridotbend.adapters.answerwatch import (
    GATEWAY_STATUSES,
    UNAVAILABLE_STATUS,
    ReachSink,
)
from peridotbend.adapters.connections import Dialer
from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.clock import Clock
from peridotbend.domain.paths import Endpoint
from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
    TargetCall,
)
from peridotbend.domain.targetreach import LinkFault
from peridotbend.domain.text import Target

# For the connect.
PROBE_TIMEOUT_S = 0.25
# The load of a target of the product's own interface.
LOAD_CALL = TargetCall("GET", "/v1/load", (), b"", 500, reuse_connection=False)


def is_no_gateway_status(head: AnswerHead) -> bool:
    """Tells whether an answer to a probe comes from a target."""
    return head.status not in (*GATEWAY_STATUSES, UNAVAILABLE_STATUS)


class UnkeptConnections:
    """The part of a dialer whose connections serve one call each."""

    def allows_reuse(self, target: Endpoint) -> bool:
        """Tells that no connection may be kept."""
        return False


class TargetProber:
    """Asks targets over one way to reach them."""

    def __init__(
        self,
        way: Dialer,
        clock: Clock,
        call: TargetCall,
        is_answer: Callable[[AnswerHead], bool],
        reach: ReachSink | None = None,
    ):
        """Creates a prober.

        Args:
            way: connects to targets.
            clock: source of time.
            call: asks a target.
            is_answer: tells whether the target has answered it.
            reach: receives what the connections show.
        """
        self._call = call
        self._is_answer = is_answer
        self._client = HttpTargetClient(
            PROBE_TIMEOUT_S, way, clock, reach, lambda _, head: is_answer(head)
        )

    async def ask(self, target: Endpoint) -> LinkFault | None:
        """Asks a target; returns what is wrong with its answer, if any."""
        address = Target(
            target.name, target.service, "", target.host, target.port
        )
        async with self._client.open(
            address, self._call, lambda: True
        ) as opened:
            if isinstance(opened, Err):
                return _find_fault(opened.err_value)
            answer = opened.ok_value
            if not self._is_answer(answer.head):
                return LinkFault.FOREIGN
            is_whole = all([c.is_ok() async for c in answer.chunks()])
            return None if is_whole else LinkFault.RESET


def _find_fault(error: CallError) -> LinkFault:
    if not error.written:
        is_refused = error.failure is CallFailure.REFUSED
        return LinkFault.REFUSED if is_refused else LinkFault.HANGING
    if error.failure is CallFailure.TIMEOUT:
        return LinkFault.SILENT
    return LinkFault.FOREIGN if error.is_garbled else LinkFault.RESET
