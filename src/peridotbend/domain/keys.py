"""Decides which request a caller's `Idempotency-Key` names."""

import dataclasses
from typing import Protocol

from peridotbend.domain.requestids import RequestId, parse_request_id
from peridotbend.domain.text import Kind
from peridotbend.domain.verdicts import Reason


@dataclasses.dataclass(frozen=True, slots=True)
class MintId:
    """A new request: this process mints its ID."""


@dataclasses.dataclass(frozen=True, slots=True)
class UseId:
    """The request of an ID that some process minted."""

    request_id: RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Coalesce:
    """A key of the caller's own; copies meet only on this process."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseKey:
    """The call cannot be tied to one dispatcher."""

    reason: Reason


KeyDecision = MintId | UseId | Coalesce | RefuseKey


class KeyPolicy(Protocol):
    """Rule by which callers name their requests."""

    def decide(self, key: str, kind: Kind) -> KeyDecision:
        """Returns what the key of a call means for its kind."""
        ...


class MintedKeyPolicy:
    """Only minted IDs make a non-idempotent request safe to send again."""

    def decide(self, key: str, kind: Kind) -> KeyDecision:
        """Requires a minted ID for kinds that are not idempotent."""
        request_id = parse_request_id(key) if key else None
        if request_id is not None:
            return UseId(request_id)
        if not kind.idempotent:
            return RefuseKey(Reason.NEEDS_RESERVATION)
        return Coalesce(key) if key else MintId()
