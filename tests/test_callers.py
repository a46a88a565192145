"""Tests of what callers meet, against a whole node on loopback."""

import json
import pathlib
import unittest

import anyio

from peridotbend.adapters.messages import explain_reason
from peridotbend.daemon import BACKEND_OPTIONS
from peridotbend.domain.events import Event
from peridotbend.domain.verdicts import STATUS_BY_REASON, Reason
from tests.edgenode import (
    BOUND_S,
    EVENT,
    MAX_BODY,
    EdgeNode,
    Reply,
    read_reply,
    run_edge,
    start_edge_pair,
    write_call,
    write_chat,
)

OPERATORS_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "operators.md"
CHAT = "/v1/chat/completions"
ORDERS = "/v1/orders"
RESERVATIONS = "/v1/reservations"
EVENTS = b"".join(EVENT % (n, n) for n in range(5))


def check_refusal(
    reply: Reply, status: int, code: str, verdict: str = "not-run"
) -> None:
    """Checks all that a refusal must have."""
    error = reply.error
    got = (reply.status, error["code"], reply.verdict)
    assert got == (status, code, verdict), (reply, status, code, verdict)
    assert error["verdict"] == verdict
    assert len(error["message"]) > 20 and error["message"].endswith(".")
    assert error["request"] in (None, reply.token)
    assert (status in (429, 503)) == ("retry-after" in reply.headers)


def read_verdict_event(stream: bytes) -> tuple[bytes, dict[str, str]]:
    """Splits a stream into the target's bytes and the last event."""
    data, found, tail = stream.rpartition(b"event: peridotbend-verdict\ndata: ")
    assert found, stream
    verdict: dict[str, str] = json.loads(tail)
    return data, verdict


def evict(edge: EdgeNode, token: str) -> None:
    """Lets a delivered answer go, as it happens when memory is short."""
    records = edge.node.records
    record = records.find(token)
    assert record is not None and record.answer.delivered
    limit, records.budget.limit_bytes = records.budget.limit_bytes, 0
    records.reserve_bytes(record, 1)
    records.budget.limit_bytes = limit


class RefusalTableTest(unittest.TestCase):
    """The operators' page and the sentences."""

    def test_each_reason_is_explained(self) -> None:
        """Guards against codes that callers and operators cannot look up."""
        page = OPERATORS_PAGE.read_text(encoding="utf-8")
        for reason in Reason:
            assert explain_reason(reason).endswith(".")
            assert f"| `{reason}` | {STATUS_BY_REASON[reason]}" in page, reason


class BadInputTest(unittest.TestCase):
    """Calls that a careful caller does not make."""

    def test_each_mistake_has_its_refusal(self) -> None:
        """Guards against mistakes that hang, leak or get a wrong verdict."""
        large = b"x" * (MAX_BODY + 1)
        unknown = b'{"service": "orders", "kind": "pay"}'
        deep = b"[" * 4000
        cases = [
            (404, "unknown-kind", "POST", "/nothing", b"x" * 5000, []),
            (405, "wrong-method", "GET", CHAT, b"", []),
            (405, "wrong-method", "GET", RESERVATIONS, b"", []),
            (400, "bad-input", "POST", CHAT, b'{"messages": [', []),
            (400, "bad-input", "POST", CHAT, deep, []),
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
                400, "bad-input", "POST", CHAT, write_chat(False),
                ["Idempotency-Key: a", "Idempotency-Key: b"],
            ),
            (
                400, "bad-input", "POST", CHAT, write_chat(False),
                ["Idempotency-Key: " + "k" * 300],
            ),
            (
                400, "bad-input", "POST", CHAT, write_chat(False),
                ["Peridotbend-Deadline-Ms: -5"],
            ),
            (400, "bad-input", "GET", ORDERS + "/1?q=\xe9", b"", []),
            (
                428, "needs-reservation", "POST", ORDERS, b"1",
                ["Idempotency-Key: \xe9\xff"],
            ),
        ]  # fmt: skip

        async def test(edge: EdgeNode) -> None:
            for status, code, method, path, body, headers in cases:
                reply = await edge.call(method, path, body, *headers)
                check_refusal(reply, status, code)
            assert reply.token == "", "a key that is no ID was sent back as one"
            reply = await edge.call("GET", RESERVATIONS)
            assert reply.headers["allow"] == "POST"
            reply = await edge.call("PUT", CHAT)
            assert reply.headers["allow"] == "POST"
            assert edge.target.ran == []
            assert len(edge.node.suspects.export(10)) == 0

        run_edge(test)

    def test_odd_values_that_are_good(self) -> None:
        """Guards against refusals of calls that can be served."""

        async def test(edge: EdgeNode) -> None:
            for header in (
                "Peridotbend-Deadline-Ms: " + "9" * 5000,
                "Authorization: Bearer \xe9\xff",
                "X-Name: \xe9",
                "Idempotency-Key: \xe9",
            ):
                reply = await edge.call("POST", CHAT, write_chat(False), header)
                assert (reply.status, reply.verdict) == (200, "completed")
                assert reply.headers["peridotbend-verdict"] == "completed"

        run_edge(test)

    def test_head_and_expect(self) -> None:
        """Guards against callers that wait for bytes that never come."""

        async def test(edge: EdgeNode) -> None:
            head = await edge.send(write_call("HEAD", ORDERS + "/1"), True)
            assert (head.status, head.verdict) == (405, "not-run")
            reader, writer = await edge.connect()
            call = write_call(
                "POST", CHAT, write_chat(False), "Expect: 100-continue"
            )
            end = call.index(b"\r\n\r\n") + 4
            writer.write(call[:end])
            interim = await reader.readuntil(b"\r\n\r\n")
            assert interim.startswith(b"HTTP/1.1 100")
            writer.write(call[end:])
            assert (await read_reply(reader)).status == 200
            writer.close()
            large = "Content-Length: 99999999"
            reply = await edge.call(
                "POST", CHAT, b"", "Expect: 100-continue", large
            )
            check_refusal(reply, 413, "too-large")
            assert reply.headers["connection"] == "close"

        run_edge(test)

    def test_chunked_body_above_the_limit(self) -> None:
        """Guards against a limit that holds for declared lengths only."""

        async def test(edge: EdgeNode) -> None:
            call = write_call("POST", CHAT, b"", "Transfer-Encoding: chunked")
            chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
            check_refusal(await edge.send(call + chunk * 3), 413, "too-large")
            # A connection that is reset can take the refusal with it.
            reader, writer = await edge.connect()
            writer.write(call + chunk * 3)
            check_refusal(await read_reply(reader), 413, "too-large")
            for _ in range(5):
                writer.write(chunk)
                await writer.drain()
                await anyio.sleep(0.01)
            writer.write(b"0\r\n\r\n")
            assert await reader.read() == b""
            writer.close()

        run_edge(test)


class IdTest(unittest.TestCase):
    """IDs that are damaged, old or of somebody else."""

    def test_wrong_ids(self) -> None:
        """Guards against a wrong ID that runs, or is told to be not run."""

        async def test(edge: EdgeNode) -> None:
            token = await edge.reserve()
            key = f"Idempotency-Key: {token}"
            path = f"/v1/requests/{token}"
            # A call with the ID may be on its way.
            reply = await edge.call("GET", path)
            check_refusal(reply, 409, "not-started", "may-have-run")
            forged = token[:-60] + ("A" if token[-60] != "A" else "B")
            forged += token[-59:]
            reply = await edge.call("GET", "/v1/requests/" + forged)
            check_refusal(reply, 400, "forged-id")
            reply = await edge.call("GET", path[:-3])
            check_refusal(reply, 404, "unknown-request", "may-have-run")
            shop = "Authorization: Bearer shop-key"
            reply = await edge.call("POST", ORDERS, b"1", key, shop)
            check_refusal(reply, 403, "wrong-account", "may-have-run")
            assert edge.target.ran == []
            reply = await edge.call("POST", ORDERS, b"1", key)
            assert (reply.status, reply.verdict) == (200, "completed")
            reply = await edge.call("POST", ORDERS, b"2", key)
            check_refusal(reply, 422, "id-reused", "may-have-run")
            for offset in ("-1", "x", ""):
                reply = await edge.call("GET", f"{path}?offset={offset}")
                check_refusal(reply, 400, "bad-input", "may-have-run")
            reply = await edge.call("GET", f"{path}?offset={'9' * 5000}")
            assert (reply.status, reply.body) == (200, b"")
            assert edge.target.ran == [ORDERS]

        run_edge(test)

    def test_refused_resend_of_a_request_that_ran(self) -> None:
        """Guards against "not run" for an ID whose request did run."""

        async def test(edge: EdgeNode) -> None:
            token = await edge.reserve()
            key = f"Idempotency-Key: {token}"
            large = b"x" * (MAX_BODY + 1)
            reply = await edge.call("POST", ORDERS, large, key)
            # The ID can still be used, as the next call does.
            check_refusal(reply, 413, "too-large", "may-have-run")
            await edge.call("POST", ORDERS, b"1", key)
            for status, code, path, body in (
                (413, "too-large", ORDERS, large),
                (404, "unknown-kind", "/gone", b"1"),
                (405, "wrong-method", ORDERS + "/1", b"1"),
            ):
                reply = await edge.call("POST", path, body, key)
                check_refusal(reply, status, code, "may-have-run")

        run_edge(test)

    def test_expired_id(self) -> None:
        """Guards against an expired ID that runs or is told to be not run."""

        async def test(edge: EdgeNode) -> None:
            token = await edge.reserve()
            record = edge.node.records.find(token)
            assert record is not None
            record.expires_at_ms = edge.node.clock.now_ms()
            edge.node.service.remove_expired()
            key = f"Idempotency-Key: {token}"
            reply = await edge.call("POST", ORDERS, b"1", key)
            check_refusal(reply, 410, "forgotten", "may-have-run")
            assert edge.target.ran == []

        run_edge(test)


class VanishingCallerTest(unittest.TestCase):
    """Callers that leave before they have their answer."""

    def test_caller_leaves_with_its_body_unsent(self) -> None:
        """Guards against tasks and bytes of calls that never became whole."""

        async def test(edge: EdgeNode) -> None:
            call = write_call("POST", CHAT, write_chat(False, "a" * 4000))
            end = call.index(b"\r\n\r\n")
            for size in (0, 10, end + 4, len(call) - 100):
                _, writer = await edge.connect()
                writer.write(call[:size])
                await anyio.sleep(0.02)
                writer.close()
            await edge.check_nothing_leaked()
            assert edge.target.ran == [CHAT], "only the check itself"

        run_edge(test)

    def test_request_goes_on_without_its_caller(self) -> None:
        """Guards against answers that are lost when the caller leaves."""

        async def test(edge: EdgeNode) -> None:
            edge.target.go_on.clear()
            token = await edge.reserve()
            order = write_call(
                "POST", ORDERS, b"1", f"Idempotency-Key: {token}"
            )
            _, waiting = await edge.connect()
            waiting.write(order)
            await edge.wait_for(lambda: ORDERS in edge.target.ran)
            waiting.close()
            reader, streaming = await edge.connect()
            streaming.write(write_call("POST", CHAT, write_chat(True)))
            head = await reader.readuntil(EVENT[:4])
            streaming.close()
            name = b"peridotbend-request: "
            streamed = head.split(name)[1].split(b"\r\n")[0].decode()
            server = edge.node.caller_server
            await edge.wait_for(lambda: not server.count_tasks())
            edge.target.go_on.set()
            reply = await edge.call("GET", f"/v1/requests/{token}")
            assert (reply.status, reply.verdict) == (200, "completed")
            reply = await edge.call("GET", f"/v1/requests/{streamed}")
            data, verdict = read_verdict_event(reply.body)
            assert data == EVENTS
            assert verdict == {"verdict": "completed", "code": "ok"}

        run_edge(test)


class AnswerTest(unittest.TestCase):
    """Whole answers, rests of answers and answers that are gone."""

    def test_rest_of_an_answer(self) -> None:
        """Guards against answers with bytes lost or doubled at an offset."""

        async def test(edge: EdgeNode) -> None:
            whole = await edge.call("POST", CHAT, write_chat(True))
            data, _ = read_verdict_event(whole.body)
            assert data == EVENTS
            for offset in (0, 7, len(data) - 1, len(data)):
                path = f"/v1/requests/{whole.token}?offset={offset}"
                rest, verdict = read_verdict_event(
                    (await edge.call("GET", path)).body
                )
                assert rest == data[offset:]
                assert verdict["verdict"] == "completed"
            plain = await edge.call("POST", CHAT, write_chat(False))
            for offset in (0, 7, len(plain.body)):
                path = f"/v1/requests/{plain.token}?offset={offset}"
                reply = await edge.call("GET", path)
                assert reply.body == plain.body[offset:]
                assert reply.headers["content-length"] == str(len(reply.body))

        run_edge(test)

    def test_evicted_answer(self) -> None:
        """Guards against "may have run" for a request that completed."""

        async def test(edge: EdgeNode) -> None:
            for stream in (False, True):
                reply = await edge.call("POST", CHAT, write_chat(stream))
                evict(edge, reply.token)
                path = f"/v1/requests/{reply.token}"
                reply = await edge.call("GET", path)
                check_refusal(reply, 410, "answer-evicted", "completed")

        run_edge(test)

    def test_stream_that_breaks(self) -> None:
        """Guards against a broken stream that looks like a whole one."""

        async def test(edge: EdgeNode) -> None:
            edge.target.breaks = True
            body = write_chat(True, "this one breaks")
            reply = await edge.call("POST", CHAT, body)
            edge.target.breaks = False
            data, verdict = read_verdict_event(reply.body)
            assert data == EVENT % (0, 0)
            broken = {"verdict": "may-have-run", "code": "target-failed"}
            assert verdict == broken
            path = f"/v1/requests/{reply.token}?offset=3"
            rest = read_verdict_event((await edge.call("GET", path)).body)
            assert rest == (data[3:], broken)
            # The target was seen dead; it is back for the check at the end.
            edge.node.roster.record_target_success("runner")
            assert edge.target.ran == [CHAT]

        run_edge(test)

    def test_answers_through_another_instance(self) -> None:
        """Guards against answers that change on their way through a peer."""

        async def test() -> None:
            async with start_edge_pair() as (first, second):
                for stream in (True, False):
                    body = write_chat(stream)
                    whole = await first.call("POST", CHAT, body)
                    for query in ("", "?offset=9"):
                        path = f"/v1/requests/{whole.token}{query}"
                        here = await first.call("GET", path)
                        there = await second.call("GET", path)
                        here.headers.pop("date", "")
                        there.headers.pop("date", "")
                        assert here == there
                    evict(first, whole.token)
                    reply = await second.call("GET", path)
                    check_refusal(reply, 410, "answer-evicted", "completed")

        async def run_bounded() -> None:
            with anyio.fail_after(BOUND_S):
                await test()

        anyio.run(run_bounded, backend_options=BACKEND_OPTIONS)

    def test_internal_errors(self) -> None:
        """Guards against a fault of one request that ends the process."""

        async def test(edge: EdgeNode) -> None:
            suspects = edge.node.suspects
            check = suspects.check
            suspects.check = lambda _: 1 / 0  # type: ignore
            reply = await edge.call("POST", CHAT, write_chat(False))
            check_refusal(reply, 500, "internal-error")
            suspects.check = check  # type: ignore[method-assign]
            service = edge.node.service
            fetch = service.fetch
            service.fetch = None  # type: ignore
            reply = await edge.call("GET", f"/v1/requests/{reply.token}")
            check_refusal(reply, 500, "internal-error", "may-have-run")
            service.fetch = fetch  # type: ignore[method-assign]
            assert edge.log.count(Event.INTERNAL_ERROR) == 2
            assert reply.token not in str(edge.log.events[-1])

        run_edge(test)


class BodyBudgetTest(unittest.TestCase):
    """The bound on bodies in memory."""

    def test_bodies_above_the_bound_are_refused(self) -> None:
        """Guards against memory that grows with the number of callers."""

        async def test(edge: EdgeNode) -> None:
            edge.target.go_on.clear()
            call = write_call("POST", CHAT, write_chat(False, "a" * 4000))
            connections = []
            for _ in range(2):
                connections.append(await edge.connect())
                connections[-1][1].write(call)
            await edge.wait_for(lambda: len(edge.target.ran) == 2)
            check_refusal(await edge.send(call), 503, "at-capacity")
            edge.target.go_on.set()
            for reader, writer in connections:
                assert (await read_reply(reader)).status == 200
                writer.close()
            assert (await edge.send(call)).status == 200

        run_edge(test, max_body_bytes=10_000)

    def test_slow_body(self) -> None:
        """Guards against callers that hold memory for as long as they like."""

        async def test(edge: EdgeNode) -> None:
            edge.node.caller_app.body_timeout_s = 0.05
            call = write_call("POST", CHAT, write_chat(False, "a" * 4000))
            reply = await edge.send(call[:-10])
            check_refusal(reply, 408, "bad-input")

        run_edge(test)


class LearnedOutputTest(unittest.TestCase):
    """Estimates that follow what requests of a kind produced."""

    def test_output_of_answers_is_learned(self) -> None:
        """Guards against expected times for tokens nobody generates."""

        async def test(edge: EdgeNode) -> None:
            for stream in (False, True):
                await edge.call("POST", CHAT, write_chat(stream))
            lengths = edge.node.router.output_lengths
            assert edge.node.text_store.current is not None
            kind = edge.node.service.match_kind("POST", CHAT, b"{}").unwrap()
            # Of 256 by default, 16 and then 5 came: 1.0 goes to 0.906 and
            # on to 0.818.
            assert round(256 * lengths.find_ratio(kind)) == 209

        run_edge(test)


class PipelineTest(unittest.TestCase):
    """Requests that follow each other on one connection."""

    def test_answers_come_in_order(self) -> None:
        """Guards against crossed answers on one connection."""

        async def test(edge: EdgeNode) -> None:
            reader, writer = await edge.connect()
            writer.write(
                b"".join(
                    write_call("GET", f"{ORDERS}/{number}")
                    for number in range(5)
                )
            )
            for number in range(5):
                reply = await read_reply(reader)
                assert json.loads(reply.body)["path"] == f"{ORDERS}/{number}"
            writer.close()

        run_edge(test)

    def test_bad_request_behind_a_good_one(self) -> None:
        """Guards against "not run" in the place of another answer."""

        async def test(edge: EdgeNode) -> None:
            edge.target.go_on.clear()
            reader, writer = await edge.connect()
            writer.write(write_call("GET", ORDERS + "/1"))
            await edge.wait_for(lambda: len(edge.target.ran) == 1)
            writer.write(b"\x00\x01 nonsense\r\n\r\n")
            await anyio.sleep(0.02)
            edge.target.go_on.set()
            reply = await read_reply(reader)
            assert (reply.status, reply.verdict) == (200, "completed")
            assert await reader.read() == b""
            writer.close()

        run_edge(test)
