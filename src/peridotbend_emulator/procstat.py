"""Processor time, memory and written bytes of a process, from /proc."""

import dataclasses
import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSample:
    """Totals of one process since it started, and its memory now."""

    cpu_s: float
    resident_bytes: int
    # All write calls; sockets are nearly all of it in an entry instance.
    written_bytes: int


def parse_stat(text: str, ticks_per_s: int = TICKS_PER_S) -> float:
    """Returns the user and system time of a /proc/PID/stat, in seconds."""
    # The command name in parentheses may hold spaces and parentheses.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / ticks_per_s


def parse_status(text: str) -> int:
    """Returns the resident memory of a /proc/PID/status, in bytes."""
    return _find_number(text, "VmRSS") * 1024


def parse_io(text: str) -> int:
    """Returns the bytes of all write calls of a /proc/PID/io."""
    return _find_number(text, "wchar")


def _find_number(text: str, key: str) -> int:
    for line in text.splitlines():
        name, _, value = line.partition(":")
        if name == key:
            return int(value.split()[0])
    raise ValueError(f"no line {key}: in {text[:60]!r}")


def read_process(pid: int) -> ProcessSample:
    """Reads a process that this program started."""
    folder = pathlib.Path("/proc") / str(pid)
    return ProcessSample(
        parse_stat((folder / "stat").read_text()),
        parse_status((folder / "status").read_text()),
        parse_io((folder / "io").read_text()),
    )
