"""Runs a module and redirects its connections to the proxies between zones.

`python -m peridotbend_emulator.redirect PORT_MAP MODULE [ARGUMENT...]`, where
PORT_MAP is a JSON file that maps ports on loopback to the ports of proxies.
"""

import json
import pathlib
import runpy
import sys
from typing import Any

import uvloop


class RedirectingLoop(uvloop.Loop):
    """Event loop that maps the port of each outgoing connection."""

    port_map_path: pathlib.Path

    async def create_connection(
        self,
        protocol_factory: Any,
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> Any:
        """Connects to the proxy for the port if there is one."""
        # Read each time, since the file changes when a process joins the fleet.
        port_map = json.loads(self.port_map_path.read_text(encoding="utf-8"))
        redirected_port = port_map.get(str(port), port)
        return await super().create_connection(
            protocol_factory, host, redirected_port, **options
        )


def main() -> None:
    """Runs the given module as `__main__` on a redirecting event loop."""
    RedirectingLoop.port_map_path = pathlib.Path(sys.argv[1])
    uvloop.new_event_loop = RedirectingLoop
    sys.argv = sys.argv[2:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
