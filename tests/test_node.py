"""Tests of a whole node as operators see it."""

import json
import unittest

import anyio
from click.testing import CliRunner

from peridotbend import cli
from peridotbend.adapters.serving import listen
from peridotbend_emulator.client import call_http
from tests.edgenode import (
    BOUND_S,
    EdgeNode,
    read_reply,
    run_edge,
    start_edge_node,
    start_edge_pair,
    write_call,
)

ORDERS = "/v1/orders"
SECRET_BODY = b'{"card": "4111-1111"}'


async def run_cli(edge: EdgeNode, *arguments: str) -> str:
    """Runs the command line against the node and returns its output."""
    url = f"http://127.0.0.1:{edge.node.ports.operator}"
    option = f"--operator-url={url}"
    result = await anyio.to_thread.run_sync(
        lambda: CliRunner().invoke(cli.main, [*arguments, option])
    )
    assert result.exit_code == 0, result.output
    return str(result.output)


async def is_ready(edge: EdgeNode) -> bool:
    """Asks as a load balancer does."""
    address = f"127.0.0.1:{edge.node.ports.operator}"
    reply = await anyio.to_thread.run_sync(call_http, "GET", address, "/readyz")
    assert reply.json() == {"ready": reply.status == 200}
    return reply.status == 200


class OperatorsViewTest(unittest.TestCase):
    """The command line against a running node."""

    def test_commands_show_a_busy_node_without_secrets(self) -> None:
        """Guards against commands that fail on a busy node or tell secrets."""

        async def test(edge: EdgeNode) -> None:
            edge.target.go_on.clear()
            token = await edge.reserve()
            reader, writer = await edge.connect()
            key = f"Idempotency-Key: {token}"
            bearer = "Authorization: Bearer shop-key-secret"
            writer.write(write_call("POST", ORDERS, SECRET_BODY, key, bearer))
            await edge.wait_for(lambda: ORDERS in edge.target.ran)
            edge.node.suspects.record_crash([b"\xab" * 16], None)

            status = await run_cli(edge, "status")
            assert "orders" in status and "e1" in status
            explained = await run_cli(edge, "explain", token)
            assert "dispatched" in explained
            assert "dispatched" in await run_cli(edge, "explain", token[:8])
            quarantine = await run_cli(edge, "quarantine", "list")
            assert "suspect" in quarantine and "ab" * 16 in quarantine
            dump = await run_cli(edge, "dump")
            found = json.loads(dump)
            fencing = {
                t["target"]: t["checks_fencing"] for t in found["targets"]
            }
            assert fencing == {"runner": False, "orders": True}
            assert [r["request"] for r in found["records"]] == [token[:8]]

            texts = (status, explained, quarantine, dump)
            logged = str([fields for _, fields in edge.log.events])
            for text in (*texts, logged.replace(token, token[:8])):
                assert token not in text
                assert "4111" not in text and "shop-key" not in text
            edge.target.go_on.set()
            assert (await read_reply(reader)).status == 200
            writer.close()

        run_edge(test)


class DrainTest(unittest.TestCase):
    """A graceful shutdown."""

    def test_drain_by_command(self) -> None:
        """Guards against a drain that breaks off a request."""

        async def test() -> None:
            async with start_edge_node() as edge:
                edge.target.go_on.clear()
                token = await edge.reserve()
                await edge.reserve()
                reader, writer = await edge.connect()
                key = f"Idempotency-Key: {token}"
                writer.write(write_call("POST", ORDERS, b"1", key))
                await edge.wait_for(lambda: ORDERS in edge.target.ran)
                assert await is_ready(edge)
                await run_cli(edge, "drain")
                await edge.wait_for(lambda: edge.node.service.draining)
                assert not await is_ready(edge)
                edge.node.start_drain()
                body = b'{"service": "orders", "kind": "confirm"}'
                reply = await edge.call("POST", "/v1/reservations", body)
                assert (reply.status, reply.verdict) == (503, "not-run")
                assert reply.error["code"] == "draining"
                assert "retry-after" in reply.headers
                edge.target.go_on.set()
                reply = await read_reply(reader)
                assert (reply.status, reply.verdict) == (200, "completed")
                writer.close()

        async def run_bounded() -> None:
            with anyio.fail_after(BOUND_S):
                await test()

        anyio.run(run_bounded)


class StartTest(unittest.TestCase):
    """What a node can start without."""

    def test_absent_platform(self) -> None:
        """Guards against a start that waits for the platform."""
        with listen("127.0.0.1", 0) as closed:
            port = closed.getsockname()[1]

        async def test(edge: EdgeNode) -> None:
            assert await is_ready(edge)
            reply = await edge.call("GET", ORDERS + "/1")
            assert reply.status == 200

        run_edge(test, platform_url=f"http://127.0.0.1:{port}")

    def test_not_ready_before_a_text(self) -> None:
        """Guards against a balancer that sends to a node without a text."""

        async def test() -> None:
            with listen("127.0.0.1", 0) as closed:
                port = closed.getsockname()[1]
            async with start_edge_node(
                text_file="", platform_url=f"http://127.0.0.1:{port}"
            ) as edge:
                assert not await is_ready(edge)
                reply = await edge.call("POST", ORDERS, b"x" * 9_000)
                assert (reply.status, reply.verdict) == (503, "not-run")
                assert reply.error["code"] == "no-text"

        anyio.run(test)


class CancelTest(unittest.TestCase):
    """A node whose task is cancelled."""

    def test_linked_nodes_end_when_they_are_cancelled(self) -> None:
        """Guards against an event loop that spins for ever at the end."""

        async def test() -> None:
            with anyio.move_on_after(BOUND_S) as scope:
                async with start_edge_pair():
                    scope.cancel()
                    await anyio.sleep(BOUND_S)
            assert scope.cancel_called

        anyio.run(test)
