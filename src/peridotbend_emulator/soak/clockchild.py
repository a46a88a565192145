"""Runs a module with another time of day.

`python -m peridotbend_emulator.soak.clockchild OFFSET_MS MODULE [ARGUMENT...]`
"""

import runpy
import sys
import time

NS_PER_MS = 1_000_000


def main() -> None:
    """Shifts the time of day of this process, and runs the module."""
    offset_ms, module = int(sys.argv[1]), sys.argv[2]
    read_ns = time.time_ns
    shift_ns = offset_ms * NS_PER_MS
    time.time_ns = lambda: read_ns() + shift_ns
    time.time = lambda: (read_ns() + shift_ns) / 1e9
    sys.argv = sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
