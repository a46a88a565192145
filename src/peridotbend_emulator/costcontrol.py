"""Measures control costs: idle instances, texts, tables, single components."""

import time
from typing import Any

import yaml

from peridotbend_emulator.costroles import (
    DIVIDED_TARGETS,
    ZONE_PEERS,
    measure_empty_demand_bytes,
    measure_fingerprint_bytes,
    measure_text_cost,
    time_fingerprint_check_us,
    time_window_division_us,
)
from peridotbend_emulator.costrun import (
    CostFleet,
    Measurements,
    make_text_document,
    start_fleet,
    summarize_samples,
)

IDLE_SAMPLE_S = 8.0
SETTLE_S = 2.0
FLEET_SIZES = (2, 4, 8, 16, 32)
TARGET_COUNTS = (10, 200)
TEXT_FLEET_SIZES = (8, 32)
TEXT_POLL_INTERVAL_S = 0.01
# The design size (docs/design.md, "Users and sizes").
RUNNER_COUNT = 7_600
MODEL_COUNT = 38
ZONE_COUNT = 9


def measure_control(repeats: int) -> Measurements:
    """Measures the resource use of instances without requests."""
    measurements: Measurements = {}
    for size in FLEET_SIZES:
        for targets in TARGET_COUNTS:
            with start_fleet(size, targets) as fleet:
                time.sleep(SETTLE_S)
                label = f"{size} instances, {targets} targets"
                measurements |= _measure_idle(fleet, label, repeats)
    return measurements


def _measure_idle(fleet: CostFleet, label: str, repeats: int) -> Measurements:
    cpu_percent, sent_per_s, memory_mib = [], [], []
    for _ in range(repeats):
        start_s, before = time.monotonic(), fleet.read_samples()
        time.sleep(IDLE_SAMPLE_S)
        elapsed_s, after = time.monotonic() - start_s, fleet.read_samples()
        instance_seconds = len(after) * elapsed_s
        sample_pairs = list(zip(before, after, strict=True))
        cpu_percent.append(
            sum(b.cpu_s - a.cpu_s for a, b in sample_pairs)
            / instance_seconds
            * 100
        )
        sent_per_s.append(
            sum(b.written_bytes - a.written_bytes for a, b in sample_pairs)
            / instance_seconds
        )
        memory_mib += [sample.resident_bytes / 2**20 for sample in after]
    return {
        f"idle, {label}: processor (% of a core)": summarize_samples(
            cpu_percent
        ),
        f"idle, {label}: sent (bytes/s)": summarize_samples(sent_per_s),
        f"idle, {label}: memory (MiB)": summarize_samples(memory_mib),
    }


def measure_tables(repeats: int) -> Measurements:
    """Measures the cost of target tables at the design size in one instance.

    The targets are applications, which are not polled for load, so that the
    result covers only the tables.
    """
    document = make_text_document(2, _list_runners("127.{}.{}.{}:9"), {})
    document["services"]["cost"]["engine"] = "application"
    with start_fleet(1, 1) as fleet:
        time.sleep(SETTLE_S)
        bytes_before = fleet.read_samples()[0].resident_bytes
        fleet.publish_document(document)
        fleet.fleet.wait_until_joined()
        time.sleep(SETTLE_S)
        measurements = _measure_idle(
            fleet, f"{RUNNER_COUNT} applications", repeats
        )
        table_bytes = fleet.read_samples()[0].resident_bytes - bytes_before
    key = f"memory of the tables of {RUNNER_COUNT} targets (MiB)"
    return {**measurements, key: summarize_samples([table_bytes / 2**20])}


def measure_roles(repeats: int) -> Measurements:
    """Measures window division and the table of suspect fingerprints."""
    division_us = [time_window_division_us() for _ in range(repeats)]
    check_us = [time_fingerprint_check_us() for _ in range(repeats)]
    fingerprint_bytes = [measure_fingerprint_bytes() for _ in range(repeats)]
    label = f"{DIVIDED_TARGETS} targets, {ZONE_PEERS} peers"
    return {
        f"processor time of a division, {label} (us)": summarize_samples(
            division_us
        ),
        "processor time to check a fingerprint (us)": summarize_samples(
            check_us
        ),
        "memory per fingerprint (bytes)": summarize_samples(fingerprint_bytes),
        "size of a demand of nothing (bytes)": summarize_samples(
            [measure_empty_demand_bytes()]
        ),
    }


def measure_text(repeats: int) -> Measurements:
    """Measures text propagation and the parsing of a full-size text."""
    measurements: Measurements = {}
    for size in TEXT_FLEET_SIZES:
        with start_fleet(size, 10) as fleet:
            elapsed_s = [_time_text_propagation(fleet) for _ in range(repeats)]
        key = f"text in force on {size} instances (s)"
        measurements[key] = summarize_samples(elapsed_s)
    source = make_full_text()
    costs = [
        measure_text_cost(source, make_full_text(2)) for _ in range(repeats)
    ]
    label = f"a text of {RUNNER_COUNT} targets"
    return {
        **measurements,
        f"processor time to parse {label} (s)": summarize_samples(
            [cost.parse_s for cost in costs]
        ),
        f"processor time to parse a change of {label} (s)": summarize_samples(
            [cost.change_s for cost in costs]
        ),
        f"memory of {label} (MiB)": summarize_samples(
            [cost.parsed_bytes / 2**20 for cost in costs]
        ),
        f"size of {label} (bytes)": summarize_samples([len(source)]),
    }


def _time_text_propagation(fleet: CostFleet) -> float:
    """Returns the time from publication until all instances have the text."""
    start_s = time.monotonic()
    fleet.publish_text()
    version = fleet.fleet.text_version
    for name in fleet.fleet.entries:
        while fleet.fleet.read_status(name)["text_version"] < version:
            time.sleep(TEXT_POLL_INTERVAL_S)
    return time.monotonic() - start_s


def make_full_text(version: int = 1) -> str:
    """Returns a text with the runners of the design size.

    Each model is a service; only the last service differs by version.
    """
    zones = _list_runners("10.{}.{}.{}:8000")
    document = make_text_document(version, {}, {})
    service = document["services"].pop("cost")
    for model in range(MODEL_COUNT):
        targets = {
            zone: runners[model::MODEL_COUNT] for zone, runners in zones.items()
        }
        chat = {**service["kinds"]["chat"]}
        chat["route"] = {**chat["route"], "model": f"model-{model}"}
        document["services"][f"model-{model}"] = {
            **service,
            "kinds": {"chat": chat},
            "targets": targets,
            "max_queue": 1_000 + version * (model == MODEL_COUNT - 1),
        }
    return _NoAliasDumper.dump_text(document)


class _NoAliasDumper(yaml.SafeDumper):
    """Writes no anchors or aliases, like a text written by hand."""

    def ignore_aliases(self, data: Any) -> bool:
        """Makes repeated values be written out in full."""
        return True

    @classmethod
    def dump_text(cls, document: dict[str, Any]) -> str:
        """Returns the document as YAML."""
        return str(yaml.dump(document, Dumper=cls, sort_keys=False))


def _list_runners(address_format: str) -> dict[str, list[dict[str, str]]]:
    targets: dict[str, list[dict[str, str]]] = {}
    for index in range(RUNNER_COUNT):
        address = address_format.format(
            100 + (index >> 16), index >> 8 & 255, index & 255
        )
        targets.setdefault(f"zone-{index % ZONE_COUNT}", []).append(
            {"name": f"runner-{index}", "address": address}
        )
    return targets
