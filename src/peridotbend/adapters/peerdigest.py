"""Builds the digests that peers exchange, and applies received ones."""

import dataclasses
import itertools
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from peridotbend.adapters.peerwire import clamp_ms, split_address
from peridotbend.domain.membership import Roster
from peridotbend.domain.peertable import Peer
from peridotbend.domain.ports import FingerprintEntry, Share, SuspectState
from peridotbend.domain.text import MAX_TIERS
from peridotbend.domain.textstore import ConfigStore
from peridotbend.wire import peer_pb2 as pb

MAX_MEMBERS = 64
# In a full mesh each peer receives digests from every other one directly. The
# samples only help to find a peer that the platform does not list yet.
FULL_MESH_SAMPLE_SIZE = 1
# Keeps a digest in a large fleet near 250 bytes, which is 13 KB/s at 50
# digests/s.
SAMPLE_SIZE = 4
MAX_LEAVING = 256
MAX_FINGERPRINTS = 256
MAX_TARGETS = 1_024
MAX_NAME_CHARS = 256
# Unchanged fingerprints are repeated once in this many digests, to update their
# remaining times.
FINGERPRINT_REPEAT_DIGESTS = 50

_MESSAGE_STATES = {
    SuspectState.SUSPECT: pb.Fingerprint.SUSPECT,
    SuspectState.QUARANTINED: pb.Fingerprint.QUARANTINED,
    SuspectState.CLEAN: pb.Fingerprint.CLEARED,
}
_SUSPECT_STATES = {value: state for state, value in _MESSAGE_STATES.items()}


class BadDigestError(Exception):
    """A peer sent a digest that breaks the protocol."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeHooks:
    """Callbacks that supply and consume the contents of digests."""

    # Returns suspected and quarantined fingerprints, up to a maximum count.
    export_fingerprints: Callable[[int], list[FingerprintEntry]]
    merge_fingerprints: Callable[[Iterable[FingerprintEntry]], None]
    # Returns the work that this process demands, by tier, at each target whose
    # window the named peer divides.
    find_demand: Callable[[str], Mapping[str, Sequence[float]]]
    # Arguments: peer, target, work by tier.
    record_demand: Callable[[str, str, Sequence[float]], None]
    # Returns the named peer's shares of the windows that this process divides.
    find_shares: Callable[[str], Iterable[Share]]
    update_shares: Callable[[Iterable[Share]], None]
    # Returns the names of the instances that divide the targets in use.
    list_dividers: Callable[[], Iterable[str]]


class DigestSource:
    """State of this process that its digests are built from."""

    def __init__(
        self, roster: Roster, store: ConfigStore, hooks: ExchangeHooks
    ):
        self.roster = roster
        self.store = store
        self.hooks = hooks
        self._sequence = itertools.count(1)

    def next_sequence(self) -> int:
        """Returns the next sequence number."""
        return next(self._sequence)


class DigestBuilder:
    """Builds the digests of one stream.

    Marks of leaving targets are sent once. Fingerprints are sent when they
    change, and all of them every FINGERPRINT_REPEAT_DIGESTS digests.
    """

    def __init__(self, source: DigestSource):
        self._source = source
        self._cursor = 0
        self._is_first = True
        self._sent_fingerprints: set[tuple[bytes, SuspectState]] = set()
        self._digests_since_repeat = 0

    def build(self, peer: str) -> pb.Digest:
        """Returns the next digest for the named peer."""
        source = self._source
        own = source.roster.own
        text = source.store.current
        marks, self._cursor = source.roster.targets.list_marks_from(
            self._cursor, MAX_LEAVING
        )
        digest = pb.Digest(
            name=own.name,
            incarnation=own.incarnation,
            zone=own.zone,
            peer_address=f"{own.host}:{own.port}",
            sequence=source.next_sequence(),
            draining=own.draining,
            text_version=source.store.version,
            text_digest=text.digest if text else b"",
            members=self._sample_members(peer),
            leaving=[pb.LeavingTarget(name=n, incarnation=i) for n, i in marks],
            fingerprints=self._select_fingerprints(),
            demands=_pack_demands(source.hooks.find_demand(peer)),
            shares=_pack_shares(source.hooks.find_shares(peer)),
        )
        self._is_first = False
        return digest

    def _sample_members(self, receiver: str) -> list[pb.Member]:
        roster = self._source.roster
        count = FULL_MESH_SAMPLE_SIZE if roster.is_full_mesh() else SAMPLE_SIZE
        peers = roster.sample_live(MAX_MEMBERS if self._is_first else count)
        return [
            pb.Member(
                name=peer.name,
                incarnation=peer.incarnation,
                zone=peer.zone,
                peer_address=f"{peer.host}:{peer.port}",
                sequence=peer.sequence,
                draining=peer.draining,
                age_ms=clamp_ms(roster.find_age(peer.name) or 0),
            )
            for peer in peers
            if peer.name != receiver
        ]

    def _select_fingerprints(self) -> list[pb.Fingerprint]:
        entries = self._source.hooks.export_fingerprints(MAX_FINGERPRINTS)
        entries = entries[:MAX_FINGERPRINTS]
        current = {(entry.value, entry.state) for entry in entries}
        self._digests_since_repeat += 1
        repeat_all = self._digests_since_repeat >= FINGERPRINT_REPEAT_DIGESTS
        if not repeat_all and current == self._sent_fingerprints:
            return []
        sent = set() if repeat_all else self._sent_fingerprints
        if repeat_all:
            self._digests_since_repeat = 0
        self._sent_fingerprints = current
        return [
            pb.Fingerprint(
                value=entry.value,
                state=_MESSAGE_STATES[entry.state],
                remaining_ms=clamp_ms(entry.remaining_ms),
            )
            for entry in entries
            if (entry.value, entry.state) not in sent
        ]


class DigestSink:
    """Checks received digests and applies their contents."""

    def __init__(
        self,
        roster: Roster,
        hooks: ExchangeHooks,
        record_peer_text: Callable[[str, int, bytes], None],
    ):
        self._roster = roster
        self._hooks = hooks
        self._record_peer_text = record_peer_text

    def apply(self, digest: pb.Digest) -> str:
        """Applies a digest and returns the name of its sender.

        Raises:
            BadDigestError: the digest breaks the protocol; nothing of it
                was applied.
        """
        sender = _read_sender(digest)
        marks = [(m.name, m.incarnation) for m in digest.leaving[:MAX_LEAVING]]
        for mark in marks:
            _check_name(mark[0])
            _check_name(mark[1], may_be_empty=True)
        demands, shares = _read_demands(digest), _read_shares(digest)
        self._roster.record_heartbeat(sender)
        for member in digest.members[:MAX_MEMBERS]:
            self._apply_member(member)
        self._roster.mark_leaving(marks)
        known = self._roster.find_peer(sender.name)
        if known is None or known.incarnation != sender.incarnation:
            # The sender is a replaced process that resumed, or exceeds the
            # limit on known peers; its demand and shares are ignored.
            return sender.name
        self._hooks.merge_fingerprints(_read_fingerprints(digest))
        for target, work in demands:
            self._hooks.record_demand(sender.name, target, work)
        self._hooks.update_shares(shares)
        self._record_peer_text(
            sender.name, digest.text_version, digest.text_digest
        )
        return sender.name

    def _apply_member(self, member: pb.Member) -> None:
        address = split_address(member.peer_address)
        if address is None or not 0 < len(member.name) <= MAX_NAME_CHARS:
            return
        peer = Peer(
            name=member.name,
            incarnation=member.incarnation,
            zone=member.zone[:MAX_NAME_CHARS],
            host=address[0],
            port=address[1],
            draining=member.draining,
            sequence=member.sequence,
        )
        self._roster.record_member(peer, member.age_ms)


def _read_sender(digest: pb.Digest) -> Peer:
    _check_name(digest.name)
    _check_name(digest.zone, may_be_empty=True)
    address = split_address(digest.peer_address)
    if address is None or not digest.incarnation:
        raise BadDigestError("digest without an address or an incarnation")
    return Peer(
        name=digest.name,
        incarnation=digest.incarnation,
        zone=digest.zone,
        host=address[0],
        port=address[1],
        draining=digest.draining,
        sequence=digest.sequence,
    )


def _check_name(name: str, may_be_empty: bool = False) -> None:
    if len(name) > MAX_NAME_CHARS or not (name or may_be_empty):
        raise BadDigestError(f"name of {len(name)} characters")


def _read_demands(digest: pb.Digest) -> list[tuple[str, tuple[float, ...]]]:
    demands = []
    for demand in digest.demands[:MAX_TARGETS]:
        _check_name(demand.target)
        work = tuple(demand.work_by_tier[:MAX_TIERS])
        if not all(math.isfinite(w) and w >= 0 for w in work):
            raise BadDigestError("demand that is no amount of work")
        demands.append((demand.target, work))
    return demands


def _read_shares(digest: pb.Digest) -> list[Share]:
    shares = []
    for share in digest.shares[:MAX_TARGETS]:
        _check_name(share.target)
        if not (math.isfinite(share.work) and share.work >= 0):
            raise BadDigestError("share that is no amount of work")
        shares.append(Share(share.target, share.work, share.lowest_tier_served))
    return shares


def _read_fingerprints(digest: pb.Digest) -> list[FingerprintEntry]:
    return [
        FingerprintEntry(f.value, _SUSPECT_STATES[f.state], f.remaining_ms)
        for f in digest.fingerprints[:MAX_FINGERPRINTS]
        if f.state in _SUSPECT_STATES and 0 < len(f.value) <= 32
    ]


def _pack_demands(demands: Mapping[str, Sequence[float]]) -> list[pb.Demand]:
    return [
        pb.Demand(target=target, work_by_tier=_drop_idle_tiers(work))
        for target, work in itertools.islice(demands.items(), MAX_TARGETS)
    ]


def _drop_idle_tiers(work: Sequence[float]) -> Sequence[float]:
    """Omits trailing tiers without work, which the receiver takes as 0."""
    count = min(len(work), MAX_TIERS)
    while count and not work[count - 1]:
        count -= 1
    return work[:count]


def _pack_shares(shares: Iterable[Share]) -> list[pb.Share]:
    return [
        pb.Share(
            target=share.target,
            work=share.work,
            lowest_tier_served=share.lowest_tier_served,
        )
        for share in itertools.islice(shares, MAX_TARGETS)
    ]
