"""Real daemons that get malformed messages, or start again."""

import json
import random
import socket
import types
import unittest
from typing import Any

import anyio

from peridotbend.edge.feeds import WATCH_WAIT_MS
from peridotbend.edge.published import Changes, Item, Position
from peridotbend.edgenode import ASK_PEERS_TIMEOUT_MS, EdgeNode
from peridotbend.platform import wire
from peridotbend.wire import edge_pb2 as pb
from peridotbend_emulator.launch import Child
from tests.edgefakes import SETTINGS, RecordingLog
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
    serve_app,
    wait_for_event,
    wait_for_version,
)
from tests.edgestandins import FakeStore, Receive, Send, respond
from tests.randommessages import fill_message
from tests.test_edge_platform import TARGET_ENTRY, encode_document

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


POSITION = Position(1, 100)
WITHDRAWN_KEY = "key-2"
LEFT_TARGET = "i-2"


class _GatedStore:
    """Refuses the calls to a store for a while."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self.is_cut = False

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Passes on one call."""
        if self.is_cut:
            await respond(send, 503, b"")
        else:
            await self._store(scope, receive, send)


async def _start_with_second_target(
    fleet: EdgeFleet, **changes: object
) -> list[Child]:
    """Starts all daemons while a second target and a second key are valid."""
    fleet.target.accepts_any_name = True
    address = f"127.0.0.1:{fleet.ports['target']}"
    fleet.store.put(
        f"servers/{LEFT_TARGET}", {**TARGET_ENTRY, "address": address}
    )
    children = [fleet.spawn(HOSTS[0]), fleet.spawn(HOSTS[1], **changes)]
    for host in HOSTS:
        await fleet.wait_ready(host)
        answer = await fleet.call(host, "/orders/1", host, WITHDRAWN_KEY)
        assert answer.status == 200
    return children


def _withdraw(fleet: EdgeFleet) -> None:
    account = {**CONFIG["tenants"][0], "api_keys": ["key-1"]}
    fleet.store.put(
        wire.CONFIG_KEY, {**CONFIG, "version": 9, "tenants": [account]}
    )
    fleet.store.delete(f"servers/{LEFT_TARGET}")


async def _check_withdrawn(fleet: EdgeFleet, host: str) -> None:
    """Checks that an instance uses neither the key nor the target."""
    fleet.target.started_names.clear()
    for number in range(20):
        attempt = f"{host}-{number}"
        answer = await fleet.call(host, "/orders/1", attempt, WITHDRAWN_KEY)
        assert answer.status == 401, (host, number, answer)
        answer = await fleet.call(host, "/orders/1", f"{attempt}-key")
        assert answer.status == 200, (host, number, answer)
    assert set(fleet.target.started_names) == {"i-1"}


class RestartTest(unittest.TestCase):
    """Processes that start again after a key or a target was withdrawn."""

    def test_store_that_is_behind_brings_nothing_back(self) -> None:
        """Guards against a new process that trusts a store without changes."""

        async def check(fleet: EdgeFleet) -> None:
            first, second = await _start_with_second_target(fleet)
            copy = fleet.store.copy()
            _withdraw(fleet)
            for child in (first, second):
                await wait_for_version(child, 9)
                await wait_for_event(child, "target-removed")
            second.kill()
            await anyio.to_thread.run_sync(second.wait, WAIT_TIMEOUT_S)
            fleet.store.restore(copy)
            await wait_for_event(first, "store-restored")
            fleet.spawn(HOSTS[1])
            await fleet.wait_ready(HOSTS[1])
            for host in HOSTS:
                await _check_withdrawn(fleet, host)
            fleet.kill_all()

        run_with_fleet(check)

    def test_peer_that_is_behind_brings_nothing_back(self) -> None:
        """Guards against a new process that believes an outdated peer."""

        async def check(fleet: EdgeFleet) -> None:
            gate = _GatedStore(fleet.store)
            async with serve_app(gate) as address:
                first, second = await _start_with_second_target(
                    fleet, platform={"address": address}
                )
                gate.is_cut = True
                # Calls that are under way still end with a change.
                await anyio.sleep(WATCH_WAIT_MS / 1_000)
                first.kill()
                await anyio.to_thread.run_sync(first.wait, WAIT_TIMEOUT_S)
                _withdraw(fleet)
                fleet.spawn(HOSTS[0])
                await fleet.wait_ready(HOSTS[0])
                await _check_withdrawn(fleet, HOSTS[0])
                # The peer learns of the changes in turn, and brings none back.
                await wait_for_version(second, 9)
                await wait_for_event(second, "target-removed")
                await _check_withdrawn(fleet, HOSTS[0])
                answer = await fleet.call(
                    HOSTS[1], "/orders/1", "last", WITHDRAWN_KEY
                )
                assert answer.status == 401
                fleet.kill_all()

        run_with_fleet(check)

    def test_new_process_is_not_ready_before_a_peer_has_answered(self) -> None:
        """Guards against callers while only a store that is behind is known."""

        async def check() -> None:
            answered, unanswered = _make_new_node(), _make_new_node()
            for feed in answered._feeds.values():
                feed.merge_fetched(HOSTS[1], Changes((), POSITION, False))
            assert answered._is_ready()
            # A peer that is away is not waited for.
            unanswered._created_at_ms -= ASK_PEERS_TIMEOUT_MS
            assert unanswered._is_ready()

        anyio.run(check)


def _make_new_node() -> EdgeNode:
    """Returns an instance that knows the store, and one peer by name."""
    node = EdgeNode(SETTINGS, RecordingLog(), 0)
    # Created when an instance starts to listen.
    server = types.SimpleNamespace(apply_limits=lambda *_: None)
    node._server = server  # type: ignore[assignment]
    node._peers.add_candidate(HOSTS[1])
    config = Item(wire.CONFIG_KEY, POSITION, encode_document(CONFIG))
    for prefix, feed in node._feeds.items():
        items = (config,) if config.key.startswith(prefix) else ()
        feed.merge(Changes(items, POSITION, True))
        assert not node._is_ready()
        # The store has answered, and does not any more.
        feed.is_store_reachable = False
    assert not node._is_ready()
    return node
