"""The edge daemons of a soak as processes, started and stopped by signals."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Iterable

import yaml

from peridotbend.platform import wire
from peridotbend_emulator.soak.channels import ask_status
from peridotbend_emulator.soak.messages import make_head
from peridotbend_emulator.soak.platform.documents import (
    ZONE,
    InstancePorts,
    make_settings,
)

MODULE = "peridotbend.edgedaemon"
WRAPPER = "peridotbend_emulator.runchild"
SPLIT_WRAPPER = "peridotbend_emulator.soak.splitchild"
CLOCK_WRAPPER = "peridotbend_emulator.soak.clockchild"
READY_TIMEOUT_S = 40.0
READY_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 1.0
EXIT_INTERVAL_S = 0.05


class NotReadyError(Exception):
    """An instance did not become ready."""


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """What distinguishes an instance."""

    index: int
    host: str
    ports: InstancePorts
    seed_hosts: tuple[str, ...]
    store_address: str
    folder: pathlib.Path
    # Folder of the packages of another build.
    source: pathlib.Path | None = None
    # Of a proxy between the callers and the instance.
    callers_address: tuple[str, int] | None = None
    zone: str = ZONE
    # Whether hosts can be cut off from it.
    may_be_split: bool = False


class Instance:
    """An entry instance with its process."""

    def __init__(self, settings: InstanceSettings):
        self.index = settings.index
        self.host = settings.host
        self.zone = settings.zone
        own_address = settings.host, settings.ports.callers
        self.address = settings.callers_address or own_address
        # Added to the time of day of the next process.
        self.clock_offset_ms = 0
        # How often it was killed, which cuts its answers unannounced.
        self.kills = 0
        self._settings = settings
        self._process: subprocess.Popen[bytes] | None = None
        self._log_path = settings.folder / f"instance-{settings.index}.log"
        self._cut_path = settings.folder / f"cut-{settings.index}.txt"

    def cut_off(self, hosts: Iterable[str]) -> None:
        """Cuts other instances off; without any, ends all cuts."""
        _replace(self._cut_path, " ".join(hosts))

    def write_settings(self, **changes: object) -> pathlib.Path:
        """Writes the settings file, with changes, in one step."""
        own = self._settings
        document = make_settings(
            f"edge-{own.index}",
            own.host,
            own.ports,
            own.seed_hosts,
            own.store_address,
            own.zone,
        )
        path = own.folder / f"settings-{own.index}.yaml"
        _replace(path, yaml.safe_dump({**document, **changes}))
        return path

    def spawn(self) -> None:
        """Starts the process; its output is appended to its log."""
        path = self.write_settings()
        command = [
            sys.executable,
            "-m",
            WRAPPER,
            str(os.getpid()),
            *self._list_wrapper_words(),
            MODULE,
            "--settings",
            str(path),
            "--metrics-port",
            "0",
        ]
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self._make_environ(),
            )

    async def wait_ready(self) -> None:
        """Waits until the instance says that it is ready.

        Raises:
            NotReadyError: it does not; the error names its log.
        """
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self._is_ready():
                    if not self.is_running:
                        break
                    await asyncio.sleep(READY_INTERVAL_S)
                else:
                    return
        except TimeoutError:
            pass
        raise NotReadyError(
            f"instance {self.index} did not become ready in"
            f" {READY_TIMEOUT_S:.0f} s; see {self._log_path}"
        )

    @property
    def pid(self) -> int:
        """The ID of the process; 0 if none was started."""
        return self._process.pid if self._process is not None else 0

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process is gone."""
        if self._process is not None:
            self._process.send_signal(number)

    async def wait_exit(self, timeout_s: float) -> bool:
        """Waits for the end of the process; tells whether it came in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.is_running:
                    await asyncio.sleep(EXIT_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    def kill(self) -> None:
        """Ends the process at once, also if it is paused."""
        if self._process is not None and self.is_running:
            self.kills += 1
            self._process.kill()
            self._process.wait()

    def _list_wrapper_words(self) -> list[str]:
        words = []
        if self.clock_offset_ms:
            words += [CLOCK_WRAPPER, str(self.clock_offset_ms)]
        if self._settings.may_be_split:
            words += [SPLIT_WRAPPER, str(self._cut_path)]
        return words

    def _make_environ(self) -> dict[str, str]:
        source = self._settings.source
        if source is None:
            source = pathlib.Path(__file__).resolve().parents[2]
        paths = [str(source)]
        if own := os.environ.get("PYTHONPATH"):
            paths.append(own)
        return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}

    async def _is_ready(self) -> bool:
        address = self._settings.host, self._settings.ports.health
        head = make_head(f"GET {wire.READY_PATH} HTTP/1.1", [("Host", "x")])
        return await ask_status(address, head, CALL_TIMEOUT_S) == 200


def _replace(path: pathlib.Path, text: str) -> None:
    part = path.with_suffix(".part")
    part.write_text(text, encoding="utf-8")
    part.replace(path)
