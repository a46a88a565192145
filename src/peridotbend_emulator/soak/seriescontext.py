"""What the faults of one series share."""

import asyncio
import random
from collections.abc import Callable

from peridotbend_emulator.soak.faults import Choices, FaultPlan
from peridotbend_emulator.soak.fleet import SoakFleet
from peridotbend_emulator.soak.fleetchecks import TouchLog
from peridotbend_emulator.soak.occupation import Occupation
from peridotbend_emulator.soak.record import Record

DOWN_S = (0.05, 1.0)
LONG_DOWN_S = (0.2, 2.5)
SILENT_S = (0.5, 4.0)


class SeriesContext:
    """What a series disturbs, and the choices of its current fault."""

    def __init__(
        self,
        fleet: SoakFleet,
        make_choices: Callable[[int], Choices],
        record: Record,
        occupation: Occupation,
        touch: TouchLog,
    ):
        """Creates a context.

        Args:
            fleet: what is disturbed.
            make_choices: returns the choices of a fault by its number, so that
                one that is passed over doesn't change those after it.
            record: of the run.
            occupation: shared with the other series.
            touch: notes what is disturbed.
        """
        self.fleet = fleet
        self.occupation = occupation
        self.touch = touch
        self._make_choices = make_choices
        self._choices = make_choices(0)
        self._record = record

    @property
    def rng(self) -> random.Random:
        """The generator of the current fault."""
        return self._choices.rng

    @property
    def plan(self) -> FaultPlan:
        """The faults of the run."""
        return self._choices.plan

    def begin_fault(self, number: int) -> None:
        """Takes the choices of the next fault."""
        self._choices = self._make_choices(number)

    def note(self, text: str) -> None:
        """Notes what happens."""
        self._record.note_fault(text)

    async def sleep(self, span_s: tuple[float, float]) -> None:
        """Sleeps for a time in a range."""
        await asyncio.sleep(self.rng.uniform(*span_s))
