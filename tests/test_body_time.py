"""Tests of the time that the body of a request takes to arrive."""

import unittest
from typing import Any, cast

import anyio

from peridotbend.edge.relay import Relay
from peridotbend.platform import wire
from peridotbend.platform.ingress import EdgeApp
from tests.fedconnections import RecordingRelay

DEADLINE_MS = 5_000
PAUSE_MS = 200


class BodyTimeTest(unittest.TestCase):
    """Bodies that arrive slowly."""

    def test_time_of_the_body_is_taken_from_the_deadline(self) -> None:
        """Guards against targets that work on after the caller has left."""
        relay = RecordingRelay()
        app = EdgeApp(cast(Relay, relay), lambda: 100)
        messages = [
            {"type": "http.request", "body": b"a", "more_body": True},
            {"type": "http.request", "body": b"b", "more_body": False},
        ]

        async def receive() -> dict[str, Any]:
            if not messages:
                await anyio.sleep_forever()
            await anyio.sleep(PAUSE_MS / 1_000)
            return messages.pop(0)

        async def send(message: dict[str, Any]) -> None:
            del message

        scope = {
            "type": "http",
            "method": "POST",
            "raw_path": b"/a",
            "query_string": b"",
            "headers": [
                (b"host", b"x"),
                (wire.ATTEMPT_ID.encode(), b"a1"),
                (wire.DEADLINE_MS.encode(), str(DEADLINE_MS).encode()),
            ],
        }
        anyio.run(app, scope, receive, send)
        deadline_ms = relay.calls[0].deadline_ms
        assert deadline_ms is not None
        assert 0 < deadline_ms <= DEADLINE_MS - 2 * PAUSE_MS + 50, deadline_ms
