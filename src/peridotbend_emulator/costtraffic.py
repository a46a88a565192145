"""Measures calls, relayed events and the memory kept for requests."""

import json
import time
from collections.abc import Callable

from peridotbend_emulator.costrun import (
    ZONE,
    CostFleet,
    Measurements,
    find_percentile,
    make_body,
    run_callers,
    start_callers,
    start_fleet,
    summarize_samples,
)

STREAM_COUNT = 100
EVENTS_PER_STREAM = 400
EVENT_GAP_MS = 25
SHORT_CALLER_COUNT = 16
SHORT_CALLS_PER_CALLER = 250
# 200 is the share of one of 38 models in 7,600 runners.
TARGET_COUNTS = (1, 10, 200)
LATENCY_CALL_COUNT = 400
RESERVATION_COUNT = 20_000
ANSWER_COUNT = 8_000
WAITING_COUNT = 2_000
# Time until all calls of a run are queued; also the sample of idle CPU time.
SETTLE_S = 5.0


def measure_latency(repeats: int) -> Measurements:
    """Measures the latency that an entry instance adds to direct calls."""
    samples: dict[str, list[float]] = {}
    short = make_body()
    stream = make_body(stream=True, max_tokens=2, gap_ms=1)
    with start_fleet(1, 1) as fleet:
        for _ in range(repeats):
            for name, body, field in (
                ("short call", short, "latencies_ms"),
                ("first event", stream, "first_event_ms"),
            ):
                direct = run_callers(
                    fleet.target_address, body, count=LATENCY_CALL_COUNT
                )
                entry = run_callers(
                    fleet.entry_address, body, count=LATENCY_CALL_COUNT
                )
                for percent in (50, 99):
                    added = find_percentile(
                        entry[field], percent
                    ) - find_percentile(direct[field], percent)
                    key = f"added latency, {name}, p{percent} (ms)"
                    samples.setdefault(key, []).append(added)
    return {key: summarize_samples(values) for key, values in samples.items()}


def _measure_cpu_s(fleet: CostFleet, operation: Callable[[], object]) -> float:
    cpu_s_before = fleet.read_samples()[0].cpu_s
    operation()
    return fleet.read_samples()[0].cpu_s - cpu_s_before


def measure_short(repeats: int) -> Measurements:
    """Measures the CPU time of a short JSON call, by number of targets."""
    count = SHORT_CALLER_COUNT * SHORT_CALLS_PER_CALLER
    measurements = {}
    for targets in TARGET_COUNTS:
        with start_fleet(1, targets) as fleet:
            samples = [
                _measure_short_cpu_s(fleet) / count * 1e6
                for _ in range(repeats)
            ]
        key = f"processor time per short call, {targets} targets (us)"
        measurements[key] = summarize_samples(samples)
    return measurements


def _measure_short_cpu_s(fleet: CostFleet) -> float:
    return _measure_cpu_s(
        fleet,
        lambda: run_callers(
            fleet.entry_address,
            make_body(),
            callers=SHORT_CALLER_COUNT,
            count=SHORT_CALLS_PER_CALLER,
        ),
    )


def measure_relay(repeats: int) -> Measurements:
    """Measures the CPU time of a relayed event.

    Streams start evenly spread or all at once ("in step"). The idle part is
    control work, which the instance also does without streams.
    """
    body = make_body(
        stream=True, max_tokens=EVENTS_PER_STREAM, gap_ms=EVENT_GAP_MS
    )
    count = STREAM_COUNT * EVENTS_PER_STREAM
    samples: dict[str, list[float]] = {}
    with start_fleet(1, 10) as fleet:
        run_s = EVENTS_PER_STREAM * EVENT_GAP_MS / 1_000
        for _ in range(repeats):
            idle_s = _measure_cpu_s(fleet, lambda: time.sleep(SETTLE_S))
            idle_us = idle_s * run_s / SETTLE_S / count * 1e6
            for name, spread_ms in (("", EVENT_GAP_MS), (", in step", 0)):
                event_us = (
                    _measure_relay_cpu_s(fleet, body, spread_ms) / count * 1e6
                )
                for key, value in (
                    (f"processor time per relayed event{name} (us)", event_us),
                    (f"events a second per core{name} (1/s)", 1e6 / event_us),
                ):
                    samples.setdefault(key, []).append(value)
            key = "idle part of the processor time per relayed event (us)"
            samples.setdefault(key, []).append(idle_us)
    return {key: summarize_samples(values) for key, values in samples.items()}


def _measure_relay_cpu_s(fleet: CostFleet, body: str, spread_ms: int) -> float:
    return _measure_cpu_s(
        fleet,
        lambda: run_callers(
            fleet.entry_address, body, callers=STREAM_COUNT, spread_ms=spread_ms
        ),
    )


def measure_memory(repeats: int) -> Measurements:
    """Measures the memory of records, kept answers and waiting requests."""
    samples: dict[str, list[float]] = {}
    reservation = json.dumps({"service": "cost", "kind": "chat"})
    for _ in range(repeats):
        with start_fleet(1, 1) as fleet:
            address = fleet.entry_address
            # Fills caches and free lists, which grow only once.
            run_callers(address, make_body(), callers=16, count=50)
            start_bytes = _read_resident_bytes(fleet)
            run_callers(
                address,
                reservation,
                "/v1/reservations",
                callers=4,
                count=RESERVATION_COUNT // 4,
            )
            reserved_bytes = _read_resident_bytes(fleet)
            body = make_body(answer_bytes=1_024)
            run_callers(address, body, callers=4, count=ANSWER_COUNT // 4)
            answered_bytes = _read_resident_bytes(fleet)
        for key, value in (
            (
                "memory per record (bytes)",
                (reserved_bytes - start_bytes) / RESERVATION_COUNT,
            ),
            (
                "memory per kept answer of 1 KiB (bytes)",
                (answered_bytes - reserved_bytes) / ANSWER_COUNT,
            ),
            (
                "memory per waiting request, with its connection (bytes)",
                _measure_waiting_bytes(),
            ),
        ):
            samples.setdefault(key, []).append(value)
    return {key: summarize_samples(values) for key, values in samples.items()}


def _read_resident_bytes(fleet: CostFleet) -> int:
    return fleet.read_samples()[0].resident_bytes


def _measure_waiting_bytes() -> float:
    """Returns the bytes per request queued for a target with a window of 1."""
    with start_fleet(1, 1) as fleet:
        run_callers(fleet.entry_address, make_body(), callers=16, count=50)
        fleet.publish_and_wait({"initial": 1, "min": 1, "max": 1})
        name = f"{ZONE}-entry-1"
        bytes_before = _read_resident_bytes(fleet)
        records = int(fleet.fleet.read_status(name)["records"])
        callers = start_callers(
            fleet.entry_address,
            make_body(hold_ms=60_000),
            callers=WAITING_COUNT,
        )
        try:
            time.sleep(SETTLE_S)
            status = fleet.fleet.read_status(name)
            waiting = int(status["records"]) - records
            if waiting < WAITING_COUNT:
                raise RuntimeError(f"only {waiting} requests are queued")
            return (_read_resident_bytes(fleet) - bytes_before) / waiting
        finally:
            callers.kill()
            callers.wait()
