"""What callers and runners of a soak may see, checked as they see it."""

import collections
import contextlib
import dataclasses
from collections.abc import Iterator

from peridotbend.domain.clock import Clock
from peridotbend.platform import wire
from peridotbend_emulator.soak.messages import Answer, split_lines
from peridotbend_emulator.soak.platform.documents import ROUTES
from peridotbend_emulator.soak.record import Finding, Rule

# Statuses that promise that the request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
FIELD_SEPARATOR = "|"
# First tries at an instance are served at least this share as often as at the
# others, unless few of them fail.
RECOVER_SHARE = 2 / 3
RECOVER_SLACK = 10
RECOVER_SLACK_SHARE = 1 / 50


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """What a runner writes in an event of a stream."""

    path: str
    software: str
    # Names the run, and after a plus sign the last event before it.
    run: str
    padding: str
    number: int

    def encode(self) -> bytes:
        """Returns the bytes of the event."""
        text = FIELD_SEPARATOR.join(map(str, dataclasses.astuple(self)))
        return f"id: {self.number}\ndata: {text}\n\n".encode()


def parse_event(block: bytes) -> StreamEvent | None:
    """Returns an event without its blank line; None if it is none."""
    lines = [
        line
        for line in split_lines(block)
        if not line.startswith(f"{wire.WEIGHT_VERSIONS}:")
    ]
    if len(lines) != 2 or not lines[1].startswith("data: "):
        return None
    fields = lines[1].removeprefix("data: ").split(FIELD_SEPARATOR)
    if len(fields) != 5 or lines[0] != f"id: {fields[4]}":
        return None
    if not fields[4].isdecimal():
        return None
    path, software, run, padding, number = fields
    return StreamEvent(path, software, run, padding, int(number))


class StreamCheck:
    """Checks one stream over all answers that bring parts of it."""

    def __init__(self, path: str, count: int, is_resumable: bool = True):
        self.path = path
        self.count = count
        self._is_resumable = is_resumable
        self._run = ""
        # The software of the runner of each event that came, in order.
        self.held: list[str] = []
        self.is_broken = False
        self._attempt = ""
        self._rest = b""

    def begin_answer(self, attempt: str) -> None:
        """Begins another answer; part of an event is lost with the last."""
        self._attempt = attempt
        self._rest = b""

    def take(self, data: bytes) -> Iterator[Finding]:
        """Checks the next bytes of an answer, up to the first fault."""
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        for block in blocks:
            if self.is_broken:
                return
            yield from self._take_event(block)

    def end_answer(self) -> Iterator[Finding]:
        """Checks an answer that ended as complete."""
        if self.is_broken:
            return
        if len(self.held) < self.count:
            yield self._fail(
                Rule.ORDER,
                f"ends as complete after {len(self.held)} of {self.count}",
            )
        elif self._rest.strip():
            yield self._fail(
                Rule.ORDER, f"bytes after the last event: {self._rest[:60]!r}"
            )

    def _take_event(self, block: bytes) -> Iterator[Finding]:
        due = len(self.held) + 1
        event = parse_event(block)
        if event is None:
            detail = f"event {due} was due, got {block[:60]!r}"
            yield self._fail(Rule.ORDER, detail)
        elif event.path != self.path:
            yield self._fail(Rule.MIXED, f"got event {due} of {event.path}")
        elif event.number != due or due > self.count:
            detail = f"event {due} of {self.count} was due, got {event.number}"
            yield self._fail(Rule.ORDER, detail)
        elif self.held and self.held[0] != event.software:
            detail = f"began at {self.held[0]}, event {due} of {event.software}"
            yield self._fail(Rule.ORDER, f"joined of two versions: {detail}")
        elif event.run != self._run and not self._may_go_on(event.run):
            detail = f"{self._run or 'nothing'}, event {due} of {event.run}"
            yield self._fail(Rule.ORDER, f"joined of two runs: {detail}")
        else:
            self._run = event.run
            self.held.append(event.software)

    def _may_go_on(self, run: str) -> bool:
        """Tells whether a run may follow what came so far."""
        _, _, last = run.rpartition("+")
        may_follow = self._is_resumable or not self.held
        return may_follow and last == str(len(self.held))

    def _fail(self, rule: Rule, detail: str) -> Finding:
        self.is_broken = True
        return Finding(rule, self.path, f"{self._attempt}: {detail}")


def make_body(path: str, attempt: str, size: int) -> bytes:
    """Returns the whole body that each runner answers to a call."""
    unit = f"{path} {attempt} ".encode()
    return (unit * (size // len(unit) + 1))[:size] + b" end"


@dataclasses.dataclass(frozen=True, slots=True)
class Stamp:
    """What a runner says of its answer in one header."""

    runner: str
    attempt: str
    status: int

    def encode(self) -> str:
        """Returns the value of the header."""
        return f"{self.runner}/{self.attempt}/{self.status}"


def parse_stamp(text: str) -> Stamp | None:
    """Returns a stamp; None if the text is none."""
    runner, _, rest = text.partition("/")
    attempt, _, status = rest.partition("/")
    return Stamp(runner, attempt, int(status)) if status.isdecimal() else None


def check_head(path: str, attempt: str, answer: Answer) -> Iterator[Finding]:
    """Checks that an answer belongs to its request and has the right status."""
    text = answer.get(wire.SERVER_STAMP)
    stamp = parse_stamp(text)
    if stamp is None:
        if 200 <= answer.status < 300 or text:
            detail = f"status {answer.status} with the stamp {text!r}"
            yield Finding(Rule.MIXED, path, detail)
        return
    if stamp.attempt != attempt:
        detail = f"attempt {attempt} got the answer to {stamp.attempt}"
        yield Finding(Rule.MIXED, path, detail)
    elif stamp.status != answer.status:
        detail = f"{answer.status}, but the runner answered {stamp.status}"
        yield Finding(Rule.MIXED, path, f"{attempt} got {detail}")
    if answer.get(wire.ATTEMPT_ID) not in ("", attempt):
        detail = f"{attempt} got the ID {answer.get(wire.ATTEMPT_ID)}"
        yield Finding(Rule.MIXED, path, detail)


def check_call(
    path: str, attempt: str, size: int, answer: Answer
) -> Iterator[Finding]:
    """Checks the whole answer to a call of the application service."""
    yield from check_head(path, attempt, answer)
    if answer.status != 200 or not answer.is_complete:
        return
    expected = make_body(path, attempt, size)
    if answer.body == expected:
        return
    if expected.startswith(answer.body):
        detail = f"ends as complete after {len(answer.body)} of {len(expected)}"
        yield Finding(Rule.ORDER, path, f"{attempt}: the body {detail} bytes")
    else:
        detail = f"another body: {answer.body[:60]!r}"
        yield Finding(Rule.MIXED, path, f"{attempt} got {detail}")


def check_route(path: str, service: str) -> Iterator[Finding]:
    """Checks that a request runs at a service to which its route leads."""
    route = next((r for r in ROUTES if path.startswith(r.prefix)), None)
    if route is None or route.service != service:
        yield Finding(Rule.ROUTE, path, f"ran at a runner of {service}")


def check_unasked(subject: str, data: bytes) -> Iterator[Finding]:
    """Checks what came on a connection on which no request waited."""
    if data:
        detail = f"no request waited for {data[:60]!r}"
        yield Finding(Rule.MIXED, subject, detail)


class RunLedger:
    """Which attempts ran, and which were said not to have run."""

    def __init__(self, clock: Clock):
        self._clock = clock
        # Attempts that may run once at most.
        self._single: set[str] = set()
        self._runs: collections.Counter[str] = collections.Counter()
        self._refused: dict[str, int] = {}
        # Attempts whose runner broke off.
        self._broken: set[str] = set()
        # How many runners work on an attempt, and when the last one ended.
        self._working: collections.Counter[str] = collections.Counter()
        self._work_end_ms: dict[str, int] = {}

    def note_single(self, attempt: str) -> None:
        """Notes that an attempt may run once at most."""
        self._single.add(attempt)

    def note_break(self, attempt: str) -> None:
        """Notes that a runner breaks off its answer."""
        self._broken.add(attempt)

    @contextlib.contextmanager
    def hold_work(self, attempt: str) -> Iterator[None]:
        """Notes that a runner works on an attempt."""
        self._working[attempt] += 1
        try:
            yield
        finally:
            self._working[attempt] -= 1
            self._work_end_ms[attempt] = self._clock.now_ms()

    def find_work_end_ms(self, attempt: str) -> int:
        """Returns until when a runner worked on an attempt; 0 if none did."""
        if self._working[attempt]:
            return self._clock.now_ms()
        return self._work_end_ms.get(attempt, 0)

    def has_run(self, attempt: str) -> bool:
        """Tells whether a run of an attempt began."""
        return self._runs[attempt] > 0

    def is_broken(self, attempt: str) -> bool:
        """Tells whether a runner broke off its answer to an attempt."""
        return attempt in self._broken

    def note_run(self, path: str, attempt: str) -> Iterator[Finding]:
        """Checks a run that begins at a runner."""
        self._runs[attempt] += 1
        if attempt not in self._single:
            return
        if self._runs[attempt] > 1:
            detail = f"{attempt} began run {self._runs[attempt]}"
            yield Finding(Rule.TWICE, path, detail)
        if attempt in self._refused:
            status = self._refused[attempt]
            detail = f"{attempt} runs after it was answered {status}"
            yield Finding(Rule.REFUSED, path, detail)

    def note_answer(
        self, path: str, attempt: str, status: int
    ) -> Iterator[Finding]:
        """Checks the status that a caller got."""
        if attempt not in self._single or status not in PROMISES:
            return
        self._refused[attempt] = status
        if self._runs[attempt]:
            detail = f"{attempt} was answered {status} and has run"
            yield Finding(Rule.REFUSED, path, detail)


class FirstTries:
    """How often the first try of a call was served, by instance."""

    def __init__(self) -> None:
        self.tries: collections.Counter[int] = collections.Counter()
        self.served: collections.Counter[int] = collections.Counter()

    def note(self, instance: int, is_served: bool) -> None:
        """Notes how a first try at an instance ended."""
        self.tries[instance] += 1
        self.served[instance] += is_served

    def describe(self) -> str:
        """Returns the served and all first tries by instance."""
        return ", ".join(
            f"{self.served[index]} of {tries}"
            for index, tries in sorted(self.tries.items())
        )

    def check(self, instance: int) -> Iterator[Finding]:
        """Checks an instance that is cut off against the others."""
        tries, served = self.tries[instance], self.served[instance]
        others = self.tries.total() - tries
        others_served = self.served.total() - served
        slack = RECOVER_SLACK + RECOVER_SLACK_SHARE * self.tries.total()
        is_less = served * others < RECOVER_SHARE * others_served * tries
        if is_less and tries - served > slack:
            detail = f"first tries served, by instance: {self.describe()}"
            yield Finding(Rule.RECOVER, f"instance {instance}", detail)
