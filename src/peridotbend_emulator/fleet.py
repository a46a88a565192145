"""A small fleet of real processes: platform, targets and entry instances."""

import dataclasses
import json
import pathlib
import tempfile
import time
from collections.abc import Mapping, Sequence
from typing import Any, Self

import yaml

from peridotbend_emulator.client import HttpReply, call_http
from peridotbend_emulator.launch import HOST, Child, Launcher

READY_TIMEOUT_S = 15.0
POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """A target of the fleet: a program of this package and its options."""

    name: str
    service: str
    zone: str
    program: str
    options: tuple[str, ...] = ()


class Fleet:
    """Starts the processes and knows their addresses."""

    def __init__(
        self,
        services: Mapping[str, Mapping[str, Any]],
        backends: Sequence[Backend],
        zones: Sequence[str],
        entries_per_zone: int,
        entry_settings: Mapping[str, Any] | None = None,
        entry_command: Sequence[str] = ("peridotbend.daemon",),
    ):
        self._services = services
        self._backends = backends
        self._zones = zones
        self._entries_per_zone = entries_per_zone
        self._entry_settings = dict(entry_settings or {})
        # The module to run and the options before those of the daemon.
        self._entry_command = entry_command
        self._launcher = Launcher()
        self._folder = tempfile.TemporaryDirectory(prefix="peridotbend-")
        self.targets: dict[str, Child] = {}
        self.entries: dict[str, Child] = {}
        self.entry_zones: dict[str, str] = {}
        self.version = 0

    def __enter__(self) -> Self:
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._launcher.close()
        self._folder.cleanup()

    def _start(self) -> None:
        self.platform = self._launcher.start_stand_in(
            "platform", "platform", self._zones[0]
        )
        for backend in self._backends:
            self.targets[backend.name] = self._launcher.start_stand_in(
                backend.program, backend.name, backend.zone, *backend.options
            )
        self.publish_text()
        for zone in self._zones:
            for number in range(1, self._entries_per_zone + 1):
                self.spawn_entry(f"{zone}-entry-{number}", zone)
        for child in self.entries.values():
            child.wait_ready()
        self.publish_instances()
        self.wait_until_joined()

    def spawn_entry(self, name: str, zone: str) -> Child:
        """Starts an entry instance without waiting for it."""
        settings = {
            "name": name,
            "zone": zone,
            "platform_url": f"http://{self.platform.address}",
            "caller_port": 0,
            "operator_port": 0,
            "peer_port": 0,
            "log_level": "warning",
            **self._entry_settings,
        }
        path = pathlib.Path(self._folder.name) / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        child = self._launcher.spawn(
            *self._entry_command, "--settings", str(path), name=name
        )
        self.entries[name] = child
        self.entry_zones[name] = zone
        return child

    def publish_text(self, **changes: Mapping[str, Any]) -> int:
        """Publishes the next version of the text and returns its number."""
        self.version += 1
        services = {
            name: {**service, **changes.get(name, {})}
            for name, service in self._services.items()
        }
        for name, service in services.items():
            service["targets"] = self._list_targets(name)
        document = {
            "version": self.version,
            "tiers": ["high", "middle", "low"],
            "services": services,
        }
        source = yaml.safe_dump(document, sort_keys=False).encode()
        self.control("PUT", "/control/text", source)
        return self.version

    def _list_targets(self, service: str) -> dict[str, list[dict[str, str]]]:
        zones: dict[str, list[dict[str, str]]] = {}
        for backend in self._backends:
            if backend.service == service:
                address = self.targets[backend.name].address
                zones.setdefault(backend.zone, []).append(
                    {"name": backend.name, "address": address}
                )
        return zones

    def publish_instances(self, leaving: Sequence[str] = ()) -> None:
        """Publishes the list of the instances that run now."""
        lines = [
            {
                "name": name,
                "role": "entry",
                "zone": self.entry_zones[name],
                "address": f"{HOST}:{child.about['caller']}",
                "peer_address": f"{HOST}:{child.about['peer']}",
                "incarnation": "",
                "state": "live",
            }
            for name, child in self.entries.items()
            if child.exit_code is None
        ]
        lines += [
            {
                "name": backend.name,
                "role": "target",
                "zone": backend.zone,
                "address": self.targets[backend.name].address,
                "peer_address": "",
                "incarnation": str(
                    self.targets[backend.name].about.get("incarnation", "")
                ),
                "state": "leaving" if backend.name in leaving else "live",
            }
            for backend in self._backends
        ]
        body = json.dumps({"instances": lines}).encode()
        self.control("PUT", "/control/instances", body)

    def control(self, method: str, path: str, body: bytes = b"") -> HttpReply:
        """Calls the control API of the platform stand-in."""
        reply = call_http(method, self.platform.address, path, body)
        assert reply.status < 300, f"{method} {path}: {reply}"
        return reply

    def caller_address(self, name: str) -> str:
        """Returns where an entry instance serves callers."""
        return f"{HOST}:{self.entries[name].about['caller']}"

    def read_status(self, name: str) -> dict[str, Any]:
        """Returns what an entry instance tells operators."""
        address = f"{HOST}:{self.entries[name].about['operator']}"
        status: dict[str, Any] = call_http("GET", address, "/v1/status").json()
        return status

    def read_dump(self, name: str) -> dict[str, Any]:
        """Returns the state dump of an entry instance."""
        address = f"{HOST}:{self.entries[name].about['operator']}"
        dump: dict[str, Any] = call_http("GET", address, "/v1/dump").json()
        return dump

    def wait_until_joined(self) -> None:
        """Waits until all running instances see each other and the text."""
        running = [n for n, c in self.entries.items() if c.exit_code is None]
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            statuses = [self.read_status(name) for name in running]
            if all(
                status["text_version"] == self.version
                and len(status["peers"]) >= len(running) - 1
                for status in statuses
            ):
                return
            if time.monotonic() > deadline:
                raise TimeoutError(f"the fleet did not join: {statuses}")
            time.sleep(POLL_S)
