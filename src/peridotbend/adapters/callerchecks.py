"""Validation of callers' headers and reservations."""

import json

from peridotbend.adapters.exchanges import Exchange

MAX_KEY_CHARACTERS = 256
# Headers that this process interprets; repeated values could contradict.
_UNREPEATABLE_HEADERS = frozenset(
    ("authorization", "idempotency-key", "peridotbend-deadline-ms")
)


def find_header_problem(exchange: Exchange) -> str | None:
    """Returns what is wrong with the headers and how to correct it, or None.

    Characters are not checked here: the server's parser refuses every
    character that the client for targets refuses.
    """
    names = [name for name, _ in exchange.raw_headers]
    for name in _UNREPEATABLE_HEADERS:
        if names.count(name) > 1:
            return f"The header {name} was sent more than once; send it once."
    if len(exchange.headers.get("idempotency-key", "")) > MAX_KEY_CHARACTERS:
        return (
            f"Idempotency-Key has more than {MAX_KEY_CHARACTERS} characters;"
            " send a shorter one."
        )
    return None


def parse_reservation(body: bytes) -> tuple[str, str] | None:
    """Returns service and kind of a reservation, or None if it is invalid."""
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
