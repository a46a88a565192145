"""Costs of control: idle instances, texts, tables and single roles."""

import time
from typing import Any

import yaml

from peridotbend_emulator.costroles import (
    DIVIDED_TARGETS,
    ZONE_PEERS,
    measure_demand_bytes,
    measure_fingerprint_bytes,
    measure_text_cost,
    time_check,
    time_division,
)
from peridotbend_emulator.costrun import (
    CostFleet,
    Slopes,
    find_spread,
    make_document,
    start_fleet,
)

IDLE_S = 8.0
SETTLE_S = 2.0
FLEET_SIZES = (2, 4, 8, 16, 32)
TARGET_COUNTS = (10, 200)
TEXT_SIZES = (8, 32)
TEXT_POLL_S = 0.01
# Of the size to design for (docs/design.md, "Users and sizes").
RUNNERS = 7_600
MODELS = 38
ZONES = 9


def measure_control(repeats: int) -> Slopes:
    """Returns what idle instances spend on control."""
    slopes: Slopes = {}
    for size in FLEET_SIZES:
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


def measure_tables(repeats: int) -> Slopes:
    """Returns what the tables of all targets cost one idle instance.

    Applications are not polled, so that this shows the tables alone.
    """
    document = make_document(2, _list_runners("127.{}.{}.{}:9"), {})
    document["services"]["cost"]["engine"] = "application"
    with start_fleet(1, 1) as fleet:
        time.sleep(SETTLE_S)
        before = fleet.read()[0].resident_bytes
        fleet.publish_document(document)
        fleet.fleet.wait_until_joined()
        time.sleep(SETTLE_S)
        slopes = _measure_idle(fleet, f"{RUNNERS} applications", repeats)
        grown = fleet.read()[0].resident_bytes - before
    key = f"memory of the tables of {RUNNERS} targets (MiB)"
    return {**slopes, key: find_spread([grown / 2**20])}


def measure_roles(repeats: int) -> Slopes:
    """Returns the costs of the divider and of owners of fingerprints."""
    division = [time_division() for _ in range(repeats)]
    check = [time_check() for _ in range(repeats)]
    memory = [measure_fingerprint_bytes() for _ in range(repeats)]
    where = f"{DIVIDED_TARGETS} targets, {ZONE_PEERS} peers"
    return {
        f"processor time of a division, {where} (us)": find_spread(division),
        "processor time to check a fingerprint (us)": find_spread(check),
        "memory per fingerprint (bytes)": find_spread(memory),
        "size of a demand of nothing (bytes)": find_spread(
            [measure_demand_bytes()]
        ),
    }


def measure_text(repeats: int) -> Slopes:
    """Returns how long a text takes, and to parse one of full size."""
    slopes: Slopes = {}
    for size in TEXT_SIZES:
        with start_fleet(size, 10) as fleet:
            elapsed_s = [_time_text(fleet) for _ in range(repeats)]
        key = f"text in force on {size} instances (s)"
        slopes[key] = find_spread(elapsed_s)
    source = make_full_text()
    costs = [
        measure_text_cost(source, make_full_text(2)) for _ in range(repeats)
    ]
    where = f"a text of {RUNNERS} targets"
    return {
        **slopes,
        f"processor time to parse {where} (s)": find_spread(
            [cost.parse_s for cost in costs]
        ),
        f"processor time to parse a change of {where} (s)": find_spread(
            [cost.change_s for cost in costs]
        ),
        f"memory of {where} (MiB)": find_spread(
            [cost.parsed_bytes / 2**20 for cost in costs]
        ),
        f"size of {where} (bytes)": find_spread([len(source)]),
    }


def _time_text(fleet: CostFleet) -> float:
    """Returns the time from the publication until all have the text."""
    start_s = time.monotonic()
    fleet.publish_only()
    wanted = fleet.fleet.version
    for name in fleet.fleet.entries:
        while fleet.fleet.read_status(name)["text_version"] < wanted:
            time.sleep(TEXT_POLL_S)
    return time.monotonic() - start_s


def make_full_text(version: int = 1) -> str:
    """Returns a text with the runners of the size to design for.

    Each model is a service; the last one changes with the version.
    """
    zones = _list_runners("10.{}.{}.{}:8000")
    document = make_document(version, {}, {})
    service = document["services"].pop("cost")
    for model in range(MODELS):
        targets = {zone: part[model::MODELS] for zone, part in zones.items()}
        chat = {**service["kinds"]["chat"]}
        chat["route"] = {**chat["route"], "model": f"model-{model}"}
        document["services"][f"model-{model}"] = {
            **service,
            "kinds": {"chat": chat},
            "targets": targets,
            "max_queue": 1_000 + version * (model == MODELS - 1),
        }
    return _Dumper.dump_text(document)


class _Dumper(yaml.SafeDumper):
    """Writes no anchors, as a text written by hand has none."""

    def ignore_aliases(self, data: Any) -> bool:
        """Tells that repeated values are written again."""
        return True

    @classmethod
    def dump_text(cls, document: dict[str, Any]) -> str:
        """Returns the document as YAML."""
        return str(yaml.dump(document, Dumper=cls, sort_keys=False))


def _list_runners(form: str) -> dict[str, list[dict[str, str]]]:
    targets: dict[str, list[dict[str, str]]] = {}
    for index in range(RUNNERS):
        address = form.format(
            100 + (index >> 16), index >> 8 & 255, index & 255
        )
        targets.setdefault(f"zone-{index % ZONES}", []).append(
            {"name": f"runner-{index}", "address": address}
        )
    return targets
