"""Runs a module as `python -m` does and ends it when its parent is gone.

`python -m peridotbend_emulator.runchild PARENT_PID MODULE [ARGUMENT...]`
"""

import os
import runpy
import signal
import sys
import threading
import time

POLL_S = 0.5


def main() -> None:
    """Replaces this module by the one that the command line names."""
    parent, module = int(sys.argv[1]), sys.argv[2]
    watch = threading.Thread(target=_kill_orphan, args=(parent,), daemon=True)
    watch.start()
    sys.argv = sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


def _kill_orphan(parent: int) -> None:
    """Kills this process once its parent has ended.

    A launcher that is killed cannot end its children itself. The kernel's
    parent-death signal is no substitute: it follows the thread that started
    the child, and launchers start children from worker threads.
    """
    while os.getppid() == parent:
        time.sleep(POLL_S)
    os.kill(os.getpid(), signal.SIGKILL)


if __name__ == "__main__":
    main()
