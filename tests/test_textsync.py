"""Tests of distributing the configuration between peers."""

import asyncio
import contextlib
import random
import unittest
from collections.abc import Callable
from unittest import mock

import anyio
from result import Err, Ok, Result

from peridotbend.adapters.platform import READ_TIMEOUT_MARGIN_S
from peridotbend.adapters.textsync import TextSync
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.events import Event
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import Peer
from peridotbend.domain.ports import InstanceInfo, PlatformError
from peridotbend.domain.text import FleetConfig
from peridotbend.domain.textstore import ConfigStore
from peridotbend_emulator.virtualtime import run_virtual
from tests.peernodes import (
    FakePlatform,
    PeerNode,
    PeersCase,
    RecordingLog,
    make_config,
    make_entry_info,
    parse_fake_config,
    run_nodes,
    wait_until,
)

# A change is in force everywhere within this time.
IN_FORCE_MS = 3_000
GIVE_UP_MS = 40_000
# A call to a peer that hangs ends after this time.
PEER_CALL_MS = 1_000


class Relay:
    """TCP relay in front of a node that simulates a network partition.

    A connection that lost bytes passes no more data after the partition, as
    when a switch between its ends is replaced.
    """

    def __init__(self, port: int):
        self._target = port
        self._server: asyncio.Server | None = None
        self.is_cut = False
        self.port = 0

    async def start(self) -> None:
        """Listens on an ephemeral port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            "127.0.0.1", self._target
        )
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        has_lost_bytes = False
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                has_lost_bytes = has_lost_bytes or self.is_cut
                if not has_lost_bytes:
                    writer.write(data)
        writer.close()


class TextSpreadTest(PeersCase):
    """Distribution of the configuration to all instances."""

    async def test_text_of_one_reader_reaches_eight_nodes(self) -> None:
        """Guards against a configuration that stays at platform readers."""
        nodes = await self.start(8)
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            nodes[0].platform.publish(make_config(4).source)
            await wait_until(lambda: all(n.store.version == 4 for n in nodes))
            nodes[0].platform.publish(make_config(9).source)
            await wait_until(lambda: all(n.store.version == 9 for n in nodes))
        assert [n.log.count(Event.TEXT_ACCEPTED) for n in nodes] == [2] * 8

    async def test_stale_platform_never_reverts_the_text(self) -> None:
        """Guards against a revert when a lagging replica serves an old text."""
        nodes = await self.start(3)
        async with run_nodes(*nodes):
            nodes[0].platform.publish(make_config(5).source)
            await wait_until(lambda: all(n.store.version == 5 for n in nodes))
            seen: list[int] = []
            for node in nodes:
                node.store.subscribe(lambda text: seen.append(text.version))
            nodes[0].platform.publish(make_config(2).source)
            served = nodes[0].platform.served
            await wait_until(lambda: make_config(2).source in served)
            nodes[0].platform.publish(make_config(6).source)
            await wait_until(lambda: all(n.store.version == 6 for n in nodes))
        assert seen == [6, 6, 6]

    async def test_new_process_asks_peers_before_a_stale_platform(self) -> None:
        """Guards against loading an old text from the platform at startup."""
        nodes = await self.start(3)
        for node in nodes[:2]:
            node.store.offer(make_config(8))
        nodes[0].platform.source = make_config(3).source
        seen: list[int] = []
        nodes[2].store.subscribe(lambda text: seen.append(text.version))
        async with run_nodes(*nodes):
            await wait_until(lambda: nodes[2].store.version == 8)
        assert seen == [8]

    async def test_cut_and_heal_converge_to_the_highest_version(self) -> None:
        """Guards against different configurations after a partition heals."""
        platforms = [FakePlatform(), FakePlatform()]
        nodes = [PeerNode(f"e{n}", platforms[n], n + 1) for n in range(2)]
        relays = []
        for number, node in enumerate(nodes):
            await node.listen()
            relay = Relay(node.port)
            await relay.start()
            # Peers can reach a node only through its relay.
            node.roster.set_address("127.0.0.1", relay.port)
            other = platforms[1 - number]
            other.instances = (make_entry_info(node.name, relay.port),)
            relays.append(relay)
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            for relay in relays:
                relay.is_cut = True
            await wait_until(
                lambda: all(n.roster.count_live_peers() == 1 for n in nodes)
            )
            platforms[0].publish(make_config(3).source)
            platforms[1].publish(make_config(7).source)
            await wait_until(lambda: [n.store.version for n in nodes] == [3, 7])
            for relay in relays:
                relay.is_cut = False
            await wait_until(lambda: all(n.store.version == 7 for n in nodes))
        for relay in relays:
            relay.stop()

    async def test_platform_events_once_per_change(self) -> None:
        """Guards against an event for every failed call to the platform."""
        (node,) = await self.start(1)
        node.platform.down = True
        async with run_nodes(node):
            await wait_until(lambda: not node.sync.is_platform_reachable())
            node.platform.source = make_config(1).source
            node.platform.down = False
            await wait_until(lambda: node.store.version == 1)
        assert node.log.count(Event.PLATFORM_UNREACHABLE) == 1
        assert node.log.count(Event.PLATFORM_REACHED) == 1

    async def test_list_of_a_restored_platform_is_read(self) -> None:
        """Guards against an outdated list after the platform lost revisions.

        Its list has the revision that the node knows already.
        """
        (node,) = await self.start(1)
        node.platform.instances += (make_entry_info("e8", 8),)
        async with run_nodes(node):
            await wait_until(lambda: node.roster.find_peer("e8") is not None)
            node.platform.down = True
            node.platform.publish(make_config(2).source)
            await wait_until(lambda: not node.sync.is_platform_reachable())
            node.platform.instances += (make_entry_info("e9", 9),)
            node.platform.down = False
            await wait_until(lambda: node.roster.find_peer("e9") is not None)

    async def test_refused_text_leaves_the_old_one(self) -> None:
        """Guards against applying a bad text or refusing it again and again."""
        (node,) = await self.start(1)
        urgent: list[int] = []
        node.roster.subscribe_urgent(lambda: urgent.append(1))
        node.store.offer(make_config(1))
        assert urgent, "an accepted text does not wait for a heartbeat"
        for _ in range(2):
            assert await node.sync.offer_source("oops") is None
        assert node.store.version == 1
        assert node.log.count(Event.TEXT_REFUSED) == 1
        await node.stop()


class _SilentPlatform(FakePlatform):
    """A platform that answers no call that it got while it was silent."""

    def __init__(self) -> None:
        super().__init__()
        self._silent_count = 0
        self._is_silent = False

    def fall_silent(self) -> None:
        """Loses all calls that are waiting, and new ones."""
        self._silent_count += 1
        self._is_silent = True

    def return_with(self, source: str) -> None:
        """Answers new calls again, with another configuration."""
        self._is_silent = False
        self.source = source

    async def watch_config(
        self, newer_than: int, wait_ms: int
    ) -> Result[str | None, PlatformError]:
        """Answers, or hangs until the timeout of the call."""
        count = self._silent_count
        timeout_s = wait_ms / 1_000 + READ_TIMEOUT_MARGIN_S
        with anyio.move_on_after(timeout_s):
            if not self._is_silent:
                answer = await super().watch_config(newer_than, wait_ms)
                if count == self._silent_count:
                    return answer
            await anyio.sleep_forever()
        return Err(PlatformError("timeout"))

    async def watch_instances(
        self, after_revision: int, wait_ms: int
    ) -> Result[tuple[int, tuple[InstanceInfo, ...]] | None, PlatformError]:
        """Answers always."""
        if after_revision:
            await anyio.sleep(wait_ms / 1_000)
            return Ok(None)
        return Ok((1, self.instances))


async def _run_inline(
    function: Callable[[str], object], argument: str
) -> object:
    """Stands for a thread, which virtual time does not wait for."""
    return function(argument)


class LateTextTest(unittest.TestCase):
    """Delays of a text while calls hang, in virtual time."""

    def _measure_delay(
        self, silence_ms: int, silent_peers: int, sound_peers: int
    ) -> int:
        """Returns after how many ms a change is in force.

        Args:
            silence_ms: for how long the platform is silent before the change;
                0 if it stays silent afterwards.
            silent_peers: peers that have the change and whose calls hang.
            sound_peers: peers that have it and answer.
        """
        clock = ManualClock()
        log = RecordingLog()
        rng = random.Random(1)
        platform = _SilentPlatform()
        platform.source = make_config(1).source
        own = Peer("e0", 1, "a", "127.0.0.1", 1)
        roster = Roster(own, clock, log, rng)
        silent = [f"s{number}" for number in range(silent_peers)]
        sound = [f"t{number}" for number in range(sound_peers)]
        platform.instances = tuple(
            make_entry_info(name, port + 2)
            for port, name in enumerate(["e0", *silent, *sound])
        )
        changed = make_config(2)

        async def fetch(
            peer: Peer, config: FleetConfig | None
        ) -> Result[str | None, str]:
            if config is None:
                return Ok(None)
            if peer.name in silent:
                await anyio.sleep(PEER_CALL_MS / 1_000)
                return Err("timeout")
            return Ok(changed.source)

        store = ConfigStore(clock, log)
        sync = TextSync(
            store, roster, platform, fetch, parse_fake_config, clock, rng, log
        )

        async def run() -> int:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(sync.run)
                while store.version < 1:
                    await anyio.sleep(0.01)
                await anyio.sleep(1.5)
                platform.fall_silent()
                await anyio.sleep(silence_ms / 1_000)
                if silence_ms:
                    platform.return_with(changed.source)
                changed_ms = clock.now_ms()
                for name in (*silent, *sound):
                    sync.record_peer_text(name, 2, changed.digest)
                with anyio.move_on_after(GIVE_UP_MS / 1_000):
                    while store.version < 2:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
                return clock.now_ms() - changed_ms

        with mock.patch("anyio.to_thread.run_sync", _run_inline):
            return run_virtual(clock, run())

    def test_watch_that_was_lost_does_not_delay_a_change(self) -> None:
        """Guards against a long watch that hangs when the platform is back."""
        delays = {
            silence_ms: self._measure_delay(silence_ms, 0, 0)
            for silence_ms in range(100, 6_000, 300)
        }
        late = {n: ms for n, ms in delays.items() if ms > IN_FORCE_MS}
        assert not late, f"delay by the time of silence: {late}"

    def test_silent_peers_in_a_row_do_not_delay_a_change(self) -> None:
        """Guards against asking one peer after the other, each to its end."""
        for silent_peers in (1, 3):
            with self.subTest(silent_peers=silent_peers):
                delay_ms = self._measure_delay(0, silent_peers, 1)
                assert delay_ms <= IN_FORCE_MS, delay_ms
