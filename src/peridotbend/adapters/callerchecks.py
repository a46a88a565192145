"""Checks of what callers send, before any of it is acted on."""

import json

from peridotbend.adapters.exchanges import Exchange

MAX_KEY_CHARACTERS = 256
# Headers that mean something here; two of one kind contradict each other.
_SINGLE_HEADERS = frozenset(
    ("authorization", "idempotency-key", "peridotbend-deadline-ms")
)


def find_header_problem(exchange: Exchange) -> str | None:
    """Returns what is wrong with the headers and what to do.

    The server's parser refuses all characters that targets' clients refuse.
    """
    names = [name for name, _ in exchange.raw_headers]
    for name in _SINGLE_HEADERS:
        if names.count(name) > 1:
            return f"The header {name} was sent more than once; send it once."
    if len(exchange.headers.get("idempotency-key", "")) > MAX_KEY_CHARACTERS:
        return (
            f"Idempotency-Key has more than {MAX_KEY_CHARACTERS} characters;"
            " send a shorter one."
        )
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
