"""Ways to limit a target that has returned, which replays compare."""

import contextlib
from collections.abc import Iterator
from unittest import mock

from peridotbend.edge.hashes import hash_name
from peridotbend.load import pace
from peridotbend.load.ramp import FULL_SHARE, Ramp


class NoPaces(pace.TargetPaces):
    """Limits nothing."""

    def _begin(self, record: pace._Record, share: float, cause: str) -> None:
        """Never begins a ramp."""


class FixedPaces(pace.TargetPaces):
    """Raises the limit with time alone."""

    RAMP_MS = 5_000

    def _step(self, record: pace._Record, ramp: Ramp, slots: int) -> None:
        age_ms = self._clock.now_ms() - ramp.since_ms
        ramp.share = max(pace.START_SHARE, age_ms / self.RAMP_MS)
        if ramp.share >= FULL_SHARE:
            self._end(record, ramp)


class OwnPaces(pace.TargetPaces):
    """Uses only what this instance sees of a target."""

    def _step(self, record: pace._Record, ramp: Ramp, slots: int) -> None:
        now_ms = self._clock.now_ms()
        usual_share = self._services[record.service].sign_share
        own = ramp.own_on_time, ramp.own_signs
        ramp.step(*own, usual_share, slots, now_ms)
        if ramp.is_over(now_ms):
            self._end(record, ramp)


class GradientPaces(pace.TargetPaces):
    """Scales the limit by the ratio of the expected to the recent latency."""

    EXPECTED_SHARE = 0.5
    SMOOTHING = 0.3

    def note_first_event(
        self, target: str, took_ms: int, objective_ms: int
    ) -> None:
        """Records the latency as a fraction of the objective."""
        super().note_first_event(target, took_ms, objective_ms)
        record = self._records.get(target)
        if record is None or record.ramp is None:
            return
        ramp = record.ramp
        gradient = self.EXPECTED_SHARE * objective_ms / max(1, took_ms)
        gradient = min(1.3, max(0.5, gradient))
        wanted = max(0.1, ramp.share * gradient + 0.05)
        ramp.share += self.SMOOTHING * (wanted - ramp.share)

    def _step(self, record: pace._Record, ramp: Ramp, slots: int) -> None:
        if ramp.share >= FULL_SHARE:
            self._end(record, ramp)


class UndividedPaces(pace.TargetPaces):
    """Lets all instances use free places at once."""

    def _has_turn(
        self, record: pace._Record, free: float, instances: int
    ) -> bool:
        return True


class ProbingPaces(pace.TargetPaces):
    """Lets the same few instances use a limited target."""

    def _has_turn(
        self, record: pace._Record, free: float, instances: int
    ) -> bool:
        number = int(self._instance.rpartition("-")[2])
        place = (hash_name(record.name) + number) % instances
        return place < free + self._counts.count(record.name)


RAMPS: dict[str, type[pace.TargetPaces]] = {
    "none": NoPaces,
    "fixed": FixedPaces,
    "own": OwnPaces,
    "gradient": GradientPaces,
    "probing": ProbingPaces,
    "undivided": UndividedPaces,
    "shared": pace.TargetPaces,
}


@contextlib.contextmanager
def use_ramp(name: str) -> Iterator[None]:
    """Has instances that are made meanwhile limit targets in one way."""
    with mock.patch("peridotbend.edge.parts.TargetPaces", RAMPS[name]):
        yield
