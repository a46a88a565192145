"""HTTP server, routing and call handling shared by all stand-in programs."""

import asyncio
import dataclasses
import json
import socket
import urllib.parse
from collections.abc import (
    Awaitable,
    Callable,
    Coroutine,
    Mapping,
    MutableMapping,
)
from typing import Any

import anyio
import click
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

HOST = "127.0.0.1"
TRANSPORT_KEY = "peridotbend.transport"
MAX_BODY_BYTES = 64 * 1024 * 1024

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


class CallError(Exception):
    """An error that is sent to the client with an HTTP error status."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class ClientGoneError(Exception):
    """The connection was closed before the whole body arrived."""


@dataclasses.dataclass(slots=True)
class Call:
    """An HTTP request and the methods to respond to it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    # The part of the path that the `*` at the end of the route matched.
    path_tail: str
    transport: asyncio.Transport
    receive: Receive
    send: Send

    def query_int(self, name: str, default: int) -> int:
        """Returns an integer parameter of the query string."""
        try:
            return int(self.query.get(name, default))
        except ValueError:
            raise CallError(400, f"{name} is not an integer") from None

    def json(self) -> dict[str, Any]:
        """Returns the body as a JSON object."""
        try:
            value = json.loads(self.body)
        except ValueError:
            raise CallError(400, "the body is not JSON") from None
        if not isinstance(value, dict):
            raise CallError(400, "the body is not a JSON object")
        return value

    def json_int(self, name: str, default: int) -> int:
        """Returns an integer field of the JSON body."""
        value = self.json().get(name, default)
        if not isinstance(value, int):
            raise CallError(400, f"{name} is not an integer")
        return value

    async def start_response(
        self, status: int, headers: dict[str, str]
    ) -> None:
        """Sends the status and the headers of the response."""
        pairs = [
            (k.lower().encode(), v.encode("latin-1"))
            for k, v in headers.items()
        ]
        await self.send(
            {"type": "http.response.start", "status": status, "headers": pairs}
        )

    async def write(self, data: bytes, more_body: bool = True) -> None:
        """Sends a part of the body; `more_body=False` marks the last one."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": more_body}
        )

    async def reply(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Sends a complete response."""
        merged_headers = dict(headers or {})
        if status not in (204, 304):
            merged_headers["content-length"] = str(len(body))
        await self.start_response(status, merged_headers)
        await self.write(body, more_body=False)

    async def reply_json(
        self, status: int, value: object, headers: dict[str, str] | None = None
    ) -> None:
        """Sends a complete JSON response."""
        merged_headers = {"content-type": "application/json", **(headers or {})}
        await self.reply(status, json.dumps(value).encode(), merged_headers)

    def abort_connection(self) -> None:
        """Closes the connection at once and discards unsent data."""
        self.transport.abort()

    def close_connection(self) -> None:
        """Closes the connection once all buffered data is written."""
        self.transport.close()

    async def wait_disconnect(self) -> None:
        """Returns when the client has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


Handler = Callable[[Call], Awaitable[None]]


class App:
    """ASGI application that selects a handler by method and path."""

    def __init__(self) -> None:
        self._exact_routes: dict[tuple[str, str], Handler] = {}
        self._prefix_routes: list[tuple[str, str, Handler]] = []
        # Called when the head of a request has arrived, before its body.
        self.on_request_head: Callable[[Call], None] = lambda call: None

    def route(self, method: str, path: str, handler: Handler) -> None:
        """Adds a handler; a path that ends in `*` matches as a prefix."""
        if path.endswith("*"):
            self._prefix_routes.append((method, path[:-1], handler))
        else:
            self._exact_routes[method, path] = handler

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one call."""
        if scope["type"] != "http":
            return
        handler, path_tail = self._find_handler(scope["method"], scope["path"])
        call = _make_call(scope, path_tail, receive, send)
        self.on_request_head(call)
        try:
            call.body = await _read_body(receive)
            await handler(call)
        except CallError as error:
            await call.reply_json(error.status, {"error": str(error)})
        except ClientGoneError:
            call.abort_connection()

    def _find_handler(self, method: str, path: str) -> tuple[Handler, str]:
        handler = self._exact_routes.get((method, path))
        if handler is not None:
            return handler, ""
        for route_method, prefix, candidate in self._prefix_routes:
            if method == route_method and path.startswith(prefix):
                return candidate, path[len(prefix) :]
        return _reject_unknown_route, ""


async def _reject_unknown_route(call: Call) -> None:
    raise CallError(404, f"no route for {call.method} {call.path}")


def _make_call(
    scope: Scope, path_tail: str, receive: Receive, send: Send
) -> Call:
    query = urllib.parse.parse_qsl(scope["query_string"].decode("latin-1"))
    return Call(
        method=scope["method"],
        path=scope["path"],
        query=dict(query),
        headers={
            k.decode("latin-1").lower(): v.decode("latin-1")
            for k, v in scope["headers"]
        },
        body=b"",
        path_tail=path_tail,
        transport=scope["extensions"][TRANSPORT_KEY],
        receive=receive,
        send=send,
    )


async def _read_body(receive: Receive) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientGoneError
        body += message.get("body", b"")
        if len(body) > MAX_BODY_BYTES:
            raise CallError(413, "the body is too large")
        if not message.get("more_body", False):
            return bytes(body)


class _Protocol(HttpToolsProtocol):
    """HTTP protocol that passes its transport to the application.

    ASGI cannot drop a connection before the head of the response: if a handler
    raises or returns early, the server sends a 500 instead.
    """

    def on_message_begin(self) -> None:
        super().on_message_begin()
        extensions: dict[str, Any] = {TRANSPORT_KEY: self.transport}
        self.scope["extensions"] = extensions


class _Server(uvicorn.Server):
    """Server that prints one line of JSON once it listens."""

    def __init__(self, config: uvicorn.Config, ready_info: Mapping[str, str]):
        super().__init__(config)
        self._ready_info = ready_info

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        port = self.servers[0].sockets[0].getsockname()[1]
        ready = {"ready": True, "port": port, **self._ready_info}
        print(json.dumps(ready), flush=True)


async def serve(
    app: App,
    port: int,
    ready_info: Mapping[str, str],
    background: Callable[[], Coroutine[Any, Any, None]] | None = None,
) -> None:
    """Serves on loopback until SIGTERM, with an optional background task.

    Args:
        app: Handles the requests.
        port: The port; 0 lets the kernel choose one.
        ready_info: Extra fields of the JSON line that announces readiness.
        background: A task that is cancelled when the server stops.
    """
    config = uvicorn.Config(
        app,
        host=HOST,
        port=port,
        loop="asyncio",
        http=_Protocol,
        ws="none",
        lifespan="off",
        access_log=False,
        # Connections are dropped on purpose here and need no log line.
        log_level="critical",
        timeout_graceful_shutdown=1,
    )
    async with anyio.create_task_group() as tasks:
        if background is not None:
            tasks.start_soon(background)
        await _Server(config, ready_info).serve()
        tasks.cancel_scope.cancel()


def common_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the command-line options shared by all stand-ins."""
    for option in (
        click.option("--zone", default="z1", help="Availability zone."),
        click.option("--name", default="", help="Name of the instance."),
        click.option("--port", default=0, help="0 lets the kernel choose."),
    ):
        command = option(command)
    return command
