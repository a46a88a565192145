"""Client of targets that use the platform's protocol."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable, Mapping

import anyio
from result import Err, Ok, Result

from peridotbend.adapters.answerwatch import UNAVAILABLE_STATUS
from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
    TargetAnswer,
    TargetCall,
)
from peridotbend.domain.streams import (
    find_header,
    is_event_stream,
    list_header_values,
)
from peridotbend.domain.text import Target
from peridotbend.edge.ports import (
    Rejection,
    Reply,
    RunCheck,
    TargetReport,
    TargetSend,
)
from peridotbend.edge.runquestions import ASK_TIMEOUT_MS
from peridotbend.edge.targets import EdgeTarget
from peridotbend.platform import wire
from peridotbend.platform.documents import (
    decode_prompt_parts,
    decode_report,
)
from peridotbend.platform.reach import MISDIRECTED_STATUS

# Lower bound of the deadline header, since targets take 0 as no deadline.
MIN_DEADLINE_MS = 1
# Bounds the numbers that targets name, which are requests a second, rejections
# a second and seconds.
MAX_COUNT = 1e9
# A part takes some 40 bytes.
MAX_PARTS_BYTES = 1_048_576
# What a target says of itself grows with the requests that it runs.
MAX_REPORT_BYTES = 262_144


class PlatformTargetAnswer:
    """The answer of a target."""

    event_header = wire.WEIGHT_VERSIONS

    def __init__(self, answer: TargetAnswer):
        self._answer = answer
        self.head = answer.head
        self.is_event_stream = is_event_stream(answer.head)

    def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the body; an Err is the last item when the call breaks."""
        return self._answer.chunks()


@dataclasses.dataclass(frozen=True, slots=True)
class _StartCheck:
    """Asks a target for its start on the connection of a call."""

    run: RunCheck
    timeout_ms: int

    @property
    def question(self) -> TargetCall:
        """The call that is sent first."""
        timeout_ms = min(ASK_TIMEOUT_MS, self.timeout_ms)
        return TargetCall("GET", wire.REPORT_CALL, (), b"", timeout_ms)

    def is_needed(self, connected_at_ms: int) -> bool:
        """Tells whether the question has to be asked on a connection."""
        return self.run.is_needed(connected_at_ms)

    def find_problem(
        self, status: int, body: bytes, connected_at_ms: int, asked_at_ms: int
    ) -> str:
        """Returns why the call must not be sent, or "" if it may be."""
        report = decode_report(body) if status == 200 else TargetReport()
        told_start_ms = report.started_at_ms
        if self.run.accepts(told_start_ms, connected_at_ms, asked_at_ms):
            return ""
        if told_start_ms is None:
            return f"it names no start, status {status}"
        return f"it started at {told_start_ms}, which is not listed"


class PlatformTargetClient:
    """Sends requests in the platform's protocol, and classifies the answers."""

    def __init__(self, client: HttpTargetClient):
        self._client = client

    async def list_prompt_parts(
        self, target: EdgeTarget, timeout_ms: int
    ) -> Mapping[str, int] | None:
        """Returns the prompt parts that a target keeps; None if not told."""
        call = TargetCall("GET", wire.PARTS_CALL, (), b"", timeout_ms)
        answer = await self._ask(target, call, MAX_PARTS_BYTES)
        if isinstance(answer, Err) or answer.ok_value is None:
            return None
        return decode_prompt_parts(answer.ok_value, target.started_at_ms).ok()

    async def read_report(
        self, target: EdgeTarget, timeout_ms: int
    ) -> Result[TargetReport, CallError]:
        """Returns what a process says of itself."""
        call = TargetCall("GET", wire.REPORT_CALL, (), b"", timeout_ms)
        answer = await self._ask(target, call, MAX_REPORT_BYTES)
        return answer.map(lambda body: decode_report(body or b""))

    async def _ask(
        self, target: EdgeTarget, call: TargetCall, max_bytes: int
    ) -> Result[bytes | None, CallError]:
        """Returns the body of an answer; None if it is a failure."""
        body = bytearray()
        with anyio.move_on_after(call.timeout_ms / 1_000):
            async with self._client.open(
                _make_address(target), call, lambda: True
            ) as opened:
                if isinstance(opened, Err):
                    return opened
                is_told = opened.ok_value.head.status == 200
                async for chunk in opened.ok_value.chunks():
                    if isinstance(chunk, Err):
                        return chunk
                    body += chunk.ok_value
                    if len(body) > max_bytes:
                        return Ok(None)
            return Ok(bytes(body) if is_told else None)
        return Err(CallError(CallFailure.TIMEOUT, True, "no answer in time"))

    @contextlib.asynccontextmanager
    async def open(
        self, send: TargetSend, gate: Callable[[], bool]
    ) -> AsyncIterator[Reply]:
        """Sends a request and waits for the head of the answer."""
        address = _make_address(send.target)
        async with self._client.open(address, _make_call(send), gate) as opened:
            if isinstance(opened, Err):
                yield opened.err_value
            else:
                reply = _read_reply(opened.ok_value, send.call.attempt)
                if _is_from_target(reply):
                    head = opened.ok_value.head
                    send.note_limit(_parse_count(head, wire.SERVER_LIMIT))
                    send.note_brittle(_parse_count(head, wire.SERVER_BRITTLE))
                    if _parse_count(head, wire.SERVER_LEAVING):
                        send.note_leaving()
                    pause_s = _parse_count(head, wire.RETRY_AFTER)
                    if head.status == UNAVAILABLE_STATUS and pause_s:
                        send.note_pause(round(pause_s * 1_000))
                yield reply


def _make_address(target: EdgeTarget) -> Target:
    return Target(
        target.name, target.service, target.zone, target.host, target.port
    )


def _make_call(send: TargetSend) -> TargetCall:
    call = send.call
    deadline_ms = max(MIN_DEADLINE_MS, send.deadline_ms)
    headers = [
        *call.headers,
        (wire.ATTEMPT_ID, call.attempt),
        (wire.DEADLINE_MS, str(deadline_ms)),
        (wire.EXPECT_INSTANCE, send.target.name),
    ]
    if send.account:
        headers.append((wire.ACCOUNT, send.account))
    if send.last_event_id:
        headers.append((wire.LAST_EVENT_ID, send.last_event_id))
    return TargetCall(
        call.method,
        call.path,
        tuple(headers),
        call.body,
        deadline_ms,
        send.reuse_connection,
        _StartCheck(send.check, deadline_ms) if send.check else None,
    )


def _read_reply(answer: TargetAnswer, attempt: str) -> Reply:
    head = answer.head
    answered_attempts = list_header_values(head, wire.ATTEMPT_ID)
    if any(answered != attempt for answered in answered_attempts):
        # A late duplicate answer to an earlier request on this connection.
        return CallError(
            CallFailure.BROKEN, True, "the answer is for another attempt"
        )
    if not answered_attempts and head.is_reused_connection:
        # It may belong to any earlier request on this connection.
        return CallError(
            CallFailure.BROKEN, True, "the answer names no attempt"
        )
    if head.status == MISDIRECTED_STATUS:
        return Rejection.MISDIRECTED
    if find_header(head, wire.NOT_EXECUTED):
        return Rejection.UNAVAILABLE
    problem = _find_problem(head)
    if problem:
        return CallError(CallFailure.FOREIGN, True, problem)
    return PlatformTargetAnswer(answer)


def _is_from_target(reply: Reply) -> bool:
    """Tells whether the target that was meant has answered this request."""
    return not isinstance(reply, CallError) and (
        reply is not Rejection.MISDIRECTED
    )


def _parse_count(head: AnswerHead, name: str) -> float | None:
    """Returns a number that a header holds; None if it holds none in range."""
    try:
        count = float(find_header(head, name))
    except ValueError:
        return None
    return count if 0 <= count <= MAX_COUNT else None


def _find_problem(head: AnswerHead) -> str:
    """Returns why an answer does not come from the target, or ""."""
    if not head.has_final_status:
        return f"{head.status} is no status of an answer"
    if not find_header(head, wire.ATTEMPT_ID):
        return "the answer has no attempt ID"
    stamps = set(list_header_values(head, wire.SERVER_STAMP))
    if len(stamps) != 1 or "" in stamps:
        return f"the answer has {len(stamps - {''})} server stamps"
    if find_header(head, "content-encoding"):
        return "the answer has a content encoding that was not requested"
    return ""
