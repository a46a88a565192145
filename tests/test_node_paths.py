"""Tests of the product's own interface while an instance reaches no target."""

import unittest

import anyio
import httpcore

from peridotbend.adapters.sockets import connect
from peridotbend.daemon import BACKEND_OPTIONS
from peridotbend.domain.paths import Endpoint
from tests.edgenode import (
    TEST_TIMEOUT_S,
    EntryNode,
    encode_chat_body,
    start_entry_pair,
)
from tests.test_edge_paths import CutForm, CuttingProxy

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


class ResettingLinks:
    """Links over which each connection is accepted and reset at once."""

    def __init__(self, port: int):
        self._port = port

    def allows_reuse(self, target: Endpoint) -> bool:
        """Tells that connections may be kept."""
        return True

    async def connect(
        self, target: Endpoint, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        """Connects to something else than the target."""
        return await connect("127.0.0.1", self._port, timeout_s)


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

    def test_connections_that_are_reset_do_not_refuse_callers(self) -> None:
        """Guards against a connect that is taken for a link that works."""
        statuses: list[int] = []

        async def run() -> None:
            proxy = CuttingProxy(CutForm.RESET)
            with anyio.fail_after(TEST_TIMEOUT_S):
                async with (
                    proxy.run() as port,
                    start_entry_pair() as (cut, _),
                ):
                    cut.node.paths.dialer.direct = ResettingLinks(port)
                    await cut.node.target_client.aclose()
                    # Seen by the polls of the target's load.
                    while not cut.node.paths.state.list_lost():
                        await anyio.sleep(0.05)
                    for is_stream in (False, True):
                        for _ in range(REQUESTS):
                            reply = await cut.call(
                                "POST",
                                "/v1/chat/completions",
                                encode_chat_body(is_stream),
                            )
                            statuses.append(reply.status)

        anyio.run(run, backend_options=BACKEND_OPTIONS)
        assert statuses == [200] * 2 * REQUESTS, statuses
