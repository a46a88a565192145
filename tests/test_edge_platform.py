"""Tests of the adapter for the users' platform."""

import base64
import contextlib
import dataclasses
import json
import pathlib
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import yaml
from anyio.abc import SocketAttribute, SocketStream
from result import Err, Ok

from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.answers import ByteBudget
from peridotbend.domain.ports import CallError, CallFailure
from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason, Verdict
from peridotbend.edge.config import RouteKind
from peridotbend.edge.ports import Rejection, Reply, StoreFailure, TargetSend
from peridotbend.platform import wire
from peridotbend.platform.documents import decode_config, decode_target
from peridotbend.platform.ingress import (
    BodyBytes,
    decode_call,
    judge_status,
)
from peridotbend.platform.runners import RunnerClient
from peridotbend.platform.settings import load_settings, parse_settings
from peridotbend.platform.store import StoreClient
from tests.edgefakes import CALL, TARGET

SOURCES = pathlib.Path(__file__).parent.parent / "src"
SETTINGS_FILE: dict[str, Any] = {
    "node_name": "edge-a-1",
    "ip": "10.1.0.25",
    "zone": "zone-a",
    "listen": {
        "frontend": "10.1.0.25:8221",
        "ready": "10.1.0.25:8224",
        "control_plane": "10.1.0.25:8229",
    },
    "internal_ports": [7600, 7615],
    "seeds": ["10.1.0.25:8229", "10.2.0.17:8229"],
    "limits": {"max_fds": 4100},
    "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2},
    "platform": {"address": "10.200.1.7:8225"},
    "a_new_field": {"anything": None},
}
ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "shop.example",
    "path_prefix": "/quotes/",
    "route_kind": "streaming",
    "timeout_ms": 15000,
    "goal_ms": 800,
    "priority": 0,
    "split": [
        {"service": "engine", "weight": 90},
        {"service": "other", "weight": 10},
    ],
    "max_attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gap_goal_ms": 400,
}
DOCUMENT: dict[str, Any] = {
    "version": 7,
    "routes": [
        ROUTE,
        {
            "name": "r-2",
            "host": "shop.example",
            "path_prefix": "/quotes/fast/",
            "route_kind": "idempotent",
            "timeout_ms": 800,
            "service": "shop",
        },
    ],
    "services": [
        {"name": "engine", "max_conns": 370, "engine": {"slots": 11}},
        {"name": "shop", "max_conns": 110},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "acme",
            "api_keys": ["key-1", "key-2"],
            "priority": 1,
            "uncached_tokens": 200,
            "rate_per_s": 93693,
            "burst": 93693,
        }
    ],
}
ENTRY: dict[str, Any] = {
    "service": "engine",
    "address": "10.128.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 11,
    "state": "ready",
    "born": 1_782_800_000_000,
}


def _encode(document: object) -> bytes:
    return json.dumps(document).encode()


class SettingsFileTest(unittest.TestCase):
    """The settings file of the platform."""

    def test_fields_are_read_and_new_ones_ignored(self) -> None:
        """Guards against a start that fails when the platform adds fields."""
        settings = parse_settings(yaml.safe_dump(SETTINGS_FILE)).unwrap()
        assert settings.callers == ("10.1.0.25", 8_221)
        assert settings.seeds[1] == ("10.2.0.17", 8_229)
        assert settings.grace_ms == 8_000
        assert settings.resend_share == 0.2

    def test_problem_names_the_field(self) -> None:
        """Guards against an error that leaves operators searching."""
        for field, value, expected in (
            ("ip", None, "ip: missing"),
            ("internal_ports", [7600], "internal_ports"),
            ("listen", {"frontend": "nowhere"}, "frontend"),
            ("bounds", {"grace_s": "long"}, "bounds.grace_s"),
        ):
            document = {**SETTINGS_FILE, field: value}
            problem = parse_settings(yaml.safe_dump(document)).unwrap_err()
            assert expected in problem, problem

    def test_unreadable_file_is_a_problem_and_no_crash(self) -> None:
        """Guards against a traceback in place of a message."""
        assert "cannot read" in load_settings("/nowhere/x").unwrap_err()


class ConfigDocumentTest(unittest.TestCase):
    """The configuration in the store."""

    def test_longest_prefix_decides(self) -> None:
        """Guards against requests that reach the service of a shorter one."""
        config = decode_config(_encode(DOCUMENT)).unwrap()
        route = config.find_route("SHOP.example", "/quotes/fast/2f")
        assert route is not None
        assert route.name == "r-2"
        assert route.kind is RouteKind.IDEMPOTENT
        route = config.find_route("shop.example", "/quotes/faster")
        assert route is not None
        assert route.name == "r-1"
        assert [share.weight for share in route.services] == [90, 10]
        assert config.find_route("shop.example", "/quotes") is None
        assert config.find_route("other.example", "/quotes/1") is None

    def test_keys_name_accounts(self) -> None:
        """Guards against requests counted for another account."""
        config = decode_config(_encode(DOCUMENT)).unwrap()
        account = config.find_account("key-2")
        assert account is not None
        assert account.name == "acme"
        assert account.tokens_per_s == 93_693
        assert config.find_account("") is None

    def test_damaged_configuration_is_refused_with_the_field(self) -> None:
        """Guards against half a configuration in force."""
        for change, expected in (
            ({"version": "7"}, "version"),
            ({"routes": [{**ROUTE, "route_kind": "x"}]}, "route_kind"),
            ({"routes": None}, "routes"),
            ({"limits": []}, "limits"),
        ):
            result = decode_config(_encode({**DOCUMENT, **change}))
            assert isinstance(result, Err)
            assert expected in result.err_value
        assert isinstance(decode_config(b"\xff"), Err)
        assert isinstance(decode_config(b"[" * 100_000), Err)


class TargetEntryTest(unittest.TestCase):
    """Entries of targets."""

    def test_entry_names_a_target(self) -> None:
        """Guards against a target at the wrong address."""
        target = decode_target("i-1", _encode(ENTRY)).unwrap()
        assert (target.host, target.port) == ("10.128.0.9", 8080)
        assert target.slots == 11
        assert not target.is_leaving

    def test_entries_of_other_writers_name_no_target(self) -> None:
        """Guards against one foreign entry that ends the list."""
        for change in (
            {"state": "sleeping"},
            {"slots": "many"},
            {"slots": True},
            {"slots": 1.5},
            {"address": 9},
            {"address": "10.0.0.1"},
            {"service": None},
            {"born": 12.5},
        ):
            result = decode_target("i-1", _encode({**ENTRY, **change}))
            assert isinstance(result, Err), change
        for body in (b"", b"null", b"\x80", b'"text"'):
            assert isinstance(decode_target("i-1", body), Err)


class CallerHeadersTest(unittest.TestCase):
    """What a caller sends, as a call."""

    def _decode(self, *headers: tuple[str, str]) -> Any:
        scope = {
            "method": "POST",
            "raw_path": b"/quotes/%2F/2f",
            "query_string": b"a=1&b",
            "headers": [
                (name.encode(), value.encode()) for name, value in headers
            ],
        }
        return decode_call(scope, b"body")

    def test_request_is_passed_on_as_it_came(self) -> None:
        """Guards against a changed path or query."""
        call = self._decode(
            ("host", "shop.example:80"),
            (wire.ATTEMPT_ID, "a1"),
            ("authorization", "Token key-1"),
            (wire.TOKEN_COUNT, "1460,80"),
            (wire.PROMPT_PREFIX, "5c1e:800,e440:250"),
            (wire.DEADLINE_MS, "12000"),
            ("x-model", "m"),
        )
        assert call.path == "/quotes/%2F/2f?a=1&b"
        assert call.host == "shop.example"
        assert call.key == "key-1"
        assert (call.prompt_tokens, call.max_output_tokens) == (1460, 80)
        assert call.session == "e440"
        assert call.deadline_ms == 12_000
        assert ("x-model", "m") in call.headers
        assert ("host", "shop.example:80") in call.headers

    def test_headers_of_the_system_are_taken_out(self) -> None:
        """Guards against callers that reserve memory or name their account.

        A handle that a runner does not know also makes it reject the request.
        """
        for name in (*wire.SYSTEM_HEADERS, "authorization"):
            call = self._decode((wire.ATTEMPT_ID, "a1"), (name, "1"))
            assert name not in dict(call.headers), name

    def test_headers_of_one_connection_stay_on_it(self) -> None:
        """Guards against a body framed twice, which smuggles a request."""
        call = self._decode(
            (wire.ATTEMPT_ID, "a1"),
            ("connection", "close, X-Hop"),
            ("x-hop", "1"),
            ("transfer-encoding", "chunked"),
            ("content-length", "4"),
            ("te", "trailers"),
        )
        assert call.headers == ()

    def test_call_without_an_attempt_is_none(self) -> None:
        """Guards against runs that no caller can recognise."""
        assert self._decode(("host", "shop.example")) is None

    def test_unreadable_numbers_count_as_not_told(self) -> None:
        """Guards against a crash on what a caller may send."""
        call = self._decode(
            (wire.ATTEMPT_ID, "a1"),
            (wire.TOKEN_COUNT, "many,1"),
            (wire.DEADLINE_MS, "nan"),
        )
        assert call.prompt_tokens is None
        assert call.deadline_ms is None


class BodyTest(unittest.TestCase):
    """Memory that the bodies of callers take."""

    def test_bounds_of_one_body_and_of_all(self) -> None:
        """Guards against callers who together exhaust the memory."""
        budget = ByteBudget(100)
        first, second = BodyBytes(budget, 80), BodyBytes(budget, 80)
        assert first.take(60) is None
        assert first.take(30) == NotRun(Reason.TOO_LARGE)
        assert second.take(60) == NotRun(Reason.AT_CAPACITY)
        first.release()
        assert second.take(60) is None
        second.release()
        assert budget.used_bytes == 0


class StatusTest(unittest.TestCase):
    """The status of a refusal."""

    def test_only_what_never_runs_is_promised(self) -> None:
        """Guards against a 503 for a request that may have run."""
        promises = {408, 421, 429, 503}
        for reason in Reason:
            status, _ = judge_status(MayHaveRun(reason))
            assert status not in promises, reason
        for reason in (Reason.SHED, Reason.DEADLINE, Reason.NO_TEXT):
            verdict: Verdict = NotRun(reason)
            status, retry_after_ms = judge_status(verdict)
            assert status == 503
            assert retry_after_ms > 0

    def test_allowance_and_unknown_key(self) -> None:
        """Guards against statuses that make callers give up or go on."""
        assert judge_status(NotRun(Reason.CLIENT_LIMIT, 900)) == (429, 900)
        assert judge_status(NotRun(Reason.UNKNOWN_KEY))[0] == 401
        assert judge_status(NotRun(Reason.UNKNOWN_KIND))[0] == 404


Handler = Callable[[SocketStream, bytes], Awaitable[None]]


async def _serve_raw(
    answer: Handler, check: Callable[[int], Awaitable[None]]
) -> None:
    """Runs a check against a server that answers raw requests."""

    async def serve(stream: SocketStream) -> None:
        request = b""
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    request += await stream.receive()
                    if b"\r\n\r\n" in request:
                        await answer(stream, request)
                        request = b""

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        await check(port)
        tasks.cancel_scope.cancel()


def _make_answer(status: str, body: bytes, *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class StoreClientTest(unittest.TestCase):
    """Calls to the store."""

    def _run(
        self,
        answer: Handler,
        check: Callable[[StoreClient], Awaitable[None]],
    ) -> None:
        async def connect(port: int) -> None:
            client = HttpTargetClient()
            await check(StoreClient(("127.0.0.1", port), client))
            await client.aclose()

        anyio.run(_serve_raw, answer, connect)

    def test_all_pages_are_read(self) -> None:
        """Guards against targets missing that stand on the second page."""

        async def answer(stream: SocketStream, request: bytes) -> None:
            second = b"after=servers%2Fa" in request
            key = "servers/b" if second else "servers/a"
            item = {
                "key": key,
                "value": base64.b64encode(b"{}").decode(),
                "revision": 5,
            }
            page = {
                "items": [item],
                "has_more": not second,
                "store_revision": 9 if second else 8,
            }
            await stream.send(_make_answer("200 OK", _encode(page)))

        async def check(store: StoreClient) -> None:
            changes = (
                await store.read_prefix("servers/").list_items()
            ).unwrap()
            assert [item.key for item in changes.items] == [
                "servers/a",
                "servers/b",
            ]
            # Pages are no snapshot: what changed between them comes again.
            assert changes.revision == 8
            assert changes.is_whole

        self._run(answer, check)

    def test_deletions_and_lost_history(self) -> None:
        """Guards against gone targets that stay, and a watch stuck on 410."""
        answers = [
            _make_answer(
                "200 OK",
                _encode(
                    {
                        "events": [
                            {"key": "servers/a", "revision": 7, "deleted": True}
                        ],
                        "store_revision": 7,
                    }
                ),
            ),
            _make_answer("410 Gone", b"{}"),
            _make_answer("503 Service Unavailable", b""),
            _make_answer("200 OK", b"<html>"),
        ]

        async def answer(stream: SocketStream, request: bytes) -> None:
            await stream.send(answers.pop(0))

        async def check(store: StoreClient) -> None:
            reader = store.read_prefix("servers/")
            changes = (await reader.watch(3, 1_000)).unwrap()
            assert changes.items[0].value is None
            for failure in (
                StoreFailure.COMPACTED,
                StoreFailure.BUSY,
                StoreFailure.BAD_ANSWER,
            ):
                error = (await reader.watch(7, 1_000)).unwrap_err()
                assert error.failure is failure

        self._run(answer, check)

    def test_lost_answer_ends_by_the_timeout(self) -> None:
        """Guards against a channel that returns nothing for ever."""

        async def answer(stream: SocketStream, request: bytes) -> None:
            await anyio.sleep_forever()

        async def check(store: StoreClient) -> None:
            got = await store.get(wire.RANGE_CALL, {}, 0.05)
            assert got.unwrap_err().failure is StoreFailure.UNREACHABLE

        self._run(answer, check)


class RunnerClientTest(unittest.TestCase):
    """Sends to targets."""

    def _send(self, raw: bytes) -> tuple[Reply | None, list[Any], bytes]:
        seen: list[bytes] = []
        replies: list[Reply] = []
        chunks: list[Any] = []

        async def answer(stream: SocketStream, request: bytes) -> None:
            seen.append(request)
            await stream.send(raw)

        async def check(port: int) -> None:
            client = HttpTargetClient()
            target = dataclasses.replace(TARGET, port=port)
            send = TargetSend(CALL, target, "acme", 1_500, "4", False)
            async with RunnerClient(client).open(send, lambda: True) as reply:
                replies.append(reply)
                if not isinstance(reply, Rejection | CallError):
                    async for chunk in reply.chunks():
                        chunks.append(chunk)
            await client.aclose()

        anyio.run(_serve_raw, answer, check)
        return replies[0], chunks, seen[0]

    def test_target_is_told_what_it_needs_and_no_more(self) -> None:
        """Guards against a key that leaves the system, or a missing name."""
        raw = _make_answer(
            "200 OK", b"x", f"{wire.ATTEMPT_ID}: attempt-1", "X-Server-Stamp: s"
        )
        reply, chunks, seen = self._send(raw)
        assert not isinstance(reply, Rejection | CallError)
        assert chunks == [Ok(b"x")]
        lines = seen.decode().lower().split("\r\n")
        for expected in (
            "x-attempt-id: attempt-1",
            "x-expect-instance: i-1",
            "x-tenant: acme",
            "x-deadline-ms: 1500",
            "last-event-id: 4",
            "host: shop.example",
        ):
            assert lines.count(expected) == 1, expected
        assert "key-1" not in seen.decode()

    def test_rejections_are_told_from_runs(self) -> None:
        """Guards against "not run" for a 503 that a run ended with."""
        own = f"{wire.ATTEMPT_ID}: attempt-1"
        stamp = "X-Server-Stamp: s"
        reply, _, _ = self._send(
            _make_answer("503 Busy", b"", "X-Not-Executed: 1")
        )
        assert reply is Rejection.UNAVAILABLE
        reply, _, _ = self._send(_make_answer("421 Misdirected", b""))
        assert reply is Rejection.MISDIRECTED
        reply, _, _ = self._send(_make_answer("503 Busy", b"", own, stamp))
        assert not isinstance(reply, Rejection | CallError)

    def test_port_without_a_listener_is_told_from_a_silent_host(self) -> None:
        """Guards against a cut that is taken for a crash, or the reverse."""

        async def run() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            await listener.aclose()
            client = HttpTargetClient()
            target = dataclasses.replace(TARGET, port=port)
            for reuse in (False, True):
                send = TargetSend(CALL, target, "acme", 1_500, "", reuse)
                async with RunnerClient(client).open(
                    send, lambda: True
                ) as reply:
                    assert isinstance(reply, CallError)
                    assert reply.failure is CallFailure.REFUSED
                    assert not reply.written
            await client.aclose()

        anyio.run(run)

    def test_answers_of_others_are_not_taken(self) -> None:
        """Guards against answers that crossed or were made up on the way."""
        stamp = "X-Server-Stamp: s"
        other = f"{wire.ATTEMPT_ID}: attempt-0"
        own = f"{wire.ATTEMPT_ID}: attempt-1"
        for headers in (
            (other, stamp),
            (stamp,),
            (own,),
            (own, stamp, "Content-Encoding: gzip"),
            (other, "X-Not-Executed: 1"),
        ):
            reply, _, _ = self._send(_make_answer("200 OK", b"x", *headers))
            assert isinstance(reply, CallError), headers
            assert reply.failure is CallFailure.BROKEN
            assert reply.written


class EarlyAnswerTest(unittest.TestCase):
    """Targets that answer before they have read a long body."""

    def test_rest_of_a_body_is_followed_by_no_other_bytes(self) -> None:
        """Guards against a next request in the place of the rest of a body."""
        body = b"a" * 2_000_000
        seen: list[bytes] = []
        statuses: list[Reply] = []

        async def serve(stream: SocketStream) -> None:
            data = bytearray()
            async with stream:
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    while True:
                        while b"\r\n\r\n" not in data:
                            data += await stream.receive()
                        head, _, rest = bytes(data).partition(b"\r\n\r\n")
                        seen.append(head)
                        rejected = "X-Not-Executed: 1"
                        await stream.send(
                            _make_answer("503 Busy", b"", rejected)
                        )
                        while len(rest) < len(body):
                            rest += await stream.receive()
                        seen.append(rest[: len(body)])
                        data = bytearray(rest[len(body) :])

        async def run() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            client = HttpTargetClient()
            target = dataclasses.replace(TARGET, port=port)
            call = dataclasses.replace(CALL, body=body)
            send = TargetSend(call, target, "acme", 5_000, "", True)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                for _ in range(3):
                    runner = RunnerClient(client)
                    async with runner.open(send, lambda: True) as reply:
                        statuses.append(reply)
                await client.aclose()
                tasks.cancel_scope.cancel()

        anyio.run(run)
        assert statuses == [Rejection.UNAVAILABLE] * 3
        for part in seen:
            assert part.startswith(b"POST ") or part == body, part[:80]


class BoundaryTest(unittest.TestCase):
    """The platform's names stay in the adapter."""

    def test_no_wire_name_stands_outside(self) -> None:
        """Guards against decisions that depend on how the platform speaks."""
        names = [*wire.HEADERS, *wire.CALLS, *wire.KEYS]
        names += ["route_kind", "path_prefix", "goal_ms", "api_keys"]
        allowed = {"op/", "goal_ms", "path_prefix"}
        for path in sorted(SOURCES.rglob("*.py")):
            if "platform" in path.parent.name:
                continue
            text = path.read_text(encoding="utf-8").lower()
            for name in names:
                if name in allowed:
                    # Also words of the project itself.
                    continue
                assert f'"{name.lower()}' not in text, (path, name)
