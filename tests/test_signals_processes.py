"""Tests of signals that daemons receive while they start and while they exit.

The daemons are real processes that print a line for each module they import.
A signal is sent after so many lines. The pipe is small, so that a process can't
start completely before the signal has been sent, however busy the machine is.
"""

import dataclasses
import fcntl
import functools
import os
import pathlib
import signal
import subprocess
import sys
import sysconfig
import tempfile
import threading
import time
import unittest
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor

import yaml

from peridotbend.adapters.serving import listen
from tests.hosts import make_host
from tests.test_edge_platform import SETTINGS_DOCUMENT

ROOT = pathlib.Path(__file__).parent.parent
# Far more than any start or exit takes, however busy the machine is.
WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.005
DRAIN_SIGNAL_INTERVAL_S = 0.02
MOMENTS = 20
# The smallest pipe that Linux makes; it holds about 60 lines.
PIPE_BYTES = 4_096
# The pipe and the line that is being written hold fewer lines than this. A
# process that has this many imports left has not started when it gets a signal.
LINES_AHEAD = 150
FIRST_HOST = 100
SIGNALS_MODULE = "peridotbend.adapters.signals"
# Takes the signals once it has been imported itself.
SCRIPT_MODULE = "peridotbend.daemonscript"
# `-S` hides the packages of the virtual environment.
PYTHONPATH = f"{ROOT / 'src'}{os.pathsep}{sysconfig.get_paths()['purelib']}"
EDGE_PROGRAMS = {
    "deploy/edge.py": ("-S", str(ROOT / "deploy/edge.py")),
    "edgedaemon": ("-m", "peridotbend.edgedaemon"),
}
NODE_PROGRAMS = {
    "daemon": ("-m", "peridotbend.daemon"),
    # The body of the script that pip installs.
    "peridotbendd": (
        "-c",
        "from peridotbend.daemonscript import main; main()",
    ),
}
PROGRAMS = {**EDGE_PROGRAMS, **NODE_PROGRAMS}
TAKEN = (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT)
STARTED = '"process-started"'
DRAINED = '"drain-finished"'
# The event that shows that a signal was acted on.
EDGE_EVENTS = {
    signal.SIGHUP: '"settings-reloaded"',
    signal.SIGUSR1: '"state-dumped"',
}


_ignored: set[signal.Signals] = set()


def setUpModule() -> None:
    """Lets the daemons start with the default actions of the signals.

    One that is ignored here, as SIGHUP is under nohup, would be lost before the
    first line of a program.
    """
    for number in TAKEN:
        if signal.getsignal(number) is signal.SIG_IGN:
            signal.signal(number, signal.SIG_DFL)
            _ignored.add(number)


def tearDownModule() -> None:
    """Ignores the signals again that were ignored."""
    while _ignored:
        signal.signal(_ignored.pop(), signal.SIG_IGN)


class Start:
    """A process that prints the modules that it imports."""

    def __init__(self, program: str, folder: pathlib.Path, number: int):
        self.imported: list[str] = []
        self.errors = ""
        self._log_path = folder / f"{number}.log"
        settings = folder / f"{number}.yaml"
        document = (
            _make_edge_settings(number)
            if program in EDGE_PROGRAMS
            else _make_node_settings(number)
        )
        settings.write_text(yaml.safe_dump(document))
        read_end, write_end = os.pipe()
        fcntl.fcntl(read_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        with self._log_path.open("w") as log, open(write_end, "wb") as errors:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-X",
                    "importtime",
                    *PROGRAMS[program],
                    "--settings",
                    str(settings),
                ],
                stdout=log,
                stderr=errors,
                env=os.environ | {"PYTHONPATH": PYTHONPATH},
            )
        # Reading more than is asked for would let the process go on.
        self._errors = open(read_end, "rb", buffering=0)  # noqa: SIM115
        self._reader: threading.Thread | None = None

    def __enter__(self) -> "Start":
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()
        self.read_on()
        assert self._reader is not None
        self._reader.join()
        self._errors.close()

    @property
    def output(self) -> str:
        """What the process has printed, without the imports."""
        return self.errors + self._log_path.read_text()

    def read_imports(self) -> Iterator[str]:
        """Yields the names of the modules, each once it has been imported."""
        for line in iter(self._errors.readline, b""):
            text = line.decode()
            if text.startswith("import time:"):
                self.imported.append(text.rpartition("|")[2].strip())
                yield self.imported[-1]
            else:
                self.errors += text

    def wait_imported(self, count: int) -> None:
        """Waits until the process has imported so many modules."""
        for _ in self.read_imports():
            if len(self.imported) >= count:
                return
        raise AssertionError(f"ended, {self.describe()}")

    def read_on(self) -> None:
        """Reads the other lines, so that the process goes on."""
        if self._reader is None:
            self._reader = threading.Thread(
                target=lambda: list(self.read_imports()), daemon=True
            )
            self._reader.start()

    def wait_logged(self, *events: str) -> None:
        """Waits until the events are logged; the process must not end."""
        self.wait_until(lambda: all(event in self.output for event in events))

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition; the process must not end before."""
        until = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert self.process.poll() is None, self.describe()
            assert time.monotonic() < until, self.describe()
            time.sleep(POLL_INTERVAL_S)

    def wait(self) -> int:
        """Waits until the process has ended, and returns the exit code."""
        code = self.process.wait(WAIT_TIMEOUT_S)
        self.read_on()
        assert self._reader is not None
        self._reader.join()
        return code

    def describe(self) -> str:
        """Describes the process for messages of failed tests."""
        return (
            f"code {self.process.poll()}, {len(self.imported)} imports,"
            f" {self.output}"
        )


@dataclasses.dataclass(frozen=True)
class Imports:
    """The modules that a program imports during its start."""

    names: list[str]

    @property
    def first(self) -> int:
        """The number of imports up to the first line of the program.

        Without the module that takes signals, it is that up to the package.
        """
        return 1 + max(
            self.names.index(name)
            for name in ("peridotbend", SIGNALS_MODULE, SCRIPT_MODULE)
            if name in self.names
        )

    def list_moments(self, unsent: int) -> list[int]:
        """Returns numbers of imports over the start; 0 is after the fork.

        Args:
            unsent: the number of last imports after which nothing is sent.
        """
        last = len(self.names) - unsent
        steps = MOMENTS - 2
        return [0] + [
            self.first + 1 + (last - self.first - 1) * step // steps
            for step in range(steps + 1)
        ]


@functools.cache
def read_program(program: str) -> Imports:
    """Starts a program without disturbance."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Start(program, pathlib.Path(folder), 0) as start,
    ):
        start.read_on()
        start.wait_logged(STARTED)
        return Imports(list(start.imported))


class StartTest(unittest.TestCase):
    """Common parts of the tests of a start."""

    def play(
        self,
        program: str,
        number: signal.Signals,
        check: Callable[..., None],
        moments: list[int],
    ) -> None:
        """Sends a signal at each moment of a start, and checks each process."""
        imports = read_program(program)

        def play_one(index: int, moment: int) -> None:
            with Start(program, folder, index) as start:
                if moment:
                    start.wait_imported(moment)
                start.process.send_signal(number)
                start.read_on()
                try:
                    check(start)
                except AssertionError as error:
                    # No program can act on a signal before its first line;
                    # the interpreter turns SIGINT into a traceback there.
                    has_ended = start.process.poll() is not None
                    is_early = len(start.imported) < imports.first
                    if moment == 0 and has_ended and is_early:
                        return
                    raise AssertionError(
                        f"{number.name} after {moment} of"
                        f" {len(imports.names)} imports: {error}"
                    ) from error

        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            with ThreadPoolExecutor(os.cpu_count()) as pool:
                plays = [
                    pool.submit(play_one, *moment)
                    for moment in enumerate(moments)
                ]
            failed = [str(e) for play in plays if (e := play.exception())]
        assert not failed, failed


class HarmlessSignalTest(StartTest):
    """SIGHUP and SIGUSR1 during the start."""

    def test_edge_starts_and_acts_on_them(self) -> None:
        """Guards against a start that SIGHUP or SIGUSR1 ends, or drops."""
        for program in EDGE_PROGRAMS:
            for number, event in EDGE_EVENTS.items():
                with self.subTest(program, number=number.name):
                    self.play(
                        program,
                        number,
                        lambda start, event=event: start.wait_logged(
                            STARTED, event
                        ),
                        read_program(program).list_moments(unsent=0),
                    )

    def test_node_starts(self) -> None:
        """Guards against a start of `peridotbendd` that they end."""
        for program in NODE_PROGRAMS:
            for number in EDGE_EVENTS:
                with self.subTest(program, number=number.name):
                    self.play(
                        program,
                        number,
                        lambda start: start.wait_logged(STARTED, '"ready"'),
                        read_program(program).list_moments(unsent=0),
                    )


class EndingSignalTest(StartTest):
    """SIGTERM and SIGINT during the start."""

    def test_process_ends_in_order(self) -> None:
        """Guards against a traceback, a bad exit code and a started process."""

        def check(start: Start) -> None:
            assert start.wait() == 0, start.describe()
            # Neither a traceback nor an event, as it has not served.
            assert not start.output, start.output

        for program in PROGRAMS:
            for number in (signal.SIGTERM, signal.SIGINT):
                with self.subTest(program, number=number.name):
                    moments = read_program(program).list_moments(LINES_AHEAD)
                    self.play(program, number, check, moments)

    def test_process_that_begins_to_serve_ends_in_order(self) -> None:
        """Guards against a signal lost between the imports and the receiver.

        The process may have started by then, and drains if it has.
        """

        def check(start: Start) -> None:
            assert start.wait() == 0, start.describe()
            assert "Traceback" not in start.output, start.output

        for program in ("deploy/edge.py", "daemon"):
            with self.subTest(program):
                count = len(read_program(program).names)
                moments = list(range(count - LINES_AHEAD, count, 20))
                self.play(program, signal.SIGTERM, check, moments)


class FirstLineTest(unittest.TestCase):
    """What a program does before it takes the signals."""

    def test_nothing_slow_is_imported_before(self) -> None:
        """Guards against an import that leaves the start unprotected."""
        for program in PROGRAMS:
            with self.subTest(program):
                imports = read_program(program)
                assert SIGNALS_MODULE in imports.names
                before = imports.names[: imports.first]
                assert "asyncio" not in before
                own = [name for name in before if "peridotbend" in name]
                assert set(own) <= {
                    "peridotbend",
                    "peridotbend.adapters",
                    SCRIPT_MODULE,
                    SIGNALS_MODULE,
                }, own

    def test_children_inherit_nothing(self) -> None:
        """Guards against blocked or ignored signals, which children inherit."""
        mask = sum(1 << (number - 1) for number in TAKEN)
        for program in PROGRAMS:
            moments = read_program(program).list_moments(LINES_AHEAD)[1::6]
            for moment in moments:
                with (
                    self.subTest(program, moment=moment),
                    tempfile.TemporaryDirectory() as folder,
                    Start(program, pathlib.Path(folder), 0) as start,
                ):
                    start.wait_imported(moment)
                    process = pathlib.Path(f"/proc/{start.process.pid}")
                    for task in (process / "task").iterdir():
                        status = dict(
                            line.split(":", 1)
                            for line in (task / "status").open()
                        )
                        for name in ("SigBlk", "SigIgn"):
                            assert not int(status[name], 16) & mask, status
                        assert int(status["SigCgt"], 16) & mask == mask


class ExitTest(unittest.TestCase):
    """Signals from the begin of the drain until the process has ended."""

    def test_signals_change_no_exit_code(self) -> None:
        """Guards against a drain or an exit that another signal breaks off."""

        def play_one(program: str, index: int) -> None:
            number = TAKEN[index % len(TAKEN)]
            with Start(program, folder, index) as start:
                start.read_on()
                start.wait_logged(STARTED)
                start.process.terminate()
                has_drained = False
                while start.process.poll() is None:
                    start.process.send_signal(number)
                    # Faster signals would make the drain's own lines be
                    # dropped; after them, the exit takes milliseconds.
                    if not has_drained:
                        time.sleep(DRAIN_SIGNAL_INTERVAL_S)
                        has_drained = DRAINED in start.output
                assert start.wait() == 0, (number, start.describe())
                assert "Traceback" not in start.output, start.output
                assert DRAINED in start.output, start.output

        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            with ThreadPoolExecutor(len(PROGRAMS) * len(TAKEN)) as pool:
                plays = [
                    pool.submit(
                        play_one, program, position * len(TAKEN) + index
                    )
                    for position, program in enumerate(PROGRAMS)
                    for index in range(len(TAKEN))
                ]
            failed = [str(e) for play in plays if (e := play.exception())]
        assert not failed, failed


def _make_edge_settings(number: int) -> dict[str, object]:
    """Returns settings of an instance that reaches no other."""
    host = make_host(FIRST_HOST + number)
    listeners = [listen(host, 0) for _ in range(4)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return {
        **SETTINGS_DOCUMENT,
        "node_name": f"edge-{number}",
        "ip": host,
        "listen": {
            "frontend": f"{host}:{ports[0]}",
            "ready": f"{host}:{ports[1]}",
            "control_plane": f"{host}:{ports[2]}",
        },
        "internal_ports": [ports[3], ports[3] + 1],
        "seeds": [f"{host}:{ports[2]}"],
        "platform": {"address": "127.0.0.1:9"},
    }


def _make_node_settings(number: int) -> dict[str, object]:
    return {
        "name": f"e{number}",
        "zone": "a",
        "text_file": str(ROOT / "examples" / "kilifi.yaml"),
        "caller_port": 0,
        "operator_port": 0,
        "peer_port": 0,
    }
