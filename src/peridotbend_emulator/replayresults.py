"""Results of a replay."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(slots=True)
class KindResult:
    """Counts of the requests of one kind, by outcome, and their value."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    # Those with the longest prompts, and how many of them were answered.
    large: int = 0
    large_served: int = 0
    offered_value: float = 0.0
    earned_value: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The results of one replay."""

    by_kind: Mapping[str, KindResult]
    # Number and median time of the refusals, by reason.
    refusals: Mapping[str, tuple[int, int]]
    # Requests that reached a full engine.
    rejections: int

    @property
    def earned_share(self) -> float:
        """The part of the offered value that was earned."""
        offered_value = sum(
            result.offered_value for result in self.by_kind.values()
        )
        return (
            sum(c.earned_value for c in self.by_kind.values()) / offered_value
        )


def format_outcome(outcome: Outcome) -> str:
    """Returns the results of one replay as a table."""
    lines = [f"  value earned {outcome.earned_share:.3f}"]
    for name, result in outcome.by_kind.items():
        lines.append(
            f"  {name:15} offered {result.offered:5}  "
            f"on time {result.on_time:5}  late {result.late:4}  "
            f"refused {result.refused:4}  failed {result.failed:4}  "
            f"value earned {result.earned_value / result.offered_value:.3f}  "
            f"large {result.large_served}/{result.large}"
        )
    for reason, (number, median_ms) in sorted(outcome.refusals.items()):
        lines.append(f"  {reason}: {number}, median at {median_ms} ms")
    lines.append(f"  rejected by full engines: {outcome.rejections}")
    return "\n".join(lines)
