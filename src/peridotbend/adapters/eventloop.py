"""Chooses the event loop of the daemons."""

import importlib.metadata
import os

# libuv can use io_uring; it reads this before the first loop starts.
os.environ["UV_USE_IO_URING"] = "0"

# From 0.23 on, uvloop opens an io_uring whatever the variable says; the
# loop of asyncio takes its place there.
BACKEND_OPTIONS = {
    "use_uvloop": importlib.metadata.version("uvloop").split(".")[:2]
    <= ["0", "22"]
}
