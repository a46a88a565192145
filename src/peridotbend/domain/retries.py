"""Budget for connect retries, so that an outage does not multiply calls."""


class RetryBudget:
    """Token bucket that is filled by dispatches and drained by retries.

    It is not refilled over time: while all targets are down, nothing is
    dispatched, so each request makes only one attempt.
    """

    RETRIES_PER_DISPATCH = 0.1
    INITIAL_RETRIES = 3.0
    # Earned by a thousand dispatches. Without a limit, a process that has run
    # for days would multiply attempts during the first minutes of an outage.
    MAX_SAVED_RETRIES = 100.0

    def __init__(self) -> None:
        self._tokens = self.INITIAL_RETRIES

    def record_dispatch(self) -> None:
        """Adds the fraction of a retry that one dispatch earns."""
        self._tokens = min(
            self.MAX_SAVED_RETRIES + self.INITIAL_RETRIES,
            self._tokens + self.RETRIES_PER_DISPATCH,
        )

    def try_spend(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        # Tolerates binary rounding, so that ten dispatches earn a full retry.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True
