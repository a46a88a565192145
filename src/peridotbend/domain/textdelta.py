"""Deltas between configuration sources, sent to peers.

A change touches the version and a few lines of a source that may be a megabyte
long. At 11,000 changes a day, sending complete sources would exceed the
bandwidth limit of control traffic.
"""

import dataclasses
import difflib
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Hunk:
    """Replaces the lines from `start` up to but not including `end`."""

    start: int
    end: int
    text: str = dataclasses.field(repr=False)


def make_delta(old: str, new: str) -> list[Hunk]:
    """Returns the hunks that turn `old` into `new`, in order."""
    old_lines, new_lines = _split(old), _split(new)
    start, end = _count_common_ends(old_lines, new_lines)
    changed = new_lines[start : len(new_lines) - end]
    # The autojunk heuristic limits the time for sources with lines that repeat
    # thousands of times. The delta may then be longer, but stays correct.
    matcher = difflib.SequenceMatcher(
        None, old_lines[start : len(old_lines) - end], changed, autojunk=True
    )
    return [
        Hunk(start + i1, start + i2, "".join(changed[j1:j2]))
        for tag, i1, i2, j1, j2 in matcher.get_opcodes()
        if tag != "equal"
    ]


def apply_delta(old: str, hunks: Iterable[Hunk]) -> str | None:
    """Returns the new source; the caller has to check its digest.

    Returns None if hunks overlap, are out of order or exceed the source. Each
    that goes back would repeat the source, up to more than the memory.
    """
    lines = _split(old)
    parts: list[str] = []
    position = 0
    for hunk in hunks:
        if not position <= hunk.start <= hunk.end <= len(lines):
            return None
        parts += lines[position : hunk.start]
        parts.append(hunk.text)
        position = hunk.end
    return "".join(parts + lines[position:])


def _split(source: str) -> list[str]:
    """Splits only at line feeds, so that joining the lines is lossless."""
    lines = [line + "\n" for line in source.split("\n")]
    lines[-1] = lines[-1][:-1]
    return lines


def _count_common_ends(old: list[str], new: list[str]) -> tuple[int, int]:
    """Returns the numbers of equal lines at the start and at the end."""
    longest = min(len(old), len(new))
    start = 0
    while start < longest and old[start] == new[start]:
        start += 1
    end = 0
    while end < longest - start and old[-1 - end] == new[-1 - end]:
        end += 1
    return start, end
