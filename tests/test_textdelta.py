"""Tests of deltas between configuration sources."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from peridotbend.domain.textdelta import Hunk, apply_delta, make_delta

TEXTS = st.text(alphabet="ab\né", max_size=30)


class TextDeltaTest(unittest.TestCase):
    """Deltas that turn an old source into a new one."""

    @settings(derandomize=True, database=None, max_examples=300, deadline=None)
    @given(TEXTS, TEXTS)
    def test_delta_rebuilds_any_text(self, old: str, new: str) -> None:
        """Guards against a peer that rebuilds a wrong configuration."""
        assert apply_delta(old, make_delta(old, new)) == new

    def test_small_change_gives_a_small_delta(self) -> None:
        """Guards against sending the whole source for one changed line."""
        lines = [f"target-{n}: 10.0.0.{n}\n" for n in range(2_000)]
        old = "version: 1\n" + "".join(lines)
        lines[1_000] = "target-1000: 10.9.9.9\n"
        new = "version: 2\n" + "".join(lines)
        assert make_delta(old, new) == [
            Hunk(0, 1, "version: 2\n"),
            Hunk(1_001, 1_002, "target-1000: 10.9.9.9\n"),
        ]

    def test_hunks_that_go_back_are_refused(self) -> None:
        """Guards against a small reply that repeats the source at will."""
        old = "a\nb\nc\n"
        for hunks in (
            [Hunk(9, 0, ""), Hunk(9, 0, "")],
            [Hunk(0, 2, ""), Hunk(1, 3, "")],
            [Hunk(2, 1, "")],
            [Hunk(2, 2**32 - 1, "")],
        ):
            assert apply_delta(old, hunks) is None, hunks
        assert apply_delta(old, [Hunk(0, 1, ""), Hunk(1, 4, "")]) == ""
