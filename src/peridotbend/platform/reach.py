"""Tells answers of targets from those of what stands before them."""

from peridotbend.domain.ports import AnswerHead, TargetCall
from peridotbend.domain.streams import find_header, list_header_values
from peridotbend.platform import wire

MISDIRECTED_STATUS = 421
# Of a target that does not have the call.
UNKNOWN_CALL_STATUS = 404

PROBE_CALL = TargetCall(
    "GET", wire.REPORT_CALL, (), b"", 500, reuse_connection=False
)


def is_target_answer(call: TargetCall, head: AnswerHead) -> bool | None:
    """Tells whether a target gave an answer; None if that can't be told.

    Targets echo the attempt ID and stamp their answers. Something else that
    echoes headers has no stamp. Rejections need neither.
    """
    attempts = [v for n, v in call.headers if n.lower() == wire.ATTEMPT_ID]
    if not attempts:
        return None
    if head.status == MISDIRECTED_STATUS or find_header(
        head, wire.NOT_EXECUTED
    ):
        return True
    return attempts[0] in list_header_values(head, wire.ATTEMPT_ID) and bool(
        find_header(head, wire.SERVER_STAMP)
    )


def is_report(head: AnswerHead) -> bool:
    """Tells whether an answer to the probe comes from a target."""
    if head.status == UNKNOWN_CALL_STATUS:
        return True
    content_type = find_header(head, "content-type")
    return head.status == 200 and content_type.startswith("application/json")
