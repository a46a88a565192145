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
EXAMPLE_CONFIG = ROOT / "examples" / "kilifi.yaml"


def invoke(*arguments: str, stdin: bytes | None = None) -> Result:
    """Runs a command of the CLI in this process."""
    return CliRunner().invoke(cli.main, arguments, input=stdin)


@contextlib.contextmanager
def serve(node: FakeNode) -> Iterator[str]:
    """Serves the operator app on an ephemeral port; yields its URL."""
    listener = socket.create_server(("127.0.0.1", 0))
    config = uvicorn.Config(
        OperatorApp(node.make_hooks()), log_level="error", access_log=False
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
    """Answers one connection with the given bytes and closes it."""

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
        """Guards against a failing exit code for a valid configuration."""
        result = invoke("check", str(EXAMPLE_CONFIG))
        assert result.exit_code == 0, result.output
        assert "version 1, 2 services, 12 targets" in result.output

    def test_problems_are_on_lines_of_their_own(self) -> None:
        """Guards against exit code 0 for an invalid configuration."""
        bad = EXAMPLE_CONFIG.read_bytes().replace(
            b"deadline: 15s", b"deadline: 15"
        )
        result = invoke("check", "-", stdin=bad)
        assert result.exit_code == 1
        assert re.match(r"\S+: line \d+, .*deadline", result.output)

    def test_unreadable_text(self) -> None:
        """Guards against the exit code of a bad file for an unreadable one."""
        assert invoke("check", str(ROOT / "missing.yaml")).exit_code == 2
        assert invoke("check", str(ROOT)).exit_code == 2
        assert invoke("check", "-", stdin=b"\xff").exit_code == 2
        assert invoke("check").exit_code == 2

    def test_text_above_the_limit(self) -> None:
        """Guards against accepting a file of which only the start is read."""
        large = EXAMPLE_CONFIG.read_bytes() + b"#" * 1_000_000
        result = invoke("check", "-", stdin=large)
        assert result.exit_code == 1
        assert "1000000" in result.output
        multibyte = EXAMPLE_CONFIG.read_bytes() + "ì".encode() * 1_000_000
        assert invoke("check", "-", stdin=multibyte).exit_code == 1


class DaemonCommandsTest(unittest.TestCase):
    """Commands that call the operator API of a daemon."""

    def test_answers_are_shown(self) -> None:
        """Guards against commands that call a wrong path or drop the answer."""
        node = FakeNode()
        with serve(node) as url:
            option = f"--operator-url={url}"
            assert json.loads(invoke("dump", option).output)["zones"] == [
                "a",
                "b",
            ]
            status = invoke("status", option).output.splitlines()
            assert status == ["name  e1", "", "services:", "name", "chat"]
            assert invoke("explain", "a b", option).output == "state  queued\n"
            empty = invoke("quarantine", "list", option)
            assert "nothing" in empty.output
            node.quarantine = [{"fingerprint": "ab\x1b[2J", "left_ms": 7}]
            table = invoke("quarantine", "list", option).output.splitlines()
            assert table[1:] == ["fingerprint  left_ms", "ab?[2J       7"]
            assert invoke("drain", option).exit_code == 0
            assert node.drains == 1

    def test_refusal_of_the_daemon(self) -> None:
        """Guards against treating an unknown ID as a daemon failure."""
        with serve(FakeNode()) as url:
            result = invoke("explain", "x", f"--operator-url={url}")
        assert result.exit_code == 1
        assert "404" in result.output

    def test_ids_may_begin_like_an_option(self) -> None:
        """Guards against an ID that is taken for an option of the command.

        IDs are random, and one in 64 begins with a hyphen.
        """
        with serve(FakeNode()) as url:
            for request_id in ("-Q5xyz", "--Q5", "-_", "-o", "--log5"):
                result = invoke("explain", request_id, f"--operator-url={url}")
                assert result.exit_code == 1, result.output
                assert "404" in result.output, result.output

    def test_unreachable_daemon(self) -> None:
        """Guards against a traceback, or success, when nothing listens."""
        with socket.create_server(("127.0.0.1", 0)) as closed:
            port = closed.getsockname()[1]
        option = f"--operator-url=http://127.0.0.1:{port}"
        for command in (
            ["dump"], ["status"], ["explain", "x"], ["quarantine", "list"],
            ["drain"],
        ):  # fmt: skip
            result = invoke(*command, option)
            assert result.exit_code == 3, command
            assert "--operator-url" in result.output

    def test_other_servers_are_not_taken_for_a_daemon(self) -> None:
        """Guards against taking the answer of another server for a daemon's."""
        page = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"
        for content in (page, page[:-1], b"220 smtp\r\n", b""):
            with answer_once(content) as url:
                result = invoke("dump", f"--operator-url={url}")
            assert result.exit_code == 3, content

    def test_wrong_urls_are_usage_errors(self) -> None:
        """Guards against URLs that fail late or with an unhelpful message."""
        for url in ("127.0.0.1:8081", "https://a", "http://[", "http://a/b",
                    "http://a:x", "http://a:0"):  # fmt: skip
            result = invoke("status", f"--operator-url={url}")
            assert result.exit_code == 2, url


class HelpTest(unittest.TestCase):
    """The documented exit codes."""

    def test_exit_codes_are_in_help_and_page(self) -> None:
        """Guards against undocumented exit codes."""
        page = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")
        help_text = invoke("check", "--help").output
        for code in range(4):
            assert re.search(rf"^ +{code}  \S", help_text, re.MULTILINE), code
            assert f"| {code} | " in page, code
