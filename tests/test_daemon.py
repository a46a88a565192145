"""Tests of the daemon as a process of its own."""

import os
import pathlib
import tempfile
import time
import unittest

import yaml

from peridotbend.adapters.serving import listen
from peridotbend_emulator.client import call_http
from peridotbend_emulator.launch import Child, Launcher

MODULE = "peridotbend.daemon"
WAIT_S = 20.0
TEXT = pathlib.Path(__file__).parent.parent / "examples" / "kilifi.yaml"


class DaemonTest(unittest.TestCase):
    """Start, signals and exit codes."""

    def setUp(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.addCleanup(self._folder.cleanup)
        self._launcher = Launcher()
        self.addCleanup(self._launcher.close)

    def _write(self, **settings: object) -> str:
        document = {
            "name": "e1",
            "zone": "a",
            "text_file": str(TEXT),
            "caller_port": 0,
            "operator_port": 0,
            "peer_port": 0,
            **settings,
        }
        path = pathlib.Path(self._folder.name) / "node.yaml"
        path.write_text(yaml.safe_dump(document))
        return str(path)

    def _spawn(self, **settings: object) -> Child:
        path = self._write(**settings)
        return self._launcher.spawn(MODULE, "--settings", path)

    def test_a_started_daemon(self) -> None:
        """Guards against child processes, io_uring and a drain that fails."""
        child = self._spawn()
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
        started = [
            (task / "children").read_text()
            for task in (process / "task").iterdir()
        ]
        assert not "".join(started).strip()
        child.terminate()
        child.terminate()
        assert child.wait(WAIT_S) == 0, child.output
        assert "Traceback" not in child.output

    def test_bad_settings(self) -> None:
        """Guards against a process that dies without telling what to do."""
        child = self._spawn(zone="", caller_port=99_999)
        assert child.wait(WAIT_S) == 1
        for part in ("line ", "zone", "caller_port"):
            assert part in child.output, child.output
        missing = str(pathlib.Path(self._folder.name) / "missing.yaml")
        child = self._spawn(text_file=missing)
        assert child.wait(WAIT_S) == 1
        assert "text_file" in child.output and "Traceback" not in child.output

    def test_port_in_use(self) -> None:
        """Guards against a traceback for a port that is taken."""
        with listen("127.0.0.1", 0) as taken:
            port = taken.getsockname()[1]
            for name in ("caller_port", "operator_port", "peer_port"):
                child = self._spawn(**{name: port})
                assert child.wait(WAIT_S) == 3, child.output
                assert str(port) in child.output, child.output
                assert "Traceback" not in child.output


def _list_open_files(process: pathlib.Path) -> list[str]:
    """Returns what all descriptors of a process refer to.

    The connection of a call that was just answered closes at any moment; a
    list in which a descriptor vanished is made anew as a whole.
    """
    end_at_s = time.monotonic() + WAIT_S
    while True:
        try:
            return [os.readlink(fd) for fd in (process / "fd").iterdir()]
        except FileNotFoundError:
            if time.monotonic() > end_at_s:
                raise
