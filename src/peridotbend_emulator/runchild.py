"""Runs a module as `python -m` does and kills it when its parent ends.

`python -m peridotbend_emulator.runchild PARENT_PID MODULE [ARGUMENT...]`
"""

import os
import runpy
import signal
import sys
import threading
import time

PARENT_POLL_INTERVAL_S = 0.5


def main() -> None:
    """Runs the given module as `__main__`, with a watcher of the parent."""
    parent_pid, module = int(sys.argv[1]), sys.argv[2]
    watcher = threading.Thread(
        target=_kill_when_orphaned, args=(parent_pid,), daemon=True
    )
    watcher.start()
    sys.argv = sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


def _kill_when_orphaned(parent_pid: int) -> None:
    """Kills this process once its parent has ended.

    A launcher that is killed cannot stop its children itself. The kernel's
    parent-death signal does not help: it fires when the thread that started
    the child ends, and launchers start children from worker threads.
    """
    while os.getppid() == parent_pid:
        time.sleep(PARENT_POLL_INTERVAL_S)
    os.kill(os.getpid(), signal.SIGKILL)


if __name__ == "__main__":
    main()
