"""Starts an entry instance from the repository's sources."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from peridotbend.edgedaemon import main

main()
