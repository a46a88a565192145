"""Costs of roles that are measured in this process, without a network."""

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

# What falls to one of 720 nodes in 9 zones with 7,600 runners.
DIVIDED_TARGETS = 11
ZONE_PEERS = 80
WINDOW = 65_536.0
FINGERPRINTS = 4_096
LOOPS = 200


def _time_us(run: Callable[[], object], loops: int) -> float:
    start_s = time.process_time()
    for _ in range(loops):
        run()
    return (time.process_time() - start_s) / loops * 1e6


def time_division() -> float:
    """Returns microseconds to take all demands and divide the windows."""
    divider = WindowDivider(ManualClock())
    names = [f"runner-{number}" for number in range(DIVIDED_TARGETS)]
    sizes = dict.fromkeys(names, WINDOW)

    def run() -> None:
        for peer in range(ZONE_PEERS):
            for name in names:
                divider.record_demand(f"node-{peer}", name, (500.0, 300.0, 9.0))
        divider.divide(sizes)

    return _time_us(run, LOOPS)


def time_check() -> float:
    """Returns microseconds to look up a fingerprint."""
    table = _fill_suspects()
    return _time_us(lambda: table.check(b"unknown-fingerpr"), 100 * LOOPS)


def measure_fingerprint_bytes() -> float:
    """Returns the memory of one suspected fingerprint."""
    gc.collect()
    tracemalloc.start()
    table = _fill_suspects()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert table is not None
    return used_bytes / FINGERPRINTS


def measure_demand_bytes() -> float:
    """Returns what a digest carries for a target without demand."""
    demands = [
        pb.Demand(target=f"runner-{number}")
        for number in range(1_000, 1_000 + LOOPS)
    ]
    return pb.Digest(demands=demands).ByteSize() / LOOPS


def _fill_suspects() -> SuspectTable:
    table = SuspectTable(ManualClock())
    for number in range(FINGERPRINTS):
        table.record_crash([number.to_bytes(16, "big")], None)
    return table


@dataclasses.dataclass(frozen=True, slots=True)
class TextCost:
    """What texts cost the process that parses them."""

    # Of the first text, and of a second one that changes one service.
    parse_s: float
    change_s: float
    parsed_bytes: int


def measure_text_cost(source: str, changed: str) -> TextCost:
    """Returns the processor time and the memory of parsed texts."""
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
