"""Fleet, callers and sample statistics for the cost measurements."""

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
from peridotbend_emulator.procstat import ProcessSample, read_process_sample

ZONE = "cost-1"
CHAT_PATH = "/v1/chat/completions"
CALLER_TIMEOUT_S = 150
ENTRY_SETTINGS = {
    "max_records": 200_000,
    "max_answers": "1GiB",
    "max_waiting": 16_000,
}
# Never filled by a run; runs that need a full window publish a small one.
LARGE_WINDOW = {"initial": 1_000_000, "min": 1_000_000, "max": 1_000_000}


@dataclasses.dataclass(frozen=True, slots=True)
class SampleSummary:
    """Median and range of repeated measurements."""

    median: float
    low: float
    high: float
    repeats: int


Measurements = dict[str, SampleSummary]


def summarize_samples(samples: Sequence[float]) -> SampleSummary:
    """Returns the median and the range of repeated measurements."""
    return SampleSummary(
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


def make_text_document(
    version: int, targets: dict[str, list[dict[str, str]]], window: Any
) -> dict[str, Any]:
    """Returns a configuration text with one model service and one kind."""
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
    """Returns the body of a short chat request with additional fields."""
    messages = [{"role": "user", "content": "Which mat is 12 mm thick?"}]
    return json.dumps({"messages": messages, "max_tokens": 16, **fields})


class CostFleet:
    """Entry instances of one zone and a process that serves all targets."""

    def __init__(self, fleet: Fleet, addresses: Sequence[str]):
        self.fleet = fleet
        self._addresses = addresses
        self.pids = [child.pid for child in fleet.entries.values()]

    def publish_and_wait(self, window: Any = None) -> None:
        """Publishes the next text and waits until all instances have it."""
        self.publish_text(window)
        self.fleet.wait_until_joined()

    def publish_text(self, window: Any = None) -> None:
        """Publishes the next text without waiting."""
        targets = [
            {"name": f"target-{number}", "address": address}
            for number, address in enumerate(self._addresses)
        ]
        self.publish_document(
            make_text_document(0, {ZONE: targets}, window or LARGE_WINDOW)
        )

    def publish_document(self, document: dict[str, Any]) -> None:
        """Publishes the given text as the next version."""
        self.fleet.text_version += 1
        document["version"] = self.fleet.text_version
        source = yaml.safe_dump(document, sort_keys=False).encode()
        self.fleet.control("PUT", "/control/text", source)

    @property
    def entry_address(self) -> str:
        """The address at which the first entry instance serves callers."""
        return self.fleet.caller_address(f"{ZONE}-entry-1")

    @property
    def target_address(self) -> str:
        """The address of the first target."""
        return self._addresses[0]

    def read_samples(self) -> list[ProcessSample]:
        """Returns the current sample of each entry instance."""
        return [read_process_sample(pid) for pid in self.pids]


@contextlib.contextmanager
def start_fleet(
    entries: int, targets: int, profile_path: str = ""
) -> Iterator[CostFleet]:
    """Starts a platform, lightweight targets and entry instances.

    With `profile_path`, the entry instance writes a profile there on exit.
    """
    module = f"{__package__}.costprofile"
    entry_command = (
        (module, profile_path) if profile_path else ("peridotbend.daemon",)
    )
    with Launcher() as launcher:
        child = launcher.start(
            f"{__package__}.costtarget", "--count", str(targets)
        )
        with Fleet(
            make_text_document(1, {}, LARGE_WINDOW)["services"],
            (),
            (ZONE,),
            entries,
            ENTRY_SETTINGS,
            entry_command=entry_command,
        ) as fleet:
            cost_fleet = CostFleet(fleet, child.ready_info["addresses"])
            cost_fleet.publish_and_wait()
            yield cost_fleet


def run_callers(
    address: str, body: str, path: str = CHAT_PATH, **options: float
) -> Any:
    """Runs callers in a separate process and returns what they measured.

    Raises:
        RuntimeError: a call failed, so the results are invalid.
    """
    result = wait_for_callers(start_callers(address, body, path, **options))
    if result["failures"]:
        raise RuntimeError(f"{result['failures']} calls to {address} failed")
    return result


def start_callers(
    address: str, body: str, path: str = CHAT_PATH, **options: float
) -> "subprocess.Popen[str]":
    """Starts callers in a separate process without waiting for them."""
    module = f"{__package__}.costcaller"
    command = [sys.executable, "-m", module, address, path, body]
    for name, value in options.items():
        command += [f"--{name.replace('_', '-')}", str(value)]
    source = str(pathlib.Path(__file__).resolve().parent.parent)
    environ = {**os.environ, "PYTHONPATH": source}
    return subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, env=environ
    )


def wait_for_callers(process: "subprocess.Popen[str]") -> Any:
    """Waits until the callers end and returns what they measured."""
    output, _ = process.communicate(timeout=CALLER_TIMEOUT_S)
    if process.returncode:
        raise RuntimeError(f"the callers exited with code {process.returncode}")
    return json.loads(output)
