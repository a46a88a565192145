"""Error messages for callers: what happened and what to do."""

from peridotbend.domain.verdicts import Reason

_MESSAGES = {
    Reason.BAD_INPUT: (
        "The body is not what this kind of request needs; correct it."
    ),
    Reason.TOO_LARGE: (
        "The body is larger than this kind of request accepts; shorten it."
    ),
    Reason.UNKNOWN_KIND: (
        "No kind of request has this path and model; correct them."
    ),
    Reason.UNKNOWN_REQUEST: (
        "No request with this ID is known; check that the ID is whole."
    ),
    Reason.WRONG_METHOD: (
        "This path does not have this method; use one that Allow names."
    ),
    Reason.UNKNOWN_KEY: (
        "No client account has this key; send the key of one."
    ),
    Reason.WRONG_ACCOUNT: (
        "This ID belongs to another client account; use the key that made it."
    ),
    Reason.FORGED_ID: (
        "This ID was never given out; check that it is whole, or reserve one."
    ),
    Reason.EXPIRED: "The ID has expired; reserve a new one.",
    Reason.NEEDS_RESERVATION: (
        "This kind may not run twice, so it needs a reserved ID: POST"
        ' {"service": ..., "kind": ...} to /v1/reservations, then send the'
        " call with that ID as Idempotency-Key."
    ),
    Reason.ID_REUSED: (
        "This ID was reserved for, or used with, another request; send the"
        " same request again or reserve another ID."
    ),
    Reason.CLIENT_LIMIT: (
        "The client account is over its limit; try again later."
    ),
    Reason.SHED: (
        "The load is higher than the capacity for this tier; try again later."
    ),
    Reason.DEADLINE: (
        "The deadline passed while the request was waiting; try again later"
        " or with a longer deadline."
    ),
    Reason.DRAINING: "This instance is shutting down; send the call again.",
    Reason.CALLER_GONE: "The caller left before it could know the ID.",
    Reason.NO_TARGET: (
        "No target of this service can be reached; try again later."
    ),
    Reason.DEPENDENCY_DOWN: (
        "A service that this one depends on is down; try again later."
    ),
    Reason.QUARANTINED: (
        "Requests like this one have crashed targets and are held back; do"
        " not send it again before an operator has looked at it."
    ),
    Reason.ORIGIN_UNKNOWN: (
        "It is not known at which software version this stream began, so it"
        " cannot go on; begin it anew."
    ),
    Reason.TRIAL_BUSY: (
        "A request like this one was on a target that crashed; another copy"
        " is being tried first. Try again later."
    ),
    Reason.AT_CAPACITY: (
        "This instance has no memory left for more requests; try again later."
    ),
    Reason.NO_TEXT: (
        "This instance has no accepted configuration yet; try again later."
    ),
    Reason.CONNECT_FAILED: "No target accepted a connection; try again later.",
    Reason.TARGET_FAILED: (
        "The target failed after the request was sent to it; check its effect"
        " before sending a new one."
    ),
    Reason.TARGET_TIMEOUT: (
        "The target did not answer in time; fetch the answer by its ID later."
    ),
    Reason.ANSWER_TOO_LARGE: (
        "The request ran and its answer is larger than its kind allows; ask"
        " for less."
    ),
    Reason.ANSWER_EVICTED: (
        "The request completed; its answer was delivered before and is no"
        " longer kept, so use that copy."
    ),
    Reason.MINTER_UNREACHABLE: (
        "The instance that gave out this ID cannot be reached; ask again."
    ),
    Reason.FORGOTTEN: (
        "The ID has expired and its outcome is forgotten; check its effect"
        " before sending a new request."
    ),
    Reason.HANDED_OVER: "The request moved to another instance; ask again.",
    Reason.INTERNAL_ERROR: (
        "The instance has a fault; ask for the outcome by the ID, if the"
        " request has one."
    ),
    Reason.NOT_STARTED: (
        "The ID is reserved and no call with it has arrived; make the call, or"
        " send it again if one may be on its way."
    ),
}


def explain_reason(reason: Reason) -> str:
    """Returns the error message for a reason."""
    return _MESSAGES[reason]
