"""Measured speed, reported load and in-flight requests of one target."""

import dataclasses
from collections import OrderedDict

from peridotbend.domain.ports import LoadReport
from peridotbend.domain.stragglers import StragglerState
from peridotbend.domain.work import WorkItem

# Work assumed for each running sequence; a load report gives only their number.
RUNNING_WORK_UNITS = 16.0
LOAD_HALF_LIFE_MS = 1_000
# Maximum age of the latest sample for an estimate to exclude a target. Without
# this limit a wrong estimate would stop the requests that could correct it.
MAX_SAMPLE_AGE_MS = 5_000
# Without new samples, an estimate returns to the baseline within minutes.
SPEED_HALF_LIFE_MS = 60_000
# Allowance for connection set-up and scheduling, which do not depend on the
# engine's speed. Without it, short requests make a healthy target look slow.
LATE_SLACK_MS = 50
SLOW_FACTOR = 2.0
OVERDUE_FACTOR = 4.0
MIN_SAMPLES_TO_JUDGE = 3
# Largest matched fraction of a prompt at which its time to first output counts
# as a speed sample. With more of the prompt cached, that time depends more on
# the cache than on the engine's speed.
MAX_MATCHED_FRACTION = 0.25
# Smaller expected savings cannot be told from network jitter.
MIN_SAVING_MS = 5.0
MAX_IN_FLIGHT = 1_024
# A request whose end was never reported is removed this long after its
# deadline.
EXPIRE_AFTER_DEADLINE_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class TokenCosts:
    """Milliseconds per prompt token and per output token."""

    prefill_ms: float
    decode_ms: float


# Used until a target of the service has been measured.
DEFAULT_COSTS = TokenCosts(prefill_ms=0.5, decode_ms=30.0)


class CostAverage:
    """Moving average of milliseconds per token.

    The average is a decayed sum of times divided by a decayed sum of tokens,
    so that a long request weighs more than a short one, whose time is mostly
    fixed overhead.
    """

    __slots__ = ("_ms", "_tokens", "samples", "updated_at_ms")

    # Decay of the sums with each sample: about the last five samples count.
    DECAY_FACTOR = 0.8

    def __init__(self) -> None:
        self._ms = 0.0
        self._tokens = 0.0
        self.samples = 0
        self.updated_at_ms = 0

    def record(self, elapsed_ms: float, tokens: float, now_ms: int) -> None:
        """Adds one measurement."""
        if tokens <= 0:
            return
        # The clock has a resolution of 1 ms; a time of zero would make the cost
        # of any load zero.
        self._ms = self._ms * self.DECAY_FACTOR + max(elapsed_ms, 0.5)
        self._tokens = self._tokens * self.DECAY_FACTOR + tokens
        self.samples += 1
        self.updated_at_ms = now_ms

    def find_measured(self) -> float | None:
        """Returns the average as measured, or None without a sample."""
        return self._ms / self._tokens if self.samples else None

    def find_current(self, now_ms: int, baseline: float) -> float:
        """Returns the average, moved towards `baseline` as it ages."""
        if not self.samples:
            return baseline
        age_ms = now_ms - self.updated_at_ms
        weight = float(0.5 ** (age_ms / SPEED_HALF_LIFE_MS))
        return weight * self._ms / self._tokens + (1 - weight) * baseline

    def is_slow(self, elapsed_ms: float, tokens: float) -> bool:
        """True when a measurement shows less than half the average speed."""
        if self.samples < MIN_SAMPLES_TO_JUDGE:
            return False
        expected_ms = tokens * self._ms / self._tokens
        return elapsed_ms > SLOW_FACTOR * expected_ms + LATE_SLACK_MS


@dataclasses.dataclass(slots=True)
class InFlightRequest:
    """A request that this process has sent and that has not ended yet."""

    item: WorkItem
    # Prompt tokens that the engine processes before this prompt.
    ahead_tokens: float
    # Tokens of the prompt's prefix that were sent to this target before.
    matched_tokens: int
    # Time at which the first output is overdue; after that check, time at
    # which the request expires.
    check_at_ms: float
    first_output_ms: int | None = None
    # True once the request has lowered the target's weight.
    lowered_weight: bool = False

    @property
    def expires_at_ms(self) -> int:
        """Time at which the report of its end is considered lost."""
        return self.item.deadline_at_ms + EXPIRE_AFTER_DEADLINE_MS

    def estimate_prefill_ms(
        self, output_tokens: int, elapsed_ms: int, costs: TokenCosts
    ) -> int:
        """Returns the estimated prefill time within a total time."""
        tokens = self.ahead_tokens + self.item.work.prompt_tokens
        prefill_ms = tokens * costs.prefill_ms
        decode_ms = max(0, output_tokens - 1) * costs.decode_ms
        if not decode_ms:
            return elapsed_ms
        return round(elapsed_ms * prefill_ms / (prefill_ms + decode_ms))


class TargetEstimate:
    """State that the router keeps for one target."""

    def __init__(self) -> None:
        self.service = ""
        self.prefill = CostAverage()
        self.decode = CostAverage()
        self.straggler_state = StragglerState()
        self.in_flight: OrderedDict[str, InFlightRequest] = OrderedDict()
        # Largest request in flight, in work units.
        self.largest_units = 0.0
        self._pending_prefill_tokens = 0
        self._next_check_at_ms = float("inf")
        self._incarnation = ""
        self._reported_work = 0.0
        self._reported_at_ms = 0

    def is_fresh(self, now_ms: int) -> bool:
        """True when the latest sample is recent."""
        last_ms = max(self.prefill.updated_at_ms, self.decode.updated_at_ms)
        return bool(last_ms) and now_ms - last_ms <= MAX_SAMPLE_AGE_MS

    def find_costs(self, now_ms: int, baseline: TokenCosts) -> TokenCosts:
        """Returns the expected costs, nearer to `baseline` as samples age."""
        return TokenCosts(
            self.prefill.find_current(now_ms, baseline.prefill_ms),
            self.decode.find_current(now_ms, baseline.decode_ms),
        )

    def record_load(self, report: LoadReport, now_ms: int) -> bool:
        """Records a load report; returns True if the target has restarted."""
        restarted = self._incarnation not in ("", report.incarnation)
        self._incarnation = report.incarnation
        at_ms = now_ms - max(0, report.age_ms)
        if restarted or at_ms >= self._reported_at_ms:
            running_work = report.running * RUNNING_WORK_UNITS
            self._reported_work = report.waiting_tokens + running_work
            self._reported_at_ms = at_ms
        return restarted

    def find_load(self, now_ms: int) -> float:
        """Returns the reported work, discounted by its age."""
        if not self._reported_work:
            return 0.0
        age_ms = now_ms - self._reported_at_ms
        return float(self._reported_work * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS))

    def record_dispatch(
        self, item: WorkItem, costs: TokenCosts, matched: int, now_ms: int
    ) -> None:
        """Records that a request is being sent."""
        self.remove(item.key)
        # The report already includes this process's own waiting prompts, so
        # the two are not added up.
        ahead = max(self._pending_prefill_tokens, self.find_load(now_ms))
        tokens = item.work.prompt_tokens
        expected_ms = (ahead + tokens) * costs.prefill_ms
        overdue_at_ms = now_ms + OVERDUE_FACTOR * expected_ms + LATE_SLACK_MS
        request = InFlightRequest(item, ahead, matched, overdue_at_ms)
        request.check_at_ms = min(overdue_at_ms, request.expires_at_ms)
        self.in_flight[item.key] = request
        self._pending_prefill_tokens += tokens
        self.largest_units = max(self.largest_units, item.work.units)
        self._next_check_at_ms = min(
            self._next_check_at_ms, request.check_at_ms
        )
        self.straggler_state.start_probe(item.key)
        if len(self.in_flight) > MAX_IN_FLIGHT:
            self.remove(next(iter(self.in_flight)))

    def record_first_output(
        self,
        request: InFlightRequest,
        elapsed_ms: int,
        costs: TokenCosts,
        now_ms: int,
    ) -> float | None:
        """Updates the estimates with the first output of a request.

        Returns:
            The fraction of the matched prefix that was not recomputed, or
            None when the match is too short to measure it.
        """
        request.first_output_ms = elapsed_ms
        tokens = request.item.work.prompt_tokens
        self._pending_prefill_tokens -= tokens
        computed = request.ahead_tokens + tokens
        if self.prefill.is_slow(elapsed_ms, computed):
            self._record_late(request, now_ms)
        saved_ms = computed * costs.prefill_ms - elapsed_ms
        matched = request.matched_tokens
        if matched <= MAX_MATCHED_FRACTION * tokens or saved_ms <= 0:
            self.prefill.record(elapsed_ms, computed, now_ms)
        possible_ms = matched * costs.prefill_ms
        if possible_ms < MIN_SAVING_MS:
            return None
        return saved_ms / possible_ms

    def record_finish(
        self,
        request: InFlightRequest,
        output_tokens: int,
        elapsed_ms: int,
        now_ms: int,
    ) -> None:
        """Updates the estimates with the end of a request.

        Its first output must have been recorded.
        """
        # The first token is produced by the prefill.
        tokens = output_tokens - 1
        decode_ms = elapsed_ms - (request.first_output_ms or 0)
        if tokens > 0:
            if self.decode.is_slow(decode_ms, tokens):
                self._record_late(request, now_ms)
            self.decode.record(decode_ms, tokens, now_ms)
        if not request.lowered_weight:
            self.straggler_state.record_success(request.item.key)
        self.remove(request.item.key)

    def remove(self, key: str) -> None:
        """Removes a request that has ended."""
        request = self.in_flight.pop(key, None)
        if request is None:
            return
        if request.first_output_ms is None:
            self._pending_prefill_tokens -= request.item.work.prompt_tokens
        if request.item.work.units >= self.largest_units:
            self.largest_units = max(
                (r.item.work.units for r in self.in_flight.values()),
                default=0.0,
            )
        self.straggler_state.end_probe(key)

    def check_overdue(self, now_ms: int) -> None:
        """Lowers the weight for each first output that is overdue."""
        if now_ms < self._next_check_at_ms:
            return
        for request in list(self.in_flight.values()):
            if now_ms < request.check_at_ms:
                continue
            if now_ms >= request.expires_at_ms:
                self.remove(request.item.key)
                continue
            if request.first_output_ms is None:
                self._record_late(request, now_ms)
            request.check_at_ms = request.expires_at_ms
        self._next_check_at_ms = min(
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
            "weight": self.straggler_state.weight,
        }

    def _record_late(self, request: InFlightRequest, now_ms: int) -> None:
        # Each request lowers the weight at most once, however late it is.
        if not request.lowered_weight:
            request.lowered_weight = True
            self.straggler_state.lower_weight(now_ms)
