"""Starts an entry instance; uses the source tree, not an installed package.

Run with `python3 -S`, so that only the pinned dependencies are found: httpcore
would import trio if the machine happens to have it.
"""

import gc
import sys

# Collections during the start scan modules that stay loaded; they would take a
# tenth of its processor time.
gc.disable()
# Without pathlib, as its import would delay taking the signals.
sys.path.insert(0, __file__.rsplit("/", 2)[0] + "/src")

from peridotbend.adapters import signals  # noqa: E402

# The imports below take most of the start.
signals.take()

from peridotbend.edgedaemon import main  # noqa: E402

gc.freeze()
gc.enable()
main()
