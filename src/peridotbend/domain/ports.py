"""Ports: what the domain needs from the outside."""

import dataclasses
import enum
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from result import Result

from peridotbend.domain.events import Event
from peridotbend.domain.text import Target
from peridotbend.domain.verdicts import Verdict

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """One call to a target."""

    method: str
    path: str
    headers: Headers
    body: bytes = dataclasses.field(repr=False)
    # Time left for the whole call.
    timeout_ms: int
    # False for calls that may not be repeated: they use a fresh connection.
    reuse_connection: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers


class CallFailure(enum.StrEnum):
    """How a call to a target failed."""

    # No connection: nothing was written.
    CONNECT = "connect"
    # The same; the host is there and nothing listens on the port.
    REFUSED = "refused"
    # The gate refused just before the first byte: nothing was written.
    GATE = "gate"
    # The connection broke, or the target broke the protocol, after a write.
    BROKEN = "broken"
    TIMEOUT = "timeout"
    TOO_LARGE = "too-large"


@dataclasses.dataclass(frozen=True, slots=True)
class CallError:
    """A failed call: `written` tells whether any byte may have left."""

    failure: CallFailure
    written: bool
    detail: str = ""


class TargetAnswer(Protocol):
    """An answer whose head has arrived."""

    @property
    def head(self) -> AnswerHead:
        """The status and headers."""
        ...

    def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the body; an Err is the last item when the call breaks."""
        ...


class TargetClient(Protocol):
    """Sends calls to targets."""

    def open(
        self, target: Target, call: TargetCall, gate: Callable[[], bool]
    ) -> AbstractAsyncContextManager[Result[TargetAnswer, CallError]]:
        """Sends a call and waits for the head of the answer.

        `gate` is called once, after the connection stands and before the
        first byte is written, with no await between it and the write. When
        it returns False nothing is written.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCall:
    """A request, or a fetch, forwarded to the instance that minted its ID."""

    request_id: str
    account: str
    # False only fetches the answer and never starts the request.
    may_start: bool
    method: str = ""
    path: str = ""
    headers: Headers = ()
    body: bytes = dataclasses.field(repr=False, default=b"")
    offset: int = 0
    # Time left as the caller asked for it; 0 takes the kind's deadline.
    deadline_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPart:
    """A piece of an answer; the last one carries the verdict."""

    # Set on the first part when the request has an ID.
    request_id: str = dataclasses.field(repr=False, default="", kw_only=True)
    head: AnswerHead | None = None
    data: bytes = dataclasses.field(repr=False, default=b"")
    verdict: Verdict | None = None


class RecordState(enum.StrEnum):
    """What has become of a request at the instance that minted its ID."""

    # The ID was given out and nothing was sent with it yet.
    RESERVED = "reserved"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    COMPLETED = "completed"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    # A peer may dispatch it now; this process never will.
    HANDED_OVER = "handed-over"


@dataclasses.dataclass(frozen=True, slots=True)
class HandedRecord:
    """A record that a process passes to a peer when it shuts down."""

    request_id: str
    account: str
    service: str
    kind: str
    state: RecordState
    # Time until the ID expires.
    remaining_ms: int
    method: str = ""
    path: str = ""
    headers: Headers = ()
    body: bytes = dataclasses.field(repr=False, default=b"")
    deadline_remaining_ms: int = 0
    head: AnswerHead | None = None
    answer: bytes = dataclasses.field(repr=False, default=b"")
    verdict: Verdict | None = None


class PeerHandler(Protocol):
    """What the server side of the peer protocol calls."""

    def serve_peer(self, call: PeerCall) -> AsyncIterator[AnswerPart]:
        """Serves a call for an ID that this process minted or took over."""
        ...

    def import_records(
        self, origin: str, incarnation: int, records: list[HandedRecord]
    ) -> list[str]:
        """Takes over records and returns the IDs that were accepted."""
        ...


class PeerUnreachableError(Exception):
    """No peer that holds the record could be reached."""


class PeerClient(Protocol):
    """Forwards calls to other entry instances."""

    def forward(
        self, name: str, incarnation: int, call: PeerCall
    ) -> AsyncIterator[AnswerPart]:
        """Yields the parts of the answer from the instance that minted.

        Falls back to the peers that may have taken over its records.

        Raises:
            PeerUnreachableError: nobody that holds the record answered.
        """
        ...

    async def request_trial(
        self, fingerprint: bytes, permit_ms: int
    ) -> "TrialAnswer":
        """Asks the owner of the fingerprint for permission to run it.

        `permit_ms` is the longest time that the run may take.
        """
        ...

    async def report_trial(
        self, fingerprint: bytes, outcome: "TrialOutcome"
    ) -> None:
        """Tells the owner how the trial ended."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class TrialAnswer:
    """The answer to a request for a trial permit."""

    granted: bool
    quarantined: bool = False
    retry_after_ms: int = 0


class SuspectState(enum.Enum):
    """What is known about a request fingerprint."""

    CLEAN = 0
    SUSPECT = 1
    QUARANTINED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintEntry:
    """The state of a fingerprint as peers tell it to each other."""

    value: bytes
    # CLEAN here means cleared by a trial that succeeded.
    state: SuspectState
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The part of a target's window that one process may use."""

    target: str
    # Work units.
    work: float
    # Largest tier index that the division still served; -1 if none.
    lowest_tier_served: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an engine published; it may be seconds old."""

    # Age of the report when it was received.
    age_ms: int
    running: int
    waiting_tokens: int
    incarnation: str


class InstanceRole(enum.StrEnum):
    """What an instance in the platform's list is."""

    ENTRY = "entry"
    TARGET = "target"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceInfo:
    """One line of the platform's lagging list of instances."""

    name: str
    role: InstanceRole
    zone: str
    host: str
    port: int
    # Port of the peer protocol; 0 for targets.
    peer_port: int
    incarnation: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformError:
    """The platform did not give an answer."""

    detail: str


class PlatformReader(Protocol):
    """Reads what the platform publishes."""

    async def watch_config(
        self, newer_than: int, wait_ms: int
    ) -> Result[str | None, PlatformError]:
        """Returns a text published after that version, or None at the end."""
        ...

    async def watch_instances(
        self, after_revision: int, wait_ms: int
    ) -> Result[tuple[int, tuple[InstanceInfo, ...]] | None, PlatformError]:
        """Returns a newer revision of the list, or None when the wait ends."""
        ...


class TrialOutcome(enum.Enum):
    """How a trial ended."""

    SUCCEEDED = "succeeded"
    CRASHED = "crashed"
    # Nothing was written, or the target neither answered nor died.
    INCONCLUSIVE = "inconclusive"


class EventLog(Protocol):
    """Writes numbered log events."""

    def emit(self, event: Event, **fields: object) -> None:
        """Writes one event with its fields."""
        ...


class Meter(Protocol):
    """Counts what the product is measured by."""

    def count_verdict(self, service: str, tier: str, verdict: Verdict) -> None:
        """Counts the verdict that a request ended with."""
        ...

    def count_goodput(self, service: str, tier: str) -> None:
        """Counts a request that completed before its deadline."""
        ...

    def count_shed(self, service: str, tier: str) -> None:
        """Counts a request that was shed."""
        ...

    def count_wasted_prefill(self, service: str, tokens: int) -> None:
        """Counts prompt tokens whose processing was thrown away or redone."""
        ...

    def observe_queue_wait(self, tier: str, wait_ms: int) -> None:
        """Records how long a request waited for a target."""
        ...
