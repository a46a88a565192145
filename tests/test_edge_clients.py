"""Tests of the clients of the store and of targets, on TCP connections."""

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream
from result import Ok

from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.daemon import BACKEND_OPTIONS
from peridotbend.domain.ports import (
    AnswerHead,
    CallError,
    CallFailure,
    TargetCall,
)
from peridotbend.edge.ports import (
    EdgeCall,
    Rejection,
    Reply,
    StoreFailure,
    TargetSend,
)
from peridotbend.edge.published import Position
from peridotbend.platform import wire
from peridotbend.platform.documents import read_target_order
from peridotbend.platform.reach import is_target_answer
from peridotbend.platform.runners import PlatformTargetClient
from peridotbend.platform.store import MAX_ANSWER_BYTES, StoreClient
from tests.edgefakes import CALL, TARGET, RelayHarness, ScriptedReply
from tests.test_edge_platform import encode_document

RawHandler = Callable[[SocketStream, bytes], Awaitable[None]]


async def _serve_raw(
    answer: RawHandler, check: Callable[[int], Awaitable[None]]
) -> None:
    """Runs a check against a TCP server that answers raw requests."""

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

    def _run_store_check(
        self,
        answer: RawHandler,
        check: Callable[[StoreClient], Awaitable[None]],
    ) -> None:
        async def connect(port: int) -> None:
            client = HttpTargetClient()
            await check(StoreClient(("127.0.0.1", port), client))
            await client.aclose()

        anyio.run(_serve_raw, answer, connect)

    def test_all_pages_are_read(self) -> None:
        """Guards against omitting the targets on the second page."""

        async def answer(stream: SocketStream, request: bytes) -> None:
            is_second_page = b"after=servers%2Fa" in request
            key = "servers/b" if is_second_page else "servers/a"
            item = {
                "key": key,
                "value": base64.b64encode(b"{}").decode(),
                "revision": 5,
            }
            page = {
                "items": [item],
                "has_more": not is_second_page,
                "store_revision": 9 if is_second_page else 8,
            }
            await stream.send(_make_answer("200 OK", encode_document(page)))

        async def check(store: StoreClient) -> None:
            changes = (
                await store.make_prefix_reader(
                    "servers/", read_target_order
                ).list_items()
            ).unwrap()
            assert [item.key for item in changes.items] == [
                "servers/a",
                "servers/b",
            ]
            # The pages are not a snapshot. The lowest revision is used, so that
            # changes made between them are watched again.
            assert changes.position == Position(0, 8)
            assert changes.is_whole

        self._run_store_check(answer, check)

    def test_deletions_and_lost_history(self) -> None:
        """Guards against keeping deleted targets, and a watch stuck on 410."""
        answers = [
            _make_answer(
                "200 OK",
                encode_document(
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
            reader = store.make_prefix_reader("servers/", read_target_order)
            changes = (await reader.watch(3, 1_000)).unwrap()
            assert changes.items[0].value is None
            for failure in (
                StoreFailure.COMPACTED,
                StoreFailure.BUSY,
                StoreFailure.BAD_ANSWER,
            ):
                error = (await reader.watch(7, 1_000)).unwrap_err()
                assert error.failure is failure

        self._run_store_check(answer, check)

    def test_silent_connections_fail_one_call_only(self) -> None:
        """Guards against one timeout for each connection that went silent."""
        silent: set[int] = set()
        answered: list[int] = []

        async def answer(stream: SocketStream, request: bytes) -> None:
            if id(stream) in silent:
                return
            answered.append(id(stream))
            # Calls overlap, so that each uses a connection of its own.
            await anyio.sleep(0.05)
            page = encode_document({"events": [], "store_revision": 9})
            await stream.send(_make_answer("200 OK", page))

        async def check(store: StoreClient) -> None:
            reader = store.make_prefix_reader("op/", read_target_order)
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(reader.watch, 7, 0)
            assert len(set(answered)) == 3
            silent.update(answered)
            assert (await reader.watch(7, 0)).is_err()
            assert (await reader.watch(7, 0)).is_ok()

        self._run_store_check(answer, check)

    def test_history_that_is_too_large_is_told_apart(self) -> None:
        """Guards against a watch that is repeated from the same revision."""

        async def answer(stream: SocketStream, request: bytes) -> None:
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(
                    _make_answer("200 OK", b" " * (MAX_ANSWER_BYTES + 1))
                )

        async def check(store: StoreClient) -> None:
            reader = store.make_prefix_reader("op/", read_target_order)
            error = (await reader.watch(7, 0)).unwrap_err()
            assert error.failure is StoreFailure.TOO_LARGE

        self._run_store_check(answer, check)

    def test_odd_entry_does_not_hide_the_others(self) -> None:
        """Guards against a list that nobody can follow any more."""
        documents: dict[str, Any] = {
            "servers/a": {"sequence": 4},
            "servers/b": {"sequence": 10**400},
            "servers/\ud800": {"sequence": 5},
        }
        page = {
            "items": [
                {
                    "key": key,
                    "value": base64.b64encode(encode_document(value)).decode(),
                    "revision": 5,
                }
                for key, value in documents.items()
            ],
            "store_revision": 9,
        }

        async def answer(stream: SocketStream, request: bytes) -> None:
            await stream.send(_make_answer("200 OK", encode_document(page)))

        async def check(store: StoreClient) -> None:
            reader = store.make_prefix_reader("servers/", read_target_order)
            items = (await reader.list_items()).unwrap().items
            assert [item.order for item in items] == [(0, 4), (0, 0), (0, 5)]
            for item in items:
                # Peers get the keys as text.
                item.key.encode()

        self._run_store_check(answer, check)

    def test_malformed_pages_are_errors(self) -> None:
        """Guards against a value of the store that ends the process.

        Peers exchange revisions in 64 bits.
        """
        item = {"key": "servers/a", "value": "e30=", "revision": 5}
        numbers = (-1, 2**63, 10**400, True, 1.5, "5", None)
        bad_items = [
            item | {"value": value}
            for value in ("é", "e3\u00b2=", "\ud800", "e", "e30", " ", 5, None)
        ]
        bad_items += [item | {"revision": number} for number in numbers]
        bad_items += [item | {"key": key} for key in (5, None, [])]
        bad_items += [{}, {"key": "servers/a", "revision": 5}]
        pages: list[object] = [
            {"items": [bad], "store_revision": 9} for bad in bad_items
        ]
        pages += [
            {"items": [item], "store_revision": number} for number in numbers
        ]
        pages += [[], 5, {}, {"items": 5, "store_revision": 9}]
        pages.append({"items": [5, [], None], "store_revision": 9})
        remaining = iter(pages)

        async def answer(stream: SocketStream, request: bytes) -> None:
            body = encode_document(next(remaining))
            await stream.send(_make_answer("200 OK", body))

        async def check(store: StoreClient) -> None:
            reader = store.make_prefix_reader("servers/", read_target_order)
            for page in pages:
                with self.subTest(page=str(page)[:80]):
                    error = (await reader.list_items()).unwrap_err()
                    assert error.failure is StoreFailure.BAD_ANSWER

        self._run_store_check(answer, check)

    def test_era_of_an_answer_is_read(self) -> None:
        """Guards against a restore of the store that nobody notices."""
        entry = {"born": 1_700_000_000_000, "sequence": 32}
        page = {
            "items": [
                {
                    "key": "servers/a",
                    "value": base64.b64encode(encode_document(entry)).decode(),
                    "revision": 5,
                }
            ],
            "has_more": False,
            "store_revision": 9,
        }
        body = encode_document(page)
        eras = ["Store-Era: 3", "store-era: 4", "X: 1", "Store-Era: new"]
        answers = [_make_answer("200 OK", body, era) for era in eras]

        async def answer(stream: SocketStream, request: bytes) -> None:
            await stream.send(answers.pop(0))

        async def check(store: StoreClient) -> None:
            reader = store.make_prefix_reader("servers/", read_target_order)
            for era in (3, 4, 0):
                changes = (await reader.list_items()).unwrap()
                assert changes.position == Position(era, 9)
                assert changes.items[0].position == Position(era, 5)
                assert changes.items[0].order == (1_700_000_000_000, 32)
            error = (await reader.list_items()).unwrap_err()
            assert error.failure is StoreFailure.BAD_ANSWER

        self._run_store_check(answer, check)

    def test_pages_of_two_eras_are_no_listing(self) -> None:
        """Guards against a listing that mixes two histories."""
        item = {
            "key": "servers/a",
            "value": base64.b64encode(b"{}").decode(),
            "revision": 5,
        }
        page = {"items": [item], "has_more": True, "store_revision": 9}
        body = encode_document(page)
        answers = [
            _make_answer("200 OK", body, f"Store-Era: {era}") for era in (3, 4)
        ]

        async def answer(stream: SocketStream, request: bytes) -> None:
            await stream.send(answers.pop(0))

        async def check(store: StoreClient) -> None:
            reader = store.make_prefix_reader("servers/", read_target_order)
            error = (await reader.list_items()).unwrap_err()
            assert error.failure is StoreFailure.BAD_ANSWER
            assert "restored" in error.detail

        self._run_store_check(answer, check)

    def test_lost_answer_ends_at_the_timeout(self) -> None:
        """Guards against a call that waits forever for a lost answer."""

        async def answer(stream: SocketStream, request: bytes) -> None:
            await anyio.sleep_forever()

        async def check(store: StoreClient) -> None:
            result = await store.get(wire.RANGE_CALL, {}, 0.05)
            assert result.unwrap_err().failure is StoreFailure.UNREACHABLE

        self._run_store_check(answer, check)


class RunnerClientTest(unittest.TestCase):
    """Sends to targets."""

    def setUp(self) -> None:
        """Starts with no limit named."""
        self.limits: list[float | None] = []
        self.brittle: list[float | None] = []

    def _send(self, raw_answer: bytes) -> tuple[Reply | None, list[Any], bytes]:
        received: list[bytes] = []
        replies: list[Reply] = []
        chunks: list[Any] = []

        async def answer(stream: SocketStream, request: bytes) -> None:
            received.append(request)
            await stream.send(raw_answer)

        async def check(port: int) -> None:
            client = HttpTargetClient()
            target = dataclasses.replace(TARGET, port=port)
            send = TargetSend(
                CALL,
                target,
                "acme",
                1_500,
                "4",
                False,
                self.limits.append,
                self.brittle.append,
            )
            async with PlatformTargetClient(client).open(
                send, lambda: True
            ) as reply:
                replies.append(reply)
                if not isinstance(reply, Rejection | CallError):
                    async for chunk in reply.chunks():
                        chunks.append(chunk)
            await client.aclose()

        anyio.run(_serve_raw, answer, check)
        return replies[0], chunks, received[0]

    def test_limit_is_read_from_answers_and_rejections(self) -> None:
        """Guards against a limit that only complete answers make known."""
        own = (f"{wire.ATTEMPT_ID}: attempt-1", "X-Server-Stamp: s")
        named = f"{wire.SERVER_LIMIT}: 2.5"
        rejected = f"{wire.NOT_EXECUTED}: full"
        self._send(_make_answer("200 OK", b"x", *own, named))
        self._send(_make_answer("503 Busy", b"", *own, named, rejected))
        self._send(_make_answer("200 OK", b"x", *own))
        unreadable = f"{wire.SERVER_LIMIT}: few"
        self._send(_make_answer("200 OK", b"x", *own, unreadable))
        assert self.limits == [2.5, 2.5, None, None]

    def test_brittleness_is_read_from_answers_and_rejections(self) -> None:
        """Guards against rejections that tell nothing of what is survived."""
        own = (f"{wire.ATTEMPT_ID}: attempt-1", "X-Server-Stamp: s")
        named = f"{wire.SERVER_BRITTLE}: 6"
        rejected = f"{wire.NOT_EXECUTED}: full"
        self._send(_make_answer("200 OK", b"x", *own, named))
        self._send(_make_answer("503 Busy", b"", *own, named, rejected))
        self._send(_make_answer("200 OK", b"x", *own))
        for unreadable in ("nan", "-1", "inf", "9" * 400):
            header = f"{wire.SERVER_BRITTLE}: {unreadable}"
            self._send(_make_answer("200 OK", b"x", *own, header))
        assert self.brittle == [6.0, 6.0, None, None, None, None, None]
        assert self.limits == [None] * 7

    def test_limit_of_another_target_is_not_read(self) -> None:
        """Guards against the limit of a process that took over an address."""
        named = f"{wire.SERVER_LIMIT}: 2.5"
        other = f"{wire.ATTEMPT_ID}: attempt-9"
        self._send(_make_answer("200 OK", b"x", other, named))
        self._send(_make_answer("421 Misdirected", b"", named))
        assert not self.limits

    def test_target_gets_the_required_headers_and_no_key(self) -> None:
        """Guards against forwarding the key or omitting a required name."""
        raw_answer = _make_answer(
            "200 OK", b"x", f"{wire.ATTEMPT_ID}: attempt-1", "X-Server-Stamp: s"
        )
        reply, chunks, received = self._send(raw_answer)
        assert not isinstance(reply, Rejection | CallError)
        assert chunks == [Ok(b"x")]
        lines = received.decode().lower().split("\r\n")
        for expected in (
            "x-attempt-id: attempt-1",
            "x-expect-instance: i-1",
            "x-tenant: acme",
            "x-deadline-ms: 1500",
            "last-event-id: 4",
            "host: shop.example",
        ):
            assert lines.count(expected) == 1, expected
        assert "key-1" not in received.decode()

    def test_rejections_are_distinguished_from_runs(self) -> None:
        """Guards against "not run" for a 503 that a run returned."""
        own_attempt = f"{wire.ATTEMPT_ID}: attempt-1"
        stamp = "X-Server-Stamp: s"
        reply, _, _ = self._send(
            _make_answer("503 Busy", b"", "X-Not-Executed: 1")
        )
        assert reply is Rejection.UNAVAILABLE
        reply, _, _ = self._send(_make_answer("421 Misdirected", b""))
        assert reply is Rejection.MISDIRECTED
        reply, _, _ = self._send(
            _make_answer("503 Busy", b"", own_attempt, stamp)
        )
        assert not isinstance(reply, Rejection | CallError)

    def test_port_without_a_listener_is_reported_as_refused(self) -> None:
        """Guards against taking a partition for a crash, or the reverse."""

        async def run() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            await listener.aclose()
            client = HttpTargetClient()
            target = dataclasses.replace(TARGET, port=port)
            for reuse in (False, True):
                send = TargetSend(CALL, target, "acme", 1_500, "", reuse)
                async with PlatformTargetClient(client).open(
                    send, lambda: True
                ) as reply:
                    assert isinstance(reply, CallError)
                    assert reply.failure is CallFailure.REFUSED
                    assert not reply.written
            await client.aclose()

        anyio.run(run)

    def test_answers_of_others_are_not_taken(self) -> None:
        """Guards against answers that were mixed up or forged on the way."""
        stamp = "X-Server-Stamp: s"
        other_attempt = f"{wire.ATTEMPT_ID}: attempt-0"
        own_attempt = f"{wire.ATTEMPT_ID}: attempt-1"
        for failure, headers in (
            (CallFailure.BROKEN, (other_attempt, stamp)),
            (CallFailure.BROKEN, (own_attempt, other_attempt, stamp)),
            (CallFailure.FOREIGN, (stamp,)),
            (CallFailure.FOREIGN, (own_attempt,)),
            (CallFailure.FOREIGN, (own_attempt, stamp, f"{stamp}2")),
            (
                CallFailure.FOREIGN,
                (own_attempt, stamp, "Content-Encoding: gzip"),
            ),
            (CallFailure.BROKEN, (other_attempt, "X-Not-Executed: 1")),
        ):
            reply, _, _ = self._send(_make_answer("200 OK", b"x", *headers))
            assert isinstance(reply, CallError), headers
            assert reply.failure is failure, headers
            assert reply.written

    def test_status_that_is_none_of_http_is_no_answer(self) -> None:
        """Guards against a head that no caller can be sent.

        Callers saw their connection closed, also where another target could
        have served them.
        """
        own = (f"{wire.ATTEMPT_ID}: attempt-1", "X-Server-Stamp: s")
        for status in ("600 Odd", "999 Odd", "101 Switching Protocols"):
            reply, _, _ = self._send(_make_answer(status, b"x", *own))
            assert isinstance(reply, CallError), status
            assert reply.written
        for status in ("200 OK", "404 Not Found", "599 Odd"):
            reply, _, _ = self._send(_make_answer(status, b"x", *own))
            assert not isinstance(reply, Rejection | CallError), status


class TargetAnswerTest(unittest.TestCase):
    """Which answers show that a target is reached."""

    call = TargetCall(
        "POST", "/quotes/1", ((wire.ATTEMPT_ID, "a-1"),), b"", 1_000
    )

    def _is_answer(self, status: int, *headers: tuple[str, str]) -> bool | None:
        return is_target_answer(self.call, AnswerHead(status, headers, True))

    def test_head_that_something_else_echoes(self) -> None:
        """Guards against a cut hidden by what repeats the attempt ID."""
        echoed = (wire.ATTEMPT_ID, "a-1")
        stamped = (wire.SERVER_STAMP, "s")
        assert not self._is_answer(200, echoed)
        assert not self._is_answer(200, stamped)
        assert self._is_answer(200, echoed, stamped)
        assert self._is_answer(500, echoed, stamped)

    def test_rejections_need_no_stamp(self) -> None:
        """Guards against targets at their limits that look cut off."""
        assert self._is_answer(503, (wire.NOT_EXECUTED, "1"))
        assert self._is_answer(421)


class KeptConnectionTest(unittest.TestCase):
    """Refusals that a target writes once more on a connection in use again."""

    def _send_each(
        self, calls: tuple[EdgeCall, ...], *answers: bytes
    ) -> tuple[list[Reply], int]:
        """Sends calls one by one; returns the replies and the connections."""
        replies: list[Reply] = []
        left = list(answers)
        connections = 0

        async def serve(stream: SocketStream) -> None:
            nonlocal connections
            connections += 1
            async with stream:
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    while left:
                        await stream.receive()
                        await stream.send(left.pop(0))
                    await stream.receive()

        async def check(port: int) -> None:
            client = HttpTargetClient()
            target = dataclasses.replace(TARGET, port=port)
            for call in calls:
                send = TargetSend(call, target, "acme", 5_000, "", True)
                async with PlatformTargetClient(client).open(
                    send, lambda: True
                ) as reply:
                    replies.append(reply)
                    if not isinstance(reply, Rejection | CallError):
                        async for _ in reply.chunks():
                            pass
            await client.aclose()

        async def run() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                await check(port)
                tasks.cancel_scope.cancel()

        anyio.run(run)
        return replies, connections

    def test_refusal_of_no_attempt_on_a_kept_connection(self) -> None:
        """Guards against "not run" for a request that a target runs.

        On a connection that had an earlier answer, only the attempt ID tells
        which request a refusal belongs to.
        """
        own = (f"{wire.ATTEMPT_ID}: attempt-1", "X-Server-Stamp: s")
        success = _make_answer("200 OK", b"x", *own)
        for refusal in (
            _make_answer("503 Busy", b"", "X-Not-Executed: 1"),
            _make_answer("421 Misdirected", b""),
        ):
            replies, connections = self._send_each(
                (CALL, CALL), success, refusal
            )
            assert connections == 1
            assert isinstance(replies[1], CallError), replies[1]
            assert replies[1].failure is CallFailure.BROKEN
            assert replies[1].written

    def test_attempt_is_not_sent_again_where_it_was_refused(self) -> None:
        """Guards against an earlier refusal of the same attempt.

        Nothing tells it from one of the attempt that was sent again.
        """
        own = f"{wire.ATTEMPT_ID}: attempt-1"
        for refusal in (
            _make_answer("503 Busy", b"", own, "X-Not-Executed: 1"),
            _make_answer("421 Misdirected", b"", own),
        ):
            replies, connections = self._send_each(
                (CALL, CALL), refusal, refusal
            )
            assert connections == 2, replies

    def test_request_that_may_run_once_gets_its_own_connection(self) -> None:
        """Guards against any earlier answer for a request that runs once."""
        reuses = {}
        for path in ("/orders/7", "/lookups/7"):
            harness = RelayHarness(ScriptedReply(is_event_stream=False))
            call = dataclasses.replace(CALL, path=path, prompt_tokens=None)
            anyio.run(harness.serve, call)
            reuses[path] = harness.client.sends[0].reuse_connection
        assert reuses == {"/orders/7": False, "/lookups/7": True}


class CutHeadTest(unittest.TestCase):
    """Targets that close in the middle of the head of an answer."""

    OWN = (f"{wire.ATTEMPT_ID}: attempt-1", "X-Server-Stamp: s")

    def _list_heads(self) -> list[bytes]:
        whole = _make_answer("200 OK", b"", *self.OWN)
        chunked = "\r\n".join(
            ("HTTP/1.1 200 OK", *self.OWN, "Transfer-Encoding: chunked", "", "")
        ).encode()
        unframed = chunked.replace(b"Transfer-Encoding: chunked\r\n", b"")
        hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        return [whole, chunked, unframed, hints + whole, hints + unframed]

    def _check_cuts(self, head: bytes, is_kept: bool, is_reset: bool) -> None:
        """Checks that no part of a head becomes an answer."""
        first = _make_answer("200 OK", b"x", *self.OWN)
        parts = [head[:end] for end in range(len(head))]
        replies: list[tuple[bytes, Reply]] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if is_kept:
                await reader.readuntil(b"\r\n\r\nplan")
                writer.write(first)
            await reader.readuntil(b"\r\n\r\nplan")
            writer.write(parts[len(replies)])
            await writer.drain()
            if is_reset:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            writer.close()

        async def run() -> None:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = HttpTargetClient()
            send = TargetSend(
                CALL,
                dataclasses.replace(TARGET, port=port),
                "acme",
                5_000,
                "",
                reuse_connection=is_kept,
            )
            for part in parts:
                if is_kept:
                    async with PlatformTargetClient(client).open(
                        send, lambda: True
                    ) as reply:
                        assert not isinstance(reply, Rejection | CallError)
                        async for chunk in reply.chunks():
                            assert chunk.is_ok()
                async with PlatformTargetClient(client).open(
                    send, lambda: True
                ) as reply:
                    replies.append((part, reply))
            await client.aclose()
            server.close()

        anyio.run(run, backend_options=BACKEND_OPTIONS)
        for part, reply in replies:
            assert isinstance(reply, CallError), part
            assert reply.written

    def test_part_of_a_head_is_no_answer(self) -> None:
        """Guards against a success whose body is empty and framed as whole."""
        for head in self._list_heads():
            for is_kept, is_reset in itertools.product((False, True), repeat=2):
                with self.subTest(head=head, kept=is_kept, reset=is_reset):
                    self._check_cuts(head, is_kept, is_reset)


class EarlyAnswerTest(unittest.TestCase):
    """Targets that answer before they have read a long body."""

    def test_unread_body_is_not_followed_by_another_request(self) -> None:
        """Guards against a request sent in place of the rest of a body.

        The target would read it as a part of that body.
        """
        body = b"a" * 2_000_000
        received: list[bytes] = []
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
                        received.append(head)
                        rejected = "X-Not-Executed: 1"
                        await stream.send(
                            _make_answer("503 Busy", b"", rejected)
                        )
                        while len(rest) < len(body):
                            rest += await stream.receive()
                        received.append(rest[: len(body)])
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
                    runner = PlatformTargetClient(client)
                    async with runner.open(send, lambda: True) as reply:
                        statuses.append(reply)
                await client.aclose()
                tasks.cancel_scope.cancel()

        anyio.run(run)
        assert statuses == [Rejection.UNAVAILABLE] * 3
        for part in received:
            assert part.startswith(b"POST ") or part == body, part[:80]
