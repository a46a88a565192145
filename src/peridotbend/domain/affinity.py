"""Estimates which prompt prefixes a target has in its cache."""

from collections import OrderedDict
from collections.abc import Sequence

from peridotbend.domain.work import CHARACTERS_PER_TOKEN, PREFIX_BLOCK_BYTES

TOKENS_PER_BLOCK = PREFIX_BLOCK_BYTES // CHARACTERS_PER_TOKEN


class _TargetPrefixes:
    """Prefix blocks sent to one target.

    `belief` is the expected fraction of a matched prefix that the engine takes
    from its cache.
    """

    __slots__ = ("belief", "blocks")

    def __init__(self, belief: float):
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.belief = belief


class PrefixAffinity:
    """Prefix blocks sent to each target, and how much matches have saved."""

    MAX_BLOCKS_PER_TARGET = 4_096
    # At 200 bytes for each block, the blocks of all targets take 6.5 MB of the
    # 32 MB that a process may use.
    MAX_BLOCKS = 32_768
    MIN_BLOCKS_PER_TARGET = 8
    INITIAL_BELIEF = 0.5
    # Weight of a new sample: about the last five matches count. The belief of
    # an engine that starts to evict drops by most of its value within ten
    # requests.
    SAMPLE_WEIGHT = 0.2

    def __init__(self) -> None:
        self._targets: dict[str, _TargetPrefixes] = {}

    def record(self, target: str, hashes: Sequence[int]) -> None:
        """Records that a prompt with these blocks was sent to a target."""
        if not hashes:
            return
        prefixes = self._targets.get(target)
        if prefixes is None:
            prefixes = _TargetPrefixes(self.INITIAL_BELIEF)
            self._targets[target] = prefixes
        # Blocks are refreshed from last to first, so that a block is never
        # evicted before those that extend it. The binary search in `match`
        # depends on this.
        for block in reversed(hashes):
            prefixes.blocks[block] = None
            prefixes.blocks.move_to_end(block)
        limit = self._find_block_limit()
        while len(prefixes.blocks) > limit:
            prefixes.blocks.popitem(last=False)

    def match(self, target: str, hashes: Sequence[int]) -> int:
        """Returns the tokens of the longest prefix sent there before."""
        prefixes = self._targets.get(target)
        if prefixes is None or not hashes or hashes[0] not in prefixes.blocks:
            return 0
        known, unknown = 1, len(hashes) + 1
        while unknown - known > 1:
            middle = (known + unknown) // 2
            if hashes[middle - 1] in prefixes.blocks:
                known = middle
            else:
                unknown = middle
        return known * TOKENS_PER_BLOCK

    def find_belief(self, target: str) -> float:
        """Returns the expected cached fraction of a match, from 0 to 1."""
        prefixes = self._targets.get(target)
        return prefixes.belief if prefixes else self.INITIAL_BELIEF

    def record_saving(self, target: str, saved_fraction: float) -> None:
        """Records the fraction of a matched prefix that was not recomputed."""
        prefixes = self._targets.get(target)
        if prefixes is not None:
            sample = min(1.0, max(0.0, saved_fraction))
            prefixes.belief += self.SAMPLE_WEIGHT * (sample - prefixes.belief)

    def forget_blocks(self, target: str) -> None:
        """Drops the blocks of a target that restarted; keeps its belief."""
        prefixes = self._targets.get(target)
        if prefixes is not None:
            prefixes.blocks.clear()

    def forget(self, target: str) -> None:
        """Drops all state of a target."""
        self._targets.pop(target, None)

    def count_blocks(self) -> int:
        """Returns the number of blocks held for all targets."""
        return sum(len(p.blocks) for p in self._targets.values())

    def _find_block_limit(self) -> int:
        share = self.MAX_BLOCKS // len(self._targets)
        return min(
            self.MAX_BLOCKS_PER_TARGET, max(self.MIN_BLOCKS_PER_TARGET, share)
        )
