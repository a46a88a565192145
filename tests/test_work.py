"""Tests of work estimates."""

import json
import unittest

from peridotbend.domain import work
from peridotbend.domain.text import EngineType, Kind

KIND = Kind(
    "quote", "m", "POST", "/v1/chat/completions", "", 0, True, 1, 1, 1, 1
)


def estimate(**request: object) -> work.WorkEstimate:
    """Returns the estimate for a chat completion with these fields."""
    body = json.dumps(request).encode()
    return work.estimate_work(KIND, EngineType.MODEL, body).unwrap()


def message(content: object) -> dict[str, object]:
    """Returns a user message."""
    return {"role": "user", "content": content}


class EstimateWorkTest(unittest.TestCase):
    """Estimates from request bodies."""

    def test_tokens(self) -> None:
        """Guards against estimates that ignore prompt size or `max_tokens`."""
        result = estimate(messages=[message("x" * 4_000)], max_tokens=77)
        assert 1_000 <= result.prompt_tokens <= 1_010
        assert result.output_tokens == 77
        plan = {"type": "image_url", "image_url": {"url": "d" * 900_000}}
        result = estimate(messages=[message([plan])])
        assert result.prompt_tokens < 2 * work.MEDIA_PART_TOKENS
        assert result.output_tokens == work.DEFAULT_OUTPUT_TOKENS

    def test_bad_bodies(self) -> None:
        """Guards against an exception or an unhelpful message on bad input."""
        cases = {
            b"": "valid JSON",
            b"\xff": "valid JSON",
            b"[" * 100_000: "valid JSON",
            b"7": "object",
            b"{}": "`messages` must be",
            b'{"messages": []}': "`messages` must be",
            b'{"messages": [3]}': "`messages[0]` must be",
            b'{"messages": [{}], "max_tokens": -1}': "`max_tokens` must be",
            b'{"messages": [{}], "max_tokens": true}': "`max_tokens` must be",
            b'{"messages": [{}], "max_tokens": NaN}': "`max_tokens` must be",
        }
        flat = work.estimate_work(KIND, EngineType.APPLICATION, b"\xff")
        assert flat.unwrap().units == work.APPLICATION_WORK_UNITS
        for body, advice in cases.items():
            result = work.estimate_work(KIND, EngineType.MODEL, body)
            assert advice in result.unwrap_err(), body[:40]


class PrefixHashTest(unittest.TestCase):
    """Prefix hashes of prompts."""

    def test_common_prefix(self) -> None:
        """Guards against equal hashes of blocks after prompts diverge."""
        shared = message("s" * 1_024)
        first = estimate(messages=[shared, message("a" * 2_000 + "z" * 500)])
        second = estimate(messages=[shared, message("b" * 2_000 + "z" * 500)])
        pairs = zip(first.prefix_hashes, second.prefix_hashes, strict=True)
        same = [a == b for a, b in pairs]
        other = estimate(model="other", messages=[shared])
        assert not set(other.prefix_hashes) & set(first.prefix_hashes)
        assert len(work.hash_prefix("đ\ud800" * 100_000)) == 256
        assert same == [True] * 4 + [False] * (len(same) - 4)


class OutputLengthLearnerTest(unittest.TestCase):
    """Correction of output length estimates."""

    def test_converges_within_bounds(self) -> None:
        """Guards against estimates that stay at the caller's `max_tokens`."""
        learner = work.OutputLengthLearner()
        assert learner.find_ratio(KIND) == 1.0
        for _ in range(100):
            learner.record(KIND, 1_000, 100)
        assert abs(learner.find_ratio(KIND) - 0.1) <= 0.001
        for _ in range(200):
            learner.record(KIND, 1, 10**9)
        assert learner.find_ratio(KIND) <= 8
        for _ in range(200):
            learner.record(KIND, 1_000, 0)
        assert learner.find_ratio(KIND) >= 0.02
