"""Tests of the order of waiting requests and of shedding."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotbend.domain.admission import AdmissionQueue
from peridotbend.domain.ordering import DeadlineOrder, QueueEntry
from peridotbend.domain.work import WorkItem
from tests.scheduling import make_item

WEIGHTS = {"acme": 1, "small": 1, "heavy": 3}


def make_queue(quantum: float = 1.0) -> AdmissionQueue[QueueEntry]:
    """Returns a queue with the account weights above."""
    return AdmissionQueue(DeadlineOrder(), WEIGHTS.__getitem__, quantum)


def push(
    queue: AdmissionQueue[QueueEntry], seq: int, item: WorkItem
) -> QueueEntry:
    """Adds a waiting request."""
    entry = QueueEntry(item, seq, frozenset(), 0)
    queue.push(entry)
    return entry


def serve(queue: AdmissionQueue[QueueEntry]) -> QueueEntry:
    """Dispatches the next entry."""
    entry = queue.pop(queue.bands()[0])
    assert entry is not None
    queue.commit(entry)
    return entry


class OrderTest(unittest.TestCase):
    """Order of dispatch."""

    def test_tier_then_deadline(self) -> None:
        """Guards against low tiers or late deadlines that are served first."""
        queue = make_queue(quantum=10_000)
        for seq, (tier, deadline) in enumerate(
            [(1, 5), (0, 9), (0, 7), (1, 4)]
        ):
            item = make_item(f"{tier}-{deadline}", tier, 1, "acme", deadline)
            push(queue, seq, item)
        keys = [serve(queue).item.key for _ in range(4)]
        assert keys == ["0-7", "0-9", "1-4", "1-5"], keys

    def test_large_account_does_not_starve_a_small_one(self) -> None:
        """Guards against an account that monopolises a tier."""
        queue = make_queue()
        for seq in range(1_000):
            push(queue, seq, make_item("a", account="acme", deadline_at_ms=5))
        for _ in range(500):
            serve(queue)
        push(queue, 1_000, make_item("s", account="small", deadline_at_ms=9))
        keys = [serve(queue).item.key for _ in range(3)]
        assert "s" in keys

    def test_weights_divide_the_work(self) -> None:
        """Guards against shares by request count, or without weights."""
        queue = make_queue()
        for seq in range(400):
            push(queue, seq, make_item("", units=100, account="heavy"))
            push(queue, seq + 400, make_item("", units=300, account="small"))
        work = {"heavy": 0.0, "small": 0.0}
        for _ in range(200):
            item = serve(queue).item
            work[item.account] += item.work.units
        assert abs(work["heavy"] / work["small"] - 3) < 0.1, work

    def test_idle_time_earns_no_claim(self) -> None:
        """Guards against an idle account that accumulates credit.

        On its return it would block the other accounts.
        """
        queue = make_queue()
        push(queue, 0, make_item("", account="small"))
        serve(queue)
        for seq in range(1, 101):
            push(queue, seq, make_item("", account="acme"))
        for _ in range(50):
            serve(queue)
        for seq in range(101, 201):
            push(queue, seq, make_item("", account="small"))
        served = [serve(queue).item.account for _ in range(20)]
        assert 9 <= served.count("acme") <= 11, served

    def test_restored_entries_keep_place_and_charge(self) -> None:
        """Guards against a lookahead that changes the order or the shares."""
        queue, plain = make_queue(), make_queue()
        for seq in range(20):
            account = ("acme", "small", "heavy")[seq % 3]
            item = make_item(str(seq), account=account, deadline_at_ms=-seq)
            push(queue, seq, item)
            push(plain, seq, item)
        for _ in range(20):
            popped = [e for _ in range(8) if (e := queue.pop(0)) is not None]
            for entry in reversed(popped):
                queue.restore(entry)
            assert serve(queue).item.key == serve(plain).item.key


class SheddingTest(unittest.TestCase):
    """Choice of the request to shed, expiry and removal."""

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.integers(0, 50),
                st.sampled_from(sorted(WEIGHTS)),
                st.sampled_from(["push", "push", "serve", "leave"]),
            ),
            max_size=80,
        ),
        st.integers(1, 10),
    )
    def test_victim_is_of_the_lowest_tier_present(
        self, steps: list[tuple[int, int, str, str]], bound: int
    ) -> None:
        """Guards against shedding a higher tier while a lower one waits."""
        queue = make_queue()
        waiting: list[QueueEntry] = []
        for seq, (tier, deadline, account, action) in enumerate(steps):
            item = make_item("", tier, 1, account, deadline)
            if action == "push":
                waiting.append(push(queue, seq, item))
            elif waiting and action == "serve":
                waiting.remove(serve(queue))
            elif waiting:
                queue.remove(waiting.pop(deadline % len(waiting)))
            if len(queue) > bound:
                victim = queue.find_victim()
                assert victim is not None
                self._check_victim(victim, waiting)
                queue.remove(victim)
                waiting.remove(victim)
            assert len(queue) == len(waiting)

    def _check_victim(
        self, victim: QueueEntry, waiting: list[QueueEntry]
    ) -> None:
        tier = victim.item.kind.tier
        assert tier == max(e.item.kind.tier for e in waiting)
        later = [
            e for e in waiting if e.band == victim.band and e.rank > victim.rank
        ]
        # Only other accounts, if within their share, may have later requests.
        assert all(e.lane != victim.lane for e in later)

    def test_flood_of_one_account_sheds_its_own(self) -> None:
        """Guards against shedding requests of an account within its share."""
        queue = make_queue()
        for seq in range(20):
            push(queue, seq, make_item("", account="acme", deadline_at_ms=seq))
        push(queue, 20, make_item("", account="small", deadline_at_ms=99))
        victim = queue.find_victim()
        assert victim is not None and victim.item.account == "acme"
        assert victim.seq == 19

    def test_expired_entries_leave_once(self) -> None:
        """Guards against expired requests that run, or are removed twice."""
        queue = make_queue()
        entries = [
            push(queue, n, make_item("", deadline_at_ms=n)) for n in range(4)
        ]
        queue.remove(entries[1])
        assert queue.remove_expired(2) == [entries[0], entries[2]]
        assert queue.remove_expired(2) == []
        assert serve(queue) is entries[3] and not queue.bands()
        assert queue.work == 0 and queue.find_work(0) == 0

    def test_heaps_do_not_keep_what_left(self) -> None:
        """Guards against heap entries that outlive cancelled requests."""
        queue = make_queue()
        rng = random.Random(1)
        kept = push(queue, 0, make_item(""))
        for seq in range(1, 5_000):
            account = rng.choice(sorted(WEIGHTS))
            queue.remove(push(queue, seq, make_item("", account=account)))
        assert len(queue._deadlines) < 100
        band = queue._bands[0]
        assert len(band._heads) < 100
        assert sum(len(e._max_heap) for e in band._lanes.values()) < 300
        assert serve(queue) is kept
