"""Budget for second connect attempts, so that outages cost no more calls."""


class RetryBudget:
    """Token bucket that dispatches fill and retries empty.

    It is filled by dispatches only, never by time: while every target is
    dead, nothing is dispatched and each request makes a single attempt.
    """

    RETRIES_PER_DISPATCH = 0.1
    INITIAL_RETRIES = 3.0
    # Savings of the last thousand dispatches. Without a bound a process that
    # ran for days would multiply attempts for minutes of an outage.
    MAX_SAVED_RETRIES = 100.0

    def __init__(self) -> None:
        self._tokens = self.INITIAL_RETRIES

    def record_dispatch(self) -> None:
        """Adds the share of a retry that one dispatched request earns."""
        self._tokens = min(
            self.MAX_SAVED_RETRIES + self.INITIAL_RETRIES,
            self._tokens + self.RETRIES_PER_DISPATCH,
        )

    def try_spend(self) -> bool:
        """Takes one retry; False means that the request must not retry."""
        # Ten dispatches earn a whole retry in spite of binary rounding.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True
