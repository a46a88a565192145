"""Conversions between peer messages and domain types."""

import ipaddress
import re
from collections.abc import Iterable

from peridotbend.domain import ports, verdicts
from peridotbend.domain.ports import RecordState
from peridotbend.wire import peer_pb2 as pb

_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_FIELD_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_REQUEST_TARGET = re.compile(r"[\x21-\x7e\x80-\xff]*")


def split_address(text: str) -> tuple[str, int] | None:
    """Splits `ip:port`; returns None if the text has another form.

    Connecting to a name can raise more than the errors of a connection, and so
    can one to an address with a scope, which is that of another machine.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    if "%" in host or not port.isascii() or len(port) > 5:
        return None
    if not port.isdigit() or not 0 < int(port) < 65_536:
        return None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    return host, int(port)


def pack_headers(headers: ports.Headers) -> list[pb.Header]:
    """Converts headers to messages."""
    return [pb.Header(name=name, value=value) for name, value in headers]


def unpack_headers(headers: Iterable[pb.Header]) -> ports.Headers:
    """Converts messages to headers.

    Raises:
        ValueError: HTTP cannot carry one of them.
    """
    unpacked = tuple((h.name, h.value) for h in headers)
    for name, value in unpacked:
        if not _TOKEN.fullmatch(name) or not _FIELD_VALUE.fullmatch(value):
            raise ValueError(f"malformed header {name[:60]!r}")
    return unpacked


def pack_call(call: ports.PeerCall) -> pb.ForwardCall:
    """Converts a forwarded call to a message."""
    return pb.ForwardCall(
        request_id=call.request_id,
        account=call.account,
        may_start=call.may_start,
        method=call.method,
        path=call.path,
        headers=pack_headers(call.headers),
        body=call.body,
        offset=call.offset,
        deadline_ms=clamp_ms(call.deadline_ms),
    )


def unpack_call(message: pb.ForwardCall) -> ports.PeerCall:
    """Converts a message to a forwarded call.

    Raises:
        ValueError: HTTP cannot carry it.
    """
    _check_request_line(message.method, message.path)
    return ports.PeerCall(
        request_id=message.request_id,
        account=message.account,
        may_start=message.may_start,
        method=message.method,
        path=message.path,
        headers=unpack_headers(message.headers),
        body=message.body,
        offset=max(0, message.offset),
        deadline_ms=message.deadline_ms,
    )


def pack_verdict(verdict: verdicts.Verdict) -> pb.VerdictMessage:
    """Converts a verdict to a message."""
    if isinstance(verdict, verdicts.Completed):
        return pb.VerdictMessage(
            kind=pb.VerdictMessage.COMPLETED, reason=verdict.reason or ""
        )
    kind = pb.VerdictMessage.MAY_HAVE_RUN
    if isinstance(verdict, verdicts.NotRun):
        kind = pb.VerdictMessage.NOT_RUN
    return pb.VerdictMessage(
        kind=kind,
        reason=verdict.reason.value,
        retry_after_ms=clamp_ms(verdict.retry_after_ms),
    )


def unpack_verdict(message: pb.VerdictMessage) -> verdicts.Verdict:
    """Converts a message to a verdict.

    Raises:
        ValueError: the kind or the reason is unknown.
    """
    if message.kind == pb.VerdictMessage.COMPLETED and not message.reason:
        return verdicts.Completed()
    reason = verdicts.Reason(message.reason)
    if message.kind == pb.VerdictMessage.COMPLETED:
        return verdicts.Completed(reason)
    if message.kind == pb.VerdictMessage.NOT_RUN:
        return verdicts.NotRun(reason, message.retry_after_ms)
    if message.kind == pb.VerdictMessage.MAY_HAVE_RUN:
        return verdicts.MayHaveRun(reason, message.retry_after_ms)
    raise ValueError(f"unknown verdict kind {message.kind}")


def pack_head(head: ports.AnswerHead) -> pb.AnswerHead:
    """Converts the head of an answer to a message."""
    return pb.AnswerHead(status=head.status, headers=pack_headers(head.headers))


def unpack_head(message: pb.AnswerHead) -> ports.AnswerHead:
    """Converts a message to the head of an answer.

    Raises:
        ValueError: HTTP cannot carry it.
    """
    if not 100 <= message.status <= 999:
        raise ValueError(f"malformed status {message.status}")
    return ports.AnswerHead(message.status, unpack_headers(message.headers))


def unpack_chunk(message: pb.AnswerChunk) -> ports.AnswerPart:
    """Converts a message to a part of an answer.

    Raises:
        ValueError: the verdict is unknown, or HTTP cannot carry the head.
    """
    return ports.AnswerPart(
        head=unpack_head(message.head) if message.HasField("head") else None,
        data=message.data,
        verdict=(
            unpack_verdict(message.verdict)
            if message.HasField("verdict")
            else None
        ),
    )


_MESSAGE_STATES = {
    RecordState.RESERVED: pb.HandedRecord.RESERVED,
    RecordState.QUEUED: pb.HandedRecord.QUEUED,
    RecordState.COMPLETED: pb.HandedRecord.COMPLETED,
    RecordState.NOT_RUN: pb.HandedRecord.NOT_RUN,
    RecordState.MAY_HAVE_RUN: pb.HandedRecord.MAY_HAVE_RUN,
}
_RECORD_STATES = {value: state for state, value in _MESSAGE_STATES.items()}


def pack_record(record: ports.HandedRecord) -> pb.HandedRecord:
    """Converts a record to a message.

    Raises:
        KeyError: the record is dispatched or already handed over; such records
            stay with their process.
    """
    return pb.HandedRecord(
        request_id=record.request_id,
        account=record.account,
        service=record.service,
        kind=record.kind,
        state=_MESSAGE_STATES[record.state],
        remaining_ms=clamp_ms(record.remaining_ms),
        method=record.method,
        path=record.path,
        headers=pack_headers(record.headers),
        body=record.body,
        deadline_remaining_ms=clamp_ms(record.deadline_remaining_ms),
        head=pack_head(record.head) if record.head else None,
        answer=record.answer,
        verdict=pack_verdict(record.verdict) if record.verdict else None,
    )


def unpack_record(message: pb.HandedRecord) -> ports.HandedRecord:
    """Converts a message to a record.

    Raises:
        ValueError: the verdict is unknown, or HTTP cannot carry its call or
            head.
        KeyError: the state is unknown.
    """
    _check_request_line(message.method, message.path)
    return ports.HandedRecord(
        request_id=message.request_id,
        account=message.account,
        service=message.service,
        kind=message.kind,
        state=_RECORD_STATES[message.state],
        remaining_ms=message.remaining_ms,
        method=message.method,
        path=message.path,
        headers=unpack_headers(message.headers),
        body=message.body,
        deadline_remaining_ms=message.deadline_remaining_ms,
        head=unpack_head(message.head) if message.HasField("head") else None,
        answer=message.answer,
        verdict=(
            unpack_verdict(message.verdict)
            if message.HasField("verdict")
            else None
        ),
    )


def _check_request_line(method: str, path: str) -> None:
    # Both are empty in a fetch, and in a record that was not started.
    if method and not _TOKEN.fullmatch(method):
        raise ValueError(f"malformed method {method[:60]!r}")
    if not _REQUEST_TARGET.fullmatch(path):
        raise ValueError(f"malformed path {path[:60]!r}")


def clamp_ms(ms: int) -> int:
    """Limits a duration to the range of an unsigned 32-bit message field."""
    return max(0, min(ms, 2**32 - 1))
