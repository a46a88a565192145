"""Windows that limit the work at targets, and their division among peers."""

import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence

from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import Share

SHARE_LIFETIME_MS = 1_000
# A first output that takes more than this many times the latency of an unloaded
# target counts as queueing. Batching alone slows a prefill by up to about half.
QUEUEING_FACTOR = 2.0
# Added to that limit. An engine step that processes 2,048 tokens of another
# prompt takes about this long. With less, each short request that was batched
# with a long prompt shrank the window.
QUEUEING_SLACK_MS = 100.0
DECREASE_FACTOR = 0.7
# Increase for each full allowance of work without queueing, as a multiple of
# the minimum. With a quarter, windows in use grew by less than 100 units in
# 30 s.
INCREASE_MULTIPLE = 2.0
# Fixed cost of a call, expressed in prompt tokens.
CALL_OVERHEAD_TOKENS = 64
IDLE_SMOOTHING = 0.2
BUSY_SMOOTHING = 0.05


class TargetWindow:
    """Limit of the work in flight at a target, adapted to observed queueing.

    The size follows additive increase and multiplicative decrease. A first
    output later than the speed of the unloaded target predicts counts as
    queueing. The time per token of the unloaded target is learnt from requests
    that found the target idle; other requests can only lower it.
    """

    def __init__(self, initial: float, minimum: float, maximum: float):
        self._minimum = minimum
        self._maximum = maximum
        self.size = min(max(initial, minimum), maximum)
        self._ms_per_token: float | None = None
        self._decreased_at_ms: int | None = None

    def set_bounds(self, minimum: float, maximum: float) -> None:
        """Applies the bounds of a new configuration."""
        self._minimum, self._maximum = minimum, maximum
        self._resize(self.size)

    def predict_ms(self, prompt_tokens: int) -> float | None:
        """Returns the expected time to first output at the unloaded target."""
        if self._ms_per_token is None:
            return None
        return self._ms_per_token * (prompt_tokens + CALL_OVERHEAD_TOKENS)

    def record_first_output(
        self,
        prompt_tokens: int,
        elapsed_ms: float,
        in_flight_before: float,
        dispatched_at_ms: int,
        allowance: float | None = None,
    ) -> None:
        """Adapts the window to the latency of one first output.

        `in_flight_before` is the work that this process had in flight just
        before the dispatch. `allowance` is the work that it was allowed to
        have in flight then; the default is the whole window.
        """
        allowed = self.size if allowance is None else allowance
        predicted_ms = self.predict_ms(prompt_tokens)
        idle = in_flight_before <= 0
        self._learn_speed(prompt_tokens, elapsed_ms, idle)
        if predicted_ms is None or idle:
            return
        limit_ms = predicted_ms * QUEUEING_FACTOR + QUEUEING_SLACK_MS
        if elapsed_ms > limit_ms:
            self._decrease(dispatched_at_ms, dispatched_at_ms + elapsed_ms)
        elif in_flight_before >= allowed / 2:
            # If less than half of the allowance was in use, the response time
            # does not show whether a larger window would be safe.
            fraction = min(1.0, prompt_tokens / max(allowed, 1.0))
            self._resize(self.size + self._find_increase() * fraction)

    def record_timeout(self, dispatched_at_ms: int, now_ms: int) -> None:
        """Shrinks the window after a request that got no answer in time."""
        self._decrease(dispatched_at_ms, now_ms)

    def _find_increase(self) -> float:
        """Returns the increase for one full allowance of work."""
        if self._decreased_at_ms is None:
            # Slow start, because the initial size may be far off.
            return self.size
        return INCREASE_MULTIPLE * self._minimum

    def _decrease(self, dispatched_at_ms: int, now_ms: float) -> None:
        """Shrinks the window, once for all requests sent before the change."""
        last_ms = self._decreased_at_ms
        if last_ms is not None and dispatched_at_ms <= last_ms:
            return
        self._decreased_at_ms = math.ceil(now_ms)
        self._resize(self.size * DECREASE_FACTOR)

    def _learn_speed(self, tokens: int, elapsed_ms: float, idle: bool) -> None:
        sample = elapsed_ms / (tokens + CALL_OVERHEAD_TOKENS)
        if self._ms_per_token is None:
            self._ms_per_token = sample
        elif idle or sample < self._ms_per_token:
            smoothing = IDLE_SMOOTHING if idle else BUSY_SMOOTHING
            self._ms_per_token += smoothing * (sample - self._ms_per_token)

    def _resize(self, size: float) -> None:
        self.size = min(max(size, self._minimum), self._maximum)


def divide_window(
    size: float, demands: Mapping[str, Sequence[float]], target: str = ""
) -> dict[str, Share]:
    """Divides a window among peers by their demand for each tier.

    The highest tier is served first, max-min fair between peers. The rest of
    the window is divided evenly, for demand that arises before the next
    division. The shares never add up to more than `size`.
    """
    work = dict.fromkeys(demands, 0.0)
    remaining = max(0.0, size)
    lowest = -1
    for tier in range(max(map(len, demands.values()), default=0)):
        wanted = {
            peer: demand[tier]
            for peer, demand in demands.items()
            if tier < len(demand) and demand[tier] > 0
        }
        if not wanted or remaining <= 0:
            continue
        lowest = tier
        for peer, part in _divide_max_min(remaining, wanted).items():
            work[peer] += part
            remaining -= part
    for peer in work:
        work[peer] += max(0.0, remaining) / len(work)
    _trim_rounding_excess(work, max(0.0, size))
    return {peer: Share(target, part, lowest) for peer, part in work.items()}


def _divide_max_min(size: float, wanted: dict[str, float]) -> dict[str, float]:
    parts = {}
    remaining = size
    smallest_first = sorted(wanted, key=lambda peer: (wanted[peer], peer))
    for index, peer in enumerate(smallest_first):
        even = remaining / (len(wanted) - index)
        parts[peer] = min(wanted[peer], even)
        remaining -= parts[peer]
    return parts


def _trim_rounding_excess(work: dict[str, float], size: float) -> None:
    """Removes the excess over `size` that rounding errors cause."""
    while (excess := sum(work.values()) - size) > 0:
        largest = max(work, key=lambda peer: work[peer])
        lowered = math.nextafter(work[largest], 0.0)
        work[largest] = max(0.0, min(work[largest] - excess, lowered))


@dataclasses.dataclass(frozen=True, slots=True)
class _Demand:
    work_by_tier: tuple[float, ...]
    received_at_ms: int


class WindowDivider:
    """Divides the windows of the targets for which this process is divider."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._demands: dict[str, dict[str, _Demand]] = {}
        self._last_demand_at_ms: dict[str, int] = {}

    def record_demand(
        self, peer: str, target: str, work_by_tier: Sequence[float]
    ) -> None:
        """Records the demand of a peer (or of this process) for a target."""
        now_ms = self._clock.now_ms()
        demand = _Demand(tuple(work_by_tier), now_ms)
        self._demands.setdefault(target, {})[peer] = demand
        self._last_demand_at_ms[peer] = now_ms

    def find_targets(self) -> list[str]:
        """Returns the targets for which any peer has recent demand."""
        self._drop_expired()
        return list(self._demands)

    def divide(
        self, sizes: Mapping[str, float], live_peers: Iterable[str] = ()
    ) -> dict[str, list[Share]]:
        """Returns the shares of each peer that is live or sent recent demand.

        A peer without demand for a target gets a share too. Without one it
        would assume an even part of the window, even for work of a tier that
        is not served.
        """
        self._drop_expired()
        peers = dict.fromkeys([*self._last_demand_at_ms, *live_peers])
        shares: dict[str, list[Share]] = {peer: [] for peer in peers}
        for target, size in sizes.items():
            known = self._demands.get(target, {})
            demands = {
                peer: known[peer].work_by_tier if peer in known else ()
                for peer in peers
            }
            for peer, share in divide_window(size, demands, target).items():
                shares[peer].append(share)
        return shares

    def _drop_expired(self) -> None:
        oldest_ms = self._clock.now_ms() - SHARE_LIFETIME_MS
        self._last_demand_at_ms = {
            p: at_ms
            for p, at_ms in self._last_demand_at_ms.items()
            if at_ms > oldest_ms
        }
        for target, known in list(self._demands.items()):
            fresh = {
                p: d for p, d in known.items() if d.received_at_ms > oldest_ms
            }
            if fresh:
                self._demands[target] = fresh
            else:
                del self._demands[target]


class ShareTable:
    """The shares of this process; each expires after SHARE_LIFETIME_MS."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._shares: dict[str, tuple[int, Share]] = {}

    def update(self, share: Share) -> None:
        """Replaces the share of a target."""
        self._shares[share.target] = (self._clock.now_ms(), share)

    def find_allowance(
        self, target: str, window: float, live_peers: int
    ) -> float:
        """Returns the work that this process may have in flight.

        The allowance never exceeds the window that this process has learnt
        itself, because the divider may detect queueing later.
        """
        share = self._find_fresh(target)
        if share is None:
            return window / max(1, live_peers)
        return min(share.work, window)

    def find_lowest_tier(self, targets: Iterable[str]) -> int | None:
        """Returns the lowest tier that the last divisions served.

        None means that no share is valid or that nothing was served.
        """
        shares = (self._find_fresh(target) for target in targets)
        tiers = [s.lowest_tier_served for s in shares if s is not None]
        lowest = max(tiers, default=-1)
        return None if lowest < 0 else lowest

    def drop(self, target: str) -> None:
        """Drops the share of a target removed from the configuration."""
        self._shares.pop(target, None)

    def _find_fresh(self, target: str) -> Share | None:
        found = self._shares.get(target)
        if found is None:
            return None
        received_at_ms, share = found
        age_ms = self._clock.now_ms() - received_at_ms
        return share if age_ms < SHARE_LIFETIME_MS else None
