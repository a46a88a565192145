"""A small fleet of real processes: platform, targets and entry instances."""

import collections
import dataclasses
import json
import pathlib
import signal
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Self

import yaml

from peridotbend_emulator.client import HttpReply, call_http
from peridotbend_emulator.launch import HOST, Child, Launcher
from peridotbend_emulator.zonelinks import PLATFORM_ZONE, ZoneLinks

READY_TIMEOUT_S = 15.0
EVENT_TIMEOUT_S = 30.0
POLL_S = 0.05


def wait_until(
    condition: Callable[[], bool],
    event: str,
    timeout_s: float = EVENT_TIMEOUT_S,
) -> None:
    """Waits for an event.

    Raises:
        TimeoutError: it did not come about in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not seen in {timeout_s} s: {event}")
        time.sleep(POLL_S)


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
        clients: Mapping[str, Mapping[str, Any]] | None = None,
        cuttable: bool = False,
        entry_command: Sequence[str] = ("peridotbend.daemon",),
    ):
        """Describes a fleet.

        Args:
            services: The services of the text, without targets.
            backends: The targets.
            zones: The availability zones.
            entries_per_zone: Entry instances in each zone.
            entry_settings: Settings of each entry instance.
            clients: The client accounts of the text.
            cuttable: Puts proxies between the zones and the platform.
            entry_command: The module of an entry instance and the options
                before those of the daemon.
        """
        self._services = services
        self._backends = backends
        self._zones = zones
        self._entries_per_zone = entries_per_zone
        self._entry_settings = dict(entry_settings or {})
        self._clients = dict(clients or {})
        # The module to run and the options before those of the daemon.
        self._entry_command = entry_command
        self._launcher = Launcher()
        self._folder = tempfile.TemporaryDirectory(prefix="peridotbend-")
        self._path = pathlib.Path(self._folder.name)
        self.links = ZoneLinks(self._path, zones) if cuttable else None
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
        for child in self.entries.values():
            # Tests send SIGKILL; any other end is a fault.
            if child.exit_code not in (None, 0, -signal.SIGKILL):
                print(f"{child.name} ended: {child.output}")
        self._launcher.close()
        if self.links is not None:
            self.links.close()
        self._folder.cleanup()

    def _start(self) -> None:
        self.platform = self._launcher.start_stand_in(
            "platform", "platform", self._zones[0]
        )
        self._add_listener(PLATFORM_ZONE, self.platform.port)
        for backend in self._backends:
            self._start_target(backend, 0)
            self._add_listener(backend.zone, self.targets[backend.name].port)
        self.publish_text()
        for zone in self._zones:
            for number in range(1, self._entries_per_zone + 1):
                self.spawn_entry(f"{zone}-entry-{number}", zone)
        for name in self.entries:
            self._await_entry(name)
        self.publish_instances()
        self.wait_until_joined()

    def _add_listener(self, zone: str, port: int) -> None:
        if self.links is not None:
            self.links.add_listener(zone, port)

    def _start_target(self, backend: Backend, port: int) -> None:
        # The file outlives a target that is killed.
        ran_file = str(self._find_ran_file(backend.name))
        self.targets[backend.name] = self._launcher.start_stand_in(
            backend.program,
            backend.name,
            backend.zone,
            "--port",
            str(port),
            "--ran-file",
            ran_file,
            *backend.options,
        )

    def _find_ran_file(self, target: str) -> pathlib.Path:
        return self._path / f"ran-{target}"

    def restart_target(self, name: str) -> None:
        """Starts a target that has ended, on the address that it had."""
        backend = next(b for b in self._backends if b.name == name)
        self._start_target(backend, self.targets[name].port)

    def read_ran(self, *names: str) -> collections.Counter[str]:
        """Counts what targets ran by request, over kills and restarts."""
        ran: collections.Counter[str] = collections.Counter()
        for name in names or self.targets:
            path = self._find_ran_file(name)
            if path.exists():
                lines = path.read_text(encoding="utf-8").splitlines()
                ran.update(json.loads(line) for line in lines)
        return ran

    def start_entry(self, name: str, zone: str) -> None:
        """Starts an entry instance and waits until all know of it."""
        self.spawn_entry(name, zone)
        self._await_entry(name)
        self.publish_instances()
        self.wait_until_joined()

    def _await_entry(self, name: str) -> None:
        self.entries[name].wait_ready()
        port = int(self.entries[name].about["peer"])
        self._add_listener(self.entry_zones[name], port)

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
        path = self._path / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        command = [*self._entry_command, "--settings", str(path)]
        if self.links is not None:
            links = str(self.links.find_file(zone))
            command = [f"{__package__}.redirect", links, *command]
        child = self._launcher.spawn(*command, name=name)
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
            "clients": self._clients,
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

    def set_platform_mode(self, mode: str) -> None:
        """Makes the platform `up`, `down` or `stale`."""
        body = json.dumps({"mode": mode}).encode()
        self.control("POST", "/control/mode", body)

    def list_running(self) -> list[str]:
        """Returns the names of the entry instances that run."""
        return [n for n, c in self.entries.items() if c.exit_code is None]

    def wait_until_joined(self) -> None:
        """Waits until all running instances see each other and the text."""
        running = self.list_running()

        def is_joined() -> bool:
            statuses = [self.read_status(name) for name in running]
            return all(
                status["text_version"] == self.version
                and len(status["peers"]) >= len(running) - 1
                for status in statuses
            )

        wait_until(is_joined, "a fleet that joined", READY_TIMEOUT_S)
