"""Runs a module that some hosts can be cut off from.

`python -m peridotbend_emulator.soak.splitchild FILE MODULE [ARGUMENT...]`; the
file lists the hosts, and may change at any time. Datagrams to these hosts are
lost, connections to them are reset, and new ones are never established.
"""

import asyncio
import contextlib
import functools
import pathlib
import runpy
import sys
import threading
import time
from collections.abc import Awaitable, Callable
from typing import Any

import uvloop

POLL_INTERVAL_S = 0.02

ConnectCall = Callable[..., Awaitable[tuple[Any, Any]]]


class HostCut:
    """The hosts that are cut off, and the connections to all."""

    def __init__(self) -> None:
        self.hosts: frozenset[str] = frozenset()
        # With the event loops that they belong to.
        self._connections: list[tuple[str, Any, Any]] = []

    def apply(self, hosts: frozenset[str]) -> None:
        """Cuts some hosts off; called by a thread beside the event loop."""
        self.hosts = hosts
        for host, loop, transport in tuple(self._connections):
            if host in hosts:
                loop.call_soon_threadsafe(transport.abort)

    async def connect(
        self,
        connect: ConnectCall,
        factory: Any,
        host: Any = None,
        *given: Any,
        **named: Any,
    ) -> tuple[Any, Any]:
        """Connects to a host once it is not cut off."""
        while host in self.hosts:
            await asyncio.sleep(POLL_INTERVAL_S)
        transport, protocol = await connect(factory, host, *given, **named)
        loop = asyncio.get_running_loop()
        kept = [one for one in self._connections if not one[2].is_closing()]
        self._connections = [*kept, (host, loop, transport)]
        return transport, protocol

    async def open_datagrams(
        self, connect: ConnectCall, *given: Any, **named: Any
    ) -> tuple[Any, Any]:
        """Opens an endpoint whose datagrams to hosts cut off are lost."""
        transport, protocol = await connect(*given, **named)
        return CutSender(transport, self), protocol


class CutSender:
    """A transport of datagrams that loses those to hosts cut off."""

    def __init__(self, transport: Any, cut: HostCut):
        self._transport = transport
        self._cut = cut

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def sendto(self, data: bytes, address: Any = None) -> None:
        """Sends a datagram, or loses it."""
        if address is None or address[0] not in self._cut.hosts:
            self._transport.sendto(data, address)


def install(cut: HostCut, loop_class: Any) -> None:
    """Makes the connections of an event loop follow a cut."""
    connect = loop_class.create_connection
    open_datagrams = loop_class.create_datagram_endpoint
    loop_class.create_connection = lambda loop, *given, **named: cut.connect(
        functools.partial(connect, loop), *given, **named
    )
    loop_class.create_datagram_endpoint = (
        lambda loop, *given, **named: cut.open_datagrams(
            functools.partial(open_datagrams, loop), *given, **named
        )
    )


def watch(cut: HostCut, path: pathlib.Path) -> None:
    """Applies what a file says for as long as the process lasts."""
    while True:
        with contextlib.suppress(FileNotFoundError):
            hosts = frozenset(path.read_text(encoding="utf-8").split())
            if hosts != cut.hosts:
                cut.apply(hosts)
        time.sleep(POLL_INTERVAL_S)


def main() -> None:
    """Runs the module with both kinds of event loop that daemons use."""
    path, module = pathlib.Path(sys.argv[1]), sys.argv[2]
    cut = HostCut()
    for loop_class in (uvloop.Loop, asyncio.SelectorEventLoop):
        install(cut, loop_class)
    threading.Thread(target=watch, args=(cut, path), daemon=True).start()
    sys.argv = sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
