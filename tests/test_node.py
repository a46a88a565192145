"""Tests of the operator interface of a running entry instance."""

import json
import unittest

import anyio
from click.testing import CliRunner

from peridotbend import cli
from peridotbend.adapters.serving import listen
from peridotbend_emulator.client import call_http
from tests.edgenode import (
    TEST_TIMEOUT_S,
    EntryNode,
    encode_chat_body,
    encode_request,
    read_reply,
    run_with_entry,
    start_entry,
    start_entry_pair,
)

ORDERS = "/v1/orders"
SECRET_BODY = b'{"card": "4111-1111"}'


async def run_cli(entry: EntryNode, *arguments: str) -> str:
    """Runs a CLI command against the instance and returns its output."""
    url = f"http://127.0.0.1:{entry.node.ports.operator}"
    option = f"--operator-url={url}"
    result = await anyio.to_thread.run_sync(
        lambda: CliRunner().invoke(cli.main, [*arguments, option])
    )
    assert result.exit_code == 0, result.output
    return str(result.output)


async def is_ready(entry: EntryNode) -> bool:
    """Reads the readiness probe."""
    address = f"127.0.0.1:{entry.node.ports.operator}"
    reply = await anyio.to_thread.run_sync(call_http, "GET", address, "/readyz")
    assert reply.json() == {"ready": reply.status == 200}
    return reply.status == 200


class OperatorsViewTest(unittest.TestCase):
    """The command line against a running instance."""

    def test_commands_show_a_busy_node_without_secrets(self) -> None:
        """Guards against commands that fail under load or print secrets."""

        async def test(entry: EntryNode) -> None:
            entry.target.unblocked.clear()
            token = await entry.reserve()
            reader, writer = await entry.connect()
            key = f"Idempotency-Key: {token}"
            bearer = "Authorization: Bearer shop-key-secret"
            writer.write(
                encode_request("POST", ORDERS, SECRET_BODY, key, bearer)
            )
            await entry.wait_for(lambda: ORDERS in entry.target.ran)
            entry.node.suspects.record_crash([b"\xab" * 16], None)

            status = await run_cli(entry, "status")
            assert "orders" in status and "e1" in status
            explained = await run_cli(entry, "explain", token)
            assert "dispatched" in explained
            assert "dispatched" in await run_cli(entry, "explain", token[:8])
            quarantine = await run_cli(entry, "quarantine", "list")
            assert "suspect" in quarantine and "ab" * 16 in quarantine
            dump = await run_cli(entry, "dump")
            found = json.loads(dump)
            fencing = {
                t["target"]: t["checks_fencing"] for t in found["targets"]
            }
            assert fencing == {"runner": False, "orders": True}
            assert [r["request"] for r in found["records"]] == [token[:8]]

            texts = (status, explained, quarantine, dump)
            logged = str([fields for _, fields in entry.log.events])
            for text in (*texts, logged.replace(token, token[:8])):
                assert token not in text
                assert "4111" not in text and "shop-key" not in text
            entry.target.unblocked.set()
            assert (await read_reply(reader)).status == 200
            writer.close()

        run_with_entry(test)


class DrainTest(unittest.TestCase):
    """A graceful shutdown."""

    def test_drain_by_command(self) -> None:
        """Guards against a drain that aborts a request in flight."""

        async def test() -> None:
            async with start_entry() as entry:
                entry.target.unblocked.clear()
                token = await entry.reserve()
                await entry.reserve()
                reader, writer = await entry.connect()
                key = f"Idempotency-Key: {token}"
                writer.write(encode_request("POST", ORDERS, b"1", key))
                await entry.wait_for(lambda: ORDERS in entry.target.ran)
                assert await is_ready(entry)
                await run_cli(entry, "drain")
                await entry.wait_for(lambda: entry.node.service.draining)
                assert not await is_ready(entry)
                entry.node.start_drain()
                body = b'{"service": "orders", "kind": "confirm"}'
                reply = await entry.call("POST", "/v1/reservations", body)
                assert (reply.status, reply.verdict) == (503, "not-run")
                assert reply.error["code"] == "draining"
                assert "retry-after" in reply.headers
                entry.target.unblocked.set()
                reply = await read_reply(reader)
                assert (reply.status, reply.verdict) == (200, "completed")
                writer.close()

        async def run_with_timeout() -> None:
            with anyio.fail_after(TEST_TIMEOUT_S):
                await test()

        anyio.run(run_with_timeout)


class ClosedConnectionTest(unittest.TestCase):
    """Answers of targets that end their connections in order."""

    HEAD = (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        b"engine-stream: s1\r\n\r\n"
    )
    FIRST, REST = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\ndata: [DONE]\n\n"

    def test_stream_goes_on_at_the_same_process_only(self) -> None:
        """Guards against a stream joined from two, or a lost resumption."""

        async def test(entry: EntryNode) -> None:
            roster = entry.node.roster
            await entry.wait_for(
                lambda: roster.find_target_incarnation("runner") == "1"
            )
            for incarnation, is_whole in (("1", True), ("2", False)):
                replies = [self.HEAD + self.FIRST, *[self.HEAD + self.REST] * 3]
                entry.target.next_replies = replies
                entry.target.incarnation = incarnation
                reply = await entry.call(
                    "POST", "/v1/chat/completions", encode_chat_body(True)
                )
                assert reply.body.startswith(self.FIRST)
                assert (self.REST in reply.body) == is_whole
                verdict = b"completed" if is_whole else b"may-have-run"
                assert verdict in reply.body
                entry.target.next_replies = []

        run_with_entry(test)

    def test_text_without_a_length_is_passed_on(self) -> None:
        """Guards against the loss of whole answers of sound applications."""

        async def test(entry: EntryNode) -> None:
            head = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n"
            entry.target.reply = head + b"whole"
            reply = await entry.call("GET", ORDERS + "/1")
            assert (reply.status, reply.body) == (200, b"whole")
            assert reply.verdict == "completed"
            entry.target.reply = b""

        run_with_entry(test)


class StartTest(unittest.TestCase):
    """Starts without the platform or without a configuration."""

    def test_absent_platform(self) -> None:
        """Guards against a start that blocks while the platform is down."""
        with listen("127.0.0.1", 0) as closed:
            port = closed.getsockname()[1]

        async def test(entry: EntryNode) -> None:
            assert await is_ready(entry)
            reply = await entry.call("GET", ORDERS + "/1")
            assert reply.status == 200

        run_with_entry(test, platform_url=f"http://127.0.0.1:{port}")

    def test_not_ready_before_a_text(self) -> None:
        """Guards against traffic to an instance without a configuration."""

        async def test() -> None:
            with listen("127.0.0.1", 0) as closed:
                port = closed.getsockname()[1]
            async with start_entry(
                text_file="", platform_url=f"http://127.0.0.1:{port}"
            ) as entry:
                assert not await is_ready(entry)
                reply = await entry.call("POST", ORDERS, b"x" * 9_000)
                assert (reply.status, reply.verdict) == (503, "not-run")
                assert reply.error["code"] == "no-text"

        anyio.run(test)


class CancelTest(unittest.TestCase):
    """Instances whose task is cancelled."""

    def test_linked_nodes_end_when_they_are_cancelled(self) -> None:
        """Guards against an event loop that spins forever when cancelled."""

        async def test() -> None:
            with anyio.move_on_after(TEST_TIMEOUT_S) as scope:
                async with start_entry_pair():
                    scope.cancel()
                    await anyio.sleep(TEST_TIMEOUT_S)
            assert scope.cancel_called

        anyio.run(test)
