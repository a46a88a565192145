"""Tests of the emulator: platform, engine, orders, launcher and proxy."""

import asyncio
import concurrent.futures
import contextlib
import functools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import unittest
from collections.abc import Callable, Sequence
from typing import Any, ClassVar

import httpcore

from peridotbend.domain.clock import ManualClock
from peridotbend_emulator.dropproxy import DropProxy
from peridotbend_emulator.engine import CRASH_EXIT_CODE, CRASH_MARKER
from peridotbend_emulator.enginemodel import (
    EngineModel,
    EngineSettings,
    EventKind,
    PrefixCache,
)
from peridotbend_emulator.enginestream import make_answer
from peridotbend_emulator.launch import Child, Launcher, LaunchError
from peridotbend_emulator.platformstate import PlatformState, TokenBucket

SOURCE = str(pathlib.Path(__file__).resolve().parent.parent / "src")
LONG_MS = 3_600_000
# Reached only by a test that would otherwise hang.
HANG_TIMEOUT_S = 30.0
TIMEOUTS = {"timeout": {"read": HANG_TIMEOUT_S}}
Headers = Sequence[tuple[bytes | str, bytes | str]]
CONNECTION_ERRORS = (httpcore.ReadError, httpcore.RemoteProtocolError)


def call(
    child: Child | DropProxy,
    method: str,
    path: str,
    body: object = b"",
    headers: Headers = (),
) -> httpcore.Response:
    """Sends one request; a body that is not bytes is sent as JSON."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    url = f"http://{child.address}{path}"
    return httpcore.request(
        method, url, headers=headers, content=content, extensions=TIMEOUTS
    )


def get_json(child: Child, path: str) -> Any:
    """Returns the decoded JSON response to a GET."""
    return json.loads(call(child, "GET", path).content)


def read_stream(
    child: Child, method: str, path: str, body: object = b"", after: int = 0
) -> tuple[str, list[str]]:
    """Reads server-sent events until the stream ends or the connection breaks.

    Returns:
        The stream token and the data of each event.
    """
    url = f"http://{child.address}{path}"
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers: Headers = [("Last-Event-ID", str(after))]
    text = ""
    with httpcore.stream(
        method, url, headers=headers, content=content, extensions=TIMEOUTS
    ) as answer:
        token = dict(answer.headers)[b"engine-stream"].decode()
        with contextlib.suppress(*CONNECTION_ERRORS):
            for part in answer.iter_stream():
                text += part.decode()
    data = [x for x in text.splitlines() if x.startswith("data: ")]
    return token, [x.removeprefix("data: ") for x in data]


def join_events(data: list[str]) -> str:
    """Joins the generated text in the events of a stream."""
    chunks = [json.loads(x) for x in data if x != "[DONE]"]
    return "".join(x["choices"][0]["delta"]["content"] for x in chunks)


def wait_until(condition: Callable[[], bool]) -> None:
    """Polls a condition and fails the test if it does not hold in time."""
    deadline_s = time.monotonic() + HANG_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "the condition never held"
        time.sleep(0.005)


def is_port_closed(port: int) -> bool:
    """Returns whether nothing listens on a port."""
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) != 0


async def read_three_bytes(reader: asyncio.StreamReader) -> bytes:
    """Returns the next three bytes, or no bytes at the end of the stream."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        with contextlib.suppress(asyncio.IncompleteReadError):
            return await reader.readexactly(3)
    return b""


def make_chat(prompt: str, max_tokens: int, stream: bool) -> dict[str, Any]:
    """Returns a chat request."""
    messages = [{"role": "user", "content": prompt}]
    return {"messages": messages, "max_tokens": max_tokens, "stream": stream}


class StandInTest(unittest.TestCase):
    """Base of tests that start stand-ins and stop them after each test."""

    def setUp(self) -> None:
        """Makes a launcher that is closed after the test."""
        self.launcher = Launcher()
        self.addCleanup(self.launcher.close)

    def start(self, program: str, *options: str) -> Child:
        """Starts one stand-in."""
        return self.launcher.start_stand_in(program, "n1", "z1", *options)


class EngineModelTest(unittest.TestCase):
    """The batching model, without real time or network."""

    def make_model(self, **changes: Any) -> EngineModel:
        """Returns a model with some settings changed."""
        self.clock = ManualClock()
        return EngineModel(EngineSettings(**changes), self.clock)

    def run_until_idle(self, model: EngineModel) -> list[tuple[str, EventKind]]:
        """Returns all events until no work is left."""
        events = []
        while not model.is_idle:
            for event in model.step().events:
                events.append((event.request_id, event.kind))
        return events

    def test_requests_are_admitted_in_order_of_arrival(self) -> None:
        """Guards against a batch that overflows or reorders arrivals."""
        model = self.make_model(max_batch=1)
        for name in ("a", "b", "c"):
            model.submit(name, 10, (), 2)
        first, last = EventKind.FIRST_TOKEN, EventKind.FINISHED
        order = [e for e in self.run_until_idle(model) if e[1] in (first, last)]
        assert order == [(n, k) for n in "abc" for k in (first, last)], order

    def test_step_cost_grows_with_the_batch(self) -> None:
        """Guards against engines whose speed ignores their load."""
        for free_cost in (
            "decode_ms_per_request",
            "decode_ms_per_context_token",
        ):
            costs = []
            for count in (1, 4):
                model = self.make_model(**{free_cost: 0.0})
                for number in range(count):
                    model.submit(str(number), 100, (), 8)
                costs.append([model.step().elapsed_ms for _ in range(2)])
            assert costs[0][0] < costs[1][0], (free_cost, costs)
            assert costs[0][1] < costs[1][1], (free_cost, costs)

    def test_speed_divides_the_time(self) -> None:
        """Guards against a speed factor that has no effect."""
        slow, fast = self.make_model(), self.make_model(speed=2.0)
        for model in (slow, fast):
            model.submit("a", 100, (), 1)
        assert slow.step().elapsed_ms == 2 * fast.step().elapsed_ms

    def test_cached_prefix_is_not_computed_again(self) -> None:
        """Guards against a cache hit that still costs its prefill."""
        model = self.make_model()
        for name in ("a", "b"):
            model.submit(name, 200, (1, 2, 3), 1)
            self.run_until_idle(model)
        assert (model.stats.computed, model.stats.reused) == (208, 192)

    def test_cache_evicts_the_tail_of_the_oldest_prefix(self) -> None:
        """Guards against an unbounded cache and prefixes without a start."""
        cache = PrefixCache(4)
        cache.insert((1, 2, 3))
        cache.insert((7, 8))
        assert cache.match((1, 2, 3)) == 2
        assert cache.match((7, 8)) == 2

    def test_cancel_counts_the_prefill_done_so_far(self) -> None:
        """Guards against wasted prefill that is missed or counted too early."""
        model = self.make_model(step_prefill_tokens=64)
        model.submit("a", 200, (), 4)
        model.step()
        assert model.cancel("a") and model.is_idle
        assert not model.cancel("a")
        assert model.stats.wasted == 64

    def test_load_is_reported_with_its_lag(self) -> None:
        """Guards against a load report that is fresher than configured."""
        model = self.make_model(load_lag_ms=500)
        self.clock.advance(100)
        model.submit("a", 40, (), 5)
        self.clock.advance(499)
        assert model.load().waiting_tokens == 0
        self.clock.advance(1)
        assert model.load().waiting_tokens == 40


class EngineTest(StandInTest):
    """The engine program over HTTP."""

    SLOW: ClassVar = ("--step-ms", "20")

    def test_whole_and_streamed_answers_agree(self) -> None:
        """Guards against answers that differ from the predicted one.

        Tests of streams compare whole answers with it.
        """
        engine = self.start("engine")
        path = "/v1/chat/completions"
        chat = make_chat("Layout for a 6 m hall", 20, False)
        expected = make_answer(chat["messages"], 20)
        whole = json.loads(call(engine, "POST", path, chat).content)
        assert whole["choices"][0]["message"]["content"] == expected
        chat["stream"] = True
        _, data = read_stream(engine, "POST", path, chat)
        assert join_events(data) == expected and data[-1] == "[DONE]", data

    def test_broken_stream_resumes_after_the_last_event(self) -> None:
        """Guards against a resume that loses, repeats or recomputes tokens."""
        engine = self.start("engine", *self.SLOW)
        call(engine, "POST", "/control/break", {"after_events": 3})
        chat = make_chat("x" * 400, 10, True)
        token, data = read_stream(engine, "POST", "/v1/chat/completions", chat)
        assert len(data) == 3, data
        path = f"/v1/streams/{token}"
        _, rest = read_stream(engine, "GET", path, after=3)
        assert join_events(data + rest) == make_answer(chat["messages"], 10)
        assert get_json(engine, "/v1/stats")["prefill_thrown_away"] == 0

    def test_cancelled_stream_is_waste(self) -> None:
        """Guards against a cancelled stream whose prefill is not counted."""
        self.check_wasted_prefill("600000", is_cancelled=True)

    def test_abandoned_stream_is_waste(self) -> None:
        """Guards against a stream that is kept after its resume window."""
        self.check_wasted_prefill("1", is_cancelled=False)

    def check_wasted_prefill(self, window_ms: str, is_cancelled: bool) -> None:
        """Breaks a stream, then cancels it or lets its resume window pass."""
        engine = self.start("engine", "--resume-window-ms", window_ms)
        call(engine, "POST", "/control/break", {"after_events": 1})
        chat = make_chat("x" * 400, 2000, True)
        path = "/v1/chat/completions"
        token, _ = read_stream(engine, "POST", path, chat)
        if is_cancelled:
            answer = call(engine, "DELETE", f"/v1/streams/{token}")
            assert answer.status == 204
        stats = functools.partial(get_json, engine, "/v1/stats")
        wait_until(lambda: stats()["open_streams"] == 0)
        assert stats()["prefill_thrown_away"] == 100
        assert call(engine, "GET", f"/v1/streams/{token}").status == 404

    def test_whole_answer_without_caller_is_waste(self) -> None:
        """Guards against an engine that works on after its caller has left."""
        engine = self.start("engine", *self.SLOW)
        body = json.dumps(make_chat("x" * 400, 100_000, False))
        stats = functools.partial(get_json, engine, "/v1/stats")
        with socket.create_connection(("127.0.0.1", engine.port)) as caller:
            head = "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n"
            length = f"Content-Length: {len(body)}\r\n\r\n"
            caller.sendall(f"{head}{length}{body}".encode())
            wait_until(lambda: stats()["prefill_computed"] == 100)
            assert stats()["prefill_thrown_away"] == 0
        wait_until(lambda: stats()["prefill_thrown_away"] == 100)

    def test_crash_marker_ends_the_process(self) -> None:
        """Guards against an engine that survives the crash marker."""
        engine = self.start("engine")
        chat = make_chat(f"a {CRASH_MARKER} b", 4, False)
        with self.assertRaises(CONNECTION_ERRORS):
            call(engine, "POST", "/v1/chat/completions", chat)
        assert engine.wait(10) == CRASH_EXIT_CODE

    def test_ran_counts_both_key_headers(self) -> None:
        """Guards against missing a second run under the other key header."""
        engine = self.start("engine")
        chat = make_chat("hello", 1, False)
        for name in ("Idempotency-Key", "Peridotbend-Request"):
            headers = [(name, "k1")]
            call(engine, "POST", "/v1/chat/completions", chat, headers)
        assert get_json(engine, "/v1/ran") == {"total": 2, "ran": {"k1": 2}}

    def test_incarnation_differs_between_starts(self) -> None:
        """Guards against a restart that goes undetected."""
        loads = [get_json(self.start("engine"), "/v1/load") for _ in range(2)]
        assert loads[0]["incarnation"] != loads[1]["incarnation"]


class PlatformTest(StandInTest):
    """The platform program over HTTP, and its state."""

    def test_pending_watch_gets_the_next_text(self) -> None:
        """Guards against a long poll that misses a change or ends early."""
        platform = self.start("platform")

        path = f"/v1/text?after=4&wait_ms={LONG_MS}"
        with concurrent.futures.ThreadPoolExecutor() as pool:
            pending = pool.submit(call, platform, "GET", path)
            wait_until(
                lambda: get_json(platform, "/control/counts")["pending"] == 1
            )
            for version in (4, 5):
                body = b"version: %d\n" % version
                call(platform, "PUT", "/control/text", body)
            answer = pending.result()
        assert dict(answer.headers)[b"text-version"] == b"5"
        assert answer.content == b"version: 5\n"
        assert call(platform, "GET", "/v1/text?after=5").status == 304
        assert get_json(platform, "/control/counts")["text"] == 2

    def test_modes_and_size_limit(self) -> None:
        """Guards against failure modes and a size limit without effect."""
        platform = self.start("platform")
        for version in (1, 2):
            body = b"version: %d\n" % version
            call(platform, "PUT", "/control/text", body)
        seen = []
        for mode in ("stale", "down", "up"):
            call(platform, "POST", "/control/mode", {"mode": mode})
            answer = call(platform, "GET", "/v1/text")
            seen.append((answer.status, answer.content[:10]))
        assert seen[0] == (200, b"version: 1") and seen[1][0] == 503, seen
        assert seen[2] == (200, b"version: 2"), seen
        padding = b"#" * 1_000_000
        answer = call(
            platform, "PUT", "/control/text", b"version: 3\n" + padding
        )
        assert answer.status == 413

    def test_calls_over_the_rate_are_refused(self) -> None:
        """Guards against an unlimited rate or a bucket without a refill."""
        clock = ManualClock()
        rate = TokenBucket(clock, 10)
        assert [rate.try_acquire() for _ in range(11)] == [True] * 10 + [False]
        clock.advance(100)
        assert [rate.try_acquire(), rate.try_acquire()] == [True, False]
        platform = self.start("platform", "--calls-per-s", "0")
        assert call(platform, "GET", "/v1/instances").status == 429

    def test_list_changes_are_seen_after_the_lag(self) -> None:
        """Guards against a list whose changes are visible without the lag."""
        clock = ManualClock()
        state = PlatformState(clock)
        state.lag_ms = 300
        state.put_instances({"r1": {"name": "r1", "state": "live"}})
        clock.advance(299)
        assert state.get_visible_list().revision == 0
        assert state.find_next_change_ms() == 1
        clock.advance(1)
        assert state.get_visible_list().revision == 1

    def test_reader_that_is_ahead_of_the_list_gets_it(self) -> None:
        """Guards against readers that keep the list of before a restore."""
        platform = self.start("platform")
        call(platform, "PUT", "/control/instances", {"instances": []})
        seen = get_json(platform, "/v1/instances?after=9")
        assert seen == {"revision": 1, "instances": []}

    def test_instance_is_marked_as_leaving(self) -> None:
        """Guards against a state change that loses the other fields."""
        platform = self.start("platform")
        instance = {"name": "r1", "role": "target", "state": "live"}
        body = {"instances": [instance]}
        call(platform, "PUT", "/control/instances", body)
        change = {"state": "leaving"}
        call(platform, "PATCH", "/control/instances/r1", change)
        seen = get_json(platform, "/v1/instances?after=1")
        assert seen == {"revision": 2, "instances": [{**instance, **change}]}


class OrdersTest(StandInTest):
    """The application program over HTTP."""

    def test_break_point_determines_the_number_of_runs(self) -> None:
        """Guards against a broken connection that hides or adds a run."""
        orders = self.start("orders")
        for break_point in ("before-run", "after-run", "mid-answer"):
            call(orders, "POST", "/control/break", {"point": break_point})
            headers = [("Idempotency-Key", break_point)]
            with self.assertRaises(CONNECTION_ERRORS):
                call(orders, "POST", "/v1/orders", {}, headers)
        ran = get_json(orders, "/v1/ran")["ran"]
        assert ran == {"after-run": 1, "mid-answer": 1}, ran
        assert get_json(orders, "/v1/orders/2")["key"] == "mid-answer"

    def test_older_fencing_number_is_refused(self) -> None:
        """Guards against an order that runs under an old fencing number."""
        orders = self.start("orders", "--check-fencing")
        statuses = []
        for number in ("5", "5", "4", "6"):
            headers = [("Fencing-Number", number)]
            answer = call(orders, "POST", "/v1/orders", {}, headers)
            statuses.append(answer.status)
        assert statuses == [201, 201, 409, 201], statuses
        assert get_json(orders, "/v1/ran")["total"] == 3


class LaunchTest(StandInTest):
    """Starting, signalling and stopping processes."""

    def test_close_ends_running_and_paused_children(self) -> None:
        """Guards against processes that outlive a test run."""
        children = [self.start("orders") for _ in range(2)]
        children[0].pause()
        self.launcher.close()
        codes = [child.exit_code for child in children]
        # A paused child is continued, so SIGTERM ends it without a kill.
        assert codes == [-signal.SIGTERM] * 2, codes

    def test_child_ends_when_its_launcher_is_killed(self) -> None:
        """Guards against orphans of a killed test run."""
        script = (
            "import time; from peridotbend_emulator.launch import Launcher;"
            "child = Launcher().start_stand_in('orders', 'n1', 'z1');"
            "print(child.port, flush=True); time.sleep(600)"
        )
        parent = subprocess.Popen(
            [sys.executable, "-c", script],
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": SOURCE},
        )
        with parent:
            assert parent.stdout is not None
            port = int(parent.stdout.readline())
            parent.kill()
        wait_until(lambda: is_port_closed(port))

    def test_program_that_ends_early_is_reported(self) -> None:
        """Guards against waiting for a program that has already exited."""
        with self.assertRaisesRegex(LaunchError, "No such option"):
            self.start("orders", "--unknown")

    def test_kill_is_reported_in_the_exit_code(self) -> None:
        """Guards against an undelivered kill and errors from a late signal."""
        orders = self.start("orders")
        orders.kill()
        assert orders.exit_code == -signal.SIGKILL
        orders.terminate()


class DropProxyTest(unittest.IsolatedAsyncioTestCase):
    """Dropping, stalling and restoring connections."""

    async def asyncSetUp(self) -> None:
        """Starts a proxy in front of an echo server."""

        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.proxy = await self.enterAsyncContext(DropProxy(port))

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connects to the proxy."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.proxy.port
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def test_stall_keeps_data_back_until_heal(self) -> None:
        """Guards against a stall that loses data or lets it through."""
        reader, writer = await self.connect()
        writer.write(b"one")
        assert await read_three_bytes(reader) == b"one"
        await self.proxy.stall()
        late_reader, late_writer = await self.connect()
        for stalled in (writer, late_writer):
            stalled.write(b"two")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.05)
        await self.proxy.heal()
        assert await read_three_bytes(reader) == b"two"
        assert await read_three_bytes(late_reader) == b"two"

    async def test_cut_drops_and_refuses_until_heal(self) -> None:
        """Guards against a cut that keeps or accepts connections."""
        reader, writer = await self.connect()
        writer.write(b"one")
        await read_three_bytes(reader)
        await self.proxy.cut()
        with contextlib.suppress(ConnectionError):
            assert await read_three_bytes(reader) == b""
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
        await self.proxy.heal()
        reader, writer = await self.connect()
        writer.write(b"two")
        writer.write_eof()
        assert await read_three_bytes(reader) == b"two"
        assert await read_three_bytes(reader) == b""
