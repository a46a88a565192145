"""Checks of what callers send, before any of it is acted on."""

import json
import re

from peridotbend.adapters.exchanges import Exchange

MAX_KEY_CHARACTERS = 256
# Headers that mean something here; two of one kind contradict each other.
_SINGLE_HEADERS = frozenset(
    ("authorization", "idempotency-key", "peridotbend-deadline-ms")
)
# What HTTP allows in a request target and in the value of a header. A server
# parser accepts more, but a target's client refuses it after the dispatch.
_TARGET_FORM = re.compile(r"[\x21-\x7e]+")
_VALUE_FORM = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


def find_header_problem(exchange: Exchange) -> str | None:
    """Returns what is wrong with the headers or the path and what to do."""
    names = [name for name, _ in exchange.raw_headers]
    for name in _SINGLE_HEADERS:
        if names.count(name) > 1:
            return f"The header {name} was sent more than once; send it once."
    for name, value in exchange.raw_headers:
        if not _VALUE_FORM.fullmatch(value):
            return f"The header {name} has control characters; remove them."
    if len(exchange.headers.get("idempotency-key", "")) > MAX_KEY_CHARACTERS:
        return (
            f"Idempotency-Key has more than {MAX_KEY_CHARACTERS} characters;"
            " send a shorter one."
        )
    if not _TARGET_FORM.fullmatch(exchange.path_and_query):
        return "The path or query has characters outside ASCII; encode them."
    return None


def parse_reservation(body: bytes) -> tuple[str, str] | None:
    """Returns service and kind of a reservation, or None when it is bad."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(document, dict):
        return None
    service, kind = document.get("service"), document.get("kind")
    if isinstance(service, str) and isinstance(kind, str):
        return service, kind
    return None
