"""Tests of forwarding, handover and trials, over loopback streams."""

import dataclasses

from result import Ok

from peridotbend.adapters import peerwire
from peridotbend.adapters.peerhandover import split_batches
from peridotbend.domain.events import Event
from peridotbend.domain.ports import (
    AnswerHead,
    AnswerPart,
    HandedRecord,
    PeerCall,
    PeerUnreachableError,
    RecordState,
    TrialOutcome,
)
from peridotbend.domain.verdicts import (
    Completed,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)
from peridotbend.wire import peer_pb2 as pb
from tests.peernodes import (
    PeerNode,
    PeersCase,
    make_config,
    run_nodes,
)

CALL = PeerCall("id-1", "acme", True, "POST", "/x", (("a", "b"),), b"body")
ANSWER = [
    AnswerPart(head=AnswerHead(200, (("content-type", "text/plain"),))),
    AnswerPart(data=b"x" * 600_000),
    AnswerPart(data=b"end", verdict=Completed()),
]


def record_text_replies(node: PeerNode) -> list[pb.TextReply]:
    """Collects the text replies that a node sends from now on."""
    replies: list[pb.TextReply] = []
    make_reply = node.server.make_text_reply

    def make_and_record(request: pb.TextRequest) -> pb.TextReply:
        replies.append(make_reply(request))
        return replies[-1]

    node.server.make_text_reply = make_and_record  # type: ignore[method-assign]
    return replies


def make_refusal(verdict: Verdict) -> list[AnswerPart]:
    """Makes the answer of a peer that refuses a request."""
    return [
        AnswerPart(head=AnswerHead(404, ())),
        AnswerPart(data=b"{}", verdict=verdict),
    ]


def make_record(number: int, size: int = 0) -> HandedRecord:
    """Makes a record of a completed request to hand over."""
    return HandedRecord(
        request_id=f"id-{number}",
        account="acme",
        service="s",
        kind="k",
        state=RecordState.COMPLETED,
        remaining_ms=5_000,
        headers=(("a", "b"),),
        head=AnswerHead(200, ()),
        answer=b"a" * size,
        verdict=MayHaveRun(Reason.TARGET_FAILED, 7),
    )


class ForwardTest(PeersCase):
    """Forwarding to the minter of a request ID and its successors."""

    async def collect(
        self, node: PeerNode, name: str, incarnation: int
    ) -> list[AnswerPart]:
        """Forwards CALL and returns the parts of the answer."""
        parts = node.client.forward(name, incarnation, CALL)
        return [part async for part in parts]

    async def test_minter_answers(self) -> None:
        """Guards against an answer that is altered by forwarding."""
        nodes = await self.start(2)
        nodes[1].handler.parts = ANSWER
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            parts = await self.collect(nodes[0], "e1", 2)
        assert nodes[1].handler.calls == [CALL]
        assert parts[0].head == ANSWER[0].head
        assert b"".join(p.data for p in parts) == b"x" * 600_000 + b"end"
        assert [p.verdict for p in parts if p.verdict] == [Completed()]
        assert parts[-1].verdict == Completed()

    async def test_head_that_http_cannot_carry_is_not_passed_on(self) -> None:
        """Guards against a caller that gets headers of the peer's making."""
        heads = (
            AnswerHead(200, (("a", "b\r\nset-cookie: c"),)),
            AnswerHead(200, (("a", "\u2603"),)),
            AnswerHead(200, (("a b", "c"),)),
            AnswerHead(200, (("", "c"),)),
            AnswerHead(0, ()),
            AnswerHead(-1, ()),
        )
        nodes = await self.start(2)
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            for head in heads:
                nodes[1].handler.parts = [
                    AnswerPart(head=head, verdict=Completed())
                ]
                with self.assertRaises(PeerUnreachableError):
                    await self.collect(nodes[0], "e1", 2)

    async def test_call_that_http_cannot_carry_is_refused(self) -> None:
        """Guards against a call whose parts run as requests of their own."""
        nodes = await self.start(2)
        nodes[1].handler.parts = ANSWER
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            for changes in (
                {"method": "GET /y HTTP/1.1\r\n"},
                {"path": "/x y"},
                {"path": "/\u2603"},
                {"headers": (("a", "b\r\ncontent-length: 0"),)},
                {"headers": (("a\r\n", "b"),)},
            ):
                call = dataclasses.replace(CALL, **changes)  # type: ignore[arg-type]
                with self.assertRaises(PeerUnreachableError):
                    async for _ in nodes[0].client.forward("e1", 2, call):
                        pass
        assert not nodes[1].handler.calls

    async def test_final_refusal_of_the_minter_is_passed_on(self) -> None:
        """Guards against a successor that runs a request its minter forgot."""
        nodes = await self.start(3)
        refusal = make_refusal(MayHaveRun(Reason.FORGOTTEN))
        nodes[1].handler.parts = refusal
        nodes[2].handler.parts = ANSWER
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            assert await self.collect(nodes[0], "e1", 2) == refusal
        assert not nodes[2].handler.calls

    async def test_successor_answers_for_another_incarnation(self) -> None:
        """Guards against asking a restarted peer about its old incarnation."""
        nodes = await self.start(4)
        unknown = make_refusal(NotRun(Reason.UNKNOWN_REQUEST, 100))
        for node in nodes:
            node.handler.parts = unknown
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            successors = nodes[0].roster.rank_successors("e1", 77)
            last = next(n for n in nodes if n.name == successors[2].name)
            last.handler.parts = ANSWER
            parts = await self.collect(nodes[0], "e1", 77)
        assert parts[-1].verdict == Completed()
        assert not nodes[1].handler.calls

    async def test_handed_over_request_goes_to_the_successor(self) -> None:
        """Guards against stopping the search at the draining minter."""
        nodes = await self.start(3)
        handed_over = make_refusal(NotRun(Reason.HANDED_OVER))
        forged = make_refusal(NotRun(Reason.FORGED_ID))
        nodes[0].handler.parts = forged
        nodes[1].handler.parts = handed_over
        nodes[2].handler.parts = ANSWER
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            parts = await self.collect(nodes[0], "e1", 2)
        assert parts[-1].verdict == Completed()

    async def test_record_held_by_no_instance(self) -> None:
        """Guards against trusting "not run" of peers that hold no record."""
        nodes = await self.start(3)
        for node in nodes:
            node.handler.parts = make_refusal(NotRun(Reason.UNKNOWN_REQUEST))
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            with self.assertRaises(PeerUnreachableError):
                await self.collect(nodes[0], "gone", 5)

    async def test_server_refuses_calls_for_another_incarnation(self) -> None:
        """Guards against a peer that restarts between lookup and call."""
        nodes = await self.start(2)
        nodes[1].handler.parts = ANSWER
        old = dataclasses.replace(nodes[1].roster.own, incarnation=55)
        nodes[0].roster.record_heartbeat(old)
        with self.assertRaises(PeerUnreachableError):
            await self.collect(nodes[0], "e1", 55)
        assert not nodes[1].handler.calls
        for node in nodes:
            await node.stop()

    async def test_stream_that_breaks_raises(self) -> None:
        """Guards against a partial answer taken for a complete one."""
        nodes = await self.start(3)
        nodes[1].handler.parts = ANSWER
        nodes[1].handler.break_after = 2
        received: list[AnswerPart] = []
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            with self.assertRaises(PeerUnreachableError):
                async for part in nodes[0].client.forward("e1", 2, CALL):
                    received.append(part)
        assert received
        assert not any(part.verdict for part in received)
        assert not nodes[2].handler.calls


class HandOverTest(PeersCase):
    """Handover of records, trials and configuration transfer."""

    async def test_records_reach_the_first_successor(self) -> None:
        """Guards against records that are altered or go to two successors."""
        nodes = await self.start(3)
        records = [make_record(n, 400_000) for n in range(5)]
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            accepted = await nodes[0].client.hand_over(records)
            successor = nodes[0].roster.rank_successors("e0", 1)[0].name
        assert accepted == [r.request_id for r in records]
        for node in nodes[1:]:
            expected = records if node.name == successor else []
            assert node.handler.records == expected

    async def test_refused_records_go_to_the_next_successor(self) -> None:
        """Guards against records lost when a successor has no room."""
        nodes = await self.start(3)
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            first, second = nodes[0].roster.rank_successors("e0", 1)
            by_name = {n.name: n for n in nodes}
            by_name[first.name].handler.refuse_records = True
            accepted = await nodes[0].client.hand_over([make_record(1)])
        assert accepted == ["id-1"]
        assert by_name[second.name].handler.records == [make_record(1)]

    async def test_ambiguous_batch_goes_to_no_second_successor(self) -> None:
        """Guards against two successors that run a request.

        The first one imports the batch, but its reply is lost.
        """
        nodes = await self.start(3)
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            first, second = nodes[0].roster.rank_successors("e0", 1)
            by_name = {n.name: n for n in nodes}
            # Imports the records and fails before it replies.
            imported: list[HandedRecord] = []

            def import_and_fail(
                origin: str, incarnation: int, records: list[HandedRecord]
            ) -> list[str]:
                imported.extend(records)
                raise ConnectionError("lost after the import")

            by_name[first.name].handler.import_records = (  # type: ignore
                import_and_fail
            )
            accepted = await nodes[0].client.hand_over([make_record(1)])
        assert accepted == []
        assert imported == [make_record(1)]
        assert not by_name[second.name].handler.records
        assert nodes[0].log.count(Event.HAND_OVER_FAILED) == 1

    def test_batches_are_bounded(self) -> None:
        """Guards against a handover message of unbounded size."""
        records = [make_record(n, 400) for n in range(10)]
        records.append(make_record(10, 9_000))
        batches = split_batches(records, 2_000)
        assert [r for batch in batches for r in batch] == records
        assert [len(b) for b in batches] == [2, 2, 2, 2, 2, 1]

    def test_dispatched_record_is_never_packed(self) -> None:
        """Guards against a successor that dispatches a request again."""
        record = dataclasses.replace(
            make_record(1), state=RecordState.DISPATCHED
        )
        with self.assertRaises(KeyError):
            peerwire.pack_record(record)

    async def test_trials_go_to_one_owner(self) -> None:
        """Guards against two owners that grant trials of one fingerprint."""
        nodes = await self.start(3)
        async with run_nodes(*nodes):
            await self.wait_until_live(nodes)
            for node in nodes:
                answer = await node.client.request_trial(b"f" * 8, 5_000)
                assert answer.granted
                await node.client.report_trial(b"f" * 8, TrialOutcome.CRASHED)
            owner = nodes[0].roster.find_trial_owner(b"f" * 8)
        for node in nodes:
            expected = 3 if node.name == owner else 0
            assert len(node.scheduler.trials) == expected
            assert len(node.scheduler.reports) == expected

    async def test_text_is_sent_as_a_delta(self) -> None:
        """Guards against wrong texts, or full ones for a small change."""
        nodes = await self.start(2)
        current, text = make_config(1, "x" * 900), make_config(2, "x" * 901)
        new = text.source
        nodes[0].store.offer(current)
        nodes[0].store.offer(text)
        replies = record_text_replies(nodes[0])
        peer, fetch = nodes[0].roster.own, nodes[1].client.fetch_text
        assert await fetch(peer, current) == Ok(new)
        assert [bool(reply.yaml) for reply in replies] == [False]
        # A peer with another text of the same version gets the full text.
        other = dataclasses.replace(current, source="z", digest=b"other")
        assert await fetch(peer, other) == Ok(new)
        # A delta on a wrong base fails the digest check; the full text is
        # fetched.
        wrong = dataclasses.replace(current, source="y" * 902)
        assert await fetch(peer, wrong) == Ok(new)
        for node in nodes:
            await node.stop()

    async def test_silent_owner_refuses(self) -> None:
        """Guards against running a suspect while its owner is unreachable."""
        nodes = await self.start(2)
        nodes[0].roster.record_heartbeat(nodes[1].roster.own)
        await nodes[1].stop()
        key = next(
            bytes([n])
            for n in range(256)
            if nodes[0].roster.find_trial_owner(bytes([n])) == "e1"
        )
        answer = await nodes[0].client.request_trial(key, 5_000)
        assert not answer.granted
        assert answer.retry_after_ms > 0
        await nodes[0].stop()
