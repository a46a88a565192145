"""Tests of the prompt tokens at targets and of predicted first events."""

import collections
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from peridotbend.adapters.digests import (
    MAX_DATAGRAM_BYTES,
    TOKEN_UNIT,
    decode_digest,
    encode_digest,
)
from peridotbend.domain.clock import ManualClock
from peridotbend.edge.config import Service
from peridotbend.edge.occupancy import Occupancy
from peridotbend.edge.peers import PEER_TIMEOUT_MS
from peridotbend.load.work import MIN_SAMPLES, TargetWork, WorkTicket
from peridotbend.wire import edge_pb2 as pb
from tests.edgegroups import GroupFleet

TARGETS = st.sampled_from(["i-1", "i-2", "i-3"])
STEPS = st.one_of(
    st.tuples(st.just("start"), TARGETS, st.integers(0, 54_600)),
    st.tuples(st.just("first"), st.integers(0, 9), st.integers(0, 900)),
    st.tuples(st.just("end"), st.integers(0, 9), st.none()),
    st.tuples(st.just("forget"), TARGETS, st.none()),
)
SPREAD_MS = 1_000


def make_work(clock: ManualClock) -> TargetWork:
    """Returns a model of the service `engine`."""
    work = TargetWork(clock, Occupancy(clock))
    work.apply_services([Service("engine", has_engine=True)])
    return work


def teach(
    work: TargetWork,
    clock: ManualClock,
    target: str,
    tokens_per_ms: float,
    count: int = 12,
) -> None:
    """Lets first events of prompts of different size arrive."""
    for number in range(count):
        tokens = 1_000 * (1 + number % 4)
        ticket = work.start(target, tokens, "engine")
        clock.advance(round(tokens / tokens_per_ms) + 30)
        work.note_first_event(ticket)


class CountTest(unittest.TestCase):
    """The tokens that are outstanding at each target."""

    @settings(derandomize=True, database=None, max_examples=100, deadline=None)
    @given(st.lists(STEPS, max_size=20))
    def test_sums_are_those_of_the_sends_without_a_first_event(
        self, steps: list[tuple[str, str | int, int | None]]
    ) -> None:
        """Guards against prompts that count twice, or are never taken back."""
        clock = ManualClock()
        work = make_work(clock)
        tickets: list[WorkTicket] = []
        expected: list[tuple[str, int] | None] = []
        for step, what, amount in steps:
            if step == "start":
                tickets.append(work.start(str(what), amount or 0, "engine"))
                expected.append((str(what), max(1, amount or 0)))
            elif step == "forget":
                work.forget(str(what))
                expected = [e if e and e[0] != what else None for e in expected]
            elif isinstance(what, int) and what < len(tickets):
                clock.advance(amount or 0)
                change = work.note_first_event if step == "first" else work.end
                change(tickets[what])
                expected[what] = None
        sums: collections.Counter[str] = collections.Counter()
        for entry in filter(None, expected):
            sums[entry[0]] += entry[1]
        assert dict(work.list_own()) == {n: t for n, t in sums.items() if t}

    def test_tokens_reach_all_instances_and_expire(self) -> None:
        """Guards against targets that each instance fills for itself."""
        fleet = GroupFleet(3, 7)
        fleet.run(8_000)
        for instance in fleet.instances.values():
            instance.occupancy.add("i-1")
            instance.tokens.add("i-1", 10 * TOKEN_UNIT)
        fleet.run(SPREAD_MS)
        instances = list(fleet.instances.values())
        counts = {i.tokens.count("i-1") for i in instances}
        assert counts == {21 * 10 * TOKEN_UNIT}, counts
        alone = instances[-1]
        fleet.cut_hosts.add(alone.host)
        fleet.run(4 * PEER_TIMEOUT_MS)
        assert alone.tokens.count("i-1") == 10 * TOKEN_UNIT

    def test_full_digests_fit_and_tell_all_tokens(self) -> None:
        """Guards against fragmented datagrams, and tokens left out of them."""
        fleet = GroupFleet(3, 7)
        fleet.run(8_000)
        for number in range(500):
            for instance in fleet.instances.values():
                instance.occupancy.add(f"i-{number}")
                instance.tokens.add(f"i-{number}", 20_000)
        sizes = []
        for instance in fleet.instances.values():
            for outgoing in instance.exchange.collect():
                data = encode_digest(outgoing.digest)
                sizes.append(len(data))
                decoded = decode_digest(data)
                assert decoded is not None
                known = decoded.target_prompt_tokens
                assert known.keys() == decoded.target_counts.keys()
        assert max(sizes) <= MAX_DATAGRAM_BYTES, max(sizes)

    def test_digests_without_tokens_are_taken(self) -> None:
        """Guards against an upgrade in which the builds ignore each other."""
        fleet = GroupFleet(1, 2)
        one, other = fleet.instances.values()
        one.occupancy.add("i-1")
        one.tokens.add("i-1", 100)
        (outgoing,) = one.exchange.collect()
        message = pb.UseDigest.FromString(encode_digest(outgoing.digest))
        assert [use.prompt_units for use in message.uses] == [7]
        message.uses[0].ClearField("prompt_units")
        decoded = decode_digest(message.SerializeToString())
        assert decoded is not None
        other.exchange.receive(decoded)
        assert other.occupancy.count("i-1") == 1
        assert other.tokens.count("i-1") == 0


class PredictionTest(unittest.TestCase):
    """When the first event of one more request arrives."""

    def test_nothing_is_predicted_without_measurements(self) -> None:
        """Guards against guesses in place of counts."""
        clock = ManualClock()
        work = make_work(clock)
        assert work.predict_first_event_ms("i-1", 100, "engine") is None
        teach(work, clock, "i-1", 80.0, int(MIN_SAMPLES))
        assert work.predict_first_event_ms("i-2", 100, "engine") is not None

    def test_speed_and_tokens_ahead_are_learned(self) -> None:
        """Guards against a prediction that ignores either of them."""
        clock = ManualClock()
        work = make_work(clock)
        for _ in range(20):
            teach(work, clock, "i-1", 80.0)
            teach(work, clock, "i-2", 20.0)
        for target, tokens_per_ms in (("i-1", 80.0), ("i-2", 20.0)):
            work.start(target, 8_000, "engine")
            found = work.predict_first_event_ms(target, 2_000, "engine")
            assert found is not None
            actual_ms = 10_000 / tokens_per_ms + 30
            assert 0.6 * actual_ms < found < 1.6 * actual_ms, (target, found)

    def test_false_token_count_changes_little(self) -> None:
        """Guards against a caller whose count no target can have read."""
        clock = ManualClock()
        work = make_work(clock)
        for _ in range(10):
            teach(work, clock, "i-1", 80.0)
            teach(work, clock, "i-2", 80.0)
        expected_ms = work.predict_first_event_ms("i-2", 8_000, "engine")
        assert expected_ms
        for tokens in (2**31 - 1, 1_000_000):
            ticket = work.start("i-1", tokens, "engine")
            clock.advance(40)
            work.note_first_event(ticket)
        others_ms = work.predict_first_event_ms("i-2", 8_000, "engine")
        assert others_ms and others_ms > 0.75 * expected_ms, others_ms
        # The target itself looks faster for a few more first events.
        teach(work, clock, "i-1", 80.0, 20)
        found = work.predict_first_event_ms("i-1", 8_000, "engine")
        assert found and found > 0.75 * expected_ms, (found, expected_ms)

    def test_one_stalled_send_does_not_condemn_a_target(self) -> None:
        """Guards against a target avoided for minutes after one pause."""
        clock = ManualClock()
        work = make_work(clock)
        for _ in range(10):
            teach(work, clock, "i-1", 80.0)
            teach(work, clock, "i-2", 80.0)
        expected_ms = work.predict_first_event_ms("i-1", 8_000, "engine")
        ticket = work.start("i-1", 2_000, "engine")
        clock.advance(20_000)
        work.note_first_event(ticket)
        found = work.predict_first_event_ms("i-1", 8_000, "engine")
        others_ms = work.predict_first_event_ms("i-2", 8_000, "engine")
        assert expected_ms and found and others_ms
        assert found < 2.5 * others_ms, (found, others_ms)

    def test_restarted_target_is_unknown(self) -> None:
        """Guards against the speed of a process that is gone."""
        clock = ManualClock()
        work = make_work(clock)
        for _ in range(10):
            teach(work, clock, "i-1", 80.0)
            teach(work, clock, "i-2", 10.0)
        work.forget("i-2")
        found = work.predict_first_event_ms("i-2", 2_000, "engine")
        mean = work.predict_first_event_ms("i-3", 2_000, "engine")
        assert found == mean
