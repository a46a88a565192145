"""Tests of the product's own interface while an instance reaches no target."""

import unittest

import anyio
import httpcore

from peridotbend.daemon import BACKEND_OPTIONS
from peridotbend.domain.paths import Endpoint
from tests.edgenode import (
    TEST_TIMEOUT_S,
    EntryNode,
    encode_chat_body,
    start_entry_pair,
)

REQUESTS = 10


class CutLinks:
    """Links over which no connection succeeds."""

    def allows_reuse(self, target: Endpoint) -> bool:
        """Tells that connections may be kept."""
        return True

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        """Fails as if nothing was listening."""
        raise httpcore.ConnectError("cut") from ConnectionRefusedError()


class LostLinksTest(unittest.TestCase):
    """An instance that reaches its callers and a peer, but no target."""

    def test_peer_connects_to_the_targets(self) -> None:
        """Guards against refusing what another instance could serve."""
        statuses: list[int] = []

        async def call_all(entry: EntryNode) -> None:
            order = await entry.reserve()
            reply = await entry.call(
                "POST", "/v1/orders", b"{}", f"Idempotency-Key: {order}"
            )
            statuses.append(reply.status)
            for is_stream in (False, True):
                for _ in range(REQUESTS):
                    body = encode_chat_body(is_stream)
                    reply = await entry.call(
                        "POST", "/v1/chat/completions", body
                    )
                    statuses.append(reply.status)

        async def run() -> None:
            with anyio.fail_after(TEST_TIMEOUT_S):
                async with start_entry_pair() as (cut, _):
                    cut.node.paths.dialer.direct = CutLinks()
                    await call_all(cut)
                    assert cut.target.ran.count("/v1/orders") == 1
                    assert cut.node.paths.state.list_lost()

        anyio.run(run, backend_options=BACKEND_OPTIONS)
        assert statuses == [200] * len(statuses)
