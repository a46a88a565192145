"""What a process has seen of one service as a whole."""

import statistics
from collections.abc import Mapping

from peridotbend.domain.estimates import (
    DEFAULT_COSTS,
    CostAverage,
    TargetEstimate,
    TokenCosts,
)
from peridotbend.domain.work import WorkItem

# Medians change slowly; sorting all targets for each request is wasted.
MEDIAN_TTL_MS = 1_000
# A tier counts as present this long after its last request.
TIER_PRESENCE_MS = 10_000


class ServiceTraffic:
    """Requests of one service and the usual speed of its targets."""

    # About the last twenty requests count.
    SIZE_SMOOTHING = 0.05

    def __init__(self) -> None:
        # Names of the targets that were used.
        self.targets: set[str] = set()
        self._mean_units = 0.0
        self._tier_seen_at_ms: dict[int, int] = {}
        self._typical_costs = DEFAULT_COSTS
        self._typical_costs_expire_at_ms: int | None = None

    def record_arrival(self, item: WorkItem, now_ms: int) -> None:
        """Notes a request that asks for a target, perhaps repeatedly."""
        self._tier_seen_at_ms[item.kind.tier] = now_ms

    def record_dispatch(self, item: WorkItem) -> None:
        """Notes the size of a request that is being sent."""
        units = item.work.units
        if not self._mean_units:
            self._mean_units = units
        difference = units - self._mean_units
        self._mean_units += self.SIZE_SMOOTHING * difference

    def is_low_risk(self, item: WorkItem, now_ms: int) -> bool:
        """True for short, idempotent work of the lowest tier present."""
        if not item.kind.idempotent or item.on_trial:
            return False
        lowest = max(
            (
                tier
                for tier, at_ms in self._tier_seen_at_ms.items()
                if now_ms - at_ms <= TIER_PRESENCE_MS
            ),
            default=item.kind.tier,
        )
        return item.kind.tier >= lowest and item.work.units <= self._mean_units

    def find_typical_costs(
        self, estimates: Mapping[str, TargetEstimate], now_ms: int
    ) -> TokenCosts:
        """Returns the median costs over the targets that were used."""
        if (
            self._typical_costs_expire_at_ms is None
            or now_ms >= self._typical_costs_expire_at_ms
        ):
            used = [estimates[name] for name in self.targets]
            self._typical_costs = TokenCosts(
                _find_median(
                    [e.prefill for e in used], DEFAULT_COSTS.prefill_ms
                ),
                _find_median([e.decode for e in used], DEFAULT_COSTS.decode_ms),
            )
            self._typical_costs_expire_at_ms = now_ms + MEDIAN_TTL_MS
        return self._typical_costs


def _find_median(averages: list[CostAverage], default: float) -> float:
    measured = [
        value
        for average in averages
        if (value := average.find_measured()) is not None
    ]
    # The lower one of two: with two targets a straggler must not pull the
    # usual speed towards itself.
    return statistics.median_low(measured) if measured else default
