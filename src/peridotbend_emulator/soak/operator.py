"""What an operator does in a soak: write, look which version is in force."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
from collections.abc import Iterator

from peridotbend.domain.clock import Clock
from peridotbend.platform import wire
from peridotbend_emulator.procstat import parse_resident_bytes
from peridotbend_emulator.soak.channels import ask_status
from peridotbend_emulator.soak.fleet import SoakFleet
from peridotbend_emulator.soak.fleetchecks import ConfigCheck, check_resources
from peridotbend_emulator.soak.instances import Instance
from peridotbend_emulator.soak.messages import make_head
from peridotbend_emulator.soak.platform.documents import (
    FIRST_VERSION,
    HOST_NAME,
    make_key,
)
from peridotbend_emulator.soak.record import Finding, Record

LOOK_INTERVAL_S = 0.05
SAMPLE_INTERVAL_S = 0.25
ANSWER_TIMEOUT_S = 2.0
# The newest version and some before it are looked for.
VERSIONS_LOOKED_FOR = 3
PATH = "/i/config/0/0"


@dataclasses.dataclass
class Operator:
    """Watches the configuration in force and the use of resources."""

    fleet: SoakFleet
    record: Record
    clock: Clock
    rng: random.Random

    def __post_init__(self) -> None:
        """Begins without answers."""
        self._check = ConfigCheck()
        self._count = 0
        self.versions_seen: set[int] = set()

    async def watch_config(self) -> None:
        """Looks for versions in force until it is cancelled."""
        while True:
            instance = self.rng.choice(self.fleet.instances)
            newest = self.fleet.config_version
            oldest = max(FIRST_VERSION, newest - VERSIONS_LOOKED_FOR + 1)
            await self._look(instance, self.rng.randint(oldest, newest))
            await asyncio.sleep(LOOK_INTERVAL_S)

    async def watch_resources(self) -> None:
        """Checks memory and descriptors until it is cancelled."""
        while True:
            for instance in self.fleet.instances:
                # A process may end at any moment.
                with contextlib.suppress(OSError, ValueError):
                    self.record.add_findings(check_process(instance))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _look(self, instance: Instance, version: int) -> None:
        """Asks whether the key of a version is in force at an instance."""
        pid, sent_ms = instance.pid, self.clock.now_ms()
        status = await self._call(instance, make_key(version))
        if status == 200 and pid == instance.pid:
            self.versions_seen.add(version)
            now_ms = self.clock.now_ms()
            self.record.add_findings(
                self._check.note(instance.index, pid, version, sent_ms, now_ms)
            )

    async def _call(self, instance: Instance, key: str) -> int:
        self._count += 1
        headers = [
            ("Host", HOST_NAME),
            (wire.ATTEMPT_ID, f"operator-{self._count}"),
            (wire.DEADLINE_MS, "1500"),
            ("Authorization", f"Token {key}"),
            ("Content-Length", "0"),
        ]
        request = make_head(f"POST {PATH} HTTP/1.1", headers)
        return await ask_status(instance.address, request, ANSWER_TIMEOUT_S)


def check_process(instance: Instance) -> Iterator[Finding]:
    """Checks the resources that the process of an instance uses.

    Raises:
        OSError: it has ended.
    """
    folder = pathlib.Path(f"/proc/{instance.pid}")
    status = (folder / "status").read_text(encoding="utf-8")
    files = sum(1 for _ in (folder / "fd").iterdir())
    yield from check_resources(
        instance.index, parse_resident_bytes(status), files
    )
