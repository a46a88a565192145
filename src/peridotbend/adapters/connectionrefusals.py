"""Responses that a connection sends in place of the application."""

import json

from peridotbend.domain.verdicts import Verdict

# Requests that hold the memory are answered or given up within about this time.
MEMORY_RETRY_MS = 1_000
_REASON_PHRASES = {
    400: "Bad Request",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


def make_refusal(status: int, verdict: Verdict, message: str) -> bytes:
    """Returns a whole response that closes the connection."""
    assert verdict.reason is not None
    retry_after_ms = MEMORY_RETRY_MS if status == 503 else 0
    retry_line = f"retry-after: {retry_after_ms / 1_000:.3f}\r\n"
    error = {
        "code": verdict.reason.value,
        "message": message,
        "verdict": verdict.label,
        "request": None,
        "retry_after_ms": retry_after_ms,
    }
    body = json.dumps({"error": error}).encode()
    head = (
        f"HTTP/1.1 {status} {_REASON_PHRASES[status]}\r\n"
        f"peridotbend-verdict: {verdict.label}\r\n"
        f"{retry_line if retry_after_ms else ''}"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body
