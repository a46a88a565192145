"""Where a prompt is read in time, without delaying the other streams.

Addresses long prompts behind which everything else at an engine waits, and
requests that are sent where they are known to be late.
"""

import dataclasses
from collections.abc import Collection, Iterable, Mapping

from peridotbend.load.work import Estimate

# An engine may have prompts to read for this part of the pause that callers
# allow. The rest covers what other instances send there at the same time.
READING_SHARE = 0.8
# Waiting requests whose first events are due within the same interval are taken
# for equally urgent.
DUE_CLASS_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt that a target has to read, and what its caller expects."""

    tokens: int
    # When the first event has to arrive; None if it may arrive at any time.
    due_at_ms: int | None
    # Objective for the time to the first event.
    objective_ms: int
    # The longest pause between events that callers of the route allow.
    max_pause_ms: int

    def make_class(self) -> "Prompt":
        """Returns the same for prompts of about the same size and urgency."""
        due_at_ms = self.due_at_ms
        return dataclasses.replace(
            self,
            tokens=1 << self.tokens.bit_length(),
            due_at_ms=due_at_ms and due_at_ms // DUE_CLASS_MS * DUE_CLASS_MS,
        )


def find_admissible(
    prompt: Prompt,
    now_ms: int,
    estimates: Mapping[str, Estimate],
    free: Collection[str],
) -> Collection[str]:
    """Returns the targets that a request may be sent to now.

    Returns none if it should wait, since it can still be on time.

    Args:
        prompt: of the request.
        now_ms: the current time.
        estimates: of all targets that may serve the request.
        free: those of them that have a free slot.
    """
    max_reading_ms = READING_SHARE * prompt.max_pause_ms
    spared = [
        name
        for name in free
        # A target that has nothing to read takes prompts of any length.
        if not estimates[name].ahead_tokens
        or estimates[name].reading_ms <= max_reading_ms
    ]
    left_ms = None if prompt.due_at_ms is None else prompt.due_at_ms - now_ms
    if left_ms is None or left_ms <= 0:
        return spared or free
    on_time = [n for n in spared if estimates[n].total_ms <= left_ms]
    if on_time:
        return on_time
    if _can_be_on_time(estimates.values(), left_ms):
        return ()
    # No target is fast enough for so long a prompt.
    return spared or free


def _can_be_on_time(estimates: Iterable[Estimate], left_ms: int) -> bool:
    """Tells whether a target would be in time with nothing else to read."""
    return any(estimate.least_ms <= left_ms for estimate in estimates)
