"""ASGI application for operators: metrics, health, state and drain."""

import dataclasses
import json
import urllib.parse
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from peridotbend.adapters.asgi import respond
from peridotbend.adapters.metrics import CONTENT_TYPE

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

JSON_TYPE = "application/json"
MAX_ID_LENGTH = 512


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorHooks:
    """Callbacks of the application; none of them blocks.

    The dictionaries contain values that can be encoded as JSON. No hook
    returns bodies, answers or credentials.
    """

    render_metrics: Callable[[], bytes]
    # True while new requests are accepted: a configuration text is in force and
    # no drain has started.
    is_ready: Callable[[], bool]
    dump: Callable[[], dict[str, object]]
    # Scalars, and lists of flat mappings, which are shown as tables.
    status: Callable[[], dict[str, object]]
    # What is known about a request ID, or about a prefix of 8 characters; None
    # if there is no record.
    explain: Callable[[str], dict[str, object] | None]
    list_quarantine: Callable[[], list[dict[str, object]]]
    # Starts a graceful shutdown and returns at once; repeated calls are safe.
    start_drain: Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    status: int
    content: bytes
    content_type: str = JSON_TYPE
    allow: str = ""


class OperatorApp:
    """ASGI application for operators, meant for a loopback address."""

    def __init__(self, hooks: OperatorHooks):
        self._hooks = hooks
        self._routes: dict[str, tuple[str, Callable[[Scope], _Response]]] = {
            "/metrics": ("GET", self._handle_metrics),
            "/healthz": ("GET", self._handle_health),
            "/readyz": ("GET", self._handle_readiness),
            "/v1/dump": ("GET", self._handle_dump),
            "/v1/status": ("GET", self._handle_status),
            "/v1/explain": ("GET", self._handle_explain),
            "/v1/quarantine": ("GET", self._handle_quarantine),
            "/v1/drain": ("POST", self._handle_drain),
        }

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one HTTP request or the lifespan protocol."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        assert scope["type"] == "http", "the server offers HTTP only"
        response = self._route(scope)
        await _send_response(send, response, scope["method"] == "HEAD")

    def _route(self, scope: Scope) -> _Response:
        route = self._routes.get(scope["path"])
        if route is None:
            known = ", ".join(self._routes)
            return _make_error(404, "unknown-path", f"use one of: {known}")
        method, handler = route
        allowed = ("GET", "HEAD") if method == "GET" else (method,)
        if scope["method"] not in allowed:
            message = f"call {scope['path']} with {method}"
            error = _make_error(405, "wrong-method", message)
            return dataclasses.replace(error, allow=", ".join(allowed))
        return handler(scope)

    def _handle_metrics(self, _: Scope) -> _Response:
        return _Response(200, self._hooks.render_metrics(), CONTENT_TYPE)

    def _handle_health(self, _: Scope) -> _Response:
        return _make_json(200, {"healthy": True})

    def _handle_readiness(self, _: Scope) -> _Response:
        ready = self._hooks.is_ready()
        return _make_json(200 if ready else 503, {"ready": ready})

    def _handle_dump(self, _: Scope) -> _Response:
        return _make_json(200, self._hooks.dump())

    def _handle_status(self, _: Scope) -> _Response:
        return _make_json(200, self._hooks.status())

    def _handle_explain(self, scope: Scope) -> _Response:
        query = scope["query_string"].decode("ascii", "replace")
        try:
            fields = urllib.parse.parse_qs(query, max_num_fields=8)
        except ValueError:
            fields = {}
        values = fields.get("id", [])
        if len(values) != 1 or len(values[0]) > MAX_ID_LENGTH:
            return _make_error(400, "bad-input", "pass one request ID as ?id=")
        explanation = self._hooks.explain(values[0])
        if explanation is None:
            return _make_error(
                404,
                "unknown-request",
                "this instance has no record of the request; ask the instance "
                "that minted its ID, or the ID has expired",
            )
        return _make_json(200, explanation)

    def _handle_quarantine(self, _: Scope) -> _Response:
        return _make_json(200, {"quarantine": self._hooks.list_quarantine()})

    def _handle_drain(self, scope: Scope) -> _Response:
        # Browsers send Origin; a web page must not be able to start a drain.
        if any(name == b"origin" for name, _ in scope["headers"]):
            return _make_error(403, "from-browser", "use `peridotbend drain`")
        self._hooks.start_drain()
        return _make_json(202, {"draining": True})


def _make_error(status: int, code: str, message: str) -> _Response:
    return _make_json(status, {"error": {"code": code, "message": message}})


def _make_json(status: int, value: object) -> _Response:
    encoded = json.dumps(value, default=_encode_default) + "\n"
    return _Response(status, encoded.encode())


def _encode_default(value: object) -> object:
    if isinstance(value, bytes):
        return f"[{len(value)} bytes]"
    if isinstance(value, set | frozenset):
        return sorted(value, key=str)
    return str(value)


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _send_response(
    send: Send, response: _Response, head_only: bool
) -> None:
    headers = [
        (b"content-type", response.content_type.encode()),
        (b"content-length", str(len(response.content)).encode()),
        (b"cache-control", b"no-store"),
    ]
    if response.allow:
        headers.append((b"allow", response.allow.encode()))
    content = b"" if head_only else response.content
    await respond(send, response.status, headers, content)
