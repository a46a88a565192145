"""Selects the event loop of the daemons."""

import importlib.metadata
import os

# Keeps libuv from using io_uring; it reads the variable when the first loop
# starts.
os.environ["UV_USE_IO_URING"] = "0"

# From version 0.23 on, uvloop opens an io_uring regardless of the variable, so
# asyncio's own loop is used there.
BACKEND_OPTIONS = {
    "use_uvloop": importlib.metadata.version("uvloop").split(".")[:2]
    <= ["0", "22"]
}
