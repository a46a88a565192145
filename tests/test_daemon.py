"""Tests of the daemon as a separate process."""

import os
import pathlib
import tempfile
import time
import unittest

import yaml

from peridotbend.adapters.serving import listen
from peridotbend_emulator.client import call_http
from peridotbend_emulator.launch import Child, Launcher

DAEMON_MODULE = "peridotbend.daemon"
EXIT_TIMEOUT_S = 20.0
CONFIG_PATH = pathlib.Path(__file__).parent.parent / "examples" / "kilifi.yaml"


class DaemonTest(unittest.TestCase):
    """Startup, signals and exit codes."""

    def setUp(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.addCleanup(self._folder.cleanup)
        self._launcher = Launcher()
        self.addCleanup(self._launcher.close)

    def _write_settings(self, **settings: object) -> str:
        document = {
            "name": "e1",
            "zone": "a",
            "text_file": str(CONFIG_PATH),
            "caller_port": 0,
            "operator_port": 0,
            "peer_port": 0,
            **settings,
        }
        path = pathlib.Path(self._folder.name) / "node.yaml"
        path.write_text(yaml.safe_dump(document))
        return str(path)

    def _spawn_daemon(self, **settings: object) -> Child:
        path = self._write_settings(**settings)
        return self._launcher.spawn(DAEMON_MODULE, "--settings", path)

    def test_a_started_daemon(self) -> None:
        """Guards against child processes, io_uring and a failing shutdown."""
        child = self._spawn_daemon()
        child.wait_ready()
        assert set(child.ready_info) == {
            "ready",
            "port",
            "caller",
            "operator",
            "peer",
        }
        assert child.ready_info["port"] == child.ready_info["caller"]
        address = f"127.0.0.1:{child.ready_info['operator']}"
        assert call_http("GET", address, "/readyz").status == 200
        process = pathlib.Path("/proc") / str(child.pid)
        open_files = _list_open_files(process)
        assert any("socket:" in name for name in open_files)
        assert not [name for name in open_files if "io_uring" in name]
        child_lists = [
            (task / "children").read_text()
            for task in (process / "task").iterdir()
        ]
        assert not "".join(child_lists).strip()
        child.terminate()
        child.terminate()
        assert child.wait(EXIT_TIMEOUT_S) == 0, child.output
        assert "Traceback" not in child.output

    def test_bad_settings(self) -> None:
        """Guards against an exit without an actionable error message."""
        child = self._spawn_daemon(zone="", caller_port=99_999)
        assert child.wait(EXIT_TIMEOUT_S) == 1
        for part in ("line ", "zone", "caller_port"):
            assert part in child.output, child.output
        missing = str(pathlib.Path(self._folder.name) / "missing.yaml")
        child = self._spawn_daemon(text_file=missing)
        assert child.wait(EXIT_TIMEOUT_S) == 1
        assert "text_file" in child.output and "Traceback" not in child.output

    def test_port_in_use(self) -> None:
        """Guards against a traceback when a port is in use."""
        with listen("127.0.0.1", 0) as listener:
            port = listener.getsockname()[1]
            for name in ("caller_port", "operator_port", "peer_port"):
                child = self._spawn_daemon(**{name: port})
                assert child.wait(EXIT_TIMEOUT_S) == 3, child.output
                assert str(port) in child.output, child.output
                assert "Traceback" not in child.output


def _list_open_files(process: pathlib.Path) -> list[str]:
    """Returns the targets of all open descriptors of a process.

    The connection of the last request can close while the folder is read; if
    a descriptor has vanished, the whole list is read again.
    """
    deadline_s = time.monotonic() + EXIT_TIMEOUT_S
    while True:
        try:
            return [os.readlink(fd) for fd in (process / "fd").iterdir()]
        except FileNotFoundError:
            if time.monotonic() > deadline_s:
                raise
