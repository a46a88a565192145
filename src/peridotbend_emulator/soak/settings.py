"""Settings of a soak."""

import dataclasses
import os
import pathlib

from peridotbend_emulator.soak.faults import FaultPlan

# Shared with the tests: the first three numbers of the loopback addresses.
LOOPBACK_NET = os.environ.get("LOOPBACK_TEST_NET", "127.0.0")
DEFAULT_INSTANCES = 3
MANY_INSTANCES = 8
# Beyond 17, instances form groups, whose relays sum what their members say.
GROUPED_INSTANCES = 63


@dataclasses.dataclass(frozen=True, slots=True)
class SoakSettings:
    """What a run plays, and where it writes."""

    seed: int
    duration_s: float
    faults: FaultPlan
    # Folder of the run; `soak-SEED` is created in it.
    output: pathlib.Path
    # Folder of the packages of another build.
    other_build: pathlib.Path | None = None
    # New streams and calls a second.
    calls_per_s: float = 24.0
    net: str = LOOPBACK_NET

    @property
    def instance_count(self) -> int:
        """The number of entry instances."""
        if self.faults.has("groups"):
            return GROUPED_INSTANCES
        has_many = self.faults.has("eight")
        return MANY_INSTANCES if has_many else DEFAULT_INSTANCES

    @property
    def folder(self) -> pathlib.Path:
        """The folder with the record and the logs of the run."""
        return self.output / f"soak-{self.seed}"
