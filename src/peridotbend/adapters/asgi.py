"""Helpers shared by the small ASGI applications."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

# In the state of a request whose target ends with an empty query.
EMPTY_QUERY = "empty_query"


async def respond(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], content: bytes
) -> None:
    """Sends a complete response; the headers must include its length."""
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": content})


def find_target(scope: Mapping[str, Any]) -> str:
    """Returns path and query as the caller sent them."""
    path: bytes = scope.get("raw_path") or scope["path"].encode()
    query: bytes = scope["query_string"]
    # ASGI has no other sign of a query that is there, but empty.
    if query or scope.get("state", {}).get(EMPTY_QUERY):
        path = path + b"?" + query
    return path.decode("latin-1")


def find_connection_options(headers: Iterable[tuple[str, str]]) -> set[str]:
    """Returns the names of the headers that concern only the connection."""
    return {
        part.strip().lower()
        for name, value in headers
        if name == "connection"
        for part in value.split(",")
    }
