"""Runs a module whose connections go to other ports, for cuts between zones.

`python -m peridotbend_emulator.redirect LINKS MODULE [ARGUMENT...]`, where
LINKS is a JSON file that maps ports on loopback to the ports of proxies.
"""

import json
import pathlib
import runpy
import sys
from typing import Any

import uvloop


class RedirectingLoop(uvloop.Loop):
    """Event loop that looks up the port of each new connection."""

    links: pathlib.Path

    async def create_connection(
        self,
        protocol_factory: Any,
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> Any:
        """Connects to the proxy of the port, if it has one."""
        # The file changes whenever a process of the fleet is added.
        ports = json.loads(self.links.read_text(encoding="utf-8"))
        target = ports.get(str(port), port)
        return await super().create_connection(
            protocol_factory, host, target, **options
        )


def main() -> None:
    """Replaces this module by the one that the command line names."""
    RedirectingLoop.links = pathlib.Path(sys.argv[1])
    uvloop.new_event_loop = RedirectingLoop
    sys.argv = sys.argv[2:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
