"""One entry instance between a light target and callers, for cost runs."""

import contextlib
import dataclasses
import json
import math
import os
import pathlib
import statistics
import subprocess
import sys
from collections.abc import Iterator, Sequence
from typing import Any

import yaml

from peridotbend_emulator.fleet import Fleet
from peridotbend_emulator.launch import Launcher
from peridotbend_emulator.procstat import ProcessSample, read_process

ZONE = "cost-1"
CHAT_PATH = "/v1/chat/completions"
CALLER_TIMEOUT_S = 150
ENTRY_SETTINGS = {
    "max_records": 200_000,
    "max_answers": "1GiB",
    "max_waiting": 16_000,
}
# A window that no run fills, unless it asks for a small one.
WIDE_WINDOW = {"initial": 1_000_000, "min": 1_000_000, "max": 1_000_000}


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """The repeats of one measurement."""

    median: float
    low: float
    high: float
    repeats: int


Slopes = dict[str, Spread]


def find_spread(samples: Sequence[float]) -> Spread:
    """Returns the median and the range of repeated measurements."""
    return Spread(
        float(f"{statistics.median(samples):.4g}"),
        float(f"{min(samples):.4g}"),
        float(f"{max(samples):.4g}"),
        len(samples),
    )


def find_percentile(samples: Sequence[float], percent: float) -> float:
    """Returns the nearest-rank percentile."""
    ordered = sorted(samples)
    rank = math.ceil(percent / 100 * len(ordered))
    return ordered[max(rank, 1) - 1]


def make_document(
    version: int, targets: dict[str, list[dict[str, str]]], window: Any
) -> dict[str, Any]:
    """Returns a text with one model service and one kind of request."""
    kind = {
        "tier": "high",
        "idempotent": True,
        "deadline": "60s",
        "keep_answer": "10min",
        "route": {"method": "POST", "path": CHAT_PATH},
        "max_answer": "128KiB",
    }
    service = {
        "engine": "model",
        "window": window,
        "max_queue": 16_000,
        "kinds": {"chat": kind},
        "targets": targets,
    }
    return {
        "version": version,
        "tiers": ["high", "middle", "low"],
        "services": {"cost": service},
    }


def make_body(**fields: object) -> str:
    """Returns the body of a short chat call with further fields."""
    messages = [{"role": "user", "content": "Which mat is 12 mm thick?"}]
    return json.dumps({"messages": messages, "max_tokens": 16, **fields})


class CostFleet:
    """Entry instances of one zone and one process of light targets."""

    def __init__(self, fleet: Fleet, addresses: Sequence[str]):
        self.fleet = fleet
        self._addresses = addresses
        self.pids = [child.pid for child in fleet.entries.values()]

    def publish(self, window: Any = None) -> None:
        """Publishes the next text and waits until it is in force."""
        self.publish_only(window)
        self.fleet.wait_until_joined()

    def publish_only(self, window: Any = None) -> None:
        """Publishes the next text."""
        targets = [
            {"name": f"target-{number}", "address": address}
            for number, address in enumerate(self._addresses)
        ]
        self.publish_document(
            make_document(0, {ZONE: targets}, window or WIDE_WINDOW)
        )

    def publish_document(self, document: dict[str, Any]) -> None:
        """Publishes a text of one's own as the next version."""
        self.fleet.version += 1
        document["version"] = self.fleet.version
        source = yaml.safe_dump(document, sort_keys=False).encode()
        self.fleet.control("PUT", "/control/text", source)

    @property
    def entry_address(self) -> str:
        """Where the first entry instance serves callers."""
        return self.fleet.caller_address(f"{ZONE}-entry-1")

    @property
    def target_address(self) -> str:
        """Where the first target listens."""
        return self._addresses[0]

    def read(self) -> list[ProcessSample]:
        """Reads the totals of all entry instances."""
        return [read_process(pid) for pid in self.pids]


@contextlib.contextmanager
def start_fleet(
    entries: int, targets: int, profile: str = ""
) -> Iterator[CostFleet]:
    """Starts a platform, light targets and entry instances.

    With `profile`, the entry instance writes its profile there when it ends.
    """
    module = f"{__package__}.costprofile"
    command = (module, profile) if profile else ("peridotbend.daemon",)
    with Launcher() as launcher:
        child = launcher.start(
            f"{__package__}.costtarget", "--count", str(targets)
        )
        with Fleet(
            make_document(1, {}, WIDE_WINDOW)["services"],
            (),
            (ZONE,),
            entries,
            ENTRY_SETTINGS,
            entry_command=command,
        ) as fleet:
            cost_fleet = CostFleet(fleet, child.ready_info["addresses"])
            cost_fleet.publish()
            yield cost_fleet


def call(
    address: str, body: str, path: str = CHAT_PATH, **options: float
) -> Any:
    """Runs the callers in a process of their own.

    Raises:
        RuntimeError: a call failed, so that the run measured nothing.
    """
    result = wait_callers(start_callers(address, body, path, **options))
    if result["failures"]:
        raise RuntimeError(f"{result['failures']} calls to {address} failed")
    return result


def start_callers(
    address: str, body: str, path: str = CHAT_PATH, **options: float
) -> "subprocess.Popen[str]":
    """Starts the callers without waiting for them."""
    module = f"{__package__}.costcaller"
    command = [sys.executable, "-m", module, address, path, body]
    for name, value in options.items():
        command += [f"--{name.replace('_', '-')}", str(value)]
    source = str(pathlib.Path(__file__).resolve().parent.parent)
    environ = {**os.environ, "PYTHONPATH": source}
    return subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, env=environ
    )


def wait_callers(process: "subprocess.Popen[str]") -> Any:
    """Returns what the callers saw."""
    output, _ = process.communicate(timeout=CALLER_TIMEOUT_S)
    if process.returncode:
        raise RuntimeError(f"the callers ended with {process.returncode}")
    return json.loads(output)
