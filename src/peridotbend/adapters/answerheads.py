"""Response headers and verdict events that are sent to callers."""

import json

from peridotbend.domain.ports import AnswerHead
from peridotbend.domain.verdicts import Verdict

VERDICT_EVENT = "peridotbend-verdict"
# Headers of a target that are not passed to a caller; this process sets its
# own instead.
_REPLACED_HEADERS = frozenset(
    {
        "content-length",
        "date",
        "engine-stream",
        "peridotbend-request",
        "peridotbend-verdict",
        "server",
        "transfer-encoding",
    }
)


def find_status(head: AnswerHead) -> int:
    """Returns the status to send; 502 if the target's is not valid in HTTP."""
    return head.status if head.has_final_status else 502


def list_headers(head: AnswerHead, request_id: str) -> list[tuple[str, str]]:
    """Returns the headers of an answer, with the request ID."""
    passed_on = [
        (name, value)
        for name, value in head.headers
        if name.lower() not in _REPLACED_HEADERS
    ]
    return [*passed_on, ("Peridotbend-Request", request_id)]


def list_stream_headers(
    head: AnswerHead, request_id: str
) -> list[tuple[str, str]]:
    """Returns the headers of an event stream.

    The verdict is not among them; it follows as the last event.
    """
    return [*list_headers(head, request_id), ("Cache-Control", "no-store")]


def format_verdict_event(verdict: Verdict) -> bytes:
    """Returns the event that ends a stream and carries the verdict."""
    document = {
        "verdict": verdict.label,
        "code": verdict.reason.value if verdict.reason else "ok",
    }
    return f"event: {VERDICT_EVENT}\ndata: {json.dumps(document)}\n\n".encode()
