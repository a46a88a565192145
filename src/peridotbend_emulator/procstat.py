"""Reads the CPU time, memory and written bytes of a process from /proc."""

import dataclasses
import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSample:
    """Totals of a process since its start, and its current memory."""

    cpu_s: float
    resident_bytes: int
    # Bytes of all write calls; in an entry instance nearly all go to sockets.
    written_bytes: int


def parse_cpu_s(text: str, ticks_per_s: int = TICKS_PER_S) -> float:
    """Returns the user and system time from /proc/PID/stat in seconds."""
    # The command name in parentheses may contain spaces and parentheses.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / ticks_per_s


def parse_resident_bytes(text: str) -> int:
    """Returns the resident memory from /proc/PID/status in bytes."""
    return _parse_field(text, "VmRSS") * 1024


def parse_written_bytes(text: str) -> int:
    """Returns the bytes of all write calls from /proc/PID/io."""
    return _parse_field(text, "wchar")


def _parse_field(text: str, key: str) -> int:
    for line in text.splitlines():
        name, _, value = line.partition(":")
        if name == key:
            return int(value.split()[0])
    raise ValueError(f"no field {key} in {text[:60]!r}")


def read_process_sample(pid: int) -> ProcessSample:
    """Reads the current sample of a child process."""
    folder = pathlib.Path("/proc") / str(pid)
    return ProcessSample(
        parse_cpu_s((folder / "stat").read_text()),
        parse_resident_bytes((folder / "status").read_text()),
        parse_written_bytes((folder / "io").read_text()),
    )
