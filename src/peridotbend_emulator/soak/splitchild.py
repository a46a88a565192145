"""Runs a module that some hosts can be cut off from.

`python -m peridotbend_emulator.soak.splitchild FILE MODULE [ARGUMENT...]`; the
file lists the hosts, and may change at any time. Datagrams to these hosts are
lost, connections to them are reset, and new ones are never established.
"""

import asyncio
import contextlib
import pathlib
import runpy
import sys
from typing import Any

import uvloop

from peridotbend.adapters.eventloop import BACKEND_OPTIONS

POLL_INTERVAL_S = 0.02
BASE: Any = asyncio.SelectorEventLoop
if BACKEND_OPTIONS["use_uvloop"]:
    BASE = uvloop.Loop


class SplitLoop(BASE):  # type: ignore[misc]
    """The event loop of the daemons, in which hosts can be cut off."""

    path = pathlib.Path()

    def __init__(self) -> None:
        super().__init__()
        self.hosts: frozenset[str] = frozenset()
        self._connections: list[tuple[str, Any]] = []
        self.call_soon(self._read_hosts)

    async def create_connection(
        self, factory: Any, host: Any = None, *given: Any, **named: Any
    ) -> Any:
        """Connects to a host once it is not cut off."""
        while host in self.hosts:
            await asyncio.sleep(POLL_INTERVAL_S)
        pair = await super().create_connection(factory, host, *given, **named)
        kept = [one for one in self._connections if not one[1].is_closing()]
        self._connections = [*kept, (host, pair[0])]
        return pair

    async def create_datagram_endpoint(self, *given: Any, **named: Any) -> Any:
        """Opens an endpoint whose datagrams to hosts cut off are lost."""
        pair = await super().create_datagram_endpoint(*given, **named)
        return CutSender(pair[0], self), pair[1]

    def _read_hosts(self) -> None:
        with contextlib.suppress(FileNotFoundError):
            self.hosts = frozenset(self.path.read_text("utf-8").split())
        for host, transport in self._connections:
            if host in self.hosts:
                transport.abort()
        self.call_later(POLL_INTERVAL_S, self._read_hosts)


class CutSender:
    """A transport of datagrams that loses those to hosts cut off."""

    def __init__(self, transport: Any, loop: SplitLoop):
        self._transport = transport
        self._loop = loop

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def sendto(self, data: bytes, address: Any = None) -> None:
        """Sends a datagram, or loses it."""
        if address is None or address[0] not in self._loop.hosts:
            self._transport.sendto(data, address)


def main() -> None:
    """Runs the module in the event loop that can be cut."""
    SplitLoop.path = pathlib.Path(sys.argv[1])
    uvloop.new_event_loop = asyncio.new_event_loop = SplitLoop
    module, sys.argv = sys.argv[2], sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
