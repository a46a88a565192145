"""Measures costs of an entry instance: `python -m peridotbend_emulator.cost`.

Prints a line for each measurement and writes all of them as JSON. CPU time is
preferred to elapsed time, because other work may run on the machine.
"""

import dataclasses
import datetime
import json
import os
import pathlib
import platform
import pstats
import subprocess
from collections.abc import Callable

import click

from peridotbend_emulator.costcontrol import (
    measure_control,
    measure_roles,
    measure_tables,
    measure_text,
)
from peridotbend_emulator.costrun import (
    Measurements,
    make_body,
    run_callers,
    start_fleet,
)
from peridotbend_emulator.costselection import measure_selection
from peridotbend_emulator.costtraffic import (
    EVENT_GAP_MS,
    EVENTS_PER_STREAM,
    SHORT_CALLER_COUNT,
    SHORT_CALLS_PER_CALLER,
    STREAM_COUNT,
    measure_latency,
    measure_memory,
    measure_relay,
    measure_short,
)

PROFILE_ENTRY_COUNT = 40
PARTS: dict[str, Callable[[int], Measurements]] = {
    "latency": measure_latency,
    "short": measure_short,
    "relay": measure_relay,
    "memory": measure_memory,
    "control": measure_control,
    "tables": measure_tables,
    "text": measure_text,
    "roles": measure_roles,
    "selection": measure_selection,
}


def write_profiles(path: str) -> None:
    """Writes PATH.short and PATH.relay and prints the slowest functions."""
    stream = make_body(
        stream=True, max_tokens=EVENTS_PER_STREAM, gap_ms=EVENT_GAP_MS
    )
    for name, body, callers, count, spread_ms in (
        ("short", make_body(), SHORT_CALLER_COUNT, SHORT_CALLS_PER_CALLER, 0),
        ("relay", stream, STREAM_COUNT, 1, EVENT_GAP_MS),
    ):
        profile_path = f"{path}.{name}"
        with start_fleet(1, 10, profile_path) as fleet:
            run_callers(
                fleet.entry_address,
                body,
                callers=callers,
                count=count,
                spread_ms=spread_ms,
            )
        stats = pstats.Stats(profile_path)
        stats.sort_stats(pstats.SortKey.TIME).print_stats(PROFILE_ENTRY_COUNT)


def describe_machine() -> dict[str, object]:
    """Returns the machine and software properties that affect the results."""
    model = ""
    for line in pathlib.Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    revision = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    )
    return {
        "processor": model,
        "cores": os.cpu_count(),
        "load_average_1_min": os.getloadavg()[0],
        "python": platform.python_version(),
        "at": datetime.datetime.now(datetime.UTC).isoformat("T", "minutes"),
        "revision": revision.stdout.strip(),
    }


def update_file(
    path: pathlib.Path, part: str, measurements: Measurements
) -> None:
    """Replaces the results of one part in the file."""
    document = json.loads(path.read_text()) if path.exists() else {}
    document[part] = {
        "machine": describe_machine(),
        "slopes": {k: dataclasses.asdict(v) for k, v in measurements.items()},
    }
    path.write_text(json.dumps(document, indent=1, sort_keys=True) + "\n")


@click.command()
@click.argument("parts", nargs=-1, type=click.Choice(list(PARTS)))
@click.option("--repeats", default=3, type=click.IntRange(1, 20))
@click.option("--profile", default="", help="Path prefix of profiles to write.")
@click.option("--output", type=click.Path(path_type=pathlib.Path))
def main(
    parts: tuple[str, ...],
    repeats: int,
    profile: str,
    output: pathlib.Path | None,
) -> None:
    """Measures the given PARTS, or all of them if none is given.

    With --profile, profiles a run of short calls and a run of relayed streams
    instead; profiling makes the times longer.
    """
    if profile:
        write_profiles(profile)
        return
    print(json.dumps(describe_machine()))
    for part in parts or tuple(PARTS):
        measurements = PARTS[part](repeats)
        for key, summary in measurements.items():
            print(
                f"{key}: {summary.median} ({summary.low} to {summary.high},"
                f" {summary.repeats} samples)",
                flush=True,
            )
        if output:
            update_file(output, part, measurements)


if __name__ == "__main__":
    main()
