"""Tests of values that no sound peer sends."""

import asyncio
import contextlib
import dataclasses
import random
import socket
import types
import unittest
from collections.abc import Sequence
from typing import Any

import anyio
import grpclib.server
import httpcore
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from peridotbend.adapters import peerwire
from peridotbend.adapters.digests import decode_digest, encode_digest
from peridotbend.adapters.originlink import decode_notice, encode_notice
from peridotbend.adapters.pathclient import PathDialer
from peridotbend.adapters.pathserver import PathServer
from peridotbend.adapters.peerclient import read_text_reply
from peridotbend.adapters.peerdigest import (
    BadDigestError,
    DigestBuilder,
    DigestSink,
    DigestSource,
    ExchangeHooks,
)
from peridotbend.adapters.peers import PEER_ERRORS, ChannelPool
from peridotbend.adapters.publishedpeers import pack_changes, unpack_changes
from peridotbend.adapters.serving import listen
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.handover import RecordTransfer
from peridotbend.domain.membership import Roster
from peridotbend.domain.pathpeers import PeerChoice
from peridotbend.domain.paths import TargetPaths
from peridotbend.domain.peertable import Peer
from peridotbend.domain.ports import Headers
from peridotbend.domain.quarantine import QuarantineSettings, SuspectTable
from peridotbend.domain.records import RequestTable
from peridotbend.domain.text import FleetConfig
from peridotbend.domain.textstore import ConfigStore
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.domain.windows import ShareTable, WindowDivider
from peridotbend.edge.originpeers import MAX_VERSION_CHARS, OriginNotice
from peridotbend.edge.published import Changes, FeedState, PublishedItems
from peridotbend.edge.targets import TargetList
from peridotbend.wire import edge_pb2
from peridotbend.wire import peer_pb2 as pb
from peridotbend.wire.edge_grpc import PathsBase, PathsStub
from tests.edgefakes import TARGET, RecordingLog
from tests.peervalues import make_messages
from tests.test_edge_paths import FixedPeers
from tests.test_values import EXAMPLES, MAX_DECODED, check_numbers

WINDOW = 1_000.0
# Ends only failing tests.
TIMEOUT_S = 20.0
LINES = "one\ntwo\nthree\n" * 40


def check_address(host: str, port: int) -> None:
    """Fails if connecting to an address raises more than an OSError."""
    try:
        socket.getaddrinfo(host, port, flags=socket.AI_NUMERICHOST)
    except OSError:
        return


def check_headers(headers: Headers) -> None:
    """Fails if headers can't be sent as they are."""
    for name, value in headers:
        assert name.isascii() and name.isprintable() and name, name
        assert not set(name) & set(' ",/:;<=>?@[\\]{}()'), name
        value.encode("latin-1")
        assert not set(value) & set("\r\n\0"), value


class CallValueTest(unittest.TestCase):
    """Messages of forwarded calls and of records."""

    @EXAMPLES
    @given(make_messages(pb.ForwardCall))
    def test_call_is_refused_or_can_be_sent(self, message: Any) -> None:
        """Guards against a call whose parts run as other requests."""
        try:
            call = peerwire.unpack_call(message)
        except ValueError:
            return
        check_headers(call.headers)
        assert not set(call.path + call.method) & set(" \r\n\0"), call
        call.method.encode("ascii")
        call.path.encode("latin-1")
        check_numbers(call)
        peerwire.pack_call(call)

    @EXAMPLES
    @given(make_messages(pb.AnswerChunk))
    def test_part_of_an_answer_is_refused_or_can_be_sent(
        self, message: Any
    ) -> None:
        """Guards against a head with which an answer is lost, or forged."""
        try:
            part = peerwire.unpack_chunk(message)
        except ValueError:
            return
        if part.head is not None:
            check_headers(part.head.headers)
            assert 100 <= part.head.status <= 999, part.head
        check_numbers(part)

    @EXAMPLES
    @given(make_messages(pb.HandOverBatch))
    def test_records_are_refused_or_kept(self, batch: Any) -> None:
        """Guards against a record that ends the process of a successor."""
        try:
            records = [peerwire.unpack_record(r) for r in batch.records]
        except (KeyError, ValueError):
            return
        clock = ManualClock()
        table = RequestTable(clock, 2, 1_000)
        service: Any = types.SimpleNamespace(
            draining=False,
            start_queued=lambda record: Err(NotRun(Reason.NO_TARGET)),
        )
        transfer = RecordTransfer(service, table, clock)
        transfer.import_records(
            batch.from_name, batch.from_incarnation, records
        )
        for record in table:
            assert record.expires_at_ms - clock.now_ms() <= 2**32
            verdict = record.answer.verdict
            if isinstance(verdict, NotRun):
                assert record.state.value == "not-run", record.state
            peerwire.pack_record(transfer._pack(record))


class DigestValueTest(unittest.TestCase):
    """Digests of instances on a stream."""

    def setUp(self) -> None:
        clock = self.clock = ManualClock()
        log = RecordingLog()
        own = Peer("e0", 5, "a", "127.0.0.1", 9)
        self.roster = Roster(own, clock, log, random.Random(1))
        self.suspects = SuspectTable(clock, QuarantineSettings())
        self.divider = WindowDivider(clock)
        self.shares = ShareTable(clock)
        self.texts: list[tuple[str, int, bytes]] = []
        self.hooks = ExchangeHooks(
            export_fingerprints=self.suspects.export,
            merge_fingerprints=self.suspects.merge,
            find_demand=lambda peer: {},
            record_demand=self.divider.record_demand,
            find_shares=self._find_shares,
            update_shares=self._update_shares,
            list_dividers=lambda: (),
        )
        self.store = ConfigStore(clock, log)

    def _find_shares(self, peer: str) -> Sequence[Any]:
        sizes = dict.fromkeys(self.divider.find_targets(), WINDOW)
        return self.divider.divide(sizes, [peer, "e0"])[peer]

    def _update_shares(self, shares: Any) -> None:
        for share in shares:
            self.shares.update(share)

    @EXAMPLES
    @given(
        st.lists(
            make_messages(pb.Digest)
            | make_messages(
                pb.Digest,
                name="e1",
                zone="a",
                incarnation=1,
                peer_address="127.0.0.1:9",
            ),
            max_size=3,
        )
    )
    def test_digest_is_refused_or_ends_nothing(self, digests: Any) -> None:
        """Guards against a digest that ends each process that it reaches."""
        self.setUp()
        sink = DigestSink(
            self.roster, self.hooks, lambda *text: self.texts.append(text)
        )
        source = DigestSource(self.roster, self.store, self.hooks)
        for digest in digests:
            try:
                sink.apply(digest)
            except BadDigestError:
                continue
        for peer in self.roster.list_known_peers():
            check_address(peer.host, peer.port)
        for name in ("e1", "e2"):
            shares = self._find_shares(name)
            assert sum(share.work for share in shares) <= WINDOW * len(shares)
            digest = DigestBuilder(source).build(name)
            pb.Digest.FromString(digest.SerializeToString())
        for target in self.divider.find_targets():
            allowance = self.shares.find_allowance(target, WINDOW, 3)
            assert 0 <= allowance <= WINDOW
        self.shares.find_lowest_tier(self.divider.find_targets())
        self.roster.choose_neighbours()
        self.roster.dump()
        self.roster.find_trial_owner(b"f")
        self.roster.is_reader()

    @EXAMPLES
    @given(make_messages(edge_pb2.UseDigest))
    def test_datagram_is_refused_or_bounded(self, message: Any) -> None:
        """Guards against a digest that is passed on and ends other processes.

        Incarnations and traits are hashes of 64 bits.
        """
        digest = decode_digest(message.SerializeToString())
        if digest is None:
            return
        for host in digest.known_hosts:
            check_address(host, 9)
        check_numbers(tuple(digest.feeds.values()))
        check_numbers((digest.sequence, digest.echo[1]))
        check_numbers(digest.members)
        check_numbers(digest.limits + digest.brittle)
        encode_digest(digest)


class PublishedValueTest(unittest.TestCase):
    """Changes of the store that peers pass on."""

    @EXAMPLES
    @given(
        st.lists(make_messages(edge_pb2.ChangesReply), max_size=3),
        make_messages(edge_pb2.ChangesRequest),
        st.booleans(),
    )
    def test_changes_are_refused_or_bounded(
        self, replies: Any, request: Any, is_versioned: bool
    ) -> None:
        """Guards against a revision that no later change can exceed."""
        items = PublishedItems(is_versioned)
        for reply in replies:
            changes = unpack_changes(reply, "config/")
            if changes is None:
                continue
            check_numbers(changes)
            for item in changes.items:
                assert item.key.startswith("config/"), item
            items.merge(changes)
        state = FeedState()
        pack_changes(items.list_changes(state)).SerializeToString()
        check_numbers(items.state)

    def test_revision_beyond_those_of_the_store_is_refused(self) -> None:
        """Guards against changes of the store that nobody takes any more."""
        sound = edge_pb2.ChangesReply(revision=3, era=1, whole=True)
        sound.items.add(key="config/a", revision=3, era=1, value=b"x")
        assert isinstance(unpack_changes(sound, "config/"), Changes)
        for field in ("revision", "era"):
            reply = edge_pb2.ChangesReply()
            reply.CopyFrom(sound)
            setattr(reply, field, MAX_DECODED + 1)
            assert unpack_changes(reply, "config/") is None, field
        for field in ("revision", "era", "first_order", "second_order"):
            reply = edge_pb2.ChangesReply()
            reply.CopyFrom(sound)
            setattr(reply.items[0], field, MAX_DECODED + 1)
            assert unpack_changes(reply, "config/") is None, field

    def test_key_of_another_prefix_is_refused(self) -> None:
        """Guards against an entry that is taken for one of another kind."""
        reply = edge_pb2.ChangesReply(revision=3, era=1, whole=True)
        reply.items.add(key="other/a", revision=3, era=1, value=b"x")
        assert unpack_changes(reply, "config/") is None


class NoticeValueTest(unittest.TestCase):
    """Notices on the origins of streams."""

    @EXAMPLES
    @given(make_messages(edge_pb2.OriginNotice))
    def test_notice_is_refused_or_bounded(self, message: Any) -> None:
        """Guards against a version that fills the memory."""
        notice = decode_notice(message.SerializeToString())
        if notice is None:
            return
        for version in notice.told.values():
            assert len(version) <= MAX_VERSION_CHARS
        assert decode_notice(encode_notice(notice)) == notice

    def test_version_that_no_instance_tells_is_refused(self) -> None:
        """Guards against versions that fill the memory."""
        longest = OriginNotice(told={1: "v" * MAX_VERSION_CHARS})
        assert decode_notice(encode_notice(longest)) == longest
        longer = OriginNotice(told={1: "v" * (MAX_VERSION_CHARS + 1)})
        assert decode_notice(encode_notice(longer)) is None

    @EXAMPLES
    @given(st.binary(max_size=60))
    def test_bytes_that_are_no_message_are_refused(self, data: bytes) -> None:
        """Guards against a datagram of other bytes that ends the process."""
        decode_notice(data)
        decode_digest(data)


class TextValueTest(unittest.TestCase):
    """Configuration sources that peers send as changes."""

    @EXAMPLES
    @given(make_messages(pb.TextReply))
    def test_changes_are_refused_or_applied(self, reply: Any) -> None:
        """Guards against a change that ends the process that asked for it."""
        current = FleetConfig(1, (), (), (), LINES, b"")
        source = read_text_reply(reply, current)
        assert source is None or source == reply.yaml


class _ScriptedPaths(PathsBase):
    """A peer that answers each call with the same messages."""

    def __init__(self) -> None:
        self.messages: list[Any] = []

    async def Connect(self, stream: Any) -> None:  # noqa: N802
        """Sends the messages."""
        await stream.recv_message()
        for message in self.messages:
            await stream.send_message(message)


class PathValueTest(unittest.TestCase):
    """Messages of the connections that peers hold."""

    def setUp(self) -> None:
        # Examples share a loop, since a new one takes longer than they do.
        self.runner = asyncio.Runner()
        self.addCleanup(self.runner.close)
        self.targets = TargetList(ManualClock())
        self.paths = TargetPaths(ManualClock(), RecordingLog(), self.targets)

        self.scripted = _ScriptedPaths()
        self.server = PathServer(self.targets, self.paths, FixedPeers(), 1)
        self.port = 0
        self.dialer: PathDialer | None = None
        self.channels = ChannelPool()
        self.addCleanup(self.channels.close)

    def _make_dialer(self, port: int) -> PathDialer:
        peers = FixedPeers(["127.0.0.1"], port)
        clock = ManualClock()
        choice = PeerChoice(clock, random.Random(1), peers)
        dialer = PathDialer(
            clock, self.paths, self.targets, peers, choice, RecordingLog()
        )
        self.addCleanup(dialer.close)
        return dialer

    def _start(self, service: Any) -> int:
        """Starts a server of a service and returns its port."""

        async def start() -> int:
            listener = listen("127.0.0.1", 0)
            listener.setblocking(False)
            server = grpclib.server.Server([service])
            await server.start(sock=listener)
            self.addCleanup(server.close)
            port: int = listener.getsockname()[1]
            return port

        return self.runner.run(start())

    @EXAMPLES
    @given(st.lists(make_messages(edge_pb2.PathChunk), max_size=3))
    def test_messages_of_a_peer_end_no_process(
        self, messages: list[Any]
    ) -> None:
        """Guards against a message that ends the requests through a peer."""
        if self.dialer is None:
            self.dialer = self._make_dialer(self._start(self.scripted))
        dialer = self.dialer
        self.scripted.messages = messages

        async def check() -> None:
            with anyio.fail_after(TIMEOUT_S):
                try:
                    stream = await dialer.connect_by_peer(TARGET, 1)
                    while await stream.read(1):
                        pass
                    await stream.aclose()
                except httpcore.NetworkError:
                    pass

        self.runner.run(check())

    @EXAMPLES
    @given(
        st.lists(
            make_messages(edge_pb2.PathChunk)
            | make_messages(edge_pb2.PathChunk, target=TARGET.name),
            max_size=3,
        )
    )
    def test_messages_to_a_peer_end_no_process(
        self, messages: list[Any]
    ) -> None:
        """Guards against a call that is never given back."""
        if not self.port:
            self.port = self._start(self.server)
            entry = dataclasses.replace(TARGET, host="127.0.0.1")
            self.targets.put(dataclasses.replace(entry, port=self.port))

        async def check() -> None:
            channel = self.channels.open("127.0.0.1", self.port)
            with anyio.fail_after(TIMEOUT_S):
                with contextlib.suppress(*PEER_ERRORS):
                    async with PathsStub(channel).Connect.open() as stream:
                        for message in messages:
                            await stream.send_message(message)
                        await stream.end()
                        while await stream.recv_message() is not None:
                            pass
                await self.server.wait_idle()

        self.runner.run(check())
