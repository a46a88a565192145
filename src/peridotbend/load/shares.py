"""Fair shares: one account that sends many times its usual rate.

While room is short, such an account would take the room of all others.
"""

import dataclasses
from collections.abc import Mapping

from peridotbend.domain.clock import Clock
from peridotbend.load.windows import SlidingMaximum, SlidingSum

# Long enough for several requests of each account at one instance, and shorter
# than a burst, which lasts 3 to 6 s.
USE_WINDOW_MS = 4_000
# An account is over its share beyond this factor and one request. At 1.25 the
# others were refused 146 times instead of 120 in a replayed surge.
SHARE_SLACK = 1.0
REQUEST_MARGIN = 0.5
# How long a level is used before it is computed again.
LEVEL_LIFETIME_MS = 100
# Accounts kept; beyond this, those without recent use are dropped.
MAX_ACCOUNTS = 1_000


@dataclasses.dataclass(slots=True)
class _Use:
    """Recent work of one account."""

    offered: SlidingSum
    granted: SlidingSum
    # Of the requests; an account may always have one in its share.
    largest: SlidingMaximum


class FairShares:
    """Compares the use of accounts, relative to their weights.

    The share of an account is its weight times a level at which the work of all
    accounts fills what was granted. What an account leaves of its share goes to
    the others. Idling for longer than the window gives an account no advantage
    over one that sends little.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._weights: Mapping[str, float] = {}
        self._uses: dict[str, _Use] = {}
        self._level: float | None = None
        self._level_until_ms = 0

    def apply_weights(self, weights: Mapping[str, float]) -> None:
        """Applies the weights by account; others count as 1."""
        self._weights = weights

    def note_offered(self, account: str, work: float) -> None:
        """Counts work that an account asks for."""
        use = self._find_use(account)
        use.offered.add(work)
        use.largest.add(work)

    def note_granted(self, account: str, work: float) -> None:
        """Counts work that an account was granted a slot for."""
        self._find_use(account).granted.add(work)

    def find_order(self, account: str) -> float:
        """Returns the use relative to the weight; the lowest goes first."""
        use = self._uses.get(account)
        if use is None:
            return 0.0
        return use.granted.find() / self._find_weight(account)

    def is_over_share(self, account: str) -> bool:
        """Tells whether an account has had more than its share lately."""
        use = self._uses.get(account)
        level = self._find_level()
        if use is None or level is None:
            return False
        share = SHARE_SLACK * level * self._find_weight(account)
        return use.granted.find() > share + REQUEST_MARGIN * use.largest.find()

    def list_use(self) -> dict[str, float]:
        """Returns the work granted lately, by account."""
        uses = {name: use.granted.find() for name, use in self._uses.items()}
        return {name: granted for name, granted in uses.items() if granted}

    def _find_use(self, account: str) -> _Use:
        use = self._uses.get(account)
        if use is None:
            if len(self._uses) >= MAX_ACCOUNTS:
                self._drop_idle()
            use = self._uses[account] = _Use(
                SlidingSum(self._clock, USE_WINDOW_MS),
                SlidingSum(self._clock, USE_WINDOW_MS),
                SlidingMaximum(self._clock, USE_WINDOW_MS),
            )
        return use

    def _drop_idle(self) -> None:
        self._uses = {
            name: use
            for name, use in self._uses.items()
            if use.offered.find() or use.granted.find()
        }

    def _find_weight(self, account: str) -> float:
        return self._weights.get(account) or 1.0

    def _find_level(self) -> float | None:
        """Returns the share for a weight of 1; None if all have enough."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._level_until_ms:
            self._level_until_ms = now_ms + LEVEL_LIFETIME_MS
            self._level = self._compute_level()
        return self._level

    def _compute_level(self) -> float | None:
        demands = []
        left = 0.0
        for name, use in self._uses.items():
            granted = use.granted.find()
            left += granted
            demand = max(granted, use.offered.find())
            weight = self._find_weight(name)
            if demand:
                demands.append((demand / weight, weight))
        total_weight = sum(weight for _, weight in demands)
        for demand, weight in sorted(demands):
            if demand * total_weight > left:
                return left / total_weight
            left -= demand * weight
            total_weight -= weight
        return None
