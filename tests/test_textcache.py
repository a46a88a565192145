"""Tests of parsing only the changed parts of a configuration."""

import pathlib
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok, Result

from peridotbend.adapters.textcache import TextParser, split_services
from peridotbend.adapters.yamltext import TextProblem, parse_text
from peridotbend.domain.text import FleetConfig

EXAMPLES = [
    path.read_text(encoding="utf-8")
    for path in sorted(
        (pathlib.Path(__file__).parent.parent / "examples").glob("[bk]*.yaml")
    )
]
INSERTS = (
    "", "  extra:\n", "    engine: model\n", "  '\n", '  "\n', "# note\n",
    "services:\n", "---\n", "...\n", "\t\n", "  assistant:\n", "   x: |\n",
    "      text: >-2\n", " {\n", " ]\n", "tiers: [a]\n", "  orders: {}\n",
    "\n", "x\u2028y\n", "  stock: # again\n", "\ufeff", "\r\n",
)  # fmt: skip


def mutate(source: str, seed: int) -> str:
    """Deletes, repeats, swaps, inserts and truncates some lines."""
    rng = random.Random(seed)
    lines = source.splitlines(keepends=True)
    for _ in range(rng.randint(0, 3)):
        index, other = rng.randrange(len(lines)), rng.randrange(len(lines))
        action = rng.randrange(5)
        if action == 0:
            del lines[index]
        elif action == 1:
            lines.insert(index, lines[other])
        elif action == 2:
            lines[index], lines[other] = lines[other], lines[index]
        elif action == 3:
            lines.insert(index, rng.choice(INSERTS))
        else:
            end = rng.randrange(len(lines[index]) + 1)
            lines[index] = lines[index][:end] + rng.choice("'\"#{[|&*: \n")
    return "".join(lines)


class TextParserTest(unittest.TestCase):
    """The result is independent of the sources parsed before."""

    @settings(derandomize=True, database=None, max_examples=250, deadline=None)
    @given(st.lists(st.integers(0, 10**9), min_size=1, max_size=4))
    def test_same_result_as_parsing_the_whole(self, seeds: list[int]) -> None:
        """Guards against processes that disagree on a text."""
        parser = TextParser()
        for seed in seeds:
            source = mutate(EXAMPLES[seed % len(EXAMPLES)], seed)
            whole, cached = parse_text(source), parser.parse(source)
            assert whole == cached, source

    def test_unchanged_services_are_not_read_again(self) -> None:
        """Guards against a cache that always parses the whole source."""
        whole: list[str] = []

        def parse_and_count(
            source: str,
        ) -> Result[FleetConfig, list[TextProblem]]:
            whole.append(source)
            return parse_text(source)

        parser = TextParser(parse_and_count)
        for example in EXAMPLES:
            assert split_services(example) is not None
            assert isinstance(parser.parse(example), Ok)
        assert whole == []
