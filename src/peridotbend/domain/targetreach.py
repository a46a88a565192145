"""What an instance knows of its own link to one target."""

import collections
import dataclasses
import enum
from collections.abc import Iterable

# A peer is tried this often in a row while the links are doubted, then after
# pauses that double: the targets may be down for all.
QUICK_TRIALS = 4
TRIAL_INTERVAL_MS = 200
FIRST_TRIAL_PAUSE_MS = 2_000
MAX_TRIAL_PAUSE_MS = 32_000
# For a single target, which is more likely to be down itself.
QUICK_TARGET_TRIALS = 2
# New connections to a target in a row without an answer before its link is
# doubted, while other targets of the service answer.
MIN_TARGET_MISSES = 2
# If the link to another target of the service is already lost, or so many do
# not answer. One that is silent may have no room for a second connection.
MIN_NEXT_MISSES = 1
MIN_SILENT_TARGETS = 3
# Of a large service, one in so many has to be silent: among hundreds of sound
# targets some are at any time.
SILENT_DIVISOR = 20
# No next doubt of a target for so long after an answer has voided one. The time
# doubles while the target is only slow.
FIRST_HOLD_MS = 1_000
MAX_HOLD_MS = 16_000
# Longer than for failed connects, since silent connections may be far apart. An
# answer voids them at once.
UNANSWERED_TTL_MS = 20_000
# Bound on memory.
MAX_MISSED = 32


class LinkFault(enum.Enum):
    """How a new connection ends that brings no answer."""

    REFUSED = "refused"
    HANGING = "hanging"
    RESET = "reset"
    SILENT = "silent"
    FOREIGN = "foreign"
    HEAD_ONLY = "head-only"

    @property
    def is_accepted(self) -> bool:
        """Whether the connection was established."""
        return self not in (LinkFault.REFUSED, LinkFault.HANGING)


@dataclasses.dataclass(frozen=True, slots=True)
class Miss:
    """A new direct connection that brought no answer."""

    # When it was established, or failed.
    at_ms: int
    target: str
    fault: LinkFault


# Of a cut with connections that end in several forms.
MIXED_FORM = "mixed"
FORMS = (*(fault.value for fault in LinkFault), MIXED_FORM)


def count_faults(misses: Iterable[Miss]) -> dict[str, int]:
    """Returns how many connections ended in each form."""
    counts = collections.Counter(miss.fault.value for miss in misses)
    return dict(sorted(counts.items()))


def find_form(misses: Iterable[Miss]) -> str:
    """Returns the form of a cut."""
    counts = count_faults(misses)
    return next(iter(counts)) if len(counts) == 1 else MIXED_FORM


def drop_old(misses: list[Miss], before_ms: int) -> list[Miss]:
    """Returns the newest connections that are later than a time."""
    return [miss for miss in misses if miss.at_ms > before_ms][-MAX_MISSED:]


@dataclasses.dataclass(slots=True)
class TrialPlan:
    """When peers are tried since a link is doubted."""

    quick: int
    trials: int = 0
    next_at_ms: int = 0

    def begin(self, now_ms: int) -> bool:
        """Tells whether a peer is to be tried now."""
        if now_ms < self.next_at_ms:
            return False
        self.trials += 1
        pauses = self.trials - self.quick
        wait_ms = TRIAL_INTERVAL_MS
        if pauses >= 0:
            wait_ms = FIRST_TRIAL_PAUSE_MS * 2 ** min(pauses, 16)
        self.next_at_ms = now_ms + min(wait_ms, MAX_TRIAL_PAUSE_MS)
        return True


@dataclasses.dataclass(slots=True)
class TargetReach:
    """New direct connections to one target since its last direct answer."""

    missed: list[Miss] = dataclasses.field(default_factory=list)
    plan: TrialPlan = dataclasses.field(
        default_factory=lambda: TrialPlan(QUICK_TARGET_TRIALS)
    )
    # Whether the log says that the link is doubted.
    is_logged: bool = False
    # No doubt until then, and for how long that is.
    hold_until_ms: int = 0
    hold_ms: int = 0
    is_lost: bool = False
    # The form of the cut, once the link is lost.
    form: str = ""
    # Direct answers in a row since the link was lost.
    answered: int = 0

    def note_missed(self, miss: Miss) -> None:
        """Records a connection without an answer."""
        self.missed = drop_old(
            [*self.missed, miss], miss.at_ms - UNANSWERED_TTL_MS
        )
        self.answered = 0

    def note_void(self, now_ms: int) -> bool:
        """Records that an answer voids a doubt; tells if it came slowly."""
        slow = (LinkFault.SILENT, LinkFault.HEAD_ONLY)
        is_slow = all(miss.fault in slow for miss in self.missed)
        hold_ms = min(2 * self.hold_ms, MAX_HOLD_MS) if is_slow else 0
        self.hold_ms = max(hold_ms, FIRST_HOLD_MS)
        self.hold_until_ms = now_ms + self.hold_ms
        self.missed = []
        self.plan = TrialPlan(QUICK_TARGET_TRIALS)
        self.is_logged = False
        return is_slow

    def is_doubtful(self, now_ms: int, min_missed: int) -> bool:
        """Tells whether connections bring no answers."""
        if now_ms < self.hold_until_ms:
            return False
        self.missed = drop_old(self.missed, now_ms - UNANSWERED_TTL_MS)
        return len(self.missed) >= min_missed
