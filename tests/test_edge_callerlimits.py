"""Tests of how long callers are known to wait."""

import dataclasses
import unittest

from peridotbend.edge.callerlimits import CallerLimits
from tests.edgefakes import CALL, STREAM_ROUTE


class CallerLimitsTest(unittest.TestCase):
    """How old a stream may be that a caller takes up."""

    def setUp(self) -> None:
        """Creates limits that know of the configuration only."""
        self.limits = CallerLimits()
        self.route = dataclasses.replace(STREAM_ROUTE, timeout_ms=15_000)
        self.limits.note_routes([self.route])

    def _find_age(self, left_ms: int, timeout_ms: int = 15_000) -> int:
        route = dataclasses.replace(self.route, timeout_ms=timeout_ms)
        take_up = dataclasses.replace(
            CALL, resumes="a", last_event_id="9", deadline_ms=left_ms
        )
        self.limits.note_call(take_up, route)
        return self.limits.find_age_ms(take_up, route)

    def test_caller_with_more_time_than_is_known_tells_nothing(self) -> None:
        """Guards against an age of zero for a stream of some seconds.

        Seen with review/8: callers that wait for longer than their route's
        timeout, at an instance without a first attempt on that route.
        """
        assert self._find_age(5_000) == 10_000
        assert self._find_age(17_500) == 15_000
        assert self._find_age(17_500) == 15_000
        first = dataclasses.replace(CALL, deadline_ms=25_000)
        self.limits.note_call(first, self.route)
        assert self._find_age(17_500) == 7_500

    def test_timeout_that_is_lowered_holds_for_older_streams(self) -> None:
        """Guards against a new limit for streams that began before."""
        lowered = dataclasses.replace(self.route, timeout_ms=4_000)
        self.limits.note_routes([lowered])
        assert self._find_age(3_000, 4_000) == 12_000
