"""Keeps series of faults from striking the same process at once."""

import contextlib
from collections.abc import Iterator

from peridotbend_emulator.soak.instances import Instance
from peridotbend_emulator.soak.runners import Runner


class Occupation:
    """The runners and instances at which a series is at work."""

    def __init__(self) -> None:
        self._taken: set[Runner | Instance] = set()

    def is_free(self, subject: Runner | Instance) -> bool:
        """Tells whether no series is at work there."""
        return subject not in self._taken

    @contextlib.contextmanager
    def hold(self, *subjects: Runner | Instance) -> Iterator[None]:
        """Keeps other series away."""
        self._taken.update(subjects)
        try:
            yield
        finally:
            self._taken.difference_update(subjects)
