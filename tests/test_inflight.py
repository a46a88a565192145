"""Tests of the table of requests in flight."""

import unittest

from peridotbend.domain.inflight import Crash, InFlightTable


class InFlightTableTest(unittest.TestCase):
    """Requests in flight on a target that crashed."""

    def test_one_death_is_reported_once(self) -> None:
        """Guards against counting one crash once per affected request."""
        table = InFlightTable()
        table.begin("gpu-1", "a", b"fa", on_trial=False)
        table.begin("gpu-1", "b", b"fb", on_trial=True)
        table.begin("gpu-2", "c", b"fc", on_trial=False)
        crash = table.take_crashed("gpu-1", "a", 3)
        assert crash == Crash(frozenset({b"fa", b"fb"}), b"fb")
        assert table.take_crashed("gpu-1", "b", 3) is None
        assert table.count() == {"gpu-2": 1}

    def test_ended_requests_are_not_suspected(self) -> None:
        """Guards against suspecting a request that had already ended."""
        table = InFlightTable()
        table.begin("gpu-1", "a", b"fa", on_trial=False)
        table.begin("gpu-1", "b", b"fb", on_trial=False)
        table.end("gpu-1", "a")
        crash = table.take_crashed("gpu-1", "b", 2)
        assert crash == Crash(frozenset({b"fb"}), None)

    def test_later_requests_are_not_suspected(self) -> None:
        """Guards against blame of requests that the next process runs."""
        table = InFlightTable()
        table.begin("gpu-1", "a", b"fa", on_trial=False)
        crashed_after = table.dispatches
        table.begin("gpu-1", "b", b"fb", on_trial=True)
        crash = table.take_crashed("gpu-1", "a", crashed_after)
        assert crash == Crash(frozenset({b"fa"}), None)
        crash = table.take_crashed("gpu-1", "b", table.dispatches)
        assert crash == Crash(frozenset({b"fb"}), b"fb")
