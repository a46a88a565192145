"""Starts `python -m` programs on loopback and sends signals to them."""

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
# Time between SIGTERM and SIGKILL when everything is stopped.
STOP_GRACE_S = 5.0
KEPT_OUTPUT_LINES = 200


class LaunchError(Exception):
    """A program did not become ready."""


class Child:
    """A process that this program started."""

    def __init__(self, name: str, process: subprocess.Popen[str]):
        self.name = name
        # The line of JSON that the program printed when it listened.
        self.about: dict[str, Any] = {}
        self._process = process
        self._ready = threading.Event()
        self._output: collections.deque[str] = collections.deque(
            maxlen=KEPT_OUTPUT_LINES
        )
        # Reading goes on for ever: a full pipe would block the program.
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    @property
    def pid(self) -> int:
        """The process ID."""
        return self._process.pid

    @property
    def port(self) -> int:
        """The port that the program listens on."""
        return int(self.about["port"])

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
        """The last lines of its output and errors."""
        return "".join(self._output)

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until the program listens.

        Raises:
            LaunchError: it ended or said nothing in time.
        """
        self._ready.wait(timeout_s)
        if not self.about:
            raise LaunchError(
                f"{self.name} did not become ready in {timeout_s} s"
                f" (exit code {self.exit_code}); its output: {self.output}"
            )

    def wait(self, timeout_s: float) -> int:
        """Waits for the end and returns the exit code."""
        return self._process.wait(timeout_s)

    def terminate(self) -> None:
        """Sends SIGTERM."""
        self._send(signal.SIGTERM)

    def kill(self) -> None:
        """Sends SIGKILL and waits for the end."""
        self._send(signal.SIGKILL)
        self._process.wait()

    def pause(self) -> None:
        """Sends SIGSTOP and waits until the process has stopped."""
        if self.exit_code is not None:
            return
        self._send(signal.SIGSTOP)
        os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def resume(self) -> None:
        """Sends SIGCONT."""
        self._send(signal.SIGCONT)

    def _send(self, number: signal.Signals) -> None:
        # Popen checks that the child still runs, so that a signal never
        # reaches another process that got the same ID.
        self._process.send_signal(number)

    def _read(self) -> None:
        assert self._process.stdout is not None
        with self._process.stdout as stdout:
            for line in stdout:
                self._output.append(line)
                if not self.about:
                    self.about = _parse_ready(line)
                    if self.about:
                        self._ready.set()
        self._ready.set()


def _parse_ready(line: str) -> dict[str, Any]:
    try:
        value = json.loads(line)
    except ValueError:
        return {}
    is_ready = isinstance(value, dict) and value.get("ready") is True
    return value if is_ready else {}


class Launcher:
    """Starts processes and ends all of them when it is closed.

    Use it as a context manager; an exit of the interpreter closes it too, and
    children of a launcher that is killed end by themselves (see `runchild`).
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
        parent = str(os.getpid())
        command = [sys.executable, "-m", wrapper, parent, module, *arguments]
        child = Child(name or module, _open(command, environ or {}))
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
        """Ends all children: SIGTERM, and SIGKILL after a grace period."""
        atexit.unregister(self.close)
        for child in self._children:
            # A stopped process acts on SIGTERM only once it continues.
            child.terminate()
            child.resume()
        for child in self._children:
            try:
                child.wait(STOP_GRACE_S)
            except subprocess.TimeoutExpired:
                child.kill()
        self._children.clear()


def _open(
    command: Sequence[str], environ: Mapping[str, str]
) -> subprocess.Popen[str]:
    # The children import this very source tree, installed or not.
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
