"""Answers to callers of HTTP/1.0, which knows no chunks (RFC 9112, 6.1)."""

import asyncio
import socket
import struct
from collections.abc import MutableMapping
from typing import Any

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from peridotbend.adapters.asgi import Receive, Send

_STATUSES_WITHOUT_BODY = frozenset((204, 304))
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CloseDelimitedApp:
    """ASGI application whose answers without a length end by closing.

    uvicorn sends such answers in chunks, whichever version the caller speaks.
    """

    def __init__(self, app: Any, cycle: RequestResponseCycle):
        self._app = app
        self._cycle = cycle
        self._is_close_delimited = False

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serves one request."""

        async def send_unchunked(message: dict[str, Any]) -> None:
            self._prepare(message)
            await send(message)

        try:
            await self._app(scope, receive, send_unchunked)
        finally:
            if self._is_close_delimited and not self._cycle.response_complete:
                # An orderly close would make a part look like the whole.
                _reset(self._cycle.transport)

    def _prepare(self, message: MutableMapping[str, Any]) -> None:
        cycle = self._cycle
        if message["type"] == "http.response.start":
            if self._needs_close(message):
                self._is_close_delimited = True
                cycle.chunked_encoding = False
        elif self._is_close_delimited:
            # uvicorn refuses what exceeds the rest of the announced length.
            cycle.expected_content_length = len(message.get("body", b""))

    def _needs_close(self, start: MutableMapping[str, Any]) -> bool:
        names = [name.lower() for name, _ in start.get("headers", ())]
        return (
            b"content-length" not in names
            and self._cycle.scope["method"] != "HEAD"
            and start["status"] not in _STATUSES_WITHOUT_BODY
        )


def _reset(transport: asyncio.Transport) -> None:
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
    )
    transport.abort()
