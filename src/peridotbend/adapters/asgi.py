"""Helpers shared by the small ASGI applications."""

from collections.abc import Awaitable, Callable
from typing import Any

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


async def respond(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], content: bytes
) -> None:
    """Sends a complete response; the headers must include its length."""
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": content})
