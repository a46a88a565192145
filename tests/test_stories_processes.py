"""Real daemons that get malformed messages."""

import json
import random
import socket
import unittest
from typing import Any

import anyio

from peridotbend.platform import wire
from peridotbend.wire import edge_pb2 as pb
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
    serve_app,
    wait_for_version,
)
from tests.edgestandins import FakeStore, Receive, Send, respond
from tests.randommessages import fill_message

ODD_PAGES: dict[str, dict[str, object]] = {
    "revision beyond 64 bits": {"items": [], "store_revision": 10**30},
    "negative revision": {"items": [], "store_revision": -5},
    "revision of an item beyond 64 bits": {
        "items": [{"key": "op/x", "value": "aGk=", "revision": 10**30}],
        "store_revision": 1_000,
    },
    "value that is no ASCII": {
        "items": [{"key": "op/x", "value": "\xe9", "revision": 1_000}],
        "store_revision": 1_000,
    },
    "value that is no text": {
        "items": [{"key": "op/x", "value": [1], "revision": 1_000}],
        "store_revision": 1_000,
    },
    "items that are no items": {"items": [None], "store_revision": 1_000},
    "nothing": {},
}
# Datagrams of each kind, and how many are sent at a time.
DATAGRAMS = 1_200
BURST = 20


class _OddStore:
    """Answers the calls to a store with one page for a while."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self.page: dict[str, object] | None = None
        self.odd_answers = 0

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers one call."""
        if self.page is None:
            await self._store(scope, receive, send)
            return
        self.odd_answers += 1
        page = {**self.page, "events": self.page.get("items")}
        era = (wire.STORE_ERA, str(self._store.era))
        await respond(send, 200, json.dumps(page).encode(), era)


class MalformedMessageTest(unittest.TestCase):
    """Messages that are malformed, or hold values that nobody expects."""

    def test_pages_of_the_store(self) -> None:
        """Guards against an answer of the store that ends the process."""

        async def check(fleet: EdgeFleet) -> None:
            store = _OddStore(fleet.store)
            async with serve_app(store) as address:
                child = fleet.spawn(HOSTS[0], platform={"address": address})
                await fleet.wait_ready(HOSTS[0])
                version = CONFIG["version"]
                for name, page in ODD_PAGES.items():
                    store.page, before = page, store.odd_answers
                    # Ends the calls that wait.
                    fleet.store.put("op/other", 0)
                    fleet.store.put("servers/other", 0)
                    with anyio.fail_after(WAIT_TIMEOUT_S):
                        while store.odd_answers < before + 4:
                            assert child.exit_code is None, (
                                name,
                                child.output,
                            )
                            await anyio.sleep(0.02)
                    store.page = None
                    version += 1
                    fleet.store.put(
                        wire.CONFIG_KEY, {**CONFIG, "version": version}
                    )
                    await wait_for_version(child, version)
                fleet.kill_all()

        run_with_fleet(check)

    def test_datagrams_of_peers(self) -> None:
        """Guards against a digest whose values end the process.

        So did a seed that is no address.
        """

        async def check(fleet: EdgeFleet) -> None:
            child = fleet.spawn(HOSTS[0], seeds=["nowhere.example:1"])
            await fleet.wait_ready(HOSTS[0])
            rng = random.Random(1)
            digests = fleet.ports["digests"]
            with (
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as digest_link,
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as origin_link,
            ):
                digest_link.bind((HOSTS[1], digests))
                origin_link.bind((HOSTS[1], digests + 1))
                for number in range(1, DATAGRAMS + 1):
                    digest = pb.UseDigest()
                    fill_message(digest, rng)
                    digest.name = "peer"
                    digest.host = HOSTS[1]
                    digest.incarnation = 1
                    digest.sequence = number
                    digest.scope = rng.choice(list(pb.Scope.values()))
                    digest_link.sendto(
                        digest.SerializeToString(), (HOSTS[0], digests)
                    )
                    notice = pb.OriginNotice()
                    fill_message(notice, rng)
                    origin_link.sendto(
                        notice.SerializeToString(), (HOSTS[0], digests + 1)
                    )
                    if number % BURST == 0:
                        await anyio.sleep(0.01)
                        assert child.exit_code is None, child.output
                    if number % (10 * BURST) == 0:
                        attempt = f"a{number}"
                        answer = await fleet.call(
                            HOSTS[0], "/orders/1", attempt
                        )
                        assert answer.status in (200, 429, 503), answer
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while answer.status != 200:
                    await anyio.sleep(0.1)
                    answer = await fleet.call(HOSTS[0], "/orders/1", "last")
            fleet.kill_all()

        run_with_fleet(check)
