"""Tests of forwards, hand-over and trials over loopback streams."""

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
    Node,
    PeersCase,
    make_text,
    running,
)

CALL = PeerCall("id-1", "acme", True, "POST", "/x", (("a", "b"),), b"body")
ANSWER = [
    AnswerPart(head=AnswerHead(200, (("content-type", "text/plain"),))),
    AnswerPart(data=b"x" * 600_000),
    AnswerPart(data=b"end", verdict=Completed()),
]


def replies_of(node: Node) -> list[pb.TextReply]:
    """Collects the replies to requests for a text that a node sends."""
    replies: list[pb.TextReply] = []
    make = node.server.make_text_reply

    def make_and_keep(request: pb.TextRequest) -> pb.TextReply:
        replies.append(make(request))
        return replies[-1]

    node.server.make_text_reply = make_and_keep  # type: ignore[method-assign]
    return replies


def make_refusal(verdict: Verdict) -> list[AnswerPart]:
    """Makes the answer of a peer that refuses."""
    return [
        AnswerPart(head=AnswerHead(404, ())),
        AnswerPart(data=b"{}", verdict=verdict),
    ]


def make_record(number: int, size: int = 0) -> HandedRecord:
    """Makes a record that is handed over."""
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
    """Forwarding to the minter and its heirs."""

    async def collect(
        self, node: Node, name: str, incarnation: int
    ) -> list[AnswerPart]:
        """Forwards CALL and returns the parts."""
        parts = node.client.forward(name, incarnation, CALL)
        return [part async for part in parts]

    async def test_minter_answers(self) -> None:
        """Guards against an answer that changes on its way."""
        nodes = await self.start(2)
        nodes[1].handler.parts = ANSWER
        async with running(*nodes):
            await self.meet(nodes)
            parts = await self.collect(nodes[0], "e1", 2)
        assert nodes[1].handler.calls == [CALL]
        assert parts[0].head == ANSWER[0].head
        assert b"".join(p.data for p in parts) == b"x" * 600_000 + b"end"
        assert [p.verdict for p in parts if p.verdict] == [Completed()]
        assert parts[-1].verdict == Completed()

    async def test_final_refusal_of_the_minter_is_passed_on(self) -> None:
        """Guards against a forgotten request that is run by an heir."""
        nodes = await self.start(3)
        refusal = make_refusal(MayHaveRun(Reason.FORGOTTEN))
        nodes[1].handler.parts = refusal
        nodes[2].handler.parts = ANSWER
        async with running(*nodes):
            await self.meet(nodes)
            assert await self.collect(nodes[0], "e1", 2) == refusal
        assert not nodes[2].handler.calls

    async def test_heir_answers_for_another_incarnation(self) -> None:
        """Guards against a restarted peer asked in place of the old one."""
        nodes = await self.start(4)
        unknown = make_refusal(NotRun(Reason.UNKNOWN_REQUEST, 100))
        for node in nodes:
            node.handler.parts = unknown
        async with running(*nodes):
            await self.meet(nodes)
            heirs = nodes[0].roster.rank_successors("e1", 77)
            last = next(n for n in nodes if n.name == heirs[2].name)
            last.handler.parts = ANSWER
            parts = await self.collect(nodes[0], "e1", 77)
        assert parts[-1].verdict == Completed()
        assert not nodes[1].handler.calls

    async def test_handed_over_goes_to_the_heir(self) -> None:
        """Guards against a draining minter that hides its heir's answer."""
        nodes = await self.start(3)
        handed = make_refusal(NotRun(Reason.HANDED_OVER))
        forged = make_refusal(NotRun(Reason.FORGED_ID))
        nodes[0].handler.parts = forged
        nodes[1].handler.parts = handed
        nodes[2].handler.parts = ANSWER
        async with running(*nodes):
            await self.meet(nodes)
            parts = await self.collect(nodes[0], "e1", 2)
        assert parts[-1].verdict == Completed()

    async def test_nobody_holds_it(self) -> None:
        """Guards against an heir's "not run" passed on as the truth."""
        nodes = await self.start(3)
        for node in nodes:
            node.handler.parts = make_refusal(NotRun(Reason.UNKNOWN_REQUEST))
        async with running(*nodes):
            await self.meet(nodes)
            with self.assertRaises(PeerUnreachableError):
                await self.collect(nodes[0], "gone", 5)

    async def test_server_refuses_calls_for_another_incarnation(self) -> None:
        """Guards against a restart between the look-up and the call."""
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
        """Guards against half an answer taken for the whole."""
        nodes = await self.start(3)
        nodes[1].handler.parts = ANSWER
        nodes[1].handler.break_after = 2
        got: list[AnswerPart] = []
        async with running(*nodes):
            await self.meet(nodes)
            with self.assertRaises(PeerUnreachableError):
                async for part in nodes[0].client.forward("e1", 2, CALL):
                    got.append(part)
        assert got
        assert not any(part.verdict for part in got)
        assert not nodes[2].handler.calls


class HandOverTest(PeersCase):
    """Hand-over of records, and trials."""

    async def test_records_reach_the_first_heir(self) -> None:
        """Guards against records that change, or go to two heirs."""
        nodes = await self.start(3)
        records = [make_record(n, 400_000) for n in range(5)]
        async with running(*nodes):
            await self.meet(nodes)
            accepted = await nodes[0].client.hand_over(records)
            heir = nodes[0].roster.rank_successors("e0", 1)[0].name
        assert accepted == [r.request_id for r in records]
        for node in nodes[1:]:
            expected = records if node.name == heir else []
            assert node.handler.records == expected

    async def test_refused_records_go_to_the_next_heir(self) -> None:
        """Guards against records lost to an heir without room."""
        nodes = await self.start(3)
        async with running(*nodes):
            await self.meet(nodes)
            first, second = nodes[0].roster.rank_successors("e0", 1)
            by_name = {n.name: n for n in nodes}
            by_name[first.name].handler.refuse_records = True
            accepted = await nodes[0].client.hand_over([make_record(1)])
        assert accepted == ["id-1"]
        assert by_name[second.name].handler.records == [make_record(1)]

    async def test_ambiguous_batch_goes_to_no_second_heir(self) -> None:
        """Guards against two heirs that both run a request."""
        nodes = await self.start(3)
        async with running(*nodes):
            await self.meet(nodes)
            first, second = nodes[0].roster.rank_successors("e0", 1)
            by_name = {n.name: n for n in nodes}
            # Takes the records over and fails before it replies.
            taken: list[HandedRecord] = []

            def import_and_fail(
                origin: str, incarnation: int, records: list[HandedRecord]
            ) -> list[str]:
                taken.extend(records)
                raise ConnectionError("lost after the import")

            by_name[first.name].handler.import_records = (  # type: ignore
                import_and_fail
            )
            accepted = await nodes[0].client.hand_over([make_record(1)])
        assert accepted == []
        assert taken == [make_record(1)]
        assert not by_name[second.name].handler.records
        assert nodes[0].log.count(Event.HAND_OVER_FAILED) == 1

    def test_batches_are_bounded(self) -> None:
        """Guards against a hand-over in one message of any size."""
        records = [make_record(n, 400) for n in range(10)]
        records.append(make_record(10, 9_000))
        batches = split_batches(records, 2_000)
        assert [r for batch in batches for r in batch] == records
        assert [len(b) for b in batches] == [2, 2, 2, 2, 2, 1]

    def test_dispatched_record_is_never_packed(self) -> None:
        """Guards against an heir that dispatches what was dispatched."""
        record = dataclasses.replace(
            make_record(1), state=RecordState.DISPATCHED
        )
        with self.assertRaises(KeyError):
            peerwire.pack_record(record)

    async def test_trials_go_to_one_owner(self) -> None:
        """Guards against trials granted by two owners at once."""
        nodes = await self.start(3)
        async with running(*nodes):
            await self.meet(nodes)
            for node in nodes:
                answer = await node.client.request_trial(b"f" * 8, 5_000)
                assert answer.granted
                await node.client.report_trial(b"f" * 8, TrialOutcome.CRASHED)
            owner = nodes[0].roster.find_trial_owner(b"f" * 8)
        for node in nodes:
            expected = 3 if node.name == owner else 0
            assert len(node.scheduler.trials) == expected
            assert len(node.scheduler.reports) == expected

    async def test_text_travels_as_a_difference(self) -> None:
        """Guards against whole texts, or wrong ones, for small changes."""
        nodes = await self.start(2)
        current, text = make_text(1, "x" * 900), make_text(2, "x" * 901)
        new = text.source
        nodes[0].store.offer(current)
        nodes[0].store.offer(text)
        replies = replies_of(nodes[0])
        peer, fetch = nodes[0].roster.own, nodes[1].client.fetch_text
        assert await fetch(peer, current) == Ok(new)
        assert [bool(reply.yaml) for reply in replies] == [False]
        # A caller with another text of that version gets it whole.
        other = dataclasses.replace(current, source="z", digest=b"other")
        assert await fetch(peer, other) == Ok(new)
        # A wrong base is noticed by the digest and fetched whole.
        wrong = dataclasses.replace(current, source="y" * 902)
        assert await fetch(peer, wrong) == Ok(new)
        for node in nodes:
            await node.stop()

    async def test_silent_owner_refuses(self) -> None:
        """Guards against a suspect that runs without its owner's word."""
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
