"""Tests of prefix affinity."""

import unittest

from peridotbend.domain.affinity import TOKENS_PER_BLOCK, PrefixAffinity


class MatchTest(unittest.TestCase):
    """Length of the prefix that a target has cached."""

    def test_longest_prefix(self) -> None:
        """Guards against a match longer than the common blocks."""
        affinity = PrefixAffinity()
        affinity.record("a", range(10))
        for common in range(11):
            hashes = [*range(common), *range(100, 105)]
            matched = affinity.match("a", hashes)
            assert matched == common * TOKENS_PER_BLOCK, common
        assert affinity.match("b", range(10)) == 0
        affinity.forget_blocks("a")
        assert affinity.match("a", range(10)) == 0

    def test_eviction_keeps_whole_prefixes(self) -> None:
        """Guards against evicting a block before the blocks that extend it."""
        affinity = PrefixAffinity()
        affinity.MAX_BLOCKS_PER_TARGET = 12
        affinity.record("a", range(10))
        affinity.record("a", range(100, 105))
        matched = affinity.match("a", range(10))
        assert matched == 7 * TOKENS_PER_BLOCK

    def test_memory_is_bounded(self) -> None:
        """Guards against memory that grows with prompts and targets."""
        affinity = PrefixAffinity()
        affinity.MAX_BLOCKS = 1_000
        for turn in range(3):
            for target in range(50):
                start = (turn * 50 + target) * 256
                affinity.record(f"t{target}", range(start, start + 256))
        assert affinity.count_blocks() <= 1_000
