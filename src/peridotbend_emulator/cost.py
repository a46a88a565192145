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
import time
from collections.abc import Callable, Sequence

import click
import yaml

from peridotbend.adapters.yamltext import parse_text
from peridotbend_emulator.costrun import (
    ZONE,
    CostFleet,
    Spread,
    call,
    find_percentile,
    find_spread,
    make_body,
    make_document,
    start_callers,
    start_fleet,
)

STREAMS = 100
EVENTS = 400
GAP_MS = 25
SHORT_CALLERS = 16
SHORT_CALLS = 250
LATENCY_CALLS = 400
IDLE_S = 8.0
SETTLE_S = 2.0
FLEET_SIZES = (2, 4, 8, 16, 32)
TARGET_COUNTS = (10, 200)
# Of the size to design for (docs/design.md, "Users and sizes").
RUNNERS = 7_600
ZONES = 9
TEXT_POLL_S = 0.01
PROFILE_LINES = 40

Slopes = dict[str, Spread]


def measure_latency(repeats: int) -> Slopes:
    """Compares calls through an entry instance with direct calls."""
    samples: dict[str, list[float]] = {}
    short = make_body()
    stream = make_body(stream=True, max_tokens=2, gap_ms=1)
    with start_fleet(1, 1) as fleet:
        for _ in range(repeats):
            for name, body, field in (
                ("short call", short, "latencies_ms"),
                ("first event", stream, "first_event_ms"),
            ):
                direct = call(fleet.target_address, body, count=LATENCY_CALLS)
                entry = call(fleet.entry_address, body, count=LATENCY_CALLS)
                for percent in (50, 99):
                    added = find_percentile(
                        entry[field], percent
                    ) - find_percentile(direct[field], percent)
                    key = f"added latency, {name}, p{percent} (ms)"
                    samples.setdefault(key, []).append(added)
    return {key: find_spread(values) for key, values in samples.items()}


def _measure_cpu(fleet: CostFleet, run: Callable[[], object]) -> float:
    before = fleet.read()[0].cpu_s
    run()
    return fleet.read()[0].cpu_s - before


def measure_short(repeats: int) -> Slopes:
    """Returns the processor time of a short JSON call."""
    count = SHORT_CALLERS * SHORT_CALLS
    samples = []
    with start_fleet(1, 1) as fleet:
        for _ in range(repeats):
            cpu_s = _measure_cpu(
                fleet,
                lambda: call(
                    fleet.entry_address,
                    make_body(),
                    callers=SHORT_CALLERS,
                    count=SHORT_CALLS,
                ),
            )
            samples.append(cpu_s / count * 1e6)
    return {"processor time per short call (us)": find_spread(samples)}


def measure_relay(repeats: int) -> Slopes:
    """Returns the processor time of a relayed event, spread and in step."""
    body = make_body(stream=True, max_tokens=EVENTS, gap_ms=GAP_MS)
    slopes = {}
    with start_fleet(1, 10) as fleet:
        for name, spread_ms in (("", GAP_MS), (", in step", 0)):
            samples = []
            for _ in range(repeats):
                cpu_s = _measure_cpu(
                    fleet,
                    lambda: call(
                        fleet.entry_address,
                        body,
                        callers=STREAMS,
                        spread_ms=spread_ms,  # noqa: B023
                    ),
                )
                samples.append(cpu_s / (STREAMS * EVENTS) * 1e6)
            key = f"processor time per relayed event{name} (us)"
            slopes[key] = find_spread(samples)
            key = f"events a second per core{name} (1/s)"
            slopes[key] = find_spread([1e6 / s for s in samples])
    return slopes


def measure_memory(repeats: int) -> Slopes:
    """Returns the memory of records, kept answers and waiting requests."""
    samples: dict[str, list[float]] = {}

    def add(
        key: str, fleet: CostFleet, count: int, run: Callable[[], object]
    ) -> None:
        before = fleet.read()[0].resident_bytes
        run()
        grown = fleet.read()[0].resident_bytes - before
        samples.setdefault(key, []).append(grown / count)

    reserve = json.dumps({"service": "cost", "kind": "chat"})
    for _ in range(repeats):
        with start_fleet(1, 1) as fleet:
            address = fleet.entry_address
            # Warms up what grows once, such as caches and free lists.
            call(address, make_body(), callers=16, count=50)
            add(
                "memory per record (bytes)",
                fleet,
                20_000,
                lambda: call(
                    address,  # noqa: B023
                    reserve,
                    "/v1/reservations",
                    callers=4,
                    count=5_000,
                ),
            )
            add(
                "memory per kept answer of 1 KiB (bytes)",
                fleet,
                8_000,
                lambda: call(
                    address,  # noqa: B023
                    make_body(answer_bytes=1_024),
                    callers=4,
                    count=2_000,
                ),
            )
        _add_waiting(samples)
    return {key: find_spread(values) for key, values in samples.items()}


def _add_waiting(samples: dict[str, list[float]]) -> None:
    """Fills the queue of one target that holds its only request."""
    count = 2_000
    with start_fleet(1, 1) as fleet:
        call(fleet.entry_address, make_body(), callers=16, count=50)
        fleet.publish({"initial": 1, "min": 1, "max": 1})
        before = fleet.read()[0].resident_bytes
        callers = start_callers(
            fleet.entry_address, make_body(hold_ms=60_000), callers=count
        )
        try:
            time.sleep(SETTLE_S + 3)
            waiting = fleet.fleet.read_status(f"{ZONE}-entry-1")["records"]
            grown = fleet.read()[0].resident_bytes - before
        finally:
            callers.kill()
            callers.wait()
        key = "memory per waiting request with its connection (bytes)"
        samples.setdefault(key, []).append(grown / (waiting - 800))


def measure_control(sizes: Sequence[int], repeats: int) -> Slopes:
    """Returns what idle instances spend on control."""
    slopes: Slopes = {}
    for size in sizes:
        for targets in TARGET_COUNTS:
            with start_fleet(size, targets) as fleet:
                time.sleep(SETTLE_S)
                where = f"{size} instances, {targets} targets"
                slopes |= _measure_idle(fleet, where, repeats)
    return slopes


def _measure_idle(fleet: CostFleet, where: str, repeats: int) -> Slopes:
    cpu, sent, memory = [], [], []
    for _ in range(repeats):
        start_s, before = time.monotonic(), fleet.read()
        time.sleep(IDLE_S)
        elapsed_s, after = time.monotonic() - start_s, fleet.read()
        count = len(after) * elapsed_s
        pairs = list(zip(before, after, strict=True))
        cpu.append(sum(b.cpu_s - a.cpu_s for a, b in pairs) / count * 100)
        sent.append(
            sum(b.written_bytes - a.written_bytes for a, b in pairs) / count
        )
        memory += [sample.resident_bytes / 2**20 for sample in after]
    return {
        f"idle, {where}: processor (% of a core)": find_spread(cpu),
        f"idle, {where}: sent (bytes/s)": find_spread(sent),
        f"idle, {where}: memory (MiB)": find_spread(memory),
    }


def measure_text(sizes: Sequence[int], repeats: int) -> Slopes:
    """Returns how long a text takes, and to parse one of full size."""
    slopes: Slopes = {}
    for size in sizes:
        with start_fleet(size, 10) as fleet:
            elapsed_s = [_time_text(fleet) for _ in range(repeats)]
        key = f"text in force on {size} instances (s)"
        slopes[key] = find_spread(elapsed_s)
    source = make_full_text()
    samples = []
    for _ in range(repeats):
        start_s = time.process_time()
        assert parse_text(source).is_ok()
        samples.append(time.process_time() - start_s)
    key = f"processor time to parse a text of {RUNNERS} targets (s)"
    slopes[key] = find_spread(samples)
    key = f"size of a text of {RUNNERS} targets (bytes)"
    slopes[key] = find_spread([len(source)])
    return slopes


def _time_text(fleet: CostFleet) -> float:
    """Returns the time from the publication until all have the text."""
    start_s = time.monotonic()
    fleet.publish_only()
    wanted = fleet.fleet.version
    for name in fleet.fleet.entries:
        while fleet.fleet.read_status(name)["text_version"] < wanted:
            time.sleep(TEXT_POLL_S)
    return time.monotonic() - start_s


def make_full_text() -> str:
    """Returns a text with the runners of the size to design for."""
    targets: dict[str, list[dict[str, str]]] = {}
    for index in range(RUNNERS):
        address = f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:8000"
        targets.setdefault(f"zone-{index % ZONES}", []).append(
            {"name": f"runner-{index}", "address": address}
        )
    document = make_document(1, targets, {})
    return yaml.safe_dump(document, sort_keys=False)


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


PARTS: dict[str, Callable[[int], Slopes]] = {
    "latency": measure_latency,
    "short": measure_short,
    "relay": measure_relay,
    "memory": measure_memory,
    "control": lambda repeats: measure_control(FLEET_SIZES, repeats),
    "text": lambda repeats: measure_text((8, 32), repeats),
}


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
