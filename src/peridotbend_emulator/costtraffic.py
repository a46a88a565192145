"""Costs of calls, of relayed events and of what is kept for them."""

import json
import time
from collections.abc import Callable

from peridotbend_emulator.costrun import (
    ZONE,
    CostFleet,
    Slopes,
    call,
    find_percentile,
    find_spread,
    make_body,
    start_callers,
    start_fleet,
)

STREAMS = 100
EVENTS = 400
GAP_MS = 25
SHORT_CALLERS = 16
SHORT_CALLS = 250
# 200 is what one of 38 models has of 7,600 runners.
SERVICE_TARGETS = (1, 10, 200)
LATENCY_CALLS = 400
RESERVATIONS = 20_000
ANSWERS = 8_000
WAITING = 2_000
# Until all calls of a run wait, and to see the idle processor time.
SETTLE_S = 5.0


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
    """Returns the processor time of a short JSON call, by targets."""
    count = SHORT_CALLERS * SHORT_CALLS
    slopes = {}
    for targets in SERVICE_TARGETS:
        with start_fleet(1, targets) as fleet:
            samples = [_time_short(fleet) / count * 1e6 for _ in range(repeats)]
        key = f"processor time per short call, {targets} targets (us)"
        slopes[key] = find_spread(samples)
    return slopes


def _time_short(fleet: CostFleet) -> float:
    return _measure_cpu(
        fleet,
        lambda: call(
            fleet.entry_address,
            make_body(),
            callers=SHORT_CALLERS,
            count=SHORT_CALLS,
        ),
    )


def measure_relay(repeats: int) -> Slopes:
    """Returns the processor time of a relayed event, spread and in step.

    The idle part of the same time is control that runs without streams too.
    """
    body = make_body(stream=True, max_tokens=EVENTS, gap_ms=GAP_MS)
    count = STREAMS * EVENTS
    samples: dict[str, list[float]] = {}
    with start_fleet(1, 10) as fleet:
        run_s = EVENTS * GAP_MS / 1_000
        for _ in range(repeats):
            idle_s = _measure_cpu(fleet, lambda: time.sleep(SETTLE_S))
            idle_us = idle_s * run_s / SETTLE_S / count * 1e6
            for name, spread_ms in (("", GAP_MS), (", in step", 0)):
                event_us = _time_relay(fleet, body, spread_ms) / count * 1e6
                for key, value in (
                    (f"processor time per relayed event{name} (us)", event_us),
                    (f"events a second per core{name} (1/s)", 1e6 / event_us),
                ):
                    samples.setdefault(key, []).append(value)
            key = "idle part of the processor time per relayed event (us)"
            samples.setdefault(key, []).append(idle_us)
    return {key: find_spread(values) for key, values in samples.items()}


def _time_relay(fleet: CostFleet, body: str, spread_ms: int) -> float:
    return _measure_cpu(
        fleet,
        lambda: call(
            fleet.entry_address, body, callers=STREAMS, spread_ms=spread_ms
        ),
    )


def measure_memory(repeats: int) -> Slopes:
    """Returns the memory of records, kept answers and waiting requests."""
    samples: dict[str, list[float]] = {}
    reserve = json.dumps({"service": "cost", "kind": "chat"})
    for _ in range(repeats):
        with start_fleet(1, 1) as fleet:
            address = fleet.entry_address
            # Warms up what grows once, such as caches and free lists.
            call(address, make_body(), callers=16, count=50)
            start = _read_memory(fleet)
            call(
                address,
                reserve,
                "/v1/reservations",
                callers=4,
                count=RESERVATIONS // 4,
            )
            reserved = _read_memory(fleet)
            body = make_body(answer_bytes=1_024)
            call(address, body, callers=4, count=ANSWERS // 4)
            answered = _read_memory(fleet)
        for key, value in (
            ("memory per record (bytes)", (reserved - start) / RESERVATIONS),
            (
                "memory per kept answer of 1 KiB (bytes)",
                (answered - reserved) / ANSWERS,
            ),
            (
                "memory per waiting request, with its connection (bytes)",
                _measure_waiting(),
            ),
        ):
            samples.setdefault(key, []).append(value)
    return {key: find_spread(values) for key, values in samples.items()}


def _read_memory(fleet: CostFleet) -> int:
    return fleet.read()[0].resident_bytes


def _measure_waiting() -> float:
    """Fills the queue of a target whose only place is taken."""
    with start_fleet(1, 1) as fleet:
        call(fleet.entry_address, make_body(), callers=16, count=50)
        fleet.publish({"initial": 1, "min": 1, "max": 1})
        name = f"{ZONE}-entry-1"
        before = _read_memory(fleet)
        records = int(fleet.fleet.read_status(name)["records"])
        callers = start_callers(
            fleet.entry_address, make_body(hold_ms=60_000), callers=WAITING
        )
        try:
            time.sleep(SETTLE_S)
            status = fleet.fleet.read_status(name)
            waiting = int(status["records"]) - records
            if waiting < WAITING:
                raise RuntimeError(f"only {waiting} requests wait")
            return (_read_memory(fleet) - before) / waiting
        finally:
            callers.kill()
            callers.wait()
