"""Starts an entry instance; uses the source tree, not an installed package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from peridotbend.edgedaemon import main

main()
