"""Ports: the interfaces through which the domain uses adapters."""

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


# No process that has just answered ends and starts again within this time.
RESTART_MS = 200


class ConnectionCheck(Protocol):
    """Finds out who answers on a connection before a call is sent on it."""

    @property
    def question(self) -> "TargetCall":
        """The call that is sent first."""
        ...

    def is_needed(self, connected_at_ms: int) -> bool:
        """Tells whether the question has to be asked on a connection."""
        ...

    def find_problem(
        self, status: int, body: bytes, connected_at_ms: int, asked_at_ms: int
    ) -> str:
        """Returns why the call must not be sent, or "" if it may be."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """One call to a target."""

    method: str
    path: str
    headers: Headers
    body: bytes = dataclasses.field(repr=False)
    # Time left for the whole call.
    timeout_ms: int
    # False for calls that must not be repeated: they use a new connection.
    reuse_connection: bool = True
    # Asked before the call; None if it does not matter who answers.
    check: ConnectionCheck | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a response."""

    status: int
    headers: Headers
    # Whether the body has a length or chunks, or there is none. If not, it
    # ends with its connection, also when the target crashes.
    is_delimited: bool = True
    # Whether its connection had carried an earlier call.
    is_reused_connection: bool = False
    # When its connection was established. One process answers on it.
    connected_at_ms: int = 0

    @property
    def has_final_status(self) -> bool:
        """Whether HTTP defines the status, and not for an interim answer."""
        return 200 <= self.status <= 599


class CallFailure(enum.StrEnum):
    """How a call to a target failed."""

    # No connection was established, so nothing was written.
    CONNECT = "connect"
    # The host is up but nothing listens on the port. Nothing was written.
    REFUSED = "refused"
    # Another process than the listed one answers. Nothing was written.
    REPLACED = "replaced"
    # The gate refused right before the first byte, so nothing was written.
    GATE = "gate"
    # The connection broke or the target violated the protocol after a write.
    BROKEN = "broken"
    # The answer holds what no run of the request gives.
    FOREIGN = "foreign"
    # The answer has ended, and nothing shows that it is whole.
    UNCONFIRMED = "unconfirmed"
    TIMEOUT = "timeout"
    TOO_LARGE = "too-large"


@dataclasses.dataclass(frozen=True, slots=True)
class CallError:
    """A failed call; `written` tells whether any byte may have been sent."""

    failure: CallFailure
    written: bool
    detail: str = ""
    # Whether it may tell something of the target.
    blames_target: bool = True
    # Whether bytes came that are no HTTP, and the other side had not closed.
    is_garbled: bool = False


class TargetAnswer(Protocol):
    """A response whose head has arrived."""

    @property
    def head(self) -> AnswerHead:
        """The status and headers."""
        ...

    def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the body; if the call fails, an Err is the last item."""
        ...


class TargetClient(Protocol):
    """Sends calls to targets."""

    def open(
        self, target: Target, call: TargetCall, gate: Callable[[], bool]
    ) -> AbstractAsyncContextManager[Result[TargetAnswer, CallError]]:
        """Sends a call and waits for the head of the response.

        `gate` is called once, after the connection is established and before
        the first byte is written, with no await between it and the write. If
        it returns False, nothing is written.
        """
        ...

    async def check_listening(self, target: Target) -> CallError | None:
        """Connects to a target, and returns why that failed, if it did."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCall:
    """A request or fetch forwarded to the instance that minted its ID."""

    request_id: str
    account: str
    # False for a fetch, which never starts the request.
    may_start: bool
    method: str = ""
    path: str = ""
    headers: Headers = ()
    body: bytes = dataclasses.field(repr=False, default=b"")
    offset: int = 0
    # Time left, as requested by the caller; 0 uses the kind's deadline.
    deadline_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPart:
    """A part of an answer; the last one carries the verdict."""

    # Set on the first part if the request has an ID.
    request_id: str = dataclasses.field(repr=False, default="", kw_only=True)
    head: AnswerHead | None = None
    data: bytes = dataclasses.field(repr=False, default=b"")
    verdict: Verdict | None = None


class RecordState(enum.StrEnum):
    """State of a request record."""

    # The ID was issued, but no request was sent with it yet.
    RESERVED = "reserved"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    COMPLETED = "completed"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    # Handed over to a peer, which may dispatch it; this process never will.
    HANDED_OVER = "handed-over"


@dataclasses.dataclass(frozen=True, slots=True)
class HandedRecord:
    """A record that a process hands over to a peer when it shuts down."""

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
    """Handles the calls of the peer protocol on the server side."""

    def serve_peer(self, call: PeerCall) -> AsyncIterator[AnswerPart]:
        """Serves a call for a request minted or taken over by this process."""
        ...

    def import_records(
        self, origin: str, incarnation: int, records: list[HandedRecord]
    ) -> list[str]:
        """Takes over records and returns the IDs that were accepted."""
        ...


class PeerUnreachableError(Exception):
    """No peer that holds the record could be reached."""


class PeerClient(Protocol):
    """Calls other entry instances."""

    def forward(
        self, name: str, incarnation: int, call: PeerCall
    ) -> AsyncIterator[AnswerPart]:
        """Yields the answer from the instance that minted the ID.

        Falls back to the peers that may have taken over its records.

        Raises:
            PeerUnreachableError: no instance that holds the record answered.
        """
        ...

    async def request_trial(
        self, fingerprint: bytes, permit_ms: int
    ) -> "TrialAnswer":
        """Asks the owner of the fingerprint for a permit to run it.

        `permit_ms` is the longest time that the run may take.
        """
        ...

    async def report_trial(
        self, fingerprint: bytes, outcome: "TrialOutcome"
    ) -> None:
        """Reports the outcome of the trial to the owner of the fingerprint."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class TrialAnswer:
    """The answer to a request for a trial permit."""

    granted: bool
    quarantined: bool = False
    retry_after_ms: int = 0


class SuspectState(enum.Enum):
    """Whether requests with a fingerprint are known to crash targets."""

    CLEAN = 0
    SUSPECT = 1
    QUARANTINED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintEntry:
    """The state of a fingerprint, as exchanged between peers."""

    value: bytes
    # CLEAN means that the fingerprint was a suspect and has been cleared.
    state: SuspectState
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The share of a target's window that one process may use."""

    target: str
    # In work units.
    work: float
    # Largest tier index whose demand the division of the window still met;
    # -1 if there was none.
    lowest_tier_served: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load published by an engine; it may be seconds old."""

    # Age of the report when it was received.
    age_ms: int
    running: int
    waiting_tokens: int
    incarnation: str


class LoadReader(Protocol):
    """Asks runners for their load."""

    async def read_report(self, target: Target) -> LoadReport | None:
        """Returns what a runner reports now, or None without a valid report."""
        ...


class InstanceRole(enum.StrEnum):
    """Role of an instance in the platform's list."""

    ENTRY = "entry"
    TARGET = "target"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceInfo:
    """An entry of the platform's list of instances, which may be stale."""

    name: str
    role: InstanceRole
    zone: str
    host: str
    port: int
    # Port of the peer protocol; 0 for targets, which do not speak it.
    peer_port: int
    incarnation: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformError:
    """A call to the platform failed."""

    detail: str


class PlatformReader(Protocol):
    """Reads the configuration and instance list that the platform publishes."""

    async def watch_config(
        self, newer_than: int, wait_ms: int
    ) -> Result[str | None, PlatformError]:
        """Waits for a newer configuration; returns its source or None.

        Returns None if nothing was published before `wait_ms` ended.
        """
        ...

    async def watch_instances(
        self, after_revision: int, wait_ms: int
    ) -> Result[tuple[int, tuple[InstanceInfo, ...]] | None, PlatformError]:
        """Waits for a newer revision of the list; returns it or None.

        Returns None if nothing was published before `wait_ms` ended.
        """
        ...


class TrialOutcome(enum.Enum):
    """Outcome of the trial run of a suspect."""

    SUCCEEDED = "succeeded"
    CRASHED = "crashed"
    # Nothing was written, or the target neither answered nor crashed.
    INCONCLUSIVE = "inconclusive"


class EventLog(Protocol):
    """Writes numbered log events."""

    def emit(self, event: Event, **fields: object) -> None:
        """Writes one event with its fields."""
        ...


class Meter(Protocol):
    """Records the service metrics."""

    def count_verdict(self, service: str, tier: str, verdict: Verdict) -> None:
        """Counts the verdict of a request."""
        ...

    def count_goodput(self, service: str, tier: str) -> None:
        """Counts a request that completed before its deadline."""
        ...

    def count_shed(self, service: str, tier: str) -> None:
        """Counts a request that was shed."""
        ...

    def count_wasted_prefill(self, service: str, tokens: int) -> None:
        """Counts prompt tokens whose processing was wasted or repeated."""
        ...

    def observe_queue_wait(self, tier: str, wait_ms: int) -> None:
        """Records how long a request waited for a target."""
        ...
