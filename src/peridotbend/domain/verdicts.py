"""Verdicts: what a caller can rely on about the fate of its request."""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Why a request was refused or its outcome is unknown."""

    BAD_INPUT = "bad-input"
    TOO_LARGE = "too-large"
    UNKNOWN_KIND = "unknown-kind"
    UNKNOWN_REQUEST = "unknown-request"
    WRONG_METHOD = "wrong-method"
    WRONG_ACCOUNT = "wrong-account"
    UNKNOWN_KEY = "unknown-key"
    FORGED_ID = "forged-id"
    EXPIRED = "expired"
    NEEDS_RESERVATION = "needs-reservation"
    ID_REUSED = "id-reused"
    CLIENT_LIMIT = "client-limit"
    SHED = "shed"
    DEADLINE = "deadline"
    DRAINING = "draining"
    CALLER_GONE = "caller-gone"
    NO_TARGET = "no-target"
    ORIGIN_UNKNOWN = "origin-unknown"
    DEPENDENCY_DOWN = "dependency-down"
    QUARANTINED = "quarantined"
    TRIAL_BUSY = "trial-busy"
    AT_CAPACITY = "at-capacity"
    NO_TEXT = "no-text"
    CONNECT_FAILED = "connect-failed"
    TARGET_FAILED = "target-failed"
    TARGET_TIMEOUT = "target-timeout"
    ANSWER_TOO_LARGE = "answer-too-large"
    ANSWER_EVICTED = "answer-evicted"
    MINTER_UNREACHABLE = "minter-unreachable"
    FORGOTTEN = "forgotten"
    HANDED_OVER = "handed-over"
    NOT_STARTED = "not-started"
    INTERNAL_ERROR = "internal-error"


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was never sent to a target and never will be."""

    reason: Reason
    retry_after_ms: int = 0
    label: str = dataclasses.field(default="not-run", init=False)


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run; it will not be sent to a target again."""

    reason: Reason
    retry_after_ms: int = 0
    label: str = dataclasses.field(default="may-have-run", init=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The target answered and the complete answer was received."""

    # Set if the request completed but its answer cannot be sent.
    reason: Reason | None = None
    label: str = dataclasses.field(default="completed", init=False)


Verdict = NotRun | MayHaveRun | Completed

STATUS_BY_REASON: dict[Reason, int] = {
    Reason.BAD_INPUT: 400,
    Reason.TOO_LARGE: 413,
    Reason.UNKNOWN_KIND: 404,
    Reason.UNKNOWN_REQUEST: 404,
    Reason.WRONG_METHOD: 405,
    Reason.WRONG_ACCOUNT: 403,
    Reason.UNKNOWN_KEY: 401,
    Reason.FORGED_ID: 400,
    Reason.EXPIRED: 410,
    Reason.NEEDS_RESERVATION: 428,
    Reason.ID_REUSED: 422,
    Reason.CLIENT_LIMIT: 429,
    Reason.SHED: 503,
    Reason.DEADLINE: 504,
    Reason.DRAINING: 503,
    Reason.CALLER_GONE: 499,
    Reason.NO_TARGET: 503,
    Reason.ORIGIN_UNKNOWN: 503,
    Reason.DEPENDENCY_DOWN: 503,
    Reason.QUARANTINED: 503,
    Reason.TRIAL_BUSY: 503,
    Reason.AT_CAPACITY: 503,
    Reason.NO_TEXT: 503,
    Reason.CONNECT_FAILED: 503,
    Reason.TARGET_FAILED: 502,
    Reason.TARGET_TIMEOUT: 504,
    Reason.ANSWER_TOO_LARGE: 502,
    Reason.ANSWER_EVICTED: 410,
    Reason.MINTER_UNREACHABLE: 503,
    Reason.FORGOTTEN: 410,
    Reason.HANDED_OVER: 503,
    Reason.NOT_STARTED: 409,
    Reason.INTERNAL_ERROR: 500,
}
