"""Explains from structured logs why a request ended as it did.

Logs are available after the process has ended, and one file may contain the
lines of several instances. All times are the timestamps of the lines.
"""

import collections
import dataclasses
import datetime
import json
from collections.abc import Iterable, Iterator, Mapping

from peridotbend.domain.events import Event
from peridotbend.domain.verdicts import Reason

# Events at the instance this long before the end of a request are reported,
# because they are likely to be related to it.
LOOKBACK_S = 10.0
# Calls to the same target within this time before or after a failure show
# whether the target or the request was at fault.
NEARBY_S = 2.0

Entry = Mapping[str, object]

# Events that belong to no request and show the state of an instance.
_CONTEXT_EVENTS = {
    Event.PROCESS_STARTED.label,
    Event.DRAIN_STARTED.label,
    Event.SETTINGS_RELOADED.label,
    Event.CONFIG_ACCEPTED.label,
    Event.CONFIG_REFUSED.label,
    Event.PLATFORM_UNREACHABLE.label,
    Event.PLATFORM_REACHED.label,
    Event.PEER_LOST.label,
    Event.TARGET_REMOVED.label,
    Event.TARGET_LEAVING.label,
    Event.SUSPECT_RECORDED.label,
    Event.CRASH_CAUSE_FOUND.label,
    Event.LINES_DROPPED.label,
}
_CAUSE_BY_REASON: dict[str, str] = {
    Reason.SHED: "no target of its service had capacity in time",
    Reason.AT_CAPACITY: "too many requests were waiting at this instance",
    Reason.CLIENT_LIMIT: "the allowance of its account was used up",
    Reason.NO_TARGET: "this instance had no target of its service",
    Reason.UNKNOWN_KIND: "no route of the configuration matches it",
    Reason.UNKNOWN_KEY: "no account of the configuration holds its key",
    Reason.QUARANTINED: (
        "targets crashed earlier with the same request in flight"
    ),
    Reason.NO_TEXT: "this process had no configuration yet",
    Reason.DEADLINE: "its time limit passed before a target had capacity",
    Reason.TARGET_FAILED: "a target started processing it and failed",
    Reason.TARGET_TIMEOUT: "its time limit passed while a target processed it",
    Reason.CONNECT_FAILED: "no target could be reached",
}
_CAUSE_BY_LAST_EVENT = {
    Event.ANSWER_BROKEN.label: (
        "its answer had begun, and no target could complete it; `phase` tells "
        "what it waited for"
    ),
    Event.CALLER_GONE.label: "its caller closed the connection before the end",
    Event.REQUEST_DISPATCHED.label: (
        "the log ends while it was at a target; the process may have been "
        "killed"
    ),
    Event.TARGET_CALL_FAILED.label: "the log ends after a target call failed",
    Event.TARGET_REJECTED.label: "the log ends after a target rejected it",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs show about an attempt, as lines of text."""

    is_found: bool
    report: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A structured log line."""

    at_s: float
    entry: Entry

    @property
    def event(self) -> str:
        """The event label, or "" if there is none."""
        return str(self.entry.get("event", ""))


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parses JSON lines; skips other lines and any prefix before the JSON."""
    at_s = 0.0
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            entry = json.loads(text[start:])
            if "timestamp" in entry:
                logged_at = datetime.datetime.fromisoformat(entry["timestamp"])
                at_s = logged_at.timestamp()
        except (ValueError, TypeError):
            # Tracebacks, and lines that other programs wrote.
            continue
        # The lines-dropped event has no timestamp; it gets the time of the
        # previous line.
        yield LogLine(at_s, entry)


def explain_attempt(lines: Iterable[LogLine], attempt: str) -> Explanation:
    """Reports the outcome of an attempt and its likely cause."""
    lines = list(lines)
    attempt_lines = [
        line for line in lines if line.entry.get("attempt") == attempt
    ]
    if not attempt_lines:
        return Explanation(False, _explain_missing(lines, attempt))
    attempt_lines.sort(key=lambda line: line.at_s)
    first, last = attempt_lines[0], attempt_lines[-1]
    report = [f"attempt {attempt}: {_describe_outcome(last)}"]
    for line in attempt_lines:
        report.append(
            f"  {round((line.at_s - first.at_s) * 1_000):>6} ms  "
            f"{line.event}  {_format_fields(line.entry)}"
        )
    instance = last.entry.get("instance")
    report += _describe_targets(lines, attempt_lines)
    report += _describe_similar_refusals(lines, last)
    report += _describe_recent_events(lines, str(instance), last.at_s)
    return Explanation(True, report)


def _describe_outcome(last: LogLine) -> str:
    entry = last.entry
    if last.event == Event.REQUEST_ENDED.label:
        return f"answered with status {entry.get('status')} by its target"
    if last.event == Event.REQUEST_REFUSED.label:
        reason = str(entry.get("reason"))
        verdict = str(entry.get("verdict"))
        return f"{verdict}, {_CAUSE_BY_REASON.get(reason, reason)}"
    return _CAUSE_BY_LAST_EVENT.get(last.event, f"last seen as {last.event}")


def _describe_targets(
    lines: list[LogLine], attempt_lines: list[LogLine]
) -> list[str]:
    """Counts outcomes of other requests at the targets that failed this one."""
    report = []
    for line in attempt_lines:
        if line.event not in (
            Event.TARGET_CALL_FAILED.label,
            Event.TARGET_REJECTED.label,
        ):
            continue
        target = line.entry.get("target")
        nearby = [
            other
            for other in lines
            if other.entry.get("target") == target
            and abs(other.at_s - line.at_s) <= NEARBY_S
        ]
        event_counts = collections.Counter(other.event for other in nearby)
        failed = (
            event_counts[Event.TARGET_CALL_FAILED.label]
            + event_counts[Event.TARGET_REJECTED.label]
        )
        report.append(
            f"target {target}, {NEARBY_S:.0f} s before and after: "
            f"{event_counts[Event.REQUEST_ENDED.label]} requests ended there, "
            f"{failed} failed or were rejected"
        )
    return report


def _describe_similar_refusals(
    lines: list[LogLine], last: LogLine
) -> list[str]:
    """Counts refusals for the same reason around the time of this one."""
    if last.event != Event.REQUEST_REFUSED.label:
        return []
    reason = last.entry.get("reason")
    account = last.entry.get("account")
    similar = [
        line
        for line in lines
        if line.event == Event.REQUEST_REFUSED.label
        and line.entry.get("reason") == reason
        and abs(line.at_s - last.at_s) <= NEARBY_S
    ]
    count_by_instance = collections.Counter(
        str(line.entry.get("instance")) for line in similar
    )
    counts = ", ".join(
        f"{n} at {name}" for name, n in count_by_instance.items()
    )
    report = [
        f"refused as {reason}, {NEARBY_S:.0f} s before and after: {counts}"
    ]
    if reason == Reason.CLIENT_LIMIT:
        count = sum(line.entry.get("account") == account for line in similar)
        report.append(f"of these, {count} of account {account}")
    return report


def _describe_recent_events(
    lines: list[LogLine], instance: str, at_s: float
) -> list[str]:
    """Lists the events at the instance before the end, oldest first."""
    ages_by_text: dict[str, list[float]] = {}
    for line in sorted(lines, key=lambda line: line.at_s):
        is_near = 0 <= at_s - line.at_s <= LOOKBACK_S
        is_own = line.entry.get("instance") == instance
        if line.event in _CONTEXT_EVENTS and is_near and is_own:
            text = f"{line.event}  {_format_fields(line.entry)}"
            ages_by_text.setdefault(text, []).append(at_s - line.at_s)
    if not ages_by_text:
        return []
    report = [f"events at {instance} in the {LOOKBACK_S:.0f} s before:"]
    for text, ages_s in ages_by_text.items():
        times = f" ({len(ages_s)} times)" if len(ages_s) > 1 else ""
        report.append(f"  {ages_s[0]:6.1f} s before  {text}{times}")
    return report


def _explain_missing(lines: list[LogLine], attempt: str) -> list[str]:
    dropped = sum(
        int(str(line.entry.get("lines", 0)))
        for line in lines
        if line.event == Event.LINES_DROPPED.label
    )
    report = [
        f"attempt {attempt}: not in {len(lines)} lines; it may have reached "
        "another instance, or none"
    ]
    if dropped:
        report.append(f"{dropped} lines were dropped, which may be its own")
    return report


def _format_fields(entry: Entry) -> str:
    omitted = ("attempt", "number", "event", "level", "timestamp")
    return " ".join(
        f"{name}={value}"
        for name, value in entry.items()
        if name not in omitted and value is not None
    )
