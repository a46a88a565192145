"""Tests of what two open sends of a stream do to one another."""

import asyncio
import contextlib
import dataclasses
import time
import unittest

import anyio

from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.events import Event
from peridotbend.edge.ports import AnswerBrokenError, Rejection
from peridotbend.platform import wire
from peridotbend.platform.runners import PlatformTargetClient
from tests.edgefakes import (
    CALL,
    CONFIG,
    RecordingResponder,
    RelayHarness,
    ScriptedReply,
    make_target,
)
from tests.hosts import LOOPBACK_NET
from tests.test_edge_failover import (
    FIRST,
    SECOND,
    THIRD,
    FailoverHarness,
)


class SameTurnTest(unittest.TestCase):
    """What arrives from both targets in one turn of the event loop."""

    def test_stream_stays_if_both_targets_go_on_at_once(self) -> None:
        """Guards against streams that leave both of their targets.

        After a pause of the process, or of a link, the data of both arrives in
        one turn. The abandoned send must not cancel the first one.
        """
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, SECOND, THIRD), gap_s=0.005),
            ScriptedReply(chunks=(SECOND, THIRD)),
            queued=1,
        )

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                assert harness.client.open_count == 2
                harness.queueing_client.goes_on.set()
                harness.queueing_client.has_room.set()

        anyio.run(run)
        assert not harness.is_broken
        assert harness.responder.body == FIRST + SECOND + THIRD
        assert harness.responder.is_complete
        assert harness.log.count(Event.SEND_STALLED) == 0

    def test_stream_goes_on_if_the_other_answers_as_its_time_ends(self) -> None:
        """Guards against leaving a target for an answer that is then closed."""
        route = dataclasses.replace(
            CONFIG.routes[0], max_attempts=3, objective_ms=20
        )
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, SECOND, THIRD)),
            ScriptedReply(chunks=(SECOND, THIRD), gap_s=0.01),
            queued=1,
            config=dataclasses.replace(CONFIG, routes=(route,)),
        )
        patience_s = 0.05

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await anyio.sleep(0.01)
                for _ in range(18):
                    harness.clock.advance(50)
                harness.stall_detector.check()
                await anyio.sleep(0.005)
                assert harness.client.open_count == 2
                # The process stands still while the answer arrives and the
                # time for it ends.
                loop = asyncio.get_running_loop()
                loop.call_later(0.02, harness.queueing_client.has_room.set)
                time.sleep(patience_s + 0.02)
                await anyio.sleep(0.005)
                assert harness.client.open_count == 1, "all sends were closed"
                await anyio.sleep(0.03)
                harness.queueing_client.goes_on.set()

        anyio.run(run)
        assert not harness.is_broken
        assert harness.responder.body == FIRST + SECOND + THIRD
        assert harness.responder.is_complete


class EmptyAnswerTest(unittest.TestCase):
    """Other targets that answer, but send no event."""

    def _serve(self, other: ScriptedReply) -> FailoverHarness:
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, SECOND)), other, queued=1
        )

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                harness.queueing_client.has_room.set()
                await anyio.sleep(0.02)
                harness.queueing_client.goes_on.set()

        anyio.run(run)
        return harness

    def test_stream_stays_if_the_other_target_sends_no_event(self) -> None:
        """Guards against leaving a target for the head of an empty answer."""
        harness = self._serve(ScriptedReply(chunks=()))
        assert not harness.is_broken
        assert harness.responder.body == FIRST + SECOND
        assert harness.responder.is_complete

    def test_stream_stays_if_the_other_answer_breaks_behind_its_head(
        self,
    ) -> None:
        """Guards against leaving a target for a head that is all there is."""
        harness = self._serve(ScriptedReply(breaks_connection=True))
        assert not harness.is_broken
        assert harness.responder.body == FIRST + SECOND
        assert harness.responder.is_complete


class QueuedTargetTest(unittest.TestCase):
    """Other targets that are at work and queue the request."""

    def test_target_that_serves_others_is_not_blamed_for_its_queue(
        self,
    ) -> None:
        """Guards against avoiding a target that is sound and has a queue."""
        route = dataclasses.replace(
            CONFIG.routes[0], max_attempts=3, objective_ms=20
        )
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, SECOND)),
            ScriptedReply(chunks=(SECOND,)),
            ScriptedReply(hangs=True),
            queued=2,
            config=dataclasses.replace(CONFIG, routes=(route,)),
        )
        avoided: list[bool] = []

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                other = harness.client.sends[1].target.name
                for _ in range(8):
                    harness.stall_detector.check()
                    # Its other streams go on.
                    harness.health.note_activity(other)
                    await anyio.sleep(0.01)
                avoided.append(harness.health.should_avoid(other))
                harness.queueing_client.goes_on.set()

        anyio.run(run)
        assert harness.responder.is_complete
        assert avoided == [False]


class PacingTest(unittest.TestCase):
    """Other targets that are asked again and again in one silence."""

    def test_refused_connections_leave_tries_for_a_stream_that_breaks(
        self,
    ) -> None:
        """Guards against tries that are used up while a target still runs.

        Each failed connection of another target counts for the whole request.
        """
        refused = ScriptedReply(fails_to_connect=True)
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, b""), breaks_connection=True),
            *[refused] * 7,
            ScriptedReply(chunks=(SECOND, THIRD)),
        )

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                # 400 ms more than it takes to ask the first time.
                await harness.be_silent(1_300)
                harness.queueing_client.goes_on.set()

        anyio.run(run)
        assert not harness.is_broken
        assert harness.responder.body == FIRST + SECOND + THIRD


class UnstreamedTest(unittest.TestCase):
    """Requests whose answers are not streamed."""

    def test_rejection_after_a_silence_is_no_attempt(self) -> None:
        """Guards against a failure though no second target has run a request.

        The silent target was left for a place that another instance had taken.
        """
        harness = FailoverHarness(
            ScriptedReply(chunks=(b"do", b"ne"), is_event_stream=False),
            ScriptedReply(failure=Rejection.UNAVAILABLE),
            ScriptedReply(chunks=(b"done",), is_event_stream=False),
        )
        call = dataclasses.replace(CALL, path="/lookups/1")

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.relay.serve, call, harness.responder)
                await harness.be_silent(300)
                harness.queueing_client.goes_on.set()

        anyio.run(run)
        assert harness.responder.body == b"done", harness.responder.verdict


class LeftTargetTest(unittest.TestCase):
    """Streams that come back to a target which they have left."""

    def test_stream_goes_back_if_the_only_other_one_has_no_place(self) -> None:
        """Guards against waiting for a full target while the left one has room.

        A rejection allows targets that were silent again.
        """
        route = dataclasses.replace(CONFIG.routes[0], max_attempts=3)
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST,), hangs=True),
            ScriptedReply(chunks=(SECOND,), breaks_connection=True),
            ScriptedReply(failure=Rejection.UNAVAILABLE),
            ScriptedReply(chunks=(THIRD,)),
            config=dataclasses.replace(CONFIG, routes=(route,)),
        )
        harness.targets.put(make_target("i-4"))
        for _ in range(12):
            harness.occupancy.add("i-4")

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                harness.clock.advance(300)
                harness.backlog.grant_slots("engine")
                await anyio.sleep(0.02)
                group.cancel_scope.cancel()

        anyio.run(run)
        names = [send.target.name for send in harness.client.sends]
        assert harness.responder.body == FIRST + SECOND + THIRD, names
        assert names[3] == names[0], names


class OpenSendTest(unittest.TestCase):
    """Ends of a request while another target is being asked."""

    def test_stop_and_caller_end_both_sends(self) -> None:
        """Guards against runs and places that outlive their request."""
        for is_stop in (True, False):
            with self.subTest(is_stop=is_stop):
                harness = FailoverHarness(
                    ScriptedReply(chunks=(FIRST, SECOND)),
                    ScriptedReply(chunks=(SECOND,)),
                    queued=1,
                )

                async def run(
                    harness: FailoverHarness = harness, is_stop: bool = is_stop
                ) -> None:
                    async with anyio.create_task_group() as group:
                        group.start_soon(harness.serve_call)
                        await harness.be_silent()
                        assert harness.client.open_count == 2
                        if is_stop:
                            harness.relay.end_all()
                        else:
                            group.cancel_scope.cancel()

                anyio.run(run)
                assert harness.is_broken is is_stop
                assert harness.client.open_count == 0
                assert harness.count_places() == 0

    def test_end_without_an_event_ends_the_other_send(self) -> None:
        """Guards against a second run while a slow caller reads the end."""
        harness = FailoverHarness(
            ScriptedReply(chunks=(FIRST, b"")),
            ScriptedReply(chunks=(SECOND,)),
            queued=1,
        )
        may_finish = anyio.Event()

        class SlowResponder(RecordingResponder):
            """A caller that takes the end of the answer late."""

            async def finish(self) -> None:
                await may_finish.wait()
                await super().finish()

        harness.responder = SlowResponder()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(harness.serve_call)
                await harness.be_silent()
                assert harness.client.open_count == 2
                harness.queueing_client.goes_on.set()
                await anyio.sleep(0.005)
                assert harness.client.open_count == 1
                harness.queueing_client.has_room.set()
                await anyio.sleep(0.005)
                may_finish.set()

        anyio.run(run)
        assert harness.responder.body == FIRST
        assert harness.responder.is_complete
        assert harness.log.count(Event.SEND_STALLED) == 0

    def test_answer_that_is_no_stream_takes_over_nothing(self) -> None:
        """Guards against leaving a target for an error or false rejection."""
        for reply in (
            ScriptedReply(status=500, is_event_stream=False),
            ScriptedReply(status=503, is_event_stream=False),
            ScriptedReply(chunks=(SECOND,), is_event_stream=False),
        ):
            with self.subTest(reply=reply):
                harness = FailoverHarness(
                    ScriptedReply(chunks=(FIRST, SECOND)), reply
                )

                async def run(harness: FailoverHarness = harness) -> None:
                    async with anyio.create_task_group() as group:
                        group.start_soon(harness.serve_call)
                        await harness.be_silent()
                        harness.queueing_client.goes_on.set()

                anyio.run(run)
                assert harness.responder.body == FIRST + SECOND
                assert harness.responder.is_complete
                assert harness.log.count(Event.SEND_STALLED) == 0


class _HeldTarget:
    """A target on a socket that sends the parts of its answer when told to."""

    def __init__(self) -> None:
        self.writer: asyncio.StreamWriter | None = None
        self.port = 0
        self.is_asked = asyncio.Event()

    async def start(self) -> asyncio.Server:
        """Listens."""
        server = await asyncio.start_server(self._serve, f"{LOOPBACK_NET}.1")
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            await reader.readuntil(b"\r\n\r\n")
            self.writer = writer
            self.is_asked.set()
            await reader.read()
            writer.close()

    def send_head(self) -> None:
        """Sends the head of the answer."""
        assert self.writer is not None
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Transfer-Encoding: chunked\r\n{wire.ATTEMPT_ID}: {CALL.attempt}"
            f"\r\n{wire.SERVER_STAMP}: 1\r\n\r\n"
        )
        self.writer.write(head.encode())

    def send(self, event: bytes) -> None:
        """Sends a part of the body; the end if it is empty."""
        assert self.writer is not None
        self.writer.write(b"%x\r\n%b\r\n" % (len(event), event))


class SocketTest(unittest.TestCase):
    """Both sends over sockets."""

    def test_stream_stays_if_both_targets_go_on_at_once(self) -> None:
        """Guards against streams that leave both of their targets.

        What a pause of the process or of the network has held back arrives in
        one turn of the event loop.
        """
        targets = {name: _HeldTarget() for name in ("i-1", "i-2", "i-3")}
        responder = RecordingResponder()

        async def run() -> bool:
            harness = RelayHarness(
                client=PlatformTargetClient(HttpTargetClient())
            )
            is_broken = False

            async def serve() -> None:
                nonlocal is_broken
                try:
                    await harness.relay.serve(CALL, responder)
                except AnswerBrokenError:
                    is_broken = True

            async with contextlib.AsyncExitStack() as stack:
                for name, held in targets.items():
                    await stack.enter_async_context(await held.start())
                    harness.targets.put(
                        dataclasses.replace(
                            make_target(name),
                            host=f"{LOOPBACK_NET}.1",
                            port=held.port,
                        )
                    )
                task = asyncio.create_task(serve())
                first = await self._find_asked(targets, ())
                first.send_head()
                first.send(FIRST)
                await asyncio.sleep(0.05)
                for _ in range(18):
                    harness.clock.advance(50)
                harness.stall_detector.check()
                other = await self._find_asked(targets, (first,))
                # Both are readable in the next turn.
                first.send(SECOND)
                other.send_head()
                other.send(SECOND)
                await asyncio.sleep(0.05)
                first.send(THIRD)
                first.send(b"")
                await asyncio.wait([task], timeout=2)
                is_done = task.done()
                task.cancel()
                await asyncio.wait([task])
            return is_done and not is_broken

        assert asyncio.run(run()), responder.body
        assert responder.body == FIRST + SECOND + THIRD, responder.body
        assert responder.is_complete

    async def _find_asked(
        self,
        targets: dict[str, _HeldTarget],
        besides: tuple[_HeldTarget, ...],
    ) -> _HeldTarget:
        """Waits until a further target is asked."""
        async with asyncio.timeout(2):
            while True:
                for held in targets.values():
                    if held.is_asked.is_set() and held not in besides:
                        return held
                await asyncio.sleep(0.001)
