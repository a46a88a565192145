"""The limit of one target that ramps up.

Load pattern: a target whose speed is not known yet, or has just changed.
"""

import dataclasses

# The ramp ends here, as routes of rank 0 may fill a target beyond its slots.
FULL_SHARE = 1.05
LOWER_FACTOR = 0.5
# By how many requests each answer in time raises the limit: the limit doubles
# in the time of a first event.
RAISE_PER_ANSWER = 1.0
# Fraction of signs of overload among the answers that is tolerated. Long
# prompts are late at any target.
TOLERATED_SHARE = 0.3
# The others are late as well during bursts; this multiple of their share is
# tolerated.
TOLERATED_FACTOR = 1.5
# Signs are forgotten after this number of answers without a change.
MAX_PENDING = 8
# A limited target without signs for this time is taken for sound: it gets too
# few requests to show it.
QUIET_MS = 5_000


@dataclasses.dataclass(slots=True)
class Ramp:
    """Adapts the limit to sums of answers in time and of signs of overload."""

    # Fraction of the slots that may be used.
    share: float
    since_ms: int
    # Sums of the other instances as of the last step.
    seen_on_time: int
    seen_signs: int
    lowered_at_ms: int = dataclasses.field(init=False)
    sign_at_ms: int = dataclasses.field(init=False)
    # Of this instance.
    own_on_time: int = 0
    own_signs: int = 0
    # Of this instance, as of the last step.
    seen_own_on_time: int = 0
    seen_own_signs: int = 0
    # What counts for the next change.
    pending_on_time: int = 0
    pending_signs: int = 0

    def __post_init__(self) -> None:
        self.lowered_at_ms = self.sign_at_ms = self.since_ms

    def step(
        self,
        on_time: int,
        signs: int,
        usual_share: float,
        slots: int,
        now_ms: int,
        is_complete: bool = True,
    ) -> None:
        """Changes the limit by what has become known since the last step.

        Args:
            on_time: answers in time at all instances.
            signs: signs of overload at all instances.
            usual_share: share of such signs at the other targets.
            slots: of the target.
            now_ms: current time.
            is_complete: whether the sums include the other instances; if not,
                they shrink, and what comes back later is not new.
        """
        new_on_time, new_signs = self._count_new(on_time, signs, is_complete)
        if new_signs:
            self.sign_at_ms = now_ms
        self.pending_on_time += new_on_time
        self.pending_signs += new_signs
        total = self.pending_on_time + self.pending_signs
        tolerated = max(TOLERATED_SHARE, TOLERATED_FACTOR * usual_share)
        if new_signs and self.pending_signs > tolerated * total:
            self.share = max(1 / slots, self.share * LOWER_FACTOR)
            self.lowered_at_ms = now_ms
            self.pending_on_time = self.pending_signs = 0
        elif new_on_time:
            self.share += RAISE_PER_ANSWER * new_on_time / slots
            if total >= MAX_PENDING:
                self.pending_on_time = self.pending_signs = 0

    def _count_new(
        self, on_time: int, signs: int, is_complete: bool
    ) -> tuple[int, int]:
        """Returns the answers in time and the signs since the last step."""
        own_on_time = self.own_on_time - self.seen_own_on_time
        own_signs = self.own_signs - self.seen_own_signs
        self.seen_own_on_time = self.own_on_time
        self.seen_own_signs = self.own_signs
        # Sums shrink when an instance is no longer heard of.
        on_time -= self.own_on_time
        signs -= self.own_signs
        new_on_time = max(0, on_time - self.seen_on_time)
        new_signs = max(0, signs - self.seen_signs)
        if is_complete or new_on_time:
            self.seen_on_time = on_time
        if is_complete or new_signs:
            self.seen_signs = signs
        return own_on_time + new_on_time, own_signs + new_signs

    def is_over(self, now_ms: int) -> bool:
        """Tells whether the target needs no limit any more."""
        is_quiet = now_ms - self.sign_at_ms >= QUIET_MS
        return self.share >= FULL_SHARE or is_quiet
