"""Digests of calls, and conversions between caller and peer calls."""

import hashlib

from peridotbend.domain.ports import PeerCall
from peridotbend.domain.records import CallerCall
from peridotbend.domain.requestids import RequestId


def _digest_parts(method: str, path: str, body: bytes) -> bytes:
    hasher = hashlib.blake2b(digest_size=16)
    hasher.update(f"{method} {path}\n".encode())
    hasher.update(body)
    return hasher.digest()


def digest_call(call: CallerCall) -> bytes:
    """Returns the digest that has to match when an ID is used again."""
    return _digest_parts(call.method, call.path, call.body)


def digest_peer_call(call: PeerCall) -> bytes:
    """Returns the digest of a forwarded call, equal to `digest_call`'s."""
    return _digest_parts(call.method, call.path, call.body)


def make_peer_call(request_id: RequestId, call: CallerCall) -> PeerCall:
    """Returns the call to forward to the instance that holds its record."""
    return PeerCall(
        request_id.token,
        call.account,
        may_start=True,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        deadline_ms=call.deadline_ms,
    )


def make_caller_call(call: PeerCall) -> CallerCall:
    """Returns a forwarded call as its caller sent it."""
    return CallerCall(
        call.account,
        call.method,
        call.path,
        call.headers,
        call.body,
        call.request_id,
        call.deadline_ms,
    )
