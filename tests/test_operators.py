"""Tests of the operator API."""

import asyncio
import dataclasses
import json
import unittest
from typing import Any

from peridotbend.adapters.operators import OperatorApp, OperatorHooks


class FakeNode:
    """Fake of the objects behind the operator hooks."""

    def __init__(self) -> None:
        self.ready = True
        self.drains = 0
        self.quarantine: list[dict[str, object]] = []

    def make_hooks(self) -> OperatorHooks:
        """Returns hooks that read and update this object."""
        return OperatorHooks(
            render_metrics=lambda: b"up 1\n",
            is_ready=lambda: self.ready,
            dump=lambda: {"body": b"abc", "zones": {"b", "a"}},
            status=lambda: {"name": "e1", "services": [{"name": "chat"}]},
            explain=lambda i: {"state": "queued"} if i == "a b" else None,
            list_quarantine=lambda: self.quarantine,
            start_drain=self._start_drain,
        )

    def _start_drain(self) -> None:
        self.drains += 1


@dataclasses.dataclass(frozen=True)
class Response:
    """The response as an ASGI server would send it."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded JSON body."""
        return json.loads(self.body)


def call(
    node: FakeNode,
    method: str,
    path: str,
    query: bytes = b"",
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> Response:
    """Calls the app as an ASGI server does."""
    sent: list[Any] = []

    async def send(message: Any) -> None:
        sent.append(message)

    async def receive() -> Any:
        return {"type": "http.request", "body": b"", "more_body": False}

    scope = {
        "type": "http", "method": method, "path": path,
        "query_string": query, "headers": headers,
    }  # fmt: skip
    asyncio.run(OperatorApp(node.make_hooks())(scope, receive, send))
    start, body = sent
    return Response(start["status"], dict(start["headers"]), body["body"])


class OperatorAppTest(unittest.TestCase):
    """Responses of the operator API."""

    def setUp(self) -> None:
        self.node = FakeNode()

    def test_metrics_are_plain_text(self) -> None:
        """Guards against a content type that Prometheus does not accept."""
        answer = call(self.node, "GET", "/metrics")
        assert answer.body == b"up 1\n"
        assert answer.headers[b"content-type"].startswith(b"text/plain")

    def test_readiness_differs_from_health(self) -> None:
        """Guards against load balancers that send to a draining process."""
        self.node.ready = False
        assert call(self.node, "GET", "/healthz").status == 200
        assert call(self.node, "GET", "/readyz").status == 503
        self.node.ready = True
        assert call(self.node, "GET", "/readyz").status == 200

    def test_state_is_json_without_bytes(self) -> None:
        """Guards against dumps that fail on, or contain, bodies of callers."""
        dump = call(self.node, "GET", "/v1/dump").json()
        assert dump == {"body": "[3 bytes]", "zones": ["a", "b"]}
        assert call(self.node, "GET", "/v1/status").json()["name"] == "e1"
        listed = call(self.node, "GET", "/v1/quarantine").json()
        assert listed == {"quarantine": []}

    def test_explain_needs_one_known_id(self) -> None:
        """Guards against explaining another request than the one asked for."""
        for query, status in (
            (b"id=a%20b", 200), (b"id=x", 404), (b"", 400), (b"id=", 400),
            (b"id=a&id=b", 400), (b"id=" + b"a" * 600, 400), (b"\xff", 400),
            (b"a=1&" * 20 + b"id=x", 400),
        ):  # fmt: skip
            answer = call(self.node, "GET", "/v1/explain", query)
            assert answer.status == status, query
            assert ("error" in answer.json()) == (status != 200), query

    def test_drain_is_a_post_that_no_web_page_can_send(self) -> None:
        """Guards against a drain started by a link, a crawler or a web page."""
        assert call(self.node, "GET", "/v1/drain").status == 405
        origin = ((b"origin", b"http://evil"),)
        refused = call(self.node, "POST", "/v1/drain", headers=origin)
        assert refused.status == 403
        assert self.node.drains == 0
        assert call(self.node, "POST", "/v1/drain").status == 202
        assert self.node.drains == 1

    def test_wrong_paths_and_methods(self) -> None:
        """Guards against errors that do not name the valid paths or methods."""
        unknown = call(self.node, "GET", "/v1/stats")
        assert unknown.status == 404
        assert "/v1/status" in unknown.json()["error"]["message"]
        wrong = call(self.node, "PUT", "/v1/dump")
        assert (wrong.status, wrong.headers[b"allow"]) == (405, b"GET, HEAD")

    def test_head_has_no_body(self) -> None:
        """Guards against bodies that break the framing of HEAD responses."""
        answer = call(self.node, "HEAD", "/healthz")
        assert (answer.status, answer.body) == (200, b"")
        assert int(answer.headers[b"content-length"]) > 0
