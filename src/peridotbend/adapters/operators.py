"""ASGI app for operators: metrics, health, state and drain."""

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
    """What the app calls; none of them blocks.

    The dictionaries hold values that JSON can carry. No hook returns bodies,
    answers or credentials.
    """

    render_metrics: Callable[[], bytes]
    # True while new requests are accepted: a text is in force, no drain.
    is_ready: Callable[[], bool]
    dump: Callable[[], dict[str, object]]
    # Plain values, and lists of flat mappings that are shown as tables.
    status: Callable[[], dict[str, object]]
    # What is known about a request ID or its first 8 characters, or None.
    explain: Callable[[str], dict[str, object] | None]
    list_quarantine: Callable[[], list[dict[str, object]]]
    # Starts a graceful shutdown and returns at once; repeated calls are safe.
    start_drain: Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    content: bytes
    content_type: str = JSON_TYPE
    allow: str = ""


class OperatorApp:
    """ASGI app for operators; it is meant for a loopback address."""

    def __init__(self, hooks: OperatorHooks):
        self._hooks = hooks
        self._routes: dict[str, tuple[str, Callable[[Scope], _Answer]]] = {
            "/metrics": ("GET", self._answer_metrics),
            "/healthz": ("GET", self._answer_health),
            "/readyz": ("GET", self._answer_readiness),
            "/v1/dump": ("GET", self._answer_dump),
            "/v1/status": ("GET", self._answer_status),
            "/v1/explain": ("GET", self._answer_explain),
            "/v1/quarantine": ("GET", self._answer_quarantine),
            "/v1/drain": ("POST", self._answer_drain),
        }

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one connection event of the ASGI server."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        assert scope["type"] == "http", "the server offers HTTP only"
        answer = self._route(scope)
        await _send_answer(send, answer, scope["method"] == "HEAD")

    def _route(self, scope: Scope) -> _Answer:
        route = self._routes.get(scope["path"])
        if route is None:
            known = ", ".join(self._routes)
            return _refuse(404, "unknown-path", f"use one of: {known}")
        method, handler = route
        allowed = ("GET", "HEAD") if method == "GET" else (method,)
        if scope["method"] not in allowed:
            message = f"call {scope['path']} with {method}"
            refusal = _refuse(405, "wrong-method", message)
            return dataclasses.replace(refusal, allow=", ".join(allowed))
        return handler(scope)

    def _answer_metrics(self, _: Scope) -> _Answer:
        return _Answer(200, self._hooks.render_metrics(), CONTENT_TYPE)

    def _answer_health(self, _: Scope) -> _Answer:
        return _write_json(200, {"healthy": True})

    def _answer_readiness(self, _: Scope) -> _Answer:
        ready = self._hooks.is_ready()
        return _write_json(200 if ready else 503, {"ready": ready})

    def _answer_dump(self, _: Scope) -> _Answer:
        return _write_json(200, self._hooks.dump())

    def _answer_status(self, _: Scope) -> _Answer:
        return _write_json(200, self._hooks.status())

    def _answer_explain(self, scope: Scope) -> _Answer:
        query = scope["query_string"].decode("ascii", "replace")
        try:
            fields = urllib.parse.parse_qs(query, max_num_fields=8)
        except ValueError:
            fields = {}
        values = fields.get("id", [])
        if len(values) != 1 or len(values[0]) > MAX_ID_LENGTH:
            return _refuse(400, "bad-input", "pass one request ID as ?id=")
        found = self._hooks.explain(values[0])
        if found is None:
            return _refuse(
                404,
                "unknown-request",
                "this instance has no record of the request; ask the instance "
                "that minted its ID, or the ID has expired",
            )
        return _write_json(200, found)

    def _answer_quarantine(self, _: Scope) -> _Answer:
        return _write_json(200, {"quarantine": self._hooks.list_quarantine()})

    def _answer_drain(self, scope: Scope) -> _Answer:
        # Browsers send Origin; a web page must not be able to drain.
        if any(name == b"origin" for name, _ in scope["headers"]):
            return _refuse(403, "from-browser", "use `peridotbend drain`")
        self._hooks.start_drain()
        return _write_json(202, {"draining": True})


def _refuse(status: int, code: str, message: str) -> _Answer:
    return _write_json(status, {"error": {"code": code, "message": message}})


def _write_json(status: int, value: object) -> _Answer:
    encoded = json.dumps(value, default=_encode_other) + "\n"
    return _Answer(status, encoded.encode())


def _encode_other(value: object) -> object:
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


async def _send_answer(send: Send, answer: _Answer, head_only: bool) -> None:
    headers = [
        (b"content-type", answer.content_type.encode()),
        (b"content-length", str(len(answer.content)).encode()),
        (b"cache-control", b"no-store"),
    ]
    if answer.allow:
        headers.append((b"allow", answer.allow.encode()))
    content = b"" if head_only else answer.content
    await respond(send, answer.status, headers, content)
