"""Statistics of the requests and targets of a service."""

import statistics
from collections.abc import Mapping

from peridotbend.domain.estimates import (
    DEFAULT_COSTS,
    CostAverage,
    TargetEstimate,
    TokenCosts,
)
from peridotbend.domain.work import WorkItem

# Medians change slowly, so they are not recomputed for each request.
MEDIAN_TTL_MS = 1_000
# A tier counts as active for this long after its last request.
TIER_ACTIVE_MS = 10_000


class ServiceTraffic:
    """Request sizes, active tiers and typical target costs of a service."""

    # Averages over about the last twenty requests.
    SIZE_SMOOTHING = 0.05

    def __init__(self) -> None:
        # Names of the targets that have been used.
        self.targets: set[str] = set()
        self._mean_units = 0.0
        self._tier_seen_at_ms: dict[int, int] = {}
        self._typical_costs = DEFAULT_COSTS
        self._typical_costs_expire_at_ms: int | None = None

    def record_arrival(self, item: WorkItem, now_ms: int) -> None:
        """Records that a request asks for a target; it may do so repeatedly."""
        self._tier_seen_at_ms[item.kind.tier] = now_ms

    def record_dispatch(self, item: WorkItem) -> None:
        """Records the size of a request that is being sent."""
        units = item.work.units
        if not self._mean_units:
            self._mean_units = units
        difference = units - self._mean_units
        self._mean_units += self.SIZE_SMOOTHING * difference

    def is_low_risk(self, item: WorkItem, now_ms: int) -> bool:
        """Tells whether a request is short, idempotent and of the lowest tier.

        Only the tiers that are active now count.
        """
        if not item.kind.idempotent or item.on_trial:
            return False
        lowest = max(
            (
                tier
                for tier, at_ms in self._tier_seen_at_ms.items()
                if now_ms - at_ms <= TIER_ACTIVE_MS
            ),
            default=item.kind.tier,
        )
        return item.kind.tier >= lowest and item.work.units <= self._mean_units

    def find_typical_costs(
        self, estimates: Mapping[str, TargetEstimate], now_ms: int
    ) -> TokenCosts:
        """Returns the median costs of the targets that have been used."""
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
    # With an even number, the lower middle value: of two targets, a straggler
    # must not raise the typical costs.
    return statistics.median_low(measured) if measured else default
