"""Estimates of the work that a request causes at a target."""

import dataclasses
import enum

from peridotbend.domain.text import Kind


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEstimate:
    """What a request is expected to cost, before it runs."""

    prompt_tokens: int
    output_tokens: int
    # Hashes of the successive body-prefix blocks; each covers all before it.
    prefix_hashes: tuple[int, ...] = ()

    @property
    def units(self) -> float:
        """Work units: one for each token, prompt or output."""
        return float(self.prompt_tokens + self.output_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkItem:
    """A request as the scheduler sees it."""

    # Unique within the process; never the whole request ID.
    key: str
    kind: Kind
    account: str
    work: WorkEstimate
    deadline_at_ms: int
    # True for a suspected request on trial: it shares no target with
    # another suspect, and runs alone where a target is idle.
    on_trial: bool = False


class GrantOutcome(enum.StrEnum):
    """How the use of a granted target ended."""

    COMPLETED = "completed"
    # Nothing was written: the connection failed or the gate refused.
    NOT_WRITTEN = "not-written"
    CONNECT_FAILED = "connect-failed"
    # The target died or broke the stream after the dispatch.
    DIED = "died"
    TIMED_OUT = "timed-out"
