"""Counts of requests by outcome in replays with accounts."""

import dataclasses
from collections.abc import Iterator


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of requests by outcome, and their value."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused_once: int = 0
    refused_twice: int = 0
    failed: int = 0
    offered_value: float = 0.0
    earned_value: float = 0.0
    # Refusals while a lower rank was served.
    passed_over: int = 0

    @property
    def earned_share(self) -> float:
        """The part of the offered value that was earned."""
        return self.earned_value / max(self.offered_value, 1e-9)


def add_tallies(tallies: Iterator[Tally]) -> Tally:
    """Returns the sum of tallies."""
    total = Tally()
    for tally in tallies:
        for field in dataclasses.fields(Tally):
            value = getattr(total, field.name) + getattr(tally, field.name)
            setattr(total, field.name, value)
    return total


def format_tally(label: str, tally: Tally) -> str:
    """Returns a line of the report."""
    return (
        f"  {label:14} value {tally.earned_share:.3f}  "
        f"offered {tally.offered:5}  on time {tally.on_time:5}  "
        f"late {tally.late:4}  refused once {tally.refused_once:4}  "
        f"twice {tally.refused_twice:4}  failed {tally.failed:3}  "
        f"passed over {tally.passed_over:4}"
    )
