"""Runs an entry instance under cProfile and writes the profile on exit.

`python -m peridotbend_emulator.costprofile FILE [OPTION OF THE DAEMON...]`
"""

import cProfile
import sys

from peridotbend import daemon


def main() -> None:
    """Runs the daemon; the profile is written when SIGTERM has drained it."""
    path = sys.argv.pop(1)
    profile = cProfile.Profile()
    try:
        profile.runcall(daemon.main)
    finally:
        profile.dump_stats(path)


if __name__ == "__main__":
    main()
