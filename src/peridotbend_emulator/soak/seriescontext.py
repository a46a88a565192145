"""What the faults of one series share."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable, Iterator

from peridotbend_emulator.soak.faults import Choices
from peridotbend_emulator.soak.fleet import SoakFleet
from peridotbend_emulator.soak.fleetchecks import TouchLog
from peridotbend_emulator.soak.record import Record

DOWN_S = (0.05, 1.0)
LONG_DOWN_S = (0.2, 2.5)
SILENT_S = (0.5, 4.0)


class Occupation:
    """Keeps series of faults from striking the same subject at once."""

    def __init__(self) -> None:
        self._taken: set[object] = set()

    def is_free(self, subject: object) -> bool:
        """Tells whether no series is at work there."""
        return subject not in self._taken

    @contextlib.contextmanager
    def hold(self, *subjects: object) -> Iterator[None]:
        """Keeps other series away."""
        self._taken.update(subjects)
        try:
            yield
        finally:
            self._taken.difference_update(subjects)


@dataclasses.dataclass
class SeriesContext:
    """What a series disturbs, and the choices of its current fault."""

    fleet: SoakFleet
    # Returns the choices of a fault by its number, so that one that is passed
    # over doesn't change those after it.
    make_choices: Callable[[int], Choices]
    record: Record
    # Shared with the other series.
    occupation: Occupation
    touch: TouchLog

    def __post_init__(self) -> None:
        """Takes the choices of the first fault."""
        self.begin_fault(0)

    @property
    def rng(self) -> random.Random:
        """The generator of the current fault."""
        return self.choices.rng

    def begin_fault(self, number: int) -> None:
        """Takes the choices of the next fault."""
        self.choices = self.make_choices(number)

    def note(self, text: str) -> None:
        """Notes what happens."""
        self.record.note_fault(text)

    async def sleep(self, span_s: tuple[float, float]) -> None:
        """Sleeps for a time in a range."""
        await asyncio.sleep(self.rng.uniform(*span_s))
