"""Checks of what instances do over time, and of when they were disturbed."""

import collections
import contextlib
import dataclasses
from collections.abc import Iterator

from peridotbend.domain.clock import Clock
from peridotbend_emulator.soak.messages import Answer
from peridotbend_emulator.soak.platform.documents import (
    CONTACT_MS,
    GRACE_S,
    LOSS_SLACK_MS,
    MAX_FILES,
    MEMORY_MB,
    ROLLBACK_SLACK_MS,
)
from peridotbend_emulator.soak.record import Finding, Rule

# Of the answers that are due, so many and such a share may not be late.
MIN_LATE = 8
LATE_SHARE = 0.25
# A refusal after this share of the caller's time leaves none to try again.
REFUSAL_SHARE = 0.75
# What a runner still works on so late in a planned stop may be cut, if it was
# sent early enough.
STOP_SHARE = 5 / 6
EXCUSED_UNTIL_MS = 3_000
# A planned stop lasts until so long after the grace period.
STOP_MARGIN_MS = 1_000
# The fault that is a planned stop.
PLANNED = "term"


@dataclasses.dataclass(slots=True)
class _Span:
    fault: str
    # The index of an instance; None for all of them.
    instance: int | None
    begin_ms: int
    end_ms: int | None = None


class TouchLog:
    """When instances, runners and the store were disturbed."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._spans: list[_Span] = []

    @contextlib.contextmanager
    def hold(self, fault: str, instance: int | None = None) -> Iterator[None]:
        """Notes a disturbance for as long as it lasts."""
        span = _Span(fault, instance, self._clock.now_ms())
        self._spans.append(span)
        try:
            yield
        finally:
            span.end_ms = self._clock.now_ms()

    def is_in_touch(self, instance: int, since_ms: int) -> bool:
        """Tells whether an instance was calm from shortly before a time on."""
        return not any(
            span.instance in (None, instance)
            for span in self._list_spans(since_ms - CONTACT_MS)
        )

    def find_stop_ms(self, instance: int, since_ms: int) -> int | None:
        """Returns when a stop began that alone disturbed a request, if any."""
        if any(
            span.fault != PLANNED
            for span in self._list_spans(since_ms - CONTACT_MS)
        ):
            return None
        # The last one, as the stop before may be over only just.
        return max(
            (
                span.begin_ms
                for span in self._list_spans(since_ms)
                if span.instance == instance
            ),
            default=None,
        )

    def _list_spans(self, since_ms: int) -> Iterator[_Span]:
        for span in self._spans:
            if span.end_ms is None or span.end_ms >= since_ms:
                yield span


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller, from its whole request to its end."""

    path: str
    name: str
    instance: int
    sent_at_ms: int
    ended_at_ms: int
    # The time that its caller gave it.
    limit_ms: int
    answer: Answer
    # Whether a run of it began, and whether its runner broke off.
    has_run: bool
    is_broken: bool
    # Until when a runner worked on it; 0 if none did.
    work_end_ms: int

    @property
    def took_ms(self) -> int:
        """The time until the end."""
        return self.ended_at_ms - self.sent_at_ms


def check_stop(attempt: Attempt, touch: TouchLog) -> Iterator[Finding]:
    """Checks that a planned stop cuts no request that was read."""
    if attempt.answer.outcome not in ("closed", "reset") or attempt.is_broken:
        return
    stop_ms = touch.find_stop_ms(attempt.instance, attempt.sent_at_ms)
    if stop_ms is None or attempt.took_ms >= attempt.limit_ms:
        return
    grace_ms = GRACE_S * 1_000
    if attempt.ended_at_ms - stop_ms > grace_ms + STOP_MARGIN_MS:
        return
    is_early = attempt.sent_at_ms - stop_ms <= EXCUSED_UNTIL_MS
    if is_early and attempt.work_end_ms - stop_ms >= STOP_SHARE * grace_ms:
        return
    if attempt.has_run or attempt.took_ms > LOSS_SLACK_MS:
        detail = f"cut after {attempt.took_ms} ms of {attempt.limit_ms}"
        stop = f"by a stop of instance {attempt.instance}"
        yield Finding(
            Rule.LOST, attempt.path, f"{attempt.name} {detail} {stop}"
        )


class LateCheck:
    """Checks that what is not served is refused while there is time."""

    def __init__(self) -> None:
        self._due: collections.Counter[str] = collections.Counter()
        self._late: collections.Counter[str] = collections.Counter()

    def note(self, attempt: Attempt, is_own_refusal: bool) -> None:
        """Notes an attempt at an instance in touch."""
        if attempt.took_ms >= attempt.limit_ms:
            self._due["answers"] += 1
            self._late["answers"] += attempt.answer.outcome == "timeout"
        if is_own_refusal:
            self._due["refusals"] += 1
            is_late = attempt.took_ms > REFUSAL_SHARE * attempt.limit_ms
            self._late["refusals"] += is_late

    def end(self) -> Iterator[Finding]:
        """Checks the whole run."""
        for name, due in self._due.items():
            late = self._late[name]
            if late >= MIN_LATE and late > LATE_SHARE * due:
                yield Finding(Rule.LATE, "all", f"{late} of {due} {name} late")


class ConfigCheck:
    """Checks that no process goes back to an older configuration."""

    def __init__(self) -> None:
        # By instance and process: times and versions in force.
        self._seen: dict[tuple[int, int], list[tuple[int, int]]] = {}

    def note(
        self, instance: int, pid: int, version: int, sent_ms: int, now_ms: int
    ) -> Iterator[Finding]:
        """Checks a version that has just been seen in force."""
        seen = self._seen.setdefault((instance, pid), [])
        newer = [
            other
            for at_ms, other in seen
            if at_ms + ROLLBACK_SLACK_MS < sent_ms and other > version
        ]
        if newer:
            detail = f"version {version} after {max(newer)} in one process"
            yield Finding(Rule.CONFIG, f"instance {instance}", detail)
        seen.append((now_ms, version))


def check_resources(
    instance: int, resident_bytes: int, files: int
) -> Iterator[Finding]:
    """Checks the memory and the descriptors of a process."""
    for name, used, limit in (
        ("MB", resident_bytes >> 20, MEMORY_MB),
        ("descriptors", files, MAX_FILES),
    ):
        if used > limit:
            detail = f"{used} of {limit} {name}"
            yield Finding(Rule.BOUNDS, f"instance {instance}", detail)
