"""Heads and verdicts of answers as callers get them."""

import json

from peridotbend.domain.ports import AnswerHead
from peridotbend.domain.verdicts import Verdict

VERDICT_EVENT = "peridotbend-verdict"
# Headers of a target that are not passed to a caller; this process writes
# its own in their place.
_OWN_ANSWER_HEADERS = frozenset(
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
    """Returns the status to send; 502 for one that HTTP does not have."""
    return head.status if 200 <= head.status <= 599 else 502


def list_headers(head: AnswerHead, token: str) -> list[tuple[str, str]]:
    """Returns the headers of an answer and the ID of its request."""
    kept = [
        (name, value)
        for name, value in head.headers
        if name.lower() not in _OWN_ANSWER_HEADERS
    ]
    return [*kept, ("Peridotbend-Request", token)]


def list_stream_headers(head: AnswerHead, token: str) -> list[tuple[str, str]]:
    """Returns the headers of a stream, whose verdict comes at its end."""
    return [*list_headers(head, token), ("Cache-Control", "no-store")]


def format_verdict_event(verdict: Verdict) -> bytes:
    """Returns the last event of a stream."""
    document = {
        "verdict": verdict.label,
        "code": verdict.reason.value if verdict.reason else "ok",
    }
    return f"event: {VERDICT_EVENT}\ndata: {json.dumps(document)}\n\n".encode()
