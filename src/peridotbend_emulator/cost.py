"""Measures what an entry instance costs: `python -m peridotbend_emulator.cost`.

Prints a line for each figure and writes all of them as JSON. Processor time
is preferred over elapsed time, because other work may run on the machine.
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
    Slopes,
    call,
    make_body,
    start_fleet,
)
from peridotbend_emulator.costtraffic import (
    EVENTS,
    GAP_MS,
    SHORT_CALLERS,
    SHORT_CALLS,
    STREAMS,
    measure_latency,
    measure_memory,
    measure_relay,
    measure_short,
)

PROFILE_LINES = 40
PARTS: dict[str, Callable[[int], Slopes]] = {
    "latency": measure_latency,
    "short": measure_short,
    "relay": measure_relay,
    "memory": measure_memory,
    "control": measure_control,
    "tables": measure_tables,
    "text": measure_text,
    "roles": measure_roles,
}


def write_profiles(path: str) -> None:
    """Writes PATH.short and PATH.relay and prints the worst lines."""
    stream = make_body(stream=True, max_tokens=EVENTS, gap_ms=GAP_MS)
    for name, body, callers, count, spread_ms in (
        ("short", make_body(), SHORT_CALLERS, SHORT_CALLS, 0),
        ("relay", stream, STREAMS, 1, GAP_MS),
    ):
        file = f"{path}.{name}"
        with start_fleet(1, 10, file) as fleet:
            call(
                fleet.entry_address,
                body,
                callers=callers,
                count=count,
                spread_ms=spread_ms,
            )
        stats = pstats.Stats(file)
        stats.sort_stats(pstats.SortKey.TIME).print_stats(PROFILE_LINES)


def describe_machine() -> dict[str, object]:
    """Returns what the figures depend on."""
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


def update_file(path: pathlib.Path, part: str, slopes: Slopes) -> None:
    """Replaces the figures of one part."""
    document = json.loads(path.read_text()) if path.exists() else {}
    document[part] = {
        "machine": describe_machine(),
        "slopes": {k: dataclasses.asdict(v) for k, v in slopes.items()},
    }
    path.write_text(json.dumps(document, indent=1, sort_keys=True) + "\n")


@click.command()
@click.argument("parts", nargs=-1, type=click.Choice(list(PARTS)))
@click.option("--repeats", default=3, type=click.IntRange(1, 20))
@click.option("--profile", default="", help="Profile short calls, relay.")
@click.option("--output", type=click.Path(path_type=pathlib.Path))
def main(
    parts: tuple[str, ...],
    repeats: int,
    profile: str,
    output: pathlib.Path | None,
) -> None:
    """Measures the PARTS (all without an argument).

    With --profile, writes the profiles of a run of short calls and of one of
    relayed streams instead; their times are longer than without a profile.
    """
    if profile:
        write_profiles(profile)
        return
    print(json.dumps(describe_machine()))
    for part in parts or tuple(PARTS):
        slopes = PARTS[part](repeats)
        for key, s in slopes.items():
            print(
                f"{key}: {s.median} ({s.low} to {s.high}, {s.repeats} samples)",
                flush=True,
            )
        if output:
            update_file(output, part, slopes)


if __name__ == "__main__":
    main()
