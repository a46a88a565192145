"""Runs an entry instance under cProfile and writes the profile at its end.

`python -m peridotbend_emulator.costprofile FILE [OPTION OF THE DAEMON...]`
"""

import cProfile
import sys

from peridotbend import daemon


def main() -> None:
    """Runs the daemon; SIGTERM drains it, which writes the profile."""
    path = sys.argv.pop(1)
    profile = cProfile.Profile()
    try:
        profile.runcall(daemon.main)
    finally:
        profile.dump_stats(path)


if __name__ == "__main__":
    main()
