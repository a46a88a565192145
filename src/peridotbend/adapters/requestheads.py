"""Heads of callers' messages, as far as httptools leaves them open."""

from collections.abc import Iterable

_OFFER = b"upgrade"


def find_problem(method: bytes) -> str | None:
    """Returns why a message is refused, or None."""
    if method == b"CONNECT":
        # What follows such a head belongs to a tunnel.
        return "This is no proxy; send a request instead of CONNECT."
    return None


def encode_without_offer(
    method: bytes,
    target: bytes,
    version: str,
    headers: Iterable[tuple[bytes, bytes]],
) -> bytes:
    """Returns a head without its offer to switch to another protocol."""
    lines = [b"%s %s HTTP/%s" % (method, target, version.encode())]
    lines += [b"%s: %s" % h for h in headers if h[0].lower() != _OFFER]
    return b"\r\n".join((*lines, b"", b""))
