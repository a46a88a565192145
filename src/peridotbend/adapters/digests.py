"""Encoding of digests as datagrams."""

import functools
import ipaddress
import socket
from collections.abc import Iterable, Sequence
from typing import TypeVar

from google.protobuf.message import DecodeError

from peridotbend.edge.allowances import AllowanceUse
from peridotbend.edge.evidence import Death, Suspicion
from peridotbend.edge.peers import Digest, Member, Scope
from peridotbend.edge.published import FeedState, Position
from peridotbend.edge.ratelimits import NamedLimit
from peridotbend.wire import edge_pb2 as pb

# A larger datagram would be fragmented, and lost with any of its fragments.
MAX_DATAGRAM_BYTES = 1_400
# Reserved for the echo, which differs for each receiver.
ECHO_BYTES = 32
# Hosts listed in one digest; receivers learn the others from other peers.
MAX_KNOWN_HOSTS = 64
MAX_NAME_CHARS = 256
Value = TypeVar("Value", int, float)
# Bounds of numbers in one digest. The sums over all peers fit the fields that
# they are sent in.
MAX_IN_FLIGHT = 1_000_000
MAX_INSTANCES = 65_536
MAX_AMOUNT = 1e15
# Of what an instance or the store counts.
MAX_SEQUENCE = 2**63 - 1
# Leaves room for an age to grow until it is passed on.
MAX_AGE_UNITS = 2**31
# Unit of outstanding prompt tokens. It is read in less than a ms, and lets most
# amounts fit into two bytes.
TOKEN_UNIT = 16
MAX_TOKEN_UNITS = 2**26
# Unit of the ages of members and of deaths.
AGE_UNIT_MS = 100
# Lists of a digest in the order in which entries are omitted from one that is
# too large; the least urgent first.
_OMITTED_FIRST = (
    "target_prompt_units",
    "known_hosts",
    "members",
    "accounts",
    "uses",
    "crashes",
)

_SCOPES = {
    Scope.OWN: pb.OWN,
    Scope.GROUP: pb.GROUP,
    Scope.FLEET: pb.FLEET,
    Scope.NEWS: pb.NEWS,
}
_SCOPES_BY_NUMBER = {number: scope for scope, number in _SCOPES.items()}


def encode_digest(digest: Digest) -> bytes:
    """Returns a datagram.

    A datagram that would be too large omits its least urgent entries.
    """
    message = pb.UseDigest(
        name=digest.name,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        host=digest.host,
        draining=digest.is_draining,
        known_hosts=digest.known_hosts[:MAX_KNOWN_HOSTS],
        feeds=[
            pb.FeedState(
                prefix=prefix,
                revision=state.position.revision,
                era=state.position.era,
                version=state.version,
            )
            for prefix, state in digest.feeds.items()
        ],
        uses=[
            pb.TargetUse(
                target=target,
                in_flight=count,
                prompt_units=_pack_tokens(digest.prompt_tokens.get(target, 0)),
            )
            for target, count in digest.in_flight.items()
        ],
        accounts=[
            pb.AccountUse(
                account=account, spent_tokens=use.spent, level_tokens=use.level
            )
            for account, use in digest.allowances.items()
        ],
        crashes=map(_pack_suspicion, digest.crashes),
        limits=map(_pack_limit, digest.limits),
        brittle=map(_pack_limit, digest.brittle),
        leaving=digest.leaving,
        scope=_SCOPES[digest.scope],
        zone=digest.zone,
        store_reachable=digest.is_store_reachable,
        live_instances=digest.live_instances,
        expected_instances=digest.expected_instances,
        target_hashes=digest.target_counts.keys(),
        target_counts=digest.target_counts.values(),
        target_prompt_units=_list_prompt_units(digest),
        partial_counts=digest.is_partial,
        members=_pack_members(digest.members),
        places_by_target=digest.places_by_target,
    )
    if digest.account_levels:
        message.account_hashes.extend(digest.account_levels.keys())
        message.account_levels.extend(digest.account_levels.values())
    elif digest.account_spent:
        message.account_hashes.extend(digest.account_spent.keys())
        message.account_spent.extend(digest.account_spent.values())
    for name in _OMITTED_FIRST:
        entries = getattr(message, name)
        while message.ByteSize() > MAX_DATAGRAM_BYTES - ECHO_BYTES and entries:
            del entries[len(entries) // 2 :]
    return message.SerializeToString()


def encode_echo(echo: tuple[int, int]) -> bytes:
    """Returns what to append to a datagram for one receiver."""
    return pb.UseDigest(
        echoed_incarnation=echo[0], echoed_sequence=max(0, echo[1])
    ).SerializeToString()


def decode_digest(data: bytes) -> Digest | None:
    """Returns a digest, or None if the datagram is malformed."""
    message = pb.UseDigest()
    try:
        message.ParseFromString(data)
    except DecodeError:
        return None
    if not message.name or not message.host:
        return None
    scope = _SCOPES_BY_NUMBER.get(message.scope)
    if scope is None or len(message.zone) > MAX_NAME_CHARS:
        return None
    if max(message.sequence, message.echoed_sequence) > MAX_SEQUENCE:
        return None
    levels = _zip_dict(message.account_hashes, message.account_levels)
    spent = _zip_dict(message.account_hashes, message.account_spent)
    uses = {
        use.account: AllowanceUse(use.spent_tokens, use.level_tokens)
        for use in message.accounts
    }
    amounts = [*levels.values(), *spent.values()]
    amounts += [
        amount for use in uses.values() for amount in (use.spent, use.level)
    ]
    # Also refuses amounts that are no numbers.
    if not all(-MAX_AMOUNT <= amount <= MAX_AMOUNT for amount in amounts):
        return None
    return Digest(
        name=message.name,
        incarnation=message.incarnation,
        sequence=message.sequence,
        host=message.host,
        is_draining=message.draining,
        known_hosts=tuple(
            filter(_is_ip, message.known_hosts[:MAX_KNOWN_HOSTS])
        ),
        feeds={
            feed.prefix: FeedState(
                Position(feed.era, feed.revision), feed.version
            )
            for feed in message.feeds
            if max(feed.era, feed.revision, feed.version) <= MAX_SEQUENCE
        },
        in_flight={
            use.target: min(use.in_flight, MAX_IN_FLIGHT)
            for use in message.uses
            if use.in_flight
        },
        allowances=uses,
        crashes=tuple(map(_unpack_suspicion, message.crashes)),
        limits=_unpack_limits(message.limits),
        brittle=_unpack_limits(message.brittle),
        leaving=tuple(message.leaving),
        scope=scope,
        zone=message.zone,
        is_store_reachable=message.store_reachable,
        live_instances=min(message.live_instances, MAX_INSTANCES),
        expected_instances=min(message.expected_instances, MAX_INSTANCES),
        prompt_tokens={
            use.target: _unpack_tokens(use.prompt_units)
            for use in message.uses
            if use.prompt_units
        },
        target_counts=_unpack_counts(message),
        target_prompt_tokens=_unpack_prompt_units(message),
        is_partial=message.partial_counts,
        account_levels=levels,
        account_spent=spent,
        members=_unpack_members(message.members),
        echo=(message.echoed_incarnation, message.echoed_sequence),
        places_by_target=message.places_by_target,
    )


@functools.lru_cache(maxsize=4_096)
def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    # A scope is that of another machine, and may be any text.
    return "%" not in host


def _unpack_counts(message: pb.UseDigest) -> dict[int, int]:
    """Returns counts by target; only a partial list takes some back with 0."""
    counts = _zip_dict(message.target_hashes, message.target_counts)
    return {
        target: min(count, MAX_IN_FLIGHT)
        for target, count in counts.items()
        if count or message.partial_counts
    }


def _list_prompt_units(digest: Digest) -> list[int]:
    """Returns the tokens in the order of the counts; none if all are 0."""
    tokens = digest.target_prompt_tokens
    if not any(tokens.values()):
        return []
    return [_pack_tokens(tokens.get(name, 0)) for name in digest.target_counts]


def _unpack_prompt_units(message: pb.UseDigest) -> dict[int, int]:
    units = _zip_dict(message.target_hashes, message.target_prompt_units)
    return {target: _unpack_tokens(n) for target, n in units.items() if n}


def _pack_tokens(tokens: int) -> int:
    return min(-(-tokens // TOKEN_UNIT), MAX_TOKEN_UNITS)


def _unpack_tokens(units: int) -> int:
    return min(units, MAX_TOKEN_UNITS) * TOKEN_UNIT


def _pack_suspicion(suspicion: Suspicion) -> pb.Suspicion:
    deaths = suspicion.deaths
    return pb.Suspicion(
        trait=suspicion.trait,
        targets=[death.target for death in deaths],
        ages=[_pack_age(death.age_ms) for death in deaths],
        withdrawn=[death.is_withdrawn for death in deaths],
        was_sound=suspicion.was_sound,
    )


def _unpack_suspicion(packed: pb.Suspicion) -> Suspicion:
    deaths = tuple(
        Death(target, _unpack_age(age), is_withdrawn)
        for target, age, is_withdrawn in zip(
            packed.targets, packed.ages, packed.withdrawn, strict=False
        )
    )
    return Suspicion(packed.trait, deaths, packed.was_sound)


def _pack_age(age_ms: int) -> int:
    return min(max(0, age_ms) // AGE_UNIT_MS, MAX_AGE_UNITS)


def _pack_limit(limit: NamedLimit) -> pb.TargetLimit:
    return pb.TargetLimit(
        target=limit.target,
        per_s=limit.per_s or 0.0,
        # Rounded up, as a report must not look newer than it is.
        age=_pack_age(limit.age_ms + AGE_UNIT_MS - 1),
        lifted=limit.per_s is None,
    )


def _unpack_limits(
    limits: Iterable[pb.TargetLimit],
) -> tuple[NamedLimit, ...]:
    # Leaves out what is no number as well.
    return tuple(
        _unpack_limit(packed)
        for packed in limits
        if 0 <= packed.per_s <= MAX_AMOUNT
    )


def _unpack_limit(packed: pb.TargetLimit) -> NamedLimit:
    per_s = None if packed.lifted else packed.per_s
    return NamedLimit(packed.target, per_s, _unpack_age(packed.age))


def _pack_members(members: Sequence[Member]) -> list[pb.ZoneMembers]:
    by_zone: dict[str, pb.ZoneMembers] = {}
    for member in members:
        try:
            packed = socket.inet_aton(member.host)
        except OSError:
            # A seed whose host is no IPv4 address; only its own digests can
            # make it known.
            continue
        zone = by_zone.setdefault(member.zone, pb.ZoneMembers(zone=member.zone))
        zone.hosts.append(int.from_bytes(packed, "big"))
        zone.ages.append(_pack_age(member.age_ms))
        zone.draining.append(member.is_draining)
    return list(by_zone.values())


def _unpack_members(zones: Sequence[pb.ZoneMembers]) -> tuple[Member, ...]:
    return tuple(
        Member(
            socket.inet_ntoa(host.to_bytes(4, "big")),
            zone.zone,
            _unpack_age(age),
            is_draining,
        )
        for zone in zones
        if len(zone.zone) <= MAX_NAME_CHARS
        for host, age, is_draining in zip(
            zone.hosts, zone.ages, zone.draining, strict=False
        )
    )


def _unpack_age(units: int) -> int:
    return min(units, MAX_AGE_UNITS) * AGE_UNIT_MS


def _zip_dict(keys: Iterable[int], values: Iterable[Value]) -> dict[int, Value]:
    """Returns a dictionary; a malformed digest may have fewer values."""
    return dict(zip(keys, values, strict=False))
