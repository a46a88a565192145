"""Starts an entry instance; uses the source tree, not an installed package.

Run with `python3 -S`, so that only the pinned dependencies are found: httpcore
would import trio if the machine happens to have it.
"""

import gc
import pathlib
import sys

# Collections during the start scan modules that stay loaded; they would take a
# tenth of its processor time.
gc.disable()
sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from peridotbend.edgedaemon import main  # noqa: E402

gc.freeze()
gc.enable()
main()
