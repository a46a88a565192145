"""Proxies between the zones of a fleet, which can be cut and healed."""

import asyncio
import itertools
import json
import pathlib
import threading
from collections.abc import Coroutine, Sequence
from typing import Any

from peridotbend_emulator.dropproxy import DropProxy

# The zone of the platform, which any other zone can be cut from.
PLATFORM_ZONE = "platform"
CONTROL_TIMEOUT_S = 10.0


class ZoneLinks:
    """A proxy for each pair of a zone and a listener outside of it.

    Processes of a zone find the proxies through a file of port numbers (see
    `redirect`). The proxies run in a thread with an event loop of its own.
    """

    def __init__(self, folder: pathlib.Path, zones: Sequence[str]):
        self._folder = folder
        self._zones = list(zones)
        self._ports: dict[str, dict[str, int]] = {z: {} for z in zones}
        self._proxies: dict[tuple[str, str], list[DropProxy]] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()
        for zone in zones:
            self._write(zone)

    def find_file(self, zone: str) -> pathlib.Path:
        """Returns the file of port numbers of a zone."""
        return self._folder / f"links-{zone}.json"

    def add_listener(self, zone: str, port: int) -> None:
        """Puts proxies between a listener and all other zones."""
        for other in self._zones:
            if other == zone:
                continue
            proxy = DropProxy(port)
            self._call(proxy.__aenter__())
            self._proxies.setdefault((other, zone), []).append(proxy)
            self._ports[other][str(port)] = proxy.port
            self._write(other)

    def cut(self, *zones: str) -> None:
        """Cuts the zones from each other, in both directions."""
        for proxy in self._find(zones):
            self._call(proxy.cut())

    def heal(self, *zones: str) -> None:
        """Lets the zones reach each other again."""
        for proxy in self._find(zones):
            self._call(proxy.heal())

    def close(self) -> None:
        """Ends all proxies and the thread."""
        for proxies in self._proxies.values():
            for proxy in proxies:
                self._call(proxy.__aexit__())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _find(self, zones: Sequence[str]) -> list[DropProxy]:
        pairs = itertools.permutations(zones, 2)
        return [p for pair in pairs for p in self._proxies.get(pair, ())]

    def _write(self, zone: str) -> None:
        path = self.find_file(zone)
        # Readers must never see half a file.
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(self._ports[zone]), encoding="utf-8")
        fresh.replace(path)

    def _call(self, action: Coroutine[Any, Any, Any]) -> None:
        future = asyncio.run_coroutine_threadsafe(action, self._loop)
        future.result(CONTROL_TIMEOUT_S)
