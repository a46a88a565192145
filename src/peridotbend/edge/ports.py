"""What the decisions need from the outside, and what passes between them."""

import dataclasses
import enum
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from result import Result

from peridotbend.domain.ports import AnswerHead, CallError, Headers
from peridotbend.domain.verdicts import Verdict
from peridotbend.edge.published import Changes
from peridotbend.edge.targets import EdgeTarget


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeCall:
    """One attempt of a caller, which names it itself."""

    # Chosen by the caller; each attempt has its own.
    attempt: str
    method: str
    host: str
    # With the query, as it was received.
    path: str
    # Without those that the system sets or that concern one connection.
    headers: Headers
    body: bytes = dataclasses.field(repr=False)
    key: str = dataclasses.field(repr=False, default="")
    # How long the caller waits; None if it did not say.
    deadline_ms: int | None = None
    # None if the caller did not say.
    prompt_tokens: int | None = None
    max_output_tokens: int = 0
    # ID of the prompt's last part, which its session shares.
    session: str = ""
    # The last event that the caller has of a stream that broke.
    last_event_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSend:
    """A request as it goes to one target."""

    call: EdgeCall
    target: EdgeTarget
    account: str
    # Time that the target may work on it.
    deadline_ms: int
    # Resumes a stream after this event; empty to start.
    last_event_id: str
    reuse_connection: bool


class Rejection(enum.Enum):
    """Why a target did not run a request that reached it."""

    # It is full, or the time was up before it began.
    UNAVAILABLE = "unavailable"
    # Another process has the address.
    MISDIRECTED = "misdirected"


class EdgeAnswer(Protocol):
    """An answer of a target whose head has arrived."""

    @property
    def head(self) -> AnswerHead:
        """The status and headers for the caller."""
        ...

    @property
    def is_event_stream(self) -> bool:
        """Whether the body consists of server-sent events."""
        ...

    def chunks(self) -> AsyncIterator[Result[bytes, CallError]]:
        """Yields the body; an Err is the last item when the call breaks."""
        ...


Reply = EdgeAnswer | Rejection | CallError


class EdgeTargetClient(Protocol):
    """Sends requests to targets."""

    def open(
        self, send: TargetSend, gate: Callable[[], bool]
    ) -> AbstractAsyncContextManager[Reply]:
        """Sends a request and waits for the head of the answer.

        `gate` is called directly before the first byte is written; when it
        returns False nothing is written. Leaving the context before the end
        of the answer closes the connection, which ends the run.
        """
        ...


class Responder(Protocol):
    """Sends one answer to the caller."""

    async def start(self, head: AnswerHead) -> None:
        """Sends the status and the headers."""
        ...

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        ...

    async def finish(self) -> None:
        """Ends the body, which makes the answer complete."""
        ...

    async def refuse(self, verdict: Verdict) -> None:
        """Sends an answer of this process."""
        ...


class AnswerBrokenError(Exception):
    """The answer cannot go on; the caller must see that it is incomplete."""


class EdgeMeter(Protocol):
    """Counts what became of requests."""

    def observe_end(self, kind: str, outcome: str, took_ms: int) -> None:
        """Counts the end of a request; kind is that of its route."""
        ...

    def count_send(self, outcome: str) -> None:
        """Counts a send to a target that ended."""
        ...


class StoreFailure(enum.Enum):
    """Why the platform's store gave no changes."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    # The history since that revision is no longer kept.
    COMPACTED = "compacted"
    BAD_ANSWER = "bad-answer"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call to the store."""

    failure: StoreFailure
    detail: str = ""


class PublishedReader(Protocol):
    """Reads what the platform publishes below one prefix."""

    async def list_items(self) -> Result[Changes, StoreError]:
        """Returns a whole copy."""
        ...

    async def watch(
        self, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Returns what changed after a revision, nothing after `wait_ms`."""
        ...
