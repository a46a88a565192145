"""Passes on what a target says of itself in its answer to one send."""

import dataclasses

from peridotbend.domain.events import Event
from peridotbend.edge.parts import RelayDependencies
from peridotbend.edge.targets import EdgeTarget


@dataclasses.dataclass(frozen=True, slots=True)
class SendNotices:
    """The callbacks of one send."""

    dependencies: RelayDependencies
    target: EdgeTarget

    def note_limit(self, per_s: float | None) -> None:
        """Records the requests a second that the target takes from all."""
        self.dependencies.rate_limits.note_answer(self.target, per_s)

    def note_brittle(self, max_rejections: float | None) -> None:
        """Records the rejections in a second that the target survives."""
        self.dependencies.brittle.note_answer(self.target, max_rejections)

    def note_leaving(self) -> None:
        """Records that the target leaves."""
        if self.dependencies.targets.note_leaving(self.target):
            self.dependencies.log.emit(
                Event.TARGET_SAID_LEAVING,
                target=self.target.name,
                service=self.target.service,
            )

    def note_pause(self, pause_ms: int) -> None:
        """Records that the target wants nothing for some time."""
        self.dependencies.pauses.note(self.target, pause_ms)
        self.dependencies.log.emit(
            Event.TARGET_PAUSED, target=self.target.name, pause_ms=pause_ms
        )
