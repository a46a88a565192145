"""Tests of the calculations in cost measurements."""

import json
import os
import unittest

from peridotbend.adapters.yamltext import parse_text
from peridotbend_emulator.costcontrol import RUNNER_COUNT, make_full_text
from peridotbend_emulator.costrun import find_percentile, summarize_samples
from peridotbend_emulator.costtarget import EVENT_BYTES, make_event
from peridotbend_emulator.procstat import (
    parse_cpu_s,
    parse_resident_bytes,
    parse_written_bytes,
    read_process_sample,
)


class ProcessSampleTest(unittest.TestCase):
    """Parsing process statistics from /proc."""

    def test_a_name_with_spaces_and_parentheses_shifts_no_field(self) -> None:
        """Guards against reading processor time from a wrong field."""
        fields = " ".join(str(number) for number in range(4, 53))
        stat = f"12 (a) b (c) S {fields}\n"
        assert parse_cpu_s(stat, 100) == (14 + 15) / 100

    def test_memory_is_in_bytes(self) -> None:
        """Guards against kilobytes read as bytes, or peak as current memory."""
        assert parse_resident_bytes("VmHWM:\t9 kB\nVmRSS:\t 7 kB\n") == 7 * 1024

    def test_written_bytes_count_all_write_calls(self) -> None:
        """Guards against counting only disk writes, which omit sockets."""
        assert parse_written_bytes("rchar: 1\nwchar: 2\nwrite_bytes: 3\n") == 2

    def test_own_process_is_readable(self) -> None:
        """Guards against a parser that does not fit the running kernel."""
        assert read_process_sample(os.getpid()).resident_bytes > 1 << 20


class ArithmeticTest(unittest.TestCase):
    """Percentiles, spreads and the generated load."""

    def test_percentile_is_a_sample(self) -> None:
        """Guards against an interpolated p99 that no call had."""
        samples = [float(n) for n in range(100, 0, -1)]
        assert find_percentile(samples, 50) == 50
        assert find_percentile(samples, 99) == 99
        assert find_percentile([3.0], 1) == 3

    def test_spread_holds_the_range(self) -> None:
        """Guards against figures without their range."""
        spread = summarize_samples([3, 1, 2])
        assert (spread.median, spread.low, spread.high) == (2, 1, 3)

    def test_events_have_the_stated_size(self) -> None:
        """Guards against a cost per event measured with another event size."""
        for number in (1, 99, 400):
            event = make_event(number)
            assert len(event) == EVENT_BYTES and event.endswith(b"\n\n")
            json.loads(event.split(b"data: ")[1])

    def test_full_text_is_accepted(self) -> None:
        """Guards against timing a configuration that is refused."""
        text = parse_text(make_full_text()).unwrap()
        assert sum(len(s.targets) for s in text.services) == RUNNER_COUNT
