"""Starts `python -m` programs on loopback and controls their processes."""

import atexit
import collections
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
from collections.abc import Mapping, Sequence
from typing import Any, Self

HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
# Time between SIGTERM and SIGKILL when a launcher is closed.
STOP_GRACE_S = 5.0
MAX_OUTPUT_LINES = 200


class LaunchError(Exception):
    """A program did not become ready."""


class Child:
    """A child process with its readiness, output and signals."""

    def __init__(self, name: str, process: subprocess.Popen[str]):
        self.name = name
        # The JSON line that the program prints once it listens, or empty.
        self.ready_info: dict[str, Any] = {}
        self._process = process
        self._ready = threading.Event()
        self._output: collections.deque[str] = collections.deque(
            maxlen=MAX_OUTPUT_LINES
        )
        # Output is read until the process ends, as a full pipe would block it.
        self._reader_thread = threading.Thread(
            target=self._read_output, daemon=True
        )
        self._reader_thread.start()

    @property
    def pid(self) -> int:
        """The process ID."""
        return self._process.pid

    @property
    def port(self) -> int:
        """The port that the program listens on."""
        return int(self.ready_info["port"])

    @property
    def address(self) -> str:
        """The address as `ip:port`."""
        return f"{HOST}:{self.port}"

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal, or None while it runs."""
        return self._process.poll()

    @property
    def output(self) -> str:
        """The last lines of standard output and standard error."""
        return "".join(self._output)

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until the program listens.

        Raises:
            LaunchError: it ended or did not announce readiness in time.
        """
        self._ready.wait(timeout_s)
        if not self.ready_info:
            raise LaunchError(
                f"{self.name} did not become ready in {timeout_s} s"
                f" (exit code {self.exit_code}); its output: {self.output}"
            )

    def wait(self, timeout_s: float) -> int:
        """Waits until the process ends and returns the exit code."""
        return self._process.wait(timeout_s)

    def terminate(self) -> None:
        """Sends SIGTERM."""
        self._send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Sends SIGKILL and waits until the process ends."""
        self._send_signal(signal.SIGKILL)
        self._process.wait()

    def pause(self) -> None:
        """Sends SIGSTOP and waits until the process has stopped."""
        if self.exit_code is not None:
            return
        self._send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def resume(self) -> None:
        """Sends SIGCONT."""
        self._send_signal(signal.SIGCONT)

    def _send_signal(self, signal_number: signal.Signals) -> None:
        # Popen checks that the child still runs, so that a signal never reaches
        # another process that reuses its ID.
        self._process.send_signal(signal_number)

    def _read_output(self) -> None:
        assert self._process.stdout is not None
        with self._process.stdout as stdout:
            for line in stdout:
                self._output.append(line)
                if not self.ready_info:
                    self.ready_info = _parse_ready_line(line)
                    if self.ready_info:
                        self._ready.set()
        self._ready.set()


def _parse_ready_line(line: str) -> dict[str, Any]:
    try:
        value = json.loads(line)
    except ValueError:
        return {}
    is_ready = isinstance(value, dict) and value.get("ready") is True
    return value if is_ready else {}


class Launcher:
    """Starts processes and stops all of them when it is closed.

    Use it as a context manager. It is also closed when the interpreter exits;
    if the launcher's process is killed, the children end themselves (see
    `runchild`).
    """

    def __init__(self) -> None:
        self._children: list[Child] = []
        atexit.register(self.close)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start(
        self,
        module: str,
        *arguments: str,
        name: str = "",
        environ: Mapping[str, str] | None = None,
    ) -> Child:
        """Starts `python -m module` and waits until it listens."""
        child = self.spawn(module, *arguments, name=name, environ=environ)
        child.wait_ready()
        return child

    def spawn(
        self,
        module: str,
        *arguments: str,
        name: str = "",
        environ: Mapping[str, str] | None = None,
    ) -> Child:
        """Starts `python -m module` without waiting."""
        wrapper = f"{__package__}.runchild"
        parent_pid = str(os.getpid())
        command = [
            sys.executable,
            "-m",
            wrapper,
            parent_pid,
            module,
            *arguments,
        ]
        child = Child(name or module, _start_process(command, environ or {}))
        self._children.append(child)
        return child

    def start_stand_in(
        self, program: str, name: str, zone: str, *arguments: str
    ) -> Child:
        """Starts `platform`, `engine` or `orders` of this package."""
        module = f"{__package__}.{program}"
        options = ("--port", "0", "--name", name, "--zone", zone)
        return self.start(module, *options, *arguments, name=name)

    def close(self) -> None:
        """Stops all children: SIGTERM, then SIGKILL after a grace period."""
        atexit.unregister(self.close)
        for child in self._children:
            # A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
            child.terminate()
            child.resume()
        for child in self._children:
            try:
                child.wait(STOP_GRACE_S)
            except subprocess.TimeoutExpired:
                child.kill()
        self._children.clear()


def _start_process(
    command: Sequence[str], environ: Mapping[str, str]
) -> subprocess.Popen[str]:
    # The children import this source tree, whether or not it is installed.
    source = str(pathlib.Path(__file__).resolve().parent.parent)
    path = os.environ.get("PYTHONPATH")
    paths = os.pathsep.join([source, path] if path else [source])
    return subprocess.Popen(
        command,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
        env={**os.environ, "PYTHONPATH": paths, **environ},
    )
