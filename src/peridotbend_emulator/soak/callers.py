"""Callers of a soak: they send, try again, take streams up and check."""

import asyncio
import collections
import dataclasses
from collections.abc import Iterator, Sequence

from peridotbend.domain.clock import Clock
from peridotbend.platform import wire
from peridotbend_emulator.soak.channels import (
    AnswerReader,
    BadAnswerError,
    Channel,
    ChannelEndedError,
    open_channel,
)
from peridotbend_emulator.soak.checks import (
    PROMISES,
    FirstTries,
    RunLedger,
    StreamCheck,
    check_call,
    check_head,
    check_unasked,
)
from peridotbend_emulator.soak.faults import Choices
from peridotbend_emulator.soak.fleetchecks import (
    Attempt,
    LateCheck,
    TouchLog,
    check_stop,
)
from peridotbend_emulator.soak.instances import Instance
from peridotbend_emulator.soak.messages import Answer, is_framed, make_head
from peridotbend_emulator.soak.platform.documents import (
    HOST_NAME,
    KEY,
    Kind,
    Route,
)
from peridotbend_emulator.soak.record import Finding, Record, Rule

MAX_ATTEMPTS = 3
# A caller with less time left gives up.
MIN_LEFT_S = 0.3
# A caller waits for late answers for so long after its time limit.
LATE_S = 0.5
CONNECT_TIMEOUT_S = 1.0
DEFAULT_PAUSE_S = 0.05
# Statuses after which a call may be sent again if its kind allows it.
FAILED_STATUSES = frozenset((0, 502, 504))
BODY = b"x" * 64
# Padding of an event for slow callers, so that its stream fills buffers.
SLOW_PADDING = 8_000


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """What a caller wants, over all its attempts."""

    serial: int
    route: Route
    size: int
    is_slow: bool
    is_http10: bool

    @property
    def path(self) -> str:
        """The path of its requests, which also tells the runner what to do."""
        padding = SLOW_PADDING if self.is_slow and self.is_stream else 0
        return f"{self.route.prefix}{self.serial}/{self.size}/{padding}"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream."""
        return self.route.kind is Kind.STREAM


class ChannelPool:
    """Connections that callers keep, by instance."""

    def __init__(self) -> None:
        self._kept: dict[int, list[Channel]] = collections.defaultdict(list)

    def pop(self, index: int) -> Channel | None:
        """Returns a kept connection, also if the instance is about to end."""
        kept = self._kept[index]
        return kept.pop() if kept else None

    def keep(self, index: int, channel: Channel) -> None:
        """Keeps a connection."""
        self._kept[index].append(channel)

    def close(self) -> Iterator[Finding]:
        """Closes all connections; yields what came unasked."""
        for index, kept in self._kept.items():
            for channel in kept:
                yield from check_unasked(f"instance {index}", channel.unread)
                channel.close()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerContext:
    """What all callers share."""

    instances: Sequence[Instance]
    pool: ChannelPool
    ledger: RunLedger
    # Of calls that begin when all know of a cut that lasts for the whole run.
    first_tries: FirstTries
    counts_from_ms: int
    record: Record
    clock: Clock
    seed: int
    touch: TouchLog
    late: LateCheck


class Caller:
    """One caller with one job."""

    def __init__(self, context: CallerContext, job: Job, choices: Choices):
        self.is_served = False
        self.tries = 0
        self._context = context
        self._job = job
        self._choices = choices
        route = job.route
        self._check = StreamCheck(job.path, job.size, route.is_resumable)
        # The attempt that brought the first event.
        self._first_attempt = ""

    @property
    def is_broken(self) -> bool:
        """Whether the stream broke a promise."""
        return self._check.is_broken

    async def run(self) -> None:
        """Sends the request until it is answered or not worth sending."""
        for name, is_struck in (
            ("slow", self._job.is_slow),
            ("http10", self._job.is_http10),
        ):
            if is_struck:
                self._context.record.note_fault(f"{name} for {self._job.path}")
        limit_ms = self._job.route.timeout_ms
        start_ms = self._context.clock.now_ms()
        instances = self._context.instances
        where = self._choices.rng.randrange(len(instances))
        for number in range(MAX_ATTEMPTS):
            spent_ms = self._context.clock.now_ms() - start_ms
            left_s = (limit_ms - spent_ms) / 1_000
            if left_s < MIN_LEFT_S:
                return
            instance = instances[(where + number) % len(instances)]
            self.tries += 1
            answer = await self._attempt(instance, number, left_s)
            if not number and start_ms >= self._context.counts_from_ms:
                self._count_first(instance, answer)
            if not self._may_repeat(answer):
                return
            if answer.outcome == "abandoned":
                continue
            pause_s = _parse_seconds(answer.get(wire.RETRY_AFTER))
            await asyncio.sleep(min(pause_s, left_s / 3))

    def _count_first(self, instance: Instance, answer: Answer) -> None:
        if answer.outcome not in ("left", "abandoned"):
            is_served = answer.status == 200 and answer.is_complete
            self._context.first_tries.note(instance.index, is_served)

    def _may_repeat(self, answer: Answer) -> bool:
        if self._check.is_broken or answer.outcome == "left":
            return False
        if answer.outcome == "abandoned":
            return True
        if 200 <= answer.status < 300:
            if answer.is_complete:
                self.is_served = True
                return False
            # Of an answer that broke off, only a stream can be taken up.
            route = self._job.route
            return route.is_resumable or route.kind is Kind.IDEMPOTENT
        if answer.status in PROMISES or answer.outcome == "refused":
            return True
        is_failed = answer.status in FAILED_STATUSES
        return is_failed and not self._job.route.runs_once

    async def _attempt(
        self, instance: Instance, number: int, left_s: float
    ) -> Answer:
        context, job = self._context, self._job
        attempt = make_attempt(context.seed, job.serial, number)
        if job.route.runs_once:
            context.ledger.note_single(attempt)
        leaving = self._draw_leaving()
        patience_s = left_s + LATE_S
        if leaving:
            context.record.note_fault(f"caller of {attempt}: {leaving} early")
            patience_s = self._choices.rng.uniform(0.05, 1.0)
        is_kept = self._choices.draw_fault("keep") and not job.is_http10
        self._check.begin_answer(attempt)
        had = len(self._check.held)
        head = self._make_head(attempt, left_s)
        context.record.write(
            f"SENT {attempt} to {instance.index} {job.path} from {had}"
        )
        may_reuse = not number and not job.is_slow and not job.is_http10
        channel = await self._open(instance, may_reuse)
        sent_at_ms = context.clock.now_ms()
        if isinstance(channel, Answer):
            answer = channel
        else:
            kills = instance.kills
            answer = await self._exchange(
                channel, head + BODY, attempt, patience_s
            )
            if instance.kills > kills and not is_framed(answer):
                # The kernel ends the connections of a killed instance as the
                # end of such an answer does.
                answer = dataclasses.replace(
                    answer, is_complete=False, outcome="closed"
                )
            is_ending = answer.get("connection").lower() == "close"
            if is_kept and answer.is_complete and not is_ending:
                context.pool.keep(instance.index, channel)
            else:
                channel.close()
        if leaving and answer.outcome == "timeout":
            answer = dataclasses.replace(answer, outcome=leaving)
        context.record.write(
            f"ANSWER {attempt} {answer.outcome} {answer.status}"
            f" {answer.get(wire.SERVER_STAMP) or '-'}"
            f" events {had}+{len(self._check.held) - had}"
        )
        self._check_answer(attempt, answer)
        if not leaving and not job.is_slow and answer.outcome != "refused":
            self._check_times(
                Attempt(
                    job.path,
                    attempt,
                    instance.index,
                    sent_at_ms,
                    context.clock.now_ms(),
                    round(left_s * 1_000),
                    answer,
                    context.ledger.has_run(attempt),
                    context.ledger.is_broken(attempt),
                    context.ledger.find_work_end_ms(attempt),
                )
            )
        return answer

    def _draw_leaving(self) -> str:
        """Returns the outcome of an answer that a caller leaves, or ""."""
        if self._choices.draw_fault("leave"):
            return "left"
        # Only a stream can be taken up.
        may_abandon = self._job.route.is_resumable
        # Not drawn in other runs, whose seeds keep their meaning.
        if may_abandon and self._choices.plan.has("abandon"):
            return "abandoned" if self._choices.draw_fault("abandon") else ""
        return ""

    def _check_times(self, attempt: Attempt) -> None:
        context, answer = self._context, attempt.answer
        context.record.add_findings(check_stop(attempt, context.touch))
        if context.touch.is_in_touch(attempt.instance, attempt.sent_at_ms):
            is_own = not answer.get(wire.SERVER_STAMP)
            context.late.note(attempt, is_own and answer.status in PROMISES)

    async def _open(
        self, instance: Instance, may_reuse: bool
    ) -> Channel | Answer:
        """Returns a connection, or the answer if there is none."""
        job, context = self._job, self._context
        kept = context.pool.pop(instance.index) if may_reuse else None
        if kept is not None:
            context.record.add_findings(check_unasked(job.path, kept.unread))
            if kept.is_idle:
                return kept
            kept.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await open_channel(instance.address, job.is_slow)
        except OSError:
            return Answer(outcome="refused")

    async def _exchange(
        self, channel: Channel, request: bytes, attempt: str, patience_s: float
    ) -> Answer:
        reader = AnswerReader(lambda data: self._take(reader, attempt, data))
        channel.write(request)
        try:
            async with asyncio.timeout(patience_s):
                await reader.read(channel)
        except ChannelEndedError:
            return reader.make_answer(channel.end)
        except TimeoutError:
            return reader.make_answer("timeout")
        except BadAnswerError as error:
            self._report(Rule.MIXED, f"{attempt} got no answer: {error}")
            return reader.make_answer("closed")
        return reader.make_answer("complete")

    def _take(self, reader: AnswerReader, attempt: str, data: bytes) -> None:
        """Checks the events of a stream as they arrive."""
        if not self._job.is_stream or not 200 <= reader.status < 300:
            return
        self._context.record.add_findings(self._check.take(data))
        if self._check.held and not self._first_attempt:
            self._first_attempt = attempt

    def _check_answer(self, attempt: str, answer: Answer) -> None:
        job, context = self._job, self._context
        findings = [
            *context.ledger.note_answer(job.path, attempt, answer.status)
        ]
        is_chunked = answer.get("transfer-encoding") != ""
        if job.is_http10 and is_chunked:
            self._report(Rule.MIXED, f"{attempt} got chunks over HTTP/1.0")
        if answer.status and not job.is_stream:
            findings += check_call(job.path, attempt, job.size, answer)
        elif answer.status:
            findings += check_head(job.path, attempt, answer)
            if 200 <= answer.status < 300 and answer.is_complete:
                findings += self._check.end_answer()
        context.record.add_findings(findings)

    def _report(self, rule: Rule, detail: str) -> None:
        finding = Finding(rule, self._job.path, detail)
        self._context.record.add_findings([finding])

    def _make_head(self, attempt: str, left_s: float) -> bytes:
        job = self._job
        version = "1.0" if job.is_http10 else "1.1"
        headers = [
            ("Host", HOST_NAME),
            (wire.ATTEMPT_ID, attempt),
            (wire.DEADLINE_MS, str(round(left_s * 1_000))),
            ("Authorization", f"Token {KEY}"),
            ("Content-Length", str(len(BODY))),
        ]
        if job.is_stream:
            own_part = f"{job.serial:08x}:640"
            headers += [
                (wire.MODEL, "m"),
                (wire.TOKEN_COUNT, f"700,{job.size}"),
                (wire.PROMPT_PREFIX, f"5c1e07a2:60,{own_part}"),
            ]
        if self._choices.plan.has("kept") and self._choices.draw_fault("kept"):
            self._context.record.note_fault(f"kept for {job.path}")
            # The call before, whose runner may keep its prompt.
            other = make_attempt(self._context.seed, job.serial - 1, 0)
            headers += [
                (wire.KV_FROM, f"{HOST_NAME}:80/{other}"),
                (wire.KV_HOLD, other),
            ]
        if self._check.held:
            headers += [
                (wire.RESUMES, self._first_attempt),
                (wire.LAST_EVENT_ID, str(len(self._check.held))),
            ]
        return make_head(f"POST {job.path} HTTP/{version}", headers)


def make_attempt(seed: int, serial: int, number: int) -> str:
    """Returns the ID of an attempt of a job."""
    return f"{seed & 0xFFFF:04x}{serial & 0xFFFFFFFF:08x}{number:04x}"


def _parse_seconds(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return DEFAULT_PAUSE_S
