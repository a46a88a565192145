"""A fleet of real processes: platform, targets and entry instances."""

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
POLL_INTERVAL_S = 0.05


def wait_until(
    condition: Callable[[], bool],
    description: str,
    timeout_s: float = EVENT_TIMEOUT_S,
) -> None:
    """Polls a condition until it holds.

    Raises:
        TimeoutError: the condition did not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not seen in {timeout_s} s: {description}")
        time.sleep(POLL_INTERVAL_S)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSpec:
    """A target to start: a program of this package and its options."""

    name: str
    service: str
    zone: str
    program: str
    options: tuple[str, ...] = ()


class Fleet:
    """Starts the processes of a fleet and publishes what they need."""

    def __init__(
        self,
        services: Mapping[str, Mapping[str, Any]],
        target_specs: Sequence[TargetSpec],
        zones: Sequence[str],
        entries_per_zone: int,
        entry_settings: Mapping[str, Any] | None = None,
        clients: Mapping[str, Mapping[str, Any]] | None = None,
        with_zone_proxies: bool = False,
        entry_command: Sequence[str] = ("peridotbend.daemon",),
    ):
        """Sets up a fleet without starting any process.

        Args:
            services: The services of the configuration text, without targets.
            target_specs: The targets to start.
            zones: The availability zones.
            entries_per_zone: Number of entry instances in each zone.
            entry_settings: Settings of each entry instance.
            clients: The client accounts of the configuration text.
            with_zone_proxies: Connects the zones and the platform through
                proxies, to simulate network partitions.
            entry_command: The module of an entry instance and the options
                before those of the daemon.
        """
        self._services = services
        self._target_specs = target_specs
        self._zones = zones
        self._entries_per_zone = entries_per_zone
        self._entry_settings = dict(entry_settings or {})
        self._clients = dict(clients or {})
        self._entry_command = entry_command
        self._launcher = Launcher()
        self._folder = tempfile.TemporaryDirectory(prefix="peridotbend-")
        self._folder_path = pathlib.Path(self._folder.name)
        self.links = (
            ZoneLinks(self._folder_path, zones) if with_zone_proxies else None
        )
        self.targets: dict[str, Child] = {}
        self.entries: dict[str, Child] = {}
        self.entry_zones: dict[str, str] = {}
        self.text_version = 0

    def __enter__(self) -> Self:
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for child in self.entries.values():
            # Tests send SIGKILL; any other failure is unexpected.
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
        for spec in self._target_specs:
            self._start_target(spec, 0)
            self._add_listener(spec.zone, self.targets[spec.name].port)
        self.publish_text()
        for zone in self._zones:
            for number in range(1, self._entries_per_zone + 1):
                self.spawn_entry(f"{zone}-entry-{number}", zone)
        for name in self.entries:
            self._wait_for_entry(name)
        self.publish_instances()
        self.wait_until_joined()

    def _add_listener(self, zone: str, port: int) -> None:
        if self.links is not None:
            self.links.add_listener(zone, port)

    def _start_target(self, spec: TargetSpec, port: int) -> None:
        # The file survives a target that is killed.
        run_log_path = str(self._find_run_log_path(spec.name))
        self.targets[spec.name] = self._launcher.start_stand_in(
            spec.program,
            spec.name,
            spec.zone,
            "--port",
            str(port),
            "--ran-file",
            run_log_path,
            *spec.options,
        )

    def _find_run_log_path(self, target: str) -> pathlib.Path:
        return self._folder_path / f"ran-{target}"

    def restart_target(self, name: str) -> None:
        """Restarts a target that has ended, on its previous address."""
        spec = next(s for s in self._target_specs if s.name == name)
        self._start_target(spec, self.targets[name].port)

    def read_run_counts(self, *names: str) -> collections.Counter[str]:
        """Returns the runs of each request at targets, across restarts."""
        ran: collections.Counter[str] = collections.Counter()
        for name in names or self.targets:
            path = self._find_run_log_path(name)
            if path.exists():
                lines = path.read_text(encoding="utf-8").splitlines()
                ran.update(json.loads(line) for line in lines)
        return ran

    def start_entry(self, name: str, zone: str) -> None:
        """Starts an entry instance and waits until all instances see it."""
        self.spawn_entry(name, zone)
        self._wait_for_entry(name)
        self.publish_instances()
        self.wait_until_joined()

    def _wait_for_entry(self, name: str) -> None:
        self.entries[name].wait_ready()
        port = int(self.entries[name].ready_info["peer"])
        self._add_listener(self.entry_zones[name], port)

    def spawn_entry(self, name: str, zone: str) -> Child:
        """Starts an entry instance without waiting until it is ready."""
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
        path = self._folder_path / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        command = [*self._entry_command, "--settings", str(path)]
        if self.links is not None:
            port_map = str(self.links.find_port_map(zone))
            command = [f"{__package__}.redirect", port_map, *command]
        child = self._launcher.spawn(*command, name=name)
        self.entries[name] = child
        self.entry_zones[name] = zone
        return child

    def publish_text(self, **changes: Mapping[str, Any]) -> int:
        """Publishes the next version of the text and returns the version."""
        self.text_version += 1
        services = {
            name: {**service, **changes.get(name, {})}
            for name, service in self._services.items()
        }
        for name, service in services.items():
            service["targets"] = self._list_targets_by_zone(name)
        document = {
            "version": self.text_version,
            "tiers": ["high", "middle", "low"],
            "clients": self._clients,
            "services": services,
        }
        source = yaml.safe_dump(document, sort_keys=False).encode()
        self.control("PUT", "/control/text", source)
        return self.text_version

    def _list_targets_by_zone(
        self, service: str
    ) -> dict[str, list[dict[str, str]]]:
        zones: dict[str, list[dict[str, str]]] = {}
        for spec in self._target_specs:
            if spec.service == service:
                address = self.targets[spec.name].address
                zones.setdefault(spec.zone, []).append(
                    {"name": spec.name, "address": address}
                )
        return zones

    def publish_instances(self, leaving: Sequence[str] = ()) -> None:
        """Publishes the running entry instances and all targets.

        Targets in `leaving` are listed as such.
        """
        instances = [
            {
                "name": name,
                "role": "entry",
                "zone": self.entry_zones[name],
                "address": f"{HOST}:{child.ready_info['caller']}",
                "peer_address": f"{HOST}:{child.ready_info['peer']}",
                "incarnation": "",
                "state": "live",
            }
            for name, child in self.entries.items()
            if child.exit_code is None
        ]
        instances += [
            {
                "name": spec.name,
                "role": "target",
                "zone": spec.zone,
                "address": self.targets[spec.name].address,
                "peer_address": "",
                "incarnation": str(
                    self.targets[spec.name].ready_info.get("incarnation", "")
                ),
                "state": "leaving" if spec.name in leaving else "live",
            }
            for spec in self._target_specs
        ]
        body = json.dumps({"instances": instances}).encode()
        self.control("PUT", "/control/instances", body)

    def control(self, method: str, path: str, body: bytes = b"") -> HttpReply:
        """Calls the control API of the platform stand-in."""
        reply = call_http(method, self.platform.address, path, body)
        assert reply.status < 300, f"{method} {path}: {reply}"
        return reply

    def caller_address(self, name: str) -> str:
        """Returns the address at which an entry instance serves callers."""
        return f"{HOST}:{self.entries[name].ready_info['caller']}"

    def read_status(self, name: str) -> dict[str, Any]:
        """Returns the status that an entry instance reports to operators."""
        address = f"{HOST}:{self.entries[name].ready_info['operator']}"
        status: dict[str, Any] = call_http("GET", address, "/v1/status").json()
        return status

    def read_dump(self, name: str) -> dict[str, Any]:
        """Returns the state dump of an entry instance."""
        address = f"{HOST}:{self.entries[name].ready_info['operator']}"
        dump: dict[str, Any] = call_http("GET", address, "/v1/dump").json()
        return dump

    def set_platform_mode(self, mode: str) -> None:
        """Sets the mode of the platform: `up`, `down` or `stale`."""
        body = json.dumps({"mode": mode}).encode()
        self.control("POST", "/control/mode", body)

    def list_running(self) -> list[str]:
        """Returns the names of the running entry instances."""
        return [n for n, c in self.entries.items() if c.exit_code is None]

    def wait_until_joined(self) -> None:
        """Waits until all running instances have the text and their peers."""
        running = self.list_running()

        def is_joined() -> bool:
            statuses = [self.read_status(name) for name in running]
            return all(
                status["text_version"] == self.text_version
                and len(status["peers"]) >= len(running) - 1
                for status in statuses
            )

        wait_until(is_joined, "all instances joined", READY_TIMEOUT_S)
