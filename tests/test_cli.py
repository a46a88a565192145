"""Tests of the command line against an operator app on loopback."""

import contextlib
import json
import pathlib
import re
import socket
import threading
import unittest
from collections.abc import Iterator

import uvicorn
from click.testing import CliRunner, Result

from peridotbend import cli
from peridotbend.adapters.operators import OperatorApp
from tests.test_operators import FakeNode

ROOT = pathlib.Path(__file__).parent.parent
GOOD = ROOT / "examples" / "kilifi.yaml"


def run(*arguments: str, stdin: bytes | None = None) -> Result:
    """Runs the command line in this process."""
    return CliRunner().invoke(cli.main, arguments, input=stdin)


@contextlib.contextmanager
def serve(node: FakeNode) -> Iterator[str]:
    """Serves the operator app on a port that the kernel chooses."""
    listener = socket.create_server(("127.0.0.1", 0))
    config = uvicorn.Config(
        OperatorApp(node.hooks()), log_level="error", access_log=False
    )
    server = uvicorn.Server(config)
    thread = threading.Thread(target=server.run, args=([listener],))
    thread.start()
    try:
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
    finally:
        server.should_exit = True
        thread.join()
        listener.close()


@contextlib.contextmanager
def answer_once(content: bytes) -> Iterator[str]:
    """Answers one connection with these bytes and closes it."""

    def serve_one() -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65_536)
            connection.sendall(content)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve_one)
        thread.start()
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
        thread.join()


class CheckTest(unittest.TestCase):
    """`peridotbend check`."""

    def test_good_text(self) -> None:
        """Guards against a good text that a script takes for a bad one."""
        result = run("check", str(GOOD))
        assert result.exit_code == 0, result.output
        assert "version 1, 2 services, 12 targets" in result.output

    def test_problems_are_on_lines_of_their_own(self) -> None:
        """Guards against a bad text that a script takes for a good one."""
        bad = GOOD.read_bytes().replace(b"deadline: 15s", b"deadline: 15")
        result = run("check", "-", stdin=bad)
        assert result.exit_code == 1
        assert re.match(r"\S+: line \d+, .*deadline", result.output)

    def test_unreadable_text(self) -> None:
        """Guards against an unreadable file that counts as a bad text."""
        assert run("check", str(ROOT / "missing.yaml")).exit_code == 2
        assert run("check", str(ROOT)).exit_code == 2
        assert run("check", "-", stdin=b"\xff").exit_code == 2
        assert run("check").exit_code == 2

    def test_text_above_the_limit(self) -> None:
        """Guards against a text that passes because only its start is read."""
        large = GOOD.read_bytes() + b"#" * 1_000_000
        result = run("check", "-", stdin=large)
        assert result.exit_code == 1
        assert "1000000" in result.output
        accented = GOOD.read_bytes() + "ì".encode() * 1_000_000
        assert run("check", "-", stdin=accented).exit_code == 1


class DaemonCommandsTest(unittest.TestCase):
    """Commands that call a daemon."""

    def test_answers_are_shown(self) -> None:
        """Guards against commands that call a wrong path or lose the answer."""
        node = FakeNode()
        with serve(node) as url:
            option = f"--operator-url={url}"
            assert json.loads(run("dump", option).output)["zones"] == ["a", "b"]
            status = run("status", option).output.splitlines()
            assert status == ["name  e1", "", "services:", "name", "chat"]
            assert run("explain", "a b", option).output == "state  queued\n"
            empty = run("quarantine", "list", option)
            assert "nothing" in empty.output
            node.quarantine = [{"fingerprint": "ab\x1b[2J", "left_ms": 7}]
            table = run("quarantine", "list", option).output.splitlines()
            assert table[1:] == ["fingerprint  left_ms", "ab?[2J       7"]
            assert run("drain", option).exit_code == 0
            assert node.drains == 1

    def test_refusal_of_the_daemon(self) -> None:
        """Guards against an unknown ID that is taken for a daemon failure."""
        with serve(FakeNode()) as url:
            result = run("explain", "x", f"--operator-url={url}")
        assert result.exit_code == 1
        assert "404" in result.output

    def test_unreachable_daemon(self) -> None:
        """Guards against a traceback, or success, when nothing listens."""
        with socket.create_server(("127.0.0.1", 0)) as closed:
            port = closed.getsockname()[1]
        option = f"--operator-url=http://127.0.0.1:{port}"
        for command in (
            ["dump"], ["status"], ["explain", "x"], ["quarantine", "list"],
            ["drain"],
        ):  # fmt: skip
            result = run(*command, option)
            assert result.exit_code == 3, command
            assert "--operator-url" in result.output

    def test_other_servers_are_not_taken_for_a_daemon(self) -> None:
        """Guards against a wrong port that seems to answer."""
        page = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"
        for content in (page, page[:-1], b"220 smtp\r\n", b""):
            with answer_once(content) as url:
                result = run("dump", f"--operator-url={url}")
            assert result.exit_code == 3, content

    def test_wrong_urls_are_usage_errors(self) -> None:
        """Guards against addresses that fail late and without a remedy."""
        for url in ("127.0.0.1:8081", "https://a", "http://[", "http://a/b",
                    "http://a:x", "http://a:0"):  # fmt: skip
            result = run("status", f"--operator-url={url}")
            assert result.exit_code == 2, url


class HelpTest(unittest.TestCase):
    """The documented exit codes."""

    def test_exit_codes_are_in_help_and_page(self) -> None:
        """Guards against exit codes that only the source tells."""
        page = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")
        help_text = run("check", "--help").output
        for code in range(4):
            assert re.search(rf"^ +{code}  \S", help_text, re.MULTILINE), code
            assert f"| {code} | " in page, code
