"""Proxies between the zones of a fleet, to simulate network partitions."""

import asyncio
import itertools
import json
import pathlib
import threading
from collections.abc import Coroutine, Sequence
from typing import Any

from peridotbend_emulator.dropproxy import DropProxy

# Pseudo-zone of the platform, so that every zone can be cut from it.
PLATFORM_ZONE = "platform"
CONTROL_TIMEOUT_S = 10.0


class ZoneLinks:
    """Proxies from each zone to every listener outside that zone.

    The processes of a zone look up the proxies in a file that maps ports (see
    `redirect`). The proxies run on an event loop in a separate thread.
    """

    def __init__(self, folder: pathlib.Path, zones: Sequence[str]):
        self._folder = folder
        self._zones = list(zones)
        self._port_maps: dict[str, dict[str, int]] = {z: {} for z in zones}
        self._proxies: dict[tuple[str, str], list[DropProxy]] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()
        for zone in zones:
            self._write_port_map(zone)

    def find_port_map(self, zone: str) -> pathlib.Path:
        """Returns the path of the file that maps ports for a zone."""
        return self._folder / f"links-{zone}.json"

    def add_listener(self, zone: str, port: int) -> None:
        """Adds a proxy to a listener for each zone other than its own."""
        for other in self._zones:
            if other == zone:
                continue
            proxy = DropProxy(port)
            self._run_on_loop(proxy.__aenter__())
            self._proxies.setdefault((other, zone), []).append(proxy)
            self._port_maps[other][str(port)] = proxy.port
            self._write_port_map(other)

    def cut(self, *zones: str) -> None:
        """Partitions the zones from each other, in both directions."""
        for proxy in self._find_proxies(zones):
            self._run_on_loop(proxy.cut())

    def heal(self, *zones: str) -> None:
        """Restores the connections between the zones."""
        for proxy in self._find_proxies(zones):
            self._run_on_loop(proxy.heal())

    def close(self) -> None:
        """Stops all proxies and the thread."""
        for proxies in self._proxies.values():
            for proxy in proxies:
                self._run_on_loop(proxy.__aexit__())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _find_proxies(self, zones: Sequence[str]) -> list[DropProxy]:
        pairs = itertools.permutations(zones, 2)
        return [p for pair in pairs for p in self._proxies.get(pair, ())]

    def _write_port_map(self, zone: str) -> None:
        path = self.find_port_map(zone)
        # Replaced atomically, so that no reader sees a partial file.
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(self._port_maps[zone]), encoding="utf-8")
        new_path.replace(path)

    def _run_on_loop(self, operation: Coroutine[Any, Any, Any]) -> None:
        future = asyncio.run_coroutine_threadsafe(operation, self._loop)
        future.result(CONTROL_TIMEOUT_S)
