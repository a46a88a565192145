"""Measures single components in this process, without a network."""

import dataclasses
import gc
import time
import tracemalloc
from collections.abc import Callable

from peridotbend.adapters.textcache import TextParser
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.quarantine import SuspectTable
from peridotbend.domain.windows import WindowDivider
from peridotbend.wire import peer_pb2 as pb

# The share of one of 720 nodes in 9 zones with 7,600 runners.
DIVIDED_TARGETS = 11
ZONE_PEERS = 80
WINDOW_SIZE = 65_536.0
FINGERPRINT_COUNT = 4_096
ITERATIONS = 200


def _time_us(operation: Callable[[], object], iterations: int) -> float:
    start_s = time.process_time()
    for _ in range(iterations):
        operation()
    return (time.process_time() - start_s) / iterations * 1e6


def time_window_division_us() -> float:
    """Returns the microseconds to record all demands and divide the windows."""
    divider = WindowDivider(ManualClock())
    names = [f"runner-{number}" for number in range(DIVIDED_TARGETS)]
    window_sizes = dict.fromkeys(names, WINDOW_SIZE)

    def operation() -> None:
        for peer in range(ZONE_PEERS):
            for name in names:
                divider.record_demand(f"node-{peer}", name, (500.0, 300.0, 9.0))
        divider.divide(window_sizes)

    return _time_us(operation, ITERATIONS)


def time_fingerprint_check_us() -> float:
    """Returns the microseconds to look up an unknown fingerprint."""
    table = _make_suspect_table()
    return _time_us(lambda: table.check(b"unknown-fingerpr"), 100 * ITERATIONS)


def measure_fingerprint_bytes() -> float:
    """Returns the memory of one fingerprint in the suspect table."""
    gc.collect()
    tracemalloc.start()
    table = _make_suspect_table()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert table is not None
    return used_bytes / FINGERPRINT_COUNT


def measure_empty_demand_bytes() -> float:
    """Returns the bytes in a digest for a target without demand."""
    demands = [
        pb.Demand(target=f"runner-{number}")
        for number in range(1_000, 1_000 + ITERATIONS)
    ]
    return pb.Digest(demands=demands).ByteSize() / ITERATIONS


def _make_suspect_table() -> SuspectTable:
    table = SuspectTable(ManualClock())
    for number in range(FINGERPRINT_COUNT):
        table.record_crash([number.to_bytes(16, "big")], None)
    return table


@dataclasses.dataclass(frozen=True, slots=True)
class TextCost:
    """CPU time and memory to parse configuration texts."""

    # For the first text, and for a second one that differs in one service.
    parse_s: float
    change_s: float
    parsed_bytes: int


def measure_text_cost(source: str, changed: str) -> TextCost:
    """Measures CPU time and memory of parsing a text and a changed one."""
    parser = TextParser()
    start_s = time.process_time()
    parser.parse(source).unwrap()
    parsed_s = time.process_time()
    parser.parse(changed).unwrap()
    changed_s = time.process_time()
    gc.collect()
    tracemalloc.start()
    text = TextParser().parse(source).unwrap()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert text.version > 0
    return TextCost(parsed_s - start_s, changed_s - parsed_s, used_bytes)
