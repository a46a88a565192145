"""Decides which request the `Idempotency-Key` of a call refers to."""

import dataclasses
from typing import Protocol

from peridotbend.domain.requestids import RequestId, parse_request_id
from peridotbend.domain.text import Kind
from peridotbend.domain.verdicts import Reason


@dataclasses.dataclass(frozen=True, slots=True)
class MintId:
    """The call is a new request, whose ID this process mints."""


@dataclasses.dataclass(frozen=True, slots=True)
class UseId:
    """The key is a request ID minted by some process."""

    request_id: RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Coalesce:
    """The key was chosen by the caller.

    Calls with the same key share a request only if they reach the same process.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseKey:
    """The key does not determine which process may dispatch the request."""

    reason: Reason


KeyDecision = MintId | UseId | Coalesce | RefuseKey


class KeyPolicy(Protocol):
    """Interprets the idempotency keys of calls."""

    def decide(self, key: str, kind: Kind) -> KeyDecision:
        """Returns how to handle the key of a call; "" if it has none."""
        ...


class MintedKeyPolicy:
    """Accepts only minted IDs as keys of non-idempotent requests.

    Any other key does not make such a request safe to resend.
    """

    def decide(self, key: str, kind: Kind) -> KeyDecision:
        """Requires a minted ID for kinds that are not idempotent."""
        request_id = parse_request_id(key) if key else None
        if request_id is not None:
            return UseId(request_id)
        if not kind.idempotent:
            return RefuseKey(Reason.NEEDS_RESERVATION)
        return Coalesce(key) if key else MintId()
