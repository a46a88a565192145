"""Learnt speed, reported load and own requests of one target."""

import dataclasses
from collections import OrderedDict

from peridotbend.domain.ports import LoadReport
from peridotbend.domain.standing import Standing
from peridotbend.domain.work import WorkItem

# Work of one running sequence in a load report, which gives only a count.
RUNNING_WORK_UNITS = 16.0
LOAD_HALF_LIFE_MS = 1_000
# Only estimates with a sample this recent may keep requests from a target: a
# wrong one would otherwise stop the requests that correct it.
FRESH_MS = 5_000
# A target without new samples is assumed like the others after minutes.
SPEED_HALF_LIFE_MS = 60_000
# Connection set-up and scheduling, which do not depend on the engine's
# speed. Without it short requests make a healthy target look slow.
LATE_SLACK_MS = 50
SLOW_FACTOR = 2.0
OVERDUE_FACTOR = 4.0
MIN_SAMPLES_TO_JUDGE = 3
# Of a prompt: with more of it cached, the time to the first output says
# more about the cache than about the engine's speed.
MAX_MATCHED_PART = 0.25
# Smaller expected savings disappear in the jitter of the network.
MIN_SAVING_MS = 5.0
MAX_IN_FLIGHT = 1_024
# A request whose end was never reported is dropped this long after its
# deadline.
GIVE_UP_AFTER_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class TokenCosts:
    """Milliseconds per prompt token and per output token."""

    prefill_ms: float
    decode_ms: float


# Used before any target of a service was measured.
DEFAULT_COSTS = TokenCosts(prefill_ms=0.5, decode_ms=30.0)


class CostAverage:
    """Moving average of milliseconds per token.

    It divides decayed sums of time by decayed sums of tokens, so a long
    request counts for more than a short one with its fixed overhead.
    """

    __slots__ = ("_ms", "_tokens", "samples", "updated_at_ms")

    # About the last five samples count.
    RETAINED = 0.8

    def __init__(self) -> None:
        self._ms = 0.0
        self._tokens = 0.0
        self.samples = 0
        self.updated_at_ms = 0

    def record(self, elapsed_ms: float, tokens: float, now_ms: int) -> None:
        """Adds one measurement."""
        if tokens <= 0:
            return
        # The clock counts whole milliseconds; zero would make any load free.
        self._ms = self._ms * self.RETAINED + max(elapsed_ms, 0.5)
        self._tokens = self._tokens * self.RETAINED + tokens
        self.samples += 1
        self.updated_at_ms = now_ms

    def find_measured(self) -> float | None:
        """Returns the average as measured, or None without a sample."""
        return self._ms / self._tokens if self.samples else None

    def find(self, now_ms: int, usual: float) -> float:
        """Returns the average, nearer to `usual` the older it is."""
        if not self.samples:
            return usual
        age_ms = now_ms - self.updated_at_ms
        trust = float(0.5 ** (age_ms / SPEED_HALF_LIFE_MS))
        return trust * self._ms / self._tokens + (1 - trust) * usual

    def is_late(self, elapsed_ms: float, tokens: float) -> bool:
        """True when a measurement shows less than half the usual speed."""
        if self.samples < MIN_SAMPLES_TO_JUDGE:
            return False
        expected_ms = tokens * self._ms / self._tokens
        return elapsed_ms > SLOW_FACTOR * expected_ms + LATE_SLACK_MS


@dataclasses.dataclass(slots=True)
class InFlight:
    """A request that this process has sent and that has not ended."""

    item: WorkItem
    # Prompt tokens that the engine computes before this prompt.
    ahead_tokens: float
    # Tokens of the prompt that were sent to this target before.
    matched_tokens: int
    # When its first output is overdue; after that, when it is given up.
    check_at_ms: float
    first_output_ms: int | None = None
    # True once it has cost the target some weight.
    late: bool = False

    @property
    def give_up_at_ms(self) -> int:
        """When its end is taken as lost."""
        return self.item.deadline_at_ms + GIVE_UP_AFTER_MS

    def split(
        self, output_tokens: int, elapsed_ms: int, costs: TokenCosts
    ) -> int:
        """Returns the part of a total time that the prefill likely took."""
        tokens = self.ahead_tokens + self.item.work.prompt_tokens
        prefill_ms = tokens * costs.prefill_ms
        decode_ms = max(0, output_tokens - 1) * costs.decode_ms
        if not decode_ms:
            return elapsed_ms
        return round(elapsed_ms * prefill_ms / (prefill_ms + decode_ms))


class TargetEstimate:
    """All that the router holds about one target."""

    def __init__(self) -> None:
        self.service = ""
        self.prefill = CostAverage()
        self.decode = CostAverage()
        self.standing = Standing()
        self.in_flight: OrderedDict[str, InFlight] = OrderedDict()
        # Largest request in flight, in work units.
        self.longest_units = 0.0
        self._pending_prefill = 0
        self._check_at_ms = float("inf")
        self._incarnation = ""
        self._load_work = 0.0
        self._load_at_ms = 0

    def is_fresh(self, now_ms: int) -> bool:
        """True when a request was measured lately."""
        last_ms = max(self.prefill.updated_at_ms, self.decode.updated_at_ms)
        return bool(last_ms) and now_ms - last_ms <= FRESH_MS

    def find_costs(self, now_ms: int, usual: TokenCosts) -> TokenCosts:
        """Returns the costs to expect now."""
        return TokenCosts(
            self.prefill.find(now_ms, usual.prefill_ms),
            self.decode.find(now_ms, usual.decode_ms),
        )

    def record_load(self, report: LoadReport, now_ms: int) -> bool:
        """Takes a load report; True means that the target has restarted."""
        restarted = self._incarnation not in ("", report.incarnation)
        self._incarnation = report.incarnation
        at_ms = now_ms - max(0, report.age_ms)
        if restarted or at_ms >= self._load_at_ms:
            running_work = report.running * RUNNING_WORK_UNITS
            self._load_work = report.waiting_tokens + running_work
            self._load_at_ms = at_ms
        return restarted

    def find_load(self, now_ms: int) -> float:
        """Returns the reported work, discounted by its age."""
        if not self._load_work:
            return 0.0
        age_ms = now_ms - self._load_at_ms
        return float(self._load_work * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS))

    def start(
        self, item: WorkItem, costs: TokenCosts, matched: int, now_ms: int
    ) -> None:
        """Notes that a request is being sent."""
        self.remove(item.key)
        # The report counts this process's own waiting prompts too.
        ahead = max(self._pending_prefill, self.find_load(now_ms))
        tokens = item.work.prompt_tokens
        expected_ms = (ahead + tokens) * costs.prefill_ms
        overdue_at_ms = now_ms + OVERDUE_FACTOR * expected_ms + LATE_SLACK_MS
        running = InFlight(item, ahead, matched, overdue_at_ms)
        running.check_at_ms = min(overdue_at_ms, running.give_up_at_ms)
        self.in_flight[item.key] = running
        self._pending_prefill += tokens
        self.longest_units = max(self.longest_units, item.work.units)
        self._check_at_ms = min(self._check_at_ms, running.check_at_ms)
        self.standing.start(item.key)
        if len(self.in_flight) > MAX_IN_FLIGHT:
            self.remove(next(iter(self.in_flight)))

    def end_prefill(
        self,
        running: InFlight,
        elapsed_ms: int,
        costs: TokenCosts,
        now_ms: int,
    ) -> float | None:
        """Learns from the first output of a request.

        Returns:
            The part of the matched prefix that was not computed again, or
            None when the request tells nothing about it.
        """
        running.first_output_ms = elapsed_ms
        tokens = running.item.work.prompt_tokens
        self._pending_prefill -= tokens
        computed = running.ahead_tokens + tokens
        if self.prefill.is_late(elapsed_ms, computed):
            self._record_late(running, now_ms)
        saved_ms = computed * costs.prefill_ms - elapsed_ms
        matched = running.matched_tokens
        if matched <= MAX_MATCHED_PART * tokens or saved_ms <= 0:
            self.prefill.record(elapsed_ms, computed, now_ms)
        possible_ms = matched * costs.prefill_ms
        if possible_ms < MIN_SAVING_MS:
            return None
        return saved_ms / possible_ms

    def finish(
        self,
        running: InFlight,
        output_tokens: int,
        elapsed_ms: int,
        now_ms: int,
    ) -> None:
        """Learns from the end of a request whose first output is known."""
        # The first token came with the prefill.
        tokens = output_tokens - 1
        decode_ms = elapsed_ms - (running.first_output_ms or 0)
        if tokens > 0:
            if self.decode.is_late(decode_ms, tokens):
                self._record_late(running, now_ms)
            self.decode.record(decode_ms, tokens, now_ms)
        if not running.late:
            self.standing.succeed(running.item.key)
        self.remove(running.item.key)

    def remove(self, key: str) -> None:
        """Forgets a request that has ended."""
        running = self.in_flight.pop(key, None)
        if running is None:
            return
        if running.first_output_ms is None:
            self._pending_prefill -= running.item.work.prompt_tokens
        if running.item.work.units >= self.longest_units:
            self.longest_units = max(
                (r.item.work.units for r in self.in_flight.values()),
                default=0.0,
            )
        self.standing.end(key)

    def check_overdue(self, now_ms: int) -> None:
        """Lowers the weight for first outputs that are long overdue."""
        if now_ms < self._check_at_ms:
            return
        for running in list(self.in_flight.values()):
            if now_ms < running.check_at_ms:
                continue
            if now_ms >= running.give_up_at_ms:
                self.remove(running.item.key)
                continue
            if running.first_output_ms is None:
                self._record_late(running, now_ms)
            running.check_at_ms = running.give_up_at_ms
        self._check_at_ms = min(
            (r.check_at_ms for r in self.in_flight.values()),
            default=float("inf"),
        )

    def dump(self, now_ms: int) -> dict[str, object]:
        """Returns the state for operators."""
        prefill_ms = self.prefill.find_measured()
        return {
            "prefill_tokens_per_s": 1_000 / prefill_ms if prefill_ms else None,
            "decode_ms_per_token": self.decode.find_measured(),
            "reported_work": self.find_load(now_ms),
            "in_flight": len(self.in_flight),
            "weight": self.standing.weight,
        }

    def _record_late(self, running: InFlight, now_ms: int) -> None:
        # One request costs a target its weight once, however late it is.
        if not running.late:
            running.late = True
            self.standing.lower(now_ms)
