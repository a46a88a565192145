"""Tells from structured logs why a request ended as it did.

The logs outlive the process, and one file may hold the lines of several
instances. Times are those of the lines.
"""

import collections
import dataclasses
import datetime
import json
from collections.abc import Iterable, Iterator, Mapping

from peridotbend.domain.events import Event
from peridotbend.domain.verdicts import Reason

# What happened to the instance shortly before the end of a request is likely
# to have to do with it.
BEFORE_S = 10.0
# Other calls to the same target within this time show whose fault it was.
AROUND_S = 2.0

Entry = Mapping[str, object]

# Events without a request that tell what an instance believed.
_SURROUNDINGS = {
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
    Event.LINES_DROPPED.label,
}
_BY_REASON: dict[str, str] = {
    Reason.SHED: "no target of its service had a place in time",
    Reason.AT_CAPACITY: "too many requests waited here",
    Reason.CLIENT_LIMIT: "the allowance of its account was used up",
    Reason.NO_TARGET: "no target of its service was listed here",
    Reason.UNKNOWN_KIND: "no route of the configuration matches it",
    Reason.UNKNOWN_KEY: "no account of the configuration holds its key",
    Reason.QUARANTINED: "targets died with the same request in flight before",
    Reason.NO_TEXT: "this process had no configuration yet",
    Reason.DEADLINE: "its time was up before a target had a place",
    Reason.TARGET_FAILED: "a target began to work on it and failed",
    Reason.TARGET_TIMEOUT: "its time was up while a target worked on it",
    Reason.CONNECT_FAILED: "no target could be reached",
}
_BY_EVENT = {
    Event.ANSWER_BROKEN.label: (
        "its answer had begun, the target failed, and no other could go on"
    ),
    Event.CALLER_GONE.label: "its caller closed the connection before the end",
    Event.REQUEST_DISPATCHED.label: (
        "the log ends while it was at a target; the process may have been "
        "killed"
    ),
    Event.TARGET_CALL_FAILED.label: "the log ends after a target failed it",
    Event.TARGET_REJECTED.label: "the log ends after a target rejected it",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs tell of an attempt, as lines of text."""

    is_found: bool
    texts: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log."""

    at_s: float
    entry: Entry

    @property
    def event(self) -> str:
        """The name of the event."""
        return str(self.entry.get("event", ""))


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Reads JSON lines; what is none, or stands before one, is skipped."""
    at_s = 0.0
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            entry = json.loads(text[start:])
            if "timestamp" in entry:
                told = datetime.datetime.fromisoformat(entry["timestamp"])
                at_s = told.timestamp()
        except (ValueError, TypeError):
            # Tracebacks and lines of other programs.
            continue
        # The note on dropped lines has no time of its own.
        yield Line(at_s, entry)


def explain_attempt(lines: Iterable[Line], attempt: str) -> Explanation:
    """Returns what became of an attempt and why."""
    lines = list(lines)
    own = [line for line in lines if line.entry.get("attempt") == attempt]
    if not own:
        return Explanation(False, _explain_absence(lines, attempt))
    own.sort(key=lambda line: line.at_s)
    first, last = own[0], own[-1]
    told = [f"attempt {attempt}: {_conclude(last)}"]
    for line in own:
        told.append(
            f"  {round((line.at_s - first.at_s) * 1_000):>6} ms  "
            f"{line.event}  {_format_fields(line.entry)}"
        )
    instance = last.entry.get("instance")
    told += _describe_targets(lines, own)
    told += _describe_rivals(lines, last)
    told += _describe_surroundings(lines, str(instance), last.at_s)
    return Explanation(True, told)


def _conclude(last: Line) -> str:
    entry = last.entry
    if last.event == Event.REQUEST_ENDED.label:
        return f"answered with status {entry.get('status')} by its target"
    if last.event == Event.REQUEST_REFUSED.label:
        reason = str(entry.get("reason"))
        verdict = str(entry.get("verdict"))
        return f"{verdict}, {_BY_REASON.get(reason, reason)}"
    return _BY_EVENT.get(last.event, f"last seen as {last.event}")


def _describe_targets(lines: list[Line], own: list[Line]) -> list[str]:
    """Tells how other requests fared at the targets of this one."""
    told = []
    for line in own:
        if line.event not in (
            Event.TARGET_CALL_FAILED.label,
            Event.TARGET_REJECTED.label,
        ):
            continue
        target = line.entry.get("target")
        around = [
            other
            for other in lines
            if other.entry.get("target") == target
            and abs(other.at_s - line.at_s) <= AROUND_S
        ]
        counts = collections.Counter(other.event for other in around)
        failed = (
            counts[Event.TARGET_CALL_FAILED.label]
            + counts[Event.TARGET_REJECTED.label]
        )
        told.append(
            f"target {target}, {AROUND_S:.0f} s before and after: "
            f"{counts[Event.REQUEST_ENDED.label]} requests ended there, "
            f"{failed} failed or were rejected"
        )
    return told


def _describe_rivals(lines: list[Line], last: Line) -> list[str]:
    """Tells what else was refused beside a refused request."""
    if last.event != Event.REQUEST_REFUSED.label:
        return []
    reason = last.entry.get("reason")
    account = last.entry.get("account")
    same = [
        line
        for line in lines
        if line.event == Event.REQUEST_REFUSED.label
        and line.entry.get("reason") == reason
        and abs(line.at_s - last.at_s) <= AROUND_S
    ]
    by_instance = collections.Counter(
        str(line.entry.get("instance")) for line in same
    )
    places = ", ".join(f"{n} at {name}" for name, n in by_instance.items())
    told = [f"refused as {reason}, {AROUND_S:.0f} s before and after: {places}"]
    if reason == Reason.CLIENT_LIMIT:
        count = sum(line.entry.get("account") == account for line in same)
        told.append(f"of these, {count} of account {account}")
    return told


def _describe_surroundings(
    lines: list[Line], instance: str, at_s: float
) -> list[str]:
    """Tells what the instance noticed before the end, oldest first."""
    found: dict[str, list[float]] = {}
    for line in sorted(lines, key=lambda line: line.at_s):
        is_near = 0 <= at_s - line.at_s <= BEFORE_S
        is_own = line.entry.get("instance") == instance
        if line.event in _SURROUNDINGS and is_near and is_own:
            text = f"{line.event}  {_format_fields(line.entry)}"
            found.setdefault(text, []).append(at_s - line.at_s)
    if not found:
        return []
    told = [f"noticed by {instance} in the {BEFORE_S:.0f} s before:"]
    for text, agos_s in found.items():
        times = f" ({len(agos_s)} times)" if len(agos_s) > 1 else ""
        told.append(f"  {agos_s[0]:6.1f} s before  {text}{times}")
    return told


def _explain_absence(lines: list[Line], attempt: str) -> list[str]:
    dropped = sum(
        int(str(line.entry.get("lines", 0)))
        for line in lines
        if line.event == Event.LINES_DROPPED.label
    )
    told = [
        f"attempt {attempt}: not in {len(lines)} lines; it may have reached "
        "another instance, or none"
    ]
    if dropped:
        told.append(f"{dropped} lines were dropped, which may be its own")
    return told


def _format_fields(entry: Entry) -> str:
    hidden = ("attempt", "number", "event", "level", "timestamp")
    return " ".join(
        f"{name}={value}"
        for name, value in entry.items()
        if name not in hidden and value is not None
    )
