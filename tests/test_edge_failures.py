"""Tests of real edge daemons: effects of failures on callers and targets."""

import os
import signal
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpcore
from anyio.abc import SocketStream

from peridotbend.platform import wire
from tests.edgefleet import (
    CONFIG,
    HOSTS,
    WAIT_TIMEOUT_S,
    EdgeFleet,
    run_with_fleet,
    wait_for_event,
    wait_for_version,
)

RECEIVE_PERIOD_S = 0.3


async def _send_raw(fleet: EdgeFleet, data: bytes) -> bytes:
    """Sends bytes on a new connection; returns the data received on it."""
    received = b""
    port = fleet.ports["callers"]
    async with await anyio.connect_tcp(HOSTS[0], port) as stream:
        await stream.send(data)
        with anyio.move_on_after(RECEIVE_PERIOD_S):
            while True:
                try:
                    received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    break
    return received


def _make_request(attempt: str, *headers: str, body: bytes = b"") -> bytes:
    lines = [
        "POST /orders/1 HTTP/1.1",
        "Host: shop.example",
        "Authorization: Token key-1",
        f"{wire.ATTEMPT_ID}: {attempt}",
        *headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


SMUGGLED_REQUEST = _make_request("smuggled", "Content-Length: 0")
CHUNKED_SMUGGLED_REQUEST = b"0\r\n\r\n" + SMUGGLED_REQUEST


class SmugglingTest(unittest.TestCase):
    """Bodies whose length two parsers could interpret differently."""

    def test_request_inside_a_body_never_runs(self) -> None:
        """Guards against a run that no caller requested."""
        outer_requests = (
            _make_request(
                "outer-1",
                "Content-Length: 5",
                "Transfer-Encoding: chunked",
                body=CHUNKED_SMUGGLED_REQUEST,
            ),
            _make_request(
                "outer-2",
                "Transfer-Encoding: chunked",
                "Content-Length: 5",
                body=CHUNKED_SMUGGLED_REQUEST,
            ),
            _make_request(
                "outer-3",
                f"Content-Length: {len(SMUGGLED_REQUEST)}",
                "Content-Length: 0",
                body=SMUGGLED_REQUEST,
            ),
            _make_request(
                "outer-4",
                "Transfer-Encoding: xchunked",
                f"Content-Length: {len(SMUGGLED_REQUEST)}",
                body=SMUGGLED_REQUEST,
            ),
            _make_request(
                "outer-5",
                "Transfer-Encoding : chunked",
                f"Content-Length: {len(SMUGGLED_REQUEST)}",
                body=CHUNKED_SMUGGLED_REQUEST,
            ),
            _make_request(
                "outer-6",
                f"Content-Length: +{len(SMUGGLED_REQUEST)}",
                body=SMUGGLED_REQUEST,
            ),
        )

        async def check(fleet: EdgeFleet) -> None:
            fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            for data in outer_requests:
                await _send_raw(fleet, data)
            assert "smuggled" not in fleet.target.started_attempts

        run_with_fleet(check)

    def test_request_inside_a_valid_body_is_not_run(self) -> None:
        """Guards against parsing a body as the next request."""

        async def check(fleet: EdgeFleet) -> None:
            fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            length = f"Content-Length: {len(SMUGGLED_REQUEST)}"
            data = _make_request("outer", length, body=SMUGGLED_REQUEST)
            answer = await _send_raw(fleet, data)
            assert answer.startswith(b"HTTP/1.1 200")
            assert fleet.target.started_attempts == ["outer"]

        run_with_fleet(check)


class RecoveryTest(unittest.TestCase):
    """Processes that restart."""

    def test_all_killed_at_once_serve_again(self) -> None:
        """Guards against required state that only the killed processes had."""

        async def check(fleet: EdgeFleet) -> None:
            children = [fleet.spawn(host) for host in HOSTS]
            for host in HOSTS:
                await fleet.wait_ready(host)
            for child in children:
                child.kill()
            for child in children:
                await anyio.to_thread.run_sync(child.wait, WAIT_TIMEOUT_S)
            for host in HOSTS:
                fleet.spawn(host)
            for number, host in enumerate(HOSTS):
                await fleet.wait_ready(host)
                path = "/orders/1"
                answer = await fleet.call(host, path, f"a{number}")
                assert answer.status == 200

        run_with_fleet(check)

    def test_process_without_configuration_is_not_ready(self) -> None:
        """Guards against a 404 for routes that this process has not loaded."""

        async def check(fleet: EdgeFleet) -> None:
            child = fleet.spawn(
                HOSTS[0], platform={"address": "127.0.0.1:9"}, seeds=[]
            )
            await wait_for_event(child, "platform-unreachable")
            url = f"http://{HOSTS[0]}:{fleet.ports['health']}{wire.READY_PATH}"
            response = await fleet.client.request("GET", url)
            assert response.status == 503
            answer = await fleet.call(HOSTS[0], "/orders/1", "a1")
            assert answer.status == 503
            assert b"retry-after" in {n.lower() for n, _ in answer.headers}

        run_with_fleet(check)


@asynccontextmanager
async def _open_stream(
    fleet: EdgeFleet, attempt: str
) -> AsyncIterator[httpcore.Response]:
    """Opens an event stream of the target."""
    url = f"http://{HOSTS[0]}:{fleet.ports['callers']}/quotes/1"
    headers = {
        "Host": "shop.example",
        "Authorization": "Token key-1",
        wire.ATTEMPT_ID: attempt,
    }
    async with fleet.client.stream("POST", url, headers=headers) as response:
        assert response.status == 200
        yield response


class PlannedWorkTest(unittest.TestCase):
    """Reloads and changes of the configuration during requests."""

    def test_reload_cuts_no_stream(self) -> None:
        """Guards against answers broken by a reload of the settings."""

        async def check(fleet: EdgeFleet) -> None:
            fleet.target.delay_s, fleet.target.event_count = 0.1, 10
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            async with _open_stream(fleet, "a1") as response:
                os.kill(child.pid, signal.SIGHUP)
                await wait_for_event(child, "settings-reloaded")
                body = await response.aread()
            assert body.count(b"\n\n") == 10

        run_with_fleet(check)

    def test_dropped_route_cuts_no_stream(self) -> None:
        """Guards against ending streams of a route that was removed later."""

        async def check(fleet: EdgeFleet) -> None:
            fleet.target.delay_s, fleet.target.event_count = 0.1, 10
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            async with _open_stream(fleet, "a1") as response:
                fleet.store.put(
                    "op/config",
                    {**CONFIG, "version": 9, "routes": [CONFIG["routes"][1]]},
                )
                await wait_for_version(child, 9)
                answer = await fleet.call(HOSTS[0], "/quotes/1", "a2")
                assert answer.status == 404
                body = await response.aread()
            assert body.count(b"\n\n") == 10

        run_with_fleet(check)

    def test_revoked_key_is_refused_on_a_kept_connection(self) -> None:
        """Guards against a key that is checked only once per connection."""

        async def check(fleet: EdgeFleet) -> None:
            child = fleet.spawn(HOSTS[0])
            await fleet.wait_ready(HOSTS[0])
            port = fleet.ports["callers"]
            async with await anyio.connect_tcp(HOSTS[0], port) as stream:
                length = "Content-Length: 0"
                await stream.send(_make_request("a1", length))
                assert b" 200 " in await _receive_answer(stream)
                accounts = [{**CONFIG["tenants"][0], "api_keys": ["other"]}]
                fleet.store.put(
                    "op/config", {**CONFIG, "version": 9, "tenants": accounts}
                )
                await wait_for_version(child, 9)
                await stream.send(_make_request("a2", length))
                assert b" 401 " in await _receive_answer(stream)
            assert fleet.target.started_attempts == ["a1"]

        run_with_fleet(check)


async def _receive_answer(stream: SocketStream) -> bytes:
    """Receives the first data, and what follows within RECEIVE_PERIOD_S."""
    received = await stream.receive()
    with anyio.move_on_after(RECEIVE_PERIOD_S):
        while True:
            received += await stream.receive()
    return received
