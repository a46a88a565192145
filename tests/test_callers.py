"""Tests of the caller API against an entry instance on loopback."""

import json
import pathlib
import unittest

import anyio

from peridotbend.adapters.messages import explain_reason
from peridotbend.daemon import BACKEND_OPTIONS
from peridotbend.domain.events import Event
from peridotbend.domain.verdicts import STATUS_BY_REASON, Reason
from tests.edgenode import (
    CLOSING_EVENT,
    EVENT_FORMAT,
    MAX_BODY_BYTES,
    TEST_TIMEOUT_S,
    EntryNode,
    Reply,
    encode_chat_body,
    encode_request,
    read_reply,
    run_with_entry,
    start_entry_pair,
)

OPERATORS_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "operators.md"
CHAT = "/v1/chat/completions"
ORDERS = "/v1/orders"
RESERVATIONS = "/v1/reservations"
ALL_EVENTS = b"".join(EVENT_FORMAT % (n, n) for n in range(5)) + CLOSING_EVENT


def check_error_reply(
    reply: Reply, status: int, code: str, verdict: str = "not-run"
) -> None:
    """Checks the status, headers and error object of an error response."""
    error = reply.error
    got = (reply.status, error["code"], reply.verdict)
    assert got == (status, code, verdict), (reply, status, code, verdict)
    assert error["verdict"] == verdict
    assert len(error["message"]) > 20 and error["message"].endswith(".")
    assert error["request"] in (None, reply.token)
    assert (status in (429, 503)) == ("retry-after" in reply.headers)


def read_verdict_event(stream: bytes) -> tuple[bytes, dict[str, str]]:
    """Splits a stream into the target's bytes and the final verdict event."""
    data, found, tail = stream.rpartition(b"event: peridotbend-verdict\ndata: ")
    assert found, stream
    verdict: dict[str, str] = json.loads(tail)
    return data, verdict


def evict_answer(entry: EntryNode, token: str) -> None:
    """Evicts a delivered answer, as happens when the answer budget is full."""
    records = entry.node.records
    record = records.find(token)
    assert record is not None and record.answer.delivered
    limit, records.budget.limit_bytes = records.budget.limit_bytes, 0
    records.reserve_bytes(record, 1)
    records.budget.limit_bytes = limit


class RefusalTableTest(unittest.TestCase):
    """Reason codes in the operators' manual and in error messages."""

    def test_each_reason_is_explained(self) -> None:
        """Guards against reason codes without a message or documentation."""
        page = OPERATORS_PAGE.read_text(encoding="utf-8")
        for reason in Reason:
            assert explain_reason(reason).endswith(".")
            assert f"| `{reason}` | {STATUS_BY_REASON[reason]}" in page, reason


class BadInputTest(unittest.TestCase):
    """Malformed and unusual requests."""

    def test_each_bad_request_has_its_error(self) -> None:
        """Guards against bad requests that hang, leak or get a bad verdict."""
        large = b"x" * (MAX_BODY_BYTES + 1)
        unknown = b'{"service": "orders", "kind": "pay"}'
        deeply_nested = b"[" * 4000
        cases = [
            (404, "unknown-kind", "POST", "/nothing", b"x" * 5000, []),
            (405, "wrong-method", "GET", CHAT, b"", []),
            (405, "wrong-method", "GET", RESERVATIONS, b"", []),
            (400, "bad-input", "POST", CHAT, b'{"messages": [', []),
            (400, "bad-input", "POST", CHAT, deeply_nested, []),
            (400, "bad-input", "POST", RESERVATIONS, b"\xff", []),
            (400, "bad-input", "POST", RESERVATIONS, b"[1]", []),
            (404, "unknown-kind", "POST", RESERVATIONS, unknown, []),
            (413, "too-large", "POST", CHAT, large, []),
            (428, "needs-reservation", "POST", ORDERS, b"1", []),
            (
                431, "too-large", "POST", CHAT, b"1",
                ["X-Long: " + "a" * 17_000],
            ),
            (
                400, "bad-input", "POST", CHAT, encode_chat_body(False),
                ["Idempotency-Key: a", "Idempotency-Key: b"],
            ),
            (
                400, "bad-input", "POST", CHAT, encode_chat_body(False),
                ["Idempotency-Key: " + "k" * 300],
            ),
            (
                400, "bad-input", "POST", CHAT, encode_chat_body(False),
                ["Peridotbend-Deadline-Ms: -5"],
            ),
            (400, "bad-input", "GET", ORDERS + "/1?q=\xe9", b"", []),
            (
                428, "needs-reservation", "POST", ORDERS, b"1",
                ["Idempotency-Key: \xe9\xff"],
            ),
        ]  # fmt: skip

        async def test(entry: EntryNode) -> None:
            for status, code, method, path, body, headers in cases:
                reply = await entry.call(method, path, body, *headers)
                check_error_reply(reply, status, code)
            assert reply.token == "", "the key was returned as a request ID"
            reply = await entry.call("GET", RESERVATIONS)
            assert reply.headers["allow"] == "POST"
            reply = await entry.call("PUT", CHAT)
            assert reply.headers["allow"] == "POST"
            assert entry.target.ran == []
            assert len(entry.node.suspects.export(10)) == 0

        run_with_entry(test)

    def test_unusual_valid_headers(self) -> None:
        """Guards against rejecting unusual but valid header values."""

        async def test(entry: EntryNode) -> None:
            for header in (
                "Peridotbend-Deadline-Ms: " + "9" * 5000,
                "Authorization: Bearer \xe9\xff",
                "X-Name: \xe9",
                "Idempotency-Key: \xe9",
            ):
                reply = await entry.call(
                    "POST", CHAT, encode_chat_body(False), header
                )
                assert (reply.status, reply.verdict) == (200, "completed")
                assert reply.headers["peridotbend-verdict"] == "completed"

        run_with_entry(test)

    def test_head_and_expect(self) -> None:
        """Guards against callers that wait for a body or for 100 Continue.

        A response to HEAD has no body, and a client that sends Expect waits
        for the interim response before it sends its body.
        """

        async def test(entry: EntryNode) -> None:
            head = await entry.send(encode_request("HEAD", ORDERS + "/1"), True)
            assert (head.status, head.verdict) == (405, "not-run")
            reader, writer = await entry.connect()
            call = encode_request(
                "POST", CHAT, encode_chat_body(False), "Expect: 100-continue"
            )
            end = call.index(b"\r\n\r\n") + 4
            writer.write(call[:end])
            interim = await reader.readuntil(b"\r\n\r\n")
            assert interim.startswith(b"HTTP/1.1 100")
            writer.write(call[end:])
            assert (await read_reply(reader)).status == 200
            writer.close()
            large = "Content-Length: 99999999"
            reply = await entry.call(
                "POST", CHAT, b"", "Expect: 100-continue", large
            )
            check_error_reply(reply, 413, "too-large")
            assert reply.headers["connection"] == "close"

        run_with_entry(test)

    def test_chunked_body_above_the_limit(self) -> None:
        """Guards against a body limit that checks only Content-Length."""

        async def test(entry: EntryNode) -> None:
            call = encode_request(
                "POST", CHAT, b"", "Transfer-Encoding: chunked"
            )
            chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
            check_error_reply(
                await entry.send(call + chunk * 3), 413, "too-large"
            )
            # A reset would discard the response before the caller has read it,
            # so the server reads on after the refusal.
            reader, writer = await entry.connect()
            writer.write(call + chunk * 3)
            check_error_reply(await read_reply(reader), 413, "too-large")
            for _ in range(5):
                writer.write(chunk)
                await writer.drain()
                await anyio.sleep(0.01)
            writer.write(b"0\r\n\r\n")
            assert await reader.read() == b""
            writer.close()

        run_with_entry(test)


class IdTest(unittest.TestCase):
    """Request IDs that are forged, unknown, expired or of another account."""

    def test_wrong_ids(self) -> None:
        """Guards against a wrong ID that runs or gets a false "not run"."""

        async def test(entry: EntryNode) -> None:
            token = await entry.reserve()
            key = f"Idempotency-Key: {token}"
            path = f"/v1/requests/{token}"
            # A request with this ID may still be in transit.
            reply = await entry.call("GET", path)
            check_error_reply(reply, 409, "not-started", "may-have-run")
            forged = token[:-60] + ("A" if token[-60] != "A" else "B")
            forged += token[-59:]
            reply = await entry.call("GET", "/v1/requests/" + forged)
            check_error_reply(reply, 400, "forged-id")
            reply = await entry.call("GET", path[:-3])
            check_error_reply(reply, 404, "unknown-request", "may-have-run")
            shop = "Authorization: Bearer shop-key"
            reply = await entry.call("POST", ORDERS, b"1", key, shop)
            check_error_reply(reply, 403, "wrong-account", "may-have-run")
            assert entry.target.ran == []
            reply = await entry.call("POST", ORDERS, b"1", key)
            assert (reply.status, reply.verdict) == (200, "completed")
            reply = await entry.call("POST", ORDERS, b"2", key)
            check_error_reply(reply, 422, "id-reused", "may-have-run")
            for offset in ("-1", "x", ""):
                reply = await entry.call("GET", f"{path}?offset={offset}")
                check_error_reply(reply, 400, "bad-input", "may-have-run")
            reply = await entry.call("GET", f"{path}?offset={'9' * 5000}")
            assert (reply.status, reply.body) == (200, b"")
            assert entry.target.ran == [ORDERS]

        run_with_entry(test)

    def test_refused_resend_of_a_request_that_ran(self) -> None:
        """Guards against "not run" when a resend is refused after a run."""

        async def test(entry: EntryNode) -> None:
            token = await entry.reserve()
            key = f"Idempotency-Key: {token}"
            large = b"x" * (MAX_BODY_BYTES + 1)
            reply = await entry.call("POST", ORDERS, large, key)
            # The ID is still valid, and the next call uses it.
            check_error_reply(reply, 413, "too-large", "may-have-run")
            await entry.call("POST", ORDERS, b"1", key)
            for status, code, path, body in (
                (413, "too-large", ORDERS, large),
                (404, "unknown-kind", "/gone", b"1"),
                (405, "wrong-method", ORDERS + "/1", b"1"),
            ):
                reply = await entry.call("POST", path, body, key)
                check_error_reply(reply, status, code, "may-have-run")

        run_with_entry(test)

    def test_expired_id(self) -> None:
        """Guards against an expired ID that runs or gets a false "not run"."""

        async def test(entry: EntryNode) -> None:
            token = await entry.reserve()
            record = entry.node.records.find(token)
            assert record is not None
            record.expires_at_ms = entry.node.clock.now_ms()
            entry.node.service.remove_expired()
            key = f"Idempotency-Key: {token}"
            reply = await entry.call("POST", ORDERS, b"1", key)
            check_error_reply(reply, 410, "forgotten", "may-have-run")
            assert entry.target.ran == []

        run_with_entry(test)


class VanishingCallerTest(unittest.TestCase):
    """Callers that disconnect before they have their answer."""

    def test_caller_leaves_with_its_body_unsent(self) -> None:
        """Guards against tasks and bytes leaked by incomplete requests."""

        async def test(entry: EntryNode) -> None:
            call = encode_request(
                "POST", CHAT, encode_chat_body(False, "a" * 4000)
            )
            end = call.index(b"\r\n\r\n")
            for size in (0, 10, end + 4, len(call) - 100):
                _, writer = await entry.connect()
                writer.write(call[:size])
                await anyio.sleep(0.02)
                writer.close()
            await entry.check_no_leaks()
            assert entry.target.ran == [CHAT], "only that of check_no_leaks"

        run_with_entry(test)

    def test_request_goes_on_without_its_caller(self) -> None:
        """Guards against answers that are lost when the caller disconnects."""

        async def test(entry: EntryNode) -> None:
            entry.target.unblocked.clear()
            token = await entry.reserve()
            order = encode_request(
                "POST", ORDERS, b"1", f"Idempotency-Key: {token}"
            )
            _, waiting = await entry.connect()
            waiting.write(order)
            await entry.wait_for(lambda: ORDERS in entry.target.ran)
            waiting.close()
            reader, streaming = await entry.connect()
            streaming.write(
                encode_request("POST", CHAT, encode_chat_body(True))
            )
            head = await reader.readuntil(EVENT_FORMAT[:4])
            streaming.close()
            name = b"peridotbend-request: "
            stream_id = head.split(name)[1].split(b"\r\n")[0].decode()
            server = entry.node.caller_server
            await entry.wait_for(lambda: not server.count_tasks())
            entry.target.unblocked.set()
            reply = await entry.call("GET", f"/v1/requests/{token}")
            assert (reply.status, reply.verdict) == (200, "completed")
            reply = await entry.call("GET", f"/v1/requests/{stream_id}")
            data, verdict = read_verdict_event(reply.body)
            assert data == ALL_EVENTS
            assert verdict == {"verdict": "completed", "code": "ok"}

        run_with_entry(test)


class AnswerTest(unittest.TestCase):
    """Answers in full, from an offset, evicted or broken off."""

    def test_rest_of_an_answer(self) -> None:
        """Guards against bytes lost or repeated when reading from an offset."""

        async def test(entry: EntryNode) -> None:
            whole = await entry.call("POST", CHAT, encode_chat_body(True))
            data, _ = read_verdict_event(whole.body)
            assert data == ALL_EVENTS
            for offset in (0, 7, len(data) - 1, len(data)):
                path = f"/v1/requests/{whole.token}?offset={offset}"
                rest, verdict = read_verdict_event(
                    (await entry.call("GET", path)).body
                )
                assert rest == data[offset:]
                assert verdict["verdict"] == "completed"
            plain = await entry.call("POST", CHAT, encode_chat_body(False))
            for offset in (0, 7, len(plain.body)):
                path = f"/v1/requests/{plain.token}?offset={offset}"
                reply = await entry.call("GET", path)
                assert reply.body == plain.body[offset:]
                assert reply.headers["content-length"] == str(len(reply.body))

        run_with_entry(test)

    def test_evicted_answer(self) -> None:
        """Guards against "may have run" for a request that completed."""

        async def test(entry: EntryNode) -> None:
            for stream in (False, True):
                reply = await entry.call("POST", CHAT, encode_chat_body(stream))
                evict_answer(entry, reply.token)
                path = f"/v1/requests/{reply.token}"
                reply = await entry.call("GET", path)
                check_error_reply(reply, 410, "answer-evicted", "completed")

        run_with_entry(test)

    def test_stream_that_breaks(self) -> None:
        """Guards against a broken stream that looks complete."""

        async def test(entry: EntryNode) -> None:
            entry.target.breaks_streams = True
            body = encode_chat_body(True, "this one breaks")
            reply = await entry.call("POST", CHAT, body)
            entry.target.breaks_streams = False
            data, verdict = read_verdict_event(reply.body)
            assert data == EVENT_FORMAT % (0, 0)
            broken = {"verdict": "may-have-run", "code": "target-failed"}
            assert verdict == broken
            path = f"/v1/requests/{reply.token}?offset=3"
            rest = read_verdict_event((await entry.call("GET", path)).body)
            assert rest == (data[3:], broken)
            # The broken stream marked the target as failed, but the final
            # leak check sends it a request.
            entry.node.roster.record_target_success("runner")
            assert entry.target.ran == [CHAT]

        run_with_entry(test)

    def test_answers_through_another_instance(self) -> None:
        """Guards against answers that differ when a peer forwards them."""

        async def test() -> None:
            async with start_entry_pair() as (first, second):
                for stream in (True, False):
                    body = encode_chat_body(stream)
                    whole = await first.call("POST", CHAT, body)
                    for query in ("", "?offset=9"):
                        path = f"/v1/requests/{whole.token}{query}"
                        here = await first.call("GET", path)
                        there = await second.call("GET", path)
                        here.headers.pop("date", "")
                        there.headers.pop("date", "")
                        assert here == there
                    evict_answer(first, whole.token)
                    reply = await second.call("GET", path)
                    check_error_reply(reply, 410, "answer-evicted", "completed")

        async def run_with_timeout() -> None:
            with anyio.fail_after(TEST_TIMEOUT_S):
                await test()

        anyio.run(run_with_timeout, backend_options=BACKEND_OPTIONS)

    def test_internal_errors(self) -> None:
        """Guards against an exception in one request that ends the process."""

        async def test(entry: EntryNode) -> None:
            suspects = entry.node.suspects
            check = suspects.check
            suspects.check = lambda _: 1 / 0  # type: ignore
            reply = await entry.call("POST", CHAT, encode_chat_body(False))
            check_error_reply(reply, 500, "internal-error")
            suspects.check = check  # type: ignore[method-assign]
            service = entry.node.service
            fetch = service.fetch
            service.fetch = None  # type: ignore
            reply = await entry.call("GET", f"/v1/requests/{reply.token}")
            check_error_reply(reply, 500, "internal-error", "may-have-run")
            service.fetch = fetch  # type: ignore[method-assign]
            assert entry.log.count(Event.INTERNAL_ERROR) == 2
            assert reply.token not in str(entry.log.events[-1])

        run_with_entry(test)


class BodyBudgetTest(unittest.TestCase):
    """The limit on request bodies in memory."""

    def test_bodies_above_the_bound_are_refused(self) -> None:
        """Guards against memory that grows with the number of callers."""

        async def test(entry: EntryNode) -> None:
            entry.target.unblocked.clear()
            call = encode_request(
                "POST", CHAT, encode_chat_body(False, "a" * 4000)
            )
            connections = []
            for _ in range(2):
                connections.append(await entry.connect())
                connections[-1][1].write(call)
            await entry.wait_for(lambda: len(entry.target.ran) == 2)
            check_error_reply(await entry.send(call), 503, "at-capacity")
            entry.target.unblocked.set()
            for reader, writer in connections:
                assert (await read_reply(reader)).status == 200
                writer.close()
            assert (await entry.send(call)).status == 200

        run_with_entry(test, max_body_bytes=10_000)

    def test_slow_body(self) -> None:
        """Guards against callers that hold memory with an unfinished body."""

        async def test(entry: EntryNode) -> None:
            entry.node.caller_app.body_timeout_s = 0.05
            call = encode_request(
                "POST", CHAT, encode_chat_body(False, "a" * 4000)
            )
            reply = await entry.send(call[:-10])
            check_error_reply(reply, 408, "bad-input")

        run_with_entry(test)


class OddAnswerTest(unittest.TestCase):
    """Answers of targets that servers and clients rarely see."""

    def test_each_answer_tells_its_verdict(self) -> None:
        """Guards against a response that leaves the request's fate open."""
        event_stream = b"Content-Type: text/event-stream\r\n"

        async def test(entry: EntryNode) -> None:
            for status, headers, verdict in (
                (200, b"Content-Length: 0\r\n", "completed"),
                (204, event_stream, "completed"),
                (205, event_stream + b"Content-Length: 0\r\n", "completed"),
                (304, event_stream, "completed"),
                (200, b"X-Any: \x01\r\n", "may-have-run"),
                (101, b"Upgrade: any\r\n", "may-have-run"),
                (999, b"Content-Length: 0\r\n", "may-have-run"),
            ):
                entry.target.reply = (
                    b"HTTP/1.1 %d Any\r\n" % status + headers + b"\r\n"
                )
                token = await entry.reserve()
                key = f"Idempotency-Key: {token}"
                request = encode_request("POST", ORDERS, b"1", key)
                reply = await entry.send(request, head_only=True)
                assert reply.verdict == verdict, (status, headers)
                entry.node.roster.record_target_success("orders")
            entry.target.reply = b""

        run_with_entry(test)

    def test_noise_makes_no_request_a_suspect(self) -> None:
        """Guards against the quarantine of a request that harms no target."""

        async def test(entry: EntryNode) -> None:
            for reply in (b"noise\r\n\r\n", b"\xff\xfe\x00\r\n\r\n"):
                entry.target.reply = reply
                token = await entry.reserve()
                key = f"Idempotency-Key: {token}"
                answer = await entry.call("POST", ORDERS, b"1", key)
                check_error_reply(answer, 502, "target-failed", "may-have-run")
                assert not entry.node.suspects.export(9)
                entry.node.roster.record_target_success("orders")
            entry.target.reply = b""

        run_with_entry(test)


class LearnedOutputTest(unittest.TestCase):
    """Output estimates learned from earlier answers of a kind."""

    def test_output_of_answers_is_learned(self) -> None:
        """Guards against time estimates for tokens that are never generated."""

        async def test(entry: EntryNode) -> None:
            for stream in (False, True):
                await entry.call("POST", CHAT, encode_chat_body(stream))
            lengths = entry.node.router.output_lengths
            assert entry.node.config_store.current is not None
            kind = entry.node.service.match_kind("POST", CHAT, b"{}").unwrap()
            # 256 tokens are expected by default. Answers of 16 and then 5
            # tokens lower the ratio from 1.0 to 0.906 and then to 0.818.
            assert round(256 * lengths.find_ratio(kind)) == 209

        run_with_entry(test)


class PipelineTest(unittest.TestCase):
    """Pipelined requests on one connection."""

    def test_answers_come_in_order(self) -> None:
        """Guards against responses that are sent in a different order."""

        async def test(entry: EntryNode) -> None:
            reader, writer = await entry.connect()
            writer.write(
                b"".join(
                    encode_request("GET", f"{ORDERS}/{number}")
                    for number in range(5)
                )
            )
            for number in range(5):
                reply = await read_reply(reader)
                assert json.loads(reply.body)["path"] == f"{ORDERS}/{number}"
            writer.close()

        run_with_entry(test)

    def test_bad_request_behind_a_good_one(self) -> None:
        """Guards against "not run" sent in place of an earlier answer."""

        async def test(entry: EntryNode) -> None:
            entry.target.unblocked.clear()
            reader, writer = await entry.connect()
            writer.write(encode_request("GET", ORDERS + "/1"))
            await entry.wait_for(lambda: len(entry.target.ran) == 1)
            writer.write(b"\x00\x01 nonsense\r\n\r\n")
            await anyio.sleep(0.02)
            entry.target.unblocked.set()
            reply = await read_reply(reader)
            assert (reply.status, reply.verdict) == (200, "completed")
            check_error_reply(await read_reply(reader), 400, "bad-input")
            assert await reader.read() == b""
            writer.close()

        run_with_entry(test)

    def test_request_whose_body_goes_bad_behind_a_good_one(self) -> None:
        """Guards against a connection that waits for a body without end."""

        async def test(entry: EntryNode) -> None:
            entry.target.unblocked.clear()
            reader, writer = await entry.connect()
            writer.write(encode_request("GET", ORDERS + "/1"))
            await entry.wait_for(lambda: len(entry.target.ran) == 1)
            call = encode_request(
                "POST", ORDERS, b"", "Transfer-Encoding: chunked"
            )
            writer.write(call + b"not hexadecimal\r\n")
            await anyio.sleep(0.02)
            entry.target.unblocked.set()
            reply = await read_reply(reader)
            assert (reply.status, reply.verdict) == (200, "completed")
            check_error_reply(await read_reply(reader), 400, "bad-input")
            assert await reader.read() == b""
            assert len(entry.target.ran) == 1
            writer.close()

        run_with_entry(test)
