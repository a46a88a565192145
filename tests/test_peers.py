"""Tests of the links between peers, over loopback streams."""

import asyncio

import anyio
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from peridotbend.adapters.peerdigest import (
    BadDigestError,
    DigestBuilder,
    DigestSink,
    DigestSource,
)
from peridotbend.domain.ports import (
    FingerprintEntry,
    SuspectState,
)
from peridotbend.wire import peer_pb2 as pb
from peridotbend.wire.peer_grpc import PeersStub
from tests.peernodes import (
    PeersCase,
    make_config,
    run_nodes,
    wait_until,
)


class LinkTest(PeersCase):
    """The content of the digests and their validation."""

    async def test_digest_state_reaches_peers(self) -> None:
        """Guards against losing leaving marks, suspects, demand or shares."""
        nodes = await self.start(3)
        entry = FingerprintEntry(b"f" * 8, SuspectState.QUARANTINED, 900)
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            nodes[0].roster.mark_leaving([("t9", "i1")])
            nodes[1].scheduler.fingerprints.append(entry)
            nodes[2].roster.set_draining()
            await wait_until(
                lambda: all(n.roster.is_leaving("t9", "i1") for n in nodes)
            )
            merged = nodes[0].scheduler.merged
            await wait_until(lambda: entry in merged)
            find_peer = nodes[0].roster.find_peer
            await wait_until(
                lambda: bool((p := find_peer("e2")) and p.draining)
            )
            demands = nodes[0].scheduler.demands
            await wait_until(lambda: ("e1", "t1") in demands)
            assert demands["e1", "t1"] == (2.0, 1.0)
            assert nodes[0].scheduler.shares

    async def test_malformed_digests_are_rejected(self) -> None:
        """Guards against bad digests that take effect or break the server."""
        nodes = await self.start(2)
        own = nodes[0].roster.own
        good = pb.Digest(
            name="evil", incarnation=3, peer_address=f"127.0.0.1:{own.port}"
        )
        nan = pb.Demand(target="t", work_by_tier=[float("nan")])
        bad_digests = [
            pb.Digest(),
            pb.Digest(name="x" * 10_000, incarnation=1),
            pb.Digest(name="evil", incarnation=1, peer_address="here"),
            _merge(good, pb.Digest(demands=[nan])),
            _merge(good, pb.Digest(shares=[pb.Share(target="t", work=-1)])),
            _merge(good, pb.Digest(text_digest=b"x" * 1_000_000)),
        ]
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            for digest in bad_digests:
                channel = Channel("127.0.0.1", nodes[0].port)
                with self.assertRaises((GRPCError, StreamTerminatedError)):
                    async with PeersStub(channel).Exchange.open() as stream:
                        await stream.send_message(digest)
                        with anyio.fail_after(10):
                            while await stream.recv_message() is not None:
                                pass
                channel.close()
            _, writer = await asyncio.open_connection(
                "127.0.0.1", nodes[0].port
            )
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            writer.close()
            assert nodes[0].roster.find_peer("evil") is None
            nodes[1].store.offer(make_config(2))
            await wait_until(lambda: nodes[0].store.version == 2)

    async def test_fingerprints_are_sent_on_change(self) -> None:
        """Guards against digests that repeat 256 fingerprints each time."""
        (node,) = await self.start(1)
        hooks = node.scheduler.make_hooks()
        source = DigestSource(node.roster, node.store, hooks)
        stream = DigestBuilder(source)
        value = b"f" * 8
        entries = node.scheduler.fingerprints
        entries.append(FingerprintEntry(value, SuspectState.SUSPECT, 9))
        sizes = [len(stream.build("e1").fingerprints) for _ in range(3)]
        entries[0] = FingerprintEntry(value, SuspectState.CLEAN, 9)
        sizes += [len(stream.build("e1").fingerprints) for _ in range(50)]
        assert sizes[:5] == [1, 0, 0, 1, 0]
        assert sum(sizes) == 3
        await node.stop()

    async def test_address_that_is_none_ends_no_process(self) -> None:
        """Guards against a digest that ends each process that it reaches."""
        scopes = ("\0", "\u00e9" * 64, "eth0")
        scoped = [f"[fe80::1%{scope}]" for scope in scopes]
        for host in ("a..b", "x" * 64, "a\0b", *scoped):
            nodes = await self.start(2)
            sink = DigestSink(
                nodes[0].roster,
                nodes[0].scheduler.make_hooks(),
                nodes[0].sync.record_peer_text,
            )
            digest = pb.Digest(name="e5", incarnation=1, sequence=1)
            digest.peer_address = "127.0.0.1:9"
            member = {"name": "e6", "incarnation": 1, "sequence": 1}
            digest.members.add(peer_address=f"{host}:9", **member)
            sink.apply(digest)
            digest.name, digest.peer_address = "e7", f"{host}:9"
            with self.assertRaises(BadDigestError):
                sink.apply(digest)
            async with run_nodes(*nodes):
                await self.wait_until_live(nodes)

    async def test_demand_of_a_replaced_process_is_ignored(self) -> None:
        """Guards against demand reported by a process that was replaced."""
        (node,) = await self.start(1)
        sink = DigestSink(
            node.roster, node.scheduler.make_hooks(), node.sync.record_peer_text
        )
        address = "127.0.0.1:9"
        for incarnation, work in ((1, 1.0), (2, 2.0), (1, 3.0)):
            digest = pb.Digest(name="e5", peer_address=address, sequence=9)
            digest.incarnation = incarnation
            digest.demands.add(target="t", work_by_tier=[work])
            sink.apply(digest)
        assert node.scheduler.demands == {("e5", "t"): (2.0,)}
        found = node.roster.find_peer("e5")
        assert found is not None
        assert found.incarnation == 2
        with self.assertRaises(BadDigestError):
            sink.apply(pb.Digest(name="e5", peer_address=address))
        await node.stop()


def _merge(first: pb.Digest, second: pb.Digest) -> pb.Digest:
    merged = pb.Digest()
    merged.CopyFrom(first)
    merged.MergeFrom(second)
    return merged
